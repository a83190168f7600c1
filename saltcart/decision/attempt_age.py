"""Estimates how long ago a request's first attempt was made."""

from __future__ import annotations

from collections import Counter

FIRST_ATTEMPT_SHARE = 0.1  # of the recent attempts: a timeout shared by so many is one of first attempts
MAX_REMEMBERED = 500  # attempts; beyond that half of what is remembered is forgotten
GRAINS_PER_DEADLINE = 256  # finer than what the timeouts of retries spread over


class AttemptAgeEstimator:
    """Tells an attempt's age from the time for which its caller still waits.

    First attempts come with one of a few timeouts, so these are seen often.  A retry comes with what is left
    of such a timeout, and the difference is its age.
    """

    def __init__(self, deadline: float) -> None:
        """``deadline``: seconds for which a client of this class waits in all."""
        self.deadline = deadline
        self.grain = deadline / GRAINS_PER_DEADLINE
        self.counts = Counter[int]()
        self.total = 0
        self.first_marks = set[int]()

    def age(self, timeout: float) -> float:
        """Record one attempt's timeout and return the attempt's age, both in seconds."""
        mark = round(timeout / self.grain)
        self.counts[mark] += 1
        self.total += 1
        if self.total > MAX_REMEMBERED:
            self._forget_half()
        least = FIRST_ATTEMPT_SHARE * self.total
        self.first_marks = {m for m in self.first_marks | {mark} if self.counts[m] >= least}
        first = min((m for m in self.first_marks if m >= mark - 1), default=0)
        return max(0.0, (first * self.grain if first else self.deadline) - timeout)

    def _forget_half(self) -> None:
        self.counts = Counter({mark: count // 2 for mark, count in self.counts.items() if count > 1})
        self.total = sum(self.counts.values())
