"""The parts of storm damping, each by itself: sketches, appointments, calendar, weather, gate, sources."""

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
# Spread as fingerprints are: the tables rest on it, and nobody can choose digests for a seed not known.
DIGESTS = st.integers(0, (1 << 64) - 1).map(lambda n: xxhash.xxh3_64_intdigest(n.to_bytes(8, "little")))


def damper(seed: int = 1, **more: float) -> RetryStormController:
    return RetryStormController(StormSettings(**more), SETTINGS, seed, 100.0, 0.0)  # type: ignore[arg-type]


# ---- fingerprints and sketches ----------------------------------------------------------------


def test_a_fingerprint_tells_what_is_the_same_work_and_nothing_else() -> None:
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
def test_what_was_seen_is_known_for_its_span_and_forgotten_after_twice_that(
    steps: list[tuple[int, float]],
) -> None:
    seen, now, added = RotatingBloomFilter(10.0, 14), 0.0, dict[int, float]()
    for digest, gap in steps:
        now += gap
        seen.add(now, digest)
        added[digest] = now
        assert all(seen.has(now, d) for d, at in added.items() if now - at <= 10.0)
    assert not any(seen.has(now + 21.0, d) for d in added)


def test_the_filter_is_wrong_as_seldom_as_stated() -> None:
    seen, rng = RotatingBloomFilter(1000.0), random.Random(2)
    for _ in range(60_000):  # a minute of a thousand refusals a second
        seen.add(0.0, rng.getrandbits(64))
    wrong = sum(seen.has(0.0, rng.getrandbits(64)) for _ in range(20_000))
    assert wrong / 20_000 < 0.002 and seen.size_bytes() == 262_144


@given(st.lists(st.integers(0, 40), max_size=400))
def test_counts_are_never_too_low(numbers: list[int]) -> None:
    counts, true = CountMinSketch(100.0, 8), Counter[int]()
    for n in numbers:
        true[n] += 1
        assert counts.add(1.0, n * 0x9E3779B97F4A7C15 & (1 << 64) - 1) >= true[n]


def test_counts_halve_with_time_and_the_heaviest_names_are_kept() -> None:
    counts = CountMinSketch(10.0)
    for _ in range(8):
        counts.add(0.0, 5)
    assert counts.add(10.5, 5) == 5 and counts.add(200.0, 5) == 1
    heavy, rng = HeavyHitters(8), random.Random(3)
    for n in range(4000):
        heavy.add(n * 0.001, "loud" if n % 4 == 0 else f"small-{rng.randrange(500)}")
    assert heavy.top(1)[0][0] == "loud" and len(heavy.counts) <= 8


@given(st.lists(st.tuples(DIGESTS, st.floats(0, 600)), max_size=60))
def test_an_appointment_is_given_back_as_it_was_made(pairs: list[tuple[int, float]]) -> None:
    table, made = RetryReservations(0.0, 10), dict[int, float]()
    for digest, moment in pairs:
        table.put(0.0, digest, moment)
        made[digest] = moment
    for digest, moment in made.items():  # far under its size: nothing had to make way
        got = table.get(digest)
        assert got is not None and abs(got - moment) <= TICK_SECONDS
    for digest in made:
        table.remove(digest)
        assert table.get(digest) is None


def test_a_full_table_of_appointments_keeps_its_size_and_loses_the_oldest() -> None:
    table, rng = RetryReservations(0.0, 8), random.Random(4)
    size, digests = table.size_bytes(), [rng.getrandbits(64) for _ in range(4000)]
    for n, digest in enumerate(digests):
        table.put(0.0, digest, float(n))
    assert table.size_bytes() == size
    held = [table.get(d) is not None for d in digests]
    assert sum(held[-500:]) > 450 and sum(held[:2000]) < 200


# ---- when to come back ------------------------------------------------------------------------


def test_the_calendar_gives_each_place_once_and_spreads_them() -> None:
    calendar = RetrySchedule(random.Random(5), 30.0, lambda when: 20.0)
    moments = [calendar.reserve(0.0, 0.2) for _ in range(200)]
    given_out = sorted(m for m in moments if m is not None)
    assert len(given_out) == 200 and given_out[0] >= 0.2 and given_out[-1] < 200 / 20 + 3
    by_bucket = Counter(int(m / SLOT_SECONDS) for m in given_out)
    assert max(by_bucket.values()) <= 2  # 20 a second in tenths of one
    assert moments != sorted(m for m in moments if m is not None)  # not in the order of asking


