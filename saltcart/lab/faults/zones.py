"""Zone rig: nine or twelve service processes in three or six zones of three members each, and their clients.

Each process reaches each member at a port of its own, so that the network path between the two can be cut
without affecting the others.  Datagrams between the processes pass through the relay.
"""

from __future__ import annotations

import asyncio
import random
import time
from collections import Counter
from collections.abc import AsyncIterator
from contextlib import AsyncExitStack, asynccontextmanager
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any, NamedTuple

from saltcart.lab.faults.links import LinkRule, LinkRules, Relay
from saltcart.lab.faults.members import POLL_INTERVAL_S, SERVICE_CLASSES
from saltcart.lab.faults.programs import TOKEN, Program, call, fleet, request, settings, start_all
from saltcart.lab.standins import AjpStandIn, ReceivedCall, ScriptedReply
from saltcart.lab.zones import agreement_share

MEMBERS_PER_ZONE = 3
REQUEST_RATE = 8.0  # requests per second of one instance
MEMBER_CAPACITY = 16.0  # requests per second of one member: 48 per zone, of which 24 are its own
SERVICE_TIME_S = 0.03  # of a request that need not queue
# Bound on the mutual discovery of the zones, and time for the last plan to reach all processes.
DISCOVERY_TIMEOUT_S, FINAL_PLAN_WAIT_S = 20.0, 6.0
DEADLINE_S = 3.0


class ZoneScenario(NamedTuple):
    """A scenario of the zone rig; times in seconds from its start.

    Attributes:
        name: Name in the table of the experiment.
        duration_s: Time during which clients send requests.
        fault_start: Start of the fault.
        fault_end: End of the fault.
        affected_zones: Numbers of the zones with the fault.
        regions: Region of each zone.
        instances: Number of processes.
        stalled_processes: Processes that no datagram reaches for ``STALL_S`` from the start of the fault.
    """

    name: str
    duration_s: float
    fault_start: float
    fault_end: float
    affected_zones: tuple[int, ...] = (0,)
    regions: tuple[str, ...] = ("r0", "r0", "r1")
    instances: int = 9
    stalled_processes: tuple[int, ...] = ()


STALL_S = 2.5
SCENARIOS = (
    ZoneScenario("zone lost", 45.0, 8.0, 18.0),
    ZoneScenario("half slow", 30.0, 8.0, 28.0),
    ZoneScenario("cut", 40.0, 8.0, 20.0),
    ZoneScenario("flap", 40.0, 8.0, 38.0),
    ZoneScenario("region lost", 60.0, 8.0, 20.0, (0, 1, 2), ("r0", "r0", "r0", "r1", "r1", "r1"), 12),
    ZoneScenario("views apart", 30.0, 8.0, 26.0, stalled_processes=(3, 7)),
)


@dataclass
class ZoneScenarioResult:
    """Result of one scenario.

    Attributes:
        request_count: All requests.
        success_count: Requests that were served.
        healthy_zone_requests: Requests of zones without a fault at that time.
        served_in_own_zone: Those of them that members of their own zone served.
        affected_served: Served requests of the affected zones, by half second.
        affected_offered: All requests of the affected zones, by half second.
        failover: Seconds from the start of the fault until 99% of the affected zones' requests are served;
            None if that was not reached during the fault.
        moves: Changes of the plan.
        swings: Times that the majority of the first zone's requests was sent elsewhere, or back.
        agree: Share of all pairs of processes that hold the same plan at the end.
        overload_seconds: Zone-seconds with requests of more than 1.2 times the zone's capacity.
        outdated_plans: Processes without the newest plan at the end of the stall.
        plan_numbers: Number of the plan that each process holds at the end.
    """

    request_count: int = 0
    success_count: int = 0
    healthy_zone_requests: int = 0
    served_in_own_zone: int = 0
    affected_served: Counter[int] = field(default_factory=Counter)
    affected_offered: Counter[int] = field(default_factory=Counter)
    failover: float | None = None
    moves: int = 0
    swings: int = 0
    agree: float = 0.0
    overload_seconds: int = 0
    outdated_plans: int = 0
    plan_numbers: list[int] = field(default_factory=list)

    @property
    def success(self) -> float:
        """Share of the requests that were served."""
        return self.success_count / self.request_count

    @property
    def kept_local(self) -> float:
        """Share of the healthy zones' requests that their own zone served."""
        return self.served_in_own_zone / max(1, self.healthy_zone_requests)


