"""What a member still has to pass on: the latest of each, a bounded number of times, least sent first.

Items stand in one dict for each number of times that they were sent, so taking the next few costs no sorting;
a list that is sorted each time is what it is measured against (docs/design/membership.md).
"""

from __future__ import annotations

from math import ceil, log10
from typing import Generic, Protocol, TypeVar

from saltcart.membership.member_record import MemberRecord

RETRANSMIT_FACTOR = 6.0  # times the logarithm (base 10) of the members: how often an item is sent


def retransmit_limit(members: int) -> int:
    """Return how often each item is sent in a fleet of so many (SWIM, 2002, section 4.1)."""
    return ceil(RETRANSMIT_FACTOR * log10(members + 1))


class Disseminated(Protocol):
    """What is passed on: the latest under a name."""

    @property
    def name(self) -> str:
        """Under which a later one replaces it."""

    def max_encoded_bytes(self) -> int:
        """Return how many bytes it takes on the wire, at most."""


Item = TypeVar("Item", bound=Disseminated)


class DisseminationQueue(Generic[Item]):
    """The latest of each name, by how often it was sent."""

    def __init__(self) -> None:
        self.tiers: list[dict[str, Item]] = [{}]  # by how often their items were sent
        self.times_sent: dict[str, int] = {}

    def __len__(self) -> int:
        """Return how many items are still to be sent."""
        return len(self.times_sent)

    def put(self, item: Item) -> None:
        """Send this one from now on, in the place of an older one of its name."""
        times = self.times_sent.pop(item.name, None)
        if times is not None:
            del self.tiers[times][item.name]
        self.tiers[0][item.name] = item
        self.times_sent[item.name] = 0

    def take(self, room: int, limit: int) -> list[Item]:
        """Return what fits into ``room`` bytes; what was sent ``limit`` times is dropped."""
        taken = list[Item]()
        if not self.times_sent:
            return taken
        for tier in self.tiers:
            for item in tier.values():
                size = item.max_encoded_bytes()
                if size > room:
                    return self._count_sent(taken, limit)
                room -= size
                taken.append(item)
        return self._count_sent(taken, limit)

    def _count_sent(self, items: list[Item], limit: int) -> list[Item]:
        for item in items:
            times = self.times_sent.pop(item.name)
            del self.tiers[times][item.name]
            times += 1
            if times >= limit:
                continue
            if times == len(self.tiers):
                self.tiers.append({})
            self.tiers[times][item.name] = item
            self.times_sent[item.name] = times
        return items


UpdateQueue = DisseminationQueue[MemberRecord]
