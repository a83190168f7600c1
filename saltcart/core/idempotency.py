"""The tries of keyed requests: which one holds a key, what its run led to, and who waits for that.

At most one run in a key's window, also where another process takes over: this is the one place that says so.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable

from saltcart.core.idempotency_keys import KeyRecord, KeyTable
from saltcart.core.request import PendingRequest
from saltcart.decision.outcome import Outcome


class IdempotentAttempts:
    """``end`` is told how a try ends that waited for another one: with its result, or with None."""

    def __init__(self, keys: KeyTable, slack: float, end: Callable[[int, bytes | None], None]) -> None:
        self.keys, self.slack, self.finish_attempt = keys, slack, end
        # Told of keys whose fate is settled, once another process has taken over; nothing is taken then.
        self.successor: Callable[[KeyRecord, bool], None] | None = None
        self.uncertain_until = 0.0  # tries that came up to then may be of a run that nobody told of

    # ---- the life of one key ------------------------------------------------------------------

    def reserve(self, r: PendingRequest, until: float) -> KeyRecord:
        assert r.key is not None
        entry = self.keys.reserve(r.key, r.number, until, r.inbound.body)
        if r.key_record is not entry:
            r.key_record = entry
            self.keys.add_attempt(entry, r.inbound.request_id)
        return entry

    def claim_run(self, r: PendingRequest) -> bool:
        """The entry of a keyed request stands before its run starts, for the whole window.  False: no run."""
        if r.key is None:
            return True
        entry = self.keys.find(r.key, r.arrived_at)
        if entry is not None and entry.holder_number != r.number:
            return False
        self.reserve(r, r.inbound.received_at + r.spec.key_window + self.slack).has_run = True
        return True

    def join(self, r: PendingRequest) -> None:
        """Share what another try's run leads to, at once if it is over."""
        entry = None if r.key is None else self.keys.find(r.key, r.arrived_at)
        if entry is None or entry.is_finished:
            self.finish_attempt(r.number, None if entry is None else entry.result)
        else:
            entry.waiting_attempts.append(r.number)

    def release(self, r: PendingRequest) -> None:
        """Give a key back, unless its run has begun: then it stands for its whole window."""
        if r.key_record is not None and not r.key_record.has_run:
            self.keys.remove(r.key_record)
            self._fail(r.key_record)

    def run_finished(self, r: PendingRequest, outcome: Outcome, result: bytes) -> None:
        """Its run is over; those who wait are told when the request is settled."""
        if (entry := r.key_record) is not None:
            entry.is_finished, entry.result = True, result if outcome is Outcome.SUCCEEDED else None
            if (
                outcome is Outcome.NOT_STARTED and not r.call_notice
            ):  # proof that nothing ran: the key is free
                self.keys.remove(entry)
                self._fail(entry)

    def request_settled(self, r: PendingRequest) -> None:
        """The request is forgotten; its key stands if it has run."""
        # It has the entry itself: its key may be another one's by now, and those who joined it still wait.
        if (entry := r.key_record) is not None:
            if not entry.has_run:
                self.keys.remove(entry)
            entry.is_finished = True
            self._fail(entry) if entry.result is None else self._serve(entry)

    def _serve(self, entry: KeyRecord) -> None:
        stands = self.keys.records.get(entry.key)
        if stands is entry:
            self.keys.book(entry)  # its result is known: it takes no more than that
        if self.successor is not None and (stands is None or stands is entry):
            self.successor(entry, stands is None)
        joined, entry.waiting_attempts = entry.waiting_attempts, []
        for number in joined:
            self.finish_attempt(number, entry.result)

    def _fail(self, entry: KeyRecord) -> None:
        entry.result = None
        self._serve(entry)

    # ---- one process takes over from another --------------------------------------------------

    def hand_over(self, heir: Callable[[KeyRecord, bool], None]) -> Iterable[KeyRecord]:
        """Take nothing more; ``heir`` is told how the keys end that this process still answers for."""
        self.successor = heir
        return list(self.keys.records.values())

    def take_back(self) -> None:
        """Whoever took over is gone: go on."""
        self.successor = None

    def adopt(self, entry: KeyRecord, gone: bool, number: int) -> None:
        """What the process before tells of a key.  ``number`` is one that no request of this process has."""
        known = self.keys.records.get(entry.key)
        if known is None and not gone:
            entry.holder_number = -number
            self.keys.adopt(known := entry)
        if known is None or known.holder_number > 0:
            return
        known.has_run, known.is_finished, known.result = (
            entry.has_run,
            entry.is_finished or gone,
            entry.result,
        )
        if gone:
            self.keys.remove(known)
        if known.is_finished:
            self._serve(known)

    def is_uncertain(self, came: float) -> bool:
        """Whether a run that nobody told of may be one of a key that is new here."""
        return came <= self.uncertain_until

    def predecessor_gone(self) -> None:
        """The process before is gone: a run of a key that it has not told the end of may have begun."""
        for entry in [e for e in self.keys.records.values() if e.holder_number < 0 and not e.is_finished]:
            entry.is_finished = True
            self._fail(entry)
