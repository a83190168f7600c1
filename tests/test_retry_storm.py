"""Unit tests of retry storm control: sketches, reservations, schedule, detector, admission and sources."""

from __future__ import annotations

import random
from collections import Counter
from dataclasses import replace

import pytest
import xxhash
from hypothesis import given
from hypothesis import strategies as st

from saltcart.core.service import Service
from saltcart.decision.connection_admission import ConnectionAdmission
from saltcart.decision.settings import ClassSpec, Effect, Settings
from saltcart.field_reader import InvalidFieldError
from saltcart.retry_storm.admission_rate import MIN_BURST_TOKENS, AdmissionTokenBucket
from saltcart.retry_storm.capacity import CapacityEstimator, WarmUpCurve
from saltcart.retry_storm.controller import RetryStormController
from saltcart.retry_storm.fingerprints import Fingerprinter
from saltcart.retry_storm.retry_reservations import TICK_SECONDS, RetryReservations
from saltcart.retry_storm.retry_schedule import SLOT_SECONDS, RetrySchedule
from saltcart.retry_storm.settings import StormSettings, read_storm
from saltcart.retry_storm.sketches import CountMinSketch, HeavyHitters, RotatingBloomFilter
from saltcart.retry_storm.source_fairness import MAX_SOURCES, SourceFairness
from saltcart.retry_storm.storm_detector import StormDetector, StormState

SETTINGS = Settings(
    classes=(ClassSpec("read", Effect.SAFE, 1.0, 3.0, 1.0),),
    cores=4,
    memory_kb=1e5,
    answer_slack=0.1,
    drain_grace=1.0,
    max_running_per_core=8.0,
    max_running_window=2.0,
    cold_speed_share=0.25,
    warm_up_seconds=8.0,
    starts_cold=True,
)
# Hashed like fingerprints: the tables rely on uniform digests, and a client that does not know the seed
# cannot choose them.
DIGESTS = st.integers(0, (1 << 64) - 1).map(
    lambda number: xxhash.xxh3_64_intdigest(number.to_bytes(8, "little"))
)


def make_controller(seed: int = 1, **storm_settings: float) -> RetryStormController:
    return RetryStormController(StormSettings(**storm_settings), SETTINGS, seed, 100.0, 0.0)  # type: ignore[arg-type]


# ---- fingerprints and sketches ----------------------------------------------------------------


def test_a_fingerprint_identifies_a_request_by_all_its_parts() -> None:
    fingerprint = Fingerprinter(7).fingerprint
    first = fingerprint("acme", "oddaja", b"k", None, b"body")
    assert first == fingerprint("acme", "oddaja", b"k", None, b"body")
    others = [
        fingerprint("acmf", "oddaja", b"k", None, b"body"),
        fingerprint("acme", "read", b"k", None, b"body"),
        fingerprint("acme", "oddaja", b"l", None, b"body"),
        fingerprint("acme", "oddaja", b"k", "s", b"body"),
        fingerprint("acme", "oddaja", b"k", None, b"bodz"),
        fingerprint("acm", "eoddaja", b"k", None, b"body"),
        Fingerprinter(8).fingerprint("acme", "oddaja", b"k", None, b"body"),
    ]
    assert len({first, *others}) == len(others) + 1


@given(st.lists(st.tuples(DIGESTS, st.floats(0, 5)), max_size=200))
def test_the_bloom_filter_holds_a_digest_for_one_to_two_retention_times(
    additions: list[tuple[int, float]],
) -> None:
    bloom_filter, now, added_at = RotatingBloomFilter(10.0, 14), 0.0, dict[int, float]()
    for digest, gap in additions:
        now += gap
        bloom_filter.add(now, digest)
        added_at[digest] = now
        assert all(bloom_filter.has(now, added) for added, at in added_at.items() if now - at <= 10.0)
    assert not any(bloom_filter.has(now + 21.0, added) for added in added_at)


def test_false_positives_of_the_bloom_filter_are_rare() -> None:
    bloom_filter, rng = RotatingBloomFilter(1000.0), random.Random(2)
    for _ in range(60_000):  # a minute at a thousand rejections per second
        bloom_filter.add(0.0, rng.getrandbits(64))
    false_positives = sum(bloom_filter.has(0.0, rng.getrandbits(64)) for _ in range(20_000))
    assert false_positives / 20_000 < 0.002 and bloom_filter.size_bytes() == 262_144


