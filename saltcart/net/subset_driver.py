"""Ties the choices that must add up to membership, the upstream's connections and the clock."""

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
    """The chooser of one upstream whose members are shared out among the instances."""

    def __init__(
        self,
        settings: FleetSettings,
        upstream: UpstreamConf,
        driver: MembershipDriver,
        runs: AjpUpstream,
        seed: int,
        log: Log,
    ) -> None:
        super().__init__(driver, log)
        self.runs = runs
        self.names = list[str]()
        self.names_version = -1  # of the view from which they were found
        self.balancer = SubsetBalancer(
            settings,
            {member.host: member.capacity for member in upstream.members},
            driver.name,
            random.Random(seed),
            self,
            self._load,
            self.loop.time(),
        )
        runs.chooser = self

    def tick(self, now: float) -> None:
        """Report what is due."""
        self.balancer.tick(now)

    def handle_register_value(self, now: float, topic: str, number: int, by: str, data: bytes) -> None:
        """Take a newer bucket or demand."""
        self.balancer.on_register_changed(now, topic, data)

    def handle_direct_message(self, now: float, sender: MemberRecord, topic: str, data: bytes) -> None:
        """Take an instance's report."""
        self.balancer.on_direct_message(now, sender, topic, data)

    def _load(self, host: str) -> float:
        return self.runs.by_host[host].in_flight + 1.0  # weights are for upstreams that are not shared out

    def present(self) -> Sequence[str]:
        """Return the names of those present, sorted."""
        view = self.member.view
        if self.names_version != view.version:
            self.names_version = view.version
            self.names = sorted(record.name for record in view if record.is_present)
        return self.names

    # ---- the upstream's chooser ---------------------------------------------------------------

    def admit_request(self, klass: str) -> bool:
        """Whether a request fits into this instance's share."""
        return self.balancer.admit(self.loop.time())

    def choose_member(self, klass: str, tried: set[str], safe: bool) -> str | None:
        """Return the member that a request goes to."""
        return self.balancer.choose(self.loop.time(), tried)

    def attempt_finished(self, host: str, good: bool, took: float, refused: bool) -> None:
        """Count a request that is over."""
        self.balancer.record_outcome(self.loop.time(), host, good, refused)

    def state(self) -> dict[str, object]:
        """Return what the administration API shows."""
        return self.balancer.state(self.loop.time())