def test_a_full_calendar_says_so_and_old_places_are_gone() -> None:
    calendar = RetrySchedule(random.Random(6), 3.0, lambda when: 10.0)
    given_out = [calendar.reserve(0.0, 0.0) for _ in range(100)]
    assert 20 <= sum(m is not None for m in given_out) <= 40 and given_out[-1] is None
    assert calendar.reserve(10.0, 0.0) is not None


def test_a_cold_servers_calendar_has_more_room_later() -> None:
    strength = WarmUpCurve(SETTINGS, 0.0)
    assert [strength.speed_share_at(t) for t in (0, 4, 8, 99)] == [0.25, 0.625, 1.0, 1.0]
    calendar = RetrySchedule(random.Random(7), 30.0, lambda when: 40 * strength.speed_share_at(when))
    moments = [m for m in (calendar.reserve(0.0, 0.0) for _ in range(150)) if m is not None]
    early, late = (sum(a <= m < a + 1 for m in moments) for a in (0, 4))
    assert late > 1.5 * early


def test_callers_of_two_servers_are_not_told_the_same_moments() -> None:
    first, second = (
        [damper(seed).record_rejection(100.0, n).retry_after for n in range(30)] for seed in (1, 2)
    )
    assert len(set(first) & set(second)) == 0


def test_throughput_is_learned_while_the_server_is_full() -> None:
    through = CapacityEstimator(WarmUpCurve(SETTINGS, -100.0), 4, 0.25)
    assert through.warm_rate(0.0) == 4.0  # nothing is known: a run a second on each core
    through.record_run(0.0, 0.2, False)
    assert through.warm_rate(0.0) == pytest.approx(4 / 0.2 / 1.25)
    for n in range(200):
        through.record_run(n * 0.1, 0.2, True)
    assert through.warm_rate(20.0) == pytest.approx(10.0, rel=0.1)


# ---- the weather and the door -----------------------------------------------------------------


def test_a_storm_begins_within_half_a_second_and_ends_after_some_quiet() -> None:
    weather = StormDetector()
    for n in range(200):  # calm: 40 a second
        weather.record_offer(n * 0.025)
        weather.record_arrival(n * 0.025, False)
        assert weather.update(n * 0.025, 50.0) is StormState.CALM
    now = 5.0
    while (
        weather.update(now, 50.0) is StormState.CALM
    ):  # then every other try comes again, and 80 a second do
        weather.record_offer(now)
        weather.record_arrival(now, int(now * 80) % 2 == 0)
        now += 1 / 80
    assert now - 5.0 <= 0.5 and 1.2 < weather.amplification(now) < 2.5
    while weather.update(now, 50.0) is StormState.STORM:
        weather.record_offer(now)
        weather.record_arrival(now, False)
        now += 0.025
    assert 2.0 <= now - 5.0 < 8.0


def test_a_cold_server_knows_a_flood_without_any_memory() -> None:
    weather, now = StormDetector(), 0.0
    while weather.update(now, 10.0) is StormState.CALM and now < 2:
        weather.record_offer(now)
        weather.record_arrival(now, False)
        if int(now * 100) % 2:
            weather.record_rejection(now)
        now += 0.01
    assert now <= 0.5


@pytest.mark.parametrize("surge", [1.3, 1.45, 1.6])
def test_a_surge_of_new_work_is_no_storm(surge: float) -> None:
    weather, rng, now = StormDetector(), random.Random(8), 0.0
    while now < 60:
        now += rng.expovariate(surge * 65)
        weather.record_offer(now)
        weather.record_arrival(now, False)
        if rng.random() < max(0.0, 1 - 100 / (surge * 65)):
            weather.record_rejection(now)
        assert weather.update(now, 100.0) is StormState.CALM


def test_the_gate_lets_in_what_can_be_run_and_leaves_the_rest_unread() -> None:
    for storm in (False, True):
        gate = AdmissionTokenBucket(0.9, 0.25, lambda now: 20.0, lambda now, storm=storm: storm)  # type: ignore[misc]
        passed = sum(gate.admit(n * 0.01) for n in range(1000))  # 100 a second for 10 s
        assert passed <= 20 * 10 + 20 + MIN_BURST_TOKENS and passed >= 0.9 * 20 * 10 - 1
        assert gate.admitted_count == passed and gate.admitted_count + gate.rejected_count == 1000


