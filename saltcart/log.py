"""Logs: one JSON line an event.  Standard output may block, so a thread of its own writes it."""

from __future__ import annotations

import os
import queue
import threading
import time

import orjson

ROOM = 2000  # lines that may wait; what finds no room is counted and said later


class JsonLog:
    def __init__(self, fd: int = 1) -> None:
        self.fd, self.dropped = fd, 0
        self.lines: queue.Queue[bytes | None] = queue.Queue(ROOM)
        self.thread = threading.Thread(target=self._write, name="log", daemon=True)
        self.thread.start()

    def __call__(self, event: str, **fields: object) -> None:
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
            except OSError:  # a full disk, a reader that is slow or gone: one line is lost, not all to come
                self.dropped += 1

    def close(self, wait: float = 1.0) -> None:
        """Write what waits, as far as the reader takes it in time."""
        try:
            self.lines.put_nowait(None)
        except queue.Full:
            return
        self.thread.join(wait)
