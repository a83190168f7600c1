"""AJP/1.3, both halves: what a web server sends to a container, and what the container answers.

Packets to the container start with 0x1234, packets from it with ``AB``; then come a length and the payload.
"""

from __future__ import annotations

import hmac
from collections.abc import Iterable
from dataclasses import dataclass
from typing import NamedTuple

from saltcart.wire.buffer import Buffer
from saltcart.wire.errors import MalformedMessageError

MAX_PACKET, HEADER = 8192, 4
MAX_CHUNK = MAX_PACKET - HEADER - 4  # of a SEND_BODY_CHUNK: code, length and a closing zero
MAX_BODY_DATA_BYTES = MAX_PACKET - HEADER - 2  # of a body packet to the container
TO_CONTAINER, FROM_CONTAINER = b"\x12\x34", b"AB"

FORWARD_REQUEST, SHUTDOWN, PING, CPING = 2, 7, 8, 10
SEND_BODY_CHUNK, SEND_HEADERS, END_RESPONSE, GET_BODY_CHUNK, CPONG = 3, 4, 5, 6, 9

METHODS = (
    b"OPTIONS",
    b"GET",
    b"HEAD",
    b"POST",
    b"PUT",
    b"DELETE",
    b"TRACE",
    b"PROPFIND",
    b"PROPPATCH",
    b"MKCOL",
    b"COPY",
    b"MOVE",
    b"LOCK",
    b"UNLOCK",
    b"ACL",
    b"REPORT",
    b"VERSION-CONTROL",
    b"CHECKIN",
    b"CHECKOUT",
    b"UNCHECKOUT",
    b"SEARCH",
    b"MKWORKSPACE",
    b"UPDATE",
    b"LABEL",
    b"MERGE",
    b"BASELINE-CONTROL",
    b"MKACTIVITY",
)
STORED_METHOD = 0xFF
REQUEST_HEADERS = (
    b"accept",
    b"accept-charset",
    b"accept-encoding",
    b"accept-language",
    b"authorization",
    b"connection",
    b"content-type",
    b"content-length",
    b"cookie",
    b"cookie2",
    b"host",
    b"pragma",
    b"referer",
    b"user-agent",
)
RESPONSE_HEADERS = (
    b"content-type",
    b"content-language",
    b"content-length",
    b"date",
    b"last-modified",
    b"location",
    b"set-cookie",
    b"set-cookie2",
    b"servlet-engine",
    b"status",
    b"www-authenticate",
)
ATTRIBUTES = {
    1: "context",
    2: "servlet_path",
    3: "remote_user",
    4: "auth_type",
    5: "query_string",
    6: "jvm_route",
    7: "ssl_cert",
    8: "ssl_cipher",
    9: "ssl_session",
    12: "secret",
    13: "stored_method",
}
REQ_ATTRIBUTE, SSL_KEY_SIZE, ARE_DONE = 10, 11, 0xFF


# ---- primitives -------------------------------------------------------------------------------


class Payload:
    """Checked reading of one packet's payload."""

    def __init__(self, data: bytes) -> None:
        self.data, self.at = data, 0

    def raw(self, count: int) -> bytes:
        data = self.data[self.at : self.at + count]
        if len(data) != count:
            raise MalformedMessageError("payload too short")
        self.at += count
        return data

    def byte(self) -> int:
        return self.raw(1)[0]

    def integer(self) -> int:
        return int.from_bytes(self.raw(2), "big")

    def text(self, length: int | None = None) -> bytes:
        """A string; the null string reads as the empty one."""
        length = self.integer() if length is None else length
        if length == 0xFFFF:
            return b""
        data = self.raw(length)
        if self.byte() != 0 or b"\0" in data or b"\r" in data or b"\n" in data:
            raise MalformedMessageError("string")
        return data

    def name(self, coded: tuple[bytes, ...]) -> bytes:
        """A header's name in lower case, in full or as a code 0xA0nn."""
        word = self.integer()
        if word >> 8 != 0xA0:
            return self.text(word).lower()
        if not 0 < word & 0xFF <= len(coded):
            raise MalformedMessageError("header code")
        return coded[(word & 0xFF) - 1]


def encode_integer(value: int) -> bytes:
    return value.to_bytes(2, "big")


def encode_string(value: bytes) -> bytes:
    return encode_integer(len(value)) + value + b"\0"


def encode_packet(magic: bytes, payload: bytes) -> bytes:
    if len(payload) > MAX_PACKET - HEADER:
        raise ValueError("payload too long for a packet")
    return magic + encode_integer(len(payload)) + payload


