"""Membership experiment: real processes, the same scenarios in simulation, and plain heartbeats."""

from __future__ import annotations

from collections.abc import Sequence
from concurrent.futures import Future, ProcessPoolExecutor
from typing import Any

from saltcart.lab import members as model
from saltcart.lab.faults import membership_scenarios as rig
from saltcart.lab.members import MemberDay, MemberResult, percentile

CRASH_INTERVAL_SECONDS = 7.0  # in the day that simulates the real processes' crashes
SMALL_CRASH_DAY = MemberDay(
    "crash",
    25,
    4.0 + 60 * CRASH_INTERVAL_SECONDS,
    tuple(4.0 + n * CRASH_INTERVAL_SECONDS for n in range(20)),
)
LARGE_FLEET_SIZES = (1_000, 10_000)
# Both by whether the experiment is run with --quick.
LOSSY_DAY_SECONDS = {True: 300.0, False: 5_400.0}
LOSSY_DAY_COUNT = {True: 4, False: 28}


PARTITION_DAY = MemberDay("split", 5, 60.0, partition=(5.0, 25.0))
SLOW_MEMBER_DAY = MemberDay("slow", 9, 60.0, slow_member_delay=0.05)


def large_day(member_count: int, quick: bool) -> MemberDay:
    """A day of a large fleet.

    A crash among ten thousand members uses a core for minutes, so a quick run of that size has none.
    """
    if quick and member_count == max(LARGE_FLEET_SIZES):
        return MemberDay("quiet", member_count, 3.0)
    return MemberDay("crash", member_count, 11.0, (3.0,))


def simulation_jobs(quick: bool, seed: int) -> list[tuple[str, MemberDay, int]]:
    """The simulated days as jobs of ``members.simulate``, the longest first."""
    lossy_day = MemberDay("loss", 25, LOSSY_DAY_SECONDS[quick], loss_rate=0.3)
    jobs = [("swim", large_day(count, quick), seed) for count in reversed(LARGE_FLEET_SIZES)]
    jobs += [("swim", lossy_day, seed * 100 + n) for n in range(LOSSY_DAY_COUNT[quick])]
    jobs += [("swim", SMALL_CRASH_DAY, seed), ("beats", SMALL_CRASH_DAY, seed), ("beats", lossy_day, seed)]
    jobs += [(kind, day, seed) for kind in ("swim", "beats") for day in (PARTITION_DAY, SLOW_MEMBER_DAY)]
    return [*jobs, ("beats", MemberDay("crash", 200, 11.0, (3.0,)), seed)]


Curves = dict[str, dict[str, Sequence[float]]]


def run(quick: bool, seed: int) -> tuple[list[list[str]], dict[str, Any], Curves]:
    """Run the experiment.

    Args:
        quick: Whether to simulate fewer and shorter days.
        seed: Seed of all random draws.

    Returns:
        The table, the figures, and by second the share of correct views in each scenario of real processes.
    """
    # The real processes run in real time and use little of the machine; simulations use the other cores.
    with ProcessPoolExecutor(len(rig.SCENARIOS)) as rig_pool, ProcessPoolExecutor(6) as model_pool:
        rig_futures = {
            p.name: rig_pool.submit(rig.run_scenario, (n, seed + 1000 * n))
            for n, p in enumerate(rig.SCENARIOS)
        }
        model_futures: list[tuple[tuple[str, MemberDay, int], Future[MemberResult]]] = [
            (job, model_pool.submit(model.simulate, job)) for job in simulation_jobs(quick, seed)
        ]
        rig_results = {name: future.result() for name, future in rig_futures.items()}
        model_results = [(job, future.result()) for job, future in model_futures]
    rows = [["play", "members", "p50 s", "p99 s", "missed", "deaths", "hours", "pkt/s", "agree", "settled s"]]
    for p in rig.SCENARIOS:
        rig_result = rig_results[p.name]
        rows.append(
            [
                "processes: " + p.name,
                str(p.members),
                *_percentile_cells(rig_result.detected),
                str(rig_result.missed),
                str(rig_result.deaths),
                f"{rig_result.hours:.2f}",
                "-" if rig_result.quiet is None else f"{rig_result.quiet:.2f}",
                str(int(rig_result.settled)),
                "-" if rig_result.converged is None else f"{rig_result.converged:.1f}",
            ]
        )
    for (kind, day, _), result in model_results:
        rows.append(
            [
                f"{kind}: {day.name}",
                str(day.member_count),
                *_percentile_cells(result.detection_seconds),
                str(result.missed_count),
                str(result.false_death_count),
                f"{result.member_hours:.2f}",
                f"{result.quiet_packet_rate:.2f}",
                f"{result.agreement:.3f}",
                "-" if result.convergence_seconds is None else f"{result.convergence_seconds:.1f}",
            ]
        )
    return (
        rows,
        figures(rig_results, model_results, quick, seed),
        {name: {"true views": rig_result.truth} for name, rig_result in rig_results.items()},
    )


