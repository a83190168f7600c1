"""The quantile sketch beside a plain sorted window on one stream: bytes, error, and time for each value."""

from __future__ import annotations

import bisect
import time
import tracemalloc
from collections import deque
from collections.abc import Callable
from typing import Any, Protocol

import numpy as np

from saltcart.composition.quantile_sketch import QuantileSketch

LEVELS = (0.1, 0.5, 0.95)
WINDOW = 1000
SHIFT = 3.0  # in the middle of the stream all times grow by this
BATCH = 50  # values between two looks, as between two worked-out needs


class Sketch(Protocol):
    def add(self, now: float, value: float) -> None: ...
    def quantiles(self) -> tuple[float, ...]: ...


class SortedWindow:
    """The last values, kept in order as well: exact, and the plain way."""

    def __init__(self) -> None:
        self.last, self.ordered = deque[float](), list[float]()

    def add(self, now: float, value: float) -> None:
        bisect.insort(self.ordered, value)
        self.last.append(value)
        if len(self.last) > WINDOW:
            del self.ordered[bisect.bisect_left(self.ordered, self.last.popleft())]

    def quantiles(self) -> tuple[float, ...]:
        return tuple(self.ordered[min(len(self.ordered) - 1, int(q * len(self.ordered)))] for q in LEVELS)


def size_of(make: Callable[[], Sketch], values: list[float]) -> int:
    """Bytes that a filled one holds."""
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    sketch = make()
    for n, value in enumerate(values):
        sketch.add(n * 0.01, value)
    sketch.quantiles()
    size = tracemalloc.get_traced_memory()[0] - before
    tracemalloc.stop()
    return size


def play(make: Callable[[], Sketch], values: list[float], true: list[list[float]]) -> tuple[float, float]:
    """The median relative error at the levels, and microseconds for each value, looks included."""
    sketch, errors, looks, begun = make(), list[float](), list[tuple[float, ...]](), time.process_time()
    for n, value in enumerate(values):
        sketch.add(n * 0.01, value)
        if n % BATCH == BATCH - 1:
            looks.append(sketch.quantiles())
    took = time.process_time() - begun
    for n, look in enumerate(looks):
        right = true[(n + 1) * BATCH * 2 // (len(values) + BATCH)]
        if n * BATCH % (len(values) // 2) >= WINDOW:  # not while the old values are on their way out
            errors += [abs(a - b) / b for a, b in zip(look, right)]
    return float(np.median(errors)), 1e6 * took / len(values)


def run(quick: bool, seed: int) -> tuple[list[list[str]], dict[str, Any]]:
    count = 40_000 if quick else 400_000
    rng = np.random.default_rng(seed)
    draws = rng.lognormal(np.log(0.05), 0.5, count)
    draws[count // 2 :] *= SHIFT
    halves = draws[: count // 2], draws[count // 2 :]
    true = [[float(np.quantile(part, q)) for q in LEVELS] for part in halves]
    values = draws.tolist()
    kinds: dict[str, Callable[[], Sketch]] = {
        "sketch": lambda: QuantileSketch(LEVELS),
        "window": SortedWindow,
    }
    rows, figures = [["", "bytes", "error", "us/value"]], dict[str, Any]()
    for name, make in kinds.items():
        error, cost = play(make, values, true)
        size = size_of(make, values[: 4 * WINDOW])
        rows.append([name, str(size), f"{error:.4f}", f"{cost:.2f}"])
        figures |= {f"{name}_bytes": size, f"{name}_error": round(error, 4), f"{name}_us": round(cost, 2)}
    return rows, {**figures, "values": count, "seed": seed}
