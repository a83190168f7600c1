"""Deterministic subsetting: class assignment, shared rate limit, staggering, simulation and balancers."""

from __future__ import annotations

import random
from collections import Counter
from collections.abc import Sequence
from itertools import pairwise
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st

from saltcart.field_reader import InvalidFieldError
from saltcart.lab import subsets
from saltcart.membership.member_record import MemberRecord
from saltcart.subsetting.settings import FleetSettings, read_fleet
from saltcart.subsetting.shared_rate_limit import SharedRateLimit
from saltcart.subsetting.staggering import (
    GOLDEN_RATIO,
    StaggeredBackoff,
    next_staggered_time,
    phase,
    position_of,
)
from saltcart.subsetting.subset_assignment import (
    BUCKET_COUNT,
    bucket_index,
    encode_bucket,
    next_assignment,
    read_bucket,
    rendezvous_class,
    short_digest,
)
from saltcart.subsetting.subset_balancer import DEMAND_TOPIC, INSTANCES_TOPIC, MEMBERS_TOPIC, SubsetBalancer
from saltcart.wire.errors import MalformedMessageError

NAMES = st.lists(st.text("abcdef", min_size=1, max_size=6), max_size=40, unique=True)


# ---- assignment to classes --------------------------------------------------------------------


@given(NAMES, NAMES, st.integers(1, 6))
def test_class_sizes_differ_by_at_most_one(before: list[str], after: list[str], class_count: int) -> None:
    assignment = next_assignment(next_assignment({}, before, class_count), after, class_count)
    sizes = Counter(assignment.values())
    assert set(assignment) == set(after) and all(0 <= number < class_count for number in assignment.values())
    assert (
        max(sizes.values(), default=0) - min((sizes[number] for number in range(class_count)), default=0) <= 1
    )


@given(NAMES, st.text("xyz", min_size=1, max_size=3), st.integers(1, 6))
def test_a_join_moves_no_other_name_and_a_leave_at_most_one(
    names: list[str], new_name: str, class_count: int
) -> None:
    assignment = next_assignment({}, names, class_count)
    after_join = next_assignment(assignment, [*names, new_name], class_count)
    assert {name: after_join[name] for name in names} == assignment
    after_leave = next_assignment(after_join, names, class_count)
    assert sum(after_leave[name] != after_join[name] for name in names) <= 1


@given(NAMES, NAMES, st.integers(1, 6))
def test_the_number_of_moves_is_minimal(before: list[str], after: list[str], class_count: int) -> None:
    """The minimum is the surplus of the remaining names over the final class sizes.

    When the sizes differ by one, the classes with the most remaining names get the larger size.
    """
    assignment = next_assignment({}, before, class_count)
    moved = sum(
        next_assignment(assignment, after, class_count)[name] != assignment[name]
        for name in after
        if name in assignment
    )
    remaining = Counter(assignment[name] for name in after if name in assignment)
    quotient, remainder = divmod(len(set(after)), class_count)
    sizes = sorted((remaining[number] for number in range(class_count)), reverse=True)
    surplus = sum(max(0, size - (quotient + (n < remainder))) for n, size in enumerate(sizes))
    assert moved == surplus


@given(NAMES, st.integers(1, 6), st.randoms(use_true_random=False))
def test_the_assignment_does_not_depend_on_the_order_of_names(
    names: list[str], class_count: int, rng: random.Random
) -> None:
    shuffled = list(names)
    rng.shuffle(shuffled)
    assert next_assignment({}, names, class_count) == next_assignment({}, shuffled, class_count)


@given(NAMES, st.integers(1, 6))
def test_an_assignment_survives_encoding_in_buckets(names: list[str], class_count: int) -> None:
    assignment = next_assignment({}, names, class_count)
    buckets = [read_bucket(encode_bucket(assignment, index), class_count) for index in range(BUCKET_COUNT)]
    assert all(
        buckets[bucket_index(name)][short_digest(name)] == number for name, number in assignment.items()
    )
    assert sum(len(bucket) for bucket in buckets) == len(
        {(bucket_index(name), short_digest(name)) for name in names}
    )


