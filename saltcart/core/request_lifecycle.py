"""The requests from their reading to the end of their runs: one final response each, and one place to end."""

from __future__ import annotations

import itertools

from saltcart.core.clock import CoreClock
from saltcart.core.decision_loop import DecisionLoop
from saltcart.core.idempotency import IdempotentAttempts
from saltcart.core.idempotency_keys import KeyTable
from saltcart.core.messages import FinalResponse, ResponseStatus
from saltcart.core.ports import Ports
from saltcart.core.request import BLOCKED, CALLING, HELD, JOINED, PAUSED, PendingRequest
from saltcart.core.request_counters import RequestCounters
from saltcart.decision.events import RequestAbandoned, RunFinished
from saltcart.decision.outcome import Outcome

ENDED_PHASES = (HELD, JOINED, PAUSED)  # nothing of it runs in the pool


class RequestLifecycle:
    """Owns the requests; their responses are given in ``respond``, and they are forgotten in ``settle``."""

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
        self.numbers = itertools.count(1)
        self.requests: dict[int, PendingRequest] = {}
        self.requests_by_id: dict[bytes, PendingRequest] = {}
        self.held_fingerprints: dict[int, int] = {}  # numbers of safe requests by their fingerprints
        self.load_level: float | None = None  # that clients are told

    def add(self, request: PendingRequest) -> None:
        """Take a request."""
        self.requests[request.number] = request
        self.requests_by_id[request.inbound.request_id] = request

    def respond(self, request: PendingRequest, response: FinalResponse) -> None:
        """Give a request its final response, unless it has one or its caller is gone."""
        callback = request.respond
        request.respond = None
        if callback is None:
            return
        response.load_level = self.load_level
        if response.status is ResponseStatus.FAILED:
            response.retry_after_seconds = max(response.retry_after_seconds, self._key_seconds_left(request))
        self.counters.record(request, response.status.value)
        if response.skipped_dependencies:  # one of those served
            self.counters.record(request, "partial")
        callback(response)

    def _key_seconds_left(self, request: PendingRequest) -> float:
        """Return for how long the key of a request that may have run stands, 0 where none has run."""
        if self.ports.storm_control is None or request.key is None:
            return 0.0
        record = self.keys.records.get(request.key)
        if record is None or not record.has_run:
            return 0.0
        return max(0.0, record.expires_at - self.clock.now)

    def fail(self, request: PendingRequest) -> None:
        """Give a request the response that it failed, and forget it if nothing of it runs."""
        self.respond(request, FinalResponse(ResponseStatus.FAILED))
        self.settle(request)

    def fail_all(self) -> None:
        """Fail all requests that are owed a response."""
        for request in list(self.requests.values()):
            self.fail(request)

    def abandon(self, request: PendingRequest) -> None:
        """The caller is gone: nothing is owed any more."""
        request.respond = None
        self.counters.record(request, "abandoned")
        self.loop.feed(RequestAbandoned(request.number))
        self.settle(request)

    def settle(self, request: PendingRequest) -> None:
        """Forget a request that is owed nothing and has nothing in the pool; the one place that does."""
        if request.respond is not None or self.requests.get(request.number) is not request:
            return
        if request.phase is CALLING:
            self.cancel_call(request)  # the pool ends the run by itself
            request.phase = BLOCKED
        if request.phase not in ENDED_PHASES:
            return
        del self.requests[request.number]
        del self.requests_by_id[request.inbound.request_id]
        self._forget_fingerprint(request)
        self.attempts.request_settled(request)

    def _forget_fingerprint(self, request: PendingRequest) -> None:
        if request.attempt is None:
            return
        fingerprint = request.attempt.fingerprint
        if self.held_fingerprints.get(fingerprint) == request.number:
            del self.held_fingerprints[fingerprint]

    def cancel_call(self, request: PendingRequest) -> None:
        """Give up the call that a request is at."""
        if self.ports.dependency_calls is not None:
            self.ports.dependency_calls.cancel_call(request.inbound.request_id)

    def open_request_count(self) -> int:
        """Return how many requests are owed a response."""
        return sum(request.respond is not None for request in self.requests.values())

    def _finish_joined(self, number: int, result: bytes | None) -> None:
        """Finish an attempt that waited for the result of another, or None where there is none to have."""
        request = self.requests.get(number)
        if request is None:
            return
        if result is None:
            response = FinalResponse(ResponseStatus.FAILED)
            outcome = Outcome.FAILED
        else:
            response = FinalResponse(ResponseStatus.SERVED, result)
            outcome = Outcome.SUCCEEDED
        self.respond(request, response)
        self.loop.feed(RunFinished(number, outcome, 0.0))
        self.settle(request)
