"""The experiment on budgets: nine days, the deciding code and three baselines, on one model.

The core, the decision module and the desk are the service's own.  ``fixed`` gives each stage an equal part of
the aim, ``none`` waits for each call as long as the caller waits and repeats errors at once; both call
whatever it costs.  ``oracle`` knows what each call would come to and never lacks a slot: it earns what the
partial-answer rules permit.
"""

from __future__ import annotations

import heapq
import itertools
import random
import resource
import time
from collections import Counter
from collections.abc import Callable
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass, field, replace
from typing import Any

import numpy as np
from hdrh.histogram import HdrHistogram

from saltcart.composition.composed_run import (
    ActionQueue,
    CancelCall,
    CompositionAction,
    CompositionFinished,
    SendCall,
    SubRequestStatus,
)
from saltcart.composition.composition_engine import CompositionEngine
from saltcart.composition.plan import CompositionSpec, check_classes, read_plans
from saltcart.core.draining import STOP_MARGIN_SECONDS
from saltcart.core.messages import FinalResponse, InboundRequest
from saltcart.core.service import Service
from saltcart.decision.outcome import Outcome
from saltcart.decision.settings import Effect, Settings
from saltcart.field_reader import FieldReader
from saltcart.lab import composition_scenarios
from saltcart.lab.baseline_timeout_policies import judge_for
from saltcart.lab.composition_scenarios import Day
from saltcart.lab.dependency import ModelDependency, request_of
from saltcart.lab.events import DueTimer, EventQueue, start_service_timer
from saltcart.platform_settings import read_settings

RATE = 60.0  # requests a second
QUICK, FULL = 40.0, 240.0  # seconds of a day
POLICIES = ("budgets", "fixed", "none", "oracle")
REPEATED = 0.05  # of the keyed requests come a second time, soon after the first
COST_RUNS, MANY_RUNS = 20_000, 1_000_000  # of the desk alone
SLOTS = 1000  # the oracle's
WITHIN = 2.0  # from the notice to drain to the stop, in seconds


@dataclass
class CompositionFigures:
    """What came of one day under one policy."""

    offered: float = 0.0
    earned: float = 0.0
    by_second: Counter[int] = field(default_factory=Counter)
    verdicts: Counter[str] = field(default_factory=Counter)
    late: int = 0
    unanswered: int = 0
    writes_partial: int = 0
    writes_twice: int = 0
    load_factor: float = 1.0
    calls: int = 0
    requests: int = 0
    took: float = 0.0  # seconds of real time for the play
    median_ms: float = 0.0
    p99_ms: float = 0.0


class ModelRuns:
    """The runs port in the model: the desk's orders carried out on model dependencies."""

    def __init__(
        self,
        events: EventQueue,
        service: Service,
        desk: CompositionEngine,
        places: dict[str, ModelDependency],
        tally: CompositionFigures,
    ) -> None:
        self.events, self.service, self.desk, self.places, self.tally = events, service, desk, places, tally
        self.presses, self.orders = True, ActionQueue(self._carry_out)
        self.ticks = DueTimer(events, desk.next_timer_at, lambda: self.do(desk.tick, events.now))

    def do(self, call: Callable[..., list[CompositionAction]], *args: Any) -> None:
        self.orders(call(*args))
        self.ticks.arm()

    def _carry_out(self, order: CompositionAction) -> None:
        match order:
            case SendCall():
                self._send(order)
            case CompositionFinished():
                self.service.run_finished(
                    order.id,
                    order.outcome,
                    order.seconds,
                    order.body,
                    order.skipped_dependencies,
                    order.cached_dependencies,
                )
            case CancelCall():
                pass  # the worker goes on with it; its reply finds nobody

    def _send(self, order: SendCall) -> None:
        self.tally.calls += 1
        if order.must_run_once and order.request_id in self.desk.runs:
            replies = self.desk.runs[order.request_id].replies
            self.tally.writes_partial += any(m is not SubRequestStatus.ANSWERED for m, _ in replies.values())
        self.places[order.dependency].call(
            self.events.now,
            request_of(order.request_id),
            lambda when, outcome: self.events.at(when, self._told, order.id, outcome),
        )

    def _told(self, ident: bytes, outcome: Outcome) -> None:
        self.do(self.desk.call_finished, self.events.now, ident, outcome, b'{"ok":1}')

    def spawn(
        self, ident: bytes, klass: str, account: str, body: bytes, once: bool, within: float, aim: float
    ) -> None:
        now, (aim, within) = self.events.now, self.service.loop.usable_time(aim, within)
        self.do(self.desk.start, now, ident, klass, account, body, now + aim, now + within)

    def suspend(self, ident: bytes) -> None:
        self.do(self.desk.cancel, self.events.now, ident)

    def resume(self, ident: bytes) -> None: ...
    def supply_reply(self, ident: bytes, reply: bytes) -> None: ...
    def skip_call(self, ident: bytes, notice: int) -> None: ...

    def poll_gauges(self) -> None:
        self.service.gauges_polled((0.0, 0.0))  # runs that wait leave the cores alone
        if self.presses:
            self.do(self.desk.release_slots, self.events.now, self.service.loop.held_count())


