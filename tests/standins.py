"""Stand-ins on loopback for the peers of the service, clients, and an application in this process."""

from __future__ import annotations

import asyncio
import os
import socket
import time
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager
from pathlib import Path
from typing import Any, Self

from saltcart.app import App
from saltcart.config import Config, read_config
from saltcart.core.ports import Log
from saltcart.deployment import AjpSettings, Deployment
from saltcart.net.clock import Clock
from saltcart.wire import ajp, http1
from saltcart.wire.buffer import Buffer

POLL_INTERVAL_SECONDS = 0.005
Handler = Callable[[asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]]
SETTINGS: dict[str, Any] = {
    "services": [
        {"name": "read", "effect": "read_like", "onTime": 1.0, "deadline": 3.0, "worth": 1.0},
        {
            "name": "oddaja",
            "effect": "idempotency_key",
            "onTime": 1.5,
            "deadline": 4.0,
            "worth": 5.0,
            "memorySpan": 6.0,
        },
    ],
    "extra": {
        "cores": 2,
        "memLimitKb": 9000.0,
        "signal": "level",
        "preemption": "pause",
        "runFactor": 4.0,
        "keyKb": 5.0,
        "gauges": ["cpu_busy", "runnable"],
        "idle": 30.0,
        "below": "tier",
        "callsByClass": [True, True],
        "classSkipWorth": [0.5, 0.0],
    },
    "contract": {"answerSlack": 0.08, "drainGrace": 0.3, "fall": 2.0, "fallMultiple": 8.0},
    "orgs": [{"name": "acme", "quotaPerS": 9.0, "share": 1.0}],
    "limits": {},
    "quantum": 0.005,
}


# With these settings, requests do not time out on a slow machine.
LONG_DEADLINES: dict[str, Any] = {
    "settings": {
        **SETTINGS,
        "services": [
            {**spec, "onTime": 60.0, "deadline": 120.0, "memorySpan": 60.0} for spec in SETTINGS["services"]
        ],
    },
    "stop_ms": 20_000,
}


def raw_config(**config_fields: Any) -> dict[str, Any]:
    """Return a configuration as it is read from JSON, with the given fields added or replaced."""
    return {
        "name": "n1",
        "listen": "127.0.0.1:0",
        "seed": "9",
        "stop_ms": 1500,
        "limits": {"sockets": 256},
        "settings": SETTINGS,
        **config_fields,
    }


def encode_id(number: int) -> bytes:
    """Return the request id made of a number."""
    return b"%016x" % number


class Server:
    """A stand-in server on a free port; records its connections so that a test can abort them.

    Args:
        handler: Serves one connection.
    """

    def __init__(self, handler: Handler) -> None:
        self.handler, self.writers = handler, list[asyncio.StreamWriter]()
        self.address = ""

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.writers.append(writer)
        try:
            await self.handler(reader, writer)
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def __aenter__(self) -> Self:
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        host, port = self.server.sockets[0].getsockname()
        self.address = f"{host}:{port}"
        return self

    async def __aexit__(self, *_: object) -> None:
        self.server.close()
        self.abort_connections()

    def abort_connections(self) -> None:
        """Abort all connections that were accepted so far."""
        for writer in self.writers:
            writer.transport.abort()
        self.writers.clear()


