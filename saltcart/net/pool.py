"""The link to the worker pool: the runs port on a socket."""

from __future__ import annotations

from saltcart.core.ports import Log, RunEvents
from saltcart.interface import Outcome
from saltcart.net.base import Link, LinkConnection, address
from saltcart.wire import pool as wire
from saltcart.wire.errors import Malformed

ENDS = {b"PASS": Outcome.OK, b"FAIL": Outcome.ERROR, b"KILLED": Outcome.CANCELLED, b"NOOP": Outcome.MOOT}


class PoolConnection(LinkConnection):
    link: PoolLink

    def opened(self) -> None:
        self.send(self.link.session.connected())

    def received(self) -> None:
        if not self.current():  # a link that was left: its notices come again on the new one
            self.buffer.consume(len(self.buffer))
            return
        try:
            for message in self.link.session.messages(self.buffer):
                if isinstance(message, bytes):
                    self.send(message)
                else:
                    self.link.apply(message)
        except Malformed as error:
            self.link.log("pool-malformed", error=str(error))
            self.link.session.lost()
            self.abort()

    def closed(self) -> None:
        if self.current():
            self.link.session.lost()


class PoolLink(Link):
    def __init__(self, peer: str, events: RunEvents, log: Log) -> None:
        super().__init__("pool", peer, log)
        self.session, self.events = wire.Session(), events

    def make(self) -> LinkConnection:
        return PoolConnection(self)

    def move(self, peer: str) -> None:
        if address(peer) != self.peer:
            self.session.lost()  # what comes before the new link is bound waits for it
        super().move(peer)

    def apply(self, message: wire.Message) -> None:
        match message:
            case wire.Polled(gauges):
                self.events.gauges(gauges)
            case wire.Blocked(ident, notice, body):
                self.events.run_blocked(ident, notice, body)
            case wire.Finished(ident, end, took, result):
                self.events.run_ended(ident, ENDS.get(end, Outcome.ERROR), took, result)
            case wire.Bound(loaded, age):
                self.events.pool_up(not loaded, age)
            case wire.Lost(ident):
                self.events.run_lost(ident)
            case wire.Unknown(command, ident):
                self.log("pool-unknown", command=command.decode("latin-1"), id=ident.decode("latin-1"))
                # No spawn: nothing was started.  Another command: the run is none of the pool's any more.
                outcome = Outcome.MOOT if command == b"spawn" else Outcome.ERROR
                self.session.forget(ident)
                self.events.run_ended(ident, outcome, 0.0, b"")

    def _send(self, data: bytes) -> None:
        if data and self.connection is not None:
            self.connection.send(data)

    def spawn(self, ident: bytes, klass: str, account: str, body: bytes, once: bool, within: float) -> None:
        self._send(self.session.spawn(ident, klass.encode(), body, once))

    def suspend(self, ident: bytes) -> None:
        self._send(self.session.suspend(ident))

    def proceed(self, ident: bytes) -> None:
        self._send(self.session.proceed(ident))

    def supply(self, ident: bytes, reply: bytes) -> None:
        self._send(self.session.supply(ident, reply))

    def skip(self, ident: bytes, notice: int) -> None:
        self._send(self.session.skip(ident, notice))

    def poll(self) -> None:
        self._send(self.session.poll())
