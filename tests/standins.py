"""Stand-ins on loopback for what the service speaks to, and an application started in this process."""

from __future__ import annotations

import asyncio
import os
import socket
import time
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager
from typing import Any, Self

from saltcart.app import App
from saltcart.config import Config, read_config
from saltcart.core.ports import Log
from saltcart.deployment import AjpSettings, Deployment
from saltcart.net.clock import Clock
from saltcart.wire import ajp, http1
from saltcart.wire.buffer import Buffer

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


def raw_config(**more: Any) -> dict[str, Any]:
    return {
        "name": "n1",
        "listen": "127.0.0.1:0",
        "seed": "9",
        "stop_ms": 1500,
        "limits": {"sockets": 256},
        "settings": SETTINGS,
        **more,
    }


def encode_id(number: int) -> bytes:
    return b"%016x" % number


class Server:
    """A stand-in server on a free port; remembers its connections so that a test can cut them."""

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
        for writer in self.writers:
            writer.transport.abort()
        self.writers.clear()


class Pool(Server):
    """A stand-in worker pool: remembers what it was told; ``auto`` ends each run at once."""

    def __init__(self, finishes_runs: bool = True) -> None:
        super().__init__(self._link)
        self.finishes_runs, self.last_notice_number, self.notices = finishes_runs, 0, dict[int, bytes]()
        self.spawned: list[bytes] = []
        self.bodies: dict[bytes, bytes] = {}
        self.received_lines: list[bytes] = []
        self.state = b"LOADED 60000"  # what it says when it is bound
        self.ignores_polls = False  # leaves polls unanswered: for a test that writes a notice in pieces
        self.writer: asyncio.StreamWriter | None = None

    async def _link(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while line := (await reader.readline()).rstrip():
            words = line.split()
            self.received_lines.append(line)
            if words[0] in (b"spawn", b"supply"):
                self.bodies[words[1]] = (await reader.readexactly(int(words[-1]) + 2))[:-2]
            if words[0] == b"bind":
                self.writer = writer
                writer.write(b"bound %b\r\n" % self.state)
                writer.writelines(data for n, data in self.notices.items() if n > int(words[1]))
            elif words[0] == b"poll" and not self.ignores_polls and self.writer is writer:
                writer.write(b"polled %b 0.5 1\r\n" % words[1])
            elif words[0] == b"spawn":
                self.spawned.append(words[1])
                if self.finishes_runs:
                    self.finish(words[1])

    def restart(self) -> None:
        """Another pool at the same address: it numbers its notices anew and knows of no run."""
        self.last_notice_number, self.state = 0, b"EMPTY 40"
        self.notices.clear()
        self.abort_connections()

    def send_notice(self, text: bytes, body: bytes) -> None:
        self.last_notice_number += 1
        head = b"%b %d %b %d\r\n" % (
            text.split()[0],
            self.last_notice_number,
            b" ".join(text.split()[1:]),
            len(body),
        )
        self.notices[self.last_notice_number] = head + body + b"\r\n"
        if self.writer is not None:
            self.writer.write(self.notices[self.last_notice_number])

    def finish(self, request_id: bytes, end: bytes = b"PASS") -> None:
        result = b"done " + self.bodies[request_id] if end == b"PASS" else b""
        self.send_notice(b"finished %b %b 20" % (request_id, end), result)


@asynccontextmanager
async def running(
    deployment: Deployment | None = None,
    environment: dict[str, str] | None = None,
    log: Log = lambda event, **fields: None,
    clock: Clock | None = None,
    **more: Any,
) -> AsyncIterator[App]:
    conf: Config = read_config(raw_config(**more), environment or {})
    app = App(conf, deployment or Deployment(), log, clock)
    await app.start()
    try:
        await until(lambda: app.service.is_healthy and app.is_ready())
        yield app
    finally:
        await app.close()


async def until(condition: Callable[[], bool], wait: float = 20.0) -> None:
    async with asyncio.timeout(wait):
        while not condition():
            await asyncio.sleep(0.005)


def make_request_fields(
    number: int,
    key: str | None = None,
    budget_ms: str = "2000",
    received_at_ms: int | None = None,
    rank: str = "0.9",
    account: str = "acme",
) -> list[tuple[str, str]]:
    named = {
        "Request-Id": f"{number:016x}",
        "Received-At": str(received_at_ms or int(time.time() * 1000)),
        "Account": account,
        "Budget-Ms": budget_ms,
        "Footprint-Kb": "24.5",
        "Priority-Rank": rank,
    }
    return [*named.items()] + ([("Once-Key", key)] if key else [])


class HttpClient:
    def __init__(self, address: str) -> None:
        self.host, self.port = address.split(":")
        self.buffer, self.parser = Buffer(), http1.HttpResponseParser(1 << 16)
        # Values that replace the default ones; None leaves the field out.
        self.overridden_fields: dict[str, str | None] = {}

    def request_fields(self, number: int, **more: Any) -> list[tuple[str, str]]:
        named = {**dict(make_request_fields(number, **more)), **self.overridden_fields}
        return [(name, value) for name, value in named.items() if value is not None]

    async def open(self) -> Self:
        self.reader, self.writer = await asyncio.open_connection(self.host, int(self.port))
        return self

    def send(self, number: int, class_name: str = "read", body: bytes = b"x", **more: Any) -> None:
        head = "".join(f"{name}: {value}\r\n" for name, value in self.request_fields(number, **more))
        self.writer.write(
            f"POST /call/{class_name} HTTP/1.1\r\nHost: h\r\n{head}"
            f"Content-Length: {len(body)}\r\n\r\n".encode()
            + body
        )

    async def read_response(self) -> http1.HttpResponse:
        while (response := self.parser.next(self.buffer)) is None:
            data = await self.reader.read(4096)
            if not data:
                raise ConnectionResetError
            self.buffer.write(data)
        return response

    async def post(
        self, number: int, class_name: str = "read", body: bytes = b"x", **more: Any
    ) -> http1.HttpResponse:
        self.send(number, class_name, body, **more)
        return await self.read_response()

    def drop(self) -> None:
        self.writer.transport.abort()


def bypass_transport(client: HttpClient) -> Callable[[bytes], None]:
    """Writes to the client's socket in this very turn, past its transport."""

    def write(data: bytes) -> None:
        with socket.socket(fileno=os.dup(client.writer.get_extra_info("socket").fileno())) as raw:
            raw.sendall(data)

    client.writer.write = write  # type: ignore[assignment, method-assign]
    return write


class AjpClient(HttpClient):
    """A gateway's half of AJP."""

    def __init__(self, address: str, secret: bytes = b"") -> None:
        super().__init__(address)
        self.response_parser, self.secret, self.unsent_body = ajp.AjpResponseParser(1 << 16), secret, b""

    def send(
        self,
        number: int,
        class_name: str = "read",
        body: bytes = b"x",
        first_part_size: int = ajp.MAX_BODY_DATA_BYTES,
        **more: Any,
    ) -> None:
        """``first``: how much of the body goes along unasked."""
        headers = [(n.encode(), v.encode()) for n, v in self.request_fields(number, **more)]
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
        while (message := self.response_parser.next(self.buffer)) is None:
            data = await self.reader.read(4096)
            if not data:
                raise ConnectionResetError
            self.buffer.write(data)
        return message

    async def read_response(self) -> http1.HttpResponse:
        while isinstance(message := await self.read_message(), ajp.GetBodyChunk):
            part, self.unsent_body = self.unsent_body[: message.size], self.unsent_body[message.size :]
            self.writer.write(ajp.encode_body_packet(part))
        assert isinstance(message, ajp.AjpResponse)
        return http1.HttpResponse(message.status, message.headers, message.body, message.reuse)


CLIENTS = {"http": HttpClient, "ajp": AjpClient}
BOTH_FRONTS = Deployment(ajp=AjpSettings("127.0.0.1:0"))


class AjpServer(Server):
    """A stand-in AJP container; ``act`` decides what becomes of each request."""

    def __init__(
        self, respond: Callable[[ajp.ForwardRequest], Awaitable[bytes | None]], secret: bytes = b""
    ) -> None:
        super().__init__(self._link)
        self.respond, self.secret = respond, secret
        self.received_requests: list[ajp.ForwardRequest] = []

    async def _link(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
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
                    answer = await self.respond(message)
                    if answer is None:  # drop the connection
                        writer.transport.abort()
                        return
                    writer.write(answer)


def encode_container_response(status: int, body: bytes = b"", reuse: bool = True) -> bytes:
    return ajp.encode_response(status, b"R", [], body, reuse)
