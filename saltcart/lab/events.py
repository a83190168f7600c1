"""A discrete-event clock: a heap and nothing more.  docs/design/budgets.md has it beside simpy."""

from __future__ import annotations

import heapq
import itertools
from collections.abc import Callable
from typing import Any

from saltcart.core.service import Service


class EventQueue:
    """Simulated time in seconds; what is due at one moment runs in the order in which it was asked for."""

    def __init__(self, start: float = 1_000.0) -> None:
        self.now = start
        self.heap: list[tuple[float, int, Callable[..., None], tuple[Any, ...]]] = []
        self.order = itertools.count()

    def clock(self) -> float:
        return self.now

    def at(self, when: float, call: Callable[..., None], *args: Any) -> None:
        heapq.heappush(self.heap, (max(when, self.now), next(self.order), call, args))

    def run(self, until: float) -> None:
        """Run what is due up to ``until``, and leave the clock there."""
        while self.heap and self.heap[0][0] <= until:
            self.now, _, call, args = heapq.heappop(self.heap)
            call(*args)
        self.now = until


class DueTimer:
    """Rings something that says when it is next due, as the event loop's timer does in the service."""

    def __init__(self, events: EventQueue, due: Callable[[], float | None], ring: Callable[[], None]) -> None:
        self.events, self.due, self.ring = events, due, ring
        self.armed = float("inf")

    def arm(self) -> None:
        due = self.due()
        if due is not None and due < self.armed:
            self.armed = due
            self.events.at(due, self._fire, due)

    def _fire(self, when: float) -> None:
        if when != self.armed:
            return  # an earlier one has been armed since, and looked again
        self.armed = float("inf")
        if (due := self.due()) is not None and due <= self.events.now:
            self.ring()
        self.arm()


def start_service_timer(events: EventQueue, service: Service) -> DueTimer:
    """The core's timers by the model's clock."""
    ticks = DueTimer(events, service.next_due, service.tick)
    service.timers.on_earlier_due = ticks.arm
    ticks.arm()
    return ticks
