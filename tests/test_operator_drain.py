"""Drains by operators while several processes of an instance live: each call holds for all of them."""

from __future__ import annotations

import asyncio
import fcntl
import os
import socket
from collections.abc import AsyncIterator
from contextlib import AsyncExitStack, asynccontextmanager
from pathlib import Path

import pytest

from saltcart.app import App
from saltcart.config import read_config
from saltcart.deployment import Deployment
from saltcart.net.drain_file import DrainFile
from saltcart.net.peer_process import PeerProcess
from saltcart.wire import handover as wire
from saltcart.wire.errors import MalformedMessageError
from tests.standins import EventLog, HttpClient, Platform, Pool, encode_id, raw_config, running, until
from tests.test_control import send_command
from tests.test_sockets import start_program, wait_for_log_event
from tests.test_takeover import check_health, reserve_address, until_ready
from tests.test_takeover_links import (
    HANDED_OVER,
    SOCKET_NAME,
    TAKE,
    connect,
    peer_process,
    taking_over,
    wait_for_line,
)

DRAIN_FILE_NAME = "saltcart-n1.drain"
CONTROL = "127.0.0.1:0"


async def command(app: App, line: str) -> str:
    """Send an operator's command to a process, and return its response."""
    (response,) = await send_command(app.addresses["control"], line.encode() + b"\n")
    return response


async def until_healthy(apps: list[App], expected: bool) -> None:
    """Wait until the health checks of all the processes succeed, or of none."""
    await until(lambda: all(app.service.is_healthy is expected for app in apps))


@asynccontextmanager
async def waiting_successor(shared_platform: Platform) -> AsyncIterator[tuple[App, Pool]]:
    """Run a process that can't take over yet, as its worker pool is not up, and yield it with its pool."""
    async with Pool() as pool:
        pool.reported_state = b""  # the link to this pool is not bound yet
        conf = read_config(raw_config(pool=pool.address, control=CONTROL), shared_platform.environment)
        app = App(conf, Deployment(), EventLog())
        await app.start()
        try:
            takeover = app.takeover
            assert takeover is not None
            await until(lambda: takeover.predecessor.link is not None)
            yield app, pool
        finally:
            await app.close()


@asynccontextmanager
async def chain(
    shared_platform: Platform, length: int, log: EventLog | None = None
) -> AsyncIterator[list[App]]:
    """Run processes of which each took over from the one before it; the last one serves."""
    async with Pool() as pool, AsyncExitStack() as stack:
        apps = list[App]()
        for _ in range(length):
            app = running(
                None,
                shared_platform.environment,
                log or EventLog(),
                pool=pool.address,
                control=CONTROL,
            )
            apps.append(await stack.enter_async_context(app))
        yield apps


# ---- calls at each process --------------------------------------------------------------------


def test_a_drain_at_a_process_that_waits_for_its_pool_reaches_the_one_that_serves(
    shared_platform: Platform,
) -> None:
    # Guards against good health checks after a drain-on at the new process of an upgrade (review/10).
    async def scenario() -> None:
        async with (
            chain(shared_platform, 1) as (serving,),
            waiting_successor(shared_platform) as (waiting, pool),
        ):
            client = await HttpClient(shared_platform.address).open()
            assert await check_health(client) == 200
            assert await command(waiting, "drain-on") == "OK drain-on"
            await until_healthy([serving], False)
            assert await check_health(client) == 503
            assert await command(waiting, "drain-off") == "OK drain-off"
            await until_healthy([serving], True)
            assert await command(waiting, "drain-on") == "OK drain-on"
            pool.reported_state = b"LOADED 60000"
            await until(waiting.is_ready)
            assert not waiting.service.is_healthy
            new_client = await HttpClient(shared_platform.address).open()
            assert await check_health(new_client) == 503
            assert (await new_client.post(1)).status == 200 and pool.spawned == [encode_id(1)]

    asyncio.run(scenario())


