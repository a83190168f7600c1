"""The parts of composed runs, each by itself: sketch, shares, guards, last good answers, plans."""

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

# ---- the sketch -------------------------------------------------------------------------------


@given(st.lists(SECONDS, min_size=5, max_size=200))
def test_quantiles_are_right_to_the_stated_error(values: list[float]) -> None:
    sketch = QuantileSketch((0.1, 0.5, 0.95), half_life=1e9)
    for value in values:
        sketch.add(0.0, value)
    ordered = sorted(values)
    for level, found in zip((0.1, 0.5, 0.95), sketch.quantiles()):
        # The least value that no more than the rest exceed, as the survival curve has it.
        exact = next(v for n, v in enumerate(ordered, 1) if n / len(ordered) >= level - 1e-9)
        assert abs(found - exact) <= 0.11 * exact


def test_calls_that_were_cut_off_are_not_left_out_of_the_estimate() -> None:
    sketch, survivors = QuantileSketch((0.5, 0.95)), QuantileSketch((0.5, 0.95))
    for n in range(200):
        took = 0.05 if n % 2 else 0.9  # half are slow, and given up after 0.2 s
        if took < 0.2:
            survivors.add(0.0, took)
        sketch.add(0.0, min(took, 0.2), censored=took > 0.2)
    assert survivors.quantiles()[1] < 0.06  # what a sketch of the survivors alone would say
    assert sketch.quantiles()[0] == pytest.approx(0.05, rel=0.06) and sketch.quantiles()[1] == inf


def test_calls_that_were_all_cut_off_early_do_not_pass_for_silence() -> None:
    sketch = QuantileSketch((0.1, 0.5, 0.95))
    for _ in range(50):
        sketch.add(0.0, 0.002, censored=True)  # overtaken by another attempt
    assert sketch.quantiles()[0] == pytest.approx(0.002, rel=0.06) and sketch.quantiles()[1:] == (inf, inf)


def test_a_sketch_ages_and_outlives_any_rest() -> None:
    sketch = QuantileSketch((0.5,), half_life=8.0)
    for start in (1.8e9, 1.8e9 + 30 * 86_400):  # Unix time, then after a month in which nothing came
        for n in range(100):
            sketch.add(start + n * 0.01, 0.1)
        assert sketch.quantiles()[0] == pytest.approx(0.1, rel=0.06)
        assert sketch.recent_count(start + 1) > 90 and sketch.recent_count(start + 81) < 1
    for n in range(400):
        sketch.add(start + 20 + n * 0.01, 0.9)
    assert sketch.quantiles()[0] == pytest.approx(0.9, rel=0.06)


def test_a_sketch_does_not_grow() -> None:
    sketch, rng = QuantileSketch(), random.Random(1)
    size = len(sketch.completed)
    for n in range(20_000):
        sketch.add(n * 0.01, rng.expovariate(2), censored=rng.random() < 0.1)
    assert len(sketch.completed) == len(sketch.censored) == size and len(sketch.survival_curve()) <= size


# ---- the arithmetic of time -------------------------------------------------------------------

NEEDS = st.tuples(*[st.floats(0.0, 5.0)] * 3).map(lambda t: TimeNeeded(*sorted(t)))


@settings(max_examples=300)
@given(st.floats(-1.0, 10.0), NEEDS, st.lists(NEEDS, max_size=5))
def test_shares_add_up_and_are_never_negative(left: float, now: TimeNeeded, later: list[TimeNeeded]) -> None:
    shares = split_time(left, now, later)
    lucky = sum(n.lucky for n in (now, *later))
    if shares is None:
        assert left < 0 or lucky > left
        return
    assert all(s >= 0 for s in shares)
    assert sum(shares) <= left + 1e-9 and sum(shares) >= left - 1e-9
    assert all(s >= n.lucky - 1e-9 for s, n in zip(shares, (now, *later)))
    if sum(n.most for n in (now, *later)) <= left:  # there is enough for all: later stages keep all they need
        assert all(s >= n.most - 1e-9 for s, n in zip(shares[1:], later))


def test_needs_that_cannot_be_told_still_leave_the_lucky_part() -> None:
    shares = split_time(1.0, TimeNeeded(0.1, 0.2, 0.3), [TimeNeeded(0.2, inf, inf)])
    assert shares is not None and shares == pytest.approx([0.8, 0.2])
    assert split_time(0.25, TimeNeeded(0.1, 0.2, 0.3), [TimeNeeded(0.2, inf, inf)]) is None
    assert parallel_time_needed([TimeNeeded(1, 5, 6), TimeNeeded(2, 3, 9)]) == TimeNeeded(
        2, 5, 9
    ) and parallel_time_needed([]) == (0, 0, 0)


