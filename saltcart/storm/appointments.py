"""Who was told to come back when: a compact table of digests and moments, of fixed size.

Two candidate buckets of four entries each, as in a cuckoo filter but without moving anything (Azar et al.,
1994, the power of two choices): an entry is 64 bits, 40 of the digest and 24 of the moment in ticks.  Where
both buckets are full the entry whose moment passed longest ago makes way; it can only lose somebody's
place, never give one to another but for the chance that 40 bits collide within a bucket pair.
"""

from __future__ import annotations

from array import array
from math import inf

TICK = 0.05  # seconds
WAYS = 4
TAG_BITS, MOMENT_BITS = 40, 24
TAG_MASK, MOMENT_MASK = (1 << TAG_BITS) - 1, (1 << MOMENT_BITS) - 1


class Appointments:
    """Moments by digest.  ``origin``: a time before all moments; they reach 9 days past it."""

    def __init__(self, origin: float, buckets_log2: int = 13) -> None:
        self.origin, self.mask = origin, (1 << buckets_log2) - 1
        self.cells = array("Q", bytes(8 * WAYS << buckets_log2))

    def _places(self, digest: int) -> tuple[int, int, int]:
        tag = digest & TAG_MASK or 1  # an empty cell is 0
        first = digest >> TAG_BITS & self.mask
        # The other bucket follows from the first and the tag alone.
        return tag, first * WAYS, (first ^ (tag * 0x5BD1E995 >> 7 & self.mask)) * WAYS

    def get(self, digest: int) -> float | None:
        """The moment of this digest, if there is one."""
        tag, *starts = self._places(digest)
        for start in starts:
            for at in range(start, start + WAYS):
                cell = self.cells[at]
                if cell >> MOMENT_BITS == tag:
                    return self.origin + (cell & MOMENT_MASK) * TICK
        return None

    def put(self, now: float, digest: int, moment: float) -> None:
        tag, *starts = self._places(digest)
        tick = max(0, min(MOMENT_MASK, round((moment - self.origin) / TICK)))
        best, best_moment = -1, inf
        for start in starts:
            for at in range(start, start + WAYS):
                cell = self.cells[at]
                if cell >> MOMENT_BITS == tag:
                    self.cells[at] = tag << MOMENT_BITS | tick
                    return
                held = -inf if cell == 0 else cell & MOMENT_MASK
                if held < best_moment:
                    best, best_moment = at, held
        self.cells[best] = tag << MOMENT_BITS | tick

    def remove(self, digest: int) -> None:
        tag, *starts = self._places(digest)
        for start in starts:
            for at in range(start, start + WAYS):
                if self.cells[at] >> MOMENT_BITS == tag:
                    self.cells[at] = 0

    def bytes(self) -> int:
        return self.cells.itemsize * len(self.cells)
