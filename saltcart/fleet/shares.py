"""A limit that many instances share, without leases: each takes its part by the demand that all have told.

The parts of those who are counted add up to the whole, for each takes it by the very figure that it has told,
not by what it would want now.  Who is not counted yet, or hears nothing, falls back to an equal part,
which it comes to gradually: a part that nobody has confirmed decays towards it.
"""

from __future__ import annotations

HALF_LIFE = 2.0  # seconds: how fast an unconfirmed part comes to the equal one


FLOOR = 0.1  # of an equal part is anybody's, or who starts would never begin
BURST = 0.2  # seconds' worth that may be saved


class Share:
    """One instance's part of one limit, in requests a second."""

    def __init__(self, limit: float) -> None:
        self.limit = limit
        self.part, self.at = 0.0, float("-inf")  # what was confirmed last, and when
        self.tokens, self.filled_at = 0.0, 0.0

    def confirm(self, now: float, told: float, total: float, clients: int) -> None:
        """``told``: the demand that this one has told; ``total``: the sum in which it is counted."""
        self._fill(now, clients)
        fair = told / total if total > 0 else 1 / max(1, clients)
        self.part = self.limit * ((1 - FLOOR) * min(1.0, fair) + FLOOR / max(1, clients))
        self.at = now

    def rate(self, now: float, clients: int) -> float:
        """The part now; since it was last confirmed it decays towards an equal one."""
        equal = self.limit / max(1, clients)
        left: float = 0.5 ** min(64.0, max(0.0, now - self.at) / HALF_LIFE)
        return equal + (self.part - equal) * left

    def take(self, now: float, clients: int) -> bool:
        """Whether one more request fits."""
        self._fill(now, clients)
        if self.tokens < 1:
            return False
        self.tokens -= 1
        return True

    def _fill(self, now: float, clients: int) -> None:
        """What has come in at the part that held until now is kept when the part changes."""
        rate = self.rate(now, clients)
        self.tokens = min(max(1.0, rate * BURST), self.tokens + max(0.0, now - self.filled_at) * rate)
        self.filled_at = now
