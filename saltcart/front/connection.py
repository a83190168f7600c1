"""What the fronts share: one request at a time on a connection, its answer, and what its end means."""

from __future__ import annotations

from collections.abc import Mapping
from math import ceil

from saltcart.core.messages import FinalResponse, InvalidRequestError, ResponseStatus
from saltcart.core.service import Service
from saltcart.decision.connection_admission import ConnectionAdmission
from saltcart.front.fields import read_ask
from saltcart.net.listener import Listener, ServerConnection
from saltcart.wire.errors import MalformedMessageError

STATUS = {ResponseStatus.SERVED: 200, ResponseStatus.REJECTED: 503, ResponseStatus.FAILED: 500}
CLOSE_ON_ANSWER = 0.25  # idle times below this end the connection with the answer, not after it
AT_ONCE = 8  # requests of one connection that are answered in one turn: a flood must not hold up the others
Fields = tuple[tuple[str, str], ...]


def answer_fields(answer: FinalResponse) -> Fields:
    """The fields that an answer carries, the same on every front."""
    fields = []
    if answer.load_level is not None:
        fields.append(("Server-Hint", f"{answer.load_level:.4f}"))
    if answer.status is ResponseStatus.REJECTED and answer.back_off_seconds > 0:
        fields.append(("Back-Off-Ms", str(max(1, round(answer.back_off_seconds * 1000)))))
    if answer.retry_after_seconds > 0:
        fields.append(("Retry-After", str(max(1, ceil(answer.retry_after_seconds)))))
    if answer.status is ResponseStatus.REJECTED and answer.is_final:
        fields.append(("Final-Refusal", "1"))
    if answer.skipped_dependencies:
        fields.append(("Left-Out", ", ".join(answer.skipped_dependencies)))
    if answer.cached_dependencies:
        fields.append(("From-Memory", ", ".join(answer.cached_dependencies)))
    return tuple(fields)


