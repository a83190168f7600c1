"""Advertisement: the load level that this server sends to its clients."""

from __future__ import annotations

from saltcart.decision.actions import Action, AdvertiseLevel
from saltcart.decision.settings import LoadSignal, Settings

MIN_LEVEL_CHANGE = 0.02  # smaller changes are not sent; relative to the last level if that is above 1
FINAL_PRESSURE = 0.2  # above which a rejected caller should not try another server

# Smoothing of the pressure, in multiples of its range per latency objective.
FALL_SPEED = 2
RISE_SPEED = 4

FULL_PRESSURE = 0.95  # from which the classes that are shed first count as shed in full
WEIGHT_REDUCTION = 0.8  # of the weight, at a pressure of 1
CREDIT_REDUCTION = 0.45  # of the credit, at a pressure of 1
CREDITS_PER_SLOT = 3


class Advertisement:
    """Derives the level from the smoothed pressure, which rises faster than it falls."""

    def __init__(self, settings: Settings, sweep_interval: float, objective: float) -> None:
        self.settings = settings
        self.step = sweep_interval / objective
        self.pressure = 0.0  # smoothed
        self.last_level = -1.0

    def rejections_are_final(self) -> bool:
        """Whether a rejected caller should not try another server, since the others are likely as loaded."""
        return self.pressure > FINAL_PRESSURE

    def update(
        self, pressure: float, first_shed_count: int, slots: int, is_withdrawing: bool
    ) -> list[Action]:
        """Update the level at a sweep and return the action that sends it, if it changed enough.

        Args:
            pressure: Pressure of the admission control.
            first_shed_count: Number of classes of lowest weight that are shed first.
            slots: Number of run slots.
            is_withdrawing: Whether clients should send no more requests to this server.
        """
        speed = FALL_SPEED if pressure < self.pressure else RISE_SPEED
        self.pressure += min(1.0, speed * self.step) * (pressure - self.pressure)
        level = 0.0
        if self.settings.signal is LoadSignal.LEVEL:
            level = 1.0 if is_withdrawing else self._lowest_rank(first_shed_count)
        elif not is_withdrawing:
            level = self._weight_or_credit(slots)
        return self._advertise(level)

    def _lowest_rank(self, first_shed_count: int) -> float:
        # Below full pressure the level covers only the part of the lowest class that is rejected here anyway.
        class_count = len(self.settings.classes)
        if self.pressure < FULL_PRESSURE:
            return self.pressure / class_count
        return (
            first_shed_count + max(0.0, self.pressure - 1) * (class_count - first_shed_count)
        ) / class_count

    def _weight_or_credit(self, slots: int) -> float:
        if self.settings.signal is LoadSignal.WEIGHT:
            return 1 - WEIGHT_REDUCTION * min(1.0, self.pressure)
        return (
            CREDITS_PER_SLOT
            * slots
            * (1 - CREDIT_REDUCTION * self.pressure)
            / max(1, self.settings.client_count)
        )

    def _advertise(self, level: float) -> list[Action]:
        min_change = MIN_LEVEL_CHANGE * max(1.0, self.last_level)
        if self.settings.signal is LoadSignal.NONE or abs(level - self.last_level) <= min_change:
            return []
        self.last_level = level
        return [AdvertiseLevel(level)]