def _percentile_cells(seconds: list[float]) -> tuple[str, str]:
    """The median and the 99th percentile as table cells."""
    if not seconds:
        return "-", "-"
    return f"{percentile(seconds, 0.5):.2f}", f"{percentile(seconds, 0.99):.2f}"


def figures(
    rig_results: dict[str, rig.MembershipScenarioResult],
    model_results: list[tuple[tuple[str, MemberDay, int], MemberResult]],
    quick: bool,
    seed: int,
) -> dict[str, Any]:
    """Figures of the experiment's JSON object.

    Args:
        rig_results: Results of the real processes by scenario.
        model_results: Results of the simulation with their jobs.
        quick: Whether the experiment was run with --quick.
        seed: Seed of all random draws.
    """

    def select(kind: str, name: str, member_count: int) -> list[MemberResult]:
        return [
            result
            for (k, day, _), result in model_results
            if (k, day.name, day.member_count) == (kind, name, member_count)
        ]

    (swim_crash,), (beats_crash,), (swim_partition,) = (
        select("swim", "crash", 25),
        select("beats", "crash", 25),
        select("swim", "split", 5),
    )
    (beats_partition,), (beats_large,) = select("beats", "split", 5), select("beats", "crash", 200)
    swim_lossy, beats_lossy = select("swim", "loss", 25), select("beats", "loss", 25)
    large_fleets = {
        day.member_count: result
        for (kind, day, _), result in model_results
        if kind == "swim" and day.member_count in LARGE_FLEET_SIZES
    }
    rig_crashes = [rig_results[name] for name in ("crash 25", "crash 25 again")]
    detection_seconds = [seconds for r in rig_crashes for seconds in r.detected]
    quiet_packet_rate = _mean([r.quiet for r in rig_crashes if r.quiet is not None])
    member_hours = sum(r.member_hours for r in swim_lossy) + sum(r.hours for r in rig_results.values())
    false_deaths = sum(r.false_death_count for r in swim_lossy) + sum(r.deaths for r in rig_results.values())
    model_gaps = [
        _relative_difference(_mean(detection_seconds), _mean(swim_crash.detection_seconds)),
        _relative_difference(quiet_packet_rate, swim_crash.quiet_packet_rate),
    ]
    return {
        "detect_p99_s": round(percentile(detection_seconds, 0.99), 2),
        "detect_p99_s_heartbeats": round(percentile(beats_crash.detection_seconds, 0.99), 2),
        "crashes": len(detection_seconds) // 24,
        "missed": sum(r.missed for r in rig_results.values()),
        "false_positive_rate": round(false_deaths / member_hours, 5),
        "false_positive_hours": round(member_hours, 1),
        "false_positive_rate_heartbeats": round(
            sum(r.false_death_count for r in beats_lossy) / sum(r.member_hours for r in beats_lossy), 1
        ),
        "converge_s": None if (s := rig_results["partition 5"].converged) is None else round(s, 2),
        "converge_s_model": swim_partition.convergence_seconds,
        "converge_s_heartbeats": beats_partition.convergence_seconds,
        "join_s": None if (s := rig_results["join 15"].converged) is None else round(s, 2),
        "refuted": rig_results["pause 5"].refuted,
        "views_agree": int(all(r.settled for r in rig_results.values())),
        "msgs_per_member_s": round(swim_crash.quiet_packet_rate, 2),
        "msgs_growth": round(large_fleets[10_000].quiet_packet_rate / swim_crash.quiet_packet_rate, 3),
        "msgs_per_member_s_heartbeats": {
            "25": round(beats_crash.quiet_packet_rate, 1),
            "200": round(beats_large.quiet_packet_rate, 1),
        },
        "detect_p99_s_model": {
            str(count): round(percentile(result.detection_seconds, 0.99), 2)
            for count, result in (*large_fleets.items(), (25, swim_crash))
            if result.detection_seconds
        },
        "model_gap": round(max(model_gaps), 3),
        "seed": seed,
        "quick": quick,
    }


def _mean(values: list[float]) -> float:
    return sum(values) / max(1, len(values))


def _relative_difference(value: float, reference: float) -> float:
    return abs(value - reference) / max(1e-9, reference)