def test_who_comes_last_has_only_what_others_leave() -> None:
    gate = AdmissionTokenBucket(1.0, 0.25, lambda now: 20.0, lambda now: True)
    passed = Counter[bool]()
    for n in range(4000):
        last = n % 5 != 0  # 16 of the others a second, and 64 that come last
        passed[last] += gate.admit(n * 0.0125, last)
    assert passed[False] >= 0.97 * 800 and passed[True] <= 0.15 * 20 * 50


def test_a_sources_crowd_is_told_from_a_quiet_source() -> None:
    sources = SourceFairness()
    for n in range(300):
        loud = sources.record_offer(n * 0.02, 1)
        if n % 50 == 0:
            quiet = sources.record_offer(n * 0.02, 2)
    assert loud > 3 * sources.fair_share(10.0) and quiet < sources.fair_share(10.0)
    for n in range(MAX_SOURCES + 500):
        sources.record_offer(6.0, n)
    assert len(sources.offers) <= MAX_SOURCES
    sources.record_offer(60.0, 1)
    assert len(sources.offers) == 1


# ---- all of it --------------------------------------------------------------------------------


def test_who_keeps_its_moment_is_known_and_who_comes_early_is_told_the_same_again() -> None:
    d = damper()
    first = d.record_arrival(100.0, "acme", "read", None, None, b"x")
    assert (first.is_retry, first.has_reservation, first.is_early) == (False, False, False)
    back = d.record_rejection(100.0, first.fingerprint)
    assert back.retry_after >= 0.2
    early = d.record_arrival(100.0 + back.retry_after / 4, "acme", "read", None, None, b"x")
    assert (early.is_retry, early.is_early) == (True, back.retry_after / 4 < back.retry_after - 0.1)
    told = d.record_rejection(100.0 + back.retry_after / 4, early.fingerprint)
    assert told.retry_after == pytest.approx(back.retry_after * 3 / 4, abs=0.06)
    kept = d.record_arrival(100.0 + back.retry_after + 0.05, "acme", "read", None, None, b"x")
    assert (kept.is_retry, kept.has_reservation, kept.is_early) == (True, True, False)
    late = d.record_arrival(100.0 + back.retry_after + 10.0, "acme", "read", None, None, b"x")
    assert late.is_retry and not late.has_reservation
    d.record_success(120.0, kept.fingerprint, True)
    assert d.reservations.get(kept.fingerprint) is None


def test_a_source_that_was_turned_back_unread_is_told_one_moment_until_then() -> None:
    d = damper()
    source = d.source_of("192.0.2.1")
    after = [d.reject_unread(100.0 + n * 0.05, source).retry_after + n * 0.05 for n in range(3)]
    assert max(after) - min(after) < 2 * TICK_SECONDS and d.source_of("192.0.2.2") != source


def test_a_crowd_is_let_in_last() -> None:
    d = damper()
    d.capacity_estimator.record_run(100.0, 0.2, False)  # 19 a second
    loud, quiet = d.source_of("loud"), d.source_of("quiet")
    seen = Counter[tuple[str, ConnectionAdmission]]()
    for n in range(2000):
        now = 100.0 + n * 0.01
        seen["loud", d.admit_connection(now, loud)] += 1
        if n % 50 == 0:
            seen["quiet", d.admit_connection(now, quiet)] += 1
    assert (
        seen["quiet", ConnectionAdmission.READ] >= 38
    )  # one may meet the bucket that the crowd has just emptied
    assert (
        seen["loud", ConnectionAdmission.REFUSE] > 1000
        and seen["loud", ConnectionAdmission.READ_LAST] > seen["loud", ConnectionAdmission.READ]
    )


def test_a_balancer_that_carries_much_is_no_crowd_while_there_is_room() -> None:
    d = damper(reading=0.05)
    for n in range(40):
        d.capacity_estimator.record_run(100.0 + n, 0.05, False)  # 20 a second and core
    balancer, seen = d.source_of("balancer"), Counter[ConnectionAdmission]()
    assert d.capacity(140.0) > 70
    for n in range(600):  # 60 a second, and one a second from each of eight others
        now = 140.0 + n / 60
        seen[d.admit_connection(now, balancer)] += 1
        if n % 60 == 0:
            assert all(
                d.admit_connection(now, d.source_of(f"other {k}")) is ConnectionAdmission.READ
                for k in range(8)
            )
    assert seen == {ConnectionAdmission.READ: 600}