# ---- guards -----------------------------------------------------------------------------------


def test_a_breaker_opens_probes_one_at_a_time_and_closes_again() -> None:
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
        at = breaker.open_until + n
        assert breaker.allows_call(at) and breaker.record_start()
        assert not breaker.allows_call(at)  # one at a time
        breaker.record_result(at, True, True)
    assert breaker.state.value == "closed"


def test_breakers_of_a_fleet_do_not_probe_in_step() -> None:
    ends = set[float]()
    for seed in range(20):
        breaker = CircuitBreaker(random.Random(seed))
        for _ in range(10):
            breaker.record_result(0.0, False, False)
        ends.add(round(breaker.open_until, 3))
    assert len(ends) > 15


@given(st.lists(st.tuples(st.floats(0, 0.5), st.booleans(), st.booleans()), max_size=150), st.integers(0, 99))
def test_a_breaker_never_loses_a_probe(steps: list[tuple[float, bool, bool]], seed: int) -> None:
    breaker, now, out = CircuitBreaker(random.Random(seed)), 0.0, list[bool]()
    for gap, ok, dropped in steps:
        now += gap
        if breaker.allows_call(now):
            out.append(breaker.record_start())
        assert sum(out) <= 1 or breaker.state is not CircuitState.HALF_OPEN
        if out and (dropped or len(out) > 3):
            probe = out.pop(0)
            if dropped and not ok:
                breaker.record_inconclusive(probe)
            else:
                breaker.record_result(now, ok, probe)
        assert breaker.probes_in_flight >= 0
        if breaker.state is CircuitState.OPEN:
            assert breaker.open_until - now <= CircuitBreaker.MAX_OPEN_SECONDS * (1 + CircuitBreaker.JITTER)
    now += 10
    for probe in out:
        breaker.record_inconclusive(probe)
    assert breaker.allows_call(now)  # whatever came before, a call gets out in the end


def test_a_limit_backs_off_once_for_a_burst_of_losses_and_grows_in_use() -> None:
    limit = CallLimit(2, 64)
    for _ in range(10):
        limit.record_result(5.0, True, 0.2)
    assert limit.value == pytest.approx(16 * CallLimit.DECREASE_FACTOR)
    idle = limit.value
    limit.record_result(6.0, False, 0.2)
    assert limit.value == idle  # not in use: a success proves nothing
    limit.in_flight = int(limit.value)
    for _ in range(1000):
        limit.record_result(6.0, False, 0.2)
    assert limit.value > idle + 10 and limit.value <= 64
    for n in range(100):
        limit.record_result(10.0 + n, True, 0.2)
    assert limit.value == 2.0


@given(st.floats(0, 0.5), st.lists(st.booleans(), max_size=400))
def test_further_attempts_stay_a_share_of_first_ones(share: float, firsts: list[bool]) -> None:
    allowance, first, further = RetryBudget(share), 0, 0
    for is_first in firsts:
        if is_first:
            allowance.record_first_attempt()
            first += 1
        elif allowance.take_token():
            further += 1
    assert further <= share * first + (RetryBudget.BURST if share else 0) + 1e-6


# ---- last good answers ------------------------------------------------------------------------


def test_last_good_answers_are_a_tenants_own_age_and_are_bounded() -> None:
    kept = StaleCache(3, 100.0)
    key = StaleCache.key("tarifa", b"sent")
    kept.put(10.0, "a", key, b"old")
    assert kept.get(15.0, "a", key, 5.0) == b"old" and kept.get(15.1, "a", key, 5.0) is None
    assert kept.get(11.0, "b", key, 5.0) is None  # no tenant is told what another was
    assert StaleCache.key("kvote", b"sent") != key
    for n in range(5):
        kept.put(20.0, "a", StaleCache.key("tarifa", b"%d" % n), b"x")
    assert kept.entry_count == 3 and kept.total_bytes == 3 * (1 + ENTRY_OVERHEAD_BYTES)
    kept.remove_tenant("a")
    assert (kept.entry_count, kept.total_bytes, kept.bytes_by_tenant, kept.entries_by_tenant) == (
        0,
        0,
        {},
        {},
    )


@given(st.lists(st.tuples(st.sampled_from("abc"), st.integers(0, 9), st.integers(0, 900)), max_size=120))
def test_one_tenants_answers_do_not_push_out_a_smaller_tenants(puts: list[tuple[str, int, int]]) -> None:
    kept = StaleCache(1000, 4.0)
    for n, (tenant, key, size) in enumerate(puts):
        kept.put(float(n), tenant, b"%d" % key, bytes(size))
        assert kept.total_bytes <= 4096 and kept.total_bytes == sum(kept.bytes_by_tenant.values())
        assert kept.entry_count == sum(map(len, kept.entries_by_tenant.values()))
        share = 4096 / 3  # a tenant that stays under it keeps its newest answer
        if size + ENTRY_OVERHEAD_BYTES < share:
            assert kept.get(float(n), tenant, b"%d" % key, 1.0) is not None


