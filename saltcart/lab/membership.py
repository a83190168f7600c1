"""The experiment on membership: real processes in the rig, the model beside them, and plain heartbeats."""

from __future__ import annotations

from collections.abc import Sequence
from concurrent.futures import Future, ProcessPoolExecutor
from typing import Any

from saltcart.lab import members as model
from saltcart.lab.faults import membership_scenarios as rig
from saltcart.lab.members import Day, Seen, percentile

EVERY = 7.0  # seconds between two crashes of the model's twin of the processes' play
TWIN = Day("crash", 25, 4.0 + 60 * EVERY, tuple(4.0 + n * EVERY for n in range(20)))
LARGE = (1_000, 10_000)
LOSSY_S = {True: 300.0, False: 5_400.0}  # seconds of each play with packets lost, by --quick
LOSSY = {True: 4, False: 28}  # and how many plays


SPLIT = Day("split", 5, 60.0, split=(5.0, 25.0))
SLOW = Day("slow", 9, 60.0, slow=0.05)


def large(count: int, quick: bool) -> Day:
    """Ten thousand with a crash take a core for minutes: quickly they are only looked at in peace."""
    if quick and count == max(LARGE):
        return Day("quiet", count, 3.0)
    return Day("crash", count, 11.0, (3.0,))


def jobs(quick: bool, seed: int) -> list[tuple[str, Day, int]]:
    loss = Day("loss", 25, LOSSY_S[quick], loss=0.3)
    out = [("swim", large(count, quick), seed) for count in reversed(LARGE)]
    out += [("swim", loss, seed * 100 + n) for n in range(LOSSY[quick])]
    out += [("swim", TWIN, seed), ("beats", TWIN, seed), ("beats", loss, seed)]
    out += [(kind, day, seed) for kind in ("swim", "beats") for day in (SPLIT, SLOW)]
    return [*out, ("beats", Day("crash", 200, 11.0, (3.0,)), seed)]


Truth = dict[str, dict[str, Sequence[float]]]


def run(quick: bool, seed: int) -> tuple[list[list[str]], dict[str, Any], Truth]:
    """The table, the figures, and by second the share of true views in each play of the processes."""
    # The processes are in real time and need little; the model's plays take what is left.
    with ProcessPoolExecutor(len(rig.SCENARIOS)) as real, ProcessPoolExecutor(6) as other:
        started = {
            p.name: real.submit(rig.run_scenario, (n, seed + 1000 * n)) for n, p in enumerate(rig.SCENARIOS)
        }
        modelled: list[tuple[tuple[str, Day, int], Future[Seen]]] = [
            (job, other.submit(model.play, job)) for job in jobs(quick, seed)
        ]
        told = {name: future.result() for name, future in started.items()}
        seen = [(job, future.result()) for job, future in modelled]
    rows = [["play", "members", "p50 s", "p99 s", "missed", "deaths", "hours", "pkt/s", "agree", "settled s"]]
    for p in rig.SCENARIOS:
        t = told[p.name]
        rows.append(
            [
                "processes: " + p.name,
                str(p.members),
                *_spans(t.detected),
                str(t.missed),
                str(t.deaths),
                f"{t.hours:.2f}",
                "-" if t.quiet is None else f"{t.quiet:.2f}",
                str(int(t.settled)),
                "-" if t.converged is None else f"{t.converged:.1f}",
            ]
        )
    for (kind, day, _), s in seen:
        rows.append(
            [
                f"{kind}: {day.name}",
                str(day.members),
                *_spans(s.detected),
                str(s.missed),
                str(s.deaths),
                f"{s.hours:.2f}",
                f"{s.quiet:.2f}",
                f"{s.agree:.3f}",
                "-" if s.converged is None else f"{s.converged:.1f}",
            ]
        )
    return rows, figures(told, seen, quick, seed), {name: {"true views": t.truth} for name, t in told.items()}


def _spans(values: list[float]) -> tuple[str, str]:
    if not values:
        return "-", "-"
    return f"{percentile(values, 0.5):.2f}", f"{percentile(values, 0.99):.2f}"


def figures(
    told: dict[str, rig.MembershipScenarioResult],
    seen: list[tuple[tuple[str, Day, int], Seen]],
    quick: bool,
    seed: int,
) -> dict[str, Any]:
    def of(kind: str, name: str, members: int) -> list[Seen]:
        return [s for (k, day, _), s in seen if (k, day.name, day.members) == (kind, name, members)]

    (twin,), (beats,), (split,) = of("swim", "crash", 25), of("beats", "crash", 25), of("swim", "split", 5)
    (beats_split,), (beats_large,) = of("beats", "split", 5), of("beats", "crash", 200)
    loss, beats_loss = of("swim", "loss", 25), of("beats", "loss", 25)
    sizes = {day.members: s for (kind, day, _), s in seen if kind == "swim" and day.members in LARGE}
    crashes = [told[name] for name in ("crash 25", "crash 25 again")]
    detected = [s for t in crashes for s in t.detected]
    quiet = _mean([t.quiet for t in crashes if t.quiet is not None])
    hours = sum(s.hours for s in loss) + sum(t.hours for t in told.values())
    deaths = sum(s.deaths for s in loss) + sum(t.deaths for t in told.values())
    gaps = [_apart(_mean(detected), _mean(twin.detected)), _apart(quiet, twin.quiet)]
    return {
        "detect_p99_s": round(percentile(detected, 0.99), 2),
        "detect_p99_s_heartbeats": round(percentile(beats.detected, 0.99), 2),
        "crashes": len(detected) // 24,
        "missed": sum(t.missed for t in told.values()),
        "false_positive_rate": round(deaths / hours, 5),
        "false_positive_hours": round(hours, 1),
        "false_positive_rate_heartbeats": round(
            sum(s.deaths for s in beats_loss) / sum(s.hours for s in beats_loss), 1
        ),
        "converge_s": None if (c := told["partition 5"].converged) is None else round(c, 2),
        "converge_s_model": split.converged,
        "converge_s_heartbeats": beats_split.converged,
        "join_s": None if (c := told["join 15"].converged) is None else round(c, 2),
        "refuted": told["pause 5"].refuted,
        "views_agree": int(all(t.settled for t in told.values())),
        "msgs_per_member_s": round(twin.quiet, 2),
        "msgs_growth": round(sizes[10_000].quiet / twin.quiet, 3),
        "msgs_per_member_s_heartbeats": {"25": round(beats.quiet, 1), "200": round(beats_large.quiet, 1)},
        "detect_p99_s_model": {
            str(count): round(percentile(s.detected, 0.99), 2)
            for count, s in (*sizes.items(), (25, twin))
            if s.detected
        },
        "model_gap": round(max(gaps), 3),
        "seed": seed,
        "quick": quick,
    }


def _mean(values: list[float]) -> float:
    return sum(values) / max(1, len(values))


def _apart(a: float, b: float) -> float:
    return abs(a - b) / max(1e-9, b)
