"""When a request is looked at again, and what becomes of it then."""

from __future__ import annotations

from saltcart.decision.decisions import DueDecision
from saltcart.decision.estimators import RunTimeEstimator
from saltcart.decision.request import HELD, Request
from saltcart.decision.settings import Preemption, Settings

WATCH_SWEEPS = 2  # before its answer is due, in which a request is looked at again
FAIL_SWEEPS = 3  # before its answer is due, in which a request is failed


class DuePolicy:
    """A held request is rejected once it can't end in time; any is failed before its answer is due."""

    def __init__(self, settings: Settings, run_times: RunTimeEstimator, sweep_interval: float) -> None:
        self.settings = settings
        self.run_times = run_times
        self.sweep_interval = sweep_interval

    def next_look(self, now: float, request: Request) -> float:
        """Return when the request can no longer be started, or must be answered."""
        at = request.due_at - WATCH_SWEEPS * self.sweep_interval
        if request.state is HELD:
            return min(at, request.objective_at - self.run_times.expected(request.class_index))
        return min(at, request.objective_at) if now < request.objective_at else at

    def decide(self, now: float, request: Request) -> DueDecision:
        """Decide what becomes of a request that is owed its answer."""
        next_sweep = now + self.sweep_interval
        expected = self.run_times.expected(request.class_index)
        if request.state is HELD and next_sweep + expected >= request.objective_at:
            return DueDecision.REJECT
        is_past_use = next_sweep >= request.objective_at and self._is_worthless_late(request)
        if is_past_use or now + FAIL_SWEEPS * self.sweep_interval >= request.due_at:
            return DueDecision.FAIL
        return DueDecision.WATCH

    def _is_worthless_late(self, request: Request) -> bool:
        late_share = self.settings.classes[request.class_index].late_weight_share
        return late_share == 0 and self.settings.preemption is not Preemption.NONE
