"""Load reports: each instance reports to its zone's leader, and the leader publishes a summary to the fleet.

Two thousand instances that all reported to each other would overload the fleet; nine zones that each publish
a few bytes twice a second do not.  The leader is the zone's first present member by name, so that all
instances determine the same one without an election.  While membership views differ there may be two; their
summaries are ordered by register number.
"""

from __future__ import annotations

from collections.abc import Iterable

import msgspec

from saltcart.locality.demand import credible_demand
from saltcart.locality.evidence import (
    MAX_MEMBER_OUTCOMES,
    MEMBER_HALF_LIFE,
    POOR_SUCCESS_SHARE,
    PROVEN_LOG_ODDS,
    OutcomeCounts,
    SequentialTest,
    capacity_shares,
)
from saltcart.locality.outlier_detection import EndpointOutcomes
from saltcart.locality.settings import LocalitySettings
from saltcart.membership.member_record import MemberRecord
from saltcart.schema import decode_message

MIN_EVIDENCE = 3.0  # decayed outcomes; a zone's grade that is based on fewer is left out of a summary
MAX_MEMBERS_LISTED = 40  # in a summary, which has to fit into a register
MIN_REPORTED_OUTCOMES = 0.5  # decayed outcomes; fewer are not reported


class InstanceReport(msgspec.Struct, array_like=True, frozen=True):
    """Load report of one instance to its zone's leader.

    The order of the fields is the wire format.

    Attributes:
        short_term_demand: Request rate with the short half-life, in requests per second.
        grades: By zone number, the available share of the zone's capacity and the number of decayed outcomes
            that it is based on.
        outcomes: Good and bad outcomes since the previous report, by zone number.
        member_outcomes: The same for members of the own zone by position, with the sum of their durations.
        long_term_demand: Request rate with the long half-life, in requests per second.  Instances before
            0.7 send neither this nor the outcomes.
    """

    short_term_demand: float
    grades: dict[int, tuple[float, float]]
    outcomes: dict[int, tuple[int, int]] = {}
    member_outcomes: dict[int, EndpointOutcomes] = {}
    long_term_demand: float | None = None


class ZoneSummary(msgspec.Struct, array_like=True, frozen=True):
    """Summary of the reports of a zone's instances.

    The order of the fields is the wire format.

    Attributes:
        zone: Number of the zone.
        instances: Number of instances with a fresh report.
        demand: Sum of the instances' demand, in requests per second.
        grades: Available share of each zone's capacity, as observed by this zone's instances.
        outcomes: Decayed counts of good and bad outcomes by zone number.
        log_odds: Sequential test of this zone's health.  Leaders before 0.7 do not send it, and their zones
            count as proven healthy.
        capacity_percents: Share of their capacity that members of this zone provide, by position; members
            with too few outcomes are left out, and the worst come first.
    """

    zone: int
    instances: int
    demand: float
    grades: dict[int, float]
    outcomes: dict[int, tuple[float, float]] = {}
    log_odds: float = PROVEN_LOG_ODDS
    capacity_percents: dict[int, int] = {}


_encoder = msgspec.msgpack.Encoder()
_report_decoder = msgspec.msgpack.Decoder(InstanceReport)
_summary_decoder = msgspec.msgpack.Decoder(ZoneSummary)


def encode(value: InstanceReport | ZoneSummary) -> bytes:
    """Encode a report or summary as MessagePack."""
    return _encoder.encode(value)


def read_report(data: bytes) -> InstanceReport:
    """Decode an instance's report.

    Raises:
        MalformedMessageError: The data is not a report.
    """
    return decode_message(_report_decoder, data, "report")


def read_summary(data: bytes) -> ZoneSummary:
    """Decode a zone's summary.

    Raises:
        MalformedMessageError: The data is not a summary.
    """
    return decode_message(_summary_decoder, data, "summary")


def zone_leaders(present_members: Iterable[MemberRecord]) -> dict[str, str]:
    """Return the leader's name by zone: the first member of the zone by name."""
    leaders = dict[str, str]()
    for record in present_members:
        if record.zone and (record.zone not in leaders or record.name < leaders[record.zone]):
            leaders[record.zone] = record.name
    return leaders


