"""What instances tell each other: each reports to its zone's speaker, the speaker the zone's sum to all.

Two thousand instances that all told all would drown the fleet; nine zones that each say a few bytes twice a
second do not.  The speaker is the first of its zone by name among those present, so everybody finds the same
one without asking; while views differ there may be two, whose posts are ordered by their numbers.
"""

from __future__ import annotations

from collections.abc import Iterable

import msgspec

from saltcart.locality.demand import believed
from saltcart.locality.evidence import MEMBER_FADE, MEMBER_LAST, POOR, PROVEN, Proof, Tally, parts
from saltcart.locality.outliers import Ends
from saltcart.locality.settings import LocalitySettings
from saltcart.membership.member_record import MemberRecord
from saltcart.schema import unpack

EVIDENCE = 3.0  # ends of late below which an instance's grade of a zone is no word on it
MOST_PARTS = 40  # members that a sum names, for it must fit a post
TRACE = 0.5  # of an end, below which nothing is said of it


class Report(msgspec.Struct, array_like=True, frozen=True):
    """One instance's report.

    It holds two rates of demand in requests a second and, by zone number, its grade with the evidence.  What
    ended since its report before: good and bad ones by zone, and by the own zone's members, numbered, with
    their seconds.
    """

    quick: float
    grades: dict[int, tuple[float, float]]
    ends: dict[int, tuple[int, int]] = {}
    members: dict[int, Ends] = {}
    steady: float | None = None  # instances before 0.7 tell none, and nothing from the ends on


class Summary(msgspec.Struct, array_like=True, frozen=True):
    """One zone's: the sum of its instances' demand, and how they find each zone that they know of.

    ``ends``: good and bad ones of late, of all its instances.  ``odds``: the test of the own zone's health.
    ``parts``: of their capacity, that members of the own zone have, as far as they are known, the worst
    first.
    """

    zone: int
    instances: int
    demand: float
    grades: dict[int, float]
    ends: dict[int, tuple[float, float]] = {}
    odds: float = PROVEN  # what a speaker before 0.7 does not tell, is not asked for
    parts: dict[int, int] = {}


_encoder = msgspec.msgpack.Encoder()
_reports, _summaries = msgspec.msgpack.Decoder(Report), msgspec.msgpack.Decoder(Summary)


def encode(value: Report | Summary) -> bytes:
    return _encoder.encode(value)


def read_report(data: bytes) -> Report:
    return unpack(_reports, data, "report")


def read_summary(data: bytes) -> Summary:
    return unpack(_summaries, data, "summary")


def firsts(present: Iterable[MemberRecord]) -> dict[str, str]:
    """Who speaks for each zone: its first member by name."""
    out = dict[str, str]()
    for r in present:
        if r.zone and (r.zone not in out or r.name < out[r.zone]):
            out[r.zone] = r.name
    return out


class Collector:
    """A speaker's table of its zone's reports; ``members``: how many the own zone has."""

    def __init__(self, zone: int, members: int, conf: LocalitySettings) -> None:
        self.zone, self.members, self.conf = zone, members, conf
        self.reports: dict[str, tuple[float, Report]] = {}
        self.tallies: dict[int, Tally] = {}
        self.by_member: dict[int, Tally] = {}
        self.proof = Proof()

    def take(self, now: float, name: str, report: Report) -> None:
        self.reports[name] = now, report
        for zone, (good, bad) in report.ends.items():
            self.tallies.setdefault(zone, Tally()).add(now, good, bad)
            if zone == self.zone:
                self.proof.add(good, bad)
        for place, (good, bad, took) in report.members.items():
            if 0 <= place < self.members:
                self.by_member.setdefault(place, Tally(MEMBER_FADE, MEMBER_LAST)).add(now, good, bad, took)

    def summary(self, now: float) -> Summary:
        """The sum of what is fresh; a zone's grade is the mean of those who know of it, by their evidence.

        The own zone has what its members have by all ends together: many instances that each see too little
        of a member to judge it see enough of it in all, and long before each has found by itself that it is
        back.
        """
        self.reports = {n: (at, r) for n, (at, r) in self.reports.items() if now - at <= self.conf.stale}
        sums: dict[int, tuple[float, float]] = {}
        quick = steady = 0.0
        for _, report in self.reports.values():
            quick += report.quick
            steady += report.quick if report.steady is None else report.steady
            for zone, (grade, evidence) in report.grades.items():
                total, weight = sums.get(zone, (0.0, 0.0))
                sums[zone] = total + grade * evidence, weight + evidence
        grades = {
            zone: round(total / weight, 3) for zone, (total, weight) in sums.items() if weight >= EVIDENCE
        }
        for tally in (*self.tallies.values(), *self.by_member.values()):
            tally.fade(now)
        ends = {
            zone: (round(t.good, 1), round(t.bad, 1))
            for zone, t in sorted(self.tallies.items())
            if t.good + t.bad >= TRACE
        }
        found = parts(self.by_member, self.conf.slower, POOR)
        if found:
            rest = grades.get(self.zone, 1.0) * (self.members - len(found))
            grades[self.zone] = round((sum(found.values()) + rest) / self.members, 3)
        told = sorted(found.items(), key=lambda item: item[1])[:MOST_PARTS]
        return Summary(
            self.zone,
            len(self.reports),
            round(believed(quick, steady), 2),
            grades,
            ends,
            round(self.proof.odds, 1),
            {place: round(100 * part) for place, part in told},
        )
