"""Executes the actions of the decision module on requests, the worker pool and the dependency."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from saltcart.core.clock import CoreClock
from saltcart.core.draining import DrainState
from saltcart.core.messages import FinalResponse, ResponseStatus
from saltcart.core.ports import Log, Ports
from saltcart.core.request import BLOCKED, CALLING, HELD, JOINED, PAUSED, RUNNING, PendingRequest
from saltcart.core.request_lifecycle import RequestLifecycle
from saltcart.core.run_ids import RunIds
from saltcart.core.timers import Timers
from saltcart.decision import actions
from saltcart.decision.events import CallFinished, RunFinished
from saltcart.decision.outcome import Outcome
from saltcart.decision.settings import Effect

CALL_SLACK_SECONDS = 0.15  # after its timeout, until a call without any report is cancelled
STOP_RETRY_SECONDS = 1.0  # between stop commands for one run; a stalled pool ignores them

PHASES_THAT_CANNOT_START = (JOINED, BLOCKED, CALLING)


class ActionExecutor:
    """Executes actions, and enforces the core's rules whatever the decision module requests.

    An action that is outdated or breaks a rule is ignored, or replaced by one that the rules permit.
    """

    def __init__(
        self,
        clock: CoreClock,
        timers: Timers,
        ports: Ports,
        drain: DrainState,
        lifecycle: RequestLifecycle,
        run_ids: RunIds,
        log: Log,
        on_call_overdue: Callable[[bytes], None],
    ) -> None:
        """Create an executor; ``on_call_overdue`` takes the id of a request whose call brought no report."""
        self.clock = clock
        self.timers = timers
        self.ports = ports
        self.drain = drain
        self.lifecycle = lifecycle
        self.loop = lifecycle.loop
        self.run_ids = run_ids
        self.log = log
        self.on_call_overdue = on_call_overdue
        self.is_healthy = True  # according to the decision module
        self.idle_timeout = 0.0  # seconds, for client connections; 0 to use the configured one
        self.handlers: dict[type, Callable[[Any], None]] = {
            actions.StartRun: self._start_run,
            actions.StopRun: self._stop_run,
            actions.Reject: self._reject,
            actions.FailRequest: self._fail,
            actions.StartCall: self._start_call,
            actions.SkipCall: self._skip_call,
            actions.ReserveKey: self._reserve_key,
            actions.ReleaseKey: self._release_key,
            actions.JoinAttempt: self._join_attempt,
            actions.SetHealth: self._set_health,
            actions.AdvertiseLevel: self._advertise_level,
            actions.SetIdleTimeout: self._set_idle_timeout,
            actions.SetTimer: self._set_timer,
            actions.LogMessage: self._log_message,
        }

    def execute(self, action: actions.Action) -> None:
        """Execute one action."""
        self.handlers[type(action)](action)

    def _find_request(self, request_number: int) -> PendingRequest | None:
        return self.lifecycle.requests.get(request_number)

    # ---- runs ---------------------------------------------------------------------------------

    def _start_run(self, action: actions.StartRun) -> None:
        request = self._find_request(action.id)
        if request is None or request.respond is None or request.phase in PHASES_THAT_CANNOT_START:
            self.loop.defer(RunFinished(action.id, Outcome.NOT_STARTED, 0.0))
        elif request.phase is PAUSED:
            request.phase = RUNNING
            request.stop_requested = False
            self.ports.workers.resume(request.inbound.request_id)
        elif request.phase is HELD:
            self._spawn(request)

    def _spawn(self, request: PendingRequest) -> None:
        inbound = request.inbound
        is_too_late = self.drain.is_too_late_to_run(inbound.received_at)
        if is_too_late or not self.lifecycle.attempts.claim_run(request):
            self.loop.defer(RunFinished(request.number, Outcome.NOT_STARTED, 0.0))
            return
        request.phase = RUNNING
        self.run_ids.add(self.clock.now, inbound.request_id)
        self.lifecycle.counters.runs_started[inbound.class_name] += 1
        self.ports.workers.spawn(
            inbound.request_id,
            inbound.class_name,
            inbound.account,
            inbound.body,
            request.spec.effect is not Effect.SAFE,
            min(request.due_at, self.drain.respond_by) - self.clock.now,
            inbound.received_at + request.spec.latency_objective - self.clock.now,
        )

    def _stop_run(self, action: actions.StopRun) -> None:
        request = self._find_request(action.id)
        if request is None or request.phase is not RUNNING or request.stop_requested:
            return
        request.stop_requested = True
        self._suspend(request)
        if request.respond is None:
            self.timers.call_at(self.clock.now + STOP_RETRY_SECONDS, self._stop_again, request.number)

    def _stop_again(self, number: int) -> None:
        """Stop a run again: it keeps its slot and memory in the pool until its end is reported."""
        request = self._find_request(number)
        if request is None or not request.stop_requested or request.phase is not RUNNING:
            return
        self.log("stop-retried", id=request.inbound.request_id.decode())
        self._suspend(request)
        self.timers.call_at(self.clock.now + STOP_RETRY_SECONDS, self._stop_again, number)

    def _suspend(self, request: PendingRequest) -> None:
        self.ports.workers.suspend(request.inbound.request_id)

    # ---- final responses ----------------------------------------------------------------------

    def _reject(self, action: actions.Reject) -> None:
        request = self._find_request(action.id)
        if request is None or request.respond is None:
            return
        if request.phase is not HELD:  # never rejected once it has run or shares a run
            self.lifecycle.fail(request)
            return
        response = FinalResponse(
            ResponseStatus.REJECTED, back_off_seconds=action.back_off_seconds, is_final=action.is_final
        )
        control = self.ports.storm_control
        if control is not None and request.attempt is not None:
            # Retry-storm control sets the retry time of this caller alone.  The decision module decides for
            # how long its balancer sends this server nothing, and whether it may try other servers.
            advice = control.record_rejection(self.clock.now, request.attempt.fingerprint)
            response.retry_after_seconds = advice.retry_after
        self.lifecycle.respond(request, response)
        self.lifecycle.remove_if_finished(request)

    def _fail(self, action: actions.FailRequest) -> None:
        request = self._find_request(action.id)
        if request is not None and request.respond is not None:
            self.lifecycle.fail(request)

    # ---- calls --------------------------------------------------------------------------------

    def _start_call(self, action: actions.StartCall) -> None:
        request = self._find_request(action.id)
        if request is None or request.phase is not BLOCKED:
            return
        request.call_started_at = self.clock.now
        request.call_number += 1
        overdue_at = self.clock.now + action.timeout + CALL_SLACK_SECONDS
        self.timers.call_at(overdue_at, self._call_overdue, request.number, request.call_number)
        if self.ports.dependency_calls is None:
            self.loop.defer(CallFinished(action.id, Outcome.UNREACHABLE, 0.0))
            return
        request.phase = CALLING
        must_run_once = request.spec.effect is not Effect.SAFE
        request_id = request.inbound.request_id
        self.ports.dependency_calls.call(request_id, action.timeout, request.call_body, must_run_once)

    def _call_overdue(self, number: int, call_number: int) -> None:
        request = self._find_request(number)
        if request is None or request.phase is not CALLING or request.call_number != call_number:
            return
        self.lifecycle.cancel_call(request)
        self.on_call_overdue(request.inbound.request_id)

    def _skip_call(self, action: actions.SkipCall) -> None:
        request = self._find_request(action.id)
        if request is None or request.phase is not BLOCKED:
            return
        if request.spec.skipped_call_weight_share == 0:
            return
        request.phase = RUNNING
        request.call_body = b""
        self.ports.workers.skip_call(request.inbound.request_id, request.call_notice_number)

    # ---- idempotency keys ---------------------------------------------------------------------

    def _reserve_key(self, action: actions.ReserveKey) -> None:
        request = self._find_request(action.id)
        if request is not None and request.key is not None:
            self.lifecycle.attempts.reserve(request, self.clock.now + action.seconds)

    def _release_key(self, action: actions.ReleaseKey) -> None:
        request = self._find_request(action.id)
        if request is not None:
            self.lifecycle.attempts.release(request)

    def _join_attempt(self, action: actions.JoinAttempt) -> None:
        request = self._find_request(action.id)
        if request is not None and request.respond is not None:
            request.phase = JOINED
            self.lifecycle.attempts.join(request)

    # ---- the server ---------------------------------------------------------------------------

    def _set_health(self, action: actions.SetHealth) -> None:
        self.is_healthy = action.is_healthy

    def _advertise_level(self, action: actions.AdvertiseLevel) -> None:
        self.lifecycle.load_level = action.level

    def _set_idle_timeout(self, action: actions.SetIdleTimeout) -> None:
        self.idle_timeout = action.seconds

    def _set_timer(self, action: actions.SetTimer) -> None:
        self.timers.call_at(action.at, self.loop.fire_timer, action.token)

    def _log_message(self, action: actions.LogMessage) -> None:
        self.log("decision", text=action.text)