# ---- plans ------------------------------------------------------------------------------------

READ = ClassSpec("read", Effect.SAFE, 1.0, 3.0, 1.0)
ONCE = ClassSpec("oddaja", Effect.IDEMPOTENT_BY_KEY, 1.5, 4.0, 5.0, key_window=6.0)
AJP = {"name": "a", "upstream": "u"}
LINES = {"name": "b", "kind": "index", "address": "127.0.0.1:7700"}


def plan(klass: str = "read", *stages: list[dict[str, Any]], **more: Any) -> dict[str, Any]:
    return {"class": klass, "stage": [{"call": stage} for stage in stages], **more}


def tables(*plans: dict[str, Any], dependencies: tuple[dict[str, Any], ...] = (AJP, LINES)) -> dict[str, Any]:
    return {"dependency": list(dependencies), "plan": list(plans)}


def one(*calls: dict[str, Any], **more: Any) -> dict[str, Any]:
    """A plan of one stage, whose calls are of a unless they say otherwise."""
    return tables(plan("read", [{"dependency": "a", **call} for call in calls], **more))


def test_a_good_plan_stands() -> None:
    raw = tables(
        plan(
            "read", [{"dependency": "a"}, {"dependency": "b", "required": False, "worth": 0.4}], partial=True
        ),
        plan("oddaja", [{"dependency": "b"}], [{"dependency": "a", "write": True}], answer="a"),
    )
    plans = read_plans(raw, ["u"])
    check_classes(plans, (READ, ONCE))
    assert [c.dependency for c in plans.plan[0].calls()] == ["a", "b"]


A, NO = {"dependency": "a"}, {"required": False}
WRONG: list[tuple[dict[str, Any], str, str]] = [
    (one({"worth": "x"}), "plan[0].stage[0].call[0].worth", "float"),
    (one({"wroth": 1}), "plan[0].stage[0].call[0]", "wroth"),
    (tables(plan("read", [])), "plan[0].stage[0].call", "length"),
    (tables(plan("read")), "plan[0].stage", "length"),
    (one({"dependency": "z"}), "plan[0].stage[0].call[0].dependency", "no such dependency"),
    (tables(plan("read", [A], [A])), "plan[0].stage[1].call[0].dependency", "called twice"),
    (tables(*[plan("read", [A])] * 2), "plan[1].class", "already"),
    (one({"worth": 0.1}), "worth", "can't be left out"),
    (one(NO), "required", "no partial response"),
    (one({**NO, "worth": 0.6}, {"dependency": "b", **NO, "worth": 0.6}, partial=True), "stage", "add up"),
    (one({}, answer="z"), "answer", "calls no z"),
    (one(NO, answer="a", partial=True), "answer", "left out"),
    (one({"write": True, "hedge": True}), "write", "never hedged"),
    (tables(dependencies=(AJP, AJP)), "dependency[1].name", "twice"),
    (tables(dependencies=({"name": "a", "upstream": "w"},)), "dependency[0].upstream", "no such upstream"),
    (tables(dependencies=({"name": "a"},)), "dependency[0].upstream", "names an upstream"),
    (tables(dependencies=({**LINES, "address": "h:70000"},)), "dependency[0].address", "port"),
    (tables(dependencies=({"name": "a", "kind": "index"},)), "dependency[0].address", "names an address"),
    (tables(dependencies=({**AJP, "least": 9, "most": 3},)), "dependency[0].least", "greater than most"),
    (tables(dependencies=({**AJP, "fallback": "z"},)), "dependency[0].fallback", "no such dependency"),
    (tables(dependencies=({**AJP, "fallback": "b"}, {**LINES, "fallback": "a"})), "fallback", "a to b to a"),
]


@pytest.mark.parametrize(("raw", "field", "reason"), WRONG)
def test_a_wrong_plan_names_its_field_and_the_reason(raw: dict[str, Any], field: str, reason: str) -> None:
    with pytest.raises(PlanError) as caught:
        read_plans(raw, ["u"])
    where, _, why = str(caught.value).partition(": ")
    assert field in where and reason in why, str(caught.value)


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
def test_what_a_class_does_not_allow_is_refused(raw: dict[str, Any], reason: str) -> None:
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
def test_any_plan_is_read_or_refused_in_plain_words(raw: dict[str, Any]) -> None:
    try:
        read_plans(raw, ["u"])
    except PlanError as error:
        # Either outcome is right, so pytest.raises() would not do.
        assert ": " in str(error) and "Traceback" not in str(error)  # noqa: PT017
