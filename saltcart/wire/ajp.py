"""AJP/1.3 messages and parsers for both sides: the web server, which forwards requests, and the container.

Packets to the container start with 0x1234, packets from it with ``AB``; the length and the payload follow.
"""

from __future__ import annotations

import hmac
from collections.abc import Iterable
from dataclasses import dataclass
from typing import NamedTuple

from saltcart.wire.buffer import Buffer
from saltcart.wire.errors import MalformedMessageError

MAX_PACKET_BYTES, HEADER_BYTES = 8192, 4
MAX_HEADER_COUNT = 64  # of a request
# In a SEND_BODY_CHUNK packet: the payload also holds the code, the length and a closing zero byte.
MAX_CHUNK_BYTES = MAX_PACKET_BYTES - HEADER_BYTES - 4
# In a body packet to the container: the payload also holds the length.
MAX_BODY_DATA_BYTES = MAX_PACKET_BYTES - HEADER_BYTES - 2
TO_CONTAINER, FROM_CONTAINER = b"\x12\x34", b"AB"  # the first two bytes of a packet

# Prefix codes: the first byte of a payload, except in a body packet.
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
STORED_METHOD = 0xFF  # the method is sent as the stored_method attribute instead
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
REQ_ATTRIBUTE, SSL_KEY_SIZE, REQUEST_TERMINATOR = 10, 11, 0xFF


# ---- encoding and decoding --------------------------------------------------------------------


class PayloadReader:
    """Reads the fields of one packet's payload and checks them."""

    def __init__(self, data: bytes) -> None:
        self.data, self.position = data, 0

    def read_bytes(self, count: int) -> bytes:
        """Read ``count`` bytes.

        Raises:
            MalformedMessageError: The payload has fewer bytes left.
        """
        data = self.data[self.position : self.position + count]
        if len(data) != count:
            raise MalformedMessageError("payload too short")
        self.position += count
        return data

    def read_byte(self) -> int:
        """Read an integer of one byte."""
        return self.read_bytes(1)[0]

    def read_integer(self) -> int:
        """Read an integer of two bytes."""
        return int.from_bytes(self.read_bytes(2), "big")

    def read_string(self, length: int | None = None) -> bytes:
        """Read a string; the null string (length 0xFFFF) is read as an empty one.

        Args:
            length: Bytes of the string, if its length field was read already.

        Raises:
            MalformedMessageError: The closing zero byte is missing, or the string holds a zero, CR or LF.
        """
        length = self.read_integer() if length is None else length
        if length == 0xFFFF:
            return b""
        data = self.read_bytes(length)
        if self.read_byte() != 0 or b"\0" in data or b"\r" in data or b"\n" in data:
            raise MalformedMessageError("string")
        return data

    def read_header_name(self, coded_names: tuple[bytes, ...]) -> bytes:
        """Read a header name, given as a string or as a code 0xA0nn; return it in lower case.

        Args:
            coded_names: The names that have a code, from code 0xA001 on.
        """
        code_or_length = self.read_integer()
        if code_or_length >> 8 != 0xA0:
            return self.read_string(code_or_length).lower()
        if not 0 < code_or_length & 0xFF <= len(coded_names):
            raise MalformedMessageError("header code")
        return coded_names[(code_or_length & 0xFF) - 1]


def encode_integer(value: int) -> bytes:
    """Encode an integer as two bytes."""
    return value.to_bytes(2, "big")


def encode_string(value: bytes) -> bytes:
    """Encode a string with its length and the closing zero byte."""
    return encode_integer(len(value)) + value + b"\0"


def encode_packet(magic: bytes, payload: bytes) -> bytes:
    """Encode a packet.

    Args:
        magic: ``TO_CONTAINER`` or ``FROM_CONTAINER``.
        payload: The prefix code and the fields, or the data of a body packet.

    Raises:
        ValueError: The payload exceeds the packet size.
    """
    if len(payload) > MAX_PACKET_BYTES - HEADER_BYTES:
        raise ValueError("payload too long for a packet")
    return magic + encode_integer(len(payload)) + payload


