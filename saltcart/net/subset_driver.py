"""Connects deterministic subsetting to membership, the upstream's connections and the clock."""

from __future__ import annotations

import random
from collections.abc import Sequence

from saltcart.core.ports import Log
from saltcart.deployment import UpstreamConf
from saltcart.membership.member_record import MemberRecord
from saltcart.net.ajp import AjpUpstream
from saltcart.net.membership_driver import MembershipDriver
from saltcart.net.register_listener import RegisterListener
from saltcart.subsetting.settings import FleetSettings
from saltcart.subsetting.subset_balancer import SubsetBalancer


class SubsetDriver(RegisterListener):
    """Chooses the members that one upstream's requests go to, by deterministic subsetting.

    It registers with the membership driver and as the upstream's chooser.

    Args:
        settings: Settings of subsetting.
        upstream: The upstream's members with their capacity.
        driver: Driver of the fleet's membership.
        ajp_upstream: Connections to the upstream's members.
        seed: Seed of the random numbers.
        log: Event log.
    """

    def __init__(
        self,
        settings: FleetSettings,
        upstream: UpstreamConf,
        driver: MembershipDriver,
        ajp_upstream: AjpUpstream,
        seed: int,
        log: Log,
    ) -> None:
        super().__init__(driver, log)
        self.ajp_upstream = ajp_upstream
        self.present_names = list[str]()
        self.present_version = -1  # version of the membership view that the names were determined from
        self.balancer = SubsetBalancer(
            settings,
            {member.host: member.capacity for member in upstream.members},
            driver.name,
            random.Random(seed),
            self,
            self._load,
            self.loop.time(),
        )
        ajp_upstream.chooser = self

    def tick(self, now: float) -> None:
        """Send the reports that are due."""
        self.balancer.tick(now)

    def handle_register_value(self, now: float, topic: str, number: int, author: str, data: bytes) -> None:
        """Process a newer bucket of an assignment or a newer demand of a class."""
        self.balancer.on_register_changed(now, topic, data)

    def handle_direct_message(self, now: float, sender: MemberRecord, topic: str, data: bytes) -> None:
        """Process an instance's load report."""
        self.balancer.on_direct_message(now, sender, topic, data)

    def _load(self, host: str) -> float:
        # Members' weights are for upstreams without subsetting.
        return self.ajp_upstream.by_host[host].in_flight + 1.0

    def present(self) -> Sequence[str]:
        """Return the sorted names of the present instances."""
        view = self.member.view
        if self.present_version != view.version:
            self.present_version = view.version
            self.present_names = sorted(record.name for record in view if record.is_present)
        return self.present_names

    # ---- choice of members for the upstream ---------------------------------------------------

    def admit_request(self, class_name: str) -> bool:
        """Count a request; return False to reject it, as it exceeds this instance's share of the limit."""
        return self.balancer.admit(self.loop.time())

    def choose_member(self, class_name: str, attempted_hosts: set[str], is_idempotent: bool) -> str | None:
        """Return the member that an attempt goes to; None if all members were attempted."""
        return self.balancer.choose(self.loop.time(), attempted_hosts)

    def attempt_finished(self, host: str, is_success: bool, seconds: float, connection_refused: bool) -> None:
        """Count the outcome of an attempt that lasted ``seconds``."""
        self.balancer.record_outcome(self.loop.time(), host, is_success, connection_refused)

    # ---- administration API -------------------------------------------------------------------

    def state(self) -> dict[str, object]:
        """Return the state that the administration API shows."""
        return self.balancer.state(self.loop.time())
