"""The hot restarts of one process: it takes over from a predecessor, and later hands over to a successor."""

from __future__ import annotations

import asyncio
import os
from collections.abc import Awaitable, Callable
from pathlib import Path

from saltcart.core.ports import Log
from saltcart.core.service import Service
from saltcart.net.announcer import Announcer
from saltcart.net.handover import HandoverLink, HandoverListener
from saltcart.net.index import IndexClient
from saltcart.net.listener import Listener
from saltcart.takeover.predecessor import Predecessor
from saltcart.takeover.successor import Successor
from saltcart.takeover.timing import POLL_INTERVAL_SECONDS
from saltcart.wire.handover import HandoverPacket, PacketKind

# A release may stop both processes at once; the predecessor needs time to notice that its successor is gone.
MIN_RETIRE_SECONDS = 0.5
# After the drain notice, a process that has handed over is killed in
# min(longest deadline, MAX_DEADLINE_WAIT_SECONDS) + KILL_MARGIN_SECONDS.
MAX_DEADLINE_WAIT_SECONDS = 3.0
KILL_MARGIN_SECONDS = 0.7


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
