"""A new process takes over from the old one: on real sockets, both in this process."""

from __future__ import annotations

import asyncio
import os
import socket
from collections.abc import Iterator
from dataclasses import replace
from pathlib import Path
from typing import Any

import pytest

from saltcart import takeover
from saltcart.core.idempotency_keys import KeyRecord
from saltcart.decision.events import PredecessorLoad
from saltcart.decision.outcome import Outcome
from saltcart.deployment import AjpSettings, Deployment
from saltcart.net.listener import Listener, ServerConnection
from saltcart.wire import handover as wire
from saltcart.wire.errors import MalformedMessageError
from tests.fakes import ServiceHarness
from tests.standins import SETTINGS, AjpClient, HttpClient, Pool, fields, ident, raw_config, running, until
from tests.test_sockets import logged, start

ENTRY = KeyRecord(
    ("a", "oddaja", b"k\xff"), 3, 12.5, b"\x00\x01", {ident(1), ident(2)}, True, True, b"\n{}\0"
)


@pytest.mark.parametrize("gone", [False, True])
def test_a_key_is_told_and_read_alike(gone: bool) -> None:
    packet = wire.decode(wire.encode(wire.key_packet(ENTRY, gone)))
    assert packet.kind == ("gone" if gone else "entry")
    read = wire.read_key(packet)
    assert read == replace(ENTRY, holder_number=0)


@pytest.mark.parametrize(
    "raw",
    [b"", b"{", b"[]\n", b"5\n", b'{"v":2,"say":"take"}\n', b'{"v":1}\n', b'{"v":1,"say":4}\n', b"\xff\n"],
)
def test_a_packet_that_cannot_be_read_is_malformed(raw: bytes) -> None:
    with pytest.raises(MalformedMessageError):
        wire.decode(raw)


@pytest.mark.parametrize("name", ["key", "until", "digest", "idents", "good"])
def test_a_key_with_a_field_amiss_is_malformed(name: str) -> None:
    packet = wire.key_packet(ENTRY, False)
    for wrong in ({k: v for k, v in packet.fields.items() if k != name}, {**packet.fields, name: object()}):
        if name != "good" or name not in wrong:
            with pytest.raises(MalformedMessageError):
                wire.read_key(wire.HandoverPacket("entry", wrong))


def test_a_load_is_told_and_read_alike() -> None:
    load = PredecessorLoad(3, 1, 120.5)
    assert wire.read_load(wire.decode(wire.encode(wire.load_packet(load, 7)))) == (load, 7)


@pytest.mark.parametrize(
    ("name", "value"),
    [
        ("on_core", "4"),
        ("on_core", -1),
        ("calling", None),
        ("memory_kb", float("nan")),
        ("calling", True),
        ("memory_kb", 1e13),
        ("connections", [1]),
    ],
)
def test_a_load_out_of_its_form_is_malformed(name: str, value: object) -> None:
    with pytest.raises(MalformedMessageError):
        wire.read_load(
            wire.HandoverPacket("beside", {**wire.load_packet(PredecessorLoad(), 0).fields, name: value})
        )


# ---- the core's rules -------------------------------------------------------------------------


def two() -> tuple[ServiceHarness, ServiceHarness]:
    """An old service whose keys are told to a new one, all in memory."""
    old, new = ServiceHarness(), ServiceHarness()

    def tell(entry: KeyRecord, gone: bool) -> None:
        new.service.adopt_key(wire.read_key(wire.decode(wire.encode(wire.key_packet(entry, gone)))), gone)

    old.submit(1)  # runs
    old.submit(2, key=b"done")
    old.finish_run(2, result=b"before")
    for entry in old.service.lifecycle.attempts.hand_over(tell):
        tell(entry, False)
    return old, new


def test_tries_of_a_key_that_the_old_process_ran_share_its_result() -> None:
    old, new = two()
    new.submit(11)
    new.submit(12, key=b"done")
    assert new.statuses(12) == ["served"] and new.responses[ident(12)][0].body == b"before"
    assert new.statuses(11) == [] and new.spawned_ids() == []
    old.finish_run(1, result=b"after")
    assert new.statuses(11) == ["served"] and new.responses[ident(11)][0].body == b"after"
    new.submit(13)
    assert new.statuses(13) == ["served"] and new.spawned_ids() == []
    old.submit(3, key=b"else")  # it takes nothing more: never run, so refused
    assert old.statuses(3) == ["refused"] and len(old.spawned_ids()) == 2


