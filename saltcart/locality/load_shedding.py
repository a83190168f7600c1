"""Which requests are rejected when a plan rejects a share of a zone's work: those of the least weight.

A plan knows of amounts alone, and every instance rejects the plan's share of its own requests.  So each needs
to know where, in the weights of what has come to it of late, that share ends: what weighs less is rejected,
what weighs more is not, and of those at the border so many that the shares add up.
"""

from __future__ import annotations

import random

HALF_LIFE = 10.0  # seconds: how long a request counts for what comes to this instance
MIN_REQUESTS = 5.0  # of late, below which the share is drawn by chance: their weights tell nothing yet
MAX_WEIGHTS = 64  # that are told apart; further ones count as the nearest
NEGLIGIBLE = 1e-3  # of a request: less is forgotten


class LoadShedder:
    """The weights of late, and who is rejected."""

    def __init__(self, rng: random.Random) -> None:
        self.rng = rng
        self.weight_counts: dict[float, float] = {}  # faded requests by weight
        self.updated_at = 0.0
        self.rejected_weight = 0.0

    def record_arrival(self, now: float, weight: float) -> None:
        """Count a request of this weight."""
        if now > self.updated_at:
            self._fade(0.5 ** ((now - self.updated_at) / HALF_LIFE))
            self.updated_at = now
        weight = self._nearest_known(weight)
        self.weight_counts[weight] = self.weight_counts.get(weight, 0.0) + 1

    def _fade(self, left: float) -> None:
        faded = {weight: count * left for weight, count in self.weight_counts.items()}
        self.weight_counts = {weight: count for weight, count in faded.items() if count > NEGLIGIBLE}

    def _nearest_known(self, weight: float) -> float:
        if weight in self.weight_counts or len(self.weight_counts) < MAX_WEIGHTS:
            return weight
        return min(self.weight_counts, key=lambda known: abs(known - weight))

    def should_reject(self, weight: float, share: float) -> bool:
        """Whether a request that has arrived is among the share, 0 to 1, that is rejected."""
        rejected = share > 0 and self.rng.random() < self.chance(weight, share)
        if rejected:
            self.rejected_weight += weight
        return rejected

    def chance(self, weight: float, share: float) -> float:
        """Return the chance to be rejected with this weight: the least go first and the share is kept."""
        whole = sum(self.weight_counts.values())
        if whole < MIN_REQUESTS:
            return share
        weight = self._nearest_known(weight)
        lighter = sum(count for known, count in self.weight_counts.items() if known < weight) / whole
        equal = self.weight_counts.get(weight, 0.0) / whole
        if equal <= 0:
            return 1.0 if lighter < share else 0.0
        return min(1.0, max(0.0, (share - lighter) / equal))
