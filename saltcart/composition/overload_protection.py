"""What stands before a dependency: a concurrency limit that adapts, a breaker, an allowance of attempts.

Each is a small state machine that is given the time and, where it draws, the random source.
"""

from __future__ import annotations

import enum
import random


class CallLimit:
    """Calls at once by additive increase and multiplicative decrease (Chiu and Jain, 1989).

    It acts on losses (calls that ran out of a fair time, or were turned away), not on delay: a dependency
    that is slow for a reason of its own, not for our load, must not lose calls that would still come back.
    """

    DECREASE_FACTOR, MIN_DECREASE_INTERVAL = 0.8, 0.1  # what a loss leaves, once in this many seconds at most

    def __init__(self, minimum: int, maximum: int, start: int = 16) -> None:
        self.minimum, self.maximum = minimum, maximum
        self.value, self.in_flight, self.next_decrease_at = float(min(maximum, max(minimum, start))), 0, -1.0

    def has_capacity(self) -> bool:
        return self.in_flight < int(self.value)

    def record_result(self, now: float, lost: bool, wait: float) -> None:
        """One call is over; ``wait``: a typical call's time, for one loss must not be counted many times."""
        if lost:
            if now >= self.next_decrease_at:
                self.value = max(float(self.minimum), self.value * self.DECREASE_FACTOR)
                self.next_decrease_at = now + max(self.MIN_DECREASE_INTERVAL, wait)
        elif self.in_flight * 2 >= self.value:  # a limit that is not in use is not tested by a success
            self.value = min(float(self.maximum), self.value + 1 / self.value)


class CircuitState(enum.Enum):
    """The states of a breaker, as in Nygard's Release It!."""

    CLOSED = "closed"
    OPEN = "open"
    HALF_OPEN = "half open"


class CircuitBreaker:
    """Stops calls to what nearly always fails, and lets single ones out to see whether it is back."""

    FAILURE_RATIO, MIN_FAILURES, HALF_LIFE_SECONDS = (
        0.7,
        8.0,
        1.0,
    )  # failures of so many recent calls; seconds
    FIRST_OPEN_SECONDS, MAX_OPEN_SECONDS, JITTER = (
        0.25,
        4.0,
        0.3,
    )  # seconds open; each fleet member another time
    PROBES_TO_CLOSE = 2  # successes in a row that close it

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
        """May a call be made?  One that is made must be told of by ``begun``."""
        if self.state is CircuitState.OPEN and now >= self.open_until:
            self.state, self.probes_in_flight, self.probes_succeeded = CircuitState.HALF_OPEN, 0, 0
        return self.state is CircuitState.CLOSED or (
            self.state is CircuitState.HALF_OPEN and self.probes_in_flight == 0
        )

    def record_start(self) -> bool:
        """A call is made; True if it is a probe."""
        if self.state is CircuitState.HALF_OPEN:
            self.probes_in_flight += 1
            return True
        return False

    def record_cancelled(self, probe: bool) -> None:
        """A call was given up for another reason than its time: nothing is known of the dependency."""
        if probe and self.state is CircuitState.HALF_OPEN:
            self.probes_in_flight -= 1

    def record_result(self, now: float, ok: bool, probe: bool) -> None:
        fade = 2.0 ** ((self.decayed_at - now) / self.HALF_LIFE_SECONDS)
        self.successes, self.failures, self.decayed_at = (
            self.successes * fade + ok,
            self.failures * fade + (not ok),
            now,
        )
        if self.state is CircuitState.HALF_OPEN and probe:
            self.probes_in_flight -= 1
            self.probes_succeeded += ok
            if not ok:
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
    """Further attempts, as a share of first ones: what is slow must not get more load for being slow."""

    BURST = 5.0

    def __init__(self, share: float) -> None:
        self.share, self.tokens = share, self.BURST if share else 0.0

    def record_first_attempt(self) -> None:
        self.tokens = min(self.BURST, self.tokens + self.share)

    def take_token(self) -> bool:
        if self.tokens < 1:
            return False
        self.tokens -= 1
        return True
