"""Property test: the four service rules hold for random valid event histories under varied settings."""

from __future__ import annotations

import random
from dataclasses import replace
from typing import Any

from hypothesis import given
from hypothesis import settings as hypothesis_settings
from hypothesis import strategies as st

from saltcart.decision.actions import (
    Action,
    AdvertiseLevel,
    FailRequest,
    JoinAttempt,
    Reject,
    ReleaseKey,
    ReserveKey,
    SetTimer,
    SkipCall,
    StartCall,
    StartRun,
    StopRun,
)
from saltcart.decision.controller import Controller
from saltcart.decision.events import (
    CallFinished,
    CallRequested,
    DrainStarted,
    Event,
    RequestAbandoned,
    RequestArrived,
    RunFinished,
    Started,
    TimerFired,
)
from saltcart.decision.outcome import Outcome
from saltcart.decision.settings import ClassSpec, DependencyKind, Effect, LoadSignal, Preemption, Settings

CLASSES = (
    ClassSpec("read", Effect.SAFE, 1.0, 3.0, 1.0, calls_dependency=True, skipped_call_weight_share=0.5),
    ClassSpec("keyed", Effect.IDEMPOTENT_BY_KEY, 1.5, 4.0, 5.0, key_window=6.0, calls_dependency=True),
    ClassSpec("once", Effect.NON_IDEMPOTENT, 1.5, 4.0, 2.0, late_weight_share=0.3),
)
BASE = Settings(
    classes=CLASSES,
    cores=2,
    memory_kb=900.0,
    answer_slack=0.06,
    drain_grace=1.0,
    max_running_per_core=4.0,
    max_running_window=1.0,
    cold_speed_share=0.3,
    warm_up_seconds=5.0,
    run_memory_factor=4.0,
    key_entry_kb=10.0,
    signal_lifetime=1.0,
    dependency=DependencyKind.SHARED,
    dependency_call_share=2.0,
    dependency_call_window=5.0,
    abandoned_call_seconds=0.2,
    batch_interval=0.005,
)


