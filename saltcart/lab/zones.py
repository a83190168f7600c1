"""Zones in the model: thousands of instances with the service's own deciding code, in steps.

A member does so many requests a second and lets the rest wait; who waits too long has failed.  A member that
is down refuses at once, a cut link swallows.  What instances tell each other arrives some tenths of a second
later, and not over a cut.  ``even`` sends round robin over all members, ``alone`` is each instance with its
own errors and its own zone first.
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

STEP = 0.1  # seconds
REGIONS, ZONES_EACH, MEMBERS_EACH = 3, 3, 4
RATE = 2.0  # requests a second of one instance
SPARE = 1.5  # capacity over demand
TOOK = 0.05  # seconds of one request that need not wait
PATIENCE = 1.0  # seconds after which a request has failed
HEARD = (0.2, 0.9)  # seconds until a post or report is there
NOTICED = 3.0  # seconds after which members beyond a cut are out of the view
TRIES = 3
WORTHS, OFTEN = (1.0, 3.0, 10.0), (6, 3, 1)  # of requests, and how many in ten are worth that
LOOK = 5.0  # seconds, a second after a move, in which what comes into a zone is held against its limit
ALONE_HALF_LIFE = 0.7  # seconds: how long an end counts for an instance that decides alone
CONF = LocalitySettings(upstream="work")


class ZoneDay(NamedTuple):
    """Times in seconds; the trouble lasts from ``begin`` to ``end``."""

    name: str
    seconds: float
    instances: int
    begin: float = 0.0
    end: float = 0.0
    down: tuple[int, ...] = ()  # zones whose members are all down
    half_slow: int | None = None  # half of its members take ten times as long
    cut: int | None = None  # a zone that is cut off from all others, alive inside
    flap: tuple[int, float] | None = None  # a zone that reaches its own members every other so many seconds
    late: tuple[int, ...] = ()  # instances to which posts come five seconds late


@dataclass
class ZoneResult:
    request_count: int = 0
    success_count: int = 0
    worth: float = 0.0  # of all requests, and of these
    worth_good: float = 0.0  # of those that ended well
    home_healthy: int = 0  # requests of zones in health, and of these
    home_kept: int = 0  # those that their own zone served
    refused: int = 0
    served_share_by_half_second: list[float] = field(
        default_factory=list
    )  # of the troubled zones' work, by half second
    failover: float | None = None  # seconds
    moves: int = 0
    swings: int = 0  # of these, such that took the troubled zone's work away from home, or back
    overloads: int = 0  # moves that pushed a zone past what it can do
    over_seconds: float = 0.0  # zone seconds in which more came than a zone can do, beyond chance
    agree: float = 0.0
    took: float = 0.0
    hours: float = 0.0
    back_home: float | None = None  # seconds from the end of the trouble until its work is at home again

    @property
    def success(self) -> float:
        return self.success_count / self.request_count

    @property
    def kept_local(self) -> float:
        return self.home_kept / max(1, self.home_healthy)

    @property
    def worth_kept(self) -> float:
        return self.worth_good / self.worth


def agreement_share(held: Counter[str], count: int) -> float:
    """The share of all pairs of ``count`` that hold the same; ``held``: how many hold each."""
    return sum(n * (n - 1) for n in held.values()) / (count * (count - 1))


class RoutingPolicy:
    """How one instance places its requests."""

    def arrived(self, now: float, worth: float) -> None: ...
    def choose(self, now: float, tried: set[str], worth: float) -> str | None:
        raise NotImplementedError

    def ended(self, now: float, host: str, good: bool, took: float, refused: bool = False) -> None: ...
    def tick(self, now: float) -> None: ...


class CommonPlanPolicy(RoutingPolicy):
    """The service's own decisions."""

    def __init__(self, fleet: SimulatedZoneFleet, number: int) -> None:
        self.fleet, self.number = fleet, number
        self.zone = number % len(fleet.sites.zones)
        self.router = ZoneRouter(
            CONF,
            fleet.sites,
            f"i{number:05}",
            fleet.sites.zones[self.zone],
            random.Random(fleet.luck.random()),
            self,
            fleet.load,
            0.0,
        )
        self.router.on_plan_changed = lambda plan, n, by: fleet.planned(plan)
        self.arrived = self.router.record_arrival  # type: ignore[method-assign, assignment]
        self.ended = self.router.record_outcome  # type: ignore[method-assign, assignment]

    def choose(self, now: float, tried: set[str], worth: float) -> str | None:
        return self.router.choose(now, tried, True, worth)

    def tick(self, now: float) -> None:
        self.router.tick(now, now)

    # the port
    def zone_leaders(self) -> Mapping[str, str]:
        return self.fleet.speakers(self.zone)

    def write_register(self, topic: str, data: bytes) -> None:
        self.fleet.post(self, topic, data)

    def send_direct(self, name: str, topic: str, data: bytes) -> None:
        self.fleet.give(self, int(name[1:]), topic, data)


