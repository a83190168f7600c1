"""Timeout policies that the budgets are compared with."""

from __future__ import annotations

from saltcart.composition.composed_run import ComposedRun, SubRequest
from saltcart.composition.dependency_state import DependencyState
from saltcart.composition.timeout_policy import StageDeadlines, TimeoutPolicy
from saltcart.decision.outcome import Outcome
from saltcart.lab.dependency import ModelDependency, request_of


class FixedJudge(TimeoutPolicy):
    """Equal time-outs: every stage an equal part of the aim, whatever was needed and is left."""

    enforces_limits = False

    def stage_deadlines(self, now: float, run: ComposedRun) -> StageDeadlines | None:
        part = (run.objective_at - run.started_at - run.plan.reserve_ms / 1000) / len(run.plan.stage)
        return StageDeadlines(now + part, now + part)

    def has_time_for_call(self, now: float, part: SubRequest, dependency: DependencyState) -> bool:
        return now < part.deadline

    def hedge_time(
        self, now: float, part: SubRequest, dependency: DependencyState, other: DependencyState | None
    ) -> float | None:
        return None

    def has_time_for_retry(self, now: float, part: SubRequest, dependency: DependencyState) -> bool:
        return now < part.deadline


class NoJudge(FixedJudge):
    """No budgets at all: each call is waited for as long as the caller waits."""

    def stage_deadlines(self, now: float, run: ComposedRun) -> StageDeadlines | None:
        until = run.deadline - run.plan.reserve_ms / 1000
        return StageDeadlines(until, until)


class OracleJudge(FixedJudge):
    """Knows what would become of each call made now."""

    def __init__(self, judge: TimeoutPolicy, places: dict[str, ModelDependency]) -> None:
        super().__init__(judge.find_dependency, judge.rng, judge.earns_when_late)
        self.places = places

    def _took(self, now: float, run: ComposedRun, name: str) -> float:
        fate = self.places[name].fate(now, request_of(run.request_id))
        return fate.took if fate.took is not None and fate.outcome is Outcome.SUCCEEDED else 0.0

    def stage_deadlines(self, now: float, run: ComposedRun) -> StageDeadlines | None:
        horizon = run.objective_at - run.plan.reserve_ms / 1000
        later = sum(
            max((self._took(now, run, c.dependency) for c in stage.call if c.required), default=0.0)
            for stage in run.plan.stage[run.next_stage + 1 :]
        )
        return StageDeadlines(horizon, horizon - later)

    def has_time_for_call(self, now: float, part: SubRequest, dependency: DependencyState) -> bool:
        place, request = self.places[dependency.spec.name], request_of(part.run.request_id)
        fates = [place.fate(now, request, ahead) for ahead in (0, 1)]
        if fates[0].outcome is not Outcome.SUCCEEDED and dependency.retry_budget.tokens < 1:
            return False
        good = next((f for f in fates if f.outcome is Outcome.SUCCEEDED and f.took is not None), None)
        return good is not None and good.took is not None and now + good.took <= part.deadline

    def has_time_for_retry(self, now: float, part: SubRequest, dependency: DependencyState) -> bool:
        return self.has_time_for_call(now, part, dependency) and dependency.retry_budget.take_token()


def judge_for(policy: str, judge: TimeoutPolicy, places: dict[str, ModelDependency]) -> TimeoutPolicy:
    match policy:
        case "fixed":
            return FixedJudge(judge.find_dependency, judge.rng, judge.earns_when_late)
        case "none":
            return NoJudge(judge.find_dependency, judge.rng, judge.earns_when_late)
        case "oracle":
            return OracleJudge(judge, places)
    return judge
