"""Framing of the pool's and the index's protocols: lines, some followed by a body of stated length."""

from __future__ import annotations

from collections.abc import Callable

from saltcart.wire.buffer import Buffer
from saltcart.wire.errors import MalformedMessageError

MAX_LINE_BYTES, MAX_BODY_BYTES = 1024, 16384


def parse_number(words: list[bytes], index: int) -> int:
    """Return the word at ``index`` as an integer.

    Raises:
        MalformedMessageError: The word is missing or not a number of at most 18 digits.
    """
    if len(words) <= index or not words[index].isdigit() or len(words[index]) > 18:
        raise MalformedMessageError(f"{words[0][:20]!r}: field {index} is not a number")
    return int(words[index])


class LineReader:
    """Reads lines, each with the body that follows it."""

    def __init__(
        self, body_length_of: Callable[[list[bytes]], int | None], ignored_prefix: bytes = b""
    ) -> None:
        """Create a reader for one connection.

        Args:
            body_length_of: Returns the length in bytes of the body that follows a line, given the line's
                words, or None if no body follows.
            ignored_prefix: Lines that start with this prefix carry no information and may have any length:
                of a line longer than the limit nothing is kept or returned.
        """
        self.body_length_of, self.ignored_prefix = body_length_of, ignored_prefix
        self.reset()

    def reset(self) -> None:
        """Discard a partly read line or body, for a new connection."""
        self.words: list[bytes] | None = None  # of a line whose body is incomplete
        self.body_length: int | None = None
        self.is_skipping = False  # the rest of a long ignored line has not arrived

    def next(self, buffer: Buffer) -> tuple[list[bytes], bytes] | None:
        """Return the words of the next line and its body, or None while they are incomplete.

        Raises:
            MalformedMessageError: The line or its body is too long, or the body is not followed by CR LF.
        """
        if self.words is None:
            self._skip_ignored_line(buffer)
            try:
                line = buffer.take_line(MAX_LINE_BYTES)
            except ValueError as error:
                raise MalformedMessageError(str(error)) from None
            if line is None:
                return None
            self.words = line.split(b" ")
            self.body_length = self.body_length_of(self.words)
            if self.body_length is not None and self.body_length > MAX_BODY_BYTES:
                raise MalformedMessageError("body too long")
        body = b""
        if self.body_length is not None:
            if len(buffer) < self.body_length + 2:
                return None
            body = buffer.take(self.body_length)
            if buffer.take(2) != b"\r\n":
                raise MalformedMessageError("body is not followed by CR LF")
        words, self.words = self.words, None
        return words, body

    def _skip_ignored_line(self, buffer: Buffer) -> None:
        """Drop an ignored line that exceeds the limit, as far as it has arrived."""
        if (
            not self.is_skipping
            and self.ignored_prefix
            and len(buffer) > MAX_LINE_BYTES
            and (
                buffer.peek(len(self.ignored_prefix)) == self.ignored_prefix
                and not 0 <= buffer.find(b"\r\n") <= MAX_LINE_BYTES
            )
        ):
            self.is_skipping = True
        if self.is_skipping:
            position = buffer.find(b"\r\n")
            self.is_skipping = position < 0
            # The last byte may be the CR of the line's end.
            buffer.consume(position + 2 if position >= 0 else max(0, len(buffer) - 1))
