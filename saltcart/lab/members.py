"""Membership in the model: the deciding code of thousands of members on one clock, and plain heartbeats.

Members start with a view of all, which they share (``MembershipSnapshot``); links lose and delay by one seed.
The baseline sends a beat from each to each and takes for dead whom it has not heard for a fixed time.
"""

from __future__ import annotations

import random
import time
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import NamedTuple

from saltcart.lab.events import DueTimer, EventQueue
from saltcart.membership.member import Member
from saltcart.membership.member_record import MemberRecord, MemberState
from saltcart.membership.messages import Datagram
from saltcart.membership.settings import MemberSettings
from saltcart.membership.view import MembershipChange, MembershipSnapshot

LATENCY = 0.001  # seconds from one member to another
BEAT, SILENCE = 0.5, 2.0  # seconds between beats of the baseline; without one, until it says dead
CONF = MemberSettings("127.0.0.1:0", "model")


class Day(NamedTuple):
    """Times in seconds.  ``crashes``: when each further member falls silent for good."""

    name: str
    members: int
    seconds: float
    crashes: tuple[float, ...] = ()
    loss: float = 0.0
    split: tuple[float, float] | None = None  # from when to when the first two fifths are cut off
    slow: float = 0.0  # seconds more, each way, to and from member 0


@dataclass
class Seen:
    detected: list[float] = field(default_factory=list)  # seconds, of each live member for each crash
    missed: int = 0  # live members that had not found out at the end
    deaths: int = 0  # of healthy members, by name and incarnation
    packets: int = 0
    quiet: float = 0.0  # packets a member and second before the first crash
    rate: float = 0.0  # the same over all the play
    hours: float = 0.0  # of members
    agree: float = 0.0  # share of the live members that hold the most common view at the end
    converged: float | None = None  # seconds from the end of the split until all views are the same
    took: float = 0.0


