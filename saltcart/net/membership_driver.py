"""Drives ``saltcart.membership``, which makes all decisions, with one UDP socket and one timer."""

from __future__ import annotations

import asyncio
import random
import time
from typing import Any, Protocol, cast

from saltcart.core.ports import Log
from saltcart.membership import messages
from saltcart.membership.member import Member
from saltcart.membership.member_record import MemberRecord, MemberState
from saltcart.membership.settings import LOOPBACK_ADDRESS, MemberSettings
from saltcart.membership.shared_registers import RegisterValue
from saltcart.membership.view import MembershipChange
from saltcart.net.base import parse_address
from saltcart.wire.errors import MalformedMessageError

MAX_RECEIVED_BYTES = 4096  # longer datagrams are rejected unread
MAX_LOGGED_ERRORS = 50  # of each kind: malformed datagrams, and datagrams that could not be sent


class MembershipListener(Protocol):
    """A component that receives register values and direct messages from other members."""

    def on_register_changed(self, value: RegisterValue) -> None:
        """Handle a newer value of a register."""

    def on_direct_message(self, sender: MemberRecord, topic: str, data: bytes) -> None:
        """Handle a direct message to this instance.

        Args:
            sender: Record of the sending member.
            topic: Identifies the component that the data is for.
            data: The component's own encoding.
        """


class MembershipDriver(asyncio.DatagramProtocol):
    """Owns the membership socket of a process, and its ``Member`` once ``open`` has returned."""

    def __init__(self, settings: MemberSettings, name: str, seed: int, log: Log) -> None:
        """Create a driver; it is bound to the running event loop.

        Args:
            settings: Settings of the protocol.
            name: Name of the member, unique in the fleet.
            seed: Seed of the protocol's random number generator.
            log: Receives the log events.
        """
        self.settings = settings
        self.name = name
        self.log = log
        self.rng = random.Random(seed)
        self.loop = asyncio.get_running_loop()
        self.transport: asyncio.DatagramTransport | None = None
        self.member: Member | None = None
        self.timer: asyncio.TimerHandle | None = None
        self.malformed_count = 0
        self.unsent_count = 0
        self.listeners: list[MembershipListener] = []

    async def open(self) -> str:
        """Open the socket and join the fleet.

        Returns:
            The address that the socket listens on.

        Raises:
            OSError: The socket cannot be bound.
        """
        transport, _ = await self.loop.create_datagram_endpoint(
            lambda: self, local_addr=parse_address(self.settings.listen)
        )
        host, port = transport.get_extra_info("sockname")[:2]
        listen_address = f"{host}:{port}"
        self.member = Member(
            self.settings,
            self.name,
            self.settings.advertise or listen_address,
            self.rng,
            self.loop.time(),
            int(time.time() * 1000),
        )
        self.member.on_changed = self._on_changed
        self.member.on_name_taken = self._on_name_taken
        self.member.on_direct_message = self._on_direct_message
        self.member.registers.on_changed = self._on_register_changed
        self._set_timer()
        return listen_address

    def close(self) -> None:
        """Cancel the timer and close the socket."""
        if self.timer is not None:
            self.timer.cancel()
        if self.transport is not None:
            self.transport.close()
            self.transport = None

    def leave(self) -> None:
        """Report to the fleet that this process is about to end."""
        if self.member is not None:
            self.member.leave(self.loop.time())
            self.flush()

    # ---- socket -------------------------------------------------------------------------------

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport of the opened socket."""
        # asyncio's implementation class is not a subclass of DatagramTransport.
        self.transport = cast(asyncio.DatagramTransport, transport)

    def datagram_received(self, data: bytes, addr: Any) -> None:
        """Process a datagram; a malformed one is counted, and logged up to ``MAX_LOGGED_ERRORS`` times."""
        if self.member is None:
            return
        try:
            if len(data) > MAX_RECEIVED_BYTES:
                raise MalformedMessageError("datagram is too long")
            datagram = messages.decode(data)
        except MalformedMessageError as error:
            self.malformed_count += 1
            if self.malformed_count <= MAX_LOGGED_ERRORS:
                self.log("member-malformed", peer=str(addr), error=str(error))
            return
        self.member.receive(self.loop.time(), datagram)
        self.flush()

    def error_received(self, exc: Exception) -> None:
        """Count a send error, such as a closed port; the failure detector relies on its probes."""
        self.unsent_count += 1

    def flush(self) -> None:
        """Send the outgoing datagrams; must be called after each call to the member that may produce some."""
        assert self.member is not None
        for receiver, datagram in self.member.take_outgoing():
            self._send(receiver, datagram)
        self._set_timer()

    def _send(self, receiver: str, datagram: messages.Datagram) -> None:
        if self.transport is None:
            return
        try:
            # Peers supply addresses: they must not direct datagrams elsewhere or cause a DNS lookup.
            if not LOOPBACK_ADDRESS.match(receiver):
                raise ValueError("not a loopback address")
            self.transport.sendto(messages.encode(datagram), parse_address(receiver))
        except (OSError, ValueError) as error:  # an invalid port or a full buffer
            self.unsent_count += 1
            if self.unsent_count <= MAX_LOGGED_ERRORS:
                self.log("member-unsent", peer=receiver, error=str(error))

    # ---- timer --------------------------------------------------------------------------------

    def _set_timer(self) -> None:
        assert self.member is not None
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None
        due = self.member.next_due()
        if due is not None and self.transport is not None:
            self.timer = self.loop.call_at(due, self._tick)

    def _tick(self) -> None:
        assert self.member is not None
        self.timer = None
        try:
            self.member.tick(self.loop.time())
        finally:
            self.flush()

    # ---- events from the member ---------------------------------------------------------------

    def _on_direct_message(self, sender: MemberRecord, topic: str, data: bytes) -> None:
        for listener in self.listeners:
            listener.on_direct_message(sender, topic, data)

    def _on_register_changed(self, value: RegisterValue) -> None:
        for listener in self.listeners:
            listener.on_register_changed(value)

    def _on_changed(self, change: MembershipChange) -> None:
        record = change.record
        previous = change.previous_state
        self.log(
            "member",
            name=record.name,
            state=MemberState(record.state).name.lower(),
            incarnation=record.incarnation,
            by=record.reported_by,
            before=None if previous is None else previous.name.lower(),
            version=change.version,
        )

    def _on_name_taken(self, record: MemberRecord) -> None:
        self.log("member-name-taken", name=record.name, address=record.address)

    def metrics(self) -> list[tuple[str, int]]:
        """Return the metrics that operators are shown, by name."""
        if self.member is None:
            return []
        driver_metrics = [("member.malformed", self.malformed_count), ("member.unsent", self.unsent_count)]
        return self.member.metrics() + driver_metrics

    def state(self) -> dict[str, object]:
        """Return the view as the administration API shows it; empty before ``open``."""
        return {} if self.member is None else self.member.state()
