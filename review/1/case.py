"""An upgrade in a quiet hour: afterwards both processes serve, and keyed requests run twice."""

from __future__ import annotations

import asyncio
import os
import random
import signal
import sys
from pathlib import Path

from rig.balancer import Balancer
from rig.case import has_trouble, run_case
from rig.declarations import failing_run, find_repeated_runs, lodge_all
from rig.peers import AnnounceService, Index
from rig.pool import Plan, Pool
from rig.record import Record
from rig.services import CaseError, Service, free_address, hold_listening_socket
from rig.site import ACCOUNT, config

HERE = Path(__file__).resolve().parent
HAS_TROUBLE = has_trouble()
SEED = int(os.environ.get("SEED", "5"))  # of the sizes of the reads
READ_PAIRS = 12
STOP_MS = 3200
KILL_DELAY_SECONDS = 3.7  # 3 s, as the longest deadline is longer, and 0.7 s
READ_SECONDS = 0.15
LAST_READ_SECONDS = 0.2  # after the drain notice
DECLARATIONS = 20


class Runs:
    """What each run does: a declaration fails, a read takes its time, and the last one until it may end."""

    def __init__(self) -> None:
        self.last_may_end = asyncio.Event()

    def __call__(self, class_name: bytes, body: bytes) -> Plan:
        """Return what the run of a class and body does."""
        if class_name == b"oddaja":
            return failing_run()
        if body == b"last":
            return Plan((0.0,), b"state of last", release=self.last_may_end)
        return Plan((READ_SECONDS if body == b"first" else READ_SECONDS / 2,), b"state of " + body)


async def read(address: str, record: Record, body: bytes, size_kb: float) -> None:
    """Make one read on a connection of its own."""
    balancer = await Balancer(address, record).open()
    answer = await balancer.call("pregled-statusa", ACCOUNT, body, 5000, size_kb)
    balancer.close()
    if answer.status == 0:
        raise CaseError("a read of the quiet hour got no answer")


async def read_pair(address: str, record: Record, sizes: random.Random, first_body: bytes) -> None:
    """Make two reads, of which the second ends first."""
    first = asyncio.create_task(read(address, record, first_body, round(sizes.uniform(17, 59), 1)))
    await asyncio.sleep(0.03)
    await read(address, record, b"second", round(sizes.uniform(17, 59), 1))
    await first


async def play(address: str, record: Record, folder: Path) -> bool:
    """Play the case, and return whether the rule was broken."""
    announce, index = AnnounceService(record), Index(lambda body: (b"found", 0.01), record)
    runs = Runs()
    pools = [Pool("pool-old", runs, record), Pool("pool-new", runs, record)]
    for peer in (announce, index, *pools):
        await peer.open()
    shared_folder = folder / "tmp"
    shared_folder.mkdir()
    old, new = (
        Service(
            label,
            config(address, pool.address, index.address, announce.address, free_address(), STOP_MS),
            folder,
            shared_folder,
            record,
        )
        for label, pool in zip(("old", "new"), pools)
    )
    try:
        await old.start(inherits_listener=True)
        await old.wait_until_ready()
        sizes = random.Random(SEED)
        for _ in range(READ_PAIRS):
            await read_pair(address, record, sizes, b"first")
            await asyncio.sleep(0.05)
        last_pair = asyncio.create_task(read_pair(address, record, sizes, b"last"))
        await asyncio.sleep(0.2)
        if HAS_TROUBLE:
            await new.start(inherits_listener=True)
            await new.wait_until_ready()
            old.signal(signal.SIGTERM)
            asyncio.get_running_loop().call_later(KILL_DELAY_SECONDS, old.signal, signal.SIGKILL)
        await asyncio.sleep(LAST_READ_SECONDS)
        runs.last_may_end.set()
        await last_pair
        await asyncio.sleep(0.1)
        await lodge_all(address, record, DECLARATIONS)
        return find_repeated_runs(pools, record) > 0
    finally:
        await old.end()
        await new.end()
        for peer in (announce, index, *pools):
            peer.close()


if __name__ == "__main__":
    # Before anything else is opened, as descriptor 3 must be free.
    listening_address = hold_listening_socket()
    sys.exit(run_case(HERE, lambda record, folder: play(listening_address, record, folder)))
