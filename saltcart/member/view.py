"""One member's view of the fleet: what is known of each, a version, a digest, and what changed of late.

The digest is the exclusive or of the present members' marks, kept in ``BUCKETS`` parts, so that two members
find out by a few bytes whether they agree and, if not, where.  A view may stand on a ``Roster`` that it
shares with others and changes nothing of: a model of ten thousand members then holds one list and what each
knows otherwise, in the place of ten thousand lists.
"""

from __future__ import annotations

import random
from array import array
from collections import deque
from collections.abc import Iterable, Iterator
from math import gcd
from typing import NamedTuple

import xxhash

from saltcart.member.record import Record, State

BUCKETS = 64
HISTORY = 256  # changes that are kept


def bucket(name: str) -> int:
    return xxhash.xxh3_64_intdigest(name.encode()) & (BUCKETS - 1)


class Change(NamedTuple):
    """One change of the view; ``before`` is None for a member that was not known."""

    version: int
    at: float
    before: State | None
    record: Record


class Roster:
    """Members that are all present, for views to share; never changed."""

    def __init__(self, records: Iterable[Record] = ()) -> None:
        self.records = {r.name: r for r in records}
        self.names = tuple(self.records)
        self.digests = array("Q", bytes(8 * BUCKETS))
        self.parts: list[list[str]] = [[] for _ in range(BUCKETS)]
        for record in self.records.values():
            part = bucket(record.name)
            self.digests[part] ^= record.mark()
            self.parts[part].append(record.name)


class View:
    """``merge`` is commutative, associative and idempotent: views that heard the same are the same."""

    def __init__(self, base: Roster | None = None) -> None:
        self.base = base or Roster()
        self.own: dict[str, Record | None] = {}  # None: one of the base's that was forgotten
        self.more: list[str] = []  # names that the base has not
        self.place: dict[str, int] = {}  # where in ``more``
        self.present = len(self.base.names)
        self.gone: dict[str, float] = {}  # when each was found to be gone, in that order
        self.digests = array("Q", self.base.digests)
        self.version = 0
        self.history = deque[Change](maxlen=HISTORY)

    @property
    def digest(self) -> int:
        out = 0
        for part in self.digests:
            out ^= part
        return out

    def get(self, name: str) -> Record | None:
        if name in self.own:
            return self.own[name]
        return self.base.records.get(name)

    def merge(self, record: Record, now: float) -> Change | None:
        """Take a report in; None where it tells nothing new."""
        known = self.get(record.name)
        if known is not None and not record.overrides(known):
            return None
        name = record.name
        if name not in self.base.records and name not in self.place:
            self.place[name] = len(self.more)
            self.more.append(name)
        self.own[name] = record
        self.digests[bucket(name)] ^= record.mark() ^ (0 if known is None else known.mark())
        self.present += record.present - (known is not None and known.present)
        if record.present:
            self.gone.pop(name, None)
        else:
            self.gone.setdefault(name, now)
        self.version += 1
        change = Change(self.version, now, None if known is None else State(known.state), record)
        self.history.append(change)
        return change

    def forget(self, before: float) -> list[str]:
        """Drop those who were gone before a moment; returns their names."""
        dropped = []
        for name, at in self.gone.items():
            if at >= before:
                break
            dropped.append(name)
        for name in dropped:
            del self.gone[name]
            if name in self.base.records:
                self.own[name] = None
                continue
            del self.own[name]
            at_place, last = self.place.pop(name), self.more.pop()
            if last != name:
                self.more[at_place], self.place[last] = last, at_place
        return dropped

    # ---- looking for members ------------------------------------------------------------------

    def __len__(self) -> int:
        """Names that may be asked for by their number."""
        return len(self.base.names) + len(self.more)

    def at(self, number: int) -> Record | None:
        count = len(self.base.names)
        return self.get(self.base.names[number] if number < count else self.more[number - count])

    def __iter__(self) -> Iterator[Record]:
        """All that are known, the gone ones included."""
        for number in range(len(self)):
            if (record := self.at(number)) is not None:
                yield record

    def in_buckets(self, wanted: Iterable[int]) -> list[Record]:
        """All that is known of some parts, the gone ones included."""
        parts = set(wanted)
        names = [name for part in parts for name in self.base.parts[part]]
        names += [name for name in self.more if bucket(name) in parts]
        return [r for name in names if (r := self.get(name)) is not None]

    def sample(self, rng: random.Random, count: int, without: set[str]) -> list[Record]:
        """So many present members, drawn evenly; fewer where there are no more."""
        size = len(self)
        if size <= 4 * (count + len(without)):
            found = [r for r in self if r.present and r.name not in without]
            return rng.sample(found, min(count, len(found)))
        out, skip = list[Record](), set(without)
        for _ in range(8 * count):
            record = self.at(rng.randrange(size))
            if record is not None and record.present and record.name not in skip:
                out.append(record)
                skip.add(record.name)
                if len(out) == count:
                    return out
        found = [r for r in self if r.present and r.name not in skip]  # so many are gone that draws miss
        return out + rng.sample(found, min(count - len(out), len(found)))


class Rotation:
    """Numbers in turn, each once a round, in an order that differs from round to round and member to member.

    A walk by a stride that has no factor in common with the size, for which nothing is stored; a list that
    is shuffled each round is what it is measured against (docs/design/membership.md).
    """

    def __init__(self, rng: random.Random) -> None:
        self.rng, self.size, self.left, self.at, self.stride = rng, 0, 0, 0, 1

    def next(self, size: int) -> int:
        """The next number under ``size``; another size begins a new round."""
        if self.left <= 0 or size != self.size:
            self.size = self.left = size
            self.at = self.rng.randrange(size)
            self.stride = next(s for s in self._strides(size) if gcd(s, size) == 1)
        self.left -= 1
        self.at = (self.at + self.stride) % self.size
        return self.at

    def _strides(self, size: int) -> Iterator[int]:
        for _ in range(64):
            yield self.rng.randrange(1, max(2, size))
        yield 1
