"""Faulty clients and peers on real sockets are rejected or disconnected, and affect no other client."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable

import pytest

from saltcart.net import index
from saltcart.net import pool as pool_link
from saltcart.net.listener import Listener
from saltcart.wire import ajp
from tests.standins import BOTH_FRONTS, HttpClient, Pool, Server, encode_id, running, until


def pool_writer(pool: Pool) -> asyncio.StreamWriter:
    assert pool.writer is not None
    return pool.writer


# ---- clients ----------------------------------------------------------------------------------


REQUEST_LINE = b"POST /call/read HTTP/1.1\r\n"
FORWARD_REQUEST = ajp.encode_forward_request(b"POST", b"/call/read", [(b"Content-Length", b"5")], b"h", 80)


@pytest.mark.parametrize(
    ("front", "data", "answer"),
    [
        ("http", b"", b""),
        ("http", REQUEST_LINE, b"HTTP/1.1 408"),
        ("http", b"\r\n", b""),
        ("http", REQUEST_LINE + b"Content-Length: 5\r\n\r\nab", b"HTTP/1.1 408"),
        ("http", REQUEST_LINE + b"Content-Length: 60000000\r\n\r\n" + b"x" * 200_000, b"HTTP/1.1 413"),
        ("http", REQUEST_LINE + b"A: " + b"x" * 200_000, b"HTTP/1.1 431"),
        ("http", b"GET /ping HTTP/1.1\r\n\r\n" + REQUEST_LINE, b"HTTP/1.1 200"),
        ("ajp", b"", b""),
        ("ajp", FORWARD_REQUEST[:9], b"AB"),
        ("ajp", FORWARD_REQUEST, b"AB"),
        ("ajp", FORWARD_REQUEST + ajp.encode_body_packet(b"ab"), b"AB"),
        ("ajp", b"\x12\x34\xff\xff", b"AB"),
    ],
)
def test_an_incomplete_or_invalid_request_is_rejected_or_closed_in_time(
    front: str, data: bytes, answer: bytes, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(Listener, "REQUEST_TIMEOUT_SECONDS", 0.4)

    async def run_scenario() -> None:
        async with Pool() as pool, running(BOTH_FRONTS, pool=pool.address) as app:
            host, port = app.addresses[front].split(":")
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write(data)
            try:
                received = await reader.read(12)
            except ConnectionResetError:  # the client was still sending after its answer
                received = answer
            assert received[: len(answer)] == answer
            assert answer or not received
            await until(lambda: not any(listener.connections for listener in app.listeners))
            assert not pool.spawned
            writer.transport.abort()

    asyncio.run(run_scenario())


def test_slowly_arriving_bytes_do_not_extend_the_request_timeout(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(Listener, "REQUEST_TIMEOUT_SECONDS", 0.3)

    async def run_scenario() -> None:
        async with Pool() as pool, running(pool=pool.address) as app:
            client = await HttpClient(app.addresses["http"]).open()
            answer = asyncio.create_task(client.read_response())
            for _ in range(1000):
                client.writer.write(b"A")
                await asyncio.sleep(0.02)
                if answer.done():
                    break
            assert (await answer).status == 408

    asyncio.run(run_scenario())


def test_silent_connections_are_evicted_for_new_ones() -> None:
    """However many silent clients connect, descriptors remain for balancers, the pool and the index."""

    async def run_scenario() -> None:
        async with Pool() as pool, running(pool=pool.address, limits={"sockets": 64}) as app:
            listener = app.listeners[0]
            earlier_client = await HttpClient(app.addresses["http"]).open()
            assert (await earlier_client.post(1)).status == 200
            silent_clients = await asyncio.gather(
                *(  # at the same time: the close of an evicted one is reported some iterations later
                    HttpClient(app.addresses["http"]).open() for _ in range(3 * listener.max_connections)
                )
            )
            await until(
                lambda: not listener.idle and len(listener.awaiting_request) == listener.max_connections
            )
            assert len(listener.connections) <= listener.max_connections < 64 - 24
            later_client = await HttpClient(app.addresses["http"]).open()
            assert (await later_client.post(2)).status == 200
            for client in silent_clients:
                client.drop()

    asyncio.run(run_scenario())


def test_answers_to_a_client_that_does_not_read_are_bounded() -> None:
    async def run_scenario() -> None:
        async with Pool() as pool, running(pool=pool.address) as app:
            client = await HttpClient(app.addresses["http"]).open()
            client.writer.transport.pause_reading()  # type: ignore[attr-defined]
            pings = b"GET /ping HTTP/1.1\r\n\r\n" * 500
            await until(lambda: len(app.listeners[0].connections) == 1)
            connection = next(iter(app.listeners[0].connections))
            for _ in range(10_000):
                client.writer.write(pings)
                await asyncio.sleep(0)
                if connection in app.listeners[0].write_blocked:
                    break
            assert connection.transport is not None
            assert (
                connection in app.listeners[0].write_blocked
                and connection.transport.get_write_buffer_size() < 1 << 17
            )
            client.drop()

    asyncio.run(run_scenario())


def test_a_spawn_that_the_pool_does_not_know_fails_and_releases_the_key() -> None:
    async def run_scenario() -> None:
        async with Pool(finishes_runs=False) as pool, running(pool=pool.address) as app:
            client = await HttpClient(app.addresses["http"]).open()
            client.send(1, "oddaja", key="k", body=b"forged")
            await until(lambda: pool.spawned == [encode_id(1)])
            pool_writer(pool).write(b"unknown spawn " + encode_id(1) + b"\r\n")
            assert (await client.read_response()).status == 500
            client.send(2, "oddaja", key="k")
            await until(lambda: pool.spawned == [encode_id(1), encode_id(2)])
            pool.finish(encode_id(2))
            assert (await client.read_response()).status == 200

    asyncio.run(run_scenario())


# ---- the index --------------------------------------------------------------------------------


ReplyWriter = Callable[[asyncio.StreamWriter, bytes], Awaitable[None]]


def reply_with(data: bytes) -> ReplyWriter:
    async def write_reply(writer: asyncio.StreamWriter, request_id: bytes) -> None:
        writer.write(data.replace(b"ID", request_id))

    return write_reply


async def reset_connection(writer: asyncio.StreamWriter, _: bytes) -> None:
    writer.transport.abort()


async def write_endless_reply(writer: asyncio.StreamWriter, request_id: bytes) -> None:
    writer.write(request_id + b" HIT 3000000000\r\n")
    for _ in range(100):
        writer.write(b"x" * 65536)
        await writer.drain()


MALFORMED_REPLIES = [
    reply_with(b"\x00\xff noise\r\n"),
    reply_with(b"x" * 100_000),
    reply_with(b"ID HIT 3\r\nlonger\r\n"),
    reply_with(b"ID HIT 9\r\nshort\r\n"),
    reply_with(b"ID HIT -1\r\n"),
    reply_with(b"ID WHAT\r\n"),
    reset_connection,
    write_endless_reply,
]


async def request_with_call(
    write_first_reply: ReplyWriter, class_name: str, pool: Pool, calls: list[bytes]
) -> int:
    """Return the status of a request whose first call gets the given reply, and the second a good one.

    The request ids of the calls that arrive are appended to ``calls``.
    """
    call_writers = list[object]()

    async def proxy(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while line := await reader.readline():
            words = line.split()
            if words[0] != b"GET":
                continue
            await reader.readexactly(int(words[3]) + 2)
            calls.append(words[1])
            call_writers.append(writer)
            if len(calls) == 1:
                await write_first_reply(writer, words[1])
            else:
                assert writer is not call_writers[0]  # a connection with a malformed reply is not reused
                writer.write(words[1] + b" HIT 4\r\ngood\r\n")

    async with Server(proxy) as proxy_server, running(pool=pool.address, index=proxy_server.address) as app:
        client = await HttpClient(app.addresses["http"]).open()
        client.send(1, class_name, key="k" if class_name == "oddaja" else None)
        await until(lambda: pool.spawned == [encode_id(1)])
        pool.send_notice(b"blocked " + encode_id(1), b"?")

        async def finish_run() -> None:
            await until(
                lambda: (
                    pool.bodies[encode_id(1)] == b"good"
                    or any(line.startswith(b"pass") for line in pool.received_lines)
                )
            )
            pool.finish(encode_id(1))

        finishing = asyncio.create_task(finish_run())
        answer = await client.read_response()
        finishing.cancel()
        return answer.status


@pytest.mark.parametrize("write_malformed_reply", MALFORMED_REPLIES)
@pytest.mark.parametrize("class_name", ["read", "oddaja"])
def test_a_malformed_reply_ends_the_connection_and_the_call_may_have_run(
    write_malformed_reply: ReplyWriter, class_name: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    """An idempotent request repeats the call or continues without it; one that must run once fails."""
    monkeypatch.setattr(index, "STALLED_REPLY_TIMEOUT_SECONDS", 0.05)

    async def run_scenario() -> None:
        async with Pool(finishes_runs=False) as pool:
            calls = list[bytes]()
            status = await request_with_call(write_malformed_reply, class_name, pool, calls)
            assert status == (200 if class_name == "read" else 500)
            assert class_name == "read" or calls == [encode_id(1)]

    asyncio.run(run_scenario())


@pytest.mark.parametrize(
    "replies",
    [
        b"ID HIT 4\r\ngood\r\nID HIT 4\r\ngood\r\n",
        b"0123456789abcdef HIT 2\r\nno\r\nID HIT 4\r\ngood\r\n",
        b"nobody SHED\r\nID HIT 4\r\ngood\r\nnobody SLOW\r\n",
    ],
)
def test_a_good_reply_counts_among_duplicate_and_unknown_ones(replies: bytes) -> None:
    async def run_scenario() -> None:
        async with Pool(finishes_runs=False) as pool:
            calls = list[bytes]()
            assert await request_with_call(reply_with(replies), "oddaja", pool, calls) == 200
            assert len(calls) == 1 and pool.bodies[encode_id(1)] == b"good"

    asyncio.run(run_scenario())


def test_connections_for_calls_are_bounded_and_carry_one_call_each() -> None:
    """A malformed reply fails no other call, and calls beyond the bound wait for a descriptor."""
    call_writers = dict[bytes, asyncio.StreamWriter]()
    finished_calls = list[tuple[bytes, str]]()

    class Events:
        def call_finished(self, request_id: bytes, outcome: object, reply: bytes) -> None:
            finished_calls.append((request_id, outcome.name))  # type: ignore[attr-defined]

    async def proxy(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while line := await reader.readline():
            if line.startswith(b"GET"):
                call_writers[line.split()[1]] = writer
                await reader.readline()

    async def run_scenario() -> None:
        async with Server(proxy) as proxy_server:
            client = index.IndexClient(
                proxy_server.address, Events(), lambda *_, **__: None, max_connections=2
            )
            for request_id in (b"a", b"b", b"c", b"d"):
                client.call(request_id, 9.0, b"?", request_id == b"d")
            await until(lambda: call_writers.keys() == {b"a", b"b"})
            call_writers[b"a"].write(b"noise\r\n")
            await until(lambda: b"c" in call_writers)
            assert finished_calls == [(b"a", "BROKEN_OFF")]
            call_writers[b"b"].write(b"b SHED\r\n")
            await until(lambda: b"d" in call_writers)
            assert finished_calls[1:] == [(b"b", "REJECTED")]
            # A call that must run once reuses no idle connection.
            assert call_writers[b"d"] is not call_writers[b"b"]
            client.cancel_call(b"c")
            client.change_address("127.0.0.1:1")
            call_writers[b"d"].write(b"d HIT 1\r\n!\r\n")  # a call in progress ends on its connection
            await until(lambda: finished_calls[2:] == [(b"d", "SUCCEEDED")] and not client.connections)
            client.call(b"e", 9.0, b"?", True)
            await until(lambda: finished_calls[3:] == [(b"e", "UNREACHABLE")] and not client.connect_tasks)
            client.close()

    asyncio.run(run_scenario())


@pytest.mark.parametrize("error", [ConnectionResetError, ConnectionRefusedError, TimeoutError])
def test_a_failure_to_connect_proves_that_the_call_never_ran(
    error: type[OSError], monkeypatch: pytest.MonkeyPatch
) -> None:
    """No byte of the call was sent, however connecting failed: even a call that must run once is repeated."""
    failures = [error] * 2

    async def run_scenario() -> None:
        loop = asyncio.get_running_loop()
        create_connection = loop.create_connection

        async def fail_first_connections(
            make_protocol: Callable[[], asyncio.Protocol], host: str, port: int
        ) -> object:
            if failures and isinstance(make_protocol(), index.IndexConnection):
                raise failures.pop()("the proxy is unavailable")
            return await create_connection(make_protocol, host, port)

        async with Pool(finishes_runs=False) as pool:
            monkeypatch.setattr(loop, "create_connection", fail_first_connections)
            calls = list[bytes]()
            assert await request_with_call(reply_with(b"ID HIT 4\r\ngood\r\n"), "oddaja", pool, calls) == 200
            assert calls == [encode_id(1)] and not failures

    asyncio.run(run_scenario())


def test_a_connection_with_part_of_a_further_reply_is_not_reused() -> None:
    call_writers = dict[bytes, asyncio.StreamWriter]()
    finished_calls = list[tuple[bytes, str]]()

    class Events:
        def call_finished(self, request_id: bytes, outcome: object, reply: bytes) -> None:
            finished_calls.append((request_id, outcome.name))  # type: ignore[attr-defined]

    async def proxy(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while line := await reader.readline():
            if line.startswith(b"GET"):
                call_writers[line.split()[1]] = writer
                await reader.readline()

    async def run_scenario() -> None:
        async with Server(proxy) as proxy_server:
            client = index.IndexClient(proxy_server.address, Events(), lambda *_, **__: None)
            client.call(b"a", 9.0, b"?", False)
            await until(lambda: b"a" in call_writers)
            call_writers[b"a"].write(b"a HIT 1\r\n!\r\nhalf a re")
            await until(lambda: finished_calls == [(b"a", "SUCCEEDED")])
            client.call(b"b", 9.0, b"?", False)
            await until(lambda: b"b" in call_writers)
            assert call_writers[b"b"] is not call_writers[b"a"]
            client.close()

    asyncio.run(run_scenario())


# ---- the pool ---------------------------------------------------------------------------------


@pytest.mark.parametrize("class_name", ["read", "oddaja"])
def test_a_reply_sent_before_the_link_broke_is_not_sent_again(class_name: str) -> None:
    # Guards against a run that gets the reply to its first call as that to its second.
    async def answer_calls(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while line := await reader.readline():
            words = line.split()
            call = (await reader.readexactly(int(words[3]) + 2))[:-2]
            writer.write(b"%b HIT %d\r\n%b\r\n" % (words[1], len(call), call))

    async def run_scenario() -> None:
        async with (
            Server(answer_calls) as proxy,
            Pool(finishes_runs=False) as pool,
            running(pool=pool.address, index=proxy.address) as app,
        ):
            assert app.pool is not None
            session = app.pool.session
            request_id = encode_id(1)

            def supplied_count() -> int:
                return sum(line.startswith(b"supply " + request_id) for line in pool.received_lines)

            client = await HttpClient(app.addresses["http"]).open()
            client.send(1, class_name, key="k" if class_name == "oddaja" else None)
            await until(lambda: pool.spawned == [request_id] and not session.unconfirmed)
            pool.ignores_polls = True
            pool.send_notice(b"blocked " + request_id, b"call 1")
            await until(lambda: pool.bodies[request_id] == b"call 1")
            pool.ignores_polls = False
            pool.abort_connections()
            await until(lambda: b"bind 1" in pool.received_lines and session.is_ready)
            await until(lambda: not session.unconfirmed)
            assert supplied_count() == 1
            # A run that can continue without its call does so by the number of that call's notice.
            assert (b"pass %b 1" % request_id in pool.received_lines) is (class_name == "read")
            pool.send_notice(b"blocked " + request_id, b"call 2")
            await until(lambda: pool.bodies[request_id] == b"call 2")
            assert supplied_count() == 2
            pool.finish(request_id)
            assert (await client.read_response()).body == b"done call 2"

    asyncio.run(run_scenario())


@pytest.mark.parametrize("is_confirmed", [True, False])
def test_a_change_of_address_waits_until_runs_are_confirmed(
    is_confirmed: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    """If a link is closed before its poll is answered, a spawn that cannot be repeated fails."""
    monkeypatch.setattr(pool_link, "UNCERTAIN_COMMANDS_TIMEOUT_SECONDS", 10.0 if is_confirmed else 0.1)

    async def run_scenario() -> None:
        async with (
            Pool(finishes_runs=False) as old_pool,
            Pool(finishes_runs=False) as new_pool,
            running(pool=old_pool.address) as app,
        ):
            client = await HttpClient(app.addresses["http"]).open()
            assert app.pool is not None
            old_pool.ignores_polls = True
            client.send(1, "oddaja", key="k")
            await until(lambda: old_pool.spawned == [encode_id(1)])
            poll_number = app.pool.session.last_poll
            app.pool.change_address(new_pool.address)
            later_client = await HttpClient(app.addresses["http"]).open()
            later_client.send(2)  # waits for the new link
            if is_confirmed:
                pool_writer(old_pool).write(b"polled %d 0.5 1\r\n" % poll_number)
            await until(lambda: new_pool.spawned == [encode_id(2)])
            assert old_pool.spawned == [encode_id(1)]
            if is_confirmed:
                new_pool.bodies.update(old_pool.bodies)
                new_pool.finish(encode_id(1))
            assert (await client.read_response()).status == (200 if is_confirmed else 500)

    asyncio.run(run_scenario())


def test_a_link_lost_within_a_notice_loses_no_result() -> None:
    """Notices arrive in pieces, twice with one number, between remarks, or cut off in the middle."""

    async def run_scenario() -> None:
        async with Pool(finishes_runs=False) as pool, running(pool=pool.address) as app:
            client = await HttpClient(app.addresses["http"]).open()
            client.send(1)
            assert app.pool is not None
            session = app.pool.session
            await until(lambda: pool.spawned == [encode_id(1)] and not session.unconfirmed)
            pool.ignores_polls = True
            pool_writer(pool).write(
                b"chatter 1 a remark under a number to come\r\nfinished 1 " + encode_id(1)
            )
            await asyncio.sleep(0.02)
            pool_writer(pool).write(b" PASS 20 4\r\nha")
            await asyncio.sleep(0.02)
            pool.ignores_polls = False
            pool.abort_connections()
            await until(lambda: pool.received_lines.count(b"bind 0") == 2 and session.is_ready)
            pool.ignores_polls = True
            writer = pool_writer(pool)
            for byte in b"finished 1 " + encode_id(1) + b" PASS 20 4\r\nhalf\r\n":
                writer.write(bytes((byte,)))
                await asyncio.sleep(0)
            assert (await client.read_response()).body == b"half"
            writer.write(b"finished 1 " + encode_id(1) + b" PASS 20 5\r\nagain\r\n")
            client.send(2)
            await until(lambda: pool.spawned[1:] == [encode_id(2)])
            pool.last_notice_number, pool.ignores_polls = 1, False
            pool.finish(encode_id(2))
            assert (await client.read_response()).body == b"done x"

    asyncio.run(run_scenario())
