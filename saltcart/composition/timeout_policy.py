"""How long each call may take, and whether it is worth beginning; an object, so that others can stand in."""

from __future__ import annotations

import random
from collections.abc import Callable
from math import inf
from typing import NamedTuple

from saltcart.composition.composed_run import ComposedRun, SubRequest
from saltcart.composition.dependency_state import EVIDENCE, DependencyState
from saltcart.composition.plan import CallSpec, StageSpec
from saltcart.composition.time_shares import TimeNeeded, parallel_time_needed, split_time

LEAVE = 1.25  # of what later stages need at most, kept from calls that can be left out
SURE = 1.2  # of what nearly all calls need: past the sketch's error, a call is slow
PROBES = 0.05  # of the calls that seem not to fit are made: estimates must not last by themselves


class StageDeadlines(NamedTuple):
    """When the calls of a stage are given up, by the desk's clock."""

    required: float
    optional: float


class TimeoutPolicy:
    """Budgets from what dependencies have lately needed."""

    enforces_limits = True  # limits, breakers and allowances hold

    def __init__(
        self,
        look: Callable[[str], DependencyState],
        rng: random.Random,
        late: Callable[[str], bool] = lambda klass: False,
    ) -> None:
        self.find_dependency, self.rng, self.earns_when_late = look, rng, late

    def _need(self, now: float, stage: StageSpec) -> TimeNeeded:
        return parallel_time_needed(
            [self.find_dependency(c.dependency).time_needed(now) for c in stage.call if c.required]
        )

    def stage_deadlines(self, now: float, run: ComposedRun) -> StageDeadlines | None:
        """Limits for the stage that is about to begin; None where what must be called can't fit any more."""
        reserve = run.plan.reserve_ms / 1000
        horizon = run.objective_at - reserve
        stages = run.plan.stage[run.next_stage :]
        needs = [self._need(now, stage) for stage in stages]
        shares = split_time(horizon - now, needs[0], needs[1:])
        if shares is None and self.earns_when_late(run.plan.class_name):  # late is worth something
            horizon = run.deadline - reserve
            shares = split_time(horizon - now, needs[0], needs[1:])
        if shares is None:
            if horizon <= now or self.rng.random() >= PROBES:
                return None
            return StageDeadlines(horizon, horizon)
        kept = sum(LEAVE * n.most if n.most < inf else share for n, share in zip(needs[1:], shares[1:]))
        optional = max(now, horizon - kept)
        required = now + shares[0]
        if any(c.write for c in stages[0].call):  # once sent, only its answer tells what became of it
            required = max(required, run.deadline - reserve)
        elif self.earns_when_late(run.plan.class_name):  # past the aim there is still something to earn
            required = max(required, run.deadline - reserve - sum(shares[1:]))
        return StageDeadlines(required, optional)

    def has_time_for_call(self, now: float, part: SubRequest, dependency: DependencyState) -> bool:
        """Is there time for a lucky call at least?"""
        room = part.deadline - now
        if part.call_spec.write and not self.earns_when_late(
            part.run.plan.class_name
        ):  # it may end late, but not begin so
            room = min(room, part.run.objective_at - now)
        if room <= 0:
            return False
        return dependency.time_needed(now).lucky <= room or self.rng.random() < PROBES

    def hedge_time(
        self, now: float, part: SubRequest, dependency: DependencyState, other: DependencyState | None
    ) -> float | None:
        """When a second attempt should begin beside one sent now: past what nearly all calls take.

        Where another dependency can stand in, it is left the time that it needs.
        """
        need, room = dependency.time_needed(now), part.deadline - now
        if other is not None:
            # Of a dependency that hardly replies any more nothing is expected: both are asked at once.
            after = next((level for level in (SURE * need.most, 2 * need.typical) if level < inf), 0.0)
            return now + max(0.0, min(after, room - LEAVE * other.time_needed(now).most))
        if part.call_spec.hedge and SURE * need.most + need.typical <= room:
            return now + SURE * need.most
        return None

    def seconds_worth_waiting(
        self, now: float, part: SubRequest, dependency: DependencyState, worth: float, price: float
    ) -> float:
        """Seconds that a call which can be left out is still worth waiting for while others want the slot.

        ``worth`` is what its reply adds, ``price`` what a second of the slot earns elsewhere.  The best time
        to stop is where worth times the chance of a reply, less the price of the wait, is greatest.
        """
        if dependency.durations.recent_count(now) < EVIDENCE:
            return part.deadline - now
        elapsed = now - part.attempts[0].started_at if part.attempts else 0.0
        here, last, best, best_gain, spent, before = 1.0, 1.0, 0.0, 0.0, 0.0, elapsed
        for value, alive in dependency.durations.survival_curve():
            if value <= elapsed:
                here = alive
                continue
            if here <= 0 or now + value - elapsed > part.deadline:
                break
            # ``spent``: expected wait until then, for the share that is still out at each step.
            spent += (value - before) * (last if before > elapsed else here)
            gain = worth * (here - alive) / here - price * spent / here
            if gain > best_gain:
                best, best_gain = value - elapsed, gain
            before, last = value, alive
        return best

    def has_time_for_retry(self, now: float, part: SubRequest, dependency: DependencyState) -> bool:
        """Is there time for a typical call after one that failed?"""
        return dependency.time_needed(now).typical <= part.deadline - now


def optional_last(calls: list[CallSpec]) -> list[CallSpec]:
    """Required calls first: places at a dependency go to them before those that can be left out."""
    return sorted(calls, key=lambda c: not c.required)
