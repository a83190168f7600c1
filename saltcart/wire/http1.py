"""HTTP/1.1 messages and parsers, as far as the service needs them.

The server's side is used by the HTTP front and the administration API, the client's side for reports to the
announce service.
"""

from __future__ import annotations

import re
from dataclasses import dataclass
from typing import NamedTuple

from saltcart.wire.buffer import Buffer
from saltcart.wire.errors import MalformedMessageError

MAX_HEAD_BYTES, MAX_HEADER_COUNT = 8192, 64
TOKEN = re.compile(rb"[!#$%&'*+.^_`|~0-9A-Za-z-]+\Z")
STATUS_CODE = re.compile(rb"[1-5][0-9][0-9]\Z")
LENGTH = re.compile(rb"[0-9]{1,9}\Z")
REASON_PHRASES = {
    200: b"OK",
    201: b"Created",
    204: b"No Content",
    400: b"Bad Request",
    401: b"Unauthorized",
    403: b"Forbidden",
    404: b"Not Found",
    405: b"Method Not Allowed",
    408: b"Request Timeout",
    409: b"Conflict",
    411: b"Length Required",
    413: b"Content Too Large",
    415: b"Unsupported Media Type",
    422: b"Unprocessable Content",
    431: b"Request Header Fields Too Large",
    500: b"Internal Server Error",
    501: b"Not Implemented",
    503: b"Service Unavailable",
    505: b"HTTP Version Not Supported",
}


@dataclass(slots=True)
class HttpRequest:
    """One complete request; header names are in lower case."""

    method: bytes
    target: bytes
    headers: dict[bytes, bytes]
    body: bytes
    keep_alive: bool  # whether the client permits further requests on the connection


@dataclass(slots=True)
class HttpResponse:
    """One complete response, as parsed by a client; header names are in lower case."""

    status: int
    headers: dict[bytes, bytes]
    body: bytes
    keep_alive: bool  # whether the server permits further requests on the connection


def parse_headers(lines: list[bytes]) -> dict[bytes, bytes]:
    """Return header values by lower-case name.

    The values of a repeated header are joined by commas. Content-Length, Host and Transfer-Encoding must
    not be repeated, since a joined value would misrepresent the message.

    Raises:
        MalformedMessageError: A header is malformed, one of those three is repeated, or there are too many.
    """
    if len(lines) > MAX_HEADER_COUNT:
        raise MalformedMessageError("too many header fields", 431)
    headers: dict[bytes, bytes] = {}
    for line in lines:
        name, colon, value = line.partition(b":")
        if not colon or not TOKEN.match(name) or b"\r" in value or b"\n" in value or b"\0" in value:
            raise MalformedMessageError("header field")
        name, value = name.lower(), value.strip(b" \t")
        if name in headers:
            if name in (b"content-length", b"host", b"transfer-encoding"):
                raise MalformedMessageError(f"repeated {name.decode()}")
            value = headers[name] + b", " + value
        headers[name] = value
    return headers


def is_keep_alive(version: bytes, headers: dict[bytes, bytes]) -> bool:
    """Return whether the connection persists after a message of this HTTP version with these headers."""
    options = {option.strip().lower() for option in headers.get(b"connection", b"").split(b",")}
    return b"close" not in options and (version == b"HTTP/1.1" or b"keep-alive" in options)


def parse_body_length(headers: dict[bytes, bytes], limit: int) -> int:
    """Return the length of a message's body in bytes.

    Raises:
        MalformedMessageError: The body has a transfer coding, a malformed length, or a length over the limit.
    """
    if b"transfer-encoding" in headers:
        # Two body lengths may hide a second request in the first one's body (smuggling; RFC 9112, 6.1).
        raise MalformedMessageError("transfer coding", 400 if b"content-length" in headers else 501)
    text = headers.get(b"content-length", b"0")
    if not LENGTH.match(text):
        raise MalformedMessageError("content-length")
    if int(text) > limit:
        raise MalformedMessageError("body too long", 413)
    return int(text)


class MessageHead(NamedTuple):
    """The words of a message's first line, and its headers by lower-case name."""

    words: list[bytes]
    headers: dict[bytes, bytes]


def parse_head(raw_head: bytes) -> MessageHead:
    """Parse a head, with or without the empty line that ends it.

    Raises:
        MalformedMessageError: A header is malformed, or there are too many.
    """
    first_line, *lines = raw_head.removesuffix(b"\r\n\r\n").split(b"\r\n")
    return MessageHead(first_line.split(b" "), parse_headers(lines))


def check_request_line(words: list[bytes]) -> None:
    """Check the method and the target of a request line, given by its words.

    Raises:
        MalformedMessageError: The line has another form.
    """
    if len(words) != 3 or not TOKEN.match(words[0]) or not words[1].startswith(b"/"):
        raise MalformedMessageError("request line")


def path_of(words: list[bytes]) -> bytes:
    """Return the path that a request line names, without its query.

    Raises:
        MalformedMessageError: The line has another form.
    """
    check_request_line(words)
    return words[1].partition(b"?")[0]


