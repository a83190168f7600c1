"""Membership rig: a fleet of service processes that gossip through a relay, and the views that they show."""

from __future__ import annotations

import asyncio
import time
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from saltcart.lab.faults.links import LinkRules, Relay
from saltcart.lab.faults.programs import TOKEN, Program, fleet, settings, start_all

SERVICE_CLASSES = [{"name": "read", "effect": "read_like", "onTime": 1.0, "deadline": 3.0, "worth": 1.0}]
POLL_INTERVAL_S = 0.25  # between two polls of all processes
SEED_MEMBERS = 3  # members whose addresses are in the configuration of all others
UNINTERRUPTED_RUN_S = 3.0  # run without a pause after which a member counts as healthy


@dataclass
class MembershipRig:
    """Processes whose membership datagrams pass through a relay.

    Attributes:
        programs: The processes, by number.
        links: Rules of the links between the processes.
        relay: Relay of their datagrams.
        view_history: Unix time of each poll, and the views of all processes at that time.
        partition_spans: Start and end, in Unix time, of the partitions made by the scenario.
    """

    programs: list[Program]
    links: LinkRules
    relay: Relay
    view_history: list[tuple[float, list[dict[str, Any] | None]]] = field(default_factory=list)
    partition_spans: list[tuple[float, float]] = field(default_factory=list)

    async def start(self, numbers: range | None = None) -> None:
        """Start the processes with the given numbers, or all, and register their addresses at the relay."""
        selected = self.programs if numbers is None else [self.programs[n] for n in numbers]
        await start_all(selected)
        self.register_processes()

    def register_processes(self) -> None:
        """Register the addresses of all processes that have been started at the relay."""
        for number, program in enumerate(self.programs):
            if "member" in program.addresses:
                self.relay.register_process(number, program.addresses["member"])

    async def poll_views(self) -> list[dict[str, Any] | None]:
        """Poll the membership view of each process; None for one that is not running or does not answer."""

        async def poll_view(program: Program) -> dict[str, Any] | None:
            return await program.get_admin("/v1/members") if program.is_running else None

        polled_at = time.time()
        views = list(await asyncio.gather(*(poll_view(p) for p in self.programs)))
        self.view_history.append((polled_at, views))
        return views

    def views_agree(self, views: list[dict[str, Any] | None], expected: set[str]) -> bool:
        """Whether the expected members all show exactly the expected members, with the same digest."""
        for program, view in zip(self.programs, views):
            if program.name in expected and (view is None or not self.view_matches(view, expected)):
                return False
        digests = {v["digest"] for p, v in zip(self.programs, views) if v and p.name in expected}
        return len(digests) == 1

    @staticmethod
    def view_matches(view: dict[str, Any], expected: set[str]) -> bool:
        """Whether the members that are present in the view are exactly the expected ones."""
        return present_members(view) == expected

    async def wait_for_agreement(self, expected: set[str], timeout_s: float) -> float | None:
        """Wait until all expected members agree on the expected members.

        Returns:
            The time that it took in seconds, or None if they did not agree within the timeout.
        """
        started_at = time.time()
        while time.time() - started_at < timeout_s:
            if self.views_agree(await self.poll_views(), expected):
                return time.time() - started_at
            await asyncio.sleep(POLL_INTERVAL_S)
        return None

    def member_names(self, excluding: tuple[int, ...] = ()) -> set[str]:
        """Names of all members but those with the given numbers."""
        return {p.name for n, p in enumerate(self.programs) if n not in excluding}

    # ---- Results from the processes' logs ----

    def first_transition_time(self, observer: Program, name: str, state: str, since: float) -> float | None:
        """Unix time at which the observer first logged a member in the given state, from ``since`` on."""
        return next(
            (
                e["at"]
                for e in observer.events
                if e["event"] == "member" and e["name"] == name and e["state"] == state and e["at"] >= since
            ),
            None,
        )

    def detection_times(self, victim: int, since: float) -> list[float | None]:
        """Seconds from ``since`` until each running process logged the victim as dead; None if it did not."""
        name = self.programs[victim].name
        delays = []
        for program in self.programs:
            if program.is_running and program.name != name:
                detected_at = self.first_transition_time(program, name, "dead", since)
                delays.append(None if detected_at is None else detected_at - since)
        return delays

    def count_false_deaths(self, partitions: tuple[tuple[float, float], ...] = ()) -> int:
        """Count the incarnations that were declared dead although their process was healthy.

        A process is healthy if it ran without a pause for the last ``UNINTERRUPTED_RUN_S``.

        Args:
            partitions: Start and end, in Unix time, of partitions.  Deaths declared during them are not
                counted, since a member can't tell an unreachable member from a dead one.
        """
        false_deaths = set[tuple[str, int]]()
        program_by_name = {p.name: p for p in self.programs}
        for program in self.programs:
            for e in program.events:
                if (
                    e["event"] == "member"
                    and e["state"] == "dead"
                    and e["name"] in program_by_name
                    and (
                        not any(start <= e["at"] <= end for start, end in partitions)
                        and program_by_name[e["name"]].was_running(e["at"], UNINTERRUPTED_RUN_S)
                    )
                ):
                    false_deaths.add((e["name"], e["incarnation"]))
        return len(false_deaths)

    def member_hours(self) -> float:
        """Total running time of all processes in hours."""
        now = time.time()
        return sum(min(end, now) - start for p in self.programs for start, end in p.run_spans) / 3600


def present_members(view: dict[str, Any]) -> set[str]:
    """Names of the members that are alive or suspect in a view."""
    return {m["name"] for m in view["members"] if m["state"] in ("alive", "suspect")}


@asynccontextmanager
async def membership_rig(count: int, seed: int, **member_settings: Any) -> AsyncIterator[MembershipRig]:
    """Create a rig whose processes are not yet started; they are killed at the end.

    Args:
        count: Number of processes.
        seed: Seed of the links' and the processes' random generators.
        **member_settings: Further entries of the processes' ``[member]`` tables.
    """
    links = LinkRules(count, seed)
    relay = Relay(links)
    await relay.open()

    def make_program(number: int, folder: Path) -> Program:
        seeds = [address for n, address in enumerate(relay.addresses[:SEED_MEMBERS]) if n != number]
        member = {
            "listen": "127.0.0.1:0",
            "cluster": "rig",
            "advertise": relay.addresses[number],
            "seeds": seeds,
            "zone": f"z{number % 3}",
            **member_settings,
        }
        return Program(
            f"m{number}",
            folder,
            {
                "listen": "127.0.0.1:0",
                "seed": f"{seed * 1000 + number:x}",
                "settings": settings(SERVICE_CLASSES),
                "limits": {"sockets": 256},
            },
            {"admin": {"listen": "127.0.0.1:0", "token": TOKEN}, "member": member},
        )

    try:
        async with fleet(count, make_program) as programs:
            yield MembershipRig(programs, links, relay)
    finally:
        relay.close()
