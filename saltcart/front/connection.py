"""Client connections, common to all fronts: one request at a time, its response, and loss of the client."""

from __future__ import annotations

from collections.abc import Mapping
from math import ceil

from saltcart.core.messages import FinalResponse, InvalidRequestError, ResponseStatus
from saltcart.core.service import Service
from saltcart.decision.connection_admission import ConnectionAdmission
from saltcart.front.admission import RequestAdmission, RequestHead
from saltcart.front.fields import parse_request
from saltcart.net.listener import Listener, ServerConnection
from saltcart.wire.errors import MalformedMessageError

STATUS_CODES = {ResponseStatus.SERVED: 200, ResponseStatus.REJECTED: 503, ResponseStatus.FAILED: 500}
# With a shorter idle timeout the connection ends with the response rather than some time after it.
MIN_IDLE_TIMEOUT_SECONDS = 0.25
READ_AHEAD_BYTES = 1024  # read of the next request while one is open
WRITE_BUFFER_BYTES = 16384  # of responses that the client has not read; more than one response may have
HeaderFields = tuple[tuple[str, str], ...]


def response_headers(response: FinalResponse) -> HeaderFields:
    """Return the header fields of a response, which are the same on every front."""
    fields = []
    if response.load_level is not None:
        fields.append(("Server-Hint", f"{response.load_level:.4f}"))
    if response.status is ResponseStatus.REJECTED and response.back_off_seconds > 0:
        fields.append(("Back-Off-Ms", str(max(1, round(response.back_off_seconds * 1000)))))
    if response.retry_after_seconds > 0:
        fields.append(("Retry-After", str(max(1, ceil(response.retry_after_seconds)))))
    if response.status is ResponseStatus.REJECTED and response.is_final:
        fields.append(("Final-Refusal", "1"))
    if response.skipped_dependencies:
        fields.append(("Left-Out", ", ".join(response.skipped_dependencies)))
    if response.cached_dependencies:
        fields.append(("From-Memory", ", ".join(response.cached_dependencies)))
    return tuple(fields)


