"""Zones in the rig: nine or twelve real processes in three or six zones of three members, and callers.

Each process reaches each member at a port of its own, so that what lies between the two can be cut without
touching the others.  What members say to each other goes through the relay.
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
from saltcart.lab.standins import Act, AjpStandIn, Asked
from saltcart.lab.zones import agreement

MEMBERS = 3  # of a zone
RATE = 8.0  # requests a second of one instance
CAPACITY = 16.0  # requests a second of one member: 48 a zone, of which 24 are its own
TOOK = 0.03
SETTLE, AFTER = 20.0, 6.0  # seconds to know of each other; after the day, for the last plan to get round
DEADLINE = 3.0


class ZoneScenario(NamedTuple):
    """Times in seconds; the trouble lasts from ``begin`` to ``end``."""

    name: str
    seconds: float
    begin: float
    end: float
    hurt: tuple[int, ...] = (0,)  # zones that suffer
    regions: tuple[str, ...] = ("r0", "r0", "r1")  # of each zone
    instances: int = 9
    stalled: tuple[int, ...] = ()  # processes that nothing reaches for a while after the trouble began


STALL = 2.5  # seconds
SCENARIOS = (
    ZoneScenario("zone lost", 45.0, 8.0, 18.0),
    ZoneScenario("half slow", 30.0, 8.0, 28.0),
    ZoneScenario("cut", 40.0, 8.0, 20.0),
    ZoneScenario("flap", 40.0, 8.0, 38.0),
    ZoneScenario("region lost", 60.0, 8.0, 20.0, (0, 1, 2), ("r0", "r0", "r0", "r1", "r1", "r1"), 12),
    ZoneScenario("views apart", 30.0, 8.0, 26.0, stalled=(3, 7)),
)


@dataclass
class ZoneScenarioResult:
    requests: int = 0
    good: int = 0
    healthy: int = 0  # requests of zones in health, and of these
    home: int = 0  # those that their own zone's members did
    served: Counter[int] = field(default_factory=Counter)  # of the zones that suffer, by half second
    offered: Counter[int] = field(default_factory=Counter)
    failover: float | None = None
    moves: int = 0
    swings: int = 0
    agree: float = 0.0
    over: int = 0  # seconds in which more than a zone's capacity came to it
    apart: int = 0  # processes whose plan was another than the newest, when the stall ended
    plans: list[int] = field(default_factory=list)

    @property
    def success(self) -> float:
        return self.good / self.requests

    @property
    def kept_local(self) -> float:
        return self.home / max(1, self.healthy)


class Site:
    """One member's work, whichever process asks for it."""

    def __init__(self, number: int) -> None:
        self.number, self.zone = number, number // MEMBERS
        self.free_at, self.slow, self.down = 0.0, 1.0, False
        self.came = Counter[int]()  # by second
        self.did = Counter[int]()  # requests by the process that sent them


