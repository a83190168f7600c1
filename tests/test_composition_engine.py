"""The desk by a clock of the test's own: each way in which a dependency fails, and what becomes of a run."""

from __future__ import annotations

from typing import Any

import orjson
import pytest
from hypothesis import given
from hypothesis import strategies as st

from saltcart.composition.composed_run import (
    ActionQueue,
    CancelCall,
    CompositionAction,
    CompositionFinished,
    SendCall,
)
from saltcart.composition.composition_engine import MAX_ATTEMPTS, CompositionEngine
from saltcart.composition.overload_protection import CircuitState
from saltcart.composition.plan import check_classes, read_plans
from saltcart.decision.outcome import Outcome
from saltcart.decision.settings import ClassSpec, Effect

CLASSES = (
    ClassSpec("read", Effect.SAFE, 1.0, 3.0, 1.0),
    ClassSpec("two", Effect.SAFE, 1.0, 3.0, 1.0),
    ClassSpec("late", Effect.SAFE, 1.0, 3.0, 1.0, late_weight_share=0.5),
    ClassSpec("oddaja", Effect.IDEMPOTENT_BY_KEY, 1.5, 4.0, 5.0, key_window=6.0),
)
OK, ERROR, REJECTED, TIMEOUT = Outcome.SUCCEEDED, Outcome.FAILED, Outcome.REJECTED, Outcome.TIMED_OUT


def desk(**dependencies: dict[str, Any]) -> CompositionEngine:
    named = {
        name: {"name": name, "upstream": "u", **dependencies.get(name, {})}
        for name in ("must", "may", "spare", "write", *dependencies)
    }
    must = {"dependency": "must"}
    may = {"dependency": "may", "required": False, "worth": 0.4, "remember": 6.0}
    raw = {
        "dependency": list(named.values()),
        "plan": [
            {"class": "read", "partial": True, "stage": [{"call": [must, may]}]},
            *(
                {"class": name, "partial": True, "stage": [{"call": [may]}, {"call": [must]}]}
                for name in ("late", "two")
            ),
            {
                "class": "oddaja",
                "answer": "write",
                "stage": [
                    {"call": [must]},
                    {"call": [{"dependency": "write", "write": True, "sends": "answers"}]},
                ],
            },
        ],
    }
    plans = read_plans(raw, ["u"])
    check_classes(plans, CLASSES)
    return CompositionEngine(plans, 1, CLASSES)


class Table:
    """Plays a desk: dependencies answer after the time and with the outcome that a test has set."""

    def __init__(self, **dependencies: dict[str, Any]) -> None:
        self.desk, self.now = desk(**dependencies), 100.0
        self.sent, self.ended = list[SendCall](), dict[bytes, CompositionFinished]()
        self.given_up = set[bytes]()
        self.acts: dict[str, tuple[float, Outcome] | None] = {}
        self.coming: list[tuple[float, bytes, Outcome]] = []
        self.orders = ActionQueue(self.carry_out)

    def carry_out(self, order: CompositionAction) -> None:
        match order:
            case SendCall():
                self.sent.append(order)
                act = self.acts.get(order.dependency, (0.02, OK))
                if act is not None:
                    self.coming.append((self.now + act[0], order.id, act[1]))
            case CancelCall():
                assert order.id in {s.id for s in self.sent}  # never before it is sent
                self.given_up.add(order.id)
            case CompositionFinished():
                assert order.id not in self.ended
                self.ended[order.id] = order

    def start(self, klass: str = "read", aim: float = 1.0, due: float = 3.0, body: bytes = b"b") -> bytes:
        ident = b"%016x" % (len(self.ended) + len(self.desk.runs) + 1)
        self.orders(self.desk.start(self.now, ident, klass, "acme", body, self.now + aim, self.now + due))
        return ident

    def until(self, then: float) -> None:
        while True:
            at = min([c[0] for c in self.coming] + [self.desk.next_timer_at() or then + 1])
            if at > then:
                break
            self.now = max(self.now, at)
            for reply in [c for c in self.coming if c[0] <= self.now]:
                self.coming.remove(reply)
                self.orders(self.desk.call_finished(self.now, reply[1], reply[2], b'{"ok":1}'))
            self.orders(self.desk.tick(self.now))
        self.now = then

    def play(self, klass: str = "read", **more: Any) -> CompositionFinished:
        ident = self.start(klass, **more)
        for _ in range(600):  # in small steps, so that the evidence is not old when the next one starts
            if ident in self.ended:
                break
            self.until(self.now + 0.01)
        return self.ended[ident]

    def warm(self, klass: str = "oddaja", runs: int = 40) -> None:
        for _ in range(runs):
            assert self.play(klass, aim=1.5, due=4.0).outcome is OK

    def names(self) -> list[str]:
        return [s.dependency for s in self.sent]


