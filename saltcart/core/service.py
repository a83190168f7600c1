"""The service round the decision module: what comes in becomes its events, its actions become calls on ports.

The rules that every front keeps live in this package, once: one final response by the due time, at most one
run of an idempotency key, nothing run too late in a drain.  The decision module decides; the core only guards
those rules.
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
from saltcart.core.messages import InboundRequest, ResponseCallback
from saltcart.core.ports import Log, Ports, RetryStormControl
from saltcart.core.request import PendingRequest
from saltcart.core.request_counters import RequestCounters
from saltcart.core.request_intake import RequestIntake
from saltcart.core.request_lifecycle import RequestLifecycle
from saltcart.core.run_tracker import RunTracker
from saltcart.core.timers import Timers
from saltcart.decision.controller import Controller
from saltcart.decision.events import DrainStarted, PredecessorLoad, TenantsChanged
from saltcart.decision.outcome import Outcome
from saltcart.decision.settings import Effect, Settings, TenantSpec

DEFAULT_KEY_BYTES = 1 << 24
DEFAULT_IDLE_TIMEOUT = 30.0  # seconds, where the settings name none
EXPIRY_INTERVAL = 1.0  # seconds between two looks for keys and requests that are over


class Service:
    """One server's requests, keys, timers, health and drain.  Times are seconds by the core's clock."""

    def __init__(
        self,
        settings: Settings,
        gauge_names: tuple[str | None, ...],
        seed: int,
        clock: Callable[[], float],
        log: Log,
        *,
        max_key_bytes: int = DEFAULT_KEY_BYTES,
        seconds_ahead: Callable[[], float] = lambda: 0.0,
    ) -> None:
        """``clock`` runs on evenly.

        ``seconds_ahead``: by how much it is before the Unix clock that peers write by.  ``max_key_bytes``:
        that keys with their results may take.
        """
        self.settings = settings
        self.seed = seed
        self.log = log
        self.gauge_names = gauge_names
        self.clock = CoreClock(clock, seconds_ahead)
        self.timers = Timers()
        self.ports = Ports()
        self.longest_deadline = max(spec.deadline for spec in settings.classes)
        # An attempt may be read late: as long as its caller can wait at all.
        self.keys = KeyTable(max_key_bytes, self.longest_deadline)
        self._join_parts()
        # Makes the control of retry storms when the server is up, of its settings and its start.
        self.make_storm_control: Callable[[Settings, float], RetryStormControl] | None = None
        self.on_started: Callable[[], None] | None = None  # called once, when the pool is up
        self.composed_classes = frozenset[str]()  # whose responses are composed, and may be partial
        self.metric_sources: list[Callable[[], Iterable[tuple[str, int]]]] = []  # further ones for operators

    def _join_parts(self) -> None:
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
            settings, clock, timers, self.drain, self.lifecycle, self._request_overdue
        )
        self.executor = ActionExecutor(
            clock, timers, ports, self.drain, self.lifecycle, log, self._call_overdue
        )
        self.loop.carry_out = self.executor.carry_out

    # ---- what the service shows ---------------------------------------------------------------

    @property
    def controller(self) -> Controller | None:
        """The decision module's controller, once the worker pool is up."""
        return self.loop.controller

    @property
    def requests(self) -> dict[int, PendingRequest]:
        """The requests that are owed a response or still run, by number."""
        return self.lifecycle.requests

    @property
    def requests_by_id(self) -> dict[bytes, PendingRequest]:
        """The same, by the id that they came with."""
        return self.lifecycle.requests_by_id

    @property
    def counts(self) -> Counter[tuple[str, str, str]]:
        """Requests by tenant, class and how they ended."""
        return self.counters.counts

    @property
    def load_level(self) -> float | None:
        """The level of load that clients are told."""
        return self.lifecycle.load_level

    @property
    def idle_timeout(self) -> float:
        """After how many seconds idle connections of clients are closed."""
        return self.executor.idle_timeout or self.settings.client_idle_timeout or DEFAULT_IDLE_TIMEOUT

    @property
    def is_healthy(self) -> bool:
        """What health checks are answered."""
        is_up = self.loop.controller is not None
        return is_up and self.executor.is_healthy and not self.drain.is_withdrawn

    # ---- time ---------------------------------------------------------------------------------

    def tick(self) -> None:
        """Run the timers that are due."""
        self.timers.run(self.clock.read())

    def next_due(self) -> float | None:
        """Return when the next timer is due, or None while there is none."""
        return self.timers.next_due()

    # ---- from the fronts ----------------------------------------------------------------------

    def submit(self, inbound: InboundRequest, respond: ResponseCallback) -> int:
        """Take a request; ``respond`` is called with its response, at once or later.  Returns its number."""
        return self.intake.take(inbound, respond)

    def abandon(self, number: int) -> None:
        """The caller of a request is gone: nothing is owed any more."""
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

    def start_drain(self, within: float, ago: float = 0.0) -> None:
        """Drain: the notice came ``ago`` seconds before, the process is stopped after ``within`` seconds."""
        if self.drain.notified_at is not None:
            return
        now = self.clock.read()
        self.drain.start(now - ago, now + within)
        self.timers.call_at(self.drain.answer_by, self.lifecycle.fail_all)
        self.log("drain", within=within, open=len(self.requests))
        self.loop.feed(DrainStarted(within))

    def set_withdrawn(self, on: bool) -> None:
        """Withdraw for the operators: checks are answered as bad while it lasts, and nothing else changes."""
        self.drain.is_withdrawn = on
        self.log("drain-on" if on else "drain-off", open=len(self.requests))
        if self.controller is not None:
            self.drain.report()

    def set_tenants(self, tenants: tuple[TenantSpec, ...]) -> None:
        """Serve these tenants from now on; requests under way keep theirs."""
        self.clock.read()
        self.settings = replace(self.settings, tenants=tenants)
        self.intake.set_tenants(tenants)
        self.loop.feed(TenantsChanged(tenants))

    # ---- one process takes over from another --------------------------------------------------

    def load(self) -> PredecessorLoad:
        """Return what is still on the cores and in the memory."""
        return self.loop.load()

    def set_predecessor_load(self, load: PredecessorLoad) -> None:
        """Take into account what the predecessor still has there."""
        self.clock.read()
        self.loop.feed(load)

    def retire_after(self, within: float) -> None:
        """Handed over and stopped soon: no drain, for the server stays, but all is answered before that."""
        self.timers.call_at(self.clock.read() + within - STOP_MARGIN_SECONDS, self.lifecycle.fail_all)
        self.log("retiring", within=within, open=len(self.requests))

    def adopt_key(self, record: KeyRecord, is_free: bool) -> None:
        """Take what the predecessor reports of one of its keys: further attempts reach this process."""
        self.clock.read()
        self.lifecycle.attempts.adopt(record, is_free, next(self.lifecycle.numbers))

    def mark_keys_uncertain(self) -> None:
        """The predecessor never reported its keys: new ones fail until those of its runs have passed."""
        classes = self.settings.classes
        windows = [spec.key_window for spec in classes if spec.effect is Effect.IDEMPOTENT_BY_KEY]
        until = self.clock.read() + max(windows, default=0.0) + self.settings.answer_slack
        self.lifecycle.attempts.uncertain_until = until
        self.log("keys-uncertain", until=until)

    def predecessor_lost(self) -> None:
        """The predecessor is gone, and with it what it ran."""
        self.clock.read()
        self.loop.feed(PredecessorLoad())
        self.lifecycle.attempts.predecessor_lost()

    # ---- from the pool and the calls ----------------------------------------------------------

    def pool_started(self, starts_cold: bool, age: float) -> None:
        """The pool took the link.  The decision module starts with the pool, not with the process."""
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
        self.drain.report()
        self.timers.call_at(now + EXPIRY_INTERVAL, self._expire)
        if self.drain.notified_at is not None:
            self.loop.feed(DrainStarted(max(0.0, self.drain.stop_at - now)))
        if self.on_started is not None:
            self.on_started()

    def _expire(self) -> None:
        # First of all: a fault in one look must not be the last.
        self.timers.call_at(self.clock.now + EXPIRY_INTERVAL, self._expire)
        self.keys.expire(self.clock.now, self.requests.__contains__)
        self.runs.write_off()

    def pool_replaced(self, starts_cold: bool, age: float) -> None:
        """Another pool has taken the place of the one before."""
        self.runs.pool_replaced(starts_cold, age)

    def run_finished(
        self,
        request_id: bytes,
        outcome: Outcome,
        seconds: float,
        result: bytes,
        skipped_dependencies: tuple[str, ...] = (),
        cached_dependencies: tuple[str, ...] = (),
    ) -> None:
        """A run is over."""
        self.runs.run_finished(
            request_id, outcome, seconds, result, skipped_dependencies, cached_dependencies
        )

    def call_requested(self, request_id: bytes, notice: int, body: bytes) -> None:
        """A run waits for a call with this body."""
        self.runs.call_requested(request_id, notice, body)

    def run_uncertain(self, request_id: bytes) -> None:
        """A link broke over a start that must not be repeated."""
        self.runs.run_uncertain(request_id)

    def gauges_polled(self, values: tuple[float, ...]) -> None:
        """The gauges, in the order of the settings."""
        self.loop.gauges_at = self.clock.read()
        self.loop.gauges = {name: value for name, value in zip(self.gauge_names, values) if name}

    def call_finished(self, request_id: bytes, outcome: Outcome, reply: bytes) -> None:
        """A call to the dependency is over."""
        self.runs.call_finished(request_id, outcome, reply)

    def _call_overdue(self, request_id: bytes) -> None:
        self.runs.call_finished(request_id, Outcome.BROKEN_OFF, b"")
