"""Experiment on the mechanisms of composed responses: the nine scenarios with one mechanism off or replaced.

``gradient`` limits concurrent calls by their duration, another well-known method: the limit follows the ratio
of the shortest duration to the current one, and allows for a queue of the square root of the limit.
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
from saltcart.lab import composition_scenarios as scenarios
from saltcart.lab.budgets import FULL_SECONDS, QUICK_SECONDS
from saltcart.lab.composition_simulation import CompositionSimulation

VARIANTS = ("whole", "no price", "survivors", "no breaker", "no second", "gradient")


class CompletedCallsSketch(QuantileSketch):
    """A sketch of the durations of completed calls alone: it ignores cancelled ones."""

    def add(self, now: float, value: float, censored: bool = False) -> None:
        """Add a value unless it is censored."""
        if not censored:
            super().add(now, value)


class DisabledCircuitBreaker(CircuitBreaker):
    """A circuit breaker that never opens."""

    def record_result(self, now: float, succeeded: bool, is_probe: bool) -> None:
        """Ignore the result of a call."""
        return


class NoHedgingPolicy(TimeoutPolicy):
    """The engine's own policy without hedged requests."""

    def hedge_time(
        self,
        now: float,
        sub_request: SubRequest,
        dependency: DependencyState,
        fallback: DependencyState | None,
    ) -> float | None:
        """Return None: there are no hedged requests."""
        return None


class GradientLimitedDependency(DependencyState):
    """A dependency whose concurrency limit follows the gradient of the call durations."""

    SMOOTHING = 0.1  # share of the way to the target by which each call moves the limit

    def record_end(
        self, now: float, attempt: CallAttempt, outcome: Outcome, was_overtaken: bool = False
    ) -> None:
        """Record the end of an attempt, and replace the new limit by that of the gradient."""
        previous_limit = self.limit.value
        super().record_end(now, attempt, outcome, was_overtaken)
        seconds, shortest = max(1e-4, now - attempt.started_at), getattr(self, "shortest_seconds", 10.0)
        if outcome is Outcome.SUCCEEDED:
            # It grows slowly, so that it follows a dependency that has become slower for good.
            self.shortest_seconds = shortest = min(shortest * 1.001, seconds)
        gradient = max(0.5, min(1.0, 2 * shortest / seconds))
        target = previous_limit * gradient + sqrt(previous_limit)
        self.limit.value = max(
            float(self.limit.minimum),
            min(float(self.limit.maximum), previous_limit + self.SMOOTHING * (target - previous_limit)),
        )


def apply_variant(simulation: CompositionSimulation, variant: str) -> None:
    """Turn off or replace the mechanism of a variant in a simulation that has not started."""
    engine = simulation.engine
    for name, dependency in engine.dependencies.items():
        if variant == "survivors":
            dependency.durations = CompletedCallsSketch()
        elif variant == "no breaker":
            dependency.circuit_breaker = DisabledCircuitBreaker(dependency.circuit_breaker.rng)
        elif variant == "gradient":
            engine.dependencies[name] = GradientLimitedDependency(
                dependency.spec, dependency.circuit_breaker.rng
            )
    if variant == "no price":
        simulation.worker_pool.releases_slots = False
    elif variant == "no second":
        engine.timeout_policy = NoHedgingPolicy(
            engine.timeout_policy.find_dependency,
            engine.timeout_policy.rng,
            engine.timeout_policy.earns_when_late,
        )


def simulate(job: tuple[int, str, float, int]) -> float:
    """Return the weight earned by one job: index of the scenario, variant, duration in seconds, seed."""
    index, variant, seconds, seed = job
    scenario = scenarios.all_scenarios(seconds)[index]
    if variant == "oracle":
        return CompositionSimulation(scenario, variant, seconds, seed).run().earned_weight
    simulation = CompositionSimulation(scenario, "budgets", seconds, seed)
    apply_variant(simulation, variant)
    return simulation.run().earned_weight


def run(quick: bool, seed: int) -> tuple[list[list[str]], dict[str, Any]]:
    """Run the experiment and return the rows of its table and its figures."""
    seconds = QUICK_SECONDS if quick else FULL_SECONDS
    names, columns = (
        [scenario.name for scenario in scenarios.all_scenarios(seconds)],
        ("oracle", *VARIANTS),
    )
    jobs = [(n, variant, seconds, seed) for n in range(len(names)) for variant in columns]
    with ProcessPoolExecutor() as pool:
        earned = dict(zip([(names[job[0]], job[1]) for job in jobs], pool.map(simulate, jobs)))
    oracle_shares = {
        (name, variant): earned[name, variant] / earned[name, "oracle"]
        for name in names
        for variant in VARIANTS
    }
    rows = [
        ["day", *VARIANTS],
        *([name, *(f"{oracle_shares[name, variant]:.3f}" for variant in VARIANTS)] for name in names),
    ]
    figures = {variant: round(min(oracle_shares[name, variant] for name in names), 3) for variant in VARIANTS}
    return rows, {"kept": figures, "seed": seed, "seconds": seconds}
