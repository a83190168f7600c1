"""The request's fields, which are headers of the same names on every front."""

from __future__ import annotations

import math
import re
from collections.abc import Mapping

from saltcart.core.ports import Ask
from saltcart.core.service import Unacceptable

MAX_BODY = 2048
IDENT = re.compile(rb"[0-9a-fA-F]{16}\Z")
KEY = re.compile(rb"[\x21-\x7e]{1,128}\Z")
NUMBER = re.compile(rb"[0-9]{1,15}(\.[0-9]{1,9})?\Z")
NAME = re.compile(r"[A-Za-z0-9._-]{1,64}\Z")


def number(headers: Mapping[bytes, bytes], name: bytes, default: float | None, low: float,
           high: float) -> float:
    text = headers.get(name)
    if text is None:
        if default is None:
            raise Unacceptable(f"{name.decode()} is missing")
        return default
    if not NUMBER.match(text) or not low <= float(text) <= high:
        raise Unacceptable(f"{name.decode()} is not a number in its range")
    return float(text)


def read_ask(path: bytes, headers: Mapping[bytes, bytes], body: bytes) -> Ask:
    """A request as the core takes it; ``Unacceptable`` names the field that is wrong."""
    ident = headers.get(b"request-id", b"")
    if not IDENT.match(ident):
        raise Unacceptable("request-id is not 16 hex digits")
    klass = path.partition(b"?")[0].rpartition(b"/")[2].decode("latin-1")
    account = headers.get(b"account", b"").decode("latin-1")
    if not NAME.match(klass) or (account and not NAME.match(account)):
        raise Unacceptable("class or account is not a name")
    key = headers.get(b"once-key")
    if key is not None and not KEY.match(key):
        raise Unacceptable("once-key is malformed")
    subject = headers.get(b"resource-key")
    budget = number(headers, b"budget-ms", math.nan, 0, 3.6e6)
    cost = number(headers, b"work-estimate", math.nan, 0, 3.6e6)
    return Ask(
        ident, klass, account, number(headers, b"received-at", None, 1, 1e14) / 1000,
        None if math.isnan(budget) else budget / 1000,
        number(headers, b"footprint-kb", None, 0, 1e6), number(headers, b"priority-rank", 0.0, 0, 1),
        None if math.isnan(cost) else cost / 1000, int(number(headers, b"sent-by", 0, 0, 1e9)),
        key, None if subject is None else subject.decode("latin-1"), body)
