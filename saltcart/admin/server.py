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
        """Respond to every request that has arrived whole."""
        self.mark_awaiting_request()
        try:
            while not self.is_ending and self.transport is not None and not self.transport.is_closing():
                request = self.parser.next(self.buffer)
                if request is None:
                    return
                self.mark_idle()
                status, body, headers = self.api.handle(
                    request.method.decode("latin-1"),
                    request.target.decode("latin-1"),
                    request.headers,
                    request.body,
                )
                self._write(status, body, headers, request.keep_alive)
        except MalformedMessageError as error:
            self._write(error.status, b'{"error":"malformed request"}', {}, False)

    def _write(self, status: int, body: bytes, headers: dict[str, str], keep_alive: bool) -> None:
        content_type = {"Content-Type": "application/json"} if body else {}
        self.send(
            http1.encode_response(status, body, tuple({**content_type, **headers}.items()), not keep_alive)
        )
        if not keep_alive:
            self.half_close()
