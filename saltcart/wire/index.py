"""Calls to the next tier through the local proxy: lines, some followed by a counted body."""

from __future__ import annotations

from collections.abc import Iterator
from typing import NamedTuple

from saltcart.wire.buffer import Buffer
from saltcart.wire.errors import MalformedMessageError
from saltcart.wire.lines import LineReader, parse_number

ENDS = (b"HIT", b"SHED", b"BROKEN", b"SLOW", b"NOBODY")


class Reply(NamedTuple):
    """How one call ended; the body comes with ``HIT`` alone."""

    request_id: bytes
    status: bytes
    body: bytes


def encode_get(ident: bytes, limit: float, body: bytes) -> bytes:
    """A call that is waited for ``limit`` seconds."""
    return b"GET %b %d %d\r\n%b\r\n" % (ident, max(1, round(limit * 1000)), len(body), body)


def encode_stop(ident: bytes) -> bytes:
    return b"STOP %b\r\n" % ident


class ReplyParser:
    def __init__(self) -> None:
        self.reader = LineReader(self._length)

    @staticmethod
    def _length(words: list[bytes]) -> int | None:
        if len(words) < 2 or words[1] not in ENDS:
            raise MalformedMessageError("no such reply")
        return parse_number(words, 2) if words[1] == b"HIT" else None

    def has_partial_reply(self, buffer: Buffer) -> bool:
        """Whether a reply has begun and is not whole."""
        return self.reader.words is not None or len(buffer) > 0

    def messages(self, buffer: Buffer) -> Iterator[Reply]:
        while (found := self.reader.next(buffer)) is not None:
            words, body = found
            yield Reply(words[0], words[1], body)
