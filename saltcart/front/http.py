"""The platform's front: HTTP/1.1, one request at a time on a connection."""

from __future__ import annotations

from saltcart.core.ports import Answer, Verdict
from saltcart.core.service import Service, Unacceptable
from saltcart.front.fields import MAX_BODY, read_ask
from saltcart.net.listener import Listener, ServerConnection
from saltcart.wire import http1

STATUS = {Verdict.SERVED: 200, Verdict.REFUSED: 503, Verdict.FAILED: 500}
CLOSE_ON_ANSWER = 0.25  # idle times below this end the connection with the answer, not after it


def answer_headers(answer: Answer) -> tuple[tuple[str, str], ...]:
    """The fields that an answer carries, the same on every front."""
    fields = []
    if answer.hint is not None:
        fields.append(("Server-Hint", f"{answer.hint:.4f}"))
    if answer.verdict is Verdict.REFUSED and answer.back_off > 0:
        fields.append(("Back-Off-Ms", str(max(1, round(answer.back_off * 1000)))))
    if answer.verdict is Verdict.REFUSED and answer.final:
        fields.append(("Final-Refusal", "1"))
    return tuple(fields)


class HttpConnection(ServerConnection):
    def __init__(self, listener: Listener, service: Service) -> None:
        super().__init__(listener)
        self.service, self.parser = service, http1.RequestParser(MAX_BODY)
        self.open, self.number, self.keep_alive = False, 0, True

    def busy(self) -> bool:
        return self.open or super().busy()

    def received(self) -> None:
        self.touch()
        try:
            while not self.open and self.transport is not None and not self.transport.is_closing():
                request = self.parser.next(self.buffer)
                if request is None:
                    return
                self.keep_alive = request.keep_alive
                self._dispatch(request)
        except http1.Malformed as error:
            self.keep_alive = False
            self._write(error.status, str(error).encode())
            return
        # What follows an open request waits in the buffer; a full one stops the reading.
        if self.transport is not None and len(self.buffer) + 1024 > self.buffer.limit:
            self.transport.pause_reading()

    def _dispatch(self, request: http1.Request) -> None:
        path = request.target.partition(b"?")[0]
        if path == b"/ping":
            good = self.service.healthy
            hint = answer_headers(Answer(Verdict.SERVED, hint=self.service.hint))
            self._write(200 if good else 503, b"", hint)
        elif not path.startswith(b"/call/"):
            self._write(404)
        elif request.method != b"POST":
            self._write(405, b"", (("Allow", "POST"),))
        else:
            try:
                ask = read_ask(path, request.headers, request.body)
                self.open = True
                number = self.service.arrive(ask, self._reply)
            except Unacceptable as error:
                self.open = False
                self._write(400, str(error).encode())
            else:
                self.number = number if self.open else 0

    def _reply(self, answer: Answer) -> None:
        self.open, self.number = False, 0
        if self.service.idle_after < CLOSE_ON_ANSWER:
            self.keep_alive = False
        self._write(STATUS[answer.verdict], answer.body, answer_headers(answer))
        if self.transport is not None and len(self.buffer) and self.keep_alive:
            self.transport.resume_reading()
            self.listener.loop.call_soon(self.received)

    def _write(self, status: int, body: bytes = b"", headers: tuple[tuple[str, str], ...] = ()) -> None:
        self.touch()
        self.send(http1.response(status, body, headers, not self.keep_alive))
        if not self.keep_alive:
            self.close()

    def closed(self) -> None:
        super().closed()
        if self.open:
            self.open = False
            self.service.abandon(self.number)
