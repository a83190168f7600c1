"""How long a dependency has lately needed: a quantile sketch that ages and knows of calls that were cut off.

Buckets grow by a constant ratio, so each quantile is right to a relative ``error`` (the idea of DDSketch,
Masson et al. 2019).  A call given up tells only that it would have taken longer; leaving it out would leave
the survivors, so quantiles are those of Kaplan and Meier (1958) over both kinds.  Old values count for less
by forward decay (Cormode et al. 2009): a new one weighs more, and nothing is touched again for its age.
"""

from __future__ import annotations

from math import exp, inf, log

LOW, HIGH = 1e-4, 60.0  # seconds: what is shorter or longer is told apart no further
STALE = 0.1  # share of the weight that may come in before the quantiles are worked out again
HEAVY = 40  # half-lives after which weights are scaled down, far from where they overflow


class QuantileSketch:
    """Quantiles at fixed ``levels`` of values in seconds, each value halved in weight every ``half_life``."""

    __slots__ = (
        "cached",
        "censored",
        "completed",
        "curve",
        "error",
        "first",
        "fresh",
        "half_life",
        "levels",
        "log_ratio",
        "since",
        "size",
        "total",
    )

    def __init__(
        self, levels: tuple[float, ...] = (0.1, 0.5, 0.95), half_life: float = 8.0, error: float = 0.05
    ) -> None:
        self.levels, self.half_life, self.error = levels, half_life, error
        self.log_ratio = log((1 + error) / (1 - error))
        self.size = int(log(HIGH / LOW) / self.log_ratio) + 2
        self.completed, self.censored = [0.0] * self.size, [0.0] * self.size
        self.total, self.since, self.first = 0.0, 0.0, self.size
        self.fresh, self.cached = inf, tuple[float, ...]()
        self.curve: list[tuple[float, float]] = []  # values, and the share of calls that take longer

    def add(self, now: float, value: float, censored: bool = False) -> None:
        """A value came at ``now``; ``cut``: the true one is longer, by an unknown time."""
        if now - self.since > HEAVY * self.half_life:
            self._scale(now)
        weight: float = 2.0 ** ((now - self.since) / self.half_life)
        at = 0 if value <= LOW else min(self.size - 1, int(log(value / LOW) / self.log_ratio) + 1)
        (self.censored if censored else self.completed)[at] += weight
        self.total += weight
        self.fresh += weight
        self.first = min(self.first, at)

    def _scale(self, now: float) -> None:
        """Old weights to what they are worth now; after a long rest that is nothing at all."""
        fade = 2.0 ** ((self.since - now) / self.half_life)
        self.completed = [w * fade for w in self.completed]
        self.censored = [w * fade for w in self.censored]
        self.total, self.since, self.fresh = self.total * fade, now, inf

    def recent_count(self, now: float) -> float:
        """How many recent values the evidence amounts to."""
        fade: float = 2.0 ** (min(0.0, self.since - now) / self.half_life)
        return self.total * fade

    def quantiles(self) -> tuple[float, ...]:
        """The values at the levels, in seconds; infinite where too much was cut off to tell.

        The first is then the longest that any was waited for: it takes that long at least, and more is not
        known.  Calls that were all cut off early must not pass for a dependency that never replies.
        """
        if self.fresh > STALE * self.total:
            self.cached, self.fresh = self._work_out(), 0.0
        return self.cached

    def survival_curve(self) -> list[tuple[float, float]]:
        """The curve itself: ascending values in seconds, each with the share of calls that take longer."""
        self.quantiles()
        return self.curve

    def _work_out(self) -> tuple[float, ...]:
        self.curve, left, alive, longest = [], self.total, 1.0, 0.0
        for at in range(self.first, self.size):
            ended = self.completed[at]
            if ended:
                alive *= max(0.0, 1 - ended / left) if left > 0 else 0.0
                self.curve.append((self._value(at), alive))
            # Cut at the same length as others ended: it was there until then.
            if ended or self.censored[at]:
                longest = self._value(at)
            left -= ended + self.censored[at]
            if left <= 1e-12 * self.total:
                break
        first, *rest = (
            next((value for value, alive in self.curve if 1 - alive >= level - 1e-12), inf)
            for level in self.levels
        )
        return (min(first, longest), *rest)

    def _value(self, at: int) -> float:
        """The middle of a bucket by ratio, which is right to ``error`` for all in it."""
        return LOW if at == 0 else LOW * exp((at - 1) * self.log_ratio) * (1 + self.error)
