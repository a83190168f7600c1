"""The zones of a fleet, which of them is near to which, and what each can do."""

from __future__ import annotations

from collections.abc import Iterable
from typing import NamedTuple


class Backend(NamedTuple):
    """One upstream member; ``capacity``: requests a second that it can do."""

    host: str
    zone: str
    region: str
    capacity: float


class Sites:
    """Zones by number, in the order of their names, the same for every instance with the same settings."""

    def __init__(self, backends: Iterable[Backend]) -> None:
        self.backends = tuple(backends)
        self.zones = tuple(sorted({b.zone for b in self.backends}))
        self.number = {zone: n for n, zone in enumerate(self.zones)}
        self.region = [""] * len(self.zones)
        self.capacity = [0.0] * len(self.zones)
        self.members: list[list[str]] = [[] for _ in self.zones]
        for b in self.backends:
            n = self.number[b.zone]
            self.region[n] = b.region  # one for each zone: the settings are checked for that
            self.capacity[n] += b.capacity
            self.members[n].append(b.host)
        self.levels = [self._levels(n) for n in range(len(self.zones))]

    def _levels(self, own: int) -> tuple[tuple[int, ...], ...]:
        """Zones by priority: the own one, those of its region, the others."""
        others = [n for n in range(len(self.zones)) if n != own]
        near = tuple(n for n in others if self.region[n] == self.region[own])
        return (own,), near, tuple(n for n in others if n not in near)
