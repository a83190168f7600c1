"""The receive buffer of a connection: it grows as needed and is compacted in place."""

from __future__ import annotations

MAX_IDLE_BYTES = 8192  # capacity that an empty buffer keeps at most, unless it was created with another limit


class BufferOverflowError(Exception):
    """The connection would have to hold more unread bytes than its limit."""


class Buffer:
    """Received bytes that are not consumed yet: those between ``start`` and ``end`` of ``data``."""

    def __init__(self, size: int = 2048, limit: int = 65536, idle_limit: int = MAX_IDLE_BYTES) -> None:
        """Create an empty buffer.

        Args:
            size: The initial capacity in bytes.
            limit: The highest capacity in bytes.
            idle_limit: The highest capacity in bytes that it keeps while it is empty.
        """
        self.data, self.start, self.end, self.limit = bytearray(size), 0, 0, limit
        self.initial_size, self.idle_limit = size, idle_limit

    def __len__(self) -> int:
        return self.end - self.start

    def extra_capacity(self) -> int:
        """Return by how many bytes the capacity exceeds the initial one."""
        return max(0, len(self.data) - self.initial_size)

    def writable_view(self, min_bytes: int = 512) -> memoryview:
        """Return a view of free capacity to receive into.

        ``data`` may be resized only here, where no view of it is alive.

        Args:
            min_bytes: The length that the view has at least.

        Raises:
            BufferOverflowError: The buffer would exceed its limit.
        """
        if len(self.data) - self.end < min_bytes:
            self.compact()
        if len(self.data) - self.end < min_bytes:
            if len(self) + min_bytes > self.limit:
                raise BufferOverflowError
            self.data.extend(bytes(min(self.limit, 2 * len(self.data) + min_bytes) - len(self.data)))
        return memoryview(self.data)[self.end :]

    def commit(self, count: int) -> None:
        """Mark ``count`` bytes that were written into the view as received."""
        self.end += count

    def consume(self, count: int) -> None:
        """Drop ``count`` unread bytes."""
        self.start += count
        if self.start < self.end:
            return
        self.start = self.end = 0
        if len(self.data) > self.idle_limit:
            # Otherwise the capacity that one long message needed would be held until the connection ends.
            self.data = bytearray(max(self.initial_size, self.idle_limit))

    def compact(self) -> None:
        """Move the unread bytes to the front.

        The assigned slices have equal lengths, so the bytearray is not resized.
        """
        if self.start:
            unread_count = len(self)
            self.data[:unread_count] = self.data[self.start : self.end]
            self.start, self.end = 0, unread_count

    def write(self, data: bytes) -> None:
        """Append ``data`` as if it had been received from a socket."""
        offset = 0
        while offset < len(data):
            view = self.writable_view()
            count = min(len(view), len(data) - offset)
            view[:count] = data[offset : offset + count]
            del view
            self.commit(count)
            offset += count

    def take(self, count: int) -> bytes:
        """Consume ``count`` bytes and return them."""
        data = bytes(self.data[self.start : self.start + count])
        self.consume(count)
        return data

    def peek(self, count: int, offset: int = 0) -> bytes:
        """Return up to ``count`` unread bytes from ``offset`` on, without consuming them."""
        return bytes(self.data[self.start + offset : min(self.end, self.start + offset + count)])

    def find(self, pattern: bytes, offset: int = 0) -> int:
        """Return the offset of ``pattern`` among the unread bytes from ``offset`` on, or -1."""
        position = self.data.find(pattern, self.start + offset, self.end)
        return position if position < 0 else position - self.start

    def take_line(self, limit: int) -> bytes | None:
        """Consume the next line and return it without its CR LF, or None while it is incomplete.

        Args:
            limit: The longest permitted line in bytes.

        Raises:
            ValueError: The line is longer.
        """
        position = self.find(b"\r\n")
        if position > limit or (position < 0 and len(self) > limit + 1):
            raise ValueError("line too long")
        if position < 0:
            return None
        line = self.take(position)
        self.consume(2)
        return line
