"""How one plan follows from another.

A plan is made of the plan before, the zones' summaries and the moment, and of nothing else: whoever makes it
from the same comes to the same.  A move that is small or soon after another waits, unless a zone has fallen.
"""

from __future__ import annotations

import math
from collections.abc import Mapping, Sequence
from typing import NamedTuple

from saltcart.locality.evidence import POOR_SHARE, PROVEN_LOG_ODDS, success_upper_bound
from saltcart.locality.failover_plan import FailoverPlan, Rows, row_of
from saltcart.locality.load_reports import ZoneSummary
from saltcart.locality.settings import LocalitySettings
from saltcart.locality.share_allocation import allocate_shares
from saltcart.locality.topology import ZoneTopology
from saltcart.locality.zone_trust import FALL, WHOLE_SHARE, ZoneTrust, next_trust

MAX_RESERVE_USED = 0.7  # of what the limit keeps back, before work is moved again
HOME_GAIN = 0.15  # of a zone's work that could be at home again: worth a move
PRESSING = 50  # thousandths of a zone's work, rejected: room is wanted
FOREIGN_WORK_FIRST = 10.0  # seconds after others' work has left, before a zone's own may leave it too
MIN_INTERVAL = 0.5  # seconds between two plans, whatever falls
KEPT_DEVIATIONS = 1.0  # of one second's work that a zone keeps free while there is room elsewhere
SAFE_DEVIATIONS = 2.0  # of one second's work that a zone keeps free in any case


class ReceivedSummary(NamedTuple):
    """A zone's newest summary and how many seconds ago it came."""

    age: float
    summary: ZoneSummary


Summaries = Mapping[int, ReceivedSummary]  # by zone


# ---- what is seen of a zone -------------------------------------------------------------------