class Play:
    """One day under one policy."""

    def __init__(self, day: Day, policy: str, seconds: float, seed: int, rate: float = RATE) -> None:
        self.day, self.seconds, self.tally = day, seconds, CompositionFigures()
        rng = np.random.default_rng([seed, 7])
        count = int(seconds * rate)
        self.settings: Settings = read_settings(FieldReader(composition_scenarios.SETTINGS, "settings"))
        if policy == "oracle":
            self.settings = replace(self.settings, cores=SLOTS)
        self.arrivals = np.sort(rng.random(count) * seconds).tolist()
        self.kinds = rng.choice(
            len(composition_scenarios.CLASSES), count, p=composition_scenarios.MIX
        ).tolist()
        self.ranks, self.leaves = rng.random(count).tolist(), rng.random((count, 2)).tolist()
        self.events = events = EventQueue()
        self.origin = events.now
        self.service = Service(
            self.settings,
            ("cpu_busy", "runnable"),
            seed,
            events.clock,
            lambda event, **fields: None,
            max_key_bytes=1 << 30,
        )
        plans = office_plans(self.settings)
        self.places = {
            name: ModelDependency(name, *place, count, seed, events.now)
            for name, place in composition_scenarios.PLACES.items()
        }
        for name, trouble in day.troubles.items():
            self.places[name].troubles.append(trouble)
        self.desk = CompositionEngine(plans, seed, self.settings.classes)
        self.desk.timeout_policy = judge_for(policy, self.desk.timeout_policy, self.places)
        self.runs = ModelRuns(events, self.service, self.desk, self.places, self.tally)
        self.service.ports.workers, self.runs.presses = self.runs, policy == "budgets"
        self.worths = {p.class_name: {c.dependency: c.worth for c in p.calls()} for p in plans.plan}
        self.histogram = HdrHistogram(1, 60_000_000, 3)
        self.answered = Counter[int]()

    def run(self) -> CompositionFigures:
        begun, events, tally = time.perf_counter(), self.events, self.tally
        self.service.pool_started(False, 100.0)
        start_service_timer(events, self.service)
        stop = self.seconds / 2 if self.day.drain else float("inf")
        for n, at in enumerate(self.arrivals):
            if at < stop:
                events.at(self.origin + at, self._arrive, n, 0)
        if self.day.drain:
            events.at(self.origin + stop, self._drain)
        events.run(self.origin + self.seconds + 6)
        tally.requests = sum(1 for a in self.arrivals if a < stop)
        tally.unanswered = sum(self.answered[n] == 0 for n in range(tally.requests))
        tally.writes_twice = sum(tries > 1 for tries in self.places["knjiga"].tries.values())
        tally.took = time.perf_counter() - begun
        for name in self.day.troubles:
            counts = self.desk.dependencies[name].counts
            tally.load_factor = max(tally.load_factor, 1 + counts["further"] / max(1, counts["first"]))
        tally.median_ms = self.histogram.get_value_at_percentile(50) / 1000
        tally.p99_ms = self.histogram.get_value_at_percentile(99) / 1000
        return tally

    def _drain(self) -> None:
        self.service.start_drain(WITHIN)
        self.runs.do(
            self.desk.shorten_deadlines, self.events.now, self.events.now + WITHIN - STOP_MARGIN_SECONDS
        )

    def _arrive(self, n: int, nth: int) -> None:
        now, spec = self.events.now, self.settings.classes[self.kinds[n]]
        keyed = spec.effect is Effect.IDEMPOTENT_BY_KEY
        ident = b"%016x" % (n + (nth << 32))
        ask = InboundRequest(
            ident,
            spec.name,
            "",
            now,
            spec.deadline,
            10.0,
            self.ranks[n],
            idempotency_key=b"k%d" % n if keyed else None,
            body=b'{"n":%d}' % n,
        )
        gone, chance = self.leaves[n]
        if not nth:
            self.tally.offered += spec.priority_weight
            if keyed and chance < REPEATED:
                self.events.at(now + 0.2, self._arrive, n, 1)
        number = self.service.submit(ask, lambda answer: self._answered(n, nth, now, answer))
        if gone < self.day.leaving and not nth:
            self.events.at(now + 0.05 + chance * spec.latency_objective / 2, self._leave, n, number)

    def _leave(self, n: int, number: int) -> None:
        if not self.answered[n]:
            self.answered[n] += 1  # nothing is owed any more
            self.service.abandon(number)

    def _answered(self, n: int, nth: int, begun: float, answer: FinalResponse) -> None:
        spec, took = self.settings.classes[self.kinds[n]], self.events.now - begun
        tally = self.tally
        tally.verdicts["partial" if answer.skipped_dependencies else answer.status.value] += 1
        tally.late += took > spec.deadline + self.settings.answer_slack
        tally.writes_partial += bool(answer.skipped_dependencies) and spec.effect is not Effect.SAFE
        if nth:
            return
        self.answered[n] += 1
        self.histogram.record_value(max(1, int(took * 1e6)))
        if answer.status.value == "served" and took <= spec.latency_objective:
            worth = spec.priority_weight * (
                1 - sum(self.worths[spec.name][name] for name in answer.skipped_dependencies)
            )
            tally.earned += worth
            tally.by_second[int(begun - self.origin)] += worth


