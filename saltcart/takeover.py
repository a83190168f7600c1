"""Hot restart: a new process, the successor, takes over from the predecessor under load.

The platform holds the clients' listening socket.  Once its worker pool is up, the successor requests the
takeover.  The predecessor sends the idempotency keys that it holds and stops accepting connections.  Then it
passes its open connections to the successor, each as soon as it carries no request.  New requests therefore
reach only the successor, which knows all keys.  The predecessor finishes its own requests and reports how its
runs with keys end.
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

# After this timeout, the successor serves without the keys of a predecessor that hasn't handed over.
HANDOVER_TIMEOUT_SECONDS = 4.0
POLL_INTERVAL_SECONDS = 0.02  # between checks for connections to pass, open fronts and finished requests
# Delay after a full batch of connections, whose descriptors are closed some turns of the event loop later.
BATCH_DELAY_SECONDS = 0.002
# A release may stop both processes at once; the predecessor needs time to notice that its successor is gone.
MIN_RETIRE_SECONDS = 0.5
# After the drain notice, a process that has handed over is killed in
# min(longest deadline, MAX_DEADLINE_WAIT_SECONDS) + KILL_MARGIN_SECONDS.
MAX_DEADLINE_WAIT_SECONDS = 3.0
KILL_MARGIN_SECONDS = 0.7
MAX_BATCH_CONNECTIONS = 16  # passed in one turn of the event loop


class Predecessor:
    """The process from which this process, the owner of ``service`` and ``fronts``, takes over."""

    def __init__(
        self,
        service: Service,
        log: Log,
        fronts: dict[str, Listener],
        index: IndexClient | None,
    ) -> None:
        self.service = service
        self.log = log
        self.fronts = fronts  # by name; empty until they are opened
        self.index = index
        self.link: HandoverLink | None = None
        self.handover_ended = asyncio.Event()  # it has handed over, or is gone
        self.has_handed_over = False  # it has sent all of its keys
        self.has_unread_key = False  # a key that it sent could not be read
        self.connection_count = 0  # client connections that it still has
        self.attach_tasks = set[asyncio.Task[None]]()

    async def take_over(self, link: HandoverLink, pool_is_up: asyncio.Event) -> None:
        """Take over from the predecessor as soon as this process can serve.

        Returns once the predecessor has handed over, is gone, or has not responded in time.  In the last two
        cases, new keys fail for as long as they may have run in the predecessor.
        """
        self.link = link
        link.on_packet = self._on_packet
        link.on_undecodable = lambda error: self._on_malformed(None, error)
        link.on_link_lost = self._on_link_lost
        link.on_peer_ended = self._on_ended
        link.start()
        if self.index is not None:
            self.index.max_connections //= 2  # the descriptor limit applies to both processes together
        if self.service.controller is None:
            await pool_is_up.wait()
        if link.is_open:
            link.send(HandoverPacket(PacketKind.TAKE, {}))
        try:
            async with asyncio.timeout(HANDOVER_TIMEOUT_SECONDS):
                await self.handover_ended.wait()
        except TimeoutError:
            self.log("takeover-unanswered")
        if not self.has_handed_over:
            self.service.mark_keys_uncertain()
        self.log("took-over", keys=len(self.service.keys))

    def _on_packet(self, packet: HandoverPacket, descriptor: int | None) -> None:
        try:
            self._apply(packet, descriptor)
        except MalformedMessageError as error:
            self._on_malformed(packet.kind, error)

    def _on_malformed(self, kind: str | None, error: MalformedMessageError) -> None:
        """Log a packet that can't be read, and fail new keys if it may have reported a key.

        Args:
            kind: The kind of the packet, or None if even that is unreadable.
            error: Tells what can't be read.
        """
        self.log("handover-malformed", kind=kind, error=str(error))
        if kind in (None, PacketKind.KEY, PacketKind.FREED_KEY):
            self.has_unread_key = True
            self.service.mark_keys_uncertain()

    def _apply(self, packet: HandoverPacket, descriptor: int | None) -> None:
        match packet.kind:
            case PacketKind.KEY | PacketKind.FREED_KEY:
                record = wire.read_key(packet, self.service.clock.seconds_ahead())
                self.service.adopt_key(record, packet.kind == PacketKind.FREED_KEY)
            case PacketKind.LOAD:
                load, connection_count = wire.read_load(packet)
                self.service.set_predecessor_load(load)
                self.set_connection_count(connection_count)
            case PacketKind.HANDED_OVER:
                self.has_handed_over = True
                # Even after the timeout, all keys are known from here on.
                if not self.has_unread_key:
                    self.service.lifecycle.attempts.uncertain_until = 0.0
                self.handover_ended.set()
            case PacketKind.CONNECTION if descriptor is not None:
                self.set_connection_count(max(0, self.connection_count - 1))
                self._start_attaching(packet, descriptor)
            case _:  # sent only by later releases
                if descriptor is not None:
                    os.close(descriptor)

    def set_connection_count(self, count: int) -> None:
        """Record the predecessor's number of client connections; one limit applies to both processes."""
        self.connection_count = count
        if "http" in self.fronts:
            self.fronts["http"].predecessor_connections = count

    def _start_attaching(self, packet: HandoverPacket, descriptor: int) -> None:
        task = asyncio.get_running_loop().create_task(self._attach(packet, descriptor))
        self.attach_tasks.add(task)
        task.add_done_callback(self.attach_tasks.discard)

    async def _attach(self, packet: HandoverPacket, descriptor: int) -> None:
        client_socket = socket.socket(fileno=descriptor)
        try:
            state = wire.read_connection(packet)
            await self._wait_for_fronts()
            front = self.fronts[state.front]
            await front.attach_connection(
                client_socket, state.buffered_bytes, state.was_idle, state.state_age
            )
        except (OSError, KeyError, TimeoutError, MalformedMessageError) as error:
            client_socket.close()
            self.log("connection-lost", error=repr(error))

    async def _wait_for_fronts(self) -> None:
        if self.fronts:
            return
        async with asyncio.timeout(HANDOVER_TIMEOUT_SECONDS):
            while not self.fronts:
                await asyncio.sleep(POLL_INTERVAL_SECONDS)

    def _on_link_lost(self) -> None:
        """Handle the loss of the link to a predecessor that still runs and uses cores and memory."""
        self.log("takeover-link-lost", peer="predecessor")
        self.handover_ended.set()
        self.service.predecessor_unreachable()

    def _on_ended(self) -> None:
        """Handle the end of the predecessor, which reports no further keys or results."""
        self.link = None
        self.handover_ended.set()
        self.set_connection_count(0)
        if self.index is not None:
            self.index.max_connections *= 2
        self.service.predecessor_lost()

    def close(self) -> None:
        """Close the link and stop attaching connections, because this process ends."""
        if self.link is not None:
            self.link.close()
        for task in self.attach_tasks:
            task.cancel()


