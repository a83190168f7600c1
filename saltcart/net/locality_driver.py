"""Connects zone-aware routing to membership, the upstream's connections and the clocks."""

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
    """Chooses the members that one upstream's requests go to, by zone-aware routing.

    It registers with the membership driver and as the upstream's chooser.

    Args:
        settings: Settings of zone-aware routing.
        upstream: The upstream's members with their zones and capacity.
        driver: Driver of the fleet's membership.
        ajp_upstream: Connections to the upstream's members.
        seed: Seed of the random numbers.
        log: Event log.
        weights: Priority weight by class; an unknown class counts as the lowest.
    """

    def __init__(
        self,
        settings: LocalitySettings,
        upstream: UpstreamConf,
        driver: MembershipDriver,
        ajp_upstream: AjpUpstream,
        seed: int,
        log: Log,
        weights: Mapping[str, float],
    ) -> None:
        super().__init__(driver, log)
        self.ajp_upstream = ajp_upstream
        self.weights = weights
        self.least_weight = min(weights.values(), default=1.0)
        self.leaders = dict[str, str]()
        self.leaders_version = -1  # version of the membership view that the leaders were determined from
        topology = ZoneTopology(
            Endpoint(member.host, member.zone, member.region, member.capacity) for member in upstream.members
        )
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
        ajp_upstream.chooser = self

    def tick(self, now: float) -> None:
        """Send the reports that are due."""
        self.router.tick(now, time.time())

    def handle_register_value(self, now: float, topic: str, number: int, author: str, data: bytes) -> None:
        """Process a newer plan or zone summary."""
        self.router.on_register_changed(now, topic, number, author, data)

    def handle_direct_message(self, now: float, sender: MemberRecord, topic: str, data: bytes) -> None:
        """Process an instance's load report."""
        self.router.on_direct_message(now, sender, topic, data)

    def _load(self, host: str) -> float:
        member = self.ajp_upstream.by_host[host]
        return (member.in_flight + 1) / member.weight

    def zone_leaders(self) -> Mapping[str, str]:
        """Return the leader's name by zone."""
        view = self.member.view
        if self.leaders_version != view.version:
            self.leaders_version = view.version
            self.leaders = zone_leaders(record for record in view if record.is_present)
        return self.leaders

    # ---- choice of members for the upstream ---------------------------------------------------

    def admit_request(self, class_name: str) -> bool:
        """Count a request; it is always accepted here, as ``choose_member`` decides whether to reject it."""
        self.router.record_arrival(self.loop.time(), self._weight(class_name))
        return True

    def choose_member(self, class_name: str, attempted_hosts: set[str], is_idempotent: bool) -> str | None:
        """Return the member that an attempt goes to; None to reject the request."""
        return self.router.choose(self.loop.time(), attempted_hosts, is_idempotent, self._weight(class_name))

    def attempt_finished(self, host: str, is_success: bool, seconds: float, connection_refused: bool) -> None:
        """Count the outcome of an attempt that lasted ``seconds``."""
        self.router.record_outcome(self.loop.time(), host, is_success, seconds, connection_refused)

    def _weight(self, class_name: str) -> float:
        return self.weights.get(class_name, self.least_weight)

    # ---- log and administration API -----------------------------------------------------------

    def _on_plan_changed(self, plan: FailoverPlan, number: int, author: str) -> None:
        zones = self.router.topology.zones
        rows = plan.rows.items()
        self.log(
            "locality-plan",
            number=number,
            by=author,
            rows={
                zones[origin]: {zones[target]: share for target, share in row.items()} for origin, row in rows
            },
        )

    def state(self) -> dict[str, object]:
        """Return the state that the administration API shows."""
        return self.router.state(self.loop.time())
