"""The command line: checks of deployment files, the importer and the experiments of the lab.

``python -m saltcart`` without arguments runs the service and doesn't load this module.
"""

from __future__ import annotations

import sys
from pathlib import Path

import click

from saltcart import config, deployment


@click.group()
def cli() -> None:
    """Overload controller for the servers of a fleet."""


@cli.command()
def serve() -> None:
    """Run the service, as `python -m saltcart` without arguments does."""
    from saltcart.__main__ import run_service

    sys.exit(run_service())


@cli.command()
@click.argument("file", type=click.Path(path_type=Path))
@click.option(
    "--config",
    "platform_file",
    type=click.Path(path_type=Path),
    help="The platform's configuration file: plans are checked against its classes.",
)
def check(file: Path, platform_file: Path | None) -> None:
    """Check a deployment FILE; if it is invalid, print one line and exit with status 2."""
    try:
        loaded = deployment.load({"SALTCART_DEPLOYMENT": str(file)})
        if platform_file is not None:
            conf = config.load({"BALANCER_CONFIG": str(platform_file)})
            if loaded.plans is not None:
                from saltcart.app import check_plans

                check_plans(loaded.plans, conf)
    except config.ConfigError as error:
        click.echo(f"saltcart: {error}", err=True)
        sys.exit(2)
    plans = () if loaded.plans is None else loaded.plans.plan
    click.echo(
        f"{file}: good: {len(loaded.tenants)} tenants, {len(loaded.upstreams)} upstreams, {len(plans)} plans"
    )


@cli.command("import", context_settings={"ignore_unknown_options": True})
@click.argument("files", nargs=-1, required=True)
def import_files(files: tuple[str, ...]) -> None:
    """Convert Apache and mod_jk FILES to a deployment file; the report goes to standard error."""
    from saltcart.importer.__main__ import main

    sys.exit(main(list(files)))


@cli.group()
def lab() -> None:
    """Experiments with the decision code."""


@lab.command("list")
def list_experiments() -> None:
    """List the experiments."""
    from saltcart.lab.experiments import EXPERIMENTS

    for name, experiment in EXPERIMENTS.items():
        click.echo(f"{name:10} {(experiment.__doc__ or '').splitlines()[0]}")


@lab.command("run")
@click.argument("name")
@click.option("--quick", is_flag=True, help="A shorter run: under 40 s on eight cores.")
@click.option("--seed", default=1, show_default=True)
@click.option("--sockets", is_flag=True, help="Run the real program, on loopback and in real time.")
@click.option("--nodes", type=click.IntRange(6, 5000), help="Simulate this fleet size only.")
@click.option("--plot", type=click.Path(path_type=Path, dir_okay=False), help="Write a plot to this file.")
def run_experiment(
    name: str, quick: bool, seed: int, sockets: bool, nodes: int | None, plot: Path | None
) -> None:
    """Run the experiment NAME; the last line of its output is one JSON object."""
    from saltcart.lab import report
    from saltcart.lab.experiments import EXPERIMENTS, ExperimentOptions

    if name not in EXPERIMENTS:
        raise click.UsageError(f"no such experiment: {name}; there are {', '.join(EXPERIMENTS)}")
    click.echo(report.format_figures(EXPERIMENTS[name](ExperimentOptions(quick, seed, sockets, plot, nodes))))
