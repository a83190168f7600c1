"""The memory of requests that arrive slowly or in part."""

from __future__ import annotations

import asyncio
import re
from pathlib import Path
from typing import Any

import pytest

from saltcart.lab.faults.programs import Program, call, request
from saltcart.net.receive_memory import ReceiveMemory
from saltcart.wire import ajp, http1
from saltcart.wire.buffer import Buffer
from tests.standins import (
    BOTH_FRONTS,
    CLIENTS,
    AjpClient,
    AjpServer,
    HttpClient,
    Pool,
    encode_container_response,
    make_request_fields,
    raw_config,
    running,
    until,
)

MEMORY_MB = 40
MAX_DESCRIPTORS = 1024
CLIENT_COUNT = 900  # on both fronts together; more than are accepted
HEADER_COUNT, HEADER_BYTES = 50, 140  # of a head of nearly 8 KiB
BODY_BYTES = 2048

# ---- the account -----------------------------------------------------------------------------


class FakeConnection:
    def __init__(self, size: int = 0, is_busy: bool = False) -> None:
        self.size, self.is_busy, self.was_ended = size, is_busy, False

    def held_bytes(self) -> int:
        return self.size

    def is_awaiting_request(self) -> bool:
        return not self.is_busy

    def on_memory_shortage(self) -> None:
        self.was_ended = True


class Account:
    """An account of 100 bytes, with a clock and a log."""

    def __init__(self) -> None:
        self.now, self.logged = 10.0, list[dict[str, Any]]()
        self.memory = ReceiveMemory(100, lambda event, **fields: self.logged.append(fields), lambda: self.now)

    def hold(self, connection: FakeConnection, size: int) -> FakeConnection:
        connection.size = size
        self.memory.update(connection)
        return connection


def test_the_requests_begun_first_are_ended_and_no_more_than_needed() -> None:
    account = Account()
    first, second, third = (account.hold(FakeConnection(), 40) for _ in range(3))
    assert (first.was_ended, second.was_ended, third.was_ended) == (True, False, False)
    assert account.memory.used_bytes == 80
    account.hold(second, 60)
    assert not second.was_ended and account.memory.used_bytes == 100


def test_a_connection_with_an_open_request_is_passed_over() -> None:
    account = Account()
    busy = account.hold(FakeConnection(is_busy=True), 90)
    idle = account.hold(FakeConnection(), 20)
    assert idle.was_ended and not busy.was_ended
    account.hold(busy, 200)
    assert not busy.was_ended  # nothing else can be released


def test_released_memory_can_be_used_again() -> None:
    account = Account()
    first = account.hold(FakeConnection(), 90)
    account.memory.release(first)
    account.memory.release(first)
    second = account.hold(FakeConnection(), 90)
    assert not second.was_ended and account.memory.used_bytes == 90
    account.hold(second, 0)
    assert not account.memory.held and account.memory.used_bytes == 0


def test_ended_requests_are_reported_once_a_second() -> None:
    account = Account()
    for step in range(5):
        account.now = 10.0 + step * 0.4
        account.hold(FakeConnection(), 101)
    assert [fields["ended"] for fields in account.logged] == [1, 4]


def test_an_empty_buffer_keeps_no_more_than_its_idle_limit() -> None:
    buffer = Buffer(2048, limit=16384, idle_limit=2048)
    buffer.write(b"x" * 10_000)
    assert buffer.extra_capacity() > 0
    assert buffer.take(10_000) == b"x" * 10_000 and buffer.extra_capacity() == 0
    buffer.write(b"y" * 10)
    assert buffer.take(10) == b"y" * 10


# ---- connections ------------------------------------------------------------------------------


def header_fields(number: int) -> list[tuple[str, str]]:
    padding = [(f"X-{index}", "v" * HEADER_BYTES) for index in range(HEADER_COUNT)]
    return make_request_fields(number, budget_ms="4000") + padding


def incomplete_http_request(number: int) -> bytes:
    """Return a request of nearly the greatest size, without its last byte."""
    lines = "".join(f"{name}: {value}\r\n" for name, value in header_fields(number))
    head = f"POST /call/read HTTP/1.1\r\nHost: h\r\n{lines}Content-Length: {BODY_BYTES}\r\n\r\n"
    return head.encode() + b"x" * (BODY_BYTES - 1)


def incomplete_ajp_request(number: int) -> bytes:
    """Return the same request over AJP."""
    headers = [(name.encode(), value.encode()) for name, value in header_fields(number)]
    headers.append((b"Content-Length", b"%d" % BODY_BYTES))
    return ajp.encode_forward_request(b"POST", b"/call/read", headers, b"h", 80) + ajp.encode_body_packet(
        b"x" * (BODY_BYTES - 1)
    )


INCOMPLETE_REQUESTS = {"http": incomplete_http_request, "ajp": incomplete_ajp_request}
both_fronts = pytest.mark.parametrize("front", CLIENTS)


async def read_status(client: HttpClient) -> int:
    """Return the status of the response; a gateway that is asked for more of a body sends none here."""
    if not isinstance(client, AjpClient):
        return (await client.read_response()).status
    while isinstance(message := await client.read_message(), ajp.GetBodyChunk):
        pass
    assert isinstance(message, ajp.AjpResponse)
    return message.status


