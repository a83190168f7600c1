"""Admission rate: limits the requests that are read per second, in proportion to the server's capacity.

A token bucket whose rate follows the capacity, which is lower while the server is cold.  It also limits
admission outside of storms, so that a flood is bounded before a storm is detected.  A request that is not
admitted is not read; it costs only a connection and a short response.
"""

from __future__ import annotations

from collections.abc import Callable

from saltcart.core.rate import DecayingRate

MIN_CALM_SHARE = 1.0  # of the capacity, admitted outside of storms
# Share of the cores' time that may be spent on reading.  Where reading is cheap, the decision module can
# choose among more requests than can run.
READING_CORE_SHARE = 0.2
MAX_READ_SHARE = 4.0  # of the capacity, admitted however cheap reading is
BURST_SECONDS = 1.0  # of the admission rate, which the bucket holds
MIN_BURST_TOKENS = 4.0  # which the bucket holds however low the capacity is
# Share of the capacity up to which requests of heavy sources are admitted while other requests wait.
MIN_UTILISATION_TARGET = 0.5
UTILISATION_STEP = 0.002  # up for each run completed while no request waits, down for each other run
MIN_LEFTOVER_SHARE = 0.05  # of the capacity, always available to heavy sources
# Tokens reserved for light sources: a heavy source is recognised only after some seconds.
LIGHT_SOURCE_TOKENS = 3.0
OTHERS_HALF_LIFE_SECONDS = 2.0


class AdmissionTokenBucket:
    """Token bucket for requests that are to be read.

    Heavy sources are admitted only from the leftover capacity, which the other sources don't use.
    """

    def __init__(
        self,
        storm_share: float,
        reading_share: float,
        capacity: Callable[[float], float],
        in_storm: Callable[[float], bool],
    ) -> None:
        """Create a bucket that holds ``MIN_BURST_TOKENS``.

        Args:
            storm_share: Minimum admission rate during a storm, as a multiple of the capacity.
            reading_share: Cost of reading a request, as a share of its work.
            capacity: Returns the requests per second that the server can serve at a time.
            in_storm: Returns whether a retry storm is in progress at a time.
        """
        cheap_reading_share = min(MAX_READ_SHARE, READING_CORE_SHARE / reading_share)
        self.storm_share = max(storm_share, cheap_reading_share)
        self.calm_share = max(MIN_CALM_SHARE, cheap_reading_share)
        self.capacity = capacity
        self.in_storm = in_storm
        self.tokens = MIN_BURST_TOKENS
        self.leftover_tokens = 1.0  # for requests of heavy sources, each of which also uses up a token
        self.filled_at = 0.0
        self.other_rate = DecayingRate(OTHERS_HALF_LIFE_SECONDS)  # admitted, without those of heavy sources
        self.utilisation_target = MIN_UTILISATION_TARGET  # share of the capacity up to which leftovers go
        self.admitted_count = 0
        self.rejected_count = 0

    def record_run(self, is_full: bool) -> None:
        """Record a completed run; ``is_full``: other requests were held meanwhile."""
        step = -UTILISATION_STEP if is_full else UTILISATION_STEP
        self.utilisation_target = min(1.0, max(MIN_UTILISATION_TARGET, self.utilisation_target + step))

    def admit(self, now: float, leftover_only: bool = False, heaviness: float = 0.0) -> bool:
        """Return whether one more request may be read, and use up its tokens if so.

        Args:
            now: Current time in seconds.
            leftover_only: Whether the request's source is heavy and limited to leftover capacity.
            heaviness: How close the source is to being heavy, from 0 to 1; the last tokens are reserved for
                light sources.
        """
        self._refill(now)
        is_short = self.tokens < 1 + LIGHT_SOURCE_TOKENS * heaviness
        if is_short or (leftover_only and self.leftover_tokens < 1):
            self.rejected_count += 1
            return False
        self.tokens -= 1
        if leftover_only:
            self.leftover_tokens -= 1
        else:
            self.other_rate.add(now)
        self.admitted_count += 1
        return True

    def charge(self, now: float) -> None:
        """Use up a token, if there is one, for a request that is read although it was not admitted."""
        self._refill(now)
        self.tokens = max(0.0, self.tokens - 1)

    def _refill(self, now: float) -> None:
        capacity = self.capacity(now)
        seconds = max(0.0, now - self.filled_at)
        rate = (self.storm_share if self.in_storm(now) else self.calm_share) * capacity
        unused = self.utilisation_target * capacity - self.other_rate.per_second(now)
        leftover_rate = max(MIN_LEFTOVER_SHARE * capacity, unused)
        self.tokens = min(max(MIN_BURST_TOKENS, BURST_SECONDS * rate), self.tokens + seconds * rate)
        max_leftover_tokens = max(1.0, BURST_SECONDS * leftover_rate)
        self.leftover_tokens = min(max_leftover_tokens, self.leftover_tokens + seconds * leftover_rate)
        self.filled_at = now
