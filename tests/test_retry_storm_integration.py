"""Retry storms through the core, the fronts, the administration API and the laboratory's fleet model."""

from __future__ import annotations

import asyncio
import json
import re
from dataclasses import replace
from typing import Any

import pytest
from click.testing import CliRunner

from saltcart.admin.api import AdminApi
from saltcart.app import App
from saltcart.cli import cli
from saltcart.config import ConfigError
from saltcart.core.messages import FinalResponse
from saltcart.decision.actions import Action
from saltcart.decision.events import Event, RequestArrived
from saltcart.decision.outcome import Outcome
from saltcart.deployment import AjpSettings, Deployment, read_deployment
from saltcart.lab import storm as lab
from saltcart.retry_storm.controller import RetryStormController
from saltcart.retry_storm.settings import StormSettings
from saltcart.wire import ajp
from tests.fakes import SETTINGS, ServiceHarness
from tests.standins import AjpClient, HttpClient, Pool, running, until

STORM_DEPLOYMENT = Deployment(ajp=AjpSettings("127.0.0.1:0"), storm=StormSettings())


def make_harness(**changed_settings: Any) -> tuple[ServiceHarness, RetryStormController]:
    harness = ServiceHarness(replace(SETTINGS, **changed_settings))
    controller = RetryStormController(
        StormSettings(), harness.service.settings, 1, harness.now, harness.now - 100
    )
    harness.service.ports.storm_control = controller
    return harness, controller


def begin_storm(controller: RetryStormController) -> None:
    """Send retries of many rejected requests, from which the controller detects a storm."""
    for n in range(40):
        controller.record_rejection(1_000.0, n)
    for n in range(40):
        attempt = controller.record_arrival(1_000.0, "x", "read", None, None, b"%d" % n)
        controller.record_rejection(1_000.0, attempt.fingerprint)
        controller.record_arrival(1_000.0, "x", "read", None, None, b"%d" % n)
    assert controller.in_storm(1_000.0)


# ---- through the core -------------------------------------------------------------------------


def test_unmarked_retries_of_a_write_join_its_run_and_it_runs_once() -> None:
    harness, _ = make_harness()
    harness.submit(1)
    harness.submit(2)  # during the run: another request id, the same key and body
    harness.finish_run(1)
    harness.submit(3)  # after its response was lost
    assert harness.spawned_ids() == [b"%016x" % 1]
    assert [harness.statuses(n) for n in (1, 2, 3)] == [["served"]] * 3


def test_another_body_under_the_same_key_is_no_retry() -> None:
    from saltcart.core.messages import InvalidRequestError

    harness, _ = make_harness()
    harness.submit(1)
    with pytest.raises(InvalidRequestError, match="another body"):
        harness.submit(2, body=b"other")


def test_a_rejected_request_gets_a_retry_time_at_once() -> None:
    harness, _ = make_harness(max_retry_after=0.5)
    harness.service.start_drain(4.0)  # new requests are rejected while draining
    harness.run_until(harness.now + 2.0)
    submitted_at = harness.now
    harness.submit(1, "read")
    (response,) = harness.responses[b"%016x" % 1]
    assert response.status.value == "refused" and harness.now == submitted_at  # rejected without delay
    assert response.retry_after_seconds >= 0.2 and response.back_off_seconds <= 0.5


def test_a_callers_retry_time_does_not_change_the_advice_to_its_balancer() -> None:
    """Back-Off-Ms and Final-Refusal act on a whole balancer, so only the decision module sets them."""
    balancer_advice = list[tuple[float, bool]]()
    for has_storm_control in (True, False):
        harness, _ = make_harness(max_retry_after=30.0)
        if not has_storm_control:
            harness.service.ports.storm_control = None
        harness.service.start_drain(4.0)
        harness.run_until(harness.now + 2.0)
        for n in range(1, 40):  # the same request again and again, as in a storm
            harness.submit(n, "read")
        balancer_advice += [
            (response.back_off_seconds, response.is_final)
            for n in range(1, 40)
            for response in harness.responses[b"%016x" % n]
        ]
        retry_delays = [
            response.retry_after_seconds for n in range(1, 40) for response in harness.responses[b"%016x" % n]
        ]
        assert all(delay > 0 for delay in retry_delays) if has_storm_control else not any(retry_delays)
    assert balancer_advice[:39] == balancer_advice[39:]


