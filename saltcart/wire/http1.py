"""HTTP/1.1 as far as the service needs it: requests in, answers out, and the client's half for reports."""

from __future__ import annotations

import re
from dataclasses import dataclass

from saltcart.wire.buffer import Buffer
from saltcart.wire.errors import MalformedMessageError

MAX_HEAD, MAX_HEADERS = 8192, 64
TOKEN = re.compile(rb"[!#$%&'*+.^_`|~0-9A-Za-z-]+\Z")
STATUS = re.compile(rb"[1-5][0-9][0-9]\Z")
DIGITS = re.compile(rb"[0-9]{1,9}\Z")
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
    """One whole request; header names are in lower case."""

    method: bytes
    target: bytes
    headers: dict[bytes, bytes]
    body: bytes
    keep_alive: bool


@dataclass(slots=True)
class HttpResponse:
    """One whole response, as the client's half reads it."""

    status: int
    headers: dict[bytes, bytes]
    body: bytes
    keep_alive: bool


def read_headers(lines: list[bytes]) -> dict[bytes, bytes]:
    """Header fields by lower-case name; what repeats is joined by a comma, except where that would lie."""
    if len(lines) > MAX_HEADERS:
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


def keeps_alive(version: bytes, headers: dict[bytes, bytes]) -> bool:
    options = {o.strip().lower() for o in headers.get(b"connection", b"").split(b",")}
    return b"close" not in options and (version == b"HTTP/1.1" or b"keep-alive" in options)


def body_length(headers: dict[bytes, bytes], limit: int) -> int:
    if b"transfer-encoding" in headers:
        # Both lengths at once may hide a second request in the first one's body (RFC 9112, 6.1).
        raise MalformedMessageError("transfer coding", 400 if b"content-length" in headers else 501)
    text = headers.get(b"content-length", b"0")
    if not DIGITS.match(text):
        raise MalformedMessageError("content-length")
    if int(text) > limit:
        raise MalformedMessageError("body too long", 413)
    return int(text)


class HttpParser:
    """Reads messages off a buffer; a message is yielded when its last byte is there."""

    def __init__(self, max_body: int) -> None:
        self.max_body, self.searched = max_body, 0
        self.head: tuple[list[bytes], dict[bytes, bytes]] | None = None
        self.length, self.raw = 0, b""  # of the head that was read, until its body is here

    def _message(self, buffer: Buffer) -> tuple[list[bytes], dict[bytes, bytes], bytes] | None:
        if self.head is None:
            at = buffer.find(b"\r\n\r\n", self.searched)
            if at > MAX_HEAD or (at < 0 and len(buffer) > MAX_HEAD):
                raise MalformedMessageError("head too long", 431)
            if at < 0:
                self.searched = max(0, len(buffer) - 3)
                return None
            self.raw = buffer.take(at + 4)
            first, *lines = self.raw[:-4].split(b"\r\n")
            self.searched = 0
            headers = read_headers(lines)
            self.length = body_length(headers, self.max_body)
            self.head = first.split(b" "), headers
        if len(buffer) < self.length:
            return None
        (first_line, headers), self.head, self.raw = self.head, None, b""
        return first_line, headers, buffer.take(self.length)


class HttpRequestParser(HttpParser):
    """The server's half."""

    def next(self, buffer: Buffer) -> HttpRequest | None:
        """The next whole request, or None while there is none.

        ``MalformedMessageError`` ends the connection.
        """
        while self.head is None and buffer.peek(2) == b"\r\n":  # empty lines before a request are ignored
            buffer.consume(2)
        message = self._message(buffer)
        if message is None:
            return None
        first, headers, body = message
        if len(first) != 3 or not TOKEN.match(first[0]) or not first[1].startswith(b"/"):
            raise MalformedMessageError("request line")
        if first[2] not in (b"HTTP/1.1", b"HTTP/1.0"):
            raise MalformedMessageError("version", 505)
        return HttpRequest(first[0], first[1], headers, body, keeps_alive(first[2], headers))


class HttpResponseParser(HttpParser):
    """The client's half."""

    def next(self, buffer: Buffer) -> HttpResponse | None:
        message = self._message(buffer)
        if message is None:
            return None
        first, headers, body = message
        if len(first) < 2 or first[0] not in (b"HTTP/1.1", b"HTTP/1.0") or not STATUS.match(first[1]):
            raise MalformedMessageError("status line")
        return HttpResponse(int(first[1]), headers, body, keeps_alive(first[0], headers))


def encode_response(
    status: int, body: bytes = b"", headers: tuple[tuple[str, str], ...] = (), close: bool = False
) -> bytes:
    """One answer as bytes."""
    extra = "".join(f"{name}: {value}\r\n" for name, value in headers)
    length = b"" if status == 204 else b"Content-Length: %d\r\n" % len(body)
    return b"HTTP/1.1 %d %b\r\n%b%b%b\r\n%b" % (
        status,
        REASON_PHRASES.get(status, b"Unknown"),
        extra.encode("latin-1"),
        length,
        b"Connection: close\r\n" if close else b"",
        body,
    )


def encode_request(method: str, target: str, host: str, body: bytes) -> bytes:
    return b"%b %b HTTP/1.1\r\nHost: %b\r\nContent-Length: %d\r\n\r\n%b" % (
        method.encode(),
        target.encode(),
        host.encode(),
        len(body),
        body,
    )
