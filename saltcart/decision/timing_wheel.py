"""A timing wheel, which schedules items in slots of one tick."""

from __future__ import annotations

from collections.abc import Iterator
from typing import Generic, TypeVar

Item = TypeVar("Item")


class TimingWheel(Generic[Item]):
    """Items grouped by the tick in which they are due; scheduling and removing one take constant time."""

    def __init__(self, tick_seconds: float) -> None:
        self.tick_seconds = tick_seconds
        self.slots: dict[int, list[Item]] = {}
        self.position = 0  # last tick whose items were removed

    def start(self, now: float) -> None:
        """Start the wheel at a time in seconds."""
        self.position = int(now / self.tick_seconds)

    def schedule(self, at: float, item: Item) -> None:
        """Schedule an item for the tick of ``at``, or for the next tick if that has passed."""
        self.slots.setdefault(max(self.position + 1, int(at / self.tick_seconds)), []).append(item)

    def schedule_after(self, at: float, item: Item) -> None:
        """Schedule an item for the tick after that of ``at``, so that it is never removed early."""
        self.slots.setdefault(int(at / self.tick_seconds) + 1, []).append(item)

    def advance(self, now: float) -> Iterator[Item]:
        """Remove and yield all items due by ``now``, including those scheduled during the iteration."""
        last = int(now / self.tick_seconds)
        # Skip the empty ticks before the first item: the clock may be days ahead of the initial position.
        first = min(last, min(self.slots, default=last))
        self.position = max(self.position, first - 1)
        while self.position < last:
            self.position += 1
            yield from self.slots.pop(self.position, ())
