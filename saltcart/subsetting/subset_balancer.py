"""One instance's part in choices that must add up: its class, its share of the limit, and its moments.

The first instance by name follows the two tables, of members and of instances, and writes the buckets that
change.  Within a class each reports to the first of it by name what it is asked for, and that one writes the
sum.
"""

from __future__ import annotations

import random
from collections import Counter
from collections.abc import Callable, Mapping, Sequence
from typing import Protocol

import msgspec

from saltcart.locality.demand import SHORT_TERM_HALF_LIFE, DemandEstimator
from saltcart.membership.member_record import MemberRecord
from saltcart.schema import unpack
from saltcart.subsetting.settings import FleetSettings
from saltcart.subsetting.shared_rate_limit import SharedRateLimit
from saltcart.subsetting.staggering import StaggeredBackoff, next_staggered, position_of
from saltcart.subsetting.subset_assignment import (
    BUCKETS,
    bucket_of,
    encode_bucket,
    next_assignment,
    read_bucket,
    rendezvous_class,
    short_digest,
)

MEMBERS_TOPIC = "fleet/members/"
INSTANCES_TOPIC = "fleet/instances/"
DEMAND_TOPIC = "fleet/sum/"
REPORT_TOPIC = "fleet/report"
# Seconds until a member that refused is tried again.
FIRST_BACKOFF = 0.5
MAX_BACKOFF = 8.0
SETTLE_SECONDS = 1.0  # for which those present must not have changed before the tables follow them


class SubsetDemand(msgspec.Struct, array_like=True, frozen=True):
    """What a class is asked for, in requests a second, by so many of its instances.

    ``loads``: requests under way at each member, by its position among the sorted members, over all of them.
    The fields go by their order on the wire.
    """

    demand: float
    clients: int
    loads: dict[int, int] = {}


class InstanceLoadReport(msgspec.Struct, array_like=True, frozen=True):
    """What one instance is asked for, and what it has under way at each member, in the order of the wire."""

    demand: float
    loads: dict[int, int] = {}


class SubsetMembership(Protocol):
    """Membership, as far as it is needed here."""

    def present(self) -> Sequence[str]:
        """Return the names of those present, sorted."""

    def write_register(self, topic: str, data: bytes) -> None:
        """Write a register that all instances share."""

    def send_direct(self, name: str, topic: str, data: bytes) -> None:
        """Send something to one instance alone."""


_encoder = msgspec.msgpack.Encoder()
_demand_decoder = msgspec.msgpack.Decoder(SubsetDemand)
_report_decoder = msgspec.msgpack.Decoder(InstanceLoadReport)


