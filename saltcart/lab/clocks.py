"""Experiment on the event queue of the simulations: its throughput compared with that of simpy."""

from __future__ import annotations

import time
from collections.abc import Generator
from typing import Any

from saltcart.lab.events import EventQueue

CHAIN_COUNT = 100  # concurrent chains of events, each with its own interval


def measure_event_queue(count: int) -> float:
    """Return the events per second of processor time on ``EventQueue``."""
    events, remaining = EventQueue(0.0), [count]

    def step(interval: float) -> None:
        remaining[0] -= 1
        if remaining[0] > 0:
            events.at(events.now + interval, step, interval)

    cpu_start = time.process_time()
    for n in range(CHAIN_COUNT):
        events.at(0.0, step, 0.01 + n / 10_000)
    while remaining[0] > 0:
        events.run(events.now + 1)
    return count / (time.process_time() - cpu_start)


def measure_simpy(count: int) -> float:
    """Return the events per second of processor time on simpy."""
    import simpy

    environment, remaining = simpy.Environment(), [count]

    def run_chain(interval: float) -> Generator[Any, Any, Any]:
        while remaining[0] > 0:
            remaining[0] -= 1
            yield environment.timeout(interval)

    cpu_start = time.process_time()
    for n in range(CHAIN_COUNT):
        environment.process(run_chain(0.01 + n / 10_000))
    environment.run()
    return count / (time.process_time() - cpu_start)


def run(quick: bool) -> tuple[list[list[str]], dict[str, Any]]:
    """Run the experiment and return the rows of its table and its figures."""
    count = 200_000 if quick else 2_000_000
    rates = {"own": measure_event_queue(count), "simpy": measure_simpy(count)}
    rows = [["", "events/s"], *([name, f"{rate:,.0f}"] for name, rate in rates.items())]
    return rows, {f"{name}_events_per_s": round(rate) for name, rate in rates.items()}
