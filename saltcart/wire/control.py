"""The operators' protocol: one command line on each connection, and metrics in statsd format."""

from __future__ import annotations

from saltcart.wire.buffer import Buffer
from saltcart.wire.errors import MalformedMessageError

MAX_LINE_BYTES = 256


def take_command(buffer: Buffer) -> str | None:
    """Consume the command line and return it without its line end, or None while it is incomplete.

    Raises:
        MalformedMessageError: The line is too long or not printable ASCII text.
    """
    position = buffer.find(b"\n")
    if position > MAX_LINE_BYTES or (position < 0 and len(buffer) > MAX_LINE_BYTES):
        raise MalformedMessageError("line too long")
    if position < 0:
        return None
    line = buffer.take(position + 1).rstrip(b"\r\n")
    if not line.isascii() or not line.decode("ascii").isprintable():
        raise MalformedMessageError("not a line of text")
    return line.decode("ascii").strip()


def format_metric(name: str, value: int, metric_type: str) -> str:
    """Format one metric in statsd format; its type is ``c`` for a counter or ``g`` for a gauge."""
    return f"balancer.{name}:{value}|{metric_type}\n"
