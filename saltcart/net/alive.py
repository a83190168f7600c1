"""What must go on: a task and a turn that come again, whatever becomes of one of them.

A loop that died unseen would leave a service that looks well and serves nothing.
"""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable

from saltcart.core.ports import Log

PAUSE = 0.2  # seconds before a task that ended is started again: one that always fails must not spin


class Kept:
    """Owns a task that must live: its end is logged, and it is started again."""

    def __init__(self, name: str, run: Callable[[], Awaitable[None]], log: Log) -> None:
        self.name, self.run, self.log = name, run, log
        self.task: asyncio.Task[None] | None = None

    @property
    def running(self) -> bool:
        return self.task is not None

    def start(self) -> None:
        self.stop()
        self.task = asyncio.get_running_loop().create_task(self._keep())

    def stop(self) -> None:
        if self.task is not None:
            self.task.cancel()
            self.task = None

    async def _keep(self) -> None:
        while True:
            error: Exception | None = None
            try:
                await self.run()
            except Exception as caught:
                error = caught
            self.log("loop-died", name=self.name, error=repr(error))
            await asyncio.sleep(PAUSE)


class Turns:
    """Calls ``act`` every ``seconds``, the next turn armed first: a fault costs one turn and is logged."""

    def __init__(self, seconds: float, act: Callable[[], None]) -> None:
        self.seconds, self.act = seconds, act
        self.handle: asyncio.TimerHandle | None = None

    def start(self) -> None:
        if self.handle is None:
            self.handle = asyncio.get_running_loop().call_later(self.seconds, self._turn)

    def stop(self) -> None:
        if self.handle is not None:
            self.handle.cancel()
            self.handle = None

    def _turn(self) -> None:
        self.handle = asyncio.get_running_loop().call_later(self.seconds, self._turn)
        self.act()
