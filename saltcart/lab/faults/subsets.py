"""Subsetting rig: processes that join, crash, restart and are partitioned, and the subsets that they choose.

The members are stand-ins that count their requests.  Clients offer half as many requests again as all members
together have capacity for, so that the shared rate limit binds.
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
from saltcart.lab.standins import AjpStandIn, ReceivedCall, ScriptedReply

INSTANCE_COUNT, MEMBER_COUNT, INITIAL_INSTANCES, CLASS_COUNT = 12, 8, 10, 2
MEMBER_CAPACITY = 12.0  # requests per second of one member, as stated in the deployment file
OFFERED_LOAD = 1.5  # offered requests, relative to the capacity of all members
OVERLOAD_S = 8.0  # duration of the offered load
STABLE_TIMEOUT_S, STABLE_POLLS = 25.0, 20  # bound, and successive polls without a change of a subset


SubsetStates = dict[str, dict[str, Any]]  # subsetting state in the administration API, by process name


@dataclass
class SubsetScenarioResult:
    """Result of the scenario.

    Attributes:
        steps: Each change of the fleet in order: its name, the greatest number of clients of a member over
            the smallest, the number of new connections, and their ratio to the fewest that any assignment
            needs.
        settled: Whether the subsets became stable after each change.
        overshoot: Excess over the shared limit in the worst second, relative to the limit.
        used: Mean use of the shared limit, relative to the limit.
    """

    steps: list[tuple[str, float, int, float]] = field(default_factory=list)
    settled: bool = True
    overshoot: float = 0.0
    used: float = 0.0


class SubsetRig:
    """Processes that choose subsets of the stand-in members.

    Args:
        seed: Seed of the links' and the clients' random generators.
        instances: Number of processes.
    """

    def __init__(self, seed: int, instances: int = INSTANCE_COUNT) -> None:
        self.seed, self.rng, self.result, self.instances = (
            seed,
            random.Random(seed),
            SubsetScenarioResult(),
            instances,
        )
        self.links = LinkRules(instances, seed)
        self.relay = Relay(self.links)
        self.arrivals = Counter[int]()  # requests at all members, by second of Unix time
        self.stand_ins: list[AjpStandIn] = []
        self.programs: list[Program] = []

    def serve(self, received_call: ReceivedCall) -> ScriptedReply:
        """Count a request at a member, and respond to it."""
        self.arrivals[int(time.time())] += 1
        return ScriptedReply("ok", 0.01)

    def make_program(self, number: int, folder: Path) -> Program:
        """Create one process that is not yet started."""
        members = [{"host": s.address, "capacity": MEMBER_CAPACITY} for s in self.stand_ins]
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
                "fleet": {"upstream": "work", "classes": CLASS_COUNT},
                "tenant": [{"name": "rig", "share": 1.0, "quota": 10_000.0}],
            },
        )

    async def start(self, numbers: range) -> None:
        """Start the processes with the given numbers, and register their addresses at the relay."""
        await start_all([self.programs[n] for n in numbers])
        for n in numbers:
            self.relay.register_process(n, self.programs[n].addresses["member"])

    async def poll_states(self) -> SubsetStates:
        """Poll the subsetting state of each running process that answers."""
        running = [p for p in self.programs if p.is_running and p.addresses]
        states = await asyncio.gather(*(p.get_admin("/v1/fleet") for p in running))
        return {p.name: s for p, s in zip(running, states) if s is not None}

    async def wait_for_stable_subsets(
        self, name: str, before: SubsetStates, fewest_connections: int
    ) -> SubsetStates:
        """Wait until no subset changes any more, and record the effects of a change of the fleet.

        Args:
            name: Name of the change in the result.
            before: States before the change.
            fewest_connections: Number of new connections that any assignment needs after the change.

        Returns:
            The states after the change.
        """
        started_at, stable_polls = time.time(), 0
        states = await self.poll_states()
        while time.time() - started_at < STABLE_TIMEOUT_S and stable_polls < STABLE_POLLS:
            await asyncio.sleep(POLL_INTERVAL_S)
            previous, states = states, await self.poll_states()
            unchanged = {n: s["subset"] for n, s in previous.items()} == {
                n: s["subset"] for n, s in states.items()
            }
            stable_polls = stable_polls + 1 if unchanged else 0
        self.result.settled &= stable_polls >= STABLE_POLLS
        counts = self.client_counts(states)
        spread = max(counts) / max(1, min(counts))
        new_connections = sum(
            len(set(s["subset"]) - set(before[n]["subset"] if n in before else ())) for n, s in states.items()
        )
        self.result.steps.append(
            (
                name,
                round(spread, 3),
                new_connections,
                round(new_connections / max(1, fewest_connections), 2),
            )
        )
        return states

    def client_counts(self, states: SubsetStates) -> list[int]:
        """Number of processes whose subset has each member, in the order of the members."""
        counts = Counter(h for s in states.values() for h in s["subset"])
        return [counts[s.address] for s in self.stand_ins]

    @asynccontextmanager
    async def running(self) -> AsyncIterator[None]:
        """Run the relay and the members, and create the processes, which are not yet started."""
        await self.relay.open()
        try:
            async with AsyncExitStack() as stack:
                for _ in range(MEMBER_COUNT):
                    self.stand_ins.append(await stack.enter_async_context(AjpStandIn(self.serve)))
                self.programs = await stack.enter_async_context(fleet(self.instances, self.make_program))
                yield
        finally:
            self.relay.close()

    async def run(self) -> SubsetScenarioResult:
        """Run the scenario: start, overload, join, crash, restart and partition."""
        subset_size = MEMBER_COUNT // CLASS_COUNT
        async with self.running():
            await self.start(range(INITIAL_INSTANCES))
            states = await self.wait_for_stable_subsets("start", {}, INITIAL_INSTANCES * subset_size)
            await self.exceed_shared_limit()
            await self.start(range(INITIAL_INSTANCES, INSTANCE_COUNT))
            states = await self.wait_for_stable_subsets("two join", states, 2 * subset_size)
            for n in (0, 3):  # 0 is the leader, which updates the assignments; the next by name takes over
                self.programs[n].kill()
            survivors = Counter(s["class"] for n, s in states.items() if n not in ("s00", "s03"))
            imbalance = max(survivors.values()) - min(survivors.values())
            states = await self.wait_for_stable_subsets("two die", states, subset_size * (imbalance // 2))
            for n in range(1, INSTANCE_COUNT, 2):
                if n != 3:
                    await self.programs[n].restart()
            states = await self.wait_for_stable_subsets("half restart", states, 0)
            self.links.set_rule_between(LinkRule(cut=True), list(range(0, INSTANCE_COUNT, 2)))
            await asyncio.sleep(8.0)
            self.links.clear_rules()
            await self.wait_for_stable_subsets("halves meet again", states, 0)
        return self.result

    async def exceed_shared_limit(self) -> None:
        """Offer more requests than the shared limit, the most of them to the first process."""
        limit, started_at = MEMBER_CAPACITY * MEMBER_COUNT, time.time()
        weights = [3.0, *([1.0] * (INITIAL_INSTANCES - 1))]

        async def send_request(at: float, number: int, instance: int) -> None:
            await asyncio.sleep(max(0.0, started_at + at - time.time()))
            data = request("read", number, b"x", 2.0, 0.5, account="rig", size_kb=5)
            with suppress(OSError, TimeoutError):
                await call(self.programs[instance].addresses["http"], data, 3.0)

        async with asyncio.TaskGroup() as group:
            at, number = 0.0, 0
            while (at := at + self.rng.expovariate(OFFERED_LOAD * limit)) < OVERLOAD_S:
                number += 1
                group.create_task(
                    send_request(at, number, self.rng.choices(range(INITIAL_INSTANCES), weights)[0])
                )
        # All processes have reported their demand by the fourth second.
        seconds = range(int(started_at) + 4, int(started_at + OVERLOAD_S))
        self.result.overshoot = max(self.arrivals[s] for s in seconds) / limit - 1
        self.result.used = sum(self.arrivals[s] for s in seconds) / limit / len(seconds)


def run_scenario(seed: int) -> SubsetScenarioResult:
    """Run the scenario in the calling process of a worker pool."""

    async def run() -> SubsetScenarioResult:
        return await SubsetRig(seed).run()

    return asyncio.run(run())
