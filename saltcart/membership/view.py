"""One member's view of the fleet: what is known of each, a version, a digest, and what changed of late.

The digest is the exclusive or of the present members' fingerprints, kept in ``BUCKETS`` parts, so that two
members find out by a few bytes whether they agree and, if not, where.  A view may stand on a
``MembershipSnapshot`` that it shares with others and changes nothing of: a model of ten thousand members then
holds one list and what each knows otherwise, in the place of ten thousand lists.
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
SCAN_FACTOR = 4  # up to so many times the members wanted, all are looked at in the place of draws
DRAWS_PER_MEMBER = 8  # before all are looked at, since so many are gone
STRIDE_DRAWS = 64  # for one without a common factor, before the stride of 1 is taken


def bucket_index(name: str) -> int:
    """Return the part of the digest that a member belongs to."""
    return xxhash.xxh3_64_intdigest(name.encode()) & (BUCKET_COUNT - 1)


class MembershipChange(NamedTuple):
    """One change of the view; ``previous_state`` is None for a member that was not known."""

    version: int
    changed_at: float
    previous_state: MemberState | None
    record: MemberRecord


class MembershipSnapshot:
    """Members that are all present, for views to share; never changed."""

    def __init__(self, records: Iterable[MemberRecord] = ()) -> None:
        self.records = {record.name: record for record in records}
        self.names = tuple(self.records)
        self.digests = array("Q", bytes(BYTES_PER_DIGEST * BUCKET_COUNT))
        self.names_by_bucket: list[list[str]] = [[] for _ in range(BUCKET_COUNT)]
        for record in self.records.values():
            number = bucket_index(record.name)
            self.digests[number] ^= record.fingerprint()
            self.names_by_bucket[number].append(record.name)


class MembershipView:
    """``merge`` is commutative, associative and idempotent: views that heard the same are the same."""

    def __init__(self, snapshot: MembershipSnapshot | None = None) -> None:
        self.snapshot = snapshot or MembershipSnapshot()
        self.local_records: dict[
            str, MemberRecord | None
        ] = {}  # None: one of the snapshot's that was forgotten
        self.local_names: list[str] = []  # that the snapshot has not
        self.local_positions: dict[str, int] = {}  # of these, in ``own_names``
        self.present_count = len(self.snapshot.names)
        self.gone_since: dict[str, float] = {}  # when each was found to be gone, in that order
        self.digests = array("Q", self.snapshot.digests)
        self.version = 0
        self.history = deque[MembershipChange](maxlen=MAX_HISTORY)

    @property
    def digest(self) -> int:
        """The digest of the whole view."""
        whole = 0
        for digest in self.digests:
            whole ^= digest
        return whole

    def get(self, name: str) -> MemberRecord | None:
        """Return what is known of a member."""
        if name in self.local_records:
            return self.local_records[name]
        return self.snapshot.records.get(name)

    def merge(self, record: MemberRecord, now: float) -> MembershipChange | None:
        """Take a report in; None where it tells nothing new."""
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
            self.gone_since.pop(name, None)
        else:
            self.gone_since.setdefault(name, now)
        self.version += 1
        previous_state = None if known is None else MemberState(known.state)
        change = MembershipChange(self.version, now, previous_state, record)
        self.history.append(change)
        return change

    def forget(self, before: float) -> list[str]:
        """Drop those who were gone before a moment; returns their names."""
        names = []
        for name, at in self.gone_since.items():
            if at >= before:
                break
            names.append(name)
        for name in names:
            self._drop(name)
        return names

    def _drop(self, name: str) -> None:
        del self.gone_since[name]
        if name in self.snapshot.records:
            self.local_records[name] = None
            return
        del self.local_records[name]
        position = self.local_positions.pop(name)
        last = self.local_names.pop()
        if last != name:  # it takes the free place
            self.local_names[position] = last
            self.local_positions[last] = position

    # ---- looking for members ------------------------------------------------------------------

    def __len__(self) -> int:
        """Return how many names may be asked for by their number."""
        return len(self.snapshot.names) + len(self.local_names)

    def record_at(self, number: int) -> MemberRecord | None:
        """Return the member of a number; None for one that was forgotten."""
        count = len(self.snapshot.names)
        return self.get(self.snapshot.names[number] if number < count else self.local_names[number - count])

    def __iter__(self) -> Iterator[MemberRecord]:
        """Yield all that are known, the gone ones included."""
        for number in range(len(self)):
            record = self.record_at(number)
            if record is not None:
                yield record

    def records_in_buckets(self, wanted: Iterable[int]) -> list[MemberRecord]:
        """Return all that are known of some buckets, the gone ones included."""
        numbers = set(wanted)
        names = [name for number in numbers for name in self.snapshot.names_by_bucket[number]]
        names += [name for name in self.local_names if bucket_index(name) in numbers]
        return [record for name in names if (record := self.get(name)) is not None]

    def sample(self, rng: random.Random, count: int, excluded: set[str]) -> list[MemberRecord]:
        """Return so many present members, drawn evenly; fewer where there are no more."""
        size = len(self)
        if size <= SCAN_FACTOR * (count + len(excluded)):
            return self._sample_all(rng, count, excluded)
        drawn = list[MemberRecord]()
        skipped = set(excluded)
        for _ in range(DRAWS_PER_MEMBER * count):
            record = self.record_at(rng.randrange(size))
            if record is not None and record.is_present and record.name not in skipped:
                drawn.append(record)
                skipped.add(record.name)
                if len(drawn) == count:
                    return drawn
        return drawn + self._sample_all(rng, count - len(drawn), skipped)

    def _sample_all(self, rng: random.Random, count: int, excluded: set[str]) -> list[MemberRecord]:
        found = [record for record in self if record.is_present and record.name not in excluded]
        return rng.sample(found, min(count, len(found)))


class ProbeRotation:
    """Numbers in turn, each once a round, in an order that differs from round to round and member to member.

    A walk by a stride that has no factor in common with the size, for which nothing is stored; a list that
    is shuffled each round is what it is measured against (docs/design/membership.md).
    """

    def __init__(self, rng: random.Random) -> None:
        self.rng = rng
        self.size = 0
        self.left = 0  # numbers of this round
        self.position = 0
        self.stride = 1

    def next(self, size: int) -> int:
        """Return the next number under ``size``; another size begins a new round."""
        if self.left <= 0 or size != self.size:
            self.size = size
            self.left = size
            self.position = self.rng.randrange(size)
            self.stride = next(stride for stride in self._strides(size) if gcd(stride, size) == 1)
        self.left -= 1
        self.position = (self.position + self.stride) % self.size
        return self.position

    def _strides(self, size: int) -> Iterator[int]:
        for _ in range(STRIDE_DRAWS):
            yield self.rng.randrange(1, max(2, size))
        yield 1
