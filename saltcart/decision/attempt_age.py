"""Estimates how long before an attempt the first attempt of its request was made."""

from __future__ import annotations

from collections import Counter

MIN_FIRST_ATTEMPT_SHARE = 0.1  # a timeout of at least this share of recent attempts is one of first attempts
MAX_REMEMBERED_ATTEMPTS = 500  # above which the counts are halved
BUCKETS_PER_DEADLINE = 256  # narrower than the range over which the timeouts of retries are spread


class AttemptAgeEstimator:
    """Estimates the age of an attempt from its timeout, which is the time for which its caller still waits.

    First attempts have one of a few timeouts, so these are frequent.  A retry has the rest of such a timeout,
    and the difference is its age.
    """

    def __init__(self, deadline: float) -> None:
        """Create an estimator for one class.

        Args:
            deadline: Total time in seconds for which a client of this class waits.
        """
        self.deadline = deadline
        self.bucket_seconds = deadline / BUCKETS_PER_DEADLINE
        self.counts = Counter[int]()
        self.total = 0
        self.first_attempt_buckets = set[int]()

    def estimate_age(self, timeout: float) -> float:
        """Record the timeout of an attempt and return its estimated age, both in seconds."""
        bucket = round(timeout / self.bucket_seconds)
        self.counts[bucket] += 1
        self.total += 1
        if self.total > MAX_REMEMBERED_ATTEMPTS:
            self._halve_counts()
        min_count = MIN_FIRST_ATTEMPT_SHARE * self.total
        self.first_attempt_buckets = {
            candidate
            for candidate in self.first_attempt_buckets | {bucket}
            if self.counts[candidate] >= min_count
        }
        original_bucket = min(
            (candidate for candidate in self.first_attempt_buckets if candidate >= bucket - 1), default=0
        )
        return max(
            0.0, (original_bucket * self.bucket_seconds if original_bucket else self.deadline) - timeout
        )

    def _halve_counts(self) -> None:
        self.counts = Counter({bucket: count // 2 for bucket, count in self.counts.items() if count > 1})
        self.total = sum(self.counts.values())