class RoundRobinPolicy(RoutingPolicy):
    """Round robin over all members, with further tries where one refuses."""

    def __init__(self, fleet: SimulatedZoneFleet, number: int) -> None:
        self.hosts = [b.host for b in fleet.sites.endpoints]
        self.at = fleet.luck.randrange(len(self.hosts))

    def choose(self, now: float, tried: set[str], worth: float) -> str | None:
        self.at += 1
        return self.hosts[self.at % len(self.hosts)]


class IndependentPolicy(RoutingPolicy):
    """The own zone while its own errors do not speak against it; else any other zone that they do not."""

    def __init__(self, fleet: SimulatedZoneFleet, number: int) -> None:
        self.fleet, self.own = fleet, number % len(fleet.sites.zones)
        self.outliers = OutlierDetector(CONF, fleet.sites.members)
        self.luck = random.Random(fleet.luck.random())
        self.ends = [OutcomeCounts(ALONE_HALF_LIFE) for _ in fleet.sites.zones]

    def healthy(self, now: float, zone: int) -> bool:
        ends = self.ends[zone]
        ends.decay(now)
        share = ends.good / (ends.good + ends.bad) if ends.good + ends.bad >= 0.5 else 1.0
        return min(share, self.outliers.grade(now, zone)[0]) >= CONF.panic

    def choose(self, now: float, tried: set[str], worth: float) -> str | None:
        if not tried and (host := self.outliers.next_trial(now, self.own, False)) is not None:
            return host
        sound = [z for z in range(len(self.fleet.sites.zones)) if self.healthy(now, z)]
        zones = [self.own] if self.own in sound else sound or [self.own]
        zone = self.luck.choice(zones)
        hosts = [h for h in self.outliers.usable_endpoints(now, zone) if h not in tried]
        return self.luck.choice(hosts) if hosts else None

    def ended(self, now: float, host: str, good: bool, took: float, refused: bool = False) -> None:
        self.ends[self.fleet.zone_of[host]].add(now, good, not good)
        self.outliers.record_outcome(now, host, good, took, refused)


POLICIES: dict[str, Callable[[SimulatedZoneFleet, int], RoutingPolicy]] = {
    "common": CommonPlanPolicy,
    "alone": IndependentPolicy,
    "even": RoundRobinPolicy,
}


