"""Work that must go on: a task and a call that come again, whatever becomes of one of them.

A loop that died unseen would leave a service that looks well and serves nothing.
"""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable

from saltcart.core.ports import Log

RESTART_DELAY = 0.2  # seconds before a task that ended is started again: one that always fails must not spin


class SupervisedTask:
    """Owns a task that must live: its end is logged, and it is started again."""

    def __init__(self, name: str, run: Callable[[], Awaitable[None]], log: Log) -> None:
        self.name = name
        self.run = run
        self.log = log
        self.task: asyncio.Task[None] | None = None

    @property
    def running(self) -> bool:
        """Whether it was started and not stopped."""
        return self.task is not None

    def start(self) -> None:
        """Start the task, in the place of one that runs."""
        self.stop()
        self.task = asyncio.get_running_loop().create_task(self._run_for_ever())

    def stop(self) -> None:
        """End the task."""
        if self.task is not None:
            self.task.cancel()
            self.task = None

    async def _run_for_ever(self) -> None:
        while True:
            error: Exception | None = None
            try:
                await self.run()
            except Exception as caught:
                error = caught
            self.log("loop-died", name=self.name, error=repr(error))
            await asyncio.sleep(RESTART_DELAY)


class PeriodicTask:
    """Calls ``act`` every ``seconds``, the next call set first: a fault costs one call and is logged."""

    def __init__(self, seconds: float, act: Callable[[], None]) -> None:
        self.seconds = seconds
        self.act = act
        self.handle: asyncio.TimerHandle | None = None

    def start(self) -> None:
        """Begin, unless it has begun."""
        if self.handle is None:
            self._set_next()

    def stop(self) -> None:
        """Call no more."""
        if self.handle is not None:
            self.handle.cancel()
            self.handle = None

    def _set_next(self) -> None:
        self.handle = asyncio.get_running_loop().call_later(self.seconds, self._call)

    def _call(self) -> None:
        self._set_next()
        self.act()
