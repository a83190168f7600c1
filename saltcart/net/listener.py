"""A listening socket and its connections: idle ones are closed, busy ones never."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Callable

from saltcart.net.base import Connection, address


class ServerConnection(Connection):
    """An accepted connection, known to its listener."""

    def __init__(self, listener: Listener, limit: int = 16384) -> None:
        super().__init__(limit)
        self.listener = listener
        self.used = 0.0
        self.open = False  # a whole request was read and its answer is owed

    def opened(self) -> None:
        self.touch()
        self.listener.connections.add(self)
        self.listener.make_room()

    def touch(self) -> None:
        self.used = self.listener.loop.time()

    def closed(self) -> None:
        self.listener.connections.discard(self)

    def busy(self) -> bool:
        """Whether a request is open, or partly here, on this connection."""
        return len(self.buffer) > 0


class Listener:
    """Owns the socket; never closed while the service may still be sent requests."""

    SWEEP = 0.25
    PARTIAL = 10.0  # a request that stops coming in half-way holds its connection no longer than this

    def __init__(self, listen: str, make: Callable[[Listener], ServerConnection],
                 idle_after: Callable[[], float], most: int) -> None:
        self.listen, self.make, self.idle_after, self.most = address(listen), make, idle_after, most
        self.loop = asyncio.get_running_loop()
        self.connections: set[ServerConnection] = set()
        self.server: asyncio.Server | None = None
        self.timer: asyncio.TimerHandle | None = None

    async def open(self) -> str:
        host, port = self.listen
        self.server = await self.loop.create_server(
            lambda: self.make(self), host, port, backlog=1024, reuse_address=True)
        host, port = self.server.sockets[0].getsockname()[:2]
        self._again()
        return f"{host}:{port}"

    def close(self) -> None:
        """For the end of the process only: what is queued at the socket is lost with it."""
        if self.server is not None:
            self.server.close()
        if self.timer is not None:
            self.timer.cancel()
        for connection in list(self.connections):
            connection.close()

    def _again(self) -> None:
        self.timer = self.loop.call_later(self.SWEEP, self._sweep)

    def make_room(self) -> None:
        """Near the descriptor limit the connection that was idle longest makes way."""
        if len(self.connections) > self.most:
            idle = [c for c in self.connections if not c.busy()]
            with contextlib.suppress(ValueError):
                min(idle, key=lambda c: c.used).close()

    def _sweep(self) -> None:
        now = self.loop.time()
        oldest, stuck = now - max(self.SWEEP, self.idle_after()), now - self.PARTIAL
        for c in list(self.connections):
            if (c.used < oldest and not c.busy()) or (c.used < stuck and not c.open):
                c.close()
        self._again()
