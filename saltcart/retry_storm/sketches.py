"""Sketches of what came of late: who was rejected, and how often each comes.  Bounded, and they forget."""

from __future__ import annotations

from array import array

MASK_32 = (1 << 32) - 1
MAX_COUNT = 65_535  # of a cell
COUNT_BITS = 16
NEGLIGIBLE = 0.5  # of a heavy hitter's count: less is forgotten


class BloomFilter:
    """Bits, with double hashing (Bloom, 1970; Kirsch and Mitzenmacher, 2006)."""

    def __init__(self, bits_log2: int, hashes: int) -> None:
        self.mask = (1 << bits_log2) - 1
        self.hashes = hashes
        self.bits = bytearray((1 << bits_log2) // 8)
        self.added = 0

    def add(self, digest: int) -> None:
        """Add a digest of 64 bits."""
        position = digest & MASK_32
        step = digest >> 32 | 1
        mask = self.mask
        bits = self.bits
        for _ in range(self.hashes):
            bit = position & mask
            bits[bit >> 3] |= 1 << (bit & 7)
            position += step
        self.added += 1

    def __contains__(self, digest: int) -> bool:
        """Whether the digest was added, or, seldom, others that share its bits."""
        position = digest & MASK_32
        step = digest >> 32 | 1
        mask = self.mask
        bits = self.bits
        for _ in range(self.hashes):
            bit = position & mask
            if not bits[bit >> 3] >> (bit & 7) & 1:
                return False
            position += step
        return True

    def clear(self) -> None:
        """Forget all."""
        self.bits = bytearray(len(self.bits))
        self.added = 0


class RotatingBloomFilter:
    """Digests of the last ``span`` to twice ``span`` seconds.

    Two filters take turns: the younger is written, both are asked, and the older is emptied when its time is
    over.
    """

    def __init__(self, span: float, bits_log2: int = 20, hashes: int = 5) -> None:
        self.span = span
        self.rotated_at = 0.0
        self.young = BloomFilter(bits_log2, hashes)
        self.old = BloomFilter(bits_log2, hashes)

    def _rotate(self, now: float) -> None:
        if now - self.rotated_at < self.span:
            return
        if now - self.rotated_at >= 2 * self.span:  # so long nothing came that both are stale
            self.young.clear()
        self.young, self.old = self.old, self.young
        self.young.clear()
        self.rotated_at = now

    def add(self, now: float, digest: int) -> None:
        """Add a digest."""
        self._rotate(now)
        self.young.add(digest)

    def has(self, now: float, digest: int) -> bool:
        """Whether a digest was added of late."""
        self._rotate(now)
        return digest in self.young or digest in self.old

    def size_bytes(self) -> int:
        """Return the bytes of the bits."""
        return len(self.young.bits) + len(self.old.bits)


class CountMinSketch:
    """How often each digest came, never too low; counts are halved every ``span`` seconds.

    With conservative update (Cormode and Muthukrishnan, 2005).
    """

    def __init__(self, span: float, width_log2: int = 13, rows: int = 4) -> None:
        self.span = span
        self.mask = (1 << width_log2) - 1
        self.rows = rows
        self.halved_at = 0.0
        self.table = [array("H", bytes(2 << width_log2)) for _ in range(rows)]

    def _halve(self, now: float) -> None:
        spans = int((now - self.halved_at) / self.span)
        if spans > 0:
            shift = min(COUNT_BITS, spans)
            self.table = [array("H", (count >> shift for count in row)) for row in self.table]
            self.halved_at = now

    def add(self, now: float, digest: int) -> int:
        """Count a digest; returns how often it has come."""
        self._halve(now)
        position = digest & MASK_32
        step = digest >> 32 | 1
        cells = list[int]()
        for _ in self.table:
            cells.append(position & self.mask)
            position += step
        least = min(MAX_COUNT, *(row[cell] for row, cell in zip(self.table, cells)))
        if least < MAX_COUNT:
            for row, cell in zip(self.table, cells):  # no cell above what is known
                if row[cell] == least:
                    row[cell] = least + 1
        return min(MAX_COUNT, least + 1)

    def size_bytes(self) -> int:
        """Return the bytes of the table."""
        return sum(row.itemsize * len(row) for row in self.table)


class HeavyHitters:
    """The names that came most (space saving: Metwally, 2005)."""

    def __init__(self, room: int = 32, span: float = 4.0) -> None:
        """``room``: names at most; ``span``: seconds in which counts are halved."""
        self.room = room
        self.span = span
        self.faded_at = 0.0
        self.counts: dict[str, float] = {}  # each too high by ``floor`` at most
        self.floor = 0.0

    def add(self, now: float, name: str, weight: float = 1.0) -> None:
        """Count a name."""
        if now - self.faded_at >= self.span:
            self._fade(0.5 ** ((now - self.faded_at) / self.span))
            self.faded_at = now
        if name not in self.counts and len(self.counts) >= self.room:
            least = min(self.counts, key=self.counts.__getitem__)
            self.floor = self.counts.pop(least)
            self.counts[name] = self.floor
        self.counts[name] = self.counts.get(name, 0.0) + weight

    def _fade(self, share: float) -> None:
        faded = {name: count * share for name, count in self.counts.items()}
        self.counts = {name: count for name, count in faded.items() if count >= NEGLIGIBLE}
        self.floor *= share

    def top(self, most: int = 5) -> list[tuple[str, float]]:
        """Return the names that came most, with their counts."""
        return sorted(self.counts.items(), key=lambda item: -item[1])[:most]
