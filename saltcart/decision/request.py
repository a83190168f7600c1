"""The controller's record of one request."""

from __future__ import annotations

import enum

from saltcart.decision.events import RequestArrived
from saltcart.decision.settings import TenantSpec


class RequestState(enum.IntEnum):
    """Where a request stands between its arrival and its end."""

    HELD = 0  # waits for a run slot
    RUNNING = 1  # on the cores
    AWAITING_CALL = 2  # off the cores; its call is not admitted yet
    CALLING = 3  # off the cores; its call is under way
    JOINED = 4  # waits for the result of the attempt that it repeats


# Read through the class a member costs a tenth of a microsecond, which each event would pay several times.
HELD = RequestState.HELD
RUNNING = RequestState.RUNNING
AWAITING_CALL = RequestState.AWAITING_CALL
CALLING = RequestState.CALLING
JOINED = RequestState.JOINED


class Request:
    """One request that is held or under way.  Times are seconds by the controller's clock."""

    __slots__ = (
        "answered",
        "arrived_at",
        "broken_calls",
        "class_index",
        "due_at",
        "has_run",
        "id",
        "left_cores_at",
        "objective_at",
        "read_at",
        "seconds_at_calls",
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
        """``due_at``: its answer is owed by then; ``objective_at``: until then it earns its full weight."""
        self.id = event.id
        self.class_index = event.class_index
        self.size_kb = event.size_kb
        self.due_at = due_at
        self.objective_at = objective_at
        self.tenant = tenant
        self.state = HELD
        self.has_run = False
        self.answered = False  # or its caller is gone: no answer is owed any more
        self.arrived_at = now - event.unread_seconds
        self.read_at = now
        self.started_at = now
        self.left_cores_at = 0.0
        self.seconds_at_calls = 0.0
        self.broken_calls = 0
