"""The controller of one server: events in, actions out.

It keeps the books on requests and carries out what the policies decide: ``admission``, ``run_scheduler``,
``class_queues``, ``delay_ratio``, ``concurrency_limit``, ``call_admission``, ``due_policy``, ``drain`` and
``advertisement``.  docs/design.md tells which mechanism they follow.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import replace
from typing import Any

from saltcart.decision import actions, events
from saltcart.decision.admission import Admission
from saltcart.decision.advertisement import Advertisement
from saltcart.decision.attempt_age import AttemptAgeEstimator
from saltcart.decision.call_admission import CallAdmission
from saltcart.decision.concurrency_limit import ConcurrencyLimiter
from saltcart.decision.decisions import CallDecision, DueDecision, RunDecision
from saltcart.decision.drain import Drain
from saltcart.decision.due_policy import DuePolicy
from saltcart.decision.estimators import RunTimeEstimator
from saltcart.decision.idle_timeout import IdleTimeout
from saltcart.decision.outcome import Outcome
from saltcart.decision.request import AWAITING_CALL, CALLING, HELD, JOINED, RUNNING, Request
from saltcart.decision.request_table import RequestTable
from saltcart.decision.run_scheduler import RunScheduler
from saltcart.decision.settings import ClassSpec, Effect, Preemption, Settings
from saltcart.decision.timing_wheel import TimingWheel

SWEEPS_PER_OBJECTIVE = 24  # fine enough that acting a sweep early costs little of an objective
PERIODS_PER_OBJECTIVE = 3  # of the PI loop: some completions, and well inside a surge


class Controller:
    """Decides for one server what it runs, holds, rejects or fails.  Times are seconds."""

    def __init__(self, settings: Settings, seed: int) -> None:
        self.settings = settings
        objective = min(spec.latency_objective for spec in settings.classes)
        order = by_weight(settings.classes)
        # The sweep is the only timer.
        self.sweep_interval = max(2 * settings.batch_interval, objective / SWEEPS_PER_OBJECTIVE)
        self.period = objective / PERIODS_PER_OBJECTIVE
        self.next_period_at = 0.0
        self.table = RequestTable(settings)
        self.run_times = RunTimeEstimator(settings)
        self.drain = Drain(settings, objective)
        self.admission = Admission(settings, order, self.table, self.run_times, self.drain)
        self.scheduler = RunScheduler(settings, order, self.table, self.admission, seed)
        self.calls = CallAdmission(settings, order, self.table, self.run_times)
        self.due_policy = DuePolicy(settings, self.run_times, self.sweep_interval)
        self.advertisement = Advertisement(settings, self.sweep_interval, objective)
        self.idle_timeout = IdleTimeout(settings)
        self.attempt_ages = [AttemptAgeEstimator(spec.deadline) for spec in settings.classes]
        self.wheel = TimingWheel[Request | int](self.sweep_interval)  # requests, and ids of reserved keys
        self.workers_started_at = 0.0
        self.last_completion_at = 0.0
        self.predecessor = events.PredecessorLoad()
        self.actions: list[actions.Action] = []
        self.handlers: dict[type, Callable[[float, Any], None]] = {
            events.Started: self._on_started,
            events.RequestArrived: self._on_request_arrived,
            events.RunFinished: self._on_run_finished,
            events.CallRequested: self._on_call_requested,
            events.RequestAbandoned: self._on_request_abandoned,
            events.CallFinished: self._on_call_finished,
            events.DrainStarted: self._on_drain_started,
            events.TimerFired: self._on_timer_fired,
            events.TenantsChanged: self._on_tenants_changed,
            events.PredecessorLoad: self._on_predecessor_load,
            events.WorkersRestarted: self._on_workers_restarted,
        }

    def handle(self, now: float, event: events.Event) -> list[actions.Action]:
        """Take one event and return what the host is to do, in this order."""
        self.actions = []
        self.handlers[type(event)](now, event)
        self._fill_slots(now)
        return self.actions

    def load(self) -> events.PredecessorLoad:
        """Return what this server has on its cores and in its memory, for a process that takes over."""
        counts = self.table.counts
        running = counts[RUNNING]
        calling = counts[CALLING]
        return events.PredecessorLoad(running, calling, self.table.memory_kb)

    def held_count(self) -> int:
        """Return how many requests wait for a run slot."""
        return self.table.counts[HELD]

    # ---- the life of the server ---------------------------------------------------------------

    def _on_started(self, now: float, _: events.Started) -> None:
        self.workers_started_at = now
        self.last_completion_at = now
        self.scheduler.limiter.period_began_at = now
        self.wheel.start(now)
        self.actions.append(actions.SetHealth(is_healthy=True, answer_from_cache=True))
        self.actions.append(actions.SetTimer(now + self.sweep_interval, 0))

    def _on_drain_started(self, now: float, event: events.DrainStarted) -> None:
        self.drain.start(now, event.stop_in, self.sweep_interval)
        self.actions.append(actions.SetHealth(is_healthy=False, answer_from_cache=True))
        self.actions.append(actions.LogMessage(f"draining, stop in {event.stop_in:.2f} s"))

    def _on_tenants_changed(self, now: float, event: events.TenantsChanged) -> None:
        self.settings = replace(self.settings, tenants=event.tenants)
        self.admission.usage.keep_only({tenant.name for tenant in event.tenants})

    def _on_predecessor_load(self, now: float, event: events.PredecessorLoad) -> None:
        self.predecessor = event

    def _on_workers_restarted(self, now: float, event: events.WorkersRestarted) -> None:
        # What was learned of warm cores must not crowd cold ones.
        self.settings = replace(self.settings, starts_cold=event.starts_cold)
        self.scheduler.limiter = ConcurrencyLimiter(self.settings)
        self.scheduler.limiter.period_began_at = now
        self.workers_started_at = now - event.age
        self.last_completion_at = now

    # ---- arrivals -----------------------------------------------------------------------------

    def _on_request_arrived(self, now: float, event: events.RequestArrived) -> None:
        spec = self.settings.classes[event.class_index]
        self.admission.record_arrival(event)
        request = self._new_request(now, event, spec)
        self.table.add(request)
        if event.repeat_of is not None and spec.effect is Effect.IDEMPOTENT_BY_KEY:
            self._join(now, request, event.repeat_of)
            return
        if self.admission.should_reject(now, request, event, self.predecessor):
            self._finish(request, reject=True)
            return
        if spec.effect is Effect.IDEMPOTENT_BY_KEY:
            seconds = spec.key_window - event.unread_seconds + self.settings.answer_slack
            self.actions.append(actions.ReserveKey(request.id, seconds))
            self.table.reserve_key(request.id)
            self.wheel.schedule_after(now + seconds, request.id)
        self.scheduler.queues.append(request)
        self._watch(now, request)

    def _new_request(self, now: float, event: events.RequestArrived, spec: ClassSpec) -> Request:
        arrived_at = now - event.unread_seconds
        attempt_age = 0.0
        due_at = max(now, arrived_at + spec.deadline)
        if event.time_to_deadline is not None:
            due_at = now + event.time_to_deadline
            # A call's timeout is what its caller's objective has left, never alike: it tells no age.
            if self.settings.tier == 0:
                timeout = event.time_to_deadline + event.unread_seconds
                attempt_age = self.attempt_ages[event.class_index].age(timeout)
        due_at = min(due_at, max(now, self.drain.answer_by))
        objective_at = min(due_at, arrived_at - attempt_age + spec.latency_objective)
        tenants = self.settings.tenants
        index = event.tenant_index
        tenant = tenants[index] if index is not None and index < len(tenants) else None
        return Request(event, now, due_at, objective_at, tenant)

    def _join(self, now: float, request: Request, first_id: int) -> None:
        request.has_run = True
        if not self.admission.may_join(now, first_id):
            self._finish(request)
            return
        self.table.move(request, JOINED)
        self.actions.append(actions.JoinAttempt(request.id))
        self._watch(now, request)

    # ---- runs ---------------------------------------------------------------------------------

    def _fill_slots(self, now: float) -> None:
        age = now - self.workers_started_at
        for request, decision in self.scheduler.decide(now, age, self.predecessor):
            if decision is RunDecision.REJECT:
                self._finish(request, reject=True)
                continue
            self.table.start_run(request, now)
            if request.tenant is not None:
                self.admission.usage.record_run(now, request.tenant)
            self.actions.append(actions.StartRun(request.id))

    def _on_run_finished(self, now: float, event: events.RunFinished) -> None:
        request = self.table.get(event.id)
        if request is None or request.state is HELD:
            return
        succeeded = event.outcome is Outcome.SUCCEEDED
        self.table.record_key_result(request.id, succeeded)
        request.answered |= event.outcome in (Outcome.SUCCEEDED, Outcome.FAILED)
        if request.state is not JOINED:
            self._record_run(now, request, event.outcome)
            self.table.remove(request)
        self._finish(request)

    def _record_run(self, now: float, request: Request, outcome: Outcome) -> None:
        seconds = now - request.started_at - request.seconds_at_calls
        succeeded = outcome is Outcome.SUCCEEDED
        self.run_times.record_run(request.class_index, seconds, succeeded)
        # What never ran tells nothing of the cores.
        if request.state is RUNNING and outcome is not Outcome.NOT_STARTED:
            self.scheduler.limiter.completions += 1
            self.last_completion_at = now

    def _on_request_abandoned(self, now: float, event: events.RequestAbandoned) -> None:
        request = self.table.get(event.id)
        if request is None:
            return
        request.answered = True
        # A run with a key goes on while a retry may still share its answer in time.
        effect = self.settings.classes[request.class_index].effect
        self._close(request, stop=effect is not Effect.IDEMPOTENT_BY_KEY or now > request.objective_at)

    def _finish(self, request: Request, *, reject: bool = False) -> None:
        """Send the final answer, in this one place; what has run is never rejected."""
        if not request.answered:
            request.answered = True
            if reject and not request.has_run:
                is_final = self.advertisement.asks_to_try_no_other()
                self.actions.append(actions.Reject(request.id, is_final, self.admission.retry_after()))
            else:
                self.actions.append(actions.FailRequest(request.id))
        self._close(request, stop=True)

    def _close(self, request: Request, *, stop: bool) -> None:
        """Book off a request that is owed nothing more; what still runs stays on the books."""
        if request.state in (HELD, JOINED):
            if not request.has_run and self.table.release_key(request.id):
                self.actions.append(actions.ReleaseKey(request.id))
            self.table.remove(request)
            return
        can_stop = self.settings.preemption is not Preemption.NONE and request.id in self.table
        if stop and can_stop and request.state is RUNNING:
            self.actions.append(actions.StopRun(request.id))

    # ---- calls --------------------------------------------------------------------------------

    def _on_call_requested(self, now: float, event: events.CallRequested) -> None:
        request = self.table.get(event.id)
        if request is None or request.state not in (RUNNING, CALLING):
            return
        self.table.move(request, AWAITING_CALL)
        request.left_cores_at = now
        if not request.answered:
            self.calls.wait(request)
        self._admit_calls(now)

    def _on_call_finished(self, now: float, event: events.CallFinished) -> None:
        request = self.table.get(event.id)
        if request is None or request.state is not CALLING:
            return
        self.calls.record(now, event.outcome, event.seconds)
        if event.outcome is Outcome.SUCCEEDED:
            self._resume(now, request)
        else:
            self.table.move(request, AWAITING_CALL)
            request.broken_calls += event.outcome is Outcome.BROKEN_OFF
            decision = self.calls.decide_after_failure(now, request, event.outcome)
            self._apply_call_decision(now, request, decision)
        self._admit_calls(now)

    def _admit_calls(self, now: float) -> None:
        for request, decision in self.calls.decide(now):
            self._apply_call_decision(now, request, decision)

    def _apply_call_decision(self, now: float, request: Request, decision: CallDecision) -> None:
        match decision:
            case CallDecision.START:
                self.table.move(request, CALLING)
                timeout = max(self.sweep_interval, request.objective_at - now)
                self.actions.append(actions.StartCall(request.id, timeout))
            case CallDecision.SKIP:
                self.actions.append(actions.SkipCall(request.id))
                self._resume(now, request)
            case CallDecision.WAIT:
                self.calls.wait(request)
            case CallDecision.FAIL:
                self._finish(request)

    def _resume(self, now: float, request: Request) -> None:
        """Put a run back on the cores after its call."""
        self.table.move(request, RUNNING)
        seconds = now - request.left_cores_at
        request.seconds_at_calls += seconds
        if self.settings.classes[request.class_index].skipped_call_weight_share == 0:
            self.run_times.record_call_wait(seconds)

    # ---- the sweep ----------------------------------------------------------------------------

    def _on_timer_fired(self, now: float, event: events.TimerFired) -> None:
        self.actions.append(actions.SetTimer(now + self.sweep_interval, 0))
        self._look_at_due(now)
        if now >= self.drain.answer_by:
            for request in list(self.table.requests.values()):
                self._finish(request, reject=True)
        age = now - self.workers_started_at
        self.scheduler.limiter.update(now, age, event.cpu_busy, self.held_count(), self.period)
        self._update_pressure(now)
        if now >= self.next_period_at:
            self.next_period_at = now + self.period
            self.scheduler.end_period()
            self.admission.end_period()
        self._admit_calls(now)

    def _update_pressure(self, now: float) -> None:
        slots = self.scheduler.limiter.slots
        running = self.table.counts[RUNNING] + self.predecessor.running
        if running < slots:
            self.last_completion_at = now
        # With all slots taken and nothing ending the server is slow or hangs, whatever the cause.
        stalled_seconds = now - self.last_completion_at
        self.admission.update_pressure(slots, self.sweep_interval, stalled_seconds)
        self.drain.update(now)
        pressure = self.admission.pressure
        shed_first = self.admission.shed_first
        self.actions += self.advertisement.update(pressure, shed_first, slots, self.drain.is_leaving)
        self.actions += self.idle_timeout.update(self.advertisement.pressure)

    def _watch(self, now: float, request: Request) -> None:
        self.wheel.schedule(self.due_policy.next_look(now, request), request)

    def _look_at_due(self, now: float) -> None:
        for item in self.wheel.advance(now):
            if isinstance(item, int):
                self.table.release_key(item)
            elif item.id in self.table and not item.answered:
                self._look_at(now, item)

    def _look_at(self, now: float, request: Request) -> None:
        decision = self.due_policy.decide(now, request)
        if decision is DueDecision.WATCH:
            self._watch(now, request)
        else:
            self._finish(request, reject=decision is DueDecision.REJECT)


def by_weight(classes: tuple[ClassSpec, ...]) -> list[int]:
    """Return the indexes of the classes, the highest weight first; of two alike, the shorter objective."""
    return sorted(
        range(len(classes)),
        key=lambda k: (-classes[k].priority_weight, classes[k].latency_objective, k),
    )
