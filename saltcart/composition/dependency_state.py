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
        self.spec, self.times = spec, QuantileSketch()
        self.limit, self.breaker = CallLimit(spec.least, spec.most), CircuitBreaker(rng)
        self.allowance = RetryBudget(spec.attempts)
        self.waiting = deque[SubRequest]()
        self.counts = Counter[str]()
        self.looked, self.known = -inf, UNKNOWN

    def need(self, now: float) -> TimeNeeded:
        """What a call has needed lately, in seconds; worked out anew every so often."""
        if now >= self.looked + LOOK or now < self.looked:
            self.looked = now
            known = self.times.count(now) >= EVIDENCE
            self.known = TimeNeeded(*self.times.at_levels()) if known else UNKNOWN
        return self.known

    def free(self, now: float) -> bool:
        """May a call go out at once?"""
        return self.limit.room() and self.breaker.allows(now)

    def begun(self, attempt: CallAttempt) -> None:
        self.limit.used += 1
        attempt.probe = self.breaker.begun()
        self.counts["further" if attempt.further else "first"] += 1
        if not attempt.further:
            self.allowance.first()

    def ended(self, now: float, attempt: CallAttempt, outcome: Outcome, overtaken: bool = False) -> None:
        """An attempt is over; CANCELLED: it was given up for a reason that is not the dependency's."""
        self.limit.used -= 1
        self.counts[OUTCOME_COUNTERS[outcome]] += 1
        took = max(0.0, now - attempt.begun)
        if outcome is Outcome.CANCELLED:
            self.times.add(now, took, cut=True)
            if overtaken:  # another answered first, well past the time that this one should have taken
                self.breaker.ended(now, False, attempt.probe)
            else:
                self.breaker.dropped(attempt.probe)
            return
        if outcome is Outcome.SUCCEEDED:
            self.times.add(now, took)
        elif outcome in (Outcome.TIMED_OUT, Outcome.BROKEN_OFF):
            self.times.add(now, took, cut=True)
        # A call that was given less than a typical one takes says nothing against the dependency.
        if outcome is Outcome.TIMED_OUT and not attempt.fair:
            self.breaker.dropped(attempt.probe)
            return
        self.breaker.ended(now, outcome is Outcome.SUCCEEDED, attempt.probe)
        self.limit.ended(now, outcome in LOST, min(1.0, self.need(now).lucky))

    def state(self, now: float) -> dict[str, float | str]:
        """What operators are shown; times in milliseconds, -1 where it can't be told."""
        need = self.need(now)
        shown = {
            name: round(value * 1000, 1) if value != float("inf") else -1.0
            for name, value in need._asdict().items()
        }
        return {
            **shown,
            "circuit": self.breaker.state.value,
            "limit": int(self.limit.value),
            "used": self.limit.used,
            "waiting": len(self.waiting),
            **self.counts,
        }
