"""Calls to the next tier through the local proxy: lines, some followed by a counted body."""

from __future__ import annotations

from collections.abc import Iterator
from typing import NamedTuple

from saltcart.wire.buffer import Buffer
from saltcart.wire.errors import Malformed

MAX_LINE, MAX_BODY = 1024, 16384
ENDS = (b"HIT", b"SHED", b"BROKEN", b"SLOW", b"NOBODY")


class Reply(NamedTuple):
    """How one call ended; the body comes with ``HIT`` alone."""

    ident: bytes
    end: bytes
    body: bytes


def get(ident: bytes, limit: float, body: bytes) -> bytes:
    """A call that is waited for ``limit`` seconds."""
    return b"GET %b %d %d\r\n%b\r\n" % (ident, max(1, round(limit * 1000)), len(body), body)


def stop(ident: bytes) -> bytes:
    return b"STOP %b\r\n" % ident


class ReplyParser:
    def __init__(self) -> None:
        self.head: tuple[bytes, int] | None = None  # of a HIT whose body is not whole yet

    def messages(self, buffer: Buffer) -> Iterator[Reply]:
        while True:
            if self.head is None:
                try:
                    text = buffer.line(MAX_LINE)
                except ValueError as error:
                    raise Malformed(str(error)) from None
                if text is None:
                    return
                words = text.split(b" ")
                if len(words) < 2 or words[1] not in ENDS:
                    raise Malformed("no such reply")
                if words[1] != b"HIT":
                    yield Reply(words[0], words[1], b"")
                    continue
                if len(words) != 3 or not words[2].isdigit() or not int(words[2][:9]) <= MAX_BODY:
                    raise Malformed("length")
                self.head = words[0], int(words[2])
            ident, length = self.head
            if len(buffer) < length + 2:
                return
            body = buffer.take(length)
            if buffer.take(2) != b"\r\n":
                raise Malformed("body without its end")
            self.head = None
            yield Reply(ident, b"HIT", body)
