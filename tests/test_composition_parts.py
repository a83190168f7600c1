"""Components of composed responses: quantile sketch, time shares, overload protection, stale cache, plans."""

from __future__ import annotations

import random
from math import inf
from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from saltcart.composition.overload_protection import CallLimit, CircuitBreaker, CircuitState, RetryBudget
from saltcart.composition.plan import PlanError, check_classes, read_plans
from saltcart.composition.quantile_sketch import QuantileSketch
from saltcart.composition.stale_cache import ENTRY_OVERHEAD_BYTES, StaleCache
from saltcart.composition.time_shares import TimeNeeded, parallel_time_needed, split_time
from saltcart.decision.settings import ClassSpec, Effect

SECONDS = st.floats(1e-3, 30.0)

# ---- quantile sketch --------------------------------------------------------------------------


@given(st.lists(SECONDS, min_size=5, max_size=200))
def test_quantiles_keep_the_stated_relative_error(values: list[float]) -> None:
    sketch = QuantileSketch((0.1, 0.5, 0.95), half_life=1e9)
    for value in values:
        sketch.add(0.0, value)
    ordered = sorted(values)
    for level, quantile in zip((0.1, 0.5, 0.95), sketch.quantiles()):
        # The least value at which the survival curve reaches the level.
        exact = next(
            observed for rank, observed in enumerate(ordered, 1) if rank / len(ordered) >= level - 1e-9
        )
        assert abs(quantile - exact) <= 0.11 * exact


def test_censored_calls_are_part_of_the_estimate() -> None:
    sketch, completed_only = QuantileSketch((0.5, 0.95)), QuantileSketch((0.5, 0.95))
    for n in range(200):
        duration = 0.05 if n % 2 else 0.9  # half are slow, and cancelled after 0.2 s
        if duration < 0.2:
            completed_only.add(0.0, duration)
        sketch.add(0.0, min(duration, 0.2), censored=duration > 0.2)
    assert completed_only.quantiles()[1] < 0.06  # the bias without the cancelled calls
    assert sketch.quantiles()[0] == pytest.approx(0.05, rel=0.06) and sketch.quantiles()[1] == inf


def test_calls_that_were_all_cancelled_early_do_not_look_like_a_silent_dependency() -> None:
    sketch = QuantileSketch((0.1, 0.5, 0.95))
    for _ in range(50):
        sketch.add(0.0, 0.002, censored=True)  # overtaken by another attempt
    assert sketch.quantiles()[0] == pytest.approx(0.002, rel=0.06) and sketch.quantiles()[1:] == (inf, inf)


def test_a_sketch_ages_and_survives_a_long_pause() -> None:
    sketch = QuantileSketch((0.5,), half_life=8.0)
    for start in (1.8e9, 1.8e9 + 30 * 86_400):  # Unix time, then again after a month without calls
        for n in range(100):
            sketch.add(start + n * 0.01, 0.1)
        assert sketch.quantiles()[0] == pytest.approx(0.1, rel=0.06)
        assert sketch.recent_count(start + 1) > 90 and sketch.recent_count(start + 81) < 1
    for n in range(400):
        sketch.add(start + 20 + n * 0.01, 0.9)
    assert sketch.quantiles()[0] == pytest.approx(0.9, rel=0.06)


def test_the_size_of_a_sketch_is_constant() -> None:
    sketch, rng = QuantileSketch(), random.Random(1)
    size = len(sketch.completed)
    for n in range(20_000):
        sketch.add(n * 0.01, rng.expovariate(2), censored=rng.random() < 0.1)
    assert len(sketch.completed) == len(sketch.censored) == size and len(sketch.survival_curve()) <= size


# ---- time shares ------------------------------------------------------------------------------

NEEDS = st.tuples(*[st.floats(0.0, 5.0)] * 3).map(lambda levels: TimeNeeded(*sorted(levels)))


@settings(max_examples=300)
@given(st.floats(-1.0, 10.0), NEEDS, st.lists(NEEDS, max_size=5))
def test_shares_add_up_and_are_never_negative(
    left: float, current: TimeNeeded, later: list[TimeNeeded]
) -> None:
    shares = split_time(left, current, later)
    lucky = sum(need.lucky for need in (current, *later))
    if shares is None:
        assert left < 0 or lucky > left
        return
    assert all(share >= 0 for share in shares)
    assert sum(shares) <= left + 1e-9 and sum(shares) >= left - 1e-9
    assert all(share >= need.lucky - 1e-9 for share, need in zip(shares, (current, *later)))
    if sum(need.most for need in (current, *later)) <= left:  # enough for all: later stages get all they need
        assert all(share >= need.most - 1e-9 for share, need in zip(shares[1:], later))


