"""One instance's deterministic subsetting: its subset of the members, its share of their limit, its timing.

Members and instances are divided into the same number of classes, and each instance connects to the members
of its own class.  The fleet's leader, which is the first present instance by name, updates both assignments
and writes the buckets that change.  Within a class, each instance reports its load to the class's leader, its
first instance by name, which publishes the sum.

It does no I/O: its caller passes in requests, outcomes, messages and the time, and it sends messages through
the ``SubsetMembership`` port.
"""

from __future__ import annotations

import random
from collections import Counter
from collections.abc import Callable, Mapping, Sequence
from typing import Protocol

import msgspec

from saltcart.locality.demand import SHORT_TERM_HALF_LIFE, DemandEstimator
from saltcart.membership.member_record import MemberRecord
from saltcart.schema import decode_message
from saltcart.subsetting.settings import FleetSettings
from saltcart.subsetting.shared_rate_limit import SharedRateLimit
from saltcart.subsetting.staggering import StaggeredBackoff, next_staggered_time, position_of
from saltcart.subsetting.subset_assignment import (
    BUCKET_COUNT,
    bucket_index,
    encode_bucket,
    next_assignment,
    read_bucket,
    rendezvous_class,
    short_digest,
)

# Topics of the shared registers; the number of a bucket or of a class follows.
MEMBERS_TOPIC = "fleet/members/"
INSTANCES_TOPIC = "fleet/instances/"
DEMAND_TOPIC = "fleet/sum/"
REPORT_TOPIC = "fleet/report"  # of direct messages
# Period of the backoff from a member that refused the connection.
FIRST_BACKOFF_SECONDS = 0.5
MAX_BACKOFF_SECONDS = 8.0
SETTLE_SECONDS = 1.0  # time without a join or leave before the assignments are updated


class SubsetDemand(msgspec.Struct, array_like=True, frozen=True):
    """Sum of the load reports of a class's instances.

    The order of the fields is the wire format.

    Attributes:
        demand: Sum of the instances' demand, in requests per second.
        clients: Number of instances with a fresh report.
        loads: Requests of these instances in flight at each member, by the member's position among the sorted
            members.
    """

    demand: float
    clients: int
    loads: dict[int, int] = {}


class InstanceLoadReport(msgspec.Struct, array_like=True, frozen=True):
    """Load report of one instance to its class's leader.

    The order of the fields is the wire format.

    Attributes:
        demand: Demand in requests per second.
        loads: Requests in flight at each member, by the member's position among the sorted members.
    """

    demand: float
    loads: dict[int, int] = {}


class SubsetMembership(Protocol):
    """Port to the fleet's membership, as far as subsetting needs it."""

    def present(self) -> Sequence[str]:
        """Return the sorted names of the present instances."""

    def write_register(self, topic: str, data: bytes) -> None:
        """Write a register that all instances share."""

    def send_direct(self, name: str, topic: str, data: bytes) -> None:
        """Send a message to a single instance."""


_encoder = msgspec.msgpack.Encoder()
_demand_decoder = msgspec.msgpack.Decoder(SubsetDemand)
_report_decoder = msgspec.msgpack.Decoder(InstanceLoadReport)


