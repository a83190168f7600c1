"""What each class of requests needs from which dependency: the schema, and the rules that a plan must keep.

The forms are msgspec structures; what no schema can say (names, cycles, effects) is checked here.  Every
error names the field and the reason, and nothing starts with a plan that is wrong.
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
Share = Annotated[float, Meta(ge=0.0, le=1.0)]
Place = Annotated[str, Meta(pattern=r"^[A-Za-z0-9.-]{1,253}:[0-9]{1,5}\Z")]
MOST_CALLS = 16  # of one plan: an answer of 4 KiB from each must fit into one buffer


class PlanError(InvalidFieldError):
    """A plan that can't stand; the text names the field and the reason."""


class DependencySpec(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One service that plans call."""

    name: Name
    kind: Literal["ajp", "index"] = "ajp"
    upstream: Name | None = None  # ajp: the upstream whose members are asked
    address: Place | None = None  # index: where its lines are spoken
    fallback: Name | None = None  # the dependency that is asked in its place
    least: Annotated[int, Meta(ge=1, le=10_000)] = 2  # calls at once that are always let out
    most: Annotated[int, Meta(ge=1, le=10_000)] = 64  # and never more than these
    waiting: Annotated[int, Meta(ge=0, le=100_000)] = 64  # calls that may wait for a place
    attempts: Share = 0.1  # further attempts and hedges, as a share of first attempts


class CallSpec(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One call of a stage."""

    dependency: Name
    required: bool = True
    worth: Share = 0.0  # of the answer's worth that is lost without it
    write: bool = False  # it has an effect: sent once, and last
    repeat: bool = True  # safe to send again after an error
    hedge: bool = False  # a second attempt may be sent beside a slow first one
    # Seconds for which a last good answer may stand in.
    remember: Annotated[float, Meta(ge=0.0, le=86_400.0)] = 0.0
    sends: Literal["request", "answers"] = "request"  # the request's body, or it with the answers so far


class StageSpec(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Calls that are made side by side; the next stage begins when all of them are settled."""

    call: Annotated[list[CallSpec], Meta(min_length=1)]


class PlanSpec(msgspec.Struct, frozen=True, forbid_unknown_fields=True, rename={"class_name": "class"}):
    """How one class's answers are composed."""

    class_name: Name
    stage: Annotated[list[StageSpec], Meta(min_length=1)]
    partial: bool = False  # an answer may leave optional calls out
    answer: Name | None = None  # the dependency whose reply is the answer; without it all of them, as JSON
    reserve_ms: Annotated[float, Meta(ge=0.0, le=60_000.0)] = 20.0  # for composing and sending the answer

    def calls(self) -> list[CallSpec]:
        return [call for stage in self.stage for call in stage.call]


class StaleCacheSpec(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Bounds of the last good answers that are kept."""

    entries: Annotated[int, Meta(ge=0, le=1_000_000)] = 4096
    kb: Annotated[float, Meta(ge=0.0, le=1_000_000.0)] = 4096.0


class CompositionSpec(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The parts of a deployment file that this package reads."""

    dependency: list[DependencySpec] = []
    plan: list[PlanSpec] = []
    memory: StaleCacheSpec = StaleCacheSpec()


def read_plans(raw: Mapping[str, Any], upstreams: Iterable[str] = ()) -> CompositionSpec:
    """Plans out of their TOML tables; ``PlanError`` says which field is wrong and why."""
    try:
        plans = msgspec.convert(dict(raw), CompositionSpec)
    except msgspec.ValidationError as error:
        reason, _, where = str(error).partition(" - at `$")
        field = re.sub(r"^\.", "", where.rstrip("`")) or "deployment"
        raise PlanError(f"{field}: {reason}") from None
    _check_dependencies(plans, set(upstreams))
    seen = set[str]()
    for n, plan in enumerate(plans.plan):
        if plan.class_name in seen:
            raise PlanError(f"plan[{n}].class: {plan.class_name} has a plan already")
        seen.add(plan.class_name)
        _check_plan(plan, f"plan[{n}]", {d.name for d in plans.dependency})
    return plans


def _check_dependencies(plans: CompositionSpec, upstreams: set[str]) -> None:
    by_name = dict[str, DependencySpec]()
    for n, d in enumerate(plans.dependency):
        where = f"dependency[{n}]"
        if d.name in by_name:
            raise PlanError(f"{where}.name: {d.name} is named twice")
        by_name[d.name] = d
        if d.kind == "ajp" and (d.upstream is None or d.address is not None):
            raise PlanError(f"{where}.upstream: an ajp dependency names an upstream and no address")
        if d.kind == "ajp" and d.upstream not in upstreams:
            raise PlanError(f"{where}.upstream: no such upstream: {d.upstream}")
        if d.kind == "index" and (d.address is None or d.upstream is not None):
            raise PlanError(f"{where}.address: an index dependency names an address and no upstream")
        if d.address is not None and int(d.address.rpartition(":")[2]) > 65535:
            raise PlanError(f"{where}.address: no such port")
        if d.least > d.most:
            raise PlanError(f"{where}.least: is over most")
    for n, d in enumerate(plans.dependency):
        passed, at = [d.name], d
        while at.fallback is not None:
            if at.fallback not in by_name:
                raise PlanError(f"dependency[{n}].fallback: no such dependency: {at.fallback}")
            if at.fallback in passed:
                raise PlanError(
                    f"dependency[{n}].fallback: goes in a circle: {' to '.join([*passed, at.fallback])}"
                )
            passed.append(at.fallback)
            at = by_name[at.fallback]


def _check_plan(plan: PlanSpec, where: str, known: set[str]) -> None:
    lost, used = 0.0, set[str]()
    for s, stage in enumerate(plan.stage):
        for c, call in enumerate(stage.call):
            at = f"{where}.stage[{s}].call[{c}]"
            if call.dependency not in known:
                raise PlanError(f"{at}.dependency: no such dependency: {call.dependency}")
            if call.dependency in used:
                raise PlanError(f"{at}.dependency: {call.dependency} is called twice in one plan")
            used.add(call.dependency)
            if call.required and call.worth > 0:
                raise PlanError(f"{at}.worth: a required call can't be left out")
            if not call.required and not plan.partial:
                raise PlanError(f"{at}.required: the plan allows no partial answer")
            if call.write and (call.hedge or call.remember or not call.required):
                raise PlanError(f"{at}.write: a write is required, never hedged and never remembered")
            lost += call.worth
    if len(used) > MOST_CALLS:
        raise PlanError(f"{where}.stage: more than {MOST_CALLS} calls")
    if lost > 1 + 1e-9:
        raise PlanError(f"{where}.stage: the shares of worth add up to {lost:.3g}, more than 1")
    if plan.answer is not None:
        if plan.answer not in used:
            raise PlanError(f"{where}.answer: the plan calls no {plan.answer}")
        if not next(c for c in plan.calls() if c.dependency == plan.answer).required:
            raise PlanError(f"{where}.answer: {plan.answer} may be left out")


def check_classes(plans: CompositionSpec, classes: Iterable[ClassSpec]) -> None:
    """What holds of plan and class together: effects are never partial, the write comes last and alone."""
    known = {c.name: c for c in classes}
    for n, plan in enumerate(plans.plan):
        where, spec = f"plan[{n}]", known.get(plan.class_name)
        if spec is None:
            raise PlanError(f"{where}.class: no such class: {plan.class_name}")
        if plan.reserve_ms / 1000 >= spec.latency_objective:
            raise PlanError(f"{where}.reserve_ms: leaves nothing of the aim of {spec.latency_objective} s")
        writes = [(s, c) for s, stage in enumerate(plan.stage) for c in stage.call if c.write]
        if spec.effect is Effect.SAFE:
            if writes:
                raise PlanError(f"{where}.stage: {plan.class_name} has no effects, so it makes no write")
            continue
        if plan.partial:
            raise PlanError(f"{where}.partial: {plan.class_name} has effects and is never partial")
        if len(writes) != 1 or writes[0][0] != len(plan.stage) - 1 or len(plan.stage[-1].call) != 1:
            raise PlanError(
                f"{where}.stage: {plan.class_name} has effects: one write, alone in the last stage"
            )
