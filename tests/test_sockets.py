"""The service on real sockets in one process, and the program as the deploy file starts it."""

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
from tests.standins import CLIENTS, SETTINGS, HttpClient, Pool, Server, encode_id, raw_config, running, until

ROOT = Path(__file__).resolve().parent.parent


def test_responses_carry_the_result_unchanged_and_leave_the_connection_open() -> None:
    async def scenario() -> None:
        async with Pool() as pool, running(pool=pool.address) as app:
            client = await HttpClient(app.addresses["http"]).open()
            for number, body in enumerate((b"\r\n\r\n", b"", bytes(range(256)) * 8), 1):
                response = await client.post(number, body=body)
                assert (response.status, response.body) == (200, b"done " + body)
                assert b"server-hint" in response.headers and response.keep_alive
            client.send(8, body=b"first")  # pipelined requests are answered in order
            client.send(9, body=b"second")
            assert [(await client.read_response()).body for _ in "12"] == [b"done first", b"done second"]
            for path in (b"/ping", b"/other", b"/call/x"):
                client.writer.write(b"GET %b HTTP/1.1\r\n\r\n" % path)
            assert [(await client.read_response()).status for _ in "123"] == [200, 404, 405]
            client.writer.write(b"nonsense\r\n\r\n")
            response = await client.read_response()
            assert (response.status, response.keep_alive) == (400, False)

    asyncio.run(scenario())


def test_the_run_of_a_caller_that_closed_its_connection_is_suspended() -> None:
    async def scenario() -> None:
        async with Pool(finishes_runs=False) as pool, running(pool=pool.address) as app:
            for number, ending in ((1, "reset"), (2, "close")):
                client = await HttpClient(app.addresses["http"]).open()
                client.send(number)
                await until(lambda number=number: len(pool.spawned) == number)  # type: ignore[misc]
                client.drop() if ending == "reset" else client.writer.close()
                await until(lambda number=number: b"suspend " + encode_id(number) in pool.received_lines)  # type: ignore[misc]

    asyncio.run(scenario())


def test_no_run_or_result_is_lost_or_repeated_when_the_pool_link_is_lost() -> None:
    async def scenario() -> None:
        async with Pool(finishes_runs=False) as pool, running(pool=pool.address) as app:
            client = await HttpClient(app.addresses["http"]).open()
            client.send(1, "oddaja", key="k")
            await until(
                lambda: pool.spawned == [encode_id(1)] and pool.received_lines[-1].startswith(b"poll")
            )
            await until(lambda: not app.service.ports.workers.session.unconfirmed)  # type: ignore[attr-defined]
            pool.writer = None
            pool.abort_connections()
            pool.finish(encode_id(1))  # without a link, the pool keeps the notice
            response = await client.read_response()
            assert response.body == b"done x" and pool.spawned == [encode_id(1)]
            pool.abort_connections()
            await until(lambda: pool.received_lines.count(b"bind 1") == 1)
            assert (await client.post(2, "oddaja", key="k")).body == b"done x" and len(pool.spawned) == 1

    asyncio.run(scenario())


