"""Bad clients and bad peers on real sockets: each is refused or left, and costs nobody else an answer."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable

import pytest

from saltcart.net import index
from saltcart.net import pool as pool_link
from saltcart.net.listener import Listener
from saltcart.wire import ajp
from tests.standins import BOTH_FRONTS, HttpClient, Pool, Server, ident, running, until


def link(pool: Pool) -> asyncio.StreamWriter:
    assert pool.writer is not None
    return pool.writer


# ---- clients ----------------------------------------------------------------------------------


HEAD = b"POST /call/read HTTP/1.1\r\n"
FORWARD = ajp.forward_request(b"POST", b"/call/read", [(b"Content-Length", b"5")], b"h", 80)


@pytest.mark.parametrize(
    ("front", "data", "answer"),
    [
        ("http", b"", b""),
        ("http", HEAD, b"HTTP/1.1 408"),
        ("http", b"\r\n", b""),
        ("http", HEAD + b"Content-Length: 5\r\n\r\nab", b"HTTP/1.1 408"),
        ("http", HEAD + b"Content-Length: 60000000\r\n\r\n" + b"x" * 200_000, b"HTTP/1.1 413"),
        ("http", HEAD + b"A: " + b"x" * 200_000, b"HTTP/1.1 431"),
        ("http", b"GET /ping HTTP/1.1\r\n\r\n" + HEAD, b"HTTP/1.1 200"),
        ("ajp", b"", b""),
        ("ajp", FORWARD[:9], b"AB"),
        ("ajp", FORWARD, b"AB"),
        ("ajp", FORWARD + ajp.body_packet(b"ab"), b"AB"),
        ("ajp", b"\x12\x34\xff\xff", b"AB"),
    ],
)
def test_what_never_becomes_a_request_is_refused_or_closed_in_time(
    front: str, data: bytes, answer: bytes, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(Listener, "REQUEST_TIMEOUT_SECONDS", 0.4)

    async def play() -> None:
        async with Pool() as pool, running(BOTH_FRONTS, pool=pool.address) as app:
            host, port = app.addresses[front].split(":")
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write(data)
            try:
                got = await reader.read(12)
            except ConnectionResetError:  # it sent on after its answer
                got = answer
            assert got[: len(answer)] == answer
            assert answer or not got
            await until(lambda: not any(x.connections for x in app.listeners))
            assert not pool.spawned
            writer.transport.abort()

    asyncio.run(play())


def test_bytes_that_drip_in_do_not_renew_the_time_to_read(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(Listener, "REQUEST_TIMEOUT_SECONDS", 0.3)

    async def play() -> None:
        async with Pool() as pool, running(pool=pool.address) as app:
            client = await HttpClient(app.addresses["http"]).open()
            answer = asyncio.create_task(client.answer())
            for _ in range(1000):
                client.writer.write(b"A")
                await asyncio.sleep(0.02)
                if answer.done():
                    break
            assert (await answer).status == 408

    asyncio.run(play())


def test_silent_connections_make_way_for_requests() -> None:
    """Descriptors are kept for balancers, the pool and the index, however many connect and say nothing."""

    async def play() -> None:
        async with Pool() as pool, running(pool=pool.address, limits={"sockets": 64}) as app:
            listener = app.listeners[0]
            good = await HttpClient(app.addresses["http"]).open()
            assert (await good.ask(1)).status == 200
            crowd = await asyncio.gather(
                *(  # at once: those that make way are told of some turns later
                    HttpClient(app.addresses["http"]).open() for _ in range(3 * listener.max_connections)
                )
            )
            await until(
                lambda: not listener.idle and len(listener.awaiting_request) == listener.max_connections
            )
            assert len(listener.connections) <= listener.max_connections < 64 - 24
            late = await HttpClient(app.addresses["http"]).open()
            assert (await late.ask(2)).status == 200
            for client in crowd:
                client.drop()

    asyncio.run(play())


def test_a_client_that_reads_no_answers_is_not_written_to_for_ever() -> None:
    async def play() -> None:
        async with Pool() as pool, running(pool=pool.address) as app:
            client = await HttpClient(app.addresses["http"]).open()
            client.writer.transport.pause_reading()  # type: ignore[attr-defined]
            ping = b"GET /ping HTTP/1.1\r\n\r\n" * 500
            await until(lambda: len(app.listeners[0].connections) == 1)
            served = next(iter(app.listeners[0].connections))
            for _ in range(2000):
                client.writer.write(ping)
                await asyncio.sleep(0)
                if served in app.listeners[0].write_blocked:
                    break
            assert served.transport is not None
            assert (
                served in app.listeners[0].write_blocked
                and served.transport.get_write_buffer_size() < 1 << 17
            )
            client.drop()

    asyncio.run(play())


def test_an_id_that_the_pool_does_not_know_fails_and_leaves_the_key_free() -> None:
    async def play() -> None:
        async with Pool(auto=False) as pool, running(pool=pool.address) as app:
            client = await HttpClient(app.addresses["http"]).open()
            client.send(1, "oddaja", key="k", body=b"forged")
            await until(lambda: pool.spawned == [ident(1)])
            link(pool).write(b"unknown spawn " + ident(1) + b"\r\n")
            assert (await client.answer()).status == 500
            client.send(2, "oddaja", key="k")
            await until(lambda: pool.spawned == [ident(1), ident(2)])
            pool.finish(ident(2))
            assert (await client.answer()).status == 200

    asyncio.run(play())


# ---- the index --------------------------------------------------------------------------------


Spoil = Callable[[asyncio.StreamWriter, bytes], Awaitable[None]]


def writes(data: bytes) -> Spoil:
    async def act(writer: asyncio.StreamWriter, ident: bytes) -> None:
        writer.write(data.replace(b"ID", ident))

    return act


async def reset(writer: asyncio.StreamWriter, _: bytes) -> None:
    writer.transport.abort()


async def endless(writer: asyncio.StreamWriter, ident: bytes) -> None:
    writer.write(ident + b" HIT 3000000000\r\n")
    for _ in range(100):
        writer.write(b"x" * 65536)
        await writer.drain()


SPOILT = [
    writes(b"\x00\xff noise\r\n"),
    writes(b"x" * 100_000),
    writes(b"ID HIT 3\r\nlonger\r\n"),
    writes(b"ID HIT 9\r\nshort\r\n"),
    writes(b"ID HIT -1\r\n"),
    writes(b"ID WHAT\r\n"),
    reset,
    endless,
]


async def play_call(spoil: Spoil, klass: str, pool: Pool, calls: list[bytes]) -> int:
    """Status of a request whose first call is answered by ``spoil`` and its second well."""
    connections = list[object]()

    async def proxy(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while line := await reader.readline():
            words = line.split()
            if words[0] != b"GET":
                continue
            await reader.readexactly(int(words[3]) + 2)
            calls.append(words[1])
            connections.append(writer)
            if len(calls) == 1:
                await spoil(writer, words[1])
            else:
                assert writer is not connections[0]  # a connection with a spoilt reply is of no further use
                writer.write(words[1] + b" HIT 4\r\ngood\r\n")

    async with Server(proxy) as proxied, running(pool=pool.address, index=proxied.address) as app:
        client = await HttpClient(app.addresses["http"]).open()
        client.send(1, klass, key="k" if klass == "oddaja" else None)
        await until(lambda: pool.spawned == [ident(1)])
        pool.notice(b"blocked " + ident(1), b"?")

        async def finish() -> None:
            await until(
                lambda: pool.bodies[ident(1)] == b"good" or any(t.startswith(b"pass") for t in pool.told)
            )
            pool.finish(ident(1))

        finishing = asyncio.create_task(finish())
        answer = await client.answer()
        finishing.cancel()
        return answer.status


@pytest.mark.parametrize("spoil", SPOILT)
@pytest.mark.parametrize("klass", ["read", "oddaja"])
def test_a_spoilt_reply_ends_the_connection_and_the_call_has_run(
    spoil: Spoil, klass: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    """What is safe to repeat is called again or goes on without; what must run once is not."""
    monkeypatch.setattr(index, "STALLED_REPLY_TIMEOUT_SECONDS", 0.05)

    async def play() -> None:
        async with Pool(auto=False) as pool:
            calls = list[bytes]()
            status = await play_call(spoil, klass, pool, calls)
            assert status == (200 if klass == "read" else 500)
            assert klass == "read" or calls == [ident(1)]

    asyncio.run(play())


@pytest.mark.parametrize(
    "good",
    [
        b"ID HIT 4\r\ngood\r\nID HIT 4\r\ngood\r\n",
        b"0123456789abcdef HIT 2\r\nno\r\nID HIT 4\r\ngood\r\n",
        b"nobody SHED\r\nID HIT 4\r\ngood\r\nnobody SLOW\r\n",
    ],
)
def test_a_good_reply_counts_whatever_stands_beside_it(good: bytes) -> None:
    async def play() -> None:
        async with Pool(auto=False) as pool:
            calls = list[bytes]()
            assert await play_call(writes(good), "oddaja", pool, calls) == 200
            assert len(calls) == 1 and pool.bodies[ident(1)] == b"good"

    asyncio.run(play())


def test_calls_are_bounded_and_each_has_its_own_connection() -> None:
    """A spoilt reply takes no other call with it; beyond the bound calls wait for a descriptor."""
    links = dict[bytes, asyncio.StreamWriter]()
    ended = list[tuple[bytes, str]]()

    class Events:
        def call_finished(self, ident: bytes, outcome: object, reply: bytes) -> None:
            ended.append((ident, outcome.name))  # type: ignore[attr-defined]

    async def proxy(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while line := await reader.readline():
            if line.startswith(b"GET"):
                links[line.split()[1]] = writer
                await reader.readline()

    async def play() -> None:
        async with Server(proxy) as proxied:
            client = index.IndexClient(proxied.address, Events(), lambda *_, **__: None, max_connections=2)
            for name in (b"a", b"b", b"c", b"d"):
                client.call(name, 9.0, b"?", name == b"d")
            await until(lambda: links.keys() == {b"a", b"b"})
            links[b"a"].write(b"noise\r\n")
            await until(lambda: b"c" in links)
            assert ended == [(b"a", "BROKEN_OFF")]
            links[b"b"].write(b"b SHED\r\n")
            await until(lambda: b"d" in links)
            assert ended[1:] == [(b"b", "REJECTED")]
            assert links[b"d"] is not links[b"b"]  # what must run once takes no connection that was idle
            client.cancel_call(b"c")
            client.change_address("127.0.0.1:1")
            links[b"d"].write(b"d HIT 1\r\n!\r\n")  # a call under way ends where it was made
            await until(lambda: ended[2:] == [(b"d", "SUCCEEDED")] and not client.connections)
            client.call(b"e", 9.0, b"?", True)
            await until(lambda: ended[3:] == [(b"e", "UNREACHABLE")] and not client.connect_tasks)
            client.close()

    asyncio.run(play())


@pytest.mark.parametrize("error", [ConnectionResetError, ConnectionRefusedError, TimeoutError])
def test_a_connection_that_was_never_made_proves_that_the_call_never_ran(
    error: type[OSError], monkeypatch: pytest.MonkeyPatch
) -> None:
    """Nothing of the call was written, however connecting failed: even what must run once may go again."""
    failures = [error] * 2

    async def play() -> None:
        loop = asyncio.get_running_loop()
        connect = loop.create_connection

        async def failing(make: Callable[[], asyncio.Protocol], host: str, port: int) -> object:
            if failures and isinstance(make(), index.IndexConnection):
                raise failures.pop()("the proxy is not to be had")
            return await connect(make, host, port)

        async with Pool(auto=False) as pool:
            monkeypatch.setattr(loop, "create_connection", failing)
            calls = list[bytes]()
            assert await play_call(writes(b"ID HIT 4\r\ngood\r\n"), "oddaja", pool, calls) == 200
            assert calls == [ident(1)] and not failures

    asyncio.run(play())


def test_a_connection_with_half_a_reply_left_over_carries_no_further_call() -> None:
    links = dict[bytes, asyncio.StreamWriter]()
    ended = list[tuple[bytes, str]]()

    class Events:
        def call_finished(self, ident: bytes, outcome: object, reply: bytes) -> None:
            ended.append((ident, outcome.name))  # type: ignore[attr-defined]

    async def proxy(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while line := await reader.readline():
            if line.startswith(b"GET"):
                links[line.split()[1]] = writer
                await reader.readline()

    async def play() -> None:
        async with Server(proxy) as proxied:
            client = index.IndexClient(proxied.address, Events(), lambda *_, **__: None)
            client.call(b"a", 9.0, b"?", False)
            await until(lambda: b"a" in links)
            links[b"a"].write(b"a HIT 1\r\n!\r\nhalf a re")
            await until(lambda: ended == [(b"a", "SUCCEEDED")])
            client.call(b"b", 9.0, b"?", False)
            await until(lambda: b"b" in links)
            assert links[b"b"] is not links[b"a"]
            client.close()

    asyncio.run(play())


# ---- the pool ---------------------------------------------------------------------------------


@pytest.mark.parametrize("shown", [True, False])
def test_a_move_waits_until_no_run_is_in_doubt(shown: bool, monkeypatch: pytest.MonkeyPatch) -> None:
    """A link left before its poll was answered leaves a spawn that can't be repeated: it would fail."""
    monkeypatch.setattr(pool_link, "UNCERTAIN_RUNS_TIMEOUT_SECONDS", 10.0 if shown else 0.1)

    async def play() -> None:
        async with Pool(auto=False) as old, Pool(auto=False) as new, running(pool=old.address) as app:
            client = await HttpClient(app.addresses["http"]).open()
            assert app.pool is not None
            old.quiet = True
            client.send(1, "oddaja", key="k")
            await until(lambda: old.spawned == [ident(1)])
            mark = app.pool.session.mark
            app.pool.change_address(new.address)
            late = await HttpClient(app.addresses["http"]).open()
            late.send(2)  # waits for the new link
            if shown:
                link(old).write(b"polled %d 0.5 1\r\n" % mark)
            await until(lambda: new.spawned == [ident(2)])
            assert old.spawned == [ident(1)]
            if shown:
                new.bodies.update(old.bodies)
                new.finish(ident(1))
            assert (await client.answer()).status == (200 if shown else 500)

    asyncio.run(play())