@pytest.mark.parametrize("called", [0, 1, 2])
def test_a_drain_holds_for_all_processes_whichever_of_them_is_called(
    called: int, shared_platform: Platform
) -> None:
    # Guards against a process that doesn't learn of a call at a later or an earlier one.
    async def scenario() -> None:
        async with chain(shared_platform, 3) as apps:
            for line, is_healthy in (("drain-on", False), ("drain-off", True), ("drain-on", False)):
                assert await command(apps[called], line) == f"OK {line}"
                await until_healthy(apps, is_healthy)
            assert await command(apps[(called + 1) % 3], "drain-off") == "OK drain-off"
            await until_healthy(apps, True)

    asyncio.run(scenario())


def test_the_last_of_several_calls_at_different_processes_holds(shared_platform: Platform) -> None:
    # Guards against a drain-on that is not reported, as the called process was drained in its own view.
    async def scenario() -> None:
        async with chain(shared_platform, 2) as (first, second):
            for called, line in ((first, "drain-on"), (second, "drain-off"), (first, "drain-on")):
                assert await command(called, line) == f"OK {line}"
                await until_healthy([first, second], line == "drain-off")

    asyncio.run(scenario())


def test_a_drain_holds_although_the_link_between_the_processes_is_lost(
    shared_platform: Platform, monkeypatch: pytest.MonkeyPatch
) -> None:
    # Guards against a call that reaches the other process by the link alone.
    monkeypatch.setattr(
        PeerProcess, "find", lambda connected_socket: PeerProcess(os.eventfd(0))
    )  # never ends

    async def scenario() -> None:
        log = EventLog()
        async with chain(shared_platform, 2, log) as (first, second):
            assert first.takeover is not None and first.takeover.successor.link is not None
            first.takeover.successor.link.socket.shutdown(socket.SHUT_RDWR)
            await until(lambda: len(log.find("takeover-link-lost")) == 2)
            for called, line in ((first, "drain-on"), (second, "drain-off"), (second, "drain-on")):
                assert await command(called, line) == f"OK {line}"
                await until_healthy([first, second], line == "drain-off")

    asyncio.run(scenario())


def test_a_drain_holds_after_the_process_that_was_called_has_died(shared_platform: Platform) -> None:
    # Guards against a process that serves again without the drain that its successor has received.
    async def scenario() -> None:
        async with chain(shared_platform, 1) as (first,):
            async with (
                Pool() as pool,
                running(None, shared_platform.environment, pool=pool.address, control=CONTROL) as second,
            ):
                assert await command(second, "drain-on") == "OK drain-on"
            await until(lambda: "http" in first.fronts and first.fronts["http"].server is not None)
            client = await HttpClient(shared_platform.address).open()
            assert await check_health(client) == 503
            assert await command(first, "drain-off") == "OK drain-off"
            assert await check_health(client) == 200

    asyncio.run(scenario())


def test_a_drain_at_a_second_program_reaches_the_first_one(shared_platform: Platform, tmp_path: Path) -> None:
    # Guards against good health checks after a drain-on at the new process of an upgrade (review/10).
    listen_fd = int(shared_platform.environment["BALANCER_LISTEN_FD"])
    control_addresses = [reserve_address() for _ in range(2)]

    async def scenario() -> None:
        async with Pool() as first_pool, Pool() as second_pool:
            second_pool.reported_state = b""  # it is not up yet
            programs = list[asyncio.subprocess.Process]()
            for pool, control in zip((first_pool, second_pool), control_addresses):
                program = await start_program(
                    tmp_path / f"{len(programs)}.json",
                    raw_config(pool=pool.address, control=control),
                    (listen_fd,),
                    **shared_platform.environment,
                )
                programs.append(program)
                assert program.stdout is not None
                await wait_for_log_event(program.stdout, "listening")
                if program is programs[0]:
                    await until_ready(control)
            client = await HttpClient(shared_platform.address).open()
            assert await check_health(client) == 200
            assert await send_command(control_addresses[1], b"drain-on\n") == ["OK drain-on"]
            async with asyncio.timeout(20):
                while await check_health(client) != 503:
                    await asyncio.sleep(0.02)
            second_pool.reported_state = b"LOADED 60000"
            await until_ready(control_addresses[1])
            assert await check_health(await HttpClient(shared_platform.address).open()) == 503
            for program in programs:
                program.terminate()
                await program.communicate()

    asyncio.run(scenario())


