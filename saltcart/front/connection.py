"""What the fronts share: one request at a time on a connection, its answer, and what its end means."""

from __future__ import annotations

from collections.abc import Mapping

from saltcart.core.ports import Answer, Verdict
from saltcart.core.service import Service, Unacceptable
from saltcart.front.fields import read_ask
from saltcart.net.listener import Listener, ServerConnection
from saltcart.wire.errors import Malformed

STATUS = {Verdict.SERVED: 200, Verdict.REFUSED: 503, Verdict.FAILED: 500}
CLOSE_ON_ANSWER = 0.25  # idle times below this end the connection with the answer, not after it
Fields = tuple[tuple[str, str], ...]


def answer_fields(answer: Answer) -> Fields:
    """The fields that an answer carries, the same on every front."""
    fields = []
    if answer.hint is not None:
        fields.append(("Server-Hint", f"{answer.hint:.4f}"))
    if answer.verdict is Verdict.REFUSED and answer.back_off > 0:
        fields.append(("Back-Off-Ms", str(max(1, round(answer.back_off * 1000)))))
    if answer.verdict is Verdict.REFUSED and answer.final:
        fields.append(("Final-Refusal", "1"))
    return tuple(fields)


class FrontConnection(ServerConnection):
    """A front's connection; the subclass knows the wire."""

    def __init__(self, listener: Listener, service: Service) -> None:
        super().__init__(listener)
        self.service = service
        self.number, self.keep_alive = 0, True

    def step(self) -> bool:
        """Read one message and act on it; False while none is whole."""
        raise NotImplementedError

    def write(self, status: int, body: bytes = b"", fields: Fields = ()) -> None:
        """Send one answer; with ``keep_alive`` off it says that the connection ends."""
        raise NotImplementedError

    def busy(self) -> bool:
        return self.open or super().busy()

    def received(self) -> None:
        self.touch()
        try:
            while not self.open and self.transport is not None and not self.transport.is_closing():
                if not self.step():
                    return
        except Malformed as error:
            self.keep_alive = False
            self.respond(error.status, str(error).encode())
            return
        # What follows an open request waits in the buffer; a full one stops the reading.
        if self.transport is not None and len(self.buffer) + 1024 > self.buffer.limit:
            self.transport.pause_reading()

    def respond(self, status: int, body: bytes = b"", fields: Fields = ()) -> None:
        self.touch()
        self.write(status, body, fields)
        if not self.keep_alive:
            self.close()

    def dispatch(self, method: bytes, target: bytes, headers: Mapping[bytes, bytes], body: bytes) -> None:
        """One whole request of either front."""
        path = target.partition(b"?")[0]
        if path == b"/ping":
            hint = answer_fields(Answer(Verdict.SERVED, hint=self.service.hint))
            self.respond(200 if self.service.healthy else 503, b"", hint)
        elif not path.startswith(b"/call/"):
            self.respond(404)
        elif method != b"POST":
            self.respond(405, b"", (("Allow", "POST"),))
        else:
            try:
                ask = read_ask(path, headers, body, self.service.clock())
                self.open = True
                number = self.service.arrive(ask, self.reply)
            except Unacceptable as error:
                self.open = False
                self.respond(400, str(error).encode())
            else:
                self.number = number if self.open else 0

    def reply(self, answer: Answer) -> None:
        self.open, self.number = False, 0
        if self.service.idle_after < CLOSE_ON_ANSWER:
            self.keep_alive = False
        self.respond(STATUS[answer.verdict], answer.body, answer_fields(answer))
        if self.transport is not None and self.keep_alive and len(self.buffer):
            self.transport.resume_reading()
            self.listener.loop.call_soon(self.received)

    def closed(self) -> None:
        """The peer has stopped waiting, if a request is open."""
        super().closed()
        if self.open:
            self.open = False
            self.service.abandon(self.number)
