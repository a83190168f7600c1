"""Estimates demand in requests per second and distinguishes real changes from random variation."""

from __future__ import annotations

import math

from saltcart.core.rate import LN2, DecayingRate

# Half-lives, in seconds, of the two rates that each instance reports.
SHORT_TERM_HALF_LIFE = 6.0
LONG_TERM_HALF_LIFE = 24.0
MIN_SPAN = 1.0  # seconds; a rate over a shorter time is mostly random
SIGNIFICANT_DEVIATIONS = 3.0  # standard deviations between the two rates before the short-term one is used


class DemandEstimator:
    """Exponentially decayed request rate that is corrected for a short history.

    Without the correction, an instance that has just started would report too little, and its zone's
    requests would be planned into a zone without the capacity for them.
    """

    def __init__(self, half_life: float) -> None:
        """Start without any request counted.

        Args:
            half_life: Half-life of a counted request, in seconds.
        """
        self.counted_rate = DecayingRate(half_life)
        self.started_at: float | None = None

    def add(self, now: float) -> None:
        """Count a request."""
        if self.started_at is None:
            self.started_at = now
        self.counted_rate.add(now)

    def rate(self, now: float) -> float:
        """Return the estimated rate in requests per second."""
        if self.started_at is None:
            return 0.0
        span = max(MIN_SPAN, now - self.started_at)
        observed_share: float = 1 - 0.5 ** (span / self.counted_rate.half_life)
        return self.counted_rate.per_second(now) / observed_share


def credible_demand(short_term: float, long_term: float) -> float:
    """Return a zone's demand: the long-term rate, unless the short-term one differs significantly from it.

    With randomly arriving requests, the standard deviation of a decayed rate is the square root of
    rate * ln 2 / (2 * half-life): about 8% at ten requests per second and 1% at a thousand.  Random variation
    therefore moves no requests of a small zone, while a surge in a large zone is noticed within a second.

    Args:
        short_term: Rate with the short half-life, in requests per second.
        long_term: Rate with the long half-life, in requests per second.
    """
    deviation = math.sqrt(max(short_term, long_term) * LN2 / (2 * SHORT_TERM_HALF_LIFE))
    return short_term if abs(short_term - long_term) > SIGNIFICANT_DEVIATIONS * deviation else long_term
