"""The plays of the membership rig: each starts real processes, does something to them, and says what came.

Each play is bounded in time and leaves nothing running.  ``settled`` is whether all live processes held the
same, true view at its end.
"""

from __future__ import annotations

import asyncio
import time
from collections.abc import Awaitable, Callable
from contextlib import suppress
from dataclasses import dataclass, field
from typing import NamedTuple

from saltcart.lab.faults.links import LinkRule
from saltcart.lab.faults.members import MembershipRig, membership_rig
from saltcart.membership.settings import MemberSettings

PROBE = MemberSettings("127.0.0.1:0", "rig").probe_every
SETTLE = 20.0  # seconds for views to agree, at most
QUIET = 4.0  # seconds over which packets are counted
WIRE = 0.005  # seconds that a usual link takes; a slow node's take ten times that


@dataclass
class MembershipScenarioResult:
    """What came of one play; times in seconds."""

    settled: bool = True
    deaths: int = 0  # of healthy members
    hours: float = 0.0  # of members
    detected: list[float] = field(default_factory=list)
    missed: int = 0
    quiet: float | None = None  # packets a member and second with nothing going on
    converged: float | None = None  # from the end of the trouble until all views are true
    refuted: int = 0
    truth: list[float] = field(default_factory=list)  # by second: share of live views that are true


class MembershipScenario(NamedTuple):
    name: str
    members: int
    script: Callable[[MembershipRig, MembershipScenarioResult], Awaitable[None]]
    first: int | None = None  # so many are started before the script
    loss: float = 0.0


async def watch(r: MembershipRig, told: MembershipScenarioResult) -> None:
    """The share of live views that are true, each second."""
    while True:
        at = time.time()
        views = await r.poll_views()
        live = {p.name for p in r.programs if p.is_running and not p.is_paused}
        mine = [v for p, v in zip(r.programs, views) if p.name in live and v is not None]
        told.truth.append(sum(r.view_matches(v, live) for v in mine) / max(1, len(mine)))
        await asyncio.sleep(max(0.0, at + 1.0 - time.time()))


async def quiet(r: MembershipRig, told: MembershipScenarioResult) -> None:
    begun, before = time.time(), sum(r.relay.sent.values())
    await asyncio.sleep(QUIET)
    told.quiet = (sum(r.relay.sent.values()) - before) / len(r.programs) / (time.time() - begun)


async def crash(r: MembershipRig, told: MembershipScenarioResult, victim: int) -> None:
    """Kill one, wait until all know, start it again."""
    at = time.time()
    r.programs[victim].kill()
    await r.wait_for_agreement(r.member_names(excluding=(victim,)), SETTLE)
    seen = r.detection_times(victim, at)
    told.detected += [s for s in seen if s is not None]
    told.missed += seen.count(None)
    await r.programs[victim].wait_until_ended()
    await r.programs[victim].start()
    r.register_processes()
    told.settled &= await r.wait_for_agreement(r.member_names(), SETTLE) is not None


async def crashes(r: MembershipRig, told: MembershipScenarioResult) -> None:
    """Packets in quiet times, then several crashes, one after the other."""
    await quiet(r, told)
    for victim in range(7):
        await crash(r, told, (victim * 7 + 1) % len(r.programs))


async def quick_restarts(r: MembershipRig, told: MembershipScenarioResult) -> None:
    """Killed and back within the suspicion time: nobody may take the new process for dead."""
    for victim in (1, 2, 3):
        await r.programs[victim].restart()
        r.register_processes()
        told.settled &= await r.wait_for_agreement(r.member_names(), SETTLE) is not None
        await asyncio.sleep(3.0)


async def pauses(r: MembershipRig, told: MembershipScenarioResult) -> None:
    """Paused for three probe intervals, five times over: it refutes, and nobody takes it for dead."""
    for victim in (0, 1, 2, 3, 4):
        r.programs[victim].pause()
        await asyncio.sleep(3 * PROBE)
        r.programs[victim].resume()
        await asyncio.sleep(3.0)
    views = await r.poll_views()
    told.refuted = sum(
        e["state"] == "alive" and e["before"] == "suspect"
        for p in r.programs
        for e in p.events
        if e["event"] == "member"
    )
    told.deaths += sum(m["state"] == "dead" for v in views if v for m in v["members"])


async def one_way(r: MembershipRig, told: MembershipScenarioResult) -> None:
    r.links.set_rule(LinkRule(cut=True), 0, 1)
    r.links.set_rule(LinkRule(drop=0.5), 2, 3)
    await asyncio.sleep(15.0)
    r.links.clear_rules()


