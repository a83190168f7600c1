"""A dependency in the model: workers with a queue, times drawn beforehand, a script of what goes wrong."""

from __future__ import annotations

import heapq
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass
from typing import NamedTuple

import numpy as np

from saltcart.decision.outcome import Outcome

ASKED_AT_MOST = 6  # tries of one request at one dependency for which times are drawn


@dataclass(frozen=True)
class Trouble:
    """What goes wrong at one dependency, from ``start`` to ``end`` (seconds of the day)."""

    start: float
    end: float
    slower: float = 1.0
    errors: float = 0.0
    silent: bool = False  # takes each call and never replies
    flap: float = 0.0  # seconds of silence, then as many of service, in turn
    late: float = 0.0  # seconds added to each reply

    def silent_at(self, t: float) -> bool:
        return self.silent or (self.flap > 0 and int((t - self.start) / self.flap) % 2 == 0)


class Fate(NamedTuple):
    """What would become of a call made now; ``took`` is None where no reply ever comes."""

    outcome: Outcome
    took: float | None
    busy: float = 0.0  # of a worker's time


class ModelDependency:
    """First come first served by ``workers``; a call that was given up still takes its worker's time.

    Times are lognormal and drawn beforehand for each request and try: every policy meets the same luck.
    """

    def __init__(
        self, name: str, workers: int, median: float, spread: float, requests: int, seed: int, origin: float
    ) -> None:
        rng = np.random.default_rng([seed, int.from_bytes(name.encode()[:8], "little")])
        shape = (requests, ASKED_AT_MOST)
        self.times = rng.lognormal(np.log(median), spread, shape).tolist()
        self.luck = rng.random(shape).tolist()
        self.name, self.origin, self.workers = name, origin, [0.0] * workers
        self.troubles: list[Trouble] = []
        self.tries = Counter[int]()
        self.done = Counter[int]()  # calls that have run to their end, by request
        self.asked: list[float] = []

    def _trouble(self, t: float) -> Trouble | None:
        return next((x for x in self.troubles if x.start <= t < x.end), None)

    def fate(self, now: float, request: int, ahead: int = 0) -> Fate:
        """What the next try (or the one ``ahead`` of it) would meet; changes nothing."""
        t, nth = now - self.origin, min(ASKED_AT_MOST - 1, self.tries[request] + ahead)
        trouble = self._trouble(t)
        took, wait = self.times[request][nth], max(0.0, self.workers[0] - now)
        if trouble is None:
            return Fate(Outcome.SUCCEEDED, wait + took, took)
        if trouble.silent_at(t):
            return Fate(Outcome.TIMED_OUT, None)
        if self.luck[request][nth] < trouble.errors:
            return Fate(Outcome.FAILED, wait + took / 4, took / 4)
        return Fate(Outcome.SUCCEEDED, wait + took * trouble.slower + trouble.late, took * trouble.slower)

    def call(self, now: float, request: int, told: Callable[[float, Outcome], None]) -> None:
        """A call arrives; ``told`` is given the moment and the kind of its reply, if there ever is one."""
        fate = self.fate(now, request)
        self.tries[request] += 1
        self.asked.append(now - self.origin)
        if fate.took is None:
            return
        heapq.heapreplace(self.workers, max(now, self.workers[0]) + fate.busy)
        self.done[request] += fate.outcome is Outcome.SUCCEEDED
        told(now + fate.took, fate.outcome)


def request_of(ident: bytes) -> int:
    """The number of the request that a try belongs to: a repeat's lies a fixed step above it."""
    return int(ident, 16) % (1 << 32)