class RandomHost:
    """A minimal server that sends random valid events to a controller and checks the resulting actions."""

    def __init__(self, settings: Settings, seed: int) -> None:
        self.settings, self.rng, self.now = settings, random.Random(seed), 100.0
        self.controller = Controller(settings, seed)
        self.states: dict[int, str] = {}  # by request id: held, run, stopped, wait, call or join
        self.due_at: dict[int, float] = {}
        self.class_indexes: dict[int, int] = {}
        self.sizes_kb: dict[int, float] = {}
        self.arrived_at: dict[int, float] = {}
        self.run_started_at: dict[int, float] = {}
        self.effects: dict[int, int] = {}  # by request id: its effect, which retries share
        self.done_effects: dict[int, list[float]] = {}  # by effect: arrival times of its runs
        self.reserved_keys: dict[int, tuple[int, float]] = {}  # by effect: request id, end of the window
        self.timers: list[tuple[float, int]] = []
        self.drain_started_at: float | None = None
        self.stop_at = 0.0
        self.next_id = 1
        self.send(Started())

    def send(self, event: Event) -> None:
        for action in self.controller.handle(self.now, event):
            self.apply(action)
        memory = sum(
            self.sizes_kb[request_id] * (1 if state in ("held", "join") else self.settings.run_memory_factor)
            for request_id, state in self.states.items()
        )
        memory += self.settings.key_entry_kb * sum(
            until > self.now for _, until in self.reserved_keys.values()
        )
        assert memory <= self.settings.memory_kb
        on_core = sum(state == "run" for state in self.states.values())
        share = 1.0
        if self.settings.starts_cold and self.now < 100 + self.settings.warm_up_seconds:
            share = (
                self.settings.cold_speed_share
                + (1 - self.settings.cold_speed_share) * (self.now - 100) / self.settings.warm_up_seconds
            )
        assert on_core <= self.settings.cores * (1 + (self.settings.max_running_per_core - 1) * share)

    def answer(self, request_id: int) -> None:
        assert request_id in self.due_at, "answered twice"
        assert self.now <= self.due_at.pop(request_id) + self.settings.answer_slack + 1e-9, (
            "answered too late"
        )

    def apply(self, action: Action) -> None:
        match action:
            case SetTimer(at, token):
                assert at > self.now
                self.timers.append((at, token))
            case StartRun(request_id):
                assert self.states[request_id] == "held" and request_id not in self.run_started_at
                if self.drain_started_at is not None:
                    assert self.arrived_at[request_id] <= self.drain_started_at + self.settings.drain_grace
                if CLASSES[self.class_indexes[request_id]].effect is Effect.IDEMPOTENT_BY_KEY:
                    for previous_arrival in self.done_effects.get(self.effects[request_id], []):
                        assert (
                            self.arrived_at[request_id]
                            > previous_arrival + CLASSES[self.class_indexes[request_id]].key_window
                        ), "effect happened twice"
                    self.done_effects.setdefault(self.effects[request_id], []).append(
                        self.arrived_at[request_id]
                    )
                self.states[request_id], self.run_started_at[request_id] = "run", self.now
            case StopRun(request_id):
                assert self.settings.preemption is not Preemption.NONE
                if self.states.get(request_id) == "run":
                    self.states[request_id] = "stopped"
            case Reject(request_id):
                assert (
                    request_id not in self.run_started_at
                    or CLASSES[self.class_indexes[request_id]].effect is Effect.SAFE
                )
                assert self.states[request_id] == "held"
                self.answer(request_id)
                del self.states[request_id]
            case FailRequest(request_id):
                self.answer(request_id)
                if self.states.get(request_id) in ("held", "join"):
                    del self.states[request_id]
            case StartCall(request_id, timeout):
                assert self.states[request_id] == "wait" and timeout > 0
                self.states[request_id] = "call"
            case SkipCall(request_id):
                assert (
                    self.states[request_id] == "wait"
                    and CLASSES[self.class_indexes[request_id]].skipped_call_weight_share > 0
                )
                self.states[request_id] = "run"
            case ReserveKey(request_id, seconds):
                self.reserved_keys[self.effects[request_id]] = (request_id, self.now + seconds)
            case ReleaseKey(request_id):
                if self.reserved_keys.get(self.effects[request_id], (0, 0.0))[0] == request_id:
                    del self.reserved_keys[self.effects[request_id]]
            case JoinAttempt(request_id):
                self.states[request_id] = "join"
            case AdvertiseLevel(level):
                assert self.settings.signal is not LoadSignal.NONE and level >= 0

    def arrive(self) -> None:
        request_id, class_index = self.next_id, self.rng.randrange(3)
        self.next_id += 1
        unread = self.rng.choice([0.0, 0.01, 0.4])
        time_to_deadline = self.rng.choice([None, 0.05, 0.5, 2.0]) if self.rng.random() < 0.5 else None
        self.class_indexes[request_id], self.sizes_kb[request_id], self.arrived_at[request_id] = (
            class_index,
            self.rng.uniform(5, 40),
            self.now - unread,
        )
        self.effects[request_id] = self.rng.randrange(12) if class_index == 1 else -request_id
        due = (
            self.now + time_to_deadline
            if time_to_deadline
            else max(self.now, self.arrived_at[request_id] + CLASSES[class_index].deadline)
        )
        holder, until = self.reserved_keys.get(self.effects[request_id], (0, 0.0))
        repeat_of = holder if holder and self.arrived_at[request_id] <= until else None
        self.due_at[request_id], self.states[request_id] = due, "held"
        self.send(
            RequestArrived(
                request_id,
                class_index,
                self.sizes_kb[request_id],
                self.rng.random(),
                unread,
                time_to_deadline,
                repeat_of=repeat_of,
                balancer=self.rng.randrange(3),
            )
        )

    def finish(self, request_id: int, outcome: Outcome) -> None:
        if outcome in (Outcome.SUCCEEDED, Outcome.FAILED) and request_id in self.due_at:
            self.answer(request_id)
        del self.states[request_id]
        self.send(RunFinished(request_id, outcome, self.now - self.run_started_at.get(request_id, self.now)))

    def pick_request(self, states: tuple[str, ...]) -> int | None:
        candidates = [request_id for request_id, state in self.states.items() if state in states]
        return self.rng.choice(candidates) if candidates else None

    def send_random_event(self, hang: bool) -> None:
        choice = self.rng.random()
        if choice < 0.4:
            self.arrive()
        elif (
            choice < 0.46
            and (request_id := self.pick_request(("held", "run", "join", "wait"))) is not None
            and request_id in self.due_at
        ):
            del self.due_at[request_id]
            if self.states[request_id] in ("held", "join"):
                del self.states[request_id]
            self.send(RequestAbandoned(request_id))
        elif (
            choice < 0.56
            and (request_id := self.pick_request(("run",))) is not None
            and request_id in self.due_at
        ):
            if (
                CLASSES[self.class_indexes[request_id]].calls_dependency
                and self.settings.dependency is not DependencyKind.NONE
            ):
                self.states[request_id] = "wait"
                self.send(CallRequested(request_id))
        elif choice < 0.66 and (request_id := self.pick_request(("call",))) is not None and not hang:
            outcome = self.rng.choice(
                list(Outcome)[:1] * 4
                + [Outcome.FAILED, Outcome.TIMED_OUT, Outcome.REJECTED, Outcome.BROKEN_OFF]
            )
            self.states[request_id] = "run" if outcome is Outcome.SUCCEEDED else "wait"
            self.send(CallFinished(request_id, outcome, 0.05))
        elif (request_id := self.pick_request(("run", "stopped", "join", "wait", "call"))) is not None:
            if self.states[request_id] == "stopped" or (
                self.states[request_id] in ("wait", "call") and request_id not in self.due_at
            ):
                self.finish(request_id, Outcome.CANCELLED)
            elif self.states[request_id] in ("run", "join") and not hang:
                self.finish(
                    request_id, self.rng.choice([Outcome.SUCCEEDED, Outcome.SUCCEEDED, Outcome.FAILED])
                )

    def advance(self, seconds: float) -> None:
        end = self.now + seconds
        while self.timers and min(self.timers)[0] <= end:
            at, token = min(self.timers)
            self.timers.remove((at, token))
            self.now = max(self.now, at)
            self.send(TimerFired(token, self.rng.random()))
        self.now = end
        assert all(due + self.settings.answer_slack >= self.now for due in self.due_at.values()), (
            "not answered in time"
        )


OPTIONS: dict[str, Any] = {
    "preemption": st.sampled_from(Preemption),
    "signal": st.sampled_from(LoadSignal),
    "starts_cold": st.booleans(),
    "dependency_call_share": st.sampled_from([0.3, 2.0, 9.0]),
    "cores": st.integers(1, 4),
    "dependency": st.sampled_from(DependencyKind),
    "read_freshness_seconds": st.sampled_from([0.0, 1.0]),
}


@hypothesis_settings(max_examples=60, deadline=None, derandomize=True, database=None)
@given(st.fixed_dictionaries(OPTIONS), st.integers(0, 10**6), st.booleans())
def test_service_rules_hold_for_any_valid_history(options: dict[str, Any], seed: int, hang: bool) -> None:
    host = RandomHost(replace(BASE, **options), seed)
    for n in range(250):
        host.send_random_event(hang and 80 < n < 160)
        if n % 2:
            host.advance(host.rng.choice([0.0, 0.005, 0.03, 0.12]))
        if n == 200:
            host.drain_started_at, host.stop_at = host.now, host.now + 3.0
            host.send(DrainStarted(3.0))
    while host.now < host.stop_at:
        host.send_random_event(False)
        host.advance(0.05)
    assert not host.due_at
