"""The composition engine with a simulated clock: results of runs for each kind of dependency failure."""

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


def make_engine(**dependencies: dict[str, Any]) -> CompositionEngine:
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


class EngineHarness:
    """Runs an engine whose dependencies answer after the time and with the outcome that a test has set."""

    def __init__(self, **dependencies: dict[str, Any]) -> None:
        self.engine, self.now = make_engine(**dependencies), 100.0
        self.sent, self.finished = list[SendCall](), dict[bytes, CompositionFinished]()
        self.cancelled = set[bytes]()
        self.behaviours: dict[str, tuple[float, Outcome] | None] = {}
        self.pending_replies: list[tuple[float, bytes, Outcome]] = []
        self.carry_out_all = ActionQueue(self.carry_out)

    def carry_out(self, action: CompositionAction) -> None:
        match action:
            case SendCall():
                self.sent.append(action)
                behaviour = self.behaviours.get(action.dependency, (0.02, OK))
                if behaviour is not None:
                    self.pending_replies.append((self.now + behaviour[0], action.id, behaviour[1]))
            case CancelCall():
                assert action.id in {sent.id for sent in self.sent}  # never before it is sent
                self.cancelled.add(action.id)
            case CompositionFinished():
                assert action.id not in self.finished
                self.finished[action.id] = action

    def start(
        self, class_name: str = "read", objective: float = 1.0, deadline: float = 3.0, body: bytes = b"b"
    ) -> bytes:
        request_id = b"%016x" % (len(self.finished) + len(self.engine.runs) + 1)
        self.carry_out_all(
            self.engine.start(
                self.now, request_id, class_name, "acme", body, self.now + objective, self.now + deadline
            )
        )
        return request_id

    def run_until(self, end: float) -> None:
        while True:
            event_at = min(
                [pending[0] for pending in self.pending_replies] + [self.engine.next_timer_at() or end + 1]
            )
            if event_at > end:
                break
            self.now = max(self.now, event_at)
            for reply in [pending for pending in self.pending_replies if pending[0] <= self.now]:
                self.pending_replies.remove(reply)
                self.carry_out_all(self.engine.call_finished(self.now, reply[1], reply[2], b'{"ok":1}'))
            self.carry_out_all(self.engine.tick(self.now))
        self.now = end

    def run(self, class_name: str = "read", **options: Any) -> CompositionFinished:
        request_id = self.start(class_name, **options)
        for _ in range(600):  # in small steps, so that the estimates are recent when the next run starts
            if request_id in self.finished:
                break
            self.run_until(self.now + 0.01)
        return self.finished[request_id]

    def warm_up(self, class_name: str = "oddaja", runs: int = 40) -> None:
        for _ in range(runs):
            assert self.run(class_name, objective=1.5, deadline=4.0).outcome is OK

    def called_dependencies(self) -> list[str]:
        return [sent.dependency for sent in self.sent]


def test_a_complete_response_contains_every_reply() -> None:
    harness = EngineHarness()
    result = harness.run()
    assert (result.outcome, result.skipped_dependencies) == (OK, ()) and result.seconds == pytest.approx(0.02)
    assert orjson.loads(result.body) == {"must": {"ok": 1}, "may": {"ok": 1}}


def test_an_optional_call_is_skipped_at_the_objective_less_the_reserve() -> None:
    harness = EngineHarness()
    harness.behaviours["may"] = None
    result = harness.run()
    assert (
        result.outcome is OK
        and result.skipped_dependencies == ("may",)
        and result.seconds == pytest.approx(0.98)
    )
    assert orjson.loads(result.body) == {"must": {"ok": 1}, "may": None}
    assert harness.cancelled == {sent.id for sent in harness.sent if sent.dependency == "may"}


def test_a_run_fails_without_a_required_reply() -> None:
    harness = EngineHarness()
    harness.behaviours["must"] = 0.01, ERROR
    result = harness.run()
    assert result.outcome is ERROR and harness.called_dependencies().count("must") <= MAX_ATTEMPTS
    assert not harness.engine.runs and not harness.engine.attempts


