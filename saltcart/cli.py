"""The command line beside the service: checks, the importer, the laboratory.

``python -m saltcart`` alone is the service and never comes here.
"""

from __future__ import annotations

import sys
from pathlib import Path

import click

from saltcart import config, deployment


@click.group()
def cli() -> None:
    """saltcart: a service that keeps its promises under overload."""


@cli.command()
def serve() -> None:
    """Run the service, as `python -m saltcart` alone does."""
    from saltcart.__main__ import run_service

    sys.exit(run_service())


@cli.command()
@click.argument("file", type=click.Path(path_type=Path))
@click.option(
    "--config",
    "platform",
    type=click.Path(path_type=Path),
    help="The platform's JSON object: plans are held against its classes.",
)
def check(file: Path, platform: Path | None) -> None:
    """Check a deployment FILE; ends with 2 and one line where something is wrong with it."""
    try:
        extra = deployment.load({"SALTCART_DEPLOYMENT": str(file)})
        if platform is not None:
            conf = config.load({"BALANCER_CONFIG": str(platform)})
            if extra.plans is not None:
                from saltcart.app import check_plans

                check_plans(extra.plans, conf)
    except config.ConfigError as error:
        click.echo(f"saltcart: {error}", err=True)
        sys.exit(2)
    plans = () if extra.plans is None else extra.plans.plan
    click.echo(
        f"{file}: good: {len(extra.tenants)} tenants, {len(extra.upstreams)} upstreams, {len(plans)} plans"
    )


@cli.command("import", context_settings={"ignore_unknown_options": True})
@click.argument("files", nargs=-1, required=True)
def import_files(files: tuple[str, ...]) -> None:
    """Read Apache and mod_jk FILES: our configuration on standard output, the report on standard error."""
    from saltcart.importer.__main__ import main

    sys.exit(main(list(files)))


@cli.group()
def lab() -> None:
    """Experiments with the deciding code."""


@lab.command("list")
def list_experiments() -> None:
    """Name the experiments."""
    from saltcart.lab.experiments import EXPERIMENTS

    for name, experiment in EXPERIMENTS.items():
        click.echo(f"{name:10} {(experiment.__doc__ or '').splitlines()[0]}")


@lab.command("run")
@click.argument("name")
@click.option("--quick", is_flag=True, help="A shorter run: under 40 s on eight cores.")
@click.option("--seed", default=1, show_default=True)
@click.option("--sockets", is_flag=True, help="Through the real program, on loopback and in real time.")
@click.option("--nodes", type=click.IntRange(6, 5000), help="One size of the fleet alone.")
@click.option("--plot", type=click.Path(path_type=Path, dir_okay=False), help="Write a plot to this file.")
def run_experiment(
    name: str, quick: bool, seed: int, sockets: bool, nodes: int | None, plot: Path | None
) -> None:
    """Run the experiment NAME; its last line is one JSON object."""
    from saltcart.lab import report
    from saltcart.lab.experiments import EXPERIMENTS, ExperimentOptions

    if name not in EXPERIMENTS:
        raise click.UsageError(f"no such experiment: {name}; there are {', '.join(EXPERIMENTS)}")
    click.echo(report.format_figures(EXPERIMENTS[name](ExperimentOptions(quick, seed, sockets, plot, nodes))))
