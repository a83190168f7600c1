"""Call admission: how many calls to the dependency may be under way, and which is made next."""

from __future__ import annotations

from collections import deque
from collections.abc import Iterator, Sequence

from saltcart.decision.decisions import CallDecision
from saltcart.decision.estimators import CallTimeEstimator, RunTimeEstimator
from saltcart.decision.outcome import Outcome
from saltcart.decision.request import AWAITING_CALL, CALLING, Request
from saltcart.decision.request_table import RequestTable
from saltcart.decision.settings import DependencyKind, Effect, Settings

SURVIVED_SHARE = 0.8  # of the share that the dependency survives: abandoned calls linger there
MIN_LIMIT_SHARE = 0.25  # of the highest limit: about the dependency's slots
BACKOFF_FACTOR = 0.8  # of the limit, when the dependency is crowded or slow
SWOLLEN = 3  # times the usual call time: a sign of a crowded or slow dependency
SKIP_AFTER = 0.1  # of the objective; a short queue is chance
MAX_BROKEN_CALLS = 2  # under one request, before it goes on without its call


class CallAdmission:
    """An additive-increase, multiplicative-decrease limit on calls, and the requests that wait for one."""

    def __init__(
        self, settings: Settings, order: Sequence[int], table: RequestTable, run_times: RunTimeEstimator
    ) -> None:
        """``order``: the classes, the highest weight first."""
        self.settings = settings
        self.order = order
        self.table = table
        self.run_times = run_times
        share = settings.dependency_call_share if settings.dependency is DependencyKind.SHARED else None
        self.max_limit = float(settings.cores) if share is None else max(1e-3, SURVIVED_SHARE * share)
        self.limit = self.max_limit
        self.call_times = CallTimeEstimator()
        self.closed_until = 0.0  # no call is made before this
        self.next_backoff_at = 0.0
        self.waiting: list[deque[Request]] = [deque() for _ in settings.classes]

    def wait(self, request: Request) -> None:
        """Let a request wait for its call."""
        self.waiting[request.class_index].append(request)

    def record(self, now: float, outcome: Outcome, seconds: float) -> None:
        """Adapt the limit to a call that is over."""
        if outcome is Outcome.SUCCEEDED:
            self.call_times.record(seconds)
        elif outcome is Outcome.TIMED_OUT:
            self.closed_until = now + self.settings.abandoned_call_seconds  # it may linger there
        # A call that broke off tells of a link, not of a crowd.
        failed = outcome not in (Outcome.SUCCEEDED, Outcome.BROKEN_OFF)
        if not failed and self.call_times.mean_seconds <= SWOLLEN * self.call_times.baseline_seconds:
            step = min(1 / self.limit, self.limit / 4)
            self.limit = min(self.max_limit, self.limit + step)
        elif now > self.next_backoff_at:
            self.limit = max(MIN_LIMIT_SHARE * self.max_limit, self.limit * BACKOFF_FACTOR)
            self.next_backoff_at = now + seconds
        if self.limit < 1:  # less than one call at a time: a pause between calls keeps the mean
            self.closed_until = max(self.closed_until, now + seconds * (1 / self.limit - 1))

    def decide(self, now: float) -> Iterator[tuple[Request, CallDecision]]:
        """Yield what becomes of waiting requests, the highest class first; each is carried out at once."""
        for class_index in self.order:
            queue = self.waiting[class_index]
            while queue:
                request = queue[0]
                if not self._is_waiting(request):
                    queue.popleft()
                    continue
                if self._has_room(now):
                    decision = CallDecision.START
                elif self._should_skip(now, request):
                    decision = CallDecision.SKIP
                else:
                    break
                queue.popleft()
                yield request, decision

    def _is_waiting(self, request: Request) -> bool:
        is_live = request.id in self.table
        return is_live and request.state is AWAITING_CALL and not request.answered

    def _has_room(self, now: float) -> bool:
        in_flight = self.table.counts[CALLING]
        return in_flight + 1 <= max(1.0, self.limit) and now >= self.closed_until

    def _should_skip(self, now: float, request: Request) -> bool:
        spec = self.settings.classes[request.class_index]
        if spec.skipped_call_weight_share == 0:
            return False
        waited = now - request.left_cores_at
        return self.limit < self.max_limit or waited > SKIP_AFTER * spec.latency_objective

    def decide_after_failure(self, now: float, request: Request, outcome: Outcome) -> CallDecision:
        """Decide what becomes of a request whose call did not succeed."""
        spec = self.settings.classes[request.class_index]
        is_safe = spec.effect is Effect.SAFE
        if is_safe and outcome is Outcome.BROKEN_OFF and self._has_time_for_call(now, request):
            return CallDecision.WAIT
        if spec.skipped_call_weight_share > 0 and not request.answered:
            return CallDecision.SKIP
        never_ran = outcome in (Outcome.REJECTED, Outcome.UNREACHABLE)
        return CallDecision.WAIT if is_safe or never_ran else CallDecision.FAIL

    def _has_time_for_call(self, now: float, request: Request) -> bool:
        if request.answered or request.broken_calls > MAX_BROKEN_CALLS:
            return False
        rest_of_run = self.run_times.run_seconds[request.class_index] / 2
        return now + self.call_times.mean_seconds + rest_of_run < request.objective_at
