"""Structured log: one JSON line for each event.

Writing to standard output may block, so a thread of its own does it.
"""

from __future__ import annotations

import os
import queue
import threading
import time

import orjson

MAX_QUEUED_LINES = 2000  # further lines are dropped; the next line that is queued has their number


class JsonLog:
    """Writes events as JSON lines to a file descriptor, without ever blocking the caller."""

    def __init__(self, fd: int = 1) -> None:
        """Start the thread that writes to ``fd``."""
        self.fd, self.dropped = fd, 0
        self.lines: queue.Queue[bytes | None] = queue.Queue(MAX_QUEUED_LINES)
        self.thread = threading.Thread(target=self._write, name="log", daemon=True)
        self.thread.start()

    def __call__(self, event: str, **fields: object) -> None:
        """Queue a line for an event, or count it as dropped if the queue is full."""
        if self.dropped:
            fields["dropped"] = self.dropped
        line = orjson.dumps({"at": round(time.time(), 3), "event": event, **fields}, default=str)
        try:
            self.lines.put_nowait(line + b"\n")
            self.dropped = 0
        except queue.Full:
            self.dropped += 1

    def _write(self) -> None:
        while (line := self.lines.get()) is not None:
            try:
                while line:
                    line = line[os.write(self.fd, line) :]
            except OSError:  # disk full, or reader slow or gone: only this line is lost, not the later ones
                self.dropped += 1

    def close(self, wait: float = 1.0) -> None:
        """Write the queued lines, unless the queue is full, and stop the thread.

        Args:
            wait: Seconds to wait for a slow reader at most.
        """
        try:
            self.lines.put_nowait(None)
        except queue.Full:
            return
        self.thread.join(wait)
