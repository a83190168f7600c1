"""Runs a case: its record, its temporary folder, its time limit and its exit status."""

from __future__ import annotations

import asyncio
import os
import signal
import sys
import tempfile
from collections.abc import Awaitable, Callable
from pathlib import Path

from rig.record import Record

LIMIT_SECONDS = 115.0
HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2
RESULTS = {HELD: "held", BROKEN: "BROKEN", COULD_NOT_RUN: "could not run"}


def has_trouble() -> bool:
    """Whether the disruption takes place; ``TROUBLE=0`` leaves it out."""
    return os.environ.get("TROUBLE", "1") != "0"


def run_case(case_folder: Path, play: Callable[[Record, Path], Awaitable[bool]]) -> int:
    """Play a case, and return the exit status of its script.

    Args:
        case_folder: Where ``record.txt`` is written.
        play: Plays the case with its record and a temporary folder, and returns whether the rule was broken.
    """
    # An end from outside ends the processes of the case too, through its ``finally`` blocks.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(COULD_NOT_RUN))
    record = Record(case_folder / "record.txt")
    status = COULD_NOT_RUN
    try:
        with tempfile.TemporaryDirectory(prefix="case-") as folder:
            is_broken = asyncio.run(_play_in_time(play, record, Path(folder)))
            status = BROKEN if is_broken else HELD
    except Exception as error:
        record("case", "could not run", error=repr(error))
    record("case", "ended", status=status)
    record.close()
    print(RESULTS[status])
    return status


async def _play_in_time(
    play: Callable[[Record, Path], Awaitable[bool]], record: Record, folder: Path
) -> bool:
    async with asyncio.timeout(LIMIT_SECONDS):
        return await play(record, folder)
