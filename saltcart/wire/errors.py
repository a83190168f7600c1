"""The one way in which a wire's state machine says that what came is not its protocol."""

from __future__ import annotations


class MalformedMessageError(Exception):
    """``status`` is the answer it gets where the protocol has one; the connection ends either way."""

    def __init__(self, text: str, status: int = 400) -> None:
        super().__init__(text)
        self.status = status
