"""The controller's record of one request."""

from __future__ import annotations

import enum

from saltcart.decision.events import RequestArrived
from saltcart.decision.settings import TenantSpec


class RequestState(enum.IntEnum):
    """The state of a live request."""

    HELD = 0  # waits for a run slot
    RUNNING = 1  # on the cores
    AWAITING_CALL = 2  # off the cores; its call is not admitted yet
    CALLING = 3  # off the cores; its call is in flight
    JOINED = 4  # waits for the result of the attempt that it repeats


# Aliases: looking up a member in its class takes 0.1 microseconds, and each event needs several members.
HELD = RequestState.HELD
RUNNING = RequestState.RUNNING
AWAITING_CALL = RequestState.AWAITING_CALL
CALLING = RequestState.CALLING
JOINED = RequestState.JOINED


class Request:
    """A live request.  Times are in seconds on the controller's clock."""

    __slots__ = (
        "arrived_at",
        "broken_calls",
        "class_index",
        "due_at",
        "has_response",
        "has_run",
        "id",
        "left_cores_at",
        "objective_at",
        "off_core_seconds",
        "read_at",
        "size_kb",
        "started_at",
        "state",
        "tenant",
    )

    def __init__(
        self,
        event: RequestArrived,
        now: float,
        due_at: float,
        objective_at: float,
        tenant: TenantSpec | None,
    ) -> None:
        """Create the record of a request that has been read and is held.

        Args:
            event: The arrival of the request.
            now: Current time.
            due_at: Time by which its final response must be sent.
            objective_at: Time until which a response earns the full priority weight.
            tenant: Its tenant, if known.
        """
        self.id = event.id
        self.class_index = event.class_index
        self.size_kb = event.size_kb
        self.due_at = due_at
        self.objective_at = objective_at
        self.tenant = tenant
        self.state = HELD
        self.has_run = False
        self.has_response = False  # also True once its caller has gone: no final response is due
        self.arrived_at = now - event.unread_seconds
        self.read_at = now
        self.started_at = now
        self.left_cores_at = 0.0
        self.off_core_seconds = 0.0
        self.broken_calls = 0
