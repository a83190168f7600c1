"""Ties the decisions on zones to membership, the upstream's connections and the clocks."""

from __future__ import annotations

import random
import time
from collections.abc import Mapping

from saltcart.core.ports import Log
from saltcart.deployment import UpstreamConf
from saltcart.locality.instance import Locality
from saltcart.locality.plan import Plan
from saltcart.locality.reports import firsts
from saltcart.locality.settings import LocalitySettings
from saltcart.locality.sites import Backend, Sites
from saltcart.net.ajp import AjpUpstream
from saltcart.net.membership_driver import MembershipDriver
from saltcart.net.register_listener import RegisterListener


class Nearby(RegisterListener):
    """The chooser of one upstream whose members are in zones."""

    def __init__(
        self,
        conf: LocalitySettings,
        upstream: UpstreamConf,
        gossip: MembershipDriver,
        runs: AjpUpstream,
        seed: int,
        log: Log,
        worths: Mapping[str, float],
    ) -> None:
        """``worths``: by class, of an answer in time; what is no class of ours counts as the least."""
        super().__init__(gossip, log)
        self.runs, self.worths = runs, worths
        self.least = min(worths.values(), default=1.0)
        self.spoken, self.spoken_at = dict[str, str](), -1
        sites = Sites(Backend(m.host, m.zone, m.region, m.capacity) for m in upstream.members)
        self.locality = Locality(
            conf,
            sites,
            gossip.name,
            gossip.settings.zone,
            random.Random(seed),
            self,
            self._load,
            self.loop.time(),
        )
        self.locality.changed = self._changed
        self.direct_message, self.register_changed = self.locality.given, self.locality.posted  # type: ignore[method-assign]
        runs.chooser = self

    def tick(self, now: float) -> None:
        self.locality.tick(now, time.time())

    def _load(self, host: str) -> float:
        member = self.runs.by_host[host]
        return (member.open + 1) / member.weight

    def speakers(self) -> Mapping[str, str]:
        if self.spoken_at != self.member.view.version:
            self.spoken_at = self.member.view.version
            self.spoken = firsts(r for r in self.member.view if r.is_present)
        return self.spoken

    # ---- the upstream's chooser ---------------------------------------------------------------

    def arrived(self, klass: str) -> bool:
        self.locality.arrived(self.loop.time(), self.worths.get(klass, self.least))
        return True

    def choose(self, klass: str, tried: set[str], safe: bool) -> str | None:
        return self.locality.choose(self.loop.time(), tried, safe, self.worths.get(klass, self.least))

    def ended(self, host: str, good: bool, took: float, refused: bool) -> None:
        self.locality.ended(self.loop.time(), host, good, took, refused)

    # ---- what is told -------------------------------------------------------------------------

    def _changed(self, plan: Plan, number: int, by: str) -> None:
        zones = self.locality.sites.zones
        self.log(
            "locality-plan",
            number=number,
            by=by,
            rows={zones[o]: {zones[t]: s for t, s in row.items()} for o, row in plan.rows.items()},
        )

    def state(self) -> dict[str, object]:
        return self.locality.state(self.loop.time())
