"""How much the ends of a zone's requests prove: few of them prove little, however they ended.

Work is taken from a zone only when even the kindest reading of what was seen is poor (the upper end of
Wilson's interval, E. B. Wilson 1927), and given back only after a sequential test has found for health (A.
Wald 1945). Both count ends, not seconds: a zone of five instances is judged as surely as one of five hundred,
only later.
"""

from __future__ import annotations

import math
from collections.abc import Iterable, Mapping

FADE = 4.0  # seconds: half-life of an end; two beats of a flap show, a second's burst is little
MEMBER_FADE = 10.0  # seconds: the same for one member; but of its ends only so many of the last ones count,
MEMBER_LAST = 12.0  # so that a busy member is judged sooner and one that is only tried is not forgotten
KNOWN = 6.0  # ends held of a member, below which they say nothing of it
FEW = 2.0  # ends at the usual pace that are taken for seen of each member
POOR = 0.75  # of the good ends that are usual: who has fewer, however kindly they are read, gets no work
DEVIATIONS = 3.0  # of the estimate from the truth, that are allowed for

# The two zones that the test tells apart, by the share of bad ends; ten in a hundred still speak for health.
WELL, ILL = 0.05, 0.30
FOR_HEALTH = math.log((1 - WELL) / (1 - ILL))  # what a good end adds
AGAINST = math.log(WELL / ILL)  # what a bad one adds: as much as six good ones take back
PROVEN = 9.0  # the odds' logarithm: some thirty good ends; one ill zone in eight thousand is found well
MOST = PROVEN - AGAINST  # one bad end more is forgiven to whoever has long been well
BEGUN = 1.0  # below it nothing speaks for health yet


def upper(good: float, bad: float, deviations: float = DEVIATIONS) -> float:
    """The largest share of good ends that these may have come from; 1 without any."""
    n = good + bad
    if n <= 0:
        return 1.0
    z2 = deviations * deviations
    return min(1.0, (good + z2 / 2 + deviations * math.sqrt(good * (bad / n) + z2 / 4)) / (n + z2))


class Tally:
    """Good and bad ends of late, and the seconds that they took.

    ``half_life`` in seconds; ``last``: of how many ends it holds at most, the older ones giving way.
    """

    __slots__ = ("at", "bad", "good", "half_life", "last", "took")

    def __init__(self, half_life: float = FADE, last: float = math.inf) -> None:
        self.good = self.bad = self.took = self.at = 0.0
        self.half_life, self.last = half_life, last

    def add(self, now: float, good: float, bad: float, took: float = 0.0) -> None:
        self.fade(now)
        if self.good + self.bad + good + bad > self.last:
            self._keep(max(0.0, self.last - good - bad) / max(1.0, self.good + self.bad))
        self.good, self.bad, self.took = self.good + good, self.bad + bad, self.took + took

    def fade(self, now: float) -> None:
        if now > self.at:
            self._keep(0.5 ** ((now - self.at) / self.half_life))
            self.at = now

    def _keep(self, share: float) -> None:
        self.good, self.bad, self.took = self.good * share, self.bad * share, self.took * share

    def mean(self, usual: float = 0.0, few: float = 0.0) -> float:
        """Seconds of an end, with a few more at the usual time: one slow end is chance.

        Those given up count with the time that they had: a slow member's worst ends are not good ones.
        """
        n = self.good + self.bad + few
        return (self.took + few * usual) / n if n > 0 else 0.0


def usual_time(tallies: Iterable[Tally]) -> float:
    """The time that an end usually takes: the median over the members; 0 while nothing good is known."""
    known = sorted(t.mean() for t in tallies if t.good >= 1)
    return known[(len(known) - 1) // 2] if known else 0.0  # where half are slow the others are usual


def pace(tally: Tally, usual: float, few: float, slower: float) -> float:
    """The share of a member's speed that it has: less than all from ``slower`` times the usual time on."""
    mean = tally.mean(usual, few)
    return usual / mean if mean > slower * usual > 0 else 1.0


def parts(tallies: Mapping[int, Tally], slower: float, poor: float) -> dict[int, float]:
    """The share of its capacity that each member has, by all ends of its zone's instances.

    Nothing of those of which too few ends are known.  None if it ends too little well, less by its slowness
    from ``slower`` times the usual time on.
    """
    usual = usual_time(tallies.values())
    return {
        place: 0.0 if upper(t.good, t.bad) < poor else round(pace(t, usual, FEW, slower), 2)
        for place, t in sorted(tallies.items())
        if t.good + t.bad >= KNOWN
    }


class Proof:
    """The test of one zone: ``odds``, the logarithm of how much likelier its ends are if it is well.

    It never falls below none, so that what a long failure took need not be made good end by end, nor rises
    above ``MAX_VALUE``, so that a long past does not hide what begins now.
    """

    __slots__ = ("odds",)

    def __init__(self) -> None:
        self.odds = 0.0

    def add(self, good: int, bad: int) -> None:
        """Ends of which the order is not known: the good ones count first, so that no bad one is lost."""
        self.odds = min(MOST, self.odds + good * FOR_HEALTH)
        self.odds = max(0.0, self.odds + bad * AGAINST)
