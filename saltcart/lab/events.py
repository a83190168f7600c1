"""Discrete-event simulation on a heap; docs/design/budgets.md compares it with simpy."""

from __future__ import annotations

import heapq
import itertools
from collections.abc import Callable
from typing import Any

from saltcart.core.service import Service


class EventQueue:
    """Simulated time and the callbacks that are scheduled; those of one time run in the order of scheduling.

    Attributes:
        now: The simulated time, in seconds.
        heap: Time, sequence number, callback and arguments of each scheduled call.
        sequence: Source of the sequence numbers.
    """

    def __init__(self, start: float = 1_000.0) -> None:
        self.now = start
        self.heap: list[tuple[float, int, Callable[..., None], tuple[Any, ...]]] = []
        self.sequence = itertools.count()

    def clock(self) -> float:
        """Return the simulated time, for code that takes a clock function."""
        return self.now

    def at(self, when: float, callback: Callable[..., None], *args: Any) -> None:
        """Schedule a callback at a time; one in the past is run at the current time."""
        heapq.heappush(self.heap, (max(when, self.now), next(self.sequence), callback, args))

    def run(self, until: float) -> None:
        """Run the callbacks that are due up to a time, and set the simulated time to it."""
        while self.heap and self.heap[0][0] <= until:
            self.now, _, callback, args = heapq.heappop(self.heap)
            callback(*args)
        self.now = until


class DueTimer:
    """Runs a callback at the time that a function returns, as the event loop's timer does in the service."""

    def __init__(
        self, events: EventQueue, next_due: Callable[[], float | None], callback: Callable[[], None]
    ) -> None:
        """Create a timer that is not set yet.

        Args:
            events: The queue that schedules the callback.
            next_due: Returns when the callback is due next, in seconds of simulated time; None if never.
            callback: Called when it is due.
        """
        self.events, self.next_due, self.callback = events, next_due, callback
        self.armed_for = float("inf")

    def arm(self) -> None:
        """Schedule the callback if it is due earlier than scheduled."""
        due = self.next_due()
        if due is not None and due < self.armed_for:
            self.armed_for = due
            self.events.at(due, self._fire, due)

    def _fire(self, when: float) -> None:
        if when != self.armed_for:
            return  # superseded by an earlier time, at which the timer was set again
        self.armed_for = float("inf")
        if (due := self.next_due()) is not None and due <= self.events.now:
            self.callback()
        self.arm()


def start_service_timer(events: EventQueue, service: Service) -> DueTimer:
    """Run the timers of a service on simulated time, and return the timer that does so."""
    timer = DueTimer(events, service.next_due, service.tick)
    service.timers.on_earlier_due = timer.arm
    timer.arm()
    return timer
