"""The filter of refused work beside a plain dict on one stream: bytes, errors, time for each try."""

from __future__ import annotations

import random
import time
import tracemalloc
from collections import OrderedDict
from typing import Any

from saltcart.retry_storm.sketches import RotatingBloomFilter

RATE, SPAN = 1000.0, 60.0  # refusals a second, and seconds for which they are remembered
AGAIN = 0.5  # of the tries come again


class Plain:
    """Every refused digest with its time, the oldest first: exact."""

    def __init__(self) -> None:
        self.at: OrderedDict[int, float] = OrderedDict()

    def add(self, now: float, digest: int) -> None:
        self.at[digest] = now
        self.at.move_to_end(digest)
        while self.at and now - next(iter(self.at.values())) > SPAN:
            self.at.popitem(last=False)

    def has(self, now: float, digest: int) -> bool:
        return now - self.at.get(digest, -SPAN - 1) <= SPAN


def play(kind: type[Plain] | type[RotatingBloomFilter], count: int, seed: int) -> tuple[int, float, float]:
    """Bytes held at the end, share of new work that is told as come again, nanoseconds a try."""
    rng = random.Random(seed)
    stream, known = list[tuple[int, bool]](), list[int]()
    for _ in range(count):
        again = bool(known) and rng.random() < AGAIN
        digest = known[-1 - rng.randrange(min(len(known), 5000))] if again else rng.getrandbits(64)
        known.append(digest)
        stream.append((digest, again))
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    table = Plain() if kind is Plain else RotatingBloomFilter(SPAN)
    for n, (digest, _) in enumerate(stream):
        table.add(n / RATE, digest)
    size = tracemalloc.get_traced_memory()[0] - before
    tracemalloc.stop()
    table, wrong, new = (Plain() if kind is Plain else RotatingBloomFilter(SPAN)), 0, 0
    begun = time.process_time()
    for n, (digest, again) in enumerate(stream):
        found = table.has(n / RATE, digest)
        new += not again
        wrong += found and not again
        table.add(n / RATE, digest)
    took = time.process_time() - begun
    return size, wrong / new, 1e9 * took / count


def run(quick: bool, seed: int) -> tuple[list[list[str]], dict[str, Any]]:
    count = 60_000 if quick else 240_000
    rows, figures = [["", "bytes", "wrong", "ns/try"]], dict[str, Any]()
    for name, kind in (("sketch", RotatingBloomFilter), ("dict", Plain)):
        size, wrong, cost = play(kind, count, seed)
        rows.append([name, str(size), f"{wrong:.5f}", f"{cost:.0f}"])
        figures |= {f"{name}_bytes": size, f"{name}_wrong": round(wrong, 6), f"{name}_ns": round(cost)}
    return rows, {**figures, "tries": count, "seed": seed}
