"""One instance's part: what it sees and reports, the plan it holds, and where each request goes.

It is told of outcomes, reports, registers and moments, and asks its port to pass things on; it does no I/O.
"""

from __future__ import annotations

import math
import random
from collections.abc import Callable, Mapping
from typing import Protocol

from saltcart.locality.demand import LONG_TERM_HALF_LIFE, SHORT_TERM_HALF_LIFE, DemandEstimator
from saltcart.locality.failover_plan import FailoverPlan, encode, read_plan
from saltcart.locality.load_reports import (
    MIN_OUTCOMES,
    InstanceReport,
    LoadAggregator,
    ZoneSummary,
    read_report,
    read_summary,
)
from saltcart.locality.load_reports import encode as encode_report
from saltcart.locality.load_shedding import LoadShedder
from saltcart.locality.outlier_detection import OutlierDetector
from saltcart.locality.plan_proposal import ReceivedSummary, propose_plan
from saltcart.locality.settings import LocalitySettings
from saltcart.locality.topology import ZoneTopology
from saltcart.locality.zone_trust import WHOLE_SHARE
from saltcart.membership.member_record import MemberRecord

PLAN_TOPIC = "locality/plan"
ZONE_TOPIC = "locality/zone/"
REPORT_TOPIC = "locality/report"
REPORT_JITTER = 0.2  # of the interval between two reports
RETRIES_PER_REQUEST = 0.25  # retries in other zones than planned: more would be a herd of its own
MAX_RETRY_TOKENS = 50.0  # that may be saved up
TRIALS_PER_REQUEST = 0.1  # that may find out about members that get no work
MAX_TRIAL_TOKENS = 1.0


class ZoneMembership(Protocol):
    """Membership, as far as it is needed here."""

    def zone_leaders(self) -> Mapping[str, str]:
        """Return the leader of each zone."""

    def write_register(self, topic: str, data: bytes) -> None:
        """Write a register that all instances share."""

    def send_direct(self, name: str, topic: str, data: bytes) -> None:
        """Send something to one instance alone."""


