"""State of one dependency: call durations, limits, waiting calls and counters."""

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

DEFAULT_TIME_NEEDED = TimeNeeded(0.0, 0.02, 0.2)  # of a dependency with too few recent calls
MIN_RECENT_CALLS = 3.0  # for an estimate of the time needed
ESTIMATE_LIFETIME = 0.05  # seconds
NEVER_RAN = (Outcome.REJECTED, Outcome.UNREACHABLE, Outcome.NOT_STARTED)
# Names of the counters that operators are shown.
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
OVERLOAD_OUTCOMES = (Outcome.REJECTED, Outcome.UNREACHABLE, Outcome.TIMED_OUT)


class DependencyState:
    """Durations, concurrency limit, circuit breaker and retry budget of a dependency, and its waiting calls.

    Every attempt is recorded here once when it starts and once when it ends.
    """

    def __init__(self, spec: DependencySpec, rng: random.Random) -> None:
        self.spec, self.durations = spec, QuantileSketch()
        self.limit, self.circuit_breaker = CallLimit(spec.least, spec.most), CircuitBreaker(rng)
        self.retry_budget = RetryBudget(spec.attempts)
        self.waiting = deque[SubRequest]()
        self.counts = Counter[str]()
        self.estimated_at, self.estimate = -inf, DEFAULT_TIME_NEEDED

    def time_needed(self, now: float) -> TimeNeeded:
        """Return what recent calls needed; the estimate is computed again when it is too old."""
        if now >= self.estimated_at + ESTIMATE_LIFETIME or now < self.estimated_at:
            self.estimated_at = now
            has_enough_calls = self.durations.recent_count(now) >= MIN_RECENT_CALLS
            self.estimate = (
                TimeNeeded(*self.durations.quantiles()) if has_enough_calls else DEFAULT_TIME_NEEDED
            )
        return self.estimate

    def can_start_call(self, now: float) -> bool:
        """Return whether the concurrency limit and the circuit breaker allow a call now."""
        return self.limit.has_capacity() and self.circuit_breaker.allows_call(now)

    def record_start(self, attempt: CallAttempt) -> None:
        """Record an attempt that is sent, and mark it if it is a probe of the circuit breaker."""
        self.limit.in_flight += 1
        attempt.is_probe = self.circuit_breaker.record_start()
        self.counts["further" if attempt.is_additional else "first"] += 1
        if not attempt.is_additional:
            self.retry_budget.record_first_attempt()

    def record_end(
        self, now: float, attempt: CallAttempt, outcome: Outcome, was_overtaken: bool = False
    ) -> None:
        """Record the end of an attempt.

        Args:
            now: The time, in seconds.
            attempt: The attempt.
            outcome: ``CANCELLED`` if it was cancelled for a reason that is not the dependency's.
            was_overtaken: Whether another attempt was answered first, at a time at which nearly all calls
                would have ended.
        """
        self.limit.in_flight -= 1
        self.counts[OUTCOME_COUNTERS[outcome]] += 1
        duration = max(0.0, now - attempt.started_at)
        if outcome is Outcome.CANCELLED:
            self.durations.add(now, duration, censored=True)
            if was_overtaken:  # a call that is too slow counts as a failure
                self.circuit_breaker.record_result(now, False, attempt.is_probe)
            else:
                self.circuit_breaker.record_inconclusive(attempt.is_probe)
            return
        if outcome is Outcome.SUCCEEDED:
            self.durations.add(now, duration)
        elif outcome in (Outcome.TIMED_OUT, Outcome.BROKEN_OFF):
            self.durations.add(now, duration, censored=True)
        # A timeout shorter than the time of a typical call is no failure of the dependency.
        if outcome is Outcome.TIMED_OUT and not attempt.has_typical_time:
            self.circuit_breaker.record_inconclusive(attempt.is_probe)
            return
        self.circuit_breaker.record_result(now, outcome is Outcome.SUCCEEDED, attempt.is_probe)
        self.limit.record_result(now, outcome in OVERLOAD_OUTCOMES, min(1.0, self.time_needed(now).lucky))

    def state(self, now: float) -> dict[str, float | str]:
        """Return what operators are shown; times are milliseconds, -1 where there is no estimate."""
        need = self.time_needed(now)
        milliseconds = {
            name: round(value * 1000, 1) if value != float("inf") else -1.0
            for name, value in need._asdict().items()
        }
        return {
            **milliseconds,
            "circuit": self.circuit_breaker.state.value,
            "limit": int(self.limit.value),
            "used": self.limit.in_flight,
            "waiting": len(self.waiting),
            **self.counts,
        }
