"""A limit that many instances share, without leases: each takes its part by the demand that all report.

The parts of those who are counted add up to the whole, for each takes it by the very figure that it has
reported, not by what it would want now.  Who is not counted yet, or hears nothing, falls back to an equal
part, which it comes to gradually: a part that nobody has confirmed decays towards it.
"""

from __future__ import annotations

HALF_LIFE = 2.0  # seconds: how fast an unconfirmed part comes to the equal one
MAX_HALVINGS = 64.0  # beyond it nothing of an unconfirmed part is left
FLOOR_SHARE = 0.1  # of an equal part is anybody's, or who starts would never begin
BURST_SECONDS = 0.2  # of the rate, that may be saved


class SharedRateLimit:
    """One instance's part of one limit, in requests a second, as a token bucket."""

    def __init__(self, limit: float) -> None:
        self.limit = limit
        self.confirmed_rate = 0.0
        self.confirmed_at = float("-inf")
        self.tokens = 0.0
        self.filled_at = 0.0

    def confirm(self, now: float, reported: float, total: float, client_count: int) -> None:
        """Take this instance's part anew.

        ``reported``: the demand that it has reported; ``total``: the sum in which that is counted.
        """
        self._fill(now, client_count)
        equal_share = 1 / max(1, client_count)
        share = reported / total if total > 0 else equal_share
        self.confirmed_rate = self.limit * (
            (1 - FLOOR_SHARE) * min(1.0, share) + FLOOR_SHARE / max(1, client_count)
        )
        self.confirmed_at = now

    def rate(self, now: float, client_count: int) -> float:
        """Return the part now; since it was last confirmed it decays towards an equal one."""
        equal_rate = self.limit / max(1, client_count)
        halvings = max(0.0, now - self.confirmed_at) / HALF_LIFE
        left: float = 0.5 ** min(MAX_HALVINGS, halvings)
        return equal_rate + (self.confirmed_rate - equal_rate) * left

    def take(self, now: float, client_count: int) -> bool:
        """Whether one more request fits."""
        self._fill(now, client_count)
        if self.tokens < 1:
            return False
        self.tokens -= 1
        return True

    def _fill(self, now: float, client_count: int) -> None:
        """Keep what has come in at the part that held until now, for the part may change."""
        rate = self.rate(now, client_count)
        filled = self.tokens + max(0.0, now - self.filled_at) * rate
        self.tokens = min(max(1.0, rate * BURST_SECONDS), filled)
        self.filled_at = now
