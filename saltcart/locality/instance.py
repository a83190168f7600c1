"""One instance's part: what it sees and tells, the plan it holds, and where each request goes.

It is told of ends, reports, posts and moments, and asks its ports to tell others; it does no I/O.
"""

from __future__ import annotations

import math
import random
from collections.abc import Callable, Mapping
from typing import Protocol

from saltcart.locality.demand import QUICK, STEADY, Demand
from saltcart.locality.outliers import Outliers
from saltcart.locality.plan import WHOLE, Heard, Plan, encode, propose, read_plan
from saltcart.locality.reports import Collector, Report, Summary, read_report, read_summary
from saltcart.locality.reports import encode as encode_report
from saltcart.locality.settings import LocalitySettings
from saltcart.locality.shed import Shed
from saltcart.locality.sites import Sites
from saltcart.membership.member_record import MemberRecord

PLAN, ZONE, REPORT = "locality/plan", "locality/zone/", "locality/report"
ABROAD = 0.25  # tries in other zones than planned, for each request: more would be a herd of its own
SAVED = 50.0  # of those that may be saved up
TRIALS = 0.1  # of the requests may find out about members that get no work


class Fleet(Protocol):
    """Membership, as far as it is needed here."""

    def speakers(self) -> Mapping[str, str]: ...
    def write_register(self, topic: str, data: bytes) -> None: ...
    def send_direct(self, name: str, topic: str, data: bytes) -> None: ...


