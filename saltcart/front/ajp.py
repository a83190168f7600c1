"""The AJP/1.3 front, for clients behind gateways that support only this protocol."""

from __future__ import annotations

from saltcart.core.service import Service
from saltcart.front.admission import RequestHead
from saltcart.front.connection import FrontConnection, HeaderFields
from saltcart.front.fields import MAX_BODY_BYTES
from saltcart.net.listener import Listener
from saltcart.wire import ajp, http1


class AjpConnection(FrontConnection):
    """A gateway's AJP connection."""

    def __init__(self, listener: Listener, service: Service, secret: bytes = b"") -> None:
        super().__init__(listener, service)
        self.parser = ajp.AjpRequestParser(MAX_BODY_BYTES, secret)

    def has_partial_request(self) -> bool:
        """Return whether part of a request has arrived."""
        return self.parser.incomplete_request is not None or super().has_partial_request()

    def unread_bytes(self) -> bytes | None:
        """Return all bytes that have arrived of the next request; None once its first packet is consumed."""
        return None if self.parser.incomplete_request is not None else super().unread_bytes()

    def half_close(self) -> None:
        """Close the sending direction, and release the incomplete request."""
        super().half_close()
        self.parser.discard()

    def held_bytes(self) -> int:
        """Return the memory in bytes that the part of a request uses which has arrived."""
        return super().held_bytes() + self.parser.held_bytes()

    def is_health_check(self) -> bool | None:
        """Return whether a CPing has begun; None while too few bytes have arrived."""
        # Body packets of a request that was already admitted must be read, so they pass like a health check.
        if self.parser.incomplete_request is not None:
            return True
        return self.buffer.peek(1, 4) == bytes([ajp.CPING]) if len(self.buffer) > 4 else None

    def peek_head(self) -> RequestHead | None:
        """Return the head of the request that is arriving, unread; None while it is incomplete."""
        request = self.parser.peek_request(self.buffer)
        return None if request is None else RequestHead(request.uri.partition(b"?")[0], request.headers)

    def read_message(self) -> bool:
        """Read one message and respond to it or dispatch it; return False while none is complete."""
        message = self.parser.next(self.buffer)
        match message:
            case None:
                return False
            case ajp.CPing():
                self.send(ajp.CPONG_PACKET)
                self.admission.next_request()
                self.mark_idle()
            case ajp.GetBodyChunkPacket(data):
                self.send(data)
            case ajp.ForwardRequest():
                self.dispatch(message.method, message.uri, message.headers, message.body)
        return True

    def write_response(self, status: int, body: bytes = b"", fields: HeaderFields = ()) -> None:
        """Send one response; unless ``keep_alive`` is set it announces the end of the connection."""
        self.send(
            ajp.encode_response(
                status,
                http1.REASON_PHRASES.get(status, b"Unknown"),
                [(name.encode(), value.encode()) for name, value in fields],
                body,
                self.keep_alive,
            )
        )
