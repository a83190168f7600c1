"""Allocates each zone's requests to zones: nearest first, in proportion to capacity, never beyond it."""

from __future__ import annotations

from collections.abc import Mapping, Sequence

from saltcart.locality.topology import ZoneTopology
from saltcart.locality.zone_trust import WHOLE_SHARE

ROUNDS = 4  # per pass; unallocated requests are offered again to zones that still have capacity
NO_DEMAND = 1e-9  # requests per second; less counts as none
ROUNDING = 1e-6  # of a share
# The priority levels of each pass, and whether it may use the reserved capacity as well.
PASSES = (((0,), True), ((1,), False), ((2,), False), ((1, 2), True))


class ShareAllocator:
    """Allocates the requests of all zones, pass by pass."""

    def __init__(
        self,
        topology: ZoneTopology,
        demand: Sequence[float],
        capacity: Sequence[float],
        trust: Mapping[tuple[int, int], float],
        reserved: Sequence[float],
    ) -> None:
        self.topology = topology
        self.trust = trust
        self.reserved = reserved
        self.unallocated = list(demand)
        self.free_capacity = list(capacity)
        self.allocated = [dict[int, float]() for _ in demand]

    def allocate(self, levels: Sequence[int], uses_reserve: bool) -> None:
        """Offer each zone's unallocated requests once to the zones of these priority levels."""
        available = self.free_capacity
        if not uses_reserve:
            available = [
                max(0.0, free - reserved) for free, reserved in zip(self.free_capacity, self.reserved)
            ]
        count = len(self.unallocated)
        offers = [self._offer(origin, levels, available) for origin in range(count)]
        inflow = [sum(row.get(target, 0.0) for row in offers) for target in range(count)]
        for origin, row in enumerate(offers):
            for target, amount in row.items():
                accepted = amount * min(1.0, available[target] / inflow[target])
                self.allocated[origin][target] = self.allocated[origin].get(target, 0.0) + accepted
                self.unallocated[origin] -= accepted
        self.free_capacity = [
            max(0.0, free - min(limit, flow))
            for free, limit, flow in zip(self.free_capacity, available, inflow)
        ]

    def _offer(self, origin: int, levels: Sequence[int], available: Sequence[float]) -> dict[int, float]:
        """Return the requests that a zone offers to each target, in proportion to usable capacity."""
        if self.unallocated[origin] <= NO_DEMAND:
            return {}
        usable = dict[int, float]()
        for level in levels:
            for target in self.topology.priority_levels[origin][level]:
                capacity = available[target]
                if target != origin:
                    capacity *= self.trust.get((origin, target), 1.0)
                if capacity > NO_DEMAND:
                    usable[target] = capacity
        total = sum(usable.values())
        return {
            target: min(self.unallocated[origin], total) * capacity / total
            for target, capacity in usable.items()
        }

    def row(self, origin: int, demand: float) -> dict[int, int]:
        """Return the thousandths of a zone's requests by target zone."""
        allocated = sorted(self.allocated[origin].items())
        shares = {target: int(WHOLE_SHARE * amount / demand + ROUNDING) for target, amount in allocated}
        row = {target: share for target, share in shares.items() if share}
        remainder = WHOLE_SHARE - sum(row.values())
        if self.unallocated[origin] <= ROUNDING * demand and row:  # only rounding is missing to the whole
            row[max(row, key=lambda target: (row[target], -target))] += remainder
        return row


def allocate_shares(
    topology: ZoneTopology,
    demand: Sequence[float],
    capacity: Sequence[float],
    trust: Mapping[tuple[int, int], float],
    reserved: Sequence[float] | None = None,
) -> dict[int, dict[int, int]]:
    """Return rows of shares; rows that keep everything in the own zone are left out.

    Args:
        topology: The zones and their priority levels.
        demand: Requests per second of each zone.
        capacity: Requests per second that each zone may be sent in total.
        trust: Trust by origin and target zone, from 0 to 1; 1 for a pair without an entry.
        reserved: Part of each zone's capacity that other zones' requests use only when no other capacity is
            left, and then in proportion to it, near or far: the last capacity of a nearby zone is the
            costliest to use.
    """
    allocator = ShareAllocator(topology, demand, capacity, trust, reserved or [0.0] * len(demand))
    for levels, uses_reserve in PASSES:
        for _ in range(ROUNDS):
            allocator.allocate(levels, uses_reserve)
    rows = {}
    for origin, amount in enumerate(demand):
        if amount <= NO_DEMAND:
            continue
        row = allocator.row(origin, amount)
        if row != {origin: WHOLE_SHARE}:
            rows[origin] = row
    return rows
