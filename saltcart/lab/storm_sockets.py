"""Experiment: a retry storm on sockets, with real processes and clients that retry without limit.

Half of the fleet is killed for ``OUTAGE_SECONDS`` and starts again cold; later the other two processes are
killed and restarted at once, one after the other.  Each process's requests run on an AJP stand-in of its own,
which is as cold as its process.  The requests, their work and the clients depend on the seed; the simulation
runs in real time, so that the number of attempts differs a little each time.
"""

from __future__ import annotations

import asyncio
import heapq
import random
import time
from collections import Counter
from contextlib import AsyncExitStack
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import orjson

from saltcart.decision.settings import Effect
from saltcart.lab.faults.programs import Program, call, fleet, request, settings, start_all
from saltcart.lab.standins import AjpStandIn, ReceivedCall, ScriptedReply
from saltcart.lab.storm import CLASSES, IMPATIENT_RETRY_SECONDS, KEYED_SHARE, recovery_seconds

NODES, CORES, WORK, LOAD = 4, 2, 0.08, 0.65
OUTAGE_START_SECONDS, OUTAGE_SECONDS, OUT = 8.0, 8.0, (0, 1)  # seconds, and which nodes
CRASHES = ((26.0, 2), (30.0, 3))  # killed and restarted at once
SECONDS, TAIL = 40.0, 5.0  # of new work, and for the last of it to end
COLD_FROM, COLD_SPAN = 0.3, 6.0
SLACK = 0.3  # seconds after its due time from which a response is late, on a machine that does other work
CONNECT = 0.05  # seconds that a refused connection costs a client


@dataclass
class WorkerStandIn:
    """Runs one process's requests in the order of their arrival on its cores, slowly while cold."""

    works: list[float]
    born: float = 0.0
    life: int = 0
    cores: list[float] = field(default_factory=lambda: [0.0] * CORES)
    ran: Counter[tuple[int, int]] = field(default_factory=Counter)  # keyed runs by life and request
    began: dict[tuple[int, int], float] = field(default_factory=dict)
    twice: int = 0

    def restart(self, cold: bool) -> None:
        """Start again with idle cores, cold or warm."""
        self.life += 1
        self.born, self.cores = time.time() - (0.0 if cold else COLD_SPAN), [0.0] * CORES

    def __call__(self, received: ReceivedCall) -> ScriptedReply:
        """Run a request, and return its reply with the delay until its run ends."""
        number, now = int(orjson.loads(received.body)["n"]), time.time()
        key = self.life, number
        window = CLASSES[1].key_window
        if number >= 0:  # a keyed one: not again within the window of the run before
            self.twice += key in self.began and now - self.began[key] <= window
            self.began[key] = now
        speed = min(1.0, COLD_FROM + (1 - COLD_FROM) * (now - self.born) / COLD_SPAN)
        begin = max(now, self.cores[0])
        took = self.works[abs(number)] / speed
        heapq.heapreplace(self.cores, begin + took)
        return ScriptedReply("ok", begin + took - now)


@dataclass
class ClientResult:
    """What the clients of one policy experienced; worth is by the second in which a request began."""

    offered: Counter[int] = field(default_factory=Counter)
    earned: Counter[int] = field(default_factory=Counter)
    tries: int = 0
    late: int = 0
    unanswered: int = 0
    told: int = 0


