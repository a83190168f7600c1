"""Simulation of a server that composes responses, with the service's own core, decision module and engine."""

from __future__ import annotations

import time
from collections import Counter
from collections.abc import Callable
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
from saltcart.lab import composition_scenarios as scenarios
from saltcart.lab.baseline_timeout_policies import find_timeout_policy
from saltcart.lab.composition_scenarios import Scenario
from saltcart.lab.dependency import ModelDependency, request_number
from saltcart.lab.events import DueTimer, EventQueue, start_service_timer
from saltcart.platform_settings import read_settings

REQUESTS_PER_SECOND = 60.0  # unless another rate is given
DUPLICATE_SHARE = 0.05  # of the requests with an idempotency key
DUPLICATE_DELAY_SECONDS = 0.2
ORACLE_CORES = 1000
DRAIN_SECONDS = 2.0  # from the start of the drain to the end of the process


@dataclass
class CompositionFigures:
    """Results of one scenario under one policy; weights are priority weights of requests."""

    offered_weight: float = 0.0
    earned_weight: float = 0.0
    earned_weight_by_second: Counter[int] = field(default_factory=Counter)
    responses_by_status: Counter[str] = field(default_factory=Counter)
    late_responses: int = 0
    unanswered: int = 0
    partial_writes: int = 0
    repeated_writes: int = 0
    load_factor: float = 1.0
    calls: int = 0
    requests: int = 0
    elapsed_seconds: float = 0.0  # of real time
    median_ms: float = 0.0
    p99_ms: float = 0.0


class ModelWorkerPool:
    """Implements the ``WorkerPool`` port: carries out the engine's actions on simulated dependencies."""

    def __init__(
        self,
        events: EventQueue,
        service: Service,
        engine: CompositionEngine,
        dependencies: dict[str, ModelDependency],
        figures: CompositionFigures,
    ) -> None:
        self.events, self.service, self.engine, self.dependencies, self.figures = (
            events,
            service,
            engine,
            dependencies,
            figures,
        )
        self.releases_slots, self.actions = True, ActionQueue(self._carry_out)
        self.timer = DueTimer(events, engine.next_timer_at, lambda: self.run_engine(engine.tick, events.now))

    def run_engine(self, method: Callable[..., list[CompositionAction]], *args: Any) -> None:
        """Call a method of the engine, carry out the actions that it returns, and set the timer again."""
        self.actions(method(*args))
        self.timer.arm()

    def _carry_out(self, action: CompositionAction) -> None:
        match action:
            case SendCall():
                self._send(action)
            case CompositionFinished():
                self.service.run_finished(
                    action.id,
                    action.outcome,
                    action.seconds,
                    action.body,
                    action.skipped_dependencies,
                    action.cached_dependencies,
                )
            case CancelCall():
                pass  # the dependency still serves the call; the engine ignores its reply

    def _send(self, action: SendCall) -> None:
        self.figures.calls += 1
        if action.must_run_once and action.request_id in self.engine.runs:
            replies = self.engine.runs[action.request_id].replies
            self.figures.partial_writes += any(
                status is not SubRequestStatus.ANSWERED for status, _ in replies.values()
            )
        self.dependencies[action.dependency].call(
            self.events.now,
            request_number(action.request_id),
            lambda when, outcome: self.events.at(when, self._call_finished, action.id, outcome),
        )

    def _call_finished(self, call_id: bytes, outcome: Outcome) -> None:
        self.run_engine(self.engine.call_finished, self.events.now, call_id, outcome, b'{"ok":1}')

    def spawn(
        self,
        request_id: bytes,
        class_name: str,
        account: str,
        body: bytes,
        must_run_once: bool,
        time_to_deadline: float,
        time_to_objective: float,
    ) -> None:
        """Start a composed run."""
        now, (objective, deadline) = (
            self.events.now,
            self.service.loop.usable_time(time_to_objective, time_to_deadline),
        )
        self.run_engine(
            self.engine.start, now, request_id, class_name, account, body, now + objective, now + deadline
        )

    def suspend(self, request_id: bytes) -> None:
        """Cancel a composed run."""
        self.run_engine(self.engine.cancel, self.events.now, request_id)

    def resume(self, request_id: bytes) -> None:
        """Do nothing: composed runs are never paused."""

    def supply_reply(self, request_id: bytes, reply: bytes) -> None:
        """Do nothing: the engine makes the calls of composed runs."""

    def skip_call(self, request_id: bytes, notice_number: int) -> None:
        """Do nothing: the engine makes the calls of composed runs."""

    def poll_gauges(self) -> None:
        """Report idle cores, since waiting runs need none, and release slots that other requests need."""
        self.service.gauges_polled((0.0, 0.0))
        if self.releases_slots:
            self.run_engine(self.engine.release_slots, self.events.now, self.service.loop.held_count())


