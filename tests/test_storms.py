"""Storms through the core and on sockets: unmarked repeats, moments, doors that leave requests unread."""

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

STORM = Deployment(ajp=AjpSettings("127.0.0.1:0"), storm=StormSettings())


def world(**more: Any) -> tuple[ServiceHarness, RetryStormController]:
    made = ServiceHarness(replace(SETTINGS, **more))
    damper = RetryStormController(StormSettings(), made.service.settings, 1, made.now, made.now - 100)
    made.service.ports.storm_control = damper
    return made, damper


def storm_on(damper: RetryStormController) -> None:
    """Many tries of refused work come again: the damper finds out by itself."""
    for n in range(40):
        damper.record_rejection(1_000.0, n)
    for n in range(40):
        tried = damper.record_arrival(1_000.0, "x", "read", None, None, b"%d" % n)
        damper.record_rejection(1_000.0, tried.fingerprint)
        damper.record_arrival(1_000.0, "x", "read", None, None, b"%d" % n)
    assert damper.in_storm(1_000.0)


# ---- through the core -------------------------------------------------------------------------


def test_unmarked_repeats_of_a_write_join_its_run_and_it_runs_once() -> None:
    w, _ = world()
    w.submit(1)
    w.submit(2)  # during the run: another id, the same key and body
    w.finish_run(1)
    w.submit(3)  # after its answer was lost on the way
    assert w.spawned_ids() == [b"%016x" % 1]
    assert [w.statuses(n) for n in (1, 2, 3)] == [["served"]] * 3


def test_another_body_under_the_same_key_is_no_repeat() -> None:
    from saltcart.core.messages import InvalidRequestError

    w, _ = world()
    w.submit(1)
    with pytest.raises(InvalidRequestError, match="another body"):
        w.submit(2, body=b"other")


def test_who_is_refused_is_told_a_moment_at_once() -> None:
    w, _ = world(max_retry_after=0.5)
    w.service.start_drain(4.0)  # nothing new runs: it is refused
    w.run_until(w.now + 2.0)
    before = w.now
    w.submit(1, "read")
    (answer,) = w.responses[b"%016x" % 1]
    assert answer.status.value == "refused" and w.now == before  # given up and answered in one moment
    assert answer.retry_after_seconds >= 0.2 and answer.back_off_seconds <= 0.5


def test_a_callers_moment_is_no_advice_to_its_balancer() -> None:
    """Back-Off-Ms keeps a whole balancer away, Final-Refusal ends its search: the module's to say."""
    told = list[tuple[float, bool]]()
    for watched in (True, False):
        w, _ = world(max_retry_after=30.0)
        if not watched:
            w.service.ports.storm_control = None
        w.service.start_drain(4.0)
        w.run_until(w.now + 2.0)
        for n in range(1, 40):  # the same work again and again, as in a storm
            w.submit(n, "read")
        told += [(a.back_off_seconds, a.is_final) for n in range(1, 40) for a in w.responses[b"%016x" % n]]
        moments = [a.retry_after_seconds for n in range(1, 40) for a in w.responses[b"%016x" % n]]
        assert all(m > 0 for m in moments) if watched else not any(moments)
    assert told[:39] == told[39:]


def test_a_failed_write_says_when_its_key_is_free() -> None:
    w, _ = world()
    w.submit(1)
    w.finish_run(1, Outcome.FAILED)
    (answer,) = w.responses[b"%016x" % 1]
    assert answer.status.value == "failed" and answer.retry_after_seconds == pytest.approx(6.0, abs=0.2)


def test_in_a_storm_a_held_read_makes_way_for_the_same_work_come_anew() -> None:
    w, damper = world(cores=1)
    storm_on(damper)
    w.submit(1, "read", body=b"a")
    w.submit(2, "read", body=b"b")
    held = 2 if b"%016x" % 2 not in w.spawned_ids() else 0
    assert held  # the second waits for the one core
    w.submit(3, "read", body=b"b")
    assert w.statuses(2) == ["refused"] and w.statuses(3) == []
    w.finish_run(1)
    assert w.spawned_ids()[-1] == b"%016x" % 3


def test_in_calm_times_the_same_work_twice_is_two_requests() -> None:
    w, _ = world(cores=1)
    for n in (1, 2, 3):
        w.submit(n, "read", body=b"same")
    assert w.statuses(2) == [] and w.statuses(3) == []


