"""The number of run slots: fast growth while cores idle, then a hill climb on completions a second."""

from __future__ import annotations

from saltcart.decision.settings import Settings

BUSY_SHARE = 0.85  # of the cores; below it they idle
GROWTH_INTERVAL = 0.25  # seconds; the gauge is a mean of half a second, so not faster


class ConcurrencyLimiter:
    """Run slots, which start and floor at the number of cores."""

    def __init__(self, settings: Settings) -> None:
        self.settings = settings
        self.slots = settings.cores
        self.completions = 0  # since the period began
        self.completion_rate = 0.0  # of the period before
        self.period_began_at = 0.0
        self.last_growth_at = 0.0

    def survivable(self, age: float) -> float:
        """Return how many requests on the cores the server survives, fewer while it is cold."""
        settings = self.settings
        return settings.cores * (1 + (settings.max_running_per_core - 1) * settings.speed_share(age))

    def update(self, now: float, age: float, cpu_busy: float | None, held: int, period: float) -> None:
        """Move the slots; ``age`` is that of the cores, ``period`` the time of one step of the climb."""
        cores_idle = cpu_busy is not None and cpu_busy < BUSY_SHARE
        if held and cores_idle and now - self.last_growth_at >= GROWTH_INTERVAL:
            self.slots += 1
            self.last_growth_at = now
        elif now - self.period_began_at >= period:
            self._climb(now, held)
        most = max(self.settings.cores, int(self.survivable(age) / 2))
        self.slots = max(self.settings.cores, min(most, self.slots))

    def _climb(self, now: float, held: int) -> None:
        seconds = now - self.period_began_at
        rate = self.completions / seconds
        # A rise must stand out of the counts' noise, or slots drift up until runs slow each other down.
        noise = (self.completions**0.5 + 1) / seconds
        self.slots += 1 if held and rate > self.completion_rate + noise else -1
        self.completion_rate = rate
        self.completions = 0
        self.period_began_at = now
