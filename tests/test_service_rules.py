"""Property test: the core keeps its rules under random histories of callers, worker pool and calls."""

from __future__ import annotations

import random
from dataclasses import replace

from hypothesis import given, settings
from hypothesis import strategies as st

from saltcart.decision.outcome import Outcome
from tests.fakes import KEYED, SETTINGS, ServiceHarness


class History(ServiceHarness):
    """A random history of inputs, which checks every action of the core as it happens."""

    def __init__(self, seed: int) -> None:
        super().__init__(replace(SETTINGS, max_retry_after=1.0))
        self.rng, self.number, self.drain_started_at = random.Random(seed), 0, float("inf")
        # By request id.
        self.arrival_times: dict[bytes, float] = {}
        self.due_at: dict[bytes, float] = {}
        self.keys: dict[bytes, bytes] = {}
        # Sets of request ids.
        self.abandoned = set[bytes]()
        self.runs_by_key: dict[bytes, list[float]] = {}  # arrival times of the attempts that ran, by key
        self.started = set[bytes]()
        self.awaiting_call = set[bytes]()
        self.running = set[bytes]()
        self.requested_calls = set[bytes]()

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
        assert request_id not in self.started, "spawned twice"
        assert not self.responses[request_id], "run after its response"
        assert self.arrival_times[request_id] <= self.drain_started_at + SETTINGS.drain_grace, (
            "run too late in a drain"
        )
        if must_run_once:
            for earlier in self.runs_by_key.setdefault(self.keys[request_id], []):
                assert self.arrival_times[request_id] > earlier + KEYED.key_window, (
                    "two runs in one key window"
                )
            self.runs_by_key[self.keys[request_id]].append(self.arrival_times[request_id])
        self.started.add(request_id)
        self.running.add(request_id)

    def call(self, request_id: bytes, timeout: float, body: bytes, must_run_once: bool) -> None:
        assert request_id in self.awaiting_call and timeout > 0, "call that no run waits for"

    def supply_reply(self, request_id: bytes, reply: bytes) -> None:
        self.awaiting_call.remove(request_id)

    def skip_call(self, request_id: bytes, notice_number: int) -> None:
        assert request_id not in self.keys, "required call skipped"
        self.awaiting_call.remove(request_id)

    def check_responses(self) -> None:
        for request_id, responses in self.responses.items():
            assert len(responses) <= 1, "two responses"
            is_late = self.now > self.due_at[request_id] + SETTINGS.answer_slack
            assert responses or request_id in self.abandoned or not is_late, "response overdue"
            if responses and request_id in self.started and request_id in self.keys:
                assert responses[0].status.value != "refused", "rejected after it ran"

    def make_random_input(self) -> None:
        choice, rng = self.rng.random(), self.rng
        if choice < 0.45:
            self.number += 1
            request_id = b"%016x" % self.number
            self.arrival_times[request_id] = self.now - rng.choice([0.0, 0.01, 0.3])
            budget = rng.choice([0.4, 1.5, 3.0])
            self.due_at[request_id] = max(self.now, self.arrival_times[request_id] + budget)
            is_keyed = rng.random() < 0.5
            if is_keyed:
                self.keys[request_id] = b"%d" % rng.randrange(6)
            self.submit(
                self.number,
                "oddaja" if is_keyed else "read",
                self.keys.get(request_id),
                received_at=self.arrival_times[request_id],
                budget_seconds=budget,
                priority_rank=rng.random(),
            )
        elif choice < 0.55 and self.service.requests:
            request = rng.choice(list(self.service.requests.values()))
            self.abandoned.add(request.inbound.request_id)
            self.service.abandon(request.number)
        elif choice < 0.65 and self.awaiting_call:
            request_id = rng.choice(sorted(self.awaiting_call))
            self.service.call_finished(request_id, rng.choice(list(Outcome)), b"reply")
        elif choice < 0.75 and self.running - self.awaiting_call:
            request_id = rng.choice(sorted(self.running - self.awaiting_call))
            self.awaiting_call.add(request_id)
            self.requested_calls.add(request_id)
            self.service.call_requested(request_id, self.number, b"question")
        elif self.running:
            request_id = rng.choice(sorted(self.running))
            self.running.discard(request_id)
            if rng.random() < 0.1:
                self.service.run_uncertain(request_id)
            else:
                outcomes = [Outcome.SUCCEEDED] * 5 + [
                    Outcome.FAILED,
                    Outcome.CANCELLED,
                    Outcome.NOT_STARTED,
                ]
                outcome = rng.choice(outcomes)
                if (
                    outcome is Outcome.NOT_STARTED
                    and request_id in self.keys
                    and request_id not in self.requested_calls
                ):
                    # The pool reported that nothing ran.
                    self.runs_by_key[self.keys[request_id]].remove(self.arrival_times[request_id])
                self.service.run_finished(request_id, outcome, 0.1, b"result")
            self.awaiting_call.discard(request_id)


@settings(max_examples=60, deadline=None, derandomize=True, database=None)
@given(st.integers(0, 10**6))
def test_rules_hold_under_any_history(seed: int) -> None:
    history = History(seed)
    for step in range(400):
        history.make_random_input()
        history.run_until(history.now + history.rng.choice([0.0, 0.004, 0.02, 0.1]))
        history.check_responses()
        if step == 330:
            history.drain_started_at = history.now
            history.service.start_drain(4.0)
    history.run_until(history.drain_started_at + 4.0)
    assert all(
        history.responses[request_id] or request_id in history.abandoned for request_id in history.responses
    ), "no response before the stop"
    history.run_until(history.now + 20.0)
    assert not history.service.keys.records and history.service.keys.used_bytes == 0
