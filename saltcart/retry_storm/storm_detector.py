"""Detects a retry storm: from attempts that come again after a rejection, beside the work that is new.

A surge of new work is none, however large: what tells a storm is the same work coming again.
"""

from __future__ import annotations

import enum

from saltcart.core.rate import LN2, DecayingRate

HALF_LIFE = 0.5  # seconds: a cold server has no more time than this to find out
SLOW_FACTOR = 4  # times the half-life, of the offers that tell the end: it must not be chance
BEGIN_SHARE = 0.3  # of what is read that came again: a storm begins
END_SHARE = 0.1  # of it: a storm goes on
MIN_RETRIES = 4.0  # faded, before their share tells anything
MIN_DEVIATIONS = 3.0  # by which offers must stand out of the chance of small numbers
FLOOD_FACTOR = 1.5  # times the capacity, offered
FLOOD_REJECTED_SHARE = 0.4  # of what is read
OVERLOAD_FACTOR = 1.15  # times the capacity: as long as more is offered the storm goes on
QUIET_SECONDS = 2.0  # without a sign, after which a storm has ended
MIN_NEW_SHARE = 0.01  # of what is read, in the estimate of amplification


class StormState(enum.Enum):
    """Whether a storm is under way."""

    CALM = "calm"
    STORM = "storm"


class StormDetector:
    """The state, with hysteresis: a storm begins within half a second and ends after some quiet ones.

    Two signs begin it: a good part of what is read has been rejected here before, or what is offered is far
    beyond the capacity and much of it is rejected, which a server that has only just started can tell by
    itself.
    """

    def __init__(self) -> None:
        self.offered_rate = DecayingRate(HALF_LIFE)
        self.read_rate = DecayingRate(HALF_LIFE)
        self.retry_rate = DecayingRate(HALF_LIFE)
        self.rejected_rate = DecayingRate(HALF_LIFE)
        self.slow_offered_rate = DecayingRate(SLOW_FACTOR * HALF_LIFE)
        self.state = StormState.CALM
        self.sign_at = 0.0
        self.storm_count = 0

    def record_offer(self, now: float) -> None:
        """Count an attempt, whether or not it will be read."""
        self.offered_rate.add(now)
        self.slow_offered_rate.add(now)

    def record_arrival(self, now: float, is_retry: bool) -> None:
        """Count an attempt that was read."""
        self.read_rate.add(now)
        if is_retry:
            self.retry_rate.add(now)

    def record_rejection(self, now: float) -> None:
        """Count an attempt that was rejected."""
        self.rejected_rate.add(now)

    def update(self, now: float, capacity: float) -> StormState:
        """Return the state now; ``capacity``: requests a second that this server can do now."""
        if self._has_begun(now, capacity):
            self.storm_count += self.state is StormState.CALM
            self.state = StormState.STORM
            self.sign_at = now
        elif self.state is StormState.STORM:
            is_overloaded = self.slow_offered_rate.per_second(now) > OVERLOAD_FACTOR * capacity
            if is_overloaded or self.retry_share(now) > END_SHARE:
                self.sign_at = now
            elif now - self.sign_at >= QUIET_SECONDS:
                self.state = StormState.CALM
        return self.state

    def _has_begun(self, now: float, capacity: float) -> bool:
        is_flooded = self.is_flooded(now, capacity)
        has_retries = self.retry_share(now) >= BEGIN_SHARE and self.retry_rate.decayed_count >= MIN_RETRIES
        return has_retries or (is_flooded and self._is_rejecting_flood(now, capacity))

    def _is_rejecting_flood(self, now: float, capacity: float) -> bool:
        read = self.read_rate.per_second(now)
        if read <= 0:
            return False
        usual_offers = capacity * HALF_LIFE / LN2  # that the capacity stands for, faded
        excess = self.offered_rate.decayed_count - usual_offers
        if excess < MIN_DEVIATIONS * max(1.0, usual_offers) ** 0.5:
            return False
        return self.rejected_rate.per_second(now) >= FLOOD_REJECTED_SHARE * read

    def is_flooded(self, now: float, capacity: float) -> bool:
        """Whether far more is offered than can be done, storm or not."""
        return self.offered_rate.per_second(now) >= FLOOD_FACTOR * capacity

    def retry_share(self, now: float) -> float:
        """Return the share of what was read of late that had been rejected here before."""
        read = self.read_rate.per_second(now)
        return min(1.0, self.retry_rate.per_second(now) / read) if read > 0 else 0.0

    def amplification(self, now: float) -> float:
        """Return attempts for each piece of new work: of those read, and those unread taken for alike."""
        return 1 / max(MIN_NEW_SHARE, 1 - self.retry_share(now))

    def new_rate(self, now: float) -> float:
        """Return new work a second, among what is offered."""
        offered = max(self.offered_rate.per_second(now), self.read_rate.per_second(now))
        return offered * (1 - self.retry_share(now))
