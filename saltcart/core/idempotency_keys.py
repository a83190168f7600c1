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
class KeyRecord:
    """One key.  ``until`` is when tries stop being its repeats, by the time at which they arrived."""

    key: Key
    holder_number: int
    expires_at: float
    body_digest: bytes  # of the body that all tries of the request carry
    attempt_ids: set[bytes] = field(default_factory=set)  # of its tries: an id comes once
    has_run: bool = False
    is_finished: bool = False
    result: bytes | None = None  # of a run that went well
    waiting_attempts: list[int] = field(default_factory=list)  # tries that wait for the result
    earlier: KeyRecord | None = None  # of an earlier window that a late-read try may still be of
    booked_bytes: int = 0  # bytes on the table's account

    def byte_size(self) -> int:
        result = len(self.result or b"") if self.is_finished else MOST_RESULT
        return BARE + result + IDENT * len(self.attempt_ids)


class KeyTable:
    """Bounded in bytes: a try that finds no place for its key must not run."""

    def __init__(self, limit: int, grace: float) -> None:
        self.max_bytes, self.grace = limit, grace  # a try may be read this long after it arrived
        self.records: dict[Key, KeyRecord] = {}
        self.used_bytes = 0

    def __len__(self) -> int:
        return len(self.records)

    def is_full(self) -> bool:
        return self.used_bytes + BARE + MOST_RESULT + IDENT > self.max_bytes

    def find(self, key: Key, received: float) -> KeyRecord | None:
        entry = self.records.get(key)
        return entry if entry is not None and received <= entry.expires_at else None

    def reserve(self, key: Key, holder: int, until: float, body: bytes) -> KeyRecord:
        entry = self.records.get(key)
        if entry is not None and entry.holder_number == holder:
            entry.expires_at = max(entry.expires_at, until)
            return entry
        new = self.records[key] = KeyRecord(key, holder, until, digest(body), earlier=entry)
        self.book(new)
        return new

    def add_attempt(self, entry: KeyRecord, ident: bytes) -> None:
        """One more try of this key: its id is used up."""
        if len(entry.attempt_ids) < MOST_IDENTS:
            entry.attempt_ids.add(ident)
            self.book(entry)

    def book(self, entry: KeyRecord) -> None:
        """Put what an entry takes on the account, or change it there."""
        size = entry.byte_size()
        self.used_bytes, entry.booked_bytes = self.used_bytes + size - entry.booked_bytes, size

    def adopt(self, entry: KeyRecord) -> None:
        """An entry of the process before; it stands whatever the bound, for its run may have begun."""
        self.records[entry.key] = entry
        self.book(entry)

    def remove(self, entry: KeyRecord) -> None:
        """The key is as free as before; what an earlier window holds stands again."""
        if self.records.get(entry.key) is entry:
            if entry.earlier is None:
                del self.records[entry.key]
            else:
                self.records[entry.key] = entry.earlier
        else:
            entry.expires_at = float("-inf")  # an older one: nothing finds it any more
        self._unbook(entry)

    def _unbook(self, entry: KeyRecord) -> None:
        self.used_bytes, entry.booked_bytes = self.used_bytes - entry.booked_bytes, 0

    def expire(self, now: float, alive: Callable[[int], bool]) -> None:
        """Drop what no late-read try can refer to any more."""
        for entry in list(self.records.values()):
            at: KeyRecord | None = entry
            while at is not None:  # the older ones end first
                if at.earlier is not None and now > at.earlier.expires_at + self.grace:
                    self._unbook(at.earlier)
                    at.earlier = at.earlier.earlier
                else:
                    at = at.earlier
            if now > entry.expires_at + self.grace and not alive(entry.holder_number):
                self.remove(entry)
