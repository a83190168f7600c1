"""Statistics on request outcomes: decides whether enough were observed to call a zone or member unhealthy.

Requests are moved away from a zone only when even the upper bound of its success rate is poor (Wilson score
interval, E. B. Wilson 1927), and moved back only after a sequential probability ratio test has accepted that
it is healthy (A. Wald 1945).  Both depend on the number of outcomes rather than on time: a zone of five
instances is judged with the same confidence as one of five hundred, but later.
"""

from __future__ import annotations

import math
from collections.abc import Iterable, Mapping

# Seconds.  Two periods of a flapping zone still count; a burst of failures within a second counts little.
OUTCOME_HALF_LIFE = 4.0
MEMBER_HALF_LIFE = 10.0  # seconds, of an outcome of a single member
# Per member; lets a busy one be judged sooner, while the long half-life keeps the few outcomes of trials.
MAX_MEMBER_OUTCOMES = 12.0
MIN_MEMBER_OUTCOMES = 6.0  # a member with fewer outcomes is not judged
PRIOR_OUTCOMES = 2.0  # assumed for each member, at the typical duration
# Of the usual success share.  A zone or member whose upper bound is below it gets no requests.
POOR_SUCCESS_SHARE = 0.75
CONFIDENCE_DEVIATIONS = 3.0  # standard deviations between the estimate and the upper bound

# The hypotheses of the sequential test, by the share of bad outcomes.  10% still counts in favour of health.
HEALTHY_BAD_SHARE = 0.05
FAILING_BAD_SHARE = 0.30
GOOD_LOG_ODDS = math.log((1 - HEALTHY_BAD_SHARE) / (1 - FAILING_BAD_SHARE))  # added by a good outcome
BAD_LOG_ODDS = math.log(HEALTHY_BAD_SHARE / FAILING_BAD_SHARE)  # added by a bad one; cancels six good ones
PROVEN_LOG_ODDS = 9.0  # about thirty good outcomes; one failing zone in eight thousand is accepted as healthy
# After a long healthy time, one bad outcome leaves a zone's health proven.
MAX_LOG_ODDS = PROVEN_LOG_ODDS - BAD_LOG_ODDS
RECOVERY_START_LOG_ODDS = 1.0  # below it there is no evidence of health yet


def success_upper_bound(good: float, bad: float, deviations: float = CONFIDENCE_DEVIATIONS) -> float:
    """Return the upper bound of the success share by the Wilson score interval; 1 without any outcome."""
    count = good + bad
    if count <= 0:
        return 1.0
    squared = deviations * deviations
    root = math.sqrt(good * (bad / count) + squared / 4)
    return min(1.0, (good + squared / 2 + deviations * root) / (count + squared))


class OutcomeCounts:
    """Exponentially decayed counts of good and bad outcomes, and the sum of their durations in seconds."""

    __slots__ = ("bad", "good", "half_life", "max_count", "seconds", "updated_at")

    def __init__(self, half_life: float = OUTCOME_HALF_LIFE, max_count: float = math.inf) -> None:
        """Start without any outcome.

        Args:
            half_life: Half-life of an outcome, in seconds.
            max_count: Maximum sum of the counts; beyond it, older outcomes are scaled down.
        """
        self.good = 0.0
        self.bad = 0.0
        self.seconds = 0.0
        self.updated_at = 0.0
        self.half_life = half_life
        self.max_count = max_count

    def add(self, now: float, good: float, bad: float, seconds: float = 0.0) -> None:
        """Count outcomes whose durations sum up to ``seconds``."""
        self.decay(now)
        if self.good + self.bad + good + bad > self.max_count:
            self._scale(max(0.0, self.max_count - good - bad) / max(1.0, self.good + self.bad))
        self.good += good
        self.bad += bad
        self.seconds += seconds

    def decay(self, now: float) -> None:
        """Apply the decay since the last update."""
        if now > self.updated_at:
            self._scale(0.5 ** ((now - self.updated_at) / self.half_life))
            self.updated_at = now

    def _scale(self, factor: float) -> None:
        self.good *= factor
        self.bad *= factor
        self.seconds *= factor

    def mean_seconds(self, typical_duration: float = 0.0, prior_count: float = 0.0) -> float:
        """Return the mean duration of an outcome in seconds; 0 without any.

        Abandoned attempts count with the time until then, so that a slow member's worst outcomes raise its
        mean.

        Args:
            typical_duration: Duration of the assumed outcomes, in seconds.
            prior_count: Number of assumed outcomes; they keep a single slow one from deciding.
        """
        count = self.good + self.bad + prior_count
        return (self.seconds + prior_count * typical_duration) / count if count > 0 else 0.0


def typical_seconds(counts: Iterable[OutcomeCounts]) -> float:
    """Return the median of the members' mean durations in seconds; 0 while no good outcome is known."""
    durations = sorted(count.mean_seconds() for count in counts if count.good >= 1)
    # The lower median: where half of the members are slow, the others are typical.
    return durations[(len(durations) - 1) // 2] if durations else 0.0


def relative_speed(
    counts: OutcomeCounts, typical_duration: float, prior_count: float, slow_factor: float
) -> float:
    """Return a member's speed relative to the typical one; 1 unless it is slower by ``slow_factor``."""
    mean = counts.mean_seconds(typical_duration, prior_count)
    return typical_duration / mean if mean > slow_factor * typical_duration > 0 else 1.0


def capacity_shares(
    counts: Mapping[int, OutcomeCounts], slow_factor: float, min_success_share: float
) -> dict[int, float]:
    """Return the share of its nominal capacity that each member of a zone provides, from 0 to 1.

    Members with too few outcomes are left out.

    Args:
        counts: Outcomes by member position, summed over the zone's instances.
        slow_factor: Multiple of the typical duration from which slowness reduces the share.
        min_success_share: Success share below which a member's share is 0.
    """
    typical_duration = typical_seconds(counts.values())
    return {
        position: 0.0
        if success_upper_bound(count.good, count.bad) < min_success_share
        else round(relative_speed(count, typical_duration, PRIOR_OUTCOMES, slow_factor), 2)
        for position, count in sorted(counts.items())
        if count.good + count.bad >= MIN_MEMBER_OUTCOMES
    }


class SequentialTest:
    """Sequential probability ratio test of one zone's health.

    ``log_odds`` is the logarithm of the ratio of the outcomes' likelihoods if the zone is healthy and if it
    is failing.  It never falls below 0, so that good outcomes need not make up for each bad one of a long
    failure, and never rises above ``MAX_LOG_ODDS``, so that a long healthy time does not hide a new failure.
    """

    __slots__ = ("log_odds",)

    def __init__(self) -> None:
        self.log_odds = 0.0

    def add(self, good: int, bad: int) -> None:
        """Count outcomes of unknown order; good ones go first, so that the cap absorbs no bad one."""
        self.log_odds = min(MAX_LOG_ODDS, self.log_odds + good * GOOD_LOG_ODDS)
        self.log_odds = max(0.0, self.log_odds + bad * BAD_LOG_ODDS)