@given(st.lists(st.integers(0, 40), max_size=400))
def test_counts_of_the_count_min_sketch_are_never_too_low(numbers: list[int]) -> None:
    sketch, true_counts = CountMinSketch(100.0, 8), Counter[int]()
    for number in numbers:
        true_counts[number] += 1
        assert sketch.add(1.0, number * 0x9E3779B97F4A7C15 & (1 << 64) - 1) >= true_counts[number]


def test_counts_halve_with_time_and_heavy_hitters_are_found() -> None:
    sketch = CountMinSketch(10.0)
    for _ in range(8):
        sketch.add(0.0, 5)
    assert sketch.add(10.5, 5) == 5 and sketch.add(200.0, 5) == 1
    heavy_hitters, rng = HeavyHitters(8), random.Random(3)
    for n in range(4000):
        heavy_hitters.add(n * 0.001, "loud" if n % 4 == 0 else f"small-{rng.randrange(500)}")
    assert heavy_hitters.top(1)[0][0] == "loud" and len(heavy_hitters.counts) <= 8


@given(st.lists(st.tuples(DIGESTS, st.floats(0, 600)), max_size=60))
def test_a_reservation_is_returned_as_it_was_stored(reservations: list[tuple[int, float]]) -> None:
    table, stored = RetryReservations(0.0, 10), dict[int, float]()
    for digest, retry_at in reservations:
        table.put(0.0, digest, retry_at)
        stored[digest] = retry_at
    for digest, retry_at in stored.items():  # far below the table's size: no entry was replaced
        found = table.get(digest)
        assert found is not None and abs(found - retry_at) <= TICK_SECONDS
    for digest in stored:
        table.remove(digest)
        assert table.get(digest) is None


def test_a_full_reservation_table_keeps_its_size_and_replaces_the_earliest() -> None:
    table, rng = RetryReservations(0.0, 8), random.Random(4)
    size, digests = table.size_bytes(), [rng.getrandbits(64) for _ in range(4000)]
    for n, digest in enumerate(digests):
        table.put(0.0, digest, float(n))
    assert table.size_bytes() == size
    is_stored = [table.get(stored) is not None for stored in digests]
    assert sum(is_stored[-500:]) > 450 and sum(is_stored[:2000]) < 200


# ---- schedule and capacity --------------------------------------------------------------------


def test_the_schedule_reserves_each_unit_of_capacity_once_and_adds_jitter() -> None:
    schedule = RetrySchedule(random.Random(5), 30.0, lambda when: 20.0)
    retry_times = [schedule.reserve(0.0, 0.2) for _ in range(200)]
    reserved = sorted(at for at in retry_times if at is not None)
    assert len(reserved) == 200 and reserved[0] >= 0.2 and reserved[-1] < 200 / 20 + 3
    by_slot = Counter(int(at / SLOT_SECONDS) for at in reserved)
    assert max(by_slot.values()) <= 2  # 20 per second in slots of 0.1 s
    assert retry_times != sorted(at for at in retry_times if at is not None)  # not in the order of requests


def test_a_full_schedule_reserves_nothing_until_its_slots_have_passed() -> None:
    schedule = RetrySchedule(random.Random(6), 3.0, lambda when: 10.0)
    retry_times = [schedule.reserve(0.0, 0.0) for _ in range(100)]
    assert 20 <= sum(at is not None for at in retry_times) <= 40 and retry_times[-1] is None
    assert schedule.reserve(10.0, 0.0) is not None


def test_a_cold_servers_schedule_has_more_capacity_later() -> None:
    warm_up = WarmUpCurve(SETTINGS, 0.0)
    assert [warm_up.speed_share_at(seconds) for seconds in (0, 4, 8, 99)] == [0.25, 0.625, 1.0, 1.0]
    schedule = RetrySchedule(random.Random(7), 30.0, lambda when: 40 * warm_up.speed_share_at(when))
    retry_times = [at for at in (schedule.reserve(0.0, 0.0) for _ in range(150)) if at is not None]
    early, late = (sum(begin <= at < begin + 1 for at in retry_times) for begin in (0, 4))
    assert late > 1.5 * early


