"""Timers that a driver runs; they read no clock of their own."""

from __future__ import annotations

import heapq
import itertools
from collections.abc import Callable
from typing import Any


class Timers:
    """Callbacks due at given times, in seconds; those due at the same time run in the order they were set."""

    def __init__(self) -> None:
        # Entries of due time, sequence number, callback and its arguments.
        self.heap: list[tuple[float, int, Callable[..., None], tuple[Any, ...]]] = []
        self.sequence = itertools.count()
        self.on_earlier_due: Callable[[], None] | None = None  # called when the next due time becomes earlier

    def call_at(self, when: float, callback: Callable[..., None], *args: Any) -> None:
        """Schedule ``callback(*args)`` for the time ``when``."""
        entry = (when, next(self.sequence), callback, args)
        heapq.heappush(self.heap, entry)
        if self.on_earlier_due is not None and self.heap[0] is entry:
            self.on_earlier_due()

    def next_due(self) -> float | None:
        """Return when the next callback is due, or None if none is scheduled."""
        return self.heap[0][0] if self.heap else None

    def run(self, now: float) -> None:
        """Run the callbacks that are due.

        Callbacks that they schedule wait for the next call of ``run``, even if they are due already.  If one
        raises, those after it are scheduled again before the error propagates.
        """
        due = []
        while self.heap and self.heap[0][0] <= now:
            due.append(heapq.heappop(self.heap))
        for index, (_, _, callback, args) in enumerate(due):
            try:
                callback(*args)
            except BaseException:
                for entry in due[index + 1 :]:
                    heapq.heappush(self.heap, entry)
                raise
