"""Due policy: schedules checks of requests without a response, and decides when to reject or fail them."""

from __future__ import annotations

from saltcart.decision.decisions import DueDecision
from saltcart.decision.estimators import RunTimeEstimator
from saltcart.decision.request import HELD, Request
from saltcart.decision.settings import Preemption, Settings

# Numbers of sweeps before the response to a request is due.
CHECK_SWEEPS = 2  # at which it is checked
FAIL_SWEEPS = 3  # within which it is failed


class DuePolicy:
    """Rejects held requests that cannot end in time, and fails any other before its response is due."""

    def __init__(self, settings: Settings, run_times: RunTimeEstimator, sweep_interval: float) -> None:
        self.settings = settings
        self.run_times = run_times
        self.sweep_interval = sweep_interval

    def next_check(self, now: float, request: Request) -> float:
        """Return the time of the next check of a request.

        A held request is checked when it can no longer end within its latency objective, any other at that
        objective, and each at the latest shortly before its response is due.
        """
        check_at = request.due_at - CHECK_SWEEPS * self.sweep_interval
        if request.state is HELD:
            return min(check_at, request.objective_at - self.run_times.expected(request.class_index))
        return min(check_at, request.objective_at) if now < request.objective_at else check_at

    def decide(self, now: float, request: Request) -> DueDecision:
        """Decide what to do with a request that has no response yet."""
        next_sweep = now + self.sweep_interval
        expected = self.run_times.expected(request.class_index)
        if request.state is HELD and next_sweep + expected >= request.objective_at:
            return DueDecision.REJECT
        is_worthless = next_sweep >= request.objective_at and self._is_worthless_late(request)
        if is_worthless or now + FAIL_SWEEPS * self.sweep_interval >= request.due_at:
            return DueDecision.FAIL
        return DueDecision.WATCH

    def _is_worthless_late(self, request: Request) -> bool:
        late_share = self.settings.classes[request.class_index].late_weight_share
        return late_share == 0 and self.settings.preemption is not Preemption.NONE
