"""Tests of the core's rules, with fake ports and a fake clock."""

from __future__ import annotations

from dataclasses import replace
from typing import Any

import pytest

from saltcart.core.messages import InvalidRequestError
from saltcart.decision.actions import Action
from saltcart.decision.events import Event, RequestArrived, TimerFired
from saltcart.decision.outcome import Outcome
from tests.fakes import SETTINGS, ServiceHarness


def test_request_runs_and_its_result_is_returned_unchanged() -> None:
    harness = ServiceHarness()
    harness.submit(1, "read", body=b"\x00\xffraw")
    assert ("spawn", b"%016x" % 1, "read", b"\x00\xffraw", False) in harness.port_calls
    harness.finish_run(1, result=b"\x01\r\n\xfe")
    assert harness.statuses(1) == ["served"] and harness.responses[b"%016x" % 1][0].body == b"\x01\r\n\xfe"
    assert not harness.service.requests and not harness.service.requests_by_id


@pytest.mark.parametrize(
    ("outcome", "status"),
    [(Outcome.FAILED, "failed"), (Outcome.CANCELLED, "failed"), (Outcome.NOT_STARTED, "failed")],
)
@pytest.mark.parametrize("class_name", ["read", "oddaja"])
def test_unsuccessful_run_gets_one_response(outcome: Outcome, status: str, class_name: str) -> None:
    harness = ServiceHarness()
    harness.submit(1, class_name)
    harness.finish_run(1, outcome)
    harness.finish_run(1, outcome)
    assert harness.statuses(1) == [status]


@pytest.mark.parametrize("moment", ["running", "finished", "abandoned", "read late"])
def test_retry_shares_the_run_of_the_first_attempt(moment: str) -> None:
    harness = ServiceHarness()
    first = harness.submit(1)
    if moment == "abandoned":
        harness.service.abandon(first)
    if moment in ("finished", "read late"):
        harness.finish_run(1)
    if moment == "read late":  # received inside the key window, and read after it
        received_at = harness.now + 5.9
        harness.run_until(harness.now + 7.0)
        harness.submit(2, received_at=received_at, budget_seconds=4.0)
    else:
        harness.submit(2)
    if moment in ("running", "abandoned"):
        assert harness.statuses(2) == []
        harness.finish_run(1)
    assert harness.spawned_ids() == [b"%016x" % 1]
    assert harness.statuses(2) == ["served"] and harness.responses[b"%016x" % 2][0].body == b"result"


def test_retry_of_a_failed_run_fails_without_running() -> None:
    harness = ServiceHarness()
    harness.submit(1)
    harness.submit(2)
    harness.finish_run(1, Outcome.FAILED)
    harness.submit(3)
    assert [harness.statuses(number) for number in (1, 2, 3)] == [["failed"]] * 3 and len(
        harness.spawned_ids()
    ) == 1


def test_key_is_free_after_its_window_and_for_other_tenants() -> None:
    harness = ServiceHarness()
    harness.submit(1)
    harness.finish_run(1)
    harness.submit(2, account="b")  # a tenant is never served another's result
    harness.finish_run(2, result=b"other")
    assert harness.responses[b"%016x" % 2][0].body == b"other"
    harness.run_until(harness.now + 6.2)
    harness.submit(3)
    assert len(harness.spawned_ids()) == 3


def test_key_beyond_the_table_bound_is_rejected_without_running() -> None:
    harness = ServiceHarness(max_key_bytes=8000)
    harness.submit(1)
    harness.submit(2, key=b"other")
    assert harness.statuses(2) == ["refused"] and harness.responses[b"%016x" % 2][0].back_off_seconds > 0
    assert harness.spawned_ids() == [b"%016x" % 1]


def test_key_of_a_started_run_is_never_released() -> None:
    harness = ServiceHarness()
    request = harness.service.requests[harness.submit(1)]
    harness.service.lifecycle.attempts.release(request)
    harness.submit(2)
    harness.finish_run(1)
    assert harness.spawned_ids() == [b"%016x" % 1] and harness.statuses(2) == ["served"]


def test_late_arrival_in_a_drain_does_not_run_and_all_requests_get_a_response() -> None:
    harness = ServiceHarness()
    for number in range(1, 9):
        harness.submit(number, "read")
    harness.service.start_drain(3.0)
    assert ("set_accepting", False) in harness.port_calls
    harness.run_until(harness.now + 1.1)
    spawned_before = len(harness.spawned_ids())
    harness.submit(20, "read")
    harness.run_until(harness.now + 1.89)
    assert harness.statuses(20) == ["refused"] and b"%016x" % 20 not in harness.spawned_ids()[spawned_before:]
    assert all(len(responses) == 1 for responses in harness.responses.values())


