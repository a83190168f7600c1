"""Probes: one member an interval, directly, then through helpers (SWIM, 2002)."""

from __future__ import annotations

from collections.abc import Callable

from saltcart.membership.member_context import MemberContext
from saltcart.membership.member_record import MemberRecord
from saltcart.membership.messages import Ack, Nack, Ping, PingRequest
from saltcart.membership.outbox import Outbox
from saltcart.membership.view import ProbeRotation

MAX_LOOKS = 64  # for a member to probe, in one interval


class Probe:
    """A probe of one member that is under way."""

    __slots__ = ("helper_count", "incarnation", "is_answered", "nacks", "name")

    def __init__(self, name: str, incarnation: int) -> None:
        self.name = name
        self.incarnation = incarnation
        self.is_answered = False
        self.helper_count = 0
        self.nacks = 0


class IndirectProbe:
    """A probe in another member's place."""

    __slots__ = ("requester_address", "requester_seq")

    def __init__(self, requester_address: str, requester_seq: int) -> None:
        self.requester_address = requester_address
        self.requester_seq = requester_seq


class Prober:
    """Probes members; ``on_unreachable`` is called with one that neither this member nor a helper reached."""

    def __init__(self, context: MemberContext, outbox: Outbox) -> None:
        self.context = context
        self.outbox = outbox
        self.rotation = ProbeRotation(context.rng)
        self.probes: dict[int, Probe] = {}
        self.indirect_probes: dict[int, IndirectProbe] = {}
        self.on_unreachable: Callable[[MemberRecord], None] = lambda target: None

    def start(self) -> None:
        """Probe from a moment in the first interval on."""
        context = self.context
        context.call_after(context.settings.probe_every * context.rng.random(), self._probe_next)

    def _probe_next(self) -> None:
        """Probe one member; a member that is in trouble itself takes longer intervals."""
        context = self.context
        interval = context.jittered(context.health.stretched(context.settings.probe_every))
        context.call_after(interval, self._probe_next)
        if context.is_leaving:
            return
        size = len(context.view)
        for _ in range(min(size, MAX_LOOKS)):
            target = context.view.at(self.rotation.next(size))
            if target is not None and target.is_present and target.name != context.own_record.name:
                self.probe(target)
                return

    def probe(self, target: MemberRecord) -> None:
        """Probe a member now."""
        context = self.context
        seq = context.next_sequence()
        wait = context.health.stretched(context.settings.probe_wait)
        self.probes[seq] = Probe(target.name, target.incarnation)
        self.outbox.send(target.address, target.name, Ping(seq))
        context.call_after(wait / 2, self._send_again, seq)
        context.call_after(wait, self._request_indirect_probes, seq)

    def _send_again(self, seq: int) -> None:
        probe = self.probes[seq]
        target = self.context.view.get(probe.name)
        if not probe.is_answered and target is not None:
            self.outbox.send(target.address, target.name, Ping(seq))

    def _request_indirect_probes(self, seq: int) -> None:
        context = self.context
        probe = self.probes[seq]
        target = context.view.get(probe.name)
        if probe.is_answered or target is None or not target.is_present:
            del self.probes[seq]
            return
        excluded = {probe.name, context.own_record.name}
        helpers = context.view.sample(context.rng, context.settings.helpers, excluded)
        for helper in helpers:
            self.outbox.send(helper.address, helper.name, PingRequest(seq, target.name, target.address))
        self.outbox.send(target.address, target.name, Ping(seq))
        probe.helper_count = len(helpers)
        # A helper needs the wait for its own probe and the way there and back.
        context.call_after(context.health.stretched(2 * context.settings.probe_wait), self._finish, seq)

    def _finish(self, seq: int) -> None:
        probe = self.probes.pop(seq)
        target = self.context.view.get(probe.name)
        if probe.is_answered or target is None or not target.is_present:
            return
        if target.incarnation != probe.incarnation:
            return
        # Helpers that do not answer tell of this member's own trouble, not of the target's.
        silent_helpers = probe.helper_count - probe.nacks
        self.context.health.adjust(1 if probe.helper_count == 0 else silent_helpers)
        self.on_unreachable(target)

    # ---- answers, and probes for others -------------------------------------------------------

    def on_ping(self, sender: MemberRecord, seq: int) -> None:
        """Answer a probe."""
        self.outbox.send(sender.address, sender.name, Ack(seq))

    def on_ack(self, seq: int) -> None:
        """A probe of this number is answered."""
        indirect = self.indirect_probes.pop(seq, None)
        if indirect is not None:
            self.outbox.send(indirect.requester_address, "", Ack(indirect.requester_seq))
            return
        probe = self.probes.get(seq)
        if probe is not None and not probe.is_answered:
            probe.is_answered = True
            self.context.health.adjust(-1)

    def on_nack(self, seq: int) -> None:
        """A helper got no answer for the probe of this number."""
        probe = self.probes.get(seq)
        if probe is not None:
            probe.nacks += 1

    def on_ping_request(self, sender: MemberRecord, request: PingRequest) -> None:
        """Probe a member in the sender's place."""
        seq = self.context.next_sequence()
        self.indirect_probes[seq] = IndirectProbe(sender.address, request.seq)
        self.outbox.send(request.address, request.name, Ping(seq))
        wait = self.context.settings.probe_wait
        self.context.call_after(wait / 2, self._send_indirect_again, seq, request.name, request.address)
        self.context.call_after(wait, self._finish_indirect, seq)

    def _send_indirect_again(self, seq: int, name: str, address: str) -> None:
        if seq in self.indirect_probes:
            self.outbox.send(address, name, Ping(seq))

    def _finish_indirect(self, seq: int) -> None:
        indirect = self.indirect_probes.pop(seq, None)
        if indirect is not None:
            self.outbox.send(indirect.requester_address, "", Nack(indirect.requester_seq))
