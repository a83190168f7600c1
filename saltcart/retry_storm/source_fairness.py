"""Which source offers how much: so that one source's crowd does not take the places of the others.

Nothing of a request is read yet, so a source is an address.  Its offers of late are held against an equal
part of what is admitted; who is under that part is never made to wait for who is over it.
"""

from __future__ import annotations

from collections import OrderedDict

from saltcart.core.rate import LN2

HALF_LIFE = 3.0  # seconds, of an offer
FORGET_SECONDS = 12.0  # without an offer, after which a source is no longer counted
MAX_SOURCES = 2048  # that are known; beyond them the one that has been away longest is forgotten
MIN_PART = 3.0  # offers of late that are nobody's crowd


class SourceFairness:
    """Faded counts of offers by source digest, the one heard last at the end."""

    def __init__(self) -> None:
        self.offers: OrderedDict[int, tuple[float, float]] = OrderedDict()  # faded count, and as of when

    def record_offer(self, now: float, source: int) -> float:
        """Count an offer; returns how many there were of late, this one included."""
        before, at = self.offers.pop(source, (0.0, now))
        count: float = before * 0.5 ** ((now - at) / HALF_LIFE) + 1
        self.offers[source] = count, now
        while self.offers:
            oldest, (_, heard_at) = next(iter(self.offers.items()))
            if now - heard_at <= FORGET_SECONDS and len(self.offers) <= MAX_SOURCES:
                break
            del self.offers[oldest]
        return count

    def equal_part(self, rate: float) -> float:
        """Return an equal part of ``rate`` a second, as a faded count."""
        return max(MIN_PART, rate * HALF_LIFE / LN2 / max(1, len(self.offers)))