def test_the_retry_time_of_a_failed_write_is_the_end_of_its_key_window() -> None:
    harness, _ = make_harness()
    harness.submit(1)
    harness.finish_run(1, Outcome.FAILED)
    (response,) = harness.responses[b"%016x" % 1]
    assert response.status.value == "failed" and response.retry_after_seconds == pytest.approx(6.0, abs=0.2)


def test_in_a_storm_a_held_read_is_superseded_by_its_retry() -> None:
    harness, controller = make_harness(cores=1)
    begin_storm(controller)
    harness.submit(1, "read", body=b"a")
    harness.submit(2, "read", body=b"b")
    held_number = 2 if b"%016x" % 2 not in harness.spawned_ids() else 0
    assert held_number  # the second waits for the only core
    harness.submit(3, "read", body=b"b")
    assert harness.statuses(2) == ["refused"] and harness.statuses(3) == []
    harness.finish_run(1)
    assert harness.spawned_ids()[-1] == b"%016x" % 3


def test_without_a_storm_attempts_of_the_same_read_are_separate_requests() -> None:
    harness, _ = make_harness(cores=1)
    for n in (1, 2, 3):
        harness.submit(n, "read", body=b"same")
    assert harness.statuses(2) == [] and harness.statuses(3) == []


def test_a_retry_on_time_ranks_above_an_early_one() -> None:
    harness, controller = make_harness()
    arrivals = list[RequestArrived]()
    assert harness.service.controller is not None
    handle = harness.service.controller.handle

    def record_arrivals(now: float, event: Event) -> list[Action]:
        if isinstance(event, RequestArrived):
            arrivals.append(event)
        return handle(now, event)

    harness.service.controller.handle = record_arrivals  # type: ignore[method-assign]
    fingerprint = controller.record_arrival(harness.now, "a", "read", None, None, b"same").fingerprint
    advice = controller.record_rejection(harness.now, fingerprint)
    harness.submit(1, "read", body=b"same", priority_rank=0.3)  # before its retry time
    harness.now += advice.retry_after + 0.05
    harness.submit(2, "read", body=b"same", priority_rank=0.3)
    early, on_time = arrivals
    assert (early.priority_rank, early.has_reservation) == (0.0, False)
    # Of two classes: at the top of the lower half.
    assert on_time.has_reservation and 0.49 < on_time.priority_rank < 0.5


# ---- on sockets -------------------------------------------------------------------------------


async def send_concurrently(app: App, count: int) -> list[tuple[int, dict[bytes, bytes]]]:
    """Send requests concurrently, each on its own connection; returns status and headers of each response."""

    async def send_one(n: int) -> tuple[int, dict[bytes, bytes]]:
        client = await HttpClient(app.addresses["http"]).open()
        try:
            response = await client.post(n + 1, body=b"%d" % n)
            return response.status, dict(response.headers)
        finally:
            client.drop()

    return await asyncio.gather(*(send_one(n) for n in range(count)))


def test_a_flood_is_rejected_unread_with_retry_after() -> None:
    async def run_scenario() -> None:
        async with Pool(finishes_runs=False) as pool, running(STORM_DEPLOYMENT, pool=pool.address) as app:
            controller = app.storm_controller
            assert controller is not None
            # The two cores serve about four runs per second.
            controller.capacity_estimator.record_run(app.service.clock.read_seconds(), 0.5, False)
            pending_responses = asyncio.create_task(send_concurrently(app, 60))
            await until(lambda: controller.token_bucket.rejected_count > 30)
            pool.finishes_runs = True
            for request_id in list(pool.spawned):
                pool.finish(request_id)
            responses = await pending_responses
            rejected = [headers for status, headers in responses if status == 503]
            assert len(rejected) >= 30 and all(int(fields[b"retry-after"]) >= 1 for fields in rejected)
            # Health checks are not subject to admission.
            reader, writer = await asyncio.open_connection(*app.addresses["http"].split(":"))
            writer.write(b"GET /ping HTTP/1.1\r\nHost: h\r\n\r\n")
            assert (await reader.readline()).split()[1] == b"200"
            writer.close()

    asyncio.run(run_scenario())


