"""Tests of the experiments: simulations are reproducible, and their results meet the stated bounds."""

from __future__ import annotations

import json
from pathlib import Path

import pytest
from click.testing import CliRunner

from saltcart.cli import cli
from saltcart.decision.outcome import Outcome
from saltcart.lab import composition_scenarios as scenarios
from saltcart.lab import report, sketches
from saltcart.lab.budgets import measure_engine_cost
from saltcart.lab.composition_simulation import CompositionFigures, CompositionSimulation
from saltcart.lab.dependency import FaultPlan, ModelDependency
from saltcart.lab.events import DueTimer, EventQueue

RUN_SECONDS = 12.0
SCENARIO_NAMES = [scenario.name for scenario in scenarios.all_scenarios(RUN_SECONDS)]


def simulate(
    scenario_name: str, policy_name: str, seed: int = 1, releases_slots: bool | None = None
) -> CompositionFigures:
    simulation = CompositionSimulation(
        scenarios.all_scenarios(RUN_SECONDS)[SCENARIO_NAMES.index(scenario_name)],
        policy_name,
        RUN_SECONDS,
        seed,
    )
    if releases_slots is not None:
        simulation.worker_pool.releases_slots = releases_slots
    return simulation.run()


def reproducible_figures(figures: CompositionFigures) -> tuple[object, ...]:
    return (
        figures.offered_weight,
        figures.earned_weight,
        figures.responses_by_status,
        figures.calls,
        figures.load_factor,
        figures.earned_weight_by_second,
    )


def test_runs_with_one_seed_are_equal_and_differ_from_another_seed() -> None:
    first, again, other = (
        simulate("errors", "budgets"),
        simulate("errors", "budgets"),
        simulate("errors", "budgets", 2),
    )
    assert reproducible_figures(first) == reproducible_figures(again) != reproducible_figures(other)


@pytest.mark.parametrize("scenario_name", SCENARIO_NAMES)
def test_responses_follow_the_rules_and_earn_nearly_as_much_as_the_oracle(scenario_name: str) -> None:
    own, oracle = simulate(scenario_name, "budgets"), simulate(scenario_name, "oracle")
    assert (own.partial_writes, own.repeated_writes, own.late_responses, own.unanswered) == (0, 0, 0, 0)
    assert own.load_factor <= 1.2
    assert own.earned_weight >= 0.9 * oracle.earned_weight


def test_baseline_policies_earn_less_when_a_dependency_is_silent() -> None:
    own, fixed, none = (simulate("silent", policy_name) for policy_name in ("budgets", "fixed", "none"))
    assert own.earned_weight > 1.2 * fixed.earned_weight and own.earned_weight > 1.5 * none.earned_weight


def test_runs_that_wait_for_optional_replies_release_their_slots() -> None:
    releasing, waiting = (
        simulate("two slow", "budgets"),
        simulate("two slow", "budgets", releases_slots=False),
    )
    assert waiting.responses_by_status["refused"] > 5 * releasing.responses_by_status["refused"] + 20
    assert releasing.earned_weight > waiting.earned_weight


def test_engine_neither_grows_in_memory_nor_leaves_runs_open() -> None:
    cost = measure_engine_cost(4_000, 1)
    assert cost["runs_left_open"] < 30 and cost["memory_growth_kb"] < 4096


def make_dependency(workers: int = 1, *fault_plans: FaultPlan) -> ModelDependency:
    dependency = ModelDependency("d", workers, 0.1, 0.0, 10, 1, 0.0)
    dependency.fault_plans += fault_plans
    return dependency


def test_model_dependency_serves_concurrent_calls_in_order() -> None:
    dependency, reply_times = make_dependency(1), list[float]()
    for n in range(3):
        dependency.call(0.0, n, lambda when, outcome: reply_times.append(when))
    assert reply_times == pytest.approx([0.1, 0.2, 0.3])
    dependency = make_dependency(2)
    for n in range(3):
        dependency.call(0.0, n, lambda when, outcome: reply_times.append(when))
    assert reply_times[3:] == pytest.approx([0.1, 0.1, 0.2])


