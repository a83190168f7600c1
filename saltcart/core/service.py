"""The service round the decision module: what comes in becomes its events, its actions become calls on ports.

The rules that every front keeps live here, once: one final answer by the due time, at most one run of a keyed
request, nothing run too late in a drain.  The module decides; what stands here only guards those rules.
"""

from __future__ import annotations

import itertools
from collections import Counter, deque
from collections.abc import Callable, Iterable
from dataclasses import replace

from saltcart.core.idempotency import IdempotentAttempts
from saltcart.core.idempotency_keys import KeyRecord, KeyTable, digest
from saltcart.core.ports import (
    DependencyCalls,
    FinalResponse,
    InboundRequest,
    Log,
    Registration,
    ResponseCallback,
    ResponseStatus,
    RetryStormControl,
    WorkerPool,
)
from saltcart.core.request import OFF_POOL, PendingRequest, RequestPhase
from saltcart.core.timers import Timers
from saltcart.decision.actions import (
    Action,
    AdvertiseLevel,
    FailRequest,
    JoinAttempt,
    LogMessage,
    Reject,
    ReleaseKey,
    ReserveKey,
    SetHealth,
    SetIdleTimeout,
    SetTimer,
    SkipCall,
    StartCall,
    StartRun,
    StopRun,
)
from saltcart.decision.controller import Controller
from saltcart.decision.events import (
    CallFinished,
    CallRequested,
    DrainStarted,
    Event,
    PredecessorLoad,
    RequestAbandoned,
    RequestArrived,
    RunFinished,
    Started,
    TenantsChanged,
    TimerFired,
    WorkersRestarted,
)
from saltcart.decision.outcome import Outcome
from saltcart.decision.settings import Effect, Preemption, Settings, TenantSpec

CALL_SLACK = 0.15  # a call that gets no reply in its time is given up this much later
STOP_MARGIN = 0.12  # everything is answered this long before the process is stopped
UNSERVED_BACK_OFF = 0.25  # where the core itself refuses: no pool yet, or no room for a key
SURPLUS = 15.0  # nothing of a request that was answered is waited for longer than this past its due time
AFTER_FAULT = 0.1  # the module's timer rings again this long after a fault in it
INSIST = 1.0  # an answered run that was told to stop is told again: cores that stand still stop nothing
GAUGES_LAST = 1.0  # gauges polled longer ago than this, and than two turns, tell nothing of now


class InvalidRequestError(Exception):
    """The request breaks the protocol: nothing was taken, the front says so to its client."""


