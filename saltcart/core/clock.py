"""The core's clock: a time in seconds that runs on evenly and never back."""

from __future__ import annotations

from collections.abc import Callable


class CoreClock:
    """The time of the present turn; read anew wherever something comes in from the outside."""

    def __init__(self, read_seconds: Callable[[], float], seconds_ahead: Callable[[], float]) -> None:
        """``seconds_ahead``: how far this clock is ahead of the Unix clock by which peers write."""
        self.read_seconds = read_seconds
        self.seconds_ahead = seconds_ahead
        self.now = read_seconds()

    def read(self) -> float:
        """Read the clock for this turn and return the time."""
        self.now = max(self.now, self.read_seconds())
        return self.now
