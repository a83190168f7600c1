"""The tries of keyed requests: which one holds a key, what its run led to, and who waits for that.

At most one run in a key's window, also where another process takes over: this is the one place that says so.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable

from saltcart.core.keys import Entry, KeyTable
from saltcart.core.request import Request
from saltcart.decision.outcome import Outcome


class Repeats:
    """``end`` is told how a try ends that waited for another one: with its result, or with None."""

    def __init__(self, keys: KeyTable, slack: float, end: Callable[[int, bytes | None], None]) -> None:
        self.keys, self.slack, self.end = keys, slack, end
        # Told of keys whose fate is settled, once another process has taken over; nothing is taken then.
        self.heir: Callable[[Entry, bool], None] | None = None
        self.doubt_until = 0.0  # tries that came up to then may be of a run that nobody told of

    # ---- the life of one key ------------------------------------------------------------------

    def keep(self, r: Request, until: float) -> Entry:
        assert r.key is not None
        entry = self.keys.keep(r.key, r.number, until, r.ask.body)
        if r.entry is not entry:
            r.entry = entry
            self.keys.note(entry, r.ask.ident)
        return entry

    def claim(self, r: Request) -> bool:
        """The entry of a keyed request stands before its run starts, for the whole window.  False: no run."""
        if r.key is None:
            return True
        entry = self.keys.find(r.key, r.came)
        if entry is not None and entry.holder != r.number:
            return False
        self.keep(r, r.ask.received + r.spec.key_window + self.slack).ran = True
        return True

    def join(self, r: Request) -> None:
        """Share what another try's run leads to, at once if it is over."""
        entry = None if r.key is None else self.keys.find(r.key, r.came)
        if entry is None or entry.over:
            self.end(r.number, None if entry is None else entry.result)
        else:
            entry.joined.append(r.number)

    def release(self, r: Request) -> None:
        """Give a key back, unless its run has begun: then it stands for its whole window."""
        if r.entry is not None and not r.entry.ran:
            self.keys.remove(r.entry)
            self._fail(r.entry)

    def ended(self, r: Request, outcome: Outcome, result: bytes) -> None:
        """Its run is over; those who wait are told when the request is settled."""
        if (entry := r.entry) is not None:
            entry.over, entry.result = True, result if outcome is Outcome.SUCCEEDED else None
            if outcome is Outcome.NOT_STARTED and not r.notice:  # proof that nothing ran: the key is free
                self.keys.remove(entry)
                self._fail(entry)

    def settled(self, r: Request) -> None:
        """The request is forgotten; its key stands if it has run."""
        # It has the entry itself: its key may be another one's by now, and those who joined it still wait.
        if (entry := r.entry) is not None:
            if not entry.ran:
                self.keys.remove(entry)
            entry.over = True
            self._fail(entry) if entry.result is None else self._serve(entry)

    def _serve(self, entry: Entry) -> None:
        stands = self.keys.entries.get(entry.key)
        if stands is entry:
            self.keys.book(entry)  # its result is known: it takes no more than that
        if self.heir is not None and (stands is None or stands is entry):
            self.heir(entry, stands is None)
        joined, entry.joined = entry.joined, []
        for number in joined:
            self.end(number, entry.result)

    def _fail(self, entry: Entry) -> None:
        entry.result = None
        self._serve(entry)

    # ---- one process takes over from another --------------------------------------------------

    def hand_over(self, heir: Callable[[Entry, bool], None]) -> Iterable[Entry]:
        """Take nothing more; ``heir`` is told how the keys end that this process still answers for."""
        self.heir = heir
        return list(self.keys.entries.values())

    def resume(self) -> None:
        """Whoever took over is gone: go on."""
        self.heir = None

    def inherit(self, entry: Entry, gone: bool, number: int) -> None:
        """What the process before tells of a key.  ``number`` is one that no request of this process has."""
        known = self.keys.entries.get(entry.key)
        if known is None and not gone:
            entry.holder = -number
            self.keys.inherit(known := entry)
        if known is None or known.holder > 0:
            return
        known.ran, known.over, known.result = entry.ran, entry.over or gone, entry.result
        if gone:
            self.keys.remove(known)
        if known.over:
            self._serve(known)

    def doubted(self, came: float) -> bool:
        """Whether a run that nobody told of may be one of a key that is new here."""
        return came <= self.doubt_until

    def bereave(self) -> None:
        """The process before is gone: a run of a key that it has not told the end of may have begun."""
        for entry in [e for e in self.keys.entries.values() if e.holder < 0 and not e.over]:
            entry.over = True
            self._fail(entry)
