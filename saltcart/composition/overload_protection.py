"""Protection of a dependency from overload: a concurrency limit, a circuit breaker and a retry budget.

Each is a small state machine whose caller passes the time and, where it is needed, the random source.
"""

from __future__ import annotations

import enum
import random


class CallLimit:
    """Concurrency limit by additive increase and multiplicative decrease (Chiu and Jain, 1989).

    It reacts to losses (calls that timed out or were rejected), not to delay: a dependency that is slow for
    reasons other than our load must not lose calls that it would still answer.
    """

    # Remaining share of the limit after a loss; least time between two decreases, in seconds.
    DECREASE_FACTOR, MIN_DECREASE_INTERVAL = 0.8, 0.1

    def __init__(self, minimum: int, maximum: int, start: int = 16) -> None:
        self.minimum, self.maximum = minimum, maximum
        self.value, self.in_flight, self.next_decrease_at = float(min(maximum, max(minimum, start))), 0, -1.0

    def has_capacity(self) -> bool:
        """Return whether one more call may be in flight."""
        return self.in_flight < int(self.value)

    def record_result(self, now: float, is_lost: bool, call_seconds: float) -> None:
        """Adapt the limit to the end of a call.

        Args:
            now: The time, in seconds.
            is_lost: Whether the call timed out or was rejected.
            call_seconds: Time that a call needs.  The limit is decreased once in this time at most, because
                one overload loses many calls and must not count many times.
        """
        if is_lost:
            if now >= self.next_decrease_at:
                self.value = max(float(self.minimum), self.value * self.DECREASE_FACTOR)
                self.next_decrease_at = now + max(self.MIN_DECREASE_INTERVAL, call_seconds)
        elif (
            self.in_flight * 2 >= self.value
        ):  # success below half of the limit does not justify a higher one
            self.value = min(float(self.maximum), self.value + 1 / self.value)


class CircuitState(enum.Enum):
    """States of a circuit breaker, as in Nygard's "Release It!"."""

    CLOSED = "closed"
    OPEN = "open"
    HALF_OPEN = "half open"


class CircuitBreaker:
    """Stops calls to a dependency that nearly always fails, and probes it until it has recovered."""

    # Share and number of failures among recent calls that open it; half-life of a call's weight.
    FAILURE_RATIO, MIN_FAILURES, HALF_LIFE_SECONDS = 0.7, 8.0, 1.0
    # Time open, doubled each time it opens again; jitter, so that the fleet does not probe in step.
    FIRST_OPEN_SECONDS, MAX_OPEN_SECONDS, JITTER = 0.25, 4.0, 0.3
    PROBES_TO_CLOSE = 2  # successful probes in a row

    def __init__(self, rng: random.Random) -> None:
        self.rng, self.state = rng, CircuitState.CLOSED
        self.successes = self.failures = self.decayed_at = 0.0
        self.open_until, self.open_seconds, self.probes_in_flight, self.probes_succeeded = (
            0.0,
            self.FIRST_OPEN_SECONDS,
            0,
            0,
        )

    def allows_call(self, now: float) -> bool:
        """Return whether a call may be made; each one that is made must be reported to ``record_start``."""
        if self.state is CircuitState.OPEN and now >= self.open_until:
            self.state, self.probes_in_flight, self.probes_succeeded = CircuitState.HALF_OPEN, 0, 0
        return self.state is CircuitState.CLOSED or (
            self.state is CircuitState.HALF_OPEN and self.probes_in_flight == 0
        )

    def record_start(self) -> bool:
        """Record that a call is made; return whether it is a probe."""
        if self.state is CircuitState.HALF_OPEN:
            self.probes_in_flight += 1
            return True
        return False

    def record_inconclusive(self, is_probe: bool) -> None:
        """Record the end of a call that says nothing about the dependency, such as a cancelled one."""
        if is_probe and self.state is CircuitState.HALF_OPEN:
            self.probes_in_flight -= 1

    def record_result(self, now: float, succeeded: bool, is_probe: bool) -> None:
        """Record the result of a call, and open or close the circuit accordingly."""
        decay = 2.0 ** ((self.decayed_at - now) / self.HALF_LIFE_SECONDS)
        self.successes, self.failures, self.decayed_at = (
            self.successes * decay + succeeded,
            self.failures * decay + (not succeeded),
            now,
        )
        if self.state is CircuitState.HALF_OPEN and is_probe:
            self.probes_in_flight -= 1
            self.probes_succeeded += succeeded
            if not succeeded:
                self._open(now)
            elif self.probes_succeeded >= self.PROBES_TO_CLOSE:
                self.state, self.open_seconds = CircuitState.CLOSED, self.FIRST_OPEN_SECONDS
                self.successes = self.failures = 0.0
        elif (
            self.state is CircuitState.CLOSED
            and self.failures >= self.MIN_FAILURES
            and (self.failures >= self.FAILURE_RATIO * (self.successes + self.failures))
        ):
            self._open(now)

    def _open(self, now: float) -> None:
        self.state = CircuitState.OPEN
        self.open_until = now + self.open_seconds * (1 + self.JITTER * (2 * self.rng.random() - 1))
        self.open_seconds = min(self.MAX_OPEN_SECONDS, 2 * self.open_seconds)


class RetryBudget:
    """Limits retries and hedged requests to a share of first attempts.

    A slow dependency must not get more load because it is slow.
    """

    BURST = 5.0  # tokens that can be saved up

    def __init__(self, share: float) -> None:
        self.share, self.tokens = share, self.BURST if share else 0.0

    def record_first_attempt(self) -> None:
        """Add the share of a token that each first attempt earns."""
        self.tokens = min(self.BURST, self.tokens + self.share)

    def take_token(self) -> bool:
        """Take the token for an additional attempt; return False if there is none."""
        if self.tokens < 1:
            return False
        self.tokens -= 1
        return True
