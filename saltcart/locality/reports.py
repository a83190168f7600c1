"""What instances tell each other: each reports to its zone's speaker, the speaker the zone's sum to all.

Two thousand instances that all told all would drown the fleet; nine zones that each say a few bytes twice a
second do not.  The speaker is the first of its zone by name among those present, so everybody finds the same
one without asking; while views differ there may be two, whose posts are ordered by their numbers.
"""

from __future__ import annotations

from collections.abc import Iterable

import msgspec

from saltcart.member.record import Record
from saltcart.wire.errors import Malformed

EVIDENCE = 3.0  # ends of late below which an instance's grade of a zone is no word on it


class Report(msgspec.Struct, array_like=True, frozen=True):
    """One instance's: ``demand`` in requests a second; grade and evidence by zone number."""

    demand: float
    grades: dict[int, tuple[float, float]]


class Summary(msgspec.Struct, array_like=True, frozen=True):
    """One zone's: the sum of its instances' demand, and how they find each zone that they know of."""

    zone: int
    instances: int
    demand: float
    grades: dict[int, float]


_encoder = msgspec.msgpack.Encoder()
_reports, _summaries = msgspec.msgpack.Decoder(Report), msgspec.msgpack.Decoder(Summary)


def encode(value: Report | Summary) -> bytes:
    return _encoder.encode(value)


def read_report(data: bytes) -> Report:
    try:
        return _reports.decode(data)
    except msgspec.MsgspecError as error:
        raise Malformed(f"not a report: {error}") from None


def read_summary(data: bytes) -> Summary:
    try:
        return _summaries.decode(data)
    except msgspec.MsgspecError as error:
        raise Malformed(f"not a summary: {error}") from None


def firsts(present: Iterable[Record]) -> dict[str, str]:
    """Who speaks for each zone: its first member by name."""
    out = dict[str, str]()
    for r in present:
        if r.zone and (r.zone not in out or r.name < out[r.zone]):
            out[r.zone] = r.name
    return out


class Collector:
    """A speaker's table of its zone's reports."""

    def __init__(self, zone: int, stale: float) -> None:
        self.zone, self.stale = zone, stale
        self.reports: dict[str, tuple[float, Report]] = {}

    def take(self, now: float, name: str, report: Report) -> None:
        self.reports[name] = now, report

    def summary(self, now: float) -> Summary:
        """The sum of what is fresh; a zone's grade is the mean of those who know of it, by their evidence."""
        self.reports = {n: (at, r) for n, (at, r) in self.reports.items() if now - at <= self.stale}
        sums: dict[int, tuple[float, float]] = {}
        demand = 0.0
        for _, report in self.reports.values():
            demand += report.demand
            for zone, (grade, evidence) in report.grades.items():
                total, weight = sums.get(zone, (0.0, 0.0))
                sums[zone] = total + grade * evidence, weight + evidence
        grades = {zone: round(total / weight, 3) for zone, (total, weight) in sums.items()
                  if weight >= EVIDENCE}
        return Summary(self.zone, len(self.reports), round(demand, 2), grades)