def test_invalid_buckets_are_malformed_and_buckets_of_two_thousand_names_fit_into_registers() -> None:
    for invalid in (b"\xc1", encode_bucket({"a": 5}, bucket_index("a"))):
        with pytest.raises(MalformedMessageError):
            read_bucket(invalid, 2)
    assignment = next_assignment({}, [f"instance-{n}" for n in range(2000)], 25)
    assert max(len(encode_bucket(assignment, bucket)) for bucket in range(BUCKET_COUNT)) <= 900


# ---- shared rate limit ------------------------------------------------------------------------


def test_shares_add_up_to_the_limit_and_an_uncounted_instance_has_an_equal_share() -> None:
    demands, rate_limits = [5.0, 20.0, 75.0], [SharedRateLimit(100.0) for _ in range(3)]
    for rate_limit, demand in zip(rate_limits, demands):
        rate_limit.confirm(10.0, demand, sum(demands), 3)
    rates = [rate_limit.rate(10.0, 3) for rate_limit in rate_limits]
    assert sum(rates) == pytest.approx(100.0) and rates == sorted(rates) and rates[0] > 5.0
    assert SharedRateLimit(90.0).rate(10.0, 3) == pytest.approx(30.0)
    assert rate_limits[2].rate(40.0, 3) == pytest.approx(100 / 3, rel=0.01)  # unconfirmed for 15 half-lives


def test_a_shared_limit_is_not_exceeded_and_is_used() -> None:
    overshoot, used_share = subsets.measure_shared_limit(True, 5, True)
    overshoot_unshared, _ = subsets.measure_shared_limit(True, 5, False)
    assert overshoot <= 0.05 and used_share >= 0.85 and overshoot_unshared > 0.2


# ---- staggering -------------------------------------------------------------------------------


@given(st.integers(1, 3000))
def test_staggered_instances_are_evenly_spread_over_the_ticks_of_a_period(count: int) -> None:
    ticks = Counter(int(phase(position) * 100) for position in range(count))
    assert (
        max(ticks.values()) <= count / 100 + 3
    )  # the golden ratio's multiples deviate by little more than one


def test_a_staggered_time_comes_once_a_period() -> None:
    time, times = 100.0, list[float]()
    for _ in range(5):
        time = next_staggered_time(time, 2.0, 7)
        times.append(time)
    assert [later - earlier for earlier, later in pairwise(times)] == pytest.approx([2.0] * 4)
    assert times[0] % 2.0 == pytest.approx(2.0 * (7 * GOLDEN_RATIO % 1.0))


def test_retries_back_off_exponentially_and_are_spread_over_the_instances() -> None:
    times = [StaggeredBackoff(0.5, 8.0).record_failure(100.0, position) for position in range(400)]
    assert all(100.25 <= time <= 101.01 for time in times)
    assert max(Counter(int(time * 100) for time in times).values()) / 400 <= 0.05
    backoff, delays = StaggeredBackoff(0.5, 8.0), list[float]()
    for _ in range(8):
        delays.append(backoff.record_failure(100.0, 3) - 100.0)
    assert delays[-1] <= 12.0 and max(delays) > 4.0
    backoff.record_success()
    assert backoff.record_failure(100.0, 3) - 100.0 == delays[0]


def test_a_position_is_that_among_the_sorted_names() -> None:
    assert [position_of(name, ["a", "c", "e"]) for name in ("a", "c", "d")] == [0, 1, 2]


# ---- simulation -------------------------------------------------------------------------------


def test_stored_assignments_are_even_with_few_moves_and_the_alternatives_are_not_both() -> None:
    rng = random.Random(2)
    for name, states in subsets.scenarios(True, rng):
        class_count = 2 if name == "grow and shrink" else 6
        spread, churn, _ = subsets.measure_scenario(subsets.AssignmentTablePolicy(class_count, 1), states)
        assert spread <= 1.2 and churn <= 1.5, name
    grow = subsets.scenarios(True, random.Random(2))[0][1]
    assert subsets.measure_scenario(subsets.RandomPolicy(2, 1), grow)[0] > 1.5
    assert subsets.measure_scenario(subsets.ShuffledRoundsPolicy(2, 1), grow)[1] > 3


