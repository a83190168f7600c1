"""The life cycle of requests: each gets one final response and is removed when nothing of it is left."""

from __future__ import annotations

import itertools

from saltcart.core.clock import CoreClock
from saltcart.core.decision_loop import DecisionLoop
from saltcart.core.idempotency import IdempotentAttempts
from saltcart.core.idempotency_keys import KeyRecord, KeyTable, shared_response
from saltcart.core.messages import FinalResponse, ResponseStatus
from saltcart.core.ports import Ports
from saltcart.core.request import BLOCKED, CALLING, HELD, JOINED, PAUSED, PendingRequest
from saltcart.core.request_counters import RequestCounters
from saltcart.decision.events import RequestAbandoned, RunFinished
from saltcart.decision.outcome import Outcome

PHASES_WITHOUT_RUN = (HELD, JOINED, PAUSED)  # nothing runs in the pool


class RequestLifecycle:
    """Owns the requests.

    Only ``respond`` sends responses, and only ``remove_if_finished`` removes requests.
    """

    def __init__(
        self,
        clock: CoreClock,
        ports: Ports,
        loop: DecisionLoop,
        keys: KeyTable,
        answer_slack: float,
        counters: RequestCounters,
    ) -> None:
        self.clock = clock
        self.ports = ports
        self.loop = loop
        self.keys = keys
        self.attempts = IdempotentAttempts(keys, answer_slack, self._finish_joined)
        self.counters = counters
        self.request_numbers = itertools.count(1)
        self.requests: dict[int, PendingRequest] = {}
        self.requests_by_id: dict[bytes, PendingRequest] = {}
        self.numbers_by_fingerprint: dict[int, int] = {}  # numbers of safe requests by fingerprint
        self.load_level: float | None = None  # as advertised to clients

    def add(self, request: PendingRequest) -> None:
        """Add a request that has been accepted."""
        self.requests[request.number] = request
        self.requests_by_id[request.inbound.request_id] = request

    def respond(self, request: PendingRequest, response: FinalResponse) -> None:
        """Send a request's final response, unless it has one already or was abandoned."""
        callback = request.respond
        request.respond = None
        if callback is None:
            return
        response.load_level = self.load_level
        if response.status is ResponseStatus.FAILED:
            response.retry_after_seconds = max(response.retry_after_seconds, self._key_seconds_left(request))
        self.counters.record(request, response.status.value)
        if response.skipped_dependencies:  # counted in addition to its status
            self.counters.record(request, "partial")
        callback(response)

    def _key_seconds_left(self, request: PendingRequest) -> float:
        """Return the seconds left in the key window of a request that may have run, or 0 if none has run."""
        if self.ports.storm_control is None or request.key is None:
            return 0.0
        record = self.keys.records.get(request.key)
        if record is None or not record.has_run:
            return 0.0
        return max(0.0, record.expires_at - self.clock.now)

    def fail(self, request: PendingRequest) -> None:
        """Respond that a request failed, and remove it if it has no run."""
        self.respond(request, FinalResponse(ResponseStatus.FAILED))
        self.remove_if_finished(request)

    def fail_all(self) -> None:
        """Fail all requests that have no response yet."""
        for request in list(self.requests.values()):
            self.fail(request)

    def abandon(self, request: PendingRequest) -> None:
        """Record that the caller of a request is gone and needs no response."""
        request.respond = None
        self.counters.record(request, "abandoned")
        self.loop.feed(RequestAbandoned(request.number))
        self.remove_if_finished(request)

    def remove_if_finished(self, request: PendingRequest) -> None:
        """Remove a request that needs no response any more and has nothing in the pool."""
        if request.respond is not None or self.requests.get(request.number) is not request:
            return
        if request.phase is CALLING:
            self.cancel_call(request)  # the pool ends the run without further commands
            request.phase = BLOCKED
        if request.phase not in PHASES_WITHOUT_RUN:
            return
        del self.requests[request.number]
        del self.requests_by_id[request.inbound.request_id]
        self._forget_fingerprint(request)
        self.attempts.request_removed(request)

    def _forget_fingerprint(self, request: PendingRequest) -> None:
        if request.attempt is None:
            return
        fingerprint = request.attempt.fingerprint
        if self.numbers_by_fingerprint.get(fingerprint) == request.number:
            del self.numbers_by_fingerprint[fingerprint]

    def cancel_call(self, request: PendingRequest) -> None:
        """Cancel the call that a request waits for."""
        if self.ports.dependency_calls is not None:
            self.ports.dependency_calls.cancel_call(request.inbound.request_id)

    def open_request_count(self) -> int:
        """Return the number of requests that have no response yet."""
        return sum(request.respond is not None for request in self.requests.values())

    def _finish_joined(self, number: int, record: KeyRecord | None) -> None:
        """Finish an attempt that waited for another's result, which the record has if the run succeeded."""
        request = self.requests.get(number)
        if request is None:
            return
        response = shared_response(record)
        succeeded = response.status is ResponseStatus.SERVED
        self.respond(request, response)
        self.loop.feed(RunFinished(number, Outcome.SUCCEEDED if succeeded else Outcome.FAILED, 0.0))
        self.remove_if_finished(request)