class StormScenario:
    """The scenario with one policy: ``storm`` or ``off``."""

    def __init__(self, policy: str, seed: int) -> None:
        self.policy, self.rng = policy, random.Random(seed)
        rate = LOAD * CORES * NODES / WORK
        self.births, at = list[float](), 0.0
        while (at := at + self.rng.expovariate(rate)) < SECONDS:
            self.births.append(at)
        self.works = [self.rng.gammavariate(4.0, WORK / 4) for _ in self.births]
        self.kinds = [int(self.rng.random() < KEYED_SHARE) for _ in self.births]
        self.obeys = [self.rng.random() < 0.5 for _ in self.births]
        self.orders = [self.rng.sample(range(NODES), NODES) for _ in self.births]
        self.places = [WorkerStandIn(self.works) for _ in range(NODES)]
        self.result = ClientResult()
        self.serial = 0

    def program_factory(self, stand_ins: list[AjpStandIn]) -> Any:
        """Return a function that makes the program of a number; it runs on the stand-in of that number."""
        classes = [
            {
                "name": c.name,
                "effect": "read_like" if c.effect is Effect.SAFE else "idempotency_key",
                "onTime": c.latency_objective,
                "deadline": c.deadline,
                "worth": c.priority_weight,
                "memorySpan": c.key_window,
            }
            for c in CLASSES
        ]

        def make_program(number: int, folder: Path) -> Program:
            """Return the program of a number."""
            deployment: dict[str, Any] = {
                "upstream": [{"name": "work", "members": [{"host": stand_ins[number].address}]}]
            }
            if self.policy == "storm":
                deployment["storm"] = {"reading": 0.05}
            config = {
                "listen": "127.0.0.1:0",
                "seed": f"{number + 1:x}",
                "limits": {"sockets": 512},
                "settings": settings(classes, CORES),
            }
            return Program(f"n{number}", folder, config, deployment)

        return make_program

    def request(self, n: int) -> bytes:
        """Return a new attempt of a request; nothing marks it as a retry."""
        spec, self.serial = CLASSES[self.kinds[n]], self.serial + 1
        body = b'{"n":%d}' % (n if self.kinds[n] else -n)
        return request(
            spec.name, self.serial, body, spec.deadline, n % 97 / 97, key=f"k{n}" if self.kinds[n] else ""
        )

    async def client(self, n: int, programs: list[Program], begun: float) -> None:
        """Send a request, and retry it without limit until it is served or the scenario is over."""
        loop, spec, rng = asyncio.get_running_loop(), CLASSES[self.kinds[n]], random.Random(n)
        await asyncio.sleep(begun + self.births[n] - loop.time())
        second, at = int(self.births[n]), 0
        self.result.offered[second] += int(spec.priority_weight)
        while loop.time() - begun < SECONDS + TAIL:
            node, sent = self.orders[n][at % NODES], loop.time()
            self.result.tries += 1
            wait, follow = rng.uniform(*IMPATIENT_RETRY_SECONDS), at + 1
            try:
                answer = await call(programs[node].addresses["http"], self.request(n), spec.deadline + 0.5)
            except ConnectionRefusedError:
                wait = CONNECT
            except TimeoutError:
                self.result.unanswered += programs[node].was_running(time.time(), spec.deadline + 0.5)
                follow = at if self.kinds[n] else at + 1
            except OSError:  # cut: a keyed one may have run there
                follow = at if self.kinds[n] else at + 1
            else:
                self.result.late += loop.time() - sent > spec.deadline + SLACK
                if answer.status == 200:
                    if loop.time() - begun - self.births[n] <= spec.latency_objective:
                        self.result.earned[second] += int(spec.priority_weight)
                    return
                if answer.status == 500 and self.kinds[n]:
                    follow = at
                back = int(answer.headers.get(b"retry-after", b"0"))
                if back:
                    self.result.told += 1
                    if self.obeys[n]:
                        wait, follow = back + rng.uniform(0.0, 0.05), at
            at = follow
            await asyncio.sleep(wait)

    async def inject_faults(self, programs: list[Program], begun: float) -> None:
        """Kill and restart processes at the times of the scenario."""
        loop = asyncio.get_running_loop()

        async def sleep_until(at: float) -> None:
            """Sleep until a time in seconds since the start."""
            await asyncio.sleep(max(0.0, begun + at - loop.time()))

        await sleep_until(OUTAGE_START_SECONDS)
        for n in OUT:
            programs[n].kill()
        await sleep_until(OUTAGE_START_SECONDS + OUTAGE_SECONDS - 0.5)  # about what a start takes
        await asyncio.gather(*(self.restart_cold(programs[n], self.places[n]) for n in OUT))
        for at, n in CRASHES:
            await sleep_until(at)
            programs[n].kill()
            await self.restart_cold(programs[n], self.places[n])

    async def restart_cold(self, program: Program, place: WorkerStandIn) -> None:
        """Start a program that was killed, with a cold worker."""
        await program.wait_until_ended()
        place.restart(cold=True)
        await program.start()

    async def run(self) -> dict[str, Any]:
        """Run the scenario and return its figures."""
        async with AsyncExitStack() as stack:
            stand_ins = [await stack.enter_async_context(AjpStandIn(place)) for place in self.places]
            programs = await stack.enter_async_context(fleet(NODES, self.program_factory(stand_ins)))
            await start_all(programs)
            for place in self.places:
                place.restart(cold=False)
            begun = asyncio.get_running_loop().time() + 0.5
            async with asyncio.TaskGroup() as group:
                group.create_task(self.inject_faults(programs, begun))
                for n in range(len(self.births)):
                    group.create_task(self.client(n, programs, begun))
            lives = sum(len(p.run_spans) for p in programs)
        worth = [self.result.earned[s] / max(1, self.result.offered[s]) for s in range(int(SECONDS) - 4)]
        return {
            "worth": worth,
            "recover_s": recovery_seconds(worth, OUTAGE_START_SECONDS, OUTAGE_SECONDS),
            "lives": lives,
            "amplification": round(self.result.tries / len(self.births), 2),
            "oddaja_twice": sum(p.twice for p in self.places),
            "late": self.result.late,
            "unanswered": self.result.unanswered,
            "told": self.result.told,
        }


def run_policy(job: tuple[str, int]) -> dict[str, Any]:
    """Run the scenario with a policy and a seed."""
    return asyncio.run(StormScenario(*job).run())


def run(seed: int) -> tuple[list[list[str]], dict[str, Any], dict[str, Any]]:
    """Return the table, the figures, and the worth by second, with retry-storm control and without."""
    from concurrent.futures import ProcessPoolExecutor

    with ProcessPoolExecutor(2) as pool:
        seen = dict(zip(("storm", "off"), pool.map(run_policy, [("storm", seed), ("off", seed)])))
    rows = [
        ["policy", "recovered s", "kept out", "kept after", "tries", "told", "twice", "late", "unanswered"]
    ]
    for policy, s in seen.items():
        out, back = int(OUTAGE_START_SECONDS), int(OUTAGE_START_SECONDS + OUTAGE_SECONDS)
        kept = [sum(part) / len(part) for part in (s["worth"][out:back], s["worth"][back:])]
        rows.append(
            [
                policy,
                "-" if s["recover_s"] is None else f"{s['recover_s']:.0f}",
                *(f"{k:.3f}" for k in kept),
                f"{s['amplification']:.2f}",
                *(str(s[k]) for k in ("told", "oddaja_twice", "late", "unanswered")),
            ]
        )
    figures = {
        k: seen["storm"][k]
        for k in ("recover_s", "amplification", "oddaja_twice", "late", "unanswered", "lives")
    }
    figures |= {f"{k}_off": seen["off"][k] for k in ("recover_s", "amplification", "oddaja_twice")}
    return rows, figures | {"seed": seed}, {"room": {p: s["worth"] for p, s in seen.items()}}
