"""The worker pool port on AJP servers: the members of one upstream execute the runs.

A run is one forward request to one member.  A refused connection and a response with status 429 or 503 prove
that the run never started, so it is attempted at another member.  A connection that is lost after bytes
were sent proves nothing: a run that must run only once then fails, and an idempotent one is retried once.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Protocol

from saltcart.core.ports import Log
from saltcart.decision.outcome import Outcome
from saltcart.net.base import Connection, parse_address
from saltcart.net.supervision import PeriodicTask
from saltcart.wire import ajp
from saltcart.wire.errors import MalformedMessageError

CONNECT_TIMEOUT_SECONDS, PING_TIMEOUT_SECONDS = 1.0, 0.5
MAX_RESULT_BYTES = 4096
REJECTION_STATUSES = (429, 503)
# Idle connections are closed after the first, because a member may drop them.
IDLE_TIMEOUT_SECONDS, SWEEP_INTERVAL_SECONDS = 10.0, 1.0
# A member that refused a connection is avoided for this long if there are others.
REFUSED_MEMBER_AVOIDANCE_SECONDS = 2.0


class NeverStartedError(Exception):
    """A member was proven not to have run the request."""


@dataclass(slots=True, eq=False)
class AjpMember:
    """One AJP server of an upstream.

    Attributes:
        host: The address of the server.
        weight: The share of requests that it receives, relative to other members.
        secret: The secret sent with each request.
        idle_connections: Connections without a request, least recently used first.
        in_flight: Requests in progress.
        avoided_until: The event loop's time until which other members are preferred.
    """

    host: str
    weight: float = 1.0
    secret: bytes = b""
    idle_connections: list[MemberConnection] = field(default_factory=list)
    in_flight: int = 0
    avoided_until: float = 0.0


class MemberConnection(Connection):
    """One connection to a member; carries one request at a time."""

    def __init__(self, member: AjpMember) -> None:
        super().__init__()
        self.member, self.parser = member, ajp.AjpResponseParser(MAX_RESULT_BYTES)
        self.response: asyncio.Future[ajp.AjpResponse | ajp.CPong] | None = None
        self.unsent = b""  # the rest of the request body; the member requests it in parts
        self.last_used_at = 0.0

    def received(self) -> None:
        """Handle the messages of the member, or close the connection after a malformed one."""
        try:
            while (message := self.parser.next(self.buffer)) is not None:
                if isinstance(message, ajp.GetBodyChunk):
                    part, self.unsent = self.unsent[: message.size], self.unsent[message.size :]
                    self.send(ajp.encode_body_packet(part))
                elif self.response is not None and not self.response.done():
                    self.response.set_result(message)
                else:
                    raise MalformedMessageError("response without a request")
        except MalformedMessageError:
            self.close()

    def closed(self) -> None:
        """Remove this connection from the member's idle ones, and fail the request in progress."""
        if self in self.member.idle_connections:
            self.member.idle_connections.remove(self)
        if self.response is not None and not self.response.done():
            self.response.set_exception(ConnectionResetError("the member closed the connection"))

    async def exchange(self, data: bytes, timeout: float) -> ajp.AjpResponse | ajp.CPong:
        """Send a message and return the response.

        Raises:
            ConnectionResetError: The connection was lost.
            TimeoutError: There was no response within ``timeout`` seconds.
        """
        if self.transport is None:
            raise ConnectionResetError("the member closed the connection")
        self.response = asyncio.get_running_loop().create_future()
        self.send(data)
        async with asyncio.timeout(timeout):
            return await self.response


class MemberChooser(Protocol):
    """Chooses the member for each attempt, in place of the choice by load and weight."""

    def admit_request(self, class_name: str) -> bool:
        """Count a request that arrived, and return whether to send it to a member at all."""

    def choose_member(self, class_name: str, attempted_hosts: set[str], is_idempotent: bool) -> str | None:
        """Return the host of the member for the next attempt; None if there is none.

        Args:
            class_name: The class of the request.
            attempted_hosts: Members that were attempted and proved not to have run the request.
            is_idempotent: Whether the request may be retried even if it may have run.
        """

    def attempt_finished(self, host: str, is_success: bool, seconds: float, connection_refused: bool) -> None:
        """Record the outcome of an attempt.

        Args:
            host: The member that was attempted.
            is_success: Whether it responded with status 200.
            seconds: The duration of the attempt.
            connection_refused: Whether no connection to it could be established.
        """


