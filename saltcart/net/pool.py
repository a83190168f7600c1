"""The link to the worker pool: the worker pool port on a socket."""

from __future__ import annotations

import asyncio

from saltcart.core.ports import Log, WorkerPoolEvents
from saltcart.decision.outcome import Outcome
from saltcart.net.base import Link, LinkConnection, parse_address
from saltcart.wire import pool as wire
from saltcart.wire.errors import MalformedMessageError

# A connection on which nothing is received for the timeout, although the pool is polled, is dead: the peer
# has gone without closing it.  An interval between two polls counts as at most MAX_COUNTED_INTERVAL_SECONDS,
# so that a pause of the machine does not count as silence of the pool.
SILENCE_TIMEOUT_SECONDS, MAX_COUNTED_INTERVAL_SECONDS = 2.0, 0.1
AGE_TOLERANCE_SECONDS = 1.0  # a pool that is younger than expected by more than this was restarted
# Before the next connection is opened, the old one has this long to confirm the commands sent on it.
UNCERTAIN_COMMANDS_TIMEOUT_SECONDS = 0.3
OUTCOMES = {
    b"PASS": Outcome.SUCCEEDED,
    b"FAIL": Outcome.FAILED,
    b"KILLED": Outcome.CANCELLED,
    b"NOOP": Outcome.NOT_STARTED,
}


class PoolLiveness:
    """Detects whether the pool has fallen silent, and whether it was restarted.  Times are in seconds."""

    def __init__(self) -> None:
        self.is_bound = False  # the pool was up once; before that it may be silent for any time
        # ``previous_received_at``: when data last arrived on a connection before the current one.
        self.pool_age = self.bound_at = self.received_at = self.previous_received_at = 0.0
        self.silent_seconds = self.polled_at = 0.0

    def record_connected(self) -> None:
        """Record that a new connection was established."""
        self.silent_seconds, self.previous_received_at = 0.0, self.received_at

    def record_received(self, now: float) -> None:
        """Record that data arrived on the connection."""
        self.silent_seconds, self.received_at = 0.0, now

    def record_bound(self, now: float, age: float) -> bool:
        """Record that the pool reported its age on a new connection.

        Returns:
            Whether the pool was restarted since the previous connection.  Otherwise it is at least as old as
            it was when data last arrived on that connection.
        """
        is_restarted = (
            self.is_bound
            and age + AGE_TOLERANCE_SECONDS < self.pool_age + self.previous_received_at - self.bound_at
        )
        self.is_bound, self.pool_age, self.bound_at = True, age, now
        return is_restarted

    def record_poll(self, now: float) -> bool:
        """Record a poll, and return whether the pool has been silent for too long."""
        self.silent_seconds += min(MAX_COUNTED_INTERVAL_SECONDS, now - self.polled_at)
        self.polled_at = now
        return self.is_bound and self.silent_seconds > SILENCE_TIMEOUT_SECONDS


class PoolConnection(LinkConnection):
    """One connection of the link to the worker pool."""

    link: PoolLink

    def opened(self) -> None:
        """Bind to the pool."""
        self.link.liveness.record_connected()
        self.send(self.link.session.open_connection())

    def received(self) -> None:
        """Handle the messages of the pool, or abort the connection after a malformed one."""
        if not self.is_current():  # it was replaced: the pool repeats its notices on the new connection
            self.buffer.consume(len(self.buffer))
            return
        self.link.liveness.record_received(asyncio.get_running_loop().time())
        try:
            for message in self.link.session.messages(self.buffer):
                if isinstance(message, bytes):
                    self.send(message)
                else:
                    self.link.handle_message(message)
        except MalformedMessageError as error:
            self.link.log("pool-malformed", error=str(error))
            self.link.session.close_connection()
            self.abort()
        self.link.complete_address_change()

    def closed(self) -> None:
        """Record in the session that its connection is lost."""
        if self.is_current():
            self.link.session.close_connection()


