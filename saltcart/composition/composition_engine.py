"""The desk moves composed runs on: fed with the time and with what happened, it says what to send and answer.

It does no I/O and knows no event loop.  Orders come back from every call, in the order in which they must be
carried out; ``next_due`` says when ``tick`` wants to be called.
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

MOST_TRIES = 3  # attempts of one call at one dependency, whatever the allowance
CROWD = 4.0  # held requests from which a slot has its full price: one held for a moment loses nothing
BROKEN_OFF, AT_LIMIT = (Outcome.FAILED, Outcome.BROKEN_OFF), 0.005  # seconds
MASK = (1 << 64) - 1


class CompositionEngine:
    """Owns the runs, their attempts and the dependencies; the one place that forgets each."""

    def __init__(self, plans: CompositionSpec, seed: int, classes: Iterable[ClassSpec]) -> None:
        rng = random.Random(seed)
        self.plans: dict[str, PlanSpec] = {p.class_name: p for p in plans.plan}
        self.dependencies = {
            d.name: DependencyState(d, random.Random(rng.random())) for d in plans.dependency
        }
        self.stale_cache = StaleCache(plans.memory.entries, plans.memory.kb)
        self.worth = {c.name: c.priority_weight for c in classes}
        late = {c.name for c in classes if c.late_weight_share > 0}
        self.timeout_policy = TimeoutPolicy(self.dependencies.__getitem__, rng, late.__contains__)
        self.slot_value = SlotValue()
        self.runs: dict[bytes, ComposedRun] = {}
        self.attempts: dict[bytes, CallAttempt] = {}
        self.number = rng.getrandbits(64)  # of the next attempt: two processes never name theirs alike
        self.due: list[tuple[float, int, Callable[[float, SubRequest], None], SubRequest]] = []
        self.order = 0
        self.orders: list[CompositionAction] = []
        self.counts = Counter[str]()

    # ---- what the host tells ------------------------------------------------------------------

    def start(
        self, now: float, ident: bytes, klass: str, tenant: str, body: bytes, aim_at: float, due_at: float
    ) -> list[CompositionAction]:
        """A run begins; ``aim_at``: an answer by then is worth most, ``due_at``: by then it must be there."""
        run = self.runs[ident] = ComposedRun(
            ident, self.plans[klass], tenant, body, now, min(aim_at, due_at), due_at
        )
        self._go_on(now, run)
        return self._take()

    def call_finished(
        self, now: float, ident: bytes, outcome: Outcome, body: bytes = b""
    ) -> list[CompositionAction]:
        """An attempt is over.  One that nobody waits for any more changes nothing."""
        attempt = self.attempts.pop(ident, None)
        if attempt is not None:
            part, dependency = attempt.sub_request, self.dependencies[attempt.dependency_name]
            part.attempts.remove(attempt)
            if outcome in BROKEN_OFF and now >= part.deadline - AT_LIMIT:
                outcome = Outcome.TIMED_OUT  # the host's own clock for the call ran out a little before ours
            dependency.record_end(now, attempt, outcome)
            if outcome is Outcome.SUCCEEDED:
                self._answered(now, part, attempt.dependency_name, body)
            else:
                self._failed(now, part, attempt, outcome)
            self._let_in(now, dependency)
        return self._take()

    def cancel(self, now: float, ident: bytes) -> list[CompositionAction]:
        """Nobody wants this run's answer any more."""
        run = self.runs.get(ident)
        if run is not None:
            self._end(now, run, Outcome.CANCELLED)
        return self._take()

    def shorten_deadlines(self, now: float, by: float) -> list[CompositionAction]:
        """Everything has to be over by then: runs under way make do with what time there is."""
        for run in list(self.runs.values()):
            run.objective_at, run.deadline = min(run.objective_at, by), min(run.deadline, by)
            end = run.deadline - run.plan.reserve_ms / 1000
            for part in run.sub_requests:
                if part.status in UNSETTLED and part.deadline > end:
                    part.deadline = end
                    self._at(end, self._expire, part)
        return self._take()

    def release_slots(self, now: float, held: int) -> list[CompositionAction]:
        """``held`` requests wait for a slot.

        Runs that only wait for what can be left out make room, as far as a slot earns more elsewhere.
        """
        price = self.slot_value.per_second() * min(1.0, held / CROWD)
        if price > 0:
            for run in list(self.runs.values()):
                parts = [part for part in run.sub_requests if part.status in UNSETTLED]
                if run.is_finished or any(part.call_spec.required for part in parts):
                    continue
                for part in parts:
                    if part.status in UNSETTLED and not self._worth_waiting(now, part, price / len(parts)):
                        self.counts["pressed"] += 1
                        self._elsewhere(now, part)
        return self._take()

    def _worth_waiting(self, now: float, part: SubRequest, price: float) -> bool:
        worth = self.worth.get(part.run.plan.class_name, 0.0) * part.call_spec.worth
        dependency = self.dependencies[
            part.attempts[0].dependency_name if part.attempts else part.dependency_name
        ]
        return self.timeout_policy.seconds_worth_waiting(now, part, dependency, worth, price) > 0

    def tick(self, now: float) -> list[CompositionAction]:
        """Run what is due."""
        while self.due and self.due[0][0] <= now:
            _, _, act, part = heapq.heappop(self.due)
            if part.status in UNSETTLED:
                act(now, part)
        return self._take()

    def next_timer_at(self) -> float | None:
        while self.due and self.due[0][3].status not in UNSETTLED:  # settled since: no reason to wake anybody
            heapq.heappop(self.due)
        return self.due[0][0] if self.due else None

    def state(self, now: float) -> dict[str, dict[str, float | str]]:
        return {name: d.state(now) for name, d in self.dependencies.items()}

    # ---- stages -------------------------------------------------------------------------------

    def _go_on(self, now: float, run: ComposedRun) -> None:
        """Begin the next stage, and those after it as long as they are settled at once."""
        while not run.is_finished:
            for part in run.sub_requests:
                run.replies[part.call_spec.dependency] = part.status, part.reply
            run.sub_requests = []
            if run.next_stage == len(run.plan.stage):
                self._finish(now, run)
                return
            limits = self.timeout_policy.stage_deadlines(now, run)
            if limits is None:
                self.counts["unfit"] += 1
                self._end(now, run, Outcome.FAILED)
                return
            self._begin_stage(now, run, limits)
            if any(part.status in UNSETTLED for part in run.sub_requests):
                return

    def _begin_stage(self, now: float, run: ComposedRun, limits: StageDeadlines) -> None:
        calls = required_first(run.plan.stage[run.next_stage].call)
        run.next_stage += 1
        run.sub_requests = [
            SubRequest(run, c, limits.required if c.required else limits.optional, bodies.call_body(run, c))
            for c in calls
        ]
        run.is_starting_stage = True
        for part in run.sub_requests:
            if run.is_finished:
                return
            self._begin(now, part)
        run.is_starting_stage = False

    def _settle(self, now: float, part: SubRequest, mark: SubRequestStatus, reply: bytes = b"") -> None:
        """The one place where a call's fate is decided."""
        run, part.status, part.reply = part.run, mark, reply
        for attempt in part.attempts:
            self._drop(now, attempt, Outcome.CANCELLED, overtaken=mark is SubRequestStatus.ANSWERED)
        part.attempts.clear()
        if mark is SubRequestStatus.UNAVAILABLE:
            self._end(now, run, Outcome.FAILED)
        elif (
            not run.is_starting_stage
            and not run.is_finished
            and not any(p.status in UNSETTLED for p in run.sub_requests)
        ):
            self._go_on(now, run)

    def _finish(self, now: float, run: ComposedRun) -> None:
        left, remembered = (
            run.dependencies_with_status(SubRequestStatus.SKIPPED),
            run.dependencies_with_status(SubRequestStatus.CACHED),
        )
        self.counts["partial" if left else "whole"] += 1
        lost = sum(call.worth for call in run.plan.calls() if call.dependency in left)
        self.slot_value.record_run(
            self.worth.get(run.plan.class_name, 0.0) * (1 - lost), now - run.started_at
        )
        self._end(now, run, Outcome.SUCCEEDED, bodies.response_body(run), left, remembered)

    def _end(
        self,
        now: float,
        run: ComposedRun,
        outcome: Outcome,
        body: bytes = b"",
        left: tuple[str, ...] = (),
        remembered: tuple[str, ...] = (),
    ) -> None:
        """The one place where a run is forgotten."""
        if run.is_finished:
            return
        run.is_finished = True
        del self.runs[run.request_id]
        writes = [part for part in run.sub_requests if part.call_spec.write]
        if (
            outcome is Outcome.FAILED
            and run.plan.stage[-1].call[0].write
            and not any(p.attempts_sent for p in writes)
        ):
            outcome = Outcome.NOT_STARTED  # the write was never sent: a further try of the same key may run
        for part in run.sub_requests:
            if part.status in UNSETTLED:
                part.status = SubRequestStatus.UNAVAILABLE
            for attempt in part.attempts:
                self._drop(now, attempt, Outcome.CANCELLED)
            part.attempts.clear()
        self.orders.append(
            CompositionFinished(run.request_id, outcome, now - run.started_at, body, left, remembered)
        )

    # ---- one call -----------------------------------------------------------------------------

    def _begin(self, now: float, part: SubRequest) -> None:
        """Call the part's dependency now, or when a place is free, or go elsewhere."""
        dependency = self.dependencies[part.dependency_name]
        if not self.timeout_policy.has_time_for_call(now, part, dependency):
            dependency.counts["unfit"] += 1
            self._elsewhere(now, part)
        elif not self.timeout_policy.enforces_limits or dependency.allows_call(now):
            self._send(now, part, dependency)
        elif (
            dependency.circuit_breaker.allows_call(now) and len(dependency.waiting) < dependency.spec.waiting
        ):
            part.status = SubRequestStatus.WAITING
            dependency.waiting.append(part)
            self._at(part.deadline, self._expire, part)
        else:
            dependency.counts["shut"] += 1
            self._elsewhere(now, part)

    def _send(self, now: float, part: SubRequest, dependency: DependencyState, further: bool = False) -> None:
        room = part.deadline - now
        fair = room >= dependency.time_needed(now).typical
        attempt = CallAttempt(b"%016x" % self.number, part, dependency.spec.name, now, further, fair)
        self.number = (self.number + 1) & MASK
        dependency.record_start(attempt)
        part.status, part.attempts_sent = SubRequestStatus.IN_FLIGHT, part.attempts_sent + 1
        part.attempts.append(attempt)
        self.attempts[attempt.call_id] = attempt
        self.orders.append(
            SendCall(
                attempt.call_id,
                part.run.request_id,
                dependency.spec.name,
                part.run.tenant,
                part.body,
                room,
                part.call_spec.write,
            )
        )
        if part.attempts_sent == 1:
            self._at(part.deadline, self._expire, part)
        if not part.call_spec.write and not part.is_hedged:
            other = dependency.spec.fallback
            at = self.timeout_policy.hedge_time(now, part, dependency, self.dependencies.get(other or ""))
            if at is not None and at < part.deadline:
                attempt.hedge_at = at
                self._at(at, self._beside, part)

    def _beside(self, now: float, part: SubRequest) -> None:
        """The first attempt is slow: send a second one, to the fallback if there is one."""
        if part.is_hedged or len(part.attempts) != 1:
            return
        dependency = self.dependencies[part.attempts[0].dependency_name]
        other = dependency.spec.fallback
        if other is not None and other not in part.tried_dependencies:
            target = self.dependencies[other]
            if target.allows_call(now) and self.timeout_policy.has_time_for_call(now, part, target):
                part.is_hedged = True
                part.tried_dependencies.add(other)
                target.counts["fallback"] += 1
                self._send(now, part, target)
        elif part.call_spec.hedge and dependency.allows_call(now) and dependency.retry_budget.take_token():
            part.is_hedged = True
            dependency.counts["hedge"] += 1
            self._send(now, part, dependency, further=True)

    def _answered(self, now: float, part: SubRequest, dependency: str, body: bytes) -> None:
        if part.call_spec.remember:
            key = StaleCache.key(part.call_spec.dependency, part.body)
            self.stale_cache.put(now, part.run.tenant, key, body)
        self._settle(now, part, SubRequestStatus.ANSWERED, body)

    def _failed(self, now: float, part: SubRequest, attempt: CallAttempt, outcome: Outcome) -> None:
        call, never = part.call_spec, outcome in NEVER_RAN
        if call.write and not never:
            self._settle(
                now, part, SubRequestStatus.UNAVAILABLE
            )  # it may have had its effect: never sent again
            return
        if call.write:
            part.attempts_sent -= 1  # proved: no effect
        if part.attempts:
            return  # another attempt is under way
        dependency = self.dependencies[attempt.dependency_name]
        part.dependency_name = attempt.dependency_name
        if (
            (call.repeat or never)
            and part.attempts_sent < MOST_TRIES
            and self.timeout_policy.has_time_for_retry(now, part, dependency)
            and (
                not self.timeout_policy.enforces_limits
                or (dependency.allows_call(now) and dependency.retry_budget.take_token())
            )
        ):
            self._send(now, part, dependency, further=True)
        else:
            self._elsewhere(now, part)

    def _elsewhere(self, now: float, part: SubRequest) -> None:
        """This dependency gives no answer: another, the last good one, or none."""
        other = self.dependencies[part.dependency_name].spec.fallback
        if other is not None and other not in part.tried_dependencies:
            part.dependency_name = other
            part.tried_dependencies.add(other)
            self.dependencies[other].counts["fallback"] += 1
            self._begin(now, part)
            return
        call = part.call_spec
        if call.remember:
            key = StaleCache.key(call.dependency, part.body)
            kept = self.stale_cache.get(now, part.run.tenant, key, call.remember)
            if kept is not None:
                self._settle(now, part, SubRequestStatus.CACHED, kept)
                return
        self._settle(now, part, SubRequestStatus.UNAVAILABLE if call.required else SubRequestStatus.SKIPPED)

    def _expire(self, now: float, part: SubRequest) -> None:
        """The part's time is over."""
        if now < part.deadline:
            return
        for attempt in part.attempts:
            self._drop(now, attempt, Outcome.TIMED_OUT)
        part.attempts.clear()
        if part.call_spec.write and part.attempts_sent:
            self._settle(now, part, SubRequestStatus.UNAVAILABLE)
        else:
            part.tried_dependencies.update(self.dependencies)  # no time for another
            self._elsewhere(now, part)

    def _drop(self, now: float, attempt: CallAttempt, outcome: Outcome, overtaken: bool = False) -> None:
        """Give an attempt up; the caller takes it off its part."""
        if self.attempts.pop(attempt.call_id, None) is None:
            return  # its run has ended in the course of this very change
        dependency = self.dependencies[attempt.dependency_name]
        dependency.record_end(
            now, attempt, outcome, overtaken and not attempt.is_additional and attempt.is_slow(now)
        )
        self.orders.append(CancelCall(attempt.call_id, attempt.dependency_name))
        self._let_in(now, dependency)

    def _let_in(self, now: float, dependency: DependencyState) -> None:
        """A place may be free: the call that has waited longest and still fits takes it.

        Where the breaker has opened none will be: then all that wait go elsewhere at once.
        """
        while dependency.waiting and (
            dependency.allows_call(now) or dependency.circuit_breaker.state is CircuitState.OPEN
        ):
            part = dependency.waiting.popleft()
            if part.status is not SubRequestStatus.WAITING or part.dependency_name != dependency.spec.name:
                continue
            if dependency.allows_call(now) and self.timeout_policy.has_time_for_call(now, part, dependency):
                self._send(now, part, dependency)
            else:
                self._elsewhere(now, part)

    # ---- bookkeeping --------------------------------------------------------------------------

    def _at(self, when: float, act: Callable[[float, SubRequest], None], part: SubRequest) -> None:
        self.order += 1
        heapq.heappush(self.due, (when, self.order, act, part))

    def _take(self) -> list[CompositionAction]:
        orders, self.orders = self.orders, []
        return orders