class SimulatedZoneFleet:
    """The instances, members and links of one day under one policy."""

    def __init__(self, day: ZoneDay, policy: str, seed: int) -> None:
        self.day, self.luck, self.now = day, random.Random(seed), 0.0
        count = REGIONS * ZONES_EACH
        capacity = RATE * day.instances / count * SPARE / MEMBERS_EACH
        self.sites = ZoneTopology(
            Endpoint(f"z{z}m{m}", f"z{z}", f"r{z // ZONES_EACH}", capacity)
            for z in range(count)
            for m in range(MEMBERS_EACH)
        )
        self.capacity = capacity
        self.free_at = {b.host: 0.0 for b in self.sites.endpoints}  # when a member has done what it took
        self.zone_of = {b.host: self.sites.zone_numbers[b.zone] for b in self.sites.endpoints}
        self.order = itertools.count()
        self.later: list[tuple[float, int, Callable[[], None]]] = []
        self.latest: dict[tuple[bool, str], tuple[int, str, bytes, int]] = {}
        self.plans = list[tuple[float, dict[int, dict[int, int]]]]()
        self.seen_rows: dict[int, dict[int, int]] = {}
        self.instances = [POLICIES[policy](self, n) for n in range(day.instances)]
        self.inflow = np.zeros((int(day.seconds / STEP) + 2, count))
        self.luck_of_worths = random.Random(f"{seed} worths")
        self.rng = np.random.default_rng([seed, day.instances])
        self.seen = ZoneResult()
        self.served = Counter[int]()  # by half second, of the troubled zones' work
        self.offered = Counter[int]()
        self.home = Counter[int]()  # of these, at home

    # ---- links and members --------------------------------------------------------------------

    def troubled(self) -> bool:
        return self.day.begin <= self.now < self.day.end

    def reaches(self, origin: int, target: int) -> bool:
        day = self.day
        if not self.troubled():
            return True
        if day.flap is not None and origin == target == day.flap[0]:
            return int((self.now - day.begin) / day.flap[1]) % 2 == 1
        return day.cut is None or (origin == day.cut) == (target == day.cut)

    def slowness(self, host: str) -> float:
        slow = self.day.half_slow
        if (
            slow is not None
            and self.troubled()
            and self.zone_of[host] == slow
            and (int(host[-1]) < MEMBERS_EACH // 2)
        ):
            return 10.0
        return 1.0

    def load(self, host: str) -> float:
        """Requests that it has under way, and the one that might come."""
        return 1 + max(0.0, self.free_at[host] - self.now) * self.capacity / self.slowness(host)

    def speakers(self, zone: int) -> Mapping[str, str]:
        """Names sort by number, so the first of a zone is the one whose number is the zone's."""
        cut = self.day.cut
        noticed = cut is not None and self.day.begin + NOTICED <= self.now < self.day.end + 1.0
        return {
            self.sites.zones[z]: f"i{z:05}"
            for z in range(len(self.sites.zones))
            if not noticed or (z == cut) == (zone == cut)
        }

    def after(self, wait: float, call: Callable[[], None]) -> None:
        heapq.heappush(self.later, (self.now + wait, next(self.order), call))

    # ---- what instances tell each other -------------------------------------------------------

    def sides(self) -> bool:
        return self.day.cut is not None and self.troubled()

    def post(self, author: CommonPlanPolicy, topic: str, data: bytes) -> None:
        """On the board: to all on this side of a cut, each a little later."""
        side = self.sides() and author.zone == self.day.cut
        before = max(
            (n for (s, t), (n, *_) in self.latest.items() if t == topic and (s == side or not self.sides())),
            default=0,
        )
        name = author.router.name
        self.latest[side, topic] = before + 1, name, data, author.zone
        for n, instance in enumerate(self.instances):
            assert isinstance(instance, CommonPlanPolicy)
            if instance is author:
                instance.router.on_register_changed(self.now, topic, before + 1, name, data)
                continue
            if not self.sides() or (instance.zone == self.day.cut) == side:
                wait = self.luck.uniform(*HEARD) + (5.0 if n in self.day.late else 0.0)
                self.after(
                    wait,
                    lambda i=instance, k=before + 1: i.router.on_register_changed(  # type: ignore[misc]
                        self.now, topic, k, name, data
                    ),
                )

    def heal(self) -> None:
        """The cut is over: the newest of each topic goes round."""
        for topic in {t for _, t in self.latest}:
            number, name, data, _ = max(v for (_, t), v in self.latest.items() if t == topic)
            self.latest[False, topic] = number, name, data, 0
            self.latest.pop((True, topic), None)
            for instance in self.instances:
                assert isinstance(instance, CommonPlanPolicy)
                self.after(
                    self.luck.uniform(0.5, 3.0),
                    lambda i=instance, t=topic, v=(number, name, data): (  # type: ignore[misc]
                        i.router.on_register_changed(self.now, t, *v)
                    ),
                )

    def give(self, sender: CommonPlanPolicy, to: int, topic: str, data: bytes) -> None:
        receiver = self.instances[to]
        assert isinstance(receiver, CommonPlanPolicy)
        record = MemberRecord(sender.router.name, "h:1", 1, zone=sender.router.zone)
        self.after(
            self.luck.uniform(0.001, 0.01),
            lambda: receiver.router.on_direct_message(self.now, record, topic, data),
        )

    def planned(self, plan: FailoverPlan) -> None:
        """Somebody took up another plan; what is new to all is a move."""
        if plan.rows != self.seen_rows:
            before, self.seen_rows = self.seen_rows, plan.rows
            if not any(rows == plan.rows and self.now - at < 8.0 for at, rows in self.plans):
                self.seen.moves += 1
                self.seen.swings += any(
                    row_of(before, z).get(z, 0) - row_of(plan.rows, z).get(z, 0) >= 50
                    for z in range(len(self.sites.zones))
                    if self._hurt(z)
                )
                self._judge(before, plan.rows)
            self.plans.append((self.now, plan.rows))

    def _judge(self, before: dict[int, dict[int, int]], rows: dict[int, dict[int, int]]) -> None:
        """A look at the seconds after the move, at zones that it sends more to than before."""
        count = len(self.sites.zones)

        def into(table: dict[int, dict[int, int]], t: int) -> int:
            return sum(row_of(table, o).get(t, 0) for o in range(count))

        more = [t for t in range(count) if into(rows, t) > into(before, t) + 20]

        begin = int(self.now / STEP) + 10

        def look() -> None:
            for t in more:
                came = float(self.inflow[begin : begin + int(LOOK / STEP), t].sum())
                able = LOOK * sum(self.capacity / self.slowness(h) for h in self.sites.members[t])
                self.seen.overloads += came > able + 3 * math.sqrt(able)  # beyond chance

        self.after(1.0 + LOOK + STEP, look)

    # ---- requests -----------------------------------------------------------------------------

    def request(self, number: int) -> None:
        day, now, seen = self.day, self.now, self.seen
        instance, zone = self.instances[number], number % len(self.sites.zones)
        worth = self.luck_of_worths.choices(WORTHS, OFTEN)[0]
        instance.arrived(now, worth)
        seen.request_count += 1
        seen.worth += worth
        half = int(now * 2)
        hurt = self._hurt(zone)
        healthy = not hurt or not self.troubled()
        counted = hurt and now >= day.begin
        self.offered[half] += counted
        seen.home_healthy += healthy and not (hurt and now >= day.end)
        tried = set[str]()
        for _ in range(TRIES):
            host = instance.choose(now, tried, worth)
            if host is None:
                seen.refused += 1
                return
            target = self.zone_of[host]
            tried.add(host)
            if self.troubled() and target in day.down:
                instance.ended(now, host, False, 0.0, True)
                continue  # refused at once: it never ran
            self.inflow[int(now / STEP), target] += 1
            if not self.reaches(zone, target):
                self.after(
                    PATIENCE,
                    lambda h=host: (  # type: ignore[misc]
                        instance.ended(self.now, h, False, PATIENCE)
                    ),
                )
                return
            slow = self.slowness(host)
            begin = max(now, self.free_at[host])
            took = begin - now + TOOK * slow
            self.free_at[host] = begin + slow / self.capacity
            good = took <= PATIENCE
            took = min(took, PATIENCE)
            self.after(
                took,
                lambda h=host, g=good, t=took: (  # type: ignore[misc]
                    instance.ended(self.now, h, g, t)
                ),
            )
            if good:
                seen.success_count += 1
                seen.worth_good += worth
                self.served[half] += counted
                self.home[half] += counted and target == zone
                seen.home_kept += target == zone and healthy and not (hurt and now >= day.end)
            return

    def _hurt(self, zone: int) -> bool:
        day = self.day
        return zone in day.down or zone == day.half_slow or (day.flap is not None and zone == day.flap[0])

    # ---- the day ------------------------------------------------------------------------------

    def run(self) -> ZoneResult:
        begun, day, seen = time.perf_counter(), self.day, self.seen
        healed = day.cut is None
        for step in range(int(day.seconds / STEP)):
            self.now = step * STEP
            end = self.now + STEP
            if not healed and self.now >= day.end:
                healed = True
                if isinstance(self.instances[0], CommonPlanPolicy):
                    self.heal()
            comes = self.rng.random(self.rng.poisson(RATE * STEP * day.instances))
            who = self.rng.integers(0, day.instances, len(comes))
            for at, number in sorted(zip((self.now + STEP * comes).tolist(), who.tolist())):
                self._until(at)
                self.request(number)
            self._until(end)
            for instance in self.instances:
                instance.tick(end)
            able = np.array([sum(self.capacity / self.slowness(h) for h in m) for m in self.sites.members])
            if step >= 10:
                came = self.inflow[step - 9 : step + 1].sum(0)
                seen.over_seconds += STEP * float((came > able + 3 * np.sqrt(able)).sum())
        seen.served_share_by_half_second = [
            self.served[h] / max(1, self.offered[h]) for h in range(int(2 * day.seconds))
        ]
        seen.failover = self._failover()
        seen.back_home = self._back_home()
        if isinstance(self.instances[0], CommonPlanPolicy):
            held = Counter(
                repr(sorted(i.router.plan.rows.items()))
                for i in self.instances
                if isinstance(i, CommonPlanPolicy)
            )
            seen.agree = agreement_share(held, day.instances)
        seen.hours, seen.took = day.seconds / 3600, time.perf_counter() - begun
        return seen

    def _until(self, at: float) -> None:
        while self.later and self.later[0][0] <= at:
            self.now, _, call = heapq.heappop(self.later)
            call()
        self.now = at

    def _failover(self) -> float | None:
        """Seconds from the loss until 99% of the lost zones' work is served, over a second or more."""
        day = self.day
        for half in range(int(2 * day.begin), int(2 * day.end) - 2):
            span = range(half, half + 4)
            whole = sum(self.offered[h] for h in span)
            if whole and sum(self.served[h] for h in span) >= 0.99 * whole:
                return half / 2 - day.begin
        return None

    def _back_home(self) -> float | None:
        for half in range(int(2 * self.day.end), int(2 * self.day.seconds) - 4):
            whole = sum(self.offered[h] for h in range(half, half + 4))
            if whole and sum(self.home[h] for h in range(half, half + 4)) >= 0.95 * whole:
                return half / 2 - self.day.end
        return None


def simulate(job: tuple[ZoneDay, str, int]) -> ZoneResult:
    return SimulatedZoneFleet(*job).run()


def days(count: int) -> list[ZoneDay]:
    """The days at one size; the flapping one lasts an hour and has few instances."""
    return [
        ZoneDay("calm", 40.0, count),
        ZoneDay("zone lost", 120.0, count, 20.0, 60.0, down=(0,)),
        ZoneDay("half slow", 90.0, count, 20.0, 60.0, half_slow=0),
        ZoneDay("cut", 90.0, count, 20.0, 50.0, cut=0),
        ZoneDay("flap", 3_600.0, 45, 20.0, 3_590.0, flap=(0, 2.0)),
        ZoneDay("region lost", 120.0, count, 20.0, 60.0, down=(0, 1, 2)),
        ZoneDay("views apart", 90.0, count, 20.0, 50.0, down=(0,), late=(1, 10)),
    ]