class PoolLink(Link):
    """The link to the worker pool; its session continues over successive connections.

    Args:
        peer: The address of the pool.
        events: Receives the events from the pool.
        log: Event log.
    """

    def __init__(self, peer: str, events: WorkerPoolEvents, log: Log) -> None:
        super().__init__("pool", peer, log)
        self.session, self.events, self.liveness = wire.PoolSession(), events, PoolLiveness()
        self.next_address: str | None = None  # the target of a pending change of address
        self.address_change_timer: asyncio.TimerHandle | None = None

    def make_connection(self) -> LinkConnection:
        """Return a new connection object, for asyncio to connect."""
        return PoolConnection(self)

    def change_address(self, peer: str) -> None:
        """Reconnect to another address; from now on nothing is sent on the old connection.

        The old connection is still read until it has confirmed the commands that must not be sent twice.
        A run whose start is unconfirmed when its connection ends would fail, and one whose reply is
        unconfirmed might have to continue without its call.
        """
        if parse_address(peer) == self.peer and self.next_address is None:
            return
        self.session.close_connection()  # commands are queued until the new connection is bound
        self.next_address = peer
        if self.address_change_timer is None:
            self.address_change_timer = asyncio.get_running_loop().call_later(
                UNCERTAIN_COMMANDS_TIMEOUT_SECONDS, self.complete_address_change, True
            )
        self.complete_address_change()

    def complete_address_change(self, is_overdue: bool = False) -> None:
        """Reconnect to the next address, if there is one and the old connection has nothing to confirm.

        Args:
            is_overdue: Whether to reconnect in spite of unconfirmed commands.
        """
        if self.next_address is None or (
            self.session.has_uncertain_command() and self.connection is not None and not is_overdue
        ):
            return
        peer, self.next_address = self.next_address, None
        self.close()
        self.peer = parse_address(peer)
        self.start()

    def close(self) -> None:
        """Close the connection and stop reconnecting."""
        if self.address_change_timer is not None:
            self.address_change_timer.cancel()
            self.address_change_timer = None
        super().close()

    def handle_message(self, message: wire.Message) -> None:
        """Report a message of the pool to the core."""
        match message:
            case wire.Polled(gauges):
                self.events.gauges_polled(gauges)
            case wire.Blocked(request_id, notice_number, body):
                self.events.call_requested(request_id, notice_number, body)
            case wire.Finished(request_id, status, seconds, result):
                self.events.run_finished(request_id, OUTCOMES.get(status, Outcome.FAILED), seconds, result)
            case wire.Bound(is_warm, age):
                if self.liveness.record_bound(asyncio.get_running_loop().time(), age):
                    self.log("pool-restarted", age=age)
                    self.session.reset()
                    self.events.pool_restarted(not is_warm, age)
                self.events.pool_started(not is_warm, age)
            case wire.UncertainRun(request_id):
                self.events.run_uncertain(request_id)
            case wire.UncertainReply(request_id, notice_number):
                self.events.reply_uncertain(request_id, notice_number)
            case wire.UnknownCommand(command, request_id):
                self.log("pool-unknown", command=command.decode("latin-1"), id=request_id.decode("latin-1"))
                # An unknown spawn started nothing; after any other command the pool no longer has the run.
                outcome = Outcome.NOT_STARTED if command == b"spawn" else Outcome.FAILED
                self.session.forget_run(request_id)
                self.events.run_finished(request_id, outcome, 0.0, b"")

    def _send(self, data: bytes) -> None:
        if data and self.connection is not None:
            self.connection.send(data)

    # ---- worker pool port ---------------------------------------------------------------------

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
        """Start a run; the pool's protocol carries neither the account nor the times."""
        self._send(self.session.spawn(request_id, class_name.encode(), body, must_run_once))

    def suspend(self, request_id: bytes) -> None:
        """Stop a run, as far as the settings allow."""
        self._send(self.session.suspend(request_id))

    def resume(self, request_id: bytes) -> None:
        """Resume a paused run."""
        self._send(self.session.resume(request_id))

    def supply_reply(self, request_id: bytes, reply: bytes) -> None:
        """Pass the dependency's reply to the run that waits for it."""
        self._send(self.session.supply_reply(request_id, reply))

    def skip_call(self, request_id: bytes, notice_number: int) -> None:
        """Resume a run without the call that the pool's notice of this number requested."""
        self._send(self.session.skip_call(request_id, notice_number))

    def poll_gauges(self) -> None:
        """Request the current gauges; a connection on which the pool has fallen silent is aborted."""
        if self.liveness.record_poll(asyncio.get_running_loop().time()) and self.connection is not None:
            self.log("pool-silent")
            self.liveness.silent_seconds = 0.0
            self.connection.abort()
        self._send(self.session.poll())
