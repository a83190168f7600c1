"""Timeout policies that the composition engine's own policy is compared with."""

from __future__ import annotations

from saltcart.composition.composed_run import ComposedRun, SubRequest
from saltcart.composition.dependency_state import DependencyState
from saltcart.composition.timeout_policy import StageDeadlines, TimeoutPolicy
from saltcart.decision.outcome import Outcome
from saltcart.lab.dependency import ModelDependency, request_number


class FixedTimeoutPolicy(TimeoutPolicy):
    """Gives each stage an equal share of the time to the objective, whatever its calls need.

    Calls are not hedged, and neither concurrency limits nor circuit breakers nor retry budgets apply.
    """

    enforces_limits = False

    def stage_deadlines(self, now: float, run: ComposedRun) -> StageDeadlines | None:
        """Return deadlines after an equal share of the time, even if less than that is left."""
        share = (run.objective_at - run.started_at - run.plan.reserve_ms / 1000) / len(run.plan.stage)
        return StageDeadlines(now + share, now + share)

    def has_time_for_call(self, now: float, sub_request: SubRequest, dependency: DependencyState) -> bool:
        """Return whether the deadline of the sub-request has not passed."""
        return now < sub_request.deadline

    def hedge_time(
        self,
        now: float,
        sub_request: SubRequest,
        dependency: DependencyState,
        fallback: DependencyState | None,
    ) -> float | None:
        """Return None: there are no hedged requests."""
        return None

    def has_time_for_retry(self, now: float, sub_request: SubRequest, dependency: DependencyState) -> bool:
        """Return whether the deadline of the sub-request has not passed."""
        return now < sub_request.deadline


class NoTimeoutPolicy(FixedTimeoutPolicy):
    """Waits for each call until the deadline of the request."""

    def stage_deadlines(self, now: float, run: ComposedRun) -> StageDeadlines | None:
        """Return the deadline of the request for all calls."""
        deadline = run.deadline - run.plan.reserve_ms / 1000
        return StageDeadlines(deadline, deadline)


class OracleTimeoutPolicy(FixedTimeoutPolicy):
    """Knows the result of each call before it is made."""

    def __init__(self, policy: TimeoutPolicy, dependencies: dict[str, ModelDependency]) -> None:
        """Take the callbacks and the random source of another policy."""
        super().__init__(policy.find_dependency, policy.rng, policy.earns_when_late)
        self.dependencies = dependencies

    def _call_seconds(self, now: float, run: ComposedRun, name: str) -> float:
        """Return the duration of a call to a dependency; 0 if the call would not succeed."""
        result = self.dependencies[name].predict_result(now, request_number(run.request_id))
        return result.seconds if result.seconds is not None and result.outcome is Outcome.SUCCEEDED else 0.0

    def stage_deadlines(self, now: float, run: ComposedRun) -> StageDeadlines | None:
        """Return deadlines that leave optional calls the time that later required calls do not need."""
        horizon = run.objective_at - run.plan.reserve_ms / 1000
        later_seconds = sum(
            max(
                (self._call_seconds(now, run, call.dependency) for call in stage.call if call.required),
                default=0.0,
            )
            for stage in run.plan.stage[run.next_stage + 1 :]
        )
        return StageDeadlines(horizon, horizon - later_seconds)

    def has_time_for_call(self, now: float, sub_request: SubRequest, dependency: DependencyState) -> bool:
        """Return whether the next attempt, or a retry that the budget allows, succeeds in time."""
        model, request = (
            self.dependencies[dependency.spec.name],
            request_number(sub_request.run.request_id),
        )
        results = [model.predict_result(now, request, attempts_ahead) for attempts_ahead in (0, 1)]
        if results[0].outcome is not Outcome.SUCCEEDED and dependency.retry_budget.tokens < 1:
            return False
        success = next(
            (
                result
                for result in results
                if result.outcome is Outcome.SUCCEEDED and result.seconds is not None
            ),
            None,
        )
        return (
            success is not None
            and success.seconds is not None
            and now + success.seconds <= sub_request.deadline
        )

    def has_time_for_retry(self, now: float, sub_request: SubRequest, dependency: DependencyState) -> bool:
        """Return whether a retry succeeds in time and the retry budget allows it."""
        return self.has_time_for_call(now, sub_request, dependency) and dependency.retry_budget.take_token()


def find_timeout_policy(
    policy_name: str, engine_policy: TimeoutPolicy, dependencies: dict[str, ModelDependency]
) -> TimeoutPolicy:
    """Return the policy of a name: a baseline, or the engine's own policy under any other name."""
    match policy_name:
        case "fixed":
            return FixedTimeoutPolicy(
                engine_policy.find_dependency, engine_policy.rng, engine_policy.earns_when_late
            )
        case "none":
            return NoTimeoutPolicy(
                engine_policy.find_dependency, engine_policy.rng, engine_policy.earns_when_late
            )
        case "oracle":
            return OracleTimeoutPolicy(engine_policy, dependencies)
    return engine_policy