class Successor:
    """The process to which this process, the owner of ``service`` and ``fronts``, hands over."""

    def __init__(self, service: Service, log: Log, fronts: dict[str, Listener]) -> None:
        self.service = service
        self.log = log
        self.fronts = fronts
        # Set while a successor serves, even if the link to it was lost.
        self.link: HandoverLink | None = None
        # The load and the number of client connections.
        self.last_sent_load: tuple[PredecessorLoad, int] | None = None
        self.next_batch_timer: asyncio.TimerHandle | None = None

    def hand_over(self, link: HandoverLink) -> None:
        """Send all keys, stop accepting connections and start to pass the open ones."""
        self.link = link
        self.last_sent_load = None
        for record in self.service.lifecycle.attempts.hand_over(self._send_key):
            self._send_key(record, False)
        self._send_load()
        link.send(HandoverPacket(PacketKind.HANDED_OVER, {}))
        for listener in self.fronts.values():
            listener.stop_accepting()
            listener.pass_connection = self._pass_connection
        self.log("handed-over", open=len(self.service.requests), keys=len(self.service.keys))
        self._pass_connections()

    def _send_key(self, record: KeyRecord, is_free: bool) -> None:
        if self.link is not None:
            self.link.send(wire.key_packet(record, is_free, self.service.clock.seconds_ahead()))

    def _send_load(self) -> None:
        """Report this process's load, if it changed, while both processes share the cores and the memory."""
        connection_count = sum(len(listener.connections) for listener in self.fronts.values())
        load = self.service.load(), connection_count
        if self.link is not None and load != self.last_sent_load:
            self.last_sent_load = load
            self.link.send(wire.load_packet(*load))

    def _pass_connection(self, connection: ServerConnection, buffered_bytes: bytes) -> bool:
        """Pass a connection to the successor and close it here; return False if it can't be passed now."""
        if self.link is None or connection.transport is None:
            return False
        listener = connection.listener
        state = wire.PassedConnection(
            front=next(name for name, front in self.fronts.items() if front is listener),
            was_idle=connection in listener.idle,
            state_age=asyncio.get_running_loop().time() - connection.state_since,
            buffered_bytes=buffered_bytes,
        )
        descriptor = connection.transport.get_extra_info("socket").fileno()
        if not self.link.send_descriptor(wire.connection_packet(state), descriptor):
            return False
        connection.abort()
        return True

    def _pass_connections(self) -> None:
        passed_count = MAX_BATCH_CONNECTIONS  # an error with one connection must not stop the others
        try:
            self._send_load()
            passed_count = self._pass_batch()
        finally:
            delay = BATCH_DELAY_SECONDS if passed_count == MAX_BATCH_CONNECTIONS else POLL_INTERVAL_SECONDS
            self.next_batch_timer = asyncio.get_running_loop().call_later(delay, self._pass_connections)

    def _pass_batch(self) -> int:
        passed_count = 0
        for listener in self.fronts.values():
            for connection in listener.connections_by_age():
                if isinstance(connection, FrontConnection) and passed_count < MAX_BATCH_CONNECTIONS:
                    passed_count += connection.hand_over()
        return passed_count

    def end_connections(self) -> None:
        """End the remaining connections, because the link to the successor, which still serves, was lost.

        This process starts no runs, but it has to answer requests that arrive on these connections.
        """
        self._continue_connections(ends_connections=True)

    def cancel_hand_over(self) -> None:
        """Serve the remaining connections again, because the successor is gone."""
        self.link = None
        self.service.lifecycle.attempts.cancel_hand_over()
        self._continue_connections(ends_connections=False)

    def _continue_connections(self, *, ends_connections: bool) -> None:
        self.stop_passing()
        for listener in self.fronts.values():
            listener.pass_connection = None
            listener.ends_connections = ends_connections
            for connection in list(listener.connections):
                if isinstance(connection, FrontConnection):
                    connection.continue_reading()

    def stop_passing(self) -> None:
        """Pass no more connections to the successor."""
        if self.next_batch_timer is not None:
            self.next_batch_timer.cancel()

    def has_unsent_packets(self) -> bool:
        """Return whether packets still wait to be sent to the successor."""
        return self.link is not None and bool(self.link.unsent_packets)

    def close(self) -> None:
        """Close the link and pass no more connections, because this process ends."""
        if self.link is not None:
            self.link.close()
        self.stop_passing()