class HttpParser:
    """Splits received bytes into messages; a message is returned once its last byte has arrived."""

    def __init__(self, max_body_bytes: int) -> None:
        """Create a parser for one connection; messages with bodies over the limit are malformed."""
        self.max_body_bytes = max_body_bytes
        self.searched_bytes = 0  # for the end of the head
        # Of a message whose body is incomplete.  It stays in the buffer, because its parsed headers would use
        # several times its memory; its head is parsed again when the body is complete.
        self.head_length = self.body_length = 0

    def _find_head(self, buffer: Buffer) -> int | None:
        """Return the length of the head that begins the unread bytes; None while it is incomplete."""
        position = buffer.find(b"\r\n\r\n", self.searched_bytes)
        if position > MAX_HEAD_BYTES or (position < 0 and len(buffer) > MAX_HEAD_BYTES):
            raise MalformedMessageError("head too long", 431)
        if position < 0:
            self.searched_bytes = max(0, len(buffer) - 3)
            return None
        return position + 4

    def _take_message(self, buffer: Buffer) -> tuple[MessageHead, bytes] | None:
        """Consume the next message; return its head and its body, or None while it is incomplete."""
        head = None if self.head_length else self._check_head(buffer)
        if not self.head_length or len(buffer) < self.head_length + self.body_length:
            return None
        if head is None:
            head = parse_head(buffer.peek(self.head_length))
        buffer.consume(self.head_length)
        self.head_length = self.searched_bytes = 0
        return head, buffer.take(self.body_length)

    def _check_head(self, buffer: Buffer) -> MessageHead | None:
        """Return the head of the next message, whose lengths are then known; None while it is incomplete."""
        length = self._find_head(buffer)
        if length is None:
            return None
        head = parse_head(buffer.peek(length))
        self.body_length = parse_body_length(head.headers, self.max_body_bytes)
        self.head_length = length
        return head


class HttpRequestParser(HttpParser):
    """Parses the requests that a server receives."""

    def _skip_empty_lines(self, buffer: Buffer) -> None:
        """Drop empty lines before a request, which are ignored."""
        while not self.head_length and buffer.peek(2) == b"\r\n":
            buffer.consume(2)

    def peek_first_line(self, buffer: Buffer) -> list[bytes] | None:
        """Return the words of the next request's first line, which stays unread; None while it is incomplete.

        Raises:
            MalformedMessageError: The head is too long.
        """
        self._skip_empty_lines(buffer)
        end = buffer.find(b"\r\n")
        if end < 0:
            self._find_head(buffer)
            return None
        return buffer.peek(end).split(b" ")

    def peek_head(self, buffer: Buffer) -> MessageHead | None:
        """Return the head of the next request, which stays unread; None while it is incomplete.

        Raises:
            MalformedMessageError: The head is malformed or too long.
        """
        self._skip_empty_lines(buffer)
        length = self._find_head(buffer)
        return None if length is None else parse_head(buffer.peek(length))

    def next(self, buffer: Buffer) -> HttpRequest | None:
        """Return the next request, or None while none is complete.

        Raises:
            MalformedMessageError: The data is malformed; the parser must not be used again.
        """
        self._skip_empty_lines(buffer)
        message = self._take_message(buffer)
        if message is None:
            return None
        (words, headers), body = message
        check_request_line(words)
        if words[2] not in (b"HTTP/1.1", b"HTTP/1.0"):
            raise MalformedMessageError("version", 505)
        return HttpRequest(words[0], words[1], headers, body, is_keep_alive(words[2], headers))


class HttpResponseParser(HttpParser):
    """Parses the responses that a client receives."""

    def next(self, buffer: Buffer) -> HttpResponse | None:
        """Return the next response, or None while none is complete.

        Raises:
            MalformedMessageError: The data is malformed; the parser must not be used again.
        """
        message = self._take_message(buffer)
        if message is None:
            return None
        (words, headers), body = message
        if len(words) < 2 or words[0] not in (b"HTTP/1.1", b"HTTP/1.0") or not STATUS_CODE.match(words[1]):
            raise MalformedMessageError("malformed status line")
        return HttpResponse(int(words[1]), headers, body, is_keep_alive(words[0], headers))


def encode_response(
    status: int, body: bytes = b"", headers: tuple[tuple[str, str], ...] = (), close: bool = False
) -> bytes:
    """Encode one response.

    Args:
        status: The status code; 204 gets no Content-Length.
        body: The complete body.
        headers: Further headers; Content-Length and Connection are added.
        close: Whether the response announces that the server closes the connection.
    """
    header_lines = "".join(f"{name}: {value}\r\n" for name, value in headers)
    content_length = b"" if status == 204 else b"Content-Length: %d\r\n" % len(body)
    return b"HTTP/1.1 %d %b\r\n%b%b%b\r\n%b" % (
        status,
        REASON_PHRASES.get(status, b"Unknown"),
        header_lines.encode("latin-1"),
        content_length,
        b"Connection: close\r\n" if close else b"",
        body,
    )


def encode_request(method: str, target: str, host: str, body: bytes) -> bytes:
    """Encode one request with its Host and Content-Length headers."""
    return b"%b %b HTTP/1.1\r\nHost: %b\r\nContent-Length: %d\r\n\r\n%b" % (
        method.encode(),
        target.encode(),
        host.encode(),
        len(body),
        body,
    )
