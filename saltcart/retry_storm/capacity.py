"""How much work a second this server does, and will do while it grows warm."""

from __future__ import annotations

from saltcart.decision.settings import Settings

HALF_LIFE = 4.0  # seconds, of what was measured
MIN_COMPLETIONS = 8.0  # while full, before the measured rate is believed
RUN_FADE = 0.95  # of the mean run time, with each run
MAX_OVER_GUESS = 2  # times the guess, that the measured rate counts for at most


class WarmUpCurve:
    """The server's share of its warm speed, at any time after its start."""

    def __init__(self, settings: Settings, started_at: float) -> None:
        self.settings = settings
        self.started_at = started_at

    def speed_share_at(self, when: float) -> float:
        """Return the share at a time."""
        return self.settings.speed_share(max(0.0, when - self.started_at))


class CapacityEstimator:
    """Requests a second that the server could end, warm: learned from those that it ends while it is full.

    Until enough has ended it is guessed from the cores and the time that runs take.

    Runs that share the cores, or wait their turn at an upstream, take longer than their work: as much
    longer as there are more of them than cores (Little, 1961).
    """

    def __init__(self, warm_up: WarmUpCurve, cores: int, reading_share: float) -> None:
        """``reading_share``: what reading a request costs, as a share of its work."""
        self.warm_up = warm_up
        self.cores = cores
        self.reading_share = reading_share
        self.full_completions = 0.0  # while full; fading
        self.full_seconds = 0.0  # warm seconds while full; fading
        self.run_seconds = 0.0  # of so many runs; fading
        self.runs = 0.0
        self.updated_at: float | None = None
        self.full_since: float | None = None

    def _advance(self, now: float) -> None:
        if self.updated_at is not None and now > self.updated_at:
            if self.full_since is not None:
                full = now - max(self.updated_at, self.full_since)
                self.full_seconds += full * self.warm_up.speed_share_at(now)
            fade = 0.5 ** ((now - self.updated_at) / HALF_LIFE)
            self.full_completions *= fade
            self.full_seconds *= fade
        self.updated_at = now

    def record_run(self, now: float, seconds: float, full: bool, running: int = 1) -> None:
        """Record a run that is over; ``full``: others waited for its slot.

        ``running``: how many there were with it.
        """
        self._advance(now)
        work = seconds * self.warm_up.speed_share_at(now) / max(1.0, running / self.cores)
        self.run_seconds = RUN_FADE * self.run_seconds + work
        self.runs = RUN_FADE * self.runs + 1
        if not full:
            self.full_since = None
            return
        self.full_completions += 1
        if self.full_since is None:
            self.full_since = now

    def warm_rate(self, now: float) -> float:
        """Return requests a second at full strength."""
        self._advance(now)
        guess = float(self.cores)
        if self.run_seconds > 0:
            guess *= self.runs / self.run_seconds / (1 + self.reading_share)
        if self.full_completions < MIN_COMPLETIONS or self.full_seconds <= 0:
            return guess
        return min(MAX_OVER_GUESS * guess, self.full_completions / self.full_seconds)

    def rate(self, now: float, when: float) -> float:
        """Return requests a second at a later moment, as far as can be told now."""
        return self.warm_rate(now) * self.warm_up.speed_share_at(when)