def peek_packet(buffer: Buffer, magic: bytes) -> bytes | None:
    """Return the payload of the next packet, which stays unread, or None while the packet is incomplete.

    Raises:
        MalformedMessageError: The packet starts with other bytes than ``magic``, or is too long.
    """
    if len(buffer) < HEADER_BYTES:
        return None
    header = buffer.peek(HEADER_BYTES)
    length = int.from_bytes(header[2:], "big")
    if header[:2] != magic or length > MAX_PACKET_BYTES - HEADER_BYTES:
        raise MalformedMessageError("packet header")
    if len(buffer) < HEADER_BYTES + length:
        return None
    return buffer.peek(length, HEADER_BYTES)


def take_packet(buffer: Buffer, magic: bytes) -> bytes | None:
    """Consume the next packet and return its payload, or None while the packet is incomplete.

    Raises:
        MalformedMessageError: The packet starts with other bytes than ``magic``, or is too long.
    """
    payload = peek_packet(buffer, magic)
    if payload is not None:
        buffer.consume(HEADER_BYTES + len(payload))
    return payload


def encode_headers(headers: Iterable[tuple[bytes, bytes]], coded_names: tuple[bytes, ...]) -> bytes:
    """Encode the header count and the headers; names in ``coded_names`` are replaced by their codes."""
    encoded = []
    for name, value in headers:
        lower_name = name.lower()
        encoded_name = (
            encode_integer(0xA001 + coded_names.index(lower_name))
            if lower_name in coded_names
            else encode_string(name)
        )
        encoded.append(encoded_name + encode_string(value))
    return encode_integer(len(encoded)) + b"".join(encoded)


# ---- the container's side ---------------------------------------------------------------------


@dataclass(slots=True)
class ForwardRequest:
    """One complete request; header names are in lower case."""

    method: bytes
    uri: bytes
    headers: dict[bytes, bytes]
    attributes: dict[str, bytes]
    body: bytes = b""


class CPing(NamedTuple):
    """A connection check, to be answered with ``CPONG_PACKET``."""


class GetBodyChunkPacket(NamedTuple):
    """An encoded GET_BODY_CHUNK packet, to be sent at once so that the web server sends more of the body."""

    data: bytes


def read_request_headers(reader: PayloadReader) -> dict[bytes, bytes]:
    """Read the headers of a FORWARD_REQUEST; the values of a repeated header are joined by commas.

    Raises:
        MalformedMessageError: A header is malformed, Content-Length is repeated, or there are too many.
    """
    header_count = reader.read_integer()
    if header_count > MAX_HEADER_COUNT:
        raise MalformedMessageError("too many header fields", 431)
    headers: dict[bytes, bytes] = {}
    for _ in range(header_count):
        name = reader.read_header_name(REQUEST_HEADERS)
        value = reader.read_string()
        if name in headers:
            if name == b"content-length":
                raise MalformedMessageError("repeated content-length")
            value = headers[name] + b", " + value
        headers[name] = value
    return headers


def read_forward_request(reader: PayloadReader) -> ForwardRequest:
    """Read a FORWARD_REQUEST payload after its prefix code; the request is returned without its body.

    Raises:
        MalformedMessageError: A field is malformed or unknown, Content-Length is repeated, or there are too
            many headers.
    """
    method = reader.read_byte()
    if method != STORED_METHOD and not 0 < method <= len(METHODS):
        raise MalformedMessageError("method")
    reader.read_string()  # protocol
    uri = reader.read_string()
    for _ in range(3):  # remote address, remote host, server name
        reader.read_string()
    reader.read_integer()  # server port
    reader.read_byte()  # whether the client uses TLS
    headers = read_request_headers(reader)
    attributes: dict[str, bytes] = {}
    while (code := reader.read_byte()) != REQUEST_TERMINATOR:
        if code == REQ_ATTRIBUTE:
            reader.read_string(), reader.read_string()
        elif code == SSL_KEY_SIZE:
            reader.read_integer()
        elif code in ATTRIBUTES:
            attributes[ATTRIBUTES[code]] = reader.read_string()
        else:
            raise MalformedMessageError("attribute")
    method_name = attributes.get("stored_method", b"") if method == STORED_METHOD else METHODS[method - 1]
    if not method_name or not uri.startswith(b"/"):
        raise MalformedMessageError("method or uri")
    return ForwardRequest(method_name, uri, headers, attributes)


