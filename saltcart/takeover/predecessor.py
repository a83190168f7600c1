"""The successor's side of a takeover: what it receives from the process from which it takes over."""

from __future__ import annotations

import asyncio
import os
import socket
from collections.abc import Callable

from saltcart.core.ports import Log
from saltcart.core.service import Service
from saltcart.net.handover import HandoverLink
from saltcart.net.index import IndexClient
from saltcart.net.listener import Listener
from saltcart.takeover.load_reports import OlderProcessLoads
from saltcart.takeover.timing import POLL_INTERVAL_SECONDS
from saltcart.wire import handover as wire
from saltcart.wire.errors import MalformedMessageError
from saltcart.wire.handover import HandoverPacket, PacketKind, ReportedDrain

# After this timeout, the successor serves without the keys of a predecessor that hasn't handed over.
HANDOVER_TIMEOUT_SECONDS = 4.0
PACKETS_WITHOUT_KEYS = (
    PacketKind.LOAD,
    PacketKind.REQUEST_IDS,
    PacketKind.WITHDRAWN,
    PacketKind.CONNECTION,
)


class Predecessor:
    """The process from which this process, the owner of ``service`` and ``fronts``, takes over."""

    def __init__(
        self,
        service: Service,
        log: Log,
        fronts: dict[str, Listener],
        index: IndexClient | None,
        older_processes: OlderProcessLoads,
    ) -> None:
        self.service = service
        self.log = log
        self.fronts = fronts  # by name; empty until they are opened
        self.index = index
        self.older_processes = older_processes
        self.link: HandoverLink | None = None
        self.handover_ended = asyncio.Event()  # it has handed over, or is gone
        self.has_handed_over = False  # it has sent all of its keys
        self.has_unread_key = False  # a key that it sent could not be read
        self.attach_tasks = set[asyncio.Task[None]]()
        # Called with a drain by operators, or its end, at the predecessor.
        self.on_drain_reported: Callable[[ReportedDrain], None] = lambda report: None

    async def take_over(self, link: HandoverLink, pool_is_up: asyncio.Event) -> None:
        """Take over from the predecessor as soon as this process can serve.

        Returns once the predecessor has handed over, is gone, or has not responded in time.  In the last two
        cases, new keys fail for as long as they may have run in the predecessor.
        """
        self.link = link
        self.handover_ended.clear()
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
        if kind not in PACKETS_WITHOUT_KEYS:
            self.has_unread_key = True
            self.service.mark_keys_uncertain()
        if kind == PacketKind.HANDED_OVER:
            self.has_handed_over = True
            self.handover_ended.set()

    def _apply(self, packet: HandoverPacket, descriptor: int | None) -> None:
        match packet.kind:
            case PacketKind.KEY | PacketKind.FREED_KEY:
                record = wire.read_key(packet, self.service.clock.seconds_ahead())
                self.service.adopt_key(record, packet.kind == PacketKind.FREED_KEY)
            case PacketKind.LOAD:
                if self.link is not None:
                    self.older_processes.record(self.link, wire.read_load(packet))
            case PacketKind.HANDED_OVER:
                uncertain_until = wire.read_uncertain_until(packet, self.service.clock.seconds_ahead())
                self.has_handed_over = True
                # Even after the timeout, this process knows all keys that the predecessor knew.
                if not self.has_unread_key:
                    self.service.lifecycle.attempts.uncertain_until = uncertain_until
                self.handover_ended.set()
            case PacketKind.REQUEST_IDS:
                self.service.adopt_request_ids(wire.read_request_ids(packet))
            case PacketKind.WITHDRAWN:
                self.on_drain_reported(wire.read_drain(packet))
            case PacketKind.CONNECTION if descriptor is not None:
                if self.link is not None:
                    self.older_processes.record_passed_connection(self.link)
                self._start_attaching(packet, descriptor)
            case _:  # sent only by later releases
                if descriptor is not None:
                    os.close(descriptor)

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
        link = self.link
        self.link = None
        self.handover_ended.set()
        if self.index is not None:
            self.index.max_connections *= 2
        self.service.predecessor_unreachable()
        if link is not None:
            self.older_processes.record_end(link)

    def close(self) -> None:
        """Close the link and stop attaching connections, because this process ends."""
        if self.link is not None:
            self.link.close()
        for task in self.attach_tasks:
            task.cancel()
