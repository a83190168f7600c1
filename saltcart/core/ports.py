"""What the core exchanges with the outside, and the ports it calls.  No wire, socket or event loop here."""

from __future__ import annotations

import enum
from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

from saltcart.decision.connection_admission import ConnectionAdmission
from saltcart.decision.outcome import Outcome


class ResponseStatus(enum.Enum):
    """The final answer's kind; each front has its own status for it."""

    SERVED = "served"
    REJECTED = "refused"
    FAILED = "failed"


@dataclass(slots=True)
class FinalResponse:
    """One final answer."""

    status: ResponseStatus
    body: bytes = b""
    load_level: float | None = None  # the free value
    back_off_seconds: float = 0.0  # seconds
    retry_after_seconds: float = 0.0  # seconds until the moment that the calendar gave, if it gave one
    is_final: bool = False  # asks that no other server is tried
    skipped_dependencies: tuple[str, ...] = ()  # dependencies that a partial answer does without
    cached_dependencies: tuple[str, ...] = ()  # those for which a last good answer stands in


@dataclass(slots=True)
class InboundRequest:
    """A request as a front has read it."""

    request_id: bytes
    class_name: str
    account: str
    received_at: float  # when it came to the machine, Unix seconds
    budget_seconds: float | None  # seconds from ``received``
    size_kb: float
    priority_rank: float
    cost_hint: float | None = None
    balancer: int = 0
    idempotency_key: bytes | None = None
    resource_key: str | None = None
    admitted_last: bool = False  # let in after the others, for its source takes more than its part
    body: bytes = b""


ResponseCallback = Callable[
    [FinalResponse], None
]  # where one request's final answer goes; called once at most


class WorkerPool(Protocol):
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


class DependencyCalls(Protocol):
    """Calls to what lies below.  ``once``: the call must never be made where a first one may have run."""

    def call(self, ident: bytes, limit: float, body: bytes, once: bool) -> None: ...
    def give_up(self, ident: bytes) -> None: ...


class Registration(Protocol):
    """Where the service tells that it takes requests."""

    def set_accepting(self, on: bool) -> None: ...


class Log(Protocol):
    def __call__(self, event: str, **fields: object) -> None: ...


class Attempt(Protocol):
    """What is known of one try that arrived."""

    @property
    def fingerprint(self) -> int: ...
    @property
    def is_retry(self) -> bool: ...
    @property
    def has_reservation(self) -> bool: ...
    @property
    def is_early(self) -> bool: ...


class RetryAdvice(Protocol):
    """What a refused caller is told."""

    @property
    def retry_after(self) -> float: ...
    @property
    def is_final(self) -> bool: ...


class RetryStormControl(Protocol):
    """Who tells tries that come again from new work, and says when a refused caller should come back."""

    def record_arrival(
        self, now: float, account: str, klass: str, key: bytes | None, subject: str | None, body: bytes
    ) -> Attempt: ...
    def record_rejection(self, now: float, mark: int) -> RetryAdvice: ...
    def record_success(self, now: float, mark: int, again: bool) -> None: ...
    def record_run(self, now: float, took: float, full: bool, running: int) -> None: ...
    def in_storm(self, now: float) -> bool: ...
    def source_of(self, address: str) -> int: ...
    def admit_connection(self, now: float, source: int) -> ConnectionAdmission: ...
    def reject_unread(self, now: float, source: int) -> RetryAdvice: ...
    def record_advice(self, now: float, source: int, after: float) -> None: ...


class WorkerPoolEvents(Protocol):
    """The core's half of ``WorkerPool``: what a pool tells it."""

    def pool_started(self, cold: bool, age: float) -> None: ...
    def pool_replaced(self, cold: bool, age: float) -> None: ...
    def run_finished(
        self,
        ident: bytes,
        outcome: Outcome,
        took: float,
        result: bytes,
        left_out: tuple[str, ...] = (),
        remembered: tuple[str, ...] = (),
    ) -> None: ...
    def run_awaits_call(self, ident: bytes, notice: int, body: bytes) -> None: ...
    def run_uncertain(self, ident: bytes) -> None: ...
    def gauges_polled(self, values: tuple[float, ...]) -> None: ...


class DependencyCallEvents(Protocol):
    """The core's half of ``DependencyCalls``."""

    def call_finished(self, ident: bytes, outcome: Outcome, reply: bytes) -> None: ...