def test_a_whole_answer_has_every_reply() -> None:
    table = Table()
    ended = table.play()
    assert (ended.outcome, ended.skipped_dependencies) == (OK, ()) and ended.seconds == pytest.approx(0.02)
    assert orjson.loads(ended.body) == {"must": {"ok": 1}, "may": {"ok": 1}}


def test_what_can_be_left_out_is_waited_for_until_the_aim_less_the_reserve_and_then_left_out() -> None:
    table = Table()
    table.acts["may"] = None
    ended = table.play()
    assert (
        ended.outcome is OK
        and ended.skipped_dependencies == ("may",)
        and ended.seconds == pytest.approx(0.98)
    )
    assert orjson.loads(ended.body) == {"must": {"ok": 1}, "may": None}
    assert table.given_up == {s.id for s in table.sent if s.dependency == "may"}


def test_without_what_is_required_there_is_no_answer() -> None:
    table = Table()
    table.acts["must"] = 0.01, ERROR
    ended = table.play()
    assert ended.outcome is ERROR and table.names().count("must") <= MAX_ATTEMPTS
    assert not table.desk.runs and not table.desk.attempts


def test_a_last_good_answer_stands_in_and_is_named_until_it_is_too_old() -> None:
    table = Table()
    table.play()
    table.acts["may"] = 0.01, ERROR
    assert table.play().cached_dependencies == ("may",)
    table.now += 6.0
    ended = table.play()
    assert (ended.cached_dependencies, ended.skipped_dependencies) == ((), ("may",))


def test_a_write_is_sent_once_and_never_again_whatever_becomes_of_it() -> None:
    for outcome in (ERROR, Outcome.BROKEN_OFF, TIMEOUT):
        table = Table(write={"fallback": "spare"})
        table.acts["write"] = 0.05, outcome
        assert table.play("oddaja", aim=1.5, due=4.0).outcome is ERROR
        assert table.names() == ["must", "write"]
        assert [s.must_run_once for s in table.sent] == [False, True]


def test_a_write_that_provably_never_ran_may_go_elsewhere() -> None:
    table = Table(write={"fallback": "spare", "attempts": 0.0})
    table.acts["write"] = 0.05, REJECTED
    ended = table.play("oddaja", aim=1.5, due=4.0)
    assert ended.outcome is OK and table.names() == ["must", "write", "spare"]


def test_a_run_that_never_wrote_is_moot_so_that_its_key_is_free() -> None:
    table = Table()
    table.acts["must"] = 0.01, ERROR
    assert table.play("oddaja", aim=1.5, due=4.0).outcome is Outcome.NOT_STARTED
    table = Table(write={"attempts": 0.0})
    table.acts["write"] = 0.01, REJECTED
    assert table.play("oddaja", aim=1.5, due=4.0).outcome is Outcome.NOT_STARTED


def test_a_write_begins_only_if_its_time_fits_and_is_then_waited_for() -> None:
    table = Table()
    table.acts["write"] = 0.5, OK
    table.warm()
    sent = len(table.sent)
    table.acts["must"] = 1.2, OK  # leaves 0.28 s of the aim: not even a lucky write fits
    outcomes = [table.play("oddaja", aim=1.5, due=4.0).outcome for _ in range(12)]
    writes = table.names()[sent:].count("write")
    assert outcomes.count(Outcome.NOT_STARTED) == 12 - writes and writes <= 3  # one in twenty is tried
    table = Table()
    table.warm()
    table.acts["write"] = 3.0, OK  # slow all at once: past the aim, but only its answer tells what it did
    assert table.play("oddaja", aim=1.5, due=4.0).outcome is OK


