"""The link of a takeover: bad packets, and links that close while the processes at both ends live."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import AsyncIterator, Iterator
from contextlib import asynccontextmanager
from pathlib import Path
from typing import Any

import pytest

from saltcart.app import App
from saltcart.config import read_config
from saltcart.core.idempotency_keys import KeyRecord
from saltcart.decision.events import PredecessorLoad
from saltcart.deployment import Deployment
from saltcart.wire import handover as wire
from saltcart.wire.handover import HandoverPacket, PacketKind
from tests.standins import HttpClient, Pool, raw_config, running, until

TAKE = wire.encode(HandoverPacket(PacketKind.TAKE, {}))
HANDED_OVER = wire.encode(HandoverPacket(PacketKind.HANDED_OVER, {}))
KEY_FIELDS = wire.key_packet(KeyRecord(("acme", "oddaja", b"k"), 1, 1e9, b"\0"), False).fields
LOAD_FIELDS = wire.load_packet(PredecessorLoad(), 0).fields
SOCKET_NAME = "saltcart-n1"


class EventLog:
    """Records the events that an application logs."""

    def __init__(self) -> None:
        self.lines: list[dict[str, Any]] = []

    def __call__(self, event: str, **fields: Any) -> None:
        self.lines.append({"event": event, **fields})

    def find(self, event: str) -> list[dict[str, Any]]:
        return [line for line in self.lines if line["event"] == event]


class Platform:
    """The clients' listening socket and the folder that both processes share."""

    def __init__(self, listening_socket: socket.socket, folder: Path) -> None:
        self.folder = folder
        self.address = "{}:{}".format(*listening_socket.getsockname())
        self.environment = {
            "BALANCER_LISTEN_FD": str(listening_socket.fileno()),
            "TMPDIR": str(folder),
        }


@pytest.fixture
def platform(tmp_path: Path) -> Iterator[Platform]:
    with socket.create_server(("127.0.0.1", 0)) as listening_socket:
        yield Platform(listening_socket, tmp_path)


async def connect(path: Path) -> socket.socket:
    link = socket.socket(socket.AF_UNIX, socket.SOCK_SEQPACKET)
    link.setblocking(False)
    await asyncio.get_running_loop().sock_connect(link, str(path))
    return link


@asynccontextmanager
async def taking_over(
    platform: Platform, pool: Pool, log: EventLog
) -> AsyncIterator[tuple[App, socket.socket]]:
    """Start an application that takes over from a stand-in, and yield the stand-in's end of the link."""
    loop = asyncio.get_running_loop()
    with socket.socket(socket.AF_UNIX, socket.SOCK_SEQPACKET) as listening_socket:
        listening_socket.bind(str(platform.folder / SOCKET_NAME))
        listening_socket.listen(1)
        listening_socket.setblocking(False)
        conf = read_config(raw_config(pool=pool.address), platform.environment)
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
    ],
)
def test_a_malformed_packet_of_the_predecessor_is_logged_and_the_link_stays_open(
    packet: HandoverPacket, reason: str, platform: Platform
) -> None:
    # Guards against two processes that serve: each took the closed link for the end of the other.
    async def scenario() -> None:
        log = EventLog()
        async with Pool() as pool, taking_over(platform, pool, log) as (app, link):
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
def test_new_keys_fail_after_a_packet_that_may_have_reported_one(raw: bytes, platform: Platform) -> None:
    # Guards against a second run of a key whose report could not be read.
    async def scenario() -> None:
        log = EventLog()
        async with Pool() as pool, taking_over(platform, pool, log) as (app, link):
            link.send(raw)
            link.send(HANDED_OVER)
            await until(app.is_ready)
            assert len(log.find("handover-malformed")) == 1
            client = await HttpClient(platform.address).open()
            assert (await client.post(1, "oddaja", key="k")).status == 500
            assert (await client.post(2)).status == 200 and len(pool.spawned) == 1

    asyncio.run(scenario())


@pytest.mark.parametrize("raw", [b"\xff", TAKE, TAKE[:9], b'{"v":1,"say":"later"}\n', HANDED_OVER])
def test_a_predecessor_does_not_serve_again_after_a_bad_packet_of_its_successor(
    raw: bytes, platform: Platform
) -> None:
    # Guards against two processes that serve after a packet that the predecessor does not know.
    async def scenario() -> None:
        log = EventLog()
        async with Pool() as pool, running(None, platform.environment, log, pool=pool.address) as predecessor:
            link = await connect(platform.folder / SOCKET_NAME)
            link.send(TAKE)
            await until(lambda: bool(log.find("handed-over")))
            link.send(raw)
            await until(lambda: bool(log.find("handover-malformed")))
            assert predecessor.fronts["http"].server is None and not log.find("takeover-reverted")
            link.close()

    asyncio.run(scenario())
