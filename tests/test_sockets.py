"""The rules on real sockets, in one process, and the program started as the deploy file says."""

from __future__ import annotations

import asyncio
import json
import os
import signal
import socket
import sys
import tomllib
from pathlib import Path
from typing import Any

import pytest

from saltcart.deployment import AjpSettings, Deployment
from saltcart.net.listener import Listener
from tests.standins import CLIENTS, HttpClient, Pool, Server, ident, raw_config, running, until

ROOT = Path(__file__).resolve().parent.parent


def test_answers_carry_the_result_unchanged_and_the_connection_lives_on() -> None:
    async def play() -> None:
        async with Pool() as pool, running(pool=pool.address) as app:
            client = await HttpClient(app.addresses["http"]).open()
            for n, body in enumerate((b"\r\n\r\n", b"", bytes(range(256)) * 8), 1):
                answer = await client.ask(n, body=body)
                assert (answer.status, answer.body) == (200, b"done " + body)
                assert b"server-hint" in answer.headers and answer.keep_alive
            client.send(8, body=b"first")  # a second request behind an open one waits its turn
            client.send(9, body=b"second")
            assert [(await client.answer()).body for _ in "12"] == [b"done first", b"done second"]
            for path in (b"/ping", b"/other", b"/call/x"):
                client.writer.write(b"GET %b HTTP/1.1\r\n\r\n" % path)
            assert [(await client.answer()).status for _ in "123"] == [200, 404, 405]
            client.writer.write(b"nonsense\r\n\r\n")
            answer = await client.answer()
            assert (answer.status, answer.keep_alive) == (400, False)

    asyncio.run(play())


def test_a_closed_connection_is_a_caller_that_has_gone() -> None:
    async def play() -> None:
        async with Pool(auto=False) as pool, running(pool=pool.address) as app:
            for n, end in ((1, "reset"), (2, "close")):
                client = await HttpClient(app.addresses["http"]).open()
                client.send(n)
                await until(lambda n=n: len(pool.spawned) == n)  # type: ignore[misc]
                client.drop() if end == "reset" else client.writer.close()
                await until(lambda n=n: b"suspend " + ident(n) in pool.told)  # type: ignore[misc]

    asyncio.run(play())


def test_the_pool_link_drops_and_nothing_runs_or_is_answered_twice() -> None:
    async def play() -> None:
        async with Pool(auto=False) as pool, running(pool=pool.address) as app:
            client = await HttpClient(app.addresses["http"]).open()
            client.send(1, "oddaja", key="k")
            await until(lambda: pool.spawned == [ident(1)] and pool.told[-1].startswith(b"poll"))
            await until(lambda: not app.service.ports.workers.session.unconfirmed)  # type: ignore[attr-defined]
            pool.writer = None
            pool.cut()
            pool.finish(ident(1))  # no link exists: the notice waits
            answer = await client.answer()
            assert answer.body == b"done x" and pool.spawned == [ident(1)]
            pool.cut()
            await until(lambda: pool.told.count(b"bind 1") == 1)
            assert (await client.ask(2, "oddaja", key="k")).body == b"done x" and len(pool.spawned) == 1

    asyncio.run(play())


