"""Events a second of late, from a fading count of them."""

from __future__ import annotations

from math import log

LN2 = log(2)  # of a fading count: what it stands for is its half-life over this
MAX_HALVINGS = 1000.0  # beyond it nothing is left that a float holds


class DecayingRate:
    """Events a second, smoothed with a half-life in seconds."""

    __slots__ = ("half_life", "level", "updated_at")

    def __init__(self, half_life: float) -> None:
        self.half_life = half_life
        self.level = 0.0
        self.updated_at = 0.0

    def _fade(self, now: float) -> None:
        if now > self.updated_at:
            self.level *= 0.5 ** min(MAX_HALVINGS, (now - self.updated_at) / self.half_life)
            self.updated_at = now

    def add(self, now: float, weight: float = 1.0) -> None:
        """Count an event."""
        self._fade(now)
        self.level += weight

    def per_second(self, now: float) -> float:
        """Return the sum of faded weights over the time that they stand for."""
        self._fade(now)
        return self.level * LN2 / self.half_life
