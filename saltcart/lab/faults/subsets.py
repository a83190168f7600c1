"""Subsets in the rig: processes that come, go, restart and are cut in two, and who connects to whom.

The members are stand-ins that count what they are asked; callers ask for half as much again as all members
together are said to do, so that the shared limit binds.
"""

from __future__ import annotations

import asyncio
import random
import time
from collections import Counter
from collections.abc import AsyncIterator
from contextlib import AsyncExitStack, asynccontextmanager, suppress
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from saltcart.lab.faults.links import LinkRule, LinkRules, Relay
from saltcart.lab.faults.members import POLL_INTERVAL_S, SERVICE_CLASSES
from saltcart.lab.faults.programs import TOKEN, Program, call, fleet, request, settings, start_all
from saltcart.lab.standins import Act, AjpStandIn, Asked

INSTANCES, MEMBERS, FIRST, GROUPS = 12, 8, 10, 2
CAPACITY = 12.0  # requests a second of one member, as the deployment says
OVER = 1.5  # what is asked for, of all capacity
LIMIT_S = 8.0  # seconds for which it is
SETTLE, STILL = 25.0, 20  # seconds at most, and looks in a row without a change


States = dict[str, dict[str, Any]]  # what each process shows of its subset


@dataclass
class SubsetScenarioResult:
    """``steps``: what came of each change, in order: most over least clients, and connections made anew."""

    steps: list[tuple[str, float, int, float]] = field(default_factory=list)
    settled: bool = True
    overshoot: float = 0.0  # of the limit, in the worst second
    used: float = 0.0  # of the limit, over all of it


class SubsetRig:
    def __init__(self, seed: int, instances: int = INSTANCES) -> None:
        self.seed, self.rng, self.result, self.instances = (
            seed,
            random.Random(seed),
            SubsetScenarioResult(),
            instances,
        )
        self.links = LinkRules(instances, seed)
        self.relay = Relay(self.links)
        self.came = Counter[int]()  # requests at members, by second
        self.stand_ins: list[AjpStandIn] = []
        self.programs: list[Program] = []

    def script(self, asked: Asked) -> Act:
        self.came[int(time.time())] += 1
        return Act("ok", 0.01)

    def make(self, number: int, folder: Path) -> Program:
        members = [{"host": s.address, "capacity": CAPACITY} for s in self.stand_ins]
        return Program(
            f"s{number:02}",
            folder,
            {
                "listen": "127.0.0.1:0",
                "seed": f"{number + 3:x}",
                "settings": settings(SERVICE_CLASSES, 8),
                "limits": {"sockets": 512},
            },
            {
                "admin": {"listen": "127.0.0.1:0", "token": TOKEN},
                "member": {
                    "listen": "127.0.0.1:0",
                    "cluster": "subsets",
                    "advertise": self.relay.addresses[number],
                    "seeds": self.relay.addresses[:3],
                },
                "upstream": [{"name": "work", "members": members}],
                "fleet": {"upstream": "work", "classes": GROUPS},
                "tenant": [{"name": "rig", "share": 1.0, "quota": 10_000.0}],
            },
        )

    async def start(self, numbers: range) -> None:
        await start_all([self.programs[n] for n in numbers])
        for n in numbers:
            self.relay.register_process(n, self.programs[n].addresses["member"])

    async def poll_states(self) -> States:
        up = [p for p in self.programs if p.is_running and p.addresses]
        seen = await asyncio.gather(*(p.get_admin("/v1/fleet") for p in up))
        return {p.name: s for p, s in zip(up, seen) if s is not None}

    async def wait_for_stable_subsets(self, name: str, before: States, best: int) -> States:
        """Wait until nobody's subset changes any more; ``best``: connections that any way makes anew."""
        begun, same = time.time(), 0
        states = await self.poll_states()
        while time.time() - begun < SETTLE and same < STILL:
            await asyncio.sleep(POLL_INTERVAL_S)
            last, states = states, await self.poll_states()
            still = {n: s["subset"] for n, s in last.items()} == {n: s["subset"] for n, s in states.items()}
            same = same + 1 if still else 0
        self.result.settled &= same >= STILL
        counts = self.client_counts(states)
        spread = max(counts) / max(1, min(counts))
        anew = sum(
            len(set(s["subset"]) - set(before[n]["subset"] if n in before else ())) for n, s in states.items()
        )
        self.result.steps.append((name, round(spread, 3), anew, round(anew / max(1, best), 2)))
        return states

    def client_counts(self, states: States) -> list[int]:
        """How many processes each member has."""
        counts = Counter(h for s in states.values() for h in s["subset"])
        return [counts[s.address] for s in self.stand_ins]

    @asynccontextmanager
    async def running(self) -> AsyncIterator[None]:
        """The relay, the members and the processes, which are made and not yet started."""
        await self.relay.open()
        try:
            async with AsyncExitStack() as stack:
                for _ in range(MEMBERS):
                    self.stand_ins.append(await stack.enter_async_context(AjpStandIn(self.script)))
                self.programs = await stack.enter_async_context(fleet(self.instances, self.make))
                yield
        finally:
            self.relay.close()

    async def run(self) -> SubsetScenarioResult:
        each = MEMBERS // GROUPS
        async with self.running():
            await self.start(range(FIRST))
            states = await self.wait_for_stable_subsets("start", {}, FIRST * each)
            await self.limit()
            await self.start(range(FIRST, INSTANCES))
            states = await self.wait_for_stable_subsets("two join", states, 2 * each)
            for n in (0, 3):  # the first by name follows the tables: the next goes on with them
                self.programs[n].kill()
            left = Counter(s["class"] for n, s in states.items() if n not in ("s00", "s03"))
            apart = max(left.values()) - min(left.values())
            states = await self.wait_for_stable_subsets("two die", states, each * (apart // 2))
            for n in range(1, INSTANCES, 2):
                if n != 3:
                    await self.programs[n].restart()
            states = await self.wait_for_stable_subsets("half restart", states, 0)
            self.links.set_rule_between(LinkRule(cut=True), list(range(0, INSTANCES, 2)))
            await asyncio.sleep(8.0)
            self.links.clear_rules()
            await self.wait_for_stable_subsets("halves meet again", states, 0)
        return self.result

    async def limit(self) -> None:
        """More is asked for than all members are said to do, and unevenly: the first asks most."""
        whole, begun = CAPACITY * MEMBERS, time.time()
        weights = [3.0, *([1.0] * (FIRST - 1))]

        async def one(at: float, number: int, instance: int) -> None:
            await asyncio.sleep(max(0.0, begun + at - time.time()))
            data = request("read", number, b"x", 2.0, 0.5, account="rig", size_kb=5)
            with suppress(OSError, TimeoutError):
                await call(self.programs[instance].addresses["http"], data, 3.0)

        async with asyncio.TaskGroup() as group:
            at, number = 0.0, 0
            while (at := at + self.rng.expovariate(OVER * whole)) < LIMIT_S:
                number += 1
                group.create_task(one(at, number, self.rng.choices(range(FIRST), weights)[0]))
        seconds = range(int(begun) + 4, int(begun + LIMIT_S))  # once all have told what they are asked for
        self.result.overshoot = max(self.came[s] for s in seconds) / whole - 1
        self.result.used = sum(self.came[s] for s in seconds) / whole / len(seconds)


def run_scenario(seed: int) -> SubsetScenarioResult:
    async def run() -> SubsetScenarioResult:
        return await SubsetRig(seed).run()

    return asyncio.run(run())
