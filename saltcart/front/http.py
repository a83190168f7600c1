"""The platform's front: HTTP/1.1."""

from __future__ import annotations

from saltcart.core.service import Service
from saltcart.front.connection import Fields, FrontConnection
from saltcart.front.fields import MAX_BODY
from saltcart.net.listener import Listener
from saltcart.wire import http1


class HttpConnection(FrontConnection):
    def __init__(self, listener: Listener, service: Service) -> None:
        super().__init__(listener, service)
        self.parser = http1.HttpRequestParser(MAX_BODY)

    def partial(self) -> bool:
        return self.parser.head is not None or super().partial()

    def unread(self) -> bytes | None:
        return self.parser.raw_head + self.buffer.peek(len(self.buffer))

    def check_call(self) -> bool | None:
        begun = self.buffer.peek(4)
        return begun == b"GET " if len(begun) == 4 or not b"GET ".startswith(begun) else None

    def step(self) -> bool:
        request = self.parser.next(self.buffer)
        if request is None:
            return False
        self.keep_alive = request.keep_alive
        self.dispatch(request.method, request.target, request.headers, request.body)
        return True

    def write(self, status: int, body: bytes = b"", fields: Fields = ()) -> None:
        self.send(http1.encode_response(status, body, fields, not self.keep_alive))
