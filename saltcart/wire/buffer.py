"""The one buffer of a connection: grows as needed, compacted in place."""

from __future__ import annotations

KEPT = 8192  # bytes of room that an empty buffer keeps


class BufferOverflowError(Exception):
    """More unread bytes than the connection may hold."""


class Buffer:
    """Bytes between ``start`` and ``end`` of ``data`` are received and not yet consumed."""

    def __init__(self, size: int = 2048, limit: int = 65536) -> None:
        self.data, self.start, self.end, self.limit = bytearray(size), 0, 0, limit

    def __len__(self) -> int:
        return self.end - self.start

    def writable_view(self, least: int = 512) -> memoryview:
        """Room to receive into.  Only here may ``data`` be resized: no view of it is alive at this point."""
        if not self.end and len(self.data) > KEPT:
            self.data = bytearray(KEPT)  # one long message must not hold its room for good
        if len(self.data) - self.end < least:
            self.compact()
        if len(self.data) - self.end < least:
            if len(self) + least > self.limit:
                raise BufferOverflowError
            self.data.extend(bytes(min(self.limit, 2 * len(self.data) + least) - len(self.data)))
        return memoryview(self.data)[self.end :]

    def commit(self, count: int) -> None:
        self.end += count

    def consume(self, count: int) -> None:
        self.start += count
        if self.start == self.end:
            self.start = self.end = 0

    def compact(self) -> None:
        """Move what is unread to the front; equal lengths, so the bytearray is not resized."""
        if self.start:
            held = len(self)
            self.data[:held] = self.data[self.start : self.end]
            self.start, self.end = 0, held

    def write(self, data: bytes) -> None:
        """Receive ``data`` as if a socket had delivered it."""
        offset = 0
        while offset < len(data):
            room = self.writable_view()
            count = min(len(room), len(data) - offset)
            room[:count] = data[offset : offset + count]
            del room
            self.commit(count)
            offset += count

    def take(self, count: int) -> bytes:
        """Consume ``count`` bytes and return them."""
        data = bytes(self.data[self.start : self.start + count])
        self.consume(count)
        return data

    def peek(self, count: int, offset: int = 0) -> bytes:
        return bytes(self.data[self.start + offset : min(self.end, self.start + offset + count)])

    def find(self, what: bytes, offset: int = 0) -> int:
        """Offset of ``what`` from ``start``, or -1."""
        at = self.data.find(what, self.start + offset, self.end)
        return at if at < 0 else at - self.start

    def line(self, limit: int) -> bytes | None:
        """The next line without its CR LF, or None while it is incomplete; ``ValueError`` past the limit."""
        at = self.find(b"\r\n")
        if at > limit or (at < 0 and len(self) > limit + 1):
            raise ValueError("line too long")
        if at < 0:
            return None
        line = self.take(at)
        self.consume(2)
        return line