def test_an_earlier_stage_leaves_a_later_one_what_it_needs() -> None:
    table = Table()
    table.acts["must"] = 0.4, OK
    table.warm("two", 30)
    table.now += 7.0  # no last good answer stands in any more
    table.acts["may"] = None
    ended = table.play("two")
    assert ended.outcome is OK and ended.skipped_dependencies == ("may",) and ended.seconds <= 0.98
    given = next(s for s in reversed(table.sent) if s.dependency == "may")
    assert given.timeout == pytest.approx(1 - 0.02 - 1.25 * 0.4, abs=0.06)


def test_the_share_follows_an_earlier_stage_that_ended_early() -> None:
    table = Table()
    table.acts["must"] = 0.3, OK
    table.warm("two", 30)
    within = [s.timeout for s in table.sent if s.dependency == "must"]
    assert within[-1] == pytest.approx(1.48 - 0.02, abs=0.01)  # all that the quick first stage left


def test_late_answers_are_waited_for_only_where_they_are_worth_something() -> None:
    for klass, late in (("read", False), ("late", True)):
        table = Table()
        table.acts["must"] = 0.8, OK
        table.warm(klass, 30)
        table.acts["may"] = 0.0, OK
        ended = table.play(klass, aim=0.5, due=3.0)
        assert (ended.outcome is OK) == late


def test_further_attempts_of_a_failing_dependency_stay_within_their_share() -> None:
    table = Table(must={"attempts": 0.1})
    table.acts["must"] = 0.01, ERROR
    for _ in range(400):
        table.play()
    counts = table.desk.dependencies["must"].counts
    assert counts["further"] <= 0.1 * counts["first"] + 5


def test_a_dependency_that_always_fails_is_no_longer_called() -> None:
    table = Table()
    table.acts["may"] = 0.01, ERROR
    for _ in range(20):
        table.start()
        table.until(table.now + 0.05)
    circuit = table.desk.dependencies["may"].circuit_breaker
    assert circuit.state is CircuitState.OPEN
    before = len(table.sent)
    ident = table.start()
    assert [s.dependency for s in table.sent[before:]] == ["must"]
    table.acts["may"] = 0.01, OK
    table.until(circuit.open_until + 0.01)
    for _ in range(6):
        table.play()
    assert (
        circuit.state is not CircuitState.OPEN
        and table.play().skipped_dependencies == ()
        and ident in table.ended
    )


def test_a_silent_dependency_with_a_fallback_costs_its_usual_time_and_no_more() -> None:
    table = Table(must={"fallback": "spare"})
    table.warm(runs=60)
    table.acts["must"] = None
    took = [table.play("oddaja", aim=1.5, due=4.0).seconds for _ in range(30)]
    assert max(took) < 0.6 and took[-1] < 0.2  # at first beside it, in the end in its place
    assert table.names().count("spare") >= 30


def test_calls_that_wait_for_a_place_go_elsewhere_as_soon_as_the_circuit_opens() -> None:
    table = Table(must={"most": 2, "least": 2, "fallback": "spare"})
    table.desk.dependencies["must"].limit.value = 2.0
    table.acts["must"] = 0.2, ERROR
    idents = [table.start(aim=2.0) for _ in range(30)]
    assert len(table.desk.dependencies["must"].waiting) > 0
    table.until(table.now + 5)
    assert all(table.ended[ident].outcome is OK for ident in idents)
    assert not table.desk.dependencies["must"].waiting


def test_no_more_calls_are_out_than_the_limit_allows() -> None:
    table = Table(must={"most": 3})
    for _ in range(20):
        table.start()
        assert table.desk.dependencies["must"].limit.in_flight <= 3
    table.until(table.now + 5)
    assert {e.outcome for e in table.ended.values()} == {OK}


def test_a_hedge_answers_in_the_place_of_a_slow_first_attempt() -> None:
    table = Table()
    raw = {
        "dependency": [{"name": "a", "upstream": "u"}],
        "plan": [{"class": "read", "stage": [{"call": [{"dependency": "a", "hedge": True}]}]}],
    }
    table.desk = CompositionEngine(read_plans(raw, ["u"]), 1, CLASSES)
    for _ in range(40):
        table.play()
    table.acts["a"] = None
    ident = table.start()
    first = table.sent[-1]
    table.acts["a"] = 0.02, OK
    table.until(table.now + 1)
    assert table.ended[ident].outcome is OK and table.ended[ident].seconds < 0.1
    assert table.given_up == {first.id}