class SubsetBalancer:
    """Spreads requests over the members of this instance's class.

    Args:
        settings: Settings of subsetting.
        members: Capacity of each of the upstream's hosts, in requests per second; 0 for no limit.
        name: Name of this instance.
        rng: Source of random numbers.
        membership: Port to the fleet's membership.
        load: Returns the number of this instance's requests in flight at a member, plus one.
        now: Monotonic time in seconds.
    """

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
        self.settings = settings
        self.members = members
        self.name = name
        self.rng = rng
        self.membership = membership
        self.load = load
        self.class_count = min(settings.classes, max(1, len(members)))
        # By topic: class numbers by bucket and short digest of the name.
        self.assignments: dict[str, dict[int, dict[int, int]]] = {MEMBERS_TOPIC: {}, INSTANCES_TOPIC: {}}
        self.subset_demands: dict[int, tuple[float, SubsetDemand]] = {}  # time received and sum, by class
        # Time received and report, by instance; used by the class's leader.
        self.reports: dict[str, tuple[float, InstanceLoadReport]] = {}
        self.positions = {host: position for position, host in enumerate(sorted(members))}
        self.subset_loads: dict[int, int] = {}  # the class's published requests in flight, by position
        self.backoffs: dict[str, StaggeredBackoff] = {}  # by member that refused the connection
        self.backoff_until: dict[str, float] = {}  # time of the next attempt, by member
        self.demand = DemandEstimator(SHORT_TERM_HALF_LIFE)
        self.reported_demand = 0.0
        self.present: tuple[str, ...] = ()
        self.present_changed_at = now
        self.next_report_at = now + settings.report_every * rng.random()
        self.rate_limit = SharedRateLimit(self._subset_capacity())
        self.rejected_count = 0
        self.reconnected_count = 0
        self.subset = self._assigned_subset()

    # ---- assignment to classes ----------------------------------------------------------------

    def class_of(self, topic: str, name: str) -> int:
        """Return the class that a name is assigned to, or its class by rendezvous hashing if it has none yet.

        Args:
            topic: Topic of the assignment: of members or of instances.
            name: Host of a member or name of an instance.
        """
        assigned_class = self.assignments[topic].get(bucket_index(name), {}).get(short_digest(name))
        if assigned_class is None or assigned_class >= self.class_count:
            return rendezvous_class(name, self.class_count)
        return assigned_class

    @property
    def own_class(self) -> int:
        """This instance's class."""
        return self.class_of(INSTANCES_TOPIC, self.name)

    def _assigned_subset(self) -> tuple[str, ...]:
        """Return the members of the own class, or all members if the class has none."""
        own_class = self.own_class
        subset = tuple(host for host in self.members if self.class_of(MEMBERS_TOPIC, host) == own_class)
        return subset or tuple(self.members)

    def _subset_capacity(self) -> float:
        return sum(self.members[host] for host in self._assigned_subset())

    def on_register_changed(self, now: float, topic: str, data: bytes) -> None:
        """Process a newer bucket of an assignment or a newer demand of a class.

        Raises:
            MalformedMessageError: The data is not of the topic's type.
        """
        for assignment_topic in (MEMBERS_TOPIC, INSTANCES_TOPIC):
            bucket = _topic_number(topic, assignment_topic)
            if bucket is not None and bucket < BUCKET_COUNT:
                self.assignments[assignment_topic][bucket] = read_bucket(data, self.class_count)
                self._update_subset()
        class_number = _topic_number(topic, DEMAND_TOPIC)
        if class_number is not None:
            self.subset_demands[class_number] = now, decode_message(_demand_decoder, data, "subset demand")
            self._apply_subset_demand(now)

    def _update_subset(self) -> None:
        subset = self._assigned_subset()
        if subset == self.subset:
            return
        self.reconnected_count += len(set(subset) - set(self.subset))
        self.subset = subset
        self.rate_limit.limit = self._subset_capacity()

    def _update_assignment(self, topic: str, names: Sequence[str]) -> None:
        """Write the buckets of an assignment that change for the current names."""
        buckets = self.assignments[topic]
        assigned_names = [name for name in names if short_digest(name) in buckets.get(bucket_index(name), {})]
        assignment = {name: self.class_of(topic, name) for name in assigned_names}
        updated_assignment = next_assignment(assignment, names, self.class_count)
        for bucket in range(BUCKET_COUNT):
            data = encode_bucket(updated_assignment, bucket)
            if read_bucket(data, self.class_count) != buckets.get(bucket, {}):
                self.membership.write_register(f"{topic}{bucket}", data)

    # ---- load reports -------------------------------------------------------------------------

    def on_direct_message(self, now: float, sender: MemberRecord, topic: str, data: bytes) -> None:
        """Process an instance's load report.

        Raises:
            MalformedMessageError: The data is not a load report.
        """
        if topic == REPORT_TOPIC:
            self.reports[sender.name] = now, decode_message(_report_decoder, data, "load report")

    def tick(self, now: float) -> None:
        """Send the messages that are due at this instance's staggered time.

        An instance sends its load report to its class's leader; the leader publishes the sum.  The fleet's
        leader also updates the assignments, once no instance has joined or left for ``SETTLE_SECONDS``.
        """
        if now < self.next_report_at:
            return
        present = self.membership.present()
        position = position_of(self.name, present)
        self.next_report_at = next_staggered_time(now, self.settings.report_every, position)
        self._update_present(now, present)
        if present and present[0] == self.name and now - self.present_changed_at >= SETTLE_SECONDS:
            self._update_assignment(MEMBERS_TOPIC, sorted(self.members))
            self._update_assignment(INSTANCES_TOPIC, present)
        own_class = self.own_class
        self.reported_demand = round(self.demand.rate(now), 3)
        report = InstanceLoadReport(self.reported_demand, self._own_loads())
        class_instances = [name for name in present if self.class_of(INSTANCES_TOPIC, name) == own_class]
        if class_instances and class_instances[0] != self.name:
            self.membership.send_direct(class_instances[0], REPORT_TOPIC, _encoder.encode(report))
            return
        self.reports[self.name] = now, report
        self._publish_demand(now, own_class)

    def _update_present(self, now: float, present: Sequence[str]) -> None:
        if tuple(present) != self.present:
            self.present = tuple(present)
            self.present_changed_at = now

    def _own_loads(self) -> dict[int, int]:
        loads = {self.positions[host]: self.in_flight(host) for host in self.subset}
        return {position: count for position, count in loads.items() if count}

    def _publish_demand(self, now: float, own_class: int) -> None:
        """Write the sum of the class's fresh reports; called for the class's leader."""
        self.reports = {
            name: (received_at, report)
            for name, (received_at, report) in self.reports.items()
            if now - received_at <= self.settings.stale and self.class_of(INSTANCES_TOPIC, name) == own_class
        }
        loads = Counter[int]()
        for _, report in self.reports.values():
            loads.update(report.loads)
        demand = round(sum(report.demand for _, report in self.reports.values()), 3)
        subset_demand = SubsetDemand(demand, len(self.reports), dict(loads))
        self.membership.write_register(f"{DEMAND_TOPIC}{own_class}", _encoder.encode(subset_demand))

    def _apply_subset_demand(self, now: float) -> None:
        """Set the share of the limit and the class's loads from the own class's published sum."""
        received_at, subset_demand = self.subset_demands.get(
            self.own_class, (float("-inf"), SubsetDemand(0.0, 0))
        )
        is_fresh = now - received_at <= self.settings.stale
        self.subset_loads = subset_demand.loads if is_fresh else {}
        if is_fresh and subset_demand.clients:
            total_demand = max(subset_demand.demand, self.reported_demand)
            self.rate_limit.confirm(now, self.reported_demand, total_demand, subset_demand.clients)

    # ---- requests -----------------------------------------------------------------------------

    def client_count(self) -> int:
        """Return the number of present instances of the own class, at least one."""
        own_class = self.own_class
        return max(1, sum(self.class_of(INSTANCES_TOPIC, name) == own_class for name in self.present))

    def admit(self, now: float) -> bool:
        """Count a request; return False to reject it, as it exceeds this instance's share of the limit."""
        self.demand.add(now)
        if self.rate_limit.limit <= 0 or self.rate_limit.take(now, self.client_count()):
            return True
        self.rejected_count += 1
        return False

    def in_flight(self, host: str) -> int:
        """Return the number of this instance's requests in flight at a member."""
        return max(0, round(self.load(host)) - 1)

    def _estimated_load(self, host: str) -> float:
        """Return this instance's current load on a member plus the whole class's published one."""
        return self.load(host) + self.subset_loads.get(self.positions[host], 0)

    def choose(self, now: float, attempted_hosts: set[str]) -> str | None:
        """Return the member that an attempt goes to: the less loaded of two that are drawn from the subset.

        Members outside the subset are used only when all of the subset was attempted, and members in backoff
        only when no others are left.

        Args:
            now: Monotonic time in seconds.
            attempted_hosts: Members that were attempted and proved not to have run the request.

        Returns:
            The member's host; None if all members were attempted.
        """
        candidates = [host for host in self.subset if host not in attempted_hosts]
        candidates = candidates or [host for host in self.members if host not in attempted_hosts]
        if not candidates:
            return None
        candidates = [host for host in candidates if self.backoff_until.get(host, 0.0) <= now] or candidates
        return min(self.rng.choice(candidates), self.rng.choice(candidates), key=self._estimated_load)

    def record_outcome(self, now: float, host: str, is_success: bool, connection_refused: bool) -> None:
        """Count the outcome of an attempt at a member.

        After a refused connection, the member is in backoff until this instance's staggered time.  A
        success ends the backoff.
        """
        if connection_refused:
            backoff = self.backoffs.setdefault(
                host, StaggeredBackoff(FIRST_BACKOFF_SECONDS, MAX_BACKOFF_SECONDS)
            )
            self.backoff_until[host] = backoff.record_failure(now, position_of(self.name, self.present))
        elif is_success and host in self.backoffs:
            del self.backoffs[host]
            self.backoff_until.pop(host, None)

    # ---- metrics and administration API -------------------------------------------------------

    def metrics(self) -> list[tuple[str, int]]:
        """Return the metrics."""
        return [
            ("fleet.class", self.own_class),
            ("fleet.subset", len(self.subset)),
            ("fleet.clients", self.client_count()),
            ("fleet.refused", self.rejected_count),
            ("fleet.reconnected", self.reconnected_count),
        ]

    def state(self, now: float) -> dict[str, object]:
        """Return the state that the administration API shows."""
        return {
            "class": self.own_class,
            "classes": self.class_count,
            "subset": sorted(self.subset),
            "clients": self.client_count(),
            "limit": self.rate_limit.limit,
            "share": round(self.rate_limit.rate(now, self.client_count()), 3),
            "sums": {
                str(class_number): {
                    "demand": subset_demand.demand,
                    "clients": subset_demand.clients,
                    "ago": round(now - received_at, 1),
                }
                for class_number, (received_at, subset_demand) in self.subset_demands.items()
            },
            "refused": self.rejected_count,
            "reconnected": self.reconnected_count,
        }


def _topic_number(topic: str, prefix: str) -> int | None:
    """Return the number after a topic's prefix, or None if the topic has another form."""
    number = topic.removeprefix(prefix)
    return int(number) if topic.startswith(prefix) and number.isdecimal() else None
