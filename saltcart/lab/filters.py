"""Experiment on the filter of rejected requests: its size, errors and cost compared with those of a dict."""

from __future__ import annotations

import random
import time
import tracemalloc
from collections import OrderedDict
from typing import Any

from saltcart.retry_storm.sketches import RotatingBloomFilter

ATTEMPTS_PER_SECOND, RETENTION_SECONDS = 1000.0, 60.0
RETRY_SHARE = 0.5  # of the attempts
MAX_RETRY_DISTANCE = 5000  # attempts between a retry and the attempt that it repeats


class ExactFilter:
    """Every digest with the time at which it was added last, the oldest first."""

    def __init__(self) -> None:
        self.added_at: OrderedDict[int, float] = OrderedDict()

    def add(self, now: float, digest: int) -> None:
        """Add a digest, and remove those older than the retention time."""
        self.added_at[digest] = now
        self.added_at.move_to_end(digest)
        while self.added_at and now - next(iter(self.added_at.values())) > RETENTION_SECONDS:
            self.added_at.popitem(last=False)

    def has(self, now: float, digest: int) -> bool:
        """Return whether a digest was added within the retention time."""
        return now - self.added_at.get(digest, -RETENTION_SECONDS - 1) <= RETENTION_SECONDS


def measure(
    kind: type[ExactFilter] | type[RotatingBloomFilter], count: int, seed: int
) -> tuple[int, float, float]:
    """Measure a filter on a random stream of attempts.

    Returns:
        The bytes that the filter occupies at the end, the share of new requests that it takes for retries,
        and the nanoseconds of processor time for each attempt.
    """
    rng = random.Random(seed)
    stream, digests = list[tuple[int, bool]](), list[int]()
    for _ in range(count):
        is_retry = bool(digests) and rng.random() < RETRY_SHARE
        digest = (
            digests[-1 - rng.randrange(min(len(digests), MAX_RETRY_DISTANCE))]
            if is_retry
            else rng.getrandbits(64)
        )
        digests.append(digest)
        stream.append((digest, is_retry))
    tracemalloc.start()
    size_before = tracemalloc.get_traced_memory()[0]
    digest_filter = ExactFilter() if kind is ExactFilter else RotatingBloomFilter(RETENTION_SECONDS)
    for n, (digest, _) in enumerate(stream):
        digest_filter.add(n / ATTEMPTS_PER_SECOND, digest)
    size = tracemalloc.get_traced_memory()[0] - size_before
    tracemalloc.stop()
    digest_filter, false_positives, new_requests = (
        (ExactFilter() if kind is ExactFilter else RotatingBloomFilter(RETENTION_SECONDS)),
        0,
        0,
    )
    cpu_start = time.process_time()
    for n, (digest, is_retry) in enumerate(stream):
        is_found = digest_filter.has(n / ATTEMPTS_PER_SECOND, digest)
        new_requests += not is_retry
        false_positives += is_found and not is_retry
        digest_filter.add(n / ATTEMPTS_PER_SECOND, digest)
    cpu_seconds = time.process_time() - cpu_start
    return size, false_positives / new_requests, 1e9 * cpu_seconds / count


def run(quick: bool, seed: int) -> tuple[list[list[str]], dict[str, Any]]:
    """Run the experiment and return the rows of its table and its figures."""
    count = 60_000 if quick else 240_000
    rows, figures = [["", "bytes", "wrong", "ns/try"]], dict[str, Any]()
    for name, kind in (("sketch", RotatingBloomFilter), ("dict", ExactFilter)):
        size, error, cost = measure(kind, count, seed)
        rows.append([name, str(size), f"{error:.5f}", f"{cost:.0f}"])
        figures |= {f"{name}_bytes": size, f"{name}_wrong": round(error, 6), f"{name}_ns": round(cost)}
    return rows, {**figures, "tries": count, "seed": seed}
