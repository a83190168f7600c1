"""The core's rules, with its ports faked and its clock passed in."""

from __future__ import annotations

from dataclasses import replace
from typing import Any

import pytest

from saltcart.core.messages import InvalidRequestError
from saltcart.decision.actions import Action
from saltcart.decision.events import Event, RequestArrived, TimerFired
from saltcart.decision.outcome import Outcome
from tests.fakes import SETTINGS, ServiceHarness


def test_a_request_runs_and_its_result_passes_unchanged() -> None:
    w = ServiceHarness()
    w.submit(1, "read", body=b"\x00\xffraw")
    assert ("spawn", b"%016x" % 1, "read", b"\x00\xffraw", False) in w.port_calls
    w.finish_run(1, result=b"\x01\r\n\xfe")
    assert w.statuses(1) == ["served"] and w.responses[b"%016x" % 1][0].body == b"\x01\r\n\xfe"
    assert not w.service.requests and not w.service.requests_by_id


@pytest.mark.parametrize(
    ("outcome", "verdict"),
    [(Outcome.FAILED, "failed"), (Outcome.CANCELLED, "failed"), (Outcome.NOT_STARTED, "failed")],
)
@pytest.mark.parametrize("klass", ["read", "oddaja"])
def test_a_run_that_ends_badly_is_answered_once(outcome: Outcome, verdict: str, klass: str) -> None:
    w = ServiceHarness()
    w.submit(1, klass)
    w.finish_run(1, outcome)
    w.finish_run(1, outcome)
    assert w.statuses(1) == [verdict]


@pytest.mark.parametrize("moment", ["running", "finished", "caller gone", "late read"])
def test_a_further_try_shares_the_first_ones_run(moment: str) -> None:
    w = ServiceHarness()
    first = w.submit(1)
    if moment == "caller gone":
        w.service.abandon(first)
    if moment in ("finished", "late read"):
        w.finish_run(1)
    if moment == "late read":  # it came inside the window and is read after it
        reached = w.now + 5.9
        w.run_until(w.now + 7.0)
        w.submit(2, received_at=reached, budget_seconds=4.0)
    else:
        w.submit(2)
    if moment in ("running", "caller gone"):
        assert w.statuses(2) == []
        w.finish_run(1)
    assert w.spawned_ids() == [b"%016x" % 1]
    assert w.statuses(2) == ["served"] and w.responses[b"%016x" % 2][0].body == b"result"


def test_a_try_of_a_failed_run_fails_and_does_not_run() -> None:
    w = ServiceHarness()
    w.submit(1)
    w.submit(2)
    w.finish_run(1, Outcome.FAILED)
    w.submit(3)
    assert [w.statuses(n) for n in (1, 2, 3)] == [["failed"]] * 3 and len(w.spawned_ids()) == 1


def test_the_key_is_free_after_its_window_and_for_other_tenants() -> None:
    w = ServiceHarness()
    w.submit(1)
    w.finish_run(1)
    w.submit(2, account="b")  # no tenant is served another's result
    w.finish_run(2, result=b"other")
    assert w.responses[b"%016x" % 2][0].body == b"other"
    w.run_until(w.now + 6.2)
    w.submit(3)
    assert len(w.spawned_ids()) == 3


def test_a_key_that_finds_no_room_is_refused_and_not_run() -> None:
    w = ServiceHarness(max_key_bytes=8000)
    w.submit(1)
    w.submit(2, key=b"other")
    assert w.statuses(2) == ["refused"] and w.responses[b"%016x" % 2][0].back_off_seconds > 0
    assert w.spawned_ids() == [b"%016x" % 1]


def test_the_key_of_a_run_is_never_given_up() -> None:
    w = ServiceHarness()
    r = w.service.requests[w.submit(1)]
    w.service.lifecycle.attempts.release(r)
    w.submit(2)
    w.finish_run(1)
    assert w.spawned_ids() == [b"%016x" % 1] and w.statuses(2) == ["served"]


