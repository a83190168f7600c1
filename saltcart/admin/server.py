"""HTTP/1.1 server of the administration API, on a loopback listener of its own."""

from __future__ import annotations

from saltcart.admin.api import AdminApi
from saltcart.net.listener import Listener, ServerConnection
from saltcart.wire import http1
from saltcart.wire.errors import MalformedMessageError

MAX_BODY_BYTES = 65536


class AdminConnection(ServerConnection):
    """One HTTP connection to the administration API."""

    def __init__(self, listener: Listener, api: AdminApi) -> None:
        """Serve requests with ``api``."""
        super().__init__(listener, limit=2 * MAX_BODY_BYTES)
        self.api, self.parser = api, http1.HttpRequestParser(MAX_BODY_BYTES)

    def received(self) -> None:
        """Respond to the requests that have arrived whole, some in each iteration of the event loop."""
        self.mark_awaiting_request()
        try:
            for _ in range(self.MAX_REQUESTS_PER_ITERATION):
                if not self.can_respond():
                    break
                request = self.parser.next(self.buffer)
                if request is None:
                    return
                self._respond(request)
        except MalformedMessageError as error:
            self._write(error.status, b'{"error":"malformed request"}', {}, False)
        if self.transport is not None and not self.is_ending:
            self.transport.pause_reading()
            self._continue_later()

    def _respond(self, request: http1.HttpRequest) -> None:
        self.mark_idle()
        status, body, headers = self.api.handle(
            request.method.decode("latin-1"),
            request.target.decode("latin-1"),
            request.headers,
            request.body,
        )
        self._write(status, body, headers, request.keep_alive)

    def resume_writing(self) -> None:
        """Continue with the requests that have arrived once the client reads its responses again."""
        super().resume_writing()
        self._continue_later()

    def _continue_later(self) -> None:
        self.listener.loop.call_soon(self._continue)

    def _continue(self) -> None:
        if self.transport is None or not self.can_respond():
            return
        self.transport.resume_reading()
        if len(self.buffer):
            self.received()

    def _write(self, status: int, body: bytes, headers: dict[str, str], keep_alive: bool) -> None:
        content_type = {"Content-Type": "application/json"} if body else {}
        self.send(
            http1.encode_response(status, body, tuple({**content_type, **headers}.items()), not keep_alive)
        )
        if not keep_alive:
            self.half_close()
