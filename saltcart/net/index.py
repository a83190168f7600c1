"""Calls to the next tier: the calls port on a socket, opened when a call needs it."""

from __future__ import annotations

import asyncio

from saltcart.core.ports import CallEvents, Log
from saltcart.interface import Outcome
from saltcart.net.base import Connection, address
from saltcart.wire import index as wire
from saltcart.wire.errors import Malformed

# Only SHED and NOBODY prove that the call never ran.
ENDS = {
    b"HIT": Outcome.OK, b"SHED": Outcome.REJECTED, b"BROKEN": Outcome.ERROR, b"SLOW": Outcome.TIMEOUT,
    b"NOBODY": Outcome.REJECTED,
}
IDLE = 7.0  # the proxy closes after 10 s; ours comes first, or a call could cross that close


class IndexConnection(Connection):
    def __init__(self, client: IndexClient) -> None:
        super().__init__()
        self.client, self.parser = client, wire.ReplyParser()
        self.open: set[bytes] = set()  # calls whose bytes were written here

    def received(self) -> None:
        try:
            for reply in self.parser.messages(self.buffer):
                if reply.ident in self.open:
                    self.open.discard(reply.ident)
                    self.client.events.call_ended(reply.ident, ENDS[reply.end], reply.body)
        except Malformed as error:
            self.client.log("index-malformed", error=str(error))
            self.close()

    def closed(self) -> None:
        self.client.lost(self)


class IndexClient:
    def __init__(self, peer: str, events: CallEvents, log: Log) -> None:
        self.peer, self.events, self.log = address(peer), events, log
        self.connection: IndexConnection | None = None
        self.waiting: dict[bytes, bytes] = {}  # calls that wait for the connection
        self.task: asyncio.Task[None] | None = None
        self.idle: asyncio.TimerHandle | None = None

    def call(self, ident: bytes, limit: float, body: bytes) -> None:
        data = wire.get(ident, limit, body)
        if self.idle is not None:
            self.idle.cancel()
        loop = asyncio.get_running_loop()
        self.idle = loop.call_later(IDLE, self._idle)
        if self.connection is not None:
            self.connection.open.add(ident)
            self.connection.send(data)
            return
        self.waiting[ident] = data
        if self.task is None:
            self.task = loop.create_task(self._connect())

    def give_up(self, ident: bytes) -> None:
        self.waiting.pop(ident, None)
        if self.connection is not None and ident in self.connection.open:
            self.connection.open.discard(ident)
            self.connection.send(wire.stop(ident))

    def move(self, peer: str) -> None:
        """Another address from now on; calls under way end where they were made."""
        if address(peer) == self.peer:
            return
        self.peer = address(peer)
        connection, self.connection = self.connection, None
        if connection is not None and not connection.open:
            connection.close()

    def close(self) -> None:
        for part in (self.task, self.idle):
            if part is not None:
                part.cancel()
        if self.connection is not None:
            self.connection.close()

    async def _connect(self) -> None:
        outcome = Outcome.BROKEN
        try:
            async with asyncio.timeout(2.0):
                _, connection = await asyncio.get_running_loop().create_connection(
                    lambda: IndexConnection(self), *self.peer)
        except (OSError, TimeoutError) as error:
            self.log("index-refused", error=str(error))
            if isinstance(error, ConnectionRefusedError):
                outcome = Outcome.UNREACHABLE
        else:
            self.connection = connection if connection.transport is not None else None
        finally:
            self.task = None
        waiting, self.waiting = self.waiting, {}
        if self.connection is None:
            for ident in waiting:
                self.events.call_ended(ident, outcome, b"")
            return
        self.connection.open.update(waiting)
        self.connection.send(b"".join(waiting.values()))

    def lost(self, connection: IndexConnection) -> None:
        """A connection that breaks under a call proves nothing about it."""
        if self.connection is connection:
            self.connection = None
        calls, connection.open = connection.open, set()
        for ident in calls:
            self.events.call_ended(ident, Outcome.BROKEN, b"")

    def _idle(self) -> None:
        if self.connection is None:
            return
        if self.connection.open:
            self.idle = asyncio.get_running_loop().call_later(IDLE, self._idle)
            return
        connection, self.connection = self.connection, None
        connection.close()
