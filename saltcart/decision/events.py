"""Events that the host of a controller feeds to it.  Times are seconds, sizes are kilobytes."""

from __future__ import annotations

from typing import NamedTuple

from saltcart.decision.outcome import Outcome
from saltcart.decision.settings import TenantSpec


class Started(NamedTuple):
    """The server is up; the first event of every controller."""


class RequestArrived(NamedTuple):
    """A request has been read; one final answer is owed."""

    id: int
    class_index: int  # into ``Settings.classes``
    size_kb: float
    priority_rank: float  # 0 to 1, the least valuable first, each class an equal part
    unread_seconds: float = 0.0  # between its arrival at the server and its reading
    time_to_deadline: float | None = None  # how long its caller will still wait
    tenant_index: int | None = None  # into ``Settings.tenants``
    cost_hint: float | None = None
    resource_key: str | None = None
    is_retry: bool = False
    is_write: bool = False
    balancer: int = 0
    repeat_of: int | None = None  # an earlier attempt of the same request, or a read with the same answer
    has_reservation: bool = False  # its caller was told to come back now: not shed with its class


class RunFinished(NamedTuple):
    """A run, or the run whose answer a joined attempt shares, is over."""

    id: int
    outcome: Outcome
    seconds: float


class RequestAbandoned(NamedTuple):
    """The caller no longer waits for this request."""

    id: int


class CallRequested(NamedTuple):
    """A running request has left the cores and waits for a call to its dependency to be admitted."""

    id: int


class CallFinished(NamedTuple):
    """A call to a dependency is over."""

    id: int
    outcome: Outcome
    seconds: float


class DrainStarted(NamedTuple):
    """The server drains and will be stopped after ``stop_in`` seconds."""

    stop_in: float


class TenantsChanged(NamedTuple):
    """The tenants from now on."""

    tenants: tuple[TenantSpec, ...]


class WorkersRestarted(NamedTuple):
    """The workers were started anew ``age`` seconds ago; the host reports what ran there as finished."""

    starts_cold: bool
    age: float


class PredecessorLoad(NamedTuple):
    """What the process from which this one takes over still has on the same cores and in the same memory."""

    running: int = 0
    calling: int = 0
    memory_kb: float = 0.0


class TimerFired(NamedTuple):
    """A timer is due; the gauges have the names of the settings and may be absent."""

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
    | WorkersRestarted
    | TimerFired
)
