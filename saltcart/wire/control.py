"""The operators' calls: one line on each connection."""

from __future__ import annotations

from saltcart.wire.buffer import Buffer
from saltcart.wire.errors import MalformedMessageError

MAX_LINE = 256


def take_command(buffer: Buffer) -> str | None:
    """The line without its end, or None while it is not whole.

    ``MalformedMessageError`` where it never will be.
    """
    at = buffer.find(b"\n")
    if at > MAX_LINE or (at < 0 and len(buffer) > MAX_LINE):
        raise MalformedMessageError("line too long")
    if at < 0:
        return None
    line = buffer.take(at + 1).rstrip(b"\r\n")
    if not line.isascii() or not line.decode("ascii").isprintable():
        raise MalformedMessageError("not a line of text")
    return line.decode("ascii").strip()


def statsd(name: str, value: int, kind: str) -> str:
    """One figure: ``c`` is a counter, ``g`` a gauge."""
    return f"balancer.{name}:{value}|{kind}\n"
