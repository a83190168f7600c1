"""The worker pool's link: lines of words, some followed by a counted body.

``PoolSession`` outlives the links it runs over: it knows the last notice read, drops what comes twice, and
sends again what a lost link may have swallowed, as far as that can't start anything a second time.
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
    """The pool is up."""

    loaded: bool
    age: float


class Finished(NamedTuple):
    ident: bytes
    end: bytes
    took: float
    result: bytes


class Blocked(NamedTuple):
    ident: bytes
    notice: int
    body: bytes


class Polled(NamedTuple):
    gauges: tuple[float, ...]


class UnknownCommand(NamedTuple):
    command: bytes
    ident: bytes


class UncertainRun(NamedTuple):
    """Whether this run was ever started can't be told any more."""

    ident: bytes


Message = Bound | Finished | Blocked | Polled | UnknownCommand | UncertainRun


@dataclass(slots=True)
class Command:
    """A command that no later answer has shown to have arrived."""

    mark: int  # number of the last poll before it
    verb: bytes
    ident: bytes
    notice: int  # of the call that the command is about, or 0
    once: bool  # never written twice: a lost link proves nothing
    written: bool
    data: bytes


class PoolSession:
    """The service's half of the protocol."""

    def __init__(self) -> None:
        self.last = 0  # number of the last notice that was read
        self.is_ready = False  # the present link is bound and its replay has been read
        self.last_poll = 0  # polls sent so far
        self.unconfirmed: deque[Command] = deque()
        self.calls: dict[bytes, int] = {}  # notice of the call that each run waits for
        self.reader = LineReader(self._length, remark=b"chatter ")
        self.barrier = 0

    # ---- sending ------------------------------------------------------------------------------

    def open_link(self) -> bytes:
        """The link is new: what to send first."""
        self.is_ready, self.barrier = False, 0
        self.reader.reset()
        return b"bind %d\r\n" % self.last

    def lose_link(self) -> None:
        self.is_ready = False

    def reset(self) -> None:
        """Another pool is at the other end: it numbers its notices anew and knows of no run."""
        self.last = 0
        self.unconfirmed.clear()
        self.calls.clear()

    def has_uncertain_run(self) -> bool:
        """Whether a run that must not start twice was asked for, and nothing shows yet that this arrived."""
        return any(c.once and c.written for c in self.unconfirmed)

    def _command(self, verb: bytes, ident: bytes, data: bytes, once: bool = False, notice: int = 0) -> bytes:
        self.unconfirmed.append(Command(self.last_poll, verb, ident, notice, once, self.is_ready, data))
        return data if self.is_ready else b""

    def spawn(self, ident: bytes, klass: bytes, body: bytes, once: bool) -> bytes:
        data = b"spawn %b %b %d\r\n%b\r\n" % (ident, klass, len(body), body)
        sent = self._command(b"spawn", ident, data, once)
        # A run that must not start twice is asked after at once: until then a lost link leaves it in doubt.
        return sent + self.poll() if once else sent

    def suspend(self, ident: bytes) -> bytes:
        return self._command(b"suspend", ident, b"suspend %b\r\n" % ident)

    def resume(self, ident: bytes) -> bytes:
        return self._command(b"proceed", ident, b"proceed %b\r\n" % ident)

    def supply_reply(self, ident: bytes, reply: bytes) -> bytes:
        data = b"supply %b %d\r\n%b\r\n" % (ident, len(reply), reply)
        return self._command(b"supply", ident, data, notice=self.calls.pop(ident, 0))

    def skip_call(self, ident: bytes, notice: int) -> bytes:
        self.calls.pop(ident, None)
        return self._command(b"pass", ident, b"pass %b %d\r\n" % (ident, notice), notice=notice)

    def poll(self) -> bytes:
        """Ask for the gauges; the answer also shows that all commands before it arrived."""
        if not self.is_ready:
            return b""
        self.last_poll += 1
        return b"poll %d\r\n" % self.last_poll

    def forget_run(self, ident: bytes) -> None:
        """The run is over: nothing of what was said of it may be said again on a new link."""
        self.calls.pop(ident, None)
        if any(c.ident == ident for c in self.unconfirmed):
            self.unconfirmed = deque(c for c in self.unconfirmed if c.ident != ident)

    # ---- receiving ----------------------------------------------------------------------------

    def messages(self, buffer: Buffer) -> Iterator[Message | bytes]:
        """What has come in whole; a ``bytes`` item is to be sent at once."""
        while (found := self.reader.next(buffer)) is not None:
            yield from self._message(*found)

    @staticmethod
    def _length(words: list[bytes]) -> int | None:
        if words[0] not in (b"finished", b"blocked"):
            return None
        return parse_number(words, 5 if words[0] == b"finished" else 3)

    @staticmethod
    def _real(words: list[bytes], at: int) -> float:
        try:
            return float(words[at])
        except (IndexError, ValueError):
            raise MalformedMessageError(f"{words[0][:20]!r}: field {at} is not a number") from None

    def _message(self, words: list[bytes], body: bytes) -> Iterator[Message | bytes]:
        verb = words[0]
        if verb in (b"finished", b"blocked"):
            if len(words) != (6 if verb == b"finished" else 4):
                raise MalformedMessageError(f"{verb[:20]!r}: fields")
            notice, ident = parse_number(words, 1), words[2]
            if notice <= self.last:  # applied already: the replay of a new link overlaps what was read
                return
            self.last = notice
            if verb == b"blocked":
                self.calls[ident] = notice
                yield Blocked(ident, notice, body)
            else:
                self.forget_run(ident)
                yield Finished(ident, words[3], self._real(words, 4) / 1000, body)
        elif verb == b"polled":
            tag = parse_number(words, 1)
            while self.unconfirmed and self.unconfirmed[0].mark < tag:
                if not self.is_ready and self.barrier == tag:
                    break
                self.unconfirmed.popleft()
            if not self.is_ready and tag == self.barrier:
                # All notices that the old link missed have been read by now.
                self.is_ready = True
                yield from self._again()
            yield Polled(tuple(self._real(words, n) for n in range(2, len(words))))
        elif verb == b"bound":
            if len(words) < 2 or words[1] not in (b"EMPTY", b"LOADED"):
                raise MalformedMessageError("bound: no such state")
            self.last_poll += 1
            self.barrier = self.last_poll
            yield Bound(words[1] == b"LOADED", self._real(words, 2) / 1000)
            yield b"poll %d\r\n" % self.last_poll
        elif verb == b"unknown":
            if len(words) < 3:
                raise MalformedMessageError("unknown: field missing")
            yield UnknownCommand(words[1], words[2])
        elif verb == b"chatter":
            pass  # its number counts for nothing: taken as read, it could hide a notice under the same one
        else:
            raise MalformedMessageError(f"{verb[:20]!r}: no such message")

    def _again(self) -> Iterator[Message | bytes]:
        """The commands that the old link may have swallowed; a run that must not start twice is given up."""
        commands, self.unconfirmed = self.unconfirmed, deque()
        for command in commands:
            if command.once and command.written:
                yield UncertainRun(command.ident)
            elif not command.notice or self.calls.get(command.ident, command.notice) == command.notice:
                command.mark, command.written = (
                    self.last_poll,
                    True,
                )  # else the run is at its next call already
                self.unconfirmed.append(command)
                yield command.data
