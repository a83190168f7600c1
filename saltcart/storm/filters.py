"""Sketches of what came of late: who was refused, and how often each comes.  Bounded, and they forget.

``Seen`` is a pair of Bloom filters (Bloom, 1970) that take turns: the younger is written, both are asked,
and the older is emptied when its time is over.  ``Counts`` is a count-min sketch (Cormode and
Muthukrishnan, 2005) with conservative update, halved as time goes; ``Heavy`` keeps the heaviest names by
space saving (Metwally, 2005).
"""

from __future__ import annotations

from array import array

MASK32 = (1 << 32) - 1


class Bloom:
    """Bits, with double hashing (Kirsch and Mitzenmacher, 2006)."""

    def __init__(self, bits_log2: int, hashes: int) -> None:
        self.mask, self.hashes = (1 << bits_log2) - 1, hashes
        self.bits = bytearray((1 << bits_log2) // 8)
        self.added = 0

    def add(self, digest: int) -> None:
        at, step, mask, bits = digest & MASK32, digest >> 32 | 1, self.mask, self.bits
        for _ in range(self.hashes):
            place = at & mask
            bits[place >> 3] |= 1 << (place & 7)
            at += step
        self.added += 1

    def __contains__(self, digest: int) -> bool:
        at, step, mask, bits = digest & MASK32, digest >> 32 | 1, self.mask, self.bits
        for _ in range(self.hashes):
            place = at & mask
            if not bits[place >> 3] >> (place & 7) & 1:
                return False
            at += step
        return True

    def clear(self) -> None:
        self.bits = bytearray(len(self.bits))
        self.added = 0


class Seen:
    """Members of the last ``span`` to twice ``span`` seconds."""

    def __init__(self, span: float, bits_log2: int = 20, hashes: int = 5) -> None:
        self.span, self.turned = span, 0.0
        self.young, self.old = Bloom(bits_log2, hashes), Bloom(bits_log2, hashes)

    def _turn(self, now: float) -> None:
        if now - self.turned >= self.span:
            if now - self.turned >= 2 * self.span:  # so long nothing came that both are stale
                self.young.clear()
            self.young, self.old = self.old, self.young
            self.young.clear()
            self.turned = now

    def add(self, now: float, digest: int) -> None:
        self._turn(now)
        self.young.add(digest)

    def has(self, now: float, digest: int) -> bool:
        self._turn(now)
        return digest in self.young or digest in self.old

    def bytes(self) -> int:
        return len(self.young.bits) + len(self.old.bits)


class Counts:
    """How often each digest came, never too low; counts are halved every ``span`` seconds."""

    def __init__(self, span: float, width_log2: int = 13, rows: int = 4) -> None:
        self.span, self.mask, self.rows, self.halved = span, (1 << width_log2) - 1, rows, 0.0
        self.table = [array("H", bytes(2 << width_log2)) for _ in range(rows)]

    def _age(self, now: float) -> None:
        passed = int((now - self.halved) / self.span)
        if passed > 0:
            shift = min(16, passed)
            self.table = [array("H", (n >> shift for n in row)) for row in self.table]
            self.halved = now

    def add(self, now: float, digest: int) -> int:
        """Count it; returns how often it has come."""
        self._age(now)
        at, step, least, places = digest & MASK32, digest >> 32 | 1, 65_535, list[int]()
        for row in self.table:
            place = at & self.mask
            places.append(place)
            least = min(least, row[place])
            at += step
        if least < 65_535:
            for row, place in zip(self.table, places):  # conservative: no cell above what is known
                if row[place] == least:
                    row[place] = least + 1
        return min(65_535, least + 1)

    def bytes(self) -> int:
        return sum(row.itemsize * len(row) for row in self.table)


class Heavy:
    """The names that came most, at most ``room`` of them; a count is too high by ``floor`` at most."""

    def __init__(self, room: int = 32, span: float = 4.0) -> None:
        self.room, self.span, self.faded = room, span, 0.0
        self.counts: dict[str, float] = {}
        self.floor = 0.0

    def add(self, now: float, name: str, weight: float = 1.0) -> None:
        if now - self.faded >= self.span:
            fade = 0.5 ** ((now - self.faded) / self.span)
            self.counts = {n: c * fade for n, c in self.counts.items() if c * fade >= 0.5}
            self.floor, self.faded = self.floor * fade, now
        if name not in self.counts and len(self.counts) >= self.room:
            least = min(self.counts, key=self.counts.__getitem__)
            self.floor = self.counts.pop(least)
            self.counts[name] = self.floor
        self.counts[name] = self.counts.get(name, 0.0) + weight

    def top(self, most: int = 5) -> list[tuple[str, float]]:
        return sorted(self.counts.items(), key=lambda item: -item[1])[:most]