class AjpRequestParser:
    """Parses what a container receives: requests with their bodies, and CPings.

    SHUTDOWN and PING packets are ignored.
    """

    def __init__(self, max_body_bytes: int, secret: bytes = b"") -> None:
        """Create a parser for one connection.

        Args:
            max_body_bytes: Requests with longer bodies are malformed (status 413).
            secret: If not empty, requests that do not carry it are malformed (status 403).
        """
        self.max_body_bytes, self.secret = max_body_bytes, secret
        # The payload of a request whose body has not arrived completely, and its fields.  These use several
        # times its memory, so they are not kept while the body is awaited, but read again.
        self.incomplete_request: bytes | None = None
        self.incomplete_fields: ForwardRequest | None = None
        self.body_length = 0  # bytes, of the incomplete request; -1 if the request does not state a length
        self.body = bytearray()

    def next(self, buffer: Buffer) -> ForwardRequest | CPing | GetBodyChunkPacket | None:
        """Return the next message, or a packet that must be sent; None while neither is available.

        Raises:
            MalformedMessageError: The data is malformed; the parser must not be used again.
        """
        message = self._next_message(buffer)
        if message is None:
            self.incomplete_fields = None
        return message

    def _next_message(self, buffer: Buffer) -> ForwardRequest | CPing | GetBodyChunkPacket | None:
        while (payload := take_packet(buffer, TO_CONTAINER)) is not None:
            message: ForwardRequest | GetBodyChunkPacket | None
            if self.incomplete_request is not None:
                message = self._read_body_packet(payload)
            elif not payload:
                raise MalformedMessageError("empty packet")
            elif payload[0] == CPING:
                return CPing()
            elif payload[0] in (SHUTDOWN, PING):
                continue
            elif payload[0] == FORWARD_REQUEST:
                message = self._start_request(payload)
            else:
                raise MalformedMessageError("prefix code")
            if message is not None:
                return message
        return None

    def peek_request(self, buffer: Buffer) -> ForwardRequest | None:
        """Return the next request without its body, which stays unread; None while it is incomplete.

        Raises:
            MalformedMessageError: The data is malformed, or no request.
        """
        while (payload := peek_packet(buffer, TO_CONTAINER)) is not None:
            if payload[:1] == bytes((FORWARD_REQUEST,)):
                return self._read_request(payload)
            if payload[:1] not in (bytes((SHUTDOWN,)), bytes((PING,))):
                raise MalformedMessageError("prefix code")
            take_packet(buffer, TO_CONTAINER)
        return None

    def _read_request(self, payload: bytes) -> ForwardRequest:
        """Read a request without its body, and check its secret."""
        request = read_forward_request(PayloadReader(payload[1:]))
        if self.secret and not hmac.compare_digest(request.attributes.get("secret", b""), self.secret):
            raise MalformedMessageError("secret", 403)
        return request

    def discard(self) -> None:
        """Drop the incomplete request."""
        self.incomplete_request = self.incomplete_fields = None
        self.body = bytearray()

    def held_bytes(self) -> int:
        """Return the size of the incomplete request so far, which is no longer in the buffer."""
        return 0 if self.incomplete_request is None else len(self.incomplete_request) + len(self.body)

    def _start_request(self, payload: bytes) -> ForwardRequest | GetBodyChunkPacket | None:
        request = self._read_request(payload)
        if b"content-length" in request.headers and b"transfer-encoding" in request.headers:
            # Two conflicting body lengths could hide a second request in the body (request smuggling).
            raise MalformedMessageError("two lengths at once")
        length = request.headers.get(b"content-length", b"0")
        if not length.isdigit() or len(length) > 9:
            raise MalformedMessageError("content-length")
        if int(length) > self.max_body_bytes:
            raise MalformedMessageError("body too long", 413)
        is_unknown_length = (
            b"content-length" not in request.headers and b"transfer-encoding" in request.headers
        )
        if not is_unknown_length and not int(length):
            return request
        self.incomplete_request = payload
        self.incomplete_fields = request
        self.body_length = -1 if is_unknown_length else int(length)
        self.body = bytearray()
        # If the length is known, the web server sends the first body packet without GET_BODY_CHUNK;
        # otherwise it sends none before it receives one.
        return GetBodyChunkPacket(encode_get_body_chunk(self.max_body_bytes)) if is_unknown_length else None

    def _read_body_packet(self, payload: bytes) -> ForwardRequest | GetBodyChunkPacket:
        assert self.incomplete_request is not None
        data = b""
        if payload:
            reader = PayloadReader(payload)
            data = reader.read_bytes(reader.read_integer())
            if reader.position != len(payload):
                raise MalformedMessageError("body packet")
        self.body += data
        if len(self.body) > (self.max_body_bytes if self.body_length < 0 else self.body_length):
            raise MalformedMessageError("body too long", 413)
        if len(self.body) == self.body_length or (self.body_length < 0 and not data):
            request = self.incomplete_fields or self._read_request(self.incomplete_request)
            request.body = bytes(self.body)
            self.discard()
            return request
        if not data:
            raise MalformedMessageError("body cut short")
        missing_bytes = self.max_body_bytes if self.body_length < 0 else self.body_length - len(self.body)
        return GetBodyChunkPacket(encode_get_body_chunk(missing_bytes))


