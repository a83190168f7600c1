"""Property test of the core: any history of callers, pool, calls and links keeps the rules on every front."""

from __future__ import annotations

import random
from dataclasses import replace

from hypothesis import given, settings
from hypothesis import strategies as st

from saltcart.decision.outcome import Outcome
from tests.fakes import ONCE, SETTINGS, ServiceHarness


class History(ServiceHarness):
    """A world that checks each thing the core does at the moment it does it."""

    def __init__(self, seed: int) -> None:
        super().__init__(replace(SETTINGS, max_retry_after=1.0))
        self.rng, self.number, self.drained = random.Random(seed), 0, float("inf")
        self.reached: dict[bytes, float] = {}
        self.due: dict[bytes, float] = {}
        self.key: dict[bytes, bytes] = {}
        self.gone = set[bytes]()
        self.ran: dict[bytes, list[float]] = {}  # by key: when the tries that ran had come
        self.started = set[bytes]()
        self.waiting = set[bytes]()  # runs that wait for a call
        self.under_way = set[bytes]()
        self.called = set[bytes]()

    def spawn(
        self, ident: bytes, klass: str, account: str, body: bytes, once: bool, within: float, aim: float
    ) -> None:
        assert ident not in self.started, "spawned twice"
        assert not self.responses[ident], "run after its answer"
        assert self.reached[ident] <= self.drained + SETTINGS.drain_grace, "run too late in a drain"
        if once:
            for before in self.ran.setdefault(self.key[ident], []):
                assert self.reached[ident] > before + ONCE.key_window, "effect twice"
            self.ran[self.key[ident]].append(self.reached[ident])
        self.started.add(ident)
        self.under_way.add(ident)

    def call(self, ident: bytes, limit: float, body: bytes, once: bool) -> None:
        assert ident in self.waiting and limit > 0, "a call that no run waits for"

    def supply_reply(self, ident: bytes, reply: bytes) -> None:
        self.waiting.remove(ident)

    def skip_call(self, ident: bytes, notice: int) -> None:
        assert ident not in self.key, "a call left out that must not be"
        self.waiting.remove(ident)

    def check(self) -> None:
        for ident, answers in self.responses.items():
            assert len(answers) <= 1, "answered twice"
            late = self.now > self.due[ident] + SETTINGS.answer_slack
            assert answers or ident in self.gone or not late, "lost"
            if answers and ident in self.started and ident in self.key:
                assert answers[0].status.value != "refused", "refused once run"

    def act(self) -> None:
        what, rng = self.rng.random(), self.rng
        if what < 0.45:
            self.number += 1
            ident = b"%016x" % self.number
            self.reached[ident] = self.now - rng.choice([0.0, 0.01, 0.3])
            budget = rng.choice([0.4, 1.5, 3.0])
            self.due[ident] = max(self.now, self.reached[ident] + budget)
            keyed = rng.random() < 0.5
            if keyed:
                self.key[ident] = b"%d" % rng.randrange(6)
            self.submit(
                self.number,
                "oddaja" if keyed else "read",
                self.key.get(ident),
                received_at=self.reached[ident],
                budget_seconds=budget,
                priority_rank=rng.random(),
            )
        elif what < 0.55 and self.service.requests:
            r = rng.choice(list(self.service.requests.values()))
            self.gone.add(r.inbound.request_id)
            self.service.abandon(r.number)
        elif what < 0.65 and self.waiting:
            ident = rng.choice(sorted(self.waiting))
            self.service.call_finished(ident, rng.choice(list(Outcome)), b"reply")
        elif what < 0.75 and self.under_way - self.waiting:
            ident = rng.choice(sorted(self.under_way - self.waiting))
            self.waiting.add(ident)
            self.called.add(ident)
            self.service.call_requested(ident, self.number, b"question")
        elif self.under_way:
            ident = rng.choice(sorted(self.under_way))
            self.under_way.discard(ident)
            if rng.random() < 0.1:
                self.service.run_uncertain(ident)
            else:
                how = [Outcome.SUCCEEDED] * 5 + [
                    Outcome.FAILED,
                    Outcome.CANCELLED,
                    Outcome.NOT_STARTED,
                ]
                outcome = rng.choice(how)
                if outcome is Outcome.NOT_STARTED and ident in self.key and ident not in self.called:
                    self.ran[self.key[ident]].remove(self.reached[ident])  # proof that it never ran
                self.service.run_finished(ident, outcome, 0.1, b"result")
            self.waiting.discard(ident)


@settings(max_examples=60, deadline=None, derandomize=True, database=None)
@given(st.integers(0, 10**6))
def test_any_history_keeps_the_rules(seed: int) -> None:
    h = History(seed)
    for n in range(400):
        h.act()
        h.run_until(h.now + h.rng.choice([0.0, 0.004, 0.02, 0.1]))
        h.check()
        if n == 330:
            h.drained = h.now
            h.service.start_drain(4.0)
    h.run_until(h.drained + 4.0)
    assert all(h.responses[ident] or ident in h.gone for ident in h.responses), "unanswered at the stop"
    h.run_until(h.now + 20.0)
    assert not h.service.keys.records and h.service.keys.used_bytes == 0
