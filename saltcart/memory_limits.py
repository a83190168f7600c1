"""How the memory of a process is shared out among what clients can make it hold."""

from __future__ import annotations

from dataclasses import dataclass

from saltcart.core.run_ids import RUN_ID_BYTES

BYTES_PER_MB = 1024 * 1024
# Shares of the memory limit.
KEY_SHARE = 0.25
RECEIVE_SHARE = 0.125
RUN_ID_SHARE = 0.015


@dataclass(frozen=True, slots=True)
class MemoryLimits:
    """Limits of what is held in memory."""

    key_bytes: int  # idempotency keys with their stored results
    receive_bytes: int  # requests that have arrived in part
    run_ids: int  # number of ids of requests that have run


def allocate_memory(memory_mb: float) -> MemoryLimits:
    """Return the limits under the memory limit of the process, in MB."""
    limit_bytes = memory_mb * BYTES_PER_MB
    return MemoryLimits(
        key_bytes=int(limit_bytes * KEY_SHARE),
        receive_bytes=int(limit_bytes * RECEIVE_SHARE),
        run_ids=int(limit_bytes * RUN_ID_SHARE / RUN_ID_BYTES),
    )