class ZoneRouter:
    """Sends requests to the members of zones by the plan that all instances hold."""

    def __init__(
        self,
        settings: LocalitySettings,
        topology: ZoneTopology,
        name: str,
        zone: str,
        rng: random.Random,
        membership: ZoneMembership,
        load: Callable[[str], float],
        now: float,
    ) -> None:
        """``load``: requests under way at a member, over its weight."""
        self.settings = settings
        self.topology = topology
        self.name = name
        self.zone = zone
        self.rng = rng
        self.membership = membership
        self.load = load
        self.own_zone = topology.zone_numbers[zone]
        self.outliers = OutlierDetector(settings, topology.members)
        self.load_shedder = LoadShedder(rng)
        self.quick_demand = DemandEstimator(SHORT_TERM_HALF_LIFE)
        self.steady_demand = DemandEstimator(LONG_TERM_HALF_LIFE)
        self.aggregator = LoadAggregator(self.own_zone, len(topology.members[self.own_zone]), settings)
        self.summaries: dict[int, tuple[float, ZoneSummary]] = {}  # by zone, with the time
        self.plan = FailoverPlan()
        self.plan_number = 0
        self.plan_author = ""
        self.own_zone_doubted = False  # it is not fully trusted
        self.next_report_at = now + settings.report_every * rng.random()
        self.retry_tokens = MAX_RETRY_TOKENS
        self.trial_tokens = MAX_TRIAL_TOKENS
        self.placed: dict[str, int] = {}  # requests by the zone that they went to first
        self.rejected_count = 0
        self.plan_changes = 0
        self.on_plan_changed: Callable[[FailoverPlan, int, str], None] = lambda plan, number, author: None

    # ---- what others report -------------------------------------------------------------------

    def on_direct_message(self, now: float, sender: MemberRecord, topic: str, data: bytes) -> None:
        """Take a report; ``MalformedMessageError`` for one that is none."""
        if topic == REPORT_TOPIC and sender.zone == self.zone:
            self.aggregator.take(now, sender.name, read_report(data))

    def on_register_changed(self, now: float, topic: str, number: int, author: str, data: bytes) -> None:
        """Take a newer plan or summary; ``MalformedMessageError`` for one that is none."""
        if topic == PLAN_TOPIC:
            plan = read_plan(data, len(self.topology.zones))
            if (number, author) > (self.plan_number, self.plan_author):
                self._adopt_plan(plan, number, author)
        elif topic.startswith(ZONE_TOPIC):
            summary = read_summary(data)
            if self.topology.zone_numbers.get(topic.removeprefix(ZONE_TOPIC)) == summary.zone:
                self._take_summary(now, summary)

    def _adopt_plan(self, plan: FailoverPlan, number: int, author: str) -> None:
        self.plan_changes += plan.rows != self.plan.rows
        self.plan = plan
        self.plan_number = number
        self.plan_author = author
        self.own_zone_doubted = any(
            trust.origin == trust.target == self.own_zone and trust.share < WHOLE_SHARE
            for trust in plan.trust
        )
        self.on_plan_changed(plan, number, author)

    def _take_summary(self, now: float, summary: ZoneSummary) -> None:
        self.summaries[summary.zone] = now, summary
        self.outliers.apply_zone_findings(now, summary.zone, summary.capacity_percents)

    # ---- what this instance reports -----------------------------------------------------------

    def tick(self, now: float, unix_time: float) -> None:
        """Report what is due; ``unix_time`` is by the clock that all share, for plans."""
        if now < self.next_report_at:
            return
        jitter = 1 - REPORT_JITTER / 2 + REPORT_JITTER * self.rng.random()
        self.next_report_at = now + self.settings.report_every * jitter
        report = self._report(now)
        leaders = self.membership.zone_leaders().items()
        leaders_by_zone = {zone: name for zone, name in leaders if zone in self.topology.zone_numbers}
        leader = leaders_by_zone.get(self.zone)
        if leader == self.name:
            self._report_zone(now, report)
            if self.name == min(leaders_by_zone.values()):
                self._propose_plan(now, unix_time)
        elif leader is not None:
            self.membership.send_direct(leader, REPORT_TOPIC, encode_report(report))

    def _report(self, now: float) -> InstanceReport:
        typical = self.outliers.typical_seconds()
        grades = {}
        for zone in range(len(self.topology.zones)):
            grade, evidence = self.outliers.grade(now, zone, typical)
            if evidence >= MIN_OUTCOMES:
                grades[zone] = round(grade, 3), round(evidence, 1)
        outcomes, member_outcomes = self.outliers.take_unreported(self.own_zone)
        return InstanceReport(
            quick_demand=round(self.quick_demand.rate(now), 2),
            grades=grades,
            outcomes=outcomes,
            member_outcomes=member_outcomes,
            steady_demand=round(self.steady_demand.rate(now), 2),
        )

    def _report_zone(self, now: float, own_report: InstanceReport) -> None:
        self.aggregator.take(now, self.name, own_report)
        summary = self.aggregator.summary(now)
        self._take_summary(now, summary)
        self.membership.write_register(ZONE_TOPIC + self.zone, encode_report(summary))

    def _propose_plan(self, now: float, unix_time: float) -> None:
        """The first of all by name makes the plan that follows, if one does."""
        received = {
            zone: ReceivedSummary(now - at, summary) for zone, (at, summary) in self.summaries.items()
        }
        plan = propose_plan(self.settings, self.topology, self.plan, received, unix_time)
        if plan is not None:
            self.membership.write_register(PLAN_TOPIC, encode(plan))

    # ---- requests -----------------------------------------------------------------------------

    def record_arrival(self, now: float, weight: float = 1.0) -> None:
        """Count a request that this instance has to place."""
        self.load_shedder.record_arrival(now, weight)
        self.quick_demand.add(now)
        self.steady_demand.add(now)
        self.retry_tokens = min(MAX_RETRY_TOKENS, self.retry_tokens + RETRIES_PER_REQUEST)
        self.trial_tokens = min(MAX_TRIAL_TOKENS, self.trial_tokens + TRIALS_PER_REQUEST)

    def draw_zone(self, weight: float = 1.0) -> int | None:
        """Return a zone drawn by the plan; None for work that no zone has room for: it is rejected."""
        row = self.plan.row(self.own_zone)
        placed = sum(row.values())
        if self.load_shedder.should_reject(weight, 1 - placed / WHOLE_SHARE):
            return None
        drawn = self.rng.randrange(max(1, placed))
        for zone, share in row.items():
            drawn -= share
            if drawn < 0:
                return zone
        return None

    def choose(self, now: float, tried: set[str], safe: bool, weight: float = 1.0) -> str | None:
        """Return the member that a request goes to; None for one that is rejected.

        ``tried``: members that proved that they never ran it.  ``safe``: it may run twice, so it may also
        find out whether a member is back.  ``weight``: of a response in time; where the plan has no room for
        all, those of the least weight are rejected.

        A first attempt goes by the plan.  A retry stays in the zones of the plan while a member is left
        there, then goes to the nearest others, and of these retries there are few.
        """
        if not tried:
            zone = self.draw_zone(weight)
            if zone is None:
                self.rejected_count += 1
                return None
            host = self._choose_first(now, zone, safe)
            if host is not None:
                return host
        return self._choose_in_plan(now, tried) or self._choose_elsewhere(now, tried)

    def _choose_first(self, now: float, zone: int, safe: bool) -> str | None:
        if safe and self.trial_tokens >= 1:
            host = self.outliers.next_trial(now, self.own_zone, self.own_zone_doubted)
            if host is not None:
                self.trial_tokens -= 1
                return host
        name = self.topology.zones[zone]
        self.placed[name] = self.placed.get(name, 0) + 1
        return self._least_loaded(now, zone, set())

    def _choose_in_plan(self, now: float, tried: set[str]) -> str | None:
        for zone in self._drawn_order(self.plan.row(self.own_zone)):
            host = self._least_loaded(now, zone, tried)
            if host is not None:
                return host
        return None

    def _choose_elsewhere(self, now: float, tried: set[str]) -> str | None:
        if self.retry_tokens < 1:
            return None
        row = self.plan.row(self.own_zone)
        for level in self.topology.priority_levels[self.own_zone]:
            others = [zone for zone in level if zone not in row]
            hosts = [host for zone in others if (host := self._least_loaded(now, zone, tried)) is not None]
            if hosts:
                self.retry_tokens -= 1
                return self.rng.choice(hosts)
        return None

    def _drawn_order(self, row: Mapping[int, int]) -> list[int]:
        """Return a plan's zones in an order drawn by their shares: retries must not all meet in one zone."""
        return sorted(row, key=lambda zone: -math.log(1 - self.rng.random()) / max(1, row[zone]))

    def _least_loaded(self, now: float, zone: int, tried: set[str]) -> str | None:
        hosts = [host for host in self.outliers.usable_endpoints(now, zone) if host not in tried]
        if not hosts:
            return None
        typical = self.outliers.typical_seconds()
        return min(hosts, key=lambda host: (self._cost(host, typical), self.rng.random()))

    def _cost(self, host: str, typical: float) -> float:
        return self.load(host) * self.outliers.slowness(host, typical)

    def record_outcome(
        self, now: float, host: str, good: bool, seconds: float, refused: bool = False
    ) -> None:
        """Count a request to a member that is over; ``refused``: nobody listened."""
        self.outliers.record_outcome(now, host, good, seconds, refused)

    # ---- what is shown ------------------------------------------------------------------------

    def figures(self) -> list[tuple[str, int]]:
        """Return the figures that operators are shown."""
        row = self.plan.row(self.own_zone)
        return [
            ("locality.plan", self.plan_number),
            ("locality.moves", self.plan_changes),
            ("locality.refused", self.rejected_count),
            ("locality.home_permille", row.get(self.own_zone, 0)),
            ("locality.refused_permille", self.plan.rejected_share(self.own_zone)),
            ("locality.worth_refused", round(self.load_shedder.rejected_weight)),
        ]

    def state(self, now: float) -> dict[str, object]:
        """Return what the administration API shows."""
        zones = self.topology.zones
        rows = self.plan.rows.items()
        return {
            "zone": self.zone,
            "plan": self.plan_number,
            "by": self.plan_author,
            "moves": self.plan_changes,
            "rows": {zones[o]: {zones[t]: share for t, share in row.items()} for o, row in rows},
            "trust": [
                {
                    "origin": zones[trust.origin],
                    "target": zones[trust.target],
                    "permille": trust.share,
                    "falls": trust.recent_falls,
                }
                for trust in self.plan.trust
            ],
            "grades": {zone: round(self.outliers.grade(now, n)[0], 3) for n, zone in enumerate(zones)},
            "zones": {zones[zone]: self._shown_summary(now, zone) for zone in self.summaries},
            "placed": self.placed,
            "refused": self.rejected_count,
        }

    def _shown_summary(self, now: float, zone: int) -> dict[str, object]:
        at, summary = self.summaries[zone]
        members = self.topology.members[zone]
        percents = summary.capacity_percents.items()
        return {
            "demand": summary.demand,
            "instances": summary.instances,
            "ago": round(now - at, 1),
            "odds": summary.log_odds,
            "members": {members[n]: p / 100 for n, p in percents if p < 100 and n < len(members)},
        }
