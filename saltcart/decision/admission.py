"""Admission control: rejects requests that cannot be served, and sheds load as the expected wait grows."""

from __future__ import annotations

from collections.abc import Sequence
from itertools import accumulate

from saltcart.decision.drain import Drain
from saltcart.decision.estimators import RunTimeEstimator, TenantUsage
from saltcart.decision.events import PredecessorLoad, RequestArrived
from saltcart.decision.request import HELD, Request
from saltcart.decision.request_table import RequestTable
from saltcart.decision.settings import Effect, Settings

# Shares of the memory.
ADMIT_MEMORY_SHARE = 0.9  # up to which new requests are held
RUN_MEMORY_SHARE = 0.95  # up to which runs are started
JOIN_MEMORY_SHARE = 0.97  # up to which a retry may wait for the result of an earlier attempt

BACK_OFF_SHARE = 0.05  # back-off of a rejected client, as a share of the latency objective
QUOTA_BURST_OBJECTIVES = 2.0  # burst over a tenant's quota, as its runs in this many latency objectives
UNREAD_SMOOTHING = 0.1  # weight of a new unread time in its exponentially weighted moving average
ARRIVALS_DECAY = 0.9  # factor of the arrival counts in each period

# Expected waits, as multiples of the latency objective.
FIRST_SHED_START = 0.06  # above which the classes to shed first are shed in part
FIRST_SHED_RANGE = 0.22  # from there until they are shed in full
OTHERS_SHED_START = 0.28  # above which the other classes are shed in part


