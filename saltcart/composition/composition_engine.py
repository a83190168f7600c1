"""State machine of composed runs.

The host passes the time and the events, and carries out the actions that are returned, in their order.  It
calls ``tick`` at the time that ``next_timer_at`` returns.  The engine does no I/O and has no event loop.
"""

from __future__ import annotations

import heapq
import random
from collections import Counter
from collections.abc import Callable, Iterable

from saltcart.composition import bodies
from saltcart.composition.composed_run import (
    UNSETTLED,
    CallAttempt,
    CancelCall,
    ComposedRun,
    CompositionAction,
    CompositionFinished,
    SendCall,
    SubRequest,
    SubRequestStatus,
)
from saltcart.composition.dependency_state import NEVER_RAN, DependencyState
from saltcart.composition.overload_protection import CircuitState
from saltcart.composition.plan import CompositionSpec, PlanSpec
from saltcart.composition.slot_value import SlotValue
from saltcart.composition.stale_cache import StaleCache
from saltcart.composition.timeout_policy import StageDeadlines, TimeoutPolicy, required_first
from saltcart.decision.outcome import Outcome
from saltcart.decision.settings import ClassSpec

MAX_ATTEMPTS = 3  # of one sub-request; there are no retries after them, whatever the retry budget
# Held requests from which a slot has its full price; a single one that is held briefly loses nothing.
FULL_PRICE_HELD_REQUESTS = 4.0
# Outcomes that are timeouts if they are reported at most so many seconds before the deadline.
TIMEOUT_LIKE_OUTCOMES, TIMEOUT_TOLERANCE = (Outcome.FAILED, Outcome.BROKEN_OFF), 0.005
CALL_ID_MASK = (1 << 64) - 1


