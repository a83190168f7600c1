"""Quantiles of recent call durations, by a sketch that ages and takes censored values into account.

Buckets grow by a constant ratio, so each quantile has a bounded relative ``error`` (the idea of DDSketch,
Masson et al. 2019).  The duration of a cancelled call is censored: all that is known is that the call would
have taken longer.  Leaving such calls out would bias the quantiles towards calls that ended early; so they
are estimated from both kinds, as by Kaplan and Meier (1958).  Old values lose weight by forward decay
(Cormode et al. 2009): new values get a higher weight, and stored ones need no update as they age.
"""

from __future__ import annotations

from math import exp, inf, log

MIN_SECONDS, MAX_SECONDS = 1e-4, 60.0  # shorter and longer values share the outermost buckets
UPDATE_SHARE = 0.1  # share of the total weight that may be added before the quantiles are computed again
RESCALE_HALF_LIVES = 40  # age at which weights are scaled down, long before they overflow


class QuantileSketch:
    """Quantiles at fixed levels of values in seconds, whose weight halves with every half-life.

    Attributes:
        levels: Levels of the quantiles, ascending, from 0 to 1.
        half_life: Seconds in which the weight of a value halves.
        error: Relative error of a quantile.
        completed: Weight of the exact values in each bucket.
        censored: Weight of the censored values in each bucket.
        first_bucket: Index of the lowest bucket in use.
        epoch: Time at which a new value has weight 1.
        added_weight: Weight added since the quantiles were computed.
        curve: Values in seconds, ascending, each with the share of calls that take longer.
    """

    __slots__ = (
        "added_weight",
        "bucket_count",
        "cached_quantiles",
        "censored",
        "completed",
        "curve",
        "epoch",
        "error",
        "first_bucket",
        "half_life",
        "levels",
        "log_ratio",
        "total_weight",
    )

    def __init__(
        self, levels: tuple[float, ...] = (0.1, 0.5, 0.95), half_life: float = 8.0, error: float = 0.05
    ) -> None:
        self.levels, self.half_life, self.error = levels, half_life, error
        self.log_ratio = log((1 + error) / (1 - error))
        self.bucket_count = int(log(MAX_SECONDS / MIN_SECONDS) / self.log_ratio) + 2
        self.completed, self.censored = [0.0] * self.bucket_count, [0.0] * self.bucket_count
        self.total_weight, self.epoch, self.first_bucket = 0.0, 0.0, self.bucket_count
        self.added_weight, self.cached_quantiles = inf, tuple[float, ...]()
        self.curve: list[tuple[float, float]] = []

    def add(self, now: float, value: float, censored: bool = False) -> None:
        """Add a value.

        Args:
            now: The time, in seconds.
            value: The value, in seconds.
            censored: Whether the true value is longer, by an unknown time.
        """
        if now - self.epoch > RESCALE_HALF_LIVES * self.half_life:
            self._rescale(now)
        weight: float = 2.0 ** ((now - self.epoch) / self.half_life)
        bucket = (
            0
            if value <= MIN_SECONDS
            else min(self.bucket_count - 1, int(log(value / MIN_SECONDS) / self.log_ratio) + 1)
        )
        (self.censored if censored else self.completed)[bucket] += weight
        self.total_weight += weight
        self.added_weight += weight
        self.first_bucket = min(self.first_bucket, bucket)

    def _rescale(self, now: float) -> None:
        """Scale the weights so that a new value has weight 1; after a long pause the old ones become 0."""
        decay = 2.0 ** ((self.epoch - now) / self.half_life)
        self.completed = [weight * decay for weight in self.completed]
        self.censored = [weight * decay for weight in self.censored]
        self.total_weight, self.epoch, self.added_weight = self.total_weight * decay, now, inf

    def recent_count(self, now: float) -> float:
        """Return the number of new values that would have the same weight as all stored ones."""
        decay: float = 2.0 ** (min(0.0, self.epoch - now) / self.half_life)
        return self.total_weight * decay

    def quantiles(self) -> tuple[float, ...]:
        """Return the values at the levels, in seconds; infinite where too many values are censored.

        The first one is never infinite: in that case it is the longest stored value, a lower bound.  Calls
        that were all cancelled early must not look like a dependency that never replies.
        """
        if self.added_weight > UPDATE_SHARE * self.total_weight:
            self.cached_quantiles, self.added_weight = self._compute(), 0.0
        return self.cached_quantiles

    def survival_curve(self) -> list[tuple[float, float]]:
        """Return values in seconds, ascending, each with the share of calls that take longer."""
        self.quantiles()
        return self.curve

    def _compute(self) -> tuple[float, ...]:
        self.curve, remaining, surviving, longest = [], self.total_weight, 1.0, 0.0
        for bucket in range(self.first_bucket, self.bucket_count):
            completed = self.completed[bucket]
            if completed:
                surviving *= max(0.0, 1 - completed / remaining) if remaining > 0 else 0.0
                self.curve.append((self._bucket_value(bucket), surviving))
            # Values that are censored in a bucket were at risk when the others in it completed.
            if completed or self.censored[bucket]:
                longest = self._bucket_value(bucket)
            remaining -= completed + self.censored[bucket]
            if remaining <= 1e-12 * self.total_weight:
                break
        first, *rest = (
            next((value for value, surviving in self.curve if 1 - surviving >= level - 1e-12), inf)
            for level in self.levels
        )
        return (min(first, longest), *rest)

    def _bucket_value(self, bucket: int) -> float:
        """Return the middle of a bucket by ratio, within the relative error of all its values."""
        return (
            MIN_SECONDS
            if bucket == 0
            else MIN_SECONDS * exp((bucket - 1) * self.log_ratio) * (1 + self.error)
        )
