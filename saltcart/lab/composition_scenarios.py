"""The site of the budgets experiment: classes, plans and dependencies, for the model and for sockets."""

from __future__ import annotations

from typing import Any, NamedTuple

from saltcart.lab.dependency import Trouble

CORES = 16
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
CLASSES = ("pregled-statusa", "izracun-dajatev", "oddaja")
MIX = (0.45, 0.35, 0.2)  # of the requests


class Place(NamedTuple):
    """A dependency's own strength: workers, and the median and spread (log) of its times in seconds."""

    workers: int
    median: float
    spread: float


PLACES = {
    "tarifa": Place(64, 0.03, 0.4),
    "tarifa-2": Place(32, 0.05, 0.4),
    "kvote": Place(64, 0.04, 0.4),
    "kvote-2": Place(32, 0.06, 0.4),
    "tveganje": Place(64, 0.06, 0.5),
    "arhiv": Place(64, 0.05, 0.5),
    "knjiga": Place(64, 0.08, 0.4),
}
INDEX = ("arhiv",)  # speak the index's lines, the others AJP


def tables(addresses: dict[str, str] | None = None) -> dict[str, Any]:
    """The tables of a deployment file; ``addresses`` says where the dependencies are."""
    at = addresses or dict.fromkeys(PLACES, "127.0.0.1:1")
    dependencies: list[dict[str, Any]] = [
        {"name": name, "kind": "index", "address": at[name]}
        if name in INDEX
        else {"name": name, "upstream": name}
        for name in PLACES
    ]
    for d in dependencies:
        if f"{d['name']}-2" in PLACES:
            d["fallback"] = f"{d['name']}-2"
    tariff = {"dependency": "tarifa"}
    return {
        "upstream": [{"name": name, "members": [{"host": at[name]}]} for name in PLACES if name not in INDEX],
        "dependency": dependencies,
        "plan": [
            {
                "class": "pregled-statusa",
                "partial": True,
                "stage": [{"call": [tariff, {"dependency": "arhiv", "required": False, "worth": 0.25}]}],
            },
            {
                "class": "izracun-dajatev",
                "partial": True,
                "stage": [
                    {"call": [tariff, {"dependency": "kvote", "required": False, "worth": 0.2}]},
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
                    {"call": [tariff, {"dependency": "kvote"}]},
                    {"call": [{"dependency": "knjiga", "write": True, "repeat": False, "sends": "answers"}]},
                ],
            },
        ],
    }


class Day(NamedTuple):
    """One day: where the trouble is, how many callers leave, whether the server drains in its middle."""

    name: str
    troubles: dict[str, Trouble]
    leaving: float = 0.0
    drain: bool = False


def days(seconds: float) -> list[Day]:
    """The nine days; trouble fills the middle of each."""
    a, b = 0.2 * seconds, 0.8 * seconds
    return [
        Day("calm", {}),
        Day("slow", {"tveganje": Trouble(a, b, slower=9)}),
        Day("two slow", {"tveganje": Trouble(a, b, slower=9), "kvote": Trouble(a, b, slower=9)}),
        Day("silent", {"kvote": Trouble(a, b, silent=True)}),
        Day("flapping", {"tveganje": Trouble(a, b, flap=1.0)}),
        Day("late", {"arhiv": Trouble(a, b, late=3.0)}),
        Day("errors", {"kvote": Trouble(a, b, errors=0.5)}),
        Day("leaving", {"tveganje": Trouble(a, b, slower=9)}, leaving=0.3),
        Day("drain", {"tveganje": Trouble(a, b, slower=9)}, drain=True),
    ]
