"""Parsing of a request's header fields, which have the same names on every front."""

from __future__ import annotations

import math
import re
from collections.abc import Mapping

from saltcart.core.messages import InboundRequest, InvalidRequestError
from saltcart.core.service import Service

MAX_BODY_BYTES = 2048
# Bounds of a request's fields: the longest time that a caller waits or that work takes, which a long deadline
# in the settings raises, and how long after the current time the request may have reached the host.
MAX_DURATION_MS, MAX_FUTURE_SECONDS = 600_000.0, 5.0
REQUEST_ID = re.compile(rb"[0-9a-fA-F]{16}\Z")
IDEMPOTENCY_KEY = re.compile(rb"[\x21-\x7e]{1,128}\Z")
DECIMAL = re.compile(rb"[0-9]{1,15}(\.[0-9]{1,9})?\Z")
INTEGER = re.compile(rb"[0-9]{1,15}\Z")
RESOURCE_KEY = re.compile(rb"[\x20-\x7e]{1,256}\Z")
PERCENT_ESCAPE = re.compile(rb"%([0-9a-fA-F]{2})")
# If no tenants are configured, any account is accepted, and its name is stored with its idempotency keys.
MAX_NAME_BYTES = 256


def parse_number_field(
    headers: Mapping[bytes, bytes],
    name: bytes,
    default: float | None,
    minimum: float,
    maximum: float,
    pattern: re.Pattern[bytes] = DECIMAL,
) -> float:
    """Return a numeric header field.

    Args:
        headers: The request's headers.
        name: The field's name in lower case.
        default: The value of a missing field, or None if the field is required.
        minimum: The lowest valid value.
        maximum: The highest valid value.
        pattern: The syntax of the field.

    Raises:
        InvalidRequestError: A required field is missing, or the value is malformed or out of range.
    """
    text = headers.get(name)
    if text is None:
        if default is None:
            raise InvalidRequestError(f"{name.decode()} is missing")
        return default
    if not pattern.match(text) or not minimum <= float(text) <= maximum:
        raise InvalidRequestError(f"{name.decode()} is not a number in its range")
    return float(text)


def decode_name(text: bytes) -> str:
    """Decode the name of a class or tenant as the settings spell it; it may contain any characters.

    Raises:
        InvalidRequestError: The name is too long.
    """
    if len(text) > MAX_NAME_BYTES:
        raise InvalidRequestError("class or account is no name")
    try:
        return text.decode()
    except UnicodeDecodeError:  # the sender encodes header values as Latin-1, as was usual before UTF-8
        return text.decode("latin-1")


def parse_class_name(path: bytes) -> str:
    """Return the name of the class that a path names by its last segment, percent-encoded.

    Raises:
        InvalidRequestError: The name is too long.
    """
    last_segment = path.partition(b"?")[0].rpartition(b"/")[2]
    return decode_name(PERCENT_ESCAPE.sub(lambda found: bytes([int(found[1], 16)]), last_segment))


def parse_request(
    path: bytes, headers: Mapping[bytes, bytes], body: bytes, service: Service
) -> InboundRequest:
    """Build the core's request from the path and the header fields; its times are on the core's clock.

    Every number must lie in its range: it could otherwise give a request a deadline, size or priority rank
    that no valid request has.

    Args:
        path: The request's path, which names its class.
        headers: The request's headers, by names in lower case.
        body: The request's body.
        service: The service whose clock and longest deadline apply.

    Raises:
        InvalidRequestError: A field is missing or invalid; the error names it.
    """
    if len(body) > MAX_BODY_BYTES:
        raise InvalidRequestError("the body is too long")
    request_id = headers.get(b"request-id", b"")
    if not REQUEST_ID.match(request_id):
        raise InvalidRequestError("request-id is not 16 hex digits")
    class_name = parse_class_name(path)
    account = decode_name(headers.get(b"account", b""))
    key = headers.get(b"once-key")
    if key is not None and not IDEMPOTENCY_KEY.match(key):
        raise InvalidRequestError("once-key is malformed")
    resource_key = headers.get(b"resource-key")
    if resource_key is not None and not RESOURCE_KEY.match(resource_key):
        raise InvalidRequestError("resource-key is malformed")
    max_duration_ms = max(MAX_DURATION_MS, 2000 * service.longest_deadline)
    budget_ms = parse_number_field(headers, b"budget-ms", math.nan, 0, max_duration_ms)
    cost_ms = parse_number_field(headers, b"work-estimate", math.nan, 0, max_duration_ms)
    seconds_ahead = service.clock.seconds_ahead()
    unix_now = service.clock.read_seconds() - seconds_ahead  # Received-At is in Unix time
    max_age = service.max_request_age
    received_at = (
        seconds_ahead
        + parse_number_field(
            headers, b"received-at", None, (unix_now - max_age) * 1000, (unix_now + MAX_FUTURE_SECONDS) * 1000
        )
        / 1000
    )
    return InboundRequest(
        request_id,
        class_name,
        account,
        received_at,
        None if math.isnan(budget_ms) else budget_ms / 1000,
        # ``nextafter`` excludes the upper bound itself.
        parse_number_field(headers, b"footprint-kb", None, 1e-9, math.nextafter(2000, 0)),
        parse_number_field(headers, b"priority-rank", 0.0, 0, math.nextafter(1, 0)),
        None if math.isnan(cost_ms) else cost_ms / 1000,
        int(parse_number_field(headers, b"sent-by", 0, 0, 1e9, INTEGER)),
        key,
        None if resource_key is None else resource_key.decode("latin-1"),
        body=body,
    )
