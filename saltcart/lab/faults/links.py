"""Datagram relay between processes, with scripted faults on each link.

Each process advertises its own port of the relay, so that every datagram sent to it passes through here.  The
relay identifies the sender by the source address and the receiver by the port that the datagram arrives at.
Each direction of each pair of processes is a separate link.  Each link has its own random generator, seeded
from the one seed of the rig, so that the losses of one link do not change those of another.
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
    """Faults of one link.

    Attributes:
        drop: Probability that a datagram is lost.
        delay: Delay of each datagram in seconds.
        jitter: Upper bound of an additional, uniformly distributed delay in seconds.
        duplicate: Probability that a datagram is delivered twice.
        reorder: Probability that a datagram is delayed by ``REORDER_DELAY_S`` and later ones overtake it.
        cut: Whether the link loses every datagram.
        stall: Whether datagrams are kept until ``Relay.deliver_stalled`` finds the link no longer stalled.
    """

    drop: float = 0.0
    delay: float = 0.0
    jitter: float = 0.0
    duplicate: float = 0.0
    reorder: float = 0.0
    cut: bool = False
    stall: bool = False


NO_FAULTS = LinkRule()
REORDER_DELAY_S = 0.05  # additional delay of reordered datagrams and of duplicates
MAX_STALLED_DATAGRAMS = 2000  # kept by the relay; further ones are lost


class Delivery(NamedTuple):
    """Delivery of one datagram.

    Attributes:
        copy_delays: Delay of each delivered copy in seconds; empty if the datagram is lost or kept.
        keep: Whether the datagram is kept because its link is stalled.
    """

    copy_delays: tuple[float, ...]
    keep: bool = False


def decide_delivery(rule: LinkRule, rng: random.Random) -> Delivery:
    """Decide how one datagram is delivered.

    Takes the same number of draws whatever the rule is.
    """
    drop_draw, duplicate_draw, reorder_draw = rng.random(), rng.random(), rng.random()
    delay = rule.delay + rule.jitter * rng.random()
    if rule.stall:
        return Delivery((), keep=True)
    if rule.cut or drop_draw < rule.drop:
        return Delivery(())
    if reorder_draw < rule.reorder:
        delay += REORDER_DELAY_S
    return Delivery((delay, delay + REORDER_DELAY_S) if duplicate_draw < rule.duplicate else (delay,))


class LinkRules:
    """Rules of all links between the processes, which are numbered from zero.

    Args:
        count: Number of processes.
        seed: Seed of the links' random generators.
    """

    def __init__(self, count: int, seed: int) -> None:
        self.count = count
        self.rules: dict[tuple[int, int], LinkRule] = {}  # by sender and receiver
        self.rngs = {(a, b): random.Random(f"{seed} {a} {b}") for a in range(count) for b in range(count)}

    def set_rule(
        self, rule: LinkRule, sender: int | None = None, receiver: int | None = None, both: bool = False
    ) -> None:
        """Set the rule of some links.

        Args:
            rule: Faults of the links.
            sender: Number of the sending process; all processes if None.
            receiver: Number of the receiving process; all processes if None.
            both: Whether to set the rule of the opposite direction too.
        """
        for a in range(self.count) if sender is None else (sender,):
            for b in range(self.count) if receiver is None else (receiver,):
                self.rules[a, b] = rule
                if both:
                    self.rules[b, a] = rule

    def set_rule_between(self, rule: LinkRule, group: list[int]) -> None:
        """Set the rule of the links between the group and all other processes, in both directions."""
        for a in group:
            for b in range(self.count):
                if b not in group:
                    self.rules[a, b] = self.rules[b, a] = rule

    def clear_rules(self) -> None:
        """Remove the faults of all links."""
        self.rules.clear()

    def rule_for(self, sender: int, receiver: int) -> LinkRule:
        """Current rule of one link."""
        return self.rules.get((sender, receiver), NO_FAULTS)

    def next_delivery(self, sender: int, receiver: int) -> Delivery:
        """Decide how the next datagram of one link is delivered."""
        return decide_delivery(self.rule_for(sender, receiver), self.rngs[sender, receiver])


class RelayPort(asyncio.DatagramProtocol):
    """Port of the relay at which one process is reached."""

    def __init__(self, relay: Relay, number: int) -> None:
        self.relay, self.number = relay, number
        self.transport: asyncio.DatagramTransport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport for sending."""
        # The event loop's transport class does not derive from DatagramTransport.
        self.transport = cast(asyncio.DatagramTransport, transport)

    def datagram_received(self, data: bytes, addr: Any) -> None:
        """Pass a datagram for the port's process to the relay."""
        self.relay.on_datagram(self.number, data, addr[1])


class Relay:
    """Relays datagrams between processes under the rules of their links.

    It is opened before the processes start, since its ports are part of their configuration.
    """

    def __init__(self, links: LinkRules) -> None:
        self.links = links
        self.ports: list[RelayPort] = []
        self.addresses: list[str] = []  # advertised address of each process: its port of the relay
        self.sender_by_port: dict[int, int] = {}  # process number by the port at which the process listens
        self.receiver_addresses: dict[int, tuple[str, int]] = {}  # listening address by process number
        self.sent = Counter[int]()  # datagrams by sender
        self.lost = 0
        self.stalled: list[tuple[int, int, bytes]] = []  # sender, receiver and data of kept datagrams
        self.loop = asyncio.get_running_loop()

    async def open(self) -> None:
        """Open one port for each process."""
        for number in range(self.links.count):
            port = RelayPort(self, number)
            transport, _ = await self.loop.create_datagram_endpoint(
                lambda port=port: port,  # type: ignore[misc]
                local_addr=("127.0.0.1", 0),
            )
            self.ports.append(port)
            self.addresses.append(f"127.0.0.1:{transport.get_extra_info('sockname')[1]}")

    def close(self) -> None:
        """Close all ports."""
        for port in self.ports:
            if port.transport is not None:
                port.transport.close()

    def register_process(self, number: int, address: str) -> None:
        """Set the address at which a process itself listens.

        Until then, datagrams from and to the process are discarded.
        """
        host_and_port = parse_address(address)
        self.sender_by_port[host_and_port[1]], self.receiver_addresses[number] = number, host_and_port

    def on_datagram(self, receiver: int, data: bytes, sender_port: int) -> None:
        """Deliver, delay, keep or lose a datagram, as the rule of its link says."""
        sender = self.sender_by_port.get(sender_port)
        if sender is None:
            return  # not a registered process
        self.sent[sender] += 1
        delivery = self.links.next_delivery(sender, receiver)
        if delivery.keep and len(self.stalled) < MAX_STALLED_DATAGRAMS:
            self.stalled.append((sender, receiver, data))
        self.lost += not delivery.copy_delays
        for delay in delivery.copy_delays:
            if delay > 0:
                self.loop.call_later(delay, self._deliver, receiver, data)
            else:
                self._deliver(receiver, data)

    def deliver_stalled(self) -> None:
        """Deliver the kept datagrams of links that are no longer stalled."""
        datagrams, self.stalled = self.stalled, []
        for sender, receiver, data in datagrams:
            if self.links.rule_for(sender, receiver).stall:
                self.stalled.append((sender, receiver, data))
            else:
                self._deliver(receiver, data)

    def _deliver(self, receiver: int, data: bytes) -> None:
        address, transport = self.receiver_addresses.get(receiver), self.ports[receiver].transport
        if address is not None and transport is not None and not transport.is_closing():
            transport.sendto(data, address)
