"""Admission of the requests on one connection: whether the next one is read, or rejected unread."""

from __future__ import annotations

from collections.abc import Mapping
from typing import NamedTuple, Protocol

from saltcart.core.messages import FinalResponse, InvalidRequestError, ResponseStatus
from saltcart.core.ports import RetryStormControl
from saltcart.core.service import Service
from saltcart.decision.connection_admission import ConnectionAdmission
from saltcart.front.fields import parse_class_name, parse_request


class RequestHead(NamedTuple):
    """What a request's body follows: its path without the query, and its headers by lower-case name."""

    path: bytes
    headers: Mapping[bytes, bytes]


class UnreadRequest(Protocol):
    """The request that has begun to arrive on a connection; looking at it consumes nothing of it."""

    def is_health_check(self) -> bool | None:
        """Return whether it is a health check; None while too few bytes have arrived."""

    def peek_path(self) -> bytes | None:
        """Return its path without the query; None while too few bytes have arrived."""

    def peek_head(self) -> RequestHead | None:
        """Return its head; None while too few bytes have arrived."""


class RequestAdmission:
    """Decides for each request on a connection whether it is read.

    A request that the retry-storm control refuses is rejected unread, unless an earlier attempt of it has run
    or may have: that one is read, because a request that has run is never rejected.
    """

    def __init__(self, service: Service) -> None:
        self.service = service
        self.source = 0  # of the client, by its address
        self.decision: ConnectionAdmission | None = None  # on the request that is arriving

    @property
    def is_last(self) -> bool:
        """Whether the request ranks after those of others."""
        return self.decision is ConnectionAdmission.READ_LAST

    @property
    def control(self) -> RetryStormControl | None:
        """The retry-storm control, if there is one."""
        return self.service.ports.storm_control

    def set_client(self, host: str) -> None:
        """Determine the client's source from its address."""
        if self.control is not None:
            self.source = self.control.source_of(host)

    def next_request(self) -> None:
        """Start over, because the present request has its response."""
        self.decision = None

    def decide(self, request: UnreadRequest) -> ConnectionAdmission | None:
        """Return the decision on the request that has begun to arrive; None while it needs more bytes.

        Raises:
            MalformedMessageError: The request is malformed.
        """
        if self.control is None:
            return ConnectionAdmission.READ
        if self.decision is None:
            self.decision = self._first_decision(self.control, request)
        if self.decision is not ConnectionAdmission.REFUSE:
            return self.decision
        may_have_run = self._may_have_run(request)
        if may_have_run is None:
            return None
        if may_have_run:
            self.control.admit_retry_of_run(self.service.clock.read_seconds())
            self.decision = ConnectionAdmission.READ
        return self.decision

    def _first_decision(
        self, control: RetryStormControl, request: UnreadRequest
    ) -> ConnectionAdmission | None:
        is_health_check = request.is_health_check()
        if is_health_check is None:
            return None
        if is_health_check:
            return ConnectionAdmission.READ
        return control.admit_connection(self.service.clock.read_seconds(), self.source)

    def _may_have_run(self, request: UnreadRequest) -> bool | None:
        """Return whether the request may have run; None while its head is incomplete.

        Where the first line or the table of keys rules it out, the head is not waited for.
        """
        lookup = self.service.run_lookup
        if not lookup.has_keys():
            return False
        path = request.peek_path()
        if path is None:
            return None
        try:
            if not lookup.is_keyed(parse_class_name(path)):
                return False
            head = request.peek_head()
            if head is None:
                return None
            return lookup.may_have_run(parse_request(head.path, head.headers, b"", self.service))
        except InvalidRequestError:
            return False

    def reject(self) -> FinalResponse:
        """Record that the request is not read, and return its response."""
        assert self.control is not None
        advice = self.control.reject_unread(self.service.clock.read_seconds(), self.source)
        return FinalResponse(
            ResponseStatus.REJECTED, retry_after_seconds=advice.retry_after, is_final=advice.is_final
        )

    def record_advice(self, retry_after_seconds: float) -> None:
        """Record that the client was advised to retry after so many seconds; 0 if it got no advice."""
        if retry_after_seconds > 0 and self.control is not None:
            self.control.record_advice(self.service.clock.read_seconds(), self.source, retry_after_seconds)
