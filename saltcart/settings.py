"""Checked reading of settings: one helper for the platform's object, our files, the API and the simulator.

Nothing here knows where a value came from beyond the name it is told; every error names that place, the field
and the reason.
"""

from __future__ import annotations

import math
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

EFFECTS = {
    "read_like": Effect.SAFE,
    "idempotency_key": Effect.IDEMPOTENT_BY_KEY,
    "non_idempotent": Effect.NON_IDEMPOTENT,
}
PREEMPTION = {"none": Preemption.NONE, "drop": Preemption.DROP, "pause": Preemption.PAUSE}
SIGNALS = {
    "none": LoadSignal.NONE,
    "level": LoadSignal.LEVEL,
    "credit": LoadSignal.CREDIT,
    "weight": LoadSignal.WEIGHT,
}
BELOW = {"none": DependencyKind.NONE, "shared": DependencyKind.SHARED, "tier": DependencyKind.TIER}
MOST = 1e15  # in whatever unit: beyond it sums of times and sizes lose their meaning, and end in infinity
_ABSENT: Any = object()


class WireError(Exception):
    """Input that breaks its contract; the text names the place, the field and the reason."""


class Fields:
    """Checked access to the fields of one JSON object."""

    def __init__(self, raw: Any, where: str) -> None:
        if not isinstance(raw, dict):
            raise WireError(f"{where}: not an object")
        self.raw: dict[str, Any] = raw
        self.where = where

    def _get(self, key: str, default: Any) -> Any:
        value = self.raw.get(key)
        if value is None:
            if default is _ABSENT:
                raise WireError(f"{self.where}: field {key} is missing")
            return default
        return value

    def number(self, key: str, default: Any = _ABSENT, low: float = 0.0, high: float = math.inf) -> Any:
        value = self._get(key, default)
        if value is default:
            return value
        if isinstance(value, bool) or not isinstance(value, (int, float)) or value != value:
            raise WireError(f"{self.where}: field {key} is not a number")
        if not low <= value <= min(high, MOST):
            raise WireError(f"{self.where}: field {key} is out of range: {value}")
        return value

    def integer(self, key: str, default: Any = _ABSENT, low: int = 0, high: float = math.inf) -> Any:
        value = self._get(key, default)
        if value is default:
            return value
        if isinstance(value, bool) or not isinstance(value, int) or not low <= value <= high:
            raise WireError(f"{self.where}: field {key} is not a whole number from {low} up")
        return value

    def text(self, key: str, default: Any = _ABSENT) -> Any:
        value = self._get(key, default)
        if value is not default and not isinstance(value, str):
            raise WireError(f"{self.where}: field {key} is not text")
        return value

    def flag(self, key: str, default: Any = _ABSENT) -> Any:
        value = self._get(key, default)
        if value is not default and not isinstance(value, bool):
            raise WireError(f"{self.where}: field {key} is not true or false")
        return value

    def array(self, key: str, default: Any = _ABSENT) -> Any:
        value = self._get(key, default)
        if value is not default and not isinstance(value, list):
            raise WireError(f"{self.where}: field {key} is not a list")
        return value

    def part(self, key: str) -> Fields:
        return Fields(self._get(key, _ABSENT), f"{self.where}.{key}")

    def choice(self, key: str, table: dict[str, Any], default: Any = _ABSENT) -> Any:
        value = self.text(key, default)
        if value is default:
            return value
        if value not in table:
            raise WireError(f"{self.where}: field {key} has no such value: {value}")
        return table[value]


