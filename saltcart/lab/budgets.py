"""Experiment on composed responses: nine scenarios under the engine's timeout policy and three baselines.

The core, the decision module and the composition engine are those of the service.  ``fixed`` gives each stage
an equal share of the time to the objective, ``none`` waits for each call as long as the caller waits and
retries errors at once; both call without regard to limits.  ``oracle`` knows the result of each call and
always has a free slot: it earns the most that the rules on partial responses allow.
"""

from __future__ import annotations

import heapq
import itertools
import random
import resource
import time
from concurrent.futures import ProcessPoolExecutor
from typing import Any

from saltcart.composition.composed_run import CompositionAction, SendCall
from saltcart.composition.composition_engine import CompositionEngine
from saltcart.decision.outcome import Outcome
from saltcart.field_reader import FieldReader
from saltcart.lab import composition_scenarios as scenarios
from saltcart.lab.composition_simulation import (
    REQUESTS_PER_SECOND,
    CompositionFigures,
    CompositionSimulation,
    read_composition_plans,
)
from saltcart.platform_settings import read_settings

QUICK_SECONDS, FULL_SECONDS = 40.0, 240.0  # duration of a run
POLICY_NAMES = ("budgets", "fixed", "none", "oracle")
QUICK_COST_RUNS, FULL_COST_RUNS = 20_000, 1_000_000  # runs of the engine alone


def simulate(job: tuple[int, str, float, int]) -> CompositionFigures:
    """Run one job of the experiment: index of the scenario, policy, duration in seconds, seed."""
    index, policy_name, seconds, seed = job
    return CompositionSimulation(scenarios.all_scenarios(seconds)[index], policy_name, seconds, seed).run()


def run(
    quick: bool, seed: int
) -> tuple[list[list[str]], dict[str, Any], dict[str, dict[str, CompositionFigures]]]:
    """Run the experiment.

    Returns:
        The rows of the table, the figures, and the results by scenario and policy.
    """
    seconds = QUICK_SECONDS if quick else FULL_SECONDS
    names = [scenario.name for scenario in scenarios.all_scenarios(seconds)]
    jobs = [(n, policy_name, seconds, seed) for n in range(len(names)) for policy_name in POLICY_NAMES]
    with ProcessPoolExecutor() as pool:
        finished = dict(zip([(names[job[0]], job[1]) for job in jobs], pool.map(simulate, jobs)))
    results = {
        name: {policy_name: finished[name, policy_name] for policy_name in POLICY_NAMES} for name in names
    }
    rows = [
        [
            "day",
            "policy",
            "kept",
            "worth",
            "whole",
            "partial",
            "refused",
            "failed",
            "p50 ms",
            "p99 ms",
            "load",
        ]
    ]
    for name, by_policy in results.items():
        for policy_name, result in by_policy.items():
            responses = result.responses_by_status
            rows.append(
                [
                    name,
                    policy_name,
                    f"{share_of_oracle(by_policy, policy_name):.3f}",
                    f"{result.earned_weight / result.offered_weight:.3f}",
                    *(str(responses[status]) for status in ("served", "partial", "refused", "failed")),
                    f"{result.median_ms:.0f}",
                    f"{result.p99_ms:.0f}",
                    f"{result.load_factor:.2f}",
                ]
            )
    cost = measure_engine_cost(QUICK_COST_RUNS if quick else FULL_COST_RUNS, seed)
    own_results = [by_policy["budgets"] for by_policy in results.values()]
    figures = {
        "kept": least_share_of_oracle(results, "budgets"),
        "kept_fixed": least_share_of_oracle(results, "fixed"),
        "kept_none": least_share_of_oracle(results, "none"),
        "writes_partial": sum(result.partial_writes for result in own_results),
        "writes_twice": sum(result.repeated_writes for result in own_results),
        "late": sum(result.late_responses + result.unanswered for result in own_results),
        "load_factor": round(max(result.load_factor for result in own_results), 3),
        **cost,
        "requests_per_s": round(
            sum(result.requests for result in own_results)
            / sum(result.elapsed_seconds for result in own_results)
        ),
        "by_day": {
            name: round(share_of_oracle(by_policy, "budgets"), 3) for name, by_policy in results.items()
        },
        "seed": seed,
        "seconds": seconds,
    }
    return rows, figures, results


def measure_engine_cost(run_count: int, seed: int) -> dict[str, Any]:
    """Measure processor time and memory of the composition engine alone.

    The processor time is that of the whole loop, which is a little more than the engine's.
    """
    settings = read_settings(FieldReader(scenarios.SETTINGS, "settings"))
    engine, rng = (
        CompositionEngine(read_composition_plans(settings), seed, settings.classes),
        random.Random(seed),
    )
    replies, sequence, sent_count = list[tuple[float, int, bytes]](), itertools.count(), 0
    peaks_kb, cpu_start, now = list[int](), time.process_time(), 1_000.0
    class_names = rng.choices(scenarios.CLASS_NAMES, scenarios.CLASS_SHARES, k=1000)
    actions: list[CompositionAction] = []
    for n in range(run_count):
        now += 1 / REQUESTS_PER_SECOND
        while replies and replies[0][0] <= now:
            when, _, call_id = heapq.heappop(replies)
            actions += engine.tick(when) + engine.call_finished(when, call_id, Outcome.SUCCEEDED, b'{"ok":1}')
        actions += engine.tick(now)
        actions += engine.start(now, b"%016x" % n, class_names[n % 1000], "", b'{"n":1}', now + 1, now + 2)
        for action in actions:
            if isinstance(action, SendCall):
                sent_count += 1
                seconds = scenarios.DEPENDENCY_PROFILES[action.dependency].median * (0.5 + rng.random())
                heapq.heappush(replies, (now + seconds, next(sequence), action.id))
        actions = []
        if n % (run_count // 4) == run_count // 4 - 1:
            peaks_kb.append(resource.getrusage(resource.RUSAGE_SELF).ru_maxrss)
    cpu_seconds = time.process_time() - cpu_start
    return {
        "us_per_call": round(1e6 * cpu_seconds / sent_count, 1),
        "cost_runs": run_count,
        "runs_left_open": len(engine.runs),
        "memory_growth_kb": peaks_kb[-1] - peaks_kb[0],
    }


def share_of_oracle(by_policy: dict[str, CompositionFigures], policy_name: str) -> float:
    """Return the earned weight as a share of what the oracle earned in the same scenario."""
    return by_policy[policy_name].earned_weight / by_policy["oracle"].earned_weight


def least_share_of_oracle(results: dict[str, dict[str, CompositionFigures]], policy_name: str) -> float:
    """Return the least share over the scenarios."""
    return round(min(share_of_oracle(by_policy, policy_name) for by_policy in results.values()), 3)
