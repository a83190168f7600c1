"""Messages between the fronts and the core: a request as it was read, and its one final response."""

from __future__ import annotations

import enum
from collections.abc import Callable
from dataclasses import dataclass

# How long ago a request may have reached the host; twice the longest deadline if that is longer.
MAX_REQUEST_AGE_SECONDS = 60.0


class InvalidRequestError(Exception):
    """The request violates the protocol; it was not accepted, and the front sends the error to its client."""


class ResponseStatus(enum.Enum):
    """The kind of a final response; each front maps it to a status code of its protocol."""

    SERVED = "served"
    REJECTED = "refused"
    FAILED = "failed"


@dataclass(slots=True)
class FinalResponse:
    """The final response to one request."""

    status: ResponseStatus
    body: bytes = b""
    load_level: float | None = None  # of this server, as advertised to clients
    back_off_seconds: float = 0.0  # for which the client should not use this server
    retry_after_seconds: float = 0.0  # until this request may be retried; 0 if no time was set
    is_final: bool = False  # the client should not retry on another server
    skipped_dependencies: tuple[str, ...] = ()  # whose replies are missing from a partial response
    cached_dependencies: tuple[str, ...] = ()  # whose replies were replaced by cached ones


ResponseCallback = Callable[[FinalResponse], None]  # called at most once for each request


@dataclass(slots=True)
class InboundRequest:
    """A request as read by a front."""

    request_id: bytes
    class_name: str
    account: str
    received_at: float  # when it reached the host, in seconds of the core's clock
    budget_seconds: float | None  # how long its caller waits after ``received_at``
    size_kb: float
    priority_rank: float  # 0 to 1, from the least to the most valuable
    cost_hint: float | None = None
    balancer: int = 0
    idempotency_key: bytes | None = None
    resource_key: str | None = None
    admitted_last: bool = False  # ranked after others, since its source exceeds its fair share
    body: bytes = b""

    def arrival_time(self, now: float) -> float:
        """Return the time by which the request's key is looked up, on the clock of ``now``.

        It is not in the future, so a sender whose clock is ahead can't move an attempt past the end of a key
        window.
        """
        return min(now, self.received_at)
