"""Computes the next failover plan.

The next plan depends only on the previous plan, the zones' summaries and the time, so that any instance
computes the same plan from the same input.  Small moves, and moves soon after another, are held back
(hysteresis) unless a zone fails.
"""

from __future__ import annotations

import math
from collections.abc import Mapping, Sequence
from typing import NamedTuple

from saltcart.locality.evidence import POOR_SUCCESS_SHARE, PROVEN_LOG_ODDS, success_upper_bound
from saltcart.locality.failover_plan import FailoverPlan, Rows, row_of
from saltcart.locality.load_reports import ZoneSummary
from saltcart.locality.settings import LocalitySettings
from saltcart.locality.share_allocation import allocate_shares
from saltcart.locality.topology import ZoneTopology
from saltcart.locality.zone_trust import FALL_THRESHOLD, WHOLE_SHARE, ZoneTrust, next_trust

MAX_RESERVE_USED = 0.7  # share of the capacity above ``limit`` that may be in use before requests are moved
MIN_HOME_GAIN = 0.15  # share of a zone's requests; moving fewer back to it does not justify a new plan
REJECTION_THRESHOLD = 50  # thousandths of a zone's requests; from it on, zones are filled beyond ``limit``
SPILLOVER_DRAIN_SECONDS = 10.0  # after a zone's spillover has left, before its own requests may leave too
MIN_INTERVAL = 0.5  # seconds between two plans, even when a zone fails
# Standard deviations of one second's requests that a zone keeps free.
RESERVED_DEVIATIONS = 1.0  # while other zones have capacity
MIN_RESERVED_DEVIATIONS = 2.0  # in any case


class ReceivedSummary(NamedTuple):
    """A zone's newest summary and its age in seconds."""

    age: float
    summary: ZoneSummary


Summaries = Mapping[int, ReceivedSummary]  # by zone


# ---- health and capacity of zones -------------------------------------------------------------


