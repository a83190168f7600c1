"""AJP on both sides of the service, against stand-ins on loopback."""

from __future__ import annotations

import asyncio

import pytest

from saltcart.decision.outcome import Outcome
from saltcart.deployment import AjpSettings, Deployment, MemberConf, UpstreamConf
from saltcart.net import ajp as module
from saltcart.net.ajp import AjpMember, AjpUpstream
from saltcart.wire import ajp
from tests.standins import AjpClient, AjpServer, HttpClient, Pool, container_answer, running, until

FRONT = Deployment(ajp=AjpSettings("127.0.0.1:0", "s3cret"))


def upstream(*hosts: str) -> Deployment:
    return Deployment(upstreams=(UpstreamConf("u", tuple(MemberConf(h) for h in hosts)),))


def test_one_path_with_reuse_pings_and_a_body_in_parts() -> None:
    async def play() -> None:
        async with Pool() as pool, running(FRONT, pool=pool.address) as app:
            client = await AjpClient(app.addresses["ajp"], b"s3cret").open()
            body = bytes(range(256)) * 8
            client.send(1, "read", body, first=100)
            answer = await client.answer()
            assert (answer.status, answer.body, answer.keep_alive) == (200, b"done " + body, True)
            assert b"server-hint" in answer.headers
            client.writer.write(ajp.CPING_PACKET)
            assert isinstance(await client.message(), ajp.Pong)
            client.writer.write(ajp.packet(ajp.TO_CONTAINER, bytes((ajp.SHUTDOWN,))))  # is ignored
            assert (await client.ask(2, "oddaja", b"", key="k")).body == b"done "
            assert (await client.ask(3, "nothing")).status == 400
            assert (await client.ask(4, "oddaja")).status == 400  # no key
            stranger = await AjpClient(app.addresses["ajp"], b"wrong").open()
            refused = await stranger.ask(5)
            assert (refused.status, refused.keep_alive) == (403, False)
            assert len(pool.spawned) == 2

    asyncio.run(play())


def test_connections_to_a_member_rest_only_so_long(monkeypatch: pytest.MonkeyPatch) -> None:
    """A member may forget an idle connection, and each holds a descriptor."""
    monkeypatch.setattr(module, "IDLE", 0.05)
    monkeypatch.setattr(module, "SWEEP", 0.02)

    async def act(_: ajp.ForwardRequest) -> bytes:
        return container_answer(200, b"good")

    async def play() -> None:
        async with AjpServer(act) as server, running(upstream(server.address)) as app:
            client = await HttpClient(app.addresses["http"]).open()
            assert app.upstreams is not None
            used = app.upstreams.by_name["u"]
            for n in (1, 2):
                assert (await client.ask(n)).body == b"good"
                await until(lambda: not used.members[0].idle and used.sweeper.handle is None)
                assert len(server.writers) == n  # a new one each time: the one before was closed

    asyncio.run(play())


def test_a_drop_in_mid_body_leaves_nothing_behind() -> None:
    async def play() -> None:
        async with Pool(auto=False) as pool, running(FRONT, pool=pool.address) as app:
            client = await AjpClient(app.addresses["ajp"], b"s3cret").open()
            client.send(1, "oddaja", b"x" * 900, first=300, key="k")
            assert isinstance(await client.message(), ajp.WantBody)
            client.drop()
            await until(lambda: not app.listeners[1].connections)
            assert not app.service.requests and not app.service.keys.records and pool.spawned == []
            # The whole request may come after it, and a drop once it is whole is a caller that has gone.
            client = await AjpClient(app.addresses["ajp"], b"s3cret").open()
            client.send(2, "oddaja", b"x", key="k")
            await until(lambda: len(pool.spawned) == 1)
            client.drop()
            await until(lambda: app.service.counts["acme", "oddaja", "abandoned"] == 1)

    asyncio.run(play())


def test_oddaja_runs_once_across_both_fronts() -> None:
    async def play() -> None:
        async with Pool(auto=False) as pool, running(FRONT, pool=pool.address) as app:
            gateway = await AjpClient(app.addresses["ajp"], b"s3cret").open()
            balancer = await HttpClient(app.addresses["http"]).open()
            gateway.send(1, "oddaja", b"same", key="k")
            await until(lambda: len(pool.spawned) == 1)
            balancer.send(2, "oddaja", b"same", key="k")
            await until(lambda: len(app.service.requests) == 2)
            pool.finish(pool.spawned[0])
            answers = await asyncio.gather(gateway.answer(), balancer.answer())
            assert [a.body for a in answers] == [b"done same"] * 2
            assert (await gateway.ask(3, "oddaja", b"same", key="k")).body == b"done same"
            assert len(pool.spawned) == 1

    asyncio.run(play())


