"""Who stands at the door how often: so that one source's crowd does not take the places of the others.

Nothing of a request is read yet, so a source is an address.  Its offers of late are held against an equal
part of what is let in; who is under that part is never made to wait for who is over it.
"""

from __future__ import annotations

from collections import OrderedDict

from saltcart.core.rate import LN2

HALF_LIFE = 3.0  # seconds
GONE = 12.0  # seconds without an offer after which a source is no longer counted
ROOM = 2048  # sources that are known; beyond them the one that has been away longest is forgotten
FEW = 3.0  # offers of late that are nobody's crowd


class Sources:
    """Faded counts of offers by source digest, the one heard last at the end."""

    def __init__(self) -> None:
        self.offers: OrderedDict[int, tuple[float, float]] = OrderedDict()  # faded count, and as of when

    def offered(self, now: float, source: int) -> float:
        """Count an offer; returns how many there were of late, this one included."""
        before, at = self.offers.pop(source, (0.0, now))
        count: float = before * 0.5 ** ((now - at) / HALF_LIFE) + 1
        self.offers[source] = count, now
        while self.offers:
            first, (_, heard) = next(iter(self.offers.items()))
            if now - heard <= GONE and len(self.offers) <= ROOM:
                break
            del self.offers[first]
        return count

    def part(self, rate: float) -> float:
        """An equal part of ``rate`` a second, as a faded count."""
        return max(FEW, rate * HALF_LIFE / LN2 / max(1, len(self.offers)))
