"""Protocol state machines, tested by tables of cases that are fed whole and in pieces."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from saltcart.wire import ajp, http1, index, pool
from saltcart.wire.buffer import Buffer, BufferOverflowError
from saltcart.wire.errors import MalformedMessageError


def feed(read: Callable[[Buffer], Any], data: bytes, step: int) -> list[Any]:
    """Return the messages in ``data``, fed ``step`` bytes at a time, and the status of a malformed one."""
    buffer, results = Buffer(64), list[Any]()
    try:
        for offset in range(0, len(data), step):
            buffer.write(data[offset : offset + step])
            while (message := read(buffer)) is not None:
                results.append(message)
    except MalformedMessageError as error:
        results.append(error.status)
    return results


def first_of(messages: Callable[[Buffer], Any]) -> Callable[[Buffer], Any]:
    """Return a function that reads one message, or None while none is complete."""
    return lambda buffer: next(iter(messages(buffer)), None)


# ---- HTTP/1.1 ---------------------------------------------------------------------------------


GET_PING = b"GET /ping HTTP/1.1\r\nHost: h\r\n\r\n"
HTTP_REQUEST_CASES: list[tuple[bytes, list[Any]]] = [
    (GET_PING + GET_PING, [(b"GET", b"/ping", b"", True)] * 2),
    (b"\r\n" + GET_PING, [(b"GET", b"/ping", b"", True)]),
    (
        b"POST /call/x HTTP/1.1\r\nContent-Length: 4\r\n\r\n\r\n\r\n" + GET_PING,
        [(b"POST", b"/call/x", b"\r\n\r\n", True), (b"GET", b"/ping", b"", True)],
    ),
    (b"GET /a HTTP/1.1\r\nConnection: Keep-Alive, Close\r\n\r\n", [(b"GET", b"/a", b"", False)]),
    (b"GET /a HTTP/1.0\r\n\r\n", [(b"GET", b"/a", b"", False)]),
    (b"GET /a HTTP/1.0\r\nConnection: keep-alive\r\n\r\n", [(b"GET", b"/a", b"", True)]),
    (b"GET /a HTTP/2.0\r\n\r\n", [505]),
    (b"GET a HTTP/1.1\r\n\r\n", [400]),
    (b"GET  /a HTTP/1.1\r\n\r\n", [400]),
    (b"G@T /a HTTP/1.1\r\n\r\n", [400]),
    (b"\x16\x03\x01 junk\r\n\r\n", [400]),
    (b"GET /a HTTP/1.1\r\nno colon\r\n\r\n", [400]),
    (b"GET /a HTTP/1.1\r\nname : x\r\n\r\n", [400]),
    (b"GET /a HTTP/1.1\r\n folded: x\r\n\r\n", [400]),
    (b"GET /a HTTP/1.1\r\nA: b\0c\r\n\r\n", [400]),
    (b"GET /a HTTP/1.1\r\nA: b\nC: d\r\n\r\n", [400]),
    (b"POST /a HTTP/1.1\r\nContent-Length: 1\r\nContent-Length: 1\r\n\r\nx", [400]),
    (b"POST /a HTTP/1.1\r\nContent-Length: -1\r\n\r\n", [400]),
    (b"POST /a HTTP/1.1\r\nContent-Length: 2049\r\n\r\n", [413]),
    (b"POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", [501]),
    (b"POST /a HTTP/1.1\r\nContent-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", [400]),
    (b"GET /" + b"a" * 9000, [431]),
    (b"GET /a HTTP/1.1\r\n" + b"A: b\r\n" * 65 + b"\r\n", [431]),
    (b"POST /a HTTP/1.1\r\nContent-Length: 9\r\n\r\ncut", []),
]


@pytest.mark.parametrize("step", [1, 7, 100_000])
@pytest.mark.parametrize(("data", "expected"), HTTP_REQUEST_CASES)
def test_http_requests(data: bytes, expected: list[Any], step: int) -> None:
    results = feed(http1.HttpRequestParser(2048).next, data, step)
    assert [
        m if isinstance(m, int) else (m.method, m.target, m.body, m.keep_alive) for m in results
    ] == expected


@pytest.mark.parametrize(
    ("data", "expected"),
    [
        (
            http1.encode_response(204) + http1.encode_response(200, b"x", (("A", "b"),), True),
            [(204, b"", True), (200, b"x", False)],
        ),
        (b"HTTP/1.1 99 X\r\n\r\n", [400]),
        (b"ICY 200 OK\r\n\r\n", [400]),
    ],
)
def test_http_responses(data: bytes, expected: list[Any]) -> None:
    results = feed(http1.HttpResponseParser(100).next, data, 1)
    assert [m if isinstance(m, int) else (m.status, m.body, m.keep_alive) for m in results] == expected


# ---- AJP --------------------------------------------------------------------------------------


def forward_request(*headers: tuple[bytes, bytes], method: bytes = b"POST", uri: bytes = b"/call/x") -> bytes:
    return ajp.encode_forward_request(method, uri, headers, b"h", 80, b"s")


def container_packet(payload: bytes) -> bytes:
    return ajp.encode_packet(ajp.TO_CONTAINER, payload)


NUMBERED_HEADERS = [(b"%d" % number, b"") for number in range(65)]
CONTENT_LENGTH_5 = (b"Content-Length", b"5")
AJP_REQUEST_CASES: list[tuple[bytes, list[Any]]] = [
    (forward_request(), [(b"POST", b"/call/x", b"")]),
    (forward_request(method=b"PATCH"), [(b"PATCH", b"/call/x", b"")]),
    (forward_request((b"Request-Id", b"1"), (b"Host", b"h")) * 2, [(b"POST", b"/call/x", b"")] * 2),
    (forward_request(CONTENT_LENGTH_5) + ajp.encode_body_packet(b"hello"), [(b"POST", b"/call/x", b"hello")]),
    (
        forward_request(CONTENT_LENGTH_5) + ajp.encode_body_packet(b"he") + ajp.encode_body_packet(b"llo"),
        [ajp.GetBodyChunkPacket(ajp.encode_get_body_chunk(3)), (b"POST", b"/call/x", b"hello")],
    ),
    (
        forward_request((b"Transfer-Encoding", b"chunked"))
        + ajp.encode_body_packet(b"hi")
        + ajp.encode_body_packet(b""),
        [ajp.GetBodyChunkPacket(ajp.encode_get_body_chunk(2048))] * 2 + [(b"POST", b"/call/x", b"hi")],
    ),
    (
        ajp.CPING_PACKET + container_packet(b"\x07") + container_packet(b"\x08") + ajp.CPING_PACKET,
        [ajp.CPing(), ajp.CPing()],
    ),
    (forward_request(CONTENT_LENGTH_5) + ajp.encode_body_packet(b"hello!"), [413]),
    (
        forward_request(CONTENT_LENGTH_5) + ajp.encode_body_packet(b"he") + ajp.encode_body_packet(b""),
        [ajp.GetBodyChunkPacket(ajp.encode_get_body_chunk(3)), 400],
    ),
    (forward_request((b"Content-Length", b"2049")), [413]),
    (forward_request((b"Content-Length", b"x")), [400]),
    (forward_request(CONTENT_LENGTH_5, CONTENT_LENGTH_5), [400]),
    (forward_request(CONTENT_LENGTH_5, (b"Transfer-Encoding", b"chunked")), [400]),
    (forward_request(uri=b"x"), [400]),
    (ajp.encode_forward_request(b"GET", b"/", [], b"h", 80), [403]),
    (forward_request(*NUMBERED_HEADERS[:64]), [(b"POST", b"/call/x", b"")]),
    # Guards against: 80 KB held for one head of 900 short fields, where HTTP ends with 431 at 65.
    (forward_request(*NUMBERED_HEADERS), [431]),
    (b"AB\x00\x01\x0a", [400]),
    (b"\x12\x34\xff\xff", [400]),
    (container_packet(b""), [400]),
    (container_packet(b"\x63"), [400]),
    (container_packet(b"\x02\x63"), [400]),
    (container_packet(b"\x02\x02\x00\x08HTTP"), [400]),
    (forward_request()[:-1].replace(b"\x00\x57", b"\x00\x57", 1), []),
    (b"GET / HTTP/1.1\r\n\r\n", [400]),
]


@pytest.mark.parametrize("step", [1, 100_000])
@pytest.mark.parametrize(("data", "expected"), AJP_REQUEST_CASES)
def test_ajp_requests(data: bytes, expected: list[Any], step: int) -> None:
    results = feed(ajp.AjpRequestParser(2048, b"s").next, data, step)
    assert [
        (m.method, m.uri, m.body) if isinstance(m, ajp.ForwardRequest) else m for m in results
    ] == expected


AJP_RESPONSE = ajp.encode_response(200, b"OK", [(b"Set-Cookie", b"a"), (b"X", b"y")], b"z" * 20_000, True)


@pytest.mark.parametrize(
    ("data", "expected"),
    [
        (AJP_RESPONSE * 2, [(200, 20_000, True)] * 2),
        (ajp.CPONG_PACKET + ajp.encode_get_body_chunk(9), [ajp.CPong(), ajp.GetBodyChunk(9)]),
        (
            AJP_RESPONSE[:-6] + ajp.encode_packet(b"AB", b"\x03\x00\x01x\x00") + AJP_RESPONSE[-6:],
            [400],
        ),  # longer than its Content-Length
        (ajp.encode_packet(b"AB", b"\x05\x01"), [400]),
        (ajp.encode_packet(b"AB", b"\x03\x00\x01x\x00"), [400]),
        (ajp.encode_packet(b"AB", b"\x04\x00"), [400]),
        (ajp.encode_packet(b"AB", b""), [400]),
        (b"\x12\x34\x00\x00", [400]),
    ],
)
def test_ajp_responses(data: bytes, expected: list[Any]) -> None:
    results = feed(ajp.AjpResponseParser(30_000).next, data, 999)
    assert [
        (m.status, len(m.body), m.reuse) if isinstance(m, ajp.AjpResponse) else m for m in results
    ] == expected


# ---- worker pool and index ----------------------------------------------------------------------


@pytest.mark.parametrize("step", [1, 100_000])
@pytest.mark.parametrize(
    ("data", "expected"),
    [
        (b"bound EMPTY 1500\r\n", [pool.Bound(False, 1.5), b"poll 1\r\n"]),
        (
            b"finished 1 a PASS 20 2\r\n\r\n\r\nblocked 2 b 0\r\n\r\n",
            [pool.Finished(b"a", b"PASS", 0.02, b"\r\n"), pool.Blocked(b"b", 2, b"")],
        ),
        (b"finished 1 a KILLED 20 0\r\n\r\n" * 2, [pool.Finished(b"a", b"KILLED", 0.02, b"")]),
        (
            b"chatter 5 hm\r\nblocked 5 b 0\r\n\r\nblocked 6 b 0\r\n\r\n",
            [pool.Blocked(b"b", 5, b""), pool.Blocked(b"b", 6, b"")],
        ),
        (
            b"chatter 1 "
            + b"x" * 5000
            + b"\r\nblocked 1 b 0\r\n\r\nchatter 2 "
            + b"y" * 1020
            + b"\r\nblocked 2 b 0\r\n\r\n",
            [pool.Blocked(b"b", 1, b""), pool.Blocked(b"b", 2, b"")],
        ),  # chatter is ignored, whatever its length
        (
            b"polled 0 0.5 3\r\nunknown spawn x\r\n",
            [pool.Polled((0.5, 3.0)), pool.UnknownCommand(b"spawn", b"x")],
        ),
        (b"finished x a PASS 1 1\r\nx\r\n", [400]),
        (b"finished 1 a PASS 1\r\n", [400]),
        (b"dance\r\n", [400]),
        (b"finished 1 a PASS 1 99999\r\n", [400]),
        (b"finished 1 a PASS 1 1\r\nxyz", [400]),
        (b"bound WARM 1\r\n", [400]),
        (b"polled\r\n", [400]),
        (b"x" * 2000, [400]),
    ],
)
def test_pool_messages(data: bytes, expected: list[Any], step: int) -> None:
    session, buffer, results = pool.PoolSession(), Buffer(64), list[Any]()
    try:
        for offset in range(0, len(data), step):
            buffer.write(data[offset : offset + step])
            results += session.messages(buffer)
    except MalformedMessageError as error:
        results.append(error.status)
    assert results == expected


def test_new_link_resends_only_commands_that_are_safe_to_repeat() -> None:
    session, buffer = pool.PoolSession(), Buffer()

    def receive(data: bytes) -> list[Any]:
        buffer.write(data)
        return list(session.messages(buffer))

    assert session.open_connection() == b"bind 0\r\n"
    receive(b"bound EMPTY 0\r\npolled 1\r\n")
    assert session.spawn(b"a", b"c", b"x", False) and session.poll() == b"poll 2\r\n"
    receive(b"polled 2\r\nblocked 1 a 0\r\n\r\n")  # confirms the spawn of run a
    session.supply_reply(b"a", b"r")
    sent = [session.spawn(b"b", b"c", b"x", False), session.spawn(b"k", b"c", b"x", True)]
    assert all(sent)
    session.close_connection()
    assert session.spawn(b"l", b"c", b"x", True) == b""  # not sent on the lost link, so it may be sent later
    assert sent[1].endswith(b"poll 4\r\n")  # a poll follows at once, to confirm the spawn
    assert session.open_connection() == b"bind 1\r\n"
    assert receive(b"bound EMPTY 9\r\n") == [pool.Bound(False, 0.009), b"poll 5\r\n"]
    # Run a waits at its second call by now, which must not be given the reply to the first.
    results = receive(b"blocked 2 a 0\r\n\r\npolled 5\r\n")
    assert results == [
        pool.Blocked(b"a", 2, b""),
        sent[0],
        pool.UncertainRun(b"k"),
        b"spawn l c 1\r\nx\r\n",
        pool.Polled(()),
    ]


def test_reply_that_may_have_arrived_is_not_sent_again() -> None:
    # Guards against the reply to one call being taken for that to the next, as a reply names no call.
    session = pool.PoolSession()
    buffer = Buffer()

    def receive(data: bytes) -> list[Any]:
        buffer.write(data)
        return list(session.messages(buffer))

    session.open_connection()
    receive(b"bound EMPTY 0\r\npolled 1\r\n")
    session.spawn(b"a", b"c", b"x", False)
    session.spawn(b"b", b"c", b"x", False)
    session.spawn(b"d", b"c", b"x", False)
    receive(b"blocked 1 a 0\r\n\r\nblocked 2 b 0\r\n\r\nblocked 3 d 0\r\n\r\n")
    assert session.supply_reply(b"a", b"r") == b"supply a 1\r\nr\r\npoll 2\r\n"
    receive(b"polled 2\r\n")  # confirms the reply to run a
    session.supply_reply(b"b", b"r")
    assert session.has_uncertain_command()
    session.close_connection()
    assert session.supply_reply(b"d", b"r") == b""  # run d waits at its call for certain
    session.open_connection()
    assert receive(b"bound EMPTY 9\r\npolled 4\r\n") == [
        pool.Bound(False, 0.009),
        b"poll 4\r\n",
        pool.UncertainReply(b"b", 2),
        b"supply d 1\r\nr\r\n",
        pool.Polled(()),
    ]
    assert session.has_uncertain_command()  # the reply to run d is unconfirmed now
    receive(b"polled 5\r\n")
    assert not session.has_uncertain_command()


@pytest.mark.parametrize("step", [1, 100_000])
@pytest.mark.parametrize(
    ("data", "expected"),
    [
        (b"a HIT 2\r\n\r\n\r\nb SHED\r\n", [(b"a", b"HIT", b"\r\n"), (b"b", b"SHED", b"")]),
        (
            b"a SLOW\r\nb NOBODY\r\nc BROKEN\r\n",
            [(b"a", b"SLOW", b""), (b"b", b"NOBODY", b""), (b"c", b"BROKEN", b"")],
        ),
        (b"a MAYBE\r\n", [400]),
        (b"a HIT\r\n", [400]),
        (b"a HIT x\r\n", [400]),
        (b"a HIT 99999\r\n", [400]),
        (b"a HIT 1\r\nxyz", [400]),
        (b"x" * 2000, [400]),
    ],
)
def test_index_replies(data: bytes, expected: list[Any], step: int) -> None:
    assert feed(first_of(index.ReplyParser().messages), data, step) == expected


def test_index_calls() -> None:
    assert index.encode_get(b"a", 0.2501, b"x\r\n") == b"GET a 250 3\r\nx\r\n\r\n"
    assert index.encode_stop(b"a") == b"STOP a\r\n"


# ---- all protocols -----------------------------------------------------------------------------


PARSERS: list[Callable[[], Callable[[Buffer], Any]]] = [
    lambda: http1.HttpRequestParser(99).next,
    lambda: http1.HttpResponseParser(99).next,
    lambda: ajp.AjpRequestParser(99).next,
    lambda: ajp.AjpResponseParser(99).next,
    lambda: first_of(pool.PoolSession().messages),
    lambda: first_of(index.ReplyParser().messages),
]
SAMPLE_INPUTS = [
    GET_PING,
    forward_request(CONTENT_LENGTH_5) + ajp.encode_body_packet(b"he"),
    AJP_RESPONSE[:99],
    b"finished 1 a PASS 1 1\r\nx\r\n",
    b"a HIT 1\r\nx\r\n",
]


@settings(max_examples=300, deadline=None, derandomize=True, database=None)
@given(
    st.integers(0, len(PARSERS) - 1),
    st.sampled_from(SAMPLE_INPUTS),
    st.binary(max_size=40),
    st.integers(0, 60),
)
def test_no_input_raises_other_errors_than_malformed(
    parser_index: int, sample_input: bytes, noise: bytes, position: int
) -> None:
    # Any exception but MalformedMessageError fails the test.
    feed(PARSERS[parser_index](), sample_input[:position] + noise + sample_input[position:], 16)


def test_buffer_grows_to_its_limit_and_compacts_in_place() -> None:
    buffer = Buffer(16, limit=2048)
    buffer.write(b"a" * 1000 + b"b" * 20)
    data = buffer.data
    assert buffer.take(1000) == b"a" * 1000
    buffer.compact()
    assert buffer.data is data and buffer.peek(20) == b"b" * 20 and buffer.start == 0
    with pytest.raises(BufferOverflowError):
        buffer.write(b"c" * 3000)


def test_empty_buffer_releases_the_capacity_of_a_long_message() -> None:
    buffer = Buffer(16)
    buffer.write(b"a" * 40_000)
    buffer.take(40_000)
    buffer.write(b"b")
    assert len(buffer.data) <= 8192 and buffer.take(1) == b"b"
