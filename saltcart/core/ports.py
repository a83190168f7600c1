"""The ports between the core and its drivers, free of wire formats, sockets and event loops.

Request ids are those of ``InboundRequest``; times are seconds.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Protocol

from saltcart.decision.connection_admission import ConnectionAdmission
from saltcart.decision.outcome import Outcome


class WorkerPool(Protocol):
    """Executes the runs of requests."""

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

        Args:
            request_id: The request to run.
            class_name: The class of the request.
            account: The account that sent the request.
            body: The body of the request.
            must_run_once: Whether the run must never be started a second time.
            time_to_deadline: Seconds for which the caller still waits.
            time_to_objective: Seconds within which a response earns its full priority weight.
        """

    def suspend(self, request_id: bytes) -> None:
        """Stop a run, as far as ``Settings.preemption`` allows."""

    def resume(self, request_id: bytes) -> None:
        """Resume a paused run."""

    def supply_reply(self, request_id: bytes, reply: bytes) -> None:
        """Pass the dependency's reply to the run that waits for it."""

    def skip_call(self, request_id: bytes, notice_number: int) -> None:
        """Resume a run without the call that the pool's notice of this number requested."""

    def poll_gauges(self) -> None:
        """Request the current gauges; they arrive in ``WorkerPoolEvents.gauges_polled``."""


class DependencyCalls(Protocol):
    """Makes calls to the dependency."""

    def call(self, request_id: bytes, timeout: float, body: bytes, must_run_once: bool) -> None:
        """Make a call for a request.

        Args:
            request_id: The request whose run waits for the reply.
            timeout: Seconds until the call times out.
            body: The body of the call.
            must_run_once: Whether the call must not be retried if it may already have taken effect.
        """

    def cancel_call(self, request_id: bytes) -> None:
        """Cancel the call of a request."""


class Registration(Protocol):
    """The registration of this server in the endpoint list, from which clients choose servers."""

    def set_accepting(self, is_accepting: bool) -> None:
        """Report whether the service accepts requests."""


class Log(Protocol):
    """Writes log events."""

    def __call__(self, event: str, **fields: object) -> None:
        """Write one event with its fields."""


class Attempt(Protocol):
    """What retry-storm control knows about one attempt that arrived."""

    @property
    def fingerprint(self) -> int:
        """The identity of the request; all its attempts share it."""

    @property
    def is_retry(self) -> bool:
        """Whether an earlier attempt of the same request was rejected."""

    @property
    def has_reservation(self) -> bool:
        """Whether it arrived at the time reserved for its caller by an earlier Retry-After."""

    @property
    def is_early(self) -> bool:
        """Whether it arrived before the time reserved for its caller."""


class RetryAdvice(Protocol):
    """Advice to a rejected caller on when and where to retry."""

    @property
    def retry_after(self) -> float:
        """Seconds until the request may be retried; 0 if no time was set."""

    @property
    def is_final(self) -> bool:
        """Whether the caller should not retry on another server."""


class RetryStormControl(Protocol):
    """Distinguishes retries from new requests, and decides when a rejected caller should retry."""

    def record_arrival(
        self, now: float, account: str, class_name: str, key: bytes | None, subject: str | None, body: bytes
    ) -> Attempt:
        """Record an attempt that arrived, and match it to earlier attempts of the same request.

        Args:
            now: The current time in seconds.
            account: The account that sent the attempt.
            class_name: The class of the request.
            key: The idempotency key, if the attempt has one.
            subject: The resource that the request is about, if it names one.
            body: The body of the attempt.
        """

    def record_rejection(self, now: float, fingerprint: int) -> RetryAdvice:
        """Record that an attempt was rejected, and return the advice to its caller."""

    def record_success(self, now: float, fingerprint: int, is_retry: bool) -> None:
        """Record that an attempt was served."""

    def record_run(self, now: float, seconds: float, is_full: bool, running: int) -> None:
        """Record a run that ended.

        Args:
            now: The current time in seconds.
            seconds: The duration of the run.
            is_full: Whether requests were held meanwhile.
            running: The number of runs in progress.
        """

    def in_storm(self, now: float) -> bool:
        """Whether there is a retry storm at present."""

    def source_of(self, address: str) -> int:
        """Return the source to which a client's address belongs."""

    def admit_connection(self, now: float, source: int) -> ConnectionAdmission:
        """Decide whether to read a connection on which a request has arrived."""

    def admit_retry_of_run(self, now: float) -> None:
        """Record that a refused request is read all the same, because an earlier attempt of it has run."""

    def reject_unread(self, now: float, source: int) -> RetryAdvice:
        """Record a connection whose request was rejected unread, and return the advice to its client."""

    def record_advice(self, now: float, source: int, retry_after: float) -> None:
        """Record that a source was advised to retry after ``retry_after`` seconds."""


class WorkerPoolEvents(Protocol):
    """Events from the worker pool to the core."""

    def pool_started(self, starts_cold: bool, age: float) -> None:
        """Handle a new connection to the pool.

        Args:
            starts_cold: Whether the pool started cold and has to warm up.
            age: Seconds since the pool started.
        """

    def pool_restarted(self, starts_cold: bool, age: float) -> None:
        """Handle a restart of the pool; how the runs of the previous pool ended is unknown.

        Args:
            starts_cold: Whether the new pool started cold and has to warm up.
            age: Seconds since the new pool started.
        """

    def run_finished(
        self,
        request_id: bytes,
        outcome: Outcome,
        seconds: float,
        result: bytes,
        skipped_dependencies: tuple[str, ...] = (),
        cached_dependencies: tuple[str, ...] = (),
    ) -> None:
        """Handle the end of a run.

        Args:
            request_id: The request that ran.
            outcome: How the run ended.
            seconds: The duration of the run.
            result: The result of a run that succeeded.
            skipped_dependencies: Dependencies whose replies are missing from the result.
            cached_dependencies: Dependencies whose replies were replaced by cached ones.
        """

    def call_requested(self, request_id: bytes, notice_number: int, body: bytes) -> None:
        """Handle a run that waits for a call to the dependency.

        Args:
            request_id: The request whose run waits.
            notice_number: The number of the pool's notice, which identifies this wait to the pool.
            body: The body of the call.
        """

    def run_uncertain(self, request_id: bytes) -> None:
        """Handle a connection lost while starting a run that must not start twice; it may have begun."""

    def reply_uncertain(self, request_id: bytes, notice_number: int) -> None:
        """Handle a connection lost while the reply to a call was sent; the run may still wait for it.

        Args:
            request_id: The request whose run has the reply or waits for it.
            notice_number: The number of the notice that requested the call.
        """

    def gauges_polled(self, values: tuple[float, ...]) -> None:
        """Handle the values of the gauges, in the order of their names in the settings."""


class DependencyCallEvents(Protocol):
    """Events from ``DependencyCalls`` to the core."""

    def call_finished(self, request_id: bytes, outcome: Outcome, reply: bytes) -> None:
        """Handle the end of a call; ``reply`` is the dependency's reply if it succeeded."""


@dataclass(slots=True)
class Ports:
    """The ports in use; ``workers`` is set before the first request, and a port that is None is disabled."""

    workers: WorkerPool = field(init=False)
    dependency_calls: DependencyCalls | None = None
    registration: Registration | None = None
    storm_control: RetryStormControl | None = None
