"""Declarations whose runs fail, the further tries of their clients, and the check that none is run twice."""

from __future__ import annotations

import asyncio

from rig.balancer import Balancer
from rig.pool import Plan, Pool
from rig.record import Record
from rig.site import ACCOUNT, KEY_WINDOW_SECONDS

CLASS_NAME = "oddaja"
RUN_SECONDS = 0.04
TRIES = 4  # of each declaration
SECONDS_BETWEEN_TRIES = 0.1
SECONDS_BETWEEN_DECLARATIONS = 0.04


def failing_run() -> Plan:
    """Return what the run of a declaration does."""
    return Plan((RUN_SECONDS,), end=b"FAIL")


async def lodge_all(address: str, record: Record, count: int) -> None:
    """Lodge declarations, one after the other, each with all its tries."""
    lodgings = []
    for number in range(count):
        lodgings.append(asyncio.create_task(_lodge(address, record, number)))
        await asyncio.sleep(SECONDS_BETWEEN_DECLARATIONS)
    await asyncio.gather(*lodgings)


async def _lodge(address: str, record: Record, number: int) -> None:
    """Lodge one declaration: each try fails, and the client sends the next within the window."""
    key, body = f"{number:032x}", b"declaration %d" % number
    for _ in range(TRIES):
        balancer = await Balancer(address, record).open()
        await balancer.call(CLASS_NAME, ACCOUNT, body, 1500, 20.0, key)
        balancer.close()
        await asyncio.sleep(SECONDS_BETWEEN_TRIES)


def find_repeated_runs(pools: list[Pool], record: Record) -> int:
    """Return the number of declarations that were run again within the window of their first run.

    All tries of a declaration are sent within two seconds, so the window of 11.724 s counts from any of them.
    """
    first_runs: dict[bytes, float] = {}
    repeated = set[bytes]()
    for started_at, body in sorted(
        (run.started_at, run.body)
        for pool in pools
        for run in pool.runs
        if run.class_name == CLASS_NAME.encode()
    ):
        first = first_runs.setdefault(body, started_at)
        if first != started_at and started_at - first < KEY_WINDOW_SECONDS:
            repeated.add(body)
    record(
        "check", "runs of declarations", ran=len(first_runs), ran_twice=sorted(map(bytes.decode, repeated))
    )
    return len(repeated)
