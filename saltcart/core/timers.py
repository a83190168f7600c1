"""Timers by a clock that is passed in; a driver asks when the next one is due."""

from __future__ import annotations

import heapq
import itertools
from collections.abc import Callable
from typing import Any


class Timers:
    """Calls to make at given times, in seconds; two of one time are made in the order of their setting."""

    def __init__(self) -> None:
        self.heap: list[tuple[float, int, Callable[..., None], tuple[Any, ...]]] = []
        self.order = itertools.count()
        self.on_earlier_due: Callable[[], None] | None = None  # called when the next due time moved forward

    def call_at(self, when: float, call: Callable[..., None], *args: Any) -> None:
        """Make a call at this time."""
        entry = (when, next(self.order), call, args)
        heapq.heappush(self.heap, entry)
        if self.on_earlier_due is not None and self.heap[0] is entry:
            self.on_earlier_due()

    def next_due(self) -> float | None:
        """Return when the next call is due, or None while there is none."""
        return self.heap[0][0] if self.heap else None

    def run(self, now: float) -> None:
        """Make the calls that are due; what they set anew waits for the next turn, even if it is due."""
        due = []
        while self.heap and self.heap[0][0] <= now:
            due.append(heapq.heappop(self.heap))
        for index, (_, _, call, args) in enumerate(due):
            try:
                call(*args)
            except BaseException:
                for entry in due[index + 1 :]:  # one that fails must not take the others with it
                    heapq.heappush(self.heap, entry)
                raise
