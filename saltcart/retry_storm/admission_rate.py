"""How many requests a second are read while a storm lasts: no more than can be run as well.

A token bucket whose rate follows the capacity, cold strength included.  It is there in calm times too, so
that a flood is bounded before anybody has called it a storm.  What it does not admit costs a connection and
a short answer, and nothing of it is read.
"""

from __future__ import annotations

from collections.abc import Callable

from saltcart.core.rate import DecayingRate

CALM_SHARE = 1.0  # of the capacity, admitted at least while there is no storm
READ_SHARE = 0.2  # of the cores may go into reading: where it is cheap the module chooses among more
MAX_SHARE = 4.0  # of the capacity, however cheap
BURST_SECONDS = 1.0  # of the rate, that may be saved
MIN_TOKENS = 4.0  # that may be saved, however weak the server
MIN_FILL_SHARE = 0.5  # of the capacity, up to which those who come last are admitted while others wait
FILL_STEP = 0.002  # more for each run that ends while nobody waits, less for each while somebody does
LEFTOVER_SHARE = 0.05  # of the capacity is theirs in any case
RESERVED_TOKENS = 3.0  # left to light sources: a crowd is told from them only after some seconds
OTHERS_HALF_LIFE = 2.0  # seconds


class AdmissionTokenBucket:
    """Admits requests to be read."""

    def __init__(
        self,
        storm_share: float,
        reading_share: float,
        capacity: Callable[[float], float],
        in_storm: Callable[[float], bool],
    ) -> None:
        """``storm_share``: what is admitted in a storm, of the capacity.

        ``capacity``: requests a second that the server does now; ``reading_share``: what reading a request
        costs, as a share of its work.
        """
        cheap_share = min(MAX_SHARE, READ_SHARE / reading_share)
        self.storm_share = max(storm_share, cheap_share)
        self.calm_share = max(CALM_SHARE, cheap_share)
        self.capacity = capacity
        self.in_storm = in_storm
        self.tokens = MIN_TOKENS
        self.leftover_tokens = 1.0  # of those who come last
        self.filled_at = 0.0
        self.other_rate = DecayingRate(OTHERS_HALF_LIFE)  # admitted, of those who don't come last
        self.fill_share = MIN_FILL_SHARE  # up to all of it, while nobody waits
        self.admitted_count = 0
        self.rejected_count = 0

    def record_run(self, full: bool) -> None:
        """Record a run that is over; ``full``: others waited for its slot."""
        step = -FILL_STEP if full else FILL_STEP
        self.fill_share = min(1.0, max(MIN_FILL_SHARE, self.fill_share + step))

    def admit(self, now: float, last: bool = False, weight: float = 0.0) -> bool:
        """Whether one more request may be read.

        ``last``: it only has what others leave.  ``weight``: how near its source is to being a crowd, 0 to 1;
        the last tokens are for those who come seldom.
        """
        self._fill(now)
        is_short = self.tokens < 1 + RESERVED_TOKENS * weight
        if is_short or (last and self.leftover_tokens < 1):
            self.rejected_count += 1
            return False
        self.tokens -= 1
        if last:
            self.leftover_tokens -= 1
        else:
            self.other_rate.add(now)
        self.admitted_count += 1
        return True

    def _fill(self, now: float) -> None:
        capacity = self.capacity(now)
        seconds = max(0.0, now - self.filled_at)
        rate = (self.storm_share if self.in_storm(now) else self.calm_share) * capacity
        unused = self.fill_share * capacity - self.other_rate.per_second(now)
        leftover_rate = max(LEFTOVER_SHARE * capacity, unused)
        self.tokens = min(max(MIN_TOKENS, BURST_SECONDS * rate), self.tokens + seconds * rate)
        most_leftover = max(1.0, BURST_SECONDS * leftover_rate)
        self.leftover_tokens = min(most_leftover, self.leftover_tokens + seconds * leftover_rate)
        self.filled_at = now
