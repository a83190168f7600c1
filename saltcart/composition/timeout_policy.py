"""Timeouts of calls, and whether there is enough time for a call.

The policy is an object, so that the engine can run with another one.
"""

from __future__ import annotations

import random
from collections.abc import Callable
from math import inf
from typing import NamedTuple

from saltcart.composition.composed_run import ComposedRun, SubRequest
from saltcart.composition.dependency_state import MIN_RECENT_CALLS, DependencyState
from saltcart.composition.plan import CallSpec, StageSpec
from saltcart.composition.time_shares import TimeNeeded, parallel_time_needed, split_time

RESERVE_FACTOR = 1.25  # on the time that nearly all calls need, when it is reserved for later calls
SLOW_FACTOR = 1.2  # a call is slow after this multiple of that time; covers the sketch's error
# Probability of a call for which there seems to be no time: without any, a high estimate would never change.
PROBE_PROBABILITY = 0.05


class StageDeadlines(NamedTuple):
    """Times at which the required and the optional calls of a stage are cancelled."""

    required: float
    optional: float


class TimeoutPolicy:
    """Derives timeouts from the time that recent calls of the dependencies needed.

    Attributes:
        enforces_limits: Whether concurrency limits, circuit breakers and retry budgets apply.
    """

    enforces_limits = True

    def __init__(
        self,
        find_dependency: Callable[[str], DependencyState],
        rng: random.Random,
        earns_when_late: Callable[[str], bool] = lambda class_name: False,
    ) -> None:
        self.find_dependency, self.rng, self.earns_when_late = find_dependency, rng, earns_when_late

    def _time_needed(self, now: float, stage: StageSpec) -> TimeNeeded:
        """Return the time that the required calls of a stage need."""
        return parallel_time_needed(
            [self.find_dependency(call.dependency).time_needed(now) for call in stage.call if call.required]
        )

    def stage_deadlines(self, now: float, run: ComposedRun) -> StageDeadlines | None:
        """Return the deadlines of the stage that starts next; None if the required calls lack time."""
        reserve = run.plan.reserve_ms / 1000
        horizon = run.objective_at - reserve
        stages = run.plan.stage[run.next_stage :]
        needs = [self._time_needed(now, stage) for stage in stages]
        shares = split_time(horizon - now, needs[0], needs[1:])
        if shares is None and self.earns_when_late(run.plan.class_name):
            horizon = run.deadline - reserve
            shares = split_time(horizon - now, needs[0], needs[1:])
        if shares is None:
            if horizon <= now or self.rng.random() >= PROBE_PROBABILITY:
                return None
            return StageDeadlines(horizon, horizon)
        reserved = sum(
            RESERVE_FACTOR * need.most if need.most < inf else share
            for need, share in zip(needs[1:], shares[1:])
        )
        optional = max(now, horizon - reserved)
        required = now + shares[0]
        if any(call.write for call in stages[0].call):  # once it is sent, only its reply shows its effect
            required = max(required, run.deadline - reserve)
        elif self.earns_when_late(run.plan.class_name):
            required = max(required, run.deadline - reserve - sum(shares[1:]))
        return StageDeadlines(required, optional)

    def has_time_for_call(self, now: float, sub_request: SubRequest, dependency: DependencyState) -> bool:
        """Return whether there is time for a fast call at least."""
        time_left = sub_request.deadline - now
        # A write may end after the objective, but must not start without time to end before it.
        if sub_request.call_spec.write and not self.earns_when_late(sub_request.run.plan.class_name):
            time_left = min(time_left, sub_request.run.objective_at - now)
        if time_left <= 0:
            return False
        return dependency.time_needed(now).lucky <= time_left or self.rng.random() < PROBE_PROBABILITY

    def hedge_time(
        self,
        now: float,
        sub_request: SubRequest,
        dependency: DependencyState,
        fallback: DependencyState | None,
    ) -> float | None:
        """Return when a second attempt should start if the attempt that is sent now has no reply yet.

        That is after the time that nearly all calls need, but early enough for a call to the fallback.

        Returns:
            The time, in seconds; None if no second attempt should start.
        """
        need, time_left = dependency.time_needed(now), sub_request.deadline - now
        if fallback is not None:
            # Where hardly any call of the dependency is answered, the fallback is called at once.
            delay = next((level for level in (SLOW_FACTOR * need.most, 2 * need.typical) if level < inf), 0.0)
            return now + max(0.0, min(delay, time_left - RESERVE_FACTOR * fallback.time_needed(now).most))
        if sub_request.call_spec.hedge and SLOW_FACTOR * need.most + need.typical <= time_left:
            return now + SLOW_FACTOR * need.most
        return None

    def optimal_wait(
        self, now: float, sub_request: SubRequest, dependency: DependencyState, value: float, price: float
    ) -> float:
        """Return for how many seconds to wait for an optional reply while other requests need the slot.

        That is the wait for which the value of the reply, times the probability that it arrives, less the
        price of the expected wait, is greatest.

        Args:
            now: The time, in seconds.
            sub_request: The optional sub-request.
            dependency: The dependency that it calls.
            value: What the reply adds to the value of the response.
            price: What a second of the slot earns with other requests.
        """
        if dependency.durations.recent_count(now) < MIN_RECENT_CALLS:
            return sub_request.deadline - now
        elapsed = now - sub_request.attempts[0].started_at if sub_request.attempts else 0.0
        current, previous, best_wait, best_gain, expected_wait, start = 1.0, 1.0, 0.0, 0.0, 0.0, elapsed
        for seconds, surviving in dependency.durations.survival_curve():
            if seconds <= elapsed:
                current = surviving
                continue
            if current <= 0 or now + seconds - elapsed > sub_request.deadline:
                break
            # Each step adds its length, weighted by the share of calls that are in flight at its start.
            expected_wait += (seconds - start) * (previous if start > elapsed else current)
            gain = value * (current - surviving) / current - price * expected_wait / current
            if gain > best_gain:
                best_wait, best_gain = seconds - elapsed, gain
            start, previous = seconds, surviving
        return best_wait

    def has_time_for_retry(self, now: float, sub_request: SubRequest, dependency: DependencyState) -> bool:
        """Return whether there is time for a typical call."""
        return dependency.time_needed(now).typical <= sub_request.deadline - now


def required_first(calls: list[CallSpec]) -> list[CallSpec]:
    """Sort calls so that the required ones reach a dependency's limit before the optional ones."""
    return sorted(calls, key=lambda call: not call.required)
