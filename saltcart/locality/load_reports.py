"""What instances report: each to its zone's leader, the leader the zone's sum to all.

Two thousand instances that all reported to all would drown the fleet; nine zones that each send a few bytes
twice a second do not.  The leader is the first of its zone by name among those present, so everybody finds
the same one without asking; while views differ there may be two, whose values are ordered by their numbers.
"""

from __future__ import annotations

from collections.abc import Iterable

import msgspec

from saltcart.locality.demand import credible_demand
from saltcart.locality.evidence import (
    MAX_MEMBER_OUTCOMES,
    MEMBER_HALF_LIFE,
    POOR_SHARE,
    PROVEN_LOG_ODDS,
    OutcomeCounts,
    SequentialTest,
    capacity_shares,
)
from saltcart.locality.outlier_detection import EndpointOutcomes
from saltcart.locality.settings import LocalitySettings
from saltcart.membership.member_record import MemberRecord
from saltcart.schema import unpack

MIN_EVIDENCE = 3.0  # outcomes of late below which an instance's grade of a zone is no word on it
MAX_MEMBERS_NAMED = 40  # by a summary, for it must fit a register
MIN_OUTCOMES = 0.5  # below which nothing is reported


class InstanceReport(msgspec.Struct, array_like=True, frozen=True):
    """One instance's report; its fields go by their order on the wire.

    It holds two rates of demand in requests a second and, by zone number, its grade with the evidence.  Then
    the outcomes since its report before: good and bad ones by zone, and by the own zone's members, numbered,
    with their seconds.
    """

    quick_demand: float
    grades: dict[int, tuple[float, float]]
    outcomes: dict[int, tuple[int, int]] = {}
    member_outcomes: dict[int, EndpointOutcomes] = {}
    steady_demand: float | None = None  # instances before 0.7 report none, and nothing from the outcomes on


class ZoneSummary(msgspec.Struct, array_like=True, frozen=True):
    """The sum of a zone's instances' reports; its fields go by their order on the wire.

    ``grades``: how they find each zone that they know of.  ``outcomes``: good and bad ones of late, of all
    its instances.  ``log_odds``: the test of the own zone's health.  ``capacity_percents``: that members of
    the own zone have, as far as they are known, the worst first.
    """

    zone: int
    instances: int
    demand: float
    grades: dict[int, float]
    outcomes: dict[int, tuple[float, float]] = {}
    log_odds: float = PROVEN_LOG_ODDS  # what a leader before 0.7 does not report, is not asked for
    capacity_percents: dict[int, int] = {}


_encoder = msgspec.msgpack.Encoder()
_report_decoder = msgspec.msgpack.Decoder(InstanceReport)
_summary_decoder = msgspec.msgpack.Decoder(ZoneSummary)


def encode(value: InstanceReport | ZoneSummary) -> bytes:
    """Return a report's bytes."""
    return _encoder.encode(value)


def read_report(data: bytes) -> InstanceReport:
    """Read an instance's report; ``MalformedMessageError`` for what is none."""
    return unpack(_report_decoder, data, "report")


def read_summary(data: bytes) -> ZoneSummary:
    """Read a zone's summary; ``MalformedMessageError`` for what is none."""
    return unpack(_summary_decoder, data, "summary")


def zone_leaders(present: Iterable[MemberRecord]) -> dict[str, str]:
    """Return the leader of each zone: its first member by name."""
    leaders = dict[str, str]()
    for record in present:
        if record.zone and (record.zone not in leaders or record.name < leaders[record.zone]):
            leaders[record.zone] = record.name
    return leaders


class LoadAggregator:
    """A leader's table of its zone's reports."""

    def __init__(self, zone: int, member_count: int, settings: LocalitySettings) -> None:
        """``member_count``: how many the own zone has."""
        self.zone = zone
        self.member_count = member_count
        self.settings = settings
        self.reports: dict[str, tuple[float, InstanceReport]] = {}  # by instance, with the time
        self.zone_outcomes: dict[int, OutcomeCounts] = {}
        self.member_outcomes: dict[int, OutcomeCounts] = {}
        self.health_test = SequentialTest()

    def take(self, now: float, name: str, report: InstanceReport) -> None:
        """Take an instance's report."""
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
        """Return the sum of the fresh reports.

        The own zone has what its members have by all outcomes together: many instances that each see too
        little of a member to judge it see enough of it in all, and long before each has found by itself that
        it is back.
        """
        stale = self.settings.stale
        self.reports = {name: (at, r) for name, (at, r) in self.reports.items() if now - at <= stale}
        for counts in (*self.zone_outcomes.values(), *self.member_outcomes.values()):
            counts.fade(now)
        grades = self._grades()
        shares = capacity_shares(self.member_outcomes, self.settings.slower, POOR_SHARE)
        if shares:
            unknown = grades.get(self.zone, 1.0) * (self.member_count - len(shares))
            grades[self.zone] = round((sum(shares.values()) + unknown) / self.member_count, 3)
        worst_first = sorted(shares.items(), key=lambda item: item[1])[:MAX_MEMBERS_NAMED]
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
        quick = steady = 0.0
        for _, report in self.reports.values():
            quick += report.quick_demand
            steady += report.quick_demand if report.steady_demand is None else report.steady_demand
        return credible_demand(quick, steady)

    def _grades(self) -> dict[int, float]:
        """Return a grade of each zone: the mean of those who know of it, by their evidence."""
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
            if counts.good + counts.bad >= MIN_OUTCOMES
        }