def test_stages_with_unknown_needs_still_get_their_lucky_time() -> None:
    shares = split_time(1.0, TimeNeeded(0.1, 0.2, 0.3), [TimeNeeded(0.2, inf, inf)])
    assert shares is not None and shares == pytest.approx([0.8, 0.2])
    assert split_time(0.25, TimeNeeded(0.1, 0.2, 0.3), [TimeNeeded(0.2, inf, inf)]) is None
    assert parallel_time_needed([TimeNeeded(1, 5, 6), TimeNeeded(2, 3, 9)]) == TimeNeeded(
        2, 5, 9
    ) and parallel_time_needed([]) == (0, 0, 0)


# ---- overload protection ----------------------------------------------------------------------


def test_a_circuit_breaker_opens_probes_one_call_at_a_time_and_closes_again() -> None:
    breaker = CircuitBreaker(random.Random(3))
    for _ in range(int(CircuitBreaker.MIN_FAILURES)):
        assert breaker.allows_call(0.0) and not breaker.record_start()
        breaker.record_result(0.0, False, False)
    assert breaker.state.value == "open" and not breaker.allows_call(0.1)
    assert (
        CircuitBreaker.FIRST_OPEN_SECONDS * (1 - CircuitBreaker.JITTER)
        <= breaker.open_until
        <= CircuitBreaker.FIRST_OPEN_SECONDS * (1 + CircuitBreaker.JITTER)
    )
    for n in range(CircuitBreaker.PROBES_TO_CLOSE):
        now = breaker.open_until + n
        assert breaker.allows_call(now) and breaker.record_start()
        assert not breaker.allows_call(now)  # one at a time
        breaker.record_result(now, True, True)
    assert breaker.state.value == "closed"


def test_circuit_breakers_of_a_fleet_do_not_probe_at_the_same_time() -> None:
    probe_times = set[float]()
    for seed in range(20):
        breaker = CircuitBreaker(random.Random(seed))
        for _ in range(10):
            breaker.record_result(0.0, False, False)
        probe_times.add(round(breaker.open_until, 3))
    assert len(probe_times) > 15


@given(st.lists(st.tuples(st.floats(0, 0.5), st.booleans(), st.booleans()), max_size=150), st.integers(0, 99))
def test_a_circuit_breaker_never_loses_count_of_probes(
    steps: list[tuple[float, bool, bool]], seed: int
) -> None:
    breaker, now, in_flight = CircuitBreaker(random.Random(seed)), 0.0, list[bool]()
    for gap, succeeded, cancelled in steps:
        now += gap
        if breaker.allows_call(now):
            in_flight.append(breaker.record_start())
        assert sum(in_flight) <= 1 or breaker.state is not CircuitState.HALF_OPEN
        if in_flight and (cancelled or len(in_flight) > 3):
            probe = in_flight.pop(0)
            if cancelled and not succeeded:
                breaker.record_inconclusive(probe)
            else:
                breaker.record_result(now, succeeded, probe)
        assert breaker.probes_in_flight >= 0
        if breaker.state is CircuitState.OPEN:
            assert breaker.open_until - now <= CircuitBreaker.MAX_OPEN_SECONDS * (1 + CircuitBreaker.JITTER)
    now += 10
    for probe in in_flight:
        breaker.record_inconclusive(probe)
    assert breaker.allows_call(now)  # after any events, calls are allowed again


def test_a_call_limit_decreases_once_for_a_burst_of_losses_and_increases_in_use() -> None:
    limit = CallLimit(2, 64)
    for _ in range(10):
        limit.record_result(5.0, True, 0.2)
    assert limit.value == pytest.approx(16 * CallLimit.DECREASE_FACTOR)
    decreased = limit.value
    limit.record_result(6.0, False, 0.2)
    assert limit.value == decreased  # not in use: a success does not raise it
    limit.in_flight = int(limit.value)
    for _ in range(1000):
        limit.record_result(6.0, False, 0.2)
    assert limit.value > decreased + 10 and limit.value <= 64
    for n in range(100):
        limit.record_result(10.0 + n, True, 0.2)
    assert limit.value == 2.0


