"""Hot restart: the packets, the rules for idempotency keys, and takeovers on real sockets.

Predecessor and successor run in the process of the test, except in the last section, which starts programs.
"""

from __future__ import annotations

import asyncio
import json
import os
import socket
from collections.abc import Iterator
from contextlib import suppress
from dataclasses import replace
from pathlib import Path

import pytest

from saltcart.core.idempotency_keys import KeyRecord
from saltcart.decision.events import PredecessorLoad
from saltcart.decision.outcome import Outcome
from saltcart.deployment import AjpSettings, Deployment
from saltcart.net.listener import Listener, ServerConnection
from saltcart.takeover import hot_restart
from saltcart.wire import handover as wire
from saltcart.wire.errors import MalformedMessageError
from tests.fakes import ServiceHarness
from tests.standins import (
    LONG_DEADLINES,
    AjpClient,
    HttpClient,
    Pool,
    encode_id,
    make_request_fields,
    raw_config,
    running,
    until,
)
from tests.test_control import send_command
from tests.test_sockets import start_program, wait_for_log_event

KEY_RECORD = KeyRecord(
    ("a", "oddaja", b"k\xff"), 3, 12.5, b"\x00\x01", {encode_id(1), encode_id(2)}, True, True, b"\n{}\0"
)


@pytest.mark.parametrize("is_free", [False, True])
def test_a_key_packet_is_read_as_it_was_written(is_free: bool) -> None:
    for sent in (KEY_RECORD, replace(KEY_RECORD, cached_dependencies=("tariff", "archive"))):
        packet = wire.decode(wire.encode(wire.key_packet(sent, is_free)))
        assert packet.kind == ("gone" if is_free else "entry")
        record = wire.read_key(packet)
        assert record == replace(sent, holder_number=0)


@pytest.mark.parametrize(
    "raw",
    [b"", b"{", b"[]\n", b"5\n", b'{"v":2,"say":"take"}\n', b'{"v":1}\n', b'{"v":1,"say":4}\n', b"\xff\n"],
)
def test_an_undecodable_packet_is_malformed(raw: bytes) -> None:
    with pytest.raises(MalformedMessageError):
        wire.decode(raw)


@pytest.mark.parametrize("name", ["key", "until", "digest", "idents", "good"])
def test_a_key_packet_with_a_missing_or_invalid_field_is_malformed(name: str) -> None:
    packet = wire.key_packet(KEY_RECORD, False)
    for bad_fields in (
        {k: v for k, v in packet.fields.items() if k != name},
        {**packet.fields, name: object()},
    ):
        if name != "good" or name not in bad_fields:
            with pytest.raises(MalformedMessageError):
                wire.read_key(wire.HandoverPacket("entry", bad_fields))


@pytest.mark.parametrize("older", [PredecessorLoad(), PredecessorLoad(2, 1, 49.0)])
def test_a_load_packet_is_read_as_it_was_written(older: PredecessorLoad) -> None:
    report = wire.ReportedLoad(PredecessorLoad(3, 1, 120.5), older, 7)
    packet = wire.decode(wire.encode(wire.load_packet(report)))
    assert wire.read_load(packet) == report
    assert packet.fields["on_core"] == 3 + older.running  # all that earlier releases read


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
def test_a_load_packet_with_an_invalid_field_is_malformed(name: str, value: object) -> None:
    with pytest.raises(MalformedMessageError):
        wire.read_load(
            wire.HandoverPacket("beside", {**wire.load_packet(wire.ReportedLoad()).fields, name: value})
        )


@pytest.mark.parametrize("older", [None, 3, {}, {"on_core": 1, "calling": -1, "memory_kb": 0}])
def test_a_load_packet_with_an_invalid_part_of_older_processes_is_malformed(older: object) -> None:
    fields = {**wire.load_packet(wire.ReportedLoad()).fields, "older": older}
    with pytest.raises(MalformedMessageError, match="field older"):
        wire.read_load(wire.HandoverPacket("beside", fields))