def read_settings(f: Fields) -> Settings:
    """The wire's settings in the module's words."""
    extra, contract = f.part("extra"), f.part("contract")
    limits = Fields(f.raw.get("limits") or {}, f"{f.where}.limits")
    mix = Fields(f.raw.get("objectiveMix") or {}, f"{f.where}.objectiveMix")
    calls = extra.array("callsByClass", [])
    skips = extra.array("classSkipWorth", [])
    services = f.array("services")
    if not services:
        raise WireError(f"{f.where}: field services is empty")
    classes: list[ClassSpec] = []
    for n, raw in enumerate(services):
        s = Fields(raw, f"{f.where}.services[{n}]")
        skip = skips[n] if n < len(skips) else 0.0
        if isinstance(skip, bool) or not isinstance(skip, (int, float)) or not 0 <= skip <= 1:
            raise WireError(f"{extra.where}: field classSkipWorth[{n}] is not a share")
        if n < len(calls) and not isinstance(calls[n], bool):
            raise WireError(f"{extra.where}: field callsByClass[{n}] is not true or false")
        called = s.text("name")
        if not called or any(c.isspace() or not c.isprintable() for c in called):
            # It is a word of the pool's lines: what has a space there would be read as two.
            raise WireError(f"{s.where}: field name is not a word")
        if any(called == c.name for c in classes):
            raise WireError(f"{s.where}: field name stands for two classes: {called}")
        classes.append(
            ClassSpec(
                name=called,
                effect=s.choice("effect", EFFECTS),
                latency_objective=s.number("onTime", low=1e-6),
                deadline=s.number("deadline", low=1e-6),
                priority_weight=s.number("worth"),
                late_weight_share=s.number("lateValue", 0.0),
                key_window=s.number("memorySpan", 0.0),
                calls_dependency=n < len(calls) and calls[n],
                skipped_call_weight_share=float(skip),
            )
        )
    tenants: list[TenantSpec] = []
    for n, raw in enumerate(f.array("orgs", [])):
        t = Fields(raw, f"{f.where}.orgs[{n}]")
        called = t.text("name")
        if not called or called != called.strip() or not called.isprintable():
            raise WireError(f"{t.where}: field name is not one that a header can carry")
        if any(called == known.name for known in tenants):
            raise WireError(f"{t.where}: field name stands for two tenants: {called}")
        tenants.append(TenantSpec(called, t.number("quotaPerS", 0.0), t.number("share", 0.0)))
    stays = limits.flag("retryAfter", False)
    return Settings(
        classes=tuple(classes),
        tenants=tuple(tenants),
        cores=extra.integer("cores", low=1, high=MOST),
        memory_kb=extra.number("memLimitKb", low=1e-6),
        answer_slack=contract.number("answerSlack"),
        drain_grace=contract.number("drainGrace"),
        max_running_per_core=contract.number("fallMultiple", low=1),
        max_running_span=contract.number("fall"),
        cold_speed_share=contract.number("coldFrom", 1.0, high=1),
        warm_up_seconds=contract.number("cold", 0.0),
        starts_cold=extra.flag("cold", False),
        over_quota_weight_share=f.number("overShareWorth", 1.0),
        objective=ObjectiveWeights(
            mix.number("whole", 1.0),
            mix.number("worstWindow", 0.0),
            mix.number("worstClass", 0.0),
            mix.number("worstTenant", 0.0),
        ),
        preemption=extra.choice("preemption", PREEMPTION, Preemption.NONE),
        signal=extra.choice("signal", SIGNALS, LoadSignal.NONE),
        dependency=extra.choice("below", BELOW, DependencyKind.NONE),
        dependency_call_share=extra.number("depShare", None),
        dependency_call_span=extra.number("shareSpan", 0.0),
        abandoned_call_seconds=extra.number("linger", 0.0),
        run_memory_factor=extra.number("runFactor", 1.0, low=1),
        key_entry_kb=extra.number("keyKb", 0.0),
        read_freshness_seconds=extra.number("fresh", 0.0),
        signal_lifetime=extra.number("heardFor", 0.0),
        client_idle_timeout=extra.number("idle", 0.0),
        max_retry_after=limits.number("maxRetryAfter", 0.0) if stays else 0.0,
        replica_count=f.integer("replicasOfMe", 1, high=MOST),
        client_count=extra.integer("clientsTotal", 1, high=MOST),
        batch_interval=f.number("quantum", 0.001, low=1e-6),
        tier=f.integer("tier", 0),
    )