def office_plans(settings: Settings, addresses: dict[str, str] | None = None) -> CompositionSpec:
    raw = composition_scenarios.tables(addresses)
    plans = read_plans({k: raw[k] for k in ("dependency", "plan")}, [u["name"] for u in raw["upstream"]])
    check_classes(plans, settings.classes)
    return plans


def play(job: tuple[int, str, float, int]) -> CompositionFigures:
    number, policy, seconds, seed = job
    return Play(composition_scenarios.days(seconds)[number], policy, seconds, seed).run()


def run(
    quick: bool, seed: int
) -> tuple[list[list[str]], dict[str, Any], dict[str, dict[str, CompositionFigures]]]:
    """The table, the figures and all that was seen, by day and policy."""
    seconds = QUICK if quick else FULL
    names = [day.name for day in composition_scenarios.days(seconds)]
    jobs = [(n, policy, seconds, seed) for n in range(len(names)) for policy in POLICIES]
    with ProcessPoolExecutor() as pool:
        tallies = dict(zip([(names[j[0]], j[1]) for j in jobs], pool.map(play, jobs)))
    seen = {name: {p: tallies[name, p] for p in POLICIES} for name in names}
    rows = [
        [
            "day",
            "policy",
            "kept",
            "worth",
            "whole",
            "partial",
            "refused",
            "failed",
            "p50 ms",
            "p99 ms",
            "load",
        ]
    ]
    for name, by_policy in seen.items():
        for policy, t in by_policy.items():
            v = t.verdicts
            rows.append(
                [
                    name,
                    policy,
                    f"{kept(by_policy, policy):.3f}",
                    f"{t.earned / t.offered:.3f}",
                    *(str(v[k]) for k in ("served", "partial", "refused", "failed")),
                    f"{t.median_ms:.0f}",
                    f"{t.p99_ms:.0f}",
                    f"{t.load_factor:.2f}",
                ]
            )
    cost = deciding_cost(COST_RUNS if quick else MANY_RUNS, seed)
    ours = [by_policy["budgets"] for by_policy in seen.values()]
    figures = {
        "kept": least(seen, "budgets"),
        "kept_fixed": least(seen, "fixed"),
        "kept_none": least(seen, "none"),
        "writes_partial": sum(t.writes_partial for t in ours),
        "writes_twice": sum(t.writes_twice for t in ours),
        "late": sum(t.late + t.unanswered for t in ours),
        "load_factor": round(max(t.load_factor for t in ours), 3),
        **cost,
        "requests_per_s": round(sum(t.requests for t in ours) / sum(t.took for t in ours)),
        "by_day": {name: round(kept(by_policy, "budgets"), 3) for name, by_policy in seen.items()},
        "seed": seed,
        "seconds": seconds,
    }
    return rows, figures, seen


def deciding_cost(runs: int, seed: int) -> dict[str, Any]:
    """The desk alone, through ``runs`` runs one after the other: processor time and memory.

    The processor time is that of the whole loop, so it is the desk's and a little more.
    """
    settings = read_settings(FieldReader(composition_scenarios.SETTINGS, "settings"))
    desk, rng = CompositionEngine(office_plans(settings), seed, settings.classes), random.Random(seed)
    replies, number, sent = list[tuple[float, int, bytes]](), itertools.count(), 0
    peaks, begun, now = list[int](), time.process_time(), 1_000.0
    kinds = rng.choices(composition_scenarios.CLASSES, composition_scenarios.MIX, k=1000)
    orders: list[CompositionAction] = []
    for n in range(runs):
        now += 1 / RATE
        while replies and replies[0][0] <= now:
            when, _, ident = heapq.heappop(replies)
            orders += desk.tick(when) + desk.call_finished(when, ident, Outcome.SUCCEEDED, b'{"ok":1}')
        orders += desk.tick(now)
        orders += desk.start(now, b"%016x" % n, kinds[n % 1000], "", b'{"n":1}', now + 1, now + 2)
        for order in orders:
            if isinstance(order, SendCall):
                sent += 1
                took = composition_scenarios.PLACES[order.dependency].median * (0.5 + rng.random())
                heapq.heappush(replies, (now + took, next(number), order.id))
        orders = []
        if n % (runs // 4) == runs // 4 - 1:
            peaks.append(resource.getrusage(resource.RUSAGE_SELF).ru_maxrss)
    took = time.process_time() - begun
    return {
        "us_per_call": round(1e6 * took / sent, 1),
        "cost_runs": runs,
        "runs_left_open": len(desk.runs),
        "memory_growth_kb": peaks[-1] - peaks[0],
    }


def kept(by_policy: dict[str, CompositionFigures], policy: str) -> float:
    return by_policy[policy].earned / by_policy["oracle"].earned


def least(seen: dict[str, dict[str, CompositionFigures]], policy: str) -> float:
    return round(min(kept(by_policy, policy) for by_policy in seen.values()), 3)
