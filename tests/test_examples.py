"""The examples, started as the README says but on free ports."""

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


def test_an_answer_is_composed_of_the_toy_dependencies_and_may_be_partial(tmp_path: Path) -> None:
    async def play() -> None:
        toys = await start("examples.dependencies", "0")
        assert toys.stdout is not None
        addresses = (await toys.stdout.readline()).decode().split()[1:]
        config = json.loads((ROOT / "examples" / "config.json").read_text())
        deployment = (ROOT / "examples" / "budgets.toml").read_text().replace("127.0.0.1:8090", "127.0.0.1:0")
        for port, address in zip((8011, 8012, 8013), addresses):
            deployment = deployment.replace(f"127.0.0.1:{port}", address)
        (tmp_path / "config.json").write_text(
            json.dumps({**config, **dict.fromkeys(("listen", "control"), "127.0.0.1:0")})
        )
        (tmp_path / "saltcart.toml").write_text(deployment)
        program = await start(
            "saltcart",
            BALANCER_CONFIG=str(tmp_path / "config.json"),
            SALTCART_DEPLOYMENT=str(tmp_path / "saltcart.toml"),
        )
        try:
            assert program.stdout is not None
            while (line := json.loads(await program.stdout.readline())).get("front") != "http":
                pass
            client = await HttpClient(line["address"]).open()
            left = list[bytes | None]()
            for n in range(1, 4):
                answer = await client.ask(n, "pregled-statusa", account="jadran-spedicija")
                assert answer.status == 200 and json.loads(answer.body)["tarifa"] == {"rate": 0.045}
                left.append(answer.headers.get(b"left-out"))
            assert left == [None, None, b"arhiv"]
            answer = await client.ask(4, "oddaja", b"D-7", key="k", account="jadran-spedicija")
            assert (answer.status, answer.body) == (200, b'{"number":"LJ-1"}')
        finally:  # a failure must not leave them behind
            program.kill()
            toys.kill()
        out, _ = await toys.communicate()
        assert out == b'entered {"request":"D-7","answers":{"tarifa":{"rate":0.045}}}\n'
        await program.communicate()

    asyncio.run(play())


def test_the_toy_server_serves_both_fronts(tmp_path: Path) -> None:
    async def play() -> None:
        toy = await start("examples.toy_server", "127.0.0.1:0")
        assert toy.stdout is not None
        address = (await toy.stdout.readline()).split()[1].decode()
        config = json.loads((ROOT / "examples" / "config.json").read_text())
        deployment = (ROOT / "examples" / "saltcart.toml").read_text()
        for port in ("8009", "8090"):
            deployment = deployment.replace(f"127.0.0.1:{port}", "127.0.0.1:0")
        free = dict.fromkeys(("listen", "control"), "127.0.0.1:0")
        (tmp_path / "config.json").write_text(json.dumps({**config, **free}))
        (tmp_path / "saltcart.toml").write_text(deployment.replace("127.0.0.1:8010", address))
        program = await start(
            "saltcart",
            BALANCER_CONFIG=str(tmp_path / "config.json"),
            SALTCART_DEPLOYMENT=str(tmp_path / "saltcart.toml"),
        )
        assert program.stdout is not None
        fronts: dict[str, str] = {}
        while len(fronts) < 4:
            line = json.loads(await program.stdout.readline())
            if line["event"] == "listening":
                fronts[line["front"]] = line["address"]
        clients = [await HttpClient(fronts["http"]).open(), await AjpClient(fronts["ajp"]).open()]
        for n, client in enumerate(clients, 1):
            answer = await client.ask(n, "oddaja", b"hello", key="k", account="jadran-spedicija")
            assert (answer.status, answer.body) == (200, b"HELLO")
        reader, writer = await asyncio.open_connection(*fronts["control"].split(":"))
        writer.write(b"vars\n")
        assert b"balancer.fulfilled.oddaja:2|c\n" in await reader.read()
        writer.close()
        program.kill()
        toy.kill()
        out, _ = await toy.communicate()
        assert out.split() == [b"/call/oddaja", b"jadran-spedicija"]  # one run for both tries
        await program.communicate()

    asyncio.run(play())
