"""The controller of a server, which turns events into actions.

It tracks the requests and carries out the decisions of the policies: ``admission``, ``run_scheduler``,
``class_queues``, ``delay_ratio``, ``concurrency_limit``, ``call_admission``, ``due_policy``, ``drain`` and
``advertisement``.  docs/design.md describes their mechanisms.
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

SWEEPS_PER_OBJECTIVE = 24  # acting one sweep early costs only a small part of the latency objective
PERIODS_PER_OBJECTIVE = 3  # control periods: long enough for some completions, short compared with a surge


class Controller:
    """Decides which requests of a server run, are held, rejected or failed.  Times are in seconds.

    Args:
        settings: Settings of the server.
        seed: Seed of the random draws between classes.
    """

    def __init__(self, settings: Settings, seed: int) -> None:
        self.settings = settings
        objective = min(spec.latency_objective for spec in settings.classes)
        order = order_by_weight(settings.classes)
        # The periodic sweep is the only timer.
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
        self.pool_started_at = 0.0
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
            events.PoolRestarted: self._on_pool_restarted,
        }

    def handle(self, now: float, event: events.Event) -> list[actions.Action]:
        """Handle an event and return the actions for the host, in the order in which to carry them out."""
        self.actions = []
        self.handlers[type(event)](now, event)
        self._fill_slots(now)
        return self.actions

    def load(self) -> events.PredecessorLoad:
        """Return the load on the cores and the memory, for a successor that takes over from this process."""
        counts = self.table.counts
        running = counts[RUNNING]
        calling = counts[CALLING] + len(self.calls.abandoned_until)
        return events.PredecessorLoad(running, calling, self.table.memory_kb)

    def held_count(self) -> int:
        """Return the number of requests that wait for a run slot."""
        return self.table.counts[HELD]

    # ---- server lifecycle ---------------------------------------------------------------------

    def _on_started(self, now: float, _: events.Started) -> None:
        self.pool_started_at = now
        self.last_completion_at = now
        self.scheduler.limiter.period_started_at = now
        self.wheel.start(now)
        self.actions.append(actions.SetHealth(is_healthy=True, respond_from_cache=True))
        self.actions.append(actions.SetTimer(now + self.sweep_interval, 0))

    def _on_drain_started(self, now: float, event: events.DrainStarted) -> None:
        self.drain.start(now, event.stop_in, self.sweep_interval)
        self.actions.append(actions.SetHealth(is_healthy=False, respond_from_cache=True))
        self.actions.append(actions.LogMessage(f"draining, stop in {event.stop_in:.2f} s"))

    def _on_tenants_changed(self, now: float, event: events.TenantsChanged) -> None:
        self.settings = replace(self.settings, tenants=event.tenants)
        self.admission.usage.keep_only({tenant.name for tenant in event.tenants})

    def _on_predecessor_load(self, now: float, event: events.PredecessorLoad) -> None:
        self.predecessor = event
        self._admit_calls(now)

    def _on_pool_restarted(self, now: float, event: events.PoolRestarted) -> None:
        # A limit that was learned on warm cores would overload cold ones.
        self.settings = replace(self.settings, starts_cold=event.starts_cold)
        self.scheduler.limiter = ConcurrencyLimiter(self.settings)
        self.scheduler.limiter.period_started_at = now
        self.pool_started_at = now - event.age
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
        self._schedule_check(now, request)

    def _new_request(self, now: float, event: events.RequestArrived, spec: ClassSpec) -> Request:
        arrived_at = now - event.unread_seconds
        attempt_age = 0.0
        due_at = max(now, arrived_at + spec.deadline)
        if event.time_to_deadline is not None:
            due_at = now + event.time_to_deadline
            # The timeout of a call from another tier is what remains of its caller's objective, which varies
            # from call to call, so no age can be derived from it.
            if self.settings.tier == 0:
                timeout = event.time_to_deadline + event.unread_seconds
                attempt_age = self.attempt_ages[event.class_index].estimate_age(timeout)
        due_at = min(due_at, max(now, self.drain.respond_by))
        objective_at = min(due_at, arrived_at - attempt_age + spec.latency_objective)
        tenants = self.settings.tenants
        index = event.tenant_index
        tenant = tenants[index] if index is not None and index < len(tenants) else None
        return Request(event, now, due_at, objective_at, tenant)

    def _join(self, now: float, request: Request, first_attempt_id: int) -> None:
        request.has_run = True
        if not self.admission.may_join(now, first_attempt_id):
            self._finish(request)
            return
        self.table.change_state(request, JOINED)
        self.actions.append(actions.JoinAttempt(request.id))
        self._schedule_check(now, request)

    # ---- runs ---------------------------------------------------------------------------------

    def _fill_slots(self, now: float) -> None:
        age = now - self.pool_started_at
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
        request.has_response |= event.outcome in (Outcome.SUCCEEDED, Outcome.FAILED)
        if request.state is not JOINED:
            self._record_run(now, request, event.outcome)
            if request.state is CALLING:
                self.calls.record_abandoned(now)
            self.table.remove(request)
        self._finish(request)

    def _record_run(self, now: float, request: Request, outcome: Outcome) -> None:
        seconds = now - request.started_at - request.off_core_seconds
        succeeded = outcome is Outcome.SUCCEEDED
        self.run_times.record_run(request.class_index, seconds, succeeded)
        # A request that never ran is no evidence of the throughput of the cores.
        if request.state is RUNNING and outcome is not Outcome.NOT_STARTED:
            self.scheduler.limiter.completions += 1
            self.last_completion_at = now

    def _on_request_abandoned(self, now: float, event: events.RequestAbandoned) -> None:
        request = self.table.get(event.id)
        if request is None:
            return
        request.has_response = True
        # A run with an idempotency key continues while a retry can still share its result in time.
        effect = self.settings.classes[request.class_index].effect
        self._close(request, stop=effect is not Effect.IDEMPOTENT_BY_KEY or now > request.objective_at)

    def _finish(self, request: Request, *, reject: bool = False) -> None:
        """Send the final response, if it is still due, and close the request.

        All final responses are sent here.  A request that has run is failed, never rejected.
        """
        if not request.has_response:
            request.has_response = True
            if reject and not request.has_run:
                is_final = self.advertisement.rejections_are_final()
                self.actions.append(actions.Reject(request.id, is_final, self.admission.back_off_seconds()))
            else:
                self.actions.append(actions.FailRequest(request.id))
        self._close(request, stop=True)

    def _close(self, request: Request, *, stop: bool) -> None:
        """Remove a request that needs no response any more.

        A request with a run stays in the table until its run ends; ``stop`` stops that run where possible.
        """
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
        self.table.change_state(request, AWAITING_CALL)
        request.left_cores_at = now
        if not request.has_response:
            self.calls.enqueue(request)
        self._admit_calls(now)

    def _on_call_finished(self, now: float, event: events.CallFinished) -> None:
        request = self.table.get(event.id)
        if request is None or request.state is not CALLING:
            return
        self.calls.record(now, event.outcome, event.seconds)
        if event.outcome is Outcome.SUCCEEDED:
            self._resume(now, request)
        else:
            self.table.change_state(request, AWAITING_CALL)
            request.broken_calls += event.outcome is Outcome.BROKEN_OFF
            decision = self.calls.decide_after_failure(now, request, event.outcome)
            self._apply_call_decision(now, request, decision)
        self._admit_calls(now)

    def _admit_calls(self, now: float) -> None:
        for request, decision in self.calls.decide(now, self.predecessor):
            self._apply_call_decision(now, request, decision)

    def _apply_call_decision(self, now: float, request: Request, decision: CallDecision) -> None:
        match decision:
            case CallDecision.START:
                self.table.change_state(request, CALLING)
                timeout = max(self.sweep_interval, request.objective_at - now)
                self.actions.append(actions.StartCall(request.id, timeout))
            case CallDecision.SKIP:
                self.actions.append(actions.SkipCall(request.id))
                self._resume(now, request)
            case CallDecision.WAIT:
                self.calls.enqueue(request)
            case CallDecision.FAIL:
                self._finish(request)

    def _resume(self, now: float, request: Request) -> None:
        """Return a request to the cores after its call."""
        self.table.change_state(request, RUNNING)
        seconds = now - request.left_cores_at
        request.off_core_seconds += seconds
        if self.settings.classes[request.class_index].skipped_call_weight_share == 0:
            self.run_times.record_call_wait(seconds)

    # ---- the sweep ----------------------------------------------------------------------------

    def _on_timer_fired(self, now: float, event: events.TimerFired) -> None:
        self.actions.append(actions.SetTimer(now + self.sweep_interval, 0))
        self._run_due_checks(now)
        if now >= self.drain.respond_by:
            for request in list(self.table.requests.values()):
                self._finish(request, reject=True)
        age = now - self.pool_started_at
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
        # If all slots are in use and no run ends, the server is slow or hangs, whatever the cause.
        stalled_seconds = now - self.last_completion_at
        self.admission.update_pressure(slots, self.sweep_interval, stalled_seconds)
        self.drain.update(now)
        pressure = self.admission.pressure
        first_shed_count = self.admission.first_shed_count
        self.actions += self.advertisement.update(
            pressure, first_shed_count, slots, self.drain.is_withdrawing
        )
        self.actions += self.idle_timeout.update(self.advertisement.pressure)

    def _schedule_check(self, now: float, request: Request) -> None:
        self.wheel.schedule(self.due_policy.next_check(now, request), request)

    def _run_due_checks(self, now: float) -> None:
        for item in self.wheel.advance(now):
            if isinstance(item, int):
                self.table.release_key(item)
            elif item.id in self.table and not item.has_response:
                self._check_request(now, item)

    def _check_request(self, now: float, request: Request) -> None:
        decision = self.due_policy.decide(now, request)
        if decision is DueDecision.WATCH:
            self._schedule_check(now, request)
        else:
            self._finish(request, reject=decision is DueDecision.REJECT)


def order_by_weight(classes: tuple[ClassSpec, ...]) -> list[int]:
    """Return the indexes of the classes, highest priority weight first, then shortest latency objective."""
    return sorted(
        range(len(classes)),
        key=lambda index: (-classes[index].priority_weight, classes[index].latency_objective, index),
    )
