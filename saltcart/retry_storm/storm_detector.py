"""Detector of retry storms: compares the rate of retries after rejections with the rate of new requests.

A surge of new requests is no retry storm, however large.  A storm consists of the same requests sent again.
"""

from __future__ import annotations

import enum

from saltcart.core.rate import LN2, DecayingRate

HALF_LIFE_SECONDS = 0.5  # short enough for a cold server to detect a storm within half a second
SLOW_HALF_LIFE_FACTOR = 4  # for detecting the end of a storm, which must not rest on random variation
ENTER_RETRY_SHARE = 0.3  # share of retries among the attempts read at which a storm begins
EXIT_RETRY_SHARE = 0.1  # share of retries above which a storm continues
MIN_RETRIES = 4.0  # decayed count of retries below which their share is not significant
MIN_DEVIATIONS = 3.0  # standard deviations by which a flood must exceed the usual number of attempts
FLOOD_FACTOR = 1.5  # offered load of a flood, as a multiple of the capacity
FLOOD_REJECTED_SHARE = 0.4  # share of rejections among the attempts read at which a flood begins a storm
OVERLOAD_FACTOR = 1.15  # offered load above which a storm continues, as a multiple of the capacity
QUIET_SECONDS = 2.0  # without any sign of a storm, after which it has ended
MIN_NEW_SHARE = 0.01  # assumed share of new requests at least, which bounds the retry amplification


class StormState(enum.Enum):
    """Whether a retry storm is in progress."""

    CALM = "calm"
    STORM = "storm"


class StormDetector:
    """Detects the begin and the end of a retry storm, with hysteresis.

    A storm begins within half a second of either of two signs: a large share of the attempts read are
    retries of requests that this server rejected, or the offered load far exceeds the capacity and much of
    it is rejected.  The second sign needs no history, so a server that has just started detects it too.  The
    storm ends after some seconds without any sign.
    """

    def __init__(self) -> None:
        self.offered_rate = DecayingRate(HALF_LIFE_SECONDS)
        self.read_rate = DecayingRate(HALF_LIFE_SECONDS)
        self.retry_rate = DecayingRate(HALF_LIFE_SECONDS)
        self.rejected_rate = DecayingRate(HALF_LIFE_SECONDS)
        self.slow_offered_rate = DecayingRate(SLOW_HALF_LIFE_FACTOR * HALF_LIFE_SECONDS)
        self.state = StormState.CALM
        self.last_sign_at = 0.0
        self.storm_count = 0

    def record_attempt(self, now: float) -> None:
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
        """Update the state and return it.

        Args:
            now: Current time in seconds.
            capacity: Requests per second that this server can serve now.
        """
        if self._has_begun(now, capacity):
            self.storm_count += self.state is StormState.CALM
            self.state = StormState.STORM
            self.last_sign_at = now
        elif self.state is StormState.STORM:
            is_overloaded = self.slow_offered_rate.per_second(now) > OVERLOAD_FACTOR * capacity
            if is_overloaded or self.retry_share(now) > EXIT_RETRY_SHARE:
                self.last_sign_at = now
            elif now - self.last_sign_at >= QUIET_SECONDS:
                self.state = StormState.CALM
        return self.state

    def _has_begun(self, now: float, capacity: float) -> bool:
        is_flooded = self.is_flooded(now, capacity)
        has_retries = (
            self.retry_share(now) >= ENTER_RETRY_SHARE and self.retry_rate.decayed_count >= MIN_RETRIES
        )
        return has_retries or (is_flooded and self._is_rejecting_flood(now, capacity))

    def _is_rejecting_flood(self, now: float, capacity: float) -> bool:
        read = self.read_rate.per_second(now)
        if read <= 0:
            return False
        usual_attempts = (
            capacity * HALF_LIFE_SECONDS / LN2
        )  # decayed count at an offered load of the capacity
        excess = self.offered_rate.decayed_count - usual_attempts
        if excess < MIN_DEVIATIONS * max(1.0, usual_attempts) ** 0.5:
            return False
        return self.rejected_rate.per_second(now) >= FLOOD_REJECTED_SHARE * read

    def is_flooded(self, now: float, capacity: float) -> bool:
        """Return whether the offered load far exceeds the capacity, in a storm or not."""
        return self.offered_rate.per_second(now) >= FLOOD_FACTOR * capacity

    def retry_share(self, now: float) -> float:
        """Return the share of retries after rejections by this server among the attempts read."""
        read = self.read_rate.per_second(now)
        return min(1.0, self.retry_rate.per_second(now) / read) if read > 0 else 0.0

    def amplification(self, now: float) -> float:
        """Return the retry amplification: attempts per new request.

        Attempts that were not read are assumed to hold the same share of retries as those that were.
        """
        return 1 / max(MIN_NEW_SHARE, 1 - self.retry_share(now))

    def new_request_rate(self, now: float) -> float:
        """Return the estimated new requests per second in the offered load."""
        offered = max(self.offered_rate.per_second(now), self.read_rate.per_second(now))
        return offered * (1 - self.retry_share(now))
