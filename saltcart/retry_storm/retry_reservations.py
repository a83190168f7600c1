"""Who was told to come back when: a compact table of digests and moments, of fixed size.

Two candidate buckets of four entries each, as in a cuckoo filter but without moving anything (Azar et al.,
1994, the power of two choices): an entry is 64 bits, 40 of the digest and 24 of the moment in ticks.  Where
both buckets are full the entry whose moment passed longest ago makes way; it can only lose somebody's
place, never give one to another but for the chance that 40 bits collide within a bucket pair.
"""

from __future__ import annotations

from array import array
from collections.abc import Iterator
from math import inf

TICK_SECONDS = 0.05
ENTRIES_PER_BUCKET = 4
ENTRY_BYTES = 8
TAG_BITS = 40
MOMENT_BITS = 24
TAG_MASK = (1 << TAG_BITS) - 1
MOMENT_MASK = (1 << MOMENT_BITS) - 1
BUCKET_MULTIPLIER = 0x5BD1E995  # spreads the tags over the second buckets (MurmurHash2's)
BUCKET_SHIFT = 7


class RetryReservations:
    """Moments by digest."""

    def __init__(self, origin: float, buckets_log2: int = 13) -> None:
        """``origin``: a time before all moments; they reach 9 days past it."""
        self.origin = origin
        self.mask = (1 << buckets_log2) - 1
        self.cells = array("Q", bytes(ENTRY_BYTES * ENTRIES_PER_BUCKET << buckets_log2))

    @staticmethod
    def _tag(digest: int) -> int:
        return digest & TAG_MASK or 1  # an empty cell is 0

    def _positions(self, digest: int) -> Iterator[int]:
        """Yield the cells in which a digest may stand."""
        first = digest >> TAG_BITS & self.mask
        # The second bucket follows from the first and the tag alone.
        second = first ^ (self._tag(digest) * BUCKET_MULTIPLIER >> BUCKET_SHIFT & self.mask)
        for bucket in (first, second):
            start = bucket * ENTRIES_PER_BUCKET
            yield from range(start, start + ENTRIES_PER_BUCKET)

    def get(self, digest: int) -> float | None:
        """Return the moment of a digest, if there is one."""
        tag = self._tag(digest)
        for position in self._positions(digest):
            cell = self.cells[position]
            if cell >> MOMENT_BITS == tag:
                return self.origin + (cell & MOMENT_MASK) * TICK_SECONDS
        return None

    def put(self, now: float, digest: int, moment: float) -> None:
        """Set the moment of a digest."""
        tag = self._tag(digest)
        tick = max(0, min(MOMENT_MASK, round((moment - self.origin) / TICK_SECONDS)))
        oldest = -1
        oldest_tick = inf
        for position in self._positions(digest):
            cell = self.cells[position]
            if cell >> MOMENT_BITS == tag:
                oldest = position
                break
            held_tick = -inf if cell == 0 else cell & MOMENT_MASK
            if held_tick < oldest_tick:
                oldest = position
                oldest_tick = held_tick
        self.cells[oldest] = tag << MOMENT_BITS | tick

    def remove(self, digest: int) -> None:
        """Forget the moment of a digest."""
        tag = self._tag(digest)
        for position in self._positions(digest):
            if self.cells[position] >> MOMENT_BITS == tag:
                self.cells[position] = 0

    def size_bytes(self) -> int:
        """Return the bytes of the table."""
        return self.cells.itemsize * len(self.cells)
