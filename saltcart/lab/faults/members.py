"""A fleet of members in the rig: its processes, its links, the script of one play, and what was seen."""

from __future__ import annotations

import asyncio
import time
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from saltcart.lab.faults.links import Links, Relay
from saltcart.lab.faults.programs import TOKEN, Program, fleet, settings, start_all

CLASSES = [{"name": "read", "effect": "read_like", "onTime": 1.0, "deadline": 3.0, "worth": 1.0}]
LOOK = 0.25  # seconds between two looks at all views
SEEDS = 3  # members that everybody knows of


@dataclass
class Rig:
    """So many processes that speak through a relay."""

    programs: list[Program]
    links: Links
    relay: Relay
    looks: list[tuple[float, list[dict[str, Any] | None]]] = field(default_factory=list)
    spans: list[tuple[float, float]] = field(default_factory=list)  # in which links were cut for good

    async def start(self, numbers: range | None = None) -> None:
        """Start some of them, or all; the relay knows where they listen before they are asked for."""
        some = self.programs if numbers is None else [self.programs[n] for n in numbers]
        await start_all(some)
        self.know()

    def know(self) -> None:
        for number, program in enumerate(self.programs):
            if "member" in program.addresses:
                self.relay.know(number, program.addresses["member"])

    async def look(self) -> list[dict[str, Any] | None]:
        """The view of each process that is up and answers."""

        async def one(program: Program) -> dict[str, Any] | None:
            return await program.admin("/v1/members") if program.up else None

        at = time.time()
        views = list(await asyncio.gather(*(one(p) for p in self.programs)))
        self.looks.append((at, views))
        return views

    def agreed(self, views: list[dict[str, Any] | None], expected: set[str]) -> bool:
        """All that are expected show the same members, and just these."""
        for program, view in zip(self.programs, views):
            if program.name in expected and (view is None or not self.shows(view, expected)):
                return False
        digests = {v["digest"] for p, v in zip(self.programs, views) if v and p.name in expected}
        return len(digests) == 1

    @staticmethod
    def shows(view: dict[str, Any], expected: set[str]) -> bool:
        return present(view) == expected

    async def settle(self, expected: set[str], wait: float) -> float | None:
        """Seconds until all agree on the expected members; None if they do not within ``wait``."""
        begun = time.time()
        while time.time() - begun < wait:
            if self.agreed(await self.look(), expected):
                return time.time() - begun
            await asyncio.sleep(LOOK)
        return None

    def names(self, but: tuple[int, ...] = ()) -> set[str]:
        return {p.name for n, p in enumerate(self.programs) if n not in but}

    # ---- what the logs tell -------------------------------------------------------------------

    def told(self, observer: Program, name: str, state: str, since: float) -> float | None:
        """When a process first took another for this, by its own log."""
        return next(
            (
                e["at"]
                for e in observer.events
                if e["event"] == "member" and e["name"] == name and e["state"] == state and e["at"] >= since
            ),
            None,
        )

    def detection(self, victim: int, since: float) -> list[float | None]:
        """Seconds until each live process took the victim for dead."""
        name = self.programs[victim].name
        out = []
        for program in self.programs:
            if program.up and program.name != name:
                at = self.told(program, name, "dead", since)
                out.append(None if at is None else at - since)
        return out

    def false_deaths(self, cut: tuple[tuple[float, float], ...] = ()) -> int:
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
                    and (not any(a <= e["at"] <= b for a, b in cut) and by_name[e["name"]].well(e["at"], 3.0))
                ):
                    wrong.add((e["name"], e["incarnation"]))
        return len(wrong)

    def member_hours(self) -> float:
        now = time.time()
        return sum(min(end, now) - begin for p in self.programs for begin, end in p.lives) / 3600


def present(view: dict[str, Any]) -> set[str]:
    return {m["name"] for m in view["members"] if m["state"] in ("alive", "suspect")}


@asynccontextmanager
async def rig(count: int, seed: int, **more: Any) -> AsyncIterator[Rig]:
    """Processes that are made and not yet started; ``more`` goes into their ``[member]`` tables."""
    links = Links(count, seed)
    relay = Relay(links)
    await relay.open()

    def make(number: int, folder: Path) -> Program:
        seeds = [a for n, a in enumerate(relay.addresses[:SEEDS]) if n != number]
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
                "settings": settings(CLASSES),
                "limits": {"sockets": 256},
            },
            {"admin": {"listen": "127.0.0.1:0", "token": TOKEN}, "member": member},
        )

    try:
        async with fleet(count, make) as programs:
            yield Rig(programs, links, relay)
    finally:
        relay.close()
