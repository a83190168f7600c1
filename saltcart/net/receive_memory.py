"""Bounds the memory of requests that have arrived in part, over all client connections of a process."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

from saltcart.core.ports import Log

LOG_INTERVAL_SECONDS = 1.0  # between two reports of ended requests


class ReceivingConnection(Protocol):
    """A connection that holds what has arrived of a request."""

    def held_bytes(self) -> int:
        """Return the memory in bytes that the part of a request uses which has arrived."""

    def is_awaiting_request(self) -> bool:
        """Whether it waits for the rest of a request, and owes no response."""

    def on_memory_shortage(self) -> None:
        """End the incomplete request, and release its memory."""


class ReceiveMemory:
    """The memory of incomplete requests; beyond the limit the ones that began first are ended."""

    def __init__(self, max_bytes: int, log: Log, clock: Callable[[], float]) -> None:
        """Create the account of a process.

        Args:
            max_bytes: Limit of what all connections hold together.
            log: Writes log events.
            clock: Returns the time in seconds, for the interval of reports.
        """
        self.max_bytes = max_bytes
        self.log = log
        self.clock = clock
        self.next_report_at = float("-inf")
        self.used_bytes = 0
        self.ended_count = 0  # requests that were ended
        self.held: dict[ReceivingConnection, int] = {}  # in the order in which they began to hold memory

    def update(self, connection: ReceivingConnection) -> None:
        """Record what a connection holds now, and end incomplete requests while all hold too much."""
        self._record(connection, connection.held_bytes())
        while self.used_bytes > self.max_bytes:
            oldest = next((each for each in self.held if each.is_awaiting_request()), None)
            if oldest is None:
                return
            self.ended_count += 1
            self.release(oldest)
            oldest.on_memory_shortage()
            self._report()

    def _report(self) -> None:
        now = self.clock()
        if now >= self.next_report_at:
            self.next_report_at = now + LOG_INTERVAL_SECONDS
            self.log("memory-shortage", ended=self.ended_count, held=self.used_bytes)

    def release(self, connection: ReceivingConnection) -> None:
        """Forget a connection that has ended or holds nothing any more."""
        self._record(connection, 0)

    def _record(self, connection: ReceivingConnection, size: int) -> None:
        self.used_bytes += size - self.held.get(connection, 0)
        if size:
            self.held[connection] = size
        else:
            self.held.pop(connection, None)
