"""How much work there is: requests a second of late, and whether a change of them is more than chance."""

from __future__ import annotations

import math

from saltcart.core.rate import LN2, DecayingRate

SHORT_TERM_HALF_LIFE = 6.0  # seconds, of the first of two rates that are reported
LONG_TERM_HALF_LIFE = 24.0  # seconds, of the second
MIN_SPAN = 1.0  # seconds: over less than that a rate is chance
DEVIATIONS = 3.0  # between the two, before the quick one is believed


class DemandEstimator:
    """Requests a second of late; ``half_life`` in seconds.

    What has been counted for a short time only is counted for what it would come to: else an instance that
    has just started reports too little, and its zone's work is moved to one that has no room for it.
    """

    def __init__(self, half_life: float) -> None:
        self.counted_rate = DecayingRate(half_life)
        self.began_at: float | None = None

    def add(self, now: float) -> None:
        """Count a request."""
        if self.began_at is None:
            self.began_at = now
        self.counted_rate.add(now)

    def rate(self, now: float) -> float:
        """Return requests a second."""
        if self.began_at is None:
            return 0.0
        span = max(MIN_SPAN, now - self.began_at)
        seen_share: float = 1 - 0.5 ** (span / self.counted_rate.half_life)
        return self.counted_rate.per_second(now) / seen_share


def credible_demand(quick: float, steady: float) -> float:
    """Return a zone's demand: the steady rate, unless the quick one is off by more than chance.

    Requests that come by chance make a faded rate stray by the root of rate times ln 2 over twice its half-
    life: 8% of ten a second and 1% of a thousand.  A small zone is so not moved about by its own noise, and a
    surge in a large one is seen within a second.
    """
    deviation = math.sqrt(max(quick, steady) * LN2 / (2 * SHORT_TERM_HALF_LIFE))
    return quick if abs(quick - steady) > DEVIATIONS * deviation else steady
