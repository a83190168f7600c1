"""The protocol of one member: probes, suspicions, refutations, news, and comparisons of whole views.

After SWIM (Das, Gupta and Motivala, 2002) and Lifeguard (Dadgar, Phillips and Currey, 2017).  Fed datagrams
and moments, it leaves what is to be sent in its outbox; it knows no socket and no clock of its own.

- Each interval one member is probed.  Unanswered, the probe is sent once more; then ``helpers`` others probe
  in its place; then the member is a suspect (``probing``).
- A suspect is told so by whatever is sent to it, and refutes by a higher incarnation; otherwise it is
  declared dead (``suspicion_tracker``).
- Reports go along with probes and answers, least sent first, and by themselves while there are any
  (``dissemination``).
- Now and then two members compare their digests and give each other what they lack (``anti_entropy``).
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

LEAVE_ROUNDS = 2  # of gossip at once when a member leaves: it has no time for more


class Member:
    """One member of the fleet.  Times are seconds by the driver's clock."""

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
        """``incarnation``: to begin with; ``snapshot``: members that are known from the start."""
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
        # Called with what another member sends to this one alone: its record, the topic and the data.
        self.on_direct_message: Callable[[MemberRecord, str, bytes], None] = lambda sender, topic, data: None
        self.is_superseded = False  # another process has this member's name
        self.refuted_count = 0
        self.foreign_datagram_count = 0
        self.datagram_count = 0
        self.view.merge(own_record, now)
        self.prober.start()
        self.context.call_after(settings.gossip_every * rng.random(), self._gossip)
        self.anti_entropy.start()

    @property
    def settings(self) -> MemberSettings:
        """How this member speaks with the others."""
        return self.context.settings

    @property
    def own_record(self) -> MemberRecord:
        """What this member reports of itself."""
        return self.context.own_record

    @property
    def view(self) -> MembershipView:
        """What is known of all members."""
        return self.context.view

    @property
    def registers(self) -> SharedRegisters:
        """The registers that all members share."""
        return self.context.registers

    # ---- what the driver calls ----------------------------------------------------------------

    def tick(self, now: float) -> None:
        """Run what is due."""
        self.context.now = now
        self.context.timers.run(now)

    def next_due(self) -> float | None:
        """Return when something is due next."""
        return self.context.timers.next_due()

    def take_outgoing(self) -> list[Outgoing]:
        """Return what is to be sent, once."""
        return self.outbox.take()

    def receive(self, now: float, datagram: messages.Datagram) -> None:
        """Take a datagram."""
        self.context.now = now
        self.datagram_count += 1
        if self.is_superseded:
            return
        if datagram.cluster != self.settings.cluster:
            self.foreign_datagram_count += 1
            return
        sender = datagram.sender
        self._hear(sender)
        if sender.name == self.own_record.name:
            return
        known = self.view.get(sender.name)
        if known is not None and known.incarnation > sender.incarnation:  # an older process of that name
            self.outbox.send_exactly(sender.address, messages.Gossip(), [known])
        is_comparison = isinstance(datagram.message, messages.BucketRecords)
        for record in datagram.updates:
            self._hear(self._softened(record, sender.name) if is_comparison else record)
        for value in datagram.registers:
            self.registers.merge(value, now)
        if not self.is_superseded:
            self._act(sender, datagram.message)

    def leave(self, now: float) -> None:
        """Report that this member leaves; it answers probes until its process ends."""
        self.context.now = now
        if self.context.is_leaving or self.is_superseded:
            return
        self.context.is_leaving = True
        self._merge(self.context.update_own_record(MemberState.LEFT))
        for _ in range(LEAVE_ROUNDS):
            self._gossip_once()

    def write_register(self, now: float, topic: str, data: bytes, number: int | None = None) -> None:
        """Write a register that all members share; ``ValueError`` where the data are too long."""
        self.context.now = now
        self.registers.write(topic, self.own_record.name, data, now, number)

    def send_direct(self, now: float, name: str, topic: str, data: bytes) -> None:
        """Send something to one member alone, once; lost where a datagram is."""
        self.context.now = now
        if name == self.own_record.name:
            self.on_direct_message(self.own_record, topic, data)
            return
        target = self.view.get(name)
        if target is not None:
            message = messages.DirectMessage(topic, data)
            self.outbox.send(target.address, name, message, len(data) + len(topic))

    # ---- reports ------------------------------------------------------------------------------

    def _softened(self, record: MemberRecord, reporter: str) -> MemberRecord:
        """In a comparison, another's report that a member is dead makes a suspect of one taken for alive."""
        known = self.view.get(record.name)
        if record.state == MemberState.DEAD and known is not None and known.is_present:
            return record.reported_as(MemberState.SUSPECT, reporter)
        return record

    def _hear(self, record: MemberRecord) -> None:
        if record.name == self.own_record.name:
            self._hear_of_itself(record)
            return
        known = self.view.get(record.name)
        if known is None and not record.is_present:
            return  # it is gone and was never known: nothing to remember
        if known is not None and self._is_further_accusation(record, known):
            self.suspicion_tracker.confirm(record)
        self._merge(record)

    @staticmethod
    def _is_further_accusation(record: MemberRecord, known: MemberRecord) -> bool:
        both_suspect = record.state == MemberState.SUSPECT and known.state == MemberState.SUSPECT
        return both_suspect and bool(record.reported_by) and known.incarnation == record.incarnation

    def _hear_of_itself(self, record: MemberRecord) -> None:
        own = self.own_record
        is_newer = record.incarnation > own.incarnation
        if record.address != own.address:
            if record.state == MemberState.ALIVE and is_newer:
                self.is_superseded = (
                    True  # a later process has this name: two would refute each other for ever
                )
                self.context.timers.heap.clear()
                self.on_name_taken(record)
            return
        is_accused = record.state != own.state and record.incarnation >= own.incarnation
        if is_accused or is_newer:
            state = MemberState.LEFT if self.context.is_leaving else MemberState.ALIVE
            self.refuted_count += 1
            self.context.health.adjust(+1)
            self._merge(self.context.update_own_record(state, record.incarnation + 1))

    def _merge(self, record: MemberRecord) -> None:
        """Merge a report into the view; pass it on if it tells anything new."""
        change = self.view.merge(record, self.context.now)
        if change is None:
            return
        self.context.updates.put(record)
        if record.state == MemberState.SUSPECT:
            self.suspicion_tracker.start(record)
        else:
            self.suspicion_tracker.drop(record.name)
        self.on_changed(change)

    def _act(self, sender: MemberRecord, message: messages.Message) -> None:
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

    # ---- what is shown ------------------------------------------------------------------------

    def figures(self) -> list[tuple[str, int]]:
        """Return the figures that operators are shown."""
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
        """Return the view as operators and other programs read it; times are the member's own clock."""
        return {
            "name": self.own_record.name,
            "cluster": self.settings.cluster,
            "incarnation": self.own_record.incarnation,
            "version": self.view.version,
            "digest": f"{self.view.digest:016x}",
            "present": self.view.present_count,
            "health": self.context.health.score,
            "members": [_shown_member(r) for r in sorted(self.view, key=lambda r: r.name)],
            "history": [_shown_change(change, self.context.now) for change in self.view.history],
        }


def _shown_member(record: MemberRecord) -> dict[str, object]:
    return {
        "name": record.name,
        "address": record.address,
        "incarnation": record.incarnation,
        "state": MemberState(record.state).name.lower(),
        "zone": record.zone,
        "region": record.region,
        "by": record.reported_by,
    }


def _shown_change(change: MembershipChange, now: float) -> dict[str, object]:
    return {
        "version": change.version,
        "ago": round(now - change.changed_at, 3),
        "name": change.record.name,
        "state": MemberState(change.record.state).name.lower(),
        "incarnation": change.record.incarnation,
        "by": change.record.reported_by,
        "before": None if change.previous_state is None else change.previous_state.name.lower(),
    }
