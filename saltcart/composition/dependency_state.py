"""All that is known of one dependency, and the one place where a call's beginning and end are booked."""

from __future__ import annotations

import random
from collections import Counter, deque
from math import inf

from saltcart.composition.composed_run import CallAttempt, SubRequest
from saltcart.composition.overload_protection import CallLimit, CircuitBreaker, RetryBudget
from saltcart.composition.plan import DependencySpec
from saltcart.composition.quantile_sketch import QuantileSketch
from saltcart.composition.time_shares import TimeNeeded
from saltcart.decision.outcome import Outcome

UNKNOWN = TimeNeeded(
    0.0, 0.02, 0.2
)  # a dependency of which nothing is known yet is taken for an ordinary one
EVIDENCE = 3.0  # recent calls that are needed to tell more
LOOK = 0.05  # seconds for which a need that was worked out holds
NEVER_RAN = (Outcome.REJECTED, Outcome.UNREACHABLE, Outcome.NOT_STARTED)
# Names of the counts that operators are shown.
OUTCOME_COUNTERS = {
    Outcome.SUCCEEDED: "ok",
    Outcome.FAILED: "error",
    Outcome.CANCELLED: "cancelled",
    Outcome.NOT_STARTED: "moot",
    Outcome.REJECTED: "rejected",
    Outcome.UNREACHABLE: "unreachable",
    Outcome.TIMED_OUT: "timeout",
    Outcome.BROKEN_OFF: "broken",
}
LOST = (Outcome.REJECTED, Outcome.UNREACHABLE, Outcome.TIMED_OUT)  # signs of a crowd there


class DependencyState:
    """Times, limit, breaker and allowance of one dependency, and the calls that wait for a place at it."""

    def __init__(self, spec: DependencySpec, rng: random.Random) -> None:
        self.spec, self.durations = spec, QuantileSketch()
        self.limit, self.circuit_breaker = CallLimit(spec.least, spec.most), CircuitBreaker(rng)
        self.retry_budget = RetryBudget(spec.attempts)
        self.waiting = deque[SubRequest]()
        self.counts = Counter[str]()
        self.looked, self.known = -inf, UNKNOWN

    def time_needed(self, now: float) -> TimeNeeded:
        """What a call has needed lately, in seconds; worked out anew every so often."""
        if now >= self.looked + LOOK or now < self.looked:
            self.looked = now
            known = self.durations.recent_count(now) >= EVIDENCE
            self.known = TimeNeeded(*self.durations.quantiles()) if known else UNKNOWN
        return self.known

    def free(self, now: float) -> bool:
        """May a call go out at once?"""
        return self.limit.has_capacity() and self.circuit_breaker.allows_call(now)

    def record_start(self, attempt: CallAttempt) -> None:
        self.limit.in_flight += 1
        attempt.is_probe = self.circuit_breaker.record_start()
        self.counts["further" if attempt.is_additional else "first"] += 1
        if not attempt.is_additional:
            self.retry_budget.record_first_attempt()

    def record_end(self, now: float, attempt: CallAttempt, outcome: Outcome, overtaken: bool = False) -> None:
        """An attempt is over; CANCELLED: it was given up for a reason that is not the dependency's."""
        self.limit.in_flight -= 1
        self.counts[OUTCOME_COUNTERS[outcome]] += 1
        took = max(0.0, now - attempt.started_at)
        if outcome is Outcome.CANCELLED:
            self.durations.add(now, took, censored=True)
            if overtaken:  # another answered first, well past the time that this one should have taken
                self.circuit_breaker.record_result(now, False, attempt.is_probe)
            else:
                self.circuit_breaker.record_inconclusive(attempt.is_probe)
            return
        if outcome is Outcome.SUCCEEDED:
            self.durations.add(now, took)
        elif outcome in (Outcome.TIMED_OUT, Outcome.BROKEN_OFF):
            self.durations.add(now, took, censored=True)
        # A call that was given less than a typical one takes says nothing against the dependency.
        if outcome is Outcome.TIMED_OUT and not attempt.has_typical_time:
            self.circuit_breaker.record_inconclusive(attempt.is_probe)
            return
        self.circuit_breaker.record_result(now, outcome is Outcome.SUCCEEDED, attempt.is_probe)
        self.limit.record_result(now, outcome in LOST, min(1.0, self.time_needed(now).lucky))

    def state(self, now: float) -> dict[str, float | str]:
        """What operators are shown; times in milliseconds, -1 where it can't be told."""
        need = self.time_needed(now)
        shown = {
            name: round(value * 1000, 1) if value != float("inf") else -1.0
            for name, value in need._asdict().items()
        }
        return {
            **shown,
            "circuit": self.circuit_breaker.state.value,
            "limit": int(self.limit.value),
            "used": self.limit.in_flight,
            "waiting": len(self.waiting),
            **self.counts,
        }
