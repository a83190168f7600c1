"""Reserved retry times by digest, in a compact table of fixed size.

Each digest has two candidate buckets of four entries, as in a cuckoo filter but without relocation (Azar et
al., 1994, the power of two choices).  An entry has 64 bits: 40 bits of the digest and the retry time as a
24-bit tick number.  When both buckets are full, the entry with the earliest retry time is replaced.  A
caller can thereby lose its reservation; it gets another caller's only if 40 bits of their digests collide
within the same buckets.
"""

from __future__ import annotations

from array import array
from collections.abc import Iterator
from math import inf

TICK_SECONDS = 0.05
ENTRIES_PER_BUCKET = 4
ENTRY_BYTES = 8
TAG_BITS = 40
TICK_BITS = 24
TAG_MASK = (1 << TAG_BITS) - 1
TICK_MASK = (1 << TICK_BITS) - 1
BUCKET_MULTIPLIER = 0x5BD1E995  # MurmurHash2's; spreads the tags over the second buckets
BUCKET_SHIFT = 7


class RetryReservations:
    """Table of retry times by digest."""

    def __init__(self, origin: float, buckets_log2: int = 13) -> None:
        """Create an empty table.

        Args:
            origin: Time in seconds before all retry times, which may be up to 9 days later.
            buckets_log2: Binary logarithm of the number of buckets.
        """
        self.origin = origin
        self.bucket_mask = (1 << buckets_log2) - 1
        self.entries = array("Q", bytes(ENTRY_BYTES * ENTRIES_PER_BUCKET << buckets_log2))

    @staticmethod
    def _tag(digest: int) -> int:
        return digest & TAG_MASK or 1  # an empty entry is 0

    def _candidate_indexes(self, digest: int) -> Iterator[int]:
        """Yield the indexes of the entries that may hold a digest."""
        first = digest >> TAG_BITS & self.bucket_mask
        # The second bucket is a function of the first and the tag alone.
        second = first ^ (self._tag(digest) * BUCKET_MULTIPLIER >> BUCKET_SHIFT & self.bucket_mask)
        for bucket in (first, second):
            start = bucket * ENTRIES_PER_BUCKET
            yield from range(start, start + ENTRIES_PER_BUCKET)

    def get(self, digest: int) -> float | None:
        """Return the retry time of a digest, or None."""
        tag = self._tag(digest)
        for index in self._candidate_indexes(digest):
            entry = self.entries[index]
            if entry >> TICK_BITS == tag:
                return self.origin + (entry & TICK_MASK) * TICK_SECONDS
        return None

    def put(self, now: float, digest: int, retry_at: float) -> None:
        """Set the retry time of a digest."""
        tag = self._tag(digest)
        tick = max(0, min(TICK_MASK, round((retry_at - self.origin) / TICK_SECONDS)))
        target_index = -1
        oldest_tick = inf
        for index in self._candidate_indexes(digest):
            entry = self.entries[index]
            if entry >> TICK_BITS == tag:
                target_index = index
                break
            entry_tick = -inf if entry == 0 else entry & TICK_MASK
            if entry_tick < oldest_tick:
                target_index = index
                oldest_tick = entry_tick
        self.entries[target_index] = tag << TICK_BITS | tick

    def remove(self, digest: int) -> None:
        """Remove a digest."""
        tag = self._tag(digest)
        for index in self._candidate_indexes(digest):
            if self.entries[index] >> TICK_BITS == tag:
                self.entries[index] = 0

    def size_bytes(self) -> int:
        """Return the size of the table in bytes."""
        return self.entries.itemsize * len(self.entries)
