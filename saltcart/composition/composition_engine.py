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
    OPEN,
    CallAttempt,
    CancelCall,
    ComposedRun,
    CompositionAction,
    CompositionFinished,
    SendCall,
    SubRequest,
    SubRequestState,
)
from saltcart.composition.dependency_state import NEVER_RAN, DependencyState
from saltcart.composition.overload_protection import CircuitState
from saltcart.composition.plan import CompositionSpec, PlanSpec
from saltcart.composition.slot_value import SlotValue
from saltcart.composition.stale_cache import StaleCache
from saltcart.composition.timeout_policy import StageDeadlines, TimeoutPolicy, optional_last
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
        self.plans: dict[str, PlanSpec] = {p.klass: p for p in plans.plan}
        self.dependencies = {
            d.name: DependencyState(d, random.Random(rng.random())) for d in plans.dependency
        }
        self.last_good = StaleCache(plans.memory.entries, plans.memory.kb)
        self.worth = {c.name: c.priority_weight for c in classes}
        late = {c.name for c in classes if c.late_weight_share > 0}
        self.judge = TimeoutPolicy(self.dependencies.__getitem__, rng, late.__contains__)
        self.earns = SlotValue()
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

    def reply(self, now: float, ident: bytes, outcome: Outcome, body: bytes = b"") -> list[CompositionAction]:
        """An attempt is over.  One that nobody waits for any more changes nothing."""
        attempt = self.attempts.pop(ident, None)
        if attempt is not None:
            part, dependency = attempt.part, self.dependencies[attempt.dependency]
            part.attempts.remove(attempt)
            if outcome in BROKEN_OFF and now >= part.until - AT_LIMIT:
                outcome = Outcome.TIMED_OUT  # the host's own clock for the call ran out a little before ours
            dependency.ended(now, attempt, outcome)
            if outcome is Outcome.SUCCEEDED:
                self._answered(now, part, attempt.dependency, body)
            else:
                self._failed(now, part, attempt, outcome)
            self._let_in(now, dependency)
        return self._take()

    def stop(self, now: float, ident: bytes) -> list[CompositionAction]:
        """Nobody wants this run's answer any more."""
        run = self.runs.get(ident)
        if run is not None:
            self._end(now, run, Outcome.CANCELLED)
        return self._take()

    def hasten(self, now: float, by: float) -> list[CompositionAction]:
        """Everything has to be over by then: runs under way make do with what time there is."""
        for run in list(self.runs.values()):
            run.aim_at, run.due_at = min(run.aim_at, by), min(run.due_at, by)
            end = run.due_at - run.plan.reserve_ms / 1000
            for part in run.parts:
                if part.mark in OPEN and part.until > end:
                    part.until = end
                    self._at(end, self._expire, part)
        return self._take()

    def press(self, now: float, held: int) -> list[CompositionAction]:
        """``held`` requests wait for a slot.

        Runs that only wait for what can be left out make room, as far as a slot earns more elsewhere.
        """
        price = self.earns.rate() * min(1.0, held / CROWD)
        if price > 0:
            for run in list(self.runs.values()):
                parts = [part for part in run.parts if part.mark in OPEN]
                if run.over or any(part.call.required for part in parts):
                    continue
                for part in parts:
                    if part.mark in OPEN and not self._worth_waiting(now, part, price / len(parts)):
                        self.counts["pressed"] += 1
                        self._elsewhere(now, part)
        return self._take()

    def _worth_waiting(self, now: float, part: SubRequest, price: float) -> bool:
        worth = self.worth.get(part.run.plan.klass, 0.0) * part.call.worth
        dependency = self.dependencies[part.attempts[0].dependency if part.attempts else part.dependency]
        return self.judge.patience(now, part, dependency, worth, price) > 0

    def tick(self, now: float) -> list[CompositionAction]:
        """Run what is due."""
        while self.due and self.due[0][0] <= now:
            _, _, act, part = heapq.heappop(self.due)
            if part.mark in OPEN:
                act(now, part)
        return self._take()

    def next_due(self) -> float | None:
        while self.due and self.due[0][3].mark not in OPEN:  # settled since: no reason to wake anybody
            heapq.heappop(self.due)
        return self.due[0][0] if self.due else None

    def state(self, now: float) -> dict[str, dict[str, float | str]]:
        return {name: d.state(now) for name, d in self.dependencies.items()}

    # ---- stages -------------------------------------------------------------------------------

    def _go_on(self, now: float, run: ComposedRun) -> None:
        """Begin the next stage, and those after it as long as they are settled at once."""
        while not run.over:
            for part in run.parts:
                run.replies[part.call.dependency] = part.mark, part.reply
            run.parts = []
            if run.stage == len(run.plan.stage):
                self._finish(now, run)
                return
            limits = self.judge.stage(now, run)
            if limits is None:
                self.counts["unfit"] += 1
                self._end(now, run, Outcome.FAILED)
                return
            self._begin_stage(now, run, limits)
            if any(part.mark in OPEN for part in run.parts):
                return

    def _begin_stage(self, now: float, run: ComposedRun, limits: StageDeadlines) -> None:
        calls = optional_last(run.plan.stage[run.stage].call)
        run.stage += 1
        run.parts = [
            SubRequest(run, c, limits.required if c.required else limits.optional, bodies.to_send(run, c))
            for c in calls
        ]
        run.starting = True
        for part in run.parts:
            if run.over:
                return
            self._begin(now, part)
        run.starting = False

    def _settle(self, now: float, part: SubRequest, mark: SubRequestState, reply: bytes = b"") -> None:
        """The one place where a call's fate is decided."""
        run, part.mark, part.reply = part.run, mark, reply
        for attempt in part.attempts:
            self._drop(now, attempt, Outcome.CANCELLED, overtaken=mark is SubRequestState.DONE)
        part.attempts.clear()
        if mark is SubRequestState.LOST:
            self._end(now, run, Outcome.FAILED)
        elif not run.starting and not run.over and not any(p.mark in OPEN for p in run.parts):
            self._go_on(now, run)

    def _finish(self, now: float, run: ComposedRun) -> None:
        left, remembered = run.named(SubRequestState.LEFT_OUT), run.named(SubRequestState.REMEMBERED)
        self.counts["partial" if left else "whole"] += 1
        lost = sum(call.worth for call in run.plan.calls() if call.dependency in left)
        self.earns.ended(self.worth.get(run.plan.klass, 0.0) * (1 - lost), now - run.started)
        self._end(now, run, Outcome.SUCCEEDED, bodies.answer(run), left, remembered)

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
        if run.over:
            return
        run.over = True
        del self.runs[run.ident]
        writes = [part for part in run.parts if part.call.write]
        if outcome is Outcome.FAILED and run.plan.stage[-1].call[0].write and not any(p.sent for p in writes):
            outcome = Outcome.NOT_STARTED  # the write was never sent: a further try of the same key may run
        for part in run.parts:
            if part.mark in OPEN:
                part.mark = SubRequestState.LOST
            for attempt in part.attempts:
                self._drop(now, attempt, Outcome.CANCELLED)
            part.attempts.clear()
        self.orders.append(CompositionFinished(run.ident, outcome, now - run.started, body, left, remembered))

    # ---- one call -----------------------------------------------------------------------------

    def _begin(self, now: float, part: SubRequest) -> None:
        """Call the part's dependency now, or when a place is free, or go elsewhere."""
        dependency = self.dependencies[part.dependency]
        if not self.judge.fits(now, part, dependency):
            dependency.counts["unfit"] += 1
            self._elsewhere(now, part)
        elif not self.judge.guarded or dependency.free(now):
            self._send(now, part, dependency)
        elif dependency.breaker.allows(now) and len(dependency.waiting) < dependency.spec.waiting:
            part.mark = SubRequestState.WAITING
            dependency.waiting.append(part)
            self._at(part.until, self._expire, part)
        else:
            dependency.counts["shut"] += 1
            self._elsewhere(now, part)

    def _send(self, now: float, part: SubRequest, dependency: DependencyState, further: bool = False) -> None:
        room = part.until - now
        fair = room >= dependency.need(now).typical
        attempt = CallAttempt(b"%016x" % self.number, part, dependency.spec.name, now, further, fair)
        self.number = (self.number + 1) & MASK
        dependency.begun(attempt)
        part.mark, part.sent = SubRequestState.OUT, part.sent + 1
        part.attempts.append(attempt)
        self.attempts[attempt.ident] = attempt
        self.orders.append(
            SendCall(
                attempt.ident,
                part.run.ident,
                dependency.spec.name,
                part.run.tenant,
                part.body,
                room,
                part.call.write,
            )
        )
        if part.sent == 1:
            self._at(part.until, self._expire, part)
        if not part.call.write and not part.beside:
            other = dependency.spec.fallback
            at = self.judge.beside_at(now, part, dependency, self.dependencies.get(other or ""))
            if at is not None and at < part.until:
                attempt.slow_at = at
                self._at(at, self._beside, part)

    def _beside(self, now: float, part: SubRequest) -> None:
        """The first attempt is slow: send a second one, to the fallback if there is one."""
        if part.beside or len(part.attempts) != 1:
            return
        dependency = self.dependencies[part.attempts[0].dependency]
        other = dependency.spec.fallback
        if other is not None and other not in part.passed:
            target = self.dependencies[other]
            if target.free(now) and self.judge.fits(now, part, target):
                part.beside = True
                part.passed.add(other)
                target.counts["fallback"] += 1
                self._send(now, part, target)
        elif part.call.hedge and dependency.free(now) and dependency.allowance.take():
            part.beside = True
            dependency.counts["hedge"] += 1
            self._send(now, part, dependency, further=True)

    def _answered(self, now: float, part: SubRequest, dependency: str, body: bytes) -> None:
        if part.call.remember:
            key = StaleCache.key(part.call.dependency, part.body)
            self.last_good.put(now, part.run.tenant, key, body)
        self._settle(now, part, SubRequestState.DONE, body)

    def _failed(self, now: float, part: SubRequest, attempt: CallAttempt, outcome: Outcome) -> None:
        call, never = part.call, outcome in NEVER_RAN
        if call.write and not never:
            self._settle(now, part, SubRequestState.LOST)  # it may have had its effect: never sent again
            return
        if call.write:
            part.sent -= 1  # proved: no effect
        if part.attempts:
            return  # another attempt is under way
        dependency = self.dependencies[attempt.dependency]
        part.dependency = attempt.dependency
        if (
            (call.repeat or never)
            and part.sent < MOST_TRIES
            and self.judge.again(now, part, dependency)
            and (not self.judge.guarded or (dependency.free(now) and dependency.allowance.take()))
        ):
            self._send(now, part, dependency, further=True)
        else:
            self._elsewhere(now, part)

    def _elsewhere(self, now: float, part: SubRequest) -> None:
        """This dependency gives no answer: another, the last good one, or none."""
        other = self.dependencies[part.dependency].spec.fallback
        if other is not None and other not in part.passed:
            part.dependency = other
            part.passed.add(other)
            self.dependencies[other].counts["fallback"] += 1
            self._begin(now, part)
            return
        call = part.call
        if call.remember:
            key = StaleCache.key(call.dependency, part.body)
            kept = self.last_good.get(now, part.run.tenant, key, call.remember)
            if kept is not None:
                self._settle(now, part, SubRequestState.REMEMBERED, kept)
                return
        self._settle(now, part, SubRequestState.LOST if call.required else SubRequestState.LEFT_OUT)

    def _expire(self, now: float, part: SubRequest) -> None:
        """The part's time is over."""
        if now < part.until:
            return
        for attempt in part.attempts:
            self._drop(now, attempt, Outcome.TIMED_OUT)
        part.attempts.clear()
        if part.call.write and part.sent:
            self._settle(now, part, SubRequestState.LOST)
        else:
            part.passed.update(self.dependencies)  # no time for another
            self._elsewhere(now, part)

    def _drop(self, now: float, attempt: CallAttempt, outcome: Outcome, overtaken: bool = False) -> None:
        """Give an attempt up; the caller takes it off its part."""
        if self.attempts.pop(attempt.ident, None) is None:
            return  # its run has ended in the course of this very change
        dependency = self.dependencies[attempt.dependency]
        dependency.ended(now, attempt, outcome, overtaken and not attempt.further and attempt.slow(now))
        self.orders.append(CancelCall(attempt.ident, attempt.dependency))
        self._let_in(now, dependency)

    def _let_in(self, now: float, dependency: DependencyState) -> None:
        """A place may be free: the call that has waited longest and still fits takes it.

        Where the breaker has opened none will be: then all that wait go elsewhere at once.
        """
        while dependency.waiting and (dependency.free(now) or dependency.breaker.state is CircuitState.OPEN):
            part = dependency.waiting.popleft()
            if part.mark is not SubRequestState.WAITING or part.dependency != dependency.spec.name:
                continue
            if dependency.free(now) and self.judge.fits(now, part, dependency):
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