def usual_success_share(summaries: Summaries) -> float:
    """Return the usual success share at present: that at the boundary of the best third of the zones.

    A fault that affects most zones is no reason to move requests away from any of them.
    """
    outcomes = [received.summary.outcomes.get(zone, (0.0, 0.0)) for zone, received in summaries.items()]
    shares = [good / (good + bad) if good + bad > 0 else 1.0 for good, bad in outcomes]
    shares.sort(reverse=True)
    return shares[len(shares) // 3] if shares else 1.0


def observed_capacity(summary: ZoneSummary, target: int, usual_share: float) -> float:
    """Return the available share of the target's capacity, as observed by the instances of one zone."""
    outcomes = summary.outcomes.get(target, (0.0, 0.0))
    if success_upper_bound(*outcomes) < POOR_SUCCESS_SHARE * usual_share:
        return 0.0
    return summary.grades.get(target, 1.0)


def available_capacity(
    settings: LocalitySettings, summaries: Summaries, origin: int, target: int, usual_share: float = 1.0
) -> float:
    """Return the share of the target's capacity that is available to the origin, as observed by both.

    A zone whose reports are stale may be partitioned off and busy with its own requests, so it gets none
    from other zones.  A zone that has never reported has no instances; the origin's observation decides.
    """
    by_origin = observed_capacity(summaries[origin].summary, target, usual_share)
    received = summaries.get(target)
    if origin == target or received is None:
        return by_origin
    if received.age > settings.stale:
        return 0.0
    return min(by_origin, observed_capacity(received.summary, target, usual_share))


def health_log_odds(summaries: Summaries, target: int) -> float:
    """Return the log odds of the target's health, as tested by its own instances.

    Without any demand of their own they have no evidence, so none is required.
    """
    received = summaries.get(target)
    if received is None or received.summary.demand <= 0:
        return PROVEN_LOG_ODDS
    return received.summary.log_odds


# ---- comparison of plans ----------------------------------------------------------------------


def moved_share(previous: FailoverPlan, rows: Rows, zone: int) -> int:
    """Return the thousandths of a zone's requests that the rows send elsewhere than the previous plan."""
    old = previous.row(zone)
    new = row_of(rows, zone)
    targets = old.keys() | new.keys()
    difference = sum(abs(old.get(target, 0) - new.get(target, 0)) for target in targets)
    return (difference + abs(sum(old.values()) - sum(new.values()))) // 2


def _inflow(plan: FailoverPlan, demand: Sequence[float], target: int) -> float:
    return sum(amount * plan.row(origin).get(target, 0) / WHOLE_SHARE for origin, amount in enumerate(demand))


def is_still_acceptable(
    settings: LocalitySettings,
    previous: FailoverPlan,
    rows: Rows,
    demand: Sequence[float],
    planned_capacity: Sequence[float],
) -> bool:
    """Whether the previous plan is close enough to the rows that would be best now.

    It is while no zone is too full and the rows would neither keep notably more requests in
    their own zones nor reject notably fewer.
    """
    gain = round(MIN_HOME_GAIN * WHOLE_SHARE)
    for origin in range(len(planned_capacity)):
        old = previous.row(origin)
        new = row_of(rows, origin)
        rejected_needlessly = sum(new.values()) - sum(old.values())
        if new.get(origin, 0) - old.get(origin, 0) >= gain or rejected_needlessly >= gain:
            return False
    max_use = 1 + MAX_RESERVE_USED * (1 / settings.limit - 1)
    return all(
        _inflow(previous, demand, target) <= planned * max_use
        for target, planned in enumerate(planned_capacity)
    )


def _is_overloaded(
    settings: LocalitySettings,
    plan: FailoverPlan,
    demand: Sequence[float],
    planned_capacity: Sequence[float],
) -> bool:
    """Whether the plan sends some zone more than its full capacity."""
    return any(
        _inflow(plan, demand, target) > planned / settings.limit
        for target, planned in enumerate(planned_capacity)
    )


def pressed_capacity(settings: LocalitySettings, capacity: float) -> float:
    """Return the capacity up to which a zone is filled while requests would otherwise be rejected.

    The load of a large zone varies less around its mean, so it is filled further, up to the point at which
    random variation would overload it; a small zone keeps the ordinary limit.
    """
    safe = capacity - MIN_RESERVED_DEVIATIONS * math.sqrt(capacity)
    return max(settings.limit * capacity, min(settings.limit_pressed * capacity, safe))


# ---- the next plan ----------------------------------------------------------------------------


def spillover_leaves_first(
    previous: FailoverPlan,
    known_trust: Mapping[tuple[int, int], ZoneTrust],
    summary: ZoneSummary,
    now: float,
) -> bool:
    """Whether a degraded zone keeps its own requests while spillover from other zones leaves it.

    So it does while it has spillover, and for some time afterwards.  Random variation alone overloads a small
    zone with spillover now and then, and the zone recovers without it.  Moving its own requests too would
    overload one zone after the other.
    """
    zone = summary.zone
    own = known_trust.get((zone, zone))
    if own is not None and now - own.fell_at < SPILLOVER_DRAIN_SECONDS:
        return False  # trust in it is falling already
    if summary.grades.get(zone, 1.0) * WHOLE_SHARE <= FALL_THRESHOLD:
        return False  # hardly any of its members is left
    if any(row.get(zone, 0) > 0 for origin, row in previous.rows.items() if origin != zone):
        return True
    return any(
        target == zone != origin and now - trust.fell_at < SPILLOVER_DRAIN_SECONDS
        for (origin, target), trust in known_trust.items()
    )


class PlanProposer:
    """Computes the next plan from the previous one and the zones' summaries at one moment."""

    def __init__(
        self,
        settings: LocalitySettings,
        topology: ZoneTopology,
        previous: FailoverPlan,
        summaries: Summaries,
        now: float,
    ) -> None:
        """Prepare a proposal.

        Args:
            settings: Settings of zone-aware routing.
            topology: The zones and their capacity.
            previous: The plan in use.
            summaries: The newest summary of each zone.
            now: Unix time in seconds.
        """
        self.settings = settings
        self.topology = topology
        self.previous = previous
        self.summaries = summaries
        self.now = now
        self.zones = range(len(topology.zones))
        self.fresh = [zone for zone in self.zones if self._is_fresh(zone)]
        self.known_trust = {(trust.origin, trust.target): trust for trust in previous.trust}
        self.trust = dict[tuple[int, int], ZoneTrust]()  # of the next plan, without pairs of default trust
        self.has_fallen = False  # trust in a zone that is in use
        self.has_recovered = False  # trust of a zone in itself

    def _is_fresh(self, zone: int) -> bool:
        return zone in self.summaries and self.summaries[zone].age <= self.settings.stale

    def propose(self) -> FailoverPlan | None:
        """Return the next plan; None if the previous one stays."""
        self._update_trust()
        trust = [self.trust[pair] for pair in sorted(self.trust)]
        demand = [self.summaries[zone].summary.demand if zone in self.fresh else 0.0 for zone in self.zones]
        rows, planned_capacity = self._allocate(demand)
        for origin, row in self.previous.rows.items():
            if origin not in self.fresh:
                rows[origin] = dict(row)
        if self._justifies_a_move(rows, demand, planned_capacity):
            return FailoverPlan(round(self.now, 1), rows, trust)
        if trust != self.previous.trust and self.now - self.previous.made_at >= MIN_INTERVAL:
            # The next plan needs the new trust; the rows, and the time of the last move, stay.
            return FailoverPlan(self.previous.made_at, self.previous.rows, trust)
        return None

    def _update_trust(self) -> None:
        usual_share = usual_success_share(self.summaries)
        is_rejecting = any(
            self.previous.rejected_share(origin) >= REJECTION_THRESHOLD for origin in self.previous.rows
        )
        for origin in self.fresh:
            for target in self.zones:
                self._update_pair(origin, target, usual_share, is_rejecting)
        for pair, old in self.known_trust.items():
            if pair[0] not in self.fresh:
                self.trust[pair] = old  # a zone that is partitioned off decides for itself

    def _update_pair(self, origin: int, target: int, usual_share: float, is_rejecting: bool) -> None:
        old = self.known_trust.get((origin, target), ZoneTrust(origin, target))
        capacity_share = available_capacity(self.settings, self.summaries, origin, target, usual_share)
        log_odds = health_log_odds(self.summaries, target)
        new = next_trust(self.settings, old, capacity_share, self.now, log_odds, is_rejecting)
        is_own = origin == target
        if is_own and new.share < old.share:
            summary = self.summaries[target].summary
            if spillover_leaves_first(self.previous, self.known_trust, summary, self.now):
                new = old
        self.has_fallen |= new.share < old.share and self.previous.row(origin).get(target, 0) > 0
        self.has_recovered |= is_own and new.share > old.share  # spillover need not return
        if new != ZoneTrust(origin, target):
            self.trust[origin, target] = new

    def _allocate(self, demand: list[float]) -> tuple[dict[int, dict[int, int]], list[float]]:
        """Return the rows that would be best now, and the capacity up to which each zone was filled."""
        shares = {pair: trust.share / WHOLE_SHARE for pair, trust in self.trust.items()}
        capacity = [self.topology.capacity[zone] * shares.get((zone, zone), 1.0) for zone in self.zones]
        planned_capacity = [self.settings.limit * zone_capacity for zone_capacity in capacity]
        # The smaller a zone is, the more its load varies relative to the mean.
        reserved = [
            max(0.0, planned - (zone_capacity - RESERVED_DEVIATIONS * math.sqrt(zone_capacity)))
            for planned, zone_capacity in zip(planned_capacity, capacity)
        ]
        rows = allocate_shares(self.topology, demand, planned_capacity, shares, reserved)
        if any(WHOLE_SHARE - sum(row.values()) >= REJECTION_THRESHOLD for row in rows.values()):
            planned_capacity = [pressed_capacity(self.settings, zone_capacity) for zone_capacity in capacity]
            rows = allocate_shares(self.topology, demand, planned_capacity, shares)
        return rows, planned_capacity

    def _justifies_a_move(self, rows: Rows, demand: list[float], planned_capacity: list[float]) -> bool:
        max_moved = max((moved_share(self.previous, rows, origin) for origin in self.zones), default=0)
        interval = self.settings.hold
        if self.has_fallen:
            interval = MIN_INTERVAL
        elif self.has_recovered:
            interval = self.settings.step_every
        elif is_still_acceptable(self.settings, self.previous, rows, demand, planned_capacity):
            max_moved = 0
        elif not _is_overloaded(self.settings, self.previous, demand, planned_capacity):
            interval = self.settings.settle
        is_large = max_moved >= round(self.settings.least_move * WHOLE_SHARE)
        return is_large and self.now - self.previous.made_at >= interval


def propose_plan(
    settings: LocalitySettings,
    topology: ZoneTopology,
    previous: FailoverPlan,
    summaries: Summaries,
    now: float,
) -> FailoverPlan | None:
    """Return the next plan; None if the previous one stays.

    Args:
        settings: Settings of zone-aware routing.
        topology: The zones and their capacity.
        previous: The plan in use.
        summaries: The newest summary of each zone.
        now: Unix time in seconds.
    """
    return PlanProposer(settings, topology, previous, summaries, now).propose()
