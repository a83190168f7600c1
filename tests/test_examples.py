"""The examples, started by the README's commands, but on free ports."""

from __future__ import annotations

import asyncio
import json
import os
import sys
from pathlib import Path

from tests.standins import AjpClient, HttpClient

ROOT = Path(__file__).resolve().parent.parent


async def start(*command: str, **env: str) -> asyncio.subprocess.Process:
    return await asyncio.create_subprocess_exec(
        sys.executable, "-m", *command, cwd=ROOT, stdout=asyncio.subprocess.PIPE, env={**os.environ, **env}
    )


def test_a_response_is_composed_of_the_toy_dependencies_replies_and_may_be_partial(tmp_path: Path) -> None:
    async def run_scenario() -> None:
        dependencies = await start("examples.dependencies", "0")
        assert dependencies.stdout is not None
        addresses = (await dependencies.stdout.readline()).decode().split()[1:]
        config = json.loads((ROOT / "examples" / "config.json").read_text())
        deployment = (ROOT / "examples" / "budgets.toml").read_text().replace("127.0.0.1:8090", "127.0.0.1:0")
        for port, address in zip((8011, 8012, 8013), addresses):
            deployment = deployment.replace(f"127.0.0.1:{port}", address)
        (tmp_path / "config.json").write_text(
            json.dumps({**config, **dict.fromkeys(("listen", "control"), "127.0.0.1:0")})
        )
        (tmp_path / "saltcart.toml").write_text(deployment)
        service = await start(
            "saltcart",
            BALANCER_CONFIG=str(tmp_path / "config.json"),
            SALTCART_DEPLOYMENT=str(tmp_path / "saltcart.toml"),
        )
        try:
            assert service.stdout is not None
            while (line := json.loads(await service.stdout.readline())).get("front") != "http":
                pass
            client = await HttpClient(line["address"]).open()
            left_out = list[bytes | None]()
            for number in range(1, 4):
                response = await client.post(number, "pregled-statusa", account="jadran-spedicija")
                assert response.status == 200 and json.loads(response.body)["tarifa"] == {"rate": 0.045}
                left_out.append(response.headers.get(b"left-out"))
            assert left_out == [None, None, b"arhiv"]
            response = await client.post(4, "oddaja", b"D-7", key="k", account="jadran-spedicija")
            assert (response.status, response.body) == (200, b'{"number":"LJ-1"}')
        finally:  # even if an assertion fails
            service.kill()
            dependencies.kill()
        output, _ = await dependencies.communicate()
        assert output == b'entered {"request":"D-7","answers":{"tarifa":{"rate":0.045}}}\n'
        await service.communicate()

    asyncio.run(run_scenario())


def test_the_toy_server_serves_both_fronts(tmp_path: Path) -> None:
    async def run_scenario() -> None:
        toy_server = await start("examples.toy_server", "127.0.0.1:0")
        assert toy_server.stdout is not None
        address = (await toy_server.stdout.readline()).split()[1].decode()
        config = json.loads((ROOT / "examples" / "config.json").read_text())
        deployment = (ROOT / "examples" / "saltcart.toml").read_text()
        for port in ("8009", "8090"):
            deployment = deployment.replace(f"127.0.0.1:{port}", "127.0.0.1:0")
        free_ports = dict.fromkeys(("listen", "control"), "127.0.0.1:0")
        (tmp_path / "config.json").write_text(json.dumps({**config, **free_ports}))
        (tmp_path / "saltcart.toml").write_text(deployment.replace("127.0.0.1:8010", address))
        service = await start(
            "saltcart",
            BALANCER_CONFIG=str(tmp_path / "config.json"),
            SALTCART_DEPLOYMENT=str(tmp_path / "saltcart.toml"),
        )
        assert service.stdout is not None
        fronts: dict[str, str] = {}
        while len(fronts) < 4:
            line = json.loads(await service.stdout.readline())
            if line["event"] == "listening":
                fronts[line["front"]] = line["address"]
        clients = [await HttpClient(fronts["http"]).open(), await AjpClient(fronts["ajp"]).open()]
        for number, client in enumerate(clients, 1):
            response = await client.post(number, "oddaja", b"hello", key="k", account="jadran-spedicija")
            assert (response.status, response.body) == (200, b"HELLO")
        reader, writer = await asyncio.open_connection(*fronts["control"].split(":"))
        writer.write(b"vars\n")
        assert b"balancer.fulfilled.oddaja:2|c\n" in await reader.read()
        writer.close()
        service.kill()
        toy_server.kill()
        output, _ = await toy_server.communicate()
        assert output.split() == [b"/call/oddaja", b"jadran-spedicija"]  # one run for both attempts
        await service.communicate()

    asyncio.run(run_scenario())
