"""Paths that end something, forced by the order of events: docs/design/endings.md has them all in a table."""

from __future__ import annotations

import asyncio
import signal
import socket
import time
from collections.abc import Callable
from dataclasses import replace
from pathlib import Path
from typing import Any

import pytest

from saltcart.app import App
from saltcart.config import read_config
from saltcart.decision.outcome import Outcome
from saltcart.deployment import Deployment
from saltcart.net import pool as pool_link
from saltcart.net.announcer import Announcer
from saltcart.net.clock import Clock
from saltcart.net.index import IndexClient
from saltcart.net.listener import Listener, ServerConnection
from saltcart.net.pool import PoolLink, PoolLiveness
from saltcart.wire import handover as wire
from tests.fakes import KEYED, READ, ServiceHarness
from tests.fakes import SETTINGS as CORE
from tests.standins import (
    BOTH_FRONTS,
    CLIENTS,
    SETTINGS,
    HttpClient,
    Pool,
    Server,
    at_once,
    ident,
    raw_config,
    running,
    until,
)
from tests.test_sockets import logged, start


def failing(call: Callable[..., Any], times: int = 1) -> Callable[..., Any]:
    """``call``, which fails the first ``times`` in a way that nobody thought of."""
    left = [times]

    def act(*args: Any) -> Any:
        if left[0]:
            left[0] -= 1
            raise RuntimeError("not thought of")
        return call(*args)

    return act


# ---- loops that must live ---------------------------------------------------------------------


