"""Stand-ins for dependencies on loopback, over AJP and the index protocol, for tests and experiments.

A script decides how each call ends; the stand-in implements the protocol.  ``ModelScript`` uses a dependency
of the model as the script, so that an experiment on sockets has the same random draws as the model.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import ClassVar, NamedTuple, Self

import orjson

from saltcart.decision.outcome import Outcome
from saltcart.lab.dependency import ModelDependency
from saltcart.net.base import Connection
from saltcart.wire import ajp
from saltcart.wire.errors import MalformedMessageError
from saltcart.wire.lines import LineReader, parse_number


class ReceivedCall(NamedTuple):
    """A call as received.

    Attributes:
        call_id: Identifies the call.
        tenant: The tenant of the call; empty if it has none.
        body: Body of the call.
        timeout_ms: Milliseconds for which the caller waits.
    """

    call_id: bytes
    tenant: bytes
    body: bytes
    timeout_ms: int


class ScriptedReply(NamedTuple):
    """The reply to a call.

    Attributes:
        kind: "ok", "error" or "refuse" for a reply, "drop" to abort the connection, "silent" for no reply.
        delay: Seconds from the call to the reply.
        body: Body of an "ok" reply.
    """

    kind: str = "ok"
    delay: float = 0.0
    body: bytes = b'{"ok":1}'


Script = Callable[[ReceivedCall], ScriptedReply]


class StandIn:
    """A listening dependency whose replies a script decides.

    Attributes:
        script: Returns the reply to each call.
        received_calls: All calls, in the order of arrival.
        cancelled_calls: Ids of the calls that the caller cancelled.
        connections: The open connections.
        reply_count: Number of replies that were due, whether or not the caller still waited.
        address: The address as HOST:PORT, once it listens.
        port: The port to listen on; 0 for any free one.
    """

    def __init__(self, script: Script) -> None:
        self.script, self.received_calls, self.cancelled_calls = script, list[ReceivedCall](), list[bytes]()
        self.connections = set[StandInConnection]()
        self.reply_count = 0
        self.address, self.port = "", 0

    async def __aenter__(self) -> Self:
        """Start listening."""
        loop = asyncio.get_running_loop()
        self.server = await loop.create_server(self.make_connection, "127.0.0.1", self.port)
        host, port = self.server.sockets[0].getsockname()[:2]
        self.address = f"{host}:{port}"
        return self

    async def __aexit__(self, *_: object) -> None:
        """Stop listening, and abort all connections."""
        self.server.close()
        for connection in list(self.connections):
            connection.abort()

    def make_connection(self) -> StandInConnection:
        """Return the protocol object for a new connection."""
        raise NotImplementedError


class StandInConnection(Connection):
    """A connection from a caller; subclasses parse the calls and encode the replies."""

    def __init__(self, owner: StandIn) -> None:
        super().__init__()
        self.owner = owner

    def opened(self) -> None:
        """Register the connection with its stand-in."""
        self.owner.connections.add(self)

    def closed(self) -> None:
        """Remove the connection from its stand-in."""
        self.owner.connections.discard(self)

    def receive_call(self, call: ReceivedCall) -> None:
        """Record a call, and schedule the reply that the script returns."""
        self.owner.received_calls.append(call)
        reply = self.owner.script(call)
        if reply.kind != "silent":
            asyncio.get_running_loop().call_later(reply.delay, self._reply, call, reply)

    def _reply(self, call: ReceivedCall, reply: ScriptedReply) -> None:
        self.owner.reply_count += 1
        if reply.kind == "drop":
            self.abort()
        else:
            self.send(self.encode_reply(call, reply))

    def encode_reply(self, call: ReceivedCall, reply: ScriptedReply) -> bytes:
        """Return the bytes of a reply of the kind "ok", "error" or "refuse"."""
        raise NotImplementedError


class AjpStandIn(StandIn):
    """A stand-in that is called over AJP."""

    def make_connection(self) -> StandInConnection:
        """Return the protocol object for a new connection."""
        return AjpStandInConnection(self)


class AjpStandInConnection(StandInConnection):
    """An AJP connection from a caller."""

    HTTP_STATUSES: ClassVar = {"ok": 200, "error": 500, "refuse": 503}

    def __init__(self, owner: StandIn) -> None:
        super().__init__(owner)
        self.parser = ajp.AjpRequestParser(1 << 16)

    def received(self) -> None:
        """Handle the messages in the buffer; a malformed one aborts the connection."""
        try:
            while (message := self.parser.next(self.buffer)) is not None:
                match message:
                    case ajp.CPing():
                        self.send(ajp.CPONG_PACKET)
                    case ajp.GetBodyChunkPacket(data):
                        self.send(data)
                    case ajp.ForwardRequest():
                        headers = message.headers
                        self.receive_call(
                            ReceivedCall(
                                headers[b"request-id"],
                                headers.get(b"account", b""),
                                message.body,
                                int(headers[b"budget-ms"]),
                            )
                        )
        except MalformedMessageError:
            self.abort()

    def encode_reply(self, call: ReceivedCall, reply: ScriptedReply) -> bytes:
        """Return an AJP response; only an "ok" reply has a body."""
        return ajp.encode_response(
            self.HTTP_STATUSES[reply.kind], b"R", [], reply.body if reply.kind == "ok" else b"", True
        )


class IndexStandIn(StandIn):
    """A stand-in that is called over the index protocol."""

    def make_connection(self) -> StandInConnection:
        """Return the protocol object for a new connection."""
        return IndexStandInConnection(self)


class IndexStandInConnection(StandInConnection):
    """A connection of the index protocol from a caller."""

    ERROR_WORDS: ClassVar = {"error": b"BROKEN", "refuse": b"SHED"}

    def __init__(self, owner: StandIn) -> None:
        super().__init__(owner)
        self.reader = LineReader(lambda words: parse_number(words, 3) if words[0] == b"GET" else None)

    def received(self) -> None:
        """Handle the lines in the buffer, each a call or a cancellation; a malformed one aborts."""
        try:
            while (line := self.reader.next(self.buffer)) is not None:
                words, body = line
                if words[0] == b"GET":
                    self.receive_call(ReceivedCall(words[1], b"", body, parse_number(words, 2)))
                else:
                    self.owner.cancelled_calls.append(words[1])
        except MalformedMessageError:
            self.abort()

    def encode_reply(self, call: ReceivedCall, reply: ScriptedReply) -> bytes:
        """Return a line of the index protocol; only an "ok" reply has a body."""
        if reply.kind == "ok":
            return b"%b HIT %d\r\n%b\r\n" % (call.call_id, len(reply.body), reply.body)
        return b"%b %b\r\n" % (call.call_id, self.ERROR_WORDS[reply.kind])


class ModelScript:
    """A script that replies as a simulated dependency would, with its draws and faults."""

    def __init__(self, dependency: ModelDependency, clock: Callable[[], float]) -> None:
        """Create a script.

        Args:
            dependency: The simulated dependency.
            clock: Returns the time of a call, in seconds on the clock of the dependency's origin.
        """
        self.dependency, self.clock = dependency, clock

    def __call__(self, call: ReceivedCall) -> ScriptedReply:
        """Return the reply to a call, whose body has the number of its request."""
        payload = orjson.loads(call.body)
        request = payload["n"] if "n" in payload else payload["request"]["n"]
        replies, now = [ScriptedReply("silent")], self.clock()
        self.dependency.call(
            now,
            request,
            lambda when, outcome: replies.append(
                ScriptedReply("ok" if outcome is Outcome.SUCCEEDED else "error", when - now)
            ),
        )
        return replies[-1]
