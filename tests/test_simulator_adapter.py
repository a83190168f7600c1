"""Tests of the simulator adapter, run with the command in the deployment file."""

from __future__ import annotations

import copy
import json
import subprocess
import sys
import tomllib
from pathlib import Path
from typing import Any

import pytest

ROOT = Path(__file__).resolve().parent.parent
SETTINGS: dict[str, Any] = {
    "services": [
        {"name": "view", "effect": "read_like", "onTime": 1.0, "deadline": 3.0, "worth": 1.0, "new": 1},
        {
            "name": "buy",
            "effect": "idempotency_key",
            "onTime": 1.0,
            "deadline": 3.0,
            "worth": 5.0,
            "memorySpan": 9.0,
        },
    ],
    "extra": {
        "cores": 2,
        "memLimitKb": 9000.0,
        "signal": "level",
        "preemption": "drop",
        "runFactor": 4.0,
        "keyKb": 5.0,
        "gauges": ["cpu_busy", "later"],
    },
    "contract": {
        "answerSlack": 0.05,
        "drainGrace": 1.0,
        "fall": 2.0,
        "fallMultiple": 5.0,
        "cold": 9.0,
        "coldFrom": 0.3,
    },
    "limits": {},
    "unheardOf": {"x": 1},
}
BOOT = {"verb": "boot", "worker": 4, "initSeed": 9, "settings": SETTINGS}
ARRIVAL = {
    "verb": "arrival",
    "worker": 4,
    "msgId": 77,
    "priority": "buy",
    "sizeKb": 3.0,
    "place": 0.9,
    "novel": [1],
}


def command() -> str:
    deployment = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())
    sim_command: str = deployment["sim"]
    return sim_command.replace(".venv/bin/python", sys.executable)


def run_adapter(*batches: list[Any], tail: str = "") -> subprocess.CompletedProcess[str]:
    lines = []
    for n, batch in enumerate(batches):
        lines.append(json.dumps({"verb": "sync", "simTime": 5.0 + n * 0.1, "serial": n}))
        lines += [event if isinstance(event, str) else json.dumps(event) for event in batch]
        lines.append(json.dumps({"verb": "commit"}))
    text = "".join(line + "\n" for line in lines) + tail
    return subprocess.run(
        ["/bin/sh", "-c", command()],
        cwd=ROOT,
        input=text,
        capture_output=True,
        text=True,
        timeout=60,
        check=False,
    )


def test_batches_are_answered_in_order() -> None:
    run_finished = {"verb": "done", "worker": 4, "msgId": 77, "how": 0, "delaySeen": 0.1}
    timer_fired = {"verb": "ring", "worker": 4, "label": 0, "serverStats": [0.5, 3]}
    result = run_adapter(
        [BOOT], [ARRIVAL], [run_finished, timer_fired], [{"verb": "teardown", "worker": 4}, BOOT], []
    )
    assert result.returncode == 0 and result.stderr == ""
    messages = [json.loads(line) for line in result.stdout.splitlines()]
    assert [message["serial"] for message in messages if message["verb"] == "finished"] == [0, 1, 2, 3, 4]
    assert {"verb": "process", "msgId": 77, "worker": 4} in messages
    assert any(message["verb"] == "remember" and message["msgId"] == 77 for message in messages)
    assert sum(message["verb"] == "setHealth" for message in messages) == 2


def test_empty_input_exits_with_status_zero() -> None:
    assert run_adapter().returncode == 0


def boot_with(path: list[str | int], value: Any) -> dict[str, Any]:
    boot = copy.deepcopy(BOOT)
    target: Any = boot
    for key in path[:-1]:
        target = target[key]
    target[path[-1]] = value
    return boot


@pytest.mark.parametrize(
    ("batches", "expected_words"),
    [
        ([["{nonsense"]], ["JSON"]),
        ([[{"verb": "dance", "worker": 4}]], ["dance", "worker"]),
        ([[BOOT], [{"verb": "dance", "worker": 4, "msgId": 1}]], ["dance"]),
        ([[BOOT], [{**ARRIVAL, "sizeKb": "big"}]], ["arrival", "sizeKb"]),
        ([[BOOT], [{k: v for k, v in ARRIVAL.items() if k != "msgId"}]], ["arrival", "msgId"]),
        ([[BOOT], [{**ARRIVAL, "priority": "gold"}]], ["arrival", "priority"]),
        ([[BOOT], [{**ARRIVAL, "worker": 5}]], ["arrival", "worker"]),
        ([[BOOT], [{"verb": "done", "worker": 4, "msgId": 1, "how": 6}]], ["done", "how"]),
        ([[boot_with(["settings", "extra", "cores"], 0)]], ["boot", "cores"]),
        ([[boot_with(["settings", "services", 0, "effect"], "magic")]], ["boot", "effect"]),
        ([[boot_with(["settings", "services", 0, "onTime"], True)]], ["boot", "onTime"]),
        ([[boot_with(["settings", "services"], [])]], ["boot", "services"]),
    ],
)
def test_malformed_input_fails_with_a_one_line_error(
    batches: list[list[Any]], expected_words: list[str]
) -> None:
    result = run_adapter(*batches)
    assert result.returncode != 0
    lines = result.stderr.splitlines()
    assert len(lines) == 1 and "Traceback" not in result.stderr
    assert all(expected_word in lines[0] for expected_word in expected_words)


def test_input_that_ends_within_a_batch_is_malformed() -> None:
    result = run_adapter([BOOT], tail='{"verb":"sync","simTime":6,"serial":1}\n')
    assert result.returncode != 0 and "commit" in result.stderr


def test_largest_seeds_and_ids_of_the_protocol_are_accepted() -> None:
    result = run_adapter([{**BOOT, "initSeed": 2**64 - 1}], [{**ARRIVAL, "msgId": 2**52 - 1}])
    assert result.returncode == 0 and result.stderr == ""
    messages = map(json.loads, result.stdout.splitlines())
    assert {"verb": "process", "msgId": 2**52 - 1, "worker": 4} in messages
