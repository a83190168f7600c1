"""Edge cases of drains, connections, clocks and the log, each forced by the order of events.

They are listed in docs/design/endings.md.
"""

from __future__ import annotations

import asyncio
import os
import signal
from typing import Any

import pytest

from saltcart.core.idempotency_keys import KeyRecord, digest
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

RESPONSE_BYTES = 16 << 20  # more than the buffers of the sockets hold


def test_drain_time_counts_from_the_first_signal_during_a_long_loop_iteration() -> None:
    """The event loop runs a signal handler only after the iteration in which the signal arrived."""
    signal_times: list[float] = []

    async def scenario() -> None:
        async with Pool() as pool, running(pool=pool.address) as app:
            read_clock, drain_started = app.service.clock.read_seconds, asyncio.Event()

            def begin_drain(seconds_ago: float) -> None:
                app.begin_drain(drain_started.set, seconds_ago)
                drain_started.set()

            handle_signals((signal.SIGTERM, signal.SIGINT), read_clock, begin_drain)
            for signal_number in (signal.SIGTERM, signal.SIGINT):  # the second one must not move the times
                os.kill(os.getpid(), signal_number)
                signal_times.append(read_clock())
                while read_clock() < signal_times[-1] + 0.5:  # prolong the iteration
                    pass
            await drain_started.wait()
            drain_at, stop_at = app.service.drain.notified_at, app.service.drain.stop_at
            assert drain_at is not None and drain_at < signal_times[1]
            assert stop_at - drain_at == pytest.approx(app.conf.stop_timeout, abs=0.1)

    previous_handlers = [signal.getsignal(signal_number) for signal_number in (signal.SIGTERM, signal.SIGINT)]
    try:
        asyncio.run(scenario())
    finally:
        for signal_number, handler in zip((signal.SIGTERM, signal.SIGINT), previous_handlers):
            signal.signal(signal_number, handler)


def test_start_with_a_year_old_pool_skips_the_sweeps_of_that_year() -> None:
    """A restarted service finds a pool that has been up for long, and must not catch up on missed sweeps."""
    visited_slots: list[int] = []

    class RecordingSlots(dict[int, Any]):
        def pop(self, slot: int, *default: Any) -> Any:
            visited_slots.append(slot)
            return super().pop(slot, *default)

    controller = Controller(CORE, 1)
    controller.wheel.slots = RecordingSlots()
    year_seconds, now = 31_536_000.0, 1_800_000_000.0
    controller.handle(now - year_seconds, Started())
    controller.handle(now, RequestArrived(7, 0, 10.0, 0.5, time_to_deadline=0.5))
    controller.handle(now + controller.sweep_interval, TimerFired(0))
    assert 0 < len(visited_slots) < 5
    actions = [
        action
        for sweep in range(2, 60)
        for action in controller.handle(now + sweep * controller.sweep_interval, TimerFired(0))
    ]
    assert FailRequest(7) in actions  # the scheduled check of the request is still found


@pytest.mark.parametrize("front", CLIENTS)
def test_request_on_a_new_connection_during_a_long_loop_iteration_is_read_before_its_timeout(
    front: str,
) -> None:
    """The timeout is checked in an iteration in which the request has arrived, but has not been read yet."""

    async def scenario() -> None:
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

    asyncio.run(scenario())