def test_admission_limits_ajp_requests_as_well() -> None:
    async def run_scenario() -> None:
        async with Pool() as pool, running(STORM_DEPLOYMENT, pool=pool.address) as app:
            controller = app.storm_controller
            assert controller is not None
            client = await AjpClient(app.addresses["ajp"]).open()
            # The body is sent in two packets.
            assert (await client.post(1, body=b"y" * 1500, first_part_size=600)).status == 200
            controller.token_bucket.tokens, controller.token_bucket.capacity = 0.0, lambda now: 0.001
            response = await client.post(2)
            assert response.status == 503 and int(response.headers[b"retry-after"]) >= 1
            assert pool.spawned == [b"%016x" % 1]

    asyncio.run(run_scenario())


def stop_admission(app: App) -> RetryStormController:
    """Empty the token bucket and stop its refill; returns the controller."""
    assert app.storm_controller is not None
    app.storm_controller.token_bucket.tokens, app.storm_controller.token_bucket.capacity = (
        0.0,
        lambda now: 0.001,
    )
    return app.storm_controller


def test_health_checks_are_answered_without_tokens_however_their_bytes_are_split() -> None:
    async def run_scenario() -> None:
        async with Pool() as pool, running(STORM_DEPLOYMENT, pool=pool.address) as app:
            controller = stop_admission(app)
            reader, writer = await asyncio.open_connection(*app.addresses["http"].split(":"))
            writer.write(b"GE")  # too few bytes to recognise a health check
            await until(
                lambda: any(
                    len(connection.buffer) == 2
                    for listener in app.listeners
                    for connection in listener.connections
                )
            )
            writer.write(b"T /ping HTTP/1.1\r\nHost: h\r\n\r\n")
            assert (await reader.readline()).split()[1] == b"200"
            writer.close()
            ping = await AjpClient(app.addresses["ajp"]).open()
            ping.writer.write(ajp.CPING_PACKET)
            assert isinstance(await ping.read_message(), ajp.CPong)
            assert controller.token_bucket.rejected_count == 0

    asyncio.run(run_scenario())


def test_each_request_on_a_keep_alive_connection_needs_a_token() -> None:
    async def run_scenario() -> None:
        async with Pool() as pool, running(STORM_DEPLOYMENT, pool=pool.address) as app:
            client = await HttpClient(app.addresses["http"]).open()
            assert (await client.post(1)).status == 200
            controller = stop_admission(app)
            rejected = await client.post(2)
            assert rejected.status == 503 and rejected.headers[b"connection"] == b"close"
            assert controller.token_bucket.rejected_count == 1 and pool.spawned == [b"%016x" % 1]
            second_client = await HttpClient(app.addresses["http"]).open()
            retry_after = int((await second_client.post(3)).headers[b"retry-after"])
            # The same address gets the same retry time.
            assert abs(retry_after - int(rejected.headers[b"retry-after"])) <= 1

    asyncio.run(run_scenario())


def test_the_administration_api_shows_the_tenants_that_retry_most() -> None:
    api = AdminApi(ServiceHarness().service, None, "sixteen-characters-of-it", None, lambda: controller)  # type: ignore[arg-type]
    harness, controller = make_harness()
    begin_storm(controller)
    headers = {b"authorization": b"Bearer sixteen-characters-of-it"}
    api.service = harness.service
    status, body, _ = api.handle("GET", "/v1/storm", headers, b"")
    state = json.loads(body)
    assert status == 200 and state["on"] == 1 and state["amplifiers"][0]["tenant"] == "x"
    assert api.handle("POST", "/v1/storm", headers, b"")[0] == 405


@pytest.mark.parametrize(("table", "is_enabled"), [({}, True), ({"enabled": False}, False)])
def test_the_table_enables_retry_storm_control(table: dict[str, Any], is_enabled: bool) -> None:
    assert (read_deployment({"storm": table}).storm is not None) == is_enabled
    with pytest.raises(ConfigError, match=r"storm\.least"):
        read_deployment({"storm": {**table, "least": -1}})


