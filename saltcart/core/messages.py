"""What the fronts and the core exchange: a request as it was read, and its one final response."""

from __future__ import annotations

import enum
from collections.abc import Callable
from dataclasses import dataclass


class InvalidRequestError(Exception):
    """The request breaks the protocol: nothing was taken, and the front says so to its client."""


class ResponseStatus(enum.Enum):
    """The kind of a final response; each front has its own status for it."""

    SERVED = "served"
    REJECTED = "refused"
    FAILED = "failed"


@dataclass(slots=True)
class FinalResponse:
    """One final response."""

    status: ResponseStatus
    body: bytes = b""
    load_level: float | None = None  # this server's load, as clients are told of it
    back_off_seconds: float = 0.0  # for which the client should stay away from this server
    retry_after_seconds: float = 0.0  # until the moment at which this request may come again, if one was set
    is_final: bool = False  # asks that no other server is tried
    skipped_dependencies: tuple[str, ...] = ()  # whose replies a partial response does without
    cached_dependencies: tuple[str, ...] = ()  # for which a cached reply stands in


ResponseCallback = Callable[[FinalResponse], None]  # takes one request's final response, once at most


@dataclass(slots=True)
class InboundRequest:
    """A request as a front has read it."""

    request_id: bytes
    class_name: str
    account: str
    received_at: float  # when it came to the machine, by the core's clock
    budget_seconds: float | None  # for which its caller waits, from ``received_at``
    size_kb: float
    priority_rank: float  # 0 to 1, the least valuable first
    cost_hint: float | None = None
    balancer: int = 0
    idempotency_key: bytes | None = None
    resource_key: str | None = None
    admitted_last: bool = False  # after others, since its source takes more than its share
    body: bytes = b""
