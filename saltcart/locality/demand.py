"""How much work there is: requests a second of late, and whether a change of them is more than chance."""

from __future__ import annotations

import math

from saltcart.core.rate import LN2, FadingRate

QUICK, STEADY = 6.0, 24.0  # seconds: half-lives of the two rates that are told
SHORTEST = 1.0  # seconds: over less than that a rate is chance
DEVIATIONS = 3.0  # between the two, before the quick one is believed


class Demand:
    """Requests a second of late; ``half_life`` in seconds.

    What has been counted for a short time only is counted for what it would come to: else an instance that
    has just started says too little, and its zone's work is moved to one that has no room for it.
    """

    def __init__(self, half_life: float) -> None:
        self.counted = FadingRate(half_life)
        self.begun: float | None = None

    def add(self, now: float) -> None:
        self.begun = now if self.begun is None else self.begun
        self.counted.add(now)

    def rate(self, now: float) -> float:
        if self.begun is None:
            return 0.0
        seen: float = 1 - 0.5 ** (max(SHORTEST, now - self.begun) / self.counted.half_life)
        return self.counted.per_second(now) / seen


def believed(quick: float, steady: float) -> float:
    """A zone's demand from its two rates: the steady one, unless the quick one is off by more than chance.

    Requests that come by chance make a faded rate stray by the root of rate times ln 2 over twice its half-
    life: 8% of ten a second and 1% of a thousand.  A small zone is so not moved about by its own noise, and a
    surge in a large one is seen within a second.
    """
    strays = math.sqrt(max(quick, steady) * LN2 / (2 * QUICK))
    return quick if abs(quick - steady) > DEVIATIONS * strays else steady
