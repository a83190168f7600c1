"""One member's view of the fleet: its records, version, digest and latest changes.

The digest is the exclusive or of the present members' fingerprints.  It is kept in ``BUCKET_COUNT`` parts, so
that two members find out with few bytes whether their views agree and, if not, in which buckets they differ.
A view may be based on an immutable ``MembershipSnapshot`` that it shares with other views: a model of ten
thousand members then holds one list and each view's differences from it, instead of ten thousand lists.
"""

from __future__ import annotations

import random
from array import array
from collections import deque
from collections.abc import Iterable, Iterator
from math import gcd
from typing import NamedTuple

import xxhash

from saltcart.membership.member_record import MemberRecord, MemberState

BUCKET_COUNT = 64
BYTES_PER_DIGEST = 8
MAX_HISTORY = 256  # changes that are kept
SCAN_FACTOR = 4  # names per wanted or excluded member, up to which a sample scans all records
DRAWS_PER_MEMBER = 8  # per wanted member, before a scan; many draws fail if many members are gone
STRIDE_DRAWS = 64  # random draws for a stride coprime to the size before a stride of 1 is used


def bucket_index(name: str) -> int:
    """Return the index of the digest bucket that a member belongs to."""
    return xxhash.xxh3_64_intdigest(name.encode()) & (BUCKET_COUNT - 1)


class MembershipChange(NamedTuple):
    """One change of a view.

    Attributes:
        version: The view's version after the change.
        changed_at: Time of the change in seconds.
        previous_state: None if the member was not known before.
        record: The member's new record.
    """

    version: int
    changed_at: float
    previous_state: MemberState | None
    record: MemberRecord


class MembershipSnapshot:
    """An immutable set of present members on which several views can be based."""

    def __init__(self, records: Iterable[MemberRecord] = ()) -> None:
        self.records = {record.name: record for record in records}
        self.names = tuple(self.records)
        self.digests = array("Q", bytes(BYTES_PER_DIGEST * BUCKET_COUNT))
        self.names_by_bucket: list[list[str]] = [[] for _ in range(BUCKET_COUNT)]
        for record in self.records.values():
            index = bucket_index(record.name)
            self.digests[index] ^= record.fingerprint()
            self.names_by_bucket[index].append(record.name)


