"""Links between processes that fail by script: a relay of datagrams in the middle, one port a process.

Each process says that it is to be reached at its port of the relay, so that whatever another sends to it goes
through here.  The sender is told by the address that its datagrams come from, the receiver by the port that
they come to: each direction of each pair is a link of its own.  All luck is drawn from one seed, a generator
for each link, so that what one link loses does not change what another does.
"""

from __future__ import annotations

import asyncio
import random
from collections import Counter
from dataclasses import dataclass
from typing import Any, NamedTuple, cast

from saltcart.net.base import parse_address


@dataclass(frozen=True)
class LinkRule:
    """What a link does to a datagram; times in seconds, the others shares of one."""

    drop: float = 0.0
    delay: float = 0.0
    jitter: float = 0.0  # more delay, drawn evenly up to this
    duplicate: float = 0.0
    reorder: float = 0.0  # held back so long that later ones overtake
    cut: bool = False  # nothing passes
    stall: bool = False  # nothing passes now; it is kept, and passes when the rule is gone


CLEAR = LinkRule()
HELD_BACK = 0.05  # seconds that a datagram is held back to be overtaken
MOST_STALLED = 2000  # datagrams that a stalled link keeps; what comes beyond them is lost


class Delivery(NamedTuple):
    """What became of one datagram: after how long each copy goes on; nothing for one that is lost."""

    copy_delays: tuple[float, ...]
    keep: bool = False


def decide_delivery(rule: LinkRule, rng: random.Random) -> Delivery:
    """Decide on one datagram: the only place where a link's luck is drawn."""
    lost, doubled, late = rng.random(), rng.random(), rng.random()
    wait = rule.delay + rule.jitter * rng.random()
    if rule.stall:
        return Delivery((), keep=True)
    if rule.cut or lost < rule.drop:
        return Delivery(())
    if late < rule.reorder:
        wait += HELD_BACK
    return Delivery((wait, wait + HELD_BACK) if doubled < rule.duplicate else (wait,))


class LinkRules:
    """The rules between so many processes; ``None`` for a number stands for all of them."""

    def __init__(self, count: int, seed: int) -> None:
        self.count = count
        self.rules: dict[tuple[int, int], LinkRule] = {}
        self.luck = {(a, b): random.Random(f"{seed} {a} {b}") for a in range(count) for b in range(count)}

    def set_rule(
        self, rule: LinkRule, sender: int | None = None, receiver: int | None = None, both: bool = False
    ) -> None:
        for a in range(self.count) if sender is None else (sender,):
            for b in range(self.count) if receiver is None else (receiver,):
                self.rules[a, b] = rule
                if both:
                    self.rules[b, a] = rule

    def set_rule_between(self, rule: LinkRule, some: list[int]) -> None:
        """Both ways between these and all others."""
        for a in some:
            for b in range(self.count):
                if b not in some:
                    self.rules[a, b] = self.rules[b, a] = rule

    def clear_rules(self) -> None:
        self.rules.clear()

    def rule_for(self, sender: int, receiver: int) -> LinkRule:
        return self.rules.get((sender, receiver), CLEAR)

    def next_delivery(self, sender: int, receiver: int) -> Delivery:
        return decide_delivery(self.rule_for(sender, receiver), self.luck[sender, receiver])


class RelayPort(asyncio.DatagramProtocol):
    """The relay's port of one process."""

    def __init__(self, relay: Relay, number: int) -> None:
        self.relay, self.number = relay, number
        self.transport: asyncio.DatagramTransport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.DatagramTransport, transport)  # the loop's own has another base

    def datagram_received(self, data: bytes, addr: Any) -> None:
        self.relay.on_datagram(self.number, data, addr[1])


class Relay:
    """Carries datagrams between processes; opened before them, for they are told its ports."""

    def __init__(self, links: LinkRules) -> None:
        self.links = links
        self.ports: list[RelayPort] = []
        self.addresses: list[str] = []  # where each process is reached by the others
        self.sender: dict[int, int] = {}  # process by its own port
        self.receiver: dict[int, tuple[str, int]] = {}
        self.sent = Counter[int]()  # datagrams by sender
        self.lost = 0
        self.stalled: list[tuple[int, int, bytes]] = []
        self.loop = asyncio.get_running_loop()

    async def open(self) -> None:
        for number in range(self.links.count):
            door = RelayPort(self, number)
            transport, _ = await self.loop.create_datagram_endpoint(
                lambda door=door: door,  # type: ignore[misc]
                local_addr=("127.0.0.1", 0),
            )
            self.ports.append(door)
            self.addresses.append(f"127.0.0.1:{transport.get_extra_info('sockname')[1]}")

    def close(self) -> None:
        for door in self.ports:
            if door.transport is not None:
                door.transport.close()

    def register_process(self, number: int, at: str) -> None:
        """A process listens at its own address, once it has one."""
        place = parse_address(at)
        self.sender[place[1]], self.receiver[number] = number, place

    def on_datagram(self, receiver: int, data: bytes, port: int) -> None:
        sender = self.sender.get(port)
        if sender is None:
            return  # not yet known here, or a stranger
        self.sent[sender] += 1
        passed = self.links.next_delivery(sender, receiver)
        if passed.keep and len(self.stalled) < MOST_STALLED:
            self.stalled.append((sender, receiver, data))
        self.lost += not passed.copy_delays
        for wait in passed.copy_delays:
            if wait > 0:
                self.loop.call_later(wait, self._deliver, receiver, data)
            else:
                self._deliver(receiver, data)

    def deliver_stalled(self) -> None:
        """What stood before links that are stalled no more goes on now."""
        kept, self.stalled = self.stalled, []
        for sender, receiver, data in kept:
            if self.links.rule_for(sender, receiver).stall:
                self.stalled.append((sender, receiver, data))
            else:
                self._deliver(receiver, data)

    def _deliver(self, receiver: int, data: bytes) -> None:
        place, transport = self.receiver.get(receiver), self.ports[receiver].transport
        if place is not None and transport is not None and not transport.is_closing():
            transport.sendto(data, place)