async def accepting(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    while await reader.readline():
        await reader.readuntil(b"}")
        writer.write(b"HTTP/1.1 204 No Content\r\n\r\n")


@pytest.mark.parametrize("dies", ["announcer", "pool link"])
def test_a_loop_that_dies_is_logged_and_started_again(dies: str, monkeypatch: pytest.MonkeyPatch) -> None:
    if dies == "announcer":
        monkeypatch.setattr(Announcer, "_report", failing(Announcer._report))
    else:
        monkeypatch.setattr(PoolLink, "make_connection", failing(PoolLink.make_connection))
    logged: list[tuple[str, Any]] = []

    async def play() -> None:
        async with (
            Server(accepting) as announce,
            Pool() as pool,
            running(
                pool=pool.address,
                announce=announce.address,
                log=lambda event, **more: logged.append((event, more.get("name"))),
            ) as app,
        ):
            assert (await (await HttpClient(app.addresses["http"]).open()).ask(1)).status == 200
            await until(lambda: len(announce.writers) >= 1)
            assert ("loop-died", dies) in logged

    asyncio.run(play())


def test_a_fault_in_one_sweep_is_not_the_last_sweep(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(Listener, "REQUEST_TIMEOUT_SECONDS", 0.2)
    monkeypatch.setattr(Listener, "SWEEP_INTERVAL_SECONDS", 0.05)
    monkeypatch.setattr(ServerConnection, "on_request_timeout", failing(ServerConnection.on_request_timeout))
    monkeypatch.setattr("saltcart.net.index.SWEEP_INTERVAL_SECONDS", 0.02)
    monkeypatch.setattr(IndexClient, "_close_idle", failing(IndexClient._close_idle))

    async def play() -> None:
        asyncio.get_running_loop().set_exception_handler(lambda _, context: None)
        async with Pool() as pool, running(pool=pool.address, control="127.0.0.1:0") as app:
            silent = [await HttpClient(app.addresses["control"]).open() for _ in range(3)]
            for client in silent[1:]:  # the first one's end was the fault
                assert await asyncio.wait_for(client.reader.read(), 10) == b""
        index = IndexClient("127.0.0.1:1", ServiceHarness().service, lambda event, **_: None)
        index.sweeper.start()
        await until(lambda: index.sweeper.handle is None)  # nothing is idle: it rests, and did not die

    asyncio.run(play())


def test_a_fault_in_sweeping_the_keys_leaves_no_full_table() -> None:
    w = ServiceHarness(max_key_bytes=8000)
    w.service.keys.expire = failing(w.service.keys.expire, 2)  # type: ignore[method-assign]
    w.submit(1)
    w.finish_run(1)
    for _ in range(2):
        with pytest.raises(RuntimeError):  # the driver logs it and goes on
            w.run_until(w.now + 20.0)
    w.run_until(w.now + 20.0)
    w.submit(2, key=b"other")
    assert w.spawned_ids() == [ident(1), ident(2)]


def test_a_fault_in_one_action_costs_no_other() -> None:
    w = ServiceHarness()
    w.service.ports.workers.spawn = failing(w.spawn)  # type: ignore[method-assign]
    w.submit(1, "read")
    assert "action-fault" in w.logged_events and w.spawned_ids() == []
    w.submit(2, "read")
    w.finish_run(2)
    assert (w.statuses(1), w.statuses(2)) == (["failed"], ["served"])
    assert w.service.load().running == 0  # its slot is free again
    w.run_until(w.now + 3.1)
    w.submit(3, "read")
    w.run_until(w.now + 0.5)
    assert w.spawned_ids() == [ident(2), ident(3)]


# ---- the clock --------------------------------------------------------------------------------


class Unix:
    """The system's Unix clock, which somebody sets."""

    def __init__(self) -> None:
        self.moved = 0.0

    def __call__(self) -> float:
        return time.time() + self.moved

    def stamp(self) -> int:
        return int(self() * 1000)


@pytest.mark.parametrize("front", ["http", "ajp"])
@pytest.mark.parametrize("moved", [-3600.0, -2.0, 4.0, 3600.0])
def test_a_clock_that_is_set_stops_no_timer_and_ends_no_window(front: str, moved: float) -> None:
    unix = Unix()

    async def play() -> None:
        async with Pool() as pool, running(BOTH_FRONTS, clock=Clock(unix), pool=pool.address) as app:
            one, two = [await CLIENTS[front](app.addresses[front]).open() for _ in range(2)]
            assert (await one.ask(1, "oddaja", key="k", received=unix.stamp())).status == 200
            pool.auto = False
            two.send(2, budget="700", received=unix.stamp())
            await until(lambda: len(pool.spawned) == 2)
            unix.moved = moved
            assert (await asyncio.wait_for(two.answer(), 10)).status == 500  # by its due time
            pool.auto = True
            # New work is as old as it is, and a further try of a key is within the window still.
            assert (await one.ask(3, received=unix.stamp())).status == 200
            assert (await one.ask(4, "oddaja", key="k", received=unix.stamp())).body == b"done x"
            assert pool.spawned == [ident(1), ident(2), ident(3)]

    asyncio.run(play())


def test_a_key_handed_over_counts_by_the_unix_clock() -> None:
    """Two processes that started before and after the clock was set agree on a window's end."""
    entry = ServiceHarness().service.keys.reserve(("a", "oddaja", b"k"), 1, 1_000.0, b"")
    told = wire.key_packet(entry, False, seconds_ahead=100.0)
    assert told.fields["until"] == 900.0 and wire.read_key(told, seconds_ahead=-5.0).expires_at == 895.0


@pytest.mark.parametrize(("ago", "status"), [(-4.0, 200), (-6.0, 400), (0.0, 200), (59.0, 503), (130.0, 503)])
def test_how_long_ago_a_request_may_have_come_is_the_settings_to_say(ago: float, status: int) -> None:
    """A customer's deadline may be longer than a minute: what is still in time is a request."""

    async def play() -> None:
        services = [{**SETTINGS["services"][0], "deadline": 90.0, "onTime": 50.0}]
        async with (
            Pool() as pool,
            running(pool=pool.address, settings={**SETTINGS, "services": services}) as app,
        ):
            client = await HttpClient(app.addresses["http"]).open()
            received = int((time.time() - ago) * 1000)
            assert (await client.ask(1, budget="90000", received=received)).status == status

    asyncio.run(play())


# ---- the pool ---------------------------------------------------------------------------------


@pytest.mark.parametrize("front", ["http", "ajp"])
def test_a_pool_that_was_started_anew_owes_no_run_and_is_heard(front: str) -> None:
    """Its notices begin with 1 again: taken for ones that were read, no run would ever end."""
    logged: list[str] = []

    async def play() -> None:
        async with (
            Pool() as pool,
            running(BOTH_FRONTS, pool=pool.address, log=lambda event, **_: logged.append(event)) as app,
        ):
            clients = [await CLIENTS[front](app.addresses[front]).open() for _ in range(3)]
            for n in range(1, 9):
                assert (await clients[0].ask(n)).status == 200
            pool.auto = False
            clients[0].send(11)
            clients[1].send(12, "oddaja", key="k")
            await until(lambda: len(pool.spawned) == 10)
            pool.auto = True
            pool.restart()
            # What ran may have had its effect: failed at once, and its key stands.
            assert [(await asyncio.wait_for(c.answer(), 1.5)).status for c in clients[:2]] == [500, 500]
            assert (await clients[2].ask(13)).body == b"done x"
            assert (await clients[1].ask(14, "oddaja", key="k")).status == 500
            assert pool.spawned[10:] == [ident(13)] and "pool-restarted" in logged
            controller = app.service.controller
            # The requests that it survives are those of cold cores.
            assert controller is not None and controller.settings.starts_cold
            assert controller.load().running == 0

    asyncio.run(play())


def test_a_link_that_falls_silent_is_left_for_a_new_one(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(pool_link, "SILENCE_TIMEOUT_SECONDS", 0.3)
    logged: list[str] = []

    async def play() -> None:
        async with (
            Pool(auto=False) as pool,
            running(pool=pool.address, log=lambda event, **_: logged.append(event)) as app,
        ):
            read, once = [await HttpClient(app.addresses["http"]).open() for _ in range(2)]
            pool.quiet = True
            read.send(1)
            once.send(2, "oddaja", key="k")
            await until(lambda: len(pool.spawned) == 2)
            pool.writer, pool.quiet = None, False  # whatever it has to say, nothing comes over this link
            pool.told.clear()
            await until(lambda: pool.writer is not None)
            assert b"bind 0" in pool.told and "pool-silent" in logged
            await until(lambda: pool.spawned[2:] == [ident(1)])  # again, for that can't start it twice
            pool.finish(ident(1))
            assert (await read.answer()).status == 200
            assert (await once.answer()).status == 500  # nothing shows whether it ran

    asyncio.run(play())


def test_silence_counts_once_the_pool_was_up_and_not_while_the_machine_stood_still() -> None:
    liveness = PoolLiveness()
    for turn in range(1000):
        assert not liveness.record_poll(turn * 0.04)  # accepted, not bound: the pool may come up long after
    assert not liveness.record_bound(40.0, 0.0)
    liveness.record_received(40.0)
    assert not liveness.record_poll(40.04) and not liveness.record_poll(400.0)
    assert any(liveness.record_poll(400.0 + turn * 0.04) for turn in range(60))


@pytest.mark.parametrize(("age", "other"), [(70.0, False), (62.0, False), (0.0, True), (30.0, True)])
def test_a_pool_is_another_one_if_it_is_younger_than_it_must_be(age: float, other: bool) -> None:
    liveness = PoolLiveness()
    liveness.record_connected()
    assert not liveness.record_bound(100.0, 60.0)
    liveness.record_received(102.5)
    liveness.record_connected()
    liveness.record_received(110.0)  # of the new link: says nothing of the one before
    assert liveness.record_bound(110.0, age) is other


# ---- keys -------------------------------------------------------------------------------------


def short(window: float) -> ServiceHarness:
    """A customer whose window is shorter than its runs."""
    return ServiceHarness(replace(CORE, classes=(READ, replace(KEYED, key_window=window))))


def test_who_joined_a_run_is_served_by_it_though_its_key_has_aged_out_meanwhile() -> None:
    w = short(0.3)
    w.submit(1)
    w.run_until(w.now + 0.2)
    w.submit(2)
    w.run_until(w.now + 0.8)
    w.submit(3)  # past the window: a run of its own
    assert w.spawned_ids() == [ident(1), ident(3)]
    w.finish_run(1, result=b"first")
    assert w.statuses(2) == ["served"] and w.responses[ident(2)][0].body == b"first"
    w.finish_run(3, result=b"second")
    assert w.responses[ident(3)][0].body == b"second"
    w.run_until(w.now + 20.0)
    assert not w.service.keys.records and not w.service.keys.used_bytes and not w.service.requests


@pytest.mark.parametrize("freed", ["its caller goes", "it never ran"])
def test_a_try_read_late_is_of_the_run_in_its_window_though_a_newer_one_came_between(freed: str) -> None:
    w = short(1.0)
    reached = w.now + 0.9
    w.submit(1)
    w.finish_run(1)
    w.run_until(w.now + 1.5)
    for n in range(10, 26):
        w.submit(n, "read")  # every slot is taken
    newer = w.submit(3)
    if freed == "its caller goes":
        assert ident(3) not in w.spawned_ids()
        w.service.abandon(newer)
    else:
        for n in range(10, 26):
            w.finish_run(n)
        assert ident(3) in w.spawned_ids()
        w.finish_run(3, Outcome.NOT_STARTED)
    w.submit(2, received_at=reached)  # it came inside the first one's window
    assert ident(2) not in w.spawned_ids() and w.responses[ident(2)][0].body == b"result"


def test_keys_are_bounded_by_what_they_take_and_not_by_their_number() -> None:
    """All keyed, a long window: small results must not fill a table that is made for large ones."""
    w = ServiceHarness(max_key_bytes=20 * 6000)
    for n in range(1, 61):
        w.submit(n, key=b"%d" % n)
        w.finish_run(n)
    assert len(w.spawned_ids()) == 60
    for n in range(101, 141):
        w.submit(n, key=b"%d" % n)
        w.finish_run(n, result=b"x" * 4096)
    assert 4 < len(w.spawned_ids()) - 60 < 20 and w.service.keys.used_bytes <= 20 * 6000
    again = ServiceHarness(max_key_bytes=20 * 6000)
    for n in range(1, 5000):  # nor by further tries of one key
        again.submit(n)
        if n == 1:
            again.finish_run(1)
    assert again.service.keys.used_bytes < 8000 and again.statuses(4999) == ["served"]


def test_keys_that_were_never_told_may_have_run() -> None:
    w = ServiceHarness()
    w.service.mark_keys_uncertain()
    w.submit(1)
    w.submit(2, "read")
    assert w.statuses(1) == ["failed"]  # no promise that it never ran
    w.run_until(w.now + 6.0 + 0.08)  # a try that came up to then may be of a run before the takeover
    w.submit(3)
    w.run_until(w.now + 0.1)
    w.submit(4)
    assert w.statuses(3) == ["failed"] and w.spawned_ids() == [ident(2), ident(4)]


@pytest.mark.parametrize("how", ["says nothing", "dies at once", "dies when it is asked", "tells late"])
def test_an_old_process_that_does_not_tell_its_keys_leaves_them_in_doubt(
    how: str, tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr("saltcart.takeover.HANDOVER_TIMEOUT_SECONDS", 0.2)

    async def play() -> None:
        old = socket.socket(socket.AF_UNIX, socket.SOCK_SEQPACKET)
        old.bind(str(tmp_path / "saltcart-n1"))
        old.listen(1)
        old.setblocking(False)
        loop = asyncio.get_running_loop()

        async def serve() -> None:
            link, _ = await loop.sock_accept(old)
            if how == "dies at once":
                link.close()
                return
            assert b"take" in await loop.sock_recv(link, 4096)
            if how == "dies when it is asked":
                link.close()
                return
            await until(lambda: bool(app.fronts))
            if how == "tells late":
                link.send(wire.encode(wire.HandoverPacket("yours", {})))

        with socket.create_server(("127.0.0.1", 0)) as held:
            environment = {"BALANCER_LISTEN_FD": str(held.fileno()), "TMPDIR": str(tmp_path)}
            async with Pool() as pool:
                app = App(
                    read_config(raw_config(pool=pool.address), environment),
                    Deployment(),
                    lambda event, **_: None,
                )
                served = asyncio.create_task(serve())
                await app.start()
                try:
                    await until(app.is_ready)
                    await served
                    client = await HttpClient("{}:{}".format(*held.getsockname())).open()
                    assert (await client.ask(1)).status == 200
                    if how == "tells late":
                        await until(lambda: not app.service.lifecycle.attempts.uncertain_until)
                    status = (await client.ask(2, "oddaja", key="k")).status
                    assert status == (200 if how == "tells late" else 500)
                    assert (ident(2) in pool.spawned) is (how == "tells late")
                finally:
                    await app.close()
                    old.close()

    asyncio.run(play())


# ---- the drain --------------------------------------------------------------------------------


@pytest.mark.parametrize("klass", ["read", "oddaja"])
@pytest.mark.parametrize("before_stop", [0.119, 0.05, 0.0, -0.5])
def test_what_comes_once_all_is_answered_before_the_stop_is_refused_at_once(
    klass: str, before_stop: float
) -> None:
    w = ServiceHarness(
        replace(CORE, drain_grace=5.0, classes=tuple(replace(c, latency_objective=0.3) for c in CORE.classes))
    )
    w.submit(1, klass)
    w.service.start_drain(2.0)
    w.run_until(w.now + 2.0 - before_stop)
    w.submit(2, klass, key=b"other")
    assert w.statuses(1) == ["failed"] and w.statuses(2) == ["refused"] and len(w.spawned_ids()) == 1


@pytest.mark.parametrize(("late", "runs"), [(-0.001, True), (0.0, True), (0.001, False)])
def test_the_grace_counts_to_the_millisecond_from_the_notice(late: float, runs: bool) -> None:
    """By the time at which it came; the module stops a tenth earlier by itself, so that is taken out."""
    w = ServiceHarness()
    assert w.service.controller is not None
    w.service.start_drain(3.0)
    w.service.controller.drain.accept_until = float("inf")
    w.run_until(w.now + 1.0)
    w.submit(1, "read", received_at=w.now + late)
    assert (w.spawned_ids() == [ident(1)]) is runs
    w.run_until(w.now + 3.0)
    assert len(w.statuses(1)) == 1


@pytest.mark.parametrize("notice", ["before the pool is up", "twice", "before and again"])
def test_a_notice_at_an_odd_moment_is_one_drain(notice: str) -> None:
    w = ServiceHarness(pool_up=notice == "twice")
    w.service.start_drain(3.0)
    if notice != "before the pool is up":
        w.run_until(w.now + 0.5)
        w.service.start_drain(3.0)
    if notice != "twice":
        w.submit(1, "read")
        assert w.statuses(1) == ["refused"]  # no pool yet
        w.run_until(w.now + 1.2)
        w.service.pool_started(True, 0.0)
    assert w.logged_events.count("drain") == 1 and not w.service.is_healthy
    w.run_until(1_000.0 + 1.5)
    w.submit(2, "read")  # past the grace of the first notice
    w.run_until(1_000.0 + 3.0)
    assert ident(2) not in w.spawned_ids() and len(w.statuses(2)) == 1


# ---- connections ------------------------------------------------------------------------------


def test_a_request_that_waits_at_the_socket_while_a_turn_is_long_is_read_before_the_idle_close() -> None:
    """A crossing within 50 ms is the balancer's to send again; in a longer turn it would be lost."""

    async def play() -> None:
        async with Pool() as pool, running(pool=pool.address) as app:
            listener = app.fronts["http"]
            listener.sweeper.stop()
            client = await HttpClient(app.addresses["http"]).open()
            assert (await client.ask(1)).status == 200
            idle = await HttpClient(app.addresses["http"]).open()
            assert (await idle.ask(2)).status == 200
            for connection in listener.idle:
                connection.state_since -= 100.0
            # In one and the same turn: the request is written, and the sweep finds its connection idle.
            at_once(client)
            client.send(3)
            listener._sweep()
            assert (await asyncio.wait_for(client.answer(), 10)).status == 200
            assert await asyncio.wait_for(idle.reader.read(), 10) == b""  # the other one was idle

    asyncio.run(play())


# ---- exits ------------------------------------------------------------------------------------


@pytest.mark.parametrize("moment", ["twice", "hangup between", "no pool yet"])
def test_the_program_drains_and_ends_by_itself_whatever_comes_again(moment: str, tmp_path: Path) -> None:
    async def play() -> None:
        async with Pool(auto=False) as pool:
            silent = moment == "no pool yet"
            address = "127.0.0.1:1" if silent else pool.address
            with socket.create_server(("127.0.0.1", 0)) as free:
                listen = "{}:{}".format(*free.getsockname())
            program = await start(tmp_path / "c.json", raw_config(pool=address, listen=listen, stop_ms=900))
            assert program.stdout is not None
            await logged(program.stdout, "listening" if silent else "pool-started")
            client = await HttpClient(listen).open()
            if silent:
                assert (await client.ask(1)).status == 503  # says when to come back
            else:
                client.send(1)
                await until(lambda: pool.spawned == [ident(1)])
            program.terminate()
            await logged(program.stdout, "drain")
            if moment == "hangup between":
                program.send_signal(signal.SIGHUP)
                await logged(program.stdout, "reloaded")
            program.terminate()
            if not silent:
                assert (await asyncio.wait_for(client.answer(), 10)).status == 500  # before it is stopped
            # It goes on answering until it is stopped: nobody is met by a closed door.
            assert (await asyncio.wait_for(client.ask(2), 10)).status == 503
            out, err = await program.communicate()
            assert program.returncode == 0 and err == b"" and out.count(b'"drain"') == 0

    asyncio.run(play())


def test_a_hangup_and_a_notice_during_the_start_are_followed_or_end_it_before_anything_was_read(
    tmp_path: Path,
) -> None:
    async def play() -> None:
        with socket.create_server(("127.0.0.1", 0)) as free:
            listen = "{}:{}".format(*free.getsockname())
        program = await start(tmp_path / "c.json", raw_config(pool="127.0.0.1:1", listen=listen))
        program.terminate()
        out, err = await program.communicate()
        # Before its handlers stand the notice ends it; nothing listened, so nothing was read.
        assert program.returncode in (0, -signal.SIGTERM) and err == b""
        assert program.returncode == 0 or b"listening" not in out

    asyncio.run(play())


# ---- what turned out sound --------------------------------------------------------------------


@pytest.mark.parametrize("front", ["http", "ajp"])
@pytest.mark.parametrize(
    "moment", ["half a body", "half-close behind it", "reset in the run", "two, then a reset"]
)
def test_a_client_that_ends_at_an_odd_moment_leaves_nothing_behind(front: str, moment: str) -> None:
    """A close is the protocol's word that nobody waits; bytes of a further request change nothing in it."""

    async def play() -> None:
        async with Pool(auto=False) as pool, running(BOTH_FRONTS, pool=pool.address) as app:
            service, listener = app.service, app.fronts[front]
            client = await CLIENTS[front](app.addresses[front]).open()
            if moment == "half a body":
                held: list[bytes] = []
                write, client.writer.write = client.writer.write, held.append  # type: ignore[assignment, method-assign]
                client.send(1, body=b"xyz")
                write(b"".join(held)[:-2])
                await until(lambda: any(c.has_partial_request() for c in listener.connections))  # type: ignore[attr-defined]
            else:
                client.send(1)
                await until(lambda: pool.spawned == [ident(1)])
            if moment == "two, then a reset":
                client.send(2)
            if moment == "half-close behind it":
                client.writer.write_eof()
                assert (await client.answer()).status == 500  # it may still read, whatever it has given up
                assert await client.reader.read() == b""
            else:
                client.drop()
            await until(lambda: not listener.connections)
            if pool.spawned:
                await until(lambda: b"suspend " + ident(1) in pool.told)
                pool.finish(ident(1), b"KILLED")
            await until(lambda: not service.requests)
            assert service.controller is not None and service.controller.table.memory_kb == 0
            assert not any(service.controller.table.counts) and ident(2) not in pool.spawned
            pool.auto = True
            again = await CLIENTS[front](app.addresses[front]).open()
            assert (await again.ask(3)).status == 200

    asyncio.run(play())


@pytest.mark.parametrize("how", ["hangs", "resets", "says 500", "says noise", "closes behind it"])
def test_reports_go_on_whatever_the_announce_service_does(how: str, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr("saltcart.net.announcer.REPORT_TIMEOUT_SECONDS", 0.1)
    monkeypatch.setattr("saltcart.net.announcer.REPORT_INTERVAL_SECONDS", 0.1)
    heard: list[bytes] = []

    async def play() -> None:
        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            while await reader.readline():
                heard.append((await reader.readuntil(b"}")).rpartition(b"{")[2])
                answer = {
                    "says 500": b"HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n",
                    "says noise": b"\0" * 5000,
                    "closes behind it": b"HTTP/1.1 204 No Content\r\nConnection: close\r\n\r\n",
                }
                writer.write(b"HTTP/1.1 204 No Content\r\n\r\n" if len(heard) > 4 else answer.get(how, b""))
                if how == "resets" and len(heard) <= 4:
                    writer.transport.abort()

        async with (
            Server(serve) as announce,
            Pool() as pool,
            running(pool=pool.address, announce=announce.address) as app,
        ):
            await until(lambda: len(heard) > 6)
            app.service.set_withdrawn(True)
            await until(lambda: b"false" in heard[-1])
            assert app.announcer is not None and not app.announcer.is_failing
            assert len(announce.writers) >= 1 and b"true" in heard[0]

    asyncio.run(play())


@pytest.mark.parametrize("klass", ["read", "oddaja"])
def test_a_run_whose_end_is_never_told_gives_all_back(klass: str) -> None:
    """As when more notices were missed than the pool keeps."""
    w = ServiceHarness()
    w.submit(1, klass)
    assert w.spawned_ids() == [ident(1)] and w.service.controller is not None
    w.run_until(w.now + 4.2)
    assert w.statuses(1) == ["failed"] and w.service.load().running == 1  # it may still be on the cores
    w.run_until(w.now + 20.0)
    assert "written-off" in w.logged_events and not w.service.requests and not w.service.requests_by_id
    table = w.service.controller.table
    assert not any(table.counts) and table.memory_kb == pytest.approx(0)


def test_a_machine_that_stood_still_over_several_deadlines_answers_each_once_and_runs_nothing_dead() -> None:
    w = ServiceHarness()
    for n in range(1, 41):
        w.submit(n, "read" if n % 2 else "oddaja", key=b"%d" % n)
    ran = len(w.spawned_ids())
    assert 2 <= ran < 40
    w.now += 30.0  # no timer rang meanwhile
    w.service.tick()
    w.finish_run(1)  # its end was told meanwhile
    w.run_until(w.now + 1.0)
    assert all(len(answers) == 1 for answers in w.responses.values()) and len(w.spawned_ids()) == ran
    w.submit(50, "read")
    assert w.statuses(50) in ([], ["refused"])
    w.run_until(w.now + 20.0)
    assert not w.service.requests and len(w.statuses(50)) == 1


@pytest.mark.parametrize("klass", ["read", "oddaja"])
@pytest.mark.parametrize("first", ["end", "abandon", "due"])
def test_an_end_a_gone_caller_and_the_due_time_in_one_moment_are_one_ending(klass: str, first: str) -> None:
    w = ServiceHarness()
    number = w.submit(1, klass)
    w.now += 3.0 + CORE.answer_slack / 2  # due, with its guard, though no timer has rung
    act = {
        "end": lambda: w.finish_run(1),
        "abandon": lambda: w.service.abandon(number),
        "due": w.service.tick,
    }
    act[first]()
    for other in act:
        act[other]()
    assert len(w.statuses(1)) == (0 if first == "abandon" else 1)
    w.finish_run(1)
    w.run_until(w.now + 20.0)
    assert not w.service.requests and not w.service.keys.used_bytes and len(w.spawned_ids()) == 1
