"""The ninefold day through the real program: its own process, stand-ins and callers on loopback.

It is played in real time.  The model plays the same day at the same rate, with the same draws; the two shares
of worth lie side by side.
"""

from __future__ import annotations

import asyncio
from contextlib import AsyncExitStack
from pathlib import Path

from saltcart.lab import composition_scenarios
from saltcart.lab.budgets import Play
from saltcart.lab.dependency import ModelDependency
from saltcart.lab.faults import programs
from saltcart.lab.faults.programs import Program, call, fleet
from saltcart.lab.standins import AjpStandIn, IndexStandIn, ModelScript, StandIn

SECONDS, SOCKET_RATE = 16.0, 40.0
SLOW = 1  # the number of the ninefold day


def request(n: int, klass: str, rank: float, deadline: float) -> bytes:
    key = f"k{n}" if klass == "oddaja" else ""
    return programs.request(klass, n, b'{"n":%d}' % n, deadline, rank, key=key)


async def play(seed: int) -> dict[str, float]:
    """Shares of the offered worth that were earned: on sockets and in the model."""
    day = composition_scenarios.days(SECONDS)[SLOW]
    model = Play(day, "budgets", SECONDS, seed, SOCKET_RATE)
    loop = asyncio.get_running_loop()
    origin = loop.time() + 3600  # set at the start; scripts are asked from then on alone
    places = {
        name: ModelDependency(name, *place, len(model.arrivals), seed, origin)
        for name, place in composition_scenarios.PLACES.items()
    }
    for name, trouble in day.troubles.items():
        places[name].troubles.append(trouble)
    stand_ins: dict[str, StandIn] = {
        name: (IndexStandIn if name in composition_scenarios.INDEX else AjpStandIn)(
            ModelScript(place, loop.time)
        )
        for name, place in places.items()
    }

    def make(number: int, folder: Path) -> Program:
        config = {"listen": "127.0.0.1:0", "seed": f"{seed:x}", "settings": composition_scenarios.SETTINGS}
        return Program(
            "lab", folder, config, composition_scenarios.tables({n: s.address for n, s in stand_ins.items()})
        )

    async with AsyncExitStack() as stack:
        for stand_in in stand_ins.values():
            await stack.enter_async_context(stand_in)
        (program,) = await stack.enter_async_context(fleet(1, make))
        await program.start()
        earned, statuses = await call_all(model, places, program.addresses["http"])
    tally = model.run()
    return {
        "sockets": earned / tally.offered,
        "model": tally.earned / tally.offered,
        "requests": len(model.arrivals),
        "unanswered": statuses.count(0),
        "writes_twice": sum(tries > 1 for tries in places["knjiga"].tries.values()),
    }


async def call_all(model: Play, places: dict[str, ModelDependency], at: str) -> tuple[float, list[int]]:
    loop = asyncio.get_running_loop()
    begun = loop.time() + 0.2
    for place in places.values():
        place.origin = begun

    async def one(n: int) -> tuple[float, int]:
        spec = model.settings.classes[model.kinds[n]]
        await asyncio.sleep(begun + model.arrivals[n] - loop.time())
        sent = loop.time()
        try:
            answer = await call(at, request(n, spec.name, model.ranks[n], spec.deadline), spec.deadline + 1)
        except (OSError, TimeoutError):
            return 0.0, 0
        if answer.status != 200 or loop.time() - sent > spec.latency_objective:
            return 0.0, answer.status
        left = answer.headers.get(b"left-out", b"").decode()
        lost = sum(model.worths[spec.name][name] for name in left.split(", ") if name)
        return spec.priority_weight * (1 - lost), 200

    ends = await asyncio.gather(*(one(n) for n in range(len(model.arrivals))))
    return sum(worth for worth, _ in ends), [status for _, status in ends]