# ---- instances that exchange messages ---------------------------------------------------------


class SimulatedFleet:
    """Instances whose register writes and direct messages arrive at once."""

    def __init__(self, count: int, host_count: int, capacity: float = 0.0, **settings: Any) -> None:
        self.now, self.settings = 100.0, FleetSettings(upstream="u", **settings)
        self.hosts = {f"h{n}": capacity for n in range(host_count)}
        self.instances = dict[str, SubsetBalancer]()
        for n in range(count):
            self.join(f"i{n:02}")

    def join(self, name: str) -> None:
        self.instances[name] = SubsetBalancer(
            self.settings,
            self.hosts,
            name,
            random.Random(name),
            SimulatedMembership(self, name),
            lambda host: 1.0,
            self.now,
        )
        if len(self.instances) > 1:  # anti-entropy brings the registers that were written before
            other = next(instance for other_name, instance in self.instances.items() if other_name != name)
            self.instances[name].assignments = {
                topic: dict(buckets) for topic, buckets in other.assignments.items()
            }
            self.instances[name]._update_subset()

    def run(self, seconds: float, demand: float = 0.0) -> None:
        """Let time pass; each instance gets ``demand`` requests per second."""
        rng = random.Random(3)
        for _ in range(int(seconds * 20)):
            self.now += 0.05
            for instance in list(self.instances.values()):
                if rng.random() < demand * 0.05:
                    instance.admit(self.now)
                instance.tick(self.now)

    def client_counts(self) -> Counter[str]:
        """Return the number of instances that connect to each member."""
        return Counter(host for instance in self.instances.values() for host in instance.subset)


class SimulatedMembership:
    def __init__(self, fleet: SimulatedFleet, name: str) -> None:
        self.fleet, self.name = fleet, name

    def present(self) -> Sequence[str]:
        return sorted(self.fleet.instances)

    def write_register(self, topic: str, data: bytes) -> None:
        for instance in self.fleet.instances.values():
            instance.on_register_changed(self.fleet.now, topic, data)

    def send_direct(self, name: str, topic: str, data: bytes) -> None:
        if name in self.fleet.instances:
            self.fleet.instances[name].on_direct_message(
                self.fleet.now, MemberRecord(self.name, "h:1", 1), topic, data
            )


def test_all_members_have_the_same_number_of_clients_as_instances_join_and_leave() -> None:
    fleet = SimulatedFleet(10, 8)
    fleet.run(3.0)
    assert set(fleet.client_counts().values()) == {5} and len(fleet.client_counts()) == 8
    before = {name: instance.subset for name, instance in fleet.instances.items()}
    fleet.join("i99")
    fleet.run(3.0)
    assert all(fleet.instances[name].subset == subset for name, subset in before.items())  # no other moves
    del fleet.instances["i00"]  # the leader; the next instance by name takes over
    del fleet.instances["i02"]
    fleet.run(4.0)
    assert max(fleet.client_counts().values()) - min(fleet.client_counts().values()) <= 1


def test_shares_of_a_limit_follow_demand() -> None:
    fleet = SimulatedFleet(4, 4, capacity=20.0, classes=1)
    fleet.run(3.0)
    busy_instance = fleet.instances["i01"]
    for _ in range(400):
        fleet.now += 0.02
        busy_instance.admit(fleet.now)
        for instance in fleet.instances.values():
            instance.tick(fleet.now)
    rates = {
        name: instance.rate_limit.rate(fleet.now, instance.client_count())
        for name, instance in fleet.instances.items()
    }
    assert rates["i01"] > 0.8 * 80 and sum(rates.values()) <= 1.05 * 80
    assert busy_instance.rejected_count < 20


