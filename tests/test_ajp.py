"""AJP from gateways and to upstreams, with stand-ins on loopback."""

from __future__ import annotations

import asyncio

import pytest

from saltcart.decision.outcome import Outcome
from saltcart.deployment import AjpSettings, Deployment, MemberConf, UpstreamConf
from saltcart.net import ajp as ajp_driver
from saltcart.net.ajp import AjpMember, AjpUpstream
from saltcart.wire import ajp
from tests.standins import AjpClient, AjpServer, HttpClient, Pool, encode_container_response, running, until

FRONT = Deployment(ajp=AjpSettings("127.0.0.1:0", "s3cret"))


def upstream_deployment(*hosts: str) -> Deployment:
    return Deployment(upstreams=(UpstreamConf("u", tuple(MemberConf(host) for host in hosts)),))


def test_a_gateway_connection_is_reused_and_carries_pings_and_bodies_in_parts() -> None:
    async def run_scenario() -> None:
        async with Pool() as pool, running(FRONT, pool=pool.address) as app:
            client = await AjpClient(app.addresses["ajp"], b"s3cret").open()
            body = bytes(range(256)) * 8
            client.send(1, "read", body, first_part_size=100)
            answer = await client.read_response()
            assert (answer.status, answer.body, answer.keep_alive) == (200, b"done " + body, True)
            assert b"server-hint" in answer.headers
            client.writer.write(ajp.CPING_PACKET)
            assert isinstance(await client.read_message(), ajp.CPong)
            client.writer.write(ajp.encode_packet(ajp.TO_CONTAINER, bytes((ajp.SHUTDOWN,))))  # ignored
            assert (await client.post(2, "oddaja", b"", key="k")).body == b"done "
            assert (await client.post(3, "nothing")).status == 400
            assert (await client.post(4, "oddaja")).status == 400  # without an idempotency key
            client_with_wrong_secret = await AjpClient(app.addresses["ajp"], b"wrong").open()
            rejection = await client_with_wrong_secret.post(5)
            assert (rejection.status, rejection.keep_alive) == (403, False)
            assert len(pool.spawned) == 2

    asyncio.run(run_scenario())


def test_idle_connections_to_a_member_are_closed(monkeypatch: pytest.MonkeyPatch) -> None:
    """A member may drop an idle connection, and each one holds a descriptor."""
    monkeypatch.setattr(ajp_driver, "IDLE_TIMEOUT_SECONDS", 0.05)
    monkeypatch.setattr(ajp_driver, "SWEEP_INTERVAL_SECONDS", 0.02)

    async def respond(_: ajp.ForwardRequest) -> bytes:
        return encode_container_response(200, b"good")

    async def run_scenario() -> None:
        async with AjpServer(respond) as server, running(upstream_deployment(server.address)) as app:
            client = await HttpClient(app.addresses["http"]).open()
            assert app.upstreams is not None
            ajp_upstream = app.upstreams.by_name["u"]
            for number in (1, 2):
                assert (await client.post(number)).body == b"good"
                await until(
                    lambda: (
                        not ajp_upstream.members[0].idle_connections and ajp_upstream.sweeper.handle is None
                    )
                )
                # Each request has a new connection, since the previous one was closed.
                assert len(server.writers) == number

    asyncio.run(run_scenario())


def test_a_connection_lost_within_a_body_leaves_no_state() -> None:
    async def run_scenario() -> None:
        async with Pool(finishes_runs=False) as pool, running(FRONT, pool=pool.address) as app:
            client = await AjpClient(app.addresses["ajp"], b"s3cret").open()
            client.send(1, "oddaja", b"x" * 900, first_part_size=300, key="k")
            assert isinstance(await client.read_message(), ajp.GetBodyChunk)
            client.drop()
            await until(lambda: not app.listeners[1].connections)
            assert not app.service.requests and not app.service.keys.records and pool.spawned == []
            # A whole request is accepted next; a connection lost after it means that the caller left.
            client = await AjpClient(app.addresses["ajp"], b"s3cret").open()
            client.send(2, "oddaja", b"x", key="k")
            await until(lambda: len(pool.spawned) == 1)
            client.drop()
            await until(lambda: app.service.counts["acme", "oddaja", "abandoned"] == 1)

    asyncio.run(run_scenario())


def test_an_idempotency_key_holds_across_both_fronts() -> None:
    async def run_scenario() -> None:
        async with Pool(finishes_runs=False) as pool, running(FRONT, pool=pool.address) as app:
            gateway = await AjpClient(app.addresses["ajp"], b"s3cret").open()
            balancer = await HttpClient(app.addresses["http"]).open()
            gateway.send(1, "oddaja", b"same", key="k")
            await until(lambda: len(pool.spawned) == 1)
            balancer.send(2, "oddaja", b"same", key="k")
            await until(lambda: len(app.service.requests) == 2)
            pool.finish(pool.spawned[0])
            answers = await asyncio.gather(gateway.read_response(), balancer.read_response())
            assert [answer.body for answer in answers] == [b"done same"] * 2
            assert (await gateway.post(3, "oddaja", b"same", key="k")).body == b"done same"
            assert len(pool.spawned) == 1

    asyncio.run(run_scenario())


def test_draining_answers_requests_until_the_process_stops() -> None:
    async def run_scenario() -> None:
        async with Pool(finishes_runs=False) as pool, running(FRONT, pool=pool.address) as app:
            earlier_client = await AjpClient(app.addresses["ajp"], b"s3cret").open()
            earlier_client.send(1)
            await until(lambda: len(pool.spawned) == 1)
            app.begin_drain()
            await asyncio.sleep(0.35)
            # Connections are still accepted.
            later_client = await AjpClient(app.addresses["ajp"], b"s3cret").open()
            assert (await later_client.post(2)).status == 503
            # Answered before the process stops, though its run is unfinished.
            assert (await earlier_client.read_response()).status in (500, 503)
            assert pool.spawned == [b"%016x" % 1]

    asyncio.run(run_scenario())


