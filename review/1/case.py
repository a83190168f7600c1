"""An upgrade in a quiet hour: afterwards both processes serve, and keyed requests run twice."""

from __future__ import annotations

import asyncio
import os
import random
import signal
import sys
import tempfile
from pathlib import Path

from rig.balancer import Balancer
from rig.peers import AnnounceService, Index
from rig.pool import Plan, Pool
from rig.record import Record
from rig.services import CaseError, Service, free_address, hold_listening_socket
from rig.site import ACCOUNT, KEY_WINDOW_SECONDS, config

HERE = Path(__file__).resolve().parent
HAS_TROUBLE = os.environ.get("TROUBLE", "1") != "0"
SEED = int(os.environ.get("SEED", "5"))  # of the sizes of the reads
READ_PAIRS = 12
STOP_MS = 3200
KILL_DELAY_SECONDS = 3.7  # 3 s, as the longest deadline is longer, and 0.7 s
READ_SECONDS = 0.15
LAST_READ_SECONDS = 0.2  # after the drain notice
DECLARATIONS = 20
TRIES = 4  # of each declaration


class Runs:
    """What each run does: a declaration fails, a read takes its time, and the last one until it may end."""

    def __init__(self) -> None:
        self.last_may_end = asyncio.Event()

    def __call__(self, class_name: bytes, body: bytes) -> Plan:
        """Return what the run of a class and body does."""
        if class_name == b"oddaja":
            return Plan((0.04,), end=b"FAIL")
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


async def lodge(address: str, record: Record, number: int) -> None:
    """Lodge one declaration: each try fails, and the client sends the next within the window."""
    key, body = f"{number:032x}", b"declaration %d" % number
    for _ in range(TRIES):
        balancer = await Balancer(address, record).open()
        await balancer.call("oddaja", ACCOUNT, body, 1500, 20.0, key)
        balancer.close()
        await asyncio.sleep(0.1)


def find_repeated_runs(pools: list[Pool], record: Record) -> int:
    """Return the number of declarations that were run again within the window of their first run."""
    first_runs: dict[bytes, float] = {}
    repeated = set[bytes]()
    for started_at, body in sorted(
        (run.started_at, run.body) for pool in pools for run in pool.runs if run.class_name == b"oddaja"
    ):
        first = first_runs.setdefault(body, started_at)
        if first != started_at and started_at - first < KEY_WINDOW_SECONDS:
            repeated.add(body)
    record(
        "check", "runs of declarations", ran=len(first_runs), ran_twice=sorted(map(bytes.decode, repeated))
    )
    return len(repeated)


async def play(address: str, record: Record, folder: Path) -> int:
    """Play the case, and return the exit status."""
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
        lodgings = []
        for number in range(DECLARATIONS):
            lodgings.append(asyncio.create_task(lodge(address, record, number)))
            await asyncio.sleep(0.04)
        await asyncio.gather(*lodgings)
        return 1 if find_repeated_runs(pools, record) else 0
    finally:
        await old.end()
        await new.end()
        for peer in (announce, index, *pools):
            peer.close()


def main() -> int:
    """Run the case; return 1 if the rule was broken, 0 if it held, 2 if the case could not run."""
    address = hold_listening_socket()
    record = Record(HERE / "record.txt")
    status = 2
    try:
        with tempfile.TemporaryDirectory(prefix="case-") as folder:
            status = asyncio.run(asyncio.wait_for(play(address, record, Path(folder)), 100))
    except Exception as error:
        record("case", "could not run", error=repr(error))
    record("case", "ended", status=status)
    record.close()
    print({0: "held", 1: "BROKEN"}.get(status, "could not run"))
    return status


if __name__ == "__main__":
    sys.exit(main())
