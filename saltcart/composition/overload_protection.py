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

    CUT, APART = 0.8, 0.1  # what a loss leaves, once in this many seconds at most

    def __init__(self, least: int, most: int, start: int = 16) -> None:
        self.least, self.most = least, most
        self.value, self.used, self.cut_at = float(min(most, max(least, start))), 0, -1.0

    def room(self) -> bool:
        return self.used < int(self.value)

    def ended(self, now: float, lost: bool, wait: float) -> None:
        """One call is over; ``wait``: a typical call's time, for one loss must not be counted many times."""
        if lost:
            if now >= self.cut_at:
                self.value = max(float(self.least), self.value * self.CUT)
                self.cut_at = now + max(self.APART, wait)
        elif self.used * 2 >= self.value:  # a limit that is not in use is not tested by a success
            self.value = min(float(self.most), self.value + 1 / self.value)


class CircuitState(enum.Enum):
    """The states of a breaker, as in Nygard's Release It!."""

    CLOSED = "closed"
    OPEN = "open"
    HALF_OPEN = "half open"


class CircuitBreaker:
    """Stops calls to what nearly always fails, and lets single ones out to see whether it is back."""

    SHARE, LEAST, HALF_LIFE = 0.7, 8.0, 1.0  # failures of so many recent calls; seconds
    FIRST, LONGEST, SPREAD = 0.25, 4.0, 0.3  # seconds open; each fleet member another time
    PROBES = 2  # successes in a row that close it

    def __init__(self, rng: random.Random) -> None:
        self.rng, self.state = rng, CircuitState.CLOSED
        self.good = self.bad = self.at = 0.0
        self.until, self.wait, self.probing, self.passed = 0.0, self.FIRST, 0, 0

    def allows(self, now: float) -> bool:
        """May a call be made?  One that is made must be told of by ``begun``."""
        if self.state is CircuitState.OPEN and now >= self.until:
            self.state, self.probing, self.passed = CircuitState.HALF_OPEN, 0, 0
        return self.state is CircuitState.CLOSED or (
            self.state is CircuitState.HALF_OPEN and self.probing == 0
        )

    def begun(self) -> bool:
        """A call is made; True if it is a probe."""
        if self.state is CircuitState.HALF_OPEN:
            self.probing += 1
            return True
        return False

    def dropped(self, probe: bool) -> None:
        """A call was given up for another reason than its time: nothing is known of the dependency."""
        if probe and self.state is CircuitState.HALF_OPEN:
            self.probing -= 1

    def ended(self, now: float, ok: bool, probe: bool) -> None:
        fade = 2.0 ** ((self.at - now) / self.HALF_LIFE)
        self.good, self.bad, self.at = self.good * fade + ok, self.bad * fade + (not ok), now
        if self.state is CircuitState.HALF_OPEN and probe:
            self.probing -= 1
            self.passed += ok
            if not ok:
                self._open(now)
            elif self.passed >= self.PROBES:
                self.state, self.wait = CircuitState.CLOSED, self.FIRST
                self.good = self.bad = 0.0
        elif (
            self.state is CircuitState.CLOSED
            and self.bad >= self.LEAST
            and (self.bad >= self.SHARE * (self.good + self.bad))
        ):
            self._open(now)

    def _open(self, now: float) -> None:
        self.state = CircuitState.OPEN
        self.until = now + self.wait * (1 + self.SPREAD * (2 * self.rng.random() - 1))
        self.wait = min(self.LONGEST, 2 * self.wait)


class RetryBudget:
    """Further attempts, as a share of first ones: what is slow must not get more load for being slow."""

    BURST = 5.0

    def __init__(self, share: float) -> None:
        self.share, self.saved = share, self.BURST if share else 0.0

    def first(self) -> None:
        self.saved = min(self.BURST, self.saved + self.share)

    def take(self) -> bool:
        if self.saved < 1:
            return False
        self.saved -= 1
        return True
