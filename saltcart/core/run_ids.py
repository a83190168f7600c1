"""Ids of the requests that have run lately, so that none of them runs again when it is sent again."""

from __future__ import annotations

from collections.abc import Iterable

RUN_ID_BYTES = 128  # memory of one stored id


class RunIds:
    """Ids of requests whose runs have started, each for at least a given time, up to a number of ids.

    The ids are kept in two generations.  When the younger one is old enough or full, it replaces the other.
    """

    def __init__(self, retention_seconds: float, max_ids: int) -> None:
        """Create an empty record.

        Args:
            retention_seconds: How long an id is kept at least, unless there are too many.
            max_ids: Limit of the number of ids, of which at least half are kept.
        """
        self.retention_seconds = retention_seconds
        self.max_generation_ids = max(1, max_ids // 2)
        self.current: set[int] = set()
        self.previous: set[int] = set()
        self.current_since = float("-inf")

    def add(self, now: float, request_id: bytes) -> None:
        """Record that the run of a request starts.

        Args:
            now: Current time in seconds.
            request_id: The id, of hex digits.
        """
        self._rotate(now)
        self.current.add(int(request_id, 16))

    def has(self, now: float, request_id: bytes) -> bool:
        """Whether a request of this id has run lately."""
        self._rotate(now)
        number = int(request_id, 16)
        return number in self.current or number in self.previous

    def adopt(self, now: float, request_ids: Iterable[bytes]) -> None:
        """Record ids of requests that have run, or may run, in another process."""
        for request_id in request_ids:
            self.add(now, request_id)

    def encoded(self) -> list[bytes]:
        """Return all ids in their usual form."""
        return [b"%016x" % number for generation in (self.previous, self.current) for number in generation]

    def _rotate(self, now: float) -> None:
        age = now - self.current_since
        if age < self.retention_seconds and len(self.current) < self.max_generation_ids:
            return
        # After twice the time none of the ids has to be kept.
        self.previous = self.current if age < 2 * self.retention_seconds else set()
        self.current = set()
        self.current_since = now
