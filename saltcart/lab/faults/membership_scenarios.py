"""Scenarios of the membership rig: each starts real processes, injects faults and records the effects.

Each scenario is bounded in time and leaves no process running.
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

PROBE_INTERVAL_S = MemberSettings("127.0.0.1:0", "rig").probe_every
AGREEMENT_TIMEOUT_S = 20.0
IDLE_SPAN_S = 4.0  # span over which the packets of an idle fleet are counted
LINK_DELAY_S = 0.005  # delay of a usual link; the links of a slow node take ten times as long


@dataclass
class MembershipScenarioResult:
    """Result of one scenario.

    Attributes:
        settled: Whether all running processes agreed on the true view after each recovery and at the end.
        deaths: Number of healthy members that were declared dead.
        hours: Total running time of all members in hours.
        detected: Seconds until each running member detected a crash.
        missed: Number of times that a member did not detect a crash.
        quiet: Packets per member and second of an idle fleet; None if not measured.
        converged: Seconds until all views were true after a partition or a join; None if not measured or not
            reached.
        refuted: Number of refuted suspicions.
        truth: Share of the running processes' views that were true, by second.
    """

    settled: bool = True
    deaths: int = 0
    hours: float = 0.0
    detected: list[float] = field(default_factory=list)
    missed: int = 0
    quiet: float | None = None
    converged: float | None = None
    refuted: int = 0
    truth: list[float] = field(default_factory=list)


class MembershipScenario(NamedTuple):
    """A scenario of the membership rig.

    Attributes:
        name: Name in the table of the experiment.
        members: Number of processes.
        script: Injects the faults and records their effects.
        first: Number of processes that are started before the script; all if None.
        loss: Probability that a datagram is lost.
    """

    name: str
    members: int
    script: Callable[[MembershipRig, MembershipScenarioResult], Awaitable[None]]
    first: int | None = None
    loss: float = 0.0


async def record_true_views(rig: MembershipRig, result: MembershipScenarioResult) -> None:
    """Record the share of true views among those of the running, unpaused processes, each second."""
    while True:
        polled_at = time.time()
        views = await rig.poll_views()
        live = {p.name for p in rig.programs if p.is_running and not p.is_paused}
        live_views = [v for p, v in zip(rig.programs, views) if p.name in live and v is not None]
        result.truth.append(sum(rig.view_matches(v, live) for v in live_views) / max(1, len(live_views)))
        await asyncio.sleep(max(0.0, polled_at + 1.0 - time.time()))


async def measure_idle_traffic(rig: MembershipRig, result: MembershipScenarioResult) -> None:
    """Measure the packet rate of a fleet without faults."""
    started_at, sent_before = time.time(), sum(rig.relay.sent.values())
    await asyncio.sleep(IDLE_SPAN_S)
    result.quiet = (
        (sum(rig.relay.sent.values()) - sent_before) / len(rig.programs) / (time.time() - started_at)
    )


async def crash_and_restart(rig: MembershipRig, result: MembershipScenarioResult, victim: int) -> None:
    """Kill a process, wait until all others have detected it, and start the process again."""
    killed_at = time.time()
    rig.programs[victim].kill()
    await rig.wait_for_agreement(rig.member_names(excluding=(victim,)), AGREEMENT_TIMEOUT_S)
    detection_times = rig.detection_times(victim, killed_at)
    result.detected += [s for s in detection_times if s is not None]
    result.missed += detection_times.count(None)
    await rig.programs[victim].wait_until_ended()
    await rig.programs[victim].start()
    rig.register_processes()
    result.settled &= await rig.wait_for_agreement(rig.member_names(), AGREEMENT_TIMEOUT_S) is not None


async def crashes(rig: MembershipRig, result: MembershipScenarioResult) -> None:
    """Measure the idle traffic, then crash and restart several processes, one after the other."""
    await measure_idle_traffic(rig, result)
    for victim in range(7):
        await crash_and_restart(rig, result, (victim * 7 + 1) % len(rig.programs))


async def quick_restarts(rig: MembershipRig, result: MembershipScenarioResult) -> None:
    """Kill and restart processes within the suspicion timeout; the new process must not be declared dead."""
    for victim in (1, 2, 3):
        await rig.programs[victim].restart()
        rig.register_processes()
        result.settled &= await rig.wait_for_agreement(rig.member_names(), AGREEMENT_TIMEOUT_S) is not None
        await asyncio.sleep(3.0)


async def pauses(rig: MembershipRig, result: MembershipScenarioResult) -> None:
    """Pause five processes in turn for three probe intervals; each must refute the suspicion against it."""
    for victim in (0, 1, 2, 3, 4):
        rig.programs[victim].pause()
        await asyncio.sleep(3 * PROBE_INTERVAL_S)
        rig.programs[victim].resume()
        await asyncio.sleep(3.0)
    views = await rig.poll_views()
    result.refuted = sum(
        e["state"] == "alive" and e["before"] == "suspect"
        for p in rig.programs
        for e in p.events
        if e["event"] == "member"
    )
    result.deaths += sum(m["state"] == "dead" for v in views if v for m in v["members"])


async def one_way(rig: MembershipRig, result: MembershipScenarioResult) -> None:
    """Cut one direction of one link, and lose half of the packets in one direction of another."""
    rig.links.set_rule(LinkRule(cut=True), 0, 1)
    rig.links.set_rule(LinkRule(drop=0.5), 2, 3)
    await asyncio.sleep(15.0)
    rig.links.clear_rules()


async def partition(rig: MembershipRig, result: MembershipScenarioResult) -> None:
    """Cut two members off from the others for 20 s."""
    # Members can't tell a partition from crashes.  The end is a bound until it is known.
    rig.partition_spans.append((time.time(), time.time() + 60.0))
    rig.links.set_rule_between(LinkRule(cut=True), [0, 1])
    await asyncio.sleep(20.0)
    rig.links.clear_rules()
    result.converged = await rig.wait_for_agreement(rig.member_names(), AGREEMENT_TIMEOUT_S)
    rig.partition_spans[-1] = rig.partition_spans[-1][0], time.time()
    result.settled &= result.converged is not None


async def packet_loss(rig: MembershipRig, result: MembershipScenarioResult) -> None:
    """Lose three tenths of all packets, and kill one member meanwhile."""
    rig.links.set_rule(LinkRule(drop=0.3))
    await asyncio.sleep(25.0)
    killed_at = time.time()
    rig.programs[5].kill()
    await asyncio.sleep(9.0)
    detection_times = rig.detection_times(5, killed_at)
    result.detected += [s for s in detection_times if s is not None]
    result.missed += detection_times.count(None)
    rig.links.clear_rules()
    result.settled &= (
        await rig.wait_for_agreement(rig.member_names(excluding=(5,)), AGREEMENT_TIMEOUT_S) is not None
    )


async def simultaneous_joins(rig: MembershipRig, result: MembershipScenarioResult) -> None:
    """Start all processes from the sixth on at once."""
    started_at = time.time()
    await rig.start(range(5, len(rig.programs)))
    result.converged = await rig.wait_for_agreement(rig.member_names(), AGREEMENT_TIMEOUT_S)
    result.settled &= result.converged is not None
    if result.converged is not None:
        result.converged = time.time() - started_at


async def slow_node(rig: MembershipRig, result: MembershipScenarioResult) -> None:
    """Delay all packets of one node ten times as long as those of the others, then crash another."""
    rig.links.set_rule(LinkRule(delay=LINK_DELAY_S))
    rig.links.set_rule(LinkRule(delay=10 * LINK_DELAY_S), sender=0)
    rig.links.set_rule(LinkRule(delay=10 * LINK_DELAY_S), receiver=0)
    await asyncio.sleep(15.0)
    await crash_and_restart(rig, result, 4)


async def duplicates_and_stall(rig: MembershipRig, result: MembershipScenarioResult) -> None:
    """Duplicate, delay and reorder packets; meanwhile stall one member's links for a second."""
    rig.links.set_rule(LinkRule(duplicate=0.2, reorder=0.3, jitter=0.02))
    await asyncio.sleep(10.0)
    rig.links.set_rule_between(LinkRule(stall=True), [0])
    await asyncio.sleep(1.0)
    rig.links.set_rule(LinkRule(duplicate=0.2, reorder=0.3, jitter=0.02))
    rig.relay.deliver_stalled()
    await asyncio.sleep(5.0)
    rig.links.clear_rules()


