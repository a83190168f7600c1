"""A rate limit that instances share without leases: each gets a share in proportion to its reported demand.

The shares of all counted instances add up to the limit, because each instance computes its share from
exactly the demand that it has reported, and not from its current demand.  An instance that is not counted
yet, or that receives no totals, falls back to an equal share.  It gets there gradually: a rate that is no
longer confirmed decays towards the equal share.
"""

from __future__ import annotations

HALF_LIFE = 2.0  # seconds; decay of an unconfirmed rate towards the equal share
MAX_HALVINGS = 64.0  # after these, nothing of an unconfirmed rate is left
# Part of an equal share that each instance gets even without demand.  Without it, an instance that has just
# started could never send its first requests.
GUARANTEED_SHARE = 0.1
BURST_SECONDS = 0.2  # maximum of the saved tokens, in seconds of the rate


class SharedRateLimit:
    """One instance's share of a rate limit, as a token bucket."""

    def __init__(self, limit: float) -> None:
        """Start with an equal share and without tokens.

        Args:
            limit: The limit of all instances together, in requests per second.
        """
        self.limit = limit
        self.confirmed_rate = 0.0
        self.confirmed_at = float("-inf")
        self.tokens = 0.0
        self.refilled_at = 0.0

    def confirm(self, now: float, reported_demand: float, total_demand: float, client_count: int) -> None:
        """Set this instance's share from a published total.

        Args:
            now: Monotonic time in seconds.
            reported_demand: Demand that this instance has reported, in requests per second.
            total_demand: Sum of all instances' reported demand, which includes that of this instance.
            client_count: Number of instances that share the limit.
        """
        self._refill(now, client_count)
        equal_share = 1 / max(1, client_count)
        share = reported_demand / total_demand if total_demand > 0 else equal_share
        self.confirmed_rate = self.limit * (
            (1 - GUARANTEED_SHARE) * min(1.0, share) + GUARANTEED_SHARE / max(1, client_count)
        )
        self.confirmed_at = now

    def rate(self, now: float, client_count: int) -> float:
        """Return this instance's current share of the limit, in requests per second."""
        equal_rate = self.limit / max(1, client_count)
        halvings = max(0.0, now - self.confirmed_at) / HALF_LIFE
        remaining_part: float = 0.5 ** min(MAX_HALVINGS, halvings)
        return equal_rate + (self.confirmed_rate - equal_rate) * remaining_part

    def take(self, now: float, client_count: int) -> bool:
        """Take a token for one request; return False if there is none."""
        self._refill(now, client_count)
        if self.tokens < 1:
            return False
        self.tokens -= 1
        return True

    def _refill(self, now: float, client_count: int) -> None:
        """Add the tokens since the last refill at the current rate; called before that rate changes."""
        rate = self.rate(now, client_count)
        tokens = self.tokens + max(0.0, now - self.refilled_at) * rate
        self.tokens = min(max(1.0, rate * BURST_SECONDS), tokens)
        self.refilled_at = now
