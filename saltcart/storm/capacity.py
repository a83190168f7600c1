"""How much work a second this server does, and will do while it grows warm."""

from __future__ import annotations

from saltcart.decision.settings import Settings


class Strength:
    """The server's share of its warm speed, at any time after its start."""

    def __init__(self, settings: Settings, started: float) -> None:
        self.settings, self.started = settings, started

    def at(self, when: float) -> float:
        s = self.settings
        age = max(0.0, when - self.started)
        if not s.starts_cold or age >= s.warm_up_seconds:
            return 1.0
        return s.cold_speed_share + (1 - s.cold_speed_share) * age / s.warm_up_seconds


class Throughput:
    """Requests a second that the server could end, warm: learned from those that it ends while it is full.

    Until enough has ended it is guessed from the cores and the time that runs take.  ``reading``: what
    reading a request costs, as a share of its work.

    Runs that share the cores, or wait their turn at an upstream, take longer than their work: as much
    longer as there are more of them than cores (Little, 1961).
    """

    HALF_LIFE, LEAST = 4.0, 8.0

    def __init__(self, strength: Strength, cores: int, reading: float) -> None:
        self.strength, self.cores, self.reading = strength, cores, reading
        self.ended = self.seconds = 0.0  # ended while full, and warm seconds of it; both fade
        self.took, self.runs = 0.0, 0.0
        self.at: float | None = None
        self.full_at: float | None = None

    def _move(self, now: float) -> None:
        if self.at is not None and now > self.at:
            fade = 0.5 ** ((now - self.at) / self.HALF_LIFE)
            if self.full_at is not None:
                self.seconds += (now - max(self.at, self.full_at)) * self.strength.at(now)
            self.ended, self.seconds = self.ended * fade, self.seconds * fade
        self.at = now

    def run_ended(self, now: float, took: float, full: bool, running: int = 1) -> None:
        """A run is over; ``full``: others waited for its place.  ``running``: how many there were with it."""
        self._move(now)
        self.took = 0.95 * self.took + took * self.strength.at(now) / max(1.0, running / self.cores)
        self.runs = 0.95 * self.runs + 1
        if full:
            self.ended += 1
            self.full_at = now if self.full_at is None else self.full_at
        else:
            self.full_at = None

    def warm_rate(self, now: float) -> float:
        """Requests a second at full strength."""
        self._move(now)
        guess = float(self.cores)
        if self.took > 0:
            guess *= self.runs / self.took / (1 + self.reading)
        if self.ended < self.LEAST or self.seconds <= 0:
            return guess
        return min(2 * guess, self.ended / self.seconds)

    def rate(self, now: float, when: float) -> float:
        """Requests a second at a later moment, as far as can be told now."""
        return self.warm_rate(now) * self.strength.at(when)
