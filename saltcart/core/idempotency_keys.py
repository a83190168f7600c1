"""The table of idempotency keys: which attempt holds a key, and the state and result of its run."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from hashlib import blake2b

from saltcart.core.messages import FinalResponse, ResponseStatus

Key = tuple[str, str, bytes]  # tenant, class, key; tenants can't use each other's keys

RECORD_BYTES = 1024  # memory of a record in this process, without its result and attempt ids
MAX_RESULT_BYTES = 4096  # counted for a result until it is known
ATTEMPT_ID_BYTES = 80  # memory of one stored attempt id
MAX_ATTEMPT_IDS = 64  # stored for one key


def digest(body: bytes) -> bytes:
    """Return a digest by which bodies are compared without being stored."""
    return blake2b(body, digest_size=16).digest()


@dataclass(slots=True)
class KeyRecord:
    """The use of one key in one key window.

    An attempt belongs to the window if it arrived by ``expires_at``, even if it is read later.
    """

    key: Key
    holder_number: int  # the request that holds the key; negative for one of the predecessor
    expires_at: float
    body_digest: bytes  # all attempts have the same body
    attempt_ids: set[bytes] = field(default_factory=set)  # each id may be used once
    has_run: bool = False
    is_finished: bool = False
    result: bytes | None = None  # set if the run succeeded
    cached_dependencies: tuple[str, ...] = ()  # whose replies the result has from a cache
    waiting_attempts: list[int] = field(default_factory=list)  # numbers of requests that wait for the result
    previous_window: KeyRecord | None = None  # attempts read late may belong to it
    counted_bytes: int = 0  # included in ``KeyTable.used_bytes``

    @property
    def may_have_run(self) -> bool:
        """Whether the key has a run, or may have: another process reports only the ends of its runs."""
        return self.has_run or (self.holder_number < 0 and not self.is_finished)

    def byte_size(self) -> int:
        """Return the memory that this record uses, or may use once its result is known."""
        result_bytes = len(self.result or b"") if self.is_finished else MAX_RESULT_BYTES
        result_bytes += sum(len(name) for name in self.cached_dependencies)
        return RECORD_BYTES + result_bytes + ATTEMPT_ID_BYTES * len(self.attempt_ids)


def shared_response(record: KeyRecord | None) -> FinalResponse:
    """Return the response to an attempt that shares the result of a key's run: failed if there is none."""
    if record is None or record.result is None:
        return FinalResponse(ResponseStatus.FAILED)
    return FinalResponse(ResponseStatus.SERVED, record.result, cached_dependencies=record.cached_dependencies)


class KeyTable:
    """Idempotency keys up to a limit in bytes; an attempt whose key exceeds the limit must not run."""

    def __init__(self, max_bytes: int, read_grace: float) -> None:
        """Create an empty table.

        Args:
            max_bytes: Limit of the memory of all records.
            read_grace: Seconds after its arrival within which an attempt may still be read.
        """
        self.max_bytes = max_bytes
        self.read_grace = read_grace
        self.records: dict[Key, KeyRecord] = {}
        self.used_bytes = 0

    def __len__(self) -> int:
        """Return the number of keys."""
        return len(self.records)

    def is_full(self) -> bool:
        """Whether one more key would exceed the limit."""
        return self.used_bytes + RECORD_BYTES + MAX_RESULT_BYTES + ATTEMPT_ID_BYTES > self.max_bytes

    def find(self, key: Key, arrived_at: float) -> KeyRecord | None:
        """Return the record of the key window to which an attempt that arrived at this time belongs."""
        record = self.records.get(key)
        return record if record is not None and arrived_at <= record.expires_at else None

    def reserve(self, key: Key, holder_number: int, expires_at: float, body: bytes) -> KeyRecord:
        """Create the holder's record of a key or extend its window, and return the record."""
        previous = self.records.get(key)
        if previous is not None and previous.holder_number == holder_number:
            previous.expires_at = max(previous.expires_at, expires_at)
            return previous
        record = KeyRecord(key, holder_number, expires_at, digest(body), previous_window=previous)
        self.records[key] = record
        self.update_used_bytes(record)
        return record

    def add_attempt(self, record: KeyRecord, attempt_id: bytes) -> None:
        """Store the id of one more attempt, so that it can't be used again."""
        if len(record.attempt_ids) < MAX_ATTEMPT_IDS:
            record.attempt_ids.add(attempt_id)
            self.update_used_bytes(record)

    def update_used_bytes(self, record: KeyRecord) -> None:
        """Update ``used_bytes`` by the present size of a record."""
        size = record.byte_size()
        self.used_bytes += size - record.counted_bytes
        record.counted_bytes = size

    def adopt(self, record: KeyRecord) -> None:
        """Add a record of the predecessor, even beyond the limit, because its run may have started."""
        self.records[record.key] = record
        self.update_used_bytes(record)

    def remove(self, record: KeyRecord) -> None:
        """Free a key; the record of its previous window, if any, becomes current again."""
        if self.records.get(record.key) is not record:
            record.expires_at = float("-inf")  # if it becomes current again, no attempt matches it
        elif record.previous_window is None:
            del self.records[record.key]
        else:
            self.records[record.key] = record.previous_window
        self._release_bytes(record)

    def _release_bytes(self, record: KeyRecord) -> None:
        self.used_bytes -= record.counted_bytes
        record.counted_bytes = 0

    def expire(self, now: float, is_pending: Callable[[int], bool]) -> None:
        """Remove the records to which no further attempt can belong and whose holders aren't pending."""
        for record in list(self.records.values()):
            self._expire_previous(record, now)
            if now > record.expires_at + self.read_grace and not is_pending(record.holder_number):
                self.remove(record)

    def _expire_previous(self, record: KeyRecord, now: float) -> None:
        current: KeyRecord | None = record
        while current is not None:
            previous = current.previous_window
            if previous is not None and now > previous.expires_at + self.read_grace:
                self._release_bytes(previous)
                current.previous_window = previous.previous_window
            else:
                current = previous
