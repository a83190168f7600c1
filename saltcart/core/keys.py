"""The key table: which try holds a key, and what became of its run."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from hashlib import blake2b

Key = tuple[str, str, bytes]  # tenant, class, key: no tenant reaches another's
# Bytes that an entry takes in this process beside its result, that a result has at most, and that one of its
# tries' ids takes; of these so many are remembered.
BARE, MOST_RESULT, IDENT, MOST_IDENTS = 1024, 4096, 80, 64


def digest(body: bytes) -> bytes:
    """Tells bodies apart without keeping them."""
    return blake2b(body, digest_size=16).digest()


@dataclass(slots=True)
class Entry:
    """One key.  ``until`` is when tries stop being its repeats, by the time at which they arrived."""

    key: Key
    holder: int
    until: float
    digest: bytes  # of the body that all tries of the request carry
    idents: set[bytes] = field(default_factory=set)  # of its tries: an id comes once
    ran: bool = False
    over: bool = False
    result: bytes | None = None  # of a run that went well
    joined: list[int] = field(default_factory=list)  # tries that wait for the result
    before: Entry | None = None  # of an earlier window that a late-read try may still be of
    booked: int = 0  # bytes on the table's account

    def size(self) -> int:
        result = len(self.result or b"") if self.over else MOST_RESULT
        return BARE + result + IDENT * len(self.idents)


class KeyTable:
    """Bounded in bytes: a try that finds no place for its key must not run."""

    def __init__(self, limit: int, grace: float) -> None:
        self.limit, self.grace = limit, grace  # a try may be read this long after it arrived
        self.entries: dict[Key, Entry] = {}
        self.bytes = 0

    def __len__(self) -> int:
        return len(self.entries)

    def full(self) -> bool:
        return self.bytes + BARE + MOST_RESULT + IDENT > self.limit

    def find(self, key: Key, received: float) -> Entry | None:
        entry = self.entries.get(key)
        return entry if entry is not None and received <= entry.until else None

    def keep(self, key: Key, holder: int, until: float, body: bytes) -> Entry:
        entry = self.entries.get(key)
        if entry is not None and entry.holder == holder:
            entry.until = max(entry.until, until)
            return entry
        new = self.entries[key] = Entry(key, holder, until, digest(body), before=entry)
        self.book(new)
        return new

    def note(self, entry: Entry, ident: bytes) -> None:
        """One more try of this key: its id is used up."""
        if len(entry.idents) < MOST_IDENTS:
            entry.idents.add(ident)
            self.book(entry)

    def book(self, entry: Entry) -> None:
        """Put what an entry takes on the account, or change it there."""
        size = entry.size()
        self.bytes, entry.booked = self.bytes + size - entry.booked, size

    def inherit(self, entry: Entry) -> None:
        """An entry of the process before; it stands whatever the bound, for its run may have begun."""
        self.entries[entry.key] = entry
        self.book(entry)

    def remove(self, entry: Entry) -> None:
        """The key is as free as before; what an earlier window holds stands again."""
        if self.entries.get(entry.key) is entry:
            if entry.before is None:
                del self.entries[entry.key]
            else:
                self.entries[entry.key] = entry.before
        else:
            entry.until = float("-inf")  # an older one: nothing finds it any more
        self._unbook(entry)

    def _unbook(self, entry: Entry) -> None:
        self.bytes, entry.booked = self.bytes - entry.booked, 0

    def sweep(self, now: float, alive: Callable[[int], bool]) -> None:
        """Drop what no late-read try can refer to any more."""
        for entry in list(self.entries.values()):
            at: Entry | None = entry
            while at is not None:  # the older ones end first
                if at.before is not None and now > at.before.until + self.grace:
                    self._unbook(at.before)
                    at.before = at.before.before
                else:
                    at = at.before
            if now > entry.until + self.grace and not alive(entry.holder):
                self.remove(entry)
