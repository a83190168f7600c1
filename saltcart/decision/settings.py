"""Settings of the decision module.

Times are seconds, memory sizes are kilobytes.  A setting that may be absent is ``None`` then.
"""

from __future__ import annotations

import enum
from dataclasses import dataclass


class Effect(enum.Enum):
    """What running a request twice would do."""

    SAFE = "safe to repeat"
    IDEMPOTENT_BY_KEY = "runs once in its key's window"
    NON_IDEMPOTENT = "runs at most once, ever"


class Preemption(enum.Enum):
    """What the host can do to work that is running."""

    NONE = "nothing"
    DROP = "stop it, losing what was done"
    PAUSE = "stop it, keeping progress and memory"


class LoadSignal(enum.Enum):
    """What clients make of the level that this server advertises."""

    NONE = "unused"
    LEVEL = "no request of a lower priority rank is sent here"
    CREDIT = "requests outstanding for each client"
    WEIGHT = "probability that a client does not pass this server by"


class DependencyKind(enum.Enum):
    """What requests call while they run."""

    NONE = "nothing"
    SHARED = "one dependency shared by all servers"
    TIER = "the next tier of servers"


@dataclass(frozen=True, slots=True)
class ClassSpec:
    """One class of requests."""

    name: str
    effect: Effect
    latency_objective: float  # an answer within this earns the full weight
    deadline: float  # how long a client waits in all
    priority_weight: float
    late_weight_share: float = 0.0  # of the weight, earned by an answer after the objective
    key_window: float = 0.0  # with keys: a retry may come for this long after the arrival
    calls_dependency: bool = False
    skipped_call_weight_share: float = 0.0  # of the weight, earned when a call is skipped

    @property
    def requires_call(self) -> bool:
        """Whether its runs call the dependency and are worth nothing without the reply."""
        return self.calls_dependency and self.skipped_call_weight_share == 0


@dataclass(frozen=True, slots=True)
class TenantSpec:
    """One tenant and its quota, in requests a second over the whole fleet."""

    name: str
    quota: float
    share: float


@dataclass(frozen=True, slots=True)
class ObjectiveWeights:
    """Weights of the parts of the objective by which the deployment is judged."""

    overall: float = 1.0
    worst_window: float = 0.0
    worst_class: float = 0.0
    worst_tenant: float = 0.0


@dataclass(frozen=True, slots=True)
class Settings:
    """Everything that a controller is told when its server starts."""

    classes: tuple[ClassSpec, ...]
    cores: int
    memory_kb: float
    answer_slack: float  # a final answer may be this late
    drain_grace: float  # what arrives later than this after the drain began must not run
    max_running_per_core: float  # requests that a warm server survives, as a mean over max_running_window
    max_running_window: float
    cold_speed_share: float = 1.0  # of its speed, that a cold server starts with
    warm_up_seconds: float = 0.0
    starts_cold: bool = False
    tenants: tuple[TenantSpec, ...] = ()
    over_quota_weight_share: float = 1.0  # of the weight, that requests beyond a tenant's quota earn
    objective: ObjectiveWeights = ObjectiveWeights()
    preemption: Preemption = Preemption.NONE
    signal: LoadSignal = LoadSignal.NONE
    dependency: DependencyKind = DependencyKind.NONE
    dependency_call_share: float | None = None  # calls in the shared dependency, as a mean
    dependency_call_window: float = 0.0
    abandoned_call_seconds: float = 0.0  # an abandoned call may occupy the dependency for this long
    run_memory_factor: float = 1.0  # memory of a running request over that of a held one
    key_entry_kb: float = 0.0  # memory of one remembered idempotency key
    read_freshness_seconds: float = 0.0  # how long a read's answer may serve others
    signal_lifetime: float = 0.0  # how long clients follow an advertised level
    max_retry_after: float = 0.0  # longest Retry-After that is passed on; 0 if none is
    client_idle_timeout: float = 0.0  # clients close connections that were idle for this long
    replica_count: int = 1
    client_count: int = 1
    batch_interval: float = 0.001  # shortest time between two batches of events
    tier: int = 0  # 0 for clients' requests; calls of the tier before arrive at the others

    def speed_share(self, age: float) -> float:
        """Return the share of its warm speed that a server has, so many seconds after its start."""
        if not self.starts_cold or age >= self.warm_up_seconds:
            return 1.0
        return self.cold_speed_share + (1 - self.cold_speed_share) * age / self.warm_up_seconds
