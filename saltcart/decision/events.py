"""Events that a host passes to its controller.  Times are in seconds, sizes in kilobytes."""

from __future__ import annotations

from typing import NamedTuple

from saltcart.decision.outcome import Outcome
from saltcart.decision.settings import TenantSpec


class Started(NamedTuple):
    """The server has started; the first event of every controller."""


class RequestArrived(NamedTuple):
    """A request has been read and needs exactly one final response."""

    id: int
    class_index: int  # into ``Settings.classes``
    size_kb: float
    priority_rank: float  # 0 (lowest priority) to 1; each class has an equal part of the range
    unread_seconds: float = 0.0  # time between its arrival at the server and the read
    time_to_deadline: float | None = None  # how much longer its caller waits
    tenant_index: int | None = None  # into ``Settings.tenants``
    cost_hint: float | None = None
    resource_key: str | None = None
    is_retry: bool = False
    is_write: bool = False
    balancer: int = 0
    repeat_of: int | None = None  # an earlier attempt of this request, or a read with the same response
    has_reservation: bool = False  # a retry at its reserved time: exempt from the early shedding of its class


class RunFinished(NamedTuple):
    """A run has ended: that of the request, or that of the attempt which it joined."""

    id: int
    outcome: Outcome
    seconds: float


class RequestAbandoned(NamedTuple):
    """The caller has stopped waiting for this request."""

    id: int


class CallRequested(NamedTuple):
    """A running request has left the cores and waits for admission of a call to its dependency."""

    id: int


class CallFinished(NamedTuple):
    """A call to a dependency has ended."""

    id: int
    outcome: Outcome
    seconds: float


class DrainStarted(NamedTuple):
    """The server has started to drain and will be stopped in ``stop_in`` seconds."""

    stop_in: float


class TenantsChanged(NamedTuple):
    """The list of tenants has been replaced."""

    tenants: tuple[TenantSpec, ...]


class PoolRestarted(NamedTuple):
    """The pool was restarted ``age`` seconds ago; the host reports each interrupted run as finished."""

    starts_cold: bool
    age: float


class PredecessorLoad(NamedTuple):
    """Load that the predecessor of this process still has on the same cores and in the same memory."""

    running: int = 0  # requests on the cores
    calling: int = 0  # requests with a call in flight
    memory_kb: float = 0.0

    def plus(self, other: PredecessorLoad) -> PredecessorLoad:
        """Return the load of both processes together."""
        return PredecessorLoad(
            self.running + other.running,
            self.calling + other.calling,
            self.memory_kb + other.memory_kb,
        )


class TimerFired(NamedTuple):
    """A timer is due.  Gauges are named as in the platform's settings; one without a reading is ``None``."""

    token: int
    cpu_busy: float | None = None
    runnable: float | None = None
    mem_used: float | None = None
    sockets: float | None = None


Event = (
    Started
    | RequestArrived
    | RunFinished
    | RequestAbandoned
    | CallRequested
    | CallFinished
    | DrainStarted
    | TenantsChanged
    | PredecessorLoad
    | PoolRestarted
    | TimerFired
)
