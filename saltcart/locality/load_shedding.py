"""Load shedding by priority weight: decides which requests are rejected when a plan rejects a share of them.

A plan holds amounts only, and every instance rejects the plan's share of its own requests.  Each instance
therefore finds the threshold in the distribution of its recent requests' weights: requests below it are
rejected, those above it are admitted, and those at the threshold are rejected with the probability that makes
up the share.
"""

from __future__ import annotations

import random

ARRIVAL_HALF_LIFE = 10.0  # seconds, of a counted request
MIN_REQUESTS = 5.0  # decayed count; with fewer, requests are rejected at random, as too few weights are known
MAX_WEIGHTS = 64  # distinct weights that are counted; any other counts as the nearest one
NEGLIGIBLE_COUNT = 1e-3  # decayed requests; a weight with fewer is removed


class LoadShedder:
    """Distribution of recent requests' weights, and the decision which of them to reject."""

    def __init__(self, rng: random.Random) -> None:
        self.rng = rng
        self.weight_counts: dict[float, float] = {}  # decayed request count by weight
        self.updated_at = 0.0
        self.rejected_weight = 0.0

    def record_arrival(self, now: float, weight: float) -> None:
        """Count a request of this weight."""
        if now > self.updated_at:
            self._decay(0.5 ** ((now - self.updated_at) / ARRIVAL_HALF_LIFE))
            self.updated_at = now
        weight = self._nearest_known_weight(weight)
        self.weight_counts[weight] = self.weight_counts.get(weight, 0.0) + 1

    def _decay(self, factor: float) -> None:
        decayed = {weight: count * factor for weight, count in self.weight_counts.items()}
        self.weight_counts = {weight: count for weight, count in decayed.items() if count > NEGLIGIBLE_COUNT}

    def _nearest_known_weight(self, weight: float) -> float:
        if weight in self.weight_counts or len(self.weight_counts) < MAX_WEIGHTS:
            return weight
        return min(self.weight_counts, key=lambda known: abs(known - weight))

    def should_reject(self, weight: float, share: float) -> bool:
        """Whether to reject a request that was counted by ``record_arrival``.

        Args:
            weight: Priority weight of the request.
            share: Share of requests to reject, from 0 to 1.
        """
        rejected = share > 0 and self.rng.random() < self.rejection_probability(weight, share)
        if rejected:
            self.rejected_weight += weight
        return rejected

    def rejection_probability(self, weight: float, share: float) -> float:
        """Return the probability of rejecting this weight, so that the lowest weights make up the share."""
        total = sum(self.weight_counts.values())
        if total < MIN_REQUESTS:
            return share
        weight = self._nearest_known_weight(weight)
        lighter_share = sum(count for known, count in self.weight_counts.items() if known < weight) / total
        equal_share = self.weight_counts.get(weight, 0.0) / total
        if equal_share <= 0:
            return 1.0 if lighter_share < share else 0.0
        return min(1.0, max(0.0, (share - lighter_share) / equal_share))
