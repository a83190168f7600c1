"""How connections, requests, runs and calls end; docs/design/endings.md lists all the ways in a table."""

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
from tests.fakes import SETTINGS as CORE_SETTINGS
from tests.standins import (
    BOTH_FRONTS,
    CLIENTS,
    SETTINGS,
    HttpClient,
    Pool,
    Server,
    bypass_transport,
    encode_id,
    raw_config,
    running,
    until,
)
from tests.test_sockets import start_program, wait_for_log_event


def fail_first_calls(function: Callable[..., Any], times: int = 1) -> Callable[..., Any]:
    """Return ``function``, changed so that its first ``times`` calls raise an unexpected error."""
    failures_left = [times]

    def fail_or_call(*args: Any) -> Any:
        if failures_left[0]:
            failures_left[0] -= 1
            raise RuntimeError("injected fault")
        return function(*args)

    return fail_or_call


# ---- errors in tasks, sweeps and actions ------------------------------------------------------


async def acknowledge_reports(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    while await reader.readline():
        await reader.readuntil(b"}")
        writer.write(b"HTTP/1.1 204 No Content\r\n\r\n")


@pytest.mark.parametrize("task_name", ["announcer", "pool link"])
def test_a_task_that_raises_is_logged_and_restarted(task_name: str, monkeypatch: pytest.MonkeyPatch) -> None:
    if task_name == "announcer":
        monkeypatch.setattr(Announcer, "_report", fail_first_calls(Announcer._report))
    else:
        monkeypatch.setattr(PoolLink, "make_connection", fail_first_calls(PoolLink.make_connection))
    logged_events: list[tuple[str, Any]] = []

    async def scenario() -> None:
        async with (
            Server(acknowledge_reports) as announce_service,
            Pool() as pool,
            running(
                pool=pool.address,
                announce=announce_service.address,
                log=lambda event, **fields: logged_events.append((event, fields.get("name"))),
            ) as app,
        ):
            assert (await (await HttpClient(app.addresses["http"]).open()).post(1)).status == 200
            await until(lambda: len(announce_service.writers) >= 1)
            assert ("loop-died", task_name) in logged_events

    asyncio.run(scenario())


def test_sweeps_continue_after_one_raises(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(Listener, "REQUEST_TIMEOUT_SECONDS", 0.2)
    monkeypatch.setattr(Listener, "SWEEP_INTERVAL_SECONDS", 0.05)
    monkeypatch.setattr(
        ServerConnection, "on_request_timeout", fail_first_calls(ServerConnection.on_request_timeout)
    )
    monkeypatch.setattr("saltcart.net.index.SWEEP_INTERVAL_SECONDS", 0.02)
    monkeypatch.setattr(IndexClient, "_close_idle", fail_first_calls(IndexClient._close_idle))

    async def scenario() -> None:
        asyncio.get_running_loop().set_exception_handler(lambda _, context: None)
        async with Pool() as pool, running(pool=pool.address, control="127.0.0.1:0") as app:
            clients = [await HttpClient(app.addresses["control"]).open() for _ in range(3)]
            for client in clients[1:]:  # closing the first one raised
                assert await asyncio.wait_for(client.reader.read(), 10) == b""
        index = IndexClient("127.0.0.1:1", ServiceHarness().service, lambda event, **_: None)
        index.sweeper.start()
        # It stops because no connection is idle, not because of the error.
        await until(lambda: index.sweeper.handle is None)

    asyncio.run(scenario())


def test_expired_keys_are_removed_after_an_expiry_has_raised() -> None:
    harness = ServiceHarness(max_key_bytes=8000)
    harness.service.keys.expire = fail_first_calls(harness.service.keys.expire, 2)  # type: ignore[method-assign]
    harness.submit(1)
    harness.finish_run(1)
    for _ in range(2):
        with pytest.raises(RuntimeError):  # the driver logs the error and continues
            harness.run_until(harness.now + 20.0)
    harness.run_until(harness.now + 20.0)
    harness.submit(2, key=b"other")
    assert harness.spawned_ids() == [encode_id(1), encode_id(2)]


def test_an_action_that_raises_fails_its_request_alone() -> None:
    harness = ServiceHarness()
    harness.service.ports.workers.spawn = fail_first_calls(harness.spawn)  # type: ignore[method-assign]
    harness.submit(1, "read")
    assert "action-fault" in harness.logged_events and harness.spawned_ids() == []
    harness.submit(2, "read")
    harness.finish_run(2)
    assert (harness.statuses(1), harness.statuses(2)) == (["failed"], ["served"])
    assert harness.service.load().running == 0  # its slot was released
    harness.run_until(harness.now + 3.1)
    harness.submit(3, "read")
    harness.run_until(harness.now + 0.5)
    assert harness.spawned_ids() == [encode_id(2), encode_id(3)]


# ---- the clock --------------------------------------------------------------------------------


class AdjustableUnixClock:
    """A Unix clock that an administrator sets: the system's clock plus ``offset`` in seconds."""

    def __init__(self) -> None:
        self.offset = 0.0

    def __call__(self) -> float:
        return time.time() + self.offset

    def read_ms(self) -> int:
        """Return the Unix time in milliseconds."""
        return int(self() * 1000)


@pytest.mark.parametrize("front", ["http", "ajp"])
@pytest.mark.parametrize("offset", [-3600.0, -2.0, 4.0, 3600.0])
def test_setting_the_unix_clock_affects_neither_timers_nor_key_windows(front: str, offset: float) -> None:
    unix_clock = AdjustableUnixClock()

    async def scenario() -> None:
        async with Pool() as pool, running(BOTH_FRONTS, clock=Clock(unix_clock), pool=pool.address) as app:
            first_client, second_client = [
                await CLIENTS[front](app.addresses[front]).open() for _ in range(2)
            ]
            assert (
                await first_client.post(1, "oddaja", key="k", received_at_ms=unix_clock.read_ms())
            ).status == 200
            pool.finishes_runs = False
            second_client.send(2, budget_ms="700", received_at_ms=unix_clock.read_ms())
            await until(lambda: len(pool.spawned) == 2)
            unix_clock.offset = offset
            # At its deadline.
            assert (await asyncio.wait_for(second_client.read_response(), 10)).status == 500
            pool.finishes_runs = True
            # The age of a new request is right, and a retry with a key is still within the key window.
            assert (await first_client.post(3, received_at_ms=unix_clock.read_ms())).status == 200
            assert (
                await first_client.post(4, "oddaja", key="k", received_at_ms=unix_clock.read_ms())
            ).body == b"done x"
            assert pool.spawned == [encode_id(1), encode_id(2), encode_id(3)]

    asyncio.run(scenario())


def test_a_handed_over_key_expires_by_the_unix_clock() -> None:
    """Processes that started before and after the clock was set agree on the end of a key window."""
    record = ServiceHarness().service.keys.reserve(("a", "oddaja", b"k"), 1, 1_000.0, b"")
    packet = wire.key_packet(record, False, seconds_ahead=100.0)
    assert packet.fields["until"] == 900.0 and wire.read_key(packet, seconds_ahead=-5.0).expires_at == 895.0


@pytest.mark.parametrize(("age", "status"), [(-4.0, 200), (-6.0, 400), (0.0, 200), (59.0, 503), (130.0, 503)])
def test_the_greatest_age_of_a_request_depends_on_the_longest_deadline(age: float, status: int) -> None:
    """A deadline may exceed a minute: a request that is still in time must not count as malformed."""

    async def scenario() -> None:
        services = [{**SETTINGS["services"][0], "deadline": 90.0, "onTime": 50.0}]
        async with (
            Pool() as pool,
            running(pool=pool.address, settings={**SETTINGS, "services": services}) as app,
        ):
            client = await HttpClient(app.addresses["http"]).open()
            received_at_ms = int((time.time() - age) * 1000)
            assert (await client.post(1, budget_ms="90000", received_at_ms=received_at_ms)).status == status

    asyncio.run(scenario())


# ---- the pool ---------------------------------------------------------------------------------


@pytest.mark.parametrize("front", ["http", "ajp"])
def test_a_pool_restart_fails_its_runs_and_later_notices_are_read(front: str) -> None:
    """A restarted pool numbers its notices from 1 again: if they counted as read, no run would ever end."""
    logged_events: list[str] = []

    async def scenario() -> None:
        async with (
            Pool() as pool,
            running(
                BOTH_FRONTS, pool=pool.address, log=lambda event, **_: logged_events.append(event)
            ) as app,
        ):
            clients = [await CLIENTS[front](app.addresses[front]).open() for _ in range(3)]
            for number in range(1, 9):
                assert (await clients[0].post(number)).status == 200
            pool.finishes_runs = False
            clients[0].send(11)
            clients[1].send(12, "oddaja", key="k")
            await until(lambda: len(pool.spawned) == 10)
            pool.finishes_runs = True
            pool.restart()
            # The runs may have had their effect: they fail at once, and the key is kept.
            assert [
                (await asyncio.wait_for(client.read_response(), 1.5)).status for client in clients[:2]
            ] == [
                500,
                500,
            ]
            assert (await clients[2].post(13)).body == b"done x"
            assert (await clients[1].post(14, "oddaja", key="k")).status == 500
            assert pool.spawned[10:] == [encode_id(13)] and "pool-restarted" in logged_events
            controller = app.service.controller
            # The limit on running requests is that of cold cores.
            assert controller is not None and controller.settings.starts_cold
            assert controller.load().running == 0

    asyncio.run(scenario())


def test_a_silent_pool_link_is_replaced(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(pool_link, "SILENCE_TIMEOUT_SECONDS", 0.3)
    logged_events: list[str] = []

    async def scenario() -> None:
        async with (
            Pool(finishes_runs=False) as pool,
            running(pool=pool.address, log=lambda event, **_: logged_events.append(event)) as app,
        ):
            read_client, keyed_client = [await HttpClient(app.addresses["http"]).open() for _ in range(2)]
            pool.ignores_polls = True
            read_client.send(1)
            keyed_client.send(2, "oddaja", key="k")
            await until(lambda: len(pool.spawned) == 2)
            # The pool sends nothing over this link any more.
            pool.writer, pool.ignores_polls = None, False
            pool.received_lines.clear()
            await until(lambda: pool.writer is not None)
            assert b"bind 0" in pool.received_lines and "pool-silent" in logged_events
            await until(lambda: pool.spawned[2:] == [encode_id(1)])  # resent, as a read may start twice
            pool.finish(encode_id(1))
            assert (await read_client.read_response()).status == 200
            assert (await keyed_client.read_response()).status == 500  # it may have run

    asyncio.run(scenario())


def test_silence_counts_after_the_first_bind_and_not_during_a_pause_of_the_machine() -> None:
    liveness = PoolLiveness()
    for poll in range(1000):
        # Connected but never bound: the pool may start much later.
        assert not liveness.record_poll(poll * 0.04)
    assert not liveness.record_bound(40.0, 0.0)
    liveness.record_received(40.0)
    assert not liveness.record_poll(40.04) and not liveness.record_poll(400.0)
    assert any(liveness.record_poll(400.0 + poll * 0.04) for poll in range(60))


@pytest.mark.parametrize(("age", "is_restarted"), [(70.0, False), (62.0, False), (0.0, True), (30.0, True)])
def test_a_pool_that_is_younger_than_expected_was_restarted(age: float, is_restarted: bool) -> None:
    liveness = PoolLiveness()
    liveness.record_connected()
    assert not liveness.record_bound(100.0, 60.0)
    liveness.record_received(102.5)
    liveness.record_connected()
    liveness.record_received(110.0)  # on the new link: no sign of the previous pool
    assert liveness.record_bound(110.0, age) is is_restarted


# ---- keys -------------------------------------------------------------------------------------


def harness_with_key_window(key_window: float) -> ServiceHarness:
    """Return a harness whose key window, in seconds, may be shorter than its runs."""
    return ServiceHarness(replace(CORE_SETTINGS, classes=(READ, replace(KEYED, key_window=key_window))))


def test_a_joined_request_is_served_by_its_run_although_the_key_has_expired() -> None:
    harness = harness_with_key_window(0.3)
    harness.submit(1)
    harness.run_until(harness.now + 0.2)
    harness.submit(2)
    harness.run_until(harness.now + 0.8)
    harness.submit(3)  # after the key window, so it starts its own run
    assert harness.spawned_ids() == [encode_id(1), encode_id(3)]
    harness.finish_run(1, result=b"first")
    assert harness.statuses(2) == ["served"] and harness.responses[encode_id(2)][0].body == b"first"
    harness.finish_run(3, result=b"second")
    assert harness.responses[encode_id(3)][0].body == b"second"
    harness.run_until(harness.now + 20.0)
    assert (
        not harness.service.keys.records
        and not harness.service.keys.used_bytes
        and not harness.service.requests
    )


@pytest.mark.parametrize("newer_end", ["caller closes", "run never started"])
def test_an_attempt_that_is_read_late_gets_the_result_of_its_key_window_despite_a_newer_run(
    newer_end: str,
) -> None:
    harness = harness_with_key_window(1.0)
    arrived_at = harness.now + 0.9
    harness.submit(1)
    harness.finish_run(1)
    harness.run_until(harness.now + 1.5)
    for number in range(10, 26):
        harness.submit(number, "read")  # every slot is taken
    newer_number = harness.submit(3)
    if newer_end == "caller closes":
        assert encode_id(3) not in harness.spawned_ids()
        harness.service.abandon(newer_number)
    else:
        for number in range(10, 26):
            harness.finish_run(number)
        assert encode_id(3) in harness.spawned_ids()
        harness.finish_run(3, Outcome.NOT_STARTED)
    harness.submit(2, received_at=arrived_at)  # arrived within the first one's key window
    assert encode_id(2) not in harness.spawned_ids() and harness.responses[encode_id(2)][0].body == b"result"


def test_keys_are_bounded_by_their_size_and_not_by_their_number() -> None:
    """With many keys and a long key window, small results must not fill a table sized for large ones."""
    harness = ServiceHarness(max_key_bytes=20 * 6000)
    for number in range(1, 61):
        harness.submit(number, key=b"%d" % number)
        harness.finish_run(number)
    assert len(harness.spawned_ids()) == 60
    for number in range(101, 141):
        harness.submit(number, key=b"%d" % number)
        harness.finish_run(number, result=b"x" * 4096)
    assert 4 < len(harness.spawned_ids()) - 60 < 20 and harness.service.keys.used_bytes <= 20 * 6000
    retried = ServiceHarness(max_key_bytes=20 * 6000)
    for number in range(1, 5000):  # further attempts of one key take little space
        retried.submit(number)
        if number == 1:
            retried.finish_run(1)
    assert retried.service.keys.used_bytes < 8000 and retried.statuses(4999) == ["served"]


def test_keys_that_were_not_handed_over_may_have_run() -> None:
    harness = ServiceHarness()
    harness.service.mark_keys_uncertain()
    harness.submit(1)
    harness.submit(2, "read")
    assert harness.statuses(1) == ["failed"]  # not rejected, as that would promise that it never ran
    # An attempt that arrives until then may belong to a run before the takeover.
    harness.run_until(harness.now + 6.0 + 0.08)
    harness.submit(3)
    harness.run_until(harness.now + 0.1)
    harness.submit(4)
    assert harness.statuses(3) == ["failed"] and harness.spawned_ids() == [encode_id(2), encode_id(4)]


@pytest.mark.parametrize(
    "fault", ["sends nothing", "exits on connect", "exits on request", "hands over late"]
)
def test_keys_are_uncertain_if_the_predecessor_does_not_hand_them_over(
    fault: str, tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr("saltcart.takeover.predecessor.HANDOVER_TIMEOUT_SECONDS", 0.2)

    async def scenario() -> None:
        predecessor_socket = socket.socket(socket.AF_UNIX, socket.SOCK_SEQPACKET)
        predecessor_socket.bind(str(tmp_path / "saltcart-n1"))
        predecessor_socket.listen(1)
        predecessor_socket.setblocking(False)
        loop = asyncio.get_running_loop()

        async def run_predecessor() -> None:
            link, _ = await loop.sock_accept(predecessor_socket)
            if fault == "exits on connect":
                link.close()
                return
            assert b"take" in await loop.sock_recv(link, 4096)
            if fault == "exits on request":
                link.close()
                return
            await until(lambda: bool(app.fronts))
            if fault == "hands over late":
                link.send(wire.encode(wire.HandoverPacket("yours", {})))

        with socket.create_server(("127.0.0.1", 0)) as listening_socket:
            environment = {"BALANCER_LISTEN_FD": str(listening_socket.fileno()), "TMPDIR": str(tmp_path)}
            async with Pool() as pool:
                app = App(
                    read_config(raw_config(pool=pool.address), environment),
                    Deployment(),
                    lambda event, **_: None,
                )
                predecessor_task = asyncio.create_task(run_predecessor())
                await app.start()
                try:
                    await until(app.is_ready)
                    await predecessor_task
                    client = await HttpClient("{}:{}".format(*listening_socket.getsockname())).open()
                    assert (await client.post(1)).status == 200
                    if fault == "hands over late":
                        await until(lambda: not app.service.lifecycle.attempts.uncertain_until)
                    status = (await client.post(2, "oddaja", key="k")).status
                    assert status == (200 if fault == "hands over late" else 500)
                    assert (encode_id(2) in pool.spawned) is (fault == "hands over late")
                finally:
                    await app.close()
                    predecessor_socket.close()

    asyncio.run(scenario())


# ---- the drain --------------------------------------------------------------------------------


@pytest.mark.parametrize("class_name", ["read", "oddaja"])
@pytest.mark.parametrize("seconds_before_stop", [0.119, 0.05, 0.0, -0.5])
def test_a_request_is_rejected_at_once_after_the_final_responses_of_a_drain(
    class_name: str, seconds_before_stop: float
) -> None:
    harness = ServiceHarness(
        replace(
            CORE_SETTINGS,
            drain_grace=5.0,
            classes=tuple(replace(spec, latency_objective=0.3) for spec in CORE_SETTINGS.classes),
        )
    )
    harness.submit(1, class_name)
    harness.service.start_drain(2.0)
    harness.run_until(harness.now + 2.0 - seconds_before_stop)
    harness.submit(2, class_name, key=b"other")
    assert (
        harness.statuses(1) == ["failed"]
        and harness.statuses(2) == ["refused"]
        and len(harness.spawned_ids()) == 1
    )


@pytest.mark.parametrize(("seconds_late", "is_run"), [(-0.001, True), (0.0, True), (0.001, False)])
def test_the_drain_grace_is_kept_to_the_millisecond(seconds_late: float, is_run: bool) -> None:
    """The time of arrival counts. The controller's own limit, a tenth of the grace earlier, is disabled."""
    harness = ServiceHarness()
    assert harness.service.controller is not None
    harness.service.start_drain(3.0)
    harness.service.controller.drain.accept_until = float("inf")
    harness.run_until(harness.now + 1.0)
    harness.submit(1, "read", received_at=harness.now + seconds_late)
    assert (harness.spawned_ids() == [encode_id(1)]) is is_run
    harness.run_until(harness.now + 3.0)
    assert len(harness.statuses(1)) == 1


@pytest.mark.parametrize("notice", ["before the pool is up", "twice", "before the pool is up and again"])
def test_repeated_or_early_stop_notices_start_one_drain(notice: str) -> None:
    harness = ServiceHarness(pool_up=notice == "twice")
    harness.service.start_drain(3.0)
    if notice != "before the pool is up":
        harness.run_until(harness.now + 0.5)
        harness.service.start_drain(3.0)
    if notice != "twice":
        harness.submit(1, "read")
        assert harness.statuses(1) == ["refused"]  # no pool yet
        harness.run_until(harness.now + 1.2)
        harness.service.pool_started(True, 0.0)
    assert harness.logged_events.count("drain") == 1 and not harness.service.is_healthy
    harness.run_until(1_000.0 + 1.5)
    harness.submit(2, "read")  # after the grace of the first notice
    harness.run_until(1_000.0 + 3.0)
    assert encode_id(2) not in harness.spawned_ids() and len(harness.statuses(2)) == 1


# ---- connections ------------------------------------------------------------------------------


def test_a_request_received_during_a_long_event_loop_turn_is_read_before_the_idle_close() -> None:
    """The balancer resends a request that the close crosses within 50 ms; a longer turn would lose it."""

    async def scenario() -> None:
        async with Pool() as pool, running(pool=pool.address) as app:
            listener = app.fronts["http"]
            listener.sweeper.stop()
            client = await HttpClient(app.addresses["http"]).open()
            assert (await client.post(1)).status == 200
            idle = await HttpClient(app.addresses["http"]).open()
            assert (await idle.post(2)).status == 200
            for connection in listener.idle:
                connection.state_since -= 100.0
            # In one turn of the event loop, the request is sent and the sweep finds its connection idle.
            bypass_transport(client)
            client.send(3)
            listener._sweep()
            assert (await asyncio.wait_for(client.read_response(), 10)).status == 200
            assert await asyncio.wait_for(idle.reader.read(), 10) == b""  # this one was idle

    asyncio.run(scenario())


# ---- exits ------------------------------------------------------------------------------------


@pytest.mark.parametrize("variant", ["SIGTERM twice", "SIGHUP between", "no pool yet"])
def test_the_program_drains_once_and_exits_despite_further_signals(variant: str, tmp_path: Path) -> None:
    async def scenario() -> None:
        async with Pool(finishes_runs=False) as pool:
            is_pool_down = variant == "no pool yet"
            address = "127.0.0.1:1" if is_pool_down else pool.address
            with socket.create_server(("127.0.0.1", 0)) as port_holder:
                listen = "{}:{}".format(*port_holder.getsockname())
            program = await start_program(
                tmp_path / "c.json", raw_config(pool=address, listen=listen, stop_ms=900)
            )
            assert program.stdout is not None
            await wait_for_log_event(program.stdout, "listening" if is_pool_down else "pool-started")
            client = await HttpClient(listen).open()
            if is_pool_down:
                assert (await client.post(1)).status == 503  # with the time after which to retry
            else:
                client.send(1)
                await until(lambda: pool.spawned == [encode_id(1)])
            program.terminate()
            await wait_for_log_event(program.stdout, "drain")
            if variant == "SIGHUP between":
                program.send_signal(signal.SIGHUP)
                await wait_for_log_event(program.stdout, "reloaded")
            program.terminate()
            if not is_pool_down:
                # Before the platform stops it.
                assert (await asyncio.wait_for(client.read_response(), 10)).status == 500
            # It answers until it is stopped, so that no client is refused a connection.
            assert (await asyncio.wait_for(client.post(2), 10)).status == 503
            output, errors = await program.communicate()
            assert program.returncode == 0 and errors == b"" and output.count(b'"drain"') == 0

    asyncio.run(scenario())


def test_sigterm_during_startup_drains_the_program_or_ends_it_before_it_listens(
    tmp_path: Path,
) -> None:
    async def scenario() -> None:
        with socket.create_server(("127.0.0.1", 0)) as port_holder:
            listen = "{}:{}".format(*port_holder.getsockname())
        program = await start_program(tmp_path / "c.json", raw_config(pool="127.0.0.1:1", listen=listen))
        program.terminate()
        output, errors = await program.communicate()
        # Before the signal handlers are installed, SIGTERM kills the program.  It has not listened by then,
        # so no request is lost.
        assert program.returncode in (0, -signal.SIGTERM) and errors == b""
        assert program.returncode == 0 or b"listening" not in output

    asyncio.run(scenario())


# ---- disconnects, lost events and simultaneous ends -------------------------------------------


@pytest.mark.parametrize("front", ["http", "ajp"])
@pytest.mark.parametrize(
    "point",
    ["partial body", "half-close after the request", "reset during the run", "second request, then reset"],
)
def test_a_client_that_disconnects_at_any_point_leaves_no_state(front: str, point: str) -> None:
    """A close means that the caller no longer waits, also after bytes of a further request."""

    async def scenario() -> None:
        async with Pool(finishes_runs=False) as pool, running(BOTH_FRONTS, pool=pool.address) as app:
            service, listener = app.service, app.fronts[front]
            client = await CLIENTS[front](app.addresses[front]).open()
            if point == "partial body":
                unsent_parts: list[bytes] = []
                write_to_socket, client.writer.write = client.writer.write, unsent_parts.append  # type: ignore[assignment, method-assign]
                client.send(1, body=b"xyz")
                write_to_socket(b"".join(unsent_parts)[:-2])
                await until(lambda: any(c.has_partial_request() for c in listener.connections))  # type: ignore[attr-defined]
            else:
                client.send(1)
                await until(lambda: pool.spawned == [encode_id(1)])
            if point == "second request, then reset":
                client.send(2)
            if point == "half-close after the request":
                client.writer.write_eof()
                # The client may still read.
                assert (await client.read_response()).status == 500
                assert await client.reader.read() == b""
            else:
                client.drop()
            await until(lambda: not listener.connections)
            if pool.spawned:
                await until(lambda: b"suspend " + encode_id(1) in pool.received_lines)
                pool.finish(encode_id(1), b"KILLED")
            await until(lambda: not service.requests)
            assert service.controller is not None and service.controller.table.memory_kb == 0
            assert not any(service.controller.table.counts) and encode_id(2) not in pool.spawned
            pool.finishes_runs = True
            new_client = await CLIENTS[front](app.addresses[front]).open()
            assert (await new_client.post(3)).status == 200

    asyncio.run(scenario())


@pytest.mark.parametrize(
    "failure", ["hangs", "resets", "responds 500", "sends garbage", "closes after the response"]
)
def test_reports_continue_after_any_failure_of_the_announce_service(
    failure: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr("saltcart.net.announcer.REPORT_TIMEOUT_SECONDS", 0.1)
    monkeypatch.setattr("saltcart.net.announcer.REPORT_INTERVAL_SECONDS", 0.1)
    received_reports: list[bytes] = []

    async def scenario() -> None:
        async def fail_at_first(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            while await reader.readline():
                received_reports.append((await reader.readuntil(b"}")).rpartition(b"{")[2])
                responses = {
                    "responds 500": b"HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n",
                    "sends garbage": b"\0" * 5000,
                    "closes after the response": b"HTTP/1.1 204 No Content\r\nConnection: close\r\n\r\n",
                }
                writer.write(
                    b"HTTP/1.1 204 No Content\r\n\r\n"
                    if len(received_reports) > 4
                    else responses.get(failure, b"")
                )
                if failure == "resets" and len(received_reports) <= 4:
                    writer.transport.abort()

        async with (
            Server(fail_at_first) as announce_service,
            Pool() as pool,
            running(pool=pool.address, announce=announce_service.address) as app,
        ):
            await until(lambda: len(received_reports) > 6)
            app.service.set_withdrawn(True)
            await until(lambda: b"false" in received_reports[-1])
            assert app.announcer is not None and not app.announcer.is_failing
            assert len(announce_service.writers) >= 1 and b"true" in received_reports[0]

    asyncio.run(scenario())


@pytest.mark.parametrize("class_name", ["read", "oddaja"])
def test_a_run_whose_end_is_never_reported_releases_its_resources(class_name: str) -> None:
    """This happens when the service has missed more notices than the pool keeps."""
    harness = ServiceHarness()
    harness.submit(1, class_name)
    assert harness.spawned_ids() == [encode_id(1)] and harness.service.controller is not None
    harness.run_until(harness.now + 4.2)
    # The run may still be on a core.
    assert harness.statuses(1) == ["failed"] and harness.service.load().running == 1
    harness.run_until(harness.now + 20.0)
    assert (
        "written-off" in harness.logged_events
        and not harness.service.requests
        and not harness.service.requests_by_id
    )
    table = harness.service.controller.table
    assert not any(table.counts) and table.memory_kb == pytest.approx(0)


def test_after_a_pause_past_several_deadlines_each_request_is_answered_once_and_none_starts_late() -> None:
    harness = ServiceHarness()
    for number in range(1, 41):
        harness.submit(number, "read" if number % 2 else "oddaja", key=b"%d" % number)
    started_count = len(harness.spawned_ids())
    assert 2 <= started_count < 40
    harness.now += 30.0  # no timer fired meanwhile
    harness.service.tick()
    harness.finish_run(1)  # its end was reported during the pause
    harness.run_until(harness.now + 1.0)
    assert (
        all(len(responses) == 1 for responses in harness.responses.values())
        and len(harness.spawned_ids()) == started_count
    )
    harness.submit(50, "read")
    assert harness.statuses(50) in ([], ["refused"])
    harness.run_until(harness.now + 20.0)
    assert not harness.service.requests and len(harness.statuses(50)) == 1


@pytest.mark.parametrize("class_name", ["read", "oddaja"])
@pytest.mark.parametrize("first", ["run end", "caller close", "deadline"])
def test_a_run_end_a_caller_close_and_the_deadline_at_one_time_end_a_request_once(
    class_name: str, first: str
) -> None:
    harness = ServiceHarness()
    number = harness.submit(1, class_name)
    # The deadline has passed, the slack after it has not, and no timer has fired.
    harness.now += 3.0 + CORE_SETTINGS.answer_slack / 2
    actions = {
        "run end": lambda: harness.finish_run(1),
        "caller close": lambda: harness.service.abandon(number),
        "deadline": harness.service.tick,
    }
    actions[first]()
    for other in actions:
        actions[other]()
    assert len(harness.statuses(1)) == (0 if first == "caller close" else 1)
    harness.finish_run(1)
    harness.run_until(harness.now + 20.0)
    assert (
        not harness.service.requests
        and not harness.service.keys.used_bytes
        and len(harness.spawned_ids()) == 1
    )
