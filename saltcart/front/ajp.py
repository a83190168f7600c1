"""The second front: AJP/1.3, for callers behind gateways that speak nothing else."""

from __future__ import annotations

from saltcart.core.service import Service
from saltcart.front.connection import Fields, FrontConnection
from saltcart.front.fields import MAX_BODY
from saltcart.net.listener import Listener
from saltcart.wire import ajp, http1


class AjpConnection(FrontConnection):
    def __init__(self, listener: Listener, service: Service, secret: bytes = b"") -> None:
        super().__init__(listener, service)
        self.parser = ajp.RequestParser(MAX_BODY, secret)

    def partial(self) -> bool:
        return self.parser.request is not None or super().partial()

    def unread(self) -> bytes | None:
        return None if self.parser.request is not None else super().unread()

    def check_call(self) -> bool | None:
        # What belongs to a request that was let in already is none of the door's.
        if self.parser.request is not None:
            return True
        return self.buffer.peek(1, 4) == bytes([ajp.CPING]) if len(self.buffer) > 4 else None

    def step(self) -> bool:
        message = self.parser.next(self.buffer)
        match message:
            case None:
                return False
            case ajp.CPing():
                self.send(ajp.CPONG_PACKET)
                self.mark_idle()
            case ajp.MoreBody(data):
                self.send(data)
            case ajp.ForwardRequest():
                self.dispatch(message.method, message.uri, message.headers, message.body)
        return True

    def write(self, status: int, body: bytes = b"", fields: Fields = ()) -> None:
        self.send(
            ajp.response(
                status,
                http1.REASONS.get(status, b"Unknown"),
                [(name.encode(), value.encode()) for name, value in fields],
                body,
                self.keep_alive,
            )
        )