class Locality:
    """``load``: requests under way at a member, over its weight."""

    def __init__(
        self,
        conf: LocalitySettings,
        sites: Sites,
        name: str,
        zone: str,
        rng: random.Random,
        fleet: Fleet,
        load: Callable[[str], float],
        now: float,
    ) -> None:
        self.conf, self.sites, self.name, self.zone, self.rng = conf, sites, name, zone, rng
        self.fleet, self.load = fleet, load
        self.own = sites.number[zone]
        self.outliers = Outliers(conf, sites.members)
        self.shed = Shed(rng)
        self.quick, self.steady = Demand(QUICK), Demand(STEADY)
        self.collector = Collector(self.own, len(sites.members[self.own]), conf)
        self.summaries: dict[int, tuple[float, Summary]] = {}  # and when each came
        self.plan, self.number, self.by = Plan(), 0, ""
        self.doubted = False  # the own zone is not fully trusted
        self.next_at = now + conf.report_every * rng.random()
        self.abroad, self.trials = SAVED, 1.0
        self.placed: dict[str, int] = {}  # requests by zone that they went to first
        self.refused = self.moves = 0
        self.changed: Callable[[Plan, int, str], None] = lambda plan, number, by: None

    # ---- what others say ----------------------------------------------------------------------

    def given(self, now: float, sender: MemberRecord, topic: str, data: bytes) -> None:
        """``MalformedMessageError`` for a report that is none."""
        if topic == REPORT and sender.zone == self.zone:
            self.collector.take(now, sender.name, read_report(data))

    def posted(self, now: float, topic: str, number: int, by: str, data: bytes) -> None:
        """``MalformedMessageError`` for a post that is none."""
        if topic == PLAN:
            plan = read_plan(data, len(self.sites.zones))
            if (number, by) > (self.number, self.by):
                self.moves += plan.rows != self.plan.rows
                self.plan, self.number, self.by = plan, number, by
                self.doubted = any(t.origin == t.target == self.own and t.share < WHOLE for t in plan.trust)
                self.changed(plan, number, by)
        elif topic.startswith(ZONE):
            summary = read_summary(data)
            if self.sites.number.get(topic.removeprefix(ZONE)) == summary.zone:
                self._heard(now, summary)

    def _heard(self, now: float, summary: Summary) -> None:
        self.summaries[summary.zone] = now, summary
        self.outliers.told(now, summary.zone, summary.parts)

    # ---- what this one says -------------------------------------------------------------------

    def tick(self, now: float, unix: float) -> None:
        """Tell what is due; ``unix`` is the clock that all share, for plans."""
        if now < self.next_at:
            return
        self.next_at = now + self.conf.report_every * (0.9 + 0.2 * self.rng.random())
        usual = self.outliers.usual()
        grades = {z: self.outliers.grade(now, z, usual) for z in range(len(self.sites.zones))}
        report = Report(
            round(self.quick.rate(now), 2),
            {z: (round(g, 3), round(e, 1)) for z, (g, e) in grades.items() if e >= 0.5},
            *self.outliers.since_told(self.own),
            round(self.steady.rate(now), 2),
        )
        speakers = {z: name for z, name in self.fleet.speakers().items() if z in self.sites.number}
        spoken = speakers.get(self.zone)
        if spoken == self.name:
            self.collector.take(now, self.name, report)
            summary = self.collector.summary(now)
            self._heard(now, summary)
            self.fleet.write_register(ZONE + self.zone, encode_report(summary))
            if self.name == min(speakers.values()):
                self._propose(now, unix)
        elif spoken is not None:
            self.fleet.send_direct(spoken, REPORT, encode_report(report))

    def _propose(self, now: float, unix: float) -> None:
        """The first of all by name makes the plan that follows, if one does."""
        heard = {z: Heard(now - at, summary) for z, (at, summary) in self.summaries.items()}
        plan = propose(self.conf, self.sites, self.plan, heard, unix)
        if plan is not None:
            self.fleet.write_register(PLAN, encode(plan))

    # ---- requests -----------------------------------------------------------------------------

    def arrived(self, now: float, worth: float = 1.0) -> None:
        """A request that this instance has to place."""
        self.shed.arrived(now, worth)
        self.quick.add(now)
        self.steady.add(now)
        self.abroad = min(SAVED, self.abroad + ABROAD)
        self.trials = min(1.0, self.trials + TRIALS)

    def zone_for(self, worth: float = 1.0) -> int | None:
        """A zone drawn by the plan; None for work that no zone has room for: it is refused at once."""
        row = self.plan.row(self.own)
        placed = sum(row.values())
        if self.shed.refuses(worth, 1 - placed / WHOLE):
            return None
        drawn = self.rng.randrange(max(1, placed))
        for zone, share in row.items():
            drawn -= share
            if drawn < 0:
                return zone
        return None

    def choose(self, now: float, tried: set[str], safe: bool, worth: float = 1.0) -> str | None:
        """The member that a request goes to; ``tried``: those that proved that they never ran it.

        ``safe``: it may run twice, so it may also find out whether a member is back.  ``worth``: of an answer
        in time; where the plan has no room for all, those worth least are refused.

        A first try goes by the plan.  A further one stays in the zones of the plan while a member is left
        there, then goes to the nearest others, and of these tries there are few.
        """
        if not tried:
            zone = self.zone_for(worth)
            if zone is None:
                self.refused += 1
                return None
            if (
                safe
                and self.trials >= 1
                and (host := self.outliers.on_trial(now, self.own, self.doubted)) is not None
            ):
                self.trials -= 1
                return host
            name = self.sites.zones[zone]
            self.placed[name] = self.placed.get(name, 0) + 1
            if (host := self._least(now, zone, tried)) is not None:
                return host
        row = self.plan.row(self.own)
        for zone in self._drawn(row):
            if (host := self._least(now, zone, tried)) is not None:
                return host
        if self.abroad < 1:
            return None
        for level in self.sites.levels[self.own]:
            hosts = [h for z in level if z not in row if (h := self._least(now, z, tried)) is not None]
            if hosts:
                self.abroad -= 1
                return self.rng.choice(hosts)
        return None

    def _drawn(self, row: Mapping[int, int]) -> list[int]:
        """A plan's zones in an order drawn by their shares: further tries must not all meet in one zone."""
        return sorted(row, key=lambda z: -math.log(1 - self.rng.random()) / max(1, row[z]))

    def _least(self, now: float, zone: int, tried: set[str]) -> str | None:
        able = [h for h in self.outliers.able(now, zone) if h not in tried]
        if not able:
            return None
        usual = self.outliers.usual()
        return min(able, key=lambda h: (self.load(h) * self.outliers.slowness(h, usual), self.rng.random()))

    def ended(self, now: float, host: str, good: bool, took: float, refused: bool = False) -> None:
        self.outliers.ended(now, host, good, took, refused)

    # ---- what is shown ------------------------------------------------------------------------

    def figures(self) -> list[tuple[str, int]]:
        row = self.plan.row(self.own)
        return [
            ("locality.plan", self.number),
            ("locality.moves", self.moves),
            ("locality.refused", self.refused),
            ("locality.home_permille", row.get(self.own, 0)),
            ("locality.refused_permille", self.plan.refused(self.own)),
            ("locality.worth_refused", round(self.shed.worth_refused)),
        ]

    def state(self, now: float) -> dict[str, object]:
        zones = self.sites.zones
        return {
            "zone": self.zone,
            "plan": self.number,
            "by": self.by,
            "moves": self.moves,
            "rows": {zones[o]: {zones[t]: s for t, s in row.items()} for o, row in self.plan.rows.items()},
            "trust": [
                {"origin": zones[t.origin], "target": zones[t.target], "permille": t.share, "falls": t.falls}
                for t in self.plan.trust
            ],
            "grades": {z: round(self.outliers.grade(now, n)[0], 3) for n, z in enumerate(zones)},
            "zones": {zones[z]: self._told(now, z) for z in self.summaries},
            "placed": self.placed,
            "refused": self.refused,
        }

    def _told(self, now: float, zone: int) -> dict[str, object]:
        at, told = self.summaries[zone]
        members = self.sites.members[zone]
        return {
            "demand": told.demand,
            "instances": told.instances,
            "ago": round(now - at, 1),
            "odds": told.odds,
            "members": {
                members[n]: part / 100 for n, part in told.parts.items() if part < 100 and n < len(members)
            },
        }
