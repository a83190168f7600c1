"""One scenario of the experiment on composed responses, with a real process and stand-ins on loopback.

It runs in real time.  The simulation runs the same scenario at the same rate with the same draws, so that the
earned shares of the offered weight can be compared.
"""

from __future__ import annotations

import asyncio
from contextlib import AsyncExitStack
from pathlib import Path

from saltcart.lab import composition_scenarios as scenarios
from saltcart.lab.composition_simulation import CompositionSimulation
from saltcart.lab.dependency import ModelDependency
from saltcart.lab.faults import programs
from saltcart.lab.faults.programs import Program, call, fleet
from saltcart.lab.standins import AjpStandIn, IndexStandIn, ModelScript, StandIn

RUN_SECONDS, REQUESTS_PER_SECOND = 16.0, 40.0
SCENARIO_INDEX = 1  # the scenario with one slow dependency
START_DELAY_SECONDS = 0.2  # between the start of the process and the first request


def encode_request(n: int, class_name: str, priority_rank: float, deadline: float) -> bytes:
    """Return an HTTP request; its deadline is in seconds from now."""
    key = f"k{n}" if class_name == "oddaja" else ""
    return programs.request(class_name, n, b'{"n":%d}' % n, deadline, priority_rank, key=key)


async def run(seed: int) -> dict[str, float]:
    """Return the earned shares of the offered weight, on sockets and in the simulation, and other figures."""
    scenario = scenarios.all_scenarios(RUN_SECONDS)[SCENARIO_INDEX]
    simulation = CompositionSimulation(scenario, "budgets", RUN_SECONDS, seed, REQUESTS_PER_SECOND)
    loop = asyncio.get_running_loop()
    origin = loop.time() + 3600  # replaced when the requests start; there are no calls before
    dependencies = {
        name: ModelDependency(name, *profile, len(simulation.arrival_times), seed, origin)
        for name, profile in scenarios.DEPENDENCY_PROFILES.items()
    }
    for name, fault_plan in scenario.fault_plans.items():
        dependencies[name].fault_plans.append(fault_plan)
    stand_ins: dict[str, StandIn] = {
        name: (IndexStandIn if name in scenarios.INDEX_DEPENDENCIES else AjpStandIn)(
            ModelScript(dependency, loop.time)
        )
        for name, dependency in dependencies.items()
    }

    def make_program(number: int, folder: Path) -> Program:
        config = {"listen": "127.0.0.1:0", "seed": f"{seed:x}", "settings": scenarios.SETTINGS}
        return Program(
            "lab", folder, config, scenarios.deployment({n: s.address for n, s in stand_ins.items()})
        )

    async with AsyncExitStack() as stack:
        for stand_in in stand_ins.values():
            await stack.enter_async_context(stand_in)
        (program,) = await stack.enter_async_context(fleet(1, make_program))
        await program.start()
        earned_weight, statuses = await send_requests(simulation, dependencies, program.addresses["http"])
    figures = simulation.run()
    return {
        "sockets": earned_weight / figures.offered_weight,
        "model": figures.earned_weight / figures.offered_weight,
        "requests": len(simulation.arrival_times),
        "unanswered": statuses.count(0),
        "writes_twice": sum(attempts > 1 for attempts in dependencies["knjiga"].attempt_counts.values()),
    }


async def send_requests(
    simulation: CompositionSimulation, dependencies: dict[str, ModelDependency], address: str
) -> tuple[float, list[int]]:
    """Send the requests of a simulation to a program at their arrival times.

    Returns:
        The earned weight, and the HTTP statuses of the requests, 0 for one without a response.
    """
    loop = asyncio.get_running_loop()
    origin = loop.time() + START_DELAY_SECONDS
    for dependency in dependencies.values():
        dependency.origin = origin

    async def send(n: int) -> tuple[float, int]:
        spec = simulation.settings.classes[simulation.class_indexes[n]]
        await asyncio.sleep(origin + simulation.arrival_times[n] - loop.time())
        sent_at = loop.time()
        try:
            response = await call(
                address,
                encode_request(n, spec.name, simulation.priority_ranks[n], spec.deadline),
                spec.deadline + 1,
            )
        except (OSError, TimeoutError):
            return 0.0, 0
        if response.status != 200 or loop.time() - sent_at > spec.latency_objective:
            return 0.0, response.status
        skipped = response.headers.get(b"left-out", b"").decode()
        lost_share = sum(simulation.reply_shares[spec.name][name] for name in skipped.split(", ") if name)
        return spec.priority_weight * (1 - lost_share), 200

    results = await asyncio.gather(*(send(n) for n in range(len(simulation.arrival_times))))
    return sum(weight for weight, _ in results), [status for _, status in results]
