"""Work done by AJP servers: the runs port off the platform, in the place of the worker pool.

A run is one forward request to one member.  What proves that it never ran (a refused connection, a 429 or a
503) lets it go to the next member; a connection that drops once bytes were sent proves nothing, so work that
must run only once fails then, and work that is safe to repeat is tried once more.
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
IDLE_TIMEOUT_SECONDS, SWEEP_INTERVAL_SECONDS = (
    10.0,
    1.0,
)  # connections that rest longer are closed: a member may have forgotten them
REFUSED_MEMBER_AVOIDANCE_SECONDS = (
    2.0  # a member that refused a connection is left alone this long, if others are there
)


class NeverStartedError(Exception):
    """The member proved that it did not run the request."""


@dataclass(slots=True, eq=False)
class AjpMember:
    """One AJP server of the upstream."""

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
        self.member, self.parser = member, ajp.ResponseParser(MAX_RESULT_BYTES)
        self.answer: asyncio.Future[ajp.Response | ajp.Pong] | None = None
        self.body = b""  # what the member has not asked for yet
        self.used = 0.0

    def received(self) -> None:
        try:
            while (message := self.parser.next(self.buffer)) is not None:
                if isinstance(message, ajp.WantBody):
                    part, self.body = self.body[: message.size], self.body[message.size :]
                    self.send(ajp.body_packet(part))
                elif self.answer is not None and not self.answer.done():
                    self.answer.set_result(message)
                else:
                    raise MalformedMessageError("an answer to nothing")
        except MalformedMessageError:
            self.close()

    def closed(self) -> None:
        if self in self.member.idle_connections:
            self.member.idle_connections.remove(self)
        if self.answer is not None and not self.answer.done():
            self.answer.set_exception(ConnectionResetError("the member closed the connection"))

    async def ask(self, data: bytes, wait: float) -> ajp.Response | ajp.Pong:
        if self.transport is None:
            raise ConnectionResetError("the member closed the connection")
        self.answer = asyncio.get_running_loop().create_future()
        self.send(data)
        async with asyncio.timeout(wait):
            return await self.answer


class MemberChooser(Protocol):
    """Who decides on the member, where it is not just the one with the least to do."""

    def admit_request(self, class_name: str) -> bool:
        """A request has come; whether it is to be placed at all."""

    def choose_member(self, class_name: str, tried: set[str], safe: bool) -> str | None: ...
    def attempt_finished(self, host: str, good: bool, took: float, refused: bool) -> None: ...


class AjpUpstream:
    """Sends each run to the member that has the least to do for its weight, or that a chooser names."""

    def __init__(
        self, members: list[AjpMember], ended: Callable[[bytes, Outcome, float, bytes], None], log: Log
    ) -> None:
        self.members, self.ended, self.log = members, ended, log
        self.by_host = {m.host: m for m in members}
        self.chooser: MemberChooser | None = None
        self.tasks: dict[bytes, asyncio.Task[None]] = {}
        self.closed = False
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
        if request_id not in self.tasks:
            task = asyncio.get_running_loop().create_task(
                self._run(request_id, class_name, account, body, must_run_once, time_to_deadline)
            )
            self.tasks[request_id] = task
            task.add_done_callback(lambda done: self._done(request_id, done))

    def suspend(self, request_id: bytes) -> None:
        """AJP has no pause: the run is given up and its connection closed."""
        if (task := self.tasks.get(request_id)) is not None:
            task.cancel()

    def close(self) -> None:
        """Give back the connections that carry nothing; the others go when their runs end."""
        self.closed = True
        self.sweeper.stop()
        self._close_idle(0.0)

    def _close_idle(self, age: float) -> None:
        oldest = asyncio.get_running_loop().time() - age
        for member in self.members:
            for connection in [c for c in member.idle_connections if c.used <= oldest]:
                member.idle_connections.remove(connection)
                connection.close()

    def _sweep(self) -> None:
        self._close_idle(IDLE_TIMEOUT_SECONDS)
        if not any(member.idle_connections for member in self.members):
            self.sweeper.stop()

    def _done(self, request_id: bytes, task: asyncio.Task[None]) -> None:
        self.tasks.pop(request_id, None)
        if task.cancelled():  # before its first step: nobody has told of its end
            self.ended(request_id, Outcome.CANCELLED, 0.0, b"")
        elif (error := task.exception()) is not None:
            self.log("error", id=request_id.decode(), error=repr(error))
            self.ended(request_id, Outcome.FAILED, 0.0, b"")

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
        begun, outcome, result = loop.time(), Outcome.FAILED, b""
        try:
            async with asyncio.timeout(max(0.0, time_to_deadline)):
                outcome, result = await self._try_members(
                    request_id, class_name, account, body, must_run_once, begun + time_to_deadline
                )
        except TimeoutError:
            pass  # its caller's time is over; the run may have had its effect
        except asyncio.CancelledError:
            outcome = Outcome.CANCELLED
        self.ended(request_id, outcome, loop.time() - begun, result)

    async def _try_members(
        self, request_id: bytes, class_name: str, account: str, body: bytes, must_run_once: bool, until: float
    ) -> tuple[Outcome, bytes]:
        tried, repeats = set[AjpMember](), 0 if must_run_once else 1
        loop, chooser = asyncio.get_running_loop(), self.chooser
        if chooser is not None and not chooser.admit_request(class_name):
            return Outcome.NOT_STARTED, b""
        while (member := self._choose(class_name, tried, must_run_once)) is not None:
            tried.add(member)
            sent, good, refused = loop.time(), False, False
            try:
                response = await self._forward(
                    member, request_id, class_name, account, body, must_run_once, until
                )
                good = response.status == 200
            except NeverStartedError:
                refused = True
                continue
            except OSError as error:
                self.log("member-lost", member=member.host, id=request_id.decode(), error=str(error))
                if not repeats:
                    return Outcome.FAILED, b""
                repeats -= 1
                tried.discard(member)
                continue
            finally:  # a run that was given up in its time tells of a member as well as one that broke off
                if chooser is not None:
                    chooser.attempt_finished(member.host, good, loop.time() - sent, refused)
            if response.status in REJECTION_STATUSES:
                continue
            return (Outcome.SUCCEEDED, response.body) if response.status == 200 else (Outcome.FAILED, b"")
        return Outcome.NOT_STARTED, b""  # every member proved that it never ran

    def _choose(self, class_name: str, tried: set[AjpMember], must_run_once: bool) -> AjpMember | None:
        if self.chooser is not None:
            host = self.chooser.choose_member(class_name, {m.host for m in tried}, not must_run_once)
            return None if host is None else self.by_host.get(host)
        now = asyncio.get_running_loop().time()
        fresh = [m for m in self.members if m not in tried]
        able = [m for m in fresh if m.avoided_until <= now] or fresh
        return min(able, key=lambda m: (m.in_flight + 1) / m.weight, default=None)

    async def _forward(
        self,
        member: AjpMember,
        request_id: bytes,
        class_name: str,
        account: str,
        body: bytes,
        must_run_once: bool,
        until: float,
    ) -> ajp.Response:
        member.in_flight += 1
        connection: MemberConnection | None = None
        try:
            connection = await self._connection(member, must_run_once)
            host, port = parse_address(member.host)
            left = until - asyncio.get_running_loop().time()
            headers = [
                (b"Request-Id", request_id),
                (b"Account", account.encode()),
                (b"Budget-Ms", b"%d" % max(1, left * 1000)),
                (b"Content-Length", b"%d" % len(body)),
            ]
            data = ajp.forward_request(
                b"POST", b"/call/" + class_name.encode(), headers, host.encode(), port, member.secret
            )
            connection.body = body[ajp.MAX_DATA :]
            answer = await connection.ask(
                data + (ajp.body_packet(body[: ajp.MAX_DATA]) if body else b""), max(0.0, left)
            )
            if not isinstance(answer, ajp.Response):
                raise ConnectionResetError("a pong in the place of an answer")
            if answer.reuse and not (self.closed or connection.body or connection.transport is None):
                connection.used = asyncio.get_running_loop().time()
                member.idle_connections.append(connection)
                connection = None
                self.sweeper.start()
            return answer
        finally:
            member.in_flight -= 1
            if connection is not None:
                connection.close()

    async def _connection(self, member: AjpMember, must_run_once: bool) -> MemberConnection:
        """A connection that stands: an idle one, pinged where a close must not cross, or a new one."""
        while member.idle_connections:
            connection = member.idle_connections.pop()
            try:
                if not must_run_once or isinstance(
                    await connection.ask(ajp.CPING_PACKET, PING_TIMEOUT_SECONDS), ajp.Pong
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
                _, made = await loop.create_connection(
                    lambda: MemberConnection(member), *parse_address(member.host)
                )
        except (OSError, TimeoutError) as error:
            member.avoided_until = loop.time() + REFUSED_MEMBER_AVOIDANCE_SECONDS
            self.log("member-refused", member=member.host, error=str(error))
            raise NeverStartedError from None  # no byte of the request was sent
        return made
