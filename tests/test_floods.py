"""One client that sends requests at full speed: what it may cost other clients and the process."""

from __future__ import annotations

import asyncio
import socket
import struct

from saltcart.deployment import read_deployment
from tests.fakes import ServiceHarness
from tests.standins import HttpClient, Pool, running, until

TOKEN = "sixteen-characters-of-it"
ADMIN_DEPLOYMENT = read_deployment(
    {"admin": {"listen": "127.0.0.1:0", "token": TOKEN}, "tenant": [{"name": "acme", "share": 0.5}]}
)
ADMIN_REQUEST = b"GET /v1/state HTTP/1.1\r\nHost: h\r\n\r\n"


# Guards against: a flood of refused requests that leaves a timer each until its deadline.
def test_a_request_that_is_rejected_at_once_leaves_no_timer() -> None:
    harness = ServiceHarness()
    harness.service.start_drain(4.0)
    harness.run_until(harness.now + 2.0)  # past the grace: nothing that arrives now may run
    timer_count = len(harness.service.timers.heap)
    for number in range(1, 101):
        harness.submit(number, "read")
    assert all(harness.statuses(number) == ["refused"] for number in range(1, 101))
    assert len(harness.service.timers.heap) == timer_count and not harness.service.requests


# Guards against: responses that pile up for a client of the administration API that reads none of them.
def test_unread_responses_of_the_administration_api_are_bounded() -> None:
    async def run_scenario() -> None:
        async with Pool() as pool, running(ADMIN_DEPLOYMENT, pool=pool.address) as app:
            client = await HttpClient(app.addresses["admin"]).open()
            client.writer.transport.pause_reading()  # type: ignore[attr-defined]
            assert app.administration is not None and app.administration.listener is not None
            listener = app.administration.listener
            await until(lambda: len(listener.connections) == 1)
            (connection,) = listener.connections
            for _ in range(10_000):
                client.writer.write(ADMIN_REQUEST * 100)
                await asyncio.sleep(0)
                if connection in listener.write_blocked:
                    break
            assert connection in listener.write_blocked and connection.transport is not None
            for _ in range(100):
                client.writer.write(ADMIN_REQUEST * 100)
                await asyncio.sleep(0)
            assert connection.transport.get_write_buffer_size() < 1 << 17
            client.drop()

    asyncio.run(run_scenario())


def test_a_burst_of_requests_to_the_administration_api_is_answered_whole() -> None:
    async def run_scenario() -> None:
        async with Pool() as pool, running(ADMIN_DEPLOYMENT, pool=pool.address) as app:
            client = await HttpClient(app.addresses["admin"]).open()
            client.writer.write(ADMIN_REQUEST * 100 + ADMIN_REQUEST[:20])
            for _ in range(100):
                assert (await client.read_response()).status == 401
            client.writer.write(ADMIN_REQUEST[20:])
            assert (await client.read_response()).status == 401
            client.drop()

    asyncio.run(run_scenario())


# Guards against: an exception in a sweep, by which the other connections that are due stay open.
def test_ending_a_connection_that_was_just_reset_raises_nothing() -> None:
    async def run_scenario() -> None:
        async with Pool() as pool, running(pool=pool.address) as app:
            listener = app.listeners[0]
            host, port = app.addresses["http"].split(":")
            client = socket.create_connection((host, int(port)))
            await until(lambda: len(listener.connections) == 1)
            (connection,) = listener.connections
            client.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            client.close()  # resets the connection before the event loop runs again
            connection.half_close()
            await until(lambda: not listener.connections)

    asyncio.run(run_scenario())
