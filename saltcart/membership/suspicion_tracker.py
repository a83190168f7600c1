"""Suspicions: their accusers, and when a suspect is declared dead (Lifeguard, 2017)."""

from __future__ import annotations

from collections.abc import Callable
from math import log10

from saltcart.membership.member_context import JITTER_FRACTION, MemberContext
from saltcart.membership.member_record import MemberRecord, MemberState
from saltcart.membership.messages import Ping
from saltcart.membership.outbox import Outbox
from saltcart.membership.probing import Prober
from saltcart.membership.suspicion import Suspicion

MEAN_VERIFYING_MEMBERS = 5.0  # members, on average, that verify another's suspicion by a probe of their own
UNPROBED_DURATION_FACTOR = 1.5  # of a suspicion's duration, until a member with no failed probe sends one


class SuspicionTracker:
    """Tracks suspicions and declares suspects dead.

    A member declares only those dead that it has failed to reach itself.  After its own probe has failed, it
    keeps pinging the suspect until the suspicion ends.  Each suspicion has one timer that moves forward in
    time and one sequence of pings, so that the number of probes in an interval is bounded whatever the view.
    """

    def __init__(
        self,
        context: MemberContext,
        outbox: Outbox,
        prober: Prober,
        merge_report: Callable[[MemberRecord], None],
    ) -> None:
        """Create a tracker without suspicions.

        Args:
            context: State shared with the member's other components.
            outbox: Receives the pings to suspects.
            prober: Probes the suspects.
            merge_report: Merges a report into the view and passes it on.
        """
        self.context = context
        self.outbox = outbox
        self.prober = prober
        self.merge_report = merge_report
        self.suspicions: dict[str, Suspicion] = {}
        self.accused_count = 0

    def accuse(self, target: MemberRecord) -> None:
        """Start or confirm a suspicion of a member that this member has failed to reach."""
        self.accused_count += 1
        report = target.reported_as(MemberState.SUSPECT, self.context.own_record.name)
        if target.state == MemberState.ALIVE:
            self.merge_report(report)
        suspicion = self.suspicions.get(target.name)
        if suspicion is None:
            return
        is_first = not suspicion.own_probe_failed
        if is_first:
            suspicion.own_probe_failed = True  # ends the extra time given until an own probe has failed
            self._set_timer(target.name, suspicion)
        self.confirm(report)
        if suspicion.ends_at() <= self.context.now:
            self._declare_dead(target.name)
        elif is_first:
            self._keep_probing(target.name, suspicion)

    def start(self, report: MemberRecord) -> None:
        """Start a suspicion of a member that has just become a suspect in the view."""
        context = self.context
        settings = self.context.settings
        others = context.view.present_count - 2  # neither this member nor the suspect
        scale = max(1.0, log10(max(1, context.view.present_count)))
        min_seconds = settings.suspect_for * settings.probe_every * scale
        max_seconds = min_seconds * settings.suspect_most
        confirmations = min(settings.confirmations, others - 1)
        suspicion = Suspicion(context.now, report.incarnation, min_seconds, max_seconds, confirmations)
        suspicion.confirm(report.reported_by)
        self.suspicions[report.name] = suspicion
        self._set_timer(report.name, suspicion)
        is_own = report.reported_by == context.own_record.name
        if not is_own and context.rng.random() < MEAN_VERIFYING_MEMBERS / max(1.0, others):
            delay = context.rng.random() * settings.probe_every / 2
            context.call_after(delay, self._probe_suspect, report.name, suspicion)

    def drop(self, name: str) -> None:
        """Drop the suspicion of a member that is alive, dead or has left."""
        self.suspicions.pop(name, None)

    def confirm(self, report: MemberRecord) -> None:
        """Count another member's failure to reach the suspect; a confirmation that counts is passed on."""
        suspicion = self.suspicions.get(report.name)
        if suspicion is None or suspicion.incarnation != report.incarnation:
            return
        if suspicion.confirm(report.reported_by):
            self.context.updates.put(report)
            self._set_timer(report.name, suspicion)

    def _set_timer(self, name: str, suspicion: Suspicion) -> None:
        ends_at = suspicion.ends_at()
        if not suspicion.own_probe_failed:
            extra_fraction = UNPROBED_DURATION_FACTOR - 1 + JITTER_FRACTION * self.context.rng.random()
            ends_at += extra_fraction * (ends_at - suspicion.began_at)
        self.context.timers.call_at(max(ends_at, self.context.now), self._on_timeout, name, suspicion)

    def _on_timeout(self, name: str, suspicion: Suspicion) -> None:
        suspect = self._current_suspect(name, suspicion)
        if suspect is None or suspicion.ends_at() > self.context.now:
            return  # refuted or confirmed in the meantime; another timer is set
        if suspicion.own_probe_failed:
            self._declare_dead(name)
        else:
            context = self.context
            self.prober.probe(suspect)
            interval = context.jittered(context.health.scaled(context.settings.probe_every))
            context.call_after(interval, self._on_timeout, name, suspicion)

    def _probe_suspect(self, name: str, suspicion: Suspicion) -> None:
        suspect = self._current_suspect(name, suspicion)
        if suspect is not None:
            self.prober.probe(suspect)

    def _keep_probing(self, name: str, suspicion: Suspicion) -> None:
        """Ping the suspect until the suspicion ends; only its own refutation clears it earlier."""
        suspect = self._current_suspect(name, suspicion)
        if suspect is not None:
            self.outbox.send(suspect.address, name, Ping(self.context.next_sequence()))
            self.context.call_after(self.context.settings.probe_wait, self._keep_probing, name, suspicion)

    def _current_suspect(self, name: str, suspicion: Suspicion) -> MemberRecord | None:
        """Return the suspect's record, or None if this suspicion is no longer current."""
        is_current = self.suspicions.get(name) is suspicion
        return self.context.view.get(name) if is_current else None

    def _declare_dead(self, name: str) -> None:
        suspect = self.context.view.get(name)
        if suspect is not None:
            self.merge_report(suspect.reported_as(MemberState.DEAD, self.context.own_record.name))