@pytest.mark.parametrize(("until", "expected"), [(None, 0.0), (1234.5, 1234.5)])
def test_a_handed_over_packet_is_read_as_it_was_written(until: float | None, expected: float) -> None:
    packet = wire.decode(wire.encode(wire.handed_over_packet(until, 7.0)))
    assert wire.read_uncertain_until(packet, 7.0) == expected


# ---- rules of the core, without sockets -------------------------------------------------------


def hand_over_in_memory() -> tuple[ServiceHarness, ServiceHarness]:
    """Return a predecessor and a successor that has adopted its keys and receives further changes."""
    predecessor, successor = ServiceHarness(), ServiceHarness()

    def send(record: KeyRecord, is_free: bool) -> None:
        successor.service.adopt_key(
            wire.read_key(wire.decode(wire.encode(wire.key_packet(record, is_free)))), is_free
        )

    predecessor.submit(1)  # its run continues
    predecessor.submit(2, key=b"done")
    predecessor.finish_run(2, result=b"before")
    for record in predecessor.service.lifecycle.attempts.hand_over(send):
        send(record, False)
    return predecessor, successor


def test_attempts_share_the_result_of_the_run_in_the_predecessor() -> None:
    predecessor, successor = hand_over_in_memory()
    successor.submit(11)
    successor.submit(12, key=b"done")
    assert successor.statuses(12) == ["served"] and successor.responses[encode_id(12)][0].body == b"before"
    assert successor.statuses(11) == [] and successor.spawned_ids() == []
    predecessor.finish_run(1, result=b"after")
    assert successor.statuses(11) == ["served"] and successor.responses[encode_id(11)][0].body == b"after"
    successor.submit(13)
    assert successor.statuses(13) == ["served"] and successor.spawned_ids() == []
    predecessor.submit(3, key=b"else")  # rejected, since it never ran: a predecessor starts no new runs
    assert predecessor.statuses(3) == ["refused"] and len(predecessor.spawned_ids()) == 2


def test_a_shared_result_names_the_cached_replies_that_it_has() -> None:
    # Guards against an answer of a further try, here or in the next process, that has no From-Memory.
    predecessor, successor = hand_over_in_memory()
    successor.submit(11)  # waits for the run in the predecessor
    cached = ("tariff", "archive")
    predecessor.service.run_finished(encode_id(1), Outcome.SUCCEEDED, 0.1, b"result", (), cached)
    predecessor.submit(4)
    successor.submit(12)
    for harness, number in ((predecessor, 1), (predecessor, 4), (successor, 11), (successor, 12)):
        (response,) = harness.responses[encode_id(number)]
        assert response.body == b"result" and response.cached_dependencies == cached


@pytest.mark.parametrize("names", ["tariff", None, [1], {}])
def test_a_key_packet_with_invalid_names_of_cached_replies_is_malformed(names: object) -> None:
    fields = {**wire.key_packet(KEY_RECORD, False).fields, "from_memory": names}
    with pytest.raises(MalformedMessageError, match="from_memory"):
        wire.read_key(wire.HandoverPacket("entry", fields))


@pytest.mark.parametrize("ending", ["run fails", "run never started", "predecessor dies"])
def test_a_key_runs_again_after_the_predecessor_only_if_its_run_never_started(ending: str) -> None:
    predecessor, successor = hand_over_in_memory()
    successor.submit(11)
    if ending == "predecessor dies":
        successor.service.predecessor_unreachable()
    else:
        predecessor.finish_run(1, Outcome.NOT_STARTED if ending == "run never started" else Outcome.FAILED)
    assert successor.statuses(11) == ["failed"]
    successor.submit(12)
    # A key is free again only if it is certain that nothing ran.
    assert successor.spawned_ids() == ([encode_id(12)] if ending == "run never started" else [])
    assert successor.statuses(12) == ([] if ending == "run never started" else ["failed"])