def test_two_servers_do_not_give_callers_the_same_retry_times() -> None:
    first, second = (
        [make_controller(seed).record_rejection(100.0, n).retry_after for n in range(30)] for seed in (1, 2)
    )
    assert len(set(first) & set(second)) == 0


def test_capacity_is_estimated_from_completions_under_full_load() -> None:
    estimator = CapacityEstimator(WarmUpCurve(SETTINGS, -100.0), 4, 0.25)
    assert estimator.warm_rate(0.0) == 4.0  # without observations: one run per second on each core
    estimator.record_run(0.0, 0.2, False)
    assert estimator.warm_rate(0.0) == pytest.approx(4 / 0.2 / 1.25)
    for n in range(200):
        estimator.record_run(n * 0.1, 0.2, True)
    assert estimator.warm_rate(20.0) == pytest.approx(10.0, rel=0.1)


# ---- detector, admission rate and source fairness ---------------------------------------------


def test_a_storm_begins_within_half_a_second_and_ends_after_a_quiet_period() -> None:
    detector = StormDetector()
    for n in range(200):  # calm: 40 attempts per second
        detector.record_attempt(n * 0.025)
        detector.record_arrival(n * 0.025, False)
        assert detector.update(n * 0.025, 50.0) is StormState.CALM
    now = 5.0
    while detector.update(now, 50.0) is StormState.CALM:  # 80 attempts per second, half of them retries
        detector.record_attempt(now)
        detector.record_arrival(now, int(now * 80) % 2 == 0)
        now += 1 / 80
    assert now - 5.0 <= 0.5 and 1.2 < detector.amplification(now) < 2.5
    while detector.update(now, 50.0) is StormState.STORM:
        detector.record_attempt(now)
        detector.record_arrival(now, False)
        now += 0.025
    assert 2.0 <= now - 5.0 < 8.0


def test_a_cold_server_detects_a_flood_without_any_history() -> None:
    detector, now = StormDetector(), 0.0
    while detector.update(now, 10.0) is StormState.CALM and now < 2:
        detector.record_attempt(now)
        detector.record_arrival(now, False)
        if int(now * 100) % 2:
            detector.record_rejection(now)
        now += 0.01
    assert now <= 0.5


@pytest.mark.parametrize("surge", [1.3, 1.45, 1.6])
def test_a_surge_of_new_requests_is_no_storm(surge: float) -> None:
    detector, rng, now = StormDetector(), random.Random(8), 0.0
    while now < 60:
        now += rng.expovariate(surge * 65)
        detector.record_attempt(now)
        detector.record_arrival(now, False)
        if rng.random() < max(0.0, 1 - 100 / (surge * 65)):
            detector.record_rejection(now)
        assert detector.update(now, 100.0) is StormState.CALM


def test_the_admission_rate_follows_the_capacity() -> None:
    for in_storm in (False, True):
        token_bucket = AdmissionTokenBucket(
            0.9,
            0.25,
            lambda now: 20.0,
            lambda now, in_storm=in_storm: in_storm,  # type: ignore[misc]
        )
        admitted = sum(token_bucket.admit(n * 0.01) for n in range(1000))  # 100 per second for 10 s
        assert admitted <= 20 * 10 + 20 + MIN_BURST_TOKENS and admitted >= 0.9 * 20 * 10 - 1
        assert (
            token_bucket.admitted_count == admitted
            and token_bucket.admitted_count + token_bucket.rejected_count == 1000
        )


def test_heavy_sources_get_only_leftover_capacity() -> None:
    token_bucket = AdmissionTokenBucket(1.0, 0.25, lambda now: 20.0, lambda now: True)
    admitted = Counter[bool]()
    for n in range(4000):
        is_heavy = n % 5 != 0  # 64 per second from heavy sources, and 16 per second from others
        admitted[is_heavy] += token_bucket.admit(n * 0.0125, is_heavy)
    assert admitted[False] >= 0.97 * 800 and admitted[True] <= 0.15 * 20 * 50


