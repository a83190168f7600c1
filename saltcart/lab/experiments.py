"""The experiments by name; each prints its table and returns its figures."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from saltcart.lab import report


@dataclass(frozen=True)
class ExperimentOptions:
    """Options of a run of an experiment.

    Attributes:
        quick: Whether to run a shorter version.
        seed: Seed of the random draws.
        sockets: Whether to run real processes on loopback, where the experiment supports it.
        plot: The file to write a plot to; None for no plot.
        nodes: The only size of the fleet to run; None for all sizes.
    """

    quick: bool = False
    seed: int = 1
    sockets: bool = False
    plot: Path | None = None
    nodes: int | None = None


def print_table(rows: list[list[str]], figures: dict[str, Any]) -> dict[str, Any]:
    """Print the table and return the figures, which the command prints last."""
    print(report.format_table(rows))
    return figures


def budgets(options: ExperimentOptions) -> dict[str, Any]:
    """Composed responses with faulty dependencies: time budgets, fixed timeouts, no timeouts, an oracle."""
    from saltcart.lab import budgets as experiment
    from saltcart.lab import sockets

    if options.sockets:
        shares = asyncio.run(sockets.run(options.seed))
        print(
            report.format_table(
                [["", "share of worth"], *([name, f"{shares[name]:.3f}"] for name in ("sockets", "model"))]
            )
        )
        return {name: round(value, 4) for name, value in shares.items()} | {"seed": options.seed}
    rows, figures, results = experiment.run(options.quick, options.seed)
    print(report.format_table(rows))
    if options.plot is not None:
        report.plot_lines(
            options.plot,
            {
                scenario: {
                    policy: [
                        result.earned_weight_by_second[second] for second in range(int(figures["seconds"]))
                    ]
                    for policy, result in by_policy.items()
                }
                for scenario, by_policy in results.items()
            },
            "worth earned",
        )
    return figures


def storm(options: ExperimentOptions) -> dict[str, Any]:
    """Retry storm: a third of the nodes fails and restarts cold while clients retry without limit."""
    from saltcart.lab import storm as experiment
    from saltcart.lab import storm_sockets

    if options.sockets:
        rows, figures, curves = storm_sockets.run(options.seed)
    else:
        rows, figures, curves = experiment.run(options.quick, options.seed, options.nodes)
    print(report.format_table(rows))
    if options.plot is not None:
        report.plot_lines(options.plot, curves, "share of worth kept")
    return figures


def members(options: ExperimentOptions) -> dict[str, Any]:
    """Membership of real processes that are killed, paused and partitioned, and of simulated ones."""
    from saltcart.lab import membership

    rows, figures, agreement = membership.run(options.quick, options.seed)
    if options.plot is not None:
        report.plot_lines(options.plot, agreement, "share of views that are true")
    return print_table(rows, figures)


def zones(options: ExperimentOptions) -> dict[str, Any]:
    """Zones that fail, slow down, are partitioned or flap, in a large simulation and with real processes."""
    from saltcart.lab import locality_experiment

    rows, figures, curves = locality_experiment.run(options.quick, options.seed)
    if options.plot is not None:
        report.plot_lines(options.plot, curves, "share of the troubled work served")
    return print_table(rows, figures)


def subsets(options: ExperimentOptions) -> dict[str, Any]:
    """Subsets of upstreams as hundreds of instances and upstreams come and go; shared limits; staggering."""
    from saltcart.lab import subsets as experiment

    return print_table(*experiment.run(options.quick, options.seed))


def views(options: ExperimentOptions) -> dict[str, Any]:
    """Data structures of the membership compared with plain ones: bytes and time."""
    from saltcart.lab import views as experiment

    return print_table(*experiment.run(options.quick, options.seed))


def sketch(options: ExperimentOptions) -> dict[str, Any]:
    """Quantile sketch compared with a sorted window: bytes, error and time."""
    from saltcart.lab import sketches

    return print_table(*sketches.run(options.quick, options.seed))


def ablations(options: ExperimentOptions) -> dict[str, Any]:
    """Composed responses with one mechanism off or replaced, in the same nine scenarios."""
    from saltcart.lab import ablations as experiment

    return print_table(*experiment.run(options.quick, options.seed))


def filters(options: ExperimentOptions) -> dict[str, Any]:
    """Filter of rejected requests compared with a dict: bytes, errors and time."""
    from saltcart.lab import filters as experiment

    return print_table(*experiment.run(options.quick, options.seed))


def clock(options: ExperimentOptions) -> dict[str, Any]:
    """Event queue of the simulations compared with simpy: events per second."""
    from saltcart.lab import clocks

    return print_table(*clocks.run(options.quick))


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
