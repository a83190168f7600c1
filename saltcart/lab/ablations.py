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
from saltcart.lab import composition_scenarios
from saltcart.lab.budgets import FULL, QUICK, Play

VARIANTS = ("whole", "no price", "survivors", "no breaker", "no second", "gradient")


class Survivors(QuantileSketch):
    """Calls that were cut off are left out."""

    def add(self, now: float, value: float, censored: bool = False) -> None:
        if not censored:
            super().add(now, value)


class NeverOpen(CircuitBreaker):
    def record_result(self, now: float, ok: bool, probe: bool) -> None:
        return


class NoSecond(TimeoutPolicy):
    def hedge_time(
        self, now: float, part: SubRequest, dependency: DependencyState, other: DependencyState | None
    ) -> float | None:
        return None


class Gradient(DependencyState):
    SMOOTH = 0.1

    def record_end(
        self, now: float, attempt: CallAttempt, outcome: Outcome, was_overtaken: bool = False
    ) -> None:
        before = self.limit.value
        super().record_end(now, attempt, outcome, was_overtaken)
        took, base = max(1e-4, now - attempt.started_at), getattr(self, "base", 10.0)
        if outcome is Outcome.SUCCEEDED:
            self.base = base = min(base * 1.001, took)
        ratio = max(0.5, min(1.0, 2 * base / took))
        aimed = before * ratio + sqrt(before)
        self.limit.value = max(
            float(self.limit.minimum), min(float(self.limit.maximum), before + self.SMOOTH * (aimed - before))
        )


def change(game: Play, variant: str) -> None:
    desk = game.desk
    for name, d in desk.dependencies.items():
        if variant == "survivors":
            d.durations = Survivors()
        elif variant == "no breaker":
            d.circuit_breaker = NeverOpen(d.circuit_breaker.rng)
        elif variant == "gradient":
            desk.dependencies[name] = Gradient(d.spec, d.circuit_breaker.rng)
    if variant == "no price":
        game.runs.presses = False
    elif variant == "no second":
        desk.timeout_policy = NoSecond(
            desk.timeout_policy.find_dependency, desk.timeout_policy.rng, desk.timeout_policy.earns_when_late
        )


def play(job: tuple[int, str, float, int]) -> float:
    number, variant, seconds, seed = job
    day = composition_scenarios.days(seconds)[number]
    if variant == "oracle":
        return Play(day, variant, seconds, seed).run().earned
    game = Play(day, "budgets", seconds, seed)
    change(game, variant)
    return game.run().earned


def run(quick: bool, seed: int) -> tuple[list[list[str]], dict[str, Any]]:
    seconds = QUICK if quick else FULL
    names, columns = [day.name for day in composition_scenarios.days(seconds)], ("oracle", *VARIANTS)
    jobs = [(n, variant, seconds, seed) for n in range(len(names)) for variant in columns]
    with ProcessPoolExecutor() as pool:
        earned = dict(zip([(names[j[0]], j[1]) for j in jobs], pool.map(play, jobs)))
    kept = {(day, v): earned[day, v] / earned[day, "oracle"] for day in names for v in VARIANTS}
    rows = [["day", *VARIANTS], *([day, *(f"{kept[day, v]:.3f}" for v in VARIANTS)] for day in names)]
    figures = {v: round(min(kept[day, v] for day in names), 3) for v in VARIANTS}
    return rows, {"kept": figures, "seed": seed, "seconds": seconds}
