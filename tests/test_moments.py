"""Rare moments at the edges of the process, each forced by the order of events: docs/design/endings.md."""

from __future__ import annotations

import asyncio
import os
import signal
from typing import Any

import pytest

from saltcart.decision.actions import FailRequest
from saltcart.decision.controller import Controller
from saltcart.decision.events import RequestArrived, Started, TimerFired
from saltcart.decision.outcome import Outcome
from saltcart.log import JsonLog
from saltcart.net.index import IndexCall, IndexClient
from saltcart.net.listener import Listener, ServerConnection
from saltcart.net.signals import handle_signals
from tests.fakes import SETTINGS as CORE
from tests.fakes import ServiceHarness
from tests.standins import BOTH_FRONTS, CLIENTS, HttpClient, Pool, bypass_transport, encode_id, running, until
from tests.test_termination import harness_with_key_window


def test_a_drain_counts_from_the_notice_though_a_long_turn_hides_it() -> None:
    came: list[float] = []

    async def play() -> None:
        async with Pool() as pool, running(pool=pool.address) as app:
            clock, heard = app.service.clock.read_seconds, asyncio.Event()

            def leave(ago: float) -> None:
                app.begin_drain(heard.set, ago)
                heard.set()

            handle_signals((signal.SIGTERM, signal.SIGINT), clock, leave)
            for number in (signal.SIGTERM, signal.SIGINT):  # the second one moves nothing
                os.kill(os.getpid(), number)
                came.append(clock())
                while clock() < came[-1] + 0.5:  # the turn goes on
                    pass
            await heard.wait()
            drain_at, stop_at = app.service.drain.notified_at, app.service.drain.stop_at
            assert drain_at is not None and drain_at < came[1]
            assert stop_at - drain_at == pytest.approx(app.conf.stop_timeout, abs=0.1)

    before = [signal.getsignal(number) for number in (signal.SIGTERM, signal.SIGINT)]
    try:
        asyncio.run(play())
    finally:
        for number, handler in zip((signal.SIGTERM, signal.SIGINT), before):
            signal.signal(number, handler)


def test_a_start_beside_cores_that_have_run_for_a_year_looks_at_no_sweep_of_that_year() -> None:
    """A new version, or a service that is started again, finds a pool that has been up for long."""
    looked: list[int] = []

    class Wheel(dict[int, Any]):
        def pop(self, at: int, *default: Any) -> Any:
            looked.append(at)
            return super().pop(at, *default)

    controller = Controller(CORE, 1)
    controller.wheel.slots = Wheel()
    year, now = 31_536_000.0, 1_800_000_000.0
    controller.handle(now - year, Started())
    controller.handle(now, RequestArrived(7, 0, 10.0, 0.5, time_to_deadline=0.5))
    controller.handle(now + controller.sweep_interval, TimerFired(0))
    assert 0 < len(looked) < 5
    told = [
        a for n in range(2, 60) for a in controller.handle(now + n * controller.sweep_interval, TimerFired(0))
    ]
    assert FailRequest(7) in told  # and what stands there is still found


@pytest.mark.parametrize("front", CLIENTS)
def test_a_request_that_waits_at_a_new_connection_in_a_long_turn_is_read_before_its_time_is_over(
    front: str,
) -> None:
    async def play() -> None:
        async with Pool() as pool, running(BOTH_FRONTS, pool=pool.address) as app:
            listener = app.fronts[front]
            listener.sweeper.stop()
            client = await CLIENTS[front](app.addresses[front]).open()
            silent = await CLIENTS[front](app.addresses[front]).open()
            await until(lambda: len(listener.awaiting_request) == 2)
            for connection in listener.awaiting_request:
                connection.state_since -= 100.0
            bypass_transport(client)
            client.send(1)
            listener._sweep()
            assert (await asyncio.wait_for(client.read_response(), 10)).status == 200
            assert await asyncio.wait_for(silent.reader.read(), 10) == b""

    asyncio.run(play())


