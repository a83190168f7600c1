"""One instance's zone-aware routing: observes members, reports load, holds the plan and routes requests.

It does no I/O: its caller passes in outcomes, reports, register changes and the time, and it sends messages
through the ``ZoneMembership`` port.
"""

from __future__ import annotations

import math
import random
from collections.abc import Callable, Mapping
from typing import Protocol

from saltcart.locality.demand import LONG_TERM_HALF_LIFE, SHORT_TERM_HALF_LIFE, DemandEstimator
from saltcart.locality.failover_plan import FailoverPlan, encode, read_plan
from saltcart.locality.load_reports import (
    MIN_REPORTED_OUTCOMES,
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
REPORT_JITTER = 0.2  # share of the report interval
# Budget of retries in zones outside the plan.  Without it, the retries of all instances would overload them.
RETRIES_PER_REQUEST = 0.25
MAX_RETRY_TOKENS = 50.0
TRIALS_PER_REQUEST = 0.1  # trial requests to members that get no others
MAX_TRIAL_TOKENS = 1.0


class ZoneMembership(Protocol):
    """Port to the fleet's membership, as far as zone-aware routing needs it."""

    def zone_leaders(self) -> Mapping[str, str]:
        """Return the leader's name by zone."""

    def write_register(self, topic: str, data: bytes) -> None:
        """Write a register that all instances share."""

    def send_direct(self, name: str, topic: str, data: bytes) -> None:
        """Send a message to a single instance."""


class ZoneRouter:
    """Routes requests to members of zones by the plan that all instances share.

    It starts with an empty plan, by which every zone keeps its requests.

    Args:
        settings: Settings of zone-aware routing.
        topology: The zones and their members.
        name: Name of this instance.
        zone: Zone of this instance.
        rng: Source of random numbers.
        membership: Port to the fleet's membership.
        load: Returns a member's requests in flight, divided by its weight.
        now: Monotonic time in seconds.
    """

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
        self.short_term_demand = DemandEstimator(SHORT_TERM_HALF_LIFE)
        self.long_term_demand = DemandEstimator(LONG_TERM_HALF_LIFE)
        self.aggregator = LoadAggregator(self.own_zone, len(topology.members[self.own_zone]), settings)
        self.summaries: dict[int, tuple[float, ZoneSummary]] = {}  # time received and summary, by zone
        self.plan = FailoverPlan()
        self.plan_number = 0
        self.plan_author = ""
        self.own_zone_degraded = False  # the own zone is not fully trusted
        self.next_report_at = now + settings.report_every * rng.random()
        self.retry_tokens = MAX_RETRY_TOKENS
        self.trial_tokens = MAX_TRIAL_TOKENS
        self.placed: dict[str, int] = {}  # first attempts by zone
        self.rejected_count = 0
        self.plan_changes = 0
        self.on_plan_changed: Callable[[FailoverPlan, int, str], None] = lambda plan, number, author: None

    # ---- messages from other instances --------------------------------------------------------

    def on_direct_message(self, now: float, sender: MemberRecord, topic: str, data: bytes) -> None:
        """Process a load report of an instance of the own zone.

        Raises:
            MalformedMessageError: The data is not a report.
        """
        if topic == REPORT_TOPIC and sender.zone == self.zone:
            self.aggregator.add_report(now, sender.name, read_report(data))

    def on_register_changed(self, now: float, topic: str, number: int, author: str, data: bytes) -> None:
        """Process a newer plan or zone summary.

        Raises:
            MalformedMessageError: The data is not of the topic's type.
        """
        if topic == PLAN_TOPIC:
            plan = read_plan(data, len(self.topology.zones))
            if (number, author) > (self.plan_number, self.plan_author):
                self._adopt_plan(plan, number, author)
        elif topic.startswith(ZONE_TOPIC):
            summary = read_summary(data)
            if self.topology.zone_numbers.get(topic.removeprefix(ZONE_TOPIC)) == summary.zone:
                self._store_summary(now, summary)

    def _adopt_plan(self, plan: FailoverPlan, number: int, author: str) -> None:
        self.plan_changes += plan.rows != self.plan.rows
        self.plan = plan
        self.plan_number = number
        self.plan_author = author
        self.own_zone_degraded = any(
            trust.origin == trust.target == self.own_zone and trust.share < WHOLE_SHARE
            for trust in plan.trust
        )
        self.on_plan_changed(plan, number, author)

    def _store_summary(self, now: float, summary: ZoneSummary) -> None:
        self.summaries[summary.zone] = now, summary
        self.outliers.apply_capacity_percents(now, summary.zone, summary.capacity_percents)

    # ---- messages to other instances ----------------------------------------------------------

    def tick(self, now: float, unix_time: float) -> None:
        """Send the messages that are due: the report to the zone's leader, or the leader's summary and plan.

        Args:
            now: Monotonic time in seconds.
            unix_time: Unix time in seconds, which is comparable between instances; used in plans.
        """
        if now < self.next_report_at:
            return
        jitter = 1 - REPORT_JITTER / 2 + REPORT_JITTER * self.rng.random()
        self.next_report_at = now + self.settings.report_every * jitter
        report = self._report(now)
        leaders = self.membership.zone_leaders().items()
        leaders_by_zone = {zone: name for zone, name in leaders if zone in self.topology.zone_numbers}
        leader = leaders_by_zone.get(self.zone)
        if leader == self.name:
            self._publish_summary(now, report)
            if self.name == min(leaders_by_zone.values()):
                self._propose_plan(now, unix_time)
        elif leader is not None:
            self.membership.send_direct(leader, REPORT_TOPIC, encode_report(report))

    def _report(self, now: float) -> InstanceReport:
        typical_duration = self.outliers.typical_seconds()
        grades = {}
        for zone in range(len(self.topology.zones)):
            grade, evidence = self.outliers.grade(now, zone, typical_duration)
            if evidence >= MIN_REPORTED_OUTCOMES:
                grades[zone] = round(grade, 3), round(evidence, 1)
        outcomes, member_outcomes = self.outliers.pop_unreported(self.own_zone)
        return InstanceReport(
            short_term_demand=round(self.short_term_demand.rate(now), 2),
            grades=grades,
            outcomes=outcomes,
            member_outcomes=member_outcomes,
            long_term_demand=round(self.long_term_demand.rate(now), 2),
        )

    def _publish_summary(self, now: float, own_report: InstanceReport) -> None:
        self.aggregator.add_report(now, self.name, own_report)
        summary = self.aggregator.summary(now)
        self._store_summary(now, summary)
        self.membership.write_register(ZONE_TOPIC + self.zone, encode_report(summary))

    def _propose_plan(self, now: float, unix_time: float) -> None:
        """Write the next plan, if it changes; called for the first of the zones' leaders by name."""
        summaries = {
            zone: ReceivedSummary(now - received_at, summary)
            for zone, (received_at, summary) in self.summaries.items()
        }
        plan = propose_plan(self.settings, self.topology, self.plan, summaries, unix_time)
        if plan is not None:
            self.membership.write_register(PLAN_TOPIC, encode(plan))

    # ---- requests -----------------------------------------------------------------------------

    def record_arrival(self, now: float, weight: float = 1.0) -> None:
        """Count a request that this instance has to route."""
        self.load_shedder.record_arrival(now, weight)
        self.short_term_demand.add(now)
        self.long_term_demand.add(now)
        self.retry_tokens = min(MAX_RETRY_TOKENS, self.retry_tokens + RETRIES_PER_REQUEST)
        self.trial_tokens = min(MAX_TRIAL_TOKENS, self.trial_tokens + TRIALS_PER_REQUEST)

    def draw_zone(self, weight: float = 1.0) -> int | None:
        """Return a zone drawn at random by the plan's shares; None to reject the request."""
        row = self.plan.row(self.own_zone)
        planned_share = sum(row.values())
        if self.load_shedder.should_reject(weight, 1 - planned_share / WHOLE_SHARE):
            return None
        drawn = self.rng.randrange(max(1, planned_share))
        for zone, share in row.items():
            drawn -= share
            if drawn < 0:
                return zone
        return None

    def choose(
        self, now: float, attempted_hosts: set[str], is_idempotent: bool, weight: float = 1.0
    ) -> str | None:
        """Return the member that an attempt goes to; None to reject the request.

        A first attempt follows the plan.  A retry stays in the plan's zones while they have an
        unattempted member, and then goes to the nearest other zones within the retry budget.

        Args:
            now: Monotonic time in seconds.
            attempted_hosts: Members that were attempted and proved not to have run the request.
            is_idempotent: Whether the request may run twice, so that it may serve as a trial request.
            weight: Priority weight; when the plan rejects a share of the requests, the lowest go first.
        """
        if not attempted_hosts:
            zone = self.draw_zone(weight)
            if zone is None:
                self.rejected_count += 1
                return None
            host = self._choose_first(now, zone, is_idempotent)
            if host is not None:
                return host
        return self._choose_in_plan(now, attempted_hosts) or self._choose_outside_plan(now, attempted_hosts)

    def _choose_first(self, now: float, zone: int, is_idempotent: bool) -> str | None:
        if is_idempotent and self.trial_tokens >= 1:
            host = self.outliers.next_trial(now, self.own_zone, self.own_zone_degraded)
            if host is not None:
                self.trial_tokens -= 1
                return host
        name = self.topology.zones[zone]
        self.placed[name] = self.placed.get(name, 0) + 1
        return self._least_loaded(now, zone, set())

    def _choose_in_plan(self, now: float, attempted_hosts: set[str]) -> str | None:
        for zone in self._random_order(self.plan.row(self.own_zone)):
            host = self._least_loaded(now, zone, attempted_hosts)
            if host is not None:
                return host
        return None

    def _choose_outside_plan(self, now: float, attempted_hosts: set[str]) -> str | None:
        if self.retry_tokens < 1:
            return None
        row = self.plan.row(self.own_zone)
        for level in self.topology.priority_levels[self.own_zone]:
            others = [zone for zone in level if zone not in row]
            hosts = [
                host
                for zone in others
                if (host := self._least_loaded(now, zone, attempted_hosts)) is not None
            ]
            if hosts:
                self.retry_tokens -= 1
                return self.rng.choice(hosts)
        return None

    def _random_order(self, row: Mapping[int, int]) -> list[int]:
        """Return a row's zones in random order, weighted by share, so that retries spread over the zones."""
        return sorted(row, key=lambda zone: -math.log(1 - self.rng.random()) / max(1, row[zone]))

    def _least_loaded(self, now: float, zone: int, attempted_hosts: set[str]) -> str | None:
        hosts = [host for host in self.outliers.usable_endpoints(now, zone) if host not in attempted_hosts]
        if not hosts:
            return None
        typical_duration = self.outliers.typical_seconds()
        return min(hosts, key=lambda host: (self._cost(host, typical_duration), self.rng.random()))

    def _cost(self, host: str, typical_duration: float) -> float:
        return self.load(host) * self.outliers.slowness(host, typical_duration)

    def record_outcome(
        self, now: float, host: str, is_success: bool, seconds: float, connection_refused: bool = False
    ) -> None:
        """Count the outcome of an attempt at a member; see ``OutlierDetector.record_outcome``."""
        self.outliers.record_outcome(now, host, is_success, seconds, connection_refused)

    # ---- metrics and administration API -------------------------------------------------------

    def metrics(self) -> list[tuple[str, int]]:
        """Return the metrics."""
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
        """Return the state that the administration API shows."""
        zones = self.topology.zones
        rows = self.plan.rows.items()
        return {
            "zone": self.zone,
            "plan": self.plan_number,
            "by": self.plan_author,
            "moves": self.plan_changes,
            "rows": {
                zones[origin]: {zones[target]: share for target, share in row.items()} for origin, row in rows
            },
            "trust": [
                {
                    "origin": zones[trust.origin],
                    "target": zones[trust.target],
                    "permille": trust.share,
                    "falls": trust.recent_falls,
                }
                for trust in self.plan.trust
            ],
            "grades": {
                zone: round(self.outliers.grade(now, number)[0], 3) for number, zone in enumerate(zones)
            },
            "zones": {zones[zone]: self._summary_state(now, zone) for zone in self.summaries},
            "placed": self.placed,
            "refused": self.rejected_count,
        }

    def _summary_state(self, now: float, zone: int) -> dict[str, object]:
        received_at, summary = self.summaries[zone]
        members = self.topology.members[zone]
        percents = summary.capacity_percents.items()
        return {
            "demand": summary.demand,
            "instances": summary.instances,
            "ago": round(now - received_at, 1),
            "odds": summary.log_odds,
            "members": {
                members[position]: percent / 100
                for position, percent in percents
                if percent < 100 and position < len(members)
            },
        }
