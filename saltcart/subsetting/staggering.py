"""When each instance acts, so that no two hundred do it in the same tick.

An instance's position among those present is a number that all find alike; it is spread over the period by
the golden ratio, so that whatever part of the fleet acts is spread evenly as well, and those that join late
fall between those that were there (Weyl, 1916: multiples of an irrational are evenly spread).
"""

from __future__ import annotations

from bisect import bisect_left
from collections.abc import Sequence

GOLDEN_RATIO = 0.6180339887498949
MAX_DOUBLINGS = 16  # of a back-off's period


def phase(position: int) -> float:
    """Return where in a period, 0 to 1, the instance at this position acts."""
    return position * GOLDEN_RATIO % 1.0


def next_staggered_time(now: float, period: float, position: int) -> float:
    """Return the next moment after ``now`` that is this position's."""
    at = (now // period + phase(position)) * period
    return at if at > now else at + period


def position_of(name: str, present: Sequence[str]) -> int:
    """Return the position among the sorted names; where it would be if it is not there yet."""
    return bisect_left(present, name)


class StaggeredBackoff:
    """When to try again after the n-th failure in a row: a period that doubles, and the own moment in it."""

    def __init__(self, first_seconds: float, max_seconds: float) -> None:
        self.first_seconds = first_seconds
        self.max_seconds = max_seconds
        self.failures = 0

    def record_failure(self, now: float, position: int) -> float:
        """Return the moment of the next try: in the next period, never sooner than half of it from now."""
        doublings = min(MAX_DOUBLINGS, self.failures)
        period = min(self.max_seconds, self.first_seconds * 2**doublings)
        self.failures += 1
        return next_staggered_time(now + period / 2, period, position)

    def record_success(self) -> None:
        """Begin anew with the next failure."""
        self.failures = 0
