"""Paths that end something, forced by the order of events: docs/design/endings.md has them all in a table."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable
from typing import Any

import pytest

from saltcart.deployment import AjpFront, Deployment
from saltcart.net.announcer import Announcer
from saltcart.net.clock import Clock
from saltcart.net.index import IndexClient
from saltcart.net.listener import Listener, ServerConnection
from saltcart.net.pool import PoolLink
from saltcart.wire import handover as wire
from tests.fakes import World
from tests.standins import SETTINGS, AjpClient, HttpClient, Pool, Server, running, until


def ident(number: int) -> bytes:
    return b"%016x" % number


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
        monkeypatch.setattr(PoolLink, "make", failing(PoolLink.make))
    logged: list[tuple[str, Any]] = []

    async def play() -> None:
        async with Server(accepting) as announce, Pool() as pool, running(
                pool=pool.address, announce=announce.address,
                log=lambda event, **more: logged.append((event, more.get("name")))) as app:
            assert (await (await HttpClient(app.addresses["http"]).open()).ask(1)).status == 200
            await until(lambda: len(announce.writers) >= 1)
            assert ("loop-died", dies) in logged

    asyncio.run(play())


def test_a_fault_in_one_sweep_is_not_the_last_sweep(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(Listener, "READ_WAIT", 0.2)
    monkeypatch.setattr(Listener, "SWEEP", 0.05)
    monkeypatch.setattr(ServerConnection, "expire", failing(ServerConnection.expire))
    monkeypatch.setattr("saltcart.net.index.SWEEP", 0.02)
    monkeypatch.setattr(IndexClient, "_close_idle", failing(IndexClient._close_idle))

    async def play() -> None:
        asyncio.get_running_loop().set_exception_handler(lambda _, context: None)
        async with Pool() as pool, running(pool=pool.address, control="127.0.0.1:0") as app:
            silent = [await HttpClient(app.addresses["control"]).open() for _ in range(3)]
            for client in silent[1:]:  # the first one's end was the fault
                assert await asyncio.wait_for(client.reader.read(), 10) == b""
        index = IndexClient("127.0.0.1:1", World().service, lambda event, **_: None)
        index.sweeper.start()
        await until(lambda: index.sweeper.handle is None)  # nothing is idle: it rests, and did not die

    asyncio.run(play())


def test_a_fault_in_sweeping_the_keys_leaves_no_full_table() -> None:
    w = World(max_keys=1)
    w.service.keys.sweep = failing(w.service.keys.sweep, 2)  # type: ignore[method-assign]
    w.arrive(1)
    w.end(1)
    for _ in range(2):
        with pytest.raises(RuntimeError):  # the driver logs it and goes on
            w.until(w.now + 20.0)
    w.until(w.now + 20.0)
    w.arrive(2, key=b"other")
    assert w.spawned() == [ident(1), ident(2)]


def test_a_fault_in_one_action_costs_no_other() -> None:
    w = World()
    w.service.runs.spawn = failing(w.spawn)  # type: ignore[method-assign]
    w.arrive(1, "read")
    assert "action-fault" in w.logged and w.spawned() == []
    w.arrive(2, "read")
    w.end(2)
    w.until(w.now + 3.1)
    assert (w.verdicts(1), w.verdicts(2)) == (["failed"], ["served"])
    w.arrive(3, "read")
    w.until(w.now + 0.5)
    assert w.spawned() == [ident(2), ident(3)]


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
        async with Pool() as pool, running(
                Deployment(ajp=AjpFront("127.0.0.1:0")), clock=Clock(unix), pool=pool.address) as app:
            one, two = [await (AjpClient if front == "ajp" else HttpClient)(app.addresses[front]).open()
                        for _ in range(2)]
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
    entry = World().service.keys.keep(("a", "oddaja", b"k"), 1, 1_000.0, b"")
    told = wire.of_entry(entry, False, ahead=100.0)
    assert told.fields["until"] == 900.0 and wire.to_entry(told, ahead=-5.0).until == 895.0


@pytest.mark.parametrize(("ago", "status"), [(-4.0, 200), (-6.0, 400), (0.0, 200), (59.0, 503), (130.0, 503)])
def test_how_long_ago_a_request_may_have_come_is_the_settings_to_say(ago: float, status: int) -> None:
    """A customer's deadline may be longer than a minute: what is still in time is a request."""
    async def play() -> None:
        services = [{**SETTINGS["services"][0], "deadline": 90.0, "onTime": 50.0}]
        async with Pool() as pool, running(
                pool=pool.address, settings={**SETTINGS, "services": services}) as app:
            client = await HttpClient(app.addresses["http"]).open()
            received = int((time.time() - ago) * 1000)
            assert (await client.ask(1, budget="90000", received=received)).status == status

    asyncio.run(play())
