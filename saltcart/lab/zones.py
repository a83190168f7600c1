"""Simulation of thousands of instances that route requests between zones, in fixed time steps.

A member serves requests at a fixed rate and queues the others; a request that waits too long fails.  A member
that is down refuses connections at once; a network partition drops packets.  Messages between instances
arrive some tenths of a second later, and don't cross a partition.

Routing policies:
    common: The service's own router with the failover plan that all instances share.
    even: Round robin over all members.
    alone: Each instance prefers its own zone and decides from its own errors.
"""

from __future__ import annotations

import heapq
import itertools
import math
import random
import time
from collections import Counter
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from typing import NamedTuple

import numpy as np

from saltcart.locality.evidence import OutcomeCounts
from saltcart.locality.failover_plan import FailoverPlan, row_of
from saltcart.locality.outlier_detection import OutlierDetector
from saltcart.locality.settings import LocalitySettings
from saltcart.locality.topology import Endpoint, ZoneTopology
from saltcart.locality.zone_router import ZoneRouter
from saltcart.membership.member_record import MemberRecord

STEP_SECONDS = 0.1
REGION_COUNT, ZONES_PER_REGION, MEMBERS_PER_ZONE = 3, 3, 4
INSTANCE_REQUEST_RATE = 2.0  # requests a second
CAPACITY_FACTOR = 1.5  # capacity relative to demand
SERVICE_SECONDS = 0.05  # duration of a request that need not wait
REQUEST_TIMEOUT_SECONDS = 1.0
DELIVERY_DELAY_SECONDS = (0.2, 0.9)  # range of delays of a register value or load report
PARTITION_DETECTION_SECONDS = 3.0  # after which members beyond a partition are out of the view
MAX_ATTEMPTS = 3
PRIORITY_WEIGHTS, WEIGHT_FREQUENCIES = (1.0, 3.0, 10.0), (6, 3, 1)
# Window, from a second after a plan change, in which a zone's requests are compared with its capacity.
OVERLOAD_WINDOW_SECONDS = 5.0
OUTCOME_HALF_LIFE_SECONDS = 0.7  # of an outcome's weight, for an instance that decides alone
LOCALITY_SETTINGS = LocalitySettings(upstream="work")


class ZoneDay(NamedTuple):
    """One scenario of faults; times in seconds.

    Attributes:
        name: Name in the printed table.
        duration_seconds: Simulated time.
        instance_count: Instances of the fleet.
        fault_start: Start of the fault.
        fault_end: End of the fault.
        failed_zones: Zones whose members are all down.
        half_slow_zone: Zone in which half of the members take ten times as long.
        partitioned_zone: Zone that is cut off from all others and works inside.
        flapping: A zone whose instances lose and regain the zone's own members in turn, and the seconds
            between two such changes.
        delayed_instances: Instances that receive register values five seconds late.
    """

    name: str
    duration_seconds: float
    instance_count: int
    fault_start: float = 0.0
    fault_end: float = 0.0
    failed_zones: tuple[int, ...] = ()
    half_slow_zone: int | None = None
    partitioned_zone: int | None = None
    flapping: tuple[int, float] | None = None
    delayed_instances: tuple[int, ...] = ()


@dataclass
class ZoneResult:
    """Measurements of one simulated day.

    Attributes:
        request_count: All requests.
        success_count: Requests that were served in time.
        offered_weight: Priority weight of all requests.
        earned_weight: Priority weight of the requests that were served in time.
        healthy_zone_requests: Requests of zones without a fault.
        served_in_own_zone: Those of them that their own zone served in time.
        rejected_count: Requests for which no member was chosen.
        served_share_by_half_second: Share of the affected zones' requests that was served in time.
        failover_seconds: From the start of the fault until 99% of the affected requests are served.
        moves: Changes of the plan.
        swings: Moves that send a twentieth or more of an affected zone's requests out of their zone.
        overloads: Zones that a plan change pushed beyond their capacity.
        overload_seconds: Zone-seconds with more requests than capacity, beyond chance.
        agree: Share of all pairs of instances that hold the same plan at the end.
        wall_seconds: Real time that the simulation used.
        simulated_hours: Simulated time.
        return_seconds: From the end of the fault until the affected requests are served in their own zone.
    """

    request_count: int = 0
    success_count: int = 0
    offered_weight: float = 0.0
    earned_weight: float = 0.0
    healthy_zone_requests: int = 0
    served_in_own_zone: int = 0
    rejected_count: int = 0
    served_share_by_half_second: list[float] = field(default_factory=list)
    failover_seconds: float | None = None
    moves: int = 0
    swings: int = 0
    overloads: int = 0
    overload_seconds: float = 0.0
    agree: float = 0.0
    wall_seconds: float = 0.0
    simulated_hours: float = 0.0
    return_seconds: float | None = None

    @property
    def success(self) -> float:
        """Share of the requests that were served in time."""
        return self.success_count / self.request_count

    @property
    def kept_local(self) -> float:
        """Share of the healthy zones' requests that their own zone served in time."""
        return self.served_in_own_zone / max(1, self.healthy_zone_requests)

    @property
    def earned_weight_share(self) -> float:
        """Share of the priority weight that was earned."""
        return self.earned_weight / self.offered_weight


