"""The experiments by name; each prints its table and ends with one JSON object."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from saltcart.lab import report


@dataclass(frozen=True)
class ExperimentOptions:
    """How an experiment is to be run."""

    quick: bool = False
    seed: int = 1
    sockets: bool = False
    plot: Path | None = None
    nodes: int | None = None


def told(rows: list[list[str]], figures: dict[str, Any]) -> dict[str, Any]:
    """Print the table; the figures come last, from the command line."""
    print(report.table(rows))
    return figures


def budgets(choice: ExperimentOptions) -> dict[str, Any]:
    """Nine days of failing dependencies, against fixed time-outs, none, and an oracle."""
    from saltcart.lab import budgets as experiment
    from saltcart.lab import sockets

    if choice.sockets:
        seen = asyncio.run(sockets.run(choice.seed))
        print(report.table([["", "share of worth"], *([k, f"{seen[k]:.3f}"] for k in ("sockets", "model"))]))
        return {k: round(v, 4) for k, v in seen.items()} | {"seed": choice.seed}
    rows, figures, days = experiment.run(choice.quick, choice.seed)
    print(report.table(rows))
    if choice.plot is not None:
        report.plot_lines(
            choice.plot,
            {
                day: {
                    policy: [
                        result.earned_weight_by_second[second] for second in range(int(figures["seconds"]))
                    ]
                    for policy, result in by_policy.items()
                }
                for day, by_policy in days.items()
            },
            "worth earned",
        )
    return figures


def storm(choice: ExperimentOptions) -> dict[str, Any]:
    """A room of a third of the nodes goes and comes back cold, while clients repeat without limit."""
    from saltcart.lab import storm as experiment
    from saltcart.lab import storm_sockets

    if choice.sockets:
        rows, figures, worth = storm_sockets.run(choice.seed)
    else:
        rows, figures, worth = experiment.run(choice.quick, choice.seed, choice.nodes)
    print(report.table(rows))
    if choice.plot is not None:
        report.plot_lines(choice.plot, worth, "share of worth kept")
    return figures


def members(choice: ExperimentOptions) -> dict[str, Any]:
    """Real processes that keep a view of each other while they are killed, paused and cut off."""
    from saltcart.lab import membership

    rows, figures, truth = membership.run(choice.quick, choice.seed)
    if choice.plot is not None:
        report.plot_lines(choice.plot, truth, "share of views that are true")
    return told(rows, figures)


def zones(choice: ExperimentOptions) -> dict[str, Any]:
    """Zones that fall, slow down, are cut off and flap, in a model of thousands and with real processes."""
    from saltcart.lab import nearness

    rows, figures, curves = nearness.run(choice.quick, choice.seed)
    if choice.plot is not None:
        report.plot_lines(choice.plot, curves, "share of the troubled work served")
    return told(rows, figures)


def subsets(choice: ExperimentOptions) -> dict[str, Any]:
    """Who connects to whom, as hundreds of instances and upstreams come and go; shared limits; turns."""
    from saltcart.lab import subsets as experiment

    return told(*experiment.run(choice.quick, choice.seed))


def views(choice: ExperimentOptions) -> dict[str, Any]:
    """Membership's data structures beside plain ones: bytes and time."""
    from saltcart.lab import views as experiment

    return told(*experiment.run(choice.quick, choice.seed))


def sketch(choice: ExperimentOptions) -> dict[str, Any]:
    """The quantile sketch beside a plain sorted window: bytes, error, time."""
    from saltcart.lab import sketches

    return told(*sketches.run(choice.quick, choice.seed))


def ablations(choice: ExperimentOptions) -> dict[str, Any]:
    """The budgets with one part taken out, or put another way, on the same nine days."""
    from saltcart.lab import ablations as experiment

    return told(*experiment.run(choice.quick, choice.seed))


def filters(choice: ExperimentOptions) -> dict[str, Any]:
    """The filter of refused work beside a plain dict: bytes, error, time."""
    from saltcart.lab import filters as experiment

    return told(*experiment.run(choice.quick, choice.seed))


def clock(choice: ExperimentOptions) -> dict[str, Any]:
    """The model's event clock beside simpy's: events a second."""
    from saltcart.lab import clocks

    return told(*clocks.run(choice.quick))


EXPERIMENTS: dict[str, Callable[[ExperimentOptions], dict[str, Any]]] = {
    "budgets": budgets,
    "storm": storm,
    "members": members,
    "views": views,
    "zones": zones,
    "subsets": subsets,
    "ablations": ablations,
    "sketch": sketch,
    "filters": filters,
    "clock": clock,
}
