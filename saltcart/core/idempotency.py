"""Attempts of requests with idempotency keys: which one holds a key, and who waits for its result.

At most one run in a key's window, also where another process takes over: this is the one place that decides
so.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable

from saltcart.core.idempotency_keys import KeyRecord, KeyTable
from saltcart.core.request import PendingRequest
from saltcart.decision.outcome import Outcome


class IdempotentAttempts:
    """Grants the run of a key to one attempt and passes its result on to the others."""

    def __init__(
        self,
        keys: KeyTable,
        answer_slack: float,
        finish_attempt: Callable[[int, bytes | None], None],
    ) -> None:
        """``finish_attempt`` takes the number of an attempt that waited, and the result or None."""
        self.keys = keys
        self.answer_slack = answer_slack
        self.finish_attempt = finish_attempt
        # Told of keys whose runs are over, once another process has taken over; no key is taken then.
        self.notify_successor: Callable[[KeyRecord, bool], None] | None = None
        self.uncertain_until = 0.0  # attempts that arrived by then may be of a run that nobody reported

    # ---- the life of one key ------------------------------------------------------------------

    def reserve(self, request: PendingRequest, expires_at: float) -> KeyRecord:
        """Reserve the request's key for it."""
        assert request.key is not None
        record = self.keys.reserve(request.key, request.number, expires_at, request.inbound.body)
        if request.key_record is not record:
            request.key_record = record
            self.keys.add_attempt(record, request.inbound.request_id)
        return record

    def claim_run(self, request: PendingRequest) -> bool:
        """Record a run of the key, for the whole window, before it starts; False: it must not start."""
        if request.key is None:
            return True
        record = self.keys.find(request.key, request.arrived_at)
        if record is not None and record.holder_number != request.number:
            return False
        expires_at = request.inbound.received_at + request.spec.key_window + self.answer_slack
        self.reserve(request, expires_at).has_run = True
        return True

    def join(self, request: PendingRequest) -> None:
        """Let a request share the result of another attempt's run, at once if that is over."""
        record = None if request.key is None else self.keys.find(request.key, request.arrived_at)
        if record is None or record.is_finished:
            self.finish_attempt(request.number, None if record is None else record.result)
        else:
            record.waiting_attempts.append(request.number)

    def release(self, request: PendingRequest) -> None:
        """Free the request's key, unless its run has begun: then it stands for its whole window."""
        record = request.key_record
        if record is not None and not record.has_run:
            self.keys.remove(record)
            self._fail_waiting(record)

    def run_finished(self, request: PendingRequest, outcome: Outcome, result: bytes) -> None:
        """Record the end of a run; attempts that wait are told when the request is settled."""
        record = request.key_record
        if record is None:
            return
        record.is_finished = True
        record.result = result if outcome is Outcome.SUCCEEDED else None
        if outcome is Outcome.NOT_STARTED and not request.call_notice:  # proof that nothing ran
            self.keys.remove(record)
            self._fail_waiting(record)

    def request_settled(self, request: PendingRequest) -> None:
        """The request is forgotten; its key stands if it has run."""
        # The request has the record: its key may have another by now, and those who joined still wait.
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
            self.keys.update_booking(record)  # its result is known: it takes no more than that
        if self.notify_successor is not None and (current is None or current is record):
            self.notify_successor(record, current is None)
        waiting = record.waiting_attempts
        record.waiting_attempts = []
        for number in waiting:
            self.finish_attempt(number, record.result)

    def _fail_waiting(self, record: KeyRecord) -> None:
        record.result = None
        self._finish_waiting(record)

    # ---- one process takes over from another --------------------------------------------------

    def hand_over(self, successor: Callable[[KeyRecord, bool], None]) -> Iterable[KeyRecord]:
        """Take nothing more; returns all records.

        ``successor`` is told how the keys end that this process still answers for, and whether they are free.
        """
        self.notify_successor = successor
        return list(self.keys.records.values())

    def cancel_hand_over(self) -> None:
        """Go on: the process that took over is gone."""
        self.notify_successor = None

    def adopt(self, record: KeyRecord, is_free: bool, number: int) -> None:
        """Take what the predecessor reports of a key.

        ``is_free``: nothing ran.  ``number``: one that no request of this process has.
        """
        known = self.keys.records.get(record.key)
        if known is None and not is_free:
            record.holder_number = -number
            self.keys.adopt(record)
            known = record
        if known is None or known.holder_number > 0:
            return
        known.has_run = record.has_run
        known.is_finished = record.is_finished or is_free
        known.result = record.result
        if is_free:
            self.keys.remove(known)
        if known.is_finished:
            self._finish_waiting(known)

    def is_uncertain(self, arrived_at: float) -> bool:
        """Whether a run that nobody reported may be one of a key that is new here."""
        return arrived_at <= self.uncertain_until

    def predecessor_lost(self) -> None:
        """Fail the attempts of keys whose ends the predecessor never reported: their runs may have begun."""
        for record in list(self.keys.records.values()):
            if record.holder_number < 0 and not record.is_finished:
                record.is_finished = True
                self._fail_waiting(record)