def take_packet(buffer: Buffer, magic: bytes) -> bytes | None:
    """The next packet's payload, or None while it is incomplete."""
    if len(buffer) < HEADER:
        return None
    head = buffer.peek(HEADER)
    length = int.from_bytes(head[2:], "big")
    if head[:2] != magic or length > MAX_PACKET - HEADER:
        raise MalformedMessageError("packet header")
    if len(buffer) < HEADER + length:
        return None
    buffer.consume(HEADER)
    return buffer.take(length)


def encode_headers(headers: Iterable[tuple[bytes, bytes]], coded: tuple[bytes, ...]) -> bytes:
    out = []
    for name, value in headers:
        lower = name.lower()
        code = encode_integer(0xA001 + coded.index(lower)) if lower in coded else encode_string(name)
        out.append(code + encode_string(value))
    return encode_integer(len(out)) + b"".join(out)


# ---- the container's half ---------------------------------------------------------------------


@dataclass(slots=True)
class ForwardRequest:
    """One whole request; header names are in lower case."""

    method: bytes
    uri: bytes
    headers: dict[bytes, bytes]
    attributes: dict[str, bytes]
    body: bytes = b""


class CPing(NamedTuple):
    """CPing: answer with CPong."""


class GetBodyChunkPacket(NamedTuple):
    """To be sent at once: a GET_BODY_CHUNK."""

    data: bytes


def read_forward(p: Payload) -> ForwardRequest:
    method = p.byte()
    if method != STORED_METHOD and not 0 < method <= len(METHODS):
        raise MalformedMessageError("method")
    p.text()  # protocol
    uri = p.text()
    for _ in range(3):  # remote address, remote host, server name
        p.text()
    p.integer()  # server port
    p.byte()  # over TLS
    headers: dict[bytes, bytes] = {}
    for _ in range(p.integer()):
        name, value = p.name(REQUEST_HEADERS), p.text()
        if name in headers:
            if name == b"content-length":
                raise MalformedMessageError("repeated content-length")
            value = headers[name] + b", " + value
        headers[name] = value
    attributes: dict[str, bytes] = {}
    while (code := p.byte()) != ARE_DONE:
        if code == REQ_ATTRIBUTE:
            p.text(), p.text()
        elif code == SSL_KEY_SIZE:
            p.integer()
        elif code in ATTRIBUTES:
            attributes[ATTRIBUTES[code]] = p.text()
        else:
            raise MalformedMessageError("attribute")
    named = attributes.get("stored_method", b"") if method == STORED_METHOD else METHODS[method - 1]
    if not named or not uri.startswith(b"/"):
        raise MalformedMessageError("method or uri")
    return ForwardRequest(named, uri, headers, attributes)


class AjpRequestParser:
    """What the container reads: forward requests with their bodies, and pings.  A shutdown is ignored."""

    def __init__(self, max_body: int, secret: bytes = b"") -> None:
        self.max_body, self.secret = max_body, secret
        self.request: ForwardRequest | None = None  # its body is not whole yet
        self.length = 0  # of that body; -1 where it is not told
        self.body = bytearray()

    def next(self, buffer: Buffer) -> ForwardRequest | CPing | GetBodyChunkPacket | None:
        while (payload := take_packet(buffer, TO_CONTAINER)) is not None:
            message: ForwardRequest | GetBodyChunkPacket | None
            if self.request is not None:
                message = self._body(payload)
            elif not payload:
                raise MalformedMessageError("empty packet")
            elif payload[0] == CPING:
                return CPing()
            elif payload[0] in (SHUTDOWN, PING):
                continue
            elif payload[0] == FORWARD_REQUEST:
                message = self._forward(Payload(payload[1:]))
            else:
                raise MalformedMessageError("prefix code")
            if message is not None:
                return message
        return None

    def _forward(self, p: Payload) -> ForwardRequest | GetBodyChunkPacket | None:
        request = read_forward(p)
        if self.secret and not hmac.compare_digest(request.attributes.get("secret", b""), self.secret):
            raise MalformedMessageError("secret", 403)
        if b"content-length" in request.headers and b"transfer-encoding" in request.headers:
            raise MalformedMessageError("two lengths at once")  # they may hide a second request in the body
        length = request.headers.get(b"content-length", b"0")
        if not length.isdigit() or len(length) > 9:
            raise MalformedMessageError("content-length")
        if int(length) > self.max_body:
            raise MalformedMessageError("body too long", 413)
        untold = b"content-length" not in request.headers and b"transfer-encoding" in request.headers
        if not untold and not int(length):
            return request
        self.request, self.length, self.body = request, -1 if untold else int(length), bytearray()
        # With a told length the first packet comes unasked; else nothing comes before it is asked for.
        return GetBodyChunkPacket(encode_get_body_chunk(self.max_body)) if untold else None

    def _body(self, payload: bytes) -> ForwardRequest | GetBodyChunkPacket:
        assert self.request is not None
        data = b""
        if payload:
            p = Payload(payload)
            data = p.raw(p.integer())
            if p.at != len(payload):
                raise MalformedMessageError("body packet")
        self.body += data
        if len(self.body) > (self.max_body if self.length < 0 else self.length):
            raise MalformedMessageError("body too long", 413)
        if len(self.body) == self.length or (self.length < 0 and not data):
            request, self.request = self.request, None
            request.body = bytes(self.body)
            return request
        if not data:
            raise MalformedMessageError("body cut short")
        left = self.max_body if self.length < 0 else self.length - len(self.body)
        return GetBodyChunkPacket(encode_get_body_chunk(left))


