"""The ports through which the core acts on the outside.  No wire, socket or event loop here.

Request ids are those of ``InboundRequest``; times are seconds.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Protocol

from saltcart.decision.connection_admission import ConnectionAdmission
from saltcart.decision.outcome import Outcome


class WorkerPool(Protocol):
    """Does the work of requests."""

    def spawn(
        self,
        request_id: bytes,
        class_name: str,
        account: str,
        body: bytes,
        must_run_once: bool,
        time_to_deadline: float,
        time_to_objective: float,
    ) -> None:
        """Start a run.

        ``must_run_once``: it must never be started a second time.  ``time_to_deadline``: seconds for which
        its caller still waits; ``time_to_objective``: seconds in which a response earns its full weight.
        """

    def suspend(self, request_id: bytes) -> None:
        """Stop a run, as far as the settings' preemption allows."""

    def resume(self, request_id: bytes) -> None:
        """Go on with a paused run."""

    def supply_reply(self, request_id: bytes, reply: bytes) -> None:
        """Give a run the reply to the call that it waits for."""

    def skip_call(self, request_id: bytes, notice: int) -> None:
        """Let a run go on without the call that this notice asked for."""

    def poll_gauges(self) -> None:
        """Ask for the gauges."""


class DependencyCalls(Protocol):
    """Makes calls to the dependency."""

    def call(self, request_id: bytes, timeout: float, body: bytes, must_run_once: bool) -> None:
        """Make a call; ``must_run_once``: not a second time where the first one may have run."""

    def cancel_call(self, request_id: bytes) -> None:
        """Give a request's call up."""


class Registration(Protocol):
    """Where the service is listed for clients."""

    def set_accepting(self, on: bool) -> None:
        """Report whether the service takes requests."""


class Log(Protocol):
    """Writes one event with its fields."""

    def __call__(self, event: str, **fields: object) -> None:
        """Write one event."""


class Attempt(Protocol):
    """What retry-storm control knows of one attempt that arrived."""

    @property
    def fingerprint(self) -> int:
        """The same for all attempts of one request."""

    @property
    def is_retry(self) -> bool:
        """Whether the same request was rejected before."""

    @property
    def has_reservation(self) -> bool:
        """Whether it comes at the moment that its caller was given."""

    @property
    def is_early(self) -> bool:
        """Whether it comes before that moment."""


class RetryAdvice(Protocol):
    """What a rejected caller is told."""

    @property
    def retry_after(self) -> float:
        """Seconds until the moment at which the request may come again; 0 if none was set."""

    @property
    def is_final(self) -> bool:
        """Whether no other server should be tried."""


class RetryStormControl(Protocol):
    """Tells retries from new work, and says when a rejected caller should come again."""

    def record_arrival(
        self, now: float, account: str, class_name: str, key: bytes | None, subject: str | None, body: bytes
    ) -> Attempt:
        """Recognise an attempt that arrived."""

    def record_rejection(self, now: float, fingerprint: int) -> RetryAdvice:
        """Record that an attempt was rejected; returns what its caller is told."""

    def record_success(self, now: float, fingerprint: int, is_retry: bool) -> None:
        """Record that an attempt was served."""

    def record_run(self, now: float, seconds: float, is_full: bool, running: int) -> None:
        """Record the time of a run; ``is_full``: requests were held meanwhile."""

    def in_storm(self, now: float) -> bool:
        """Whether a retry storm is under way."""

    def source_of(self, address: str) -> int:
        """Return the source to which a client's address belongs."""

    def admit_connection(self, now: float, source: int) -> ConnectionAdmission:
        """Decide what becomes of a connection that brings a request."""

    def reject_unread(self, now: float, source: int) -> RetryAdvice:
        """Record a connection that was not read; returns what its client is told."""

    def record_advice(self, now: float, source: int, retry_after: float) -> None:
        """Record that a source was told to come again after so many seconds."""


class WorkerPoolEvents(Protocol):
    """The core's half of ``WorkerPool``: what a pool reports."""

    def pool_started(self, starts_cold: bool, age: float) -> None:
        """The pool took the link; it started ``age`` seconds ago."""

    def pool_replaced(self, starts_cold: bool, age: float) -> None:
        """Another pool is there: nobody knows how the runs of the one before ended."""

    def run_finished(
        self,
        request_id: bytes,
        outcome: Outcome,
        seconds: float,
        result: bytes,
        skipped_dependencies: tuple[str, ...] = (),
        cached_dependencies: tuple[str, ...] = (),
    ) -> None:
        """A run is over, with or without replies of some dependencies."""

    def call_requested(self, request_id: bytes, notice: int, body: bytes) -> None:
        """A run waits for a call with this body."""

    def run_uncertain(self, request_id: bytes) -> None:
        """A link broke over a start that must not be repeated: the run may or may not have begun."""

    def gauges_polled(self, values: tuple[float, ...]) -> None:
        """The gauges, in the order of the settings."""


class DependencyCallEvents(Protocol):
    """The core's half of ``DependencyCalls``."""

    def call_finished(self, request_id: bytes, outcome: Outcome, reply: bytes) -> None:
        """A call is over."""


@dataclass(slots=True)
class Ports:
    """The ports in use; ``workers`` is set before the first request, those that are None are off."""

    workers: WorkerPool = field(init=False)
    dependency_calls: DependencyCalls | None = None
    registration: Registration | None = None
    storm_control: RetryStormControl | None = None
