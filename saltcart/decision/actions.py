"""Actions that a controller asks its host to carry out.  Times are seconds.

They are plain classes, not tuples: a ``StartRun`` and a ``FailRequest`` of the same request must not compare
equal.
"""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(slots=True)
class StartRun:
    """Start a held request."""

    id: int


@dataclass(slots=True)
class StopRun:
    """Stop running work, as far as preemption allows."""

    id: int


@dataclass(slots=True)
class Reject:
    """Final answer: refused, never ran."""

    id: int
    is_final: bool = False  # asks that no other server is tried
    retry_after: float = 0.0


@dataclass(slots=True)
class FailRequest:
    """Final answer: an error that does not say whether the request ran."""

    id: int


@dataclass(slots=True)
class StartCall:
    """Make the call that a request waits for."""

    id: int
    timeout: float


@dataclass(slots=True)
class SkipCall:
    """Go on without the call."""

    id: int


@dataclass(slots=True)
class ReserveKey:
    """Enter a request's idempotency key in the table of keys for so many seconds."""

    id: int
    seconds: float


@dataclass(slots=True)
class ReleaseKey:
    """Take a request's idempotency key out of the table of keys."""

    id: int


@dataclass(slots=True)
class JoinAttempt:
    """Answer a held request with the result of the attempt that it repeats."""

    id: int


@dataclass(slots=True)
class SetHealth:
    """What health checks are answered, and whether that answer may be cached."""

    is_healthy: bool
    answer_from_cache: bool


@dataclass(slots=True)
class AdvertiseLevel:
    """The level that clients are sent; its meaning is the settings' ``LoadSignal``."""

    level: float


@dataclass(slots=True)
class SetIdleTimeout:
    """Close connections that were idle for so many seconds; 0 for the deployment's own limit."""

    seconds: float


@dataclass(slots=True)
class SetTimer:
    """Ask for a ``TimerFired`` at this time."""

    at: float
    token: int


@dataclass(slots=True)
class LogMessage:
    """A line for the operators' log."""

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
