"""Clients that leave: their unread requests do not run, and no request id runs twice."""

from __future__ import annotations

import asyncio
import socket
import struct

import pytest

from saltcart.core.run_ids import RunIds
from saltcart.takeover import predecessor as predecessor_module
from saltcart.wire import handover as wire
from saltcart.wire.errors import MalformedMessageError
from tests.fakes import ServiceHarness
from tests.standins import BOTH_FRONTS, CLIENTS, HttpClient, Platform, Pool, encode_id, running, until

REQUEST_COUNT = 5
RESET_ON_CLOSE = struct.pack("ii", 1, 0)
both_fronts = pytest.mark.parametrize("front", CLIENTS)


# ---- closed connections ------------------------------------------------------------------------


# Guards against: runs, also with effects, of requests whose client has closed the connection.
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


# ---- request ids ------------------------------------------------------------------------------


@both_fronts
def test_an_id_that_has_run_does_not_run_again(front: str) -> None:
    async def run_scenario() -> None:
        async with Pool() as pool, running(BOTH_FRONTS, pool=pool.address) as app:
            for expected_status in (200, 400):
                client = await CLIENTS[front](app.addresses[front]).open()
                assert (await client.post(1)).status == expected_status
                client.drop()
            assert pool.spawned == [encode_id(1)]

    asyncio.run(run_scenario())


# Guards against: a second run of an id whose client left during the first one.
@both_fronts
def test_an_id_whose_client_left_during_its_run_does_not_run_again(front: str) -> None:
    async def run_scenario() -> None:
        async with Pool(finishes_runs=False) as pool, running(BOTH_FRONTS, pool=pool.address) as app:
            client = await CLIENTS[front](app.addresses[front]).open()
            client.send(1)
            await until(lambda: pool.spawned == [encode_id(1)])
            client.drop()
            await until(lambda: not app.service.lifecycle.open_request_count())
            pool.finish(encode_id(1))
            await until(lambda: not app.service.requests)
            retry = await CLIENTS[front](app.addresses[front]).open()
            assert (await retry.post(1)).status == 400
            assert pool.spawned == [encode_id(1)]
            retry.drop()

    asyncio.run(run_scenario())


# A request that crosses the close of an idle connection is sent again under its id.
def test_an_id_that_was_rejected_may_come_again_and_run() -> None:
    harness = ServiceHarness(pool_up=False)
    harness.submit(1, "read")
    assert harness.statuses(1) == ["refused"]
    harness.service.pool_started(False, 100.0)
    harness.submit(1, "read")
    assert harness.spawned_ids() == [encode_id(1)]


def test_ids_are_kept_for_their_time_and_forgotten_after_twice_that() -> None:
    run_ids = RunIds(60.0, 1000)
    run_ids.add(100.0, b"00000000000000aB")
    assert run_ids.has(100.0, b"00000000000000Ab")  # of the same value
    run_ids.add(159.0, encode_id(2))
    assert run_ids.has(160.5, encode_id(0xAB)) and run_ids.has(219.0, encode_id(2))
    assert not run_ids.has(400.0, encode_id(2)) and not run_ids.encoded()


def test_the_number_of_ids_is_bounded_and_the_latest_are_kept() -> None:
    run_ids = RunIds(60.0, 100)
    for number in range(1000):
        run_ids.add(10.0, encode_id(number))
        assert len(run_ids.encoded()) <= 100
    assert all(run_ids.has(10.0, encode_id(number)) for number in range(950, 1000))


# ---- takeovers --------------------------------------------------------------------------------


def test_request_id_packets_are_read_as_they_were_written() -> None:
    request_ids = [encode_id(number) for number in range(3 * wire.MAX_IDS_PER_PACKET // 2)]
    packets = [wire.decode(wire.encode(packet)) for packet in wire.request_id_packets(request_ids)]
    assert [packet.kind for packet in packets] == ["runs", "runs"]
    assert [each for packet in packets for each in wire.read_request_ids(packet)] == request_ids
    assert all(len(wire.encode(packet)) <= wire.MAX_PACKET_BYTES for packet in packets)
    assert wire.request_id_packets([]) == []


@pytest.mark.parametrize("data", [b"0" * 15, b"0" * 17, b"g" * 16, b"\xff" * 16, b" " * 16])
def test_malformed_request_ids_are_rejected(data: bytes) -> None:
    with pytest.raises(MalformedMessageError):
        wire.read_request_ids(wire.HandoverPacket("runs", {}, data))


def test_a_malformed_packet_of_ids_does_not_make_keys_uncertain() -> None:
    assert wire.PacketKind.REQUEST_IDS in predecessor_module.PACKETS_WITHOUT_KEYS


# Guards against: a second run, at the new process of an upgrade, of an id that ran or runs at the old one.
def test_ids_of_the_predecessor_do_not_run_in_its_successors(shared_platform: Platform) -> None:
    async def run_scenario() -> None:
        environment = shared_platform.environment
        async with Pool(finishes_runs=False) as pool, running(None, environment, pool=pool.address) as oldest:
            finished = await HttpClient(shared_platform.address).open()
            finished.send(1)
            await until(lambda: pool.spawned == [encode_id(1)])
            pool.finish(encode_id(1))
            assert (await finished.read_response()).status == 200
            running_client = await HttpClient(shared_platform.address).open()
            running_client.send(2)
            await until(lambda: len(pool.spawned) == 2)
            async with Pool() as second_pool, running(None, environment, pool=second_pool.address) as second:
                await until(lambda: oldest.service.lifecycle.attempts.notify_successor is not None)
                client = await HttpClient(shared_platform.address).open()
                for number in (1, 2):
                    assert (await client.post(number)).status == 400
                assert (await client.post(3)).status == 200
                async with Pool() as third_pool, running(None, environment, pool=third_pool.address):
                    await until(lambda: second.service.lifecycle.attempts.notify_successor is not None)
                    newest_client = await HttpClient(shared_platform.address).open()
                    for number in (1, 2, 3):
                        assert (await newest_client.post(number)).status == 400
                    assert (await newest_client.post(4)).status == 200
                    assert third_pool.spawned == [encode_id(4)]
                    newest_client.drop()
                assert second_pool.spawned == [encode_id(3)]
                client.drop()
            finished.drop()
            running_client.drop()

    asyncio.run(run_scenario())
