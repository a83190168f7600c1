"""Calls to the index through its local proxy: lines of words, some followed by a body of stated length."""

from __future__ import annotations

from collections.abc import Iterator
from typing import NamedTuple

from saltcart.wire.buffer import Buffer
from saltcart.wire.errors import MalformedMessageError
from saltcart.wire.lines import LineReader, parse_number

REPLY_STATUSES = (b"HIT", b"SHED", b"BROKEN", b"SLOW", b"NOBODY")


class Reply(NamedTuple):
    """The result of one call."""

    request_id: bytes
    status: bytes  # one of ``REPLY_STATUSES``
    body: bytes  # empty unless the status is HIT


def encode_get(request_id: bytes, timeout: float, body: bytes) -> bytes:
    """Encode a call.

    Args:
        request_id: The request that the call is made for.
        timeout: Seconds until the proxy gives the call up.
        body: The body of the call.
    """
    return b"GET %b %d %d\r\n%b\r\n" % (request_id, max(1, round(timeout * 1000)), len(body), body)


def encode_stop(request_id: bytes) -> bytes:
    """Encode the cancellation of a request's call."""
    return b"STOP %b\r\n" % request_id


class ReplyParser:
    """Parses the proxy's replies."""

    def __init__(self) -> None:
        self.reader = LineReader(self._body_length)

    @staticmethod
    def _body_length(words: list[bytes]) -> int | None:
        if len(words) < 2 or words[1] not in REPLY_STATUSES:
            raise MalformedMessageError("unknown reply status")
        return parse_number(words, 2) if words[1] == b"HIT" else None

    def has_partial_reply(self, buffer: Buffer) -> bool:
        """Return whether a reply has begun to arrive and is incomplete."""
        return self.reader.words is not None or len(buffer) > 0

    def messages(self, buffer: Buffer) -> Iterator[Reply]:
        """Yield the complete replies.

        Raises:
            MalformedMessageError: The data is malformed; the parser must not be used again.
        """
        while (found := self.reader.next(buffer)) is not None:
            words, body = found
            yield Reply(words[0], words[1], body)
