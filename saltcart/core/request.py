"""The core's record of one request, kept until it has its response and its run has ended."""

from __future__ import annotations

import enum

from saltcart.core.idempotency_keys import Key, KeyRecord
from saltcart.core.messages import InboundRequest, ResponseCallback
from saltcart.core.ports import Attempt
from saltcart.decision.settings import ClassSpec


class RequestPhase(enum.Enum):
    """The phase of a request; the values are shown by the administration API."""

    HELD = "held"
    JOINED = "waits for another try's result"
    RUNNING = "running"
    PAUSED = "paused"
    BLOCKED = "waits for leave to call"
    CALLING = "at a call"


# Module-level names, because each lookup of a member through the enum class costs a tenth of a microsecond,
# and every request makes many of them.
HELD = RequestPhase.HELD
JOINED = RequestPhase.JOINED
RUNNING = RequestPhase.RUNNING
PAUSED = RequestPhase.PAUSED
BLOCKED = RequestPhase.BLOCKED
CALLING = RequestPhase.CALLING

NOT_IN_POOL = (HELD, JOINED)


class PendingRequest:
    """One request that awaits its response, or whose run hasn't ended.  Times are seconds."""

    __slots__ = (
        "arrived_at",
        "attempt",
        "call_body",
        "call_notice_number",
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
        """Create a held request.

        Args:
            number: Identifies the request to the decision module, as ``inbound.request_id`` does to peers.
            inbound: The request as read by a front.
            spec: The class of the request.
            now: The current time.
            due_at: When the caller must have its response.
            respond: Called with the final response.
        """
        self.number = number
        self.inbound = inbound
        self.spec = spec
        self.due_at = due_at
        self.arrived_at = inbound.arrival_time(now)
        self.respond: ResponseCallback | None = respond  # None once it has its response or was abandoned
        self.phase = HELD
        self.stop_requested = False
        self.key: Key | None = None
        self.key_record: KeyRecord | None = None  # set once this attempt has reserved its key
        self.attempt: Attempt | None = None  # set where retry-storm control is enabled
        self.call_notice_number = 0
        self.call_body = b""
        self.call_started_at = 0.0
        self.call_number = 0  # distinguishes the timers of successive calls