@pytest.mark.parametrize(
    ("fault_plan", "outcome", "seconds"),
    [
        (FaultPlan(0, 1, slowdown_factor=9), Outcome.SUCCEEDED, 0.9),
        (FaultPlan(0, 1, error_share=1.0), Outcome.FAILED, 0.025),
        (FaultPlan(0, 1, is_silent=True), Outcome.TIMED_OUT, None),
        (FaultPlan(0, 1, extra_delay=3.0), Outcome.SUCCEEDED, 3.1),
        (FaultPlan(0, 1, flap_seconds=0.4), Outcome.SUCCEEDED, 0.1),
        (FaultPlan(5, 6, is_silent=True), Outcome.SUCCEEDED, 0.1),
    ],
)
def test_fault_plans_change_the_results_of_calls(
    fault_plan: FaultPlan, outcome: Outcome, seconds: float | None
) -> None:
    result = make_dependency(1, fault_plan).predict_result(0.5, 0)
    assert result.outcome is outcome and result.seconds == (
        None if seconds is None else pytest.approx(seconds)
    )


def test_events_run_in_order_and_a_timer_never_fires_early() -> None:
    events, seen, due = EventQueue(0.0), list[float](), [3.0]

    def fire() -> None:
        seen.append(events.now)
        due.clear()

    timer = DueTimer(events, lambda: due[0] if due else None, fire)
    timer.arm()
    due[0] = 2.0
    timer.arm()  # moved to an earlier time, at which it fires once
    events.at(1.0, seen.append, -1.0)
    events.at(1.0, seen.append, -2.0)
    events.run(10.0)
    assert seen == [-1.0, -2.0, 2.0] and events.now == 10.0


def test_sketch_is_smaller_than_a_sorted_window_with_a_small_error() -> None:
    rows, figures = sketches.run(True, 3)
    assert len(rows) == 3 and figures["sketch_error"] < 0.06
    assert figures["sketch_bytes"] < figures["window_bytes"] / 4


def test_command_line_lists_and_runs_experiments_and_checks_files(tmp_path: Path) -> None:
    runner = CliRunner()
    listed = runner.invoke(cli, ["lab", "list"])
    assert listed.exit_code == 0 and "budgets" in listed.output
    clock_run = runner.invoke(cli, ["lab", "run", "clock", "--quick"])
    assert clock_run.exit_code == 0 and json.loads(clock_run.output.splitlines()[-1])["own_events_per_s"] > 0
    unknown = runner.invoke(cli, ["lab", "run", "nothing"])
    assert unknown.exit_code == 2 and "no such experiment: nothing" in unknown.output
    workers = tmp_path / "workers.properties"
    workers.write_text("worker.list=w\nworker.w.type=ajp13\nworker.w.host=127.0.0.1\nworker.w.port=8009\n")
    imported = runner.invoke(cli, ["import", str(workers)])
    assert imported.exit_code == 0 and "127.0.0.1:8009" in imported.output
    valid, invalid = tmp_path / "good.toml", tmp_path / "bad.toml"
    valid.write_text('[[upstream]]\nname = "u"\nmembers = [{ host = "127.0.0.1:8009" }]\n')
    invalid.write_text("[[upstream]]\nname = 3\n")
    assert runner.invoke(cli, ["check", str(valid)]).exit_code == 0
    checked = runner.invoke(cli, ["check", str(invalid)])
    assert checked.exit_code == 2 and "bad.toml" in checked.output and "upstream[0]" in checked.output


def test_report_formats_a_table_and_writes_a_plot(tmp_path: Path) -> None:
    assert report.format_table([["a", "b"], ["long", "1"]]) == "a     b\nlong  1"
    file = tmp_path / "plot.png"
    report.plot_lines(file, {"day": {"ours": [1.0, 2.0], "none": [0.5, 0.1]}}, "worth")
    assert file.read_bytes().startswith(b"\x89PNG")