def encode_get_body_chunk(count: int) -> bytes:
    return encode_packet(
        FROM_CONTAINER, bytes((GET_BODY_CHUNK,)) + encode_integer(min(count, MAX_BODY_DATA_BYTES))
    )


def encode_response(
    status: int, reason: bytes, headers: Iterable[tuple[bytes, bytes]], body: bytes, reuse: bool
) -> bytes:
    """One answer as packets: the headers, the body in chunks, the end."""
    fields = [*headers, (b"Content-Length", b"%d" % len(body))]
    out = [
        encode_packet(
            FROM_CONTAINER,
            bytes((SEND_HEADERS,))
            + encode_integer(status)
            + encode_string(reason)
            + encode_headers(fields, RESPONSE_HEADERS),
        )
    ]
    out += [
        encode_packet(FROM_CONTAINER, bytes((SEND_BODY_CHUNK,)) + encode_string(body[at : at + MAX_CHUNK]))
        for at in range(0, len(body), MAX_CHUNK)
    ]
    out.append(encode_packet(FROM_CONTAINER, bytes((END_RESPONSE, reuse))))
    return b"".join(out)


CPONG_PACKET = encode_packet(FROM_CONTAINER, bytes((CPONG,)))


# ---- the web server's half --------------------------------------------------------------------


@dataclass(slots=True)
class AjpResponse:
    """One whole answer of a container."""

    status: int
    headers: dict[bytes, bytes]
    body: bytes
    reuse: bool


class CPong(NamedTuple):
    """The container is there."""


class GetBodyChunk(NamedTuple):
    """The container asks for more of the body."""

    size: int


CPING_PACKET = encode_packet(TO_CONTAINER, bytes((CPING,)))


def encode_forward_request(
    method: bytes,
    uri: bytes,
    headers: Iterable[tuple[bytes, bytes]],
    host: bytes,
    port: int,
    secret: bytes = b"",
) -> bytes:
    if method in METHODS:
        code, stored = METHODS.index(method) + 1, b""
    else:
        code, stored = STORED_METHOD, b"\x0d" + encode_string(method)
    return encode_packet(
        TO_CONTAINER,
        b"".join(
            (
                bytes((FORWARD_REQUEST, code)),
                encode_string(b"HTTP/1.1"),
                encode_string(uri),
                encode_string(b"127.0.0.1"),
                encode_string(b"127.0.0.1"),
                encode_string(host),
                encode_integer(port),
                b"\0",
                encode_headers(headers, REQUEST_HEADERS),
                stored,
                b"\x0c" + encode_string(secret) if secret else b"",
                bytes((ARE_DONE,)),
            )
        ),
    )


def encode_body_packet(data: bytes) -> bytes:
    """A part of the body; an empty one ends it."""
    return encode_packet(TO_CONTAINER, encode_integer(len(data)) + data if data else b"")


class AjpResponseParser:
    """What the web server reads."""

    def __init__(self, max_body: int) -> None:
        self.max_body = max_body
        self.head: tuple[int, dict[bytes, bytes]] | None = None
        self.body = bytearray()

    def next(self, buffer: Buffer) -> AjpResponse | CPong | GetBodyChunk | None:
        while (payload := take_packet(buffer, FROM_CONTAINER)) is not None:
            p = Payload(payload)
            code = p.byte()
            if code == CPONG:
                return CPong()
            if code == GET_BODY_CHUNK:
                return GetBodyChunk(p.integer())
            if code == SEND_HEADERS and self.head is None:
                status = p.integer()
                p.text()
                self.head = status, {p.name(RESPONSE_HEADERS): p.text() for _ in range(p.integer())}
                self.body = bytearray()
            elif code == SEND_BODY_CHUNK and self.head is not None:
                self.body += p.raw(p.integer())  # the closing zero is optional
                if len(self.body) > self.max_body:
                    raise MalformedMessageError("body too long")
            elif code == END_RESPONSE and self.head is not None:
                (status, headers), self.head = self.head, None
                told = headers.get(b"content-length")
                if told is not None and told != b"%d" % len(self.body):
                    raise MalformedMessageError("body cut short")  # an answer that is not whole is none
                return AjpResponse(status, headers, bytes(self.body), p.byte() == 1)
            else:
                raise MalformedMessageError("prefix code")
        return None
