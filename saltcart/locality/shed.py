"""Which requests are turned away when a plan refuses a share of a zone's work: those that are worth least.

A plan knows of amounts alone, and every instance turns away the plan's share of its own requests.  So each
needs to know where, in the worths of what has come to it of late, that share ends: what is worth less is
refused, what is worth more is not, and of those at the border so many that the shares add up.
"""

from __future__ import annotations

import random

HALF_LIFE = 10.0  # seconds: how long a request counts for what comes to this instance
FEWEST = 5.0  # requests of late, below which the share is drawn by chance: their worths tell nothing yet
MOST_WORTHS = 64  # that are told apart; further ones count as the nearest


class Shed:
    """The worths of late, and who is turned away."""

    def __init__(self, rng: random.Random) -> None:
        self.rng = rng
        self.came: dict[float, float] = {}  # faded requests by worth
        self.at = 0.0
        self.worth_refused = 0.0

    def arrived(self, now: float, worth: float) -> None:
        if now > self.at:
            left = 0.5 ** ((now - self.at) / HALF_LIFE)
            self.came = {w: n * left for w, n in self.came.items() if n * left > 1e-3}
            self.at = now
        worth = self._known(worth)
        self.came[worth] = self.came.get(worth, 0.0) + 1

    def _known(self, worth: float) -> float:
        if worth in self.came or len(self.came) < MOST_WORTHS:
            return worth
        return min(self.came, key=lambda w: abs(w - worth))

    def refuses(self, worth: float, share: float) -> bool:
        """Whether a request that has arrived is among the share of 0 to 1 that is turned away."""
        refused = share > 0 and self.rng.random() < self.chance(worth, share)
        if refused:
            self.worth_refused += worth
        return refused

    def chance(self, worth: float, share: float) -> float:
        """The chance to be turned away with this worth: the least go first and the share is kept."""
        whole = sum(self.came.values())
        if whole < FEWEST:
            return share
        worth = self._known(worth)
        less = sum(n for w, n in self.came.items() if w < worth) / whole
        like = self.came.get(worth, 0.0) / whole
        if like <= 0:
            return 1.0 if less < share else 0.0
        return min(1.0, max(0.0, (share - less) / like))
