"""The link to the worker pool: the runs port on a socket."""

from __future__ import annotations

import asyncio

from saltcart.core.ports import Log, WorkerPoolEvents
from saltcart.decision.outcome import Outcome
from saltcart.net.base import Link, LinkConnection, parse_address
from saltcart.wire import pool as wire
from saltcart.wire.errors import MalformedMessageError

# A link on which nothing is heard for this long, though it is polled, is of no use: whoever was there has
# gone without a word.  Counted in turns of ``MAX_COUNTED_INTERVAL_SECONDS`` at most, so that a
# pause of the machine is no silence.
SILENCE_TIMEOUT_SECONDS, MAX_COUNTED_INTERVAL_SECONDS = 2.0, 0.1
AGE_TOLERANCE_SECONDS = 1.0  # a pool that is this much younger than it must be has been started anew
UNCERTAIN_RUNS_TIMEOUT_SECONDS = (
    0.3  # an old link is heard this long on what it was told last, before the next one is opened
)
ENDS = {
    b"PASS": Outcome.SUCCEEDED,
    b"FAIL": Outcome.FAILED,
    b"KILLED": Outcome.CANCELLED,
    b"NOOP": Outcome.NOT_STARTED,
}


class PoolLiveness:
    """Tells whether the pool at the other end is still there, and still the same one."""

    def __init__(self) -> None:
        self.up = False  # it has been bound: before that it may be silent for as long as it likes
        self.age = self.bound_at = self.heard_at = self.heard_before = 0.0
        self.silent = self.turned_at = 0.0

    def record_connected(self) -> None:
        self.silent, self.heard_before = 0.0, self.heard_at

    def record_received(self, now: float) -> None:
        self.silent, self.heard_at = 0.0, now

    def record_bound(self, now: float, age: float) -> bool:
        """Whether this is another pool than that of the link before, which it must be at least as old as."""
        other = self.up and age + AGE_TOLERANCE_SECONDS < self.age + self.heard_before - self.bound_at
        self.up, self.age, self.bound_at = True, age, now
        return other

    def record_poll(self, now: float) -> bool:
        """Called with every poll; whether it has been silent for too long."""
        self.silent += min(MAX_COUNTED_INTERVAL_SECONDS, now - self.turned_at)
        self.turned_at = now
        return self.up and self.silent > SILENCE_TIMEOUT_SECONDS


class PoolConnection(LinkConnection):
    link: PoolLink

    def opened(self) -> None:
        self.link.liveness.record_connected()
        self.send(self.link.session.connected())

    def received(self) -> None:
        if not self.is_current():  # a link that was left: its notices come again on the new one
            self.buffer.consume(len(self.buffer))
            return
        self.link.liveness.record_received(asyncio.get_running_loop().time())
        try:
            for message in self.link.session.messages(self.buffer):
                if isinstance(message, bytes):
                    self.send(message)
                else:
                    self.link.apply(message)
        except MalformedMessageError as error:
            self.link.log("pool-malformed", error=str(error))
            self.link.session.lost()
            self.abort()
        self.link.move_on()

    def closed(self) -> None:
        if self.is_current():
            self.link.session.lost()


class PoolLink(Link):
    def __init__(self, peer: str, events: WorkerPoolEvents, log: Log) -> None:
        super().__init__("pool", peer, log)
        self.session, self.events, self.liveness = wire.Session(), events, PoolLiveness()
        self.next: str | None = None  # the address to move to
        self.timer: asyncio.TimerHandle | None = None

    def make_connection(self) -> LinkConnection:
        return PoolConnection(self)

    def change_address(self, peer: str) -> None:
        """Another address from now on: the old link is told nothing more.

        It is only heard until it has shown that runs which must not start twice were asked for; what a link
        leaves in doubt can't be asked for again and would fail.
        """
        if parse_address(peer) == self.peer and self.next is None:
            return
        self.session.lost()  # what comes before the new link is bound waits for it
        self.next = peer
        if self.timer is None:
            self.timer = asyncio.get_running_loop().call_later(
                UNCERTAIN_RUNS_TIMEOUT_SECONDS, self.move_on, True
            )
        self.move_on()

    def move_on(self, late: bool = False) -> None:
        if self.next is None or (self.session.in_doubt() and self.connection is not None and not late):
            return
        peer, self.next = self.next, None
        self.close()
        self.peer = parse_address(peer)
        self.start()

    def close(self) -> None:
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None
        super().close()

    def apply(self, message: wire.Message) -> None:
        match message:
            case wire.Polled(gauges):
                self.events.gauges_polled(gauges)
            case wire.Blocked(request_id, notice_number, body):
                self.events.call_requested(request_id, notice_number, body)
            case wire.Finished(request_id, end, took, result):
                self.events.run_finished(request_id, ENDS.get(end, Outcome.FAILED), took, result)
            case wire.Bound(loaded, age):
                if self.liveness.record_bound(asyncio.get_running_loop().time(), age):
                    self.log("pool-restarted", age=age)
                    self.session.restarted()
                    self.events.pool_replaced(not loaded, age)
                self.events.pool_started(not loaded, age)
            case wire.Lost(request_id):
                self.events.run_uncertain(request_id)
            case wire.Unknown(command, request_id):
                self.log("pool-unknown", command=command.decode("latin-1"), id=request_id.decode("latin-1"))
                # No spawn: nothing was started.  Another command: the run is none of the pool's any more.
                outcome = Outcome.NOT_STARTED if command == b"spawn" else Outcome.FAILED
                self.session.forget(request_id)
                self.events.run_finished(request_id, outcome, 0.0, b"")

    def _send(self, data: bytes) -> None:
        if data and self.connection is not None:
            self.connection.send(data)

    def spawn(
        self,
        request_id: bytes,
        class_name: str,
        account: str,
        body: bytes,
        must_run_once: bool,
        time_to_deadline: float,
        time_to_objective: float,
    ) -> None:
        self._send(self.session.spawn(request_id, class_name.encode(), body, must_run_once))

    def suspend(self, request_id: bytes) -> None:
        self._send(self.session.suspend(request_id))

    def resume(self, request_id: bytes) -> None:
        self._send(self.session.proceed(request_id))

    def supply_reply(self, request_id: bytes, reply: bytes) -> None:
        self._send(self.session.supply(request_id, reply))

    def skip_call(self, request_id: bytes, notice_number: int) -> None:
        self._send(self.session.skip(request_id, notice_number))

    def poll_gauges(self) -> None:
        if self.liveness.record_poll(asyncio.get_running_loop().time()) and self.connection is not None:
            self.log("pool-silent")
            self.liveness.silent = 0.0
            self.connection.abort()
        self._send(self.session.poll())
