"""Several upgrades in a row: three processes of which one serves, whichever of the others ends.

All processes run in the process of the test.
"""

from __future__ import annotations

import asyncio
import os
import socket
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from pathlib import Path
from typing import NamedTuple

import pytest

from saltcart.app import App
from saltcart.config import read_config
from saltcart.decision.events import PredecessorLoad
from saltcart.deployment import Deployment
from saltcart.net.drain_file import DrainFile
from saltcart.net.handover import HandoverListener
from saltcart.net.listener import Listener
from saltcart.takeover import hot_restart
from saltcart.takeover.hot_restart import MIN_RETIRE_SECONDS
from saltcart.wire import handover as wire
from tests.standins import (
    LONG_DEADLINES,
    EventLog,
    HttpClient,
    Platform,
    Pool,
    encode_id,
    raw_config,
    running,
    until,
)


def is_accepting(app: App) -> bool:
    return "http" in app.fronts and app.fronts["http"].server is not None


def count_accepting(*apps: App) -> int:
    return sum(is_accepting(app) for app in apps)


def test_a_process_ends_only_after_the_process_from_which_it_took_over(shared_platform: Platform) -> None:
    # Guards against the oldest of three processes that serves again when the middle one ends before it.
    async def scenario() -> None:
        environment = shared_platform.environment
        async with (
            Pool(finishes_runs=False) as first_pool,
            Pool() as later_pool,
            running(None, environment, pool=first_pool.address, **LONG_DEADLINES) as first,
        ):
            client = await HttpClient(shared_platform.address).open()
            client.send(1, budget_ms="60000")
            await until(lambda: len(first_pool.spawned) == 1)
            first_ended = asyncio.Event()
            second_ended = asyncio.Event()
            async with (
                running(None, environment, pool=later_pool.address, **LONG_DEADLINES) as second,
                running(None, environment, pool=later_pool.address) as third,
            ):
                first.begin_drain(first_ended.set)
                second.begin_drain(second_ended.set)
                with pytest.raises(TimeoutError):
                    await asyncio.wait_for(second_ended.wait(), 2 * MIN_RETIRE_SECONDS)  # it has no work
                first_pool.finish(encode_id(1))
                assert (await client.read_response()).status == 200
                await asyncio.wait_for(first_ended.wait(), 20)
                assert not second_ended.is_set()
                await first.close()
                await asyncio.wait_for(second_ended.wait(), 20)
                assert count_accepting(first, second, third) == 1 and is_accepting(third)

    asyncio.run(scenario())


def test_the_oldest_process_serves_again_only_if_no_later_one_does(shared_platform: Platform) -> None:
    # Guards against two processes that serve after the middle one of three has died.
    async def scenario() -> None:
        log = EventLog()
        environment = shared_platform.environment
        async with (
            Pool() as first_pool,
            Pool() as later_pool,
            running(None, environment, log, pool=first_pool.address) as first,
        ):
            async with (
                running(None, environment, pool=later_pool.address) as second,
                running(None, environment, pool=later_pool.address) as third,
            ):
                await second.close()  # it dies
                await until(lambda: bool(log.find("takeover-replaced")))
                assert count_accepting(first, third) == 1 and is_accepting(third)
                client = await HttpClient(shared_platform.address).open()
                assert (await client.post(1)).status == 200 and later_pool.spawned == [encode_id(1)]
            await until(lambda: is_accepting(first))
            client = await HttpClient(shared_platform.address).open()
            assert (await client.post(2)).status == 200 and first_pool.spawned == [encode_id(2)]

    asyncio.run(scenario())


def test_a_successor_whose_predecessor_dies_takes_over_from_the_process_before_it(
    shared_platform: Platform,
) -> None:
    # Guards against two processes that serve: an older one, and one that started when its predecessor died.
    async def scenario() -> None:
        log = EventLog()
        environment = shared_platform.environment
        async with (
            Pool() as first_pool,
            Pool() as later_pool,
            Pool() as slow_pool,
            running(None, environment, log, pool=first_pool.address) as first,
        ):
            async with running(None, environment, pool=later_pool.address):
                slow_pool.reported_state = b""  # the link to this pool is not bound yet
                third = App(read_config(raw_config(pool=slow_pool.address), environment), Deployment(), log)
                await third.start()
                assert third.takeover is not None
                predecessor = third.takeover.predecessor
                await until(lambda: predecessor.link is not None)
            await until(lambda: is_accepting(first))  # after the second one has died
            slow_pool.reported_state = b"LOADED 60000"
            try:
                await until(third.is_ready)
                assert count_accepting(first, third) == 1 and is_accepting(third)
                client = await HttpClient(shared_platform.address).open()
                assert (await client.post(1)).status == 200 and slow_pool.spawned == [encode_id(1)]
            finally:
                await third.close()

    asyncio.run(scenario())


