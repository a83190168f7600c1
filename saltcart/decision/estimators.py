"""Estimators of run times, call times, queue waits and tenant usage.  Times are in seconds."""

from __future__ import annotations

from saltcart.decision.settings import Settings, TenantSpec

# Weights of a new sample in its exponentially weighted moving average.
RUN_TIME_SMOOTHING = 0.1
CALL_WAIT_SMOOTHING = 0.1
CALL_TIME_SMOOTHING = 0.2
BASELINE_GROWTH_PER_CALL = 1.01  # factor; lets the minimum call time follow a dependency that becomes slower
REJECTION_DECAY = 0.97  # factor of an estimate after each rejection that it causes


class RunTimeEstimator:
    """Estimates the time on the cores of each class and the time that a run waits for its call."""

    def __init__(self, settings: Settings) -> None:
        self.run_seconds = [0.0] * len(settings.classes)
        self.call_wait_seconds = 0.0
        self.requires_call = [spec.requires_call for spec in settings.classes]

    def record_run(self, class_index: int, seconds: float, succeeded: bool) -> None:
        """Record the duration of a run.

        Args:
            class_index: Class of the request.
            seconds: Time on the cores.
            succeeded: False if the run was cut short; its time is a lower bound then.
        """
        estimate = self.run_seconds[class_index]
        if succeeded or seconds > estimate:
            smoothing = RUN_TIME_SMOOTHING if estimate else 1.0
            self.run_seconds[class_index] = estimate + smoothing * (seconds - estimate)

    def record_call_wait(self, seconds: float) -> None:
        """Record how long a run that requires its call was off the cores for it."""
        self.call_wait_seconds += CALL_WAIT_SMOOTHING * (seconds - self.call_wait_seconds)

    def expected(self, class_index: int) -> float:
        """Return the expected duration of a run, including calls."""
        call_wait = self.call_wait_seconds if self.requires_call[class_index] else 0.0
        return self.run_seconds[class_index] + call_wait

    def decay(self, class_index: int) -> None:
        """Reduce an estimate that caused a rejection.

        An estimate that rejects every request of a class would never be corrected by a run.
        """
        self.run_seconds[class_index] *= REJECTION_DECAY
        self.call_wait_seconds *= REJECTION_DECAY


class CallTimeEstimator:
    """Estimates the mean and the minimum time of recent calls to the dependency."""

    def __init__(self) -> None:
        self.mean_seconds = 0.0
        self.baseline_seconds = 0.0

    def record(self, seconds: float) -> None:
        """Record the duration of a successful call."""
        smoothing = CALL_TIME_SMOOTHING if self.mean_seconds else 1.0
        self.mean_seconds += smoothing * (seconds - self.mean_seconds)
        self.baseline_seconds = (
            min(self.baseline_seconds * BASELINE_GROWTH_PER_CALL, self.mean_seconds) or self.mean_seconds
        )


class QueueWaits:
    """Queue waits of each class over one period."""

    def __init__(self, class_count: int) -> None:
        self.class_count = class_count
        self.reset()

    def reset(self) -> None:
        """Start a new period."""
        self.total_seconds = [0.0] * self.class_count
        self.starts = [0] * self.class_count

    def record(self, class_index: int, seconds: float) -> None:
        """Record how long a request was held before its run started."""
        self.total_seconds[class_index] += seconds
        self.starts[class_index] += 1

    def mean(self, class_index: int) -> float:
        """Return the mean wait of a class, or 0 if no run of it started."""
        return self.total_seconds[class_index] / max(1, self.starts[class_index])


class TenantUsage:
    """A leaky bucket for each tenant.

    Each run fills the bucket by one.  It drains at the tenant's quota, divided by the number of replicas.
    """

    def __init__(self, replica_count: int) -> None:
        self.replica_count = replica_count
        # By tenant name: the level in runs and the time of its last update.
        self.bucket_levels: dict[str, tuple[float, float]] = {}

    def quota_rate(self, tenant: TenantSpec) -> float:
        """Return this server's part of a tenant's quota in runs per second."""
        return tenant.quota / max(1, self.replica_count)

    def bucket_level(self, now: float, tenant: TenantSpec) -> float:
        """Return the number of a tenant's runs that have not drained from its bucket."""
        level, updated_at = self.bucket_levels.get(tenant.name, (0.0, now))
        level = max(0.0, level - self.quota_rate(tenant) * (now - updated_at))
        self.bucket_levels[tenant.name] = level, now
        return level

    def record_run(self, now: float, tenant: TenantSpec) -> None:
        """Add one run to the bucket of a tenant."""
        level, updated_at = self.bucket_levels.get(tenant.name, (0.0, now))
        self.bucket_levels[tenant.name] = level + 1, updated_at

    def keep_only(self, names: set[str]) -> None:
        """Remove the buckets of all tenants that are not named."""
        self.bucket_levels = {name: level for name, level in self.bucket_levels.items() if name in names}
