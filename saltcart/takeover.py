"""A new version under load: the new process takes over from the old one while both serve.

The platform holds the clients' listening socket.  The new process, once its worker pool is up, asks the old
one for its place; the old one stops accepting, tells of every idempotency key that it holds, and then passes
its connections, each as soon as it carries no request.  So what comes from then on reaches the new process
alone, which knows all keys; the old one finishes what it has and tells how its runs with keys end.
"""

from __future__ import annotations

import asyncio
import os
import socket
from collections.abc import Awaitable, Callable
from pathlib import Path

from saltcart.core.idempotency_keys import KeyRecord
from saltcart.core.ports import Log
from saltcart.core.service import Service
from saltcart.decision.events import PredecessorLoad
from saltcart.front.connection import FrontConnection
from saltcart.net.announcer import Announcer
from saltcart.net.handover import HandoverLink, HandoverListener
from saltcart.net.index import IndexClient
from saltcart.net.listener import Listener, ServerConnection
from saltcart.wire import handover as wire
from saltcart.wire.errors import MalformedMessageError
from saltcart.wire.handover import HandoverPacket, PacketKind

# All in seconds.
ANSWER_WAIT = 4.0  # an old process that tells nothing for this long is not waited for: its keys are lost
PASS_INTERVAL = 0.02  # between two looks for connections that became free
NEXT_PASS = 0.002  # after a turn that passed as many as it may: descriptors are closed some turns later
MIN_STAY = 0.5  # a release that stops both processes at once leaves the old one time to learn of it
MAX_STAY = 3.0  # after a stop, and STAY_MARGIN more: the old process is killed its longest deadline, at most,
STAY_MARGIN = 0.7  # and then later
MAX_PASSES = 16  # connections passed in one turn


class Predecessor:
    """The process before, as seen by the one that takes over from it."""

    def __init__(
        self,
        service: Service,
        log: Log,
        fronts: dict[str, Listener],
        index: IndexClient | None,
    ) -> None:
        self.service = service
        self.log = log
        self.fronts = fronts
        self.index = index
        self.link: HandoverLink | None = None
        self.is_settled = asyncio.Event()  # it has handed over, or is gone
        self.has_handed_over = False  # all of its keys are known
        self.connections = 0  # of clients, that it still holds
        self.attaching = set[asyncio.Task[None]]()

    async def take_over(self, link: HandoverLink, pool_is_up: asyncio.Event) -> None:
        """Take the place of the process at the other end, once this one can serve."""
        self.link = link
        link.on_packet = self._on_packet
        link.on_closed = self._on_closed
        link.start()
        if self.index is not None:
            self.index.max_connections //= 2  # the descriptors of both processes count together
        if self.service.controller is None:
            await pool_is_up.wait()
        if link.is_open:
            link.send(HandoverPacket(PacketKind.TAKE, {}))
        try:
            async with asyncio.timeout(ANSWER_WAIT):
                await self.is_settled.wait()
        except TimeoutError:
            self.log("takeover-unanswered")
        if not self.has_handed_over:
            self.service.mark_keys_uncertain()
        self.log("took-over", keys=len(self.service.keys))

    def _on_packet(self, packet: HandoverPacket, descriptor: int | None) -> None:
        match packet.kind:
            case PacketKind.KEY | PacketKind.FREED_KEY:
                record = wire.read_key(packet, self.service.clock.seconds_ahead())
                self.service.adopt_key(record, packet.kind == PacketKind.FREED_KEY)
            case PacketKind.LOAD:
                load, connections = wire.read_load(packet)
                self.service.set_predecessor_load(load)
                self.count_connections(connections)
            case PacketKind.HANDED_OVER:
                self.has_handed_over = True
                self.service.lifecycle.attempts.uncertain_until = 0.0  # told late is told
                self.is_settled.set()
            case PacketKind.CONNECTION if descriptor is not None:
                self.count_connections(max(0, self.connections - 1))
                self._start_attaching(packet, descriptor)
            case _:  # of a later release
                if descriptor is not None:
                    os.close(descriptor)

    def count_connections(self, connections: int) -> None:
        """Record how many connections of clients the old process holds: both have to do with one limit."""
        self.connections = connections
        if "http" in self.fronts:
            self.fronts["http"].predecessor_connections = connections

    def _start_attaching(self, packet: HandoverPacket, descriptor: int) -> None:
        task = asyncio.get_running_loop().create_task(self._attach(packet, descriptor))
        self.attaching.add(task)
        task.add_done_callback(self.attaching.discard)

    async def _attach(self, packet: HandoverPacket, descriptor: int) -> None:
        client = socket.socket(fileno=descriptor)
        try:
            passed = wire.read_connection(packet)
            await self._fronts_open()
            front = self.fronts[passed.front]
            await front.attach_connection(client, passed.unread, passed.is_resting, passed.age)
        except (OSError, KeyError, TimeoutError, MalformedMessageError) as error:
            client.close()
            self.log("connection-lost", error=repr(error))

    async def _fronts_open(self) -> None:
        if self.fronts:
            return
        async with asyncio.timeout(ANSWER_WAIT):
            while not self.fronts:
                await asyncio.sleep(PASS_INTERVAL)

    def _on_closed(self) -> None:
        """The old process is gone: what it has not told is not known and never will be."""
        self.link = None
        self.is_settled.set()
        self.count_connections(0)
        if self.index is not None:
            self.index.max_connections *= 2
        self.service.predecessor_lost()

    def close(self) -> None:
        """End the link, for the end of this process."""
        if self.link is not None:
            self.link.close()
        for task in self.attaching:
            task.cancel()