class FrontConnection(ServerConnection):
    """A client's connection to a front; subclasses implement the protocol."""

    def __init__(self, listener: Listener, service: Service) -> None:
        super().__init__(listener)
        self.service = service
        # The open request's number, 0 if there is none; and whether the connection outlives the response.
        self.request_number, self.keep_alive = 0, True
        self.has_open_request = False  # a complete request was read and has no response yet
        # A request is being passed to the core; after an immediate response, reading continues at once.
        self.is_submitting = False
        # The next request begins with the bytes that were received just now.
        self.is_first_of_data = False
        self.admission = RequestAdmission(service)

    def is_health_check(self) -> bool | None:
        """Return whether the first bytes are those of a health check; None while there are too few."""
        raise NotImplementedError

    def peek_head(self) -> RequestHead | None:
        """Return the head of the request that is arriving, and consume nothing; None while it is incomplete.

        Raises:
            MalformedMessageError: The head is malformed.
        """
        raise NotImplementedError

    def peek_path(self) -> bytes | None:
        """Return the path of the request that is arriving; None while too few bytes have arrived.

        Raises:
            MalformedMessageError: The head is malformed.
        """
        head = self.peek_head()
        return None if head is None else head.path

    def opened(self) -> None:
        """Determine the client's source when the connection opens."""
        super().opened()
        if self.transport is not None:
            self.transport.set_write_buffer_limits(high=WRITE_BUFFER_BYTES)
            peer = self.transport.get_extra_info("peername")
            self.admission.set_client(peer[0] if peer else "")

    def admit_request(self) -> bool:
        """Return whether the request that has begun to arrive may be read; if not, reject it unread."""
        if not len(self.buffer):
            return True
        decision = self.admission.decide(self)
        if decision is ConnectionAdmission.REFUSE:
            self.reject_and_end(503, b"", response_headers(self.admission.reject()))
        return decision in (ConnectionAdmission.READ, ConnectionAdmission.READ_LAST)

    def read_message(self) -> bool:
        """Read one message and handle it; return False while none is complete."""
        raise NotImplementedError

    def write_response(self, status: int, body: bytes = b"", fields: HeaderFields = ()) -> None:
        """Send one response; unless ``keep_alive`` is set it announces the end of the connection."""
        raise NotImplementedError

    def has_partial_request(self) -> bool:
        """Return whether part of a request has arrived."""
        return len(self.buffer) > 0

    def unread_bytes(self) -> bytes | None:
        """Return all bytes that have arrived of the next request; None if some were already discarded."""
        return self.buffer.peek(len(self.buffer))

    def hand_over(self) -> bool:
        """Pass the connection to the successor process, unless it has an open request or is ending.

        Returns:
            Whether the connection was passed.
        """
        pass_connection, transport = self.listener.pass_connection, self.transport
        if (
            pass_connection is None
            or transport is None
            or transport.is_closing()
            or self.has_open_request
            or self.is_ending
            or (not self.keep_alive or transport.get_write_buffer_size())
        ):
            return False
        unread = self.unread_bytes()
        return unread is not None and pass_connection(self, unread)

    def can_read_request(self) -> bool:
        """Return whether another request may be read.

        Requests are read one at a time, and none from a client that does not read its responses.
        """
        return not self.has_open_request and self.can_respond()

    def buffer_updated(self, nbytes: int) -> None:
        """Process the bytes that asyncio has received into the buffer."""
        self.is_first_of_data = True
        super().buffer_updated(nbytes)
        self.is_first_of_data = False

    def received(self) -> None:
        """Read and handle requests from the buffer, or hand the connection over during a takeover."""
        if not self.has_open_request:
            self.mark_awaiting_request()
            if (
                self.listener.pass_connection is not None
                and self.keep_alive
                and self.unread_bytes() is not None
            ):
                if not self.hand_over() and self.transport is not None:
                    # The connection is handed over later; until then no more data must be read here.
                    self.transport.pause_reading()
                return
        try:
            for _ in range(self.MAX_REQUESTS_PER_ITERATION):
                if not self.can_read_request():
                    break
                if not self.admit_request() or not self.read_message():
                    # The time limit of a partial request runs even if responses to others were sent just now.
                    if self.has_partial_request():
                        self.mark_awaiting_request()
                    self._resume_reading()
                    return
                self.is_first_of_data = False
            else:
                self.continue_reading()
        except MalformedMessageError as error:
            self.reject_and_end(error.status, str(error).encode())
            return
        # Data of further requests stays in the buffer, which must not grow for it.
        if self.transport is not None and len(self.buffer) > READ_AHEAD_BYTES:
            self.transport.pause_reading()

    def _resume_reading(self) -> None:
        if self.transport is not None and not self.transport.is_closing():
            self.transport.resume_reading()

    def continue_reading(self) -> None:
        """Continue with the data in the buffer in the next iteration of the event loop."""
        if self.can_read_request() and len(self.buffer):
            self._resume_reading()
            self.listener.loop.call_soon(self._read_next)

    def _read_next(self) -> None:
        if self.can_read_request():
            self.received()
            self.report_memory()

    def resume_writing(self) -> None:
        """Continue reading requests once the client reads its responses again."""
        super().resume_writing()
        self.continue_reading()

    def on_request_timeout(self) -> None:
        """End a connection whose next request did not arrive completely in time."""
        if self.has_partial_request():
            self.reject_and_end(408, b"the request did not come whole in its time")
        else:
            self.close()

    def on_memory_shortage(self) -> None:
        """End a connection whose request is incomplete.

        The request may have run in an earlier attempt, so the status is not one of a rejection.
        """
        self.reject_and_end(408, b"too many requests are incomplete")

    def reject_and_end(self, status: int, reason: bytes, fields: HeaderFields = ()) -> None:
        """Respond to data that is not handled as a request, and end the connection.

        Nothing more is read as a request; data that still arrives must not prevent the client from reading
        the response.
        """
        if self.is_ending or self.transport is None or self.transport.is_closing():
            return
        self.keep_alive = False
        self.write_response(status, reason, fields)
        self.mark_awaiting_request()  # the listener may then close this connection in favour of a new one
        self.half_close()

    def respond(self, status: int, body: bytes = b"", fields: HeaderFields = ()) -> None:
        """Send the response to a request, and end the connection unless it is kept alive."""
        self.write_response(status, body, fields)
        self.admission.next_request()
        self.mark_idle()
        if not self.keep_alive:
            self.half_close()

    def _client_has_left(self) -> bool:
        """Whether the client closed the connection after it sent this request and others.

        Of a request that arrived alone, the end of the data arrives next.
        """
        was_sent_alone = self.is_first_of_data and not len(self.buffer)
        return not was_sent_alone and self.peer_has_closed()

    def dispatch(self, method: bytes, target: bytes, headers: Mapping[bytes, bytes], body: bytes) -> None:
        """Handle one complete request of either protocol."""
        self.mark_busy()
        path = target.partition(b"?")[0]
        if path == b"/ping":
            hint = response_headers(FinalResponse(ResponseStatus.SERVED, load_level=self.service.load_level))
            self.respond(200 if self.service.is_healthy else 503, b"", hint)
        elif not path.startswith(b"/call/"):
            self.respond(404)
        elif method != b"POST":
            self.respond(405, b"", (("Allow", "POST"),))
        elif self._client_has_left():
            # The response is for a client that has closed the sending direction only.
            self.keep_alive = False
            self.respond(500)
        else:
            try:
                request = parse_request(path, headers, body, self.service)
                request.admitted_last = self.admission.is_last
                self.has_open_request = self.is_submitting = True
                number = self.service.submit(request, self.send_final_response)
            except InvalidRequestError as error:
                self.has_open_request = False
                self.respond(400, str(error).encode())
            else:
                self.request_number = number if self.has_open_request else 0
            finally:
                self.is_submitting = False

    def send_final_response(self, response: FinalResponse) -> None:
        """Send the core's response to the open request, and continue with the next one."""
        self.has_open_request, self.request_number = False, 0
        self.admission.record_advice(response.retry_after_seconds)
        if self.listener.ends_connections or self.service.idle_timeout < MIN_IDLE_TIMEOUT_SECONDS:
            self.keep_alive = False
        self.respond(STATUS_CODES[response.status], response.body, response_headers(response))
        self.hand_over()
        if not self.is_submitting:
            self.continue_reading()

    def eof_received(self) -> bool:
        """Handle the end of the client's data: it no longer waits for its response.

        An open request is answered with status 500, in case the client still reads.
        """
        if self.has_open_request:
            self.keep_alive = False
            self.write_response(500)
        return super().eof_received()

    def closed(self) -> None:
        """Abandon the open request, since its client no longer waits."""
        super().closed()
        if self.has_open_request:
            self.has_open_request = False
            self.service.abandon(self.request_number)