SCENARIOS = (
    MembershipScenario("crash 5", 5, crashes),
    MembershipScenario("crash 9", 9, crashes),
    MembershipScenario("crash 25", 25, crashes),
    MembershipScenario("crash 25 again", 25, crashes),
    MembershipScenario("restart 5", 5, quick_restarts),
    MembershipScenario("pause 5", 5, pauses),
    MembershipScenario("one way 5", 5, one_way),
    MembershipScenario("partition 5", 5, partition),
    MembershipScenario("loss 25", 25, packet_loss),
    MembershipScenario("join 15", 15, simultaneous_joins, first=5),
    MembershipScenario("slow 9", 9, slow_node),
    MembershipScenario("muddle 9", 9, duplicates_and_stall),
)


async def run(scenario: MembershipScenario, seed: int) -> MembershipScenarioResult:
    """Run one scenario."""
    result = MembershipScenarioResult()
    async with membership_rig(scenario.members, seed) as rig:
        await rig.start(None if scenario.first is None else range(scenario.first))
        first = (
            rig.member_names() if scenario.first is None else {p.name for p in rig.programs[: scenario.first]}
        )
        result.settled = await rig.wait_for_agreement(first, AGREEMENT_TIMEOUT_S) is not None
        recorder = asyncio.get_running_loop().create_task(record_true_views(rig, result))
        try:
            await scenario.script(rig, result)
            live = {p.name for p in rig.programs if p.is_running}
            result.settled &= await rig.wait_for_agreement(live, AGREEMENT_TIMEOUT_S) is not None
        finally:
            recorder.cancel()
            with suppress(asyncio.CancelledError):
                await recorder
        result.deaths += rig.count_false_deaths(tuple(rig.partition_spans))
        result.hours = rig.member_hours()
    return result


def run_scenario(job: tuple[int, int]) -> MembershipScenarioResult:
    """Run one scenario in the calling process of a worker pool.

    Args:
        job: Index of the scenario in ``SCENARIOS``, and the seed.
    """
    return asyncio.run(run(SCENARIOS[job[0]], job[1]))