def test_core_fails_a_request_that_the_decision_module_lost() -> None:
    harness = ServiceHarness()
    harness.submit(1, "read")
    # As if the decision module had lost the request.
    harness.service.controller.table.requests.clear()  # type: ignore[union-attr]
    harness.run_until(harness.now + 3.05)
    assert harness.statuses(1) == ["failed"] and "overdue" in harness.logged_events


@pytest.mark.parametrize(
    ("outcome", "class_name", "expected"),
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
def test_outcome_of_a_call_decides_what_follows(outcome: Outcome, class_name: str, expected: str) -> None:
    harness = ServiceHarness()
    harness.submit(1, class_name)
    request_id = b"%016x" % 1
    harness.service.call_requested(request_id, 7, b"question")
    assert ("call", request_id, b"question") in harness.port_calls
    harness.port_calls.clear()
    harness.service.call_finished(request_id, outcome, b"reply")
    harness.service.call_finished(request_id, outcome, b"reply")  # a second reply to the same call is ignored
    harness.run_until(harness.now + 0.2)
    if expected == "failed":
        assert harness.statuses(1) == ["failed"] and not any(call[0] == "call" for call in harness.port_calls)
    else:
        assert expected in [call[0] for call in harness.port_calls] and harness.statuses(1) == []
    assert expected != "supply_reply" or harness.port_calls[0] == ("supply_reply", request_id, b"reply")


def test_call_without_reply_is_cancelled() -> None:
    harness = ServiceHarness()
    harness.submit(1)
    harness.service.call_requested(b"%016x" % 1, 1, b"")
    harness.run_until(harness.now + 2.5)
    assert ("cancel_call", b"%016x" % 1) in harness.port_calls and harness.statuses(1) == ["failed"]


def test_abandoned_requests_get_no_response() -> None:
    harness = ServiceHarness(replace(SETTINGS, cores=1))
    request_numbers = [harness.submit(number, "read") for number in (1, 2, 3)]
    for request_number in request_numbers:
        harness.service.abandon(request_number)
    harness.finish_run(1)
    harness.run_until(harness.now + 5)
    assert (
        all(harness.responses[b"%016x" % number] == [] for number in (1, 2, 3))
        and not harness.service.requests
    )


def test_stopped_run_is_kept_and_stopped_again_until_its_end_is_reported() -> None:
    """A stalled pool ignores stop commands.

    If its runs were removed too early, new ones would start while these still use the cores.
    """
    harness = ServiceHarness()
    harness.service.abandon(harness.submit(1, "read"))
    harness.run_until(harness.now + 3.05)
    assert harness.port_calls.count(("suspend", b"%016x" % 1)) == 4 and len(harness.service.requests) == 1
    harness.run_until(harness.now + 20.0)  # its end is never reported, yet the request is removed
    assert (
        not harness.service.requests
        and not harness.service.requests_by_id
        and "written-off" in harness.logged_events
    )


def test_keyed_run_whose_start_is_uncertain_fails_and_never_runs_again() -> None:
    harness = ServiceHarness()
    harness.submit(1)
    harness.service.run_uncertain(b"%016x" % 1)
    harness.submit(2)
    assert harness.statuses(1) == harness.statuses(2) == ["failed"] and len(harness.spawned_ids()) == 1


@pytest.mark.parametrize(
    ("class_name", "has_moved_on", "skips"),
    [("read", False, True), ("read", True, False), ("oddaja", False, False)],
)
def test_run_whose_reply_is_uncertain_goes_on_without_its_call_where_it_can(
    class_name: str, has_moved_on: bool, skips: bool
) -> None:
    # Guards against a run that waits until it is due for a reply that is not sent again.
    harness = ServiceHarness()
    harness.submit(1, class_name)
    request_id = b"%016x" % 1
    harness.service.call_requested(request_id, 7, b"question")
    harness.service.call_finished(request_id, Outcome.SUCCEEDED, b"reply")
    if has_moved_on:
        harness.service.call_requested(request_id, 9, b"next question")
    harness.port_calls.clear()
    harness.service.reply_uncertain(request_id, 7)
    assert harness.port_calls == ([("skip_call", request_id, 7)] if skips else [])
    assert harness.statuses(1) == []
    harness.finish_run(1)
    assert harness.statuses(1) == ["served"]


@pytest.mark.parametrize(
    "fields", [{"class_name": "nothing"}, {"account": "c"}, {"key": None}, {"number": 1}]
)
def test_invalid_request_is_not_accepted(fields: dict[str, object]) -> None:
    harness = ServiceHarness()
    harness.submit(1)
    with pytest.raises(InvalidRequestError):
        harness.submit(**{"number": 2, **fields})  # type: ignore[arg-type]
    assert len(harness.service.requests) == 1


def test_requests_are_rejected_and_health_checks_fail_before_the_pool_is_up() -> None:
    harness = ServiceHarness(pool_up=False)
    assert not harness.service.is_healthy
    harness.submit(1)
    assert harness.statuses(1) == ["refused"]
    harness.service.pool_started(True, 2.0)
    assert harness.service.is_healthy and harness.service.controller is not None
    assert harness.service.controller.settings.starts_cold
    assert harness.service.controller.pool_started_at == harness.now - 2.0


def test_accounts_are_counted_together_without_configured_tenants() -> None:
    harness = ServiceHarness(replace(SETTINGS, tenants=()))
    for number in range(1, 9):
        harness.submit(number, "read", account=f"account-{number}")
        harness.finish_run(number)
    assert harness.service.counts == {("", "read", "served"): 8}


def test_fault_of_the_decision_module_loses_one_event_only() -> None:
    harness = ServiceHarness()
    assert harness.service.controller is not None
    handle, faulty_types = harness.service.controller.handle, [TimerFired, RequestArrived]

    def faulty(now: float, event: Event) -> list[Action]:
        if type(event) in faulty_types:
            faulty_types.remove(type(event))
            raise ZeroDivisionError
        return handle(now, event)

    harness.service.controller.handle = faulty  # type: ignore[method-assign]
    harness.submit(1, "read")
    harness.run_until(harness.now + 3.1)
    assert harness.statuses(1) == ["failed"] and harness.logged_events.count("decision-fault") == 2
    harness.submit(2, "read")
    # The timer still fires: the decision module itself fails the request whose run hangs.
    harness.run_until(harness.now + 2.5)
    assert harness.statuses(2) == ["failed"] and harness.logged_events.count("overdue") == 1


def test_timer_uses_the_last_polled_gauges() -> None:
    harness = ServiceHarness()
    # Gauges without a name must not become arguments of the event.
    harness.service.gauges_polled((0.25, 7.0, 3.0, 9.0))
    harness.run_until(harness.now + 0.2)
    assert harness.service.loop.gauges == {"cpu_busy": 0.25, "runnable": 3.0}


@pytest.mark.parametrize(("fields", "error_text"), [({"body": b"another"}, "body"), ({"number": 1}, "id")])
@pytest.mark.parametrize("is_finished", [False, True])
def test_key_serves_only_attempts_of_its_own_request(
    fields: dict[str, Any], error_text: str, is_finished: bool
) -> None:
    """A client that repeats another's key or request id must not be served the other's result."""
    harness = ServiceHarness()
    harness.submit(1)
    if is_finished:
        harness.finish_run(1)
    with pytest.raises(InvalidRequestError, match=error_text):
        harness.submit(**{"number": 2, **fields})
    assert harness.spawned_ids() == [b"%016x" % 1]


def test_run_that_never_started_leaves_its_key_free() -> None:
    harness = ServiceHarness()
    harness.submit(1, body=b"another body")
    harness.finish_run(1, Outcome.NOT_STARTED)  # the pool doesn't know the request
    harness.submit(2)
    assert harness.statuses(1) == ["failed"] and harness.spawned_ids() == [b"%016x" % 1, b"%016x" % 2]


def test_outdated_gauges_are_discarded() -> None:
    harness = ServiceHarness()
    harness.service.gauges_polled((0.25, 7.0, 3.0, 9.0))
    harness.run_until(harness.now + 0.9)
    assert harness.service.loop.gauges
    harness.run_until(harness.now + 0.3)  # without a link no gauges have been polled since
    assert not harness.service.loop.gauges


def test_budget_beyond_the_deadline_does_not_extend_it() -> None:
    harness = ServiceHarness()
    harness.submit(1, "read", budget_seconds=600.0)
    # As if the decision module had lost the request.
    harness.service.controller.table.requests.clear()  # type: ignore[union-attr]
    harness.run_until(harness.now + 3.05)
    assert harness.statuses(1) == ["failed"]
