"""Drives the membership protocol: one UDP socket, one timer.  Every decision is saltcart.member's."""

from __future__ import annotations

import asyncio
import random
import time
from typing import TYPE_CHECKING, Any, cast

from saltcart.core.ports import Log
from saltcart.member import messages
from saltcart.member.board import Post
from saltcart.member.detector import Detector
from saltcart.member.record import Record, State
from saltcart.member.settings import LOOPBACK, MemberSettings
from saltcart.member.view import Change
from saltcart.net.base import address
from saltcart.wire.errors import MalformedMessageError

if TYPE_CHECKING:
    from saltcart.net.boarded import Boarded

MOST_DATAGRAM = 4096  # longer ones are none of ours
TAKEN = 50  # refusals of the network that are logged, at most


class Gossip(asyncio.DatagramProtocol):
    """Owns the socket; ``close`` gives it back."""

    def __init__(self, conf: MemberSettings, name: str, seed: int, log: Log) -> None:
        self.conf, self.name, self.log = conf, name, log
        self.rng = random.Random(seed)
        self.loop = asyncio.get_running_loop()
        self.transport: asyncio.DatagramTransport | None = None
        self.detector: Detector | None = None
        self.handle: asyncio.TimerHandle | None = None
        self.malformed = self.refused = 0
        self.listeners: list[Boarded] = []  # parts of the program that speak over the board

    async def open(self) -> str:
        """Listen and join; returns the address."""
        transport, _ = await self.loop.create_datagram_endpoint(
            lambda: self, local_addr=address(self.conf.listen)
        )
        host, port = transport.get_extra_info("sockname")[:2]
        at = f"{host}:{port}"
        self.detector = Detector(
            self.conf,
            self.name,
            self.conf.advertise or at,
            self.rng,
            self.loop.time(),
            int(time.time() * 1000),
        )
        self.detector.changed, self.detector.name_taken = self._changed, self._name_taken
        self.detector.given, self.detector.board.changed = self._given, self._posted
        self._arm()
        return at

    def close(self) -> None:
        if self.handle is not None:
            self.handle.cancel()
        if self.transport is not None:
            self.transport.close()
            self.transport = None

    def leave(self) -> None:
        """The process will end: the others are told so."""
        if self.detector is not None:
            self.detector.leave(self.loop.time())
            self.flush()

    # ---- the socket ---------------------------------------------------------------------------

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.DatagramTransport, transport)  # the loop's own has another base

    def datagram_received(self, data: bytes, addr: Any) -> None:
        if self.detector is None:
            return
        try:
            if len(data) > MOST_DATAGRAM:
                raise MalformedMessageError("datagram too long")
            packet = messages.decode(data)
        except MalformedMessageError as error:
            self.malformed += 1
            if self.malformed <= TAKEN:
                self.log("member-malformed", peer=str(addr), error=str(error))
            return
        self.detector.received(self.loop.time(), packet)
        self.flush()

    def error_received(self, exc: Exception) -> None:
        """A port where nobody listens: the probe will find that out by itself."""
        self.refused += 1

    def flush(self) -> None:
        """Send what there is to send; to be called after whatever makes the detector speak."""
        assert self.detector is not None
        for to, packet in self.detector.drain():
            if self.transport is not None:
                try:
                    # An address is what a peer says: none may lead elsewhere, or have a name looked up.
                    if not LOOPBACK.match(to):
                        raise ValueError("not a loopback address")
                    self.transport.sendto(messages.encode(packet), address(to))
                except (OSError, ValueError) as error:  # a port that is none, a full buffer
                    self.refused += 1
                    if self.refused <= TAKEN:
                        self.log("member-unsent", peer=to, error=str(error))
        self._arm()

    # ---- the timer ----------------------------------------------------------------------------

    def _arm(self) -> None:
        assert self.detector is not None
        if self.handle is not None:
            self.handle.cancel()
            self.handle = None
        due = self.detector.next_due()
        if due is not None and self.transport is not None:
            self.handle = self.loop.call_at(due, self._tick)

    def _tick(self) -> None:
        assert self.detector is not None
        self.handle = None
        try:
            self.detector.tick(self.loop.time())
        finally:
            self.flush()

    def _given(self, sender: Record, topic: str, data: bytes) -> None:
        for listener in self.listeners:
            listener.on_given(sender, topic, data)

    def _posted(self, post: Post) -> None:
        for listener in self.listeners:
            listener.on_post(post)

    # ---- what is told -------------------------------------------------------------------------

    def _changed(self, change: Change) -> None:
        r = change.record
        self.log(
            "member",
            name=r.name,
            state=State(r.state).name.lower(),
            incarnation=r.incarnation,
            by=r.by,
            before=None if change.before is None else change.before.name.lower(),
            version=change.version,
        )

    def _name_taken(self, record: Record) -> None:
        self.log("member-name-taken", name=record.name, address=record.address)

    def figures(self) -> list[tuple[str, int]]:
        if self.detector is None:
            return []
        own = [("member.malformed", self.malformed), ("member.unsent", self.refused)]
        return self.detector.figures() + own

    def state(self) -> dict[str, object]:
        return {} if self.detector is None else self.detector.state()