class ZoneRig:
    def __init__(self, play: ZoneScenario, seed: int) -> None:
        self.scenario, self.rng, self.result, self.instances = (
            play,
            random.Random(seed),
            ZoneScenarioResult(),
            play.instances,
        )
        self.zones = len(play.regions)
        self.sites = [Site(n) for n in range(self.zones * MEMBERS)]
        instances = self.instances
        self.links = LinkRules(instances, seed)
        self.relay = Relay(self.links)
        self.cut = set[tuple[int, int]]()  # processes and members between which nothing passes
        self.started_at = 0.0
        self.stand_ins: dict[tuple[int, int], AjpStandIn] = {}
        self.programs: list[Program] = []

    def script(self, process: int, member: int) -> Any:
        site = self.sites[member]

        def act(asked: Asked) -> Act:
            if (process, member) in self.cut:
                return Act("silent")
            now = time.time()
            site.came[int(now - self.started_at)] += 1
            begin = max(now, site.free_at)
            site.free_at = begin + site.slow / CAPACITY
            site.did[process] += 1
            return Act("ok", begin - now + TOOK * site.slow, b"%d" % site.zone)

        return act

    def make(self, number: int, folder: Path) -> Program:
        members = [
            {
                "host": self.stand_ins[number, m].address,
                "zone": f"z{m // MEMBERS}",
                "region": self.scenario.regions[m // MEMBERS],
                "capacity": CAPACITY,
            }
            for m in range(self.zones * MEMBERS)
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
        """The relay, the members and the processes, which know of each other."""
        await self.relay.open()
        try:
            async with AsyncExitStack() as stack:
                for process in range(self.instances):
                    for member in range(self.zones * MEMBERS):
                        made = AjpStandIn(self.script(process, member))
                        self.stand_ins[process, member] = await stack.enter_async_context(made)
                        made.port = int(made.address.split(":")[1])
                self.programs = await stack.enter_async_context(fleet(self.instances, self.make))
                await start_all(self.programs)
                for number, program in enumerate(self.programs):
                    self.relay.register_process(number, program.addresses["member"])
                await self.settled()
                self.started_at = time.time()
                yield
        finally:
            self.relay.close()

    async def run(self) -> ZoneScenarioResult:
        async with self.running():
            await self.day()
        return self.result

    async def poll_states(self) -> list[dict[str, Any] | None]:
        return list(await asyncio.gather(*(p.get_admin("/v1/locality") for p in self.programs)))

    async def settled(self) -> None:
        """Everybody knows of all zones."""
        async with asyncio.timeout(SETTLE):
            while not all(s is not None and len(s["zones"]) == self.zones for s in await self.poll_states()):
                await asyncio.sleep(POLL_INTERVAL_S)

    # ---- the day ------------------------------------------------------------------------------

    async def day(self) -> None:
        play, told = self.scenario, self.result
        self.started_at = time.time() + 0.2
        async with asyncio.TaskGroup() as group:
            group.create_task(self.trouble())
            at = 0.0
            while (at := at + self.rng.expovariate(RATE * self.instances)) < play.seconds:
                group.create_task(self.send_request(at, self.rng.randrange(self.instances)))
        plans = [e for p in self.programs for e in p.events if e["event"] == "locality-plan"]
        # One plan is told by each process that took it up; the number and its author name it.
        rows = [
            tuple(sorted((z, *sorted(r.items())) for z, r in e["rows"].items()))
            for e in sorted(plans, key=lambda e: e["at"])
        ]
        told.moves = sum(a != b for a, b in zip([(), *dict.fromkeys(rows)], dict.fromkeys(rows)))
        away = [
            1000 - e["rows"].get("z0", {"z0": 1000}).get("z0", 0)
            for e in sorted(
                (e for e in self.programs[0].events if e["event"] == "locality-plan"), key=lambda e: e["at"]
            )
        ]
        told.swings = sum((a < 500) != (b < 500) for a, b in zip([0, *away], away))
        await asyncio.sleep(AFTER)
        states = [s for s in await self.poll_states() if s is not None]
        told.plans = [s["plan"] for s in states]
        held = Counter(repr(sorted((z, sorted(row.items())) for z, row in s["rows"].items())) for s in states)
        told.agree = agreement(held, self.instances)
        for half in range(int(2 * play.begin), int(2 * play.end) - 2):
            span = range(half, half + 3)
            offered = sum(told.offered[h] for h in span)
            if offered and sum(told.served[h] for h in span) >= 0.99 * offered:
                told.failover = half / 2 - play.begin
                break
        for zone in range(self.zones):
            sites = [s for s in self.sites if s.zone == zone]
            told.over += sum(
                sum(s.came[n] for s in sites) > 1.2 * MEMBERS * CAPACITY for n in range(int(play.seconds))
            )

    async def send_request(self, at: float, instance: int) -> None:
        await asyncio.sleep(max(0.0, self.started_at + at - time.time()))
        play, told, zone = self.scenario, self.result, instance % self.zones
        told.requests += 1
        hurt = zone in play.hurt and play.begin <= at and play.name != "cut"
        told.healthy += not hurt
        told.offered[int(2 * at)] += zone in play.hurt
        number = told.requests
        data = request("read", number, b"x", DEADLINE, self.rng.random(), account="rig", size_kb=5)
        try:
            answer = await call(self.programs[instance].addresses["http"], data, DEADLINE + 1)
        except (OSError, TimeoutError):
            return
        good = answer.status == 200
        told.good += good
        told.home += good and not hurt and answer.body == b"%d" % zone
        told.served[int(2 * at)] += zone in play.hurt and good

    async def stop_members(self) -> None:
        """All members of the zones that suffer are gone: their ports refuse."""
        for (_, member), stand_in in self.stand_ins.items():
            if member // MEMBERS in self.scenario.hurt:
                await stand_in.__aexit__()

    async def restart_members(self) -> None:
        for (_, member), stand_in in self.stand_ins.items():
            if member // MEMBERS in self.scenario.hurt:
                await stand_in.__aenter__()

    async def stall(self) -> None:
        """Nothing reaches some processes for a while: they go on with the plan of before."""
        for number in self.scenario.stalled:
            self.links.set_rule(LinkRule(stall=True), receiver=number)
        await self.wait_until(self.scenario.begin + STALL)
        numbers = [s["plan"] for s in await self.poll_states() if s is not None]
        self.result.apart = sum(n != max(numbers) for n in numbers)
        self.links.clear_rules()
        self.relay.deliver_stalled()

    async def trouble(self) -> None:
        play = self.scenario
        await self.wait_until(play.begin)
        mine = [n for n in range(self.instances) if n % self.zones == 0]
        if play.name in {"zone lost", "region lost", "views apart"}:
            await self.stop_members()
            if play.stalled:
                await self.stall()
            await self.wait_until(play.end)
            await self.restart_members()
        elif play.name == "half slow":
            self.sites[0].slow = self.sites[1].slow = 10.0
            await self.wait_until(play.end)
            self.sites[0].slow = self.sites[1].slow = 1.0
        elif play.name == "cut":
            self.links.set_rule_between(LinkRule(cut=True), mine)
            self.cut = {
                (n, m)
                for n in range(self.instances)
                for m in range(self.zones * MEMBERS)
                if (n in mine) != (m < MEMBERS)
            }
            await self.wait_until(play.end)
            self.links.clear_rules()
            self.cut = set()
        else:
            own = {(n, m) for n in mine for m in range(MEMBERS)}
            at = play.begin
            while at < play.end:
                self.cut = own if not self.cut else set()
                at += 2.0
                await self.wait_until(min(at, play.end))
            self.cut = set()

    async def wait_until(self, at: float) -> None:
        await asyncio.sleep(max(0.0, self.started_at + at - time.time()))


def run_scenario(job: tuple[int, int]) -> ZoneScenarioResult:
    """A play by its number in ``PLAYS``, in a process of its own."""

    async def run() -> ZoneScenarioResult:
        return await ZoneRig(SCENARIOS[job[0]], job[1]).run()

    return asyncio.run(run())
