"""Decisions of the policies about a request, which the controller carries out."""

from __future__ import annotations

import enum


class RunDecision(enum.Enum):
    """Decision about the held request that is next to run."""

    START = "start its run"
    REJECT = "reject it, since it can't end in time"


class CallDecision(enum.Enum):
    """Decision about a request that is off the cores for a call."""

    START = "make the call"
    SKIP = "go on without the call"
    WAIT = "wait until the call is admitted"
    FAIL = "fail the request"


class DueDecision(enum.Enum):
    """Decision about a request whose scheduled check is due."""

    WATCH = "look at it again later"
    REJECT = "reject it, since it can't end in time"
    FAIL = "fail it, since its answer is due"
