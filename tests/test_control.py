"""The operators' address: calls, figures, and the drain that sends callers away."""

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
    ("data", "found"),
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
def test_a_call_is_one_line(data: bytes, found: object) -> None:
    buffer = Buffer()
    buffer.write(data)
    if found is MalformedMessageError:
        with pytest.raises(MalformedMessageError):
            control.next_call(buffer)
    else:
        assert control.next_call(buffer) == found


async def call(address: str, line: bytes) -> list[str]:
    reader, writer = await asyncio.open_connection(*address.split(":"))
    writer.write(line)
    answer = await reader.read()  # the connection ends with its one answer
    writer.close()
    return answer.decode().splitlines()


def test_operators_call_see_figures_and_drain() -> None:
    async def play() -> None:
        async with Pool(auto=False) as pool, running(pool=pool.address, control="127.0.0.1:0") as app:
            at, client = app.addresses["control"], await HttpClient(app.addresses["http"]).open()
            assert (await call(at, b"check\n"))[0].startswith("OK")
            for line in (b"\n", b"what\r\n", b"CHECK\n", b"\x00\n", b"x" * 100_000):
                assert (await call(at, line))[0].startswith("ERR")
            silent, half = [await asyncio.open_connection(*at.split(":")) for _ in "12"]
            half[1].write(b"dra")
            client.send(1)
            await until(lambda: len(pool.spawned) == 1)
            await call(at, b"drain-on\n")
            ping = await HttpClient(app.addresses["http"]).open()
            for wanted, drain in ((503, b"drain-off\n"), (200, b"drain-on\n"), (503, b"drain-off\n")):
                ping.writer.write(b"GET /ping HTTP/1.1\r\n\r\n")
                assert (await ping.answer()).status == wanted
                assert (await call(at, drain))[0].startswith("OK")
            assert "balancer.open_requests:1|g" in await call(at, b"vars\n")
            app.service.set_withdrawn(True)
            pool.finish(pool.spawned[0])
            assert (await client.answer()).status == 200  # what reaches it in a drain is served as always
            client.send(2, "oddaja", key="k")
            await until(lambda: len(pool.spawned) == 2)
            pool.finish(pool.spawned[1], b"FAIL")
            assert (await client.answer()).status == 500
            app.service.lifecycle.fail_all()
            lines = await call(at, b"vars\n")
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
            for _, writer in (silent, half):
                writer.close()

    asyncio.run(play())


def test_silent_operators_keep_no_one_from_an_answer(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(Listener, "REQUEST_TIMEOUT_SECONDS", 0.4)

    async def play() -> None:
        async with Pool() as pool, running(pool=pool.address, control="127.0.0.1:0") as app:
            at = app.addresses["control"]
            crowd = [await asyncio.open_connection(*at.split(":")) for _ in range(100)]
            assert (await call(at, b"check\n"))[0].startswith("OK")
            for reader, writer in crowd:
                assert await reader.read() == b""
                writer.close()

    asyncio.run(play())


def test_the_environment_names_the_control_address_first() -> None:
    conf = read_config(raw_config(control="127.0.0.1:5"), {"BALANCER_CONTROL": "127.0.0.1:6"})
    assert conf.control == "127.0.0.1:6" and read_config(raw_config()).control is None
