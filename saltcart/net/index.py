"""Calls to the next tier: the calls port on sockets, one call at a time on each.

What spoils a reply spoils its connection, and with it every call there.  So a connection carries one call at
a time, and one whose reply was spoilt or stayed away is never used again.
"""

from __future__ import annotations

import asyncio
from collections import deque

from saltcart.core.ports import DependencyCallEvents, Log
from saltcart.decision.outcome import Outcome
from saltcart.net.base import Connection, parse_address
from saltcart.net.supervision import PeriodicTask
from saltcart.wire import index as wire
from saltcart.wire.errors import MalformedMessageError

# Only SHED and NOBODY prove that the call never ran, and a connection that was never made.
OUTCOMES = {
    b"HIT": Outcome.SUCCEEDED,
    b"SHED": Outcome.REJECTED,
    b"BROKEN": Outcome.FAILED,
    b"SLOW": Outcome.TIMED_OUT,
    b"NOBODY": Outcome.REJECTED,
}
CONNECT_TIMEOUT_SECONDS = 2.0
CONNECT_RETRY_DELAYS_SECONDS = (0.02, 0.05)  # a proxy that refuses is asked again: calls must not spin
REUSE_TIMEOUT_SECONDS, IDLE_TIMEOUT_SECONDS = (
    0.5,
    2.0,
)  # used again within the first, closed after the second: the proxy may forget idle ones
SWEEP_INTERVAL_SECONDS = 0.5
STALLED_REPLY_TIMEOUT_SECONDS = 0.25  # a reply that has begun comes whole; its sender is on the same machine


class IndexCall:
    """One call under way."""

    __slots__ = ("connection", "data", "ident", "once", "task")

    def __init__(self, ident: bytes, data: bytes, once: bool) -> None:
        self.ident, self.data, self.once = ident, data, once
        self.connection: IndexConnection | None = None
        self.task: asyncio.Task[None] | None = None  # that connects


class IndexConnection(Connection):
    def __init__(self, client: IndexClient) -> None:
        super().__init__()
        self.client, self.peer, self.parser = client, client.peer, wire.ReplyParser()
        self.call: IndexCall | None = None
        self.stall: asyncio.TimerHandle | None = None
        self.last = b""  # whose call it carried last: a second copy must not answer that one's next call
        self.used = 0.0

    def opened(self) -> None:
        self.client.connections.add(self)

    def received(self) -> None:
        if self.stall is not None:
            self.stall.cancel()
            self.stall = None
        try:
            for reply in self.parser.messages(self.buffer):
                # A second copy, or a reply to what was given up or never asked, stands for nothing.
                if self.call is not None and reply.ident == self.call.ident:
                    self.client.ended(self.call, OUTCOMES[reply.end], reply.body)
        except MalformedMessageError as error:
            self.spoilt(str(error))
        else:
            if self.parser.partial(self.buffer):  # a length that does not fit: what is missing never comes
                self.stall = asyncio.get_running_loop().call_later(
                    STALLED_REPLY_TIMEOUT_SECONDS, self.spoilt, "reply stands still"
                )

    def spoilt(self, why: str) -> None:
        """Of no further use; the call under way has run."""
        self.client.log("index-malformed", error=why)
        self.abort()
        self.client.lost(self)

    def closed(self) -> None:
        if self.stall is not None:
            self.stall.cancel()
        self.client.connections.discard(self)
        self.client.lost(self)