@pytest.mark.parametrize(
    ("status", "class_name", "expected", "runs"),
    [
        (200, "read", 200, 1),
        (200, "oddaja", 200, 1),
        (500, "read", 500, 1),
        (404, "oddaja", 500, 1),
        (503, "read", 500, 1),
        (None, "oddaja", 500, 1),
        (None, "read", 500, 2),
    ],
)
def test_the_answer_to_the_client_for_each_response_of_an_upstream(
    status: int | None, class_name: str, expected: int, runs: int
) -> None:
    async def respond(_: ajp.ForwardRequest) -> bytes | None:
        return None if status is None else encode_container_response(status, b"\x00result")

    async def run_scenario() -> None:
        async with AjpServer(respond) as server, running(upstream_deployment(server.address)) as app:
            client = await HttpClient(app.addresses["http"]).open()
            answer = await client.post(1, class_name, b"body", key="k" if class_name == "oddaja" else None)
            assert answer.status == expected and len(server.received_requests) == runs
            assert answer.body == (b"\x00result" if expected == 200 else b"")
            assert (
                server.received_requests[0].body == b"body"
                and server.received_requests[0].uri == b"/call/" + class_name.encode()
            )
            if class_name == "oddaja":  # whatever the outcome, a retry does not reach the upstream
                assert (await client.post(2, class_name, b"body", key="k")).status == expected
                assert len(server.received_requests) == runs

    asyncio.run(run_scenario())


@pytest.mark.parametrize("class_name", ["read", "oddaja"])
def test_another_member_is_tried_if_the_request_did_not_run(class_name: str) -> None:
    async def reject(_: ajp.ForwardRequest) -> bytes:
        return encode_container_response(503)

    async def serve(_: ajp.ForwardRequest) -> bytes:
        return encode_container_response(200, b"ok")

    async def run_scenario() -> None:
        async with AjpServer(reject) as stopped:
            pass  # connections to its address are refused from here on
        async with (
            AjpServer(reject) as overloaded,
            AjpServer(serve) as healthy,
            running(upstream_deployment(stopped.address, overloaded.address, healthy.address)) as app,
        ):
            client = await HttpClient(app.addresses["http"]).open()
            for number in range(1, 4):
                assert (
                    await client.post(
                        number, class_name, key=f"k{number}" if class_name == "oddaja" else None
                    )
                ).body == b"ok"
            # END_RESPONSE permits reuse of the connection.
            assert len(healthy.received_requests) == 3 and len(healthy.writers) == 1

    asyncio.run(run_scenario())


def test_a_run_cancelled_before_its_task_starts_is_reported() -> None:
    async def run_scenario() -> None:
        finished_runs = list[tuple[bytes, Outcome]]()
        ajp_upstream = AjpUpstream(
            [AjpMember("127.0.0.1:9")],
            lambda request_id, outcome, *_: finished_runs.append((request_id, outcome)),
            lambda *_, **__: None,
        )
        ajp_upstream.spawn(b"a", "read", "acme", b"", False, 1.0)
        ajp_upstream.suspend(b"a")
        await until(lambda: finished_runs == [(b"a", Outcome.CANCELLED)] and not ajp_upstream.run_tasks)

    asyncio.run(run_scenario())


def test_a_request_to_a_silent_upstream_ends_at_the_callers_deadline() -> None:
    async def hang(_: ajp.ForwardRequest) -> bytes | None:
        await asyncio.Event().wait()
        return None

    async def run_scenario() -> None:
        async with AjpServer(hang) as server, running(upstream_deployment(server.address)) as app:
            client = await HttpClient(app.addresses["http"]).open()
            answer = await client.post(1, "oddaja", key="k", budget_ms="400")
            assert answer.status == 500 and len(server.received_requests) == 1
            await until(lambda: not app.service.requests)

    asyncio.run(run_scenario())


HEADERS = ajp.encode_packet(
    ajp.FROM_CONTAINER, b"\x04" + ajp.encode_integer(200) + ajp.encode_string(b"OK") + ajp.encode_integer(0)
)
CHUNK = ajp.encode_packet(ajp.FROM_CONTAINER, b"\x03" + ajp.encode_string(b"x" * 4000))


@pytest.mark.parametrize(
    "malformed",
    [
        b"",
        b"noise",
        b"AB\xff\xff",
        b"\x12\x34\x00\x01\x05",
        HEADERS + CHUNK * 9,
        HEADERS + HEADERS,
        HEADERS + CHUNK[:9],
        ajp.encode_packet(ajp.FROM_CONTAINER, b"\x04\x00\xc8\x00\x09O"),
        ajp.CPONG_PACKET * 2,
    ],
)
def test_a_malformed_response_of_a_member_ends_its_connection_and_a_run_that_must_run_once(
    malformed: bytes,
) -> None:
    """Noise, wrong lengths, endless bodies or silence: the run fails, and the next uses a new connection."""
    answers = [malformed, encode_container_response(200, b"good")]

    async def respond(_: ajp.ForwardRequest) -> bytes:
        return answers.pop(0)

    async def run_scenario() -> None:
        async with AjpServer(respond) as server, running(upstream_deployment(server.address)) as app:
            client = await HttpClient(app.addresses["http"]).open()
            assert (await client.post(1, "oddaja", key="k", budget_ms="500")).status == 500
            assert (await client.post(2, "oddaja", key="other")).body == b"good"
            assert len(server.received_requests) == 2 and len(server.writers) == 2

    asyncio.run(run_scenario())
