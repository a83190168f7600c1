"""Event rates from exponentially decaying counts."""

from __future__ import annotations

from math import log

LN2 = log(2)  # a decaying count equals the event rate times its half-life over LN2
MAX_HALVINGS = 1000.0  # beyond these the decay factor is below the range of a float


class DecayingRate:
    """Events a second, as an exponentially decaying count with a half-life in seconds."""

    __slots__ = ("decayed_count", "half_life", "updated_at")

    def __init__(self, half_life: float) -> None:
        self.half_life = half_life
        self.decayed_count = 0.0
        self.updated_at = 0.0

    def _decay(self, now: float) -> None:
        if now > self.updated_at:
            self.decayed_count *= 0.5 ** min(MAX_HALVINGS, (now - self.updated_at) / self.half_life)
            self.updated_at = now

    def add(self, now: float, weight: float = 1.0) -> None:
        """Count an event at time ``now`` with this weight."""
        self._decay(now)
        self.decayed_count += weight

    def per_second(self, now: float) -> float:
        """Return the rate of event weights a second, decayed to ``now``."""
        self._decay(now)
        return self.decayed_count * LN2 / self.half_life
