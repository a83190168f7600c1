"""The membership protocol of one member: failure detection, gossip and anti-entropy.

After SWIM (Das, Gupta and Motivala, 2002) and Lifeguard (Dadgar, Phillips and Currey, 2017).  The driver
passes in datagrams and the time, and takes the outgoing datagrams; the protocol has neither a socket nor a
clock.

- Each interval one member is probed.  Without an ack the ping is sent once more, then ``helpers`` other
  members probe indirectly, then the member becomes a suspect (``probing``).
- Each datagram to a suspect carries the suspicion, and the suspect refutes it with a higher incarnation;
  otherwise it is declared dead (``suspicion_tracker``).
- Updates are piggybacked on probes and their acks, those sent least often first, and are also gossiped in
  datagrams of their own while there are any (``dissemination``).
- Periodically two members compare their digests and exchange the records that differ (``anti_entropy``).
"""

from __future__ import annotations

import random
from collections.abc import Callable

from saltcart.membership import messages
from saltcart.membership.anti_entropy import AntiEntropy
from saltcart.membership.member_context import MemberContext
from saltcart.membership.member_record import MemberRecord, MemberState
from saltcart.membership.outbox import Outbox, Outgoing
from saltcart.membership.probing import Prober
from saltcart.membership.settings import MemberSettings
from saltcart.membership.shared_registers import SharedRegisters
from saltcart.membership.suspicion_tracker import SuspicionTracker
from saltcart.membership.view import MembershipChange, MembershipSnapshot, MembershipView

LEAVE_ROUNDS = 2  # of gossip, sent at once on leaving, since the process may end before the next interval


