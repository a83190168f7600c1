"""The intake of requests from the fronts: validation, rejection by the core, and the arrival event."""

from __future__ import annotations

from collections.abc import Callable

from saltcart.core.clock import CoreClock
from saltcart.core.draining import DrainState
from saltcart.core.idempotency_keys import Key, KeyRecord, digest, shared_response
from saltcart.core.messages import (
    FinalResponse,
    InboundRequest,
    InvalidRequestError,
    ResponseCallback,
    ResponseStatus,
)
from saltcart.core.request import PendingRequest
from saltcart.core.request_lifecycle import RequestLifecycle
from saltcart.core.retry_watch import RetryWatch
from saltcart.core.run_ids import RunIds
from saltcart.core.timers import Timers
from saltcart.decision.events import RequestArrived
from saltcart.decision.settings import ClassSpec, Effect, Settings, TenantSpec

UNACCEPTED_BACK_OFF_SECONDS = 0.25  # when the core rejects: no pool yet, or the key table is full
MIN_TIME_TO_DEADLINE_SECONDS = 1e-3


class RequestIntake:
    """Validates requests and passes them to the decision module."""

    def __init__(
        self,
        settings: Settings,
        clock: CoreClock,
        timers: Timers,
        drain: DrainState,
        lifecycle: RequestLifecycle,
        run_ids: RunIds,
        on_overdue: Callable[[int], None],
    ) -> None:
        """Accept requests of the settings' classes and tenants.

        Args:
            settings: The settings of the service.
            clock: The core's clock.
            timers: The core's timers.
            drain: The drain state.
            lifecycle: Owns the requests.
            run_ids: The ids of requests that have run lately.
            on_overdue: Called with the number of a request whose response may be overdue.
        """
        self.answer_slack = settings.answer_slack
        self.classes = settings.classes
        self.class_indexes = {spec.name: index for index, spec in enumerate(settings.classes)}
        self.tenant_indexes: dict[str, int] = {}
        self.set_tenants(settings.tenants)
        # True where the administration API configures tenants: without any, no request is valid.
        self.requires_tenant = False
        self.clock = clock
        self.timers = timers
        self.drain = drain
        self.lifecycle = lifecycle
        self.run_ids = run_ids
        self.on_overdue = on_overdue
        self.retry_watch = RetryWatch(clock, lifecycle, len(settings.classes))

    def set_tenants(self, tenants: tuple[TenantSpec, ...]) -> None:
        """Accept requests of these tenants from now on."""
        self.tenant_indexes = {tenant.name: index for index, tenant in enumerate(tenants)}

    def is_tenant(self, account: str) -> bool:
        """Whether an account is a configured tenant."""
        return account in self.tenant_indexes

    def accept(self, inbound: InboundRequest, respond: ResponseCallback) -> int:
        """Accept a request, or send its final response at once.

        Args:
            inbound: The request as read by a front.
            respond: Called with the final response, at once or later.

        Returns:
            The number of the request.

        Raises:
            InvalidRequestError: The request violates the protocol.
        """
        now = self.clock.read()
        class_index = self._validate(inbound)
        spec = self.classes[class_index]
        key = self._build_key(inbound, spec)
        due_at = max(self._compute_due_at(inbound, spec), now)
        number = next(self.lifecycle.request_numbers)
        request = PendingRequest(number, inbound, spec, now, due_at, respond)
        record = None if key is None else self.lifecycle.keys.find(key, request.arrived_at)
        if record is not None:
            self._validate_and_add_attempt(inbound, record)
        is_new_key = key is not None and record is None
        is_uncertain = is_new_key and self.lifecycle.attempts.is_uncertain(request.arrived_at)
        if self._accepts_nothing(now) or is_uncertain or (is_new_key and self.lifecycle.keys.is_full()):
            self.lifecycle.respond(request, unaccepted_response(record, is_uncertain=is_uncertain))
            return number
        request.key = key
        self.lifecycle.add(request)
        self._feed_arrival(request, class_index, record)
        if request.respond is not None:
            # The decision module normally ends the request in time.  If it doesn't, this timer fails it.
            self.timers.call_at(request.due_at + self.answer_slack / 2, self.on_overdue, number)
        return number

    def _validate(self, inbound: InboundRequest) -> int:
        class_index = self.class_indexes.get(inbound.class_name)
        if class_index is None:
            raise InvalidRequestError("no such class")
        has_tenants = bool(self.tenant_indexes) or self.requires_tenant
        if has_tenants and inbound.account not in self.tenant_indexes:
            raise InvalidRequestError("no such account")
        if inbound.request_id in self.lifecycle.requests_by_id:
            raise InvalidRequestError("this id is in use")
        if self.run_ids.has(self.clock.now, inbound.request_id):
            raise InvalidRequestError("this id was used before")
        return class_index

    @staticmethod
    def _build_key(inbound: InboundRequest, spec: ClassSpec) -> Key | None:
        if spec.effect is not Effect.IDEMPOTENT_BY_KEY:
            return None
        if not inbound.idempotency_key:
            raise InvalidRequestError("this class needs a key")
        return inbound.account, inbound.class_name, inbound.idempotency_key

    @staticmethod
    def _compute_due_at(inbound: InboundRequest, spec: ClassSpec) -> float:
        # A budget beyond the deadline of the class must not hold the request or its timers any longer.
        budget = inbound.budget_seconds
        return inbound.received_at + min(spec.deadline, spec.deadline if budget is None else budget)

    def _validate_and_add_attempt(self, inbound: InboundRequest, record: KeyRecord) -> None:
        # A client that guesses or repeats a key must not be served the result of another request.
        if record.body_digest != digest(inbound.body):
            raise InvalidRequestError("this key came with another body")
        if inbound.request_id in record.attempt_ids:
            raise InvalidRequestError("this id was used before")
        self.lifecycle.keys.add_attempt(record, inbound.request_id)

    def _accepts_nothing(self, now: float) -> bool:
        # From ``respond_by`` on nothing would respond to a new request before the process is stopped.
        has_handed_over = self.lifecycle.attempts.notify_successor is not None
        return self.lifecycle.loop.controller is None or has_handed_over or now >= self.drain.respond_by

    def _feed_arrival(self, request: PendingRequest, class_index: int, record: KeyRecord | None) -> None:
        inbound = request.inbound
        now = self.clock.now
        time_to_deadline = None
        if inbound.budget_seconds is not None:
            due_at = self._compute_due_at(inbound, request.spec)
            time_to_deadline = max(MIN_TIME_TO_DEADLINE_SECONDS, due_at - now)
        rank = inbound.priority_rank
        control = self.lifecycle.ports.storm_control
        if control is not None:
            rank = self.retry_watch.record_arrival(control, request, is_new_key=record is None)
        event = RequestArrived(
            id=request.number,
            class_index=class_index,
            size_kb=inbound.size_kb,
            priority_rank=rank,
            unread_seconds=max(0.0, now - inbound.received_at),
            time_to_deadline=time_to_deadline,
            tenant_index=self.tenant_indexes.get(inbound.account),
            cost_hint=inbound.cost_hint,
            resource_key=inbound.resource_key,
            is_write=request.spec.effect is not Effect.SAFE,
            balancer=inbound.balancer,
            repeat_of=None if record is None else record.holder_number,
            has_reservation=request.attempt is not None and request.attempt.has_reservation,
        )
        self.lifecycle.loop.feed(event)


def unaccepted_response(record: KeyRecord | None, *, is_uncertain: bool) -> FinalResponse:
    """Return the response to a request that isn't accepted.

    A request that has run, or may have, is never rejected.

    Args:
        record: The record of the request's key, if it has one.
        is_uncertain: Whether the key may have a run that the predecessor didn't report.
    """
    if record is not None and record.result is not None:
        return shared_response(record)
    if is_uncertain or (record is not None and record.may_have_run):
        return FinalResponse(ResponseStatus.FAILED)
    return FinalResponse(ResponseStatus.REJECTED, back_off_seconds=UNACCEPTED_BACK_OFF_SECONDS)