def test_the_last_tokens_are_left_to_sources_that_come_seldom() -> None:
    """A flood's first second: nobody is known for a crowd yet, and a quiet source must still find a place."""
    d = damper(reading=0.25)
    d.capacity_estimator.record_run(100.0, 1.0, False)  # 4 a second
    loud, seen = d.source_of("loud"), Counter[ConnectionAdmission]()
    d.admit_connection(97.0, d.source_of("another"))  # so the crowd is not alone here
    for n in range(8):  # as many as the door's tokens and more, in half a second
        seen[d.admit_connection(100.0 + n * 0.05, loud)] += 1
    assert seen[ConnectionAdmission.REFUSE] >= 2
    assert d.admit_connection(100.45, d.source_of("quiet")) is ConnectionAdmission.READ


def test_a_source_alone_takes_all_tokens() -> None:
    d = damper(reading=0.25)
    d.capacity_estimator.record_run(100.0, 1.0, False)
    let_in = sum(
        d.admit_connection(100.0 + n * 0.01, d.source_of("balancer")) is not ConnectionAdmission.REFUSE
        for n in range(8)
    )
    assert let_in == MIN_BURST_TOKENS


def test_runs_that_share_the_cores_do_not_make_the_capacity_look_smaller() -> None:
    """Eight runs on two cores take four times as long as their work: 20 a second all the same."""
    rates = []
    for running in (2, 8):
        throughput = CapacityEstimator(WarmUpCurve(replace(SETTINGS, starts_cold=False), 0.0), 2, 0.0)
        for n in range(100):
            throughput.record_run(n * 0.05, 0.1 * running / 2, False, running)
        rates.append(throughput.warm_rate(5.0))
    assert rates == pytest.approx([20.0, 20.0])


def test_where_reading_is_cheap_the_module_chooses_among_more_than_can_run() -> None:
    passed = []
    for reading in (0.25, 0.05):
        gate = AdmissionTokenBucket(0.9, reading, lambda now: 20.0, lambda now: True)
        passed.append(sum(gate.admit(n * 0.005) for n in range(2000)))  # 200 a second for 10 s
    assert passed[0] <= 0.9 * 200 + 20 and passed[1] >= 3.5 * 200


def test_a_crowd_may_have_what_nobody_waits_for() -> None:
    """A source that is over its part is held back for the others' sake, not for its own."""
    rates = []
    for full in (True, False):
        gate = AdmissionTokenBucket(1.0, 0.25, lambda now: 20.0, lambda now: False)
        passed = 0
        for n in range(4000):  # 40 a second for 100 s
            passed += gate.admit(n * 0.025, leftover_only=True)
            if n % 2 == 0:
                gate.record_run(full)
        rates.append(passed / 100)
    assert rates[0] == pytest.approx(10.0, abs=0.5) and rates[1] > 18.0


def test_the_most_tries_of_one_piece_of_work_are_told() -> None:
    d = damper()
    for n in range(7):
        tried = d.record_arrival(100.0 + n, "a", "read", None, None, b"same")
        d.record_rejection(100.0 + n, tried.fingerprint)
    assert dict(d.figures(107.0))["storm.most_tries"] == 6


def test_memory_stays_within_its_bound_at_a_thousand_refusals_a_second() -> None:
    d, rng = damper(), random.Random(9)
    for n in range(20_000):
        d.record_rejection(100.0 + n * 0.001, rng.getrandbits(64))
    assert d.size_bytes() <= 1 << 20 and len(d.schedule.free_capacity) <= 60 / SLOT_SECONDS + 20


@pytest.mark.parametrize(
    ("raw", "reason"),
    [({"horizon": 0.1}, "storm.horizon"), ({"grace": "x"}, "storm.grace"), ({"hroizon": 3}, "hroizon")],
)
def test_a_wrong_table_names_its_field(raw: dict[str, object], reason: str) -> None:
    with pytest.raises(InvalidFieldError, match=reason):
        read_storm(raw)


def test_the_core_needs_no_storms() -> None:
    service = Service(SETTINGS, (), 1, lambda: 0.0, lambda event, **_: None)
    service.pool_started(False, 0.0)
    assert service.ports.storm_control is None