def test_a_cached_reply_is_used_and_reported_until_it_is_too_old() -> None:
    harness = EngineHarness()
    harness.run()
    harness.behaviours["may"] = 0.01, ERROR
    assert harness.run().cached_dependencies == ("may",)
    harness.now += 6.0
    result = harness.run()
    assert (result.cached_dependencies, result.skipped_dependencies) == ((), ("may",))


def test_a_write_is_sent_once_whatever_its_outcome() -> None:
    for outcome in (ERROR, Outcome.BROKEN_OFF, TIMEOUT):
        harness = EngineHarness(write={"fallback": "spare"})
        harness.behaviours["write"] = 0.05, outcome
        assert harness.run("oddaja", objective=1.5, deadline=4.0).outcome is ERROR
        assert harness.called_dependencies() == ["must", "write"]
        assert [sent.must_run_once for sent in harness.sent] == [False, True]


def test_a_write_that_never_ran_may_be_sent_to_the_fallback() -> None:
    harness = EngineHarness(write={"fallback": "spare", "attempts": 0.0})
    harness.behaviours["write"] = 0.05, REJECTED
    result = harness.run("oddaja", objective=1.5, deadline=4.0)
    assert result.outcome is OK and harness.called_dependencies() == ["must", "write", "spare"]


def test_a_run_without_its_write_counts_as_not_started_so_its_key_is_free() -> None:
    harness = EngineHarness()
    harness.behaviours["must"] = 0.01, ERROR
    assert harness.run("oddaja", objective=1.5, deadline=4.0).outcome is Outcome.NOT_STARTED
    harness = EngineHarness(write={"attempts": 0.0})
    harness.behaviours["write"] = 0.01, REJECTED
    assert harness.run("oddaja", objective=1.5, deadline=4.0).outcome is Outcome.NOT_STARTED


def test_a_write_starts_only_with_enough_time_and_is_then_waited_for() -> None:
    harness = EngineHarness()
    harness.behaviours["write"] = 0.5, OK
    harness.warm_up()
    sent_before = len(harness.sent)
    # Leaves 0.28 s before the objective: too little even for a fast write.
    harness.behaviours["must"] = 1.2, OK
    outcomes = [harness.run("oddaja", objective=1.5, deadline=4.0).outcome for _ in range(12)]
    writes = harness.called_dependencies()[sent_before:].count("write")
    # One write in twenty is sent as a probe.
    assert outcomes.count(Outcome.NOT_STARTED) == 12 - writes and writes <= 3
    harness = EngineHarness()
    harness.warm_up()
    # Suddenly slow: its reply comes after the objective, but nothing else shows its effect.
    harness.behaviours["write"] = 3.0, OK
    assert harness.run("oddaja", objective=1.5, deadline=4.0).outcome is OK


def test_an_earlier_stage_leaves_a_later_one_the_time_it_needs() -> None:
    harness = EngineHarness()
    harness.behaviours["must"] = 0.4, OK
    harness.warm_up("two", 30)
    harness.now += 7.0  # cached replies are too old by now
    harness.behaviours["may"] = None
    result = harness.run("two")
    assert result.outcome is OK and result.skipped_dependencies == ("may",) and result.seconds <= 0.98
    call = next(sent for sent in reversed(harness.sent) if sent.dependency == "may")
    assert call.timeout == pytest.approx(1 - 0.02 - 1.25 * 0.4, abs=0.06)


def test_a_stage_gets_the_time_that_an_earlier_one_did_not_use() -> None:
    harness = EngineHarness()
    harness.behaviours["must"] = 0.3, OK
    harness.warm_up("two", 30)
    timeouts = [sent.timeout for sent in harness.sent if sent.dependency == "must"]
    assert timeouts[-1] == pytest.approx(1.48 - 0.02, abs=0.01)  # all the time that the fast first stage left


def test_late_responses_are_waited_for_only_where_they_earn_something() -> None:
    for class_name, earns_when_late in (("read", False), ("late", True)):
        harness = EngineHarness()
        harness.behaviours["must"] = 0.8, OK
        harness.warm_up(class_name, 30)
        harness.behaviours["may"] = 0.0, OK
        result = harness.run(class_name, objective=0.5, deadline=3.0)
        assert (result.outcome is OK) == earns_when_late


