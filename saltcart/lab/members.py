"""Simulation of membership: the service's own member logic for thousands of members, and plain heartbeats.

Members start with a complete view, which they share (``MembershipSnapshot``).  Links lose and delay packets
by one seeded random source.  The baseline sends a heartbeat from each member to each other and declares a
member dead after a fixed timeout.
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

MEAN_LATENCY_SECONDS = 0.001  # from one member to another
HEARTBEAT_INTERVAL_SECONDS, HEARTBEAT_TIMEOUT_SECONDS = 0.5, 2.0  # of the baseline
MEMBER_SETTINGS = MemberSettings("127.0.0.1:0", "model")


class MemberDay(NamedTuple):
    """One scenario of faults; times in seconds.

    Attributes:
        name: Name in the printed table.
        member_count: Members of the fleet.
        duration_seconds: Simulated time.
        crash_times: When each further member crashes for good.
        loss_rate: Share of packets that are lost.
        partition: Start and end of a partition between the first two fifths of the members and the others.
        slow_member_delay: Extra delay of each packet to and from member 0.
    """

    name: str
    member_count: int
    duration_seconds: float
    crash_times: tuple[float, ...] = ()
    loss_rate: float = 0.0
    partition: tuple[float, float] | None = None
    slow_member_delay: float = 0.0


@dataclass
class MemberResult:
    """Measurements of one simulated day.

    Attributes:
        detection_seconds: From each crash until each live member detected it, sorted.
        missed_count: Crashes, times live members, that were not detected by the end.
        false_death_count: Healthy members that were declared dead, counted once per incarnation.
        packet_count: Packets of all members.
        quiet_packet_rate: Packets per member and second before the first crash.
        packet_rate: Packets per member and second over the whole day.
        member_hours: Simulated hours, times members.
        agreement: Share of the live members that hold the most common view at the end.
        convergence_seconds: From the end of the partition until all views are complete and the same.
        wall_seconds: Real time that the simulation used.
    """

    detection_seconds: list[float] = field(default_factory=list)
    missed_count: int = 0
    false_death_count: int = 0
    packet_count: int = 0
    quiet_packet_rate: float = 0.0
    packet_rate: float = 0.0
    member_hours: float = 0.0
    agreement: float = 0.0
    convergence_seconds: float | None = None
    wall_seconds: float = 0.0


class SimulatedNetwork:
    """Links between members, with the faults of a day; subclasses add the members."""

    def __init__(self, day: MemberDay, seed: int) -> None:
        """Start with all members up and the network whole."""
        self.day, self.events, self.rng = day, EventQueue(1_000.0), random.Random(seed)
        self.start_time = self.events.now
        self.up = [True] * day.member_count
        self.packet_count, self.packets_before_crash = 0, 0
        self.crashed_at: dict[int, float] = {}
        self.detections: dict[tuple[int, int], float] = {}  # seconds, by crashed member and observer
        self.false_deaths = set[tuple[int, int]]()  # healthy members declared dead, with their incarnation
        self.partitioned = False

    def send(self, sender: int, receiver: int, call: Callable[..., None], *args: object) -> None:
        """Send one packet: ``call`` receives it after a delay, unless it is lost."""
        self.packet_count += 1
        day = self.day
        if self.partitioned and (sender < 2 * day.member_count // 5) != (
            receiver < 2 * day.member_count // 5
        ):
            return
        if day.loss_rate and self.rng.random() < day.loss_rate:
            return
        delay = MEAN_LATENCY_SECONDS * (0.5 + self.rng.random()) + (
            day.slow_member_delay if 0 in (sender, receiver) else 0.0
        )
        self.events.at(self.events.now + delay, call, *args)

    def record_death(self, observer: int, number: int, incarnation: int) -> None:
        """Record that an observer declared a member dead.

        Members that a partition cuts off are not counted as healthy, neither during it nor after it.
        """
        if number in self.crashed_at:
            self.detections.setdefault((number, observer), self.events.now - self.crashed_at[number])
        elif not self.partitioned and (
            self.day.partition is None or self.events.now < self.start_time + self.day.partition[0]
        ):
            self.false_deaths.add((number, incarnation))

    def view_counts(self) -> Counter[object]:
        """How many live members hold each view."""
        raise NotImplementedError

    def crash(self, number: int) -> None:
        """Crash a member for good."""
        if not self.crashed_at:
            self.packets_before_crash = self.packet_count
        self.up[number] = False
        self.crashed_at[number] = self.events.now

    def _set_partitioned(self, partitioned: bool) -> None:
        self.partitioned = partitioned

    def run(self) -> MemberResult:
        """Simulate the day and return its measurements."""
        started_at, day, result, events = time.perf_counter(), self.day, MemberResult(), self.events
        for n, at in enumerate(day.crash_times):
            events.at(self.start_time + at, self.crash, day.member_count - 1 - n)
        if day.partition is not None:
            events.at(self.start_time + day.partition[0], self._set_partitioned, True)
            events.at(self.start_time + day.partition[1], self._set_partitioned, False)
            events.run(self.start_time + day.partition[1])
            while events.now < self.start_time + day.duration_seconds and result.convergence_seconds is None:
                events.run(events.now + 0.1)
                view_counts = self.view_counts()
                if len(view_counts) == 1 and self.are_views_complete():
                    result.convergence_seconds = events.now - self.start_time - day.partition[1]
        events.run(self.start_time + day.duration_seconds)
        live_count = sum(self.up)
        result.detection_seconds = sorted(self.detections[k] for k in self.detections if self.up[k[1]])
        result.missed_count = len(self.crashed_at) * live_count - len(result.detection_seconds)
        result.false_death_count, result.packet_count = len(self.false_deaths), self.packet_count
        result.packet_rate = self.packet_count / day.member_count / day.duration_seconds
        result.quiet_packet_rate = result.packet_rate
        if day.crash_times:
            result.quiet_packet_rate = self.packets_before_crash / day.member_count / day.crash_times[0]
        result.member_hours = day.member_count * day.duration_seconds / 3600
        result.agreement = max(self.view_counts().values()) / live_count
        result.wall_seconds = time.perf_counter() - started_at
        return result

    def are_views_complete(self) -> bool:
        """Whether each live member has each other in its view."""
        raise NotImplementedError


class SwimNetwork(SimulatedNetwork):
    """A network of the service's own members."""

    def __init__(self, day: MemberDay, seed: int, settings: MemberSettings = MEMBER_SETTINGS) -> None:
        """Create members that share a complete view."""
        super().__init__(day, seed)
        self.number_by_address = {f"h:{n}": n for n in range(day.member_count)}
        snapshot = MembershipSnapshot(MemberRecord(f"m{n}", f"h:{n}", 1) for n in range(day.member_count))
        self.members: list[Member] = []
        self.ticks: list[DueTimer] = []
        for n in range(day.member_count):
            member = Member(
                settings, f"m{n}", f"h:{n}", random.Random(self.rng.random()), self.events.now, 1, snapshot
            )
            member.on_changed = lambda change, n=n: self._on_changed(n, change)  # type: ignore[misc]
            self.members.append(member)
            ticks = DueTimer(self.events, member.next_due, lambda n=n: self._tick(n))  # type: ignore[misc]
            member.context.timers.on_earlier_due = ticks.arm
            self.ticks.append(ticks)
            ticks.arm()

    def _on_changed(self, observer: int, change: MembershipChange) -> None:
        if change.record.state == MemberState.DEAD:
            self.record_death(observer, int(change.record.name[1:]), change.record.incarnation)

    def _tick(self, number: int) -> None:
        if self.up[number]:
            self.members[number].tick(self.events.now)
            self._flush(number)

    def _flush(self, number: int) -> None:
        """Send the packets that a member has queued."""
        member = self.members[number]
        for address, packet in member.take_outgoing():
            receiver = self.number_by_address[address]
            self.send(number, receiver, self._receive, receiver, packet)

    def _receive(self, number: int, packet: Datagram) -> None:
        if self.up[number]:
            self.members[number].receive(self.events.now, packet)
            self._flush(number)

    def crash(self, number: int) -> None:
        """Crash a member and clear its timers."""
        super().crash(number)
        self.members[number].context.timers.heap.clear()

    def view_counts(self) -> Counter[object]:
        """How many live members hold each view, by its digest."""
        return Counter(m.view.digest for n, m in enumerate(self.members) if self.up[n])

    def are_views_complete(self) -> bool:
        """Whether each live member has each other in its view."""
        return all(m.view.present_count == sum(self.up) for n, m in enumerate(self.members) if self.up[n])