class Member:
    """One member of the fleet.  Times are in seconds by the driver's clock.

    Args:
        settings: Settings of the protocol.
        name: Name of the member, unique in the fleet.
        address: Address at which others reach this member.
        rng: Source of randomness.
        now: Time in seconds.
        incarnation: The first incarnation, normally above that of an earlier process of this name.
        snapshot: Members that are known from the start.

    Attributes:
        on_changed: Called with each change of the view.
        on_name_taken: Called with the record of a newer process that uses this member's name.
        on_direct_message: Called with the sender's record, the topic and the data of a direct message.
        is_superseded: Whether a newer process uses this member's name; this one then takes no further part.
    """

    def __init__(
        self,
        settings: MemberSettings,
        name: str,
        address: str,
        rng: random.Random,
        now: float,
        incarnation: int,
        snapshot: MembershipSnapshot | None = None,
    ) -> None:
        """Create a member and schedule its first probe, gossip and comparison."""
        own_record = MemberRecord(
            name, address, incarnation, MemberState.ALIVE, settings.zone, settings.region
        )
        self.context = MemberContext(settings, own_record, rng, now, snapshot)
        self.outbox = Outbox(self.context)
        self.prober = Prober(self.context, self.outbox)
        self.suspicion_tracker = SuspicionTracker(self.context, self.outbox, self.prober, self._merge)
        self.prober.on_unreachable = self.suspicion_tracker.accuse
        self.anti_entropy = AntiEntropy(self.context, self.outbox)
        self.on_changed: Callable[[MembershipChange], None] = lambda change: None
        self.on_name_taken: Callable[[MemberRecord], None] = lambda record: None
        self.on_direct_message: Callable[[MemberRecord, str, bytes], None] = lambda sender, topic, data: None
        self.is_superseded = False
        self.refuted_count = 0
        self.foreign_datagram_count = 0
        self.datagram_count = 0
        self.view.merge(own_record, now)
        self.prober.start()
        self.context.call_after(settings.gossip_every * rng.random(), self._gossip)
        self.anti_entropy.start()

    @property
    def settings(self) -> MemberSettings:
        """The settings of the protocol."""
        return self.context.settings

    @property
    def own_record(self) -> MemberRecord:
        """The latest record that this member reports of itself."""
        return self.context.own_record

    @property
    def view(self) -> MembershipView:
        """This member's view of the fleet."""
        return self.context.view

    @property
    def registers(self) -> SharedRegisters:
        """The registers shared by all members."""
        return self.context.registers

    # ---- calls from the driver ----------------------------------------------------------------

    def tick(self, now: float) -> None:
        """Run the timers that are due at a time in seconds."""
        self.context.now = now
        self.context.timers.run(now)

    def next_due(self) -> float | None:
        """Return the time in seconds at which the next timer is due, or None without timers."""
        return self.context.timers.next_due()

    def take_outgoing(self) -> list[Outgoing]:
        """Return the datagrams to send and remove them from the outbox."""
        return self.outbox.take()

    def receive(self, now: float, datagram: messages.Datagram) -> None:
        """Process a received datagram.

        Args:
            now: Time in seconds.
            datagram: The decoded datagram.
        """
        self.context.now = now
        self.datagram_count += 1
        if self.is_superseded:
            return
        if datagram.cluster != self.settings.cluster:
            self.foreign_datagram_count += 1
            return
        sender = datagram.sender
        self._handle_report(sender)
        if sender.name == self.own_record.name:
            return
        known = self.view.get(sender.name)
        if known is not None and known.incarnation > sender.incarnation:  # an older process of that name
            self.outbox.send_exactly(sender.address, messages.Gossip(), [known])
        is_comparison = isinstance(datagram.message, messages.BucketRecords)
        for record in datagram.updates:
            self._handle_report(self._dead_as_suspect(record, sender.name) if is_comparison else record)
        for value in datagram.registers:
            self.registers.merge(value, now)
        if not self.is_superseded:
            self._handle_message(sender, datagram.message)

    def leave(self, now: float) -> None:
        """Report that this member leaves; it acknowledges probes until its process ends."""
        self.context.now = now
        if self.context.is_leaving or self.is_superseded:
            return
        self.context.is_leaving = True
        self._merge(self.context.update_own_record(MemberState.LEFT))
        for _ in range(LEAVE_ROUNDS):
            self._gossip_once()

    def write_register(self, now: float, topic: str, data: bytes, number: int | None = None) -> None:
        """Write a register that all members share.

        Args:
            now: Time in seconds.
            topic: Name of the register.
            data: The value.
            number: The least version number to use; the one after the known value's by default.

        Raises:
            ValueError: The data is too long.
        """
        self.context.now = now
        self.registers.write(topic, self.own_record.name, data, now, number)

    def send_direct(self, now: float, name: str, topic: str, data: bytes) -> None:
        """Send data to one known member, once and without acknowledgement.

        Args:
            now: Time in seconds.
            name: Name of the receiver.
            topic: Identifies the component that the data is for.
            data: The component's own encoding.
        """
        self.context.now = now
        if name == self.own_record.name:
            self.on_direct_message(self.own_record, topic, data)
            return
        target = self.view.get(name)
        if target is not None:
            message = messages.DirectMessage(topic, data)
            self.outbox.send(target.address, name, message, len(data) + len(topic))

    # ---- reports ------------------------------------------------------------------------------

    def _dead_as_suspect(self, record: MemberRecord, reporter: str) -> MemberRecord:
        """Turn an anti-entropy report that a present member is dead into a suspicion of it."""
        known = self.view.get(record.name)
        if record.state == MemberState.DEAD and known is not None and known.is_present:
            return record.reported_as(MemberState.SUSPECT, reporter)
        return record

    def _handle_report(self, record: MemberRecord) -> None:
        if record.name == self.own_record.name:
            self._handle_report_on_self(record)
            return
        known = self.view.get(record.name)
        if known is None and not record.is_present:
            return  # a member that is gone and was never known needs no tombstone
        if known is not None and self._is_further_accusation(record, known):
            self.suspicion_tracker.confirm(record)
        self._merge(record)

    @staticmethod
    def _is_further_accusation(record: MemberRecord, known: MemberRecord) -> bool:
        both_suspect = record.state == MemberState.SUSPECT and known.state == MemberState.SUSPECT
        return both_suspect and bool(record.reported_by) and known.incarnation == record.incarnation

    def _handle_report_on_self(self, record: MemberRecord) -> None:
        """Refute a suspicion of this member, or stop if a newer process uses its name."""
        own_record = self.own_record
        is_newer = record.incarnation > own_record.incarnation
        if record.address != own_record.address:
            if record.state == MemberState.ALIVE and is_newer:
                self.is_superseded = True  # otherwise the two processes would refute each other for ever
                self.context.timers.heap.clear()
                self.on_name_taken(record)
            return
        is_accused = record.state != own_record.state and record.incarnation >= own_record.incarnation
        if is_accused or is_newer:
            state = MemberState.LEFT if self.context.is_leaving else MemberState.ALIVE
            self.refuted_count += 1
            self.context.health.adjust(+1)
            self._merge(self.context.update_own_record(state, record.incarnation + 1))

    def _merge(self, record: MemberRecord) -> None:
        """Merge a report into the view; pass it on if it changed the view."""
        change = self.view.merge(record, self.context.now)
        if change is None:
            return
        self.context.updates.put(record)
        if record.state == MemberState.SUSPECT:
            self.suspicion_tracker.start(record)
        else:
            self.suspicion_tracker.drop(record.name)
        self.on_changed(change)

    def _handle_message(self, sender: MemberRecord, message: messages.Message) -> None:
        match message:
            case messages.Ping(sequence):
                self.prober.on_ping(sender, sequence)
            case messages.Ack(sequence):
                self.prober.on_ack(sequence)
            case messages.DirectMessage(topic, data):
                self.on_direct_message(sender, topic, data)
            case messages.PingRequest():
                self.prober.on_ping_request(sender, message)
            case messages.Nack(sequence):
                self.prober.on_nack(sequence)
            case messages.ViewDigest(digest):
                self.anti_entropy.on_view_digest(sender, digest)
            case messages.BucketDigests(digests):
                self.anti_entropy.on_bucket_digests(sender, digests)
            case messages.BucketRecords(requested_buckets):
                self.anti_entropy.on_bucket_records(sender, requested_buckets)

    # ---- gossip -------------------------------------------------------------------------------

    def _gossip(self) -> None:
        if len(self.context.updates) or len(self.registers.queue):
            self._gossip_once()
        self.context.call_after(self.context.jittered(self.settings.gossip_every), self._gossip)

    def _gossip_once(self) -> None:
        for peer in self.view.sample(self.context.rng, self.settings.fanout, {self.own_record.name}):
            self.outbox.send(peer.address, peer.name, messages.Gossip())

    # ---- metrics and state --------------------------------------------------------------------

    def metrics(self) -> list[tuple[str, int]]:
        """Return the metrics that operators are shown, by name."""
        states = [MemberState(record.state) for record in self.view]
        return [
            ("member.alive", states.count(MemberState.ALIVE)),
            ("member.suspect", states.count(MemberState.SUSPECT)),
            ("member.dead", states.count(MemberState.DEAD)),
            ("member.left", states.count(MemberState.LEFT)),
            ("member.version", self.view.version),
            ("member.health", self.context.health.score),
            ("member.refuted", self.refuted_count),
            ("member.accused", self.suspicion_tracker.accused_count),
            ("member.packets", self.datagram_count),
            ("member.foreign", self.foreign_datagram_count),
        ]

    def state(self) -> dict[str, object]:
        """Return the view as the administration API shows it; the age of a change is in seconds."""
        return {
            "name": self.own_record.name,
            "cluster": self.settings.cluster,
            "incarnation": self.own_record.incarnation,
            "version": self.view.version,
            "digest": f"{self.view.digest:016x}",
            "present": self.view.present_count,
            "health": self.context.health.score,
            "members": [
                _member_fields(record) for record in sorted(self.view, key=lambda record: record.name)
            ],
            "history": [_change_fields(change, self.context.now) for change in self.view.history],
        }


def _member_fields(record: MemberRecord) -> dict[str, object]:
    return {
        "name": record.name,
        "address": record.address,
        "incarnation": record.incarnation,
        "state": MemberState(record.state).name.lower(),
        "zone": record.zone,
        "region": record.region,
        "by": record.reported_by,
    }


def _change_fields(change: MembershipChange, now: float) -> dict[str, object]:
    return {
        "version": change.version,
        "ago": round(now - change.changed_at, 3),
        "name": change.record.name,
        "state": MemberState(change.record.state).name.lower(),
        "incarnation": change.record.incarnation,
        "by": change.record.reported_by,
        "before": None if change.previous_state is None else change.previous_state.name.lower(),
    }