@given(st.floats(0, 0.5), st.lists(st.booleans(), max_size=400))
def test_additional_attempts_stay_within_the_share_of_first_ones(share: float, firsts: list[bool]) -> None:
    retry_budget, first, additional = RetryBudget(share), 0, 0
    for is_first in firsts:
        if is_first:
            retry_budget.record_first_attempt()
            first += 1
        elif retry_budget.take_token():
            additional += 1
    assert additional <= share * first + (RetryBudget.BURST if share else 0) + 1e-6


# ---- stale cache ------------------------------------------------------------------------------


def test_cached_replies_are_separate_by_tenant_expire_and_are_bounded() -> None:
    cache = StaleCache(3, 100.0)
    key = StaleCache.key("tarifa", b"sent")
    cache.put(10.0, "a", key, b"old")
    assert cache.get(15.0, "a", key, 5.0) == b"old" and cache.get(15.1, "a", key, 5.0) is None
    assert cache.get(11.0, "b", key, 5.0) is None  # no tenant gets the replies of another
    assert StaleCache.key("kvote", b"sent") != key
    for n in range(5):
        cache.put(20.0, "a", StaleCache.key("tarifa", b"%d" % n), b"x")
    assert cache.entry_count == 3 and cache.total_bytes == 3 * (1 + ENTRY_OVERHEAD_BYTES)
    cache.remove_tenant("a")
    assert (cache.entry_count, cache.total_bytes, cache.bytes_by_tenant, cache.entries_by_tenant) == (
        0,
        0,
        {},
        {},
    )


@given(st.lists(st.tuples(st.sampled_from("abc"), st.integers(0, 9), st.integers(0, 900)), max_size=120))
def test_replies_of_a_large_tenant_do_not_evict_those_of_a_smaller_one(
    puts: list[tuple[str, int, int]],
) -> None:
    cache = StaleCache(1000, 4.0)
    for n, (tenant, key, size) in enumerate(puts):
        cache.put(float(n), tenant, b"%d" % key, bytes(size))
        assert cache.total_bytes <= 4096 and cache.total_bytes == sum(cache.bytes_by_tenant.values())
        assert cache.entry_count == sum(map(len, cache.entries_by_tenant.values()))
        share = 4096 / 3  # a tenant below it keeps its newest reply
        if size + ENTRY_OVERHEAD_BYTES < share:
            assert cache.get(float(n), tenant, b"%d" % key, 1.0) is not None


# ---- plans ------------------------------------------------------------------------------------

READ = ClassSpec("read", Effect.SAFE, 1.0, 3.0, 1.0)
ONCE = ClassSpec("oddaja", Effect.IDEMPOTENT_BY_KEY, 1.5, 4.0, 5.0, key_window=6.0)
AJP = {"name": "a", "upstream": "u"}
INDEX = {"name": "b", "kind": "index", "address": "127.0.0.1:7700"}


def plan(class_name: str = "read", *stages: list[dict[str, Any]], **fields: Any) -> dict[str, Any]:
    return {"class": class_name, "stage": [{"call": stage} for stage in stages], **fields}


def tables(*plans: dict[str, Any], dependencies: tuple[dict[str, Any], ...] = (AJP, INDEX)) -> dict[str, Any]:
    return {"dependency": list(dependencies), "plan": list(plans)}


def one_stage(*calls: dict[str, Any], **fields: Any) -> dict[str, Any]:
    """Return a plan with one stage, whose calls are to dependency a by default."""
    return tables(plan("read", [{"dependency": "a", **call} for call in calls], **fields))


def test_a_valid_plan_is_accepted() -> None:
    raw = tables(
        plan(
            "read", [{"dependency": "a"}, {"dependency": "b", "required": False, "worth": 0.4}], partial=True
        ),
        plan("oddaja", [{"dependency": "b"}], [{"dependency": "a", "write": True}], answer="a"),
    )
    plans = read_plans(raw, ["u"])
    check_classes(plans, (READ, ONCE))
    assert [call.dependency for call in plans.plan[0].calls()] == ["a", "b"]


