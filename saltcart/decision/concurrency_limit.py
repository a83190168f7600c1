"""Concurrency limit: the number of run slots, which grows while cores idle and then follows throughput."""

from __future__ import annotations

from saltcart.decision.settings import Settings

BUSY_CORES_SHARE = 0.85  # mean utilisation of the cores; below it they count as idle
GROWTH_INTERVAL_SECONDS = 0.25  # the utilisation gauge is a mean over half a second


class ConcurrencyLimiter:
    """Adapts the number of run slots; its initial and minimum value is the number of cores.

    While requests are held and cores idle, a slot is added at each growth interval.  Otherwise hill climbing
    on the completion rate adds or removes a slot in each period.
    """

    def __init__(self, settings: Settings) -> None:
        self.settings = settings
        self.slots = settings.cores
        self.completions = 0  # in this period
        self.completion_rate = 0.0  # completions per second in the previous period
        self.period_started_at = 0.0
        self.last_growth_at = 0.0

    def survivable_requests(self, age: float) -> float:
        """Return how many requests on its cores the server survives: fewer while it is warming up.

        Args:
            age: Seconds since the worker pool started.
        """
        settings = self.settings
        return settings.cores * (1 + (settings.max_running_per_core - 1) * settings.speed_share(age))

    def update(self, now: float, age: float, cpu_busy: float | None, held: int, period: float) -> None:
        """Adjust the number of slots.

        Args:
            now: Current time.
            age: Seconds since the worker pool started.
            cpu_busy: Mean utilisation of the cores, 0 to 1, or None without a reading.
            held: Number of held requests.
            period: Seconds between two steps of the hill climbing.
        """
        cores_idle = cpu_busy is not None and cpu_busy < BUSY_CORES_SHARE
        if held and cores_idle and now - self.last_growth_at >= GROWTH_INTERVAL_SECONDS:
            self.slots += 1
            self.last_growth_at = now
        elif now - self.period_started_at >= period:
            self._hill_climb(now, held)
        max_slots = max(self.settings.cores, int(self.survivable_requests(age) / 2))
        self.slots = max(self.settings.cores, min(max_slots, self.slots))

    def _hill_climb(self, now: float, held: int) -> None:
        seconds = now - self.period_started_at
        rate = self.completions / seconds
        # Without a margin for counting noise, slots drift up until runs slow each other down.
        noise = (self.completions**0.5 + 1) / seconds
        self.slots += 1 if held and rate > self.completion_rate + noise else -1
        self.completion_rate = rate
        self.completions = 0
        self.period_started_at = now
