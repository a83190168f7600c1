"""Tracks runs and their calls through the reports of the worker pool and the dependency."""

from __future__ import annotations

from saltcart.core.clock import CoreClock
from saltcart.core.messages import FinalResponse, ResponseStatus
from saltcart.core.ports import Log, Ports
from saltcart.core.request import BLOCKED, CALLING, HELD, NOT_IN_POOL, PAUSED, RUNNING, PendingRequest
from saltcart.core.request_lifecycle import RequestLifecycle
from saltcart.decision.events import CallFinished, CallRequested, PoolRestarted, RunFinished
from saltcart.decision.outcome import Outcome
from saltcart.decision.settings import Preemption

UNREPORTED_RUN_SECONDS = 15.0  # past its due time, until a request with a response is removed


class RunTracker:
    """Turns reports into events for the decision module, and results into final responses."""

    def __init__(
        self, clock: CoreClock, ports: Ports, lifecycle: RequestLifecycle, preemption: Preemption, log: Log
    ) -> None:
        self.clock = clock
        self.ports = ports
        self.lifecycle = lifecycle
        self.loop = lifecycle.loop
        self.preemption = preemption
        self.log = log

    def _find_in_pool(self, request_id: bytes) -> PendingRequest | None:
        request = self.lifecycle.requests_by_id.get(request_id)
        return None if request is None or request.phase in NOT_IN_POOL else request

    def run_finished(
        self,
        request_id: bytes,
        outcome: Outcome,
        seconds: float,
        result: bytes,
        skipped_dependencies: tuple[str, ...] = (),
        cached_dependencies: tuple[str, ...] = (),
    ) -> None:
        """Handle the end of a run; see ``WorkerPoolEvents``."""
        request = self._find_in_pool(request_id)
        if request is None:
            return
        self.clock.read()
        if request.phase is CALLING:
            self.lifecycle.cancel_call(request)
        if outcome is Outcome.SUCCEEDED:
            response = FinalResponse(
                ResponseStatus.SERVED,
                result,
                skipped_dependencies=skipped_dependencies,
                cached_dependencies=cached_dependencies,
            )
            self.lifecycle.respond(request, response)
        elif outcome is Outcome.FAILED:
            self.lifecycle.respond(request, FinalResponse(ResponseStatus.FAILED))
        event = RunFinished(request.number, outcome, seconds)
        if self._is_paused(request):
            request.phase = PAUSED  # still awaits its response, and may be resumed
            self.loop.feed(event)
            return
        self.lifecycle.attempts.run_finished(request, outcome, result, cached_dependencies)
        if outcome is Outcome.SUCCEEDED:
            self._record_success(request, seconds)
        request.phase = HELD  # nothing of it is left in the pool
        self.loop.feed(event)
        self.lifecycle.fail(request)  # if the decision module has left it without a response

    def _is_paused(self, request: PendingRequest) -> bool:
        can_pause = self.preemption is Preemption.PAUSE
        return can_pause and request.stop_requested and request.respond is not None

    def _record_success(self, request: PendingRequest, seconds: float) -> None:
        control = self.ports.storm_control
        now = self.clock.now
        if control is None:
            return
        is_full = self.loop.held_count() > 0
        control.record_run(now, seconds, is_full, self.loop.load().running)
        if request.attempt is not None:
            control.record_success(now, request.attempt.fingerprint, request.attempt.is_retry)

    def call_requested(self, request_id: bytes, notice_number: int, body: bytes) -> None:
        """Handle a run that waits for a call; see ``WorkerPoolEvents``."""
        request = self._find_in_pool(request_id)
        if request is None:
            return
        self.clock.read()
        request.phase = BLOCKED
        request.call_notice_number = notice_number
        request.call_body = body
        self.loop.feed(CallRequested(request.number))

    def run_uncertain(self, request_id: bytes) -> None:
        """Handle a connection lost while starting a run that must not start twice; it may have begun."""
        self._suspend(request_id)
        self.run_finished(request_id, Outcome.FAILED, 0.0, b"")

    def reply_uncertain(self, request_id: bytes, notice_number: int) -> None:
        """Handle a connection lost while the reply to a call was sent.

        The run continues without the call if it still waits there; the command has the number of the notice,
        so that a run that has the reply is not affected.  A run that needs the reply ends when it is due.
        """
        request = self._find_in_pool(request_id)
        if request is None or request.phase is not RUNNING or request.call_notice_number != notice_number:
            return
        can_skip = request.spec.skipped_call_weight_share > 0
        self.log("reply-uncertain", id=request_id.decode(), skipped=can_skip)
        if can_skip:
            self.ports.workers.skip_call(request_id, notice_number)

    def call_finished(self, request_id: bytes, outcome: Outcome, reply: bytes) -> None:
        """Handle the end of a call to the dependency."""
        request = self.lifecycle.requests_by_id.get(request_id)
        if request is None or request.phase is not CALLING:
            return
        now = self.clock.read()
        request.call_number += 1
        if outcome is Outcome.SUCCEEDED:
            request.phase = RUNNING
            request.call_body = b""
            self.ports.workers.supply_reply(request_id, reply)
        else:
            request.phase = BLOCKED
        self.loop.feed(CallFinished(request.number, outcome, now - request.call_started_at))

    def pool_restarted(self, starts_cold: bool, age: float) -> None:
        """Handle a restart of the pool, and fail the runs of the previous pool, whose ends are unknown."""
        self.clock.read()
        self.loop.feed(PoolRestarted(starts_cold, max(0.0, age)))
        for request in list(self.lifecycle.requests.values()):
            if request.phase not in NOT_IN_POOL:
                self.run_finished(request.inbound.request_id, Outcome.FAILED, 0.0, b"")

    def remove_unreported_runs(self) -> None:
        """Remove the requests that have a response but whose runs were never reported as ended.

        Otherwise a peer that loses reports would make the tables of requests grow without bound.
        """
        latest_due = self.clock.now - UNREPORTED_RUN_SECONDS
        for request in list(self.lifecycle.requests.values()):
            if request.respond is not None or request.due_at >= latest_due:
                continue
            request_id = request.inbound.request_id
            self.log("written-off", id=request_id.decode(), state=request.phase.value)
            self._suspend(request_id)
            self.run_finished(request_id, Outcome.CANCELLED, 0.0, b"")

    def _suspend(self, request_id: bytes) -> None:
        self.ports.workers.suspend(request_id)
