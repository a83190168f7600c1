"""One request from its reading to the end of its run."""

from __future__ import annotations

import enum

from saltcart.core.idempotency_keys import Key, KeyRecord
from saltcart.core.ports import Attempt, InboundRequest, ResponseCallback
from saltcart.decision.settings import ClassSpec


class RequestPhase(enum.Enum):
    HELD = "held"
    JOINED = "waits for another try's result"
    RUNNING = "running"
    PAUSED = "paused"
    BLOCKED = "waits for leave to call"
    CALLING = "at a call"


OFF_POOL = (RequestPhase.HELD, RequestPhase.JOINED)


class PendingRequest:
    """One request from its reading to the end of its run."""

    __slots__ = (
        "arrived_at",
        "attempt",
        "call_body",
        "call_notice",
        "call_number",
        "call_started_at",
        "due_at",
        "inbound",
        "key",
        "key_record",
        "number",
        "phase",
        "respond",
        "spec",
        "stop_requested",
    )

    def __init__(
        self,
        number: int,
        ask: InboundRequest,
        spec: ClassSpec,
        now: float,
        due: float,
        reply: ResponseCallback,
    ) -> None:
        self.number, self.inbound, self.spec, self.due_at = number, ask, spec, due
        # By this its key is looked up: no sender whose clock is ahead puts a try past a window.
        self.arrived_at = min(now, ask.received_at)
        self.respond: ResponseCallback | None = reply  # None once the answer is given or the caller gone
        self.phase, self.stop_requested = RequestPhase.HELD, False
        self.key: Key | None = None
        self.key_record: KeyRecord | None = None  # of its key, where this try holds it
        self.attempt: Attempt | None = None  # where storms are watched for
        self.call_notice, self.call_body, self.call_started_at, self.call_number = 0, b"", 0.0, 0