async def partition(r: MembershipRig, told: MembershipScenarioResult) -> None:
    """Two against three for 20 s."""
    r.partition_spans.append((time.time(), time.time() + 60.0))  # who is cut off can't know better
    r.links.set_rule_between(LinkRule(cut=True), [0, 1])
    await asyncio.sleep(20.0)
    r.links.clear_rules()
    told.converged = await r.wait_for_agreement(r.member_names(), SETTLE)
    r.partition_spans[-1] = r.partition_spans[-1][0], time.time()
    told.settled &= told.converged is not None


async def lossy(r: MembershipRig, told: MembershipScenarioResult) -> None:
    """A third of all packets is lost; one member is killed all the same."""
    r.links.set_rule(LinkRule(drop=0.3))
    await asyncio.sleep(25.0)
    at = time.time()
    r.programs[5].kill()
    await asyncio.sleep(9.0)
    seen = r.detection_times(5, at)
    told.detected += [s for s in seen if s is not None]
    told.missed += seen.count(None)
    r.links.clear_rules()
    told.settled &= await r.wait_for_agreement(r.member_names(excluding=(5,)), SETTLE) is not None


async def join_storm(r: MembershipRig, told: MembershipScenarioResult) -> None:
    """Ten join at once."""
    begun = time.time()
    await r.start(range(5, len(r.programs)))
    told.converged = await r.wait_for_agreement(r.member_names(), SETTLE)
    told.settled &= told.converged is not None
    if told.converged is not None:
        told.converged = time.time() - begun


async def slow_node(r: MembershipRig, told: MembershipScenarioResult) -> None:
    """One node answers ten times as slowly as the others."""
    r.links.set_rule(LinkRule(delay=WIRE))
    r.links.set_rule(LinkRule(delay=10 * WIRE), sender=0)
    r.links.set_rule(LinkRule(delay=10 * WIRE), receiver=0)
    await asyncio.sleep(15.0)
    await crash(r, told, 4)


async def muddle(r: MembershipRig, told: MembershipScenarioResult) -> None:
    """Packets come twice, late and out of order; then a member's links stall for a second, and go on."""
    r.links.set_rule(LinkRule(duplicate=0.2, reorder=0.3, jitter=0.02))
    await asyncio.sleep(10.0)
    r.links.set_rule_between(LinkRule(stall=True), [0])
    await asyncio.sleep(1.0)
    r.links.set_rule(LinkRule(duplicate=0.2, reorder=0.3, jitter=0.02))
    r.relay.deliver_stalled()
    await asyncio.sleep(5.0)
    r.links.clear_rules()


SCENARIOS = (
    MembershipScenario("crash 5", 5, crashes),
    MembershipScenario("crash 9", 9, crashes),
    MembershipScenario("crash 25", 25, crashes),
    MembershipScenario("crash 25 again", 25, crashes),
    MembershipScenario("restart 5", 5, quick_restarts),
    MembershipScenario("pause 5", 5, pauses),
    MembershipScenario("one way 5", 5, one_way),
    MembershipScenario("partition 5", 5, partition),
    MembershipScenario("loss 25", 25, lossy),
    MembershipScenario("join 15", 15, join_storm, first=5),
    MembershipScenario("slow 9", 9, slow_node),
    MembershipScenario("muddle 9", 9, muddle),
)


async def run(play: MembershipScenario, seed: int) -> MembershipScenarioResult:
    """One play from its start to the last look."""
    told = MembershipScenarioResult()
    async with membership_rig(play.members, seed) as r:
        await r.start(None if play.first is None else range(play.first))
        first = r.member_names() if play.first is None else {p.name for p in r.programs[: play.first]}
        told.settled = await r.wait_for_agreement(first, SETTLE) is not None
        watcher = asyncio.get_running_loop().create_task(watch(r, told))
        try:
            await play.script(r, told)
            live = {p.name for p in r.programs if p.is_running}
            told.settled &= await r.wait_for_agreement(live, SETTLE) is not None
        finally:
            watcher.cancel()
            with suppress(asyncio.CancelledError):
                await watcher
        told.deaths += r.count_false_deaths(tuple(r.partition_spans))
        told.hours = r.member_hours()
    return told


def run_scenario(job: tuple[int, int]) -> MembershipScenarioResult:
    """A play by its number in ``PLAYS``, in a process of its own."""
    return asyncio.run(run(SCENARIOS[job[0]], job[1]))
