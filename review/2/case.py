"""Broken links to the worker pool: a run gets the reply to its first call as that to its second."""

from __future__ import annotations

import asyncio
import os
import random
import sys
from pathlib import Path

from rig.balancer import Balancer
from rig.case import has_trouble, run_case
from rig.peers import AnnounceService, Index
from rig.pool import Plan, Pool
from rig.record import Record
from rig.services import Service, free_address
from rig.site import ACCOUNT, config

HERE = Path(__file__).resolve().parent
HAS_TROUBLE = has_trouble()
SEED = int(os.environ.get("SEED", "1"))
SERVICES = 4
REQUESTS = int(os.environ.get("REQUESTS", "2000"))  # to each service
REQUESTS_PER_SECOND = 30.0  # to each service
SECONDS_BETWEEN_BREAKS = 3.0  # in the mean
STOP_MS = 3200


class Runs:
    """What each run does: it works in three parts, with a call between two of them."""

    def __init__(self, seed: int) -> None:
        self.random = random.Random(seed)

    def __call__(self, class_name: bytes, body: bytes) -> Plan:
        """Return what the run of a class and body does."""
        draw = self.random.uniform
        return Plan((draw(0.01, 0.03), draw(0.025, 0.05), draw(0.01, 0.03)), b"result of " + body)


def reply_to(body: bytes) -> tuple[bytes, float]:
    """Return the reply to a call, which names the call, and the seconds until it is sent."""
    return b"reply to " + body, 0.01


async def request(address: str, record: Record, name: str, number: int) -> None:
    """Make one request on a connection of its own."""
    balancer = await Balancer(address, record).open()
    if number % 2:
        await balancer.call(
            "oddaja", ACCOUNT, f"declaration {number} to {name}".encode(), 3500, 20.0, f"{number:032x}"
        )
    else:
        await balancer.call("shrani-osnutek", ACCOUNT, f"draft {number} to {name}".encode(), 3500, 20.0)
    balancer.close()


async def request_all(address: str, record: Record, name: str, seed: int) -> None:
    """Make all requests to one service."""
    requests = []
    arrivals = random.Random(seed)
    for number in range(REQUESTS):
        requests.append(asyncio.create_task(request(address, record, name, number)))
        await asyncio.sleep(arrivals.expovariate(REQUESTS_PER_SECOND))
    await asyncio.gather(*requests)


async def break_links(pool: Pool, record: Record, seed: int) -> None:
    """Break the link to a pool now and then."""
    times = random.Random(seed)
    while True:
        await asyncio.sleep(times.uniform(0.5, 1.5) * SECONDS_BETWEEN_BREAKS)
        record(pool.label, "link broken")
        if pool.writer is not None:
            pool.writer.transport.abort()


def find_foreign_replies(pool: Pool, record: Record) -> int:
    """Return the number of calls that got another reply than theirs."""
    foreign = 0
    for run in pool.runs:
        for number, reply in enumerate(run.replies, 1):
            expected = b"reply to call %d of %b" % (number, run.body)
            if reply is not None and reply != expected:
                foreign += 1
                record("check", "foreign reply", call=expected.decode(), got=reply.decode("latin-1"))
    calls = sum(len(run.replies) for run in pool.runs)
    record("check", "replies", pool=pool.label, runs=len(pool.runs), calls=calls, foreign=foreign)
    return foreign


async def play(record: Record, folder: Path) -> bool:
    """Play the case, and return whether the rule was broken."""
    announce, index = AnnounceService(record), Index(reply_to, record)
    pools = [Pool(f"pool-{number}", Runs(SEED + number), record) for number in range(SERVICES)]
    for peer in (announce, index, *pools):
        await peer.open()
    services = []
    for number, pool in enumerate(pools):
        temporary_folder = folder / f"tmp-{number}"
        temporary_folder.mkdir()
        conf = config(free_address(), pool.address, index.address, announce.address, free_address(), STOP_MS)
        label = f"service-{number}"
        services.append(Service(label, conf, folder, temporary_folder, record))
    breaks: list[asyncio.Task[None]] = []
    try:
        for service in services:
            await service.start()
        for service in services:
            await service.wait_until_ready()
        if HAS_TROUBLE:
            breaks = [
                asyncio.create_task(break_links(pool, record, SEED + 10 + number))
                for number, pool in enumerate(pools)
            ]
        await asyncio.gather(
            *(
                request_all(service.config["listen"], record, service.label, SEED + 20 + number)
                for number, service in enumerate(services)
            )
        )
        return sum([find_foreign_replies(pool, record) for pool in pools]) > 0
    finally:
        for task in breaks:
            task.cancel()
        for service in services:
            await service.end()
        for peer in (announce, index, *pools):
            peer.close()


if __name__ == "__main__":
    sys.exit(run_case(HERE, play))