class Pool(Server):
    """A stand-in worker pool that records the lines that it receives.

    Args:
        finishes_runs: Whether each run succeeds as soon as it is spawned.
    """

    def __init__(self, finishes_runs: bool = True) -> None:
        super().__init__(self._serve_link)
        self.finishes_runs, self.last_notice_number, self.notices = finishes_runs, 0, dict[int, bytes]()
        self.spawned: list[bytes] = []
        self.bodies: dict[bytes, bytes] = {}
        self.received_lines: list[bytes] = []
        self.reported_state = b"LOADED 60000"  # sent in reply to bind
        self.ignores_polls = False  # replies to polls would come between the parts of a notice
        self.writer: asyncio.StreamWriter | None = None

    async def _serve_link(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while line := (await reader.readline()).rstrip():
            words = line.split()
            self.received_lines.append(line)
            if words[0] in (b"spawn", b"supply"):
                self.bodies[words[1]] = (await reader.readexactly(int(words[-1]) + 2))[:-2]
            if words[0] == b"bind":
                self.writer = writer
                writer.write(b"bound %b\r\n" % self.reported_state)
                writer.writelines(data for number, data in self.notices.items() if number > int(words[1]))
            elif words[0] == b"poll" and not self.ignores_polls and self.writer is writer:
                writer.write(b"polled %b 0.5 1\r\n" % words[1])
            elif words[0] == b"spawn":
                self.spawned.append(words[1])
                if self.finishes_runs:
                    self.finish(words[1])

    def restart(self) -> None:
        """Act as a restarted pool, which numbers its notices from 1 and has no runs."""
        self.last_notice_number, self.reported_state = 0, b"EMPTY 40"
        self.notices.clear()
        self.abort_connections()

    def send_notice(self, text: bytes, body: bytes) -> None:
        """Send a notice under the next number, and again whenever the service binds without having read it.

        Args:
            text: Kind and fields of the notice, without its number and size.
            body: Body of the notice.
        """
        self.last_notice_number += 1
        header = b"%b %d %b %d\r\n" % (
            text.split()[0],
            self.last_notice_number,
            b" ".join(text.split()[1:]),
            len(body),
        )
        self.notices[self.last_notice_number] = header + body + b"\r\n"
        if self.writer is not None:
            self.writer.write(self.notices[self.last_notice_number])

    def finish(self, request_id: bytes, outcome: bytes = b"PASS") -> None:
        """Report the end of a run; the result of a successful one is derived from its body."""
        result = b"done " + self.bodies[request_id] if outcome == b"PASS" else b""
        self.send_notice(b"finished %b %b 20" % (request_id, outcome), result)


class EventLog:
    """Records the events that an application logs."""

    def __init__(self) -> None:
        self.lines: list[dict[str, Any]] = []

    def __call__(self, event: str, **fields: Any) -> None:
        self.lines.append({"event": event, **fields})

    def find(self, event: str) -> list[dict[str, Any]]:
        """Return the lines of one event."""
        return [line for line in self.lines if line["event"] == event]


class Platform:
    """The clients' listening socket and the folder that all processes of an instance share.

    Args:
        listening_socket: The socket, which the caller owns.
        folder: The folder.
    """

    def __init__(self, listening_socket: socket.socket, folder: Path) -> None:
        self.folder = folder
        self.address = "{}:{}".format(*listening_socket.getsockname())
        self.environment = {
            "BALANCER_LISTEN_FD": str(listening_socket.fileno()),
            "TMPDIR": str(folder),
        }


@asynccontextmanager
async def running(
    deployment: Deployment | None = None,
    environment: dict[str, str] | None = None,
    log: Log = lambda event, **fields: None,
    clock: Clock | None = None,
    **config_fields: Any,
) -> AsyncIterator[App]:
    """Run an application until the end of the block, which begins once it is healthy and ready.

    Args:
        deployment: Deployment settings, by default none.
        environment: Environment variables that the configuration is read with.
        log: Receives log events.
        clock: Clock of the application.
        config_fields: Fields added to or replaced in ``raw_config()``.
    """
    conf: Config = read_config(raw_config(**config_fields), environment or {})
    app = App(conf, deployment or Deployment(), log, clock)
    await app.start()
    try:
        await until(lambda: app.service.is_healthy and app.is_ready())
        yield app
    finally:
        await app.close()


async def until(condition: Callable[[], bool], timeout_seconds: float = 20.0) -> None:
    """Wait for a condition.

    Raises:
        TimeoutError: It did not hold in time.
    """
    async with asyncio.timeout(timeout_seconds):
        while not condition():
            await asyncio.sleep(POLL_INTERVAL_SECONDS)


def make_request_fields(
    number: int,
    key: str | None = None,
    budget_ms: str = "2000",
    received_at_ms: int | None = None,
    rank: str = "0.9",
    account: str = "acme",
) -> list[tuple[str, str]]:
    """Return the header fields of a request.

    Args:
        number: Number of which the request id is made.
        key: Idempotency key, if any.
        budget_ms: Time within which the caller expects the response.
        received_at_ms: Unix time at which the request was received, by default now.
        rank: Priority rank, from 0 to 1.
        account: Account that sends the request.
    """
    fields = {
        "Request-Id": f"{number:016x}",
        "Received-At": str(received_at_ms or int(time.time() * 1000)),
        "Account": account,
        "Budget-Ms": budget_ms,
        "Footprint-Kb": "24.5",
        "Priority-Rank": rank,
    }
    return [*fields.items()] + ([("Once-Key", key)] if key else [])


class HttpClient:
    """An HTTP client on one connection, as a balancer uses it.

    Args:
        address: Host and port of the service.
    """

    def __init__(self, address: str) -> None:
        self.host, self.port = address.split(":")
        self.buffer, self.parser = Buffer(), http1.HttpResponseParser(1 << 16)
        # Values that replace the default ones; None leaves the field out.
        self.overridden_fields: dict[str, str | None] = {}

    def request_fields(self, number: int, **options: Any) -> list[tuple[str, str]]:
        """Return the fields of ``make_request_fields``, with the overridden ones replaced or left out."""
        fields = {**dict(make_request_fields(number, **options)), **self.overridden_fields}
        return [(name, value) for name, value in fields.items() if value is not None]

    async def open(self) -> Self:
        """Open the connection."""
        self.reader, self.writer = await asyncio.open_connection(self.host, int(self.port))
        return self

    def send(self, number: int, class_name: str = "read", body: bytes = b"x", **options: Any) -> None:
        """Send a request; the options are those of ``make_request_fields``."""
        header = "".join(f"{name}: {value}\r\n" for name, value in self.request_fields(number, **options))
        self.writer.write(
            f"POST /call/{class_name} HTTP/1.1\r\nHost: h\r\n{header}"
            f"Content-Length: {len(body)}\r\n\r\n".encode()
            + body
        )

    async def read_response(self) -> http1.HttpResponse:
        """Read the next response.

        Raises:
            ConnectionResetError: The connection ended before it was complete.
        """
        while (response := self.parser.next(self.buffer)) is None:
            data = await self.reader.read(4096)
            if not data:
                raise ConnectionResetError
            self.buffer.write(data)
        return response

    async def post(
        self, number: int, class_name: str = "read", body: bytes = b"x", **options: Any
    ) -> http1.HttpResponse:
        """Send a request and read its response."""
        self.send(number, class_name, body, **options)
        return await self.read_response()

    def drop(self) -> None:
        """Abort the connection."""
        self.writer.transport.abort()


def bypass_transport(client: HttpClient) -> Callable[[bytes], None]:
    """Make the client write to its socket directly.

    Data is sent within the current iteration of the event loop; a transport may send it only after that.

    Returns:
        The function that writes.
    """

    def write(data: bytes) -> None:
        with socket.socket(fileno=os.dup(client.writer.get_extra_info("socket").fileno())) as duplicate:
            duplicate.sendall(data)

    client.writer.write = write  # type: ignore[assignment, method-assign]
    return write


class AjpClient(HttpClient):
    """An AJP client on one connection, as a gateway uses it.

    Args:
        address: Host and port of the service.
        secret: Shared secret that is sent with each request, if any.
    """

    def __init__(self, address: str, secret: bytes = b"") -> None:
        super().__init__(address)
        self.response_parser, self.secret, self.unsent_body = ajp.AjpResponseParser(1 << 16), secret, b""

    def send(
        self,
        number: int,
        class_name: str = "read",
        body: bytes = b"x",
        first_part_size: int = ajp.MAX_BODY_DATA_BYTES,
        **options: Any,
    ) -> None:
        """Send a request and the first part of its body; the service requests the rest."""
        headers = [(name.encode(), value.encode()) for name, value in self.request_fields(number, **options)]
        self.writer.write(
            ajp.encode_forward_request(
                b"POST",
                b"/call/" + class_name.encode(),
                [*headers, (b"Content-Length", b"%d" % len(body))],
                b"localhost",
                8009,
                self.secret,
            )
        )
        if body:
            self.writer.write(ajp.encode_body_packet(body[:first_part_size]))
        self.unsent_body = body[first_part_size:]

    async def read_message(self) -> ajp.AjpResponse | ajp.CPong | ajp.GetBodyChunk:
        """Read the next message.

        Raises:
            ConnectionResetError: The connection ended before it was complete.
        """
        while (message := self.response_parser.next(self.buffer)) is None:
            data = await self.reader.read(4096)
            if not data:
                raise ConnectionResetError
            self.buffer.write(data)
        return message

    async def read_response(self) -> http1.HttpResponse:
        """Read the next response, sending the parts of the body that the service requests."""
        while isinstance(message := await self.read_message(), ajp.GetBodyChunk):
            part, self.unsent_body = self.unsent_body[: message.size], self.unsent_body[message.size :]
            self.writer.write(ajp.encode_body_packet(part))
        assert isinstance(message, ajp.AjpResponse)
        return http1.HttpResponse(message.status, message.headers, message.body, message.reuse)


CLIENTS = {"http": HttpClient, "ajp": AjpClient}
BOTH_FRONTS = Deployment(ajp=AjpSettings("127.0.0.1:0"))


class AjpServer(Server):
    """A stand-in AJP container that records the requests that it receives.

    Args:
        respond: Returns the response to a request, or ``None`` to abort the connection.
        secret: Shared secret that requests must have, if any.
    """

    def __init__(
        self, respond: Callable[[ajp.ForwardRequest], Awaitable[bytes | None]], secret: bytes = b""
    ) -> None:
        super().__init__(self._serve_requests)
        self.respond, self.secret = respond, secret
        self.received_requests: list[ajp.ForwardRequest] = []

    async def _serve_requests(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        buffer, parser = Buffer(), ajp.AjpRequestParser(1 << 16, self.secret)
        while data := await reader.read(4096):
            buffer.write(data)
            while (message := parser.next(buffer)) is not None:
                if isinstance(message, ajp.CPing):
                    writer.write(ajp.CPONG_PACKET)
                elif isinstance(message, ajp.GetBodyChunkPacket):
                    writer.write(message.data)
                else:
                    self.received_requests.append(message)
                    response = await self.respond(message)
                    if response is None:
                        writer.transport.abort()
                        return
                    writer.write(response)


def encode_container_response(status: int, body: bytes = b"", reuse: bool = True) -> bytes:
    """Return an AJP response without headers, as a container sends it."""
    return ajp.encode_response(status, b"R", [], body, reuse)
