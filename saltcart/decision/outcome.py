"""Outcomes of runs and of calls to a dependency."""

from __future__ import annotations

import enum


class Outcome(enum.Enum):
    """How a run or a call ended."""

    SUCCEEDED = "succeeded"
    FAILED = "failed; may have had its effect"
    CANCELLED = "stopped, or ended because its answer was given or its caller gone"
    NOT_STARTED = "nothing was started"
    REJECTED = "call refused before it ran"
    UNREACHABLE = "call never reached the dependency"
    TIMED_OUT = "call timed out; may have had its effect"
    BROKEN_OFF = "call's connection broke; may have had its effect"
