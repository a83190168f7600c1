"""A new version takes over under load: how many calls does the shared dependency have in its hands?"""

from __future__ import annotations

import asyncio
import random
import signal
import socket
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "common-2"))

from harness import (  # noqa: E402
    TROUBLE,
    CannotRunError,
    Record,
    Service,
    base_config,
    new_id,
    play,
    request_headers,
)
from platform_standins import Platform, Request, send  # noqa: E402

SHARE, SPAN_SECONDS, LINGER_SECONDS = 2.5, 5.0, 0.2
CALL_SECONDS = 0.5
REQUESTS_PER_SECOND, BUDGET_MS = 8.0, 3900
BEFORE_SECONDS, AFTER_SECONDS = 12.0, 10.0
READY_SECONDS, LONGEST_SECONDS, EXTRA_SECONDS = 6.0, 3.0, 0.7


def config(platform: Platform, pool: str, listen: str, control: str) -> dict:
    """Return the configuration of a process of the only service."""
    conf = base_config(pool=pool, index=platform.index, listen=listen, control=control)
    conf["settings"]["services"] = [
        {**spec, "onTime": spec["deadline"] - 0.4} for spec in conf["settings"]["services"]
    ]
    conf["settings"]["extra"] |= {
        "cores": 12,
        "below": "shared",
        "depShare": SHARE,
        "shareSpan": SPAN_SECONDS,
        "linger": LINGER_SECONDS,
        "callsByClass": [True, True],
        "classSkipWorth": [0.0, 0.0],
    }
    return conf


async def says_yes(address: str) -> bool:
    """Ask a process whether it can serve."""
    host, _, port = address.rpartition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    writer.write(b"check\n")
    answer = await reader.readline()
    writer.close()
    return answer.startswith(b"OK")


async def play_day(record: Record, folder: Path, started: list[Service]) -> list[str]:
    """Send requests before, during and after the upgrade."""
    platform = Platform(
        record,
        work_seconds=0.02,
        calls_of=lambda class_name: 1,
        call_seconds=lambda: CALL_SECONDS,
        linger_seconds=LINGER_SECONDS,
    )
    await platform.open()
    with socket.create_server(("127.0.0.1", 0), backlog=512) as listening:
        listen = "{}:{}".format(*listening.getsockname())
        environment = {"BALANCER_LISTEN_FD": str(listening.fileno())}

        async def start(name: str, pool: str) -> Service:
            conf = config(platform, pool, listen, "127.0.0.1:0")
            service = Service(record, folder, conf, "", name, environment, (listening.fileno(),))
            started.append(service)
            control = await asyncio.to_thread(service.address, "control")
            end = time.monotonic() + READY_SECONDS
            while not await says_yes(control):
                if time.monotonic() > end:
                    raise CannotRunError(f"{name} is not ready")
                await asyncio.sleep(0.05)
            record(f"{name} says yes")
            return service

        old = await start("old", platform.pool)

        async def upgrade() -> None:
            await asyncio.sleep(BEFORE_SECONDS)
            if not TROUBLE:
                return
            await start("new", await platform.open_pool())
            old.signal(signal.SIGTERM)
            status = await asyncio.to_thread(old.wait_end, LONGEST_SECONDS + EXTRA_SECONDS)
            record(
                f"the old process has ended with {status}" if status is not None else "the old one is killed"
            )
            old.stop()

        upgrading = asyncio.create_task(upgrade())
        rng, tasks, broken, worst = random.Random(10), set[asyncio.Task](), list[str](), 0.0
        begun = time.monotonic()
        while time.monotonic() < begun + BEFORE_SECONDS + AFTER_SECONDS:
            class_name = rng.choice(["pregled-statusa", "oddaja"])
            request_id = new_id()
            key = new_id() + new_id() if class_name == "oddaja" else None
            fields = request_headers(request_id, "jadran-spedicija", key, BUDGET_MS)
            request = Request(request_id, class_name, f"body of {request_id}".encode())
            task = asyncio.create_task(send(platform, listen, request, fields, BUDGET_MS / 1000 + 0.2))
            tasks.add(task)
            task.add_done_callback(tasks.discard)
            await asyncio.sleep(rng.expovariate(REQUESTS_PER_SECOND))
            mean = platform.mean_calls(time.monotonic(), SPAN_SECONDS)
            if mean > worst + 0.2:
                worst = mean
                record(f"mean number of calls in the dependency's hands over {SPAN_SECONDS:g} s: {mean:.2f}")
            if mean > SHARE and not broken:
                broken.append(f"{mean:.2f} calls in the mean of {SPAN_SECONDS:g} s; the share is {SHARE:g}")
        await upgrading
        served = sum(request.status == 200 for request in platform.requests.values())
        record(
            f"{len(platform.requests)} requests, {served} served, {len(platform.call_spans)} calls, "
            f"worst mean {worst:.2f}"
        )
        if not served:
            raise CannotRunError("nothing was served")
        return broken


def case(record: Record, folder: Path, started: list[Service]) -> list[str]:
    """Play the day."""
    return asyncio.run(play_day(record, folder, started))


play(FOLDER, case)