def usual_success_share(received: Summaries) -> float:
    """Return the share of good outcomes that zones have of late: that of the last of the best third.

    What most zones suffer from is no zone's trouble, and no work is moved for it.
    """
    outcomes = [r.summary.outcomes.get(zone, (0.0, 0.0)) for zone, r in received.items()]
    shares = [good / (good + bad) if good + bad > 0 else 1.0 for good, bad in outcomes]
    shares.sort(reverse=True)
    return shares[len(shares) // 3] if shares else 1.0


def capacity_seen_by(summary: ZoneSummary, target: int, usual_share: float) -> float:
    """Return the share of a zone's capacity that is there, as the instances of one zone find it."""
    outcomes = summary.outcomes.get(target, (0.0, 0.0))
    if success_upper_bound(*outcomes) < POOR_SHARE * usual_share:
        return 0.0
    return summary.grades.get(target, 1.0)


def capacity_for(
    settings: LocalitySettings, received: Summaries, origin: int, target: int, usual_share: float = 1.0
) -> float:
    """Return the share of the target's capacity that is there for the origin, as both find it.

    A zone that has fallen silent may be alive inside its borders and full of its own work: it gets none of
    another's.  One that has never reported has no instances; what the origin finds itself is all there is.
    """
    own = capacity_seen_by(received[origin].summary, target, usual_share)
    other = received.get(target)
    if origin == target or other is None:
        return own
    if other.age > settings.stale:
        return 0.0
    return min(own, capacity_seen_by(other.summary, target, usual_share))


def health_log_odds(received: Summaries, target: int) -> float:
    """Return the odds for the target's health, by its own instances.

    Where none of them has work for it, no evidence is asked for.
    """
    other = received.get(target)
    if other is None or other.summary.demand <= 0:
        return PROVEN_LOG_ODDS
    return other.summary.log_odds


# ---- rows -------------------------------------------------------------------------------------


def moved_share(before: FailoverPlan, rows: Rows, zone: int) -> int:
    """Return the thousandths of a zone's work that go elsewhere than before."""
    old = before.row(zone)
    new = row_of(rows, zone)
    targets = old.keys() | new.keys()
    difference = sum(abs(old.get(target, 0) - new.get(target, 0)) for target in targets)
    return (difference + abs(sum(old.values()) - sum(new.values()))) // 2


def _inflow(plan: FailoverPlan, demand: Sequence[float], target: int) -> float:
    return sum(amount * plan.row(origin).get(target, 0) / WHOLE_SHARE for origin, amount in enumerate(demand))


def is_still_good(
    settings: LocalitySettings,
    before: FailoverPlan,
    rows: Rows,
    demand: Sequence[float],
    room: Sequence[float],
) -> bool:
    """Whether the plan before is still good enough.

    It is while no zone is too full, no work is rejected that need not be, and not much more could be at home.
    """
    gain = round(HOME_GAIN * WHOLE_SHARE)
    for origin in range(len(room)):
        old = before.row(origin)
        new = row_of(rows, origin)
        rejected_needlessly = sum(new.values()) - sum(old.values())
        if new.get(origin, 0) - old.get(origin, 0) >= gain or rejected_needlessly >= gain:
            return False
    most = 1 + MAX_RESERVE_USED * (1 / settings.limit - 1)
    return all(_inflow(before, demand, target) <= zone_room * most for target, zone_room in enumerate(room))


def _is_overfull(
    settings: LocalitySettings, plan: FailoverPlan, demand: Sequence[float], room: Sequence[float]
) -> bool:
    """Whether some zone is sent more than it can do at all."""
    return any(
        _inflow(plan, demand, target) > zone_room / settings.limit for target, zone_room in enumerate(room)
    )


def pressed_room(settings: LocalitySettings, capacity: float) -> float:
    """Return what a zone takes where work would else be rejected.

    A large one strays less from its mean and is filled up to where chance would overrun it; a small one up to
    its limit as ever.
    """
    safe = capacity - SAFE_DEVIATIONS * math.sqrt(capacity)
    return max(settings.limit * capacity, min(settings.limit_pressed * capacity, safe))


# ---- the plan that follows --------------------------------------------------------------------


def has_foreign_work(
    before: FailoverPlan, known: Mapping[tuple[int, int], ZoneTrust], summary: ZoneSummary, now: float
) -> bool:
    """Whether a zone in trouble has others' work, or had until just now: it is that which leaves first.

    A small zone with others' work is now and then overrun by mere chance, and well again when that is gone.
    To move its own work too would be the herd that falls on one zone after the other.
    """
    zone = summary.zone
    own = known.get((zone, zone))
    if own is not None and now - own.fell_at < FOREIGN_WORK_FIRST:
        return False  # it is falling already
    if summary.grades.get(zone, 1.0) * WHOLE_SHARE <= FALL:
        return False  # none of its members is left
    if any(row.get(zone, 0) > 0 for origin, row in before.rows.items() if origin != zone):
        return True
    return any(
        target == zone != origin and now - trust.fell_at < FOREIGN_WORK_FIRST
        for (origin, target), trust in known.items()
    )


class PlanProposer:
    """Makes the plan that follows, from the plan before and the zones' summaries at one moment."""

    def __init__(
        self,
        settings: LocalitySettings,
        topology: ZoneTopology,
        before: FailoverPlan,
        received: Summaries,
        now: float,
    ) -> None:
        """``now``: Unix seconds."""
        self.settings = settings
        self.topology = topology
        self.before = before
        self.received = received
        self.now = now
        self.zones = range(len(topology.zones))
        self.fresh = [zone for zone in self.zones if self._is_fresh(zone)]
        self.known = {(trust.origin, trust.target): trust for trust in before.trust}
        self.trust = dict[tuple[int, int], ZoneTrust]()  # that follows, where it is less than full
        self.has_fallen = False  # trust in a zone that is used
        self.has_recovered = False  # a zone's trust in itself

    def _is_fresh(self, zone: int) -> bool:
        return zone in self.received and self.received[zone].age <= self.settings.stale

    def propose(self) -> FailoverPlan | None:
        """Return the plan that follows; None where the one before stands."""
        self._update_trust()
        trust = [self.trust[pair] for pair in sorted(self.trust)]
        demand = [self.received[o].summary.demand if o in self.fresh else 0.0 for o in self.zones]
        rows, room = self._allocate(demand)
        for origin, row in self.before.rows.items():
            if origin not in self.fresh:
                rows[origin] = dict(row)
        if self._justifies_a_move(rows, demand, room):
            return FailoverPlan(round(self.now, 1), rows, trust)
        if trust != self.before.trust and self.now - self.before.made_at >= MIN_INTERVAL:
            # The trust goes on, for the next plan is made of it; the work stays where it is.
            return FailoverPlan(self.before.made_at, self.before.rows, trust)
        return None

    def _update_trust(self) -> None:
        usual_share = usual_success_share(self.received)
        is_pressed = any(self.before.rejected_share(origin) >= PRESSING for origin in self.before.rows)
        for origin in self.fresh:
            for target in self.zones:
                self._update_pair(origin, target, usual_share, is_pressed)
        for pair, old in self.known.items():
            if pair[0] not in self.fresh:
                self.trust[pair] = old  # those cut off decide for themselves

    def _update_pair(self, origin: int, target: int, usual_share: float, is_pressed: bool) -> None:
        old = self.known.get((origin, target), ZoneTrust(origin, target))
        capacity_share = capacity_for(self.settings, self.received, origin, target, usual_share)
        log_odds = health_log_odds(self.received, target)
        new = next_trust(self.settings, old, capacity_share, self.now, log_odds, is_pressed)
        is_own = origin == target
        if is_own and new.share < old.share:
            summary = self.received[target].summary
            if has_foreign_work(self.before, self.known, summary, self.now):
                new = old
        self.has_fallen |= new.share < old.share and self.before.row(origin).get(target, 0) > 0
        self.has_recovered |= is_own and new.share > old.share  # others' work has no need to come back
        if new != ZoneTrust(origin, target):
            self.trust[origin, target] = new

    def _allocate(self, demand: list[float]) -> tuple[dict[int, dict[int, int]], list[float]]:
        """Return the rows that would be best now, and the room that each zone has."""
        shares = {pair: trust.share / WHOLE_SHARE for pair, trust in self.trust.items()}
        capacity = [self.topology.capacity[zone] * shares.get((zone, zone), 1.0) for zone in self.zones]
        room = [self.settings.limit * able for able in capacity]
        # The smaller a zone is, the further its work strays from the mean.
        kept_back = [
            max(0.0, zone_room - (able - KEPT_DEVIATIONS * math.sqrt(able)))
            for zone_room, able in zip(room, capacity)
        ]
        rows = allocate_shares(self.topology, demand, room, shares, kept_back)
        if any(WHOLE_SHARE - sum(row.values()) >= PRESSING for row in rows.values()):
            room = [pressed_room(self.settings, able) for able in capacity]
            rows = allocate_shares(self.topology, demand, room, shares)
        return rows, room

    def _justifies_a_move(self, rows: Rows, demand: list[float], room: list[float]) -> bool:
        most_moved = max((moved_share(self.before, rows, origin) for origin in self.zones), default=0)
        interval = self.settings.hold
        if self.has_fallen:
            interval = MIN_INTERVAL
        elif self.has_recovered:
            interval = self.settings.step_every
        elif is_still_good(self.settings, self.before, rows, demand, room):
            most_moved = 0
        elif not _is_overfull(self.settings, self.before, demand, room):
            interval = self.settings.settle
        is_large = most_moved >= round(self.settings.least_move * WHOLE_SHARE)
        return is_large and self.now - self.before.made_at >= interval


def propose_plan(
    settings: LocalitySettings,
    topology: ZoneTopology,
    before: FailoverPlan,
    received: Summaries,
    now: float,
) -> FailoverPlan | None:
    """Return the plan that follows; None where the one before stands.  ``now``: Unix seconds."""
    return PlanProposer(settings, topology, before, received, now).propose()
