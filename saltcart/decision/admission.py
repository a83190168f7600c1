"""Admission: which new requests are rejected, and how much load is shed as the expected wait grows."""

from __future__ import annotations

from collections.abc import Sequence
from itertools import accumulate

from saltcart.decision.drain import Drain
from saltcart.decision.estimators import RunTimeEstimator, TenantUsage
from saltcart.decision.events import PredecessorLoad, RequestArrived
from saltcart.decision.request import HELD, Request
from saltcart.decision.request_table import RequestTable
from saltcart.decision.settings import Effect, Settings

ADMIT_MEMORY_SHARE = 0.9  # of the memory: no request is held beyond it
RUN_MEMORY_SHARE = 0.95  # of the memory: no run is started beyond it
JOIN_MEMORY_SHARE = 0.97  # of the memory: no attempt waits for another's result beyond it
RETRY_AFTER_SHARE = 0.05  # of the objective: after how long a rejected caller may come back
QUOTA_SPAN = 2.0  # latency objectives' worth of its quota that a tenant may have run ahead
UNREAD_WEIGHT = 0.1  # of a new unread time in its mean
ARRIVALS_FADE = 0.9  # of the counts of arrivals, each period
SHED_FROM = 0.06  # expected wait, in objectives, from which the classes that go first are shed
SHED_RANGE = 0.22  # from there on, until all of them are
SHED_OTHERS_FROM = 0.28  # expected wait, in objectives, from which the other classes are shed as well


class Admission:
    """Rejects what can't be served in time, and sheds load by rank as the hold fills."""

    def __init__(
        self,
        settings: Settings,
        order: Sequence[int],
        table: RequestTable,
        run_times: RunTimeEstimator,
        drain: Drain,
    ) -> None:
        """``order``: the classes, the highest weight first."""
        self.settings = settings
        self.order = order
        self.table = table
        self.run_times = run_times
        self.drain = drain
        self.usage = TenantUsage(settings.replica_count)
        self.objective = drain.objective
        self.arrivals = [1.0] * len(settings.classes)
        self.unread_seconds = 0.0
        self.pressure = 0.0  # 0 to 1 sheds the classes that go first, 1 to 2 the others as well
        self.shed_first = len(settings.classes)  # so many classes of the lowest weight go first

    def record_arrival(self, event: RequestArrived) -> None:
        """Count a request that was read."""
        self.arrivals[event.class_index] += 1
        self.unread_seconds += UNREAD_WEIGHT * (event.unread_seconds - self.unread_seconds)

    def should_reject(
        self, now: float, request: Request, event: RequestArrived, other: PredecessorLoad
    ) -> bool:
        """Whether a new request is better rejected at once."""
        class_index = request.class_index
        if now < request.objective_at < now + self.run_times.expected(class_index):
            self.run_times.fade(class_index)
            return True
        drain = self.drain
        if now >= min(drain.answer_by, request.objective_at) or request.arrived_at > drain.accept_until:
            return True
        if not self._fits(request, other):
            return True
        # Only where it is worth nothing: at a tenth of its weight, refusing it first lost 0.02 of the score.
        is_worthless_over_quota = self.pressure > 0 and self.settings.over_quota_weight_share == 0
        if is_worthless_over_quota and self._is_over_quota(now, request):
            return True
        class_count = len(self.settings.classes)
        rank_in_class = event.priority_rank * class_count % 1
        goes_first = self.order.index(class_index) >= class_count - self.shed_first
        # One that was told to come back now is shed as late as the highest class.
        sheds = self.pressure if goes_first and not event.has_reservation else self.pressure - 1
        return rank_in_class < sheds

    def _fits(self, request: Request, other: PredecessorLoad) -> bool:
        settings = self.settings
        if request.size_kb * settings.run_memory_factor > RUN_MEMORY_SHARE * settings.memory_kb:
            return False  # it could never run: at the head of its queue it would hold up all others
        has_key = settings.classes[request.class_index].effect is Effect.IDEMPOTENT_BY_KEY
        key_kb = settings.key_entry_kb * has_key
        needed = self.table.memory_kb + other.memory_kb + key_kb + request.size_kb
        return needed <= ADMIT_MEMORY_SHARE * settings.memory_kb

    def may_join(self, now: float, first_id: int) -> bool:
        """Whether a retry, which never runs a second time, may wait for the first attempt's result."""
        has_failed = self.table.key_results.get(first_id) is False
        is_full = self.table.memory_kb > JOIN_MEMORY_SHARE * self.settings.memory_kb
        return not has_failed and now < self.drain.answer_by and not is_full

    def retry_after(self) -> float:
        """Return after how long a rejected caller may come back: soon, for pressure moves fast."""
        share = 1.0 if self.drain.is_leaving else RETRY_AFTER_SHARE
        return min(self.settings.max_retry_after, self.objective * share)

    def _is_over_quota(self, now: float, request: Request) -> bool:
        if request.tenant is None:
            return False
        allowed = QUOTA_SPAN * self.objective * self.usage.rate(request.tenant)
        return self.usage.ahead(now, request.tenant) > allowed

    def has_run_memory(self, request: Request, other: PredecessorLoad) -> bool:
        """Whether the memory holds a run of this held request."""
        settings = self.settings
        needed = self.table.memory_kb + other.memory_kb + request.size_kb * (settings.run_memory_factor - 1)
        return needed <= RUN_MEMORY_SHARE * settings.memory_kb

    def update_pressure(self, slots: int, sweep_interval: float, stalled_seconds: float) -> None:
        """Set the pressure by how far the expected wait is past what the objectives can spare.

        ``stalled_seconds``: for how long all slots have been taken and no run ended; 0 where one is free.
        """
        run_seconds = self.run_times.run_seconds
        total = sum(count * seconds for count, seconds in zip(self.arrivals, run_seconds))
        mean_run = max(total / max(1e-9, sum(self.arrivals)), stalled_seconds)
        # Requests wait unread as well: reading starves beside the runs on a slow server, and what is shed
        # after reading relieves nothing.  It decays, so that a level which stops all arrivals lapses.
        self.unread_seconds -= self.unread_seconds * sweep_interval / self.objective
        wait = self.table.counts[HELD] * mean_run / slots + self.unread_seconds
        low = (wait / self.objective - SHED_FROM) / SHED_RANGE
        high = wait / self.objective - SHED_OTHERS_FROM
        self.pressure = max(0.0, min(1.0, low)) + max(0.0, min(1.0, high))

    def end_period(self) -> None:
        """Choose how many of the lowest classes are shed together: the least loss for the work shed."""
        objective = self.settings.objective
        rising = self.order[::-1]
        weights = list(
            accumulate(self.arrivals[k] * self.settings.classes[k].priority_weight for k in rising)
        )
        work = accumulate(self.arrivals[k] * self.run_times.run_seconds[k] for k in rising)
        scale = (objective.overall + objective.worst_window) / (weights[-1] or 1.0)
        losses = [
            (scale * weight + objective.worst_class) / (seconds + 1e-9)
            for weight, seconds in zip(weights, work)
        ]
        self.shed_first = losses.index(min(losses)) + 1
        self.arrivals = [ARRIVALS_FADE * count for count in self.arrivals]
