"""The core's clock, in seconds: it advances steadily and never goes back."""

from __future__ import annotations

from collections.abc import Callable


class CoreClock:
    """The time of the event being handled; it is read again for each event from outside the core."""

    def __init__(self, read_seconds: Callable[[], float], seconds_ahead: Callable[[], float]) -> None:
        """Read the clock for the first time.

        Args:
            read_seconds: Returns the time in seconds; it isn't affected when the Unix clock is set.
            seconds_ahead: Returns by how many seconds this clock is ahead of the Unix clock, in which peers
                express times.
        """
        self.read_seconds = read_seconds
        self.seconds_ahead = seconds_ahead
        self.now = read_seconds()

    def read(self) -> float:
        """Update ``now`` and return it; it never decreases."""
        self.now = max(self.now, self.read_seconds())
        return self.now