def encode_get_body_chunk(byte_count: int) -> bytes:
    """Encode a packet that requests ``byte_count`` bytes of the body, or as many as one body packet holds."""
    return encode_packet(
        FROM_CONTAINER, bytes((GET_BODY_CHUNK,)) + encode_integer(min(byte_count, MAX_BODY_DATA_BYTES))
    )


def encode_response(
    status: int, reason: bytes, headers: Iterable[tuple[bytes, bytes]], body: bytes, reuse: bool
) -> bytes:
    """Encode one response as packets: the headers, the body in chunks, and the end of the response.

    Args:
        status: The HTTP status code.
        reason: The HTTP reason phrase.
        headers: The headers, without Content-Length, which is added.
        body: The complete body.
        reuse: Whether the web server may send further requests on the connection.
    """
    fields = [*headers, (b"Content-Length", b"%d" % len(body))]
    packets = [
        encode_packet(
            FROM_CONTAINER,
            bytes((SEND_HEADERS,))
            + encode_integer(status)
            + encode_string(reason)
            + encode_headers(fields, RESPONSE_HEADERS),
        )
    ]
    packets += [
        encode_packet(
            FROM_CONTAINER,
            bytes((SEND_BODY_CHUNK,)) + encode_string(body[offset : offset + MAX_CHUNK_BYTES]),
        )
        for offset in range(0, len(body), MAX_CHUNK_BYTES)
    ]
    packets.append(encode_packet(FROM_CONTAINER, bytes((END_RESPONSE, reuse))))
    return b"".join(packets)


CPONG_PACKET = encode_packet(FROM_CONTAINER, bytes((CPONG,)))


# ---- the web server's side --------------------------------------------------------------------


