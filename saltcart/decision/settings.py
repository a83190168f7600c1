"""Settings of the decision module.

Times are in seconds and memory sizes in kilobytes.  An absent optional setting is ``None``.
"""

from __future__ import annotations

import enum
from dataclasses import dataclass


class Effect(enum.Enum):
    """Whether a request of a class may run more than once."""

    SAFE = "safe to repeat"
    IDEMPOTENT_BY_KEY = "runs once in its key's window"
    NON_IDEMPOTENT = "runs at most once, ever"


class Preemption(enum.Enum):
    """How the host can interrupt a running request."""

    NONE = "nothing"
    DROP = "stop it, losing what was done"
    PAUSE = "stop it, keeping progress and memory"


class LoadSignal(enum.Enum):
    """How clients interpret the load level that this server advertises."""

    NONE = "unused"
    LEVEL = "no request of a lower priority rank is sent here"
    CREDIT = "requests outstanding for each client"
    WEIGHT = "probability that a client does not pass this server by"


class DependencyKind(enum.Enum):
    """The dependency that running requests call."""

    NONE = "nothing"
    SHARED = "one dependency shared by all servers"
    TIER = "the next tier of servers"


@dataclass(frozen=True, slots=True)
class ClassSpec:
    """A class of requests with the same latency objective and priority weight."""

    name: str
    effect: Effect
    latency_objective: float  # a response within this time earns the full priority weight
    deadline: float  # the total time for which a client waits
    priority_weight: float
    late_weight_share: float = 0.0  # share of the weight that a response after the objective earns
    key_window: float = 0.0  # how long after the first attempt a retry with its idempotency key may arrive
    calls_dependency: bool = False
    skipped_call_weight_share: float = 0.0  # share of the weight that a response without the call earns

    @property
    def requires_call(self) -> bool:
        """Whether runs of this class call the dependency and earn nothing without its reply."""
        return self.calls_dependency and self.skipped_call_weight_share == 0


@dataclass(frozen=True, slots=True)
class TenantSpec:
    """A tenant and its quota."""

    name: str
    quota: float  # requests per second, over the whole fleet
    share: float


@dataclass(frozen=True, slots=True)
class ObjectiveWeights:
    """Weights of the terms of the objective by which the deployment is evaluated."""

    overall: float = 1.0
    worst_window: float = 0.0
    worst_class: float = 0.0
    worst_tenant: float = 0.0


@dataclass(frozen=True, slots=True)
class Settings:
    """Settings that a controller receives when its server starts."""

    classes: tuple[ClassSpec, ...]
    cores: int
    memory_kb: float
    answer_slack: float  # how long after its deadline a final response may still be sent
    drain_grace: float  # requests that arrive later than this after the start of a drain must not run
    # Concurrent requests per core that a warm server survives, as a mean over max_running_window.
    max_running_per_core: float
    max_running_window: float
    cold_speed_share: float = 1.0  # share of its warm speed at which a cold server starts
    warm_up_seconds: float = 0.0
    starts_cold: bool = False
    tenants: tuple[TenantSpec, ...] = ()
    over_quota_weight_share: float = 1.0  # share of the weight that requests over a tenant's quota earn
    objective: ObjectiveWeights = ObjectiveWeights()
    preemption: Preemption = Preemption.NONE
    signal: LoadSignal = LoadSignal.NONE
    dependency: DependencyKind = DependencyKind.NONE
    # Concurrent calls of this server at the shared dependency, as a mean over dependency_call_window.
    dependency_call_share: float | None = None
    dependency_call_window: float = 0.0
    abandoned_call_seconds: float = 0.0  # how long an abandoned call may occupy the dependency
    run_memory_factor: float = 1.0  # memory of a running request divided by that of a held one
    key_entry_kb: float = 0.0  # memory of one remembered idempotency key
    read_freshness_seconds: float = 0.0  # how long the response to a read may be reused for other requests
    signal_lifetime: float = 0.0  # how long clients apply an advertised level
    max_retry_after: float = 0.0  # upper bound of the back-off in a rejection; 0 where none is sent
    client_idle_timeout: float = 0.0  # clients close connections that were idle for this long
    replica_count: int = 1
    client_count: int = 1
    batch_interval: float = 0.001  # shortest time between two batches of events
    tier: int = 0  # 0 serves the requests of clients, each further tier the calls of the previous one

    def speed_share(self, age: float) -> float:
        """Return the share of its warm speed that a server has at an age in seconds."""
        if not self.starts_cold or age >= self.warm_up_seconds:
            return 1.0
        return self.cold_speed_share + (1 - self.cold_speed_share) * age / self.warm_up_seconds
