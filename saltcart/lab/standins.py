"""Scripted dependencies on loopback, over AJP and the index's lines: shared by the tests and the experiments.

A script is asked about each call and says what becomes of it; the stand-in keeps to the wire.  ``Model``
scripts a stand-in with a dependency of the model, so that the sockets' day has the model's own draws.
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


class Asked(NamedTuple):
    """One call as it came; ``within``: milliseconds that its sender waits."""

    ident: bytes
    account: bytes
    body: bytes
    within: int


class Act(NamedTuple):
    """What becomes of a call, ``after`` seconds: ok, error, refuse, drop, or silent."""

    kind: str = "ok"
    after: float = 0.0
    body: bytes = b'{"ok":1}'


Script = Callable[[Asked], Act]


class StandIn:
    """A listening dependency; remembers all that it was asked, and what was given up."""

    def __init__(self, script: Script) -> None:
        self.script, self.asked, self.given_up = script, list[Asked](), list[bytes]()
        self.connections = set[StandInConnection]()
        self.replied = 0  # replies that were due, whether or not anybody still heard them
        self.address, self.port = "", 0

    async def __aenter__(self) -> Self:
        loop = asyncio.get_running_loop()
        self.server = await loop.create_server(self.make, "127.0.0.1", self.port)
        host, port = self.server.sockets[0].getsockname()[:2]
        self.address = f"{host}:{port}"
        return self

    async def __aexit__(self, *_: object) -> None:
        self.server.close()
        for connection in list(self.connections):
            connection.abort()

    def make(self) -> StandInConnection:
        raise NotImplementedError


class StandInConnection(Connection):
    def __init__(self, owner: StandIn) -> None:
        super().__init__()
        self.owner = owner

    def opened(self) -> None:
        self.owner.connections.add(self)

    def closed(self) -> None:
        self.owner.connections.discard(self)

    def take(self, asked: Asked) -> None:
        self.owner.asked.append(asked)
        act = self.owner.script(asked)
        if act.kind != "silent":
            asyncio.get_running_loop().call_later(act.after, self._act, asked, act)

    def _act(self, asked: Asked, act: Act) -> None:
        self.owner.replied += 1
        if act.kind == "drop":
            self.abort()
        else:
            self.send(self.answer(asked, act))

    def answer(self, asked: Asked, act: Act) -> bytes:
        raise NotImplementedError


class AjpStandIn(StandIn):
    def make(self) -> StandInConnection:
        return AjpStandInConnection(self)


class AjpStandInConnection(StandInConnection):
    STATUS: ClassVar = {"ok": 200, "error": 500, "refuse": 503}

    def __init__(self, owner: StandIn) -> None:
        super().__init__(owner)
        self.parser = ajp.AjpRequestParser(1 << 16)

    def received(self) -> None:
        try:
            while (message := self.parser.next(self.buffer)) is not None:
                match message:
                    case ajp.CPing():
                        self.send(ajp.CPONG_PACKET)
                    case ajp.GetBodyChunkPacket(data):
                        self.send(data)
                    case ajp.ForwardRequest():
                        named = message.headers
                        self.take(
                            Asked(
                                named[b"request-id"],
                                named.get(b"account", b""),
                                message.body,
                                int(named[b"budget-ms"]),
                            )
                        )
        except MalformedMessageError:
            self.abort()

    def answer(self, asked: Asked, act: Act) -> bytes:
        return ajp.encode_response(
            self.STATUS[act.kind], b"R", [], act.body if act.kind == "ok" else b"", True
        )


class IndexStandIn(StandIn):
    def make(self) -> StandInConnection:
        return IndexStandInConnection(self)


class IndexStandInConnection(StandInConnection):
    ENDS: ClassVar = {"error": b"BROKEN", "refuse": b"SHED"}

    def __init__(self, owner: StandIn) -> None:
        super().__init__(owner)
        self.reader = LineReader(lambda words: parse_number(words, 3) if words[0] == b"GET" else None)

    def received(self) -> None:
        try:
            while (found := self.reader.next(self.buffer)) is not None:
                words, body = found
                if words[0] == b"GET":
                    self.take(Asked(words[1], b"", body, parse_number(words, 2)))
                else:
                    self.owner.given_up.append(words[1])
        except MalformedMessageError:
            self.abort()

    def answer(self, asked: Asked, act: Act) -> bytes:
        if act.kind == "ok":
            return b"%b HIT %d\r\n%b\r\n" % (asked.ident, len(act.body), act.body)
        return b"%b %b\r\n" % (asked.ident, self.ENDS[act.kind])


class Model:
    """A script out of the model: the same draws and troubles, by the clock that is given."""

    def __init__(self, place: ModelDependency, clock: Callable[[], float]) -> None:
        self.place, self.clock = place, clock

    def __call__(self, asked: Asked) -> Act:
        sent = orjson.loads(asked.body)
        request = sent["n"] if "n" in sent else sent["request"]["n"]
        acts, now = [Act("silent")], self.clock()
        self.place.call(
            now,
            request,
            lambda when, outcome: acts.append(
                Act("ok" if outcome is Outcome.SUCCEEDED else "error", when - now)
            ),
        )
        return acts[-1]
