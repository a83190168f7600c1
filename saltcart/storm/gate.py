"""How many requests a second are read while a storm lasts: no more than can be run as well.

A token bucket whose rate follows the capacity, cold strength included.  It is there in calm times too, so
that a flood is bounded before anybody has called it a storm.  What it does not let in costs a connection
and a short answer, and nothing of it is read.
"""

from __future__ import annotations

from collections.abc import Callable

from saltcart.core.rate import FadingRate

CALM = 1.0  # of the capacity, let in at least while there is no storm
READ_SHARE = 0.2  # of the cores may go into reading: where it is cheap the module chooses among more
MOST = 4.0  # of the capacity, however cheap
BURST = 1.0  # seconds' worth that may be saved
FEWEST = 4.0  # tokens that may be saved, however weak the server
FILLED = 0.5  # of the capacity, up to which those who come last are let in where the others wait for it
FILL_STEP = 0.002  # more for each run that ends while nobody waits, less for each while somebody does
SOME = 0.05  # of the capacity is theirs in any case
SPARED = 3.0  # tokens that are left to light sources: a crowd is told from them only after some seconds


class Gate:
    """``over``: what is let in, of the capacity; ``capacity``: requests a second that the server does now.

    ``reading``: what reading a request costs, as a share of its work.
    """

    def __init__(
        self, over: float, reading: float, capacity: Callable[[float], float], storm: Callable[[float], bool]
    ) -> None:
        cheap = min(MOST, READ_SHARE / reading)
        self.over, self.calm, self.capacity, self.storm = max(over, cheap), max(CALM, cheap), capacity, storm
        self.tokens, self.spare, self.at = FEWEST, 1.0, 0.0
        self.others = FadingRate(2.0)  # let in, of those who don't come last
        self.filled = FILLED  # up to all of it, while nobody waits
        self.passed = self.stopped = 0

    def run_ended(self, full: bool) -> None:
        """A run is over; ``full``: others waited for its place."""
        step = -FILL_STEP if full else FILL_STEP
        self.filled = min(1.0, max(FILLED, self.filled + step))

    def admits(self, now: float, last: bool = False, weight: float = 0.0) -> bool:
        """May one more request be read?

        ``last``: it only has what others leave.  ``weight``: how near its source is to being a crowd, 0 to 1;
        the last tokens are for those who come seldom.
        """
        capacity, passed = self.capacity(now), max(0.0, now - self.at)
        rate = (self.over if self.storm(now) else self.calm) * capacity
        left = max(SOME * capacity, self.filled * capacity - self.others.per_second(now))
        self.tokens = min(max(FEWEST, BURST * rate), self.tokens + passed * rate)
        self.spare = min(max(1.0, BURST * left), self.spare + passed * left)
        self.at = now
        if self.tokens < 1 + SPARED * weight or (last and self.spare < 1):
            self.stopped += 1
            return False
        self.tokens -= 1
        if last:
            self.spare -= 1
        else:
            self.others.add(now)
        self.passed += 1
        return True