class Service:
    """One server's requests, keys, timers, health and drain."""

    def __init__(
        self,
        settings: Settings,
        gauge_names: tuple[str | None, ...],
        seed: int,
        clock: Callable[[], float],
        log: Log,
        *,
        key_room: int = 1 << 24,
        ahead: Callable[[], float] = lambda: 0.0,
    ) -> None:
        """``clock`` runs on evenly; ``ahead`` is how far it is before the Unix clock that peers write by.

        ``key_room``: bytes that keys with their results may take.
        """
        self.settings, self.seed, self.clock, self.clock_ahead, self.log = settings, seed, clock, ahead, log
        self.longest_deadline = max(c.deadline for c in settings.classes)
        self.gauge_names, self.gauge_values, self.gauges_at = gauge_names, dict[str, float](), 0.0
        self.class_indexes = {c.name: n for n, c in enumerate(settings.classes)}
        self.tenant_indexes = {t.name: n for n, t in enumerate(settings.tenants)}
        self.has_hosted_tenants = False  # tenants are the administration's: without one there is no service
        self.controller: Controller | None = None
        self.workers: WorkerPool
        self.dependency_calls: DependencyCalls | None = None
        self.registration: Registration | None = None
        self.storm_control: RetryStormControl | None = None
        # Made when the server is up, of its settings and its start; None where storms are not watched for.
        self.make_storm_control: Callable[[Settings, float], RetryStormControl] | None = None
        self.held_fingerprints: dict[int, int] = {}  # safe requests that are held, by fingerprint
        self.timers = Timers()
        self.now = clock()
        self.numbers = itertools.count(1)
        self.requests: dict[int, PendingRequest] = {}
        self.requests_by_id: dict[bytes, PendingRequest] = {}
        # A try may be read late: as long as its caller can wait at all.
        self.keys = KeyTable(key_room, self.longest_deadline)
        self.idempotent_attempts = IdempotentAttempts(self.keys, settings.answer_slack, self._end_joined)
        self.is_good, self.idle_timeout = True, settings.client_idle_timeout or 30.0
        self.on_started: Callable[[], None] | None = None  # told once, when the pool is up
        self.composed_classes = frozenset[str]()  # classes whose answers are composed, and may be partial
        self.figure_sources: list[
            Callable[[], Iterable[tuple[str, int]]]
        ] = []  # further ones for the operators
        self.is_withdrawn = False  # the operators send callers away; what still comes is served as always
        self.load_level: float | None = None
        self.drain_at: float | None = None
        self.stop_at = float("inf")
        self.events, self.busy = deque[Event](), False
        self.counts = Counter[tuple[str, str, str]]()  # by tenant, class and verdict
        self.runs_started = Counter[str]()  # runs handed over, by class
        self.actions: dict[type, Callable[..., None]] = {
            StartRun: self._run,
            StopRun: self._stop,
            Reject: self._turn_away,
            FailRequest: self._fail,
            StartCall: self._call,
            SkipCall: self._skip,
            ReserveKey: self._keep,
            ReleaseKey: self._release,
            JoinAttempt: self._share,
            SetHealth: self._health,
            AdvertiseLevel: self._advise,
            SetIdleTimeout: self._idle_close,
            SetTimer: self._wake,
            LogMessage: self._note,
        }

    # ---- time ---------------------------------------------------------------------------------

    def tick(self) -> None:
        """Run the timers that are due."""
        self._read_clock()
        self.timers.run(self.now)

    def next_due(self) -> float | None:
        return self.timers.next_due()

    def _read_clock(self) -> float:
        self.now = max(self.now, self.clock())
        return self.now

    # ---- from the fronts ----------------------------------------------------------------------

    @property
    def is_healthy(self) -> bool:
        return self.controller is not None and self.is_good and not self.is_withdrawn

    def arrive(self, ask: InboundRequest, reply: ResponseCallback) -> int:
        """Take a request; ``reply`` is called with its answer, at once or later.  Returns its number."""
        now = self._read_clock()
        k = self.class_indexes.get(ask.class_name)
        if k is None:
            raise InvalidRequestError("no such class")
        tenant = self.tenant_indexes.get(ask.account)
        if tenant is None and (self.tenant_indexes or self.has_hosted_tenants):
            raise InvalidRequestError("no such account")
        if ask.request_id in self.requests_by_id:
            raise InvalidRequestError("this id is in use")
        spec = self.settings.classes[k]
        key = (
            (ask.account, ask.class_name, ask.idempotency_key)
            if spec.effect is Effect.IDEMPOTENT_BY_KEY and ask.idempotency_key
            else None
        )
        if key is None and spec.effect is Effect.IDEMPOTENT_BY_KEY:
            raise InvalidRequestError("this class needs a key")
        unread = max(0.0, now - ask.received_at)
        # No caller waits longer than its class's deadline: nothing is held or timed for longer than that.
        due = ask.received_at + min(
            spec.deadline, spec.deadline if ask.budget_seconds is None else ask.budget_seconds
        )
        r = PendingRequest(next(self.numbers), ask, spec, now, max(due, now), reply)
        entry = None if key is None else self.keys.find(key, r.arrived_at)
        if entry is not None:
            # Whoever guesses or repeats a key must not be served what another's request has led to.
            if entry.body_digest != digest(ask.body):
                raise InvalidRequestError("this key came with another body")
            if ask.request_id in entry.attempt_ids:
                raise InvalidRequestError("this id was used before")
            self.keys.add_attempt(entry, ask.request_id)
        new = key is not None and entry is None
        doubted = new and self.idempotent_attempts.is_uncertain(r.arrived_at)
        if (
            self.controller is None
            or self.idempotent_attempts.successor is not None
            or now >= self.stop_at - STOP_MARGIN
            or (doubted or (new and self.keys.is_full()))
        ):
            # Once all is answered before the stop nothing more is taken: nobody would answer it.
            self._answer(r, self._not_taken(entry, doubted))
            return r.number
        r.key = key
        self.requests[r.number] = self.requests_by_id[ask.request_id] = r
        # The module answers in time by itself.  Should it not, the caller still gets its one answer.
        self.timers.call_at(r.due_at + self.settings.answer_slack / 2, self._overdue, r.number)
        patience = None if ask.budget_seconds is None else max(1e-3, due - now)
        standing = (
            ask.priority_rank
            if self.storm_control is None
            else self._watch(self.storm_control, r, entry is None)
        )
        self._feed(
            RequestArrived(
                r.number,
                k,
                ask.size_kb,
                standing,
                unread,
                patience,
                tenant,
                ask.cost_hint,
                ask.resource_key,
                False,
                spec.effect is not Effect.SAFE,
                ask.balancer,
                None if entry is None else entry.holder_number,
                r.attempt is not None and r.attempt.has_reservation,
            )
        )
        return r.number

    @staticmethod
    def _not_taken(entry: KeyRecord | None, doubted: bool) -> FinalResponse:
        """The answer at once to what is not taken: what has run, or may have, is never refused."""
        if entry is not None and entry.result is not None:
            return FinalResponse(ResponseStatus.SERVED, entry.result)
        if doubted or (entry is not None and entry.has_run):
            return FinalResponse(ResponseStatus.FAILED)
        return FinalResponse(ResponseStatus.REJECTED, back_off_seconds=UNSERVED_BACK_OFF)

    def _watch(self, storms: RetryStormControl, r: PendingRequest, new: bool) -> float:
        """Tell a try that comes again from new work; returns the rank at which the module is told of it."""
        ask, n = r.inbound, len(self.settings.classes)
        tried = r.attempt = storms.record_arrival(
            self.now, ask.account, ask.class_name, ask.idempotency_key, ask.resource_key, ask.body
        )
        if r.spec.effect is Effect.SAFE:
            older = self.requests.get(self.held_fingerprints.get(tried.fingerprint, 0))
            if older is not None and older.phase is RequestPhase.HELD and storms.in_storm(self.now):
                self._supersede(storms, older)
            self.held_fingerprints[tried.fingerprint] = r.number
        foot = tried.is_early or ask.admitted_last
        if not (tried.has_reservation or foot) or not new:
            return ask.priority_rank
        # At the top of its own class if it kept its moment; at the foot if it came before it, or in a crowd.
        return (min(n - 1, int(ask.priority_rank * n)) + (0.999 if tried.has_reservation else 0.0)) / n

    def _supersede(self, storms: RetryStormControl, r: PendingRequest) -> None:
        """In a storm, the same work comes anew while it is held: whoever sent the older try has gone."""
        if r.respond is not None and r.attempt is not None:
            back = storms.record_rejection(self.now, r.attempt.fingerprint)
            self._answer(
                r,
                FinalResponse(
                    ResponseStatus.REJECTED, retry_after_seconds=back.retry_after, is_final=back.is_final
                ),
            )
            self._feed(RequestAbandoned(r.number))
            self._settle(r)

    def abandon(self, number: int) -> None:
        """The caller has gone: nothing is owed any more."""
        r = self.requests.get(number)
        if r is None or r.respond is None:
            return
        self._read_clock()
        r.respond = None
        self._count(r, "abandoned")
        self._feed(RequestAbandoned(number))
        self._settle(r)

    def start_drain(self, within: float, ago: float = 0.0) -> None:
        """The notice to drain, which came ``ago``: the process is stopped after ``within`` seconds."""
        if self.drain_at is not None:
            return
        now = self._read_clock()
        self.drain_at, self.stop_at = now - ago, now + within
        self._announce()
        self.timers.call_at(self.stop_at - STOP_MARGIN, self._answer_all)
        self.log("drain", within=within, open=len(self.requests))
        if self.controller is not None:
            self._feed(DrainStarted(within))

    def set_withdrawn(self, on: bool) -> None:
        """The operators' drain: checks are answered as bad while it lasts, and nothing else changes."""
        self.is_withdrawn = on
        self.log("drain-on" if on else "drain-off", open=len(self.requests))
        if self.controller is not None:
            self._announce()

    def _announce(self) -> None:
        if self.registration is not None:
            self.registration.set_accepting(self.drain_at is None and not self.is_withdrawn)

    def set_tenants(self, tenants: tuple[TenantSpec, ...]) -> None:
        """Other tenants from now on; requests under way keep theirs."""
        self._read_clock()
        self.settings = replace(self.settings, tenants=tenants)
        self.tenant_indexes = {t.name: n for n, t in enumerate(tenants)}
        self._feed(TenantsChanged(tenants))

    # ---- one process takes over from another --------------------------------------------------

    def load(self) -> PredecessorLoad:
        """What is still on the cores and in the memory."""
        return PredecessorLoad() if self.controller is None else self.controller.load()

    def set_predecessor_load(self, load: PredecessorLoad) -> None:
        """The same of the process before."""
        self._read_clock()
        self._feed(load)

    def retire_after(self, within: float) -> None:
        """Handed over and stopped soon: no drain, for the server stays, but all is answered before that."""
        self.timers.call_at(self._read_clock() + within - STOP_MARGIN, self._answer_all)
        self.log("retire", within=within, open=len(self.requests))

    def adopt_key(self, entry: KeyRecord, gone: bool) -> None:
        """What the process before tells of one of its keys: further tries reach this one."""
        self._read_clock()
        self.idempotent_attempts.adopt(entry, gone, next(self.numbers))

    def distrust_keys(self) -> None:
        """The process before never told its keys: new ones fail until those of its runs have passed."""
        windows = [c.key_window for c in self.settings.classes if c.effect is Effect.IDEMPOTENT_BY_KEY]
        self.idempotent_attempts.uncertain_until = (
            self._read_clock() + max(windows, default=0.0) + self.settings.answer_slack
        )
        self.log("keys-in-doubt", until=self.idempotent_attempts.uncertain_until)

    def predecessor_gone(self) -> None:
        """The process before is gone, and with it what it ran."""
        self._read_clock()
        self._feed(PredecessorLoad())
        self.idempotent_attempts.predecessor_gone()

    # ---- from the pool and the calls ----------------------------------------------------------

    def pool_started(self, cold: bool, age: float) -> None:
        """The pool took the link.  The module starts with the pool, not with the process."""
        now = self._read_clock()
        self.log("pool-up", cold=cold, age=age, again=self.controller is not None)
        if self.controller is not None:
            return
        settings = self.settings = replace(self.settings, starts_cold=cold)
        self.controller = Controller(settings, self.seed)
        started = now - max(0.0, age)
        if self.make_storm_control is not None:
            self.storm_control = self.make_storm_control(settings, started)
        for action in self.controller.handle(started, Started()):
            self._act(action)
        self._announce()
        self.timers.call_at(now + 1.0, self._sweep_keys)
        if self.drain_at is not None:
            self._feed(DrainStarted(max(0.0, self.stop_at - now)))
        if self.on_started is not None:
            self.on_started()

    def pool_replaced(self, cold: bool, age: float) -> None:
        """Another pool has taken the place of the one before: what ran there is over, nobody knows how."""
        self._read_clock()
        self._feed(WorkersRestarted(cold, max(0.0, age)))
        for r in list(self.requests.values()):
            if r.phase not in OFF_POOL:
                self.run_finished(r.inbound.request_id, Outcome.FAILED, 0.0, b"")

    def run_finished(
        self,
        ident: bytes,
        outcome: Outcome,
        took: float,
        result: bytes,
        left_out: tuple[str, ...] = (),
        remembered: tuple[str, ...] = (),
    ) -> None:
        r = self.requests_by_id.get(ident)
        if r is None or r.phase in OFF_POOL:
            return
        self._read_clock()
        if r.phase is RequestPhase.CALLING:
            self._give_up_call(r)
        if outcome is Outcome.SUCCEEDED:
            self._answer(
                r,
                FinalResponse(
                    ResponseStatus.SERVED,
                    result,
                    skipped_dependencies=left_out,
                    cached_dependencies=remembered,
                ),
            )
        elif outcome is Outcome.FAILED:
            self._answer(r, FinalResponse(ResponseStatus.FAILED))
        if r.stop_requested and r.respond is not None and self.settings.preemption is Preemption.PAUSE:
            r.phase = RequestPhase.PAUSED  # still owed an answer, and may be taken up again
            self._feed(RunFinished(r.number, outcome, took))
            return
        self.idempotent_attempts.run_finished(r, outcome, result)
        if self.storm_control is not None and outcome is Outcome.SUCCEEDED:
            self.storm_control.record_run(self.now, took, self.held_count() > 0, self.load().running)
            if r.attempt is not None:
                self.storm_control.record_success(self.now, r.attempt.fingerprint, r.attempt.is_retry)
        r.phase = RequestPhase.HELD  # nothing of it is left in the pool
        self._feed(RunFinished(r.number, outcome, took))
        self._answer(
            r, FinalResponse(ResponseStatus.FAILED)
        )  # the module has answered by now; never leave one open
        self._settle(r)

    def run_awaits_call(self, ident: bytes, notice: int, body: bytes) -> None:
        r = self.requests_by_id.get(ident)
        if r is None or r.phase in OFF_POOL:
            return
        self._read_clock()
        r.phase, r.call_notice, r.call_body = RequestPhase.BLOCKED, notice, body
        self._feed(CallRequested(r.number))

    def run_uncertain(self, ident: bytes) -> None:
        """A link broke over a spawn that must not be repeated: the run may or may not have begun."""
        self.workers.suspend(ident)
        self.run_finished(ident, Outcome.FAILED, 0.0, b"")

    def gauges_polled(self, values: tuple[float, ...]) -> None:
        self.gauges_at = self._read_clock()
        self.gauge_values = {name: value for name, value in zip(self.gauge_names, values) if name}

    def call_finished(self, ident: bytes, outcome: Outcome, reply: bytes) -> None:
        r = self.requests_by_id.get(ident)
        if r is None or r.phase is not RequestPhase.CALLING:
            return
        now = self._read_clock()
        r.call_number += 1
        if outcome is Outcome.SUCCEEDED:
            r.phase, r.call_body = RequestPhase.RUNNING, b""
            self.workers.supply(ident, reply)
        else:
            r.phase = RequestPhase.BLOCKED
        self._feed(CallFinished(r.number, outcome, now - r.call_started_at))

    # ---- the module ---------------------------------------------------------------------------

    def _feed(self, event: Event) -> None:
        """Give the module an event and carry out what it says; events that follow wait their turn."""
        self.events.append(event)
        if self.controller is None:
            self.events.clear()  # the module starts with the settings of that moment
        if self.busy or self.controller is None:
            return
        self.busy = True
        try:
            while self.events:
                for action in self._decide(self.controller, self.events.popleft()):
                    self._act(action)
        finally:
            self.busy = False

    def _decide(self, controller: Controller, event: Event) -> list[Action]:
        """A fault of the module costs one event, not the service: the due guard answers, timers go on."""
        try:
            return controller.handle(self.now, event)
        except Exception as error:
            self.log("module-fault", on=type(event).__name__, error=repr(error))
            if isinstance(event, TimerFired):
                self.timers.call_at(self.now + AFTER_FAULT, self._ring, event.token)
            return []

    def _act(self, action: Action) -> None:
        """A fault in carrying out one action costs no other: an alarm not set would be the last one."""
        try:
            self.actions[type(action)](action)
        except Exception as error:
            self.log("action-fault", on=type(action).__name__, error=repr(error))
            if isinstance(action, StartRun):  # failed at once; its slot must not be taken for good
                self.events.append(RunFinished(action.id, Outcome.NOT_STARTED, 0.0))

    def _run(self, a: StartRun) -> None:
        r = self.requests.get(a.id)
        if (
            r is None
            or r.respond is None
            or r.phase in (RequestPhase.JOINED, RequestPhase.BLOCKED, RequestPhase.CALLING)
        ):
            self.events.append(RunFinished(a.id, Outcome.NOT_STARTED, 0.0))
            return
        if r.phase is RequestPhase.PAUSED:
            r.phase, r.stop_requested = RequestPhase.RUNNING, False
            self.workers.proceed(r.inbound.request_id)
        elif r.phase is RequestPhase.HELD:
            late = (
                self.drain_at is not None
                and r.inbound.received_at > self.drain_at + self.settings.drain_grace
            )
            if late or not self.idempotent_attempts.claim_run(r):
                self.events.append(RunFinished(a.id, Outcome.NOT_STARTED, 0.0))
                return
            r.phase = RequestPhase.RUNNING
            self.runs_started[r.inbound.class_name] += 1
            due = min(r.due_at, self.stop_at - STOP_MARGIN)
            self.workers.spawn(
                r.inbound.request_id,
                r.inbound.class_name,
                r.inbound.account,
                r.inbound.body,
                r.spec.effect is not Effect.SAFE,
                due - self.now,
                r.inbound.received_at + r.spec.latency_objective - self.now,
            )

    def _stop(self, a: StopRun) -> None:
        r = self.requests.get(a.id)
        if r is not None and r.phase is RequestPhase.RUNNING and not r.stop_requested:
            r.stop_requested = True
            self.workers.suspend(r.inbound.request_id)
            if r.respond is None:
                self.timers.call_at(self.now + INSIST, self._insist, r.number)

    def _turn_away(self, a: Reject) -> None:
        r = self.requests.get(a.id)
        if r is None or r.respond is None:
            return
        if r.phase is RequestPhase.HELD:
            answer = FinalResponse(
                ResponseStatus.REJECTED, back_off_seconds=a.retry_after, is_final=a.is_final
            )
            if self.storm_control is not None and r.attempt is not None:
                # The moment is this caller's own.  How long its balancer stays away from this server with all
                # that it carries, and whether it may try others, is the module's to say.
                answer.retry_after_seconds = self.storm_control.record_rejection(
                    self.now, r.attempt.fingerprint
                ).retry_after
            self._answer(r, answer)
        else:  # what has run, or shares a run, is never refused
            self._answer(r, FinalResponse(ResponseStatus.FAILED))
        self._settle(r)

    def _fail(self, a: FailRequest) -> None:
        r = self.requests.get(a.id)
        if r is not None and r.respond is not None:
            self._answer(r, FinalResponse(ResponseStatus.FAILED))
            self._settle(r)

    def _call(self, a: StartCall) -> None:
        r = self.requests.get(a.id)
        if r is None or r.phase is not RequestPhase.BLOCKED:
            return
        r.phase, r.call_started_at = RequestPhase.CALLING, self.now
        r.call_number += 1
        self.timers.call_at(self.now + a.timeout + CALL_SLACK, self._call_overdue, r.number, r.call_number)
        if self.dependency_calls is None:
            r.phase = RequestPhase.BLOCKED
            self.events.append(CallFinished(a.id, Outcome.UNREACHABLE, 0.0))
        else:
            self.dependency_calls.call(
                r.inbound.request_id, a.timeout, r.call_body, r.spec.effect is not Effect.SAFE
            )

    def _skip(self, a: SkipCall) -> None:
        r = self.requests.get(a.id)
        if r is not None and r.phase is RequestPhase.BLOCKED and r.spec.skipped_call_weight_share > 0:
            r.phase, r.call_body = RequestPhase.RUNNING, b""
            self.workers.skip(r.inbound.request_id, r.call_notice)

    def _keep(self, a: ReserveKey) -> None:
        r = self.requests.get(a.id)
        if r is not None and r.key is not None:
            self.idempotent_attempts.reserve(r, self.now + a.seconds)

    def _release(self, a: ReleaseKey) -> None:
        if (r := self.requests.get(a.id)) is not None:
            self.idempotent_attempts.release(r)

    def _share(self, a: JoinAttempt) -> None:
        r = self.requests.get(a.id)
        if r is None or r.respond is None:
            return
        r.phase = RequestPhase.JOINED
        self.idempotent_attempts.join(r)

    def _health(self, a: SetHealth) -> None:
        self.is_good = a.is_healthy

    def _advise(self, a: AdvertiseLevel) -> None:
        self.load_level = a.level

    def _idle_close(self, a: SetIdleTimeout) -> None:
        self.idle_timeout = a.seconds or self.settings.client_idle_timeout

    def _wake(self, a: SetTimer) -> None:
        self.timers.call_at(a.at, self._ring, a.token)

    def _note(self, a: LogMessage) -> None:
        self.log("module", text=a.text)

    # ---- timers -------------------------------------------------------------------------------

    def _ring(self, token: int) -> None:
        """The gauges are those last polled: a timer never waits for the pool."""
        turn = 0.0 if self.controller is None else self.controller.sweep_interval  # long where the aims are
        if self.now > self.gauges_at + max(GAUGES_LAST, 2 * turn):
            self.gauge_values = {}  # the link is away: idle cores of long ago must not let in more work
        self._feed(TimerFired(token, **self.gauge_values))
        self.workers.poll()

    def _overdue(self, number: int) -> None:
        r = self.requests.get(number)
        if r is not None and r.respond is not None:
            self.log("overdue", id=r.inbound.request_id.decode(), state=r.phase.value)
            self._answer(r, FinalResponse(ResponseStatus.FAILED))
            self._settle(r)

    def _call_overdue(self, number: int, call_number: int) -> None:
        r = self.requests.get(number)
        if r is not None and r.phase is RequestPhase.CALLING and r.call_number == call_number:
            self._give_up_call(r)
            self.call_finished(
                r.inbound.request_id, Outcome.BROKEN_OFF, b""
            )  # not even word that its time is over

    def _insist(self, number: int) -> None:
        """It still has its slot and its memory in the pool, so it stays on the books until it is heard of."""
        r = self.requests.get(number)
        if r is not None and r.stop_requested and r.phase is RequestPhase.RUNNING:
            self.log("stop-unheard", id=r.inbound.request_id.decode())
            self.workers.suspend(r.inbound.request_id)
            self.timers.call_at(self.now + INSIST, self._insist, number)

    def _answer_all(self) -> None:
        for r in list(self.requests.values()):
            self._answer(r, FinalResponse(ResponseStatus.FAILED))
            self._settle(r)

    def _sweep_keys(self) -> None:
        self.timers.call_at(
            self.now + 1.0, self._sweep_keys
        )  # first: a fault in one sweep must not be the last
        self.keys.expire(self.now, self.requests.__contains__)
        for r in [r for r in self.requests.values() if r.respond is None and r.due_at + SURPLUS < self.now]:
            # Its end was never told.  What is kept by id must not grow with what a peer leaves unsaid.
            self.log("written-off", id=r.inbound.request_id.decode(), state=r.phase.value)
            self.workers.suspend(r.inbound.request_id)
            self.run_finished(r.inbound.request_id, Outcome.CANCELLED, 0.0, b"")

    # ---- bookkeeping --------------------------------------------------------------------------

    def _answer(self, r: PendingRequest, answer: FinalResponse) -> None:
        """The one place where a final answer is given."""
        reply, r.respond = r.respond, None
        if reply is not None:
            answer.load_level = self.load_level
            if (
                answer.status is ResponseStatus.FAILED
                and self.storm_control is not None
                and r.key is not None
            ):
                # Its key may have run and stands for the rest of the window: no sooner is there more to say.
                entry = self.keys.records.get(r.key)
                if entry is not None and entry.has_run:
                    answer.retry_after_seconds = max(0.0, entry.expires_at - self.now)
            self._count(r, answer.status.value)
            if answer.skipped_dependencies:  # one of those served
                self._count(r, "partial")
            reply(answer)

    def _count(self, r: PendingRequest, what: str) -> None:
        # Where no tenants are told an account may be any name: counting each would grow without end.
        account = r.inbound.account if r.inbound.account in self.tenant_indexes else ""
        self.counts[account, r.inbound.class_name, what] += 1

    def counts_by_class(self) -> Counter[tuple[str, str]]:
        """What became of requests, by class and verdict, whosoever they were."""
        counts = Counter[tuple[str, str]]()
        for (_, klass, what), count in self.counts.items():
            counts[klass, what] += count
        return counts

    def usable_time(self, aim: float, within: float) -> tuple[float, float]:
        """How much of these a run has: the module ends it up to a sweep before its aim, three before due."""
        sweep = 0.0 if self.controller is None else self.controller.sweep_interval
        return aim - sweep, within - 3 * sweep

    def held_count(self) -> int:
        """Requests that wait for a slot."""
        return 0 if self.controller is None else self.controller.held_count()

    def open_request_count(self) -> int:
        """Requests whose answer is owed."""
        return sum(r.respond is not None for r in self.requests.values())

    def _give_up_call(self, r: PendingRequest) -> None:
        if self.dependency_calls is not None:
            self.dependency_calls.give_up(r.inbound.request_id)

    def _settle(self, r: PendingRequest) -> None:
        """Forget a request that is owed nothing and has nothing in the pool; the one place that does."""
        if r.respond is not None or self.requests.get(r.number) is not r:
            return
        if r.phase is RequestPhase.CALLING:
            self._give_up_call(r)  # the pool ends the run by itself
            r.phase = RequestPhase.BLOCKED
        if r.phase not in (RequestPhase.HELD, RequestPhase.JOINED, RequestPhase.PAUSED):
            return
        del self.requests[r.number]
        del self.requests_by_id[r.inbound.request_id]
        if r.attempt is not None and self.held_fingerprints.get(r.attempt.fingerprint) == r.number:
            del self.held_fingerprints[r.attempt.fingerprint]
        self.idempotent_attempts.request_settled(r)

    def _end_joined(self, number: int, result: bytes | None) -> None:
        """A try that waited for another one's result has it, or None where there is none to have."""
        r = self.requests.get(number)
        if r is None:
            return
        self._answer(
            r,
            FinalResponse(ResponseStatus.FAILED)
            if result is None
            else FinalResponse(ResponseStatus.SERVED, result),
        )
        outcome = Outcome.FAILED if result is None else Outcome.SUCCEEDED
        self._feed(RunFinished(r.number, outcome, 0.0))
        self._settle(r)
