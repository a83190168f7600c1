"""Estimate of the requests per second that this server can serve, now and while it warms up."""

from __future__ import annotations

from saltcart.decision.settings import Settings

HALF_LIFE_SECONDS = 4.0  # of the completions counted under full load
MIN_COMPLETIONS = 8.0  # decayed count under full load, below which their rate is not significant
RUN_DECAY = 0.95  # factor on the weight of earlier runs with each run, in the mean run time
MAX_INITIAL_ESTIMATE_FACTOR = 2  # multiple of the initial estimate to which the observed rate is limited


class WarmUpCurve:
    """Speed of this server as a share of its warm speed, by time."""

    def __init__(self, settings: Settings, started_at: float) -> None:
        self.settings = settings
        self.started_at = started_at

    def speed_share_at(self, when: float) -> float:
        """Return the share of the warm speed at a time."""
        return self.settings.speed_share(max(0.0, when - self.started_at))


class CapacityEstimator:
    """Estimates the requests per second that the warm server can serve, from completions under full load.

    Until enough requests have been completed under full load, the estimate follows from the number of cores
    and the mean run time.

    Runs that share the cores, or wait for an upstream, take longer than their work in proportion to the
    number of runs per core (Little, 1961).
    """

    def __init__(self, warm_up: WarmUpCurve, cores: int, reading_share: float) -> None:
        """Create an estimator without observations.

        Args:
            warm_up: Speed of the server by time.
            cores: Number of cores.
            reading_share: Cost of reading a request, as a share of its work.
        """
        self.warm_up = warm_up
        self.cores = cores
        self.reading_share = reading_share
        self.full_load_completions = 0.0  # decayed count
        self.full_load_seconds = 0.0  # decayed, in seconds at warm speed
        self.run_seconds = 0.0  # decayed sum over the runs in run_weight
        self.run_weight = 0.0  # decayed count of runs
        self.updated_at: float | None = None
        self.full_load_since: float | None = None

    def _advance(self, now: float) -> None:
        if self.updated_at is not None and now > self.updated_at:
            if self.full_load_since is not None:
                full_load = now - max(self.updated_at, self.full_load_since)
                self.full_load_seconds += full_load * self.warm_up.speed_share_at(now)
            decay = 0.5 ** ((now - self.updated_at) / HALF_LIFE_SECONDS)
            self.full_load_completions *= decay
            self.full_load_seconds *= decay
        self.updated_at = now

    def record_run(self, now: float, seconds: float, is_full: bool, running: int = 1) -> None:
        """Record a completed run.

        Args:
            now: Current time in seconds.
            seconds: Duration of the run.
            is_full: Whether the server was under full load: requests were held meanwhile.
            running: Number of concurrent runs, this one included.
        """
        self._advance(now)
        work = seconds * self.warm_up.speed_share_at(now) / max(1.0, running / self.cores)
        self.run_seconds = RUN_DECAY * self.run_seconds + work
        self.run_weight = RUN_DECAY * self.run_weight + 1
        if not is_full:
            self.full_load_since = None
            return
        self.full_load_completions += 1
        if self.full_load_since is None:
            self.full_load_since = now

    def warm_rate(self, now: float) -> float:
        """Return the requests per second that the server can serve at warm speed."""
        self._advance(now)
        initial_estimate = float(self.cores)
        if self.run_seconds > 0:
            initial_estimate *= self.run_weight / self.run_seconds / (1 + self.reading_share)
        if self.full_load_completions < MIN_COMPLETIONS or self.full_load_seconds <= 0:
            return initial_estimate
        return min(
            MAX_INITIAL_ESTIMATE_FACTOR * initial_estimate,
            self.full_load_completions / self.full_load_seconds,
        )

    def rate(self, now: float, when: float) -> float:
        """Return the requests per second that the server will be able to serve at a later time."""
        return self.warm_rate(now) * self.warm_up.speed_share_at(when)