@pytest.mark.parametrize("how", ["late", "cut"])
def test_the_service_outlives_what_it_speaks_to(how: str) -> None:
    """A pool that comes up late, and an announce service that is away, stop nothing."""
    reports: list[bytes] = []

    async def announce(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while True:
            head = await reader.readuntil(b"\r\n\r\n")
            reports.append(head.split(b" ")[1] + await reader.readexactly(20))
            writer.write(b"HTTP/1.1 204 No Content\r\n\r\n")

    async def play() -> None:
        async with Server(announce) as registry, Pool() as pool:
            if how == "late":
                pool.server.close()
                host, port = pool.address.split(":")

                async def come_up() -> None:
                    await asyncio.sleep(0.3)
                    pool.server = await asyncio.start_server(pool._serve, host, int(port))

                coming = asyncio.create_task(come_up())
            async with running(pool=pool.address, announce=registry.address) as app:
                await until(lambda: reports[:1] == [b'/announce/n1{"accepting":"true"}'])
                registry.cut()
                client = await HttpClient(app.addresses["http"]).open()
                assert (await client.ask(1)).status == 200
                await until(lambda: len(reports) > 1)
            if how == "late":
                await coming

    asyncio.run(play())


def test_calls_pass_unchanged_and_a_break_under_one_fails_what_must_run_once() -> None:
    lines: list[bytes] = []

    async def proxy(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while line := await reader.readline():
            lines.append(line)
            words = line.split()
            if words[0] != b"GET":
                continue
            body = (await reader.readexactly(int(words[3]) + 2))[:-2]
            if body == b"break":
                writer.transport.abort()
                return
            writer.write(b"%b HIT %d\r\n%b\r\n" % (words[1], len(body), body))

    async def play() -> None:
        async with (
            Pool(auto=False) as pool,
            Server(proxy) as index,
            running(pool=pool.address, index=index.address) as app,
        ):
            for n, question in ((1, b"\r\n?"), (2, b"break")):
                client = await HttpClient(app.addresses["http"]).open()
                client.send(n, "oddaja", key=f"k{n}")
                await until(lambda n=n: ident(n) in pool.spawned)  # type: ignore[misc]
                pool.notice(b"blocked " + ident(n), question)
                if question == b"break":
                    assert (await client.answer()).status == 500
                    continue
                await until(lambda: pool.bodies[ident(1)] == b"\r\n?")
                pool.finish(ident(n))
                assert (await client.answer()).status == 200
            assert sum(line.startswith(b"GET") for line in lines) == 2

    asyncio.run(play())


BAD = [
    ("Request-Id", "12"),
    ("Request-Id", "x" * 16),
    ("Received-At", "0"),
    ("Received-At", "now"),
    ("Received-At", "99999999999999"),
    ("Budget-Ms", "-1"),
    ("Budget-Ms", "1e9"),
    ("Budget-Ms", "99999999"),
    ("Footprint-Kb", "0"),
    ("Footprint-Kb", "2000"),
    ("Footprint-Kb", "nan"),
    ("Priority-Rank", "1"),
    ("Priority-Rank", "-0.1"),
    ("Sent-By", "4.5"),
    ("Sent-By", "-4"),
    ("Work-Estimate", "1e3"),
    ("Account", "nobody"),
    ("Account", ""),
    ("Once-Key", "a b"),
    ("Resource-Key", "\x7f"),
    ("Footprint-Kb", None),
]


@pytest.mark.parametrize("front", ["http", "ajp"])
def test_every_field_is_held_to_its_form_and_range(front: str) -> None:
    """What no request can say never reaches the core, on either front."""

    async def play() -> None:
        async with (
            Pool() as pool,
            running(Deployment(ajp=AjpSettings("127.0.0.1:0")), pool=pool.address) as app,
        ):
            for name, value in BAD:
                client = await CLIENTS[front](app.addresses[front]).open()
                client.changed = {name: value}
                assert (await client.ask(1, body=b"x")).status == 400, (name, value)
                client.drop()
            assert not pool.spawned and not app.service.requests

    asyncio.run(play())


def test_a_silent_pool_costs_no_answer() -> None:
    """One final answer by the due time, whatever the pool does; refusals say when to come back."""

    async def play() -> None:
        async with Pool(auto=False) as pool, running(pool=pool.address) as app:
            clients = [await HttpClient(app.addresses["http"]).open() for _ in range(120)]
            answers = await asyncio.gather(
                *(
                    c.ask(n, "oddaja" if n % 2 else "read", key=f"k{n}", budget="800")
                    for n, c in enumerate(clients, 1)
                )
            )
            assert {a.status for a in answers} <= {500, 503}
            assert all(b"back-off-ms" in a.headers for a in answers if a.status == 503)
            # No death by crowding: never more on the cores than they survive, though nothing ever ends.
            assert 2 <= len(pool.spawned) <= 2 * 8
            assert sum(a.status == 500 for a in answers) >= len(pool.spawned)  # what has run is never refused
            assert not any(len(c.buffer) for c in clients)  # one answer each

    asyncio.run(play())


def test_idle_and_half_sent_connections_are_closed(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(Listener, "REQUEST_TIMEOUT_SECONDS", 0.4)

    async def play() -> None:
        async with Pool(auto=False) as pool, running(pool=pool.address) as app:
            idle, half, busy = [await HttpClient(app.addresses["http"]).open() for _ in range(3)]
            half.writer.write(b"POST /call/read HT")
            busy.send(1)
            await until(lambda: len(pool.spawned) == 1)
            app.service.executor.idle_timeout = 0.3
            assert (await half.answer()).status == 408 and await idle.reader.read() == b""
            pool.finish(pool.spawned[0])
            assert (await busy.answer()).status == 200

    asyncio.run(play())


# ---- the program ------------------------------------------------------------------------------


def free_port() -> int:
    with socket.create_server(("127.0.0.1", 0)) as s:
        port: int = s.getsockname()[1]
        return port


async def start(
    config: Path, raw: dict[str, Any], fds: tuple[int, ...] = (), /, **env: str
) -> asyncio.subprocess.Process:
    config.write_text(json.dumps(raw))
    run = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["run"]
    return await asyncio.create_subprocess_shell(
        run.replace(".venv/bin/python", sys.executable),
        cwd=ROOT,
        stdout=asyncio.subprocess.PIPE,
        stderr=asyncio.subprocess.PIPE,
        pass_fds=fds,
        env={**os.environ, "BALANCER_CONFIG": str(config), **env},
    )


def test_the_program_serves_drains_and_ends(tmp_path: Path) -> None:
    async def play() -> None:
        async with Pool(auto=False) as pool:
            program = await start(tmp_path / "c.json", raw_config(pool=pool.address, stop_ms=600))
            assert program.stdout is not None
            first = json.loads(await program.stdout.readline())
            assert first["event"] == "listening" and first["front"] == "http"
            client = await HttpClient(first["address"]).open()
            await until(lambda: b"bind 0" in pool.told)
            client.send(1)
            await until(lambda: len(pool.spawned) == 1)
            program.send_signal(signal.SIGTERM)
            await asyncio.sleep(0.4)
            late = await HttpClient(first["address"]).open()
            assert (await late.ask(2)).status == 503
            assert (await client.answer()).status in (500, 503)
            out, err = await program.communicate()
            assert program.returncode == 0 and err == b""
            assert json.loads(out.splitlines()[-1])["event"] == "stopped"

    asyncio.run(play())


def test_a_hangup_moves_the_program_and_a_bad_file_changes_nothing(tmp_path: Path) -> None:
    """SIGHUP, from the first moment on and repeated: runs go on, and notices are numbered on."""

    async def play() -> None:
        async with Pool(auto=False) as old, Pool(auto=False) as new, Server(silent) as index:
            path = tmp_path / "c.json"
            program = await start(path, raw_config(pool=old.address, index=index.address))
            await until(lambda: "python" in os.readlink(f"/proc/{program.pid}/exe"))
            program.send_signal(signal.SIGHUP)  # it starts still
            assert program.stdout is not None
            first = json.loads(await program.stdout.readline())
            client = await HttpClient(first["address"]).open()
            await until(lambda: b"bind 0" in old.told)
            client.send(1)
            await until(lambda: len(old.spawned) == 1)
            for bad in ("{", json.dumps(raw_config(index=index.address)), "[]"):
                path.write_text(bad)
                program.send_signal(signal.SIGHUP)
                await logged(program.stdout, "reload-failed")
            new.number = old.number  # the same pool at another address
            new.bodies.update(old.bodies)
            path.write_text(json.dumps(raw_config(pool=new.address, index=index.address)))
            for _ in range(3):
                program.send_signal(signal.SIGHUP)
            await logged(program.stdout, "reloaded")
            await until(lambda: b"bind 0" in new.told)
            old.writer = None
            new.finish(ident(1))
            assert (await client.answer()).body == b"done x"
            client.send(2)
            await until(lambda: new.spawned[-1:] == [ident(2)])
            assert old.spawned == [ident(1)] and program.returncode is None
            program.terminate()
            await program.communicate()

    asyncio.run(play())


async def silent(reader: asyncio.StreamReader, _: asyncio.StreamWriter) -> None:
    while await reader.read(4096):
        pass


async def logged(lines: asyncio.StreamReader, event: str) -> None:
    async with asyncio.timeout(20):
        while json.loads(await lines.readline())["event"] != event:
            pass


@pytest.mark.parametrize(
    ("raw", "env", "named"),
    [
        ({"listen": 5}, {}, "listen"),
        ({"settings": {}}, {}, "extra"),
        ({"seed": "xyz"}, {}, "xyz"),
        ({}, {"SALTCART_DEPLOYMENT": "/does/not/exist"}, "exist"),
        ({}, {"BALANCER_CONFIG": "/not/there"}, "there"),
        ({"listen": "127.0.0.1:1000000"}, {}, "listen"),
    ],
)
def test_a_bad_configuration_ends_with_one_plain_line(
    tmp_path: Path, raw: dict[str, Any], env: dict[str, str], named: str
) -> None:
    async def play() -> None:
        program = await start(tmp_path / "c.json", {**raw_config(), **raw}, **env)
        _, err = await program.communicate()
        assert program.returncode == 2 and named in err.decode()
        assert len(err.splitlines()) == 1 and b"Traceback" not in err

    asyncio.run(play())
