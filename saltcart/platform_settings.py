"""Conversion of the platform's settings object to the decision module's ``Settings``."""

from __future__ import annotations

from typing import Any

from saltcart.decision.settings import (
    ClassSpec,
    DependencyKind,
    Effect,
    LoadSignal,
    ObjectiveWeights,
    Preemption,
    Settings,
    TenantSpec,
)
from saltcart.field_reader import MAX_VALUE, FieldReader, InvalidFieldError

EFFECTS = {
    "read_like": Effect.SAFE,
    "idempotency_key": Effect.IDEMPOTENT_BY_KEY,
    "non_idempotent": Effect.NON_IDEMPOTENT,
}
PREEMPTIONS = {"none": Preemption.NONE, "drop": Preemption.DROP, "pause": Preemption.PAUSE}
LOAD_SIGNALS = {
    "none": LoadSignal.NONE,
    "level": LoadSignal.LEVEL,
    "credit": LoadSignal.CREDIT,
    "weight": LoadSignal.WEIGHT,
}
DEPENDENCY_KINDS = {"none": DependencyKind.NONE, "shared": DependencyKind.SHARED, "tier": DependencyKind.TIER}
MIN_POSITIVE = 1e-6  # lower bound, in any unit, for times and sizes that must not be 0


def read_settings(fields: FieldReader) -> Settings:
    """Read the settings; raise ``InvalidFieldError`` if a value is missing or invalid."""
    extra = fields.section("extra")
    contract = fields.section("contract")
    limits = fields.optional_section("limits")
    has_retry_after = limits.flag("retryAfter", False)
    return Settings(
        classes=_read_classes(fields, extra),
        tenants=_read_tenants(fields),
        cores=extra.integer("cores", low=1, high=MAX_VALUE),
        memory_kb=extra.number("memLimitKb", low=MIN_POSITIVE),
        answer_slack=contract.number("answerSlack"),
        drain_grace=contract.number("drainGrace"),
        max_running_per_core=contract.number("fallMultiple", low=1),
        max_running_window=contract.number("fall"),
        cold_speed_share=contract.number("coldFrom", 1.0, high=1),
        warm_up_seconds=contract.number("cold", 0.0),
        starts_cold=extra.flag("cold", False),
        over_quota_weight_share=fields.number("overShareWorth", 1.0),
        objective=_read_objective(fields.optional_section("objectiveMix")),
        preemption=extra.choice("preemption", PREEMPTIONS, Preemption.NONE),
        signal=extra.choice("signal", LOAD_SIGNALS, LoadSignal.NONE),
        dependency=extra.choice("below", DEPENDENCY_KINDS, DependencyKind.NONE),
        dependency_call_share=extra.number("depShare", None),
        dependency_call_window=extra.number("shareSpan", 0.0),
        abandoned_call_seconds=extra.number("linger", 0.0),
        run_memory_factor=extra.number("runFactor", 1.0, low=1),
        key_entry_kb=extra.number("keyKb", 0.0),
        read_freshness_seconds=extra.number("fresh", 0.0),
        signal_lifetime=extra.number("heardFor", 0.0),
        client_idle_timeout=extra.number("idle", 0.0),
        max_retry_after=limits.number("maxRetryAfter", 0.0) if has_retry_after else 0.0,
        replica_count=fields.integer("replicasOfMe", 1, high=MAX_VALUE),
        client_count=extra.integer("clientsTotal", 1, high=MAX_VALUE),
        batch_interval=fields.number("quantum", 0.001, low=MIN_POSITIVE),
        tier=fields.integer("tier", 0),
    )


def _read_classes(fields: FieldReader, extra: FieldReader) -> tuple[ClassSpec, ...]:
    calls = extra.array("callsByClass", [])
    skips = extra.array("classSkipWorth", [])
    services = fields.array("services")
    if not services:
        raise InvalidFieldError(f"{fields.where}: field services is empty")
    classes: list[ClassSpec] = []
    for index, raw in enumerate(services):
        service = FieldReader(raw, f"{fields.where}.services[{index}]")
        skipped_share = skips[index] if index < len(skips) else 0.0
        if not _is_share(skipped_share):
            raise InvalidFieldError(
                f"{extra.where}: field classSkipWorth[{index}] is not a number from 0 to 1"
            )
        calls_dependency = calls[index] if index < len(calls) else False
        if not isinstance(calls_dependency, bool):
            raise InvalidFieldError(f"{extra.where}: field callsByClass[{index}] is not true or false")
        name = _read_class_name(service)
        if any(name == known.name for known in classes):
            raise InvalidFieldError(f"{service.where}: field name is used by two classes: {name}")
        classes.append(_read_class(service, name, calls_dependency, float(skipped_share)))
    return tuple(classes)


def _is_share(value: Any) -> bool:
    return not isinstance(value, bool) and isinstance(value, (int, float)) and 0 <= value <= 1


def _read_class_name(service: FieldReader) -> str:
    name: str = service.text("name")
    if not name or any(character.isspace() or not character.isprintable() for character in name):
        # The worker pool's line protocol sends the name as a single word, which a space would end.
        raise InvalidFieldError(
            f"{service.where}: field name is empty or has spaces or unprintable characters"
        )
    return name


def _read_class(service: FieldReader, name: str, calls_dependency: bool, skipped_share: float) -> ClassSpec:
    return ClassSpec(
        name=name,
        effect=service.choice("effect", EFFECTS),
        latency_objective=service.number("onTime", low=MIN_POSITIVE),
        deadline=service.number("deadline", low=MIN_POSITIVE),
        priority_weight=service.number("worth"),
        late_weight_share=service.number("lateValue", 0.0),
        key_window=service.number("memorySpan", 0.0),
        calls_dependency=calls_dependency,
        skipped_call_weight_share=skipped_share,
    )


def _read_tenants(fields: FieldReader) -> tuple[TenantSpec, ...]:
    tenants: list[TenantSpec] = []
    for index, raw in enumerate(fields.array("orgs", [])):
        tenant = FieldReader(raw, f"{fields.where}.orgs[{index}]")
        name = tenant.text("name")
        if not name or name != name.strip() or not name.isprintable():
            raise InvalidFieldError(f"{tenant.where}: field name can't be sent in a header")
        if any(name == known.name for known in tenants):
            raise InvalidFieldError(f"{tenant.where}: field name is used by two tenants: {name}")
        tenants.append(TenantSpec(name, tenant.number("quotaPerS", 0.0), tenant.number("share", 0.0)))
    return tuple(tenants)


def _read_objective(weights: FieldReader) -> ObjectiveWeights:
    return ObjectiveWeights(
        overall=weights.number("whole", 1.0),
        worst_window=weights.number("worstWindow", 0.0),
        worst_class=weights.number("worstClass", 0.0),
        worst_tenant=weights.number("worstTenant", 0.0),
    )