class Takeover:
    """The hot restarts of one process: it takes over from a predecessor, and later hands over to a successor.

    Args:
        folder: The private folder that all processes of this instance share.
        name: The name of the instance, which is part of the name of the socket in the folder.
        fronts: The listeners by front name, which ``open_fronts`` fills.
    """

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
        self.retired_at: float | None = None  # time of the drain notice, if it came after the handover
        self.seconds_to_stop = 0.0  # from ``retired_at`` until this process is killed
        self.is_closed = False
        self.reopen_task: asyncio.Task[None] | None = None

    async def start_serving(self) -> None:
        """Take over from the predecessor if there is one, then open the fronts."""
        pool_is_up = asyncio.Event()
        self.service.on_started = pool_is_up.set
        link = self.handover_listener.connect()
        if link is not None:
            await self.predecessor.take_over(link, pool_is_up)
        self._listen_for_successor()
        await self.open_fronts()
        self.predecessor.set_connection_count(self.predecessor.connection_count)

    def _listen_for_successor(self) -> None:
        try:
            self.handover_listener.open()
        except OSError as error:  # this process can serve, but no successor can take over from it
            self.log("takeover-closed", error=str(error))

    def _on_connected(self, link: HandoverLink) -> None:
        if self.successor.link is not None:
            link.close()
            return
        link.on_packet = lambda packet, descriptor: self._on_packet(link, packet, descriptor)
        link.on_undecodable = lambda error: self.log("handover-malformed", kind=None, error=str(error))
        link.on_link_lost = lambda: self._on_successor_link_lost(link)
        link.on_peer_ended = lambda: self._on_successor_ended(link)
        link.start()

    def _on_packet(self, link: HandoverLink, packet: HandoverPacket, descriptor: int | None) -> None:
        if descriptor is not None:
            os.close(descriptor)  # a successor has no connections to pass
        if packet.kind != PacketKind.TAKE or self.successor.link is link:
            # Closing the link would make either process take the other for dead.
            self.log("handover-malformed", kind=packet.kind, error="handover: unexpected packet")
            return
        if self.successor.link is not None:  # another process has taken over meanwhile
            link.close()
            return
        self.handover_listener.close()
        if self.announcer is not None:
            self.announcer.close()  # the successor's reports now keep the entry in the endpoint list
        self.successor.hand_over(link)

    def _on_successor_link_lost(self, link: HandoverLink) -> None:
        """Leave serving to a successor that still runs, although no connection or key can be passed to it."""
        if self.successor.link is not link or self.is_closed:
            return
        self.log("takeover-link-lost", peer="successor")
        self.service.mark_keys_uncertain()
        self.successor.end_connections()

    def _on_successor_ended(self, link: HandoverLink) -> None:
        """Continue to serve without a successor, or drain if the drain notice has been received."""
        if self.successor.link is not link or self.is_closed:
            return
        self.successor.cancel_hand_over()
        self.service.mark_keys_uncertain()  # the successor reported no runs of its own
        self.log("takeover-reverted", stopping=self.retired_at is not None)
        if self.retired_at is not None:
            notice_age = self.service.clock.read_seconds() - self.retired_at
            self.retired_at = None
            self.service.start_drain(max(0.0, self.seconds_to_stop - notice_age), notice_age)
        self.reopen_task = asyncio.get_running_loop().create_task(self._reopen())

    async def _reopen(self) -> None:
        for listener in self.fronts.values():
            await self._reopen_front(listener)
        self._listen_for_successor()
        if self.announcer is not None:
            self.announcer.resume()

    async def _reopen_front(self, listener: Listener) -> None:
        while not self.is_closed:
            try:
                await listener.open()
            except OSError as error:  # without a listener, this process would look healthy but serve nothing
                self.log("reopen-failed", error=str(error))
                await asyncio.sleep(POLL_INTERVAL_SECONDS)
            else:
                return

    def retire(self, seconds_to_stop: float, on_finished: Callable[[], None]) -> bool:
        """Finish the remaining requests before this process ends, if it has handed over.

        Args:
            seconds_to_stop: Seconds from now until the process is killed.
            on_finished: Called when the process may end.

        Returns:
            Whether this process has handed over.  If not, nothing is done.
        """
        if self.successor.link is None:
            return False
        if self.retired_at is None:
            self.retired_at = self.service.clock.read_seconds()
            self.seconds_to_stop = seconds_to_stop
            retire_seconds = min(
                seconds_to_stop,
                min(MAX_DEADLINE_WAIT_SECONDS, self.service.longest_deadline) + KILL_MARGIN_SECONDS,
            )
            self.service.retire_after(retire_seconds)
            self._finish_when_idle(
                on_finished, asyncio.get_running_loop().time() + retire_seconds - POLL_INTERVAL_SECONDS
            )
        return True

    def _finish_when_idle(self, on_finished: Callable[[], None], latest_end: float) -> None:
        if self.retired_at is None or self.is_closed:  # it serves again, or has ended
            return
        loop = asyncio.get_running_loop()
        has_connections = any(listener.connections for listener in self.fronts.values())
        is_busy = has_connections or self.service.requests or self.successor.has_unsent_packets()
        is_early = self.service.clock.read_seconds() < self.retired_at + MIN_RETIRE_SECONDS
        if (is_busy or is_early) and loop.time() < latest_end:
            loop.call_later(POLL_INTERVAL_SECONDS, self._finish_when_idle, on_finished, latest_end)
        else:
            on_finished()

    def close(self) -> None:
        """Close both links and the socket, because this process ends."""
        self.is_closed = True
        self.handover_listener.close()
        self.predecessor.close()
        self.successor.close()
        if self.reopen_task is not None:
            self.reopen_task.cancel()