class Successor:
    """The process after, as seen by the one that hands over to it."""

    def __init__(self, service: Service, log: Log, fronts: dict[str, Listener]) -> None:
        self.service = service
        self.log = log
        self.fronts = fronts
        self.link: HandoverLink | None = None
        self.last_load: tuple[PredecessorLoad, int] | None = None  # what it was told last
        self.next_pass: asyncio.TimerHandle | None = None

    def hand_over(self, link: HandoverLink) -> None:
        """Give the process at the other end this one's place."""
        self.link = link
        self.last_load = None
        for record in self.service.lifecycle.attempts.hand_over(self._send_key):
            self._send_key(record, False)
        self._send_load()
        link.send(HandoverPacket(PacketKind.HANDED_OVER, {}))
        for listener in self.fronts.values():
            listener.stop_accepting()
            listener.pass_connection = self._pass_connection
        self.log("handed-over", open=len(self.service.requests), keys=len(self.service.keys))
        self._pass_free_connections()

    def _send_key(self, record: KeyRecord, is_free: bool) -> None:
        if self.link is not None:
            self.link.send(wire.key_packet(record, is_free, self.service.clock.seconds_ahead()))

    def _send_load(self) -> None:
        """Both processes share the cores and the memory until this one has finished."""
        connections = sum(len(listener.connections) for listener in self.fronts.values())
        load = self.service.load(), connections
        if self.link is not None and load != self.last_load:
            self.last_load = load
            self.link.send(wire.load_packet(*load))

    def _pass_connection(self, connection: ServerConnection, unread: bytes) -> bool:
        """Pass one connection on and close its descriptor here; False where it can't go now."""
        if self.link is None or connection.transport is None:
            return False
        listener = connection.listener
        passed = wire.PassedConnection(
            front=next(name for name, front in self.fronts.items() if front is listener),
            is_resting=connection in listener.idle,
            age=asyncio.get_running_loop().time() - connection.state_since,
            unread=unread,
        )
        descriptor = connection.transport.get_extra_info("socket").fileno()
        if not self.link.send_descriptor(wire.connection_packet(passed), descriptor):
            return False
        connection.abort()
        return True

    def _pass_free_connections(self) -> None:
        passed = MAX_PASSES  # a fault in passing one must not end the passing of the others
        try:
            self._send_load()
            passed = self._pass_some()
        finally:
            delay = NEXT_PASS if passed == MAX_PASSES else PASS_INTERVAL
            self.next_pass = asyncio.get_running_loop().call_later(delay, self._pass_free_connections)

    def _pass_some(self) -> int:
        passed = 0
        for listener in self.fronts.values():
            for connection in listener.connections_by_age():
                if isinstance(connection, FrontConnection) and passed < MAX_PASSES:
                    passed += connection.hand_over()
        return passed

    def take_back(self) -> None:
        """The new process is gone: serve the connections that it did not take."""
        self.link = None
        self.stop_passing()
        self.service.lifecycle.attempts.cancel_hand_over()
        for listener in self.fronts.values():
            listener.pass_connection = None
            for connection in list(listener.connections):
                if isinstance(connection, FrontConnection):
                    connection.continue_reading()

    def stop_passing(self) -> None:
        """Look for no more connections to pass."""
        if self.next_pass is not None:
            self.next_pass.cancel()

    def has_unsent(self) -> bool:
        """Whether something told was not sent yet."""
        return self.link is not None and bool(self.link.outgoing)

    def close(self) -> None:
        """End the link, for the end of this process."""
        if self.link is not None:
            self.link.close()
        self.stop_passing()


