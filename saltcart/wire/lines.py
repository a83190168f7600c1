"""Lines of words, some followed by a counted body: what the pool's and the index's links share."""

from __future__ import annotations

from collections.abc import Callable

from saltcart.wire.buffer import Buffer
from saltcart.wire.errors import MalformedMessageError

MAX_LINE, MAX_BODY = 1024, 16384


def parse_number(words: list[bytes], at: int) -> int:
    if len(words) <= at or not words[at].isdigit() or len(words[at]) > 18:
        raise MalformedMessageError(f"{words[0][:20]!r}: field {at} is not a number")
    return int(words[at])


class LineReader:
    """``length_of`` gives the length of the body that follows a line, or None where none does.

    Lines that start with ``remark`` mean nothing, and may be of any length: none of a long one is kept.
    """

    def __init__(self, length_of: Callable[[list[bytes]], int | None], remark: bytes = b"") -> None:
        self.length_of, self.remark = length_of, remark
        self.reset()

    def reset(self) -> None:
        self.words: list[bytes] | None = None  # of a line whose body is not whole yet
        self.length: int | None = None
        self.skipping = False  # the rest of a long remark is still to come

    def next(self, buffer: Buffer) -> tuple[list[bytes], bytes] | None:
        """The next line with its body, once both are whole."""
        if self.words is None:
            self._skip(buffer)
            try:
                line = buffer.take_line(MAX_LINE)
            except ValueError as error:
                raise MalformedMessageError(str(error)) from None
            if line is None:
                return None
            self.words = line.split(b" ")
            self.length = self.length_of(self.words)
            if self.length is not None and self.length > MAX_BODY:
                raise MalformedMessageError("body too long")
        body = b""
        if self.length is not None:
            if len(buffer) < self.length + 2:
                return None
            body = buffer.take(self.length)
            if buffer.take(2) != b"\r\n":
                raise MalformedMessageError("body without its end")
        words, self.words = self.words, None
        return words, body

    def _skip(self, buffer: Buffer) -> None:
        """Drop a remark that is longer than a line may be, as far as it is here."""
        if (
            not self.skipping
            and self.remark
            and len(buffer) > MAX_LINE
            and (buffer.peek(len(self.remark)) == self.remark and not 0 <= buffer.find(b"\r\n") <= MAX_LINE)
        ):
            self.skipping = True
        if self.skipping:
            at = buffer.find(b"\r\n")
            self.skipping = at < 0
            buffer.consume(at + 2 if at >= 0 else max(0, len(buffer) - 1))  # a CR may be its last byte
