"""What each part of the budgets is worth: the nine days with one part taken out or put another way.

``gradient`` limits calls by delay, the other well-known way: the limit follows the ratio of the least
delay to the present one, with the square root of the limit as the queue that is allowed.
"""

from __future__ import annotations

from concurrent.futures import ProcessPoolExecutor
from math import sqrt
from typing import Any

from saltcart.composition.composed_run import CallAttempt, SubRequest
from saltcart.composition.dependency_state import DependencyState
from saltcart.composition.overload_protection import CircuitBreaker
from saltcart.composition.quantile_sketch import QuantileSketch
from saltcart.composition.timeout_policy import TimeoutPolicy
from saltcart.decision.outcome import Outcome
from saltcart.lab import offices
from saltcart.lab.budgets import FULL, QUICK, Play

VARIANTS = ("whole", "no price", "survivors", "no breaker", "no second", "gradient")


class Survivors(QuantileSketch):
    """Calls that were cut off are left out."""

    def add(self, now: float, value: float, cut: bool = False) -> None:
        if not cut:
            super().add(now, value)


class NeverOpen(CircuitBreaker):
    def ended(self, now: float, ok: bool, probe: bool) -> None:
        return


class NoSecond(TimeoutPolicy):
    def beside_at(
        self, now: float, part: SubRequest, dependency: DependencyState, other: DependencyState | None
    ) -> float | None:
        return None


class Gradient(DependencyState):
    SMOOTH = 0.1

    def ended(self, now: float, attempt: CallAttempt, outcome: Outcome, overtaken: bool = False) -> None:
        before = self.limit.value
        super().ended(now, attempt, outcome, overtaken)
        took, base = max(1e-4, now - attempt.begun), getattr(self, "base", 10.0)
        if outcome is Outcome.SUCCEEDED:
            self.base = base = min(base * 1.001, took)
        ratio = max(0.5, min(1.0, 2 * base / took))
        aimed = before * ratio + sqrt(before)
        self.limit.value = max(
            float(self.limit.least), min(float(self.limit.most), before + self.SMOOTH * (aimed - before))
        )


def change(game: Play, variant: str) -> None:
    desk = game.desk
    for name, d in desk.dependencies.items():
        if variant == "survivors":
            d.times = Survivors()
        elif variant == "no breaker":
            d.breaker = NeverOpen(d.breaker.rng)
        elif variant == "gradient":
            desk.dependencies[name] = Gradient(d.spec, d.breaker.rng)
    if variant == "no price":
        game.runs.presses = False
    elif variant == "no second":
        desk.judge = NoSecond(desk.judge.look, desk.judge.rng, desk.judge.late)


def play(job: tuple[int, str, float, int]) -> float:
    number, variant, seconds, seed = job
    day = offices.days(seconds)[number]
    if variant == "oracle":
        return Play(day, variant, seconds, seed).run().earned
    game = Play(day, "budgets", seconds, seed)
    change(game, variant)
    return game.run().earned


def run(quick: bool, seed: int) -> tuple[list[list[str]], dict[str, Any]]:
    seconds = QUICK if quick else FULL
    names, columns = [day.name for day in offices.days(seconds)], ("oracle", *VARIANTS)
    jobs = [(n, variant, seconds, seed) for n in range(len(names)) for variant in columns]
    with ProcessPoolExecutor() as pool:
        earned = dict(zip([(names[j[0]], j[1]) for j in jobs], pool.map(play, jobs)))
    kept = {(day, v): earned[day, v] / earned[day, "oracle"] for day in names for v in VARIANTS}
    rows = [["day", *VARIANTS], *([day, *(f"{kept[day, v]:.3f}" for v in VARIANTS)] for day in names)]
    figures = {v: round(min(kept[day, v] for day in names), 3) for v in VARIANTS}
    return rows, {"kept": figures, "seed": seed, "seconds": seconds}
