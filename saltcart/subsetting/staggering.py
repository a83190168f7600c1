"""Staggering: spreads the actions of instances over a period, so that hundreds do not act in the same tick.

All instances determine the same position of an instance among the sorted names of the present instances.
Its point in the period is the position times the golden ratio, modulo 1.  Multiples of an irrational number
are evenly spread (Weyl, 1916), so any part of the fleet that acts is evenly spread as well, and instances
that join later get points between those of the earlier ones.
"""

from __future__ import annotations

from bisect import bisect_left
from collections.abc import Sequence

GOLDEN_RATIO = 0.6180339887498949  # its fractional part
MAX_DOUBLINGS = 16  # of a backoff's period


def phase(position: int) -> float:
    """Return the point in a period, from 0 to 1, at which the instance at a position acts."""
    return position * GOLDEN_RATIO % 1.0


def next_staggered_time(now: float, period: float, position: int) -> float:
    """Return the first time after ``now`` at which the instance at a position acts.

    Args:
        now: Monotonic time in seconds.
        period: Length of the period in seconds.
        position: Position among the present instances.
    """
    staggered_time = (now // period + phase(position)) * period
    return staggered_time if staggered_time > now else staggered_time + period


def position_of(name: str, present: Sequence[str]) -> int:
    """Return a name's position among the sorted names, or its insertion position if it is not among them."""
    return bisect_left(present, name)


class StaggeredBackoff:
    """Exponential backoff whose retries are staggered over the instances."""

    def __init__(self, first_seconds: float, max_seconds: float) -> None:
        """Start without failures.

        Args:
            first_seconds: Period after the first failure; it doubles with each consecutive one.
            max_seconds: Maximum of the period.
        """
        self.first_seconds = first_seconds
        self.max_seconds = max_seconds
        self.failures = 0

    def record_failure(self, now: float, position: int) -> float:
        """Count a failure and return the time of the next attempt.

        The time is the first staggered time after half of the period, and thus at most one and a half periods
        from now.

        Args:
            now: Monotonic time in seconds.
            position: Position of this instance among the present ones.
        """
        doublings = min(MAX_DOUBLINGS, self.failures)
        period = min(self.max_seconds, self.first_seconds * 2**doublings)
        self.failures += 1
        return next_staggered_time(now + period / 2, period, position)

    def record_success(self) -> None:
        """Reset the period to the first one."""
        self.failures = 0
