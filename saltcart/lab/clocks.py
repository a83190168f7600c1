"""The model's own event clock beside simpy: the same chain of timed events on both."""

from __future__ import annotations

import time
from collections.abc import Generator
from typing import Any

from saltcart.lab.events import EventQueue

CHAINS = 100  # at once, each of events a little apart


def own(count: int) -> float:
    events, left = EventQueue(0.0), [count]

    def step(apart: float) -> None:
        left[0] -= 1
        if left[0] > 0:
            events.at(events.now + apart, step, apart)

    begun = time.process_time()
    for n in range(CHAINS):
        events.at(0.0, step, 0.01 + n / 10_000)
    while left[0] > 0:
        events.run(events.now + 1)
    return count / (time.process_time() - begun)


def with_simpy(count: int) -> float:
    import simpy

    env, left = simpy.Environment(), [count]

    def chain(apart: float) -> Generator[Any, Any, Any]:
        while left[0] > 0:
            left[0] -= 1
            yield env.timeout(apart)

    begun = time.process_time()
    for n in range(CHAINS):
        env.process(chain(0.01 + n / 10_000))
    env.run()
    return count / (time.process_time() - begun)


def run(quick: bool) -> tuple[list[list[str]], dict[str, Any]]:
    count = 200_000 if quick else 2_000_000
    seen = {"own": own(count), "simpy": with_simpy(count)}
    rows = [["", "events/s"], *([name, f"{rate:,.0f}"] for name, rate in seen.items())]
    return rows, {f"{name}_events_per_s": round(rate) for name, rate in seen.items()}