def test_who_kept_its_moment_is_thinned_out_later_than_who_came_early() -> None:
    w, damper = world()
    heard = list[RequestArrived]()
    assert w.service.controller is not None
    handle = w.service.controller.handle

    def listen(now: float, event: Event) -> list[Action]:
        if isinstance(event, RequestArrived):
            heard.append(event)
        return handle(now, event)

    w.service.controller.handle = listen  # type: ignore[method-assign]
    mark = damper.record_arrival(w.now, "a", "read", None, None, b"same").fingerprint
    back = damper.record_rejection(w.now, mark)
    w.submit(1, "read", body=b"same", priority_rank=0.3)  # before its moment
    w.now += back.retry_after + 0.05
    w.submit(2, "read", body=b"same", priority_rank=0.3)
    early, kept = heard
    assert (early.priority_rank, early.has_reservation) == (0.0, False)
    assert (
        kept.has_reservation and 0.49 < kept.priority_rank < 0.5
    )  # two classes: at the top of the lower half


# ---- on sockets -------------------------------------------------------------------------------


async def crowd(app: App, number: int) -> list[tuple[int, dict[bytes, bytes]]]:
    """So many requests at once, each on its own connection; statuses and fields of the answers."""

    async def one(n: int) -> tuple[int, dict[bytes, bytes]]:
        client = await HttpClient(app.addresses["http"]).open()
        try:
            answer = await client.ask(n + 1, body=b"%d" % n)
            return answer.status, dict(answer.headers)
        finally:
            client.drop()

    return await asyncio.gather(*(one(n) for n in range(number)))


def test_a_flood_is_turned_back_unread_and_told_when_to_come_back() -> None:
    async def play() -> None:
        async with Pool(auto=False) as pool, running(STORM, pool=pool.address) as app:
            damper = app.storm_controller
            assert damper is not None
            damper.capacity_estimator.record_run(
                app.service.clock.read_seconds(), 0.5, False
            )  # four runs a second
            seen = asyncio.create_task(crowd(app, 60))
            await until(lambda: damper.token_bucket.rejected_count > 30)
            pool.auto = True
            for ident in list(pool.spawned):
                pool.finish(ident)
            answers = await seen
            turned = [fields for status, fields in answers if status == 503]
            assert len(turned) >= 30 and all(int(f[b"retry-after"]) >= 1 for f in turned)
            # A health check is none of the door's.
            reader, writer = await asyncio.open_connection(*app.addresses["http"].split(":"))
            writer.write(b"GET /ping HTTP/1.1\r\nHost: h\r\n\r\n")
            assert (await reader.readline()).split()[1] == b"200"
            writer.close()

    asyncio.run(play())


def test_the_door_is_the_same_for_ajp() -> None:
    async def play() -> None:
        async with Pool() as pool, running(STORM, pool=pool.address) as app:
            damper = app.storm_controller
            assert damper is not None
            client = await AjpClient(app.addresses["ajp"]).open()
            assert (await client.ask(1, body=b"y" * 1500, first=600)).status == 200  # body in two packets
            damper.token_bucket.tokens, damper.token_bucket.capacity = 0.0, lambda now: 0.001
            answer = await client.ask(2)
            assert answer.status == 503 and int(answer.headers[b"retry-after"]) >= 1
            assert pool.spawned == [b"%016x" % 1]

    asyncio.run(play())


def shut(app: App) -> RetryStormController:
    """No token is left at the door, and none comes."""
    assert app.storm_controller is not None
    app.storm_controller.token_bucket.tokens, app.storm_controller.token_bucket.capacity = (
        0.0,
        lambda now: 0.001,
    )
    return app.storm_controller


def test_health_checks_pass_a_shut_door_however_their_bytes_come() -> None:
    async def play() -> None:
        async with Pool() as pool, running(STORM, pool=pool.address) as app:
            damper = shut(app)
            reader, writer = await asyncio.open_connection(*app.addresses["http"].split(":"))
            writer.write(b"GE")  # too little to tell by
            await until(lambda: any(len(c.buffer) == 2 for f in app.listeners for c in f.connections))
            writer.write(b"T /ping HTTP/1.1\r\nHost: h\r\n\r\n")
            assert (await reader.readline()).split()[1] == b"200"
            writer.close()
            ping = await AjpClient(app.addresses["ajp"]).open()
            ping.writer.write(ajp.CPING_PACKET)
            assert isinstance(await ping.message(), ajp.Pong)
            assert damper.token_bucket.rejected_count == 0

    asyncio.run(play())


def test_each_request_of_a_kept_connection_stands_at_the_door() -> None:
    async def play() -> None:
        async with Pool() as pool, running(STORM, pool=pool.address) as app:
            client = await HttpClient(app.addresses["http"]).open()
            assert (await client.ask(1)).status == 200
            damper = shut(app)
            turned = await client.ask(2)
            assert turned.status == 503 and turned.headers[b"connection"] == b"close"
            assert damper.token_bucket.rejected_count == 1 and pool.spawned == [b"%016x" % 1]
            again = await HttpClient(app.addresses["http"]).open()
            told = int((await again.ask(3)).headers[b"retry-after"])
            assert abs(told - int(turned.headers[b"retry-after"])) <= 1  # its address is told the same again

    asyncio.run(play())


