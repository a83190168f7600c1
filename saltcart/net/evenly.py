"""Ties the choices that must add up to membership, the upstream's connections and the clock."""

from __future__ import annotations

import random
from collections.abc import Sequence

from saltcart.core.ports import Log
from saltcart.deployment import UpstreamConf
from saltcart.fleet.instance import Together
from saltcart.fleet.settings import FleetSettings
from saltcart.net.ajp import AjpUpstream
from saltcart.net.membership_driver import MembershipDriver
from saltcart.net.register_listener import RegisterListener


class Evenly(RegisterListener):
    """The chooser of one upstream whose members are shared out among the instances."""

    def __init__(
        self,
        conf: FleetSettings,
        upstream: UpstreamConf,
        gossip: MembershipDriver,
        runs: AjpUpstream,
        seed: int,
        log: Log,
    ) -> None:
        super().__init__(gossip, log)
        self.runs = runs
        self.names, self.names_at = list[str](), -1
        self.together = Together(
            conf,
            {m.host: m.capacity for m in upstream.members},
            gossip.name,
            random.Random(seed),
            self,
            self._load,
            self.loop.time(),
        )
        self.direct_message = self.together.given  # type: ignore[method-assign]
        runs.chooser = self

    def tick(self, now: float) -> None:
        self.together.tick(now)

    def register_changed(self, now: float, topic: str, number: int, by: str, data: bytes) -> None:
        self.together.posted(now, topic, data)

    def _load(self, host: str) -> float:
        return self.runs.by_host[host].open + 1.0  # weights are for upstreams that are not shared out

    def present(self) -> Sequence[str]:
        if self.names_at != self.member.view.version:
            self.names_at = self.member.view.version
            self.names = sorted(r.name for r in self.member.view if r.is_present)
        return self.names

    # ---- the upstream's chooser ---------------------------------------------------------------

    def arrived(self, klass: str) -> bool:
        return self.together.arrived(self.loop.time())

    def choose(self, klass: str, tried: set[str], safe: bool) -> str | None:
        return self.together.choose(self.loop.time(), tried)

    def ended(self, host: str, good: bool, took: float, refused: bool) -> None:
        self.together.ended(self.loop.time(), host, good, refused)

    def state(self) -> dict[str, object]:
        return self.together.state(self.loop.time())
