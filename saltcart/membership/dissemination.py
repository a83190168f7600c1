"""Queue of items to disseminate by gossip, those sent least often first, each a bounded number of times.

Items are kept in one dict for each transmission count, so that taking the next ones needs no sorting.
``docs/design/membership.md`` compares this with a list that is sorted on each call.
"""

from __future__ import annotations

from math import ceil, log10
from typing import Generic, Protocol, TypeVar

from saltcart.membership.member_record import MemberRecord

RETRANSMIT_FACTOR = 6.0  # transmissions of an item, per decimal order of magnitude of the fleet's size


def retransmit_limit(members: int) -> int:
    """Return how often each item is sent in a fleet of this many members (SWIM, 2002, section 4.1)."""
    return ceil(RETRANSMIT_FACTOR * log10(members + 1))


class Disseminated(Protocol):
    """An item of a ``DisseminationQueue``."""

    @property
    def name(self) -> str:
        """Key of the item: a later item of the same name replaces it."""

    def max_encoded_bytes(self) -> int:
        """Return an upper bound of the item's encoded size in bytes."""


Item = TypeVar("Item", bound=Disseminated)


class DisseminationQueue(Generic[Item]):
    """The latest item of each name, ordered by how often it was sent."""

    def __init__(self) -> None:
        self.items_by_transmit_count: list[dict[str, Item]] = [{}]
        self.transmit_counts: dict[str, int] = {}

    def __len__(self) -> int:
        """Return the number of items that are still to be sent."""
        return len(self.transmit_counts)

    def put(self, item: Item) -> None:
        """Queue an item, replacing an earlier one of the same name."""
        count = self.transmit_counts.pop(item.name, None)
        if count is not None:
            del self.items_by_transmit_count[count][item.name]
        self.items_by_transmit_count[0][item.name] = item
        self.transmit_counts[item.name] = 0

    def take(self, available_bytes: int, transmit_limit: int) -> list[Item]:
        """Return the next items and count them as sent.

        Args:
            available_bytes: Upper bound of the items' encoded size in bytes.
            transmit_limit: Number of transmissions after which an item is removed from the queue.
        """
        taken = list[Item]()
        if not self.transmit_counts:
            return taken
        for items in self.items_by_transmit_count:
            for item in items.values():
                size = item.max_encoded_bytes()
                if size > available_bytes:
                    return self._count_sent(taken, transmit_limit)
                available_bytes -= size
                taken.append(item)
        return self._count_sent(taken, transmit_limit)

    def _count_sent(self, items: list[Item], transmit_limit: int) -> list[Item]:
        for item in items:
            count = self.transmit_counts.pop(item.name)
            del self.items_by_transmit_count[count][item.name]
            count += 1
            if count >= transmit_limit:
                continue
            if count == len(self.items_by_transmit_count):
                self.items_by_transmit_count.append({})
            self.items_by_transmit_count[count][item.name] = item
            self.transmit_counts[item.name] = count
        return items


UpdateQueue = DisseminationQueue[MemberRecord]  # membership updates
