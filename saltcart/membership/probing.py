"""Failure detection: probes one member per interval, directly and then through helpers (SWIM, 2002)."""

from __future__ import annotations

from collections.abc import Callable

from saltcart.membership.member_context import MemberContext
from saltcart.membership.member_record import MemberRecord
from saltcart.membership.messages import Ack, Nack, Ping, PingRequest
from saltcart.membership.outbox import Outbox
from saltcart.membership.view import ProbeRotation

MAX_PROBE_CANDIDATES = 64  # records examined in one interval to find a present member to probe


class Probe:
    """A probe by this member that is in progress."""

    __slots__ = ("helper_count", "incarnation", "is_acked", "nack_count", "name")

    def __init__(self, name: str, incarnation: int) -> None:
        self.name = name
        self.incarnation = incarnation
        self.is_acked = False
        self.helper_count = 0
        self.nack_count = 0


class IndirectProbe:
    """A probe on behalf of another member."""

    __slots__ = ("requester_address", "requester_sequence")

    def __init__(self, requester_address: str, requester_sequence: int) -> None:
        self.requester_address = requester_address
        self.requester_sequence = requester_sequence


class Prober:
    """Probes members and serves the probes of others.

    Attributes:
        on_unreachable: Called with a member that neither this member nor a helper has reached.
    """

    def __init__(self, context: MemberContext, outbox: Outbox) -> None:
        self.context = context
        self.outbox = outbox
        self.rotation = ProbeRotation(context.rng)
        self.probes: dict[int, Probe] = {}
        self.indirect_probes: dict[int, IndirectProbe] = {}
        self.on_unreachable: Callable[[MemberRecord], None] = lambda target: None

    def start(self) -> None:
        """Schedule the first probe at a random time within the first interval."""
        context = self.context
        context.call_after(context.settings.probe_every * context.rng.random(), self._probe_next)

    def _probe_next(self) -> None:
        """Probe the next member in rotation; the interval grows while this member's own health is poor."""
        context = self.context
        interval = context.jittered(context.health.scaled(context.settings.probe_every))
        context.call_after(interval, self._probe_next)
        if context.is_leaving:
            return
        size = len(context.view)
        for _ in range(min(size, MAX_PROBE_CANDIDATES)):
            target = context.view.record_at(self.rotation.next(size))
            if target is not None and target.is_present and target.name != context.own_record.name:
                self.probe(target)
                return

    def probe(self, target: MemberRecord) -> None:
        """Start a probe of a member: one ping, a second one after half the timeout, then indirect probes."""
        context = self.context
        sequence = context.next_sequence()
        timeout = context.health.scaled(context.settings.probe_wait)
        self.probes[sequence] = Probe(target.name, target.incarnation)
        self.outbox.send(target.address, target.name, Ping(sequence))
        context.call_after(timeout / 2, self._resend_ping, sequence)
        context.call_after(timeout, self._request_indirect_probes, sequence)

    def _resend_ping(self, sequence: int) -> None:
        probe = self.probes[sequence]
        target = self.context.view.get(probe.name)
        if not probe.is_acked and target is not None:
            self.outbox.send(target.address, target.name, Ping(sequence))

    def _request_indirect_probes(self, sequence: int) -> None:
        context = self.context
        probe = self.probes[sequence]
        target = context.view.get(probe.name)
        if probe.is_acked or target is None or not target.is_present:
            del self.probes[sequence]
            return
        excluded = {probe.name, context.own_record.name}
        helpers = context.view.sample(context.rng, context.settings.helpers, excluded)
        for helper in helpers:
            self.outbox.send(helper.address, helper.name, PingRequest(sequence, target.name, target.address))
        self.outbox.send(target.address, target.name, Ping(sequence))
        probe.helper_count = len(helpers)
        # A helper needs one probe timeout for its own probe, and the round trip to this member.
        context.call_after(
            context.health.scaled(2 * context.settings.probe_wait), self._finish_probe, sequence
        )

    def _finish_probe(self, sequence: int) -> None:
        probe = self.probes.pop(sequence)
        target = self.context.view.get(probe.name)
        if probe.is_acked or target is None or not target.is_present:
            return
        if target.incarnation != probe.incarnation:
            return
        # Helpers that send neither an ack nor a nack point to a fault of this member, not of the target.
        silent_helpers = probe.helper_count - probe.nack_count
        self.context.health.adjust(1 if probe.helper_count == 0 else silent_helpers)
        self.on_unreachable(target)

    # ---- received messages --------------------------------------------------------------------

    def on_ping(self, sender: MemberRecord, sequence: int) -> None:
        """Acknowledge a probe."""
        self.outbox.send(sender.address, sender.name, Ack(sequence))

    def on_ack(self, sequence: int) -> None:
        """Record the ack of a probe, or forward it to the member that requested the indirect probe."""
        indirect = self.indirect_probes.pop(sequence, None)
        if indirect is not None:
            self.outbox.send(indirect.requester_address, "", Ack(indirect.requester_sequence))
            return
        probe = self.probes.get(sequence)
        if probe is not None and not probe.is_acked:
            probe.is_acked = True
            self.context.health.adjust(-1)

    def on_nack(self, sequence: int) -> None:
        """Count a helper whose indirect probe was not acknowledged."""
        probe = self.probes.get(sequence)
        if probe is not None:
            probe.nack_count += 1

    def on_ping_request(self, sender: MemberRecord, request: PingRequest) -> None:
        """Start an indirect probe on behalf of the sender."""
        sequence = self.context.next_sequence()
        self.indirect_probes[sequence] = IndirectProbe(sender.address, request.sequence)
        self.outbox.send(request.address, request.name, Ping(sequence))
        timeout = self.context.settings.probe_wait
        self.context.call_after(
            timeout / 2, self._resend_indirect_ping, sequence, request.name, request.address
        )
        self.context.call_after(timeout, self._finish_indirect_probe, sequence)

    def _resend_indirect_ping(self, sequence: int, name: str, address: str) -> None:
        if sequence in self.indirect_probes:
            self.outbox.send(address, name, Ping(sequence))

    def _finish_indirect_probe(self, sequence: int) -> None:
        indirect = self.indirect_probes.pop(sequence, None)
        if indirect is not None:
            self.outbox.send(indirect.requester_address, "", Nack(indirect.requester_sequence))