class CompositionEngine:
    """Owns the composed runs, their attempts and the state of the dependencies."""

    def __init__(self, plans: CompositionSpec, seed: int, classes: Iterable[ClassSpec]) -> None:
        rng = random.Random(seed)
        self.plans: dict[str, PlanSpec] = {plan.class_name: plan for plan in plans.plan}
        self.dependencies = {
            dependency.name: DependencyState(dependency, random.Random(rng.random()))
            for dependency in plans.dependency
        }
        self.stale_cache = StaleCache(plans.memory.entries, plans.memory.kb)
        self.priority_weights = {spec.name: spec.priority_weight for spec in classes}
        earning_late = {spec.name for spec in classes if spec.late_weight_share > 0}
        self.timeout_policy = TimeoutPolicy(self.dependencies.__getitem__, rng, earning_late.__contains__)
        self.slot_value = SlotValue()
        self.runs: dict[bytes, ComposedRun] = {}
        self.attempts: dict[bytes, CallAttempt] = {}
        self.next_call_number = rng.getrandbits(64)  # random, so that no two processes use the same call id
        self.timers: list[tuple[float, int, Callable[[float, SubRequest], None], SubRequest]] = []
        self.timer_sequence = 0
        self.actions: list[CompositionAction] = []
        self.counts = Counter[str]()

    # ---- events from the host -----------------------------------------------------------------

    def start(
        self,
        now: float,
        request_id: bytes,
        class_name: str,
        tenant: str,
        body: bytes,
        objective_at: float,
        deadline: float,
    ) -> list[CompositionAction]:
        """Start a run.

        Args:
            now: The time, in seconds; the later two are on the same clock.
            request_id: Identifies the request.
            class_name: Class of the request, which must have a plan.
            tenant: Tenant whose cached replies may be used.
            body: Body of the request.
            objective_at: A response by then earns its full weight.
            deadline: There is no response after this time.
        """
        run = self.runs[request_id] = ComposedRun(
            request_id, self.plans[class_name], tenant, body, now, min(objective_at, deadline), deadline
        )
        self._advance(now, run)
        return self._take_actions()

    def call_finished(
        self, now: float, call_id: bytes, outcome: Outcome, body: bytes = b""
    ) -> list[CompositionAction]:
        """Record the end of an attempt; that of a cancelled or unknown one is ignored."""
        attempt = self.attempts.pop(call_id, None)
        if attempt is not None:
            sub_request, dependency = attempt.sub_request, self.dependencies[attempt.dependency_name]
            sub_request.attempts.remove(attempt)
            if outcome in TIMEOUT_LIKE_OUTCOMES and now >= sub_request.deadline - TIMEOUT_TOLERANCE:
                outcome = Outcome.TIMED_OUT  # the host's timer for the call fired shortly before the engine's
            dependency.record_end(now, attempt, outcome)
            if outcome is Outcome.SUCCEEDED:
                self._call_succeeded(now, sub_request, attempt.dependency_name, body)
            else:
                self._call_failed(now, sub_request, attempt, outcome)
            self._start_waiting_calls(now, dependency)
        return self._take_actions()

    def cancel(self, now: float, request_id: bytes) -> list[CompositionAction]:
        """Cancel a run: its response is not wanted any more."""
        run = self.runs.get(request_id)
        if run is not None:
            self._end_run(now, run, Outcome.CANCELLED)
        return self._take_actions()

    def shorten_deadlines(self, now: float, latest: float) -> list[CompositionAction]:
        """Shorten the deadlines of the runs in progress to ``latest``, such as the end of a drain."""
        for run in list(self.runs.values()):
            run.objective_at, run.deadline = min(run.objective_at, latest), min(run.deadline, latest)
            end = run.deadline - run.plan.reserve_ms / 1000
            for sub_request in run.sub_requests:
                if sub_request.status in UNSETTLED and sub_request.deadline > end:
                    sub_request.deadline = end
                    self._set_timer(end, self._expire, sub_request)
        return self._take_actions()

    def release_slots(self, now: float, held_count: int) -> list[CompositionAction]:
        """End the wait for optional replies where the slot earns more with another request.

        Args:
            now: The time, in seconds.
            held_count: Number of requests that are held until a slot is free.
        """
        slot_price = self.slot_value.per_second() * min(1.0, held_count / FULL_PRICE_HELD_REQUESTS)
        if slot_price > 0:
            for run in list(self.runs.values()):
                unsettled = [
                    sub_request for sub_request in run.sub_requests if sub_request.status in UNSETTLED
                ]
                if run.is_finished or any(sub_request.call_spec.required for sub_request in unsettled):
                    continue
                for sub_request in unsettled:
                    if sub_request.status in UNSETTLED and not self._should_wait(
                        now, sub_request, slot_price / len(unsettled)
                    ):
                        self.counts["pressed"] += 1
                        self._fall_back(now, sub_request)
        return self._take_actions()

    def _should_wait(self, now: float, sub_request: SubRequest, slot_price: float) -> bool:
        reply_value = (
            self.priority_weights.get(sub_request.run.plan.class_name, 0.0) * sub_request.call_spec.worth
        )
        dependency = self.dependencies[
            sub_request.attempts[0].dependency_name if sub_request.attempts else sub_request.dependency_name
        ]
        return self.timeout_policy.optimal_wait(now, sub_request, dependency, reply_value, slot_price) > 0

    def tick(self, now: float) -> list[CompositionAction]:
        """Run the timers that are due."""
        while self.timers and self.timers[0][0] <= now:
            _, _, callback, sub_request = heapq.heappop(self.timers)
            if sub_request.status in UNSETTLED:
                callback(now, sub_request)
        return self._take_actions()

    def next_timer_at(self) -> float | None:
        """Return when the next timer is due; None if there is none."""
        # Timers of sub-requests that are settled have no effect.
        while self.timers and self.timers[0][3].status not in UNSETTLED:
            heapq.heappop(self.timers)
        return self.timers[0][0] if self.timers else None

    def state(self, now: float) -> dict[str, dict[str, float | str]]:
        """Return what operators are shown of each dependency."""
        return {name: dependency.state(now) for name, dependency in self.dependencies.items()}

    # ---- stages -------------------------------------------------------------------------------

    def _advance(self, now: float, run: ComposedRun) -> None:
        """Start the next stage, and further ones while all sub-requests of a stage are settled at once."""
        while not run.is_finished:
            for sub_request in run.sub_requests:
                run.replies[sub_request.call_spec.dependency] = sub_request.status, sub_request.reply
            run.sub_requests = []
            if run.next_stage == len(run.plan.stage):
                self._complete(now, run)
                return
            deadlines = self.timeout_policy.stage_deadlines(now, run)
            if deadlines is None:
                self.counts["unfit"] += 1
                self._end_run(now, run, Outcome.FAILED)
                return
            self._start_stage(now, run, deadlines)
            if any(sub_request.status in UNSETTLED for sub_request in run.sub_requests):
                return

    def _start_stage(self, now: float, run: ComposedRun, deadlines: StageDeadlines) -> None:
        calls = required_first(run.plan.stage[run.next_stage].call)
        run.next_stage += 1
        run.sub_requests = [
            SubRequest(
                run,
                call,
                deadlines.required if call.required else deadlines.optional,
                bodies.call_body(run, call),
            )
            for call in calls
        ]
        run.is_starting_stage = True
        for sub_request in run.sub_requests:
            if run.is_finished:
                return
            self._start_call(now, sub_request)
        run.is_starting_stage = False

    def _settle(
        self, now: float, sub_request: SubRequest, status: SubRequestStatus, reply: bytes = b""
    ) -> None:
        """Settle a sub-request, cancel its other attempts, and advance or fail the run.

        No other method decides on the result of a sub-request.
        """
        run, sub_request.status, sub_request.reply = sub_request.run, status, reply
        for attempt in sub_request.attempts:
            self._cancel_attempt(
                now, attempt, Outcome.CANCELLED, was_overtaken=status is SubRequestStatus.ANSWERED
            )
        sub_request.attempts.clear()
        if status is SubRequestStatus.UNAVAILABLE:
            self._end_run(now, run, Outcome.FAILED)
        elif (
            not run.is_starting_stage
            and not run.is_finished
            and not any(other.status in UNSETTLED for other in run.sub_requests)
        ):
            self._advance(now, run)

    def _complete(self, now: float, run: ComposedRun) -> None:
        skipped, cached = (
            run.dependencies_with_status(SubRequestStatus.SKIPPED),
            run.dependencies_with_status(SubRequestStatus.CACHED),
        )
        self.counts["partial" if skipped else "whole"] += 1
        lost_share = sum(call.worth for call in run.plan.calls() if call.dependency in skipped)
        self.slot_value.record_run(
            self.priority_weights.get(run.plan.class_name, 0.0) * (1 - lost_share), now - run.started_at
        )
        self._end_run(now, run, Outcome.SUCCEEDED, bodies.response_body(run), skipped, cached)

    def _end_run(
        self,
        now: float,
        run: ComposedRun,
        outcome: Outcome,
        body: bytes = b"",
        skipped: tuple[str, ...] = (),
        cached: tuple[str, ...] = (),
    ) -> None:
        """End a run and cancel its attempts.  No other method removes a run."""
        if run.is_finished:
            return
        run.is_finished = True
        del self.runs[run.request_id]
        writes = [sub_request for sub_request in run.sub_requests if sub_request.call_spec.write]
        if (
            outcome is Outcome.FAILED
            and run.plan.stage[-1].call[0].write
            and not any(write.sent_count for write in writes)
        ):
            outcome = Outcome.NOT_STARTED  # the write was never sent, so a retry with the same key may run
        for sub_request in run.sub_requests:
            if sub_request.status in UNSETTLED:
                sub_request.status = SubRequestStatus.UNAVAILABLE
            for attempt in sub_request.attempts:
                self._cancel_attempt(now, attempt, Outcome.CANCELLED)
            sub_request.attempts.clear()
        self.actions.append(
            CompositionFinished(run.request_id, outcome, now - run.started_at, body, skipped, cached)
        )

    # ---- sub-requests -------------------------------------------------------------------------

    def _start_call(self, now: float, sub_request: SubRequest) -> None:
        """Call the dependency now or once its limit allows it; fall back where neither is possible."""
        dependency = self.dependencies[sub_request.dependency_name]
        if not self.timeout_policy.has_time_for_call(now, sub_request, dependency):
            dependency.counts["unfit"] += 1
            self._fall_back(now, sub_request)
        elif not self.timeout_policy.enforces_limits or dependency.can_start_call(now):
            self._send_call(now, sub_request, dependency)
        elif (
            dependency.circuit_breaker.allows_call(now) and len(dependency.waiting) < dependency.spec.waiting
        ):
            sub_request.status = SubRequestStatus.WAITING
            dependency.waiting.append(sub_request)
            self._set_timer(sub_request.deadline, self._expire, sub_request)
        else:
            dependency.counts["shut"] += 1
            self._fall_back(now, sub_request)

    def _send_call(
        self, now: float, sub_request: SubRequest, dependency: DependencyState, is_additional: bool = False
    ) -> None:
        time_left = sub_request.deadline - now
        has_typical_time = time_left >= dependency.time_needed(now).typical
        attempt = CallAttempt(
            b"%016x" % self.next_call_number,
            sub_request,
            dependency.spec.name,
            now,
            is_additional,
            has_typical_time,
        )
        self.next_call_number = (self.next_call_number + 1) & CALL_ID_MASK
        dependency.record_start(attempt)
        sub_request.status, sub_request.sent_count = SubRequestStatus.IN_FLIGHT, sub_request.sent_count + 1
        sub_request.attempts.append(attempt)
        self.attempts[attempt.call_id] = attempt
        self.actions.append(
            SendCall(
                attempt.call_id,
                sub_request.run.request_id,
                dependency.spec.name,
                sub_request.run.tenant,
                sub_request.body,
                time_left,
                sub_request.call_spec.write,
            )
        )
        if sub_request.sent_count == 1:
            self._set_timer(sub_request.deadline, self._expire, sub_request)
        if not sub_request.call_spec.write and not sub_request.is_hedged:
            fallback = dependency.spec.fallback
            hedge_at = self.timeout_policy.hedge_time(
                now, sub_request, dependency, self.dependencies.get(fallback or "")
            )
            if hedge_at is not None and hedge_at < sub_request.deadline:
                attempt.hedge_at = hedge_at
                self._set_timer(hedge_at, self._hedge, sub_request)

    def _hedge(self, now: float, sub_request: SubRequest) -> None:
        """Send a second attempt because the first one is slow, to the fallback if there is one."""
        if sub_request.is_hedged or len(sub_request.attempts) != 1:
            return
        dependency = self.dependencies[sub_request.attempts[0].dependency_name]
        fallback = dependency.spec.fallback
        if fallback is not None and fallback not in sub_request.tried_dependencies:
            target = self.dependencies[fallback]
            if target.can_start_call(now) and self.timeout_policy.has_time_for_call(now, sub_request, target):
                sub_request.is_hedged = True
                sub_request.tried_dependencies.add(fallback)
                target.counts["fallback"] += 1
                self._send_call(now, sub_request, target)
        elif (
            sub_request.call_spec.hedge
            and dependency.can_start_call(now)
            and dependency.retry_budget.take_token()
        ):
            sub_request.is_hedged = True
            dependency.counts["hedge"] += 1
            self._send_call(now, sub_request, dependency, is_additional=True)

    def _call_succeeded(self, now: float, sub_request: SubRequest, dependency_name: str, body: bytes) -> None:
        if sub_request.call_spec.remember:
            key = StaleCache.key(sub_request.call_spec.dependency, sub_request.body)
            self.stale_cache.put(now, sub_request.run.tenant, key, body)
        self._settle(now, sub_request, SubRequestStatus.ANSWERED, body)

    def _call_failed(
        self, now: float, sub_request: SubRequest, attempt: CallAttempt, outcome: Outcome
    ) -> None:
        call, never_ran = sub_request.call_spec, outcome in NEVER_RAN
        if call.write and not never_ran:
            # The write may have had its effect, so it is not sent again.
            self._settle(now, sub_request, SubRequestStatus.UNAVAILABLE)
            return
        if call.write:
            sub_request.sent_count -= 1  # it had no effect, so it may be sent again
        if sub_request.attempts:
            return  # another attempt is in flight
        dependency = self.dependencies[attempt.dependency_name]
        sub_request.dependency_name = attempt.dependency_name
        if (
            (call.repeat or never_ran)
            and sub_request.sent_count < MAX_ATTEMPTS
            and self.timeout_policy.has_time_for_retry(now, sub_request, dependency)
            and (
                not self.timeout_policy.enforces_limits
                or (dependency.can_start_call(now) and dependency.retry_budget.take_token())
            )
        ):
            self._send_call(now, sub_request, dependency, is_additional=True)
        else:
            self._fall_back(now, sub_request)

    def _fall_back(self, now: float, sub_request: SubRequest) -> None:
        """Use the fallback, else a cached reply, else settle the sub-request without a reply."""
        fallback = self.dependencies[sub_request.dependency_name].spec.fallback
        if fallback is not None and fallback not in sub_request.tried_dependencies:
            sub_request.dependency_name = fallback
            sub_request.tried_dependencies.add(fallback)
            self.dependencies[fallback].counts["fallback"] += 1
            self._start_call(now, sub_request)
            return
        call = sub_request.call_spec
        if call.remember:
            key = StaleCache.key(call.dependency, sub_request.body)
            cached = self.stale_cache.get(now, sub_request.run.tenant, key, call.remember)
            if cached is not None:
                self._settle(now, sub_request, SubRequestStatus.CACHED, cached)
                return
        self._settle(
            now, sub_request, SubRequestStatus.UNAVAILABLE if call.required else SubRequestStatus.SKIPPED
        )

    def _expire(self, now: float, sub_request: SubRequest) -> None:
        """End a sub-request whose deadline has passed."""
        if now < sub_request.deadline:
            return
        for attempt in sub_request.attempts:
            self._cancel_attempt(now, attempt, Outcome.TIMED_OUT)
        sub_request.attempts.clear()
        if sub_request.call_spec.write and sub_request.sent_count:
            self._settle(now, sub_request, SubRequestStatus.UNAVAILABLE)
        else:
            sub_request.tried_dependencies.update(self.dependencies)  # there is no time for a fallback
            self._fall_back(now, sub_request)

    def _cancel_attempt(
        self, now: float, attempt: CallAttempt, outcome: Outcome, was_overtaken: bool = False
    ) -> None:
        """Cancel an attempt; the caller removes it from its sub-request."""
        if self.attempts.pop(attempt.call_id, None) is None:
            return  # cancelled already, when its run ended
        dependency = self.dependencies[attempt.dependency_name]
        dependency.record_end(
            now, attempt, outcome, was_overtaken and not attempt.is_additional and attempt.is_slow(now)
        )
        self.actions.append(CancelCall(attempt.call_id, attempt.dependency_name))
        self._start_waiting_calls(now, dependency)

    def _start_waiting_calls(self, now: float, dependency: DependencyState) -> None:
        """Start waiting calls, oldest first, while the dependency allows it.

        All of them fall back at once if the circuit is open.
        """
        while dependency.waiting and (
            dependency.can_start_call(now) or dependency.circuit_breaker.state is CircuitState.OPEN
        ):
            sub_request = dependency.waiting.popleft()
            if (
                sub_request.status is not SubRequestStatus.WAITING
                or sub_request.dependency_name != dependency.spec.name
            ):
                continue
            if dependency.can_start_call(now) and self.timeout_policy.has_time_for_call(
                now, sub_request, dependency
            ):
                self._send_call(now, sub_request, dependency)
            else:
                self._fall_back(now, sub_request)

    # ---- timers and actions -------------------------------------------------------------------

    def _set_timer(
        self, when: float, callback: Callable[[float, SubRequest], None], sub_request: SubRequest
    ) -> None:
        self.timer_sequence += 1
        heapq.heappush(self.timers, (when, self.timer_sequence, callback, sub_request))

    def _take_actions(self) -> list[CompositionAction]:
        actions, self.actions = self.actions, []
        return actions
