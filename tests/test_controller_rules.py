"""Property test: any legal history, under varied settings, keeps the four rules."""

from __future__ import annotations

import random
from dataclasses import replace
from typing import Any

from hypothesis import given, settings
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


class Host:
    """The least of a server that turns random choices into a legal history and keeps account."""

    def __init__(self, s: Settings, seed: int) -> None:
        self.settings, self.rng, self.now = s, random.Random(seed), 100.0
        self.controller = Controller(s, seed)
        self.states: dict[int, str] = {}  # held, run, stopped, wait, call, join
        self.due_at: dict[int, float] = {}
        self.class_indexes: dict[int, int] = {}
        self.sizes_kb: dict[int, float] = {}
        self.arrived_at: dict[int, float] = {}
        self.run_started_at: dict[int, float] = {}
        self.effects: dict[int, int] = {}  # which effect a try carries
        self.done_effects: dict[int, list[float]] = {}
        self.reserved_keys: dict[int, tuple[int, float]] = {}  # effect: holder, until
        self.timers: list[tuple[float, int]] = []
        self.drain_started_at: float | None = None
        self.stop_at = 0.0
        self.next_id = 1
        self.send(Started())

    def send(self, event: Event) -> None:
        for a in self.controller.handle(self.now, event):
            self.apply(a)
        memory = sum(
            self.sizes_kb[r] * (1 if how in ("held", "join") else self.settings.run_memory_factor)
            for r, how in self.states.items()
        )
        memory += self.settings.key_entry_kb * sum(
            until > self.now for _, until in self.reserved_keys.values()
        )
        assert memory <= self.settings.memory_kb
        on_core = sum(how == "run" for how in self.states.values())
        share = 1.0
        if self.settings.starts_cold and self.now < 100 + self.settings.warm_up_seconds:
            share = (
                self.settings.cold_speed_share
                + (1 - self.settings.cold_speed_share) * (self.now - 100) / self.settings.warm_up_seconds
            )
        assert on_core <= self.settings.cores * (1 + (self.settings.max_running_per_core - 1) * share)

    def answer(self, r: int) -> None:
        assert r in self.due_at, "second answer"
        assert self.now <= self.due_at.pop(r) + self.settings.answer_slack + 1e-9, "late answer"

    def apply(self, a: Action) -> None:
        match a:
            case SetTimer(at, token):
                assert at > self.now
                self.timers.append((at, token))
            case StartRun(r):
                assert self.states[r] == "held" and r not in self.run_started_at
                if self.drain_started_at is not None:
                    assert self.arrived_at[r] <= self.drain_started_at + self.settings.drain_grace
                if CLASSES[self.class_indexes[r]].effect is Effect.IDEMPOTENT_BY_KEY:
                    for t in self.done_effects.get(self.effects[r], []):
                        assert self.arrived_at[r] > t + CLASSES[self.class_indexes[r]].key_window, (
                            "effect twice"
                        )
                    self.done_effects.setdefault(self.effects[r], []).append(self.arrived_at[r])
                self.states[r], self.run_started_at[r] = "run", self.now
            case StopRun(r):
                assert self.settings.preemption is not Preemption.NONE
                if self.states.get(r) == "run":
                    self.states[r] = "stopped"
            case Reject(r):
                assert r not in self.run_started_at or CLASSES[self.class_indexes[r]].effect is Effect.SAFE
                assert self.states[r] == "held"
                self.answer(r)
                del self.states[r]
            case FailRequest(r):
                self.answer(r)
                if self.states.get(r) in ("held", "join"):
                    del self.states[r]
            case StartCall(r, limit):
                assert self.states[r] == "wait" and limit > 0
                self.states[r] = "call"
            case SkipCall(r):
                assert (
                    self.states[r] == "wait" and CLASSES[self.class_indexes[r]].skipped_call_weight_share > 0
                )
                self.states[r] = "run"
            case ReserveKey(r, span):
                self.reserved_keys[self.effects[r]] = (r, self.now + span)
            case ReleaseKey(r):
                if self.reserved_keys.get(self.effects[r], (0, 0.0))[0] == r:
                    del self.reserved_keys[self.effects[r]]
            case JoinAttempt(r):
                self.states[r] = "join"
            case AdvertiseLevel(value):
                assert self.settings.signal is not LoadSignal.NONE and value >= 0

    def arrive(self) -> None:
        r, k = self.next_id, self.rng.randrange(3)
        self.next_id += 1
        unread = self.rng.choice([0.0, 0.01, 0.4])
        patience = self.rng.choice([None, 0.05, 0.5, 2.0]) if self.rng.random() < 0.5 else None
        self.class_indexes[r], self.sizes_kb[r], self.arrived_at[r] = (
            k,
            self.rng.uniform(5, 40),
            self.now - unread,
        )
        self.effects[r] = self.rng.randrange(12) if k == 1 else -r
        due = self.now + patience if patience else max(self.now, self.arrived_at[r] + CLASSES[k].deadline)
        holder, until = self.reserved_keys.get(self.effects[r], (0, 0.0))
        same = holder if holder and self.arrived_at[r] <= until else None
        self.due_at[r], self.states[r] = due, "held"
        self.send(
            RequestArrived(
                r,
                k,
                self.sizes_kb[r],
                self.rng.random(),
                unread,
                patience,
                repeat_of=same,
                balancer=self.rng.randrange(3),
            )
        )

    def finish(self, r: int, outcome: Outcome) -> None:
        if outcome in (Outcome.SUCCEEDED, Outcome.FAILED) and r in self.due_at:
            self.answer(r)
        del self.states[r]
        self.send(RunFinished(r, outcome, self.now - self.run_started_at.get(r, self.now)))

    def one(self, kinds: tuple[str, ...]) -> int | None:
        able = [r for r, s in self.states.items() if s in kinds]
        return self.rng.choice(able) if able else None

    def act(self, hang: bool) -> None:
        what = self.rng.random()
        if what < 0.4:
            self.arrive()
        elif (
            what < 0.46 and (r := self.one(("held", "run", "join", "wait"))) is not None and r in self.due_at
        ):
            del self.due_at[r]
            if self.states[r] in ("held", "join"):
                del self.states[r]
            self.send(RequestAbandoned(r))
        elif what < 0.56 and (r := self.one(("run",))) is not None and r in self.due_at:
            if (
                CLASSES[self.class_indexes[r]].calls_dependency
                and self.settings.dependency is not DependencyKind.NONE
            ):
                self.states[r] = "wait"
                self.send(CallRequested(r))
        elif what < 0.66 and (r := self.one(("call",))) is not None and not hang:
            how = self.rng.choice(
                list(Outcome)[:1] * 4
                + [Outcome.FAILED, Outcome.TIMED_OUT, Outcome.REJECTED, Outcome.BROKEN_OFF]
            )
            self.states[r] = "run" if how is Outcome.SUCCEEDED else "wait"
            self.send(CallFinished(r, how, 0.05))
        elif (r := self.one(("run", "stopped", "join", "wait", "call"))) is not None:
            if self.states[r] == "stopped" or (self.states[r] in ("wait", "call") and r not in self.due_at):
                self.finish(r, Outcome.CANCELLED)
            elif self.states[r] in ("run", "join") and not hang:
                self.finish(r, self.rng.choice([Outcome.SUCCEEDED, Outcome.SUCCEEDED, Outcome.FAILED]))

    def advance(self, by: float) -> None:
        end = self.now + by
        while self.timers and min(self.timers)[0] <= end:
            at, token = min(self.timers)
            self.timers.remove((at, token))
            self.now = max(self.now, at)
            self.send(TimerFired(token, self.rng.random()))
        self.now = end
        assert all(due + self.settings.answer_slack >= self.now for due in self.due_at.values()), "lost"


OPTIONS: dict[str, Any] = {
    "preemption": st.sampled_from(Preemption),
    "signal": st.sampled_from(LoadSignal),
    "starts_cold": st.booleans(),
    "dependency_call_share": st.sampled_from([0.3, 2.0, 9.0]),
    "cores": st.integers(1, 4),
    "dependency": st.sampled_from(DependencyKind),
    "read_freshness_seconds": st.sampled_from([0.0, 1.0]),
}


@settings(max_examples=60, deadline=None, derandomize=True, database=None)
@given(st.fixed_dictionaries(OPTIONS), st.integers(0, 10**6), st.booleans())
def test_rules_hold_on_any_history(options: dict[str, Any], seed: int, hang: bool) -> None:
    host = Host(replace(BASE, **options), seed)
    for n in range(250):
        host.act(hang and 80 < n < 160)
        if n % 2:
            host.advance(host.rng.choice([0.0, 0.005, 0.03, 0.12]))
        if n == 200:
            host.drain_started_at, host.stop_at = host.now, host.now + 3.0
            host.send(DrainStarted(3.0))
    while host.now < host.stop_at:
        host.act(False)
        host.advance(0.05)
    assert not host.due_at
