"""Actions that a host carries out for its controller.  Times are in seconds.

The types are dataclasses rather than named tuples, because a ``StartRun`` and a ``FailRequest`` of the same
request must not compare equal.
"""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(slots=True)
class StartRun:
    """Start the run of a held request."""

    id: int


@dataclass(slots=True)
class StopRun:
    """Stop a running request, as far as preemption allows."""

    id: int


@dataclass(slots=True)
class Reject:
    """Send the final response that the request was rejected and never ran."""

    id: int
    is_final: bool = False  # the caller should not try another server
    back_off_seconds: float = 0.0  # for which the client should not use this server


@dataclass(slots=True)
class FailRequest:
    """Send a final error response that leaves open whether the request ran."""

    id: int


@dataclass(slots=True)
class StartCall:
    """Start the call for which a request waits."""

    id: int
    timeout: float


@dataclass(slots=True)
class SkipCall:
    """Resume a request without its call."""

    id: int


@dataclass(slots=True)
class ReserveKey:
    """Add a request's idempotency key to the table of keys."""

    id: int
    seconds: float  # how long the key is remembered


@dataclass(slots=True)
class ReleaseKey:
    """Remove a request's idempotency key from the table of keys."""

    id: int


@dataclass(slots=True)
class JoinAttempt:
    """Respond to a held request with the result of the attempt that it repeats."""

    id: int


@dataclass(slots=True)
class SetHealth:
    """Set the response to health checks."""

    is_healthy: bool
    respond_from_cache: bool  # the response to health checks may come from a cache


@dataclass(slots=True)
class AdvertiseLevel:
    """Send clients a new load level; ``LoadSignal`` in the settings defines its meaning."""

    level: float


@dataclass(slots=True)
class SetIdleTimeout:
    """Set how long connections may be idle before they are closed."""

    seconds: float  # 0 for the limit of the deployment


@dataclass(slots=True)
class SetTimer:
    """Schedule a ``TimerFired`` event."""

    at: float
    token: int


@dataclass(slots=True)
class LogMessage:
    """Write a line to the operators' log."""

    text: str


Action = (
    StartRun
    | StopRun
    | Reject
    | FailRequest
    | StartCall
    | SkipCall
    | ReserveKey
    | ReleaseKey
    | JoinAttempt
    | SetHealth
    | AdvertiseLevel
    | SetIdleTimeout
    | SetTimer
    | LogMessage
)