def test_a_reply_to_what_was_given_up_changes_nothing() -> None:
    table = Table()
    table.acts["may"] = 2.0, OK
    ended = table.play()
    assert ended.skipped_dependencies == ("may",)
    assert table.desk.call_finished(table.now, table.sent[-1].id, OK, b"late") == []


def test_a_stopped_run_gives_all_its_calls_up() -> None:
    table = Table()
    table.acts |= {"must": None, "may": None}
    ident = table.start()
    table.orders(table.desk.cancel(table.now, ident))
    assert table.ended[ident].outcome is Outcome.CANCELLED and len(table.given_up) == 2
    assert all(d.limit.in_flight == 0 for d in table.desk.dependencies.values())
    assert table.desk.cancel(table.now, ident) == []


def test_a_drain_cuts_what_can_be_left_out_and_keeps_the_answer() -> None:
    table = Table()
    table.acts |= {"must": (0.3, OK), "may": None}
    ident = table.start()
    table.until(table.now + 0.1)
    table.orders(table.desk.shorten_deadlines(table.now, table.now + 0.4))
    table.until(table.now + 0.4)
    assert table.ended[ident].outcome is OK and table.ended[ident].skipped_dependencies == ("may",)


def test_a_run_makes_room_when_others_want_its_slot() -> None:
    table = Table()
    table.warm("read", 40)
    table.acts["may"] = None
    for held, ended in ((0, False), (20, True)):
        ident = table.start(body=b"%d" % held)  # no last good answer is there for it
        table.until(table.now + 0.2)  # far past what the dependency ever needed
        table.orders(table.desk.release_slots(table.now, held))
        assert (ident in table.ended) == ended
    assert table.ended[ident].skipped_dependencies == ("may",)


def test_orders_given_while_one_is_carried_out_wait_for_those_before_them() -> None:
    done = list[bytes]()

    def carry_out(order: CompositionAction) -> None:
        done.append(order.id)
        if order.id == b"1":
            orders([CancelCall(b"2", "a")])  # what the first one leads to comes after the second is sent

    orders = ActionQueue(carry_out)
    orders([SendCall(b"1", b"r", "a", "", b"", 1.0, False), SendCall(b"2", b"r", "a", "", b"", 1.0, False)])
    assert done == [b"1", b"2", b"2"]


STEP = st.tuples(
    st.sampled_from(["start", "reply", "tick", "stop", "press", "hasten"]),
    st.floats(0, 0.4),
    st.sampled_from(list(Outcome)),
    st.integers(0, 30),
    st.sampled_from([c.name for c in CLASSES]),
)


@given(st.lists(STEP, max_size=80))
def test_whatever_happens_each_run_ends_once_in_time_and_writes_once(steps: list[tuple[Any, ...]]) -> None:
    table = Table(must={"fallback": "spare", "most": 3}, may={"most": 2, "waiting": 1})
    table.acts = dict.fromkeys(("must", "may", "spare", "write"))
    due = dict[bytes, float]()
    for what, gap, outcome, pick, klass in steps:
        table.until(table.now + gap)
        attempts = list(table.desk.attempts)
        if what == "start":
            spec = next(c for c in CLASSES if c.name == klass)
            due[table.start(klass, spec.latency_objective, spec.deadline)] = table.now + spec.deadline
        elif what == "reply" and attempts:
            table.orders(table.desk.call_finished(table.now, attempts[pick % len(attempts)], outcome, b"r"))
        elif what == "stop" and due:
            table.orders(table.desk.cancel(table.now, list(due)[pick % len(due)]))
        elif what == "press":
            table.orders(table.desk.release_slots(table.now, pick))
        elif what == "hasten":
            table.orders(table.desk.shorten_deadlines(table.now, table.now + 1.0))
        for ident, end in due.items():
            assert ident in table.ended or table.now <= end
    table.until(table.now + 5)
    assert set(table.ended) == set(due) and not table.desk.runs and not table.desk.attempts
    assert all(d.limit.in_flight == 0 for d in table.desk.dependencies.values())
    for ident in due:
        # A write may go out again only after a proof that it never ran.
        assert sum(s.request_id == ident and s.must_run_once for s in table.sent) <= MAX_ATTEMPTS
    assert table.desk.next_timer_at() is None