def test_the_administration_shows_who_repeats() -> None:
    api = AdminApi(ServiceHarness().service, None, "sixteen-characters-of-it", None, lambda: damper)  # type: ignore[arg-type]
    w, damper = world()
    storm_on(damper)
    head = {b"authorization": b"Bearer sixteen-characters-of-it"}
    api.service = w.service
    status, body, _ = api.handle("GET", "/v1/storm", head, b"")
    seen = json.loads(body)
    assert status == 200 and seen["on"] == 1 and seen["amplifiers"][0]["tenant"] == "x"
    assert api.handle("POST", "/v1/storm", head, b"")[0] == 405


@pytest.mark.parametrize(("table", "on"), [({}, True), ({"enabled": False}, False)])
def test_the_table_turns_it_on_and_off(table: dict[str, Any], on: bool) -> None:
    assert (read_deployment({"storm": table}).storm is not None) == on
    with pytest.raises(ConfigError, match=r"storm\.least"):
        read_deployment({"storm": {**table, "least": -1}})


def test_storms_are_seen_by_operators() -> None:
    async def play() -> None:
        async with Pool() as pool, running(STORM, pool=pool.address, control="127.0.0.1:0") as app:
            client = await HttpClient(app.addresses["http"]).open()
            assert (await client.ask(1)).status == 200
            reader, writer = await asyncio.open_connection(*app.addresses["control"].split(":"))
            writer.write(b"vars\n")
            text = (await reader.read()).decode()
            writer.close()
            assert re.search(r"balancer\.storm\.on:0\|g\n", text) and "balancer.storm.unread:0|g" in text

    asyncio.run(play())


def test_without_the_table_nothing_is_told_and_nothing_watched() -> None:
    async def play() -> None:
        async with Pool() as pool, running(pool=pool.address) as app:
            assert app.service.ports.storm_control is None
            client = await HttpClient(app.addresses["http"]).open()
            assert b"retry-after" not in (await client.ask(1)).headers

    asyncio.run(play())


# ---- in the model -----------------------------------------------------------------------------


def play(name: str, policy: str, **more: Any) -> lab.Seen:
    return lab.Fleet(lab.Day(name, 12, 44.0, **more), policy, 1).run()


def test_a_room_that_comes_back_is_served_again_and_nothing_runs_twice() -> None:
    ours, off = play("room", "storm"), play("room", "off")
    back = int(lab.OUT_AT + lab.OUT_FOR)
    assert lab.mean(ours.worth[back:]) > 0.75 and lab.mean(off.worth[back:]) < 0.4
    assert (ours.twice, ours.held_back) == (0, 0) and ours.tries < off.tries / 2


def test_a_rolling_deploy_over_the_return_breaks_nothing() -> None:
    seen = play("room+deploy", "storm", deploy=True)
    assert (seen.twice, seen.held_back) == (0, 0)
    assert lab.mean(seen.worth[int(lab.OUT_AT + lab.OUT_FOR) :]) > 0.6


def test_callers_that_all_obey_do_not_come_back_together() -> None:
    fleet = lab.Fleet(lab.Day("room", 12, 40.0, obeying=1.0), "storm", 2)
    seen = fleet.run()
    after = [fleet.tries[s] for s in range(28, 38)]
    assert max(after) < 2.5 * lab.mean([float(n) for n in after]) and seen.twice == 0


def test_the_same_play_twice_is_the_same() -> None:
    first, again = play("room", "storm"), play("room", "storm")
    assert (first.worth, first.tries, first.told) == (again.worth, again.tries, again.told)


def test_the_lab_prints_its_figures_last() -> None:
    ran = CliRunner().invoke(cli, ["lab", "run", "filters", "--quick"])
    figures = json.loads(ran.output.splitlines()[-1])
    assert figures["sketch_bytes"] < figures["dict_bytes"] and figures["sketch_wrong"] < 0.01


def test_a_refused_answer_names_the_moment_in_whole_seconds_never_before_it() -> None:
    from saltcart.core.messages import ResponseStatus
    from saltcart.front.connection import answer_fields

    for after, told in ((0.05, "1"), (1.0, "1"), (1.01, "2")):
        assert ("Retry-After", told) in answer_fields(
            FinalResponse(ResponseStatus.REJECTED, retry_after_seconds=after)
        )
    assert not answer_fields(FinalResponse(ResponseStatus.SERVED))
