"""Probabilistic data structures of bounded size for recent digests and names: Bloom filters and counters.

They hold which requests were rejected, how often each was retried, and which tenants retry most.  Old
entries are dropped or decay.
"""

from __future__ import annotations

from array import array

MASK_32 = (1 << 32) - 1
MAX_COUNT = 65_535  # of a count-min sketch's 16-bit cell
COUNT_BITS = 16
NEGLIGIBLE_COUNT = 0.5  # of a heavy hitter; below it the name is dropped


class BloomFilter:
    """Bloom filter with double hashing (Bloom, 1970; Kirsch and Mitzenmacher, 2006)."""

    def __init__(self, bits_log2: int, hash_count: int) -> None:
        self.mask = (1 << bits_log2) - 1
        self.hash_count = hash_count
        self.bits = bytearray((1 << bits_log2) // 8)
        self.added_count = 0

    def add(self, digest: int) -> None:
        """Add a 64-bit digest."""
        position = digest & MASK_32
        step = digest >> 32 | 1
        mask = self.mask
        bits = self.bits
        for _ in range(self.hash_count):
            bit = position & mask
            bits[bit >> 3] |= 1 << (bit & 7)
            position += step
        self.added_count += 1

    def __contains__(self, digest: int) -> bool:
        """Return whether the digest was probably added; there are false positives, but no false negatives."""
        position = digest & MASK_32
        step = digest >> 32 | 1
        mask = self.mask
        bits = self.bits
        for _ in range(self.hash_count):
            bit = position & mask
            if not bits[bit >> 3] >> (bit & 7) & 1:
                return False
            position += step
        return True

    def clear(self) -> None:
        """Remove all digests."""
        self.bits = bytearray(len(self.bits))
        self.added_count = 0


class RotatingBloomFilter:
    """Bloom filter that holds each digest for the retention time to twice that time.

    It consists of two generations.  Digests are added to the current one and looked up in both; after each
    retention time the previous generation is cleared and becomes the current one.
    """

    def __init__(self, retention_seconds: float, bits_log2: int = 20, hash_count: int = 5) -> None:
        self.retention_seconds = retention_seconds
        self.rotated_at = 0.0
        self.current = BloomFilter(bits_log2, hash_count)
        self.previous = BloomFilter(bits_log2, hash_count)

    def _rotate(self, now: float) -> None:
        if now - self.rotated_at < self.retention_seconds:
            return
        if now - self.rotated_at >= 2 * self.retention_seconds:  # both generations are out of date
            self.current.clear()
        self.current, self.previous = self.previous, self.current
        self.current.clear()
        self.rotated_at = now

    def add(self, now: float, digest: int) -> None:
        """Add a 64-bit digest."""
        self._rotate(now)
        self.current.add(digest)

    def has(self, now: float, digest: int) -> bool:
        """Return whether a digest was probably added recently."""
        self._rotate(now)
        return digest in self.current or digest in self.previous

    def size_bytes(self) -> int:
        """Return the size of both generations in bytes."""
        return len(self.current.bits) + len(self.previous.bits)


class CountMinSketch:
    """Count-min sketch with conservative update (Cormode and Muthukrishnan, 2005).

    A digest's count is never too low, apart from decay: counts are halved at regular intervals.
    """

    def __init__(self, halving_seconds: float, width_log2: int = 13, row_count: int = 4) -> None:
        self.halving_seconds = halving_seconds
        self.mask = (1 << width_log2) - 1
        self.row_count = row_count
        self.halved_at = 0.0
        self.rows = [array("H", bytes(2 << width_log2)) for _ in range(row_count)]

    def _halve(self, now: float) -> None:
        halvings = int((now - self.halved_at) / self.halving_seconds)
        if halvings > 0:
            shift = min(COUNT_BITS, halvings)
            self.rows = [array("H", (count >> shift for count in row)) for row in self.rows]
            self.halved_at = now

    def add(self, now: float, digest: int) -> int:
        """Count a 64-bit digest and return its count."""
        self._halve(now)
        position = digest & MASK_32
        step = digest >> 32 | 1
        cells = list[int]()
        for _ in self.rows:
            cells.append(position & self.mask)
            position += step
        smallest = min(MAX_COUNT, *(row[cell] for row, cell in zip(self.rows, cells)))
        if smallest < MAX_COUNT:
            for row, cell in zip(self.rows, cells):  # conservative update: only the smallest cells grow
                if row[cell] == smallest:
                    row[cell] = smallest + 1
        return min(MAX_COUNT, smallest + 1)

    def size_bytes(self) -> int:
        """Return the size of the rows in bytes."""
        return sum(row.itemsize * len(row) for row in self.rows)


class HeavyHitters:
    """The most frequent names, found by the space-saving algorithm (Metwally, 2005)."""

    def __init__(self, max_names: int = 32, half_life_seconds: float = 4.0) -> None:
        self.max_names = max_names
        self.half_life_seconds = half_life_seconds
        self.decayed_at = 0.0
        self.counts: dict[str, float] = {}  # each too high by max_overcount at most
        self.max_overcount = 0.0

    def add(self, now: float, name: str, weight: float = 1.0) -> None:
        """Count a name."""
        if now - self.decayed_at >= self.half_life_seconds:
            self._decay(0.5 ** ((now - self.decayed_at) / self.half_life_seconds))
            self.decayed_at = now
        if name not in self.counts and len(self.counts) >= self.max_names:
            rarest = min(self.counts, key=self.counts.__getitem__)
            self.max_overcount = self.counts.pop(rarest)
            self.counts[name] = self.max_overcount
        self.counts[name] = self.counts.get(name, 0.0) + weight

    def _decay(self, factor: float) -> None:
        decayed = {name: count * factor for name, count in self.counts.items()}
        self.counts = {name: count for name, count in decayed.items() if count >= NEGLIGIBLE_COUNT}
        self.max_overcount *= factor

    def top(self, limit: int = 5) -> list[tuple[str, float]]:
        """Return the most frequent names with their decayed counts, in descending order."""
        return sorted(self.counts.items(), key=lambda item: -item[1])[:limit]