@pytest.mark.parametrize("how", ["fails", "never ran", "dies"])
def test_a_run_of_the_old_process_that_ends_badly_is_not_run_again(how: str) -> None:
    old, new = two()
    new.submit(11)
    if how == "dies":
        new.service.predecessor_lost()
    else:
        old.finish_run(1, Outcome.NOT_STARTED if how == "never ran" else Outcome.FAILED)
    assert new.statuses(11) == ["failed"]
    new.submit(12)
    # Only proof that nothing ran makes a key as free as before.
    assert new.spawned_ids() == ([ident(12)] if how == "never ran" else [])
    assert new.statuses(12) == ([] if how == "never ran" else ["failed"])


def test_keys_that_were_inherited_end_with_their_window() -> None:
    _, new = two()
    assert len(new.service.keys) == 2
    new.run_until(new.now + 30)
    assert len(new.service.keys) == 0 and new.service.keys.used_bytes == 0


# ---- on sockets -------------------------------------------------------------------------------


@pytest.fixture
def platform(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> Iterator[dict[str, str]]:
    """What the platform holds: the clients' listening socket and the folder that both processes share."""
    # A slow machine must not close what a test passes on.
    monkeypatch.setattr(Listener, "REQUEST_TIMEOUT_SECONDS", 60.0)
    with socket.create_server(("127.0.0.1", 0)) as held:
        yield {"BALANCER_LISTEN_FD": str(held.fileno()), "TMPDIR": str(tmp_path / ("long" * 30))}


def at(environment: dict[str, str]) -> str:
    os.makedirs(environment["TMPDIR"], exist_ok=True)
    with socket.socket(fileno=os.dup(int(environment["BALANCER_LISTEN_FD"]))) as held:
        return "{}:{}".format(*held.getsockname())


# No request of theirs ends by its time, however slow the machine is.
PATIENT: dict[str, Any] = {
    "settings": {
        **SETTINGS,
        "services": [
            {**s, "onTime": 60.0, "deadline": 120.0, "memorySpan": 60.0} for s in SETTINGS["services"]
        ],
    },
    "stop_ms": 20_000,
}


def test_connections_and_keys_move_to_the_new_process(platform: dict[str, str]) -> None:
    address = at(platform)

    async def play() -> None:
        async with (
            Pool(auto=False) as pool,
            Pool() as other,
            running(None, platform, pool=pool.address, **PATIENT) as old,
        ):
            idle, busy, keyed, half = [await HttpClient(address).open() for _ in range(4)]
            for client in (idle, busy, keyed):
                client.changed["Budget-Ms"] = "60000"
            idle.writer.write(b"GET /ping HTTP/1.1\r\n\r\n")
            assert (await idle.answer()).status == 200
            busy.send(1)
            keyed.send(2, "oddaja", key="k")
            await until(lambda: len(pool.spawned) == 2)
            head = "".join(f"{name}: {value}\r\n" for name, value in fields(3, budget="60000"))
            half.writer.write(f"POST /call/read HTTP/1.1\r\n{head}Content-Length: 4\r\n\r\nha".encode())
            await until(lambda: any(c.partial() for c in old.fronts["http"].connections))  # type: ignore[attr-defined]
            async with running(None, platform, pool=other.address, **PATIENT) as new:
                await until(lambda: len(new.fronts["http"].connections) == 2)
                # Each stays in its place: the silent make way before those that balancers keep.
                assert len(new.fronts["http"].idle) == len(new.fronts["http"].awaiting_request) == 1
                assert new.service.controller is not None and new.service.controller.predecessor.running == 2
                half.writer.write(b"lf")
                assert (await half.answer()).body == b"done half"
                assert (await idle.ask(4)).status == 200 and other.spawned == [ident(3), ident(4)]
                idle.send(5, "oddaja", key="k")  # runs in the old process
                pool.finish(ident(2))
                assert (await keyed.answer()).body == (await idle.answer()).body == b"done x"
                assert (await keyed.ask(6, "oddaja", key="k")).body == b"done x"  # its connection has moved
                assert other.spawned == [ident(3), ident(4)] and len(pool.spawned) == 2
                done = asyncio.Event()
                old.begin_drain(done.set)
                assert not done.is_set() and not new.service.drain.notified_at
                pool.finish(ident(1))
                assert (await busy.answer()).body == b"done x"
                await asyncio.wait_for(done.wait(), 20)
                await until(lambda: new.service.controller.predecessor.running == 0)  # type: ignore[union-attr]
                late = await HttpClient(address).open()
                assert (await late.ask(7)).status == 200 and not old.fronts["http"].connections

    asyncio.run(play())


@pytest.mark.parametrize("rests", [False, True])
def test_a_connection_that_came_over_is_in_its_place_as_soon_as_it_stands(rests: bool) -> None:
    """Its next request may be read before the passing is through: then it would be put in the wrong place."""
    seen: list[tuple[bool, bool, float]] = []

    class Came(ServerConnection):
        def opened(self) -> None:
            super().opened()
            waited = self.listener.loop.time() - self.state_since
            seen.append((self in self.listener.idle, self in self.listener.awaiting_request, waited))

    async def play() -> None:
        listener = Listener("127.0.0.1:0", Came, lambda: 30.0, 8)
        here, there = socket.socketpair()
        here.setblocking(False)
        await listener.attach_connection(here, b"", rests, 5.0)
        assert seen[0][:2] == (rests, not rests) and seen[0][2] >= 5.0
        there.close()
        listener.close()

    asyncio.run(play())


def test_the_old_process_takes_back_what_a_dead_one_left(platform: dict[str, str]) -> None:
    address = at(platform)

    async def play() -> None:
        async with Pool() as pool, Pool() as other, running(None, platform, pool=pool.address) as old:
            for n in (1, 3):
                async with running(None, platform, pool=other.address):
                    assert (await (await HttpClient(address).open()).ask(n)).status == 200
                    assert other.spawned[-1] == ident(n)
                await until(lambda: old.service.lifecycle.attempts.notify_successor is None)
                assert (await (await HttpClient(address).open()).ask(n + 1)).status == 200
                assert pool.spawned[-1] == ident(n + 1)

    asyncio.run(play())


def test_an_old_process_that_is_told_to_stop_drains_if_the_new_one_dies(
    platform: dict[str, str], monkeypatch: pytest.MonkeyPatch
) -> None:
    """A release may stop both at once: what waits at the platform's socket must still be answered."""
    monkeypatch.setattr(takeover, "MIN_STAY", 10.0)
    address = at(platform)

    async def play() -> None:
        async with Pool() as pool, Pool() as other, running(None, platform, pool=pool.address) as old:
            done = asyncio.Event()
            busy = await HttpClient(address).open()
            async with running(None, platform, pool=other.address):
                pool.auto = False
                await until(lambda: old.service.lifecycle.attempts.notify_successor is not None)
                old.begin_drain(done.set)
            await until(lambda: old.service.lifecycle.attempts.notify_successor is None)
            assert old.service.drain.notified_at is not None and not done.is_set()
            pool.auto = True
            late = await HttpClient(address).open()
            assert (await late.ask(2)).status == 200 and pool.spawned == [ident(2)]
            busy.drop()

    asyncio.run(play())


def test_what_is_new_finds_room_while_others_come_over() -> None:
    """The old process's connections count, yet nobody is turned back at the door for them."""

    async def play() -> None:
        async with Pool() as pool, running(pool=pool.address, limits={"sockets": 200}) as app:
            listener = app.listeners[0]
            listener.predecessor_connections = listener.max_connections
            client = await HttpClient(app.addresses["http"]).open()
            assert (await client.ask(1)).status == 200

    asyncio.run(play())


def test_a_flood_is_passed_without_holding_a_descriptor_twice(platform: dict[str, str]) -> None:
    """Descriptors of both processes count together."""
    address = at(platform)

    async def play() -> None:
        limits = {"sockets": 200}
        async with (
            Pool() as pool,
            Pool() as other,
            running(None, platform, pool=pool.address, limits=limits) as old,
        ):
            crowd = await asyncio.gather(*(HttpClient(address).open() for _ in range(150)))
            most = old.fronts["http"].max_connections
            await until(lambda: len(old.fronts["http"].connections) == most)
            before, highest = len(os.listdir("/proc/self/fd")), 0
            async with running(None, platform, pool=other.address, limits=limits) as new:

                def moved() -> bool:
                    nonlocal highest
                    highest = max(highest, len(os.listdir("/proc/self/fd")))
                    both = len(old.fronts["http"].connections) + len(new.fronts["http"].connections)
                    assert both <= most + Listener.TAKEOVER_EXTRA_CONNECTIONS
                    return not old.fronts["http"].connections

                await until(moved)
                await until(lambda: not new.fronts["http"].predecessor_connections)
                assert highest < before + 60  # not twice the flood
                client = await HttpClient(address).open()
                assert (await client.ask(1)).status == 200
            for one in crowd:
                one.drop()

    asyncio.run(play())


def test_the_second_front_moves_too(platform: dict[str, str]) -> None:
    at(platform)
    with socket.create_server(("127.0.0.1", 0)) as free:
        ajp = "{}:{}".format(*free.getsockname())

    async def play() -> None:
        extra = Deployment(ajp=AjpSettings(ajp))
        async with Pool() as pool, Pool() as other, running(extra, platform, pool=pool.address):
            client = await AjpClient(ajp).open()
            assert (await client.ask(1)).status == 200
            async with running(extra, platform, pool=other.address) as new:
                await until(lambda: len(new.fronts["ajp"].connections) == 1)
                assert (await client.ask(2, body=b"moved")).body == b"done moved"
                assert (pool.spawned, other.spawned) == ([ident(1)], [ident(2)])

    asyncio.run(play())


# ---- the program ------------------------------------------------------------------------------


def test_a_new_program_takes_over_and_the_old_one_ends(platform: dict[str, str], tmp_path: Path) -> None:
    address, fd = at(platform), int(platform["BALANCER_LISTEN_FD"])

    async def play() -> None:
        async with Pool() as pool, Pool() as other:
            old = await start(tmp_path / "old.json", raw_config(pool=pool.address), (fd,), **platform)
            assert old.stdout is not None
            await logged(old.stdout, "listening")
            client = await HttpClient(address).open()
            await until(lambda: b"bind 0" in pool.told)
            assert (await client.ask(1, "oddaja", key="k")).status == 200
            new = await start(tmp_path / "new.json", raw_config(pool=other.address), (fd,), **platform)
            assert new.stdout is not None
            await logged(new.stdout, "took-over")
            old.terminate()
            out, err = await old.communicate()
            assert old.returncode == 0 and err == b"" and b'"drain"' not in out
            assert (await client.ask(2, "oddaja", key="k")).body == b"done x"
            assert (await client.ask(3)).status == 200 and other.spawned == [ident(3)]
            new.terminate()
            await new.communicate()

    asyncio.run(play())


@pytest.mark.parametrize(("fd", "folder", "status"), [("abc", "", 2), ("99", "", 2), ("99", "/not/there", 2)])
def test_a_descriptor_that_is_no_listener_ends_with_one_plain_line(
    fd: str, folder: str, status: int, tmp_path: Path
) -> None:
    async def play() -> None:
        program = await start(tmp_path / "c.json", raw_config(), BALANCER_LISTEN_FD=fd, TMPDIR=folder)
        _, err = await program.communicate()
        assert program.returncode == status and len(err.splitlines()) == 1 and b"Traceback" not in err

    asyncio.run(play())


def test_a_folder_that_cannot_be_written_keeps_nobody_from_serving(platform: dict[str, str]) -> None:
    address = at(platform)

    async def play() -> None:
        environment = {**platform, "TMPDIR": "/proc/no-such-folder"}
        async with Pool() as pool, running(None, environment, pool=pool.address):
            assert (await (await HttpClient(address).open()).ask(1)).status == 200

    asyncio.run(play())
