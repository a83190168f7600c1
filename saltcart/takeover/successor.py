"""The predecessor's side of a takeover: what it sends to the process to which it hands over."""

from __future__ import annotations

import asyncio

from saltcart.core.idempotency_keys import KeyRecord
from saltcart.core.ports import Log
from saltcart.core.service import Service
from saltcart.front.connection import FrontConnection
from saltcart.net.handover import HandoverLink
from saltcart.net.listener import Listener, ServerConnection
from saltcart.takeover.load_reports import LoadReporter, OlderProcessLoads
from saltcart.takeover.timing import POLL_INTERVAL_SECONDS
from saltcart.wire import handover as wire

# Delay after a full batch of connections, whose descriptors are closed some turns of the event loop later.
BATCH_DELAY_SECONDS = 0.002
MAX_BATCH_CONNECTIONS = 16  # passed in one turn of the event loop


class Successor:
    """The process to which this process, the owner of ``service`` and ``fronts``, hands over."""

    def __init__(
        self,
        service: Service,
        log: Log,
        fronts: dict[str, Listener],
        older_processes: OlderProcessLoads,
    ) -> None:
        self.service = service
        self.log = log
        self.fronts = fronts
        # Set while a successor serves, even if the link to it was lost.
        self.link: HandoverLink | None = None
        # Set if this process has handed over on the link; otherwise it only watches the peer.
        self.reads_reports = False
        self.load_reporter = LoadReporter(service, fronts, older_processes, self._send)
        self.next_batch_timer: asyncio.TimerHandle | None = None

    def hand_over(self, link: HandoverLink, *, shares_drain: bool) -> None:
        """Send all keys, stop accepting connections and start to pass the open ones.

        Args:
            link: The link to the successor.
            shares_drain: Whether a drain by operators is in the drain file.
        """
        self.link = link
        self.reads_reports = True
        for record in self.service.lifecycle.attempts.hand_over(self._send_key):
            self._send_key(record, False)
        for packet in wire.request_id_packets(self.service.used_request_ids()):
            self._send(packet)
        self.load_reporter.start()
        if self.service.drain.is_withdrawn:
            self.report_drain(is_shared=shares_drain)
        seconds_ahead = self.service.clock.seconds_ahead()
        self._send(wire.handed_over_packet(self.service.keys_uncertain_until(), seconds_ahead))
        for listener in self.fronts.values():
            listener.stop_accepting()
            listener.pass_connection = self._pass_connection
        self.log("handed-over", open=len(self.service.requests), keys=len(self.service.keys))
        self._pass_connections()

    def watch(self, link: HandoverLink, *, reads_load: bool) -> None:
        """Watch a process that has taken over from the successor, which has ended.

        Args:
            link: The link to that process.
            reads_load: Whether it reads reports of the load of this process.
        """
        self.link = link
        self.reads_reports = False
        self.end_connections()
        self.load_reporter.stop()
        if reads_load:
            self.load_reporter.start()

    def reaches_successor(self) -> bool:
        """Return whether packets reach a successor, which reads them."""
        return self.link is not None and self.link.is_open and self.reads_reports

    def _send(self, packet: wire.HandoverPacket) -> None:
        if self.link is not None:
            self.link.send(packet)

    def _send_key(self, record: KeyRecord, is_free: bool) -> None:
        if self.reads_reports:
            self._send(wire.key_packet(record, is_free, self.service.clock.seconds_ahead()))

    def report_drain(self, *, is_shared: bool) -> None:
        """Report whether operators have withdrawn the instance, for a successor that reads no drain file.

        Args:
            is_shared: Whether the drain file says the same.
        """
        report = wire.ReportedDrain(self.service.drain.is_withdrawn, is_shared)
        if self.reads_reports:
            self._send(wire.drain_packet(report))

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
        self.load_reporter.stop()
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
        self.load_reporter.stop()
        self.stop_passing()