class LoadAggregator:
    """Aggregates the reports of a zone's instances; used by the zone's leader."""

    def __init__(self, zone: int, member_count: int, settings: LocalitySettings) -> None:
        """Start without reports.

        Args:
            zone: Number of the own zone.
            member_count: Number of upstream members in the own zone.
            settings: Settings of zone-aware routing.
        """
        self.zone = zone
        self.member_count = member_count
        self.settings = settings
        self.reports: dict[str, tuple[float, InstanceReport]] = {}  # time received and report, by instance
        self.zone_outcomes: dict[int, OutcomeCounts] = {}
        self.member_outcomes: dict[int, OutcomeCounts] = {}
        self.health_test = SequentialTest()

    def add_report(self, now: float, name: str, report: InstanceReport) -> None:
        """Store an instance's report in place of its previous one, and count the outcomes."""
        self.reports[name] = now, report
        for zone, (good, bad) in report.outcomes.items():
            self.zone_outcomes.setdefault(zone, OutcomeCounts()).add(now, good, bad)
            if zone == self.zone:
                self.health_test.add(good, bad)
        for position, (good, bad, seconds) in report.member_outcomes.items():
            if 0 <= position < self.member_count:
                counts = self.member_outcomes.get(position)
                if counts is None:
                    counts = OutcomeCounts(MEMBER_HALF_LIFE, MAX_MEMBER_OUTCOMES)
                    self.member_outcomes[position] = counts
                counts.add(now, good, bad, seconds)

    def summary(self, now: float) -> ZoneSummary:
        """Return the summary of the reports that are not stale.

        The own zone's grade is derived from its members' outcomes at all instances together: instances
        that each observe too few outcomes to judge a member observe enough together, and detect its recovery
        long before any of them would alone.
        """
        stale = self.settings.stale
        self.reports = {
            name: (received_at, report)
            for name, (received_at, report) in self.reports.items()
            if now - received_at <= stale
        }
        for counts in (*self.zone_outcomes.values(), *self.member_outcomes.values()):
            counts.decay(now)
        grades = self._grades()
        shares = capacity_shares(self.member_outcomes, self.settings.slower, POOR_SUCCESS_SHARE)
        if shares:
            unjudged = grades.get(self.zone, 1.0) * (self.member_count - len(shares))
            grades[self.zone] = round((sum(shares.values()) + unjudged) / self.member_count, 3)
        worst_first = sorted(shares.items(), key=lambda item: item[1])[:MAX_MEMBERS_LISTED]
        return ZoneSummary(
            zone=self.zone,
            instances=len(self.reports),
            demand=round(self._demand(), 2),
            grades=grades,
            outcomes=self._outcomes(),
            log_odds=round(self.health_test.log_odds, 1),
            capacity_percents={position: round(100 * share) for position, share in worst_first},
        )

    def _demand(self) -> float:
        short_term = long_term = 0.0
        for _, report in self.reports.values():
            short_term += report.short_term_demand
            long_term += (
                report.short_term_demand if report.long_term_demand is None else report.long_term_demand
            )
        return credible_demand(short_term, long_term)

    def _grades(self) -> dict[int, float]:
        """Return each zone's grade: the mean over the instances, weighted by their evidence."""
        sums: dict[int, tuple[float, float]] = {}
        for _, report in self.reports.values():
            for zone, (grade, evidence) in report.grades.items():
                total, weight = sums.get(zone, (0.0, 0.0))
                sums[zone] = total + grade * evidence, weight + evidence
        return {
            zone: round(total / weight, 3) for zone, (total, weight) in sums.items() if weight >= MIN_EVIDENCE
        }

    def _outcomes(self) -> dict[int, tuple[float, float]]:
        return {
            zone: (round(counts.good, 1), round(counts.bad, 1))
            for zone, counts in sorted(self.zone_outcomes.items())
            if counts.good + counts.bad >= MIN_REPORTED_OUTCOMES
        }
