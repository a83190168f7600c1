"""Attempts of requests with idempotency keys: which one holds a key, and which ones wait for its result.

This module alone ensures that a key has at most one run in its key window, also across a takeover by another
process.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable

from saltcart.core.idempotency_keys import KeyRecord, KeyTable
from saltcart.core.request import PendingRequest
from saltcart.decision.outcome import Outcome


class IdempotentAttempts:
    """Grants the run of a key to one attempt, and shares its result with the others."""

    def __init__(
        self,
        keys: KeyTable,
        answer_slack: float,
        finish_attempt: Callable[[int, KeyRecord | None], None],
    ) -> None:
        """Start without a takeover.

        Args:
            keys: The table of idempotency keys.
            answer_slack: Seconds past its due time by which a response may be late.
            finish_attempt: Called with the number of an attempt that waited, and the record that has the
                result, or None if there is none.
        """
        self.keys = keys
        self.answer_slack = answer_slack
        self.finish_attempt = finish_attempt
        # Set once another process has taken over; this one accepts no more requests then.  Called with the
        # record of each key whose run ends, and whether the key is free.
        self.notify_successor: Callable[[KeyRecord, bool], None] | None = None
        self.uncertain_until = 0.0  # a new key that arrived by then may have an unreported run

    # ---- life cycle of one key ----------------------------------------------------------------

    def reserve(self, request: PendingRequest, expires_at: float) -> KeyRecord:
        """Make the request the holder of its key until ``expires_at``, and return the key's record."""
        assert request.key is not None
        record = self.keys.reserve(request.key, request.number, expires_at, request.inbound.body)
        if request.key_record is not record:
            request.key_record = record
            self.keys.add_attempt(record, request.inbound.request_id)
        return record

    def claim_run(self, request: PendingRequest) -> bool:
        """Record the run of a request's key for the whole key window, before the run starts.

        Returns:
            Whether the run may start; a request without a key always may.
        """
        if request.key is None:
            return True
        record = self.keys.find(request.key, request.arrived_at)
        if record is not None and record.holder_number != request.number:
            return False
        expires_at = request.inbound.received_at + request.spec.key_window + self.answer_slack
        self.reserve(request, expires_at).has_run = True
        return True

    def join(self, request: PendingRequest) -> None:
        """Have a request share the result of another attempt's run, at once if that has ended."""
        record = None if request.key is None else self.keys.find(request.key, request.arrived_at)
        if record is None or record.is_finished:
            self.finish_attempt(request.number, record)
        else:
            record.waiting_attempts.append(request.number)

    def release(self, request: PendingRequest) -> None:
        """Free the request's key, unless its run has started: then the key is held for its whole window."""
        record = request.key_record
        if record is not None and not record.has_run:
            self.keys.remove(record)
            self._fail_waiting(record)

    def run_finished(
        self,
        request: PendingRequest,
        outcome: Outcome,
        result: bytes,
        cached_dependencies: tuple[str, ...],
    ) -> None:
        """Record the end of a run; waiting attempts get its result when the request is removed."""
        record = request.key_record
        if record is None:
            return
        record.is_finished = True
        if outcome is Outcome.SUCCEEDED:
            record.result = result
            record.cached_dependencies = cached_dependencies
        else:
            record.result = None
        if outcome is Outcome.NOT_STARTED and not request.call_notice_number:  # certain not to have run
            self.keys.remove(record)
            self._fail_waiting(record)

    def request_removed(self, request: PendingRequest) -> None:
        """Finish the waiting attempts of a removed request, and free its key unless it has run."""
        # The request's own record, since its key may have a newer one while attempts still wait in this one.
        record = request.key_record
        if record is None:
            return
        if not record.has_run:
            self.keys.remove(record)
        record.is_finished = True
        if record.result is None:
            self._fail_waiting(record)
        else:
            self._finish_waiting(record)

    def _finish_waiting(self, record: KeyRecord) -> None:
        current = self.keys.records.get(record.key)
        if current is record:
            self.keys.update_used_bytes(record)  # the size of its result is known now
        if self.notify_successor is not None and (current is None or current is record):
            self.notify_successor(record, current is None)
        waiting = record.waiting_attempts
        record.waiting_attempts = []
        for number in waiting:
            self.finish_attempt(number, record)

    def _fail_waiting(self, record: KeyRecord) -> None:
        record.result = None
        self._finish_waiting(record)

    # ---- takeover by another process ----------------------------------------------------------

    def hand_over(self, notify_successor: Callable[[KeyRecord, bool], None]) -> Iterable[KeyRecord]:
        """Accept no further requests, and return the records of all keys.

        Args:
            notify_successor: Called with the record of each key whose run ends in this process, and whether
                the key is free.
        """
        self.notify_successor = notify_successor
        return list(self.keys.records.values())

    def cancel_hand_over(self) -> None:
        """Accept requests again, because the successor is gone."""
        self.notify_successor = None

    def adopt(self, record: KeyRecord, is_free: bool, unused_number: int) -> None:
        """Adopt the state of a key that the predecessor reports.

        Args:
            record: The predecessor's record.
            is_free: Whether the key is free because nothing ran.
            unused_number: A number that no request of this process has.
        """
        current = self.keys.records.get(record.key)
        if current is None and not is_free:
            record.holder_number = -unused_number
            self.keys.adopt(record)
            current = record
        if current is None or current.holder_number > 0:
            return
        current.has_run = record.has_run
        current.is_finished = record.is_finished or is_free
        current.result = record.result
        current.cached_dependencies = record.cached_dependencies
        if is_free:
            self.keys.remove(current)
        if current.is_finished:
            self._finish_waiting(current)

    def is_uncertain(self, arrived_at: float) -> bool:
        """Whether a key that is new here may have a run that another process didn't report."""
        return arrived_at <= self.uncertain_until

    def predecessor_lost(self) -> None:
        """Fail the attempts that wait for runs in the predecessor, which may have started there."""
        for record in list(self.keys.records.values()):
            if record.holder_number < 0 and not record.is_finished:
                record.is_finished = True
                self._fail_waiting(record)
