"""One dependency that all services share becomes slow: how many calls does it have in its hands?"""

from __future__ import annotations

import asyncio
import random
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
CALL_SECONDS, SLOW_FACTOR = 0.1, 9.0
QUIET_SECONDS, SLOW_SECONDS = 8.0, 16.0
REQUESTS_PER_SECOND, BUDGET_MS = 12.0, 480


def config(platform: Platform) -> dict:
    """Return the configuration of the only service, whose share is all that the dependency survives."""
    conf = base_config(pool=platform.pool, index=platform.index)
    settings = conf["settings"]
    settings["extra"] |= {
        "below": "shared",
        "depShare": SHARE,
        "shareSpan": SPAN_SECONDS,
        "linger": LINGER_SECONDS,
        "callsByClass": [True, True],
        "classSkipWorth": [0.0, 0.0],
    }
    return conf


async def play_day(record: Record, folder: Path, started: list[Service]) -> list[str]:
    """Send requests while the dependency is well and then slow."""
    slow_from = time.monotonic() + 1e9
    platform = Platform(
        record,
        work_seconds=0.04,
        calls_of=lambda class_name: 1,
        call_seconds=lambda: CALL_SECONDS * (SLOW_FACTOR if time.monotonic() >= slow_from else 1.0),
        linger_seconds=LINGER_SECONDS,
    )
    await platform.open()
    service = Service(record, folder, config(platform), "")
    started.append(service)
    front = await asyncio.to_thread(service.address, "http")
    await asyncio.sleep(0.5)
    rng, tasks, broken = random.Random(8), set[asyncio.Task](), list[str]()
    begun = time.monotonic()
    worst = 0.0
    while (now := time.monotonic()) < begun + QUIET_SECONDS + SLOW_SECONDS:
        if TROUBLE and now >= begun + QUIET_SECONDS and slow_from > now:
            slow_from = now
            record(f"the dependency is {SLOW_FACTOR:g} times slower from now on")
        class_name = rng.choice(["pregled-statusa", "oddaja"])
        request_id = new_id()
        key = new_id() + new_id() if class_name == "oddaja" else None
        fields = request_headers(request_id, "jadran-spedicija", key, BUDGET_MS)
        request = Request(request_id, class_name, f"body of {request_id}".encode())
        task = asyncio.create_task(send(platform, front, request, fields, BUDGET_MS / 1000 + 0.2))
        tasks.add(task)
        task.add_done_callback(tasks.discard)
        await asyncio.sleep(rng.expovariate(REQUESTS_PER_SECOND))
        if now >= begun + SPAN_SECONDS:
            mean = platform.mean_calls(time.monotonic(), SPAN_SECONDS)
            if mean > worst + 0.2:
                worst = mean
                record(f"mean number of calls in the dependency's hands over {SPAN_SECONDS:g} s: {mean:.2f}")
            if mean > SHARE and not broken:
                broken.append(f"{mean:.2f} calls in the mean of {SPAN_SECONDS:g} s; the share is {SHARE:g}")
    await asyncio.sleep(1.5)
    served = sum(request.status == 200 for request in platform.requests.values())
    record(
        f"{len(platform.requests)} requests, {served} served, {len(platform.call_spans)} calls,"
        f" worst mean {worst:.2f}"
    )
    if not served or service.process.poll() is not None:
        raise CannotRunError("nothing was served")
    return broken


def case(record: Record, folder: Path, started: list[Service]) -> list[str]:
    """Play the day."""
    return asyncio.run(play_day(record, folder, started))


play(FOLDER, case)