class CompositionSimulation:
    """One run of a scenario under one policy: its requests are drawn first, and arrive at a given rate.

    Attributes:
        scenario: The scenario.
        arrival_times: When the requests arrive, in seconds since the start of the run, ascending.
        class_indexes: Classes of the requests, as indexes of ``CLASS_NAMES``.
        priority_ranks: Priority ranks of the requests.
        caller_draws: Two uniform draws for each request: whether its caller disconnects; whether a
            duplicate of it is sent, and when its caller disconnects.
        reply_shares: Share of a response's weight that each dependency's reply is worth, by class.
        response_counts: Number of responses by request; an abandoned request counts as answered.
    """

    def __init__(
        self, scenario: Scenario, policy: str, seconds: float, seed: int, rate: float = REQUESTS_PER_SECOND
    ) -> None:
        self.scenario, self.seconds, self.figures = scenario, seconds, CompositionFigures()
        rng = np.random.default_rng([seed, 7])
        count = int(seconds * rate)
        self.settings: Settings = read_settings(FieldReader(scenarios.SETTINGS, "settings"))
        if policy == "oracle":
            self.settings = replace(self.settings, cores=ORACLE_CORES)
        self.arrival_times = np.sort(rng.random(count) * seconds).tolist()
        self.class_indexes = rng.choice(len(scenarios.CLASS_NAMES), count, p=scenarios.CLASS_SHARES).tolist()
        self.priority_ranks, self.caller_draws = rng.random(count).tolist(), rng.random((count, 2)).tolist()
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
        plans = read_composition_plans(self.settings)
        self.dependencies = {
            name: ModelDependency(name, *profile, count, seed, events.now)
            for name, profile in scenarios.DEPENDENCY_PROFILES.items()
        }
        for name, fault_plan in scenario.fault_plans.items():
            self.dependencies[name].fault_plans.append(fault_plan)
        self.engine = CompositionEngine(plans, seed, self.settings.classes)
        self.engine.timeout_policy = find_timeout_policy(
            policy, self.engine.timeout_policy, self.dependencies
        )
        self.worker_pool = ModelWorkerPool(events, self.service, self.engine, self.dependencies, self.figures)
        self.service.ports.workers, self.worker_pool.releases_slots = self.worker_pool, policy == "budgets"
        self.reply_shares = {
            plan.class_name: {call.dependency: call.worth for call in plan.calls()} for plan in plans.plan
        }
        self.histogram = HdrHistogram(1, 60_000_000, 3)  # of response times in microseconds
        self.response_counts = Counter[int]()

    def run(self) -> CompositionFigures:
        """Run the scenario to its end and return the results."""
        real_start, events, figures = time.perf_counter(), self.events, self.figures
        self.service.pool_started(False, 100.0)
        start_service_timer(events, self.service)
        stop = self.seconds / 2 if self.scenario.drains else float("inf")
        for n, arrival_time in enumerate(self.arrival_times):
            if arrival_time < stop:
                events.at(self.origin + arrival_time, self._arrive, n, 0)
        if self.scenario.drains:
            events.at(self.origin + stop, self._drain)
        events.run(self.origin + self.seconds + 6)
        figures.requests = sum(1 for arrival_time in self.arrival_times if arrival_time < stop)
        figures.unanswered = sum(self.response_counts[n] == 0 for n in range(figures.requests))
        figures.repeated_writes = sum(
            attempts > 1 for attempts in self.dependencies["knjiga"].attempt_counts.values()
        )
        figures.elapsed_seconds = time.perf_counter() - real_start
        for name in self.scenario.fault_plans:
            counts = self.engine.dependencies[name].counts
            figures.load_factor = max(figures.load_factor, 1 + counts["further"] / max(1, counts["first"]))
        figures.median_ms = self.histogram.get_value_at_percentile(50) / 1000
        figures.p99_ms = self.histogram.get_value_at_percentile(99) / 1000
        return figures

    def _drain(self) -> None:
        self.service.start_drain(DRAIN_SECONDS)
        self.worker_pool.run_engine(
            self.engine.shorten_deadlines,
            self.events.now,
            self.events.now + DRAIN_SECONDS - STOP_MARGIN_SECONDS,
        )

    def _arrive(self, n: int, copy: int) -> None:
        """Submit request ``n``: the original if ``copy`` is 0, else a duplicate with the same key."""
        now, spec = self.events.now, self.settings.classes[self.class_indexes[n]]
        has_key = spec.effect is Effect.IDEMPOTENT_BY_KEY
        request_id = b"%016x" % (n + (copy << 32))
        request = InboundRequest(
            request_id,
            spec.name,
            "",
            now,
            spec.deadline,
            10.0,
            self.priority_ranks[n],
            idempotency_key=b"k%d" % n if has_key else None,
            body=b'{"n":%d}' % n,
        )
        disconnect_draw, draw = self.caller_draws[n]
        if not copy:
            self.figures.offered_weight += spec.priority_weight
            if has_key and draw < DUPLICATE_SHARE:
                self.events.at(now + DUPLICATE_DELAY_SECONDS, self._arrive, n, 1)
        number = self.service.submit(request, lambda response: self._finish(n, copy, now, response))
        if disconnect_draw < self.scenario.abandoned_share and not copy:
            self.events.at(now + 0.05 + draw * spec.latency_objective / 2, self._disconnect, n, number)

    def _disconnect(self, n: int, number: int) -> None:
        if not self.response_counts[n]:
            self.response_counts[n] += 1  # no response is due any more
            self.service.abandon(number)

    def _finish(self, n: int, copy: int, arrived_at: float, response: FinalResponse) -> None:
        spec, seconds = self.settings.classes[self.class_indexes[n]], self.events.now - arrived_at
        figures = self.figures
        figures.responses_by_status[
            "partial" if response.skipped_dependencies else response.status.value
        ] += 1
        figures.late_responses += seconds > spec.deadline + self.settings.answer_slack
        figures.partial_writes += bool(response.skipped_dependencies) and spec.effect is not Effect.SAFE
        if copy:
            return
        self.response_counts[n] += 1
        self.histogram.record_value(max(1, int(seconds * 1e6)))
        if response.status.value == "served" and seconds <= spec.latency_objective:
            weight = spec.priority_weight * (
                1 - sum(self.reply_shares[spec.name][name] for name in response.skipped_dependencies)
            )
            figures.earned_weight += weight
            figures.earned_weight_by_second[int(arrived_at - self.origin)] += weight


def read_composition_plans(settings: Settings, addresses: dict[str, str] | None = None) -> CompositionSpec:
    """Return the plans of the scenarios, checked against the classes of the settings."""
    tables = scenarios.deployment(addresses)
    plans = read_plans(
        {key: tables[key] for key in ("dependency", "plan")},
        [upstream["name"] for upstream in tables["upstream"]],
    )
    check_classes(plans, settings.classes)
    return plans
