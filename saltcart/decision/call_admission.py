"""Call admission: limits the calls in flight to the dependency and chooses the call that starts next."""

from __future__ import annotations

from collections import deque
from collections.abc import Iterator, Sequence

from saltcart.decision.decisions import CallDecision
from saltcart.decision.estimators import CallTimeEstimator, RunTimeEstimator
from saltcart.decision.events import PredecessorLoad
from saltcart.decision.outcome import Outcome
from saltcart.decision.request import AWAITING_CALL, CALLING, Request
from saltcart.decision.request_table import RequestTable
from saltcart.decision.settings import DependencyKind, Effect, Settings

# Share of the calls that the dependency survives from this server; abandoned calls may still occupy the rest.
SURVIVABLE_CALL_SHARE = 0.8
MIN_LIMIT_SHARE = 0.25  # share of the maximum limit; about the number of the dependency's slots
LIMIT_DECREASE_FACTOR = 0.8  # applied to the limit when the dependency is overloaded or slow
SLOW_CALL_FACTOR = 3  # a mean call time above this multiple of the baseline is a sign of overload
SKIP_AFTER_OBJECTIVES = 0.1  # wait, in latency objectives, that shows a queue which is not mere chance
MAX_BROKEN_CALLS = 2  # broken calls of one request, above which its call is not repeated


class CallAdmission:
    """Concurrency limit on calls (additive increase, multiplicative decrease) with a queue for each class."""

    def __init__(
        self, settings: Settings, order: Sequence[int], table: RequestTable, run_times: RunTimeEstimator
    ) -> None:
        """Create a call admission at its maximum limit.

        Args:
            settings: Settings of the server.
            order: Indexes of the classes, highest priority weight first.
            table: The live requests.
            run_times: Estimates of the run times.
        """
        self.settings = settings
        self.order = order
        self.table = table
        self.run_times = run_times
        self.is_shared = settings.dependency is DependencyKind.SHARED
        share = settings.dependency_call_share if self.is_shared else None
        self.max_limit = float(settings.cores) if share is None else max(1e-3, SURVIVABLE_CALL_SHARE * share)
        self.limit = self.max_limit
        self.call_times = CallTimeEstimator()
        self.paused_until = 0.0  # no call starts before this time
        self.next_decrease_at = 0.0
        self.abandoned_until = deque[float]()  # when each call that was given up has left the dependency
        self.waiting: list[deque[Request]] = [deque() for _ in settings.classes]

    def enqueue(self, request: Request) -> None:
        """Add a request to the queue for calls of its class."""
        self.waiting[request.class_index].append(request)

    def record_abandoned(self, now: float) -> None:
        """Count a call that was given up with its request, while the dependency may still work on it."""
        if self.is_shared:
            self.abandoned_until.append(now + self.settings.abandoned_call_seconds)

    def _forget_abandoned(self, now: float) -> None:
        while self.abandoned_until and self.abandoned_until[0] <= now:
            self.abandoned_until.popleft()

    def record(self, now: float, outcome: Outcome, seconds: float) -> None:
        """Adapt the limit to the result of a call.

        Args:
            now: Current time.
            outcome: How the call ended.
            seconds: Duration of the call.
        """
        if outcome is Outcome.SUCCEEDED:
            self.call_times.record(seconds)
        elif outcome is Outcome.TIMED_OUT:
            self.paused_until = now + self.settings.abandoned_call_seconds  # it may still occupy a slot there
        # A broken connection is a sign of a bad link, not of an overloaded dependency.
        failed = outcome not in (Outcome.SUCCEEDED, Outcome.BROKEN_OFF)
        if not failed and self.call_times.mean_seconds <= SLOW_CALL_FACTOR * self.call_times.baseline_seconds:
            step = min(1 / self.limit, self.limit / 4)
            self.limit = min(self.max_limit, self.limit + step)
        elif now > self.next_decrease_at:
            self.limit = max(MIN_LIMIT_SHARE * self.max_limit, self.limit * LIMIT_DECREASE_FACTOR)
            self.next_decrease_at = now + seconds
        if self.limit < 1:  # a pause after each call keeps the mean number in flight at the limit
            self.paused_until = max(self.paused_until, now + seconds * (1 / self.limit - 1))

    def decide(self, now: float, predecessor: PredecessorLoad) -> Iterator[tuple[Request, CallDecision]]:
        """Yield decisions about waiting requests, highest priority weight first.

        The caller must carry out each decision before it takes the next one.

        Args:
            now: Current time.
            predecessor: Load that older processes still have; their calls count towards the same share.
        """
        self._forget_abandoned(now)
        for class_index in self.order:
            queue = self.waiting[class_index]
            while queue:
                request = queue[0]
                if not self._is_waiting(request):
                    queue.popleft()
                    continue
                if self._has_capacity(now, predecessor):
                    decision = CallDecision.START
                elif self._should_skip(now, request):
                    decision = CallDecision.SKIP
                else:
                    break
                queue.popleft()
                yield request, decision

    def _is_waiting(self, request: Request) -> bool:
        is_live = request.id in self.table
        return is_live and request.state is AWAITING_CALL and not request.has_response

    def _has_capacity(self, now: float, predecessor: PredecessorLoad) -> bool:
        in_flight = self.table.counts[CALLING]
        if self.is_shared:
            in_flight += predecessor.calling + len(self.abandoned_until)
        return in_flight + 1 <= max(1.0, self.limit) and now >= self.paused_until

    def _should_skip(self, now: float, request: Request) -> bool:
        spec = self.settings.classes[request.class_index]
        if spec.skipped_call_weight_share == 0:
            return False
        waited = now - request.left_cores_at
        return self.limit < self.max_limit or waited > SKIP_AFTER_OBJECTIVES * spec.latency_objective

    def decide_after_failure(self, now: float, request: Request, outcome: Outcome) -> CallDecision:
        """Decide how to continue a request whose call did not succeed.

        A call is repeated only if its class is safe to repeat or the call never ran.
        """
        spec = self.settings.classes[request.class_index]
        is_safe = spec.effect is Effect.SAFE
        if is_safe and outcome is Outcome.BROKEN_OFF and self._has_time_for_call(now, request):
            return CallDecision.WAIT
        if spec.skipped_call_weight_share > 0 and not request.has_response:
            return CallDecision.SKIP
        never_ran = outcome in (Outcome.REJECTED, Outcome.UNREACHABLE)
        return CallDecision.WAIT if is_safe or never_ran else CallDecision.FAIL

    def _has_time_for_call(self, now: float, request: Request) -> bool:
        if request.has_response or request.broken_calls > MAX_BROKEN_CALLS:
            return False
        remaining_run_seconds = self.run_times.run_seconds[request.class_index] / 2
        return now + self.call_times.mean_seconds + remaining_run_seconds < request.objective_at