def test_a_link_that_breaks_in_a_notice_loses_nothing() -> None:
    """Notices in pieces, twice under one number, with remarks between them, and cut in the middle."""

    async def play() -> None:
        async with Pool(auto=False) as pool, running(pool=pool.address) as app:
            client = await HttpClient(app.addresses["http"]).open()
            client.send(1)
            assert app.pool is not None
            session = app.pool.session
            await until(lambda: pool.spawned == [ident(1)] and not session.pending)
            pool.quiet = True
            link(pool).write(b"chatter 1 a remark under a number to come\r\nfinished 1 " + ident(1))
            await asyncio.sleep(0.02)
            link(pool).write(b" PASS 20 4\r\nha")
            await asyncio.sleep(0.02)
            pool.quiet = False
            pool.cut()
            await until(lambda: pool.told.count(b"bind 0") == 2 and session.up)
            pool.quiet = True
            writer = link(pool)
            for byte in b"finished 1 " + ident(1) + b" PASS 20 4\r\nhalf\r\n":
                writer.write(bytes((byte,)))
                await asyncio.sleep(0)
            assert (await client.answer()).body == b"half"
            writer.write(b"finished 1 " + ident(1) + b" PASS 20 5\r\nagain\r\n")
            client.send(2)
            await until(lambda: pool.spawned[1:] == [ident(2)])
            pool.number, pool.quiet = 1, False
            pool.finish(ident(2))
            assert (await client.answer()).body == b"done x"

    asyncio.run(play())
