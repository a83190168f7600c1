"""The experiment on zones: the model at size, real processes in the rig, and two baselines."""

from __future__ import annotations

from collections.abc import Sequence
from concurrent.futures import ProcessPoolExecutor
from typing import Any

from saltcart.lab import zones as model
from saltcart.lab.faults import zones as rig
from saltcart.lab.zones import POLICIES, Day, Seen

SIZE = {True: 180, False: 2_000}  # instances of the model, by --quick
FLAP_S = {True: 1_800.0, False: 3_600.0}  # seconds of the flapping day
Curves = dict[str, dict[str, Sequence[float]]]


def days(quick: bool) -> list[Day]:
    """The model's days; the flapping one is as long as the size of the experiment allows."""
    seconds = FLAP_S[quick]
    return [
        day if day.flap is None else day._replace(seconds=seconds, end=seconds - 10.0)
        for day in model.days(SIZE[quick])
    ]


def run(quick: bool, seed: int) -> tuple[list[list[str]], dict[str, Any], Curves]:
    """The table, the figures, and by half second what was served of the troubled zones' work."""
    jobs = [(day, policy, seed) for day in days(quick) for policy in POLICIES]
    jobs.sort(key=lambda job: -job[0].seconds * job[0].instances)
    with ProcessPoolExecutor(len(rig.SCENARIOS)) as real, ProcessPoolExecutor(6) as other:
        started = [real.submit(rig.run_scenario, (n, seed)) for n in range(len(rig.SCENARIOS))]
        seen = dict(zip([(day.name, policy) for day, policy, _ in jobs], other.map(model.play, jobs)))
        told = {p.name: future.result() for p, future in zip(rig.SCENARIOS, started)}
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
    for day in days(quick):
        for policy in POLICIES:
            s = seen[day.name, policy]
            rows.append(
                [
                    day.name,
                    policy,
                    f"{s.success:.4f}",
                    f"{s.worth_kept:.4f}",
                    f"{s.refused / s.requests:.4f}",
                    f"{s.kept_local:.3f}",
                    _span(s.failover),
                    _span(s.back_home),
                    str(s.moves),
                    str(s.swings),
                    str(s.overloads),
                    f"{s.agree:.3f}" if policy == "common" else "-",
                ]
            )
    for name, t in told.items():
        rows.append(
            [
                "processes: " + name,
                "common",
                f"{t.success:.4f}",
                "-",
                "-",
                f"{t.kept_local:.3f}",
                _span(t.failover),
                "-",
                str(t.moves),
                str(t.swings),
                "-",
                f"{t.agree:.3f}",
            ]
        )
    curves: Curves = {
        name: {policy: seen[name, policy].lost_share for policy in POLICIES}
        for name in ("zone lost", "half slow", "region lost")
    }
    return rows, figures(seen, told, quick, seed), curves


def _span(seconds: float | None) -> str:
    return "-" if seconds is None else f"{seconds:.1f}"


def figures(
    seen: dict[tuple[str, str], Seen], told: dict[str, rig.ZoneScenarioResult], quick: bool, seed: int
) -> dict[str, Any]:
    ours = {day: s for (day, policy), s in seen.items() if policy == "common"}
    flap, lost = ours["flap"], ours["zone lost"]

    everyone: list[Seen | rig.ZoneScenarioResult] = [*ours.values(), *told.values()]
    out: dict[str, Any] = {
        "kept_local": round(min(s.kept_local for s in everyone), 3),
        "failover_s": lost.failover,
        "failover_s_processes": told["zone lost"].failover,
        "overload_moves": sum(s.overloads for s in ours.values()),
        "flaps": round(flap.swings / flap.hours, 2),  # of the work that the flapping link carries
        "moves_on_flap_an_hour": round(flap.moves / flap.hours, 1),
        "agree": round(min(s.agree for s in everyone), 4),
        "success": round(lost.success, 4),
        "success_processes": round(told["zone lost"].success, 4),
        "success_region_lost": round(ours["region lost"].success, 4),
        "worth_region_lost": round(ours["region lost"].worth_kept, 4),
        "success_half_slow": round(ours["half slow"].success, 4),
    }
    for policy in ("alone", "even"):
        s, region, slow = seen["zone lost", policy], seen["region lost", policy], seen["half slow", policy]
        out |= {
            f"kept_local_{policy}": round(min(seen[day, policy].kept_local for day in ours), 3),
            f"failover_s_{policy}": s.failover,
            f"success_{policy}": round(s.success, 4),
            f"success_region_lost_{policy}": round(region.success, 4),
            f"worth_region_lost_{policy}": round(region.worth_kept, 4),
            f"success_half_slow_{policy}": round(slow.success, 4),
            f"over_seconds_{policy}": round(sum(seen[day, policy].over_seconds for day in ours), 1),
        }
    return out | {
        "over_seconds": round(sum(s.over_seconds for s in ours.values()), 1),
        "instances": SIZE[quick],
        "seed": seed,
        "quick": quick,
    }
