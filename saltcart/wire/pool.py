"""The worker pool's protocol: lines of words, some followed by a body of stated length.

``PoolSession`` outlives the connections that it uses. It keeps the number of the last notice read, drops
repeated notices, and resends commands that a lost connection may have dropped, unless that could start a run
a second time or give a run the reply to one call as that to the next.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Iterator
from dataclasses import dataclass
from typing import NamedTuple

from saltcart.wire.buffer import Buffer
from saltcart.wire.errors import MalformedMessageError
from saltcart.wire.lines import LineReader, parse_number


class Bound(NamedTuple):
    """The pool accepted the connection and is ready."""

    is_warm: bool  # False if the pool starts cold
    age: float  # seconds since the pool started


class Finished(NamedTuple):
    """A run ended."""

    request_id: bytes
    status: bytes
    seconds: float  # execution time of the run
    result: bytes


class Blocked(NamedTuple):
    """A run waits for the reply to a call."""

    request_id: bytes
    notice_number: int
    body: bytes  # of the call


class Polled(NamedTuple):
    """The pool's gauges, in the order of its protocol."""

    gauges: tuple[float, ...]


class UnknownCommand(NamedTuple):
    """The pool could not apply a command, for example because it does not know the run."""

    command: bytes
    request_id: bytes


class UncertainRun(NamedTuple):
    """It can no longer be determined whether this run was ever started."""

    request_id: bytes


class UncertainReply(NamedTuple):
    """It can no longer be determined whether this run received the reply to its call."""

    request_id: bytes
    notice_number: int  # of the call


Message = Bound | Finished | Blocked | Polled | UnknownCommand | UncertainRun | UncertainReply


@dataclass(slots=True)
class Command:
    """A command that no later reply to a poll has shown to have arrived."""

    last_poll: int  # number of the last poll sent before it
    verb: bytes
    request_id: bytes
    notice_number: int  # of the call that the command is about, or 0
    must_run_once: bool  # not sent twice: it may have arrived although the connection was lost
    is_sent: bool
    data: bytes

    def is_unrepeatable(self) -> bool:
        """Return whether it was sent and must not be sent again.

        A reply names no call: a run that has received it may wait at its next call when it is sent again.
        """
        return self.is_sent and (self.must_run_once or self.verb == b"supply")


