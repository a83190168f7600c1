"""What the platform's days allow a service: one process, its own kinds of sockets, and a lean start.

The service is started by the very line ``run`` of the deploy file and looked at from outside, through /proc.
"""

from __future__ import annotations

import asyncio
import json
import os
import re
import signal
import subprocess
import sys
import tomllib
from pathlib import Path

import pytest

from tests.standins import HttpClient, Pool, Server, raw_config

ROOT = Path(__file__).resolve().parent.parent
DEPLOY = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())
TOOLS = (
    "click",
    "hdrh",
    "matplotlib",
    "msgspec",
    "numpy",
    "saltcart.composition",
    "saltcart.subsetting",
    "saltcart.lab",
    "saltcart.locality",
    "saltcart.membership",
    "saltcart.retry_storm",
    "simpy",
    "xxhash",
)


def held_sockets(pid: int) -> set[str]:
    """Inode numbers of the sockets that a process holds."""
    links = []
    for fd in Path(f"/proc/{pid}/fd").iterdir():
        try:
            links.append(os.readlink(fd))
        except FileNotFoundError:  # closed since it was listed
            continue
    return {found[1] for link in links if (found := re.match(r"socket:\[(\d+)\]", link))}


def table(pid: int, name: str, column: int) -> dict[str, list[str]]:
    """One of the kernel's socket tables, by inode."""
    path = Path(f"/proc/{pid}/net/{name}")
    rows = [line.split() for line in path.read_text().splitlines()[1:]] if path.exists() else []
    return {row[column]: row for row in rows if len(row) > column}


def children(pid: int) -> str:
    return "".join(Path(task, "children").read_text() for task in Path(f"/proc/{pid}/task").iterdir()).strip()


@pytest.mark.skipif(not Path("/proc/self/net/tcp").exists(), reason="needs Linux's /proc")
def test_the_line_run_ends_in_one_process_with_tcp_sockets_alone(tmp_path: Path) -> None:
    async def play() -> None:
        async def announce(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            while await reader.readline():
                writer.write(b"HTTP/1.1 204 No Content\r\nContent-Length: 0\r\n\r\n")

        async with Pool() as pool, Server(announce) as registry, Server(announce) as index:
            config = tmp_path / "config.json"
            config.write_text(
                json.dumps(raw_config(pool=pool.address, announce=registry.address, index=index.address))
            )
            scratch = tmp_path / "scratch"
            scratch.mkdir()
            environment = {"PATH": os.environ["PATH"], "BALANCER_CONFIG": str(config), "TMPDIR": str(scratch)}
            shell = await asyncio.create_subprocess_exec(
                "/bin/sh", "-c", DEPLOY["run"], cwd=ROOT, env=environment, stdout=asyncio.subprocess.PIPE
            )
            assert shell.stdout is not None
            try:
                told = dict[str, dict[str, str]]()
                async with asyncio.timeout(30):
                    while not {"listening", "pool-started"} <= set(told):
                        line = json.loads(await shell.stdout.readline())
                        told[line["event"]] = line
                    client = await HttpClient(told["listening"]["address"]).open()
                    assert (await client.ask(1)).status == 200
                # The shell is gone: its process has become the service, and that has no child.
                command = Path(f"/proc/{shell.pid}/cmdline").read_bytes().split(b"\0")
                assert command[1:3] == [b"-m", b"saltcart"]
                assert children(shell.pid) == ""
                held = held_sockets(shell.pid)
                tcp, unix = table(shell.pid, "tcp", 9), table(shell.pid, "unix", 6)
                assert len(held & set(tcp)) >= 3  # where clients connect, a client, the pool
                # The event loop wakes itself through a pair of its own; it has no name and no other end.
                own = [unix[inode] for inode in held & set(unix)]
                assert len(own) == 2 and all(len(row) == 7 for row in own)
                assert held == held & (set(tcp) | set(unix))
                # No ring, no socket that listens in the file system.
                assert not [
                    fd
                    for fd in Path(f"/proc/{shell.pid}/fd").iterdir()
                    if "io_uring" in (os.readlink(fd) if fd.exists() else "")
                ]
                assert not [p for p in scratch.rglob("*") if p.is_socket()]
                client.drop()
            finally:
                shell.send_signal(signal.SIGKILL)
                await shell.communicate()

    asyncio.run(play())


def test_the_interpreter_is_linked_dynamically() -> None:
    """The bench leads sockets and clocks to itself through the C library: not to a static one."""
    maps = Path("/proc/self/maps").read_text()
    assert re.search(r"/(libc[.-]|ld-musl)", maps), "the tests' own interpreter, which also runs the service"


def test_the_service_starts_without_the_tools() -> None:
    """Plans, models and the command line must cost a service that has none of them no time or memory."""
    script = (
        "import sys; import saltcart.__main__, saltcart.app;"
        f"print([m for m in {TOOLS!r} if m in sys.modules])"
    )
    out = subprocess.run([sys.executable, "-c", script], cwd=ROOT, check=True, capture_output=True, text=True)
    assert out.stdout.strip() == "[]"


def test_what_run_and_sim_need_is_in_the_file_that_build_installs_from() -> None:
    named = re.findall(r"import ([a-z, ]+)'", DEPLOY["build"])
    lines = (ROOT / "requirements.txt").read_text().splitlines()
    needed = {line.partition("==")[0].strip() for line in lines}
    assert {word.strip() for word in ",".join(named).split(",")} == needed - {""}
    for path in DEPLOY["policy"] + DEPLOY["node"]:
        assert (ROOT / path).exists(), path
