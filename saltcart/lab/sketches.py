"""Experiment on the quantile sketch: its size, error and cost compared with those of a sorted window."""

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
WINDOW_SIZE = 1000  # values
SHIFT_FACTOR = 3.0  # on the values of the second half of the stream
QUERY_INTERVAL = 50  # values between two queries of the quantiles
VALUE_INTERVAL_SECONDS = 0.01  # between two values


class Sketch(Protocol):
    """An estimator of quantiles."""

    def add(self, now: float, value: float) -> None:
        """Add a value, in seconds, at a time."""

    def quantiles(self) -> tuple[float, ...]:
        """Return the quantiles at ``LEVELS``."""


class SortedWindow:
    """Exact quantiles of the last ``WINDOW_SIZE`` values, which are kept sorted."""

    def __init__(self) -> None:
        self.recent, self.ordered = deque[float](), list[float]()

    def add(self, now: float, value: float) -> None:
        """Add a value, and remove the oldest one of a full window."""
        bisect.insort(self.ordered, value)
        self.recent.append(value)
        if len(self.recent) > WINDOW_SIZE:
            del self.ordered[bisect.bisect_left(self.ordered, self.recent.popleft())]

    def quantiles(self) -> tuple[float, ...]:
        """Return the quantiles at ``LEVELS``."""
        return tuple(
            self.ordered[min(len(self.ordered) - 1, int(level * len(self.ordered)))] for level in LEVELS
        )


def measure_size(make_sketch: Callable[[], Sketch], values: list[float]) -> int:
    """Return the bytes that a sketch of the values occupies."""
    tracemalloc.start()
    size_before = tracemalloc.get_traced_memory()[0]
    sketch = make_sketch()
    for n, value in enumerate(values):
        sketch.add(n * VALUE_INTERVAL_SECONDS, value)
    sketch.quantiles()
    size = tracemalloc.get_traced_memory()[0] - size_before
    tracemalloc.stop()
    return size


def measure_error_and_cost(
    make_sketch: Callable[[], Sketch], values: list[float], true_quantiles: list[list[float]]
) -> tuple[float, float]:
    """Measure a sketch on a stream.

    Args:
        make_sketch: Creates the sketch.
        values: The values of the stream, in seconds.
        true_quantiles: The quantiles of each half of the stream at ``LEVELS``.

    Returns:
        The median relative error, and the microseconds of processor time for each value, with the queries.
    """
    sketch, errors, estimates, cpu_start = (
        make_sketch(),
        list[float](),
        list[tuple[float, ...]](),
        time.process_time(),
    )
    for n, value in enumerate(values):
        sketch.add(n * VALUE_INTERVAL_SECONDS, value)
        if n % QUERY_INTERVAL == QUERY_INTERVAL - 1:
            estimates.append(sketch.quantiles())
    cpu_seconds = time.process_time() - cpu_start
    for n, estimate in enumerate(estimates):
        expected = true_quantiles[(n + 1) * QUERY_INTERVAL * 2 // (len(values) + QUERY_INTERVAL)]
        # Errors count from the time at which the window holds no values of the other half.
        if n * QUERY_INTERVAL % (len(values) // 2) >= WINDOW_SIZE:
            errors += [abs(actual - true) / true for actual, true in zip(estimate, expected)]
    return float(np.median(errors)), 1e6 * cpu_seconds / len(values)


def run(quick: bool, seed: int) -> tuple[list[list[str]], dict[str, Any]]:
    """Run the experiment and return the rows of its table and its figures."""
    count = 40_000 if quick else 400_000
    rng = np.random.default_rng(seed)
    draws = rng.lognormal(np.log(0.05), 0.5, count)
    draws[count // 2 :] *= SHIFT_FACTOR
    halves = draws[: count // 2], draws[count // 2 :]
    true_quantiles = [[float(np.quantile(half, level)) for level in LEVELS] for half in halves]
    values = draws.tolist()
    kinds: dict[str, Callable[[], Sketch]] = {
        "sketch": lambda: QuantileSketch(LEVELS),
        "window": SortedWindow,
    }
    rows, figures = [["", "bytes", "error", "us/value"]], dict[str, Any]()
    for name, make_sketch in kinds.items():
        error, cost = measure_error_and_cost(make_sketch, values, true_quantiles)
        size = measure_size(make_sketch, values[: 4 * WINDOW_SIZE])
        rows.append([name, str(size), f"{error:.4f}", f"{cost:.2f}"])
        figures |= {f"{name}_bytes": size, f"{name}_error": round(error, 4), f"{name}_us": round(cost, 2)}
    return rows, {**figures, "values": count, "seed": seed}
