"""The core's clock, and its timers on the event loop."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable

from saltcart.core.service import Service


class Clock:
    """Seconds since 1970 at the start, and on evenly from there, whatever is done to the Unix clock.

    On the Unix clock alone, setting it back by a minute would stop every timer for that minute, and setting
    it forward would end every wait and every key's window.  ``ahead`` tells how far this clock is before the
    Unix clock now: what peers write as Unix time is moved by it as it is read.
    """

    def __init__(
        self, unix: Callable[[], float] = time.time, steady: Callable[[], float] = time.monotonic
    ) -> None:
        self.unix, self.steady = unix, steady
        self.base = unix() - steady()

    def __call__(self) -> float:
        return self.base + self.steady()

    def ahead(self) -> float:
        return self() - self.unix()


class Ticker:
    """One handle on the loop, for the earliest timer of the core."""

    def __init__(self, service: Service, loop: asyncio.AbstractEventLoop) -> None:
        self.service, self.loop = service, loop
        self.handle: asyncio.TimerHandle | None = None
        service.timers.on_earlier_due = self.arm
        self.arm()

    def close(self) -> None:
        self.service.timers.on_earlier_due = None
        if self.handle is not None:
            self.handle.cancel()

    def arm(self) -> None:
        if self.handle is not None:
            self.handle.cancel()
            self.handle = None
        due = self.service.next_due()
        if due is not None:
            self.handle = self.loop.call_later(max(0.0, due - self.service.clock.read_seconds()), self._tick)

    def _tick(self) -> None:
        self.handle = None
        try:
            self.service.tick()
        finally:
            self.arm()
