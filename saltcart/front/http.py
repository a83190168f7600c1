"""The HTTP/1.1 front, for the platform's clients."""

from __future__ import annotations

from saltcart.core.service import Service
from saltcart.front.admission import RequestHead
from saltcart.front.connection import FrontConnection, HeaderFields
from saltcart.front.fields import MAX_BODY_BYTES
from saltcart.net.listener import Listener
from saltcart.wire import http1


class HttpConnection(FrontConnection):
    """A client's HTTP/1.1 connection."""

    def __init__(self, listener: Listener, service: Service) -> None:
        super().__init__(listener, service)
        self.parser = http1.HttpRequestParser(MAX_BODY_BYTES)

    def is_health_check(self) -> bool | None:
        """Return whether a GET request has begun; None while too few bytes have arrived."""
        first_bytes = self.buffer.peek(4)
        return (
            first_bytes == b"GET " if len(first_bytes) == 4 or not b"GET ".startswith(first_bytes) else None
        )

    def peek_path(self) -> bytes | None:
        """Return the path of the request that is arriving, once its first line has arrived."""
        words = self.parser.peek_first_line(self.buffer)
        return None if words is None else http1.path_of(words)

    def peek_head(self) -> RequestHead | None:
        """Return the head of the request that is arriving, unread; None while it is incomplete."""
        head = self.parser.peek_head(self.buffer)
        return None if head is None else RequestHead(http1.path_of(head.words), head.headers)

    def read_message(self) -> bool:
        """Read one request and dispatch it; return False while none is complete."""
        request = self.parser.next(self.buffer)
        if request is None:
            return False
        self.keep_alive = request.keep_alive
        self.dispatch(request.method, request.target, request.headers, request.body)
        return True

    def write_response(self, status: int, body: bytes = b"", fields: HeaderFields = ()) -> None:
        """Send one response; unless ``keep_alive`` is set it announces the end of the connection."""
        self.send(http1.encode_response(status, body, fields, not self.keep_alive))