def test_requests_above_the_limit_are_rejected_at_once() -> None:
    fleet = SimulatedFleet(2, 2, capacity=5.0, classes=1)
    fleet.run(3.0)
    before = {name: instance.rejected_count for name, instance in fleet.instances.items()}
    admitted = 0
    for _ in range(1000):
        fleet.now += 0.01
        for instance in fleet.instances.values():
            admitted += instance.admit(fleet.now)
            instance.tick(fleet.now)
    assert admitted <= 10 * 10 * 1.05 + 6 and all(
        instance.rejected_count > before[name] for name, instance in fleet.instances.items()
    )


def test_attempts_leave_the_subset_only_when_all_of_it_was_tried() -> None:
    fleet = SimulatedFleet(2, 4)
    fleet.run(3.0)
    instance = fleet.instances["i00"]
    subset = set(instance.subset)
    assert {instance.choose(fleet.now, set()) for _ in range(50)} <= subset
    assert instance.choose(fleet.now, subset) in set(fleet.hosts) - subset
    assert instance.choose(fleet.now, set(fleet.hosts)) is None


def test_the_choice_of_a_member_includes_the_load_of_the_whole_class() -> None:
    fleet = SimulatedFleet(3, 4, classes=1)
    for instance in fleet.instances.values():
        instance.load = lambda host: 30.0 if host == "h0" else 1.0
    fleet.run(4.0)
    idle_instance = fleet.instances["i00"]
    idle_instance.load = lambda host: 1.0  # only the other two instances still load h0
    chosen = Counter(idle_instance.choose(fleet.now, set()) for _ in range(400))
    assert chosen["h0"] < 60  # only when both draws are h0
    idle_instance.subset_loads = {}
    assert Counter(idle_instance.choose(fleet.now, set()) for _ in range(400))["h0"] > 60


def test_a_member_that_refused_a_connection_is_in_staggered_exponential_backoff() -> None:
    fleet = SimulatedFleet(4, 4, classes=1)
    fleet.run(3.0)
    delays = []
    for instance in fleet.instances.values():
        instance.record_outcome(fleet.now, "h0", False, True)
        assert all(instance.choose(fleet.now, set()) != "h0" for _ in range(60))
        delays.append(instance.backoff_until["h0"] - fleet.now)
        assert any(instance.choose(fleet.now + delays[-1], set()) == "h0" for _ in range(60))
    assert len({round(delay, 2) for delay in delays}) == 4 and max(delays) <= 1.0  # no two at the same time
    one_instance = fleet.instances["i00"]
    for _ in range(4):
        one_instance.record_outcome(fleet.now, "h0", False, True)
    assert one_instance.backoff_until["h0"] - fleet.now > 2.0
    one_instance.record_outcome(fleet.now, "h0", True, False)
    assert "h0" not in one_instance.backoff_until


def test_an_instance_without_an_assignment_has_a_class_and_malformed_values_are_reported() -> None:
    fleet = SimulatedFleet(1, 6)
    instance = fleet.instances["i00"]
    assert instance.own_class == rendezvous_class("i00", 2) and instance.subset
    for topic in (f"{MEMBERS_TOPIC}0", f"{INSTANCES_TOPIC}3", f"{DEMAND_TOPIC}1"):
        with pytest.raises(MalformedMessageError):
            instance.on_register_changed(1.0, topic, b"\xc1")
    instance.on_register_changed(1.0, "fleet/members/x", b"\xc1")  # not a bucket's topic


@pytest.mark.parametrize(
    ("raw", "reason"),
    [
        ({}, "fleet: .*upstream"),
        ({"upstream": "u", "classes": 0}, "fleet.classes"),
        ({"upstream": "u", "klasses": 2}, "klasses"),
    ],
)
def test_an_invalid_setting_is_reported_with_its_field(raw: dict[str, object], reason: str) -> None:
    with pytest.raises(InvalidFieldError, match=reason):
        read_fleet(raw)