def test_a_heavy_source_exceeds_its_fair_share_and_a_light_one_does_not() -> None:
    sources = SourceFairness()
    for n in range(300):
        heavy_count = sources.record_attempt(n * 0.02, 1)
        if n % 50 == 0:
            light_count = sources.record_attempt(n * 0.02, 2)
    assert heavy_count > 3 * sources.fair_share(10.0) and light_count < sources.fair_share(10.0)
    for n in range(MAX_SOURCES + 500):
        sources.record_attempt(6.0, n)
    assert len(sources.attempts) <= MAX_SOURCES
    sources.record_attempt(60.0, 1)
    assert len(sources.attempts) == 1


# ---- controller -------------------------------------------------------------------------------


def test_a_retry_on_time_has_a_reservation_and_an_early_one_keeps_its_retry_time() -> None:
    controller = make_controller()
    first = controller.record_arrival(100.0, "acme", "read", None, None, b"x")
    assert (first.is_retry, first.has_reservation, first.is_early) == (False, False, False)
    advice = controller.record_rejection(100.0, first.fingerprint)
    assert advice.retry_after >= 0.2
    early = controller.record_arrival(100.0 + advice.retry_after / 4, "acme", "read", None, None, b"x")
    assert (early.is_retry, early.is_early) == (True, advice.retry_after / 4 < advice.retry_after - 0.1)
    repeated_advice = controller.record_rejection(100.0 + advice.retry_after / 4, early.fingerprint)
    assert repeated_advice.retry_after == pytest.approx(advice.retry_after * 3 / 4, abs=0.06)
    on_time = controller.record_arrival(100.0 + advice.retry_after + 0.05, "acme", "read", None, None, b"x")
    assert (on_time.is_retry, on_time.has_reservation, on_time.is_early) == (True, True, False)
    late = controller.record_arrival(100.0 + advice.retry_after + 10.0, "acme", "read", None, None, b"x")
    assert late.is_retry and not late.has_reservation
    controller.record_success(120.0, on_time.fingerprint, True)
    assert controller.reservations.get(on_time.fingerprint) is None


def test_a_source_rejected_unread_keeps_its_retry_time() -> None:
    controller = make_controller()
    source = controller.source_of("192.0.2.1")
    retry_times = [
        controller.reject_unread(100.0 + n * 0.05, source).retry_after + n * 0.05 for n in range(3)
    ]
    assert (
        max(retry_times) - min(retry_times) < 2 * TICK_SECONDS and controller.source_of("192.0.2.2") != source
    )


def test_a_heavy_source_is_admitted_last() -> None:
    controller = make_controller()
    controller.capacity_estimator.record_run(100.0, 0.2, False)  # 19 runs per second
    heavy, light = controller.source_of("heavy"), controller.source_of("light")
    admissions = Counter[tuple[str, ConnectionAdmission]]()
    for n in range(2000):
        now = 100.0 + n * 0.01
        admissions["heavy", controller.admit_connection(now, heavy)] += 1
        if n % 50 == 0:
            admissions["light", controller.admit_connection(now, light)] += 1
    # Single requests may find the bucket that the heavy source has just emptied.
    assert admissions["light", ConnectionAdmission.READ] >= 38
    assert (
        admissions["heavy", ConnectionAdmission.REFUSE] > 1000
        and admissions["heavy", ConnectionAdmission.READ_LAST] > admissions["heavy", ConnectionAdmission.READ]
    )


def test_a_balancer_with_a_large_share_is_not_heavy_while_there_is_capacity_for_all() -> None:
    controller = make_controller(reading=0.05)
    for n in range(40):
        controller.capacity_estimator.record_run(100.0 + n, 0.05, False)  # 20 runs per second on each core
    balancer, admissions = controller.source_of("balancer"), Counter[ConnectionAdmission]()
    assert controller.capacity(140.0) > 70
    for n in range(600):  # 60 per second, and one per second from each of eight other sources
        now = 140.0 + n / 60
        admissions[controller.admit_connection(now, balancer)] += 1
        if n % 60 == 0:
            assert all(
                controller.admit_connection(now, controller.source_of(f"other {number}"))
                is ConnectionAdmission.READ
                for number in range(8)
            )
    assert admissions == {ConnectionAdmission.READ: 600}


