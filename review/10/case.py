"""drain-on at the new process of an upgrade whose worker pool comes up late: what do health checks get?"""

from __future__ import annotations

import asyncio
import signal
import socket
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "common-2"))

from harness import TROUBLE, CannotRunError, Record, Service, base_config, call, play  # noqa: E402

POOL_LATE_SECONDS = 5.5  # after its process was started; the new process is given 6 s to say yes
ALLOWED_SECONDS = 4.0  # after drain-on, for a good answer to a health check
WATCHED_SECONDS = 8.0
READY_SECONDS, KILL_SECONDS = 6.0, 3.7
SERVERS: list[asyncio.Server] = []


async def serve_pool(reader: asyncio.StreamReader, writer: asyncio.StreamWriter, up_at: float) -> None:
    """Serve a link to a worker pool that comes up at a time and gets no work."""
    while words := (await reader.readline()).split():
        if words[0] == b"bind":
            await asyncio.sleep(max(0.0, up_at - time.monotonic()))
            writer.write(b"bound LOADED %d\r\n" % max(0.0, (time.monotonic() - up_at) * 1000))
        elif words[0] == b"poll":
            writer.write(b"polled %b 0.10 0 0.10 10\r\n" % words[1])
    writer.close()


async def open_pool(late_seconds: float) -> str:
    """Listen as a worker pool that comes up so many seconds from now, and return the address."""
    up_at = time.monotonic() + late_seconds
    server = await asyncio.start_server(lambda r, w: serve_pool(r, w, up_at), "127.0.0.1", 0)
    SERVERS.append(server)
    return "{}:{}".format(*server.sockets[0].getsockname())


async def operate(address: str, line: bytes) -> bytes:
    """Make an operator's call and return the first line of the answer."""
    host, _, port = address.rpartition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    writer.write(line + b"\n")
    answer = await reader.readline()
    writer.close()
    return answer.strip()


async def play_day(record: Record, folder: Path, started: list[Service]) -> list[str]:
    """Call drain-on, during an upgrade or without one, and check the health of the service for 8 s."""
    broken = list[str]()
    with socket.create_server(("127.0.0.1", 0), backlog=512) as listening:
        listen = "{}:{}".format(*listening.getsockname())

        async def start(name: str, pool: str) -> tuple[Service, str]:
            conf = base_config(pool=pool, listen=listen, control="127.0.0.1:0")
            environment = {"BALANCER_LISTEN_FD": str(listening.fileno())}
            service = Service(record, folder, conf, "", name, environment, (listening.fileno(),))
            started.append(service)
            return service, await asyncio.to_thread(service.address, "control")

        async def is_healthy() -> bool:
            status, _, _ = await asyncio.to_thread(call, listen, "GET", "/ping", {}, b"")
            return status == 200

        old, control = await start("old", await open_pool(0.0))
        await asyncio.to_thread(old.address, "http")
        end = time.monotonic() + 10
        while not await is_healthy():
            if time.monotonic() > end:
                raise CannotRunError("the service is not healthy before the call")
            await asyncio.sleep(0.05)
        begun = time.monotonic()
        if TROUBLE:
            record("an upgrade begins: the new process is started")
            _, control = await start("new", await open_pool(POOL_LATE_SECONDS))
        answer = await operate(control, b"drain-on")
        called, yes_after = time.monotonic(), None
        record(f"operator: drain-on at {control} is answered {answer!r}")
        if not answer.startswith(b"OK"):
            raise CannotRunError("the call was not accepted")
        while (age := time.monotonic() - called) < WATCHED_SECONDS:
            healthy = await is_healthy()
            record(f"health check {age:.2f} s after the call: {'good' if healthy else 'bad'}")
            if healthy and age > ALLOWED_SECONDS:
                broken.append(f"a good answer to a health check {age:.2f} s after drain-on")
            if TROUBLE and yes_after is None and (await operate(control, b"check")).startswith(b"OK"):
                yes_after = time.monotonic() - begun
                record(f"the new process says yes {yes_after:.2f} s after its start")
                if yes_after > READY_SECONDS:
                    raise CannotRunError("the new process was late")
                old.signal(signal.SIGTERM)
            if yes_after is not None and time.monotonic() > begun + yes_after + KILL_SECONDS:
                old.stop()
            await asyncio.sleep(0.1)
        if TROUBLE and yes_after is None:
            raise CannotRunError("the new process never said yes")
    return broken


def case(record: Record, folder: Path, started: list[Service]) -> list[str]:
    """Play the day."""
    return asyncio.run(play_day(record, folder, started))


play(FOLDER, case)