class HeartbeatNetwork(SimulatedNetwork):
    """Baseline: heartbeats from each member to each other, with a fixed timeout."""

    def __init__(self, day: MemberDay, seed: int) -> None:
        """Start the heartbeats of each member at a random time within the first interval."""
        super().__init__(day, seed)
        now, count = self.events.now, day.member_count
        self.last_heartbeat_at = [[now] * count for _ in range(count)]  # by observer and sender
        self.dead = [set[int]() for _ in range(count)]  # by observer
        for n in range(count):
            self.events.at(now + HEARTBEAT_INTERVAL_SECONDS * self.rng.random(), self._send_heartbeats, n)

    def _send_heartbeats(self, number: int) -> None:
        """Send a heartbeat to each other member, and declare those dead whose timeout is over."""
        if not self.up[number]:
            return
        now = self.events.now
        for other in range(self.day.member_count):
            if other == number:
                continue
            self.send(number, other, self._receive, number, other)
            if (
                now - self.last_heartbeat_at[number][other] > HEARTBEAT_TIMEOUT_SECONDS
                and other not in self.dead[number]
            ):
                self.dead[number].add(other)
                self.record_death(number, other, int(self.last_heartbeat_at[number][other] * 1000))
        self.events.at(now + HEARTBEAT_INTERVAL_SECONDS, self._send_heartbeats, number)

    def _receive(self, sender: int, receiver: int) -> None:
        self.last_heartbeat_at[receiver][sender] = self.events.now
        self.dead[receiver].discard(sender)

    def view_counts(self) -> Counter[object]:
        """How many live members hold each set of dead members."""
        return Counter(frozenset(self.dead[n]) for n in range(self.day.member_count) if self.up[n])

    def are_views_complete(self) -> bool:
        """Whether no live member holds any other for dead."""
        return not any(self.dead[n] for n in range(self.day.member_count) if self.up[n])


def simulate(job: tuple[str, MemberDay, int]) -> MemberResult:
    """Simulate a day.

    Args:
        job: ``swim`` or, for the baseline, ``beats``; the day; and the seed.
    """
    kind, day, seed = job
    return (SwimNetwork if kind == "swim" else HeartbeatNetwork)(day, seed).run()


def percentile(values: list[float], share: float) -> float:
    """The value that a share of the values doesn't exceed; infinite for no values."""
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))] if ordered else float("inf")
