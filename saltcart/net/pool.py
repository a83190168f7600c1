"""The link to the worker pool: the runs port on a socket."""

from __future__ import annotations

import asyncio

from saltcart.core.ports import Log, RunEvents
from saltcart.interface import Outcome
from saltcart.net.base import Link, LinkConnection, address
from saltcart.wire import pool as wire
from saltcart.wire.errors import Malformed

DOUBT = 0.3  # an old link is heard this long on what it was told last, before the next one is opened
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
        self.link.move_on()

    def closed(self) -> None:
        if self.current():
            self.link.session.lost()


class PoolLink(Link):
    def __init__(self, peer: str, events: RunEvents, log: Log) -> None:
        super().__init__("pool", peer, log)
        self.session, self.events = wire.Session(), events
        self.next: str | None = None  # the address to move to
        self.timer: asyncio.TimerHandle | None = None

    def make(self) -> LinkConnection:
        return PoolConnection(self)

    def move(self, peer: str) -> None:
        """Another address from now on: the old link is told nothing more.

        It is only heard until it has shown that runs which must not start twice were asked for; what a link
        leaves in doubt can't be asked for again and would fail.
        """
        if address(peer) == self.peer and self.next is None:
            return
        self.session.lost()  # what comes before the new link is bound waits for it
        self.next = peer
        if self.timer is None:
            self.timer = asyncio.get_running_loop().call_later(DOUBT, self.move_on, True)
        self.move_on()

    def move_on(self, late: bool = False) -> None:
        if self.next is None or (self.session.in_doubt() and self.connection is not None and not late):
            return
        peer, self.next = self.next, None
        self.close()
        self.peer = address(peer)
        self.start()

    def close(self) -> None:
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None
        super().close()

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

    def spawn(self, ident: bytes, klass: str, account: str, body: bytes, once: bool, within: float,
              aim: float) -> None:
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
