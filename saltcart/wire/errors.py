"""The error that all protocol state machines raise for malformed input."""

from __future__ import annotations


class MalformedMessageError(Exception):
    """Received data violates the protocol; the connection must be closed.

    Attributes:
        status: The HTTP status of the response that the peer gets if the protocol has responses.
    """

    def __init__(self, text: str, status: int = 400) -> None:
        super().__init__(text)
        self.status = status
