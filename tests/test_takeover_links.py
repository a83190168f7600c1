"""The link of a takeover: bad packets, and links that close while the processes at both ends live."""

from __future__ import annotations

import asyncio
import socket
import sys
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from pathlib import Path

import pytest

from saltcart.app import App
from saltcart.config import read_config
from saltcart.core.idempotency_keys import KeyRecord
from saltcart.decision.events import PredecessorLoad
from saltcart.deployment import Deployment
from saltcart.wire import handover as wire
from saltcart.wire.handover import HandoverPacket, PacketKind
from tests.standins import EventLog, HttpClient, Platform, Pool, raw_config, running, until

TAKE = wire.encode(HandoverPacket(PacketKind.TAKE, {}))
HANDED_OVER = wire.encode(HandoverPacket(PacketKind.HANDED_OVER, {}))
KEY_FIELDS = wire.key_packet(KeyRecord(("acme", "oddaja", b"k"), 1, 1e9, b"\0"), False).fields
LOAD_FIELDS = wire.load_packet(wire.ReportedLoad()).fields
SOCKET_NAME = "saltcart-n1"
ROOT = Path(__file__).parents[1]


async def connect(path: Path) -> socket.socket:
    link = socket.socket(socket.AF_UNIX, socket.SOCK_SEQPACKET)
    link.setblocking(False)
    await asyncio.get_running_loop().sock_connect(link, str(path))
    return link


@asynccontextmanager
async def peer_process(*arguments: str) -> AsyncIterator[asyncio.subprocess.Process]:
    """Start ``tests.handover_peer``, and yield it once the other process may begin."""
    process = await asyncio.create_subprocess_exec(
        sys.executable, "-m", "tests.handover_peer", *arguments, cwd=ROOT, stdout=asyncio.subprocess.PIPE
    )
    try:
        await wait_for_line(process, b"ready\n")
        yield process
    finally:
        if process.returncode is None:
            process.kill()
        await process.wait()


async def wait_for_line(process: asyncio.subprocess.Process, expected: bytes) -> None:
    assert process.stdout is not None
    async with asyncio.timeout(20):
        assert await process.stdout.readline() == expected


@asynccontextmanager
async def taking_over(
    shared_platform: Platform, pool: Pool, log: EventLog
) -> AsyncIterator[tuple[App, socket.socket]]:
    """Start an application that takes over from a stand-in, and yield the stand-in's end of the link."""
    loop = asyncio.get_running_loop()
    with socket.socket(socket.AF_UNIX, socket.SOCK_SEQPACKET) as listening_socket:
        listening_socket.bind(str(shared_platform.folder / SOCKET_NAME))
        listening_socket.listen(1)
        listening_socket.setblocking(False)
        conf = read_config(raw_config(pool=pool.address), shared_platform.environment)
        app = App(conf, Deployment(), log)
        await app.start()
        link, _ = await loop.sock_accept(listening_socket)
        try:
            assert await loop.sock_recv(link, 4096) == TAKE
            yield app, link
        finally:
            link.close()
            await app.close()


@pytest.mark.parametrize(
    ("packet", "reason"),
    [
        (HandoverPacket("beside", {**LOAD_FIELDS, "memory_kb": -1e-13}), "field memory_kb is -1e-13"),
        (HandoverPacket("beside", {**LOAD_FIELDS, "on_core": "many"}), "field on_core is 'many'"),
        (HandoverPacket("entry", {**KEY_FIELDS, "until": -1.0}), "field until is -1.0"),
        (HandoverPacket("entry", {"key": "k"}), "'account'"),
        (HandoverPacket("yours", {"uncertain": "soon"}), "field uncertain is 'soon'"),
    ],
)
def test_a_malformed_packet_of_the_predecessor_is_logged_and_the_link_stays_open(
    packet: HandoverPacket, reason: str, shared_platform: Platform
) -> None:
    # Guards against two processes that serve: each took the closed link for the end of the other.
    async def scenario() -> None:
        log = EventLog()
        async with Pool() as pool, taking_over(shared_platform, pool, log) as (app, link):
            link.send(wire.encode(packet))
            link.send(HANDED_OVER)
            await until(app.is_ready)
            (line,) = log.find("handover-malformed")
            assert line["kind"] == packet.kind and reason in line["error"]
            with pytest.raises(BlockingIOError):  # open, and nothing was sent on it
                link.recv(1)

    asyncio.run(scenario())