def agreement_share(holders: Counter[str], count: int) -> float:
    """Share of all pairs of members that hold the same value.

    Args:
        holders: How many members hold each value.
        count: How many members there are.
    """
    return sum(n * (n - 1) for n in holders.values()) / (count * (count - 1))


class RoutingPolicy:
    """How one instance routes its requests."""

    def record_arrival(self, now: float, weight: float) -> None:
        """Record a new request and its priority weight."""

    def choose(self, now: float, attempted_hosts: set[str], weight: float) -> str | None:
        """Choose a member for an attempt, or None to reject the request."""
        raise NotImplementedError

    def record_outcome(
        self, now: float, host: str, good: bool, duration: float, refused: bool = False
    ) -> None:
        """Record the end of an attempt.

        Args:
            now: Simulated time.
            host: The member.
            good: Whether it was served in time.
            duration: Seconds that it lasted.
            refused: Whether the member refused the connection.
        """

    def tick(self, now: float) -> None:
        """Do periodic work at the end of a time step."""


class CommonPlanPolicy(RoutingPolicy):
    """The service's own router, and its port to the simulated membership."""

    def __init__(self, fleet: SimulatedZoneFleet, number: int) -> None:
        """Create the router of the instance with this number."""
        self.fleet, self.number = fleet, number
        self.zone = number % len(fleet.topology.zones)
        self.router = ZoneRouter(
            LOCALITY_SETTINGS,
            fleet.topology,
            f"i{number:05}",
            fleet.topology.zones[self.zone],
            random.Random(fleet.rng.random()),
            self,
            fleet.load,
            0.0,
        )
        self.router.on_plan_changed = lambda plan, version, author: fleet.record_plan(plan)
        self.record_arrival = self.router.record_arrival  # type: ignore[method-assign]
        self.record_outcome = self.router.record_outcome  # type: ignore[method-assign, assignment]

    def choose(self, now: float, attempted_hosts: set[str], weight: float) -> str | None:
        """Choose by the router, as for an idempotent request."""
        return self.router.choose(now, attempted_hosts, True, weight)

    def tick(self, now: float) -> None:
        """Let the router send its reports and propose plans."""
        self.router.tick(now, now)

    def zone_leaders(self) -> Mapping[str, str]:
        """Leader of each zone in this instance's view."""
        return self.fleet.zone_leaders(self.zone)

    def write_register(self, topic: str, data: bytes) -> None:
        """Write a shared register."""
        self.fleet.write_register(self, topic, data)

    def send_direct(self, name: str, topic: str, data: bytes) -> None:
        """Send a message to one instance."""
        self.fleet.send_direct(self, int(name[1:]), topic, data)


class RoundRobinPolicy(RoutingPolicy):
    """Round robin over all members; a refused attempt goes to the next."""

    def __init__(self, fleet: SimulatedZoneFleet, number: int) -> None:
        """Start at a random member."""
        self.hosts = [endpoint.host for endpoint in fleet.topology.endpoints]
        self.position = fleet.rng.randrange(len(self.hosts))

    def choose(self, now: float, attempted_hosts: set[str], weight: float) -> str | None:
        """Choose the next member of the list."""
        self.position += 1
        return self.hosts[self.position % len(self.hosts)]


