"""What a member still has to pass on: the latest report of each, a bounded number of times, least told first.

Reports stand in one dict for each number of times that they were told, so taking the next few costs no
sorting; a list that is sorted each time is what it is measured against (docs/design/membership.md).
"""

from __future__ import annotations

from math import ceil, log10
from typing import Generic, Protocol, TypeVar

from saltcart.member.record import Record

ROUNDS = 6.0  # times the logarithm (base 10) of the members: how often a report is told


def tellings(members: int) -> int:
    """How often each report is told in a fleet of so many (SWIM, 2002, section 4.1)."""
    return ceil(ROUNDS * log10(members + 1))


class Tellable(Protocol):
    @property
    def name(self) -> str: ...
    def size(self) -> int: ...


T = TypeVar("T", bound=Tellable)


class Tiers(Generic[T]):
    """The latest of each name, by how often it was told."""

    def __init__(self) -> None:
        self.told: list[dict[str, T]] = [{}]
        self.count: dict[str, int] = {}

    def __len__(self) -> int:
        return len(self.count)

    def put(self, record: T) -> None:
        """Tell this one from now on, in the place of an older one."""
        before = self.count.pop(record.name, None)
        if before is not None:
            del self.told[before][record.name]
        self.told[0][record.name] = record
        self.count[record.name] = 0

    def take(self, room: int, most: int) -> list[T]:
        """What fits into ``room`` bytes; what was told ``most`` times is dropped."""
        out = list[T]()
        if not self.count:
            return out
        for tier in self.told:
            for record in tier.values():
                size = record.size()
                if size > room:
                    return self._tell(out, most)
                room -= size
                out.append(record)
        return self._tell(out, most)

    def _tell(self, records: list[T], most: int) -> list[T]:
        for record in records:
            times = self.count.pop(record.name)
            del self.told[times][record.name]
            if times + 1 < most:
                if times + 1 == len(self.told):
                    self.told.append({})
                self.told[times + 1][record.name] = record
                self.count[record.name] = times + 1
        return records


Spread = Tiers[Record]  # news of members