def test_keys_of_the_predecessor_expire_with_their_window() -> None:
    _, successor = hand_over_in_memory()
    assert len(successor.service.keys) == 2
    successor.run_until(successor.now + 30)
    assert len(successor.service.keys) == 0 and successor.service.keys.used_bytes == 0


# ---- takeovers on sockets ---------------------------------------------------------------------


@pytest.fixture
def platform(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> Iterator[dict[str, str]]:
    """Environment variables for the clients' listening socket and the folder that both processes share."""
    monkeypatch.setattr(
        Listener, "REQUEST_TIMEOUT_SECONDS", 60.0
    )  # a slow machine must not close connections to be passed
    with socket.create_server(("127.0.0.1", 0)) as listening_socket:
        yield {
            "BALANCER_LISTEN_FD": str(listening_socket.fileno()),
            "TMPDIR": str(tmp_path / ("long" * 30)),
        }


def prepare_platform(environment: dict[str, str]) -> str:
    """Create the shared folder and return the address of the listening socket."""
    os.makedirs(environment["TMPDIR"], exist_ok=True)
    with socket.socket(fileno=os.dup(int(environment["BALANCER_LISTEN_FD"]))) as listening_socket:
        return "{}:{}".format(*listening_socket.getsockname())


def test_connections_and_keys_move_to_the_successor(platform: dict[str, str]) -> None:
    address = prepare_platform(platform)

    async def scenario() -> None:
        async with (
            Pool(finishes_runs=False) as predecessor_pool,
            Pool() as successor_pool,
            running(None, platform, pool=predecessor_pool.address, **LONG_DEADLINES) as predecessor,
        ):
            idle, busy, keyed, half_sent = [await HttpClient(address).open() for _ in range(4)]
            for client in (idle, busy, keyed):
                client.overridden_fields["Budget-Ms"] = "60000"
            idle.writer.write(b"GET /ping HTTP/1.1\r\n\r\n")
            assert (await idle.read_response()).status == 200
            busy.send(1)
            keyed.send(2, "oddaja", key="k")
            await until(lambda: len(predecessor_pool.spawned) == 2)
            head = "".join(
                f"{name}: {value}\r\n" for name, value in make_request_fields(3, budget_ms="60000")
            )
            half_sent.writer.write(f"POST /call/read HTTP/1.1\r\n{head}Content-Length: 4\r\n\r\nha".encode())
            await until(lambda: any(c.has_partial_request() for c in predecessor.fronts["http"].connections))  # type: ignore[attr-defined]
            async with running(None, platform, pool=successor_pool.address, **LONG_DEADLINES) as successor:
                await until(lambda: len(successor.fronts["http"].connections) == 2)
                # Each stays idle or awaiting a request; near the limit, the awaiting ones are closed first.
                assert (
                    len(successor.fronts["http"].idle) == len(successor.fronts["http"].awaiting_request) == 1
                )
                assert (
                    successor.service.controller is not None
                    and successor.service.controller.predecessor.running == 2
                )
                half_sent.writer.write(b"lf")
                assert (await half_sent.read_response()).body == b"done half"
                assert (await idle.post(4)).status == 200 and successor_pool.spawned == [
                    encode_id(3),
                    encode_id(4),
                ]
                idle.send(5, "oddaja", key="k")  # its key's run is in the predecessor
                predecessor_pool.finish(encode_id(2))
                assert (await keyed.read_response()).body == (await idle.read_response()).body == b"done x"
                # This connection has been passed to the successor.
                assert (await keyed.post(6, "oddaja", key="k")).body == b"done x"
                assert (
                    successor_pool.spawned == [encode_id(3), encode_id(4)]
                    and len(predecessor_pool.spawned) == 2
                )
                done = asyncio.Event()
                predecessor.begin_drain(done.set)
                assert not done.is_set() and not successor.service.drain.notified_at
                predecessor_pool.finish(encode_id(1))
                assert (await busy.read_response()).body == b"done x"
                await asyncio.wait_for(done.wait(), 20)
                await until(lambda: successor.service.controller.predecessor.running == 0)  # type: ignore[union-attr]
                new_client = await HttpClient(address).open()
                assert (await new_client.post(7)).status == 200 and not predecessor.fronts["http"].connections

    asyncio.run(scenario())


@pytest.mark.parametrize("is_idle", [False, True])
def test_an_attached_connection_is_registered_as_idle_or_awaiting_when_it_opens(is_idle: bool) -> None:
    """The next request may be read before ``attach_connection`` returns; registering later would be wrong."""
    registrations: list[tuple[bool, bool, float]] = []

    class RecordingConnection(ServerConnection):
        def opened(self) -> None:
            super().opened()
            state_age = self.listener.loop.time() - self.state_since
            registrations.append(
                (self in self.listener.idle, self in self.listener.awaiting_request, state_age)
            )

    async def scenario() -> None:
        listener = Listener("127.0.0.1:0", RecordingConnection, lambda: 30.0, 8)
        server_socket, client_socket = socket.socketpair()
        server_socket.setblocking(False)
        await listener.attach_connection(server_socket, b"", is_idle, 5.0)
        assert registrations[0][:2] == (is_idle, not is_idle) and registrations[0][2] >= 5.0
        client_socket.close()
        listener.close()

    asyncio.run(scenario())


def test_the_predecessor_serves_again_after_each_successor_that_dies(platform: dict[str, str]) -> None:
    address = prepare_platform(platform)

    async def scenario() -> None:
        async with (
            Pool() as predecessor_pool,
            Pool() as successor_pool,
            running(None, platform, pool=predecessor_pool.address) as predecessor,
        ):
            for request_number in (1, 3):
                async with running(None, platform, pool=successor_pool.address):
                    assert (await (await HttpClient(address).open()).post(request_number)).status == 200
                    assert successor_pool.spawned[-1] == encode_id(request_number)
                await until(lambda: predecessor.service.lifecycle.attempts.notify_successor is None)
                assert (await (await HttpClient(address).open()).post(request_number + 1)).status == 200
                assert predecessor_pool.spawned[-1] == encode_id(request_number + 1)

    asyncio.run(scenario())


def test_a_key_that_ran_in_a_successor_that_died_does_not_run_again(platform: dict[str, str]) -> None:
    # Guards against a second run in the predecessor, which knows nothing of the runs of its successor.
    address = prepare_platform(platform)

    async def scenario() -> None:
        async with (
            Pool() as predecessor_pool,
            Pool() as successor_pool,
            running(None, platform, pool=predecessor_pool.address) as predecessor,
        ):
            async with running(None, platform, pool=successor_pool.address):
                client = await HttpClient(address).open()
                assert (await client.post(1, "oddaja", key="k")).status == 200
                assert successor_pool.spawned == [encode_id(1)]
            await until(lambda: predecessor.service.lifecycle.attempts.notify_successor is None)
            client = await HttpClient(address).open()
            assert (await client.post(2, "oddaja", key="k")).status == 500  # not rejected: it has run
            assert (await client.post(3)).status == 200 and predecessor_pool.spawned == [encode_id(3)]

    asyncio.run(scenario())


def test_keys_that_are_uncertain_in_the_predecessor_are_so_in_its_successor(platform: dict[str, str]) -> None:
    # Guards against a second run of a key, two upgrades after the first or an upgrade after a failed one.
    address = prepare_platform(platform)

    async def scenario() -> None:
        async with (
            Pool() as predecessor_pool,
            Pool() as successor_pool,
            running(None, platform, pool=predecessor_pool.address) as predecessor,
        ):
            predecessor.service.mark_keys_uncertain()
            async with running(None, platform, pool=successor_pool.address) as successor:
                client = await HttpClient(address).open()
                assert (await client.post(1, "oddaja", key="k")).status == 500
                assert (await client.post(2)).status == 200 and successor_pool.spawned == [encode_id(2)]
                predecessor_until = predecessor.service.lifecycle.attempts.uncertain_until
                successor_until = successor.service.lifecycle.attempts.uncertain_until
                assert successor_until == pytest.approx(predecessor_until, abs=0.01)

    asyncio.run(scenario())


def test_a_stopping_predecessor_drains_if_the_successor_dies(
    platform: dict[str, str], monkeypatch: pytest.MonkeyPatch
) -> None:
    """A release may stop both at once; requests queued at the listening socket must still be answered."""
    monkeypatch.setattr(hot_restart, "MIN_RETIRE_SECONDS", 10.0)
    address = prepare_platform(platform)

    async def scenario() -> None:
        async with (
            Pool() as predecessor_pool,
            Pool() as successor_pool,
            running(None, platform, pool=predecessor_pool.address) as predecessor,
        ):
            done = asyncio.Event()
            open_client = await HttpClient(address).open()
            async with running(None, platform, pool=successor_pool.address):
                predecessor_pool.finishes_runs = False
                await until(lambda: predecessor.service.lifecycle.attempts.notify_successor is not None)
                predecessor.begin_drain(done.set)
            await until(lambda: predecessor.service.lifecycle.attempts.notify_successor is None)
            assert predecessor.service.drain.notified_at is not None and not done.is_set()
            predecessor_pool.finishes_runs = True
            new_client = await HttpClient(address).open()
            assert (await new_client.post(2)).status == 200 and predecessor_pool.spawned == [encode_id(2)]
            open_client.drop()

    asyncio.run(scenario())


def test_a_new_connection_is_accepted_while_others_are_passed() -> None:
    """The predecessor's connections count towards the limit, but new clients must not be refused for that."""

    async def scenario() -> None:
        async with Pool() as pool, running(pool=pool.address, limits={"sockets": 200}) as app:
            listener = app.listeners[0]
            listener.predecessor_connections = listener.max_connections
            client = await HttpClient(app.addresses["http"]).open()
            assert (await client.post(1)).status == 200

    asyncio.run(scenario())


def test_many_connections_are_passed_without_doubling_the_descriptors(platform: dict[str, str]) -> None:
    """The descriptor limit applies to both processes together."""
    address = prepare_platform(platform)

    async def scenario() -> None:
        limits = {"sockets": 200}
        async with (
            Pool() as predecessor_pool,
            Pool() as successor_pool,
            running(None, platform, pool=predecessor_pool.address, limits=limits) as predecessor,
        ):
            clients = await asyncio.gather(*(HttpClient(address).open() for _ in range(150)))
            limit = predecessor.fronts["http"].max_connections
            await until(lambda: len(predecessor.fronts["http"].connections) == limit)
            descriptors_before, most_descriptors = len(os.listdir("/proc/self/fd")), 0
            async with running(None, platform, pool=successor_pool.address, limits=limits) as successor:

                def all_are_passed() -> bool:
                    nonlocal most_descriptors
                    most_descriptors = max(most_descriptors, len(os.listdir("/proc/self/fd")))
                    connection_count = len(predecessor.fronts["http"].connections) + len(
                        successor.fronts["http"].connections
                    )
                    assert connection_count <= limit + Listener.TAKEOVER_EXTRA_CONNECTIONS
                    return not predecessor.fronts["http"].connections

                await until(all_are_passed)
                await until(lambda: not successor.fronts["http"].predecessor_connections)
                assert most_descriptors < descriptors_before + 60  # not two descriptors for each connection
                new_client = await HttpClient(address).open()
                assert (await new_client.post(1)).status == 200
            for client in clients:
                client.drop()

    asyncio.run(scenario())


def test_connections_of_the_ajp_front_are_passed_too(platform: dict[str, str]) -> None:
    prepare_platform(platform)
    with socket.create_server(("127.0.0.1", 0)) as free_socket:
        ajp_address = "{}:{}".format(*free_socket.getsockname())

    async def scenario() -> None:
        deployment = Deployment(ajp=AjpSettings(ajp_address))
        async with (
            Pool() as predecessor_pool,
            Pool() as successor_pool,
            running(deployment, platform, pool=predecessor_pool.address),
        ):
            client = await AjpClient(ajp_address).open()
            assert (await client.post(1)).status == 200
            async with running(deployment, platform, pool=successor_pool.address) as successor:
                await until(lambda: len(successor.fronts["ajp"].connections) == 1)
                assert (await client.post(2, body=b"moved")).body == b"done moved"
                assert (predecessor_pool.spawned, successor_pool.spawned) == ([encode_id(1)], [encode_id(2)])

    asyncio.run(scenario())


def test_a_second_program_joins_the_fleet_once_the_first_one_has_left_its_address(
    platform: dict[str, str], tmp_path: Path
) -> None:
    # Guards against an upgrade that fails with "address already in use" where [member] is on.
    address = prepare_platform(platform)
    listen_fd = int(platform["BALANCER_LISTEN_FD"])
    deployment = tmp_path / "saltcart.toml"
    deployment.write_text(f'[member]\nlisten = "{reserve_udp_address()}"\ncluster = "test"\n')
    environment = {**platform, "SALTCART_DEPLOYMENT": str(deployment)}

    async def scenario() -> None:
        async with Pool() as predecessor_pool, Pool() as successor_pool:
            config = raw_config(pool=predecessor_pool.address)
            predecessor = await start_program(tmp_path / "old.json", config, (listen_fd,), **environment)
            assert predecessor.stdout is not None
            await wait_for_lines(predecessor.stdout, ("listening", "member"))
            await until(lambda: b"bind 0" in predecessor_pool.received_lines)
            config = raw_config(pool=successor_pool.address)
            successor = await start_program(tmp_path / "new.json", config, (listen_fd,), **environment)
            assert successor.stdout is not None
            await wait_for_lines(successor.stdout, ("member-waiting", None), ("listening", "http"))
            client = await HttpClient(address).open()
            assert (await client.post(1)).status == 200 and successor_pool.spawned == [encode_id(1)]
            predecessor.terminate()
            await predecessor.communicate()
            await wait_for_lines(successor.stdout, ("listening", "member"))
            successor.terminate()
            await successor.communicate()
            assert (predecessor.returncode, successor.returncode) == (0, 0)

    asyncio.run(scenario())


async def wait_for_lines(log_lines: asyncio.StreamReader, *expected: tuple[str, str | None]) -> None:
    """Read a log until all the given events with their fronts have come, in any order."""
    missing = set(expected)
    async with asyncio.timeout(20):
        while missing:
            line = json.loads(await log_lines.readline())
            missing.discard((line["event"], line.get("front")))


def reserve_udp_address() -> str:
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as free_socket:
        free_socket.bind(("127.0.0.1", 0))
        return "{}:{}".format(*free_socket.getsockname())


async def check_health(client: HttpClient) -> int:
    client.writer.write(b"GET /ping HTTP/1.1\r\n\r\n")
    return (await client.read_response()).status


def reserve_address() -> str:
    with socket.create_server(("127.0.0.1", 0)) as free_socket:
        return "{}:{}".format(*free_socket.getsockname())


async def until_ready(control_address: str) -> None:
    async with asyncio.timeout(20):
        while True:
            with suppress(ConnectionError):  # it does not listen yet
                if (await send_command(control_address, b"check\n"))[0].startswith("OK"):
                    return
            await asyncio.sleep(0.02)


# ---- the program ------------------------------------------------------------------------------


def test_a_second_program_takes_over_and_the_first_one_ends(platform: dict[str, str], tmp_path: Path) -> None:
    address, listen_fd = prepare_platform(platform), int(platform["BALANCER_LISTEN_FD"])

    async def scenario() -> None:
        async with Pool() as predecessor_pool, Pool() as successor_pool:
            predecessor = await start_program(
                tmp_path / "old.json", raw_config(pool=predecessor_pool.address), (listen_fd,), **platform
            )
            assert predecessor.stdout is not None
            await wait_for_log_event(predecessor.stdout, "listening")
            client = await HttpClient(address).open()
            await until(lambda: b"bind 0" in predecessor_pool.received_lines)
            assert (await client.post(1, "oddaja", key="k")).status == 200
            successor = await start_program(
                tmp_path / "new.json", raw_config(pool=successor_pool.address), (listen_fd,), **platform
            )
            assert successor.stdout is not None
            await wait_for_log_event(successor.stdout, "took-over")
            predecessor.terminate()
            output, errors = await predecessor.communicate()
            assert predecessor.returncode == 0 and errors == b"" and b'"drain"' not in output
            assert (await client.post(2, "oddaja", key="k")).body == b"done x"
            assert (await client.post(3)).status == 200 and successor_pool.spawned == [encode_id(3)]
            successor.terminate()
            await successor.communicate()

    asyncio.run(scenario())


def test_a_drain_by_operators_goes_over_to_the_second_program(
    platform: dict[str, str], tmp_path: Path
) -> None:
    # Guards against a health check that succeeds during a drain, as the new process knew nothing of it.
    address = prepare_platform(platform)
    listen_fd = int(platform["BALANCER_LISTEN_FD"])
    control_addresses = [reserve_address() for _ in range(2)]

    async def scenario() -> None:
        async with Pool() as predecessor_pool, Pool() as successor_pool:
            programs = list[asyncio.subprocess.Process]()
            for pool, control_address in zip((predecessor_pool, successor_pool), control_addresses):
                config = raw_config(pool=pool.address, control=control_address)
                program = await start_program(
                    tmp_path / f"{len(programs)}.json", config, (listen_fd,), **platform
                )
                programs.append(program)
                assert program.stdout is not None
                await wait_for_log_event(program.stdout, "listening")
                await until_ready(control_address)
                if program is programs[0]:
                    assert (await send_command(control_address, b"drain-on\n"))[0].startswith("OK")
            client = await HttpClient(address).open()
            assert await check_health(client) == 503
            assert (await client.post(1)).status == 200 and successor_pool.spawned == [encode_id(1)]
            # Calls at the process that has handed over hold for the instance, too.
            assert (await send_command(control_addresses[0], b"drain-off\n"))[0].startswith("OK")
            async with asyncio.timeout(20):
                while await check_health(client) != 200:
                    await asyncio.sleep(0.02)
            for program in programs:
                program.terminate()
                await program.communicate()

    asyncio.run(scenario())


@pytest.mark.parametrize(("fd", "folder", "status"), [("abc", "", 2), ("99", "", 2), ("99", "/not/there", 2)])
def test_a_bad_listening_descriptor_ends_the_program_with_one_line(
    fd: str, folder: str, status: int, tmp_path: Path
) -> None:
    async def scenario() -> None:
        program = await start_program(tmp_path / "c.json", raw_config(), BALANCER_LISTEN_FD=fd, TMPDIR=folder)
        _, errors = await program.communicate()
        assert program.returncode == status and len(errors.splitlines()) == 1 and b"Traceback" not in errors

    asyncio.run(scenario())


def test_a_process_serves_although_its_folder_cannot_be_written(platform: dict[str, str]) -> None:
    address = prepare_platform(platform)

    async def scenario() -> None:
        environment = {**platform, "TMPDIR": "/proc/no-such-folder"}
        async with Pool() as pool, running(None, environment, pool=pool.address):
            assert (await (await HttpClient(address).open()).post(1)).status == 200

    asyncio.run(scenario())
