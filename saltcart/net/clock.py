"""The service's clock, and the event loop's timer for the core's timers."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable

from saltcart.core.service import Service


class Clock:
    """Unix time at the start, advanced from there by the monotonic clock.

    With the Unix clock alone, setting it back by a minute would stop every timer for that minute, and setting
    it forward would end every wait and every key window.
    """

    def __init__(
        self,
        unix_clock: Callable[[], float] = time.time,
        monotonic_clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self.unix_clock, self.monotonic_clock = unix_clock, monotonic_clock
        self.offset = unix_clock() - monotonic_clock()

    def __call__(self) -> float:
        """Return the time in seconds."""
        return self.offset + self.monotonic_clock()

    def seconds_ahead(self) -> float:
        """Return by how many seconds this clock is ahead of the Unix clock, in which peers express times."""
        return self() - self.unix_clock()


class Ticker:
    """Runs the core's timers when they are due, by one timer on the event loop for the earliest of them."""

    def __init__(self, service: Service, loop: asyncio.AbstractEventLoop) -> None:
        self.service, self.loop = service, loop
        self.handle: asyncio.TimerHandle | None = None
        service.timers.on_earlier_due = self.arm
        self.arm()

    def close(self) -> None:
        """Cancel the timer."""
        self.service.timers.on_earlier_due = None
        if self.handle is not None:
            self.handle.cancel()

    def arm(self) -> None:
        """Set the event loop's timer for the core's earliest timer, replacing any previous one."""
        if self.handle is not None:
            self.handle.cancel()
            self.handle = None
        due_at = self.service.next_due()
        if due_at is not None:
            self.handle = self.loop.call_later(
                max(0.0, due_at - self.service.clock.read_seconds()), self._tick
            )

    def _tick(self) -> None:
        self.handle = None
        try:
            self.service.tick()
        finally:
            self.arm()