@pytest.mark.parametrize(
    "raw", [b"\xff", TAKE[:9], b'{"v":9,"say":"entry"}\n', b"x" * (wire.MAX_PACKET_BYTES + 1)]
)
def test_new_keys_fail_after_a_packet_that_may_have_reported_one(
    raw: bytes, shared_platform: Platform
) -> None:
    # Guards against a second run of a key whose report could not be read.
    async def scenario() -> None:
        log = EventLog()
        async with Pool() as pool, taking_over(shared_platform, pool, log) as (app, link):
            link.send(raw)
            link.send(HANDED_OVER)
            await until(app.is_ready)
            assert len(log.find("handover-malformed")) == 1
            client = await HttpClient(shared_platform.address).open()
            assert (await client.post(1, "oddaja", key="k")).status == 500
            assert (await client.post(2)).status == 200 and len(pool.spawned) == 1

    asyncio.run(scenario())


@pytest.mark.parametrize("raw", [b"\xff", TAKE, TAKE[:9], b'{"v":1,"say":"later"}\n', HANDED_OVER])
def test_a_predecessor_does_not_serve_again_after_a_bad_packet_of_its_successor(
    raw: bytes, shared_platform: Platform
) -> None:
    # Guards against two processes that serve after a packet that the predecessor does not know.
    async def scenario() -> None:
        log = EventLog()
        async with (
            Pool() as pool,
            running(None, shared_platform.environment, log, pool=pool.address) as predecessor,
        ):
            link = await connect(shared_platform.folder / SOCKET_NAME)
            link.send(TAKE)
            await until(lambda: bool(log.find("handed-over")))
            link.send(raw)
            await until(lambda: bool(log.find("handover-malformed")))
            assert predecessor.fronts["http"].server is None and not log.find("takeover-reverted")
            link.close()

    asyncio.run(scenario())


def test_a_predecessor_serves_again_only_once_its_successor_has_ended(shared_platform: Platform) -> None:
    # Guards against two processes that serve: a closed link was taken for the end of the successor.
    async def scenario() -> None:
        log = EventLog()
        async with (
            Pool() as pool,
            running(None, shared_platform.environment, log, pool=pool.address) as predecessor,
            peer_process("successor", str(shared_platform.folder / SOCKET_NAME)) as successor,
        ):
            await wait_for_line(successor, b"closed\n")
            await until(lambda: bool(log.find("takeover-link-lost")))
            assert predecessor.fronts["http"].server is None and not log.find("takeover-reverted")
            successor.kill()
            await until(lambda: bool(log.find("takeover-reverted")))
            assert (await (await HttpClient(shared_platform.address).open()).post(1)).status == 200

    asyncio.run(scenario())


def test_connections_that_cannot_be_passed_end_with_the_next_response(shared_platform: Platform) -> None:
    # Guards against a client that stays at the old process, which paused reading until it could pass it on.
    async def scenario() -> None:
        log = EventLog()
        async with (
            Pool(finishes_runs=False) as pool,
            running(None, shared_platform.environment, log, pool=pool.address) as predecessor,
        ):
            busy = await HttpClient(shared_platform.address).open()
            busy.send(1)
            await until(lambda: len(pool.spawned) == 1)
            async with peer_process("successor", str(shared_platform.folder / SOCKET_NAME)) as successor:
                await wait_for_line(successor, b"closed\n")
                await until(lambda: bool(log.find("takeover-link-lost")))
                pool.finish(pool.spawned[0])
                response = await busy.read_response()
                assert (response.status, response.keep_alive) == (200, False)
                await until(lambda: not predecessor.fronts["http"].connections)

    asyncio.run(scenario())


def test_a_living_predecessor_counts_on_the_cores_after_its_link_is_lost(shared_platform: Platform) -> None:
    # Guards against crowded cores: a closed link was taken for the end of the predecessor and its runs.
    async def scenario() -> None:
        log = EventLog()
        load = wire.encode(
            wire.load_packet(wire.ReportedLoad(PredecessorLoad(running=2), connections=3))
        ).decode()
        arguments = ("predecessor", str(shared_platform.folder / SOCKET_NAME), load, HANDED_OVER.decode())
        async with (
            peer_process(*arguments) as predecessor,
            Pool() as pool,
            running(None, shared_platform.environment, log, pool=pool.address) as successor,
        ):
            await until(lambda: bool(log.find("takeover-link-lost")))
            controller = successor.service.controller
            assert controller is not None and controller.predecessor.running == 2
            assert successor.fronts["http"].predecessor_connections == 3
            predecessor.kill()
            await until(lambda: controller.predecessor.running == 0)
            assert successor.fronts["http"].predecessor_connections == 0

    asyncio.run(scenario())
