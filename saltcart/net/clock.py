"""Runs the core's timers on the event loop."""

from __future__ import annotations

import asyncio

from saltcart.core.service import Service


class Ticker:
    """One handle on the loop, for the earliest timer of the core."""

    def __init__(self, service: Service, loop: asyncio.AbstractEventLoop) -> None:
        self.service, self.loop = service, loop
        self.handle: asyncio.TimerHandle | None = None
        service.timers.earlier = self.arm
        self.arm()

    def close(self) -> None:
        self.service.timers.earlier = None
        if self.handle is not None:
            self.handle.cancel()

    def arm(self) -> None:
        if self.handle is not None:
            self.handle.cancel()
            self.handle = None
        due = self.service.next_due()
        if due is not None:
            self.handle = self.loop.call_later(max(0.0, due - self.service.clock()), self._tick)

    def _tick(self) -> None:
        self.handle = None
        try:
            self.service.tick()
        finally:
            self.arm()
