"""Schema of the composition plans in the deployment file, and the rules that a plan must keep.

The schema consists of msgspec structures.  Rules that a schema cannot express (references by name, cycles,
effects) are checked here.  Every error names the field and the reason, and the service does not start with an
invalid plan.
"""

from __future__ import annotations

import re
from collections.abc import Iterable, Mapping
from typing import Annotated, Any, Literal

import msgspec
from msgspec import Meta

from saltcart.decision.settings import ClassSpec, Effect
from saltcart.field_reader import InvalidFieldError

Name = Annotated[str, Meta(pattern=r"^[A-Za-z0-9._-]{1,64}\Z")]
Fraction = Annotated[float, Meta(ge=0.0, le=1.0)]
HostAndPort = Annotated[str, Meta(pattern=r"^[A-Za-z0-9.-]{1,253}:[0-9]{1,5}\Z")]
MAX_CALLS_PER_PLAN = 16  # a reply of 4 KiB from each must fit into one buffer


class PlanError(InvalidFieldError):
    """An invalid plan; the text names the field and the reason."""


class DependencySpec(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One service that plans call."""

    name: Name
    kind: Literal["ajp", "index"] = "ajp"
    upstream: Name | None = None  # ajp: the upstream whose members are called
    address: HostAndPort | None = None  # index: host and port of the server
    fallback: Name | None = None  # dependency that is called instead when this one gives no reply
    least: Annotated[int, Meta(ge=1, le=10_000)] = 2  # lower bound of the concurrency limit
    most: Annotated[int, Meta(ge=1, le=10_000)] = 64  # upper bound of the concurrency limit
    waiting: Annotated[int, Meta(ge=0, le=100_000)] = 64  # calls that may wait while the limit is reached
    attempts: Fraction = 0.1  # retries and hedged requests, as a share of first attempts


class CallSpec(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One call of a stage."""

    dependency: Name
    required: bool = True
    worth: Fraction = 0.0  # share of the response's value that is lost without this reply
    write: bool = False  # it has an effect: sent once, in the last stage
    repeat: bool = True  # safe to send again after an error
    hedge: bool = False  # a hedged request may be sent while the first attempt is slow
    # Seconds for which the last successful reply may be used instead of a new one.
    remember: Annotated[float, Meta(ge=0.0, le=86_400.0)] = 0.0
    sends: Literal["request", "answers"] = "request"  # the request's body, or it with the replies so far


class StageSpec(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Calls that are made in parallel; the next stage starts when all of them are settled."""

    call: Annotated[list[CallSpec], Meta(min_length=1)]


class PlanSpec(msgspec.Struct, frozen=True, forbid_unknown_fields=True, rename={"class_name": "class"}):
    """How the responses of one class are composed."""

    class_name: Name
    stage: Annotated[list[StageSpec], Meta(min_length=1)]
    partial: bool = False  # a response may lack the replies of optional calls
    answer: Name | None = None  # dependency whose reply is the response; without it, all replies as JSON
    reserve_ms: Annotated[float, Meta(ge=0.0, le=60_000.0)] = 20.0  # to compose and send the response

    def calls(self) -> list[CallSpec]:
        """Return the calls of all stages, in the order of the plan."""
        return [call for stage in self.stage for call in stage.call]


class StaleCacheSpec(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Bounds of the cache of last successful replies."""

    entries: Annotated[int, Meta(ge=0, le=1_000_000)] = 4096
    kb: Annotated[float, Meta(ge=0.0, le=1_000_000.0)] = 4096.0


class CompositionSpec(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The tables of a deployment file that this package reads."""

    dependency: list[DependencySpec] = []
    plan: list[PlanSpec] = []
    memory: StaleCacheSpec = StaleCacheSpec()


def read_plans(raw: Mapping[str, Any], upstreams: Iterable[str] = ()) -> CompositionSpec:
    """Read and check the plans of a deployment file.

    Args:
        raw: The TOML tables ``dependency``, ``plan`` and ``memory``.
        upstreams: Names of the upstreams that dependencies may name.

    Raises:
        PlanError: A field is invalid.
    """
    try:
        plans = msgspec.convert(dict(raw), CompositionSpec)
    except msgspec.ValidationError as error:
        reason, _, path = str(error).partition(" - at `$")
        field = re.sub(r"^\.", "", path.rstrip("`")) or "deployment"
        raise PlanError(f"{field}: {reason}") from None
    _check_dependencies(plans, set(upstreams))
    planned_classes = set[str]()
    for index, plan in enumerate(plans.plan):
        if plan.class_name in planned_classes:
            raise PlanError(f"plan[{index}].class: {plan.class_name} has a plan already")
        planned_classes.add(plan.class_name)
        _check_plan(plan, f"plan[{index}]", {dependency.name for dependency in plans.dependency})
    return plans


def _check_dependencies(plans: CompositionSpec, upstreams: set[str]) -> None:
    by_name = dict[str, DependencySpec]()
    for index, dependency in enumerate(plans.dependency):
        path = f"dependency[{index}]"
        if dependency.name in by_name:
            raise PlanError(f"{path}.name: {dependency.name} is named twice")
        by_name[dependency.name] = dependency
        if dependency.kind == "ajp" and (dependency.upstream is None or dependency.address is not None):
            raise PlanError(f"{path}.upstream: an ajp dependency names an upstream and no address")
        if dependency.kind == "ajp" and dependency.upstream not in upstreams:
            raise PlanError(f"{path}.upstream: no such upstream: {dependency.upstream}")
        if dependency.kind == "index" and (dependency.address is None or dependency.upstream is not None):
            raise PlanError(f"{path}.address: an index dependency names an address and no upstream")
        if dependency.address is not None and int(dependency.address.rpartition(":")[2]) > 65535:
            raise PlanError(f"{path}.address: no such port")
        if dependency.least > dependency.most:
            raise PlanError(f"{path}.least: is greater than most")
    for index, dependency in enumerate(plans.dependency):
        visited, current = [dependency.name], dependency
        while current.fallback is not None:
            if current.fallback not in by_name:
                raise PlanError(f"dependency[{index}].fallback: no such dependency: {current.fallback}")
            if current.fallback in visited:
                raise PlanError(
                    f"dependency[{index}].fallback: is a cycle: {' to '.join([*visited, current.fallback])}"
                )
            visited.append(current.fallback)
            current = by_name[current.fallback]


def _check_plan(plan: PlanSpec, plan_path: str, known_dependencies: set[str]) -> None:
    optional_share, called = 0.0, set[str]()
    for stage_index, stage in enumerate(plan.stage):
        for call_index, call in enumerate(stage.call):
            path = f"{plan_path}.stage[{stage_index}].call[{call_index}]"
            if call.dependency not in known_dependencies:
                raise PlanError(f"{path}.dependency: no such dependency: {call.dependency}")
            if call.dependency in called:
                raise PlanError(f"{path}.dependency: {call.dependency} is called twice in one plan")
            called.add(call.dependency)
            if call.required and call.worth > 0:
                raise PlanError(f"{path}.worth: a required call can't be left out")
            if not call.required and not plan.partial:
                raise PlanError(f"{path}.required: the plan allows no partial response")
            if call.write and (call.hedge or call.remember or not call.required):
                raise PlanError(f"{path}.write: a write is required, never hedged and never cached")
            optional_share += call.worth
    if len(called) > MAX_CALLS_PER_PLAN:
        raise PlanError(f"{plan_path}.stage: more than {MAX_CALLS_PER_PLAN} calls")
    if optional_share > 1 + 1e-9:
        raise PlanError(f"{plan_path}.stage: the shares of worth add up to {optional_share:.3g}, more than 1")
    if plan.answer is not None:
        if plan.answer not in called:
            raise PlanError(f"{plan_path}.answer: the plan calls no {plan.answer}")
        if not next(call for call in plan.calls() if call.dependency == plan.answer).required:
            raise PlanError(f"{plan_path}.answer: {plan.answer} may be left out")


def check_classes(plans: CompositionSpec, classes: Iterable[ClassSpec]) -> None:
    """Check the plans against the classes' settings.

    A class with effects has no partial responses, and its only write is the only call of the last stage.

    Raises:
        PlanError: A plan does not suit its class.
    """
    class_specs = {spec.name: spec for spec in classes}
    for index, plan in enumerate(plans.plan):
        path, spec = f"plan[{index}]", class_specs.get(plan.class_name)
        if spec is None:
            raise PlanError(f"{path}.class: no such class: {plan.class_name}")
        if plan.reserve_ms / 1000 >= spec.latency_objective:
            raise PlanError(
                f"{path}.reserve_ms: leaves nothing of the latency objective of {spec.latency_objective} s"
            )
        writes = [
            (stage_index, call)
            for stage_index, stage in enumerate(plan.stage)
            for call in stage.call
            if call.write
        ]
        if spec.effect is Effect.SAFE:
            if writes:
                raise PlanError(f"{path}.stage: {plan.class_name} has no effects, so it makes no write")
            continue
        if plan.partial:
            raise PlanError(f"{path}.partial: {plan.class_name} has effects and is never partial")
        if len(writes) != 1 or writes[0][0] != len(plan.stage) - 1 or len(plan.stage[-1].call) != 1:
            raise PlanError(
                f"{path}.stage: {plan.class_name} has effects: one write, alone in the last stage"
            )