class IndependentPolicy(RoutingPolicy):
    """The own zone while the instance's own outcomes show it healthy, otherwise any other healthy zone."""

    def __init__(self, fleet: SimulatedZoneFleet, number: int) -> None:
        """Start with no outcomes."""
        self.fleet, self.own_zone = fleet, number % len(fleet.topology.zones)
        self.outliers = OutlierDetector(LOCALITY_SETTINGS, fleet.topology.members)
        self.rng = random.Random(fleet.rng.random())
        self.outcomes = [OutcomeCounts(OUTCOME_HALF_LIFE_SECONDS) for _ in fleet.topology.zones]

    def is_healthy(self, now: float, zone: int) -> bool:
        """Whether the success rate and the members' grades of a zone exceed the panic threshold."""
        outcomes = self.outcomes[zone]
        outcomes.decay(now)
        success_rate = (
            outcomes.good / (outcomes.good + outcomes.bad) if outcomes.good + outcomes.bad >= 0.5 else 1.0
        )
        return min(success_rate, self.outliers.grade(now, zone)[0]) >= LOCALITY_SETTINGS.panic

    def choose(self, now: float, attempted_hosts: set[str], weight: float) -> str | None:
        """Choose a trial of an ejected member if one is due, otherwise a member of a healthy zone."""
        if not attempted_hosts and (host := self.outliers.next_trial(now, self.own_zone, False)) is not None:
            return host
        healthy_zones = [z for z in range(len(self.fleet.topology.zones)) if self.is_healthy(now, z)]
        zones = [self.own_zone] if self.own_zone in healthy_zones else healthy_zones or [self.own_zone]
        zone = self.rng.choice(zones)
        hosts = [h for h in self.outliers.usable_endpoints(now, zone) if h not in attempted_hosts]
        return self.rng.choice(hosts) if hosts else None

    def record_outcome(
        self, now: float, host: str, good: bool, duration: float, refused: bool = False
    ) -> None:
        """Count an outcome for the member and its zone."""
        self.outcomes[self.fleet.zone_of[host]].add(now, good, not good)
        self.outliers.record_outcome(now, host, good, duration, refused)


POLICIES: dict[str, Callable[[SimulatedZoneFleet, int], RoutingPolicy]] = {
    "common": CommonPlanPolicy,
    "alone": IndependentPolicy,
    "even": RoundRobinPolicy,
}


