"""Settings, dependencies, plans and fault scenarios of the experiments on composed responses.

The simulation and the experiment on sockets share them.
"""

from __future__ import annotations

from typing import Any, NamedTuple

from saltcart.lab.dependency import FaultPlan

CORES = 16  # of the simulated server
SETTINGS: dict[str, Any] = {
    "services": [
        {"name": "pregled-statusa", "effect": "read_like", "onTime": 0.8, "deadline": 2.5, "worth": 1.0},
        {"name": "izracun-dajatev", "effect": "read_like", "onTime": 1.0, "deadline": 3.0, "worth": 2.0},
        {
            "name": "oddaja",
            "effect": "idempotency_key",
            "onTime": 1.6,
            "deadline": 4.0,
            "worth": 5.0,
            "memorySpan": 12.0,
        },
    ],
    "extra": {
        "cores": CORES,
        "memLimitKb": 500_000.0,
        "signal": "level",
        "preemption": "drop",
        "runFactor": 4.0,
        "keyKb": 5.0,
        "gauges": ["cpu_busy", "runnable"],
        "idle": 30.0,
    },
    "contract": {"answerSlack": 0.08, "drainGrace": 0.5, "fall": 2.0, "fallMultiple": 8.0},
    "limits": {},
    "quantum": 0.005,
}
CLASS_NAMES = ("pregled-statusa", "izracun-dajatev", "oddaja")
CLASS_SHARES = (0.45, 0.35, 0.2)  # of the requests, in the order of CLASS_NAMES


class DependencyProfile(NamedTuple):
    """Capacity and service times of a dependency without faults.

    Attributes:
        workers: Number of calls that are served concurrently.
        median: Median service time in seconds.
        spread: Standard deviation of the logarithm of the service time.
    """

    workers: int
    median: float
    spread: float


DEPENDENCY_PROFILES = {
    "tarifa": DependencyProfile(64, 0.03, 0.4),
    "tarifa-2": DependencyProfile(32, 0.05, 0.4),
    "kvote": DependencyProfile(64, 0.04, 0.4),
    "kvote-2": DependencyProfile(32, 0.06, 0.4),
    "tveganje": DependencyProfile(64, 0.06, 0.5),
    "arhiv": DependencyProfile(64, 0.05, 0.5),
    "knjiga": DependencyProfile(64, 0.08, 0.4),
}
INDEX_DEPENDENCIES = ("arhiv",)  # called over the index protocol; the others are called over AJP


def deployment(addresses: dict[str, str] | None = None) -> dict[str, Any]:
    """Return the tables of a deployment file.

    Args:
        addresses: Addresses as HOST:PORT by dependency; None for the simulation, which connects to none.
    """
    address_of = addresses or dict.fromkeys(DEPENDENCY_PROFILES, "127.0.0.1:1")
    dependencies: list[dict[str, Any]] = [
        {"name": name, "kind": "index", "address": address_of[name]}
        if name in INDEX_DEPENDENCIES
        else {"name": name, "upstream": name}
        for name in DEPENDENCY_PROFILES
    ]
    for dependency in dependencies:
        if f"{dependency['name']}-2" in DEPENDENCY_PROFILES:
            dependency["fallback"] = f"{dependency['name']}-2"
    tariff_call = {"dependency": "tarifa"}
    return {
        "upstream": [
            {"name": name, "members": [{"host": address_of[name]}]}
            for name in DEPENDENCY_PROFILES
            if name not in INDEX_DEPENDENCIES
        ],
        "dependency": dependencies,
        "plan": [
            {
                "class": "pregled-statusa",
                "partial": True,
                "stage": [{"call": [tariff_call, {"dependency": "arhiv", "required": False, "worth": 0.25}]}],
            },
            {
                "class": "izracun-dajatev",
                "partial": True,
                "stage": [
                    {"call": [tariff_call, {"dependency": "kvote", "required": False, "worth": 0.2}]},
                    {
                        "call": [
                            {"dependency": "tveganje", "required": False, "worth": 0.3, "hedge": True},
                            {"dependency": "arhiv", "required": False, "worth": 0.1},
                        ]
                    },
                ],
            },
            {
                "class": "oddaja",
                "answer": "knjiga",
                "stage": [
                    {"call": [tariff_call, {"dependency": "kvote"}]},
                    {"call": [{"dependency": "knjiga", "write": True, "repeat": False, "sends": "answers"}]},
                ],
            },
        ],
    }


class Scenario(NamedTuple):
    """A run of the experiment.

    Attributes:
        name: Label in the results.
        fault_plans: Faults by dependency.
        abandoned_share: Share of the callers that disconnect before their response.
        drains: Whether the server drains in the middle of the run.
    """

    name: str
    fault_plans: dict[str, FaultPlan]
    abandoned_share: float = 0.0
    drains: bool = False


def all_scenarios(seconds: float) -> list[Scenario]:
    """Return the nine scenarios.

    Args:
        seconds: Duration of a run; the faults last from a fifth to four fifths of it.
    """
    start, end = 0.2 * seconds, 0.8 * seconds
    return [
        Scenario("calm", {}),
        Scenario("slow", {"tveganje": FaultPlan(start, end, slowdown_factor=9)}),
        Scenario(
            "two slow",
            {
                "tveganje": FaultPlan(start, end, slowdown_factor=9),
                "kvote": FaultPlan(start, end, slowdown_factor=9),
            },
        ),
        Scenario("silent", {"kvote": FaultPlan(start, end, is_silent=True)}),
        Scenario("flapping", {"tveganje": FaultPlan(start, end, flap_seconds=1.0)}),
        Scenario("late", {"arhiv": FaultPlan(start, end, extra_delay=3.0)}),
        Scenario("errors", {"kvote": FaultPlan(start, end, error_share=0.5)}),
        Scenario("leaving", {"tveganje": FaultPlan(start, end, slowdown_factor=9)}, abandoned_share=0.3),
        Scenario("drain", {"tveganje": FaultPlan(start, end, slowdown_factor=9)}, drains=True),
    ]