# ---- processes that can't be told -------------------------------------------------------------


def test_the_response_names_a_predecessor_of_an_earlier_release(shared_platform: Platform) -> None:
    # Guards against a bare OK although the process that serves knows nothing of the call.
    async def scenario() -> None:
        path = str(shared_platform.folder / SOCKET_NAME)
        async with (
            peer_process("predecessor", path, HANDED_OVER.decode()) as predecessor,
            chain(shared_platform, 1) as (app,),
        ):
            expected = f"holds at this process, but process {predecessor.pid} could not be told"
            for line in ("drain-on", "drain-off"):
                assert await command(app, line) == f"ERR {line} {expected}"
                assert app.service.is_healthy is (line == "drain-off")
            predecessor.kill()
            takeover = app.takeover
            assert takeover is not None
            await until(lambda: takeover.predecessor.link is None)
            assert await command(app, "drain-on") == "OK drain-on"

    asyncio.run(scenario())


def test_the_response_names_a_successor_of_an_earlier_release_whose_link_is_lost(
    shared_platform: Platform,
) -> None:
    # Guards against a bare OK although the process that serves knows nothing of the call.
    async def scenario() -> None:
        log = EventLog()
        async with (
            chain(shared_platform, 1, log) as (app,),
            peer_process("successor", str(shared_platform.folder / SOCKET_NAME)) as successor,
        ):
            await wait_for_line(successor, b"closed\n")
            await until(lambda: bool(log.find("takeover-link-lost")))
            response = await command(app, "drain-on")
            assert response.startswith("ERR drain-on") and f"process {successor.pid} " in response

    asyncio.run(scenario())


def test_each_call_is_reported_to_a_successor_of_an_earlier_release(shared_platform: Platform) -> None:
    # Guards against a second drain-on that is not reported, after a drain-off at the successor itself.
    async def scenario() -> None:
        loop = asyncio.get_running_loop()
        async with chain(shared_platform, 1) as (app,):
            with await connect(shared_platform.folder / SOCKET_NAME) as link:
                link.send(TAKE)
                while await loop.sock_recv(link, 4096) != HANDED_OVER:
                    pass
                for line in ("drain-on", "drain-on", "drain-off"):
                    assert await command(app, line) == f"OK {line}"
                    packet = wire.decode(await asyncio.wait_for(loop.sock_recv(link, 4096), 20))
                    while packet.kind == "beside":
                        packet = wire.decode(await asyncio.wait_for(loop.sock_recv(link, 4096), 20))
                    assert packet.kind == "withdrawn" and packet.fields["on"] is (line == "drain-on")

    asyncio.run(scenario())


def test_a_drain_that_an_earlier_release_reports_holds_for_later_processes(shared_platform: Platform) -> None:
    async def scenario() -> None:
        async with Pool() as pool, taking_over(shared_platform, pool, EventLog()) as (app, link):
            link.send(b'{"v":1,"say":"withdrawn","on":true}\n')
            link.send(HANDED_OVER)
            await until(app.is_ready)
            assert not app.service.is_healthy
            assert (shared_platform.folder / DRAIN_FILE_NAME).read_bytes() == b"1"

    asyncio.run(scenario())


def test_a_report_of_what_the_file_holds_does_not_overrule_a_later_call(shared_platform: Platform) -> None:
    # Guards against a drain that ends by a report which was under way when operators called it.
    async def scenario() -> None:
        log = EventLog()
        async with Pool() as pool, taking_over(shared_platform, pool, log) as (app, link):
            app.set_withdrawn(True)
            link.send(wire.encode(wire.drain_packet(wire.ReportedDrain(is_withdrawn=False, is_shared=True))))
            link.send(HANDED_OVER)
            await until(app.is_ready)
            assert not app.service.is_healthy and not log.find("drain-off")

    asyncio.run(scenario())


