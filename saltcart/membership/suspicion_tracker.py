"""Suspicions: who is accused, by how many, and when a suspect is declared dead (Lifeguard, 2017)."""

from __future__ import annotations

from collections.abc import Callable
from math import log10

from saltcart.membership.member_context import JITTER, MemberContext
from saltcart.membership.member_record import MemberRecord, MemberState
from saltcart.membership.messages import Ping
from saltcart.membership.outbox import Outbox
from saltcart.membership.probing import Prober
from saltcart.membership.suspicion import Suspicion

CURIOUS_MEMBERS = 5.0  # on the average, that probe for themselves when they hear of a suspicion
BYSTANDER_FACTOR = 1.5  # times a suspicion's span, after which one that never probed the suspect does so


class SuspicionTracker:
    """Nobody declares a member dead whom it has not failed to reach itself.

    Those who have failed to reach a suspect keep trying until the suspicion ends.
    """

    def __init__(
        self,
        context: MemberContext,
        outbox: Outbox,
        prober: Prober,
        merge_report: Callable[[MemberRecord], None],
    ) -> None:
        """``merge_report`` takes a report into the view."""
        self.context = context
        self.outbox = outbox
        self.prober = prober
        self.merge_report = merge_report
        self.suspicions: dict[str, Suspicion] = {}
        self.accused_count = 0

    def accuse(self, target: MemberRecord) -> None:
        """This member has failed to reach the target."""
        self.accused_count += 1
        report = target.reported_as(MemberState.SUSPECT, self.context.own_record.name)
        if target.state == MemberState.ALIVE:
            self.merge_report(report)
        suspicion = self.suspicions.get(target.name)
        if suspicion is None:
            return
        if not suspicion.own_probe_failed:
            suspicion.own_probe_failed = True  # it ends sooner for one who knows for itself
            self._set_timer(target.name, suspicion)
        self.confirm(report)
        if suspicion.ends_at() <= self.context.now:
            self._declare_dead(target.name)
        else:
            self._keep_probing(target.name, suspicion)

    def start(self, report: MemberRecord) -> None:
        """The view has a new suspect."""
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
        if not is_own and context.rng.random() < CURIOUS_MEMBERS / max(1.0, others):
            delay = context.rng.random() * settings.probe_every / 2
            context.call_after(delay, self._probe_for_itself, report.name, suspicion)

    def drop(self, name: str) -> None:
        """The member is no suspect any more."""
        self.suspicions.pop(name, None)

    def confirm(self, report: MemberRecord) -> None:
        """Another member has failed to reach the suspect; news of that is passed on."""
        suspicion = self.suspicions.get(report.name)
        if suspicion is None or suspicion.incarnation != report.incarnation:
            return
        if suspicion.confirm(report.reported_by):
            self.context.updates.put(report)
            self._set_timer(report.name, suspicion)

    def _set_timer(self, name: str, suspicion: Suspicion) -> None:
        ends_at = suspicion.ends_at()
        if not suspicion.own_probe_failed:
            extra = BYSTANDER_FACTOR - 1 + JITTER * self.context.rng.random()
            ends_at += extra * (ends_at - suspicion.began_at)
        self.context.timers.call_at(max(ends_at, self.context.now), self._on_timeout, name, suspicion)

    def _on_timeout(self, name: str, suspicion: Suspicion) -> None:
        target = self._target(name, suspicion)
        if target is None or suspicion.ends_at() > self.context.now:
            return  # confirmed or refuted meanwhile: another timer has been set
        if suspicion.own_probe_failed:
            self._declare_dead(name)
        else:
            self.prober.probe(target)
            self._set_timer(name, suspicion)

    def _probe_for_itself(self, name: str, suspicion: Suspicion) -> None:
        target = self._target(name, suspicion)
        if target is not None:
            self.prober.probe(target)

    def _keep_probing(self, name: str, suspicion: Suspicion) -> None:
        """Who has failed to reach a suspect keeps trying: its answer alone clears it."""
        target = self._target(name, suspicion)
        if target is not None:
            self.outbox.send(target.address, name, Ping(self.context.next_sequence()))
            self.context.call_after(self.context.settings.probe_wait, self._keep_probing, name, suspicion)

    def _target(self, name: str, suspicion: Suspicion) -> MemberRecord | None:
        """Return what is known of the suspect, while this suspicion of it stands."""
        is_current = self.suspicions.get(name) is suspicion
        return self.context.view.get(name) if is_current else None

    def _declare_dead(self, name: str) -> None:
        target = self.context.view.get(name)
        if target is not None:
            self.merge_report(target.reported_as(MemberState.DEAD, self.context.own_record.name))