def test_retries_to_a_failing_dependency_stay_within_the_retry_budget() -> None:
    harness = EngineHarness(must={"attempts": 0.1})
    harness.behaviours["must"] = 0.01, ERROR
    for _ in range(400):
        harness.run()
    counts = harness.engine.dependencies["must"].counts
    assert counts["further"] <= 0.1 * counts["first"] + 5


def test_a_dependency_that_always_fails_is_not_called_until_it_recovers() -> None:
    harness = EngineHarness()
    harness.behaviours["may"] = 0.01, ERROR
    for _ in range(20):
        harness.start()
        harness.run_until(harness.now + 0.05)
    circuit = harness.engine.dependencies["may"].circuit_breaker
    assert circuit.state is CircuitState.OPEN
    sent_before = len(harness.sent)
    request_id = harness.start()
    assert [sent.dependency for sent in harness.sent[sent_before:]] == ["must"]
    harness.behaviours["may"] = 0.01, OK
    harness.run_until(circuit.open_until + 0.01)
    for _ in range(6):
        harness.run()
    assert (
        circuit.state is not CircuitState.OPEN
        and harness.run().skipped_dependencies == ()
        and request_id in harness.finished
    )


def test_a_silent_dependency_with_a_fallback_costs_no_more_than_its_usual_time() -> None:
    harness = EngineHarness(must={"fallback": "spare"})
    harness.warm_up(runs=60)
    harness.behaviours["must"] = None
    durations = [harness.run("oddaja", objective=1.5, deadline=4.0).seconds for _ in range(30)]
    assert max(durations) < 0.6 and durations[-1] < 0.2  # hedged at first, later the only call
    assert harness.called_dependencies().count("spare") >= 30


def test_waiting_calls_fall_back_as_soon_as_the_circuit_opens() -> None:
    harness = EngineHarness(must={"most": 2, "least": 2, "fallback": "spare"})
    harness.engine.dependencies["must"].limit.value = 2.0
    harness.behaviours["must"] = 0.2, ERROR
    request_ids = [harness.start(objective=2.0) for _ in range(30)]
    assert len(harness.engine.dependencies["must"].waiting) > 0
    harness.run_until(harness.now + 5)
    assert all(harness.finished[request_id].outcome is OK for request_id in request_ids)
    assert not harness.engine.dependencies["must"].waiting


def test_calls_in_flight_stay_within_the_concurrency_limit() -> None:
    harness = EngineHarness(must={"most": 3})
    for _ in range(20):
        harness.start()
        assert harness.engine.dependencies["must"].limit.in_flight <= 3
    harness.run_until(harness.now + 5)
    assert {result.outcome for result in harness.finished.values()} == {OK}


def test_a_hedged_request_replaces_a_slow_first_attempt() -> None:
    harness = EngineHarness()
    raw = {
        "dependency": [{"name": "a", "upstream": "u"}],
        "plan": [{"class": "read", "stage": [{"call": [{"dependency": "a", "hedge": True}]}]}],
    }
    harness.engine = CompositionEngine(read_plans(raw, ["u"]), 1, CLASSES)
    for _ in range(40):
        harness.run()
    harness.behaviours["a"] = None
    request_id = harness.start()
    first = harness.sent[-1]
    harness.behaviours["a"] = 0.02, OK
    harness.run_until(harness.now + 1)
    assert harness.finished[request_id].outcome is OK and harness.finished[request_id].seconds < 0.1
    assert harness.cancelled == {first.id}


def test_a_reply_to_a_cancelled_call_is_ignored() -> None:
    harness = EngineHarness()
    harness.behaviours["may"] = 2.0, OK
    result = harness.run()
    assert result.skipped_dependencies == ("may",)
    assert harness.engine.call_finished(harness.now, harness.sent[-1].id, OK, b"late") == []


def test_a_cancelled_run_cancels_all_its_calls() -> None:
    harness = EngineHarness()
    harness.behaviours |= {"must": None, "may": None}
    request_id = harness.start()
    harness.carry_out_all(harness.engine.cancel(harness.now, request_id))
    assert harness.finished[request_id].outcome is Outcome.CANCELLED and len(harness.cancelled) == 2
    assert all(dependency.limit.in_flight == 0 for dependency in harness.engine.dependencies.values())
    assert harness.engine.cancel(harness.now, request_id) == []


