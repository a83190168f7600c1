"""Ties the decisions on zones to membership, the upstream's connections and the clocks."""

from __future__ import annotations

import asyncio
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
from saltcart.member.board import Post
from saltcart.member.record import Record
from saltcart.net.ajp import AjpUpstream
from saltcart.net.gossip import Gossip
from saltcart.wire.errors import Malformed

TICK = 0.1  # seconds; what is due is decided by the decisions' own intervals


class Nearby:
    """The chooser of one upstream; ``close`` gives back its timer."""

    def __init__(self, conf: LocalitySettings, upstream: UpstreamConf, gossip: Gossip, runs: AjpUpstream,
                 seed: int, log: Log) -> None:
        assert gossip.detector is not None
        self.gossip, self.detector, self.runs, self.log = gossip, gossip.detector, runs, log
        self.loop = asyncio.get_running_loop()
        self.spoken, self.spoken_at = dict[str, str](), -1
        sites = Sites(Backend(m.host, m.zone, m.region, m.capacity) for m in upstream.members)
        self.locality = Locality(conf, sites, gossip.name, gossip.conf.zone, random.Random(seed), self,
                                 self._load, self.loop.time())
        self.locality.changed = self._changed
        self.detector.given = self._given
        self.detector.board.changed = self._posted
        runs.chooser = self
        self.handle = self.loop.call_later(TICK, self._tick)

    def close(self) -> None:
        self.handle.cancel()

    def _tick(self) -> None:
        self.handle = self.loop.call_later(TICK, self._tick)
        self.locality.tick(self.loop.time(), time.time())
        self.gossip.flush()

    def _load(self, host: str) -> float:
        member = self.runs.by_host[host]
        return (member.open + 1) / member.weight

    # ---- the upstream's chooser ---------------------------------------------------------------

    def arrived(self) -> None:
        self.locality.arrived(self.loop.time())

    def choose(self, tried: set[str], safe: bool) -> str | None:
        return self.locality.choose(self.loop.time(), tried, safe)

    def ended(self, host: str, good: bool, took: float, refused: bool) -> None:
        self.locality.ended(self.loop.time(), host, good, took, refused)

    # ---- the fleet, as the decisions know it --------------------------------------------------

    def speakers(self) -> Mapping[str, str]:
        if self.spoken_at != self.detector.view.version:
            self.spoken_at = self.detector.view.version
            self.spoken = firsts(r for r in self.detector.view if r.present)
        return self.spoken

    def post(self, topic: str, data: bytes) -> None:
        try:
            self.detector.post(self.loop.time(), topic, data)
        except ValueError as error:  # so many zones are in trouble at once that a plan is too long
            self.log("locality-unposted", topic=topic, error=str(error))

    def give(self, name: str, topic: str, data: bytes) -> None:
        self.detector.give(self.loop.time(), name, topic, data)

    def _given(self, sender: Record, topic: str, data: bytes) -> None:
        try:
            self.locality.given(self.loop.time(), sender, topic, data)
        except Malformed as error:
            self.log("locality-malformed", sender=sender.name, error=str(error))

    def _posted(self, post: Post) -> None:
        try:
            self.locality.posted(self.loop.time(), post.topic, post.number, post.by, post.data)
        except Malformed as error:
            self.log("locality-malformed", sender=post.by, error=str(error))

    # ---- what is told -------------------------------------------------------------------------

    def _changed(self, plan: Plan, number: int, by: str) -> None:
        zones = self.locality.sites.zones
        self.log("locality-plan", number=number, by=by, rows={
            zones[o]: {zones[t]: s for t, s in row.items()} for o, row in plan.rows.items()})

    def state(self) -> dict[str, object]:
        return self.locality.state(self.loop.time())