class AjpUpstream:
    """Sends each run to a member: the least loaded one for its weight, unless a chooser is set to decide.

    Args:
        members: The members of the upstream.
        on_run_finished: Called with the request id, outcome, duration in seconds and result of each run.
        log: Event log.
    """

    def __init__(
        self,
        members: list[AjpMember],
        on_run_finished: Callable[[bytes, Outcome, float, bytes], None],
        log: Log,
    ) -> None:
        self.members, self.on_run_finished, self.log = members, on_run_finished, log
        self.by_host = {m.host: m for m in members}
        self.chooser: MemberChooser | None = None
        self.run_tasks: dict[bytes, asyncio.Task[None]] = {}
        self.is_closed = False
        self.sweeper = PeriodicTask(SWEEP_INTERVAL_SECONDS, self._sweep)

    def spawn(
        self,
        request_id: bytes,
        class_name: str,
        account: str,
        body: bytes,
        must_run_once: bool,
        time_to_deadline: float,
    ) -> None:
        """Start a run, unless it is in progress; see ``WorkerPool.spawn`` for the arguments."""
        if request_id not in self.run_tasks:
            task = asyncio.get_running_loop().create_task(
                self._run(request_id, class_name, account, body, must_run_once, time_to_deadline)
            )
            self.run_tasks[request_id] = task
            task.add_done_callback(lambda finished: self._task_done(request_id, finished))

    def suspend(self, request_id: bytes) -> None:
        """Cancel a run and close its connection; AJP cannot pause a request."""
        if (task := self.run_tasks.get(request_id)) is not None:
            task.cancel()

    def close(self) -> None:
        """Close the idle connections now, and the others when their runs end."""
        self.is_closed = True
        self.sweeper.stop()
        self._close_idle(0.0)

    def _close_idle(self, min_idle: float) -> None:
        """Close the connections that have been idle for at least ``min_idle`` seconds."""
        used_before = asyncio.get_running_loop().time() - min_idle
        for member in self.members:
            for connection in [c for c in member.idle_connections if c.last_used_at <= used_before]:
                member.idle_connections.remove(connection)
                connection.close()

    def _sweep(self) -> None:
        self._close_idle(IDLE_TIMEOUT_SECONDS)
        if not any(member.idle_connections for member in self.members):
            self.sweeper.stop()

    def _task_done(self, request_id: bytes, task: asyncio.Task[None]) -> None:
        self.run_tasks.pop(request_id, None)
        if task.cancelled():  # before its first step, so the task itself has not reported its end
            self.on_run_finished(request_id, Outcome.CANCELLED, 0.0, b"")
        elif (error := task.exception()) is not None:
            self.log("error", id=request_id.decode(), error=repr(error))
            self.on_run_finished(request_id, Outcome.FAILED, 0.0, b"")

    # ---- one run ------------------------------------------------------------------------------

    async def _run(
        self,
        request_id: bytes,
        class_name: str,
        account: str,
        body: bytes,
        must_run_once: bool,
        time_to_deadline: float,
    ) -> None:
        loop = asyncio.get_running_loop()
        started_at, outcome, result = loop.time(), Outcome.FAILED, b""
        try:
            async with asyncio.timeout(max(0.0, time_to_deadline)):
                outcome, result = await self._try_members(
                    request_id, class_name, account, body, must_run_once, started_at + time_to_deadline
                )
        except TimeoutError:
            pass  # the caller no longer waits; the run may have had its effect
        except asyncio.CancelledError:
            outcome = Outcome.CANCELLED
        self.on_run_finished(request_id, outcome, loop.time() - started_at, result)

    async def _try_members(
        self,
        request_id: bytes,
        class_name: str,
        account: str,
        body: bytes,
        must_run_once: bool,
        deadline: float,
    ) -> tuple[Outcome, bytes]:
        attempted, retries_left = set[AjpMember](), 0 if must_run_once else 1
        loop, chooser = asyncio.get_running_loop(), self.chooser
        if chooser is not None and not chooser.admit_request(class_name):
            return Outcome.NOT_STARTED, b""
        while (member := self._choose(class_name, attempted, must_run_once)) is not None:
            attempted.add(member)
            attempt_started_at, is_success, connection_refused = loop.time(), False, False
            try:
                response = await self._forward(
                    member, request_id, class_name, account, body, must_run_once, deadline
                )
                is_success = response.status == 200
            except NeverStartedError:
                connection_refused = True
                continue
            except OSError as error:
                self.log("member-lost", member=member.host, id=request_id.decode(), error=str(error))
                if not retries_left:
                    return Outcome.FAILED, b""
                retries_left -= 1
                attempted.discard(member)
                continue
            finally:  # a cancelled or timed-out run counts as a failure of the member, like a lost connection
                if chooser is not None:
                    chooser.attempt_finished(
                        member.host, is_success, loop.time() - attempt_started_at, connection_refused
                    )
            if response.status in REJECTION_STATUSES:
                continue
            return (Outcome.SUCCEEDED, response.body) if response.status == 200 else (Outcome.FAILED, b"")
        return Outcome.NOT_STARTED, b""  # every member proved that it never ran

    def _choose(self, class_name: str, attempted: set[AjpMember], must_run_once: bool) -> AjpMember | None:
        if self.chooser is not None:
            host = self.chooser.choose_member(class_name, {m.host for m in attempted}, not must_run_once)
            return None if host is None else self.by_host.get(host)
        now = asyncio.get_running_loop().time()
        unattempted = [m for m in self.members if m not in attempted]
        preferred = [m for m in unattempted if m.avoided_until <= now] or unattempted
        return min(preferred, key=lambda m: (m.in_flight + 1) / m.weight, default=None)

    async def _forward(
        self,
        member: AjpMember,
        request_id: bytes,
        class_name: str,
        account: str,
        body: bytes,
        must_run_once: bool,
        deadline: float,
    ) -> ajp.AjpResponse:
        member.in_flight += 1
        connection: MemberConnection | None = None
        try:
            connection = await self._acquire_connection(member, must_run_once)
            host, port = parse_address(member.host)
            time_left = deadline - asyncio.get_running_loop().time()
            headers = [
                (b"Request-Id", request_id),
                (b"Account", account.encode()),
                (b"Budget-Ms", b"%d" % max(1, time_left * 1000)),
                (b"Content-Length", b"%d" % len(body)),
            ]
            data = ajp.encode_forward_request(
                b"POST", b"/call/" + class_name.encode(), headers, host.encode(), port, member.secret
            )
            connection.unsent = body[ajp.MAX_BODY_DATA_BYTES :]
            body_packet = ajp.encode_body_packet(body[: ajp.MAX_BODY_DATA_BYTES]) if body else b""
            response = await connection.exchange(data + body_packet, max(0.0, time_left))
            if not isinstance(response, ajp.AjpResponse):
                raise ConnectionResetError("CPong in place of a response")
            if response.reuse and not (self.is_closed or connection.unsent or connection.transport is None):
                connection.last_used_at = asyncio.get_running_loop().time()
                member.idle_connections.append(connection)
                connection = None
                self.sweeper.start()
            return response
        finally:
            member.in_flight -= 1
            if connection is not None:
                connection.close()

    async def _acquire_connection(self, member: AjpMember, must_run_once: bool) -> MemberConnection:
        """Return an idle connection or a new one.

        For a request that must run once, an idle connection is pinged first: the member may be closing it,
        and whether it received the request would then be unknown.

        Raises:
            NeverStartedError: No connection could be established.
        """
        while member.idle_connections:
            connection = member.idle_connections.pop()
            try:
                if not must_run_once or isinstance(
                    await connection.exchange(ajp.CPING_PACKET, PING_TIMEOUT_SECONDS), ajp.CPong
                ):
                    return connection
            except (OSError, TimeoutError):
                pass
            except asyncio.CancelledError:
                connection.close()
                raise
            connection.close()
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_SECONDS):
                _, established = await loop.create_connection(
                    lambda: MemberConnection(member), *parse_address(member.host)
                )
        except (OSError, TimeoutError) as error:
            member.avoided_until = loop.time() + REFUSED_MEMBER_AVOIDANCE_SECONDS
            self.log("member-refused", member=member.host, error=str(error))
            raise NeverStartedError from None  # no byte of the request was sent
        return established
