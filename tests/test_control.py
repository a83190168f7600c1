"""The operators' front: commands, metrics, and draining by command."""

from __future__ import annotations

import asyncio

import pytest

from saltcart.config import read_config
from saltcart.net.listener import Listener
from saltcart.wire import control
from saltcart.wire.buffer import Buffer
from saltcart.wire.errors import MalformedMessageError
from tests.standins import HttpClient, Pool, raw_config, running, until


@pytest.mark.parametrize(
    ("data", "expected"),
    [
        (b"", None),
        (b"check", None),
        (b"check\n", "check"),
        (b"check\r\nmore", "check"),
        (b"\n", ""),
        (b" drain-on \r\n", "drain-on"),
        (b"x" * 257, MalformedMessageError),
        (b"x" * 257 + b"\n", MalformedMessageError),
        (b"\x00\n", MalformedMessageError),
        (b"\xff\n", MalformedMessageError),
    ],
)
def test_command_is_one_line(data: bytes, expected: object) -> None:
    buffer = Buffer()
    buffer.write(data)
    if expected is MalformedMessageError:
        with pytest.raises(MalformedMessageError):
            control.take_command(buffer)
    else:
        assert control.take_command(buffer) == expected


async def send_command(address: str, line: bytes) -> list[str]:
    """Send a command line on a connection of its own, and return the lines of the response."""
    reader, writer = await asyncio.open_connection(*address.split(":"))
    writer.write(line)
    response = await reader.read()  # the server closes the connection after the response
    writer.close()
    return response.decode().splitlines()


def test_commands_check_drain_and_show_metrics() -> None:
    async def scenario() -> None:
        async with (
            Pool(finishes_runs=False) as pool,
            running(pool=pool.address, control="127.0.0.1:0") as app,
        ):
            control_address, client = app.addresses["control"], await HttpClient(app.addresses["http"]).open()
            assert (await send_command(control_address, b"check\n"))[0].startswith("OK")
            for line in (b"\n", b"what\r\n", b"CHECK\n", b"\x00\n", b"x" * 100_000):
                assert (await send_command(control_address, line))[0].startswith("ERR")
            silent, partial = [await asyncio.open_connection(*control_address.split(":")) for _ in "12"]
            partial[1].write(b"dra")
            client.send(1)
            await until(lambda: len(pool.spawned) == 1)
            await send_command(control_address, b"drain-on\n")
            ping = await HttpClient(app.addresses["http"]).open()
            for expected_status, command in (
                (503, b"drain-off\n"),
                (200, b"drain-on\n"),
                (503, b"drain-off\n"),
            ):
                ping.writer.write(b"GET /ping HTTP/1.1\r\n\r\n")
                assert (await ping.read_response()).status == expected_status
                assert (await send_command(control_address, command))[0].startswith("OK")
            assert "balancer.open_requests:1|g" in await send_command(control_address, b"vars\n")
            app.service.set_withdrawn(True)
            pool.finish(pool.spawned[0])
            # A request that arrives while draining is still served.
            assert (await client.read_response()).status == 200
            client.send(2, "oddaja", key="k")
            await until(lambda: len(pool.spawned) == 2)
            pool.finish(pool.spawned[1], b"FAIL")
            assert (await client.read_response()).status == 500
            app.service.lifecycle.fail_all()
            lines = await send_command(control_address, b"vars\n")
            assert lines[-1] == "END" and set(lines[:-1]) == {
                "balancer.fulfilled.read:1|c",
                "balancer.fulfilled.oddaja:0|c",
                "balancer.faulted.oddaja:1|c",
                "balancer.faulted.read:0|c",
                "balancer.throttled.read:0|c",
                "balancer.throttled.oddaja:0|c",
                "balancer.relayed.read:1|c",
                "balancer.relayed.oddaja:1|c",
                "balancer.open_requests:0|g",
            }
            for _, writer in (silent, partial):
                writer.close()

    asyncio.run(scenario())


def test_silent_connections_do_not_block_commands(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(Listener, "REQUEST_TIMEOUT_SECONDS", 0.4)

    async def scenario() -> None:
        async with Pool() as pool, running(pool=pool.address, control="127.0.0.1:0") as app:
            control_address = app.addresses["control"]
            idle_clients = [await asyncio.open_connection(*control_address.split(":")) for _ in range(100)]
            assert (await send_command(control_address, b"check\n"))[0].startswith("OK")
            for reader, writer in idle_clients:
                assert await reader.read() == b""
                writer.close()

    asyncio.run(scenario())


def test_environment_overrides_the_control_address() -> None:
    config = read_config(raw_config(control="127.0.0.1:5"), {"BALANCER_CONTROL": "127.0.0.1:6"})
    assert config.control == "127.0.0.1:6" and read_config(raw_config()).control is None
