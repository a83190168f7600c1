"""The service around the decision module: turns input into its events, and its actions into calls on ports.

This package enforces the rules that hold for every front: one final response by the due time, at most one run
of an idempotency key in its key window, and no run of a request that arrives too late in a drain.  Within
these rules the decision module decides.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Iterable
from dataclasses import replace

from saltcart.core.action_executor import ActionExecutor
from saltcart.core.clock import CoreClock
from saltcart.core.decision_loop import DecisionLoop
from saltcart.core.draining import STOP_MARGIN_SECONDS, DrainState
from saltcart.core.idempotency_keys import KeyRecord, KeyTable
from saltcart.core.messages import MAX_REQUEST_AGE_SECONDS, InboundRequest, ResponseCallback
from saltcart.core.ports import Log, Ports, RetryStormControl
from saltcart.core.request import PendingRequest
from saltcart.core.request_counters import RequestCounters
from saltcart.core.request_intake import RequestIntake
from saltcart.core.request_lifecycle import RequestLifecycle
from saltcart.core.run_ids import RunIds
from saltcart.core.run_lookup import RunLookup
from saltcart.core.run_tracker import RunTracker
from saltcart.core.timers import Timers
from saltcart.decision.controller import Controller
from saltcart.decision.events import DrainStarted, PredecessorLoad, TenantsChanged
from saltcart.decision.outcome import Outcome
from saltcart.decision.settings import Effect, Settings, TenantSpec

DEFAULT_MAX_KEY_BYTES = 1 << 24
DEFAULT_MAX_RUN_IDS = 1 << 15
DEFAULT_IDLE_TIMEOUT_SECONDS = 30.0  # of client connections, if the settings name none
EXPIRY_INTERVAL_SECONDS = 1.0  # between two removals of expired keys and unreported runs


class Service:
    """The requests, idempotency keys, timers, health and drain of one server.  Times are seconds."""

    def __init__(
        self,
        settings: Settings,
        gauge_names: tuple[str | None, ...],
        seed: int,
        clock: Callable[[], float],
        log: Log,
        *,
        max_key_bytes: int = DEFAULT_MAX_KEY_BYTES,
        max_run_ids: int = DEFAULT_MAX_RUN_IDS,
        seconds_ahead: Callable[[], float] = lambda: 0.0,
    ) -> None:
        """Create a service, which accepts requests once the worker pool is up.

        Args:
            settings: The settings of the service and its decision module.
            gauge_names: The names of the polled gauges in order; a gauge whose name is None is ignored.
            seed: The seed of the decision module's random numbers.
            clock: Returns the time in seconds; it advances steadily.
            log: Writes log events.
            max_key_bytes: Limit of the memory of idempotency keys with their results.
            max_run_ids: Limit of the number of ids that are kept of requests that have run.
            seconds_ahead: Returns by how many seconds ``clock`` is ahead of the Unix clock, in which peers
                express times.
        """
        self.settings = settings
        self.seed = seed
        self.log = log
        self.gauge_names = gauge_names
        self.clock = CoreClock(clock, seconds_ahead)
        self.timers = Timers()
        self.ports = Ports()
        self.longest_deadline = max(spec.deadline for spec in settings.classes)
        self._create_components(max_key_bytes, max_run_ids)
        # Creates the retry-storm control when the pool is up, from the settings and the start time.
        self.make_storm_control: Callable[[Settings, float], RetryStormControl] | None = None
        self.on_started: Callable[[], None] | None = None  # called once, when the pool is up
        self.composed_classes = frozenset[str]()  # their responses are composed and may be partial
        # Return further metrics for operators, as names and values.
        self.metric_sources: list[Callable[[], Iterable[tuple[str, int]]]] = []

    def _create_components(self, max_key_bytes: int, max_run_ids: int) -> None:
        self.max_request_age = max(MAX_REQUEST_AGE_SECONDS, 2 * self.longest_deadline)
        self.run_ids = RunIds(self.max_request_age, max_run_ids)
        # An attempt may be read as late as its caller can still wait, which the longest deadline bounds.
        self.keys = KeyTable(max_key_bytes, self.longest_deadline)
        settings = self.settings
        clock = self.clock
        timers = self.timers
        ports = self.ports
        log = self.log
        self.loop = DecisionLoop(clock, timers, ports, log)
        self.drain = DrainState(ports, settings.drain_grace)
        self.counters = RequestCounters(self._is_tenant)
        self.lifecycle = RequestLifecycle(
            clock, ports, self.loop, self.keys, settings.answer_slack, self.counters
        )
        self.runs = RunTracker(clock, ports, self.lifecycle, settings.preemption, log)
        self.intake = RequestIntake(
            settings, clock, timers, self.drain, self.lifecycle, self.run_ids, self._request_overdue
        )
        self.run_lookup = RunLookup(settings.classes, clock, self.keys, self.lifecycle.attempts)
        self.executor = ActionExecutor(
            clock, timers, ports, self.drain, self.lifecycle, self.run_ids, log, self._call_overdue
        )
        self.loop.execute_action = self.executor.execute

    # ---- state --------------------------------------------------------------------------------

    @property
    def controller(self) -> Controller | None:
        """The decision module's controller, once the worker pool is up."""
        return self.loop.controller

    @property
    def requests(self) -> dict[int, PendingRequest]:
        """Requests that have no response yet or still have a run, by number."""
        return self.lifecycle.requests

    @property
    def requests_by_id(self) -> dict[bytes, PendingRequest]:
        """The same requests, by request id."""
        return self.lifecycle.requests_by_id

    @property
    def counts(self) -> Counter[tuple[str, str, str]]:
        """Counts of requests by tenant, class and ending."""
        return self.counters.counts

    @property
    def load_level(self) -> float | None:
        """The load level that is advertised to clients."""
        return self.lifecycle.load_level

    @property
    def longest_objective(self) -> float:
        """The longest latency objective of all classes, in seconds."""
        return max(spec.latency_objective for spec in self.settings.classes)

    @property
    def idle_timeout(self) -> float:
        """Seconds after which an idle client connection is closed."""
        return self.executor.idle_timeout or self.settings.client_idle_timeout or DEFAULT_IDLE_TIMEOUT_SECONDS

    @property
    def is_healthy(self) -> bool:
        """Whether health checks succeed."""
        is_up = self.loop.controller is not None
        return is_up and self.executor.is_healthy and not self.drain.is_withdrawn

    # ---- time ---------------------------------------------------------------------------------

    def tick(self) -> None:
        """Run the timers that are due."""
        self.timers.run(self.clock.read())

    def next_due(self) -> float | None:
        """Return when the next timer is due, or None if none is set."""
        return self.timers.next_due()

    # ---- requests from the fronts -------------------------------------------------------------

    def submit(self, inbound: InboundRequest, respond: ResponseCallback) -> int:
        """Submit a request.

        Args:
            inbound: The request as read by a front.
            respond: Called with the final response, at once or later.

        Returns:
            The number of the request.

        Raises:
            InvalidRequestError: The request violates the protocol.
        """
        return self.intake.accept(inbound, respond)

    def abandon(self, number: int) -> None:
        """Abandon a request whose caller is gone, so that it needs no response."""
        request = self.requests.get(number)
        if request is None or request.respond is None:
            return
        self.clock.read()
        self.lifecycle.abandon(request)

    def _is_tenant(self, account: str) -> bool:
        return self.intake.is_tenant(account)

    def _request_overdue(self, number: int) -> None:
        request = self.requests.get(number)
        if request is None or request.respond is None:
            return
        self.log("overdue", id=request.inbound.request_id.decode(), state=request.phase.value)
        self.lifecycle.fail(request)

    # ---- drain, withdrawal and tenants --------------------------------------------------------

    def start_drain(self, seconds_to_stop: float, notice_age: float = 0.0) -> None:
        """Start draining, unless that has started already.

        Args:
            seconds_to_stop: Seconds from now until the process is stopped.
            notice_age: Seconds since the drain notice was received.
        """
        if self.drain.notified_at is not None:
            return
        now = self.clock.read()
        self.drain.start(now - notice_age, now + seconds_to_stop)
        self.timers.call_at(self.drain.respond_by, self.lifecycle.fail_all)
        self.log("drain", within=seconds_to_stop, open=len(self.requests))
        self.loop.feed(DrainStarted(seconds_to_stop))

    def set_withdrawn(self, is_withdrawn: bool) -> None:
        """Withdraw the service for operators, or end that.

        While it is withdrawn, health checks fail and clients no longer choose it, but requests are served.
        """
        self.drain.is_withdrawn = is_withdrawn
        self.log("drain-on" if is_withdrawn else "drain-off", open=len(self.requests))
        if self.controller is not None:
            self.drain.update_registration()

    def set_tenants(self, tenants: tuple[TenantSpec, ...]) -> None:
        """Serve these tenants from now on; requests accepted before keep their tenant."""
        self.clock.read()
        self.settings = replace(self.settings, tenants=tenants)
        self.intake.set_tenants(tenants)
        self.loop.feed(TenantsChanged(tenants))

    # ---- takeover by another process ----------------------------------------------------------

    def load(self) -> PredecessorLoad:
        """Return the load of runs that are still on the cores and in memory."""
        return self.loop.load()

    def set_predecessor_load(self, load: PredecessorLoad) -> None:
        """Account for the runs that the predecessor still has on the cores and in memory."""
        self.clock.read()
        self.loop.feed(load)

    def retire_after(self, seconds_to_stop: float) -> None:
        """Fail the requests left over before this process, which has handed over, is stopped.

        The service doesn't drain, because the successor continues to serve on this server.

        Args:
            seconds_to_stop: Seconds from now until the process is stopped.
        """
        self.timers.call_at(
            self.clock.read() + seconds_to_stop - STOP_MARGIN_SECONDS, self.lifecycle.fail_all
        )
        self.log("retiring", within=seconds_to_stop, open=len(self.requests))

    def adopt_key(self, record: KeyRecord, is_free: bool) -> None:
        """Adopt a key from the predecessor, because further attempts arrive at this process.

        Args:
            record: The predecessor's record of the key.
            is_free: Whether the key is free because nothing ran.
        """
        self.clock.read()
        self.lifecycle.attempts.adopt(record, is_free, next(self.lifecycle.request_numbers))

    def used_request_ids(self) -> list[bytes]:
        """Return the ids of requests that have run here lately, or may still run."""
        return [*self.run_ids.encoded(), *self.requests_by_id]

    def adopt_request_ids(self, request_ids: Iterable[bytes]) -> None:
        """Run no request of these ids, because they have run, or may still run, in the predecessor."""
        self.run_ids.adopt(self.clock.read(), request_ids)

    def mark_keys_uncertain(self) -> None:
        """Fail new keys until the windows of any keys that another process didn't report have passed."""
        classes = self.settings.classes
        windows = [spec.key_window for spec in classes if spec.effect is Effect.IDEMPOTENT_BY_KEY]
        until = self.clock.read() + max(windows, default=0.0) + self.settings.answer_slack
        self.lifecycle.attempts.uncertain_until = until
        self.log("keys-uncertain", until=until)

    def keys_uncertain_until(self) -> float | None:
        """Return until when new keys may have a run in another process, or None if none has."""
        until = self.lifecycle.attempts.uncertain_until
        return until if until > self.clock.read() else None

    def predecessor_unreachable(self) -> None:
        """Fail the attempts that wait for runs in a predecessor that has ended or reports nothing more."""
        self.clock.read()
        self.lifecycle.attempts.predecessor_lost()

    # ---- events from the pool and the dependency ----------------------------------------------

    def pool_started(self, starts_cold: bool, age: float) -> None:
        """Handle a new connection to the pool; the first one starts the decision module."""
        now = self.clock.read()
        self.log("pool-started", cold=starts_cold, age=age, again=self.controller is not None)
        if self.controller is not None:
            return
        self.settings = replace(self.settings, starts_cold=starts_cold)
        started_at = now - max(0.0, age)
        controller = Controller(self.settings, self.seed)
        if self.make_storm_control is not None:
            self.ports.storm_control = self.make_storm_control(self.settings, started_at)
        self.loop.start(controller, started_at)
        self.drain.update_registration()
        self.timers.call_at(now + EXPIRY_INTERVAL_SECONDS, self._expire)
        if self.drain.notified_at is not None:
            self.loop.feed(DrainStarted(max(0.0, self.drain.stop_at - now)))
        if self.on_started is not None:
            self.on_started()

    def _expire(self) -> None:
        # Set the next timer first, so that a fault below can't stop later removals.
        self.timers.call_at(self.clock.now + EXPIRY_INTERVAL_SECONDS, self._expire)
        self.keys.expire(self.clock.now, self.requests.__contains__)
        self.runs.remove_unreported_runs()

    def pool_restarted(self, starts_cold: bool, age: float) -> None:
        """Handle a restart of the worker pool; see ``WorkerPoolEvents``."""
        self.runs.pool_restarted(starts_cold, age)

    def run_finished(
        self,
        request_id: bytes,
        outcome: Outcome,
        seconds: float,
        result: bytes,
        skipped_dependencies: tuple[str, ...] = (),
        cached_dependencies: tuple[str, ...] = (),
    ) -> None:
        """Handle the end of a run."""
        self.runs.run_finished(
            request_id, outcome, seconds, result, skipped_dependencies, cached_dependencies
        )

    def call_requested(self, request_id: bytes, notice_number: int, body: bytes) -> None:
        """Handle a run that waits for a call to the dependency."""
        self.runs.call_requested(request_id, notice_number, body)

    def run_uncertain(self, request_id: bytes) -> None:
        """Handle a connection lost while starting a run that must not start twice."""
        self.runs.run_uncertain(request_id)

    def reply_uncertain(self, request_id: bytes, notice_number: int) -> None:
        """Handle a connection lost while the reply to a call was sent."""
        self.runs.reply_uncertain(request_id, notice_number)

    def gauges_polled(self, values: tuple[float, ...]) -> None:
        """Store the values of the gauges, in the order of ``gauge_names``."""
        self.loop.gauges_polled_at = self.clock.read()
        self.loop.gauges = {name: value for name, value in zip(self.gauge_names, values) if name}

    def call_finished(self, request_id: bytes, outcome: Outcome, reply: bytes) -> None:
        """Handle the end of a call to the dependency."""
        self.runs.call_finished(request_id, outcome, reply)

    def _call_overdue(self, request_id: bytes) -> None:
        self.runs.call_finished(request_id, Outcome.BROKEN_OFF, b"")
