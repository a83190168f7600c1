"""Shares of work by zones: near first, in measure, never more into a zone than there is room for."""

from __future__ import annotations

from collections.abc import Mapping, Sequence

from saltcart.locality.topology import ZoneTopology
from saltcart.locality.zone_trust import WHOLE_SHARE

ROUNDS = 4  # of handing out what is left to zones that still have room
NO_WORK = 1e-9  # requests a second
ROUNDING = 1e-6  # of a share
# The passes over the priority levels; in some, the room kept back is used as well.
PASSES = (((0,), True), ((1,), False), ((2,), False), ((1, 2), True))


class ShareAllocator:
    """Places the work of all zones, pass by pass."""

    def __init__(
        self,
        topology: ZoneTopology,
        demand: Sequence[float],
        room: Sequence[float],
        trust: Mapping[tuple[int, int], float],
        kept_back: Sequence[float],
    ) -> None:
        self.topology = topology
        self.trust = trust
        self.kept_back = kept_back
        self.left = list(demand)
        self.spare = list(room)
        self.placed = [dict[int, float]() for _ in demand]

    def place(self, levels: Sequence[int], uses_all_room: bool) -> None:
        """Hand out what is left of each zone's work to the zones of these priority levels, once."""
        open_to = self.spare
        if not uses_all_room:
            open_to = [max(0.0, spare - kept) for spare, kept in zip(self.spare, self.kept_back)]
        count = len(self.left)
        wanted = [self._wanted(origin, levels, open_to) for origin in range(count)]
        inflow = [sum(row.get(target, 0.0) for row in wanted) for target in range(count)]
        for origin, row in enumerate(wanted):
            for target, amount in row.items():
                taken = amount * min(1.0, open_to[target] / inflow[target])
                self.placed[origin][target] = self.placed[origin].get(target, 0.0) + taken
                self.left[origin] -= taken
        self.spare = [
            max(0.0, spare - min(room, flow)) for spare, room, flow in zip(self.spare, open_to, inflow)
        ]

    def _wanted(self, origin: int, levels: Sequence[int], open_to: Sequence[float]) -> dict[int, float]:
        """Return what a zone would place with each target, in measure of the room that it may use there."""
        if self.left[origin] <= NO_WORK:
            return {}
        reach = dict[int, float]()
        for level in levels:
            for target in self.topology.priority_levels[origin][level]:
                room = open_to[target]
                if target != origin:
                    room *= self.trust.get((origin, target), 1.0)
                if room > NO_WORK:
                    reach[target] = room
        whole = sum(reach.values())
        return {target: min(self.left[origin], whole) * room / whole for target, room in reach.items()}

    def row(self, origin: int, demand: float) -> dict[int, int]:
        """Return the thousandths of a zone's work by target."""
        placed = sorted(self.placed[origin].items())
        shares = {target: int(WHOLE_SHARE * amount / demand + ROUNDING) for target, amount in placed}
        row = {target: share for target, share in shares.items() if share}
        lost = WHOLE_SHARE - sum(row.values())
        if self.left[origin] <= ROUNDING * demand and row:  # what rounding took goes where most goes
            row[max(row, key=lambda target: (row[target], -target))] += lost
        return row


def allocate_shares(
    topology: ZoneTopology,
    demand: Sequence[float],
    room: Sequence[float],
    trust: Mapping[tuple[int, int], float],
    kept_back: Sequence[float] | None = None,
) -> dict[int, dict[int, int]]:
    """Return rows of shares; rows that keep everything at home are left out.

    ``room``: requests a second that each zone can take in all; ``trust``: by origin and target, 1 where there
    is none; ``kept_back``: of the room, what others' work takes only when it finds no place else, and then
    where there is most of it: the last bit of room next door is the dearest.
    """
    allocator = ShareAllocator(topology, demand, room, trust, kept_back or [0.0] * len(demand))
    for levels, uses_all_room in PASSES:
        for _ in range(ROUNDS):
            allocator.place(levels, uses_all_room)
    rows = {}
    for origin, amount in enumerate(demand):
        if amount <= NO_WORK:
            continue
        row = allocator.row(origin, amount)
        if row != {origin: WHOLE_SHARE}:
            rows[origin] = row
    return rows