def test_a_drain_skips_optional_calls_and_keeps_the_response() -> None:
    harness = EngineHarness()
    harness.behaviours |= {"must": (0.3, OK), "may": None}
    request_id = harness.start()
    harness.run_until(harness.now + 0.1)
    harness.carry_out_all(harness.engine.shorten_deadlines(harness.now, harness.now + 0.4))
    harness.run_until(harness.now + 0.4)
    assert harness.finished[request_id].outcome is OK and harness.finished[
        request_id
    ].skipped_dependencies == ("may",)


def test_a_run_skips_optional_calls_when_held_requests_need_its_slot() -> None:
    harness = EngineHarness()
    harness.warm_up("read", 40)
    harness.behaviours["may"] = None
    for held_count, is_finished in ((0, False), (20, True)):
        request_id = harness.start(body=b"%d" % held_count)  # another body, so there is no cached reply
        harness.run_until(harness.now + 0.2)  # far longer than the dependency ever needed
        harness.carry_out_all(harness.engine.release_slots(harness.now, held_count))
        assert (request_id in harness.finished) == is_finished
    assert harness.finished[request_id].skipped_dependencies == ("may",)


def test_actions_queued_while_one_is_carried_out_wait_for_earlier_ones() -> None:
    carried_out = list[bytes]()

    def carry_out(action: CompositionAction) -> None:
        carried_out.append(action.id)
        if action.id == b"1":
            queue([CancelCall(b"2", "a")])  # queued by the first action, carried out after the second one

    queue = ActionQueue(carry_out)
    queue([SendCall(b"1", b"r", "a", "", b"", 1.0, False), SendCall(b"2", b"r", "a", "", b"", 1.0, False)])
    assert carried_out == [b"1", b"2", b"2"]


STEP = st.tuples(
    st.sampled_from(["start", "call_finished", "tick", "cancel", "release_slots", "shorten_deadlines"]),
    st.floats(0, 0.4),
    st.sampled_from(list(Outcome)),
    st.integers(0, 30),
    st.sampled_from([spec.name for spec in CLASSES]),
)


@given(st.lists(STEP, max_size=80))
def test_any_events_each_run_ends_once_in_time_and_writes_once(steps: list[tuple[Any, ...]]) -> None:
    harness = EngineHarness(must={"fallback": "spare", "most": 3}, may={"most": 2, "waiting": 1})
    harness.behaviours = dict.fromkeys(("must", "may", "spare", "write"))
    deadlines = dict[bytes, float]()
    for event, gap, outcome, pick, class_name in steps:
        harness.run_until(harness.now + gap)
        attempts = list(harness.engine.attempts)
        if event == "start":
            spec = next(candidate for candidate in CLASSES if candidate.name == class_name)
            deadlines[harness.start(class_name, spec.latency_objective, spec.deadline)] = (
                harness.now + spec.deadline
            )
        elif event == "call_finished" and attempts:
            harness.carry_out_all(
                harness.engine.call_finished(harness.now, attempts[pick % len(attempts)], outcome, b"r")
            )
        elif event == "cancel" and deadlines:
            harness.carry_out_all(harness.engine.cancel(harness.now, list(deadlines)[pick % len(deadlines)]))
        elif event == "release_slots":
            harness.carry_out_all(harness.engine.release_slots(harness.now, pick))
        elif event == "shorten_deadlines":
            harness.carry_out_all(harness.engine.shorten_deadlines(harness.now, harness.now + 1.0))
        for request_id, deadline in deadlines.items():
            assert request_id in harness.finished or harness.now <= deadline
    harness.run_until(harness.now + 5)
    assert set(harness.finished) == set(deadlines) and not harness.engine.runs and not harness.engine.attempts
    assert all(dependency.limit.in_flight == 0 for dependency in harness.engine.dependencies.values())
    for request_id in deadlines:
        # A write may be sent again only if it is certain that it never ran.
        assert (
            sum(sent.request_id == request_id and sent.must_run_once for sent in harness.sent) <= MAX_ATTEMPTS
        )
    assert harness.engine.next_timer_at() is None