def test_the_control_port_reports_storm_metrics() -> None:
    async def run_scenario() -> None:
        async with Pool() as pool, running(STORM_DEPLOYMENT, pool=pool.address, control="127.0.0.1:0") as app:
            client = await HttpClient(app.addresses["http"]).open()
            assert (await client.post(1)).status == 200
            reader, writer = await asyncio.open_connection(*app.addresses["control"].split(":"))
            writer.write(b"vars\n")
            text = (await reader.read()).decode()
            writer.close()
            assert re.search(r"balancer\.storm\.on:0\|g\n", text) and "balancer.storm.unread:0|g" in text

    asyncio.run(run_scenario())


def test_without_the_table_retry_storm_control_is_off() -> None:
    async def run_scenario() -> None:
        async with Pool() as pool, running(pool=pool.address) as app:
            assert app.service.ports.storm_control is None
            client = await HttpClient(app.addresses["http"]).open()
            assert b"retry-after" not in (await client.post(1)).headers

    asyncio.run(run_scenario())


# ---- in the laboratory's fleet model ----------------------------------------------------------


def run_fleet(name: str, policy: str, **day_options: Any) -> lab.StormResult:
    return lab.SimulatedStormFleet(lab.StormDay(name, 12, 44.0, **day_options), policy, 1).run()


def test_the_fleet_recovers_after_an_outage_and_nothing_runs_twice() -> None:
    controlled, uncontrolled = run_fleet("room", "storm"), run_fleet("room", "off")
    outage_end = int(lab.OUTAGE_START_SECONDS + lab.OUTAGE_SECONDS)
    assert (
        lab.mean(controlled.weight_share_by_second[outage_end:]) > 0.75
        and lab.mean(uncontrolled.weight_share_by_second[outage_end:]) < 0.4
    )
    assert (controlled.duplicate_run_count, controlled.unanswered_rejection_count) == (
        0,
        0,
    ) and controlled.attempt_count < uncontrolled.attempt_count / 2


def test_the_fleet_recovers_from_an_outage_during_a_rolling_deploy() -> None:
    result = run_fleet("room+deploy", "storm", rolling_deploy=True)
    assert (result.duplicate_run_count, result.unanswered_rejection_count) == (0, 0)
    assert lab.mean(result.weight_share_by_second[int(lab.OUTAGE_START_SECONDS + lab.OUTAGE_SECONDS) :]) > 0.6


def test_callers_that_all_follow_retry_after_do_not_return_together() -> None:
    fleet = lab.SimulatedStormFleet(lab.StormDay("room", 12, 40.0, obeying_share=1.0), "storm", 2)
    result = fleet.run()
    attempts_by_second = [fleet.attempts_by_second[second] for second in range(28, 38)]
    assert (
        max(attempts_by_second) < 2.5 * lab.mean([float(count) for count in attempts_by_second])
        and result.duplicate_run_count == 0
    )


def test_the_fleet_model_is_deterministic() -> None:
    first, second = run_fleet("room", "storm"), run_fleet("room", "storm")
    assert (first.weight_share_by_second, first.attempt_count, first.advice_count) == (
        second.weight_share_by_second,
        second.attempt_count,
        second.advice_count,
    )


def test_the_lab_prints_its_figures_on_the_last_line() -> None:
    result = CliRunner().invoke(cli, ["lab", "run", "filters", "--quick"])
    figures = json.loads(result.output.splitlines()[-1])
    assert figures["sketch_bytes"] < figures["dict_bytes"] and figures["sketch_wrong"] < 0.01


def test_retry_after_is_rounded_up_to_whole_seconds() -> None:
    from saltcart.core.messages import ResponseStatus
    from saltcart.front.connection import response_headers

    for seconds, header_value in ((0.05, "1"), (1.0, "1"), (1.01, "2")):
        assert ("Retry-After", header_value) in response_headers(
            FinalResponse(ResponseStatus.REJECTED, retry_after_seconds=seconds)
        )
    assert not response_headers(FinalResponse(ResponseStatus.SERVED))