A, OPTIONAL = {"dependency": "a"}, {"required": False}
INVALID: list[tuple[dict[str, Any], str, str]] = [
    (one_stage({"worth": "x"}), "plan[0].stage[0].call[0].worth", "float"),
    (one_stage({"wroth": 1}), "plan[0].stage[0].call[0]", "wroth"),
    (tables(plan("read", [])), "plan[0].stage[0].call", "length"),
    (tables(plan("read")), "plan[0].stage", "length"),
    (one_stage({"dependency": "z"}), "plan[0].stage[0].call[0].dependency", "no such dependency"),
    (tables(plan("read", [A], [A])), "plan[0].stage[1].call[0].dependency", "called twice"),
    (tables(*[plan("read", [A])] * 2), "plan[1].class", "already"),
    (one_stage({"worth": 0.1}), "worth", "can't be left out"),
    (one_stage(OPTIONAL), "required", "no partial response"),
    (
        one_stage({**OPTIONAL, "worth": 0.6}, {"dependency": "b", **OPTIONAL, "worth": 0.6}, partial=True),
        "stage",
        "add up",
    ),
    (one_stage({}, answer="z"), "answer", "calls no z"),
    (one_stage(OPTIONAL, answer="a", partial=True), "answer", "left out"),
    (one_stage({"write": True, "hedge": True}), "write", "never hedged"),
    (tables(dependencies=(AJP, AJP)), "dependency[1].name", "twice"),
    (tables(dependencies=({"name": "a", "upstream": "w"},)), "dependency[0].upstream", "no such upstream"),
    (tables(dependencies=({"name": "a"},)), "dependency[0].upstream", "names an upstream"),
    (tables(dependencies=({**INDEX, "address": "h:70000"},)), "dependency[0].address", "port"),
    (tables(dependencies=({"name": "a", "kind": "index"},)), "dependency[0].address", "names an address"),
    (tables(dependencies=({**AJP, "least": 9, "most": 3},)), "dependency[0].least", "greater than most"),
    (tables(dependencies=({**AJP, "fallback": "z"},)), "dependency[0].fallback", "no such dependency"),
    (tables(dependencies=({**AJP, "fallback": "b"}, {**INDEX, "fallback": "a"})), "fallback", "a to b to a"),
]


@pytest.mark.parametrize(("raw", "field", "reason"), INVALID)
def test_the_error_of_an_invalid_plan_names_the_field_and_the_reason(
    raw: dict[str, Any], field: str, reason: str
) -> None:
    with pytest.raises(PlanError) as caught:
        read_plans(raw, ["u"])
    error_field, _, error_reason = str(caught.value).partition(": ")
    assert field in error_field and reason in error_reason, str(caught.value)


@pytest.mark.parametrize(
    ("raw", "reason"),
    [
        (plan("none", [{"dependency": "a"}]), "no such class"),
        (plan("read", [{"dependency": "a", "write": True}]), "no effects"),
        (plan("read", [{"dependency": "a"}], reserve_ms=1000), "nothing of the latency objective"),
        (plan("oddaja", [{"dependency": "a"}]), "one write"),
        (plan("oddaja", [{"dependency": "a", "write": True}], [{"dependency": "b"}]), "alone in the last"),
        (plan("oddaja", [{"dependency": "b"}, {"dependency": "a", "write": True}]), "alone in the last"),
        (plan("oddaja", [{"dependency": "b"}], [{**A, "write": True}], partial=True), "never partial"),
    ],
)
def test_a_plan_that_its_class_does_not_allow_is_rejected(raw: dict[str, Any], reason: str) -> None:
    with pytest.raises(PlanError, match=reason):
        check_classes(read_plans(tables(raw), ["u"]), (READ, ONCE))


JUNK = st.recursive(
    st.none() | st.booleans() | st.integers(-2, 2) | st.floats() | st.text(max_size=3),
    lambda inner: (
        st.lists(inner, max_size=3)
        | st.dictionaries(st.sampled_from(["name", "call", "stage", "class", "x"]), inner, max_size=3)
    ),
    max_leaves=12,
)


@given(st.fixed_dictionaries({"plan": JUNK, "dependency": JUNK}))
def test_any_plan_is_read_or_rejected_with_a_field_and_a_reason(raw: dict[str, Any]) -> None:
    try:
        read_plans(raw, ["u"])
    except PlanError as error:
        # Junk may be valid by chance, so pytest.raises() does not fit.
        assert ": " in str(error) and "Traceback" not in str(error)  # noqa: PT017