class FrontConnection(ServerConnection):
    """A front's connection; the subclass knows the wire."""

    def __init__(self, listener: Listener, service: Service) -> None:
        super().__init__(listener)
        self.service = service
        self.number, self.keep_alive = 0, True
        self.open = False  # a whole request was read and its answer is owed
        self.taking = False  # the core is being given a request: an answer at once goes on in the same turn
        # Where storms are watched for: who sends, whether the request that comes was let in, and whether
        # last.
        self.source = 0
        self.entered = self.last = False

    def check_call(self) -> bool | None:
        """Whether a health check has begun, by its first bytes alone; None while there are too few."""
        raise NotImplementedError

    def opened(self) -> None:
        super().opened()
        if self.service.ports.storm_control is not None and self.transport is not None:
            peer = self.transport.get_extra_info("peername")
            self.source = self.service.ports.storm_control.source_of(peer[0] if peer else "")

    def enters(self) -> bool:
        """Whether the request whose first bytes are here may be read.  If not, it is turned back unread."""
        storms = self.service.ports.storm_control
        if storms is None or self.entered or not len(self.buffer):
            return True
        check = self.check_call()
        if check is None:
            return False
        now = self.service.clock.read_seconds()
        entry = ConnectionAdmission.READ if check else storms.admit_connection(now, self.source)
        if entry is ConnectionAdmission.REFUSE:
            back = storms.reject_unread(now, self.source)
            answer = FinalResponse(
                ResponseStatus.REJECTED, retry_after_seconds=back.retry_after, is_final=back.is_final
            )
            self.cut_off(503, b"", answer_fields(answer))
            return False
        self.entered, self.last = True, entry is ConnectionAdmission.READ_LAST
        return True

    def step(self) -> bool:
        """Read one message and act on it; False while none is whole."""
        raise NotImplementedError

    def write(self, status: int, body: bytes = b"", fields: Fields = ()) -> None:
        """Send one answer; with ``keep_alive`` off it says that the connection ends."""
        raise NotImplementedError

    def partial(self) -> bool:
        """Whether a part of a request is here."""
        return len(self.buffer) > 0

    def unread(self) -> bytes | None:
        """All bytes of the next request that came so far, or None where they can't be told any more."""
        return self.buffer.peek(len(self.buffer))

    def hand_over(self) -> bool:
        """Pass the connection to the process that takes over, unless a request or an end is under way."""
        heir, transport = self.listener.pass_connection, self.transport
        if (
            heir is None
            or transport is None
            or transport.is_closing()
            or self.open
            or self.is_ending
            or (not self.keep_alive or transport.get_write_buffer_size())
        ):
            return False
        rest = self.unread()
        return rest is not None and heir(self, rest)

    def able(self) -> bool:
        """Whether a further request may be read: one at a time, and none for a peer that reads no answers."""
        return (
            not self.open
            and self not in self.listener.write_blocked
            and not self.is_ending
            and (self.transport is not None and not self.transport.is_closing())
        )

    def received(self) -> None:
        if not self.open:
            self.mark_awaiting_request()
            if self.listener.pass_connection is not None and self.keep_alive and self.unread() is not None:
                if not self.hand_over() and self.transport is not None:
                    self.transport.pause_reading()  # it goes later, and no more must come here meanwhile
                return
        try:
            for _ in range(AT_ONCE):
                if not self.able():
                    break
                if not self.enters() or not self.step():
                    if self.partial():  # its time runs, whatever was answered before it
                        self.mark_awaiting_request()
                    return
            else:
                self.continue_reading()
        except MalformedMessageError as error:
            self.cut_off(error.status, str(error).encode())
            return
        # What follows an open request waits in the buffer; a full one stops the reading.
        if self.transport is not None and len(self.buffer) + 1024 > self.buffer.limit:
            self.transport.pause_reading()

    def continue_reading(self) -> None:
        """Go on with what the buffer holds in the next turn of the loop."""
        if self.able() and len(self.buffer):
            assert self.transport is not None
            self.transport.resume_reading()
            self.listener.loop.call_soon(self._next)

    def _next(self) -> None:
        if self.able():
            self.received()

    def resume_writing(self) -> None:
        super().resume_writing()
        self.continue_reading()

    def on_request_timeout(self) -> None:
        if self.partial():
            self.cut_off(408, b"the request did not come whole in its time")
        else:
            self.close()

    def cut_off(self, status: int, why: bytes, fields: Fields = ()) -> None:
        """Answer what was no request.  Nothing more is read; what still comes must not cost that answer."""
        if self.is_ending or self.transport is None or self.transport.is_closing():
            return
        self.keep_alive = False
        self.write(status, why, fields)
        self.mark_awaiting_request()  # it may make way for others
        self.half_close()

    def respond(self, status: int, body: bytes = b"", fields: Fields = ()) -> None:
        self.write(status, body, fields)
        self.entered = False
        self.mark_idle()
        if not self.keep_alive:
            self.half_close()

    def dispatch(self, method: bytes, target: bytes, headers: Mapping[bytes, bytes], body: bytes) -> None:
        """One whole request of either front."""
        self.mark_busy()
        path = target.partition(b"?")[0]
        if path == b"/ping":
            hint = answer_fields(FinalResponse(ResponseStatus.SERVED, load_level=self.service.load_level))
            self.respond(200 if self.service.is_healthy else 503, b"", hint)
        elif not path.startswith(b"/call/"):
            self.respond(404)
        elif method != b"POST":
            self.respond(405, b"", (("Allow", "POST"),))
        else:
            try:
                ask = read_ask(path, headers, body, self.service)
                ask.admitted_last = self.last
                self.open = self.taking = True
                number = self.service.submit(ask, self.reply)
            except InvalidRequestError as error:
                self.open = False
                self.respond(400, str(error).encode())
            else:
                self.number = number if self.open else 0
            finally:
                self.taking = False

    def reply(self, answer: FinalResponse) -> None:
        self.open, self.number = False, 0
        if answer.retry_after_seconds > 0 and self.service.ports.storm_control is not None:
            self.service.ports.storm_control.record_advice(
                self.service.clock.read_seconds(), self.source, answer.retry_after_seconds
            )
        if self.service.idle_timeout < CLOSE_ON_ANSWER:
            self.keep_alive = False
        self.respond(STATUS[answer.status], answer.body, answer_fields(answer))
        self.hand_over()
        if not self.taking:
            self.continue_reading()

    def eof_received(self) -> bool:
        """The peer sends no more: it has stopped waiting.  Should it still read, it is told."""
        if self.open:
            self.keep_alive = False
            self.write(500)
        return super().eof_received()

    def closed(self) -> None:
        """The peer has stopped waiting, if a request is open."""
        super().closed()
        if self.open:
            self.open = False
            self.service.abandon(self.number)
