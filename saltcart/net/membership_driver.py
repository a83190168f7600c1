"""Drives the membership protocol: one UDP socket, one timer.  Every decision is saltcart.membership's."""

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

MAX_DATAGRAM = 4096  # bytes; longer ones are not of this protocol
MAX_LOGGED = 50  # refusals of the network that are logged


class MembershipListener(Protocol):
    """A part of the program that speaks over membership."""

    def on_register_changed(self, value: RegisterValue) -> None:
        """Take a newer value of a register."""

    def on_direct_message(self, sender: MemberRecord, topic: str, data: bytes) -> None:
        """Take something for this instance alone."""


class MembershipDriver(asyncio.DatagramProtocol):
    """Owns the socket; ``close`` gives it back."""

    def __init__(self, settings: MemberSettings, name: str, seed: int, log: Log) -> None:
        self.settings = settings
        self.name = name
        self.log = log
        self.rng = random.Random(seed)
        self.loop = asyncio.get_running_loop()
        self.transport: asyncio.DatagramTransport | None = None
        self.member: Member | None = None
        self.handle: asyncio.TimerHandle | None = None
        self.malformed = 0
        self.unsent = 0
        self.listeners: list[MembershipListener] = []

    async def open(self) -> str:
        """Listen and join; returns the address."""
        transport, _ = await self.loop.create_datagram_endpoint(
            lambda: self, local_addr=parse_address(self.settings.listen)
        )
        host, port = transport.get_extra_info("sockname")[:2]
        listening_at = f"{host}:{port}"
        self.member = Member(
            self.settings,
            self.name,
            self.settings.advertise or listening_at,
            self.rng,
            self.loop.time(),
            int(time.time() * 1000),
        )
        self.member.on_changed = self._on_changed
        self.member.on_name_taken = self._on_name_taken
        self.member.on_direct_message = self._on_direct_message
        self.member.registers.on_changed = self._on_register_changed
        self._set_timer()
        return listening_at

    def close(self) -> None:
        """Give back the timer and the socket."""
        if self.handle is not None:
            self.handle.cancel()
        if self.transport is not None:
            self.transport.close()
            self.transport = None

    def leave(self) -> None:
        """Report that the process will end."""
        if self.member is not None:
            self.member.leave(self.loop.time())
            self.flush()

    # ---- the socket ---------------------------------------------------------------------------

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """The socket is there."""
        self.transport = cast(asyncio.DatagramTransport, transport)  # the loop's own has another base

    def datagram_received(self, data: bytes, addr: Any) -> None:
        """Take a datagram; one that can't be read is logged, a bounded number of times."""
        if self.member is None:
            return
        try:
            if len(data) > MAX_DATAGRAM:
                raise MalformedMessageError("datagram too long")
            datagram = messages.decode(data)
        except MalformedMessageError as error:
            self.malformed += 1
            if self.malformed <= MAX_LOGGED:
                self.log("member-malformed", peer=str(addr), error=str(error))
            return
        self.member.receive(self.loop.time(), datagram)
        self.flush()

    def error_received(self, exc: Exception) -> None:
        """Nobody listens at a port: the probe will find that out by itself."""
        self.unsent += 1

    def flush(self) -> None:
        """Send what there is to send; to be called after whatever makes the member speak."""
        assert self.member is not None
        for receiver, datagram in self.member.take_outgoing():
            self._send(receiver, datagram)
        self._set_timer()

    def _send(self, receiver: str, datagram: messages.Datagram) -> None:
        if self.transport is None:
            return
        try:
            # An address is what a peer says: none may lead elsewhere, or have a name looked up.
            if not LOOPBACK_ADDRESS.match(receiver):
                raise ValueError("not a loopback address")
            self.transport.sendto(messages.encode(datagram), parse_address(receiver))
        except (OSError, ValueError) as error:  # a port that is none, a full buffer
            self.unsent += 1
            if self.unsent <= MAX_LOGGED:
                self.log("member-unsent", peer=receiver, error=str(error))

    # ---- the timer ----------------------------------------------------------------------------

    def _set_timer(self) -> None:
        assert self.member is not None
        if self.handle is not None:
            self.handle.cancel()
            self.handle = None
        due = self.member.next_due()
        if due is not None and self.transport is not None:
            self.handle = self.loop.call_at(due, self._tick)

    def _tick(self) -> None:
        assert self.member is not None
        self.handle = None
        try:
            self.member.tick(self.loop.time())
        finally:
            self.flush()

    # ---- what the member reports --------------------------------------------------------------

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

    def figures(self) -> list[tuple[str, int]]:
        """Return the figures that operators are shown."""
        if self.member is None:
            return []
        own = [("member.malformed", self.malformed), ("member.unsent", self.unsent)]
        return self.member.figures() + own

    def state(self) -> dict[str, object]:
        """Return the view as operators and other programs read it."""
        return {} if self.member is None else self.member.state()
