"""Clients that leave: their unread requests do not run."""

from __future__ import annotations

import asyncio
import socket
import struct

import pytest

from tests.standins import BOTH_FRONTS, CLIENTS, Pool, encode_id, running, until

REQUEST_COUNT = 5
RESET_ON_CLOSE = struct.pack("ii", 1, 0)
both_fronts = pytest.mark.parametrize("front", CLIENTS)


# ---- requests that a client has left behind ---------------------------------------------------


# Guards against: runs, also of requests with effects, for which nobody waits any more.
@both_fronts
@pytest.mark.parametrize("ending", ["closes", "resets"])
def test_requests_that_are_unread_when_their_client_leaves_do_not_run(front: str, ending: str) -> None:
    async def run_scenario() -> None:
        async with Pool(finishes_runs=False) as pool, running(BOTH_FRONTS, pool=pool.address) as app:
            client = await CLIENTS[front](app.addresses[front]).open()
            for number in range(1, REQUEST_COUNT + 1):
                client.send(number, "oddaja", b"b" * 400, key=f"k{number}")
            await until(lambda: len(pool.spawned) == 1)
            if ending == "resets":
                client_socket = client.writer.get_extra_info("socket")
                client_socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
            client.writer.close()
            await client.writer.wait_closed()
            pool.finish(encode_id(1))
            await until(lambda: not any(listener.connections for listener in app.listeners))
            assert pool.spawned == [encode_id(1)]

    asyncio.run(run_scenario())


@both_fronts
def test_pipelined_requests_of_a_client_that_stays_all_run(front: str) -> None:
    async def run_scenario() -> None:
        async with Pool() as pool, running(BOTH_FRONTS, pool=pool.address) as app:
            client = await CLIENTS[front](app.addresses[front]).open()
            for number in range(1, REQUEST_COUNT + 1):
                client.send(number, "oddaja", b"b" * 400, key=f"k{number}")
            for _ in range(REQUEST_COUNT):
                assert (await client.read_response()).status == 200
            assert len(pool.spawned) == REQUEST_COUNT
            client.drop()

    asyncio.run(run_scenario())