def test_the_drain_is_honoured() -> None:
    async def play() -> None:
        async with Pool(auto=False) as pool, running(FRONT, pool=pool.address) as app:
            early = await AjpClient(app.addresses["ajp"], b"s3cret").open()
            early.send(1)
            await until(lambda: len(pool.spawned) == 1)
            app.begin_drain()
            await asyncio.sleep(0.35)
            late = await AjpClient(app.addresses["ajp"], b"s3cret").open()  # still accepted
            assert (await late.ask(2)).status == 503
            assert (await early.answer()).status in (500, 503)  # answered before the stop, unfinished
            assert pool.spawned == [b"%016x" % 1]

    asyncio.run(play())


@pytest.mark.parametrize(
    ("status", "klass", "expected", "runs"),
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
def test_an_upstreams_answers(status: int | None, klass: str, expected: int, runs: int) -> None:
    async def act(_: ajp.ForwardRequest) -> bytes | None:
        return None if status is None else container_answer(status, b"\x00result")

    async def play() -> None:
        async with AjpServer(act) as server, running(upstream(server.address)) as app:
            client = await HttpClient(app.addresses["http"]).open()
            answer = await client.ask(1, klass, b"body", key="k" if klass == "oddaja" else None)
            assert answer.status == expected and len(server.seen) == runs
            assert answer.body == (b"\x00result" if expected == 200 else b"")
            assert server.seen[0].body == b"body" and server.seen[0].uri == b"/call/" + klass.encode()
            if klass == "oddaja":  # whatever became of it, a further try does not reach the upstream
                assert (await client.ask(2, klass, b"body", key="k")).status == expected
                assert len(server.seen) == runs

    asyncio.run(play())


@pytest.mark.parametrize("klass", ["read", "oddaja"])
def test_proof_that_nothing_ran_leads_to_the_next_member(klass: str) -> None:
    async def refuse(_: ajp.ForwardRequest) -> bytes:
        return container_answer(503)

    async def serve(_: ajp.ForwardRequest) -> bytes:
        return container_answer(200, b"ok")

    async def play() -> None:
        async with AjpServer(refuse) as gone:
            pass  # nobody listens there any more
        async with (
            AjpServer(refuse) as full,
            AjpServer(serve) as good,
            running(upstream(gone.address, full.address, good.address)) as app,
        ):
            client = await HttpClient(app.addresses["http"]).open()
            for n in range(1, 4):
                assert (await client.ask(n, klass, key=f"k{n}" if klass == "oddaja" else None)).body == b"ok"
            assert len(good.seen) == 3 and len(good.writers) == 1  # END_RESPONSE lets it be used again

    asyncio.run(play())


def test_a_run_that_is_stopped_before_its_first_step_ends_too() -> None:
    async def play() -> None:
        ended = list[tuple[bytes, Outcome]]()
        up = AjpUpstream(
            [AjpMember("127.0.0.1:9")],
            lambda ident, how, *_: ended.append((ident, how)),
            lambda *_, **__: None,
        )
        up.spawn(b"a", "read", "acme", b"", False, 1.0)
        up.suspend(b"a")
        await until(lambda: ended == [(b"a", Outcome.CANCELLED)] and not up.tasks)

    asyncio.run(play())


def test_an_upstream_that_is_silent_costs_no_more_than_the_callers_time() -> None:
    async def hang(_: ajp.ForwardRequest) -> bytes | None:
        await asyncio.Event().wait()
        return None

    async def play() -> None:
        async with AjpServer(hang) as server, running(upstream(server.address)) as app:
            client = await HttpClient(app.addresses["http"]).open()
            answer = await client.ask(1, "oddaja", key="k", budget="400")
            assert answer.status == 500 and len(server.seen) == 1
            await until(lambda: not app.service.requests)

    asyncio.run(play())


HEADERS = ajp.packet(ajp.FROM_CONTAINER, b"\x04" + ajp.integer(200) + ajp.text(b"OK") + ajp.integer(0))
CHUNK = ajp.packet(ajp.FROM_CONTAINER, b"\x03" + ajp.text(b"x" * 4000))


@pytest.mark.parametrize(
    "spoilt",
    [
        b"",
        b"noise",
        b"AB\xff\xff",
        b"\x12\x34\x00\x01\x05",
        HEADERS + CHUNK * 9,
        HEADERS + HEADERS,
        HEADERS + CHUNK[:9],
        ajp.packet(ajp.FROM_CONTAINER, b"\x04\x00\xc8\x00\x09O"),
        ajp.CPONG_PACKET * 2,
    ],
)
def test_a_members_spoilt_answer_ends_its_connection_and_what_must_run_once(spoilt: bytes) -> None:
    """Noise, wrong lengths, endless bodies, silence: the run fails, and the next has a new connection."""
    answers = [spoilt, container_answer(200, b"good")]

    async def act(_: ajp.ForwardRequest) -> bytes:
        return answers.pop(0)

    async def play() -> None:
        async with AjpServer(act) as server, running(upstream(server.address)) as app:
            client = await HttpClient(app.addresses["http"]).open()
            assert (await client.ask(1, "oddaja", key="k", budget="500")).status == 500
            assert (await client.ask(2, "oddaja", key="other")).body == b"good"
            assert len(server.seen) == 2 and len(server.writers) == 2

    asyncio.run(play())
