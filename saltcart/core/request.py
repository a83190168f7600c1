"""One request from its reading to the end of its run."""

from __future__ import annotations

import enum

from saltcart.core.keys import Entry, Key
from saltcart.core.ports import Ask, Reply, Try
from saltcart.decision.settings import ClassSpec


class State(enum.Enum):
    HELD = "held"
    JOINED = "waits for another try's result"
    RUNNING = "running"
    PAUSED = "paused"
    BLOCKED = "waits for leave to call"
    CALLING = "at a call"


OFF_POOL = (State.HELD, State.JOINED)


class Request:
    """One request from its reading to the end of its run."""

    __slots__ = (
        "ask",
        "call_at",
        "call_body",
        "call_number",
        "came",
        "due",
        "entry",
        "key",
        "notice",
        "number",
        "reply",
        "spec",
        "state",
        "stopped",
        "tried",
    )

    def __init__(self, number: int, ask: Ask, spec: ClassSpec, now: float, due: float, reply: Reply) -> None:
        self.number, self.ask, self.spec, self.due = number, ask, spec, due
        # By this its key is looked up: no sender whose clock is ahead puts a try past a window.
        self.came = min(now, ask.received)
        self.reply: Reply | None = reply  # None once the answer is given or the caller gone
        self.state, self.stopped = State.HELD, False
        self.key: Key | None = None
        self.entry: Entry | None = None  # of its key, where this try holds it
        self.tried: Try | None = None  # where storms are watched for
        self.notice, self.call_body, self.call_at, self.call_number = 0, b"", 0.0, 0
