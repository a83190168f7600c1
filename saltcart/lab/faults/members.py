"""A fleet of members in the rig: its processes, its links, the script of one play, and what was seen."""

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
POLL_INTERVAL_S = 0.25  # seconds between two looks at all views
SEED_MEMBERS = 3  # members that everybody knows of


@dataclass
class MembershipRig:
    """So many processes that speak through a relay."""

    programs: list[Program]
    links: LinkRules
    relay: Relay
    view_history: list[tuple[float, list[dict[str, Any] | None]]] = field(default_factory=list)
    partition_spans: list[tuple[float, float]] = field(
        default_factory=list
    )  # in which links were cut for good

    async def start(self, numbers: range | None = None) -> None:
        """Start some of them, or all; the relay knows where they listen before they are asked for."""
        some = self.programs if numbers is None else [self.programs[n] for n in numbers]
        await start_all(some)
        self.register_processes()

    def register_processes(self) -> None:
        for number, program in enumerate(self.programs):
            if "member" in program.addresses:
                self.relay.register_process(number, program.addresses["member"])

    async def poll_views(self) -> list[dict[str, Any] | None]:
        """The view of each process that is up and answers."""

        async def one(program: Program) -> dict[str, Any] | None:
            return await program.get_admin("/v1/members") if program.is_running else None

        at = time.time()
        views = list(await asyncio.gather(*(one(p) for p in self.programs)))
        self.view_history.append((at, views))
        return views

    def views_agree(self, views: list[dict[str, Any] | None], expected: set[str]) -> bool:
        """All that are expected show the same members, and just these."""
        for program, view in zip(self.programs, views):
            if program.name in expected and (view is None or not self.view_matches(view, expected)):
                return False
        digests = {v["digest"] for p, v in zip(self.programs, views) if v and p.name in expected}
        return len(digests) == 1

    @staticmethod
    def view_matches(view: dict[str, Any], expected: set[str]) -> bool:
        return present_members(view) == expected

    async def wait_for_agreement(self, expected: set[str], wait: float) -> float | None:
        """Seconds until all agree on the expected members; None if they do not within ``wait``."""
        begun = time.time()
        while time.time() - begun < wait:
            if self.views_agree(await self.poll_views(), expected):
                return time.time() - begun
            await asyncio.sleep(POLL_INTERVAL_S)
        return None

    def member_names(self, excluding: tuple[int, ...] = ()) -> set[str]:
        return {p.name for n, p in enumerate(self.programs) if n not in excluding}

    # ---- what the logs tell -------------------------------------------------------------------

    def first_transition_time(self, observer: Program, name: str, state: str, since: float) -> float | None:
        """When a process first took another for this, by its own log."""
        return next(
            (
                e["at"]
                for e in observer.events
                if e["event"] == "member" and e["name"] == name and e["state"] == state and e["at"] >= since
            ),
            None,
        )

    def detection_times(self, victim: int, since: float) -> list[float | None]:
        """Seconds until each live process took the victim for dead."""
        name = self.programs[victim].name
        out = []
        for program in self.programs:
            if program.is_running and program.name != name:
                at = self.first_transition_time(program, name, "dead", since)
                out.append(None if at is None else at - since)
        return out

    def count_false_deaths(self, cut: tuple[tuple[float, float], ...] = ()) -> int:
        """Members that somebody took for dead though they had run, unpaused, for the three seconds before.

        ``cut``: spans in which links were cut for good, in which nobody could know better.
        """
        wrong = set[tuple[str, int]]()
        by_name = {p.name: p for p in self.programs}
        for program in self.programs:
            for e in program.events:
                if (
                    e["event"] == "member"
                    and e["state"] == "dead"
                    and e["name"] in by_name
                    and (
                        not any(a <= e["at"] <= b for a, b in cut)
                        and by_name[e["name"]].was_running(e["at"], 3.0)
                    )
                ):
                    wrong.add((e["name"], e["incarnation"]))
        return len(wrong)

    def member_hours(self) -> float:
        now = time.time()
        return sum(min(end, now) - begin for p in self.programs for begin, end in p.run_spans) / 3600


def present_members(view: dict[str, Any]) -> set[str]:
    return {m["name"] for m in view["members"] if m["state"] in ("alive", "suspect")}


@asynccontextmanager
async def membership_rig(count: int, seed: int, **more: Any) -> AsyncIterator[MembershipRig]:
    """Processes that are made and not yet started; ``more`` goes into their ``[member]`` tables."""
    links = LinkRules(count, seed)
    relay = Relay(links)
    await relay.open()

    def make(number: int, folder: Path) -> Program:
        seeds = [a for n, a in enumerate(relay.addresses[:SEED_MEMBERS]) if n != number]
        member = {
            "listen": "127.0.0.1:0",
            "cluster": "rig",
            "advertise": relay.addresses[number],
            "seeds": seeds,
            "zone": f"z{number % 3}",
            **more,
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
        async with fleet(count, make) as programs:
            yield MembershipRig(programs, links, relay)
    finally:
        relay.close()
