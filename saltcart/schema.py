"""Tables and messages checked against a msgspec schema.

A table's errors are worded as in field_reader.py: place, field, reason.

Imported only by the parts that are on: a service without them has no msgspec.
"""

from __future__ import annotations

import re
from collections.abc import Mapping
from typing import Any, TypeVar

import msgspec

from saltcart.field_reader import InvalidFieldError
from saltcart.wire.errors import MalformedMessageError

T = TypeVar("T")


def convert_table(raw: Mapping[str, Any], form: type[T], where: str) -> T:
    """The table ``where`` as ``form``; ``InvalidFieldError`` names the field and the reason."""
    try:
        return msgspec.convert(dict(raw), form)
    except msgspec.ValidationError as error:
        reason, _, path = str(error).partition(" - at `$")
        field = re.sub(r"^\.?", f"{where}.", path.rstrip("`")) if path else where
        raise InvalidFieldError(f"{field}: {reason}") from None


def decode_message(decoder: msgspec.msgpack.Decoder[T], data: bytes, what: str) -> T:
    """A peer's message; ``MalformedMessageError`` says that it is no ``what``, and why."""
    try:
        return decoder.decode(data)
    except (msgspec.MsgspecError, UnicodeDecodeError) as error:
        raise MalformedMessageError(f"not a {what}: {error}") from None
