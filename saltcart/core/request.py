"""The core's record of one request, from its reading to the end of its run."""

from __future__ import annotations

import enum

from saltcart.core.idempotency_keys import Key, KeyRecord
from saltcart.core.messages import InboundRequest, ResponseCallback
from saltcart.core.ports import Attempt
from saltcart.decision.settings import ClassSpec


class RequestPhase(enum.Enum):
    """Where a request stands; the values are shown by the administration API."""

    HELD = "held"
    JOINED = "waits for another try's result"
    RUNNING = "running"
    PAUSED = "paused"
    BLOCKED = "waits for leave to call"
    CALLING = "at a call"


# Read through the class a member costs a tenth of a microsecond, which each request would pay many times.
HELD = RequestPhase.HELD
JOINED = RequestPhase.JOINED
RUNNING = RequestPhase.RUNNING
PAUSED = RequestPhase.PAUSED
BLOCKED = RequestPhase.BLOCKED
CALLING = RequestPhase.CALLING

NOT_IN_POOL = (HELD, JOINED)


class PendingRequest:
    """One request that is owed its response, or has a run that is not over.  Times are seconds."""

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
        inbound: InboundRequest,
        spec: ClassSpec,
        now: float,
        due_at: float,
        respond: ResponseCallback,
    ) -> None:
        """``number`` names the request to the decision module, ``inbound.request_id`` to the outside."""
        self.number = number
        self.inbound = inbound
        self.spec = spec
        self.due_at = due_at
        # By this its key is looked up: no sender whose clock is ahead puts an attempt past a window.
        self.arrived_at = min(now, inbound.received_at)
        self.respond: ResponseCallback | None = respond  # None once answered, or once the caller is gone
        self.phase = HELD
        self.stop_requested = False
        self.key: Key | None = None
        self.key_record: KeyRecord | None = None  # of its key, where this attempt holds it
        self.attempt: Attempt | None = None  # where retry storms are watched for
        self.call_notice = 0
        self.call_body = b""
        self.call_started_at = 0.0
        self.call_number = 0  # tells the timer of an earlier call from that of the present one