class MembershipView:
    """The newest known record of each member.

    ``merge`` is commutative, associative and idempotent: views that merged the same reports are equal.
    Members that are gone (dead or left) are kept as tombstones until ``forget`` removes them.

    Attributes:
        local_records: Records that replace the snapshot's or are missing in it; None for a forgotten member
            of the snapshot.
        local_names: Names of the known members that are not in the snapshot.
        local_positions: Index of each of these names in ``local_names``.
        tombstone_times: Time in seconds at which each gone member was first reported gone, oldest first.
        digests: The digest of each bucket.
        version: Number of changes so far.
        history: The latest changes.
    """

    def __init__(self, snapshot: MembershipSnapshot | None = None) -> None:
        self.snapshot = snapshot or MembershipSnapshot()
        self.local_records: dict[str, MemberRecord | None] = {}
        self.local_names: list[str] = []
        self.local_positions: dict[str, int] = {}
        self.present_count = len(self.snapshot.names)
        self.tombstone_times: dict[str, float] = {}
        self.digests = array("Q", self.snapshot.digests)
        self.version = 0
        self.history = deque[MembershipChange](maxlen=MAX_HISTORY)

    @property
    def digest(self) -> int:
        """The 64-bit digest of the whole view."""
        combined = 0
        for digest in self.digests:
            combined ^= digest
        return combined

    def get(self, name: str) -> MemberRecord | None:
        """Return the record of a member, or None if it is unknown or forgotten."""
        if name in self.local_records:
            return self.local_records[name]
        return self.snapshot.records.get(name)

    def merge(self, record: MemberRecord, now: float) -> MembershipChange | None:
        """Merge a report into the view.

        Args:
            record: The report.
            now: Time in seconds.

        Returns:
            The change; None if the report doesn't override the known record.
        """
        known = self.get(record.name)
        if known is not None and not record.overrides(known):
            return None
        name = record.name
        if name not in self.snapshot.records and name not in self.local_positions:
            self.local_positions[name] = len(self.local_names)
            self.local_names.append(name)
        self.local_records[name] = record
        known_fingerprint = 0 if known is None else known.fingerprint()
        self.digests[bucket_index(name)] ^= record.fingerprint() ^ known_fingerprint
        self.present_count += record.is_present - (known is not None and known.is_present)
        if record.is_present:
            self.tombstone_times.pop(name, None)
        else:
            self.tombstone_times.setdefault(name, now)
        self.version += 1
        previous_state = None if known is None else MemberState(known.state)
        change = MembershipChange(self.version, now, previous_state, record)
        self.history.append(change)
        return change

    def forget(self, before: float) -> list[str]:
        """Remove the tombstones of members that have been gone since before a time in seconds.

        Returns:
            The names of the removed members.
        """
        names = []
        for name, departed_at in self.tombstone_times.items():
            if departed_at >= before:
                break
            names.append(name)
        for name in names:
            self._remove(name)
        return names

    def _remove(self, name: str) -> None:
        del self.tombstone_times[name]
        if name in self.snapshot.records:
            self.local_records[name] = None
            return
        del self.local_records[name]
        position = self.local_positions.pop(name)
        last = self.local_names.pop()
        if last != name:  # move the last name into the free position
            self.local_names[position] = last
            self.local_positions[last] = position

    # ---- lookup and sampling ------------------------------------------------------------------

    def __len__(self) -> int:
        """Return the number of valid indexes of ``record_at``, which includes those of forgotten members."""
        return len(self.snapshot.names) + len(self.local_names)

    def record_at(self, index: int) -> MemberRecord | None:
        """Return the record at an index, or None for a forgotten member of the snapshot."""
        count = len(self.snapshot.names)
        return self.get(self.snapshot.names[index] if index < count else self.local_names[index - count])

    def __iter__(self) -> Iterator[MemberRecord]:
        """Iterate over all records, those of gone members included."""
        for index in range(len(self)):
            record = self.record_at(index)
            if record is not None:
                yield record

    def records_in_buckets(self, buckets: Iterable[int]) -> list[MemberRecord]:
        """Return all records in the given buckets, those of gone members included."""
        indexes = set(buckets)
        names = [name for index in indexes for name in self.snapshot.names_by_bucket[index]]
        names += [name for name in self.local_names if bucket_index(name) in indexes]
        return [record for name in names if (record := self.get(name)) is not None]

    def sample(self, rng: random.Random, count: int, excluded: set[str]) -> list[MemberRecord]:
        """Return a uniform random sample of the present members.

        Args:
            rng: Source of randomness.
            count: Size of the sample; it is smaller if too few members are present.
            excluded: Names of members to leave out.
        """
        size = len(self)
        if size <= SCAN_FACTOR * (count + len(excluded)):
            return self._sample_by_scan(rng, count, excluded)
        drawn = list[MemberRecord]()
        skipped = set(excluded)
        for _ in range(DRAWS_PER_MEMBER * count):
            record = self.record_at(rng.randrange(size))
            if record is not None and record.is_present and record.name not in skipped:
                drawn.append(record)
                skipped.add(record.name)
                if len(drawn) == count:
                    return drawn
        return drawn + self._sample_by_scan(rng, count - len(drawn), skipped)

    def _sample_by_scan(self, rng: random.Random, count: int, excluded: set[str]) -> list[MemberRecord]:
        candidates = [record for record in self if record.is_present and record.name not in excluded]
        return rng.sample(candidates, min(count, len(candidates)))


class ProbeRotation:
    """Yields each index once per round, in an order that differs between rounds and between members.

    It steps by a stride that is coprime to the size, for which no list has to be stored.
    ``docs/design/membership.md`` compares this with a list that is shuffled each round.
    """

    def __init__(self, rng: random.Random) -> None:
        self.rng = rng
        self.size = 0
        self.remaining = 0  # indexes left in this round
        self.position = 0
        self.stride = 1

    def next(self, size: int) -> int:
        """Return the next index below ``size``; a changed size begins a new round."""
        if self.remaining <= 0 or size != self.size:
            self.size = size
            self.remaining = size
            self.position = self.rng.randrange(size)
            self.stride = next(stride for stride in self._strides(size) if gcd(stride, size) == 1)
        self.remaining -= 1
        self.position = (self.position + self.stride) % self.size
        return self.position

    def _strides(self, size: int) -> Iterator[int]:
        for _ in range(STRIDE_DRAWS):
            yield self.rng.randrange(1, max(2, size))
        yield 1
