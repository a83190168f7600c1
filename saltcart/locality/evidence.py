"""How much the outcomes of a zone's requests prove: few of them prove little, however they ended.

Work is taken from a zone only when even the kindest reading of what was seen is poor (the upper end of
Wilson's interval, E. B. Wilson 1927), and given back only after a sequential test has found for health (A.
Wald 1945). Both count outcomes, not seconds: a zone of five instances is judged as surely as one of five
hundred, only later.
"""

from __future__ import annotations

import math
from collections.abc import Iterable, Mapping

HALF_LIFE = 4.0  # seconds, of an outcome; two beats of a flap show, a second's burst is little
MEMBER_HALF_LIFE = 10.0  # seconds: the same for one member; but of its outcomes only so many of the last
MAX_MEMBER_OUTCOMES = 12.0  # ones count, so that a busy member is judged sooner and a tried one not forgotten
MIN_MEMBER_OUTCOMES = 6.0  # of a member, below which they say nothing of it
PRIOR_OUTCOMES = 2.0  # at the typical speed that are taken for seen of each member
POOR_SHARE = 0.75  # of the usual share of good ones: who has less, however kindly read, gets no work
DEVIATIONS = 3.0  # of the estimate from the truth, that are allowed for

# The two zones that the test tells apart, by the share of bad outcomes; 10% still speaks for health.
HEALTHY_BAD_SHARE = 0.05
FAILING_BAD_SHARE = 0.30
GOOD_LOG_ODDS = math.log((1 - HEALTHY_BAD_SHARE) / (1 - FAILING_BAD_SHARE))  # what a good outcome adds
BAD_LOG_ODDS = math.log(HEALTHY_BAD_SHARE / FAILING_BAD_SHARE)  # what a bad one adds: minus six good ones
PROVEN_LOG_ODDS = 9.0  # some thirty good outcomes; one failing zone in eight thousand is found healthy
MAX_LOG_ODDS = PROVEN_LOG_ODDS - BAD_LOG_ODDS  # one bad outcome more is forgiven to whoever was long healthy
BEGUN_LOG_ODDS = 1.0  # below it nothing speaks for health yet


def success_upper_bound(good: float, bad: float, deviations: float = DEVIATIONS) -> float:
    """Return the largest share of good outcomes that these may have come from; 1 without any."""
    count = good + bad
    if count <= 0:
        return 1.0
    squared = deviations * deviations
    root = math.sqrt(good * (bad / count) + squared / 4)
    return min(1.0, (good + squared / 2 + deviations * root) / (count + squared))


class OutcomeCounts:
    """Good and bad outcomes of late, and the seconds that they took."""

    __slots__ = ("bad", "good", "half_life", "max_count", "seconds", "updated_at")

    def __init__(self, half_life: float = HALF_LIFE, max_count: float = math.inf) -> None:
        """``half_life`` in seconds; ``max_count``: of outcomes that count, the older ones giving way."""
        self.good = 0.0
        self.bad = 0.0
        self.seconds = 0.0
        self.updated_at = 0.0
        self.half_life = half_life
        self.max_count = max_count

    def add(self, now: float, good: float, bad: float, seconds: float = 0.0) -> None:
        """Count outcomes, and the seconds that they took in all."""
        self.fade(now)
        if self.good + self.bad + good + bad > self.max_count:
            self._keep(max(0.0, self.max_count - good - bad) / max(1.0, self.good + self.bad))
        self.good += good
        self.bad += bad
        self.seconds += seconds

    def fade(self, now: float) -> None:
        """Let the counts fade until now."""
        if now > self.updated_at:
            self._keep(0.5 ** ((now - self.updated_at) / self.half_life))
            self.updated_at = now

    def _keep(self, share: float) -> None:
        self.good *= share
        self.bad *= share
        self.seconds *= share

    def mean_seconds(self, typical: float = 0.0, prior: float = 0.0) -> float:
        """Return the seconds of an outcome, with ``prior`` more at the typical time: one slow one is chance.

        Those given up count with the time that they had: a slow member's worst outcomes are not good ones.
        """
        count = self.good + self.bad + prior
        return (self.seconds + prior * typical) / count if count > 0 else 0.0


def typical_seconds(counts: Iterable[OutcomeCounts]) -> float:
    """Return the time of a request: the median over the members; 0 while nothing good is known."""
    known = sorted(count.mean_seconds() for count in counts if count.good >= 1)
    return known[(len(known) - 1) // 2] if known else 0.0  # where half are slow the others are typical


def speed_share(counts: OutcomeCounts, typical: float, prior: float, slower: float) -> float:
    """Return a member's share of its speed: less than 1 from ``slower`` times the typical time on."""
    mean = counts.mean_seconds(typical, prior)
    return typical / mean if mean > slower * typical > 0 else 1.0


def capacity_shares(counts: Mapping[int, OutcomeCounts], slower: float, poor: float) -> dict[int, float]:
    """Return the share of its capacity that each member has, by all outcomes of its zone's instances.

    Members of which too few outcomes are known are left out.  One has no share if too few of its outcomes are
    good, and less by its slowness from ``slower`` times the typical time on.
    """
    typical = typical_seconds(counts.values())
    return {
        position: 0.0
        if success_upper_bound(count.good, count.bad) < poor
        else round(speed_share(count, typical, PRIOR_OUTCOMES, slower), 2)
        for position, count in sorted(counts.items())
        if count.good + count.bad >= MIN_MEMBER_OUTCOMES
    }


class SequentialTest:
    """The test of one zone.

    ``log_odds`` is the logarithm of how much likelier its outcomes are if it is healthy than if it fails.  It
    never falls below 0, so that what a long failure took need not be made good one by one, nor rises above
    ``MAX_LOG_ODDS``, so that a long past does not hide what begins now.
    """

    __slots__ = ("log_odds",)

    def __init__(self) -> None:
        self.log_odds = 0.0

    def add(self, good: int, bad: int) -> None:
        """Count outcomes in no known order: the good ones first, so that no bad one is lost."""
        self.log_odds = min(MAX_LOG_ODDS, self.log_odds + good * GOOD_LOG_ODDS)
        self.log_odds = max(0.0, self.log_odds + bad * BAD_LOG_ODDS)
