"""The table of idempotency keys: which attempt holds a key, and what became of its run."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from hashlib import blake2b

Key = tuple[str, str, bytes]  # tenant, class, key: no tenant reaches another's

RECORD_BYTES = 1024  # that a record takes in this process beside its result
MAX_RESULT_BYTES = 4096  # booked until the result is known
ATTEMPT_ID_BYTES = 80  # that one remembered id of an attempt takes
MAX_ATTEMPT_IDS = 64  # remembered for one key


def digest(body: bytes) -> bytes:
    """Return what tells bodies apart without keeping them."""
    return blake2b(body, digest_size=16).digest()


@dataclass(slots=True)
class KeyRecord:
    """One key in one window, which lasts until ``expires_at`` by the times at which attempts arrived."""

    key: Key
    holder_number: int  # of the request that holds the key; below 0 for one of the predecessor's
    expires_at: float
    body_digest: bytes  # of the body that all attempts carry
    attempt_ids: set[bytes] = field(default_factory=set)  # an id comes once
    has_run: bool = False
    is_finished: bool = False
    result: bytes | None = None  # of a run that succeeded
    waiting_attempts: list[int] = field(default_factory=list)  # request numbers that wait for the result
    previous_window: KeyRecord | None = None  # of an earlier window, to which an attempt read late may belong
    booked_bytes: int = 0  # on the table's account

    def byte_size(self) -> int:
        """Return the bytes that this record takes, or may come to take."""
        result_bytes = len(self.result or b"") if self.is_finished else MAX_RESULT_BYTES
        return RECORD_BYTES + result_bytes + ATTEMPT_ID_BYTES * len(self.attempt_ids)


class KeyTable:
    """Bounded in bytes: an attempt that finds no room for its key must not run."""

    def __init__(self, max_bytes: int, read_grace: float) -> None:
        """``read_grace``: seconds after its arrival in which an attempt may still be read."""
        self.max_bytes = max_bytes
        self.read_grace = read_grace
        self.records: dict[Key, KeyRecord] = {}
        self.used_bytes = 0

    def __len__(self) -> int:
        """Return the number of keys."""
        return len(self.records)

    def is_full(self) -> bool:
        """Whether there is no room for one more key."""
        return self.used_bytes + RECORD_BYTES + MAX_RESULT_BYTES + ATTEMPT_ID_BYTES > self.max_bytes

    def find(self, key: Key, arrived_at: float) -> KeyRecord | None:
        """Return the record of the window to which an attempt that arrived then belongs."""
        record = self.records.get(key)
        return record if record is not None and arrived_at <= record.expires_at else None

    def reserve(self, key: Key, holder_number: int, expires_at: float, body: bytes) -> KeyRecord:
        """Return the holder's record of a key, made anew or with its window extended."""
        earlier = self.records.get(key)
        if earlier is not None and earlier.holder_number == holder_number:
            earlier.expires_at = max(earlier.expires_at, expires_at)
            return earlier
        record = KeyRecord(key, holder_number, expires_at, digest(body), previous_window=earlier)
        self.records[key] = record
        self.update_booking(record)
        return record

    def add_attempt(self, record: KeyRecord, attempt_id: bytes) -> None:
        """Note the id of one more attempt, which is used up by that."""
        if len(record.attempt_ids) < MAX_ATTEMPT_IDS:
            record.attempt_ids.add(attempt_id)
            self.update_booking(record)

    def update_booking(self, record: KeyRecord) -> None:
        """Put the bytes that a record takes on the account, or change them there."""
        size = record.byte_size()
        self.used_bytes += size - record.booked_bytes
        record.booked_bytes = size

    def adopt(self, record: KeyRecord) -> None:
        """Take a record of the predecessor's, whatever the bound, for its run may have begun."""
        self.records[record.key] = record
        self.update_booking(record)

    def remove(self, record: KeyRecord) -> None:
        """Free a key; the record of an earlier window stands again."""
        if self.records.get(record.key) is not record:
            record.expires_at = float("-inf")  # an earlier one: nothing finds it any more
        elif record.previous_window is None:
            del self.records[record.key]
        else:
            self.records[record.key] = record.previous_window
        self._book_off(record)

    def _book_off(self, record: KeyRecord) -> None:
        self.used_bytes -= record.booked_bytes
        record.booked_bytes = 0

    def expire(self, now: float, is_pending: Callable[[int], bool]) -> None:
        """Drop the records to which no attempt can belong any more, whose holders are not pending."""
        for record in list(self.records.values()):
            self._expire_earlier(record, now)
            if now > record.expires_at + self.read_grace and not is_pending(record.holder_number):
                self.remove(record)

    def _expire_earlier(self, record: KeyRecord, now: float) -> None:
        current: KeyRecord | None = record
        while current is not None:
            earlier = current.previous_window
            if earlier is not None and now > earlier.expires_at + self.read_grace:
                self._book_off(earlier)
                current.previous_window = earlier.previous_window
            else:
                current = earlier