def test_nothing_runs_that_came_late_in_a_drain_and_all_is_answered() -> None:
    w = ServiceHarness()
    for n in range(1, 9):
        w.submit(n, "read")
    w.service.start_drain(3.0)
    assert ("accepting", False) in w.port_calls
    w.run_until(w.now + 1.1)
    before = len(w.spawned_ids())
    w.submit(20, "read")
    w.run_until(w.now + 1.89)
    assert w.statuses(20) == ["refused"] and b"%016x" % 20 not in w.spawned_ids()[before:]
    assert all(len(found) == 1 for found in w.responses.values())


def test_the_core_answers_when_the_module_does_not() -> None:
    w = ServiceHarness()
    w.submit(1, "read")
    w.service.controller.table.requests.clear()  # type: ignore[union-attr]  # as if the module had lost it
    w.run_until(w.now + 3.05)
    assert w.statuses(1) == ["failed"] and "overdue" in w.logged_events


@pytest.mark.parametrize(
    ("outcome", "klass", "then"),
    [
        (Outcome.SUCCEEDED, "oddaja", "supply_reply"),
        (Outcome.SUCCEEDED, "read", "supply_reply"),
        (Outcome.BROKEN_OFF, "oddaja", "failed"),
        (Outcome.TIMED_OUT, "oddaja", "failed"),
        (Outcome.FAILED, "oddaja", "failed"),
        (Outcome.REJECTED, "oddaja", "call"),
        (Outcome.UNREACHABLE, "oddaja", "call"),
        (Outcome.BROKEN_OFF, "read", "call"),
        (Outcome.FAILED, "read", "skip_call"),
        (Outcome.TIMED_OUT, "read", "skip_call"),
    ],
)
def test_how_a_call_ended(outcome: Outcome, klass: str, then: str) -> None:
    w = ServiceHarness()
    w.submit(1, klass)
    ident = b"%016x" % 1
    w.service.call_requested(ident, 7, b"question")
    assert ("call", ident, b"question") in w.port_calls
    w.port_calls.clear()
    w.service.call_finished(ident, outcome, b"reply")
    w.service.call_finished(ident, outcome, b"reply")  # a second reply to one call is nothing
    w.run_until(w.now + 0.2)
    if then == "failed":
        assert w.statuses(1) == ["failed"] and not any(s[0] == "call" for s in w.port_calls)
    else:
        assert then in [s[0] for s in w.port_calls] and w.statuses(1) == []
    assert then != "supply_reply" or w.port_calls[0] == ("supply_reply", ident, b"reply")


def test_a_call_without_reply_is_given_up() -> None:
    w = ServiceHarness()
    w.submit(1)
    w.service.call_requested(b"%016x" % 1, 1, b"")
    w.run_until(w.now + 2.5)
    assert ("cancel_call", b"%016x" % 1) in w.port_calls and w.statuses(1) == ["failed"]


def test_a_gone_caller_is_owed_nothing() -> None:
    w = ServiceHarness(replace(SETTINGS, cores=1))
    numbers = [w.submit(n, "read") for n in (1, 2, 3)]
    for number in numbers:
        w.service.abandon(number)
    w.finish_run(1)
    w.run_until(w.now + 5)
    assert all(w.responses[b"%016x" % n] == [] for n in (1, 2, 3)) and not w.service.requests


def test_a_stopped_run_stays_on_the_books_and_is_told_again_until_it_is_heard_of() -> None:
    """Cores that stand still stop nothing; what is taken off the books too early crowds them later."""
    w = ServiceHarness()
    w.service.abandon(w.submit(1, "read"))
    w.run_until(w.now + 3.05)
    assert w.port_calls.count(("suspend", b"%016x" % 1)) == 4 and len(w.service.requests) == 1
    w.run_until(w.now + 20.0)  # its end was never told: what is kept by id is bounded all the same
    assert not w.service.requests and not w.service.requests_by_id and "written-off" in w.logged_events


def test_a_lost_spawn_of_a_keyed_run_fails_and_never_runs_again() -> None:
    w = ServiceHarness()
    w.submit(1)
    w.service.run_uncertain(b"%016x" % 1)
    w.submit(2)
    assert w.statuses(1) == w.statuses(2) == ["failed"] and len(w.spawned_ids()) == 1