@pytest.mark.parametrize("front", CLIENTS)
def test_bytes_after_the_last_response_do_not_reset_the_connection(
    front: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The response announces the close, and bytes sent before the client reads it are left unread.

    Closing a socket with unread bytes resets the connection, and the client would lose the response.
    """
    monkeypatch.setattr(ServerConnection, "LINGER_SECONDS", 60.0)  # only the client's close may end it

    async def scenario() -> None:
        async with Pool(finishes_runs=False) as pool, running(BOTH_FRONTS, pool=pool.address) as app:
            listener = app.fronts[front]
            listener.sweeper.stop()
            client = await CLIENTS[front](app.addresses[front]).open()
            client.send(1)
            await until(lambda: pool.spawned == [encode_id(1)])
            app.service.executor.idle_timeout = 0.01  # close idle connections at once
            bypass_transport(client)(b"POST /call/read HTTP/1.1\r\nHost")
            app.service.run_finished(encode_id(1), Outcome.SUCCEEDED, 0.1, b"done")
            assert (await client.read_response()).body == b"done"
            assert await client.reader.read() == b""  # end of file without a reset
            client.writer.close()
            await until(lambda: not listener.connections)
            assert pool.spawned == [encode_id(1)]

    asyncio.run(scenario())


@pytest.mark.parametrize("cause", ["idle", "half-closed"])
def test_unread_responses_do_not_hold_a_descriptor_after_the_close(
    cause: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    """A transport closes only after its buffer was written, which a client that never reads prevents."""
    monkeypatch.setattr(Listener, "REQUEST_TIMEOUT_SECONDS", 0.02)

    async def scenario() -> None:
        async with Pool() as pool, running(pool=pool.address) as app:
            listener = app.listeners[0]
            listener.sweeper.stop()
            client = await HttpClient(app.addresses["http"]).open()
            client.writer.transport.pause_reading()  # type: ignore[attr-defined]
            await until(lambda: len(listener.connections) == 1)
            served = next(iter(listener.connections))
            assert served.transport is not None
            # As if the response were too small to count the connection as blocked for writing.
            served.transport.set_write_buffer_limits(1 << 30)
            served.send(b"x" * (RESPONSE_BYTES))
            served.mark_idle()
            assert served.transport.get_write_buffer_size() and served not in listener.write_blocked
            if cause == "idle":
                served.state_since -= 100.0
                listener._sweep()
            else:
                client.writer.write_eof()
            await until(lambda: not listener.connections)

    asyncio.run(scenario())


@pytest.mark.parametrize("close_method", ["half_close", "close"])
def test_long_response_that_is_read_slowly_is_not_cut_off(
    close_method: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The short linger time must not apply while the response is still being sent."""
    monkeypatch.setattr(ServerConnection, "LINGER_SECONDS", 0.0)
    monkeypatch.setattr(Listener, "REQUEST_TIMEOUT_SECONDS", 60.0)

    async def scenario() -> None:
        async with Pool() as pool, running(pool=pool.address) as app:
            client = await HttpClient(app.addresses["http"]).open()
            await until(lambda: len(app.listeners[0].connections) == 1)
            served = next(iter(app.listeners[0].connections))
            served.send(b"x" * (RESPONSE_BYTES))
            assert served.transport is not None and served.transport.get_write_buffer_size()
            getattr(served, close_method)()
            for _ in range(100):  # loop iterations in which nothing is read
                await asyncio.sleep(0)
            assert len(await client.reader.read()) == RESPONSE_BYTES
            client.writer.close()

    asyncio.run(scenario())


def test_waiting_call_gets_the_connection_slot_of_one_cancelled_while_connecting(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    connecting: list[bytes] = []

    async def connect(client: IndexClient, call: IndexCall) -> None:
        connecting.append(call.request_id)
        await asyncio.Event().wait()  # a proxy that neither accepts nor refuses the connection

    monkeypatch.setattr(IndexClient, "_connect", connect)

    async def scenario() -> None:
        client = IndexClient(
            "127.0.0.1:1", ServiceHarness().service, lambda event, **_: None, max_connections=1
        )
        client.call(b"a", 1.0, b"", False)
        client.call(b"b", 1.0, b"", False)
        await until(lambda: connecting == [b"a"])
        client.cancel_call(b"a")
        await until(lambda: connecting == [b"a", b"b"])
        client.close()
        await until(lambda: not client.connect_tasks)

    asyncio.run(scenario())


@pytest.mark.parametrize(
    ("outcome", "status"), [(Outcome.SUCCEEDED, "served"), (Outcome.FAILED, "failed"), (None, "failed")]
)
@pytest.mark.parametrize("ending", ["shortly before the stop", "handed over"])
def test_retry_of_a_request_that_ran_is_not_rejected_though_new_requests_are(
    outcome: Outcome | None, status: str, ending: str
) -> None:
    """A rejection would say that the request did not run, and the caller would run it elsewhere."""
    harness = ServiceHarness()
    harness.submit(1)
    assert harness.spawned_ids() == [encode_id(1)]
    if outcome is not None:
        harness.finish_run(1, outcome)
    if ending == "handed over":
        harness.service.lifecycle.attempts.hand_over(lambda entry, is_freed: None)
    else:
        harness.service.start_drain(2.0)
        harness.run_until(harness.now + 1.95)
    harness.submit(2)
    harness.submit(3, key=b"new")
    assert harness.statuses(2) == [status] and harness.statuses(3) == ["refused"]
    assert status == "failed" or harness.responses[encode_id(2)][0].body == b"result"


# Guards against: 503 for a request that the predecessor has begun to run since it handed over its keys.
def test_retry_of_a_request_that_the_predecessor_may_be_running_is_not_rejected_in_a_drain() -> None:
    harness = ServiceHarness()
    record = KeyRecord(("a", "oddaja", b"k"), 0, harness.now + 6.0, digest(b"body of k"))
    harness.service.adopt_key(record, is_free=False)
    harness.service.start_drain(2.0)
    harness.run_until(harness.now + 1.95)
    harness.submit(2)
    harness.submit(3, key=b"new")
    assert harness.statuses(2) == ["failed"] and harness.statuses(3) == ["refused"]


def test_sender_clock_that_is_ahead_does_not_move_a_retry_past_the_key_window() -> None:
    """A Received-At in the future would make the retry run a second time inside the window."""
    harness = harness_with_key_window(1.0)
    harness.submit(1)
    harness.finish_run(1)
    harness.run_until(harness.now + 0.5)
    harness.submit(2, received_at=harness.now + 4.0)
    assert harness.spawned_ids() == [encode_id(1)] and harness.responses[encode_id(2)][0].body == b"result"
    first_ahead = harness_with_key_window(1.0)
    first_ahead.submit(1, received_at=first_ahead.now + 4.0)  # its window counts from the time that it states
    first_ahead.finish_run(1)
    first_ahead.run_until(first_ahead.now + 4.5)
    first_ahead.submit(2)
    assert first_ahead.spawned_ids() == [encode_id(1)]


@pytest.mark.parametrize("sockets", [64, 100, 128, 256, 512, 1024])
def test_balancers_may_use_half_of_any_number_of_descriptors(sockets: int) -> None:
    async def scenario() -> None:
        async with (
            Pool() as pool,
            running(pool=pool.address, control="127.0.0.1:0", limits={"sockets": sockets}) as app,
        ):
            listeners: list[Listener] = app.listeners
            assert app.index is None and app.fronts["http"].max_connections >= sockets // 2
            assert sum(listener.max_connections for listener in listeners) <= sockets - max(16, sockets // 16)

    asyncio.run(scenario())


def test_log_lines_after_a_failed_write_are_written(monkeypatch: pytest.MonkeyPatch) -> None:
    """The disk that the log is written to was full for a moment."""
    is_disk_full, write = [True], os.write
    read_end, write_end = os.pipe()

    def write_unless_full(fd: int, data: bytes) -> int:
        if fd == write_end and is_disk_full[0]:
            raise OSError(28, "no space")
        return write(fd, data)

    monkeypatch.setattr(os, "write", write_unless_full)

    async def scenario() -> None:
        log = JsonLog(write_end)
        log("first")
        await until(lambda: log.dropped == 1)
        is_disk_full[0] = False
        log("second")
        log.close()

    asyncio.run(scenario())
    os.close(write_end)
    with os.fdopen(read_end, "rb") as lines:
        (line,) = lines.readlines()
    assert b'"second"' in line and b'"dropped":1' in line
