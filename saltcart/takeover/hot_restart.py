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
from saltcart.takeover.load_reports import OlderProcessLoads
from saltcart.takeover.operator_drain import OperatorDrain
from saltcart.takeover.predecessor import Predecessor
from saltcart.takeover.successor import Successor
from saltcart.takeover.timing import POLL_INTERVAL_SECONDS
from saltcart.wire.errors import MalformedMessageError
from saltcart.wire.handover import HandoverPacket, PacketKind, read_load

# A release may stop both processes at once; the predecessor needs time to notice that its successor is gone.
MIN_RETIRE_SECONDS = 0.5
# After the drain notice, a process that has handed over is killed in
# min(longest deadline, MAX_DEADLINE_WAIT_SECONDS) + KILL_MARGIN_SECONDS.
MAX_DEADLINE_WAIT_SECONDS = 3.0
KILL_MARGIN_SECONDS = 0.7
# A process that is just taking over does not listen at the handover socket yet.
LISTENING_TIMEOUT_SECONDS = 0.1
MAX_TAKEOVER_ATTEMPTS = 3  # each from a process that ends before it has handed over


class Takeover:
    """The hot restarts of one process: it takes over from a predecessor, and later hands over to a successor.

    Args:
        folder: The private folder that all processes of this instance share.
        name: The name of the instance, which is part of the name of the socket in the folder.
        fronts: The listeners by front name, which ``open_fronts`` fills.
        open_fronts: Opens the fronts and whatever else only the serving process may have open.
        on_handed_over: Called when a successor has taken over, to close what ``open_fronts`` opened beside
            the fronts.
        on_serving_again: Called after that when this process serves again.
    """

    def __init__(
        self,
        folder: Path,
        name: str,
        service: Service,
        log: Log,
        fronts: dict[str, Listener],
        open_fronts: Callable[[], Awaitable[None]],
        on_handed_over: Callable[[], None],
        on_serving_again: Callable[[], Awaitable[None]],
        announcer: Announcer | None,
        index: IndexClient | None,
    ) -> None:
        self.service = service
        self.log = log
        self.fronts = fronts
        self.open_fronts = open_fronts
        self.on_handed_over = on_handed_over
        self.on_serving_again = on_serving_again
        self.announcer = announcer
        self.handover_listener = HandoverListener(folder, f"saltcart-{name}", self._on_connected)
        self.older_processes = OlderProcessLoads(service, fronts)
        self.predecessor = Predecessor(service, log, fronts, index, self.older_processes)
        self.successor = Successor(service, log, fronts, self.older_processes)
        self.operator_drain = OperatorDrain(folder, name, service, log, self.predecessor, self.successor)
        self.operator_drain.start()
        self.is_serving = False  # the fronts are open, and no successor has taken over
        self.waiting_link: HandoverLink | None = None  # to a process that requested the takeover before that
        self.retired_at: float | None = None  # time of the drain notice, if it came after the handover
        self.seconds_to_stop = 0.0  # from ``retired_at`` until this process is killed
        self.is_closed = False
        self.accepted_links = set[HandoverLink]()  # of processes that may take over or watch this one
        self.recovery_task: asyncio.Task[None] | None = None  # runs after a successor has ended

    async def start_serving(self) -> None:
        """Take over from the predecessor if there is one, then open the fronts.

        If the predecessor ends before it has handed over, its own predecessor may serve again.
        """
        pool_is_up = asyncio.Event()
        self.service.on_started = pool_is_up.set
        for _ in range(MAX_TAKEOVER_ATTEMPTS):
            link = await self._find_serving_process()
            if link is None:
                break
            await self.predecessor.take_over(link, pool_is_up)
            if self.predecessor.has_handed_over or self.predecessor.link is not None:
                break
        self._listen_for_successor()
        await self.open_fronts()
        self.older_processes.account_for_connections()
        self._start_serving()

    def _start_serving(self) -> None:
        """Permit takeovers from now on, as there is nothing to stop before the fronts are open."""
        self.is_serving = True
        link = self.waiting_link
        self.waiting_link = None
        if link is not None and link.is_open:
            self._hand_over(link)

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
        self.accepted_links = {known for known in self.accepted_links if known.is_open}
        self.accepted_links.add(link)
        self._watch_successor(link)

    def _watch_successor(self, link: HandoverLink) -> None:
        link.on_link_lost = lambda: self._on_successor_link_lost(link)
        link.on_peer_ended = lambda: self._on_successor_ended(link)
        link.start()

    def _on_packet(self, link: HandoverLink, packet: HandoverPacket, descriptor: int | None) -> None:
        if descriptor is not None:
            os.close(descriptor)  # a successor has no connections to pass
        if packet.kind == PacketKind.LOAD and self.successor.link is not link:
            self._on_load_report(link, packet)
            return
        if packet.kind != PacketKind.TAKE or self.successor.link is link:
            # Closing the link would make either process take the other for dead.
            self.log("handover-malformed", kind=packet.kind, error="handover: unexpected packet")
            return
        if self.successor.link is not None:  # another process has taken over meanwhile
            link.close()
        elif self.is_serving:
            self._hand_over(link)
        else:
            self.waiting_link = link

    def _on_load_report(self, link: HandoverLink, packet: HandoverPacket) -> None:
        """Count the load of an older process whose successor, which reported to this one, has ended."""
        try:
            self.older_processes.record(link, read_load(packet))
        except MalformedMessageError as error:
            self.log("handover-malformed", kind=packet.kind, error=str(error))

    def _hand_over(self, link: HandoverLink) -> None:
        self.is_serving = False
        self.handover_listener.close()
        if self.announcer is not None:
            self.announcer.close()  # the successor's reports now keep the entry in the endpoint list
        self.on_handed_over()
        self.successor.hand_over(link, shares_drain=self.operator_drain.file is not None)

    def _on_successor_link_lost(self, link: HandoverLink) -> None:
        """Leave serving to a successor that still runs, although no connection or key can be passed to it."""
        if self.successor.link is not link or self.is_closed:
            return
        self.log("takeover-link-lost", peer="successor")
        self.service.mark_keys_uncertain()
        self.successor.end_connections()

    def _on_successor_ended(self, link: HandoverLink) -> None:
        """Serve again, unless another process has taken over from the successor."""
        self.older_processes.record_end(link)
        if self.successor.link is not link or self.is_closed:
            return
        self.service.mark_keys_uncertain()  # the successor reported no runs of its own
        self.recovery_task = asyncio.get_running_loop().create_task(self._replace_successor())

    async def _replace_successor(self) -> None:
        link = await self._find_serving_process()
        if link is None:
            await self._serve_again()
            return
        self.log("takeover-replaced")
        self.successor.watch(link, reads_load=self.operator_drain.is_shared_with(link))
        self._watch_successor(link)

    async def _find_serving_process(self) -> HandoverLink | None:
        """Return a link to the process that listens for a successor, or None if there is none."""
        loop = asyncio.get_running_loop()
        latest_end = loop.time() + LISTENING_TIMEOUT_SECONDS
        while True:
            link = self.handover_listener.connect()
            is_over = loop.time() >= latest_end or not self.handover_listener.has_been_used()
            if link is not None or is_over:
                return link
            await asyncio.sleep(POLL_INTERVAL_SECONDS)

    async def _serve_again(self) -> None:
        """Continue to serve without a successor, or drain if the drain notice has been received."""
        self.successor.cancel_hand_over()
        self.log("takeover-reverted", stopping=self.retired_at is not None)
        if self.retired_at is not None:
            notice_age = self.service.clock.read_seconds() - self.retired_at
            self.retired_at = None
            self.service.start_drain(max(0.0, self.seconds_to_stop - notice_age), notice_age)
        self._listen_for_successor()  # first: a process that finds nobody there would open its own fronts
        for listener in self.fronts.values():
            await self._reopen_front(listener)
        if self.announcer is not None:
            self.announcer.resume()
        await self.on_serving_again()
        self._start_serving()

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
        is_early = self.service.clock.read_seconds() < self.retired_at + MIN_RETIRE_SECONDS
        if (is_early or self._is_needed()) and loop.time() < latest_end:
            loop.call_later(POLL_INTERVAL_SECONDS, self._finish_when_idle, on_finished, latest_end)
        else:
            on_finished()

    def _is_needed(self) -> bool:
        """Return whether another process or a client still depends on this one, which has handed over."""
        has_connections = any(listener.connections for listener in self.fronts.values())
        has_work = has_connections or bool(self.service.requests) or self.successor.has_unsent_packets()
        # The predecessor reports its runs to this process alone, which reports them to the successor.
        has_predecessor = self.predecessor.link is not None
        may_serve_again = self.recovery_task is not None and not self.recovery_task.done()
        return has_work or has_predecessor or may_serve_again

    def close(self) -> None:
        """Close both links and the socket, because this process ends."""
        self.is_closed = True
        self.handover_listener.close()
        self.operator_drain.close()
        self.predecessor.close()
        self.successor.close()
        for link in self.accepted_links:
            link.close()
        if self.recovery_task is not None:
            self.recovery_task.cancel()