@pytest.mark.parametrize(
    "fields", [{"class_name": "nothing"}, {"account": "c"}, {"key": None}, {"number": 1}]
)
def test_what_breaks_the_protocol_is_not_taken(fields: dict[str, object]) -> None:
    w = ServiceHarness()
    w.submit(1)
    with pytest.raises(InvalidRequestError):
        w.submit(**{"number": 2, **fields})  # type: ignore[arg-type]
    assert len(w.service.requests) == 1


def test_before_the_pool_is_up_requests_are_refused_and_checks_are_bad() -> None:
    w = ServiceHarness(pool_up=False)
    assert not w.service.is_healthy
    w.submit(1)
    assert w.statuses(1) == ["refused"]
    w.service.pool_started(True, 2.0)
    assert w.service.is_healthy and w.service.controller is not None
    assert w.service.controller.settings.starts_cold
    assert w.service.controller.workers_started_at == w.now - 2.0


def test_accounts_that_nobody_told_are_not_counted_one_by_one() -> None:
    w = ServiceHarness(replace(SETTINGS, tenants=()))
    for n in range(1, 9):
        w.submit(n, "read", account=f"who{n}")
        w.finish_run(n)
    assert w.service.counts == {("", "read", "served"): 8}


def test_a_fault_of_the_module_costs_one_event_only() -> None:
    w = ServiceHarness()
    assert w.service.controller is not None
    handle, faults = w.service.controller.handle, [TimerFired, RequestArrived]

    def faulty(now: float, event: Event) -> list[Action]:
        if type(event) in faults:
            faults.remove(type(event))
            raise ZeroDivisionError
        return handle(now, event)

    w.service.controller.handle = faulty  # type: ignore[method-assign]
    w.submit(1, "read")
    w.run_until(w.now + 3.1)
    assert w.statuses(1) == ["failed"] and w.logged_events.count("decision-fault") == 2
    w.submit(2, "read")
    w.run_until(w.now + 2.5)  # the timer rings on: the run that hangs is answered by the module itself
    assert w.statuses(2) == ["failed"] and w.logged_events.count("overdue") == 1


def test_a_timer_uses_the_gauges_it_has() -> None:
    w = ServiceHarness()
    w.service.gauges_polled((0.25, 7.0, 3.0, 9.0))  # a gauge of an unknown name is no argument of the event
    w.run_until(w.now + 0.2)
    assert w.service.loop.gauges == {"cpu_busy": 0.25, "runnable": 3.0}


@pytest.mark.parametrize(("again", "named"), [({"body": b"another"}, "body"), ({"number": 1}, "id")])
@pytest.mark.parametrize("over", [False, True])
def test_a_key_serves_only_tries_of_its_own_request(again: dict[str, Any], named: str, over: bool) -> None:
    """A client that repeats another's key or id must not be served that one's result."""
    w = ServiceHarness()
    w.submit(1)
    if over:
        w.finish_run(1)
    with pytest.raises(InvalidRequestError, match=named):
        w.submit(**{"number": 2, **again})
    assert w.spawned_ids() == [b"%016x" % 1]


def test_a_run_that_was_proved_never_to_have_begun_leaves_its_key_free() -> None:
    w = ServiceHarness()
    w.submit(1, body=b"not the request's")
    w.finish_run(1, Outcome.NOT_STARTED)  # the pool knows no such request
    w.submit(2)
    assert w.statuses(1) == ["failed"] and w.spawned_ids() == [b"%016x" % 1, b"%016x" % 2]


def test_old_gauges_are_no_gauges() -> None:
    w = ServiceHarness()
    w.service.gauges_polled((0.25, 7.0, 3.0, 9.0))
    w.run_until(w.now + 0.9)
    assert w.service.loop.gauges
    w.run_until(w.now + 0.3)  # the link is away: nothing was polled since
    assert not w.service.loop.gauges


def test_a_budget_beyond_the_deadline_is_not_held_longer() -> None:
    w = ServiceHarness()
    w.submit(1, "read", budget_seconds=600.0)
    w.service.controller.table.requests.clear()  # type: ignore[union-attr]  # as if the module had lost it
    w.run_until(w.now + 3.05)
    assert w.statuses(1) == ["failed"]
