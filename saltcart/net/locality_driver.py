"""Ties the decisions on zones to membership, the upstream's connections and the clocks."""

from __future__ import annotations

import random
import time
from collections.abc import Mapping

from saltcart.core.ports import Log
from saltcart.deployment import UpstreamConf
from saltcart.locality.failover_plan import FailoverPlan
from saltcart.locality.load_reports import zone_leaders
from saltcart.locality.settings import LocalitySettings
from saltcart.locality.topology import Endpoint, ZoneTopology
from saltcart.locality.zone_router import ZoneRouter
from saltcart.membership.member_record import MemberRecord
from saltcart.net.ajp import AjpUpstream
from saltcart.net.membership_driver import MembershipDriver
from saltcart.net.register_listener import RegisterListener


class LocalityDriver(RegisterListener):
    """The chooser of one upstream whose members are in zones."""

    def __init__(
        self,
        settings: LocalitySettings,
        upstream: UpstreamConf,
        driver: MembershipDriver,
        runs: AjpUpstream,
        seed: int,
        log: Log,
        weights: Mapping[str, float],
    ) -> None:
        """``weights``: by class, of a response in time; an unknown class counts as the least."""
        super().__init__(driver, log)
        self.runs = runs
        self.weights = weights
        self.least_weight = min(weights.values(), default=1.0)
        self.leaders = dict[str, str]()
        self.leaders_version = -1  # of the view from which they were found
        topology = ZoneTopology(Endpoint(m.host, m.zone, m.region, m.capacity) for m in upstream.members)
        self.router = ZoneRouter(
            settings,
            topology,
            driver.name,
            driver.settings.zone,
            random.Random(seed),
            self,
            self._load,
            self.loop.time(),
        )
        self.router.on_plan_changed = self._on_plan_changed
        runs.chooser = self

    def tick(self, now: float) -> None:
        """Report what is due."""
        self.router.tick(now, time.time())

    def handle_register_value(self, now: float, topic: str, number: int, author: str, data: bytes) -> None:
        """Take a newer plan or summary."""
        self.router.on_register_changed(now, topic, number, author, data)

    def handle_direct_message(self, now: float, sender: MemberRecord, topic: str, data: bytes) -> None:
        """Take an instance's report."""
        self.router.on_direct_message(now, sender, topic, data)

    def _load(self, host: str) -> float:
        member = self.runs.by_host[host]
        return (member.open + 1) / member.weight

    def zone_leaders(self) -> Mapping[str, str]:
        """Return the leader of each zone."""
        view = self.member.view
        if self.leaders_version != view.version:
            self.leaders_version = view.version
            self.leaders = zone_leaders(record for record in view if record.is_present)
        return self.leaders

    # ---- the upstream's chooser ---------------------------------------------------------------

    def arrived(self, klass: str) -> bool:
        """Count a request; whether it has room is found out in ``choose``."""
        self.router.record_arrival(self.loop.time(), self._weight(klass))
        return True

    def choose(self, klass: str, tried: set[str], safe: bool) -> str | None:
        """Return the member that a request goes to."""
        return self.router.choose(self.loop.time(), tried, safe, self._weight(klass))

    def ended(self, host: str, good: bool, took: float, refused: bool) -> None:
        """Count a request that is over."""
        self.router.record_outcome(self.loop.time(), host, good, took, refused)

    def _weight(self, class_name: str) -> float:
        return self.weights.get(class_name, self.least_weight)

    # ---- what is shown ------------------------------------------------------------------------

    def _on_plan_changed(self, plan: FailoverPlan, number: int, author: str) -> None:
        zones = self.router.topology.zones
        rows = plan.rows.items()
        self.log(
            "locality-plan",
            number=number,
            by=author,
            rows={zones[o]: {zones[t]: share for t, share in row.items()} for o, row in rows},
        )

    def state(self) -> dict[str, object]:
        """Return what the administration API shows."""
        return self.router.state(self.loop.time())