class Net:
    """Members of one kind or the other, and what happens between them."""

    def __init__(self, day: Day, seed: int) -> None:
        self.day, self.events, self.luck = day, EventQueue(1_000.0), random.Random(seed)
        self.begun = self.events.now
        self.up = [True] * day.members
        self.packets, self.before_crash = 0, 0
        self.dead_at: dict[int, float] = {}  # when each crashed
        self.found: dict[tuple[int, int], float] = {}  # by crashed and observer
        self.wrong = set[tuple[int, int]]()  # healthy ones that were called dead, with their incarnation
        self.cut = False

    def carry(self, sender: int, receiver: int, call: Callable[..., None], *args: object) -> None:
        """One datagram."""
        self.packets += 1
        day = self.day
        if self.cut and (sender < 2 * day.members // 5) != (receiver < 2 * day.members // 5):
            return
        if day.loss and self.luck.random() < day.loss:
            return
        delay = LATENCY * (0.5 + self.luck.random()) + (day.slow if 0 in (sender, receiver) else 0.0)
        self.events.at(self.events.now + delay, call, *args)

    def called_dead(self, observer: int, number: int, incarnation: int) -> None:
        if number in self.dead_at:
            self.found.setdefault((number, observer), self.events.now - self.dead_at[number])
        elif not self.cut and (self.day.split is None or self.events.now < self.begun + self.day.split[0]):
            self.wrong.add((number, incarnation))

    def views(self) -> Counter[object]:
        """How many live members hold each view."""
        raise NotImplementedError

    def crash(self, number: int) -> None:
        if not self.dead_at:
            self.before_crash = self.packets
        self.up[number] = False
        self.dead_at[number] = self.events.now

    def _cut(self, on: bool) -> None:
        self.cut = on

    def run(self) -> Seen:
        begun, day, seen, events = time.perf_counter(), self.day, Seen(), self.events
        for n, at in enumerate(day.crashes):
            events.at(self.begun + at, self.crash, day.members - 1 - n)
        if day.split is not None:
            events.at(self.begun + day.split[0], self._cut, True)
            events.at(self.begun + day.split[1], self._cut, False)
            events.run(self.begun + day.split[1])
            while events.now < self.begun + day.seconds and seen.converged is None:
                events.run(events.now + 0.1)
                views = self.views()
                if len(views) == 1 and self.whole():
                    seen.converged = events.now - self.begun - day.split[1]
        events.run(self.begun + day.seconds)
        live = sum(self.up)
        seen.detected = sorted(self.found[k] for k in self.found if self.up[k[1]])
        seen.missed = len(self.dead_at) * live - len(seen.detected)
        seen.deaths, seen.packets = len(self.wrong), self.packets
        seen.rate = self.packets / day.members / day.seconds
        seen.quiet = seen.rate
        if day.crashes:
            seen.quiet = self.before_crash / day.members / day.crashes[0]
        seen.hours = day.members * day.seconds / 3600
        seen.agree = max(self.views().values()) / live
        seen.took = time.perf_counter() - begun
        return seen

    def whole(self) -> bool:
        """Whether each live member has each other in its view."""
        raise NotImplementedError


class Swim(Net):
    """The service's own members."""

    def __init__(self, day: Day, seed: int, conf: MemberSettings = CONF) -> None:
        super().__init__(day, seed)
        self.place = {f"h:{n}": n for n in range(day.members)}
        roster = MembershipSnapshot(MemberRecord(f"m{n}", f"h:{n}", 1) for n in range(day.members))
        self.members: list[Member] = []
        self.ticks: list[DueTimer] = []
        for n in range(day.members):
            made = Member(
                conf, f"m{n}", f"h:{n}", random.Random(self.luck.random()), self.events.now, 1, roster
            )
            made.on_changed = lambda change, n=n: self._changed(n, change)  # type: ignore[misc]
            self.members.append(made)
            ticks = DueTimer(self.events, made.next_due, lambda n=n: self._tick(n))  # type: ignore[misc]
            made.context.timers.on_earlier_due = ticks.arm
            self.ticks.append(ticks)
            ticks.arm()

    def _changed(self, observer: int, change: MembershipChange) -> None:
        if change.record.state == MemberState.DEAD:
            self.called_dead(observer, int(change.record.name[1:]), change.record.incarnation)

    def _tick(self, number: int) -> None:
        if self.up[number]:
            self.members[number].tick(self.events.now)
            self._flush(number)

    def _flush(self, number: int) -> None:
        member = self.members[number]
        for to, packet in member.take_outgoing():
            receiver = self.place[to]
            self.carry(number, receiver, self._receive, receiver, packet)

    def _receive(self, number: int, packet: Datagram) -> None:
        if self.up[number]:
            self.members[number].receive(self.events.now, packet)
            self._flush(number)

    def crash(self, number: int) -> None:
        super().crash(number)
        self.members[number].context.timers.heap.clear()

    def views(self) -> Counter[object]:
        return Counter(m.view.digest for n, m in enumerate(self.members) if self.up[n])

    def whole(self) -> bool:
        return all(m.view.present_count == sum(self.up) for n, m in enumerate(self.members) if self.up[n])


class Heartbeats(Net):
    """All to all, with a fixed time-out: what it is measured against."""

    def __init__(self, day: Day, seed: int) -> None:
        super().__init__(day, seed)
        now, count = self.events.now, day.members
        self.heard = [[now] * count for _ in range(count)]
        self.dead = [set[int]() for _ in range(count)]
        for n in range(count):
            self.events.at(now + BEAT * self.luck.random(), self._beat, n)

    def _beat(self, number: int) -> None:
        if not self.up[number]:
            return
        now = self.events.now
        for other in range(self.day.members):
            if other == number:
                continue
            self.carry(number, other, self._receive, number, other)
            if now - self.heard[number][other] > SILENCE and other not in self.dead[number]:
                self.dead[number].add(other)
                self.called_dead(number, other, int(self.heard[number][other] * 1000))
        self.events.at(now + BEAT, self._beat, number)

    def _receive(self, sender: int, receiver: int) -> None:
        self.heard[receiver][sender] = self.events.now
        self.dead[receiver].discard(sender)

    def views(self) -> Counter[object]:
        return Counter(frozenset(self.dead[n]) for n in range(self.day.members) if self.up[n])

    def whole(self) -> bool:
        return not any(self.dead[n] for n in range(self.day.members) if self.up[n])


def play(job: tuple[str, Day, int]) -> Seen:
    kind, day, seed = job
    return (Swim if kind == "swim" else Heartbeats)(day, seed).run()


def percentile(values: list[float], share: float) -> float:
    """The value that so large a share does not pass; infinite for none."""
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))] if ordered else float("inf")