def test_the_last_tokens_are_reserved_for_light_sources() -> None:
    """In the first second of a flood no source is recognised as heavy yet; a light one must still be read."""
    controller = make_controller(reading=0.25)
    controller.capacity_estimator.record_run(100.0, 1.0, False)  # 4 runs per second
    heavy, admissions = controller.source_of("heavy"), Counter[ConnectionAdmission]()
    controller.admit_connection(
        97.0, controller.source_of("another")
    )  # sources compete only if there are two
    for n in range(8):  # more requests than the bucket has tokens, within half a second
        admissions[controller.admit_connection(100.0 + n * 0.05, heavy)] += 1
    assert admissions[ConnectionAdmission.REFUSE] >= 2
    assert controller.admit_connection(100.45, controller.source_of("light")) is ConnectionAdmission.READ


def test_a_single_source_may_use_all_tokens() -> None:
    controller = make_controller(reading=0.25)
    controller.capacity_estimator.record_run(100.0, 1.0, False)
    admitted = sum(
        controller.admit_connection(100.0 + n * 0.01, controller.source_of("balancer"))
        is not ConnectionAdmission.REFUSE
        for n in range(8)
    )
    assert admitted == MIN_BURST_TOKENS


def test_runs_that_share_the_cores_do_not_lower_the_capacity_estimate() -> None:
    """Eight runs on two cores take four times as long as their work; 20 per second still complete."""
    rates = []
    for running in (2, 8):
        estimator = CapacityEstimator(WarmUpCurve(replace(SETTINGS, starts_cold=False), 0.0), 2, 0.0)
        for n in range(100):
            estimator.record_run(n * 0.05, 0.1 * running / 2, False, running)
        rates.append(estimator.warm_rate(5.0))
    assert rates == pytest.approx([20.0, 20.0])


def test_more_requests_than_can_run_are_read_where_reading_is_cheap() -> None:
    admitted = []
    for reading_share in (0.25, 0.05):
        token_bucket = AdmissionTokenBucket(0.9, reading_share, lambda now: 20.0, lambda now: True)
        admitted.append(sum(token_bucket.admit(n * 0.005) for n in range(2000)))  # 200 per second for 10 s
    assert admitted[0] <= 0.9 * 200 + 20 and admitted[1] >= 3.5 * 200


def test_a_heavy_source_may_use_all_capacity_while_no_request_waits() -> None:
    """A source above its fair share is limited only while other requests are held."""
    rates = []
    for is_full in (True, False):
        token_bucket = AdmissionTokenBucket(1.0, 0.25, lambda now: 20.0, lambda now: False)
        admitted = 0
        for n in range(4000):  # 40 per second for 100 s
            admitted += token_bucket.admit(n * 0.025, leftover_only=True)
            if n % 2 == 0:
                token_bucket.record_run(is_full)
        rates.append(admitted / 100)
    assert rates[0] == pytest.approx(10.0, abs=0.5) and rates[1] > 18.0


def test_the_most_retries_of_one_request_are_reported() -> None:
    controller = make_controller()
    for n in range(7):
        attempt = controller.record_arrival(100.0 + n, "a", "read", None, None, b"same")
        controller.record_rejection(100.0 + n, attempt.fingerprint)
    assert dict(controller.metrics(107.0))["storm.most_tries"] == 6


def test_memory_is_bounded_at_a_thousand_rejections_per_second() -> None:
    controller, rng = make_controller(), random.Random(9)
    for n in range(20_000):
        controller.record_rejection(100.0 + n * 0.001, rng.getrandbits(64))
    assert (
        controller.size_bytes() <= 1 << 20
        and len(controller.schedule.free_capacity) <= 60 / SLOT_SECONDS + 20
    )


@pytest.mark.parametrize(
    ("raw", "reason"),
    [({"horizon": 0.1}, "storm.horizon"), ({"grace": "x"}, "storm.grace"), ({"hroizon": 3}, "hroizon")],
)
def test_an_invalid_field_is_named_in_the_error(raw: dict[str, object], reason: str) -> None:
    with pytest.raises(InvalidFieldError, match=reason):
        read_storm(raw)


def test_the_service_starts_without_retry_storm_control() -> None:
    service = Service(SETTINGS, (), 1, lambda: 0.0, lambda event, **_: None)
    service.pool_started(False, 0.0)
    assert service.ports.storm_control is None