class IndexClient:
    """Owns the connections: each is idle, or belongs to the one call it carries."""

    def __init__(self, peer: str, events: DependencyCallEvents, log: Log, max_connections: int = 64) -> None:
        self.peer, self.events, self.log, self.max_connections = (
            parse_address(peer),
            events,
            log,
            max_connections,
        )
        self.calls: dict[bytes, IndexCall] = {}
        self.connections = set[IndexConnection]()
        self.connect_tasks = set[asyncio.Task[None]]()  # that connect
        self.idle: list[IndexConnection] = []  # the one used last is at the end
        self.waiting = deque[IndexCall]()  # for a descriptor
        self.sweeper = PeriodicTask(SWEEP_INTERVAL_SECONDS, self._sweep)

    # ---- the port -----------------------------------------------------------------------------

    def call(self, ident: bytes, limit: float, body: bytes, once: bool) -> None:
        self.cancel_call(ident)  # a second call for a request gives up the first
        call = self.calls[ident] = IndexCall(ident, wire.get(ident, limit, body), once)
        self._begin(call)

    def cancel_call(self, ident: bytes) -> None:
        """Nobody waits for this call any more; its reply may still come, so the connection ends with it."""
        call = self.calls.pop(ident, None)
        if call is not None:
            if call.connection is not None:
                call.connection.send(wire.stop(ident))
            self._finish(call)

    def change_address(self, peer: str) -> None:
        """Another address from now on; calls under way end where they were made."""
        if parse_address(peer) != self.peer:
            self.peer = parse_address(peer)
            self._close_idle(0.0)

    def close(self) -> None:
        self.sweeper.stop()
        self._close_idle(0.0)
        for call in list(self.calls.values()):
            self._finish(call)
        self.calls.clear()

    # ---- connections --------------------------------------------------------------------------

    def _full(self) -> bool:
        return len(self.connections) + len(self.connect_tasks) >= self.max_connections

    def _begin(self, call: IndexCall) -> None:
        loop = asyncio.get_running_loop()
        found = None if call.once else self._rested(call.ident, loop.time() - REUSE_TIMEOUT_SECONDS)
        if found is not None:
            self._write(call, found)
        elif self._full() and not self.idle:
            self.waiting.append(call)
        else:
            if self._full():
                self.idle.pop(0).abort()
            call.task = loop.create_task(self._connect(call))
            self.connect_tasks.add(call.task)
            call.task.add_done_callback(self._connected)

    def _rested(self, ident: bytes, since: float) -> IndexConnection | None:
        """An idle connection that is good for this call, taken off the list.

        The proxy may have forgotten one: its reset could not be told from one that comes after the call has
        run.  So those used last come first, and what must run once takes none.
        """
        for n in range(len(self.idle) - 1, -1, -1):
            if self.idle[n].used < since:
                break
            # What stands behind a good reply may spoil the next one.
            if self.idle[n].last != ident and not self.idle[n].parser.partial(self.idle[n].buffer):
                return self.idle.pop(n)
        return None

    async def _connect(self, call: IndexCall) -> None:
        connection = None
        for wait in (*CONNECT_RETRY_DELAYS_SECONDS, 0.0):
            try:
                async with asyncio.timeout(CONNECT_TIMEOUT_SECONDS):
                    _, connection = await asyncio.get_running_loop().create_connection(
                        lambda: IndexConnection(self), *self.peer
                    )
            except TimeoutError:
                break
            except OSError:
                await asyncio.sleep(wait)
            else:
                if connection.transport is not None:
                    break
                await asyncio.sleep(wait)  # it was reset as soon as it stood
        call.task = None
        if connection is None or connection.transport is None:
            # Refused, reset or timed out, nothing of the call was written: it never ran, whatever it is.
            self.log("index-refused")
            self.ended(call, Outcome.UNREACHABLE, b"")
        else:
            self._write(call, connection)

    def _connected(self, task: asyncio.Task[None]) -> None:
        """Its descriptor is a connection's by now, or free: also if its call was given up meanwhile."""
        self.connect_tasks.discard(task)
        self._serve_waiting()

    def _write(self, call: IndexCall, connection: IndexConnection) -> None:
        call.connection, connection.call, connection.last = connection, call, call.ident
        connection.send(call.data)

    def ended(self, call: IndexCall, outcome: Outcome, reply: bytes) -> None:
        """Every call that is not given up ends here, once."""
        if self.calls.get(call.ident) is not call:
            return
        del self.calls[call.ident]
        connection, call.connection = call.connection, None
        if connection is not None:
            connection.call = None
            if connection.peer != self.peer:
                connection.close()
            elif connection.transport is not None and not connection.transport.is_closing():
                connection.used = asyncio.get_running_loop().time()
                self.idle.append(connection)
                self.sweeper.start()
        self.events.call_finished(call.ident, outcome, reply)
        self._serve_waiting()

    def _finish(self, call: IndexCall) -> None:
        """Give back what a call that was given up had taken."""
        connection, call.connection = call.connection, None
        if connection is not None:
            connection.call = None
            connection.close()
        if call.task is not None:
            call.task.cancel()

    def lost(self, connection: IndexConnection) -> None:
        """A connection that breaks under a call proves nothing about it."""
        if connection in self.idle:
            self.idle.remove(connection)
        if connection.call is not None:
            self.ended(connection.call, Outcome.BROKEN_OFF, b"")
        else:
            self._serve_waiting()

    def _serve_waiting(self) -> None:
        while self.waiting and (self.idle or not self._full()):
            call = self.waiting.popleft()
            if self.calls.get(call.ident) is call:
                self._begin(call)

    def _close_idle(self, age: float) -> None:
        oldest = asyncio.get_running_loop().time() - age
        for connection in [c for c in self.idle if c.used <= oldest]:
            self.idle.remove(connection)
            connection.close()

    def _sweep(self) -> None:
        self._close_idle(IDLE_TIMEOUT_SECONDS)
        if not self.idle:
            self.sweeper.stop()