class Admission:
    """Rejects requests that cannot be served in time, and sheds load by priority rank under pressure."""

    def __init__(
        self,
        settings: Settings,
        order: Sequence[int],
        table: RequestTable,
        run_times: RunTimeEstimator,
        drain: Drain,
    ) -> None:
        """Create the admission control of a server.

        Args:
            settings: Settings of the server.
            order: Indexes of the classes, highest priority weight first.
            table: The live requests.
            run_times: Estimates of the run times.
            drain: Deadlines of a drain.
        """
        self.settings = settings
        self.order = order
        self.table = table
        self.run_times = run_times
        self.drain = drain
        self.usage = TenantUsage(settings.replica_count)
        self.objective = drain.objective
        self.arrivals = [1.0] * len(settings.classes)
        self.unread_seconds = 0.0
        self.pressure = 0.0  # 0 to 1: shed share of the classes to shed first; 1 to 2: also of the others
        self.first_shed_count = len(settings.classes)  # number of lowest classes that are shed first

    def record_arrival(self, event: RequestArrived) -> None:
        """Count a new request and its unread time."""
        self.arrivals[event.class_index] += 1
        self.unread_seconds += UNREAD_SMOOTHING * (event.unread_seconds - self.unread_seconds)

    def should_reject(
        self, now: float, request: Request, event: RequestArrived, predecessor: PredecessorLoad
    ) -> bool:
        """Whether to reject a new request at once.

        Args:
            now: Current time.
            request: The request.
            event: Its arrival.
            predecessor: Load that the predecessor process still has on the same cores and memory.
        """
        class_index = request.class_index
        if now < request.objective_at < now + self.run_times.expected(class_index):
            self.run_times.decay(class_index)
            return True
        drain = self.drain
        if now >= min(drain.respond_by, request.objective_at) or request.arrived_at > drain.accept_until:
            return True
        if not self._fits_memory(request, predecessor):
            return True
        # Only if it earns nothing: rejecting over-quota requests early costs 0.02 of the score if they earn a
        # tenth of their weight.
        is_worthless_over_quota = self.pressure > 0 and self.settings.over_quota_weight_share == 0
        if is_worthless_over_quota and self._is_over_quota(now, request):
            return True
        class_count = len(self.settings.classes)
        rank_in_class = event.priority_rank * class_count % 1
        is_shed_first = self.order.index(class_index) >= class_count - self.first_shed_count
        # A retry at its reserved time is shed no earlier than the classes of the highest weight.
        shed_share = self.pressure if is_shed_first and not event.has_reservation else self.pressure - 1
        return rank_in_class < shed_share

    def _fits_memory(self, request: Request, predecessor: PredecessorLoad) -> bool:
        settings = self.settings
        if request.size_kb * settings.run_memory_factor > RUN_MEMORY_SHARE * settings.memory_kb:
            return False  # it could never run and would block the head of its queue
        has_key = settings.classes[request.class_index].effect is Effect.IDEMPOTENT_BY_KEY
        key_kb = settings.key_entry_kb * has_key
        needed = self.table.memory_kb + predecessor.memory_kb + key_kb + request.size_kb
        return needed <= ADMIT_MEMORY_SHARE * settings.memory_kb

    def may_join(self, now: float, first_attempt_id: int) -> bool:
        """Whether a retry may wait for the result of the first attempt; it never runs a second time."""
        has_failed = self.table.key_results.get(first_attempt_id) is False
        is_full = self.table.memory_kb > JOIN_MEMORY_SHARE * self.settings.memory_kb
        return not has_failed and now < self.drain.respond_by and not is_full

    def back_off_seconds(self) -> float:
        """Return how long a rejected client should avoid this server; short, as pressure changes quickly."""
        share = 1.0 if self.drain.is_withdrawing else BACK_OFF_SHARE
        return min(self.settings.max_retry_after, self.objective * share)

    def _is_over_quota(self, now: float, request: Request) -> bool:
        if request.tenant is None:
            return False
        allowed_level = QUOTA_BURST_OBJECTIVES * self.objective * self.usage.quota_rate(request.tenant)
        return self.usage.bucket_level(now, request.tenant) > allowed_level

    def has_memory_for_run(self, request: Request, predecessor: PredecessorLoad) -> bool:
        """Whether the memory suffices for the run of a held request."""
        settings = self.settings
        needed = (
            self.table.memory_kb + predecessor.memory_kb + request.size_kb * (settings.run_memory_factor - 1)
        )
        return needed <= RUN_MEMORY_SHARE * settings.memory_kb

    def update_pressure(self, slots: int, sweep_interval: float, stalled_seconds: float) -> None:
        """Update the pressure from the expected wait relative to the latency objective.

        Args:
            slots: Number of run slots.
            sweep_interval: Seconds since the last update.
            stalled_seconds: How long all slots have been in use without a run ending; 0 if a slot is free.
        """
        run_seconds = self.run_times.run_seconds
        total_seconds = sum(count * seconds for count, seconds in zip(self.arrivals, run_seconds))
        mean_run_seconds = max(total_seconds / max(1e-9, sum(self.arrivals)), stalled_seconds)
        # The wait before the read counts as well: on a slow server, runs delay the reading of requests, and
        # shedding them after the read relieves nothing.  It decays, because otherwise an advertised level
        # that stops all arrivals would never fall.
        self.unread_seconds -= self.unread_seconds * sweep_interval / self.objective
        expected_wait = self.table.counts[HELD] * mean_run_seconds / slots + self.unread_seconds
        first_pressure = (expected_wait / self.objective - FIRST_SHED_START) / FIRST_SHED_RANGE
        others_pressure = expected_wait / self.objective - OTHERS_SHED_START
        self.pressure = max(0.0, min(1.0, first_pressure)) + max(0.0, min(1.0, others_pressure))

    def end_period(self) -> None:
        """Choose how many classes to shed first, so that the least weight is lost per second of work shed."""
        objective = self.settings.objective
        ascending = self.order[::-1]
        cumulative_weights = list(
            accumulate(
                self.arrivals[index] * self.settings.classes[index].priority_weight for index in ascending
            )
        )
        cumulative_seconds = accumulate(
            self.arrivals[index] * self.run_times.run_seconds[index] for index in ascending
        )
        scale = (objective.overall + objective.worst_window) / (cumulative_weights[-1] or 1.0)
        losses = [
            (scale * weight + objective.worst_class) / (seconds + 1e-9)
            for weight, seconds in zip(cumulative_weights, cumulative_seconds)
        ]
        self.first_shed_count = losses.index(min(losses)) + 1
        self.arrivals = [ARRIVALS_DECAY * count for count in self.arrivals]