@pytest.mark.parametrize("front", CLIENTS)
def test_bytes_behind_the_last_answer_of_a_connection_reset_nothing(
    front: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The answer says that the connection ends; what crosses it stands unread at the socket."""
    monkeypatch.setattr(ServerConnection, "LINGER_SECONDS", 60.0)  # what ends it is the client's close

    async def play() -> None:
        async with Pool(finishes_runs=False) as pool, running(BOTH_FRONTS, pool=pool.address) as app:
            listener = app.fronts[front]
            listener.sweeper.stop()
            client = await CLIENTS[front](app.addresses[front]).open()
            client.send(1)
            await until(lambda: pool.spawned == [encode_id(1)])
            app.service.executor.idle_timeout = 0.01  # the module closes idle connections at once
            bypass_transport(client)(b"POST /call/read HTTP/1.1\r\nHost")
            app.service.run_finished(encode_id(1), Outcome.SUCCEEDED, 0.1, b"done")
            assert (await client.read_response()).body == b"done"
            assert await client.reader.read() == b""  # an end, and no reset
            client.writer.close()
            await until(lambda: not listener.connections)
            assert pool.spawned == [encode_id(1)]

    asyncio.run(play())


@pytest.mark.parametrize("end", ["idle", "half-closed"])
def test_answers_that_are_never_read_do_not_hold_a_descriptor(
    end: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(Listener, "REQUEST_TIMEOUT_SECONDS", 0.02)

    async def play() -> None:
        async with Pool() as pool, running(pool=pool.address) as app:
            listener = app.listeners[0]
            listener.sweeper.stop()
            client = await HttpClient(app.addresses["http"]).open()
            client.writer.transport.pause_reading()  # type: ignore[attr-defined]
            await until(lambda: len(listener.connections) == 1)
            served = next(iter(listener.connections))
            assert served.transport is not None
            # Fewer bytes than make it count as stuck, were the system's buffers as small.
            served.transport.set_write_buffer_limits(1 << 30)
            served.send(b"x" * (16 << 20))
            served.mark_idle()
            assert served.transport.get_write_buffer_size() and served not in listener.write_blocked
            if end == "idle":
                served.state_since -= 100.0
                listener._sweep()
            else:
                client.writer.write_eof()
            await until(lambda: not listener.connections)

    asyncio.run(play())


@pytest.mark.parametrize("ended", ["half_close", "close"])
def test_a_long_answer_that_is_read_slowly_is_not_cut_off(
    ended: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(ServerConnection, "LINGER_SECONDS", 0.0)
    monkeypatch.setattr(Listener, "REQUEST_TIMEOUT_SECONDS", 60.0)

    async def play() -> None:
        async with Pool() as pool, running(pool=pool.address) as app:
            client = await HttpClient(app.addresses["http"]).open()
            await until(lambda: len(app.listeners[0].connections) == 1)
            served = next(iter(app.listeners[0].connections))
            served.send(b"x" * (16 << 20))
            assert served.transport is not None and served.transport.get_write_buffer_size()
            getattr(served, ended)()
            for _ in range(100):  # turns in which nothing is read
                await asyncio.sleep(0)
            assert len(await client.reader.read()) == 16 << 20
            client.writer.close()

    asyncio.run(play())


def test_a_call_that_waits_takes_the_place_of_one_given_up_while_it_connected(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    begun: list[bytes] = []

    async def connect(client: IndexClient, call: IndexCall) -> None:
        begun.append(call.request_id)
        await asyncio.Event().wait()  # a proxy that takes no connection and refuses none

    monkeypatch.setattr(IndexClient, "_connect", connect)

    async def play() -> None:
        client = IndexClient(
            "127.0.0.1:1", ServiceHarness().service, lambda event, **_: None, max_connections=1
        )
        client.call(b"a", 1.0, b"", False)
        client.call(b"b", 1.0, b"", False)
        await until(lambda: begun == [b"a"])
        client.cancel_call(b"a")
        await until(lambda: begun == [b"a", b"b"])
        client.close()
        await until(lambda: not client.connect_tasks)

    asyncio.run(play())


@pytest.mark.parametrize(
    ("end", "told"), [(Outcome.SUCCEEDED, "served"), (Outcome.FAILED, "failed"), (None, "failed")]
)
@pytest.mark.parametrize("closed", ["before the stop", "handed over"])
def test_a_further_try_of_what_has_run_is_never_refused_also_where_nothing_is_taken_any_more(
    end: Outcome | None, told: str, closed: str
) -> None:
    w = ServiceHarness()
    w.submit(1)
    assert w.spawned_ids() == [encode_id(1)]
    if end is not None:
        w.finish_run(1, end)
    if closed == "handed over":
        w.service.lifecycle.attempts.hand_over(lambda entry, gone: None)
    else:
        w.service.start_drain(2.0)
        w.run_until(w.now + 1.95)
    w.submit(2)
    w.submit(3, key=b"new")
    assert w.statuses(2) == [told] and w.statuses(3) == ["refused"]
    assert told == "failed" or w.responses[encode_id(2)][0].body == b"result"


def test_a_sender_whose_clock_is_ahead_puts_no_try_past_its_window() -> None:
    w = harness_with_key_window(1.0)
    w.submit(1)
    w.finish_run(1)
    w.run_until(w.now + 0.5)
    w.submit(2, received_at=w.now + 4.0)
    assert w.spawned_ids() == [encode_id(1)] and w.responses[encode_id(2)][0].body == b"result"
    ahead = harness_with_key_window(1.0)
    ahead.submit(1, received_at=ahead.now + 4.0)  # and its own window is counted from what it says
    ahead.finish_run(1)
    ahead.run_until(ahead.now + 4.5)
    ahead.submit(2)
    assert ahead.spawned_ids() == [encode_id(1)]


@pytest.mark.parametrize("sockets", [64, 100, 128, 256, 512, 1024])
def test_balancers_may_hold_half_of_the_descriptors_however_few_there_are(sockets: int) -> None:
    async def play() -> None:
        async with (
            Pool() as pool,
            running(pool=pool.address, control="127.0.0.1:0", limits={"sockets": sockets}) as app,
        ):
            listeners: list[Listener] = app.listeners
            assert app.index is None and app.fronts["http"].max_connections >= sockets // 2
            assert sum(one.max_connections for one in listeners) <= sockets - max(16, sockets // 16)

    asyncio.run(play())


def test_a_line_that_could_not_be_written_is_not_the_last_one(monkeypatch: pytest.MonkeyPatch) -> None:
    """The disk under the log was full for a moment."""
    full, write = [True], os.write
    reading, writing = os.pipe()

    def attempt(fd: int, data: bytes) -> int:
        if fd == writing and full[0]:
            raise OSError(28, "no space")
        return write(fd, data)

    monkeypatch.setattr(os, "write", attempt)

    async def play() -> None:
        log = JsonLog(writing)
        log("first")
        await until(lambda: log.dropped == 1)
        full[0] = False
        log("second")
        log.close()

    asyncio.run(play())
    os.close(writing)
    with os.fdopen(reading, "rb") as lines:
        (line,) = lines.readlines()
    assert b'"second"' in line and b'"dropped":1' in line