@dataclass(slots=True)
class AjpResponse:
    """One complete response of a container; header names are in lower case."""

    status: int
    headers: dict[bytes, bytes]
    body: bytes
    reuse: bool  # whether the container accepts further requests on the connection


class CPong(NamedTuple):
    """The container's answer to a CPing."""


class GetBodyChunk(NamedTuple):
    """The container requests the next part of the body."""

    size: int  # bytes, at most


CPING_PACKET = encode_packet(TO_CONTAINER, bytes((CPING,)))


def encode_forward_request(
    method: bytes,
    uri: bytes,
    headers: Iterable[tuple[bytes, bytes]],
    host: bytes,
    port: int,
    secret: bytes = b"",
) -> bytes:
    """Encode a FORWARD_REQUEST packet; the body follows in body packets.

    ``host`` and ``port`` name the server; ``secret`` must equal the container's, if it has one.
    """
    if method in METHODS:
        code, stored_method = METHODS.index(method) + 1, b""
    else:
        code, stored_method = STORED_METHOD, b"\x0d" + encode_string(method)
    return encode_packet(
        TO_CONTAINER,
        b"".join(
            (
                bytes((FORWARD_REQUEST, code)),
                encode_string(b"HTTP/1.1"),
                encode_string(uri),
                encode_string(b"127.0.0.1"),  # remote address
                encode_string(b"127.0.0.1"),  # remote host
                encode_string(host),
                encode_integer(port),
                b"\0",  # without TLS
                encode_headers(headers, REQUEST_HEADERS),
                stored_method,
                b"\x0c" + encode_string(secret) if secret else b"",
                bytes((REQUEST_TERMINATOR,)),
            )
        ),
    )


def encode_body_packet(data: bytes) -> bytes:
    """Encode a part of the body; an empty part ends the body."""
    return encode_packet(TO_CONTAINER, encode_integer(len(data)) + data if data else b"")


class AjpResponseParser:
    """Parses what a web server receives: responses, CPongs and requests for parts of the body."""

    def __init__(self, max_body_bytes: int) -> None:
        """Create a parser for one connection; responses with bodies over the limit are malformed."""
        self.max_body_bytes = max_body_bytes
        self.head: tuple[int, dict[bytes, bytes]] | None = (
            None  # status and headers of the unfinished response
        )
        self.body = bytearray()

    def next(self, buffer: Buffer) -> AjpResponse | CPong | GetBodyChunk | None:
        """Return the next message, or None while none is complete.

        Raises:
            MalformedMessageError: The data is malformed; the parser must not be used again.
        """
        while (payload := take_packet(buffer, FROM_CONTAINER)) is not None:
            reader = PayloadReader(payload)
            code = reader.read_byte()
            if code == CPONG:
                return CPong()
            if code == GET_BODY_CHUNK:
                return GetBodyChunk(reader.read_integer())
            if code == SEND_HEADERS and self.head is None:
                status = reader.read_integer()
                reader.read_string()  # reason phrase
                self.head = (
                    status,
                    {
                        reader.read_header_name(RESPONSE_HEADERS): reader.read_string()
                        for _ in range(reader.read_integer())
                    },
                )
                self.body = bytearray()
            elif code == SEND_BODY_CHUNK and self.head is not None:
                self.body += reader.read_bytes(reader.read_integer())  # the closing zero byte is optional
                if len(self.body) > self.max_body_bytes:
                    raise MalformedMessageError("response body exceeds the limit")
            elif code == END_RESPONSE and self.head is not None:
                (status, headers), self.head = self.head, None
                content_length = headers.get(b"content-length")
                if content_length is not None and content_length != b"%d" % len(self.body):
                    # An incomplete response must not be used as a response.
                    raise MalformedMessageError("response body does not match its Content-Length")
                return AjpResponse(status, headers, bytes(self.body), reader.read_byte() == 1)
            else:
                raise MalformedMessageError("unexpected prefix code in a response")
        return None
