"""Source fairness: decayed counts of attempts per source, so that one source cannot crowd out the others.

Admission is decided before anything of a request is read, so a source is a client address.  The decayed
count of its attempts is compared with an equal share of the admission rate.  A source below its fair share
never has to wait for a source above it.
"""

from __future__ import annotations

from collections import OrderedDict

from saltcart.core.rate import LN2

HALF_LIFE_SECONDS = 3.0  # of an attempt's weight
SOURCE_IDLE_SECONDS = 12.0  # without an attempt, after which a source is no longer counted
MAX_SOURCES = 2048  # beyond this, the source with the oldest last attempt is dropped
MIN_FAIR_SHARE = 3.0  # decayed count of attempts that every source is granted


class SourceFairness:
    """Decayed attempt counts by source, ordered by the time of the last attempt."""

    def __init__(self) -> None:
        # Decayed count and time of the last attempt.
        self.attempts: OrderedDict[int, tuple[float, float]] = OrderedDict()

    def record_attempt(self, now: float, source: int) -> float:
        """Count an attempt of a source and return the source's decayed count, this attempt included."""
        previous_count, counted_at = self.attempts.pop(source, (0.0, now))
        count: float = previous_count * 0.5 ** ((now - counted_at) / HALF_LIFE_SECONDS) + 1
        self.attempts[source] = count, now
        while self.attempts:
            oldest, (_, last_attempt_at) = next(iter(self.attempts.items()))
            if now - last_attempt_at <= SOURCE_IDLE_SECONDS and len(self.attempts) <= MAX_SOURCES:
                break
            del self.attempts[oldest]
        return count

    def fair_share(self, rate: float) -> float:
        """Return each source's equal share of an admission rate, as a decayed count of attempts.

        Args:
            rate: Requests admitted per second.
        """
        return max(MIN_FAIR_SHARE, rate * HALF_LIFE_SECONDS / LN2 / max(1, len(self.attempts)))
