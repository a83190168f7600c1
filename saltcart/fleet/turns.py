"""When each instance acts, so that no two hundred do it in the same tick.

An instance's place among those present is a number that all find alike; it is spread over the period by the
golden ratio, so that whatever part of the fleet acts is spread evenly as well, and those that join late
fall between those that were there (Weyl, 1916: multiples of an irrational are evenly spread).
"""

from __future__ import annotations

from bisect import bisect_left
from collections.abc import Sequence

GOLDEN = 0.6180339887498949


def phase(place: int) -> float:
    """Where in a period, 0 to 1, the instance at this place acts."""
    return place * GOLDEN % 1.0


def next_turn(now: float, period: float, place: int) -> float:
    """The next moment after ``now`` that is this place's."""
    at = (now // period + phase(place)) * period
    return at if at > now else at + period


def place_of(name: str, present: Sequence[str]) -> int:
    """The place among the sorted names; where it would be if it is not there yet."""
    return bisect_left(present, name)


class Retry:
    """When to try again after the n-th failure in a row: a period that doubles, and the own turn in it."""

    def __init__(self, first: float, most: float) -> None:
        self.first, self.most, self.failures = first, most, 0

    def failed(self, now: float, place: int) -> float:
        """The moment of the next try: in the next period, never sooner than half of it from now."""
        period = min(self.most, self.first * 2 ** min(16, self.failures))
        self.failures += 1
        return next_turn(now + period / 2, period, place)

    def went_well(self) -> None:
        self.failures = 0