def test_a_drain_reaches_the_successor_by_a_packet_when_the_file_cannot_be_written(
    shared_platform: Platform, monkeypatch: pytest.MonkeyPatch
) -> None:
    # Guards against a drain that the file, which has the state before, ends within one look at it.
    def fail(file: DrainFile, *, is_draining: bool) -> None:
        raise OSError(28, "No space left on device")

    async def scenario() -> None:
        log = EventLog()
        async with chain(shared_platform, 2, log) as (first, second):
            monkeypatch.setattr(DrainFile, "write", fail)
            assert await command(first, "drain-on") == "OK drain-on"
            await until_healthy([first, second], False)
            assert {line["error"] for line in log.find("drain-unshared")} == {
                "[Errno 28] No space left on device"
            }
            assert (await command(second, "drain-off")).startswith("ERR drain-off holds at this process, but")
            assert second.service.is_healthy and not first.service.is_healthy

    asyncio.run(scenario())


# ---- the file ---------------------------------------------------------------------------------


def test_a_drain_ends_with_the_instance(shared_platform: Platform) -> None:
    # Guards against a service that starts for itself and fails health checks since an earlier drain.
    async def scenario() -> None:
        for _ in range(2):
            async with chain(shared_platform, 1) as (app,):
                assert app.service.is_healthy
                assert await command(app, "drain-on") == "OK drain-on"
        assert (shared_platform.folder / DRAIN_FILE_NAME).read_bytes() == b"1"

    asyncio.run(scenario())


@pytest.mark.parametrize("content", [b"", b"x", b"\0"])
def test_a_malformed_file_is_logged_and_mended(content: bytes, shared_platform: Platform) -> None:
    async def scenario() -> None:
        log = EventLog()
        path = shared_platform.folder / DRAIN_FILE_NAME
        async with chain(shared_platform, 1, log) as (app,):
            assert await command(app, "drain-on") == "OK drain-on"
            path.write_bytes(content)
            await until(lambda: path.read_bytes() == b"1")
            (line,) = log.find("drain-malformed")
            assert repr(content) in line["error"] and not app.service.is_healthy

    asyncio.run(scenario())


def test_a_file_that_cannot_be_read_is_given_up(
    shared_platform: Platform, monkeypatch: pytest.MonkeyPatch
) -> None:
    def fail(file: DrainFile) -> bool:
        raise OSError(5, "Input/output error")

    async def scenario() -> None:
        log = EventLog()
        async with chain(shared_platform, 1, log) as (app,):
            monkeypatch.setattr(DrainFile, "read", fail)
            await until(lambda: bool(log.find("drain-unshared")))
            assert await command(app, "drain-on") == "OK drain-on"  # no other process lives
            assert not app.service.is_healthy

    asyncio.run(scenario())


def test_the_locks_tell_which_processes_read_the_file(tmp_path: Path) -> None:
    path = tmp_path / "drain"
    file = DrainFile(path)
    assert file.is_read_by(os.getpid()) and not file.is_read_by(os.getppid())
    assert not file.is_read_by(0)
    file.write(is_draining=True)
    later_file = DrainFile(path)
    assert later_file.read()
    file.close()
    later_file.close()
    with path.open("rb") as unlocked:
        fcntl.flock(unlocked, fcntl.LOCK_EX | fcntl.LOCK_NB)


@pytest.mark.parametrize("fields", [{}, {"on": 1}, {"on": None}, {"on": True, "shared": "yes"}])
def test_a_drain_packet_with_an_invalid_field_is_malformed(fields: dict[str, object]) -> None:
    with pytest.raises(MalformedMessageError, match=r"field (on|shared) is .*, not true or false"):
        wire.read_drain(wire.HandoverPacket("withdrawn", fields))


@pytest.mark.parametrize("is_shared", [False, True])
def test_a_drain_packet_is_read_as_it_was_written(is_shared: bool) -> None:
    report = wire.ReportedDrain(True, is_shared)
    assert wire.read_drain(wire.decode(wire.encode(wire.drain_packet(report)))) == report