class SimulatedMember:
    """Queue of one member, shared by its stand-ins for all processes.

    Attributes:
        free_at: Unix time at which the queue is empty.
        slowdown: Factor on the time that a request takes.
        arrivals: Requests by second of the scenario.
        requests_by_process: Requests by the process that sent them.
    """

    def __init__(self, number: int) -> None:
        self.number, self.zone = number, number // MEMBERS_PER_ZONE
        self.free_at, self.slowdown, self.down = 0.0, 1.0, False
        self.arrivals = Counter[int]()
        self.requests_by_process = Counter[int]()


class ZoneRig:
    """Processes and members of all zones, and the clients of one scenario.

    Args:
        scenario: The scenario.
        seed: Seed of the links' and the clients' random generators.
    """

    def __init__(self, scenario: ZoneScenario, seed: int) -> None:
        self.scenario, self.rng, self.result, self.instances = (
            scenario,
            random.Random(seed),
            ZoneScenarioResult(),
            scenario.instances,
        )
        self.zones = len(scenario.regions)
        self.members = [SimulatedMember(n) for n in range(self.zones * MEMBERS_PER_ZONE)]
        instances = self.instances
        self.links = LinkRules(instances, seed)
        self.relay = Relay(self.links)
        self.cut_paths = set[tuple[int, int]]()  # process and member between which nothing passes
        self.started_at = 0.0
        self.stand_ins: dict[tuple[int, int], AjpStandIn] = {}  # by process and member
        self.programs: list[Program] = []

    def make_script(self, process: int, member_number: int) -> Any:
        """Create the script of the stand-in at which one process reaches one member."""
        member = self.members[member_number]

        def serve(received_call: ReceivedCall) -> ScriptedReply:
            if (process, member_number) in self.cut_paths:
                return ScriptedReply("silent")
            now = time.time()
            member.arrivals[int(now - self.started_at)] += 1
            service_start = max(now, member.free_at)
            member.free_at = service_start + member.slowdown / MEMBER_CAPACITY
            member.requests_by_process[process] += 1
            return ScriptedReply(
                "ok", service_start - now + SERVICE_TIME_S * member.slowdown, b"%d" % member.zone
            )

        return serve

    def make_program(self, number: int, folder: Path) -> Program:
        """Create one process that is not yet started."""
        members = [
            {
                "host": self.stand_ins[number, m].address,
                "zone": f"z{m // MEMBERS_PER_ZONE}",
                "region": self.scenario.regions[m // MEMBERS_PER_ZONE],
                "capacity": MEMBER_CAPACITY,
            }
            for m in range(self.zones * MEMBERS_PER_ZONE)
        ]
        zone = number % self.zones
        return Program(
            f"i{number}",
            folder,
            {
                "listen": "127.0.0.1:0",
                "seed": f"{number + 7:x}",
                "settings": settings(SERVICE_CLASSES, 8),
                "limits": {"sockets": 512},
            },
            {
                "admin": {"listen": "127.0.0.1:0", "token": TOKEN},
                "member": {
                    "listen": "127.0.0.1:0",
                    "cluster": "zones",
                    "advertise": self.relay.addresses[number],
                    "seeds": self.relay.addresses[:3],
                    "zone": f"z{zone}",
                    "region": self.scenario.regions[zone],
                },
                "upstream": [{"name": "work", "members": members}],
                "locality": {"upstream": "work"},
                "tenant": [{"name": "rig", "share": 1.0, "quota": 10_000.0}],
            },
        )

    @asynccontextmanager
    async def running(self) -> AsyncIterator[None]:
        """Run the relay, the members and the processes; entered once the processes know of all zones."""
        await self.relay.open()
        try:
            async with AsyncExitStack() as stack:
                for process in range(self.instances):
                    for member in range(self.zones * MEMBERS_PER_ZONE):
                        stand_in = AjpStandIn(self.make_script(process, member))
                        self.stand_ins[process, member] = await stack.enter_async_context(stand_in)
                        stand_in.port = int(stand_in.address.split(":")[1])
                self.programs = await stack.enter_async_context(fleet(self.instances, self.make_program))
                await start_all(self.programs)
                for number, program in enumerate(self.programs):
                    self.relay.register_process(number, program.addresses["member"])
                await self.wait_for_discovery()
                self.started_at = time.time()
                yield
        finally:
            self.relay.close()

    async def run(self) -> ZoneScenarioResult:
        """Run the scenario."""
        async with self.running():
            await self.run_clients_and_faults()
        return self.result

    async def poll_states(self) -> list[dict[str, Any] | None]:
        """Poll the locality state of each process; None for one that does not answer."""
        return list(await asyncio.gather(*(p.get_admin("/v1/locality") for p in self.programs)))

    async def wait_for_discovery(self) -> None:
        """Wait until all processes know of all zones.

        Raises:
            TimeoutError: They did not within ``DISCOVERY_TIMEOUT_S``.
        """
        async with asyncio.timeout(DISCOVERY_TIMEOUT_S):
            while not all(s is not None and len(s["zones"]) == self.zones for s in await self.poll_states()):
                await asyncio.sleep(POLL_INTERVAL_S)

    # ---- Requests and faults ----

    async def run_clients_and_faults(self) -> None:
        """Send requests and inject the faults, then record what the processes logged and hold."""
        scenario, result = self.scenario, self.result
        self.started_at = time.time() + 0.2
        async with asyncio.TaskGroup() as group:
            group.create_task(self.inject_faults())
            at = 0.0
            while (at := at + self.rng.expovariate(REQUEST_RATE * self.instances)) < scenario.duration_s:
                group.create_task(self.send_request(at, self.rng.randrange(self.instances)))
        plan_events = [e for p in self.programs for e in p.events if e["event"] == "locality-plan"]
        # Each process logs a plan, with its number and author, when it adopts it; equal rows count once.
        plans = [
            tuple(sorted((z, *sorted(shares.items())) for z, shares in e["rows"].items()))
            for e in sorted(plan_events, key=lambda e: e["at"])
        ]
        result.moves = sum(a != b for a, b in zip([(), *dict.fromkeys(plans)], dict.fromkeys(plans)))
        permille_away = [  # of the first zone's requests, sent to other zones by the first process's plans
            1000 - e["rows"].get("z0", {"z0": 1000}).get("z0", 0)
            for e in sorted(
                (e for e in self.programs[0].events if e["event"] == "locality-plan"), key=lambda e: e["at"]
            )
        ]
        result.swings = sum((a < 500) != (b < 500) for a, b in zip([0, *permille_away], permille_away))
        await asyncio.sleep(FINAL_PLAN_WAIT_S)
        states = [s for s in await self.poll_states() if s is not None]
        result.plan_numbers = [s["plan"] for s in states]
        held = Counter(repr(sorted((z, sorted(row.items())) for z, row in s["rows"].items())) for s in states)
        result.agree = agreement_share(held, self.instances)
        for half_second in range(int(2 * scenario.fault_start), int(2 * scenario.fault_end) - 2):
            span = range(half_second, half_second + 3)
            offered = sum(result.affected_offered[h] for h in span)
            if offered and sum(result.affected_served[h] for h in span) >= 0.99 * offered:
                result.failover = half_second / 2 - scenario.fault_start
                break
        for zone in range(self.zones):
            members = [member for member in self.members if member.zone == zone]
            result.overload_seconds += sum(
                sum(member.arrivals[second] for member in members) > 1.2 * MEMBERS_PER_ZONE * MEMBER_CAPACITY
                for second in range(int(scenario.duration_s))
            )

    async def send_request(self, at: float, instance: int) -> None:
        """Send one request and record its result.

        Args:
            at: Time of the request in seconds from the start of the scenario.
            instance: Number of the process that receives it.
        """
        await asyncio.sleep(max(0.0, self.started_at + at - time.time()))
        scenario, result, zone = self.scenario, self.result, instance % self.zones
        result.request_count += 1
        affected = zone in scenario.affected_zones and scenario.fault_start <= at and scenario.name != "cut"
        result.healthy_zone_requests += not affected
        result.affected_offered[int(2 * at)] += zone in scenario.affected_zones
        number = result.request_count
        data = request("read", number, b"x", DEADLINE_S, self.rng.random(), account="rig", size_kb=5)
        try:
            response = await call(self.programs[instance].addresses["http"], data, DEADLINE_S + 1)
        except (OSError, TimeoutError):
            return
        served = response.status == 200
        result.success_count += served
        result.served_in_own_zone += served and not affected and response.body == b"%d" % zone
        result.affected_served[int(2 * at)] += zone in scenario.affected_zones and served

    async def stop_members(self) -> None:
        """Stop all members of the affected zones: their ports refuse connections."""
        for (_, member), stand_in in self.stand_ins.items():
            if member // MEMBERS_PER_ZONE in self.scenario.affected_zones:
                await stand_in.__aexit__()

    async def restart_members(self) -> None:
        """Start the members of the affected zones again, at their old ports."""
        for (_, member), stand_in in self.stand_ins.items():
            if member // MEMBERS_PER_ZONE in self.scenario.affected_zones:
                await stand_in.__aenter__()

    async def stall_processes(self) -> None:
        """Stall the links to some processes for ``STALL_S``: they keep their plan meanwhile."""
        for number in self.scenario.stalled_processes:
            self.links.set_rule(LinkRule(stall=True), receiver=number)
        await self.wait_until(self.scenario.fault_start + STALL_S)
        plan_numbers = [s["plan"] for s in await self.poll_states() if s is not None]
        self.result.outdated_plans = sum(n != max(plan_numbers) for n in plan_numbers)
        self.links.clear_rules()
        self.relay.deliver_stalled()

    async def inject_faults(self) -> None:
        """Inject the faults of the scenario and remove them at their end."""
        scenario = self.scenario
        await self.wait_until(scenario.fault_start)
        first_zone_processes = [n for n in range(self.instances) if n % self.zones == 0]
        if scenario.name in {"zone lost", "region lost", "views apart"}:
            await self.stop_members()
            if scenario.stalled_processes:
                await self.stall_processes()
            await self.wait_until(scenario.fault_end)
            await self.restart_members()
        elif scenario.name == "half slow":
            self.members[0].slowdown = self.members[1].slowdown = 10.0
            await self.wait_until(scenario.fault_end)
            self.members[0].slowdown = self.members[1].slowdown = 1.0
        elif scenario.name == "cut":
            self.links.set_rule_between(LinkRule(cut=True), first_zone_processes)
            self.cut_paths = {
                (n, m)
                for n in range(self.instances)
                for m in range(self.zones * MEMBERS_PER_ZONE)
                if (n in first_zone_processes) != (m < MEMBERS_PER_ZONE)
            }
            await self.wait_until(scenario.fault_end)
            self.links.clear_rules()
            self.cut_paths = set()
        else:
            own_zone_paths = {(n, m) for n in first_zone_processes for m in range(MEMBERS_PER_ZONE)}
            at = scenario.fault_start
            while at < scenario.fault_end:
                self.cut_paths = own_zone_paths if not self.cut_paths else set()
                at += 2.0
                await self.wait_until(min(at, scenario.fault_end))
            self.cut_paths = set()

    async def wait_until(self, at: float) -> None:
        """Wait until the given time in seconds from the start of the scenario."""
        await asyncio.sleep(max(0.0, self.started_at + at - time.time()))


def run_scenario(job: tuple[int, int]) -> ZoneScenarioResult:
    """Run one scenario in the calling process of a worker pool.

    Args:
        job: Index of the scenario in ``SCENARIOS``, and the seed.
    """

    async def run() -> ZoneScenarioResult:
        return await ZoneRig(SCENARIOS[job[0]], job[1]).run()

    return asyncio.run(run())