@both_fronts
def test_an_incomplete_request_gets_408_once_all_hold_too_much(front: str) -> None:
    async def run_scenario() -> None:
        async with Pool() as pool, running(BOTH_FRONTS, pool=pool.address, limits={"memory_mb": 1}) as app:
            clients = [await CLIENTS[front](app.addresses[front]).open() for _ in range(40)]
            first, *others, last = clients
            first.writer.write(INCOMPLETE_REQUESTS[front](1))
            await until(lambda: len(app.receive_memory.held) == 1)
            for number, client in enumerate(others, start=2):
                client.writer.write(INCOMPLETE_REQUESTS[front](number))
            assert await read_status(first) == 408 and app.receive_memory.ended_count > 0
            assert app.receive_memory.used_bytes <= app.receive_memory.max_bytes
            last.writer.write(INCOMPLETE_REQUESTS[front](len(clients)))
            last.writer.write(b"x" if front == "http" else ajp.encode_body_packet(b"x"))
            assert await read_status(last) == 200
            for client in clients:
                client.drop()
            await until(lambda: not app.receive_memory.held and app.receive_memory.used_bytes == 0)

    asyncio.run(run_scenario())


def test_an_incomplete_request_is_kept_as_bytes_alone() -> None:
    buffer, parser = Buffer(2048, limit=16384), http1.HttpRequestParser(BODY_BYTES)
    message = incomplete_http_request(1)
    for position in range(0, len(message), 700):
        buffer.write(message[position : position + 700])
        assert parser.next(buffer) is None
    assert len(buffer) == len(message)
    buffer.write(b"x")
    request = parser.next(buffer)
    assert request is not None and request.body == b"x" * BODY_BYTES
    assert request.headers[b"x-49"] == b"v" * HEADER_BYTES and len(buffer) == 0


def test_the_fields_of_an_incomplete_ajp_request_are_not_kept() -> None:
    buffer, parser = Buffer(2048, limit=16384), ajp.AjpRequestParser(BODY_BYTES)
    buffer.write(incomplete_ajp_request(1))
    while isinstance(parser.next(buffer), ajp.GetBodyChunkPacket):
        pass
    assert parser.incomplete_request is not None and parser.incomplete_fields is None
    buffer.write(ajp.encode_body_packet(b"x"))
    request = parser.next(buffer)
    assert isinstance(request, ajp.ForwardRequest) and request.body == b"x" * BODY_BYTES
    assert request.headers[b"x-49"] == b"v" * HEADER_BYTES and parser.held_bytes() == 0


# Guards against: requests behind an open one that fill a buffer of 16 KiB on each connection.
def test_little_is_read_ahead_of_an_open_request_and_all_of_it_is_served() -> None:
    async def run_scenario() -> None:
        async with Pool(finishes_runs=False) as pool, running(pool=pool.address) as app:
            client = await HttpClient(app.addresses["http"]).open()
            for number in range(1, 9):
                client.send(number, body=b"b" * BODY_BYTES)
            await until(lambda: len(pool.spawned) == 1)
            (connection,) = app.listeners[0].connections
            await asyncio.sleep(0.1)  # in which the rest arrives
            assert connection.buffer.extra_capacity() <= 2 * BODY_BYTES
            pool.finishes_runs = True
            pool.finish(pool.spawned[0])
            for _ in range(8):
                assert (await client.read_response()).status == 200
            client.drop()

    asyncio.run(run_scenario())


# ---- the process ------------------------------------------------------------------------------


def peak_memory_mb(program: Program) -> float:
    """Return the highest resident memory of the program's process so far."""
    assert program.process is not None
    status = Path(f"/proc/{program.process.pid}/status").read_text()
    found = re.search(r"VmHWM:\s+(\d+) kB", status)
    assert found is not None
    return int(found[1]) / 1024


async def hold_incomplete_requests(program: Program) -> list[asyncio.StreamWriter]:
    """Open connections on both fronts, two of three over HTTP, and stop in the last byte of a request."""
    writers = list[asyncio.StreamWriter]()
    for number in range(1, CLIENT_COUNT + 1):
        front = "http" if number % 3 else "ajp"
        try:
            _, writer = await asyncio.open_connection(*program.addresses[front].split(":"))
        except OSError:
            continue
        writer.write(INCOMPLETE_REQUESTS[front](number))
        writers.append(writer)
    return writers


# Guards against: a process killed at its memory limit by hundreds of clients that stop half way through.
def test_hundreds_of_incomplete_requests_stay_within_the_memory_limit(tmp_path: Path) -> None:
    async def run_scenario() -> None:
        async def respond(_: ajp.ForwardRequest) -> bytes:
            return encode_container_response(200, b"done")

        async with AjpServer(respond) as upstream:
            limits = {"sockets": MAX_DESCRIPTORS, "memory_mb": MEMORY_MB}
            program = Program(
                "n1",
                tmp_path,
                raw_config(limits=limits),
                {
                    "ajp": {"listen": "127.0.0.1:0"},
                    "upstream": [{"name": "u", "members": [{"host": upstream.address}]}],
                    "tenant": [{"name": "acme", "share": 1.0, "quota": 1000.0}],
                },
            )
            await program.start()
            try:
                for turn in range(3):
                    writers = await hold_incomplete_requests(program)
                    served = await call(
                        program.addresses["http"],
                        request("read", (1 << 20) + turn, b"x", 4.0, 0.9, "acme"),
                        5.0,
                    )
                    assert served.status == 200
                    for writer in writers:
                        writer.transport.abort()
                assert peak_memory_mb(program) < MEMORY_MB
                assert program.events_since_start("memory-shortage")
            finally:
                program.kill()
                await program.wait_until_ended()

    asyncio.run(run_scenario())
