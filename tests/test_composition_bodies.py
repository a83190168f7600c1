"""Bodies of composed responses and of the calls that a plan makes."""

from __future__ import annotations

import json
from decimal import Decimal

import pytest
from hypothesis import given
from hypothesis import strategies as st

from saltcart.composition import bodies
from saltcart.composition.composed_run import ComposedRun, SubRequestStatus
from saltcart.composition.plan import CallSpec, PlanSpec, StageSpec

READ = CallSpec("tariff")
WRITE = CallSpec("ledger", write=True, sends="answers")
PLAN = PlanSpec("declare", [StageSpec([READ]), StageSpec([WRITE])])
NESTING_LEVELS = 900
JSON_TEXTS = {
    "an integer of 20 digits": b'{"declaration":98765432109876543210,"amount":12.5}',
    "an integer of 4,000 digits": b"-" + b"9" * 4000,
    "a decimal of 29 digits": b'{"amount":0.12345678901234567890123456789}',
    "a number beyond a double": b"[1e400,-1E+400]",
    "a decimal that ends in zeros": b"1.50",
    "a repeated member": b'{"item":1,"item":2}',
    "white space": b' {"a" :\n[1, 2]}\r\n',
    "escapes": b'"\\u00e9\\/\\u0000"',
    "a lone surrogate": b'"\\ud800"',
    "deep nesting": b"[" * NESTING_LEVELS + b"]" * NESTING_LEVELS,
    "null": b"null",
}
OTHER_TEXTS = {
    "nothing": b"",
    "a word": b"done",
    "a number with a leading zero": b"007",
    "NaN": b"NaN",
    "infinity": b"-Infinity",
    "two values": b"1 2",
    "a byte order mark": b"\xef\xbb\xbf{}",
    "a control character in a string": b'"a\x01"',
    "nesting beyond the limit": b"[" * 2000 + b"]" * 2000,
}
BINARY = {"no UTF-8": b"\xff\x00", "a surrogate in UTF-8": b'"\xed\xa0\x80"'}


def run_with(body: bytes, reply: bytes) -> ComposedRun:
    run = ComposedRun(b"0123456789abcdef", PLAN, "acme", body, now=0.0, objective_at=1.0, deadline=2.0)
    run.replies = {
        "tariff": (SubRequestStatus.ANSWERED, reply),
        "archive": (SubRequestStatus.SKIPPED, b""),
    }
    return run


def cases(texts: dict[str, bytes]) -> pytest.MarkDecorator:
    return pytest.mark.parametrize("body", texts.values(), ids=texts.keys())


# Guards against: a composed response or write in which long numbers are rounded or repeated members are lost.
@cases(JSON_TEXTS)
def test_json_is_embedded_byte_by_byte(body: bytes) -> None:
    run = run_with(body, body)
    assert bodies.response_body(run) == b'{"tariff":' + body + b',"archive":null}'
    assert bodies.call_body(run, WRITE) == (
        b'{"request":' + body + b',"answers":{"tariff":' + body + b',"archive":null}}'
    )


# Guards against: a body that is no JSON and makes the whole document unreadable.
@cases(OTHER_TEXTS)
def test_other_text_is_embedded_as_a_string(body: bytes) -> None:
    document = json.loads(bodies.call_body(run_with(body, body), WRITE))
    assert document == {"request": body.decode(), "answers": {"tariff": body.decode(), "archive": None}}


@cases(BINARY)
def test_binary_bodies_are_embedded_in_base64(body: bytes) -> None:
    document = json.loads(bodies.response_body(run_with(b"", body)))
    assert document["archive"] is None and set(document["tariff"]) == {"base64"}


def test_a_call_that_sends_the_request_sends_its_body_unchanged() -> None:
    body = b'{"n": 98765432109876543210}'
    assert bodies.call_body(run_with(body, b"1"), READ) == body


NUMBERS = st.decimals(allow_nan=False, allow_infinity=False) | st.integers().map(Decimal)


# Guards against: any number that a parser on the way can't hold.
@given(st.lists(NUMBERS))
def test_numbers_keep_their_value(numbers: list[Decimal]) -> None:
    body = b"[" + b",".join(str(number).encode() for number in numbers) + b"]"
    response = json.loads(bodies.response_body(run_with(b"", body)), parse_int=Decimal, parse_float=Decimal)
    assert response["tariff"] == numbers