class SimulatedZoneFleet:
    """The instances, members and links of one day under one policy."""

    def __init__(self, day: ZoneDay, policy: str, seed: int) -> None:
        """Create the zones and the instances."""
        self.day, self.rng, self.now = day, random.Random(seed), 0.0
        zone_count = REGION_COUNT * ZONES_PER_REGION
        capacity = (
            INSTANCE_REQUEST_RATE * day.instance_count / zone_count * CAPACITY_FACTOR / MEMBERS_PER_ZONE
        )
        self.topology = ZoneTopology(
            Endpoint(f"z{z}m{m}", f"z{z}", f"r{z // ZONES_PER_REGION}", capacity)
            for z in range(zone_count)
            for m in range(MEMBERS_PER_ZONE)
        )
        self.capacity = capacity  # requests a second of one member
        # When each member has served what is in its queue.
        self.free_at = {endpoint.host: 0.0 for endpoint in self.topology.endpoints}
        self.zone_of = {
            endpoint.host: self.topology.zone_numbers[endpoint.zone] for endpoint in self.topology.endpoints
        }
        self.event_numbers = itertools.count()
        self.events: list[tuple[float, int, Callable[[], None]]] = []
        # By side of a partition and topic: version, author, data and the author's zone.
        self.registers: dict[tuple[bool, str], tuple[int, str, bytes, int]] = {}
        self.plans = list[tuple[float, dict[int, dict[int, int]]]]()
        self.current_rows: dict[int, dict[int, int]] = {}
        self.instances = [POLICIES[policy](self, n) for n in range(day.instance_count)]
        # Requests that reach each zone, by time step.
        self.inflow = np.zeros((int(day.duration_seconds / STEP_SECONDS) + 2, zone_count))
        self.weight_rng = random.Random(f"{seed} worths")
        self.arrival_rng = np.random.default_rng([seed, day.instance_count])
        self.result = ZoneResult()
        # Requests of the affected zones by half second: served in time, all, and served in their own zone.
        self.served = Counter[int]()
        self.offered = Counter[int]()
        self.served_at_home = Counter[int]()

    # ---- links and members --------------------------------------------------------------------

    def is_fault_active(self) -> bool:
        """Whether the day's fault is present now."""
        return self.day.fault_start <= self.now < self.day.fault_end

    def can_reach(self, origin: int, target: int) -> bool:
        """Whether instances of one zone can reach members of another, or of their own."""
        day = self.day
        if not self.is_fault_active():
            return True
        if day.flapping is not None and origin == target == day.flapping[0]:
            return int((self.now - day.fault_start) / day.flapping[1]) % 2 == 1
        return day.partitioned_zone is None or (origin == day.partitioned_zone) == (
            target == day.partitioned_zone
        )

    def slowdown(self, host: str) -> float:
        """Factor by which a member is slower than normal."""
        slow_zone = self.day.half_slow_zone
        if (
            slow_zone is not None
            and self.is_fault_active()
            and self.zone_of[host] == slow_zone
            and (int(host[-1]) < MEMBERS_PER_ZONE // 2)
        ):
            return 10.0
        return 1.0

    def load(self, host: str) -> float:
        """Requests in flight at a member, plus the one to be routed."""
        return 1 + max(0.0, self.free_at[host] - self.now) * self.capacity / self.slowdown(host)

    def zone_leaders(self, zone: int) -> Mapping[str, str]:
        """Leader of each zone in the view of a zone's instances.

        Names sort by number, so a zone's leader is the instance whose number is that of the zone.
        """
        partitioned_zone = self.day.partitioned_zone
        is_detected = (
            partitioned_zone is not None
            and self.day.fault_start + PARTITION_DETECTION_SECONDS <= self.now < self.day.fault_end + 1.0
        )
        return {
            self.topology.zones[z]: f"i{z:05}"
            for z in range(len(self.topology.zones))
            if not is_detected or (z == partitioned_zone) == (zone == partitioned_zone)
        }

    def schedule(self, delay: float, call: Callable[[], None]) -> None:
        """Make a call after a delay in seconds."""
        heapq.heappush(self.events, (self.now + delay, next(self.event_numbers), call))

    # ---- messages between instances -----------------------------------------------------------

    def is_partitioned(self) -> bool:
        """Whether a zone is cut off now."""
        return self.day.partitioned_zone is not None and self.is_fault_active()

    def write_register(self, author: CommonPlanPolicy, topic: str, data: bytes) -> None:
        """Write a register: all instances on this side of a partition receive it, each after a delay."""
        side = self.is_partitioned() and author.zone == self.day.partitioned_zone
        version = max(
            (
                n
                for (s, t), (n, *_) in self.registers.items()
                if t == topic and (s == side or not self.is_partitioned())
            ),
            default=0,
        )
        name = author.router.name
        self.registers[side, topic] = version + 1, name, data, author.zone
        for n, instance in enumerate(self.instances):
            assert isinstance(instance, CommonPlanPolicy)
            if instance is author:
                instance.router.on_register_changed(self.now, topic, version + 1, name, data)
                continue
            if not self.is_partitioned() or (instance.zone == self.day.partitioned_zone) == side:
                delay = self.rng.uniform(*DELIVERY_DELAY_SECONDS) + (
                    5.0 if n in self.day.delayed_instances else 0.0
                )
                self.schedule(
                    delay,
                    lambda i=instance, v=version + 1: i.router.on_register_changed(  # type: ignore[misc]
                        self.now, topic, v, name, data
                    ),
                )

    def heal_partition(self) -> None:
        """Distribute the newest value of each register after a partition."""
        for topic in {t for _, t in self.registers}:
            version, name, data, _ = max(v for (_, t), v in self.registers.items() if t == topic)
            self.registers[False, topic] = version, name, data, 0
            self.registers.pop((True, topic), None)
            for instance in self.instances:
                assert isinstance(instance, CommonPlanPolicy)
                self.schedule(
                    self.rng.uniform(0.5, 3.0),
                    lambda i=instance, t=topic, v=(version, name, data): (  # type: ignore[misc]
                        i.router.on_register_changed(self.now, t, *v)
                    ),
                )

    def send_direct(self, sender: CommonPlanPolicy, receiver_number: int, topic: str, data: bytes) -> None:
        """Deliver a message to one instance after a short delay."""
        receiver = self.instances[receiver_number]
        assert isinstance(receiver, CommonPlanPolicy)
        record = MemberRecord(sender.router.name, "h:1", 1, zone=sender.router.zone)
        self.schedule(
            self.rng.uniform(0.001, 0.01),
            lambda: receiver.router.on_direct_message(self.now, record, topic, data),
        )

    def record_plan(self, plan: FailoverPlan) -> None:
        """Record that an instance has adopted a plan: a move, unless one adopted the same in the last 8 s."""
        if plan.rows != self.current_rows:
            previous, self.current_rows = self.current_rows, plan.rows
            if not any(rows == plan.rows and self.now - at < 8.0 for at, rows in self.plans):
                self.result.moves += 1
                self.result.swings += any(
                    row_of(previous, z).get(z, 0) - row_of(plan.rows, z).get(z, 0) >= 50
                    for z in range(len(self.topology.zones))
                    if self._is_affected(z)
                )
                self._schedule_overload_check(previous, plan.rows)
            self.plans.append((self.now, plan.rows))

    def _schedule_overload_check(
        self, previous: dict[int, dict[int, int]], rows: dict[int, dict[int, int]]
    ) -> None:
        """Compare requests with capacity after a move, in the zones that receive more than before it."""
        zone_count = len(self.topology.zones)

        def permille_into(table: dict[int, dict[int, int]], target: int) -> int:
            return sum(row_of(table, origin).get(target, 0) for origin in range(zone_count))

        targets = [t for t in range(zone_count) if permille_into(rows, t) > permille_into(previous, t) + 20]

        begin = int(self.now / STEP_SECONDS) + 10

        def check() -> None:
            for t in targets:
                requests = float(
                    self.inflow[begin : begin + int(OVERLOAD_WINDOW_SECONDS / STEP_SECONDS), t].sum()
                )
                capacity = OVERLOAD_WINDOW_SECONDS * sum(
                    self.capacity / self.slowdown(h) for h in self.topology.members[t]
                )
                self.result.overloads += requests > capacity + 3 * math.sqrt(capacity)  # beyond chance

        self.schedule(1.0 + OVERLOAD_WINDOW_SECONDS + STEP_SECONDS, check)

    # ---- requests -----------------------------------------------------------------------------

    def handle_request(self, number: int) -> None:
        """Route a new request of an instance, with further attempts where a member refuses."""
        day, now, result = self.day, self.now, self.result
        instance, zone = self.instances[number], number % len(self.topology.zones)
        weight = self.weight_rng.choices(PRIORITY_WEIGHTS, WEIGHT_FREQUENCIES)[0]
        instance.record_arrival(now, weight)
        result.request_count += 1
        result.offered_weight += weight
        half_second = int(now * 2)
        is_affected = self._is_affected(zone)
        is_healthy = not is_affected or not self.is_fault_active()
        is_counted = is_affected and now >= day.fault_start
        self.offered[half_second] += is_counted
        result.healthy_zone_requests += is_healthy and not (is_affected and now >= day.fault_end)
        attempted_hosts = set[str]()
        for _ in range(MAX_ATTEMPTS):
            host = instance.choose(now, attempted_hosts, weight)
            if host is None:
                result.rejected_count += 1
                return
            target = self.zone_of[host]
            attempted_hosts.add(host)
            if self.is_fault_active() and target in day.failed_zones:
                instance.record_outcome(now, host, False, 0.0, True)
                continue  # A refused request never ran.
            self.inflow[int(now / STEP_SECONDS), target] += 1
            if not self.can_reach(zone, target):
                self.schedule(
                    REQUEST_TIMEOUT_SECONDS,
                    lambda h=host: (  # type: ignore[misc]
                        instance.record_outcome(self.now, h, False, REQUEST_TIMEOUT_SECONDS)
                    ),
                )
                return
            slowdown = self.slowdown(host)
            begin = max(now, self.free_at[host])
            duration = begin - now + SERVICE_SECONDS * slowdown
            self.free_at[host] = begin + slowdown / self.capacity
            good = duration <= REQUEST_TIMEOUT_SECONDS
            duration = min(duration, REQUEST_TIMEOUT_SECONDS)
            self.schedule(
                duration,
                lambda h=host, g=good, d=duration: (  # type: ignore[misc]
                    instance.record_outcome(self.now, h, g, d)
                ),
            )
            if good:
                result.success_count += 1
                result.earned_weight += weight
                self.served[half_second] += is_counted
                self.served_at_home[half_second] += is_counted and target == zone
                result.served_in_own_zone += (
                    target == zone and is_healthy and not (is_affected and now >= day.fault_end)
                )
            return

    def _is_affected(self, zone: int) -> bool:
        """Whether the day's fault hits the members of a zone or the way to them."""
        day = self.day
        return (
            zone in day.failed_zones
            or zone == day.half_slow_zone
            or (day.flapping is not None and zone == day.flapping[0])
        )

    # ---- simulation ---------------------------------------------------------------------------

    def run(self) -> ZoneResult:
        """Simulate the day and return its measurements."""
        started_at, day, result = time.perf_counter(), self.day, self.result
        is_healed = day.partitioned_zone is None
        for step in range(int(day.duration_seconds / STEP_SECONDS)):
            self.now = step * STEP_SECONDS
            end = self.now + STEP_SECONDS
            if not is_healed and self.now >= day.fault_end:
                is_healed = True
                if isinstance(self.instances[0], CommonPlanPolicy):
                    self.heal_partition()
            offsets = self.arrival_rng.random(
                self.arrival_rng.poisson(INSTANCE_REQUEST_RATE * STEP_SECONDS * day.instance_count)
            )
            numbers = self.arrival_rng.integers(0, day.instance_count, len(offsets))
            for at, number in sorted(zip((self.now + STEP_SECONDS * offsets).tolist(), numbers.tolist())):
                self._advance(at)
                self.handle_request(number)
            self._advance(end)
            for instance in self.instances:
                instance.tick(end)
            capacities = np.array(
                [sum(self.capacity / self.slowdown(h) for h in hosts) for hosts in self.topology.members]
            )
            if step >= 10:
                requests = self.inflow[step - 9 : step + 1].sum(0)
                result.overload_seconds += STEP_SECONDS * float(
                    (requests > capacities + 3 * np.sqrt(capacities)).sum()
                )
        result.served_share_by_half_second = [
            self.served[half] / max(1, self.offered[half]) for half in range(int(2 * day.duration_seconds))
        ]
        result.failover_seconds = self._failover_seconds()
        result.return_seconds = self._return_seconds()
        if isinstance(self.instances[0], CommonPlanPolicy):
            result.agree = self._agreement_share()
        result.simulated_hours = day.duration_seconds / 3600
        result.wall_seconds = time.perf_counter() - started_at
        return result

    def _agreement_share(self) -> float:
        """Return the share of pairs of instances that hold the same plan."""
        holders = Counter(
            repr(sorted(i.router.plan.rows.items()))
            for i in self.instances
            if isinstance(i, CommonPlanPolicy)
        )
        return agreement_share(holders, self.day.instance_count)

    def _advance(self, at: float) -> None:
        """Run the scheduled calls up to a time, and set the clock to it."""
        while self.events and self.events[0][0] <= at:
            self.now, _, call = heapq.heappop(self.events)
            call()
        self.now = at

    def _failover_seconds(self) -> float | None:
        """Seconds from the start of the fault until 99% of the affected requests are served for 2 s."""
        day = self.day
        for half in range(int(2 * day.fault_start), int(2 * day.fault_end) - 2):
            span = range(half, half + 4)
            offered = sum(self.offered[h] for h in span)
            if offered and sum(self.served[h] for h in span) >= 0.99 * offered:
                return half / 2 - day.fault_start
        return None

    def _return_seconds(self) -> float | None:
        """Seconds from the end of the fault until 95% of the affected requests stay in their zone for 2 s."""
        for half in range(int(2 * self.day.fault_end), int(2 * self.day.duration_seconds) - 4):
            offered = sum(self.offered[h] for h in range(half, half + 4))
            if offered and sum(self.served_at_home[h] for h in range(half, half + 4)) >= 0.95 * offered:
                return half / 2 - self.day.fault_end
        return None


def simulate(job: tuple[ZoneDay, str, int]) -> ZoneResult:
    """Simulate a day under a policy with a seed."""
    return SimulatedZoneFleet(*job).run()


def simulated_days(instance_count: int) -> list[ZoneDay]:
    """The days at one fleet size; the flapping one lasts an hour and has few instances."""
    return [
        ZoneDay("calm", 40.0, instance_count),
        ZoneDay("zone lost", 120.0, instance_count, 20.0, 60.0, failed_zones=(0,)),
        ZoneDay("half slow", 90.0, instance_count, 20.0, 60.0, half_slow_zone=0),
        ZoneDay("cut", 90.0, instance_count, 20.0, 50.0, partitioned_zone=0),
        ZoneDay("flap", 3_600.0, 45, 20.0, 3_590.0, flapping=(0, 2.0)),
        ZoneDay("region lost", 120.0, instance_count, 20.0, 60.0, failed_zones=(0, 1, 2)),
        ZoneDay(
            "views apart", 90.0, instance_count, 20.0, 50.0, failed_zones=(0,), delayed_instances=(1, 10)
        ),
    ]
