"""The state machines, by tables of cases; each is fed whole and byte by byte."""

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
    """All messages of ``data`` given in pieces; ends with the status of what was malformed."""
    buffer, out = Buffer(64), list[Any]()
    try:
        for at in range(0, len(data), step):
            buffer.write(data[at : at + step])
            while (message := read(buffer)) is not None:
                out.append(message)
    except MalformedMessageError as error:
        out.append(error.status)
    return out


def listed(messages: Callable[[Buffer], Any]) -> Callable[[Buffer], Any]:
    return lambda buffer: next(iter(messages(buffer)), None)


# ---- HTTP/1.1 ---------------------------------------------------------------------------------


GET = b"GET /ping HTTP/1.1\r\nHost: h\r\n\r\n"
CASES: list[tuple[bytes, list[Any]]] = [
    (GET + GET, [(b"GET", b"/ping", b"", True)] * 2),
    (b"\r\n" + GET, [(b"GET", b"/ping", b"", True)]),
    (
        b"POST /call/x HTTP/1.1\r\nContent-Length: 4\r\n\r\n\r\n\r\n" + GET,
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
@pytest.mark.parametrize(("data", "expected"), CASES)
def test_http_requests(data: bytes, expected: list[Any], step: int) -> None:
    got = feed(http1.HttpRequestParser(2048).next, data, step)
    assert [m if isinstance(m, int) else (m.method, m.target, m.body, m.keep_alive) for m in got] == expected


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
    got = feed(http1.HttpResponseParser(100).next, data, 1)
    assert [m if isinstance(m, int) else (m.status, m.body, m.keep_alive) for m in got] == expected


# ---- AJP --------------------------------------------------------------------------------------


def forward(*headers: tuple[bytes, bytes], method: bytes = b"POST", uri: bytes = b"/call/x") -> bytes:
    return ajp.encode_forward_request(method, uri, headers, b"h", 80, b"s")


def raw(payload: bytes) -> bytes:
    return ajp.encode_packet(ajp.TO_CONTAINER, payload)


LONG = (b"Content-Length", b"5")
AJP_CASES: list[tuple[bytes, list[Any]]] = [
    (forward(), [(b"POST", b"/call/x", b"")]),
    (forward(method=b"PATCH"), [(b"PATCH", b"/call/x", b"")]),
    (forward((b"Request-Id", b"1"), (b"Host", b"h")) * 2, [(b"POST", b"/call/x", b"")] * 2),
    (forward(LONG) + ajp.encode_body_packet(b"hello"), [(b"POST", b"/call/x", b"hello")]),
    (
        forward(LONG) + ajp.encode_body_packet(b"he") + ajp.encode_body_packet(b"llo"),
        [ajp.GetBodyChunkPacket(ajp.encode_get_body_chunk(3)), (b"POST", b"/call/x", b"hello")],
    ),
    (
        forward((b"Transfer-Encoding", b"chunked"))
        + ajp.encode_body_packet(b"hi")
        + ajp.encode_body_packet(b""),
        [ajp.GetBodyChunkPacket(ajp.encode_get_body_chunk(2048))] * 2 + [(b"POST", b"/call/x", b"hi")],
    ),
    (ajp.CPING_PACKET + raw(b"\x07") + raw(b"\x08") + ajp.CPING_PACKET, [ajp.CPing(), ajp.CPing()]),
    (forward(LONG) + ajp.encode_body_packet(b"hello!"), [413]),
    (
        forward(LONG) + ajp.encode_body_packet(b"he") + ajp.encode_body_packet(b""),
        [ajp.GetBodyChunkPacket(ajp.encode_get_body_chunk(3)), 400],
    ),
    (forward((b"Content-Length", b"2049")), [413]),
    (forward((b"Content-Length", b"x")), [400]),
    (forward(LONG, LONG), [400]),
    (forward(LONG, (b"Transfer-Encoding", b"chunked")), [400]),
    (forward(uri=b"x"), [400]),
    (ajp.encode_forward_request(b"GET", b"/", [], b"h", 80), [403]),
    (b"AB\x00\x01\x0a", [400]),
    (b"\x12\x34\xff\xff", [400]),
    (raw(b""), [400]),
    (raw(b"\x63"), [400]),
    (raw(b"\x02\x63"), [400]),
    (raw(b"\x02\x02\x00\x08HTTP"), [400]),
    (forward()[:-1].replace(b"\x00\x57", b"\x00\x57", 1), []),
    (b"GET / HTTP/1.1\r\n\r\n", [400]),
]


@pytest.mark.parametrize("step", [1, 100_000])
@pytest.mark.parametrize(("data", "expected"), AJP_CASES)
def test_ajp_requests(data: bytes, expected: list[Any], step: int) -> None:
    got = feed(ajp.AjpRequestParser(2048, b"s").next, data, step)
    assert [(m.method, m.uri, m.body) if isinstance(m, ajp.ForwardRequest) else m for m in got] == expected


ANSWER = ajp.encode_response(200, b"OK", [(b"Set-Cookie", b"a"), (b"X", b"y")], b"z" * 20_000, True)


@pytest.mark.parametrize(
    ("data", "expected"),
    [
        (ANSWER * 2, [(200, 20_000, True)] * 2),
        (ajp.CPONG_PACKET + ajp.encode_get_body_chunk(9), [ajp.CPong(), ajp.GetBodyChunk(9)]),
        (
            ANSWER[:-6] + ajp.encode_packet(b"AB", b"\x03\x00\x01x\x00") + ANSWER[-6:],
            [400],
        ),  # longer than it said
        (ajp.encode_packet(b"AB", b"\x05\x01"), [400]),
        (ajp.encode_packet(b"AB", b"\x03\x00\x01x\x00"), [400]),
        (ajp.encode_packet(b"AB", b"\x04\x00"), [400]),
        (ajp.encode_packet(b"AB", b""), [400]),
        (b"\x12\x34\x00\x00", [400]),
    ],
)
def test_ajp_responses(data: bytes, expected: list[Any]) -> None:
    got = feed(ajp.AjpResponseParser(30_000).next, data, 999)
    assert [
        (m.status, len(m.body), m.reuse) if isinstance(m, ajp.AjpResponse) else m for m in got
    ] == expected


# ---- the pool and the index -------------------------------------------------------------------


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
        ),  # a remark of any length means nothing
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
    session, buffer, out = pool.PoolSession(), Buffer(64), list[Any]()
    try:
        for at in range(0, len(data), step):
            buffer.write(data[at : at + step])
            out += session.messages(buffer)
    except MalformedMessageError as error:
        out.append(error.status)
    assert out == expected


def test_a_new_link_repeats_what_is_safe_and_only_that() -> None:
    session, buffer = pool.PoolSession(), Buffer()

    def hears(data: bytes) -> list[Any]:
        buffer.write(data)
        return list(session.messages(buffer))

    assert session.open_link() == b"bind 0\r\n"
    hears(b"bound EMPTY 0\r\npolled 1\r\n")
    assert session.spawn(b"a", b"c", b"x", False) and session.poll() == b"poll 2\r\n"
    hears(b"polled 2\r\nblocked 1 a 0\r\n\r\n")  # the spawn of a has arrived
    session.supply_reply(b"a", b"r")
    sent = [session.spawn(b"b", b"c", b"x", False), session.spawn(b"k", b"c", b"x", True)]
    assert all(sent)
    session.close_link()
    assert session.spawn(b"l", b"c", b"x", True) == b""  # never written: it may be sent later
    assert sent[1].endswith(b"poll 3\r\n")  # asked after at once
    assert session.open_link() == b"bind 1\r\n"
    assert hears(b"bound EMPTY 9\r\n") == [pool.Bound(False, 0.009), b"poll 4\r\n"]
    # Run a stands at a second call already, so the reply to its first must not be given to that one.
    out = hears(b"blocked 2 a 0\r\n\r\npolled 4\r\n")
    assert out == [
        pool.Blocked(b"a", 2, b""),
        sent[0],
        pool.UncertainRun(b"k"),
        b"spawn l c 1\r\nx\r\n",
        pool.Polled(()),
    ]


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
    assert feed(listed(index.ReplyParser().messages), data, step) == expected


def test_index_calls() -> None:
    assert index.encode_get(b"a", 0.2501, b"x\r\n") == b"GET a 250 3\r\nx\r\n\r\n"
    assert index.encode_stop(b"a") == b"STOP a\r\n"


# ---- all of them ------------------------------------------------------------------------------


MACHINES: list[Callable[[], Callable[[Buffer], Any]]] = [
    lambda: http1.HttpRequestParser(99).next,
    lambda: http1.HttpResponseParser(99).next,
    lambda: ajp.AjpRequestParser(99).next,
    lambda: ajp.AjpResponseParser(99).next,
    lambda: listed(pool.PoolSession().messages),
    lambda: listed(index.ReplyParser().messages),
]
SEEDS = [
    GET,
    forward(LONG) + ajp.encode_body_packet(b"he"),
    ANSWER[:99],
    b"finished 1 a PASS 1 1\r\nx\r\n",
    b"a HIT 1\r\nx\r\n",
]


@settings(max_examples=300, deadline=None, derandomize=True, database=None)
@given(st.integers(0, len(MACHINES) - 1), st.sampled_from(SEEDS), st.binary(max_size=40), st.integers(0, 60))
def test_no_input_raises_anything_but_malformed(machine: int, seed: bytes, noise: bytes, at: int) -> None:
    feed(MACHINES[machine](), seed[:at] + noise + seed[at:], 16)  # any other exception fails the test


def test_the_buffer_grows_to_its_limit_and_compacts_in_place() -> None:
    buffer = Buffer(16, limit=2048)
    buffer.write(b"a" * 1000 + b"b" * 20)
    data = buffer.data
    assert buffer.take(1000) == b"a" * 1000
    buffer.compact()
    assert buffer.data is data and buffer.peek(20) == b"b" * 20 and buffer.start == 0
    with pytest.raises(BufferOverflowError):
        buffer.write(b"c" * 3000)


def test_the_buffer_gives_back_what_one_long_message_took() -> None:
    buffer = Buffer(16)
    buffer.write(b"a" * 40_000)
    buffer.take(40_000)
    buffer.write(b"b")
    assert len(buffer.data) <= 8192 and buffer.take(1) == b"b"