@pytest.mark.parametrize("fault", ["pool starts late", "announce connection lost"])
def test_a_late_pool_and_a_lost_announce_connection_stop_no_service(fault: str) -> None:
    """The announce connection is lost in both cases; requests are served and reports continue."""
    reports: list[bytes] = []

    async def record_reports(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while True:
            head = await reader.readuntil(b"\r\n\r\n")
            reports.append(head.split(b" ")[1] + await reader.readexactly(20))
            writer.write(b"HTTP/1.1 204 No Content\r\n\r\n")

    async def scenario() -> None:
        async with Server(record_reports) as announce_service, Pool() as pool:
            if fault == "pool starts late":
                pool.server.close()
                host, port = pool.address.split(":")

                async def start_pool_later() -> None:
                    await asyncio.sleep(0.3)
                    pool.server = await asyncio.start_server(pool._serve, host, int(port))

                pool_start = asyncio.create_task(start_pool_later())
            async with running(pool=pool.address, announce=announce_service.address) as app:
                await until(lambda: reports[:1] == [b'/announce/n1{"accepting":"true"}'])
                announce_service.abort_connections()
                client = await HttpClient(app.addresses["http"]).open()
                assert (await client.post(1)).status == 200
                await until(lambda: len(reports) > 1)
            if fault == "pool starts late":
                await pool_start

    asyncio.run(scenario())


def test_calls_pass_unchanged_and_a_lost_index_connection_fails_a_request_that_must_run_once() -> None:
    received_lines: list[bytes] = []

    async def answer_calls(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while line := await reader.readline():
            received_lines.append(line)
            words = line.split()
            if words[0] != b"GET":
                continue
            body = (await reader.readexactly(int(words[3]) + 2))[:-2]
            if body == b"break":
                writer.transport.abort()
                return
            writer.write(b"%b HIT %d\r\n%b\r\n" % (words[1], len(body), body))

    async def scenario() -> None:
        async with (
            Pool(finishes_runs=False) as pool,
            Server(answer_calls) as index,
            running(pool=pool.address, index=index.address) as app,
        ):
            for number, call_body in ((1, b"\r\n?"), (2, b"break")):
                client = await HttpClient(app.addresses["http"]).open()
                client.send(number, "oddaja", key=f"k{number}")
                await until(lambda number=number: encode_id(number) in pool.spawned)  # type: ignore[misc]
                pool.send_notice(b"blocked " + encode_id(number), call_body)
                if call_body == b"break":
                    assert (await client.read_response()).status == 500
                    continue
                await until(lambda: pool.bodies[encode_id(1)] == b"\r\n?")
                pool.finish(encode_id(number))
                assert (await client.read_response()).status == 200
            assert sum(line.startswith(b"GET") for line in received_lines) == 2

    asyncio.run(scenario())


INVALID_FIELDS = [
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
def test_a_missing_or_invalid_field_is_rejected_before_the_request_is_submitted(front: str) -> None:
    """Neither front may pass a malformed or out-of-range value on to the core."""

    async def scenario() -> None:
        async with (
            Pool() as pool,
            running(Deployment(ajp=AjpSettings("127.0.0.1:0")), pool=pool.address) as app,
        ):
            for name, value in INVALID_FIELDS:
                client = await CLIENTS[front](app.addresses[front]).open()
                client.overridden_fields = {name: value}
                assert (await client.post(1, body=b"x")).status == 400, (name, value)
                client.drop()
            assert not pool.spawned and not app.service.requests

    asyncio.run(scenario())


def test_each_request_is_answered_once_and_in_time_although_the_pool_reports_no_run_end() -> None:
    """Guards against requests that stay open as no run ever ends; rejections carry Back-Off-Ms."""
    settings = {**SETTINGS, "limits": {"retryAfter": True, "maxRetryAfter": 1.0}}

    async def scenario() -> None:
        async with Pool(finishes_runs=False) as pool, running(pool=pool.address, settings=settings) as app:
            clients = [await HttpClient(app.addresses["http"]).open() for _ in range(120)]
            responses = await asyncio.gather(
                *(
                    client.post(number, "oddaja" if number % 2 else "read", key=f"k{number}", budget_ms="800")
                    for number, client in enumerate(clients, 1)
                )
            )
            assert {response.status for response in responses} <= {500, 503}
            assert all(b"back-off-ms" in response.headers for response in responses if response.status == 503)
            # Although no run ends, no more run at a time than the cores survive.
            assert 2 <= len(pool.spawned) <= 2 * 8
            # A request that was started is never rejected.
            assert sum(response.status == 500 for response in responses) >= len(pool.spawned)
            # No client has received a second response.
            assert not any(len(client.buffer) for client in clients)

    asyncio.run(scenario())


def test_idle_connections_and_incomplete_requests_time_out(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(Listener, "REQUEST_TIMEOUT_SECONDS", 0.4)

    async def scenario() -> None:
        async with Pool(finishes_runs=False) as pool, running(pool=pool.address) as app:
            idle, incomplete, busy = [await HttpClient(app.addresses["http"]).open() for _ in range(3)]
            incomplete.writer.write(b"POST /call/read HT")
            busy.send(1)
            await until(lambda: len(pool.spawned) == 1)
            app.service.executor.idle_timeout = 0.3
            assert (await incomplete.read_response()).status == 408 and await idle.reader.read() == b""
            pool.finish(pool.spawned[0])
            assert (await busy.read_response()).status == 200

    asyncio.run(scenario())


# ---- the program ------------------------------------------------------------------------------


def free_port() -> int:
    with socket.create_server(("127.0.0.1", 0)) as listener:
        port: int = listener.getsockname()[1]
        return port


async def start_program(
    config_path: Path, config: dict[str, Any], inherited_fds: tuple[int, ...] = (), /, **environment: str
) -> asyncio.subprocess.Process:
    """Start the program by the command in the deploy file.

    Args:
        config_path: Where the configuration is written.
        config: The configuration.
        inherited_fds: File descriptors that the program inherits.
        environment: Additional environment variables.
    """
    config_path.write_text(json.dumps(config))
    command = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["run"]
    return await asyncio.create_subprocess_shell(
        command.replace(".venv/bin/python", sys.executable),
        cwd=ROOT,
        stdout=asyncio.subprocess.PIPE,
        stderr=asyncio.subprocess.PIPE,
        pass_fds=inherited_fds,
        env={**os.environ, "BALANCER_CONFIG": str(config_path), **environment},
    )


def test_the_program_serves_drains_and_exits(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with Pool(finishes_runs=False) as pool:
            program = await start_program(tmp_path / "c.json", raw_config(pool=pool.address, stop_ms=600))
            assert program.stdout is not None
            listening = json.loads(await program.stdout.readline())
            assert listening["event"] == "listening" and listening["front"] == "http"
            client = await HttpClient(listening["address"]).open()
            await until(lambda: b"bind 0" in pool.received_lines)
            client.send(1)
            await until(lambda: len(pool.spawned) == 1)
            program.send_signal(signal.SIGTERM)
            await asyncio.sleep(0.4)
            late_client = await HttpClient(listening["address"]).open()
            assert (await late_client.post(2)).status == 503
            assert (await client.read_response()).status in (500, 503)
            output, errors = await program.communicate()
            assert program.returncode == 0 and errors == b""
            assert json.loads(output.splitlines()[-1])["event"] == "stopped"

    asyncio.run(scenario())


def test_sighup_applies_a_valid_configuration_and_ignores_an_invalid_one(tmp_path: Path) -> None:
    """SIGHUP arrives during startup and repeatedly; runs and the numbers of notices continue."""

    async def scenario() -> None:
        async with (
            Pool(finishes_runs=False) as old_pool,
            Pool(finishes_runs=False) as new_pool,
            Server(read_without_reply) as index,
        ):
            config_path = tmp_path / "c.json"
            program = await start_program(config_path, raw_config(pool=old_pool.address, index=index.address))
            await until(lambda: "python" in os.readlink(f"/proc/{program.pid}/exe"))
            program.send_signal(signal.SIGHUP)  # during startup
            assert program.stdout is not None
            listening = json.loads(await program.stdout.readline())
            client = await HttpClient(listening["address"]).open()
            await until(lambda: b"bind 0" in old_pool.received_lines)
            client.send(1)
            await until(lambda: len(old_pool.spawned) == 1)
            for invalid_config in ("{", json.dumps(raw_config(index=index.address)), "[]"):
                config_path.write_text(invalid_config)
                program.send_signal(signal.SIGHUP)
                await wait_for_log_event(program.stdout, "reload-failed")
            # The new pool gets the state of the old one, as if one pool had changed its address.
            new_pool.last_notice_number = old_pool.last_notice_number
            new_pool.bodies.update(old_pool.bodies)
            config_path.write_text(json.dumps(raw_config(pool=new_pool.address, index=index.address)))
            for _ in range(3):
                program.send_signal(signal.SIGHUP)
            await wait_for_log_event(program.stdout, "reloaded")
            await until(lambda: b"bind 0" in new_pool.received_lines)
            old_pool.writer = None
            new_pool.finish(encode_id(1))
            assert (await client.read_response()).body == b"done x"
            client.send(2)
            await until(lambda: new_pool.spawned[-1:] == [encode_id(2)])
            assert old_pool.spawned == [encode_id(1)] and program.returncode is None
            program.terminate()
            await program.communicate()

    asyncio.run(scenario())


async def read_without_reply(reader: asyncio.StreamReader, _writer: asyncio.StreamWriter) -> None:
    while await reader.read(4096):
        pass


async def wait_for_log_event(log_lines: asyncio.StreamReader, event: str) -> None:
    """Read the JSON lines of a log up to the first with this event name."""
    async with asyncio.timeout(20):
        while json.loads(await log_lines.readline())["event"] != event:
            pass


@pytest.mark.parametrize(
    ("changes", "environment", "expected_text"),
    [
        ({"listen": 5}, {}, "listen"),
        ({"settings": {}}, {}, "extra"),
        ({"seed": "xyz"}, {}, "xyz"),
        ({}, {"SALTCART_DEPLOYMENT": "/does/not/exist"}, "exist"),
        ({}, {"BALANCER_CONFIG": "/not/there"}, "there"),
        ({"listen": "127.0.0.1:1000000"}, {}, "listen"),
    ],
)
def test_an_invalid_configuration_ends_the_program_with_one_line_that_names_the_fault(
    tmp_path: Path, changes: dict[str, Any], environment: dict[str, str], expected_text: str
) -> None:
    async def scenario() -> None:
        program = await start_program(tmp_path / "c.json", {**raw_config(), **changes}, **environment)
        _, errors = await program.communicate()
        assert program.returncode == 2 and expected_text in errors.decode()
        assert len(errors.splitlines()) == 1 and b"Traceback" not in errors

    asyncio.run(scenario())
