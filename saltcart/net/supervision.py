"""Tasks that are restarted when they end, and periodic calls that continue after an exception.

Without them, a background loop that dies unnoticed leaves a service that looks healthy but serves nothing.
"""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable

from saltcart.core.ports import Log

RESTART_DELAY_SECONDS = 0.2  # a task that always fails must not spin


class SupervisedTask:
    """Owns a task that must keep running: when it ends, that is logged, and it is started again.

    Args:
        name: The name of the task in the log.
        run: Returns the coroutine to run.
        log: Event log.
    """

    def __init__(self, name: str, run: Callable[[], Awaitable[None]], log: Log) -> None:
        self.name = name
        self.run = run
        self.log = log
        self.task: asyncio.Task[None] | None = None

    @property
    def is_running(self) -> bool:
        """Whether the task was started and not stopped."""
        return self.task is not None

    def start(self) -> None:
        """Start the task; one that is running is cancelled first."""
        self.stop()
        self.task = asyncio.get_running_loop().create_task(self._run_for_ever())

    def stop(self) -> None:
        """Cancel the task."""
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
            await asyncio.sleep(RESTART_DELAY_SECONDS)


class PeriodicTask:
    """Calls ``callback`` every ``interval`` seconds.

    The next call is scheduled first, so an exception costs one call; the event loop logs it.
    """

    def __init__(self, interval: float, callback: Callable[[], None]) -> None:
        self.interval = interval
        self.callback = callback
        self.handle: asyncio.TimerHandle | None = None

    def start(self) -> None:
        """Schedule the first call, unless calls are scheduled already."""
        if self.handle is None:
            self._schedule_next()

    def stop(self) -> None:
        """Cancel the calls."""
        if self.handle is not None:
            self.handle.cancel()
            self.handle = None

    def _schedule_next(self) -> None:
        self.handle = asyncio.get_running_loop().call_later(self.interval, self._call)

    def _call(self) -> None:
        self._schedule_next()
        self.callback()
