"""The zones of a fleet, their regions, members and capacity."""

from __future__ import annotations

from collections.abc import Iterable
from typing import NamedTuple


class Endpoint(NamedTuple):
    """One upstream member, and its capacity in requests per second."""

    host: str
    zone: str
    region: str
    capacity: float


class ZoneTopology:
    """Zones numbered in the order of their names, so that all instances with the same settings agree."""

    def __init__(self, endpoints: Iterable[Endpoint]) -> None:
        self.endpoints = tuple(endpoints)
        self.zones = tuple(sorted({endpoint.zone for endpoint in self.endpoints}))
        self.zone_numbers = {zone: number for number, zone in enumerate(self.zones)}
        self.regions = [""] * len(self.zones)
        self.capacity = [0.0] * len(self.zones)
        self.members: list[list[str]] = [[] for _ in self.zones]
        for endpoint in self.endpoints:
            number = self.zone_numbers[endpoint.zone]
            self.regions[number] = endpoint.region  # the settings are checked for one region per zone
            self.capacity[number] += endpoint.capacity
            self.members[number].append(endpoint.host)
        self.priority_levels = [self._priority_levels(number) for number in range(len(self.zones))]

    def _priority_levels(self, own_zone: int) -> tuple[tuple[int, ...], ...]:
        """Return zone numbers by priority level: the own zone, others of its region, all others."""
        others = [number for number in range(len(self.zones)) if number != own_zone]
        same_region = tuple(number for number in others if self.regions[number] == self.regions[own_zone])
        return (own_zone,), same_region, tuple(number for number in others if number not in same_region)
