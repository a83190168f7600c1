"""The zones of a fleet, which of them is near to which, and what each can do."""

from __future__ import annotations

from collections.abc import Iterable
from typing import NamedTuple


class Endpoint(NamedTuple):
    """One upstream member; ``capacity``: requests a second that it can do."""

    host: str
    zone: str
    region: str
    capacity: float


class ZoneTopology:
    """Zones by number, in the order of their names, the same for every instance with the same settings."""

    def __init__(self, endpoints: Iterable[Endpoint]) -> None:
        self.endpoints = tuple(endpoints)
        self.zones = tuple(sorted({endpoint.zone for endpoint in self.endpoints}))
        self.zone_numbers = {zone: number for number, zone in enumerate(self.zones)}
        self.regions = [""] * len(self.zones)
        self.capacity = [0.0] * len(self.zones)
        self.members: list[list[str]] = [[] for _ in self.zones]
        for endpoint in self.endpoints:
            number = self.zone_numbers[endpoint.zone]
            self.regions[number] = endpoint.region  # one for each zone: the settings are checked for that
            self.capacity[number] += endpoint.capacity
            self.members[number].append(endpoint.host)
        self.priority_levels = [self._priority_levels(number) for number in range(len(self.zones))]

    def _priority_levels(self, own: int) -> tuple[tuple[int, ...], ...]:
        """Return zones by priority: the own one, those of its region, the others."""
        others = [number for number in range(len(self.zones)) if number != own]
        near = tuple(number for number in others if self.regions[number] == self.regions[own])
        return (own,), near, tuple(number for number in others if number not in near)
