"""The API on a socket: HTTP/1.1 on a loopback listener of its own."""

from __future__ import annotations

from saltcart.admin.api import Api
from saltcart.net.listener import Listener, ServerConnection
from saltcart.wire import http1
from saltcart.wire.errors import MalformedMessageError

MAX_BODY = 65536


class AdminConnection(ServerConnection):
    def __init__(self, listener: Listener, api: Api) -> None:
        super().__init__(listener, limit=2 * MAX_BODY)
        self.api, self.parser = api, http1.HttpRequestParser(MAX_BODY)

    def received(self) -> None:
        self.mark_awaiting_request()
        try:
            while not self.is_ending and self.transport is not None and not self.transport.is_closing():
                request = self.parser.next(self.buffer)
                if request is None:
                    return
                self.mark_idle()
                status, body, fields = self.api.handle(
                    request.method.decode("latin-1"),
                    request.target.decode("latin-1"),
                    request.headers,
                    request.body,
                )
                self._write(status, body, fields, request.keep_alive)
        except MalformedMessageError as error:
            self._write(error.status, b'{"error":"malformed request"}', {}, False)

    def _write(self, status: int, body: bytes, fields: dict[str, str], keep_alive: bool) -> None:
        kind = {"Content-Type": "application/json"} if body else {}
        self.send(http1.encode_response(status, body, tuple({**kind, **fields}.items()), not keep_alive))
        if not keep_alive:
            self.half_close()
