"""Locality experiment: simulated fleets and real processes, compared with two baseline policies."""

from __future__ import annotations

from collections.abc import Sequence
from concurrent.futures import ProcessPoolExecutor
from typing import Any

from saltcart.lab import zones as model
from saltcart.lab.faults import zones as rig
from saltcart.lab.zones import POLICIES, ZoneDay, ZoneResult

# Both by whether the experiment is run with --quick.
INSTANCE_COUNT = {True: 180, False: 2_000}  # of the simulated fleet
FLAPPING_DAY_SECONDS = {True: 1_800.0, False: 3_600.0}
Curves = dict[str, dict[str, Sequence[float]]]


def simulated_days(quick: bool) -> list[ZoneDay]:
    """The simulated days; the duration of the flapping one depends on ``quick``."""
    seconds = FLAPPING_DAY_SECONDS[quick]
    return [
        day if day.flapping is None else day._replace(duration_seconds=seconds, fault_end=seconds - 10.0)
        for day in model.simulated_days(INSTANCE_COUNT[quick])
    ]


def run(quick: bool, seed: int) -> tuple[list[list[str]], dict[str, Any], Curves]:
    """Run the experiment.

    Args:
        quick: Whether to use a smaller fleet and a shorter flapping day.
        seed: Seed of all random draws.

    Returns:
        The table, the figures, and by half second the share of the affected zones' requests that was served.
    """
    jobs = [(day, policy, seed) for day in simulated_days(quick) for policy in POLICIES]
    jobs.sort(key=lambda job: -job[0].duration_seconds * job[0].instance_count)
    with ProcessPoolExecutor(len(rig.SCENARIOS)) as rig_pool, ProcessPoolExecutor(6) as model_pool:
        rig_futures = [rig_pool.submit(rig.run_scenario, (n, seed)) for n in range(len(rig.SCENARIOS))]
        results = dict(
            zip([(day.name, policy) for day, policy, _ in jobs], model_pool.map(model.simulate, jobs))
        )
        rig_results = {p.name: future.result() for p, future in zip(rig.SCENARIOS, rig_futures)}
    rows = [
        [
            "day",
            "policy",
            "success",
            "worth",
            "refused",
            "home",
            "failover s",
            "home again s",
            "moves",
            "swings",
            "overloads",
            "agree",
        ]
    ]
    for day in simulated_days(quick):
        for policy in POLICIES:
            result = results[day.name, policy]
            rows.append(
                [
                    day.name,
                    policy,
                    f"{result.success:.4f}",
                    f"{result.earned_weight_share:.4f}",
                    f"{result.rejected_count / result.request_count:.4f}",
                    f"{result.kept_local:.3f}",
                    _seconds_cell(result.failover_seconds),
                    _seconds_cell(result.return_seconds),
                    str(result.moves),
                    str(result.swings),
                    str(result.overloads),
                    f"{result.agree:.3f}" if policy == "common" else "-",
                ]
            )
    for name, rig_result in rig_results.items():
        rows.append(
            [
                "processes: " + name,
                "common",
                f"{rig_result.success:.4f}",
                "-",
                "-",
                f"{rig_result.kept_local:.3f}",
                _seconds_cell(rig_result.failover),
                "-",
                str(rig_result.moves),
                str(rig_result.swings),
                "-",
                f"{rig_result.agree:.3f}",
            ]
        )
    curves: Curves = {
        name: {policy: results[name, policy].served_share_by_half_second for policy in POLICIES}
        for name in ("zone lost", "half slow", "region lost")
    }
    return rows, figures(results, rig_results, quick, seed), curves


def _seconds_cell(seconds: float | None) -> str:
    return "-" if seconds is None else f"{seconds:.1f}"


def figures(
    results: dict[tuple[str, str], ZoneResult],
    rig_results: dict[str, rig.ZoneScenarioResult],
    quick: bool,
    seed: int,
) -> dict[str, Any]:
    """Figures of the experiment's JSON object.

    Args:
        results: Results of the simulation by day and policy.
        rig_results: Results of the real processes by scenario.
        quick: Whether the experiment was run with --quick.
        seed: Seed of all random draws.
    """
    common = {day: result for (day, policy), result in results.items() if policy == "common"}
    flap, zone_lost = common["flap"], common["zone lost"]

    all_results: list[ZoneResult | rig.ZoneScenarioResult] = [*common.values(), *rig_results.values()]
    values: dict[str, Any] = {
        "kept_local": round(min(r.kept_local for r in all_results), 3),
        "failover_s": zone_lost.failover_seconds,
        "failover_s_processes": rig_results["zone lost"].failover,
        "overload_moves": sum(r.overloads for r in common.values()),
        "flaps": round(flap.swings / flap.simulated_hours, 2),  # of requests that use the flapping link
        "moves_on_flap_an_hour": round(flap.moves / flap.simulated_hours, 1),
        "agree": round(min(r.agree for r in all_results), 4),
        "success": round(zone_lost.success, 4),
        "success_processes": round(rig_results["zone lost"].success, 4),
        "success_region_lost": round(common["region lost"].success, 4),
        "worth_region_lost": round(common["region lost"].earned_weight_share, 4),
        "success_half_slow": round(common["half slow"].success, 4),
    }
    for policy in ("alone", "even"):
        zone_lost_result, region_lost_result, half_slow_result = (
            results["zone lost", policy],
            results["region lost", policy],
            results["half slow", policy],
        )
        values |= {
            f"kept_local_{policy}": round(min(results[day, policy].kept_local for day in common), 3),
            f"failover_s_{policy}": zone_lost_result.failover_seconds,
            f"success_{policy}": round(zone_lost_result.success, 4),
            f"success_region_lost_{policy}": round(region_lost_result.success, 4),
            f"worth_region_lost_{policy}": round(region_lost_result.earned_weight_share, 4),
            f"success_half_slow_{policy}": round(half_slow_result.success, 4),
            f"over_seconds_{policy}": round(sum(results[day, policy].overload_seconds for day in common), 1),
        }
    return values | {
        "over_seconds": round(sum(r.overload_seconds for r in common.values()), 1),
        "instances": INSTANCE_COUNT[quick],
        "seed": seed,
        "quick": quick,
    }
