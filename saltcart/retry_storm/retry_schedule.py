"""The schedule of retries: each caller that is rejected is given a moment at which there will be room.

Room is what the server can do, which rises while it grows warm, less what comes anew.  It is given out in
small slots of time, each place once; within the first second that has places one is drawn, so that callers
don't come back together, and the fleet's servers, each with its own draws and its own load, don't act in
step.
"""

from __future__ import annotations

import random
from collections import deque
from collections.abc import Callable

SLOT_SECONDS = 0.1
SPREAD_SLOTS = 10  # among which a place is drawn
MIN_RETRY_SHARE = 0.1  # of the capacity is given to retries, however much comes anew


class RetrySchedule:
    """Places for retries, slot by slot."""

    def __init__(self, rng: random.Random, horizon: float, capacity_at: Callable[[float], float]) -> None:
        """``capacity_at``: places a second at a moment, asked when its slot comes into reach.

        ``horizon``: seconds; no place is given out beyond it.
        """
        self.rng = rng
        self.horizon = horizon
        self.capacity_at = capacity_at
        self.first_slot = 0  # its number
        self.places = deque[int]()  # free in each slot from the first on
        self.reserved_count = 0

    def _advance(self, now: float) -> None:
        """Drop the slots that have passed: their places were not taken."""
        first = int(now / SLOT_SECONDS)
        if first - self.first_slot > len(self.places):
            self.places.clear()
            self.first_slot = first
        while self.first_slot < first and self.places:
            self.places.popleft()
            self.first_slot += 1
        self.first_slot = first

    def _add_slot(self) -> None:
        """Add one more slot; parts of a place are given out by chance."""
        middle = (self.first_slot + len(self.places) + 0.5) * SLOT_SECONDS
        places = self.capacity_at(middle) * SLOT_SECONDS
        whole = int(places)
        self.places.append(whole + (self.rng.random() < places - whole))

    def reserve(self, now: float, least: float) -> float | None:
        """Return a moment ``least`` seconds from now or later; None where the whole horizon is given out."""
        self._advance(now)
        start = int((now + least) / SLOT_SECONDS) + 1 - self.first_slot
        end = int(self.horizon / SLOT_SECONDS)
        for first in range(start, end, SPREAD_SLOTS):
            chosen = self._draw_slot(first)
            if chosen is not None:
                self.places[chosen] -= 1
                self.reserved_count += 1
                return (self.first_slot + chosen + self.rng.random()) * SLOT_SECONDS
        return None

    def _draw_slot(self, first: int) -> int | None:
        while len(self.places) <= first + SPREAD_SLOTS:
            self._add_slot()
        free = [slot for slot in range(first, first + SPREAD_SLOTS) if self.places[slot] > 0]
        return self.rng.choice(free) if free else None
