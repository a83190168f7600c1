"""Schedule of retries: reserves a retry time for each rejected request, within the expected spare capacity.

The spare capacity is what the server can serve, which rises while it warms up, less the rate of new
requests.  It is divided into short time slots, and each unit of it is reserved once.  The slot is drawn at
random from the first second with free capacity.  This jitter keeps callers from returning together, and
keeps the fleet's servers, each with its own random numbers and load, from acting in step.
"""

from __future__ import annotations

import random
from collections import deque
from collections.abc import Callable

SLOT_SECONDS = 0.1
JITTER_SLOTS = 10  # consecutive slots from which one is drawn
MIN_RETRY_SHARE = 0.1  # of the capacity, reserved for retries however many new requests arrive


class RetrySchedule:
    """Free retry capacity by time slot."""

    def __init__(self, rng: random.Random, horizon: float, capacity_at: Callable[[float], float]) -> None:
        """Create an empty schedule.

        Args:
            rng: Source of the jitter.
            horizon: Seconds ahead within which retries are scheduled.
            capacity_at: Returns the retries per second that can be served at a time; called once for each
                slot, when the schedule is extended to it.
        """
        self.rng = rng
        self.horizon = horizon
        self.capacity_at = capacity_at
        self.first_slot = 0  # number of the slot that holds the current time
        self.free_capacity = deque[int]()  # unreserved retries in each slot, starting with the first slot
        self.reserved_count = 0

    def _advance(self, now: float) -> None:
        """Drop the slots that have passed, with their unreserved capacity."""
        current_slot = int(now / SLOT_SECONDS)
        if current_slot - self.first_slot > len(self.free_capacity):
            self.free_capacity.clear()
            self.first_slot = current_slot
        while self.first_slot < current_slot and self.free_capacity:
            self.free_capacity.popleft()
            self.first_slot += 1
        self.first_slot = current_slot

    def _add_slot(self) -> None:
        """Add one more slot; the fraction of its capacity is rounded up or down at random."""
        middle = (self.first_slot + len(self.free_capacity) + 0.5) * SLOT_SECONDS
        capacity = self.capacity_at(middle) * SLOT_SECONDS
        whole = int(capacity)
        self.free_capacity.append(whole + (self.rng.random() < capacity - whole))

    def reserve(self, now: float, min_delay: float) -> float | None:
        """Reserve capacity for one retry.

        Args:
            now: Current time in seconds.
            min_delay: Minimum seconds until the retry.

        Returns:
            Time of the retry in seconds; None if no capacity is free within the horizon.
        """
        self._advance(now)
        start = int((now + min_delay) / SLOT_SECONDS) + 1 - self.first_slot
        end = int(self.horizon / SLOT_SECONDS)
        for first in range(start, end, JITTER_SLOTS):
            chosen = self._draw_slot(first)
            if chosen is not None:
                self.free_capacity[chosen] -= 1
                self.reserved_count += 1
                return (self.first_slot + chosen + self.rng.random()) * SLOT_SECONDS
        return None

    def _draw_slot(self, first: int) -> int | None:
        """Return the index of a random slot with free capacity, one of ``JITTER_SLOTS`` from an index on."""
        while len(self.free_capacity) <= first + JITTER_SLOTS:
            self._add_slot()
        free_slots = [slot for slot in range(first, first + JITTER_SLOTS) if self.free_capacity[slot] > 0]
        return self.rng.choice(free_slots) if free_slots else None