class Takeover:
    """One process's part in it: it takes over from the one before, and then is found by the one after."""

    def __init__(
        self,
        folder: Path,
        name: str,
        service: Service,
        log: Log,
        fronts: dict[str, Listener],
        open_fronts: Callable[[], Awaitable[None]],
        announcer: Announcer | None,
        index: IndexClient | None,
    ) -> None:
        self.service = service
        self.log = log
        self.fronts = fronts
        self.open_fronts = open_fronts
        self.announcer = announcer
        self.handover_listener = HandoverListener(folder, f"saltcart-{name}", self._on_connected)
        self.predecessor = Predecessor(service, log, fronts, index)
        self.successor = Successor(service, log, fronts)
        self.stopped_at: float | None = None  # when this process was told to stop, after it had handed over
        self.stop_within = 0.0
        self.is_closed = False
        self.reopening: asyncio.Task[None] | None = None

    async def begin(self) -> None:
        """Take over, if there is a process to take over from, and open the fronts."""
        pool_is_up = asyncio.Event()
        self.service.on_started = pool_is_up.set
        link = self.handover_listener.connect()
        if link is not None:
            await self.predecessor.take_over(link, pool_is_up)
        self._be_found()
        await self.open_fronts()
        self.predecessor.count_connections(self.predecessor.connections)

    def _be_found(self) -> None:
        try:
            self.handover_listener.open()
        except OSError as error:  # no next version will find this one, but it serves
            self.log("takeover-closed", error=str(error))

    def _on_connected(self, link: HandoverLink) -> None:
        if self.successor.link is not None:
            link.close()
            return
        link.on_packet = lambda packet, descriptor: self._on_packet(link, packet, descriptor)
        link.on_closed = lambda: self._on_successor_lost(link)
        link.start()

    def _on_packet(self, link: HandoverLink, packet: HandoverPacket, descriptor: int | None) -> None:
        if descriptor is not None:
            os.close(descriptor)  # none is wanted from this side
        if packet.kind != PacketKind.TAKE or self.successor.link is not None:
            raise MalformedMessageError("handover: not now")
        self.handover_listener.close()
        if self.announcer is not None:
            self.announcer.close()  # the entry in the list is the new process's
        self.successor.hand_over(link)

    def _on_successor_lost(self, link: HandoverLink) -> None:
        """Take the place back: this process serves on, or drains if it was told to stop."""
        if self.successor.link is not link or self.is_closed:
            return
        self.successor.take_back()
        self.log("takeover-reverted", stopping=self.stopped_at is not None)
        if self.stopped_at is not None:
            ago = self.service.clock.read_seconds() - self.stopped_at
            self.stopped_at = None
            self.service.start_drain(max(0.0, self.stop_within - ago), ago)
        self.reopening = asyncio.get_running_loop().create_task(self._reopen())

    async def _reopen(self) -> None:
        for listener in self.fronts.values():
            await self._reopen_front(listener)
        self._be_found()
        if self.announcer is not None:
            self.announcer.resume()

    async def _reopen_front(self, listener: Listener) -> None:
        while not self.is_closed:
            try:
                await listener.open()
            except OSError as error:  # without a listener it would look well and serve nobody
                self.log("reopen-failed", error=str(error))
                await asyncio.sleep(PASS_INTERVAL)
            else:
                return

    def retire(self, within: float, done: Callable[[], None]) -> bool:
        """Stop a process that has handed over: it ends what it has.  False where it has not handed over.

        ``within``: seconds until it is killed; ``done`` is called when it may end.
        """
        if self.successor.link is None:
            return False
        if self.stopped_at is None:
            self.stopped_at = self.service.clock.read_seconds()
            self.stop_within = within
            stay = min(within, min(MAX_STAY, self.service.longest_deadline) + STAY_MARGIN)
            self.service.retire_after(stay)
            self._end_when_done(done, asyncio.get_running_loop().time() + stay - PASS_INTERVAL)
        return True

    def _end_when_done(self, done: Callable[[], None], until: float) -> None:
        if self.stopped_at is None or self.is_closed:  # it took its place back
            return
        loop = asyncio.get_running_loop()
        has_connections = any(listener.connections for listener in self.fronts.values())
        is_busy = has_connections or self.service.requests or self.successor.has_unsent()
        is_early = self.service.clock.read_seconds() < self.stopped_at + MIN_STAY
        if (is_busy or is_early) and loop.time() < until:
            loop.call_later(PASS_INTERVAL, self._end_when_done, done, until)
        else:
            done()

    def close(self) -> None:
        """End all of it, for the end of this process."""
        self.is_closed = True
        self.handover_listener.close()
        self.predecessor.close()
        self.successor.close()
        if self.reopening is not None:
            self.reopening.cancel()
