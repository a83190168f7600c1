"""What the core exchanges with the outside, and the ports it calls.  No wire, socket or event loop here."""

from __future__ import annotations

import enum
from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

from saltcart.decision.connection_admission import ConnectionAdmission
from saltcart.decision.outcome import Outcome


class Verdict(enum.Enum):
    """The final answer's kind; each front has its own status for it."""

    SERVED = "served"
    REFUSED = "refused"
    FAILED = "failed"


@dataclass(slots=True)
class Answer:
    """One final answer."""

    verdict: Verdict
    body: bytes = b""
    hint: float | None = None  # the free value
    back_off: float = 0.0  # seconds
    come_back: float = 0.0  # seconds until the moment that the calendar gave, if it gave one
    final: bool = False  # asks that no other server is tried
    left_out: tuple[str, ...] = ()  # dependencies that a partial answer does without
    remembered: tuple[str, ...] = ()  # those for which a last good answer stands in


@dataclass(slots=True)
class Ask:
    """A request as a front has read it."""

    ident: bytes
    klass: str
    account: str
    received: float  # when it came to the machine, Unix seconds
    budget: float | None  # seconds from ``received``
    size_kb: float
    standing: float
    cost: float | None = None
    caller: int = 0
    key: bytes | None = None
    subject: str | None = None
    last: bool = False  # let in after the others, for its source takes more than its part
    body: bytes = b""


Reply = Callable[[Answer], None]  # where one request's final answer goes; called once at most


class Runs(Protocol):
    """Who does the work.

    ``once``: the run must never be started a second time.  ``within``: seconds that its caller still waits.
    ``aim``: seconds in which an answer is worth most.
    """

    def spawn(
        self, ident: bytes, klass: str, account: str, body: bytes, once: bool, within: float, aim: float
    ) -> None: ...
    def suspend(self, ident: bytes) -> None: ...
    def proceed(self, ident: bytes) -> None: ...
    def supply(self, ident: bytes, reply: bytes) -> None: ...
    def skip(self, ident: bytes, notice: int) -> None: ...
    def poll(self) -> None: ...


class Calls(Protocol):
    """Calls to what lies below.  ``once``: the call must never be made where a first one may have run."""

    def call(self, ident: bytes, limit: float, body: bytes, once: bool) -> None: ...
    def give_up(self, ident: bytes) -> None: ...


class Announce(Protocol):
    """Where the service tells that it takes requests."""

    def accepting(self, on: bool) -> None: ...


class Log(Protocol):
    def __call__(self, event: str, **fields: object) -> None: ...


class Try(Protocol):
    """What is known of one try that arrived."""

    @property
    def mark(self) -> int: ...
    @property
    def again(self) -> bool: ...
    @property
    def kept(self) -> bool: ...
    @property
    def early(self) -> bool: ...


class Return(Protocol):
    """What a refused caller is told."""

    @property
    def after(self) -> float: ...
    @property
    def final(self) -> bool: ...


class Storms(Protocol):
    """Who tells tries that come again from new work, and says when a refused caller should come back."""

    def arrived(
        self, now: float, account: str, klass: str, key: bytes | None, subject: str | None, body: bytes
    ) -> Try: ...
    def refused(self, now: float, mark: int) -> Return: ...
    def served(self, now: float, mark: int, again: bool) -> None: ...
    def run_ended(self, now: float, took: float, full: bool, running: int) -> None: ...
    def storm(self, now: float) -> bool: ...
    def source(self, address: str) -> int: ...
    def admits(self, now: float, source: int) -> ConnectionAdmission: ...
    def unread(self, now: float, source: int) -> Return: ...
    def tell(self, now: float, source: int, after: float) -> None: ...


class RunEvents(Protocol):
    """The core's half of ``Runs``: what a pool tells it."""

    def pool_up(self, cold: bool, age: float) -> None: ...
    def pool_lost(self, cold: bool, age: float) -> None: ...
    def run_ended(
        self,
        ident: bytes,
        outcome: Outcome,
        took: float,
        result: bytes,
        left_out: tuple[str, ...] = (),
        remembered: tuple[str, ...] = (),
    ) -> None: ...
    def run_blocked(self, ident: bytes, notice: int, body: bytes) -> None: ...
    def run_lost(self, ident: bytes) -> None: ...
    def gauges(self, values: tuple[float, ...]) -> None: ...


class CallEvents(Protocol):
    """The core's half of ``Calls``."""

    def call_ended(self, ident: bytes, outcome: Outcome, reply: bytes) -> None: ...