def test_a_takeover_that_is_requested_before_the_fronts_are_open_waits_for_them(
    shared_platform: Platform, monkeypatch: pytest.MonkeyPatch
) -> None:
    # Guards against two processes that serve: the fronts were opened after this process had handed over.
    open_listener = Listener.open

    async def scenario() -> None:
        may_open = asyncio.Event()

        async def open_later(listener: Listener) -> str:
            await may_open.wait()
            return await open_listener(listener)

        monkeypatch.setattr(Listener, "open", open_later)
        log = EventLog()
        async with Pool() as pool:
            conf = read_config(raw_config(pool=pool.address), shared_platform.environment)
            app = App(conf, Deployment(), log)
            await app.start()
            try:
                await until(lambda: os.path.exists(shared_platform.folder / "saltcart-n1"))
                with socket.socket(socket.AF_UNIX, socket.SOCK_SEQPACKET) as link:
                    link.connect(str(shared_platform.folder / "saltcart-n1"))
                    link.send(wire.encode(wire.HandoverPacket("take", {})))
                    await until(lambda: app.takeover is not None and app.takeover.waiting_link is not None)
                    assert not log.find("handed-over")
                    may_open.set()
                    await until(lambda: bool(log.find("handed-over")))
                    assert not is_accepting(app)
            finally:
                await app.close()

    asyncio.run(scenario())


def test_a_folder_that_cannot_be_read_has_no_listener() -> None:
    # Guards against a start that ends in an error where the shared folder can't be reached.
    listener = HandoverListener(Path("/" + "x" * 5000), "saltcart-n1", lambda link: None)
    assert not listener.has_been_used() and listener.connect() is None


def test_a_process_that_starts_while_another_takes_over_waits_for_it_to_listen(
    shared_platform: Platform, monkeypatch: pytest.MonkeyPatch
) -> None:
    # Guards against two processes that serve: one found nobody at the socket between two listeners.
    monkeypatch.setattr(hot_restart, "LISTENING_TIMEOUT_SECONDS", 20.0)
    path = shared_platform.folder / "saltcart-n1"

    async def scenario() -> None:
        loop = asyncio.get_running_loop()
        with socket.socket(socket.AF_UNIX, socket.SOCK_SEQPACKET) as closed_socket:
            closed_socket.bind(str(path))  # as the predecessor leaves it
        async with Pool() as pool:
            conf = read_config(raw_config(pool=pool.address), shared_platform.environment)
            app = App(conf, Deployment(), EventLog())
            await app.start()
            try:
                await until(lambda: app.service.controller is not None)
                assert not app.fronts
                path.unlink()
                with socket.socket(socket.AF_UNIX, socket.SOCK_SEQPACKET) as listening_socket:
                    listening_socket.bind(str(path))
                    listening_socket.listen(1)
                    listening_socket.setblocking(False)
                    link, _ = await loop.sock_accept(listening_socket)
                    with link:
                        assert b"take" in await loop.sock_recv(link, 4096)
                        link.send(wire.encode(wire.HandoverPacket("yours", {})))
                        await until(app.is_ready)
            finally:
                await app.close()

    asyncio.run(scenario())


# ---- the load of older processes --------------------------------------------------------------


def count_older_runs(app: App) -> int:
    """Return the number of runs of older processes for which a process accounts."""
    assert app.service.controller is not None
    return app.service.controller.predecessor.running


async def send_request(address: str, number: int, pool: Pool) -> HttpClient:
    """Send a request that stays in the pool, and return its client."""
    client = await HttpClient(address).open()
    client.send(number, budget_ms="60000")
    await until(lambda: encode_id(number) in pool.spawned)
    return client


class BusyChain(NamedTuple):
    """Three processes of which the last one serves; the others have a run each until a test ends it."""

    second: App
    third: App
    first_pool: Pool
    second_pool: Pool
    clients: list[HttpClient]  # of the requests 1 and 2, in the first and the second process


@asynccontextmanager
async def busy_chain(shared_platform: Platform) -> AsyncIterator[BusyChain]:
    """Run three processes in a row, with a request sent to each of the first two while it serves."""
    environment = shared_platform.environment
    address = shared_platform.address
    async with (
        Pool(finishes_runs=False) as first_pool,
        Pool(finishes_runs=False) as second_pool,
        Pool() as third_pool,
        running(None, environment, pool=first_pool.address, **LONG_DEADLINES),
    ):
        clients = [await send_request(address, 1, first_pool)]
        async with running(None, environment, pool=second_pool.address, **LONG_DEADLINES) as second:
            clients.append(await send_request(address, 2, second_pool))
            async with running(None, environment, pool=third_pool.address, **LONG_DEADLINES) as third:
                yield BusyChain(second, third, first_pool, second_pool, clients)
        for client in clients:
            client.drop()


