"""Calls to the next tier: the dependency calls port on sockets, with one call at a time on each connection.

A malformed reply makes the rest of its connection unreadable, which would fail every call on it.  So a
connection carries one call at a time, and is never reused after a malformed or missing reply.
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

# Only REJECTED, and UNREACHABLE for a failure to connect, prove that the call never ran.
OUTCOMES = {
    b"HIT": Outcome.SUCCEEDED,
    b"SHED": Outcome.REJECTED,
    b"BROKEN": Outcome.FAILED,
    b"SLOW": Outcome.TIMED_OUT,
    b"NOBODY": Outcome.REJECTED,
}
CONNECT_TIMEOUT_SECONDS = 2.0
CONNECT_RETRY_DELAYS_SECONDS = (0.02, 0.05)  # calls must not spin on a proxy that refuses connections
# An idle connection is reused within the first and closed after the second, because the proxy may drop
# idle connections.
REUSE_TIMEOUT_SECONDS, IDLE_TIMEOUT_SECONDS = 0.5, 2.0
SWEEP_INTERVAL_SECONDS = 0.5
STALLED_REPLY_TIMEOUT_SECONDS = 0.25  # the proxy is on the same machine and sends replies whole


class IndexCall:
    """A call in progress.

    Args:
        request_id: The request whose run waits for the reply.
        message: The encoded call.
        must_run_once: Whether the call must not be retried if it may already have taken effect.
    """

    __slots__ = ("connect_task", "connection", "message", "must_run_once", "request_id")

    def __init__(self, request_id: bytes, message: bytes, must_run_once: bool) -> None:
        self.request_id, self.message, self.must_run_once = request_id, message, must_run_once
        self.connection: IndexConnection | None = None
        self.connect_task: asyncio.Task[None] | None = None


class IndexConnection(Connection):
    """A connection to the proxy of the next tier; it is idle or carries one call."""

    def __init__(self, client: IndexClient) -> None:
        super().__init__()
        self.client, self.peer, self.parser = client, client.peer, wire.ReplyParser()
        self.call: IndexCall | None = None
        self.stall_timer: asyncio.TimerHandle | None = None
        # The request of the last call: a duplicate reply must not be taken for that to its next call.
        self.last_request_id = b""
        self.last_used_at = 0.0

    def opened(self) -> None:
        """Register with the client."""
        self.client.connections.add(self)

    def received(self) -> None:
        """Finish the call in progress, or discard the connection after a malformed reply."""
        if self.stall_timer is not None:
            self.stall_timer.cancel()
            self.stall_timer = None
        try:
            for reply in self.parser.messages(self.buffer):
                # Duplicate replies, and replies to cancelled or unknown calls, are ignored.
                if self.call is not None and reply.request_id == self.call.request_id:
                    self.client.finish_call(self.call, OUTCOMES[reply.status], reply.body)
        except MalformedMessageError as error:
            self.discard(str(error))
        else:
            # If the length is wrong, the missing bytes never arrive.
            if self.parser.has_partial_reply(self.buffer):
                self.stall_timer = asyncio.get_running_loop().call_later(
                    STALLED_REPLY_TIMEOUT_SECONDS, self.discard, "incomplete reply"
                )

    def discard(self, reason: str) -> None:
        """Close the connection after a malformed reply; the call in progress may have taken effect."""
        self.client.log("index-malformed", error=reason)
        self.abort()
        self.client.handle_connection_closed(self)

    def closed(self) -> None:
        """Deregister from the client."""
        if self.stall_timer is not None:
            self.stall_timer.cancel()
        self.client.connections.discard(self)
        self.client.handle_connection_closed(self)


class IndexClient:
    """Owns the connections: each is idle, or belongs to the one call that it carries.

    Args:
        peer: The address of the proxy.
        events: Receives the ends of calls.
        log: Event log.
        max_connections: Limit of connections, including those being established; further calls wait.
    """

    def __init__(self, peer: str, events: DependencyCallEvents, log: Log, max_connections: int = 64) -> None:
        self.peer, self.events, self.log, self.max_connections = (
            parse_address(peer),
            events,
            log,
            max_connections,
        )
        self.calls: dict[bytes, IndexCall] = {}
        self.connections = set[IndexConnection]()
        self.connect_tasks = set[asyncio.Task[None]]()
        self.idle: list[IndexConnection] = []  # connections, least recently used first
        self.waiting_calls = deque[IndexCall]()  # until the limit of connections permits another
        self.sweeper = PeriodicTask(SWEEP_INTERVAL_SECONDS, self._sweep)

    # ---- dependency calls port ----------------------------------------------------------------

    def call(self, request_id: bytes, timeout: float, body: bytes, must_run_once: bool) -> None:
        """Make a call for a request; an earlier call for it is cancelled."""
        self.cancel_call(request_id)
        call = self.calls[request_id] = IndexCall(
            request_id, wire.encode_get(request_id, timeout, body), must_run_once
        )
        self._start_call(call)

    def cancel_call(self, request_id: bytes) -> None:
        """Cancel the call of a request, and close its connection, as the reply may still arrive on it."""
        call = self.calls.pop(request_id, None)
        if call is not None:
            if call.connection is not None:
                call.connection.send(wire.encode_stop(request_id))
            self._release_call(call)

    def change_address(self, peer: str) -> None:
        """Make further calls at another address; calls in progress end on their connections."""
        if parse_address(peer) != self.peer:
            self.peer = parse_address(peer)
            self._close_idle(0.0)

    def close(self) -> None:
        """Cancel all calls without reporting their ends, and close the connections."""
        self.sweeper.stop()
        self._close_idle(0.0)
        for call in list(self.calls.values()):
            self._release_call(call)
        self.calls.clear()

    # ---- connections --------------------------------------------------------------------------

    def _is_full(self) -> bool:
        return len(self.connections) + len(self.connect_tasks) >= self.max_connections

    def _start_call(self, call: IndexCall) -> None:
        loop = asyncio.get_running_loop()
        reusable = (
            None
            if call.must_run_once
            else self._take_idle_connection(call.request_id, loop.time() - REUSE_TIMEOUT_SECONDS)
        )
        if reusable is not None:
            self._send_call(call, reusable)
        elif self._is_full() and not self.idle:
            self.waiting_calls.append(call)
        else:
            if self._is_full():
                self.idle.pop(0).abort()
            call.connect_task = loop.create_task(self._connect(call))
            self.connect_tasks.add(call.connect_task)
            call.connect_task.add_done_callback(self._connect_finished)

    def _take_idle_connection(self, request_id: bytes, used_since: float) -> IndexConnection | None:
        """Remove an idle connection that can carry a call of this request from the list, and return it.

        The proxy may have dropped an idle connection, and its reset cannot be distinguished from one sent
        after the call has run.  So the most recently used connections are preferred, and calls that must run
        once never reuse one.
        """
        for n in range(len(self.idle) - 1, -1, -1):
            if self.idle[n].last_used_at < used_since:
                break
            # Bytes left over after a good reply may corrupt the next one.
            if self.idle[n].last_request_id != request_id and not self.idle[n].parser.has_partial_reply(
                self.idle[n].buffer
            ):
                return self.idle.pop(n)
        return None

    async def _connect(self, call: IndexCall) -> None:
        connection = None
        for delay in (*CONNECT_RETRY_DELAYS_SECONDS, 0.0):
            try:
                async with asyncio.timeout(CONNECT_TIMEOUT_SECONDS):
                    _, connection = await asyncio.get_running_loop().create_connection(
                        lambda: IndexConnection(self), *self.peer
                    )
            except TimeoutError:
                break
            except OSError:
                await asyncio.sleep(delay)
            else:
                if connection.transport is not None:
                    break
                await asyncio.sleep(delay)  # it was reset as soon as it was established
        call.connect_task = None
        if connection is None or connection.transport is None:
            # Whether connecting was refused, reset or timed out, no byte of the call was sent: it never ran.
            self.log("index-refused")
            self.finish_call(call, Outcome.UNREACHABLE, b"")
        else:
            self._send_call(call, connection)

    def _connect_finished(self, task: asyncio.Task[None]) -> None:
        """Start calls that wait, also if the task's call was cancelled meanwhile.

        The task's descriptor now belongs to a connection or is free again.
        """
        self.connect_tasks.discard(task)
        self._start_waiting_calls()

    def _send_call(self, call: IndexCall, connection: IndexConnection) -> None:
        call.connection, connection.call, connection.last_request_id = connection, call, call.request_id
        connection.send(call.message)

    def finish_call(self, call: IndexCall, outcome: Outcome, reply: bytes) -> None:
        """End a call, and report it unless it was cancelled or has ended before."""
        if self.calls.get(call.request_id) is not call:
            return
        del self.calls[call.request_id]
        connection, call.connection = call.connection, None
        if connection is not None:
            connection.call = None
            if connection.peer != self.peer:
                connection.close()
            elif connection.transport is not None and not connection.transport.is_closing():
                connection.last_used_at = asyncio.get_running_loop().time()
                self.idle.append(connection)
                self.sweeper.start()
        self.events.call_finished(call.request_id, outcome, reply)
        self._start_waiting_calls()

    def _release_call(self, call: IndexCall) -> None:
        """Close the connection of a cancelled call, or stop connecting for it."""
        connection, call.connection = call.connection, None
        if connection is not None:
            connection.call = None
            connection.close()
        if call.connect_task is not None:
            call.connect_task.cancel()

    def handle_connection_closed(self, connection: IndexConnection) -> None:
        """Fail the call of a connection that was closed; whether the call ran is unknown."""
        if connection in self.idle:
            self.idle.remove(connection)
        if connection.call is not None:
            self.finish_call(connection.call, Outcome.BROKEN_OFF, b"")
        else:
            self._start_waiting_calls()

    def _start_waiting_calls(self) -> None:
        while self.waiting_calls and (self.idle or not self._is_full()):
            call = self.waiting_calls.popleft()
            if self.calls.get(call.request_id) is call:
                self._start_call(call)

    def _close_idle(self, min_idle: float) -> None:
        """Close the connections that have been idle for at least ``min_idle`` seconds."""
        used_before = asyncio.get_running_loop().time() - min_idle
        for connection in [c for c in self.idle if c.last_used_at <= used_before]:
            self.idle.remove(connection)
            connection.close()

    def _sweep(self) -> None:
        self._close_idle(IDLE_TIMEOUT_SECONDS)
        if not self.idle:
            self.sweeper.stop()
