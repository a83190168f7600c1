"""The platform's limits: a single process, TCP sockets only, and a start without optional modules.

The service is started by the deploy file's own ``run`` command and inspected from outside, through /proc.
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
OPTIONAL_MODULES = (
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


def open_sockets(pid: int) -> set[str]:
    """Return the inode numbers of the sockets that a process has open."""
    links = []
    for fd in Path(f"/proc/{pid}/fd").iterdir():
        try:
            links.append(os.readlink(fd))
        except FileNotFoundError:  # closed since the folder was listed
            continue
    return {match[1] for link in links if (match := re.match(r"socket:\[(\d+)\]", link))}


def socket_table(pid: int, name: str, column: int) -> dict[str, list[str]]:
    """Return the rows of one of the kernel's socket tables by inode, which is in the given column."""
    path = Path(f"/proc/{pid}/net/{name}")
    rows = [line.split() for line in path.read_text().splitlines()[1:]] if path.exists() else []
    return {row[column]: row for row in rows if len(row) > column}


def children(pid: int) -> str:
    return "".join(Path(task, "children").read_text() for task in Path(f"/proc/{pid}/task").iterdir()).strip()


@pytest.mark.skipif(not Path("/proc/self/net/tcp").exists(), reason="needs Linux's /proc")
def test_the_run_command_becomes_one_process_with_tcp_sockets_only(tmp_path: Path) -> None:
    async def run_scenario() -> None:
        async def respond(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            while await reader.readline():
                writer.write(b"HTTP/1.1 204 No Content\r\nContent-Length: 0\r\n\r\n")

        async with Pool() as pool, Server(respond) as announce_service, Server(respond) as index:
            config = tmp_path / "config.json"
            config.write_text(
                json.dumps(
                    raw_config(pool=pool.address, announce=announce_service.address, index=index.address)
                )
            )
            scratch = tmp_path / "scratch"
            scratch.mkdir()
            environment = {"PATH": os.environ["PATH"], "BALANCER_CONFIG": str(config), "TMPDIR": str(scratch)}
            shell = await asyncio.create_subprocess_exec(
                "/bin/sh", "-c", DEPLOY["run"], cwd=ROOT, env=environment, stdout=asyncio.subprocess.PIPE
            )
            assert shell.stdout is not None
            try:
                events = dict[str, dict[str, str]]()
                async with asyncio.timeout(30):
                    while not {"listening", "pool-started"} <= set(events):
                        line = json.loads(await shell.stdout.readline())
                        events[line["event"]] = line
                    client = await HttpClient(events["listening"]["address"]).open()
                    assert (await client.post(1)).status == 200
                # The shell replaced itself with the service by exec, and the service has no child process.
                command = Path(f"/proc/{shell.pid}/cmdline").read_bytes().split(b"\0")
                assert command[1:3] == [b"-m", b"saltcart"]
                assert children(shell.pid) == ""
                sockets = open_sockets(shell.pid)
                tcp, unix = socket_table(shell.pid, "tcp", 9), socket_table(shell.pid, "unix", 6)
                assert len(sockets & set(tcp)) >= 3  # the listener, a client, the pool
                # The event loop wakes itself through an unnamed socket pair that no other process has.
                loop_pair = [unix[inode] for inode in sockets & set(unix)]
                assert len(loop_pair) == 2 and all(len(row) == 7 for row in loop_pair)
                assert sockets == sockets & (set(tcp) | set(unix))
                # No io_uring, and no Unix socket in the file system.
                assert not [
                    fd
                    for fd in Path(f"/proc/{shell.pid}/fd").iterdir()
                    if "io_uring" in (os.readlink(fd) if fd.exists() else "")
                ]
                assert not [path for path in scratch.rglob("*") if path.is_socket()]
                client.drop()
            finally:
                shell.send_signal(signal.SIGKILL)
                await shell.communicate()

    asyncio.run(run_scenario())


def test_the_interpreter_is_linked_dynamically() -> None:
    """The bench intercepts socket and clock calls in the C library, which must not be linked statically."""
    maps = Path("/proc/self/maps").read_text()
    assert re.search(r"/(libc[.-]|ld-musl)", maps), (
        "the interpreter of the tests, which also runs the service, has no dynamic C library"
    )


def test_the_service_starts_without_optional_modules() -> None:
    """Features that are off, the lab and the command line must cost the service no time or memory."""
    script = (
        "import sys; import saltcart.__main__, saltcart.app;"
        f"print([m for m in {OPTIONAL_MODULES!r} if m in sys.modules])"
    )
    out = subprocess.run([sys.executable, "-c", script], cwd=ROOT, check=True, capture_output=True, text=True)
    assert out.stdout.strip() == "[]"


def test_the_requirements_match_the_build_command_and_listed_paths_exist() -> None:
    imports = re.findall(r"import ([a-z, ]+)'", DEPLOY["build"])
    lines = (ROOT / "requirements.txt").read_text().splitlines()
    needed = {line.partition("==")[0].strip() for line in lines}
    assert {name.strip() for name in ",".join(imports).split(",")} == needed - {""}
    for path in DEPLOY["policy"] + DEPLOY["node"]:
        assert (ROOT / path).exists(), path