class PoolSession:
    """The service's side of the protocol.

    Methods that return bytes return data to send on the connection. While the connection is not ready they
    return nothing, and the command is sent once it is ready.
    """

    def __init__(self) -> None:
        self.last_notice = 0  # number of the last notice that was read
        self.is_ready = False  # the current connection is bound, and its replayed notices have been read
        self.last_poll = 0  # number of polls sent so far
        self.unconfirmed: deque[Command] = deque()
        # By request id, the number of the notice of the call that its run waits for.
        self.call_notices: dict[bytes, int] = {}
        self.reader = LineReader(self._body_length, ignored_prefix=b"chatter ")
        self.replay_poll = 0  # number of the poll whose reply follows the replayed notices

    # ---- sending ------------------------------------------------------------------------------

    def open_connection(self) -> bytes:
        """Start to use a new connection."""
        self.is_ready, self.replay_poll = False, 0
        self.reader.reset()
        return b"bind %d\r\n" % self.last_notice

    def close_connection(self) -> None:
        """Stop sending on the connection; commands wait for the next one."""
        self.is_ready = False

    def reset(self) -> None:
        """Continue with a different pool, which numbers its notices from the start and knows no run."""
        self.last_notice = 0
        self.unconfirmed.clear()
        self.call_notices.clear()

    def has_uncertain_command(self) -> bool:
        """Return whether a command that must not be sent twice was sent and is not yet confirmed."""
        return any(command.is_unrepeatable() for command in self.unconfirmed)

    def _command(
        self,
        verb: bytes,
        request_id: bytes,
        data: bytes,
        must_run_once: bool = False,
        notice_number: int = 0,
    ) -> bytes:
        """Record a command as unconfirmed, and return it if the connection is ready."""
        self.unconfirmed.append(
            Command(self.last_poll, verb, request_id, notice_number, must_run_once, self.is_ready, data)
        )
        return data if self.is_ready else b""

    def spawn(self, request_id: bytes, class_name: bytes, body: bytes, must_run_once: bool) -> bytes:
        """Start a run.

        Args:
            request_id: The request to run.
            class_name: The class of the request.
            body: The body of the request.
            must_run_once: Whether the run must never be started a second time.
        """
        data = b"spawn %b %b %d\r\n%b\r\n" % (request_id, class_name, len(body), body)
        sent = self._command(b"spawn", request_id, data, must_run_once)
        # The reply to the poll confirms the spawn; if the connection is lost first, the run is uncertain.
        return sent + self.poll() if must_run_once else sent

    def suspend(self, request_id: bytes) -> bytes:
        """Stop a run."""
        return self._command(b"suspend", request_id, b"suspend %b\r\n" % request_id)

    def resume(self, request_id: bytes) -> bytes:
        """Resume a paused run."""
        return self._command(b"proceed", request_id, b"proceed %b\r\n" % request_id)

    def supply_reply(self, request_id: bytes, reply: bytes) -> bytes:
        """Pass the dependency's reply to the run that waits for it."""
        data = b"supply %b %d\r\n%b\r\n" % (request_id, len(reply), reply)
        notice_number = self.call_notices.pop(request_id, 0)
        # The reply to the poll confirms it; if the connection is lost first, it can't be sent again.
        return self._command(b"supply", request_id, data, notice_number=notice_number) + self.poll()

    def skip_call(self, request_id: bytes, notice_number: int) -> bytes:
        """Resume a run without the call that the pool's notice of this number requested."""
        self.call_notices.pop(request_id, None)
        return self._command(
            b"pass",
            request_id,
            b"pass %b %d\r\n" % (request_id, notice_number),
            notice_number=notice_number,
        )

    def poll(self) -> bytes:
        """Request the gauges; the reply also confirms all commands sent before."""
        if not self.is_ready:
            return b""
        self.last_poll += 1
        return b"poll %d\r\n" % self.last_poll

    def forget_run(self, request_id: bytes) -> None:
        """Drop the commands for a run that ended, so that none of them is sent again on a new connection."""
        self.call_notices.pop(request_id, None)
        if any(c.request_id == request_id for c in self.unconfirmed):
            self.unconfirmed = deque(c for c in self.unconfirmed if c.request_id != request_id)

    # ---- receiving ----------------------------------------------------------------------------

    def messages(self, buffer: Buffer) -> Iterator[Message | bytes]:
        """Yield the complete messages; a ``bytes`` item must be sent at once.

        Raises:
            MalformedMessageError: The data is malformed; the connection must be closed.
        """
        while (found := self.reader.next(buffer)) is not None:
            yield from self._message(*found)

    @staticmethod
    def _body_length(words: list[bytes]) -> int | None:
        if words[0] not in (b"finished", b"blocked"):
            return None
        return parse_number(words, 5 if words[0] == b"finished" else 3)

    @staticmethod
    def _parse_float(words: list[bytes], index: int) -> float:
        try:
            return float(words[index])
        except (IndexError, ValueError):
            raise MalformedMessageError(f"{words[0][:20]!r}: field {index} is not a number") from None

    def _message(self, words: list[bytes], body: bytes) -> Iterator[Message | bytes]:
        verb = words[0]  # of one line, which is applied; the messages and commands that follow are yielded
        if verb in (b"finished", b"blocked"):
            if len(words) != (6 if verb == b"finished" else 4):
                raise MalformedMessageError(f"{verb[:20]!r}: wrong number of fields")
            notice_number, request_id = parse_number(words, 1), words[2]
            if notice_number <= self.last_notice:  # a new connection also replays notices already read
                return
            self.last_notice = notice_number
            if verb == b"blocked":
                self.call_notices[request_id] = notice_number
                yield Blocked(request_id, notice_number, body)
            else:
                self.forget_run(request_id)
                yield Finished(request_id, words[3], self._parse_float(words, 4) / 1000, body)
        elif verb == b"polled":
            poll_number = parse_number(words, 1)
            while self.unconfirmed and self.unconfirmed[0].last_poll < poll_number:
                if not self.is_ready and self.replay_poll == poll_number:
                    break
                self.unconfirmed.popleft()
            if not self.is_ready and poll_number == self.replay_poll:
                self.is_ready = True  # all notices that the previous connection missed have been read
                yield from self._resend_unconfirmed()
            yield Polled(tuple(self._parse_float(words, index) for index in range(2, len(words))))
        elif verb == b"bound":
            if len(words) < 2 or words[1] not in (b"EMPTY", b"LOADED"):
                raise MalformedMessageError("bound: unknown state")
            self.last_poll += 1
            self.replay_poll = self.last_poll
            yield Bound(words[1] == b"LOADED", self._parse_float(words, 2) / 1000)
            yield b"poll %d\r\n" % self.last_poll
        elif verb == b"unknown":
            if len(words) < 3:
                raise MalformedMessageError("unknown: a field is missing")
            yield UnknownCommand(words[1], words[2])
        elif verb == b"chatter":
            pass  # its number is not recorded as read: a notice under the same number would be dropped
        else:
            raise MalformedMessageError(f"{verb[:20]!r}: unknown message")

    def _resend_unconfirmed(self) -> Iterator[Message | bytes]:
        """Resend the commands that the previous connection may have dropped.

        Those that must not be sent twice are reported as uncertain instead, if they were sent.
        """
        commands, self.unconfirmed = self.unconfirmed, deque()
        for command in commands:
            if self._is_about_earlier_call(command):
                continue
            if not command.is_unrepeatable():
                command.last_poll, command.is_sent = self.last_poll, True
                self.unconfirmed.append(command)
                yield command.data
            elif command.must_run_once:
                yield UncertainRun(command.request_id)
            else:
                yield UncertainReply(command.request_id, command.notice_number)

    def _is_about_earlier_call(self, command: Command) -> bool:
        """Return whether the run waits at a later call than that of the command."""
        later_notice = self.call_notices.get(command.request_id, command.notice_number)
        return command.notice_number > 0 and later_notice != command.notice_number
