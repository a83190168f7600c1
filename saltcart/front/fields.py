"""The request's fields, which are headers of the same names on every front."""

from __future__ import annotations

import math
import re
from collections.abc import Mapping

from saltcart.core.messages import InboundRequest, InvalidRequestError
from saltcart.core.service import Service

MAX_BODY = 2048
# What no request can say, unless the settings' longest deadline allows more: milliseconds that a caller waits
# or that work takes, and seconds before and after now in which it came to the machine.
LONGEST, OLDEST, NEWEST = 600_000.0, 60.0, 5.0
IDENT = re.compile(rb"[0-9a-fA-F]{16}\Z")
KEY = re.compile(rb"[\x21-\x7e]{1,128}\Z")
NUMBER = re.compile(rb"[0-9]{1,15}(\.[0-9]{1,9})?\Z")
DIGITS = re.compile(rb"[0-9]{1,15}\Z")
PRINTABLE = re.compile(rb"[\x20-\x7e]{1,256}\Z")
ESCAPE = re.compile(rb"%([0-9a-fA-F]{2})")
LONGEST_NAME = 256  # bytes: where no tenants are told an account may be any, and is kept with its keys


def number(
    headers: Mapping[bytes, bytes],
    name: bytes,
    default: float | None,
    low: float,
    high: float,
    form: re.Pattern[bytes] = NUMBER,
) -> float:
    text = headers.get(name)
    if text is None:
        if default is None:
            raise InvalidRequestError(f"{name.decode()} is missing")
        return default
    if not form.match(text) or not low <= float(text) <= high:
        raise InvalidRequestError(f"{name.decode()} is not a number in its range")
    return float(text)


def name(text: bytes) -> str:
    """A class or tenant as the settings write it, whatever characters a customer puts into names."""
    if len(text) > LONGEST_NAME:
        raise InvalidRequestError("class or account is no name")
    try:
        return text.decode()
    except UnicodeDecodeError:  # a sender that writes its fields in the older way
        return text.decode("latin-1")


def parse_request(
    path: bytes, headers: Mapping[bytes, bytes], body: bytes, service: Service
) -> InboundRequest:
    """Build the core's request from header fields; times are by the core's clock.

    ``InvalidRequestError`` names the field that is wrong.  Every figure is held to its range: one outside it
    would be served on terms that no request has.
    """
    if len(body) > MAX_BODY:
        raise InvalidRequestError("the body is too long")
    ident = headers.get(b"request-id", b"")
    if not IDENT.match(ident):
        raise InvalidRequestError("request-id is not 16 hex digits")
    part = path.partition(b"?")[0].rpartition(b"/")[2]
    klass = name(ESCAPE.sub(lambda found: bytes([int(found[1], 16)]), part))
    account = name(headers.get(b"account", b""))
    key = headers.get(b"once-key")
    if key is not None and not KEY.match(key):
        raise InvalidRequestError("once-key is malformed")
    subject = headers.get(b"resource-key")
    if subject is not None and not PRINTABLE.match(subject):
        raise InvalidRequestError("resource-key is malformed")
    longest = max(LONGEST, 2000 * service.longest_deadline)
    budget = number(headers, b"budget-ms", math.nan, 0, longest)
    cost = number(headers, b"work-estimate", math.nan, 0, longest)
    ahead = service.clock.seconds_ahead()
    now = service.clock.read_seconds() - ahead  # on the Unix clock, by which the field is written
    oldest = max(OLDEST, 2 * service.longest_deadline)
    received = (
        ahead + number(headers, b"received-at", None, (now - oldest) * 1000, (now + NEWEST) * 1000) / 1000
    )
    return InboundRequest(
        ident,
        klass,
        account,
        received,
        None if math.isnan(budget) else budget / 1000,
        number(headers, b"footprint-kb", None, 1e-9, math.nextafter(2000, 0)),
        number(headers, b"priority-rank", 0.0, 0, math.nextafter(1, 0)),
        None if math.isnan(cost) else cost / 1000,
        int(number(headers, b"sent-by", 0, 0, 1e9, DIGITS)),
        key,
        None if subject is None else subject.decode("latin-1"),
        body=body,
    )