class SubsetBalancer:
    """Spreads requests over the members of this instance's class."""

    def __init__(
        self,
        settings: FleetSettings,
        members: Mapping[str, float],
        name: str,
        rng: random.Random,
        membership: SubsetMembership,
        load: Callable[[str], float],
        now: float,
    ) -> None:
        """``members``: the upstream's hosts and what each can do, requests a second; 0 for no limit.

        ``load``: requests under way at a member, and one more.
        """
        self.settings = settings
        self.members = members
        self.name = name
        self.rng = rng
        self.membership = membership
        self.load = load
        self.class_count = min(settings.classes, max(1, len(members)))
        # Classes by bucket and short digest.
        self.tables: dict[str, dict[int, dict[int, int]]] = {MEMBERS_TOPIC: {}, INSTANCES_TOPIC: {}}
        self.subset_demands: dict[int, tuple[float, SubsetDemand]] = {}  # by class, with the time
        self.reports: dict[str, tuple[float, InstanceLoadReport]] = {}  # by instance, with the time
        self.positions = {host: position for position, host in enumerate(sorted(members))}
        self.subset_loads: dict[int, int] = {}  # what the class has under way, as it was reported last
        self.backoffs: dict[str, StaggeredBackoff] = {}  # of members that refused
        self.resting_until: dict[str, float] = {}
        self.demand = DemandEstimator(SHORT_TERM_HALF_LIFE)
        self.reported_demand = 0.0
        self.present: tuple[str, ...] = ()
        self.present_since = now
        self.next_report_at = now + settings.report_every * rng.random()
        self.rate_limit = SharedRateLimit(self._limit())
        self.rejected_count = 0
        self.reconnected_count = 0
        self.subset = self._subset()

    # ---- the tables ---------------------------------------------------------------------------

    def class_of(self, topic: str, name: str) -> int:
        """Return a name's class by the table, or by the name alone where it is not there yet."""
        found = self.tables[topic].get(bucket_of(name), {}).get(short_digest(name))
        if found is None or found >= self.class_count:
            return rendezvous_class(name, self.class_count)
        return found

    @property
    def own_class(self) -> int:
        """This instance's class."""
        return self.class_of(INSTANCES_TOPIC, self.name)

    def _subset(self) -> tuple[str, ...]:
        own_class = self.own_class
        own = tuple(host for host in self.members if self.class_of(MEMBERS_TOPIC, host) == own_class)
        return own or tuple(self.members)

    def _limit(self) -> float:
        return sum(self.members[host] for host in self._subset())

    def on_register_changed(self, now: float, topic: str, data: bytes) -> None:
        """Take a bucket or a demand; ``MalformedMessageError`` for what is none."""
        for table_topic in (MEMBERS_TOPIC, INSTANCES_TOPIC):
            bucket = _number_in(topic, table_topic)
            if bucket is not None and bucket < BUCKETS:
                self.tables[table_topic][bucket] = read_bucket(data, self.class_count)
                self._update_subset()
        class_number = _number_in(topic, DEMAND_TOPIC)
        if class_number is not None:
            self.subset_demands[class_number] = now, unpack(_demand_decoder, data, "sum")
            self._confirm_rate(now)

    def _update_subset(self) -> None:
        subset = self._subset()
        if subset == self.subset:
            return
        self.reconnected_count += len(set(subset) - set(self.subset))
        self.subset = subset
        self.rate_limit.limit = self._limit()

    def _follow(self, topic: str, names: Sequence[str]) -> None:
        """Write the buckets of a table that change."""
        table = self.tables[topic]
        listed = [name for name in names if short_digest(name) in table.get(bucket_of(name), {})]
        assigned = {name: self.class_of(topic, name) for name in listed}
        following = next_assignment(assigned, names, self.class_count)
        for bucket in range(BUCKETS):
            data = encode_bucket(following, bucket)
            if read_bucket(data, self.class_count) != table.get(bucket, {}):
                self.membership.write_register(f"{topic}{bucket}", data)

    # ---- reports ------------------------------------------------------------------------------

    def on_direct_message(self, now: float, sender: MemberRecord, topic: str, data: bytes) -> None:
        """Take a report; ``MalformedMessageError`` for one that is none."""
        if topic == REPORT_TOPIC:
            self.reports[sender.name] = now, unpack(_report_decoder, data, "report")

    def tick(self, now: float) -> None:
        """Report what is due, at this instance's own moment."""
        if now < self.next_report_at:
            return
        present = self.membership.present()
        position = position_of(self.name, present)
        self.next_report_at = next_staggered(now, self.settings.report_every, position)
        self._note_present(now, present)
        if present and present[0] == self.name and now - self.present_since >= SETTLE_SECONDS:
            self._follow(MEMBERS_TOPIC, sorted(self.members))
            self._follow(INSTANCES_TOPIC, present)
        own_class = self.own_class
        self.reported_demand = round(self.demand.rate(now), 3)
        report = InstanceLoadReport(self.reported_demand, self._own_loads())
        peers = [name for name in present if self.class_of(INSTANCES_TOPIC, name) == own_class]
        if peers and peers[0] != self.name:
            self.membership.send_direct(peers[0], REPORT_TOPIC, _encoder.encode(report))
            return
        self.reports[self.name] = now, report
        self._write_demand(now, own_class)

    def _note_present(self, now: float, present: Sequence[str]) -> None:
        if tuple(present) != self.present:
            self.present = tuple(present)
            self.present_since = now

    def _own_loads(self) -> dict[int, int]:
        under_way = {self.positions[host]: self.under_way(host) for host in self.subset}
        return {position: count for position, count in under_way.items() if count}

    def _write_demand(self, now: float, own_class: int) -> None:
        """Write what the class is asked for, as its first instance."""
        self.reports = {
            name: (at, report)
            for name, (at, report) in self.reports.items()
            if now - at <= self.settings.stale and self.class_of(INSTANCES_TOPIC, name) == own_class
        }
        loads = Counter[int]()
        for _, report in self.reports.values():
            loads.update(report.loads)
        demand = round(sum(report.demand for _, report in self.reports.values()), 3)
        total = SubsetDemand(demand, len(self.reports), dict(loads))
        self.membership.write_register(f"{DEMAND_TOPIC}{own_class}", _encoder.encode(total))

    def _confirm_rate(self, now: float) -> None:
        at, total = self.subset_demands.get(self.own_class, (float("-inf"), SubsetDemand(0.0, 0)))
        is_fresh = now - at <= self.settings.stale
        self.subset_loads = total.loads if is_fresh else {}
        if is_fresh and total.clients:
            demand = max(total.demand, self.reported_demand)
            self.rate_limit.confirm(now, self.reported_demand, demand, total.clients)

    # ---- requests -----------------------------------------------------------------------------

    def client_count(self) -> int:
        """Return how many instances are of the own class."""
        own_class = self.own_class
        return max(1, sum(self.class_of(INSTANCES_TOPIC, name) == own_class for name in self.present))

    def admit(self, now: float) -> bool:
        """Whether a request fits into this instance's share; if not it is rejected at once."""
        self.demand.add(now)
        if self.rate_limit.limit <= 0 or self.rate_limit.take(now, self.client_count()):
            return True
        self.rejected_count += 1
        return False

    def under_way(self, host: str) -> int:
        """Return how many requests this instance has at a member."""
        return max(0, round(self.load(host)) - 1)

    def _subset_load(self, host: str) -> float:
        """Return what this instance has at a member now, and the whole class had when it reported."""
        return self.load(host) + self.subset_loads.get(self.positions[host], 0)

    def choose(self, now: float, tried: set[str]) -> str | None:
        """Return the less loaded of two of the subset; of the others only when all of it was tried."""
        left = [host for host in self.subset if host not in tried]
        left = left or [host for host in self.members if host not in tried]
        if not left:
            return None
        left = [host for host in left if self.resting_until.get(host, 0.0) <= now] or left
        return min(self.rng.choice(left), self.rng.choice(left), key=self._subset_load)

    def record_outcome(self, now: float, host: str, good: bool, refused: bool) -> None:
        """Count a request that is over; one that refused is tried again at this instance's own moment."""
        if refused:
            backoff = self.backoffs.setdefault(host, StaggeredBackoff(FIRST_BACKOFF, MAX_BACKOFF))
            self.resting_until[host] = backoff.failed(now, position_of(self.name, self.present))
        elif good and host in self.backoffs:
            del self.backoffs[host]
            self.resting_until.pop(host, None)

    # ---- what is shown ------------------------------------------------------------------------

    def figures(self) -> list[tuple[str, int]]:
        """Return the figures that operators are shown."""
        return [
            ("fleet.class", self.own_class),
            ("fleet.subset", len(self.subset)),
            ("fleet.clients", self.client_count()),
            ("fleet.refused", self.rejected_count),
            ("fleet.reconnected", self.reconnected_count),
        ]

    def state(self, now: float) -> dict[str, object]:
        """Return what the administration API shows."""
        return {
            "class": self.own_class,
            "classes": self.class_count,
            "subset": sorted(self.subset),
            "clients": self.client_count(),
            "limit": self.rate_limit.limit,
            "share": round(self.rate_limit.rate(now, self.client_count()), 3),
            "sums": {
                str(number): {"demand": total.demand, "clients": total.clients, "ago": round(now - at, 1)}
                for number, (at, total) in self.subset_demands.items()
            },
            "refused": self.rejected_count,
            "reconnected": self.reconnected_count,
        }


def _number_in(topic: str, prefix: str) -> int | None:
    """Return the number behind a topic's prefix, or None where it is another topic."""
    number = topic.removeprefix(prefix)
    return int(number) if topic.startswith(prefix) and number.isdecimal() else None
