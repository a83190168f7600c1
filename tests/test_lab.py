"""The laboratory: the model is the same every time, and the experiments say what they should."""

from __future__ import annotations

import json
from pathlib import Path

import pytest
from click.testing import CliRunner

from saltcart.cli import cli
from saltcart.decision.outcome import Outcome
from saltcart.lab import composition_scenarios, report, sketches
from saltcart.lab.budgets import CompositionFigures, Play, deciding_cost
from saltcart.lab.dependency import ModelDependency, Trouble
from saltcart.lab.events import DueTimer, EventQueue

SECONDS = 12.0
DAYS = [day.name for day in composition_scenarios.days(SECONDS)]


def play(day: str, policy: str, seed: int = 1, presses: bool | None = None) -> CompositionFigures:
    game = Play(composition_scenarios.days(SECONDS)[DAYS.index(day)], policy, SECONDS, seed)
    if presses is not None:
        game.runs.presses = presses
    return game.run()


def told(tally: CompositionFigures) -> tuple[object, ...]:
    return (tally.offered, tally.earned, tally.verdicts, tally.calls, tally.load_factor, tally.by_second)


def test_a_day_is_the_same_every_time_and_another_with_another_seed() -> None:
    first, again, other = play("errors", "budgets"), play("errors", "budgets"), play("errors", "budgets", 2)
    assert told(first) == told(again) != told(other)


@pytest.mark.parametrize("day", DAYS)
def test_the_rules_hold_on_each_day_and_most_of_the_worth_is_kept(day: str) -> None:
    ours, oracle = play(day, "budgets"), play(day, "oracle")
    assert (ours.writes_partial, ours.writes_twice, ours.late, ours.unanswered) == (0, 0, 0, 0)
    assert ours.load_factor <= 1.2
    assert ours.earned >= 0.9 * oracle.earned


def test_baselines_lose_what_the_budgets_are_for() -> None:
    ours, fixed, none = (play("silent", policy) for policy in ("budgets", "fixed", "none"))
    assert ours.earned > 1.2 * fixed.earned and ours.earned > 1.5 * none.earned


def test_runs_that_wait_for_what_can_be_left_out_make_room() -> None:
    with_it, without = play("two slow", "budgets"), play("two slow", "budgets", presses=False)
    assert without.verdicts["refused"] > 5 * with_it.verdicts["refused"] + 20
    assert with_it.earned > without.earned


def test_memory_stays_flat_and_nothing_is_left_open() -> None:
    cost = deciding_cost(4_000, 1)
    assert cost["runs_left_open"] < 30 and cost["memory_growth_kb"] < 4096


def dependency(workers: int = 1, *troubles: Trouble) -> ModelDependency:
    made = ModelDependency("d", workers, 0.1, 0.0, 10, 1, 0.0)
    made.troubles += troubles
    return made


def test_a_model_dependency_serves_in_order_and_works_on_what_was_given_up() -> None:
    place, seen = dependency(1), list[float]()
    for n in range(3):
        place.call(0.0, n, lambda when, outcome: seen.append(when))
    assert seen == pytest.approx([0.1, 0.2, 0.3])
    place = dependency(2)
    for n in range(3):
        place.call(0.0, n, lambda when, outcome: seen.append(when))
    assert seen[3:] == pytest.approx([0.1, 0.1, 0.2])


@pytest.mark.parametrize(
    ("trouble", "outcome", "took"),
    [
        (Trouble(0, 1, slower=9), Outcome.SUCCEEDED, 0.9),
        (Trouble(0, 1, errors=1.0), Outcome.FAILED, 0.025),
        (Trouble(0, 1, silent=True), Outcome.TIMED_OUT, None),
        (Trouble(0, 1, late=3.0), Outcome.SUCCEEDED, 3.1),
        (Trouble(0, 1, flap=0.4), Outcome.SUCCEEDED, 0.1),
        (Trouble(5, 6, silent=True), Outcome.SUCCEEDED, 0.1),
    ],
)
def test_troubles_do_what_they_say(trouble: Trouble, outcome: Outcome, took: float | None) -> None:
    fate = dependency(1, trouble).fate(0.5, 0)
    assert fate.outcome is outcome and fate.took == (None if took is None else pytest.approx(took))


def test_events_run_in_order_and_a_tick_never_rings_early() -> None:
    events, seen, due = EventQueue(0.0), list[float](), [3.0]

    def ring() -> None:
        seen.append(events.now)
        due.clear()

    ticks = DueTimer(events, lambda: due[0] if due else None, ring)
    ticks.arm()
    due[0] = 2.0
    ticks.arm()  # moved forward: rings once, at the earlier time
    events.at(1.0, seen.append, -1.0)
    events.at(1.0, seen.append, -2.0)
    events.run(10.0)
    assert seen == [-1.0, -2.0, 2.0] and events.now == 10.0


def test_the_sketch_is_small_and_right_beside_a_sorted_window() -> None:
    rows, figures = sketches.run(True, 3)
    assert len(rows) == 3 and figures["sketch_error"] < 0.06
    assert figures["sketch_bytes"] < figures["window_bytes"] / 4


def test_the_command_line_names_runs_and_refuses(tmp_path: Path) -> None:
    runner = CliRunner()
    listed = runner.invoke(cli, ["lab", "list"])
    assert listed.exit_code == 0 and "budgets" in listed.output
    ran = runner.invoke(cli, ["lab", "run", "clock", "--quick"])
    assert ran.exit_code == 0 and json.loads(ran.output.splitlines()[-1])["own_events_per_s"] > 0
    wrong = runner.invoke(cli, ["lab", "run", "nothing"])
    assert wrong.exit_code == 2 and "no such experiment: nothing" in wrong.output
    workers = tmp_path / "workers.properties"
    workers.write_text("worker.list=w\nworker.w.type=ajp13\nworker.w.host=127.0.0.1\nworker.w.port=8009\n")
    imported = runner.invoke(cli, ["import", str(workers)])
    assert imported.exit_code == 0 and "127.0.0.1:8009" in imported.output
    good, bad = tmp_path / "good.toml", tmp_path / "bad.toml"
    good.write_text('[[upstream]]\nname = "u"\nmembers = [{ host = "127.0.0.1:8009" }]\n')
    bad.write_text("[[upstream]]\nname = 3\n")
    assert runner.invoke(cli, ["check", str(good)]).exit_code == 0
    refused = runner.invoke(cli, ["check", str(bad)])
    assert refused.exit_code == 2 and "bad.toml" in refused.output and "upstream[0]" in refused.output


def test_a_report_can_be_plotted_and_read(tmp_path: Path) -> None:
    assert report.table([["a", "b"], ["long", "1"]]) == "a     b\nlong  1"
    file = tmp_path / "plot.png"
    report.plot_lines(file, {"day": {"ours": [1.0, 2.0], "none": [0.5, 0.1]}}, "worth")
    assert file.read_bytes().startswith(b"\x89PNG")
