"""Decoding of tables and messages against msgspec schemas.

Errors in a table are worded as in field_reader.py: location, field, reason.

Only optional features import this module: a service that uses none of them doesn't load msgspec.
"""

from __future__ import annotations

import re
from collections.abc import Mapping
from typing import Any, TypeVar

import msgspec

from saltcart.field_reader import InvalidFieldError
from saltcart.wire.errors import MalformedMessageError

T = TypeVar("T")


def convert_table(raw: Mapping[str, Any], schema: type[T], where: str) -> T:
    """Convert a table of the deployment file to a typed object.

    Args:
        raw: The table.
        schema: The type to convert to.
        where: Name of the table, for errors.

    Raises:
        InvalidFieldError: If the table doesn't match the schema; the text has the field and the reason.
    """
    try:
        return msgspec.convert(dict(raw), schema)
    except msgspec.ValidationError as error:
        reason, _, path = str(error).partition(" - at `$")
        field = re.sub(r"^\.?", f"{where}.", path.rstrip("`")) if path else where
        raise InvalidFieldError(f"{field}: {reason}") from None


def decode_message(decoder: msgspec.msgpack.Decoder[T], data: bytes, message_name: str) -> T:
    """Decode a peer's message.

    Args:
        decoder: Decoder of the expected type.
        data: The encoded message.
        message_name: What the message should be, for errors.

    Raises:
        MalformedMessageError: If the data is not such a message.
    """
    try:
        return decoder.decode(data)
    except (msgspec.MsgspecError, UnicodeDecodeError) as error:
        raise MalformedMessageError(f"not a {message_name}: {error}") from None