def test_the_newest_process_counts_the_load_of_all_older_ones(shared_platform: Platform) -> None:
    # Guards against crowded cores and memory: the newest of three counted the middle one alone (review/8).
    async def scenario() -> None:
        async with busy_chain(shared_platform) as chain:
            third = chain.third
            assert count_older_runs(chain.second) == 1 and count_older_runs(third) == 2
            assert third.service.controller is not None
            assert third.service.controller.predecessor.memory_kb == pytest.approx(2 * 4 * 24.5)
            assert third.fronts["http"].predecessor_connections == 2
            chain.first_pool.finish(encode_id(1))
            assert (await chain.clients[0].read_response()).status == 200
            await until(lambda: count_older_runs(third) == 1)
            chain.second_pool.finish(encode_id(2))
            await until(lambda: count_older_runs(third) == 0)

    asyncio.run(scenario())


@pytest.mark.parametrize("reads_reports", [True, False])
def test_the_load_of_the_oldest_process_counts_after_the_middle_one_has_died(
    reads_reports: bool, shared_platform: Platform, monkeypatch: pytest.MonkeyPatch
) -> None:
    # Guards against a load that is forgotten with the process that reported it, and against reports to an
    # earlier release, which does not read them.
    async def scenario() -> None:
        log = EventLog()
        environment = shared_platform.environment
        async with (
            Pool(finishes_runs=False) as first_pool,
            Pool() as later_pool,
            running(None, environment, pool=first_pool.address, **LONG_DEADLINES) as first,
        ):
            client = await send_request(shared_platform.address, 1, first_pool)
            async with (
                running(None, environment, pool=later_pool.address, **LONG_DEADLINES) as second,
                running(None, environment, log, pool=later_pool.address, **LONG_DEADLINES) as third,
            ):
                counted = list[int]()
                record_load = third.service.set_predecessor_load

                def record(load: PredecessorLoad) -> None:
                    counted.append(load.running)
                    record_load(load)

                monkeypatch.setattr(third.service, "set_predecessor_load", record)
                if not reads_reports:
                    monkeypatch.setattr(DrainFile, "is_read_by", lambda file, process_id: False)
                takeover = third.takeover
                assert takeover is not None
                (link_to_second,) = takeover.older_processes.by_link
                await second.close()  # it dies
                await until(lambda: link_to_second not in takeover.older_processes.by_link)
                assert counted[-1] == reads_reports and (min(counted) == 1 or not reads_reports)
                first_pool.finish(encode_id(1))
                assert (await client.read_response()).status == 200
                await until(lambda: count_older_runs(third) == 0)
                assert first.takeover is not None
                load_reporter = first.takeover.successor.load_reporter
                assert (load_reporter.task.handle is not None) == reads_reports
                assert not log.find("handover-malformed")

    asyncio.run(scenario())


def test_runs_of_a_process_that_has_ended_count_until_they_may_be_over(shared_platform: Platform) -> None:
    # Guards against memory that is given out twice: runs continue in the pool of a process that has ended.
    async def scenario() -> None:
        async with busy_chain(shared_platform) as chain:
            takeover = chain.third.takeover
            assert takeover is not None and chain.third.service.longest_objective == 60.0
            reports = takeover.older_processes.by_link
            (link_to_second,) = reports
            await chain.second.close()  # it dies
            await until(lambda: reports[link_to_second].older == PredecessorLoad())
            assert reports[link_to_second].own.running == 1
            assert count_older_runs(chain.third) == 2  # the first process reports its run itself

    asyncio.run(scenario())


def test_a_malformed_load_of_an_older_process_is_logged(shared_platform: Platform) -> None:
    async def scenario() -> None:
        log = EventLog()
        async with (
            Pool() as pool,
            running(None, shared_platform.environment, log, pool=pool.address) as app,
        ):
            with socket.socket(socket.AF_UNIX, socket.SOCK_SEQPACKET) as link:
                link.connect(str(shared_platform.folder / "saltcart-n1"))
                packet = wire.load_packet(wire.ReportedLoad(PredecessorLoad(running=1)))
                link.send(wire.encode(packet))
                await until(lambda: count_older_runs(app) == 1)
                packet.fields["calling"] = -3
                link.send(wire.encode(packet))
                await until(lambda: bool(log.find("handover-malformed")))
                (line,) = log.find("handover-malformed")
                assert line["kind"] == "beside" and "field calling is -3" in line["error"]
                assert count_older_runs(app) == 1 and is_accepting(app)
            await until(lambda: count_older_runs(app) == 0)

    asyncio.run(scenario())
