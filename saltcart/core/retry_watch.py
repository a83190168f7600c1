"""Retry-storm control in the core: ranks retries, and rejects held attempts that a retry supersedes."""

from __future__ import annotations

from saltcart.core.clock import CoreClock
from saltcart.core.messages import FinalResponse, ResponseStatus
from saltcart.core.ports import RetryStormControl
from saltcart.core.request import HELD, PendingRequest
from saltcart.core.request_lifecycle import RequestLifecycle
from saltcart.decision.events import RequestAbandoned
from saltcart.decision.settings import Effect

TOP_RANK_IN_CLASS = 0.999  # as a fraction of the class's range of priority ranks


class RetryWatch:
    """Recognises the attempts of a request by their fingerprint."""

    def __init__(self, clock: CoreClock, lifecycle: RequestLifecycle, class_count: int) -> None:
        self.clock = clock
        self.lifecycle = lifecycle
        self.class_count = class_count

    def record_arrival(self, control: RetryStormControl, request: PendingRequest, is_new_key: bool) -> float:
        """Record an attempt that arrived, and return the priority rank to use for it.

        Args:
            control: The retry-storm control.
            request: The request of the attempt.
            is_new_key: Whether the request has no key, or one that no earlier attempt holds.
        """
        inbound = request.inbound
        attempt = request.attempt = control.record_arrival(
            self.clock.now,
            inbound.account,
            inbound.class_name,
            inbound.idempotency_key,
            inbound.resource_key,
            inbound.body,
        )
        if request.spec.effect is Effect.SAFE:
            self._supersede_older(control, attempt.fingerprint)
            self.lifecycle.numbers_by_fingerprint[attempt.fingerprint] = request.number
        goes_last = attempt.is_early or inbound.admitted_last
        if not (attempt.has_reservation or goes_last) or not is_new_key:
            return inbound.priority_rank
        # At the top of its own class if it arrived at its reserved time; at the bottom if it arrived before
        # that or its source exceeds its fair share.
        own_class = min(self.class_count - 1, int(inbound.priority_rank * self.class_count))
        return (own_class + (TOP_RANK_IN_CLASS if attempt.has_reservation else 0.0)) / self.class_count

    def _supersede_older(self, control: RetryStormControl, fingerprint: int) -> None:
        """In a storm, reject a held attempt whose request was sent again: its caller is gone."""
        lifecycle = self.lifecycle
        older = lifecycle.requests.get(lifecycle.numbers_by_fingerprint.get(fingerprint, 0))
        if older is None or older.phase is not HELD or not control.in_storm(self.clock.now):
            return
        if older.respond is None or older.attempt is None:
            return
        advice = control.record_rejection(self.clock.now, older.attempt.fingerprint)
        response = FinalResponse(
            ResponseStatus.REJECTED, retry_after_seconds=advice.retry_after, is_final=advice.is_final
        )
        lifecycle.respond(older, response)
        lifecycle.loop.feed(RequestAbandoned(older.number))
        lifecycle.remove_if_finished(older)
