"""A listening socket and its connections: idle, silent and stuck ones are closed, busy ones never."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable

from saltcart.net.base import Connection, address


class ServerConnection(Connection):
    """An accepted connection, known to its listener."""

    def __init__(self, listener: Listener, limit: int = 16384) -> None:
        super().__init__(limit)
        self.listener = listener
        self.used = 0.0
        self.open = False  # a whole request was read and its answer is owed
        # Since when the next request is awaited or half here; None on a connection that rests after one.
        self.began: float | None = None
        self.blocked: float | None = None  # since when the peer has not read what it was sent

    def opened(self) -> None:
        self.touch()
        self.began = self.used
        self.listener.add(self)

    def touch(self) -> None:
        self.used = self.listener.loop.time()

    def closed(self) -> None:
        self.listener.connections.discard(self)

    def pause_writing(self) -> None:
        self.blocked = self.listener.loop.time()

    def resume_writing(self) -> None:
        self.blocked = None

    def busy(self) -> bool:
        """Whether a request is open, or partly here, on this connection."""
        return len(self.buffer) > 0

    def expire(self) -> None:
        """The next request has not come whole in its time."""
        self.close()


class Listener:
    """Owns the socket; never closed while the service may still be sent requests."""

    SWEEP = 0.25
    READ_WAIT = 2.0  # a request comes whole within this, from its first byte or the connection's start
    YOUNG = 0.1  # a connection just made is about to send its request
    BACKLOG = 1024
    ACCEPTS = 4  # at one turn of the loop: a flood must not run far past the limit before it is counted

    def __init__(self, listen: str, make: Callable[[Listener], ServerConnection],
                 idle_after: Callable[[], float], most: int) -> None:
        self.listen, self.make, self.idle_after, self.most = address(listen), make, idle_after, most
        self.loop = asyncio.get_running_loop()
        self.connections: set[ServerConnection] = set()
        self.server: asyncio.Server | None = None
        self.timer: asyncio.TimerHandle | None = None

    async def open(self) -> str:
        found = socket.getaddrinfo(*self.listen, type=socket.SOCK_STREAM, flags=socket.AI_PASSIVE)
        family, kind, protocol, _, place = found[0]
        sock = socket.socket(family, kind, protocol)
        try:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            sock.bind(place)
            self.server = await self.loop.create_server(
                lambda: self.make(self), sock=sock, backlog=self.ACCEPTS)
            sock.listen(self.BACKLOG)  # the loop's figure is that of accepts at one turn as well
        except BaseException:
            sock.close()
            raise
        host, port = sock.getsockname()[:2]
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

    def add(self, new: ServerConnection) -> None:
        """Near the descriptor limit another makes way: one that never sent a request, or rested longest."""
        if len(self.connections) >= self.most:
            idle = [c for c in self.connections if not c.busy()]
            if not idle:
                new.abort()  # nothing of it was read: whoever it is may come again
                return
            young = self.loop.time() - self.YOUNG
            min(idle, key=lambda c: (c.began is None or c.used > young, c.used)).abort()
        self.connections.add(new)

    def _sweep(self) -> None:
        now = self.loop.time()
        oldest, stuck = now - max(self.SWEEP, self.idle_after()), now - self.READ_WAIT
        for c in list(self.connections):
            if c.blocked is not None and c.blocked < stuck:
                c.abort()
            elif c.open:
                continue
            elif c.began is not None and c.began < stuck:
                c.expire()
            elif c.began is None and c.used < oldest:
                c.close()
        self._again()
