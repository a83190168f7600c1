"""Choices that add up: classes of equal size with few moves, shares of a limit, turns, and all together."""

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


# ---- classes ----------------------------------------------------------------------------------


@given(NAMES, NAMES, st.integers(1, 6))
def test_classes_are_of_equal_size(before: list[str], after: list[str], classes: int) -> None:
    table = next_assignment(next_assignment({}, before, classes), after, classes)
    sizes = Counter(table.values())
    assert set(table) == set(after) and all(0 <= c < classes for c in table.values())
    assert max(sizes.values(), default=0) - min((sizes[c] for c in range(classes)), default=0) <= 1


@given(NAMES, st.text("xyz", min_size=1, max_size=3), st.integers(1, 6))
def test_a_join_moves_nobody_and_a_leave_one_at_most(names: list[str], new: str, classes: int) -> None:
    table = next_assignment({}, names, classes)
    joined = next_assignment(table, [*names, new], classes)
    assert {n: joined[n] for n in names} == table
    left = next_assignment(joined, names, classes)
    assert sum(left[n] != joined[n] for n in names) <= 1


@given(NAMES, NAMES, st.integers(1, 6))
def test_no_more_names_move_than_must(before: list[str], after: list[str], classes: int) -> None:
    """What is over in the classes once those gone have left and those new have taken what is free."""
    table = next_assignment({}, before, classes)
    moved = sum(next_assignment(table, after, classes)[n] != table[n] for n in after if n in table)
    kept = Counter(table[n] for n in after if n in table)
    whole, rest = divmod(len(set(after)), classes)
    tops = sorted((kept[c] for c in range(classes)), reverse=True)
    must = sum(max(0, size - (whole + (n < rest))) for n, size in enumerate(tops))
    assert moved == must


@given(NAMES, st.integers(1, 6), st.randoms(use_true_random=False))
def test_the_same_follows_in_whatever_order(names: list[str], classes: int, luck: random.Random) -> None:
    shuffled = list(names)
    luck.shuffle(shuffled)
    assert next_assignment({}, names, classes) == next_assignment({}, shuffled, classes)


@given(NAMES, st.integers(1, 6))
def test_a_table_comes_over_in_its_parts(names: list[str], classes: int) -> None:
    table = next_assignment({}, names, classes)
    parts = [read_bucket(encode_bucket(table, part), classes) for part in range(BUCKET_COUNT)]
    assert all(parts[bucket_index(n)][short_digest(n)] == c for n, c in table.items())
    assert sum(len(p) for p in parts) == len({(bucket_index(n), short_digest(n)) for n in names})


def test_what_is_no_part_is_malformed_and_two_thousand_names_fit() -> None:
    for wrong in (b"\xc1", encode_bucket({"a": 5}, bucket_index("a"))):
        with pytest.raises(MalformedMessageError):
            read_bucket(wrong, 2)
    table = next_assignment({}, [f"instance-{n}" for n in range(2000)], 25)
    assert max(len(encode_bucket(table, part)) for part in range(BUCKET_COUNT)) <= 900


# ---- shares -----------------------------------------------------------------------------------


def test_parts_add_up_to_the_whole_and_who_is_not_counted_has_an_equal_one() -> None:
    demands, shares = [5.0, 20.0, 75.0], [SharedRateLimit(100.0) for _ in range(3)]
    for share, demand in zip(shares, demands):
        share.confirm(10.0, demand, sum(demands), 3)
    rates = [share.rate(10.0, 3) for share in shares]
    assert sum(rates) == pytest.approx(100.0) and rates == sorted(rates) and rates[0] > 5.0
    assert SharedRateLimit(90.0).rate(10.0, 3) == pytest.approx(30.0)
    assert shares[2].rate(40.0, 3) == pytest.approx(100 / 3, rel=0.01)  # nobody has confirmed it for long


def test_a_shared_limit_is_not_overshot_and_is_used() -> None:
    over, used = subsets.limits(True, 5, True)
    alone, _ = subsets.limits(True, 5, False)
    assert over <= 0.05 and used >= 0.85 and alone > 0.2


# ---- turns ------------------------------------------------------------------------------------


@given(st.integers(1, 3000))
def test_no_tick_has_more_than_its_part_of_the_turns(count: int) -> None:
    ticks = Counter(int(phase(n) * 100) for n in range(count))
    assert max(ticks.values()) <= count / 100 + 3  # an even sequence is off by little more than one


def test_a_turn_comes_once_a_period() -> None:
    at, turns = 100.0, list[float]()
    for _ in range(5):
        at = next_staggered_time(at, 2.0, 7)
        turns.append(at)
    assert [b - a for a, b in pairwise(turns)] == pytest.approx([2.0] * 4)
    assert turns[0] % 2.0 == pytest.approx(2.0 * (7 * GOLDEN_RATIO % 1.0))


def test_retries_wait_longer_each_time_and_not_together() -> None:
    moments = [StaggeredBackoff(0.5, 8.0).record_failure(100.0, n) for n in range(400)]
    assert all(100.25 <= m <= 101.01 for m in moments)
    assert max(Counter(int(m * 100) for m in moments).values()) / 400 <= 0.05
    retry, waits = StaggeredBackoff(0.5, 8.0), list[float]()
    for _ in range(8):
        waits.append(retry.record_failure(100.0, 3) - 100.0)
    assert waits[-1] <= 12.0 and max(waits) > 4.0
    retry.record_success()
    assert retry.record_failure(100.0, 3) - 100.0 == waits[0]


def test_a_place_is_that_among_the_sorted_names() -> None:
    assert [position_of(n, ["a", "c", "e"]) for n in ("a", "c", "d")] == [0, 1, 2]


# ---- the model --------------------------------------------------------------------------------


def test_kept_tables_are_even_with_few_moves_where_the_others_are_one_or_the_other() -> None:
    luck = random.Random(2)
    for name, states in subsets.steps(True, luck):
        classes = 2 if name == "grow and shrink" else 6
        spread, churn, _ = subsets.play(subsets.Kept(classes, 1), states)
        assert spread <= 1.2 and churn <= 1.5, name
    grow = subsets.steps(True, random.Random(2))[0][1]
    assert subsets.play(subsets.Random(2, 1), grow)[0] > 1.5
    assert subsets.play(subsets.Rounds(2, 1), grow)[1] > 3


# ---- instances that speak ---------------------------------------------------------------------


class Town:
    """Instances whose posts arrive at once."""

    def __init__(self, count: int, hosts: int, capacity: float = 0.0, **more: Any) -> None:
        self.now, self.conf = 100.0, FleetSettings(upstream="u", **more)
        self.hosts = {f"h{n}": capacity for n in range(hosts)}
        self.instances = dict[str, SubsetBalancer]()
        for n in range(count):
            self.join(f"i{n:02}")

    def join(self, name: str) -> None:
        self.instances[name] = SubsetBalancer(
            self.conf,
            self.hosts,
            name,
            random.Random(name),
            SimulatedMembership(self, name),
            lambda host: 1.0,
            self.now,
        )
        if len(self.instances) > 1:  # what it missed comes with the next comparison
            other = next(i for n, i in self.instances.items() if n != name)
            self.instances[name].assignments = {k: dict(v) for k, v in other.assignments.items()}
            self.instances[name]._update_subset()

    def run(self, seconds: float, demand: float = 0.0) -> None:
        luck = random.Random(3)
        for _ in range(int(seconds * 20)):
            self.now += 0.05
            for i in list(self.instances.values()):
                if luck.random() < demand * 0.05:
                    i.admit(self.now)
                i.tick(self.now)

    def clients(self) -> Counter[str]:
        return Counter(h for i in self.instances.values() for h in i.subset)


class SimulatedMembership:
    def __init__(self, town: Town, name: str) -> None:
        self.fleet, self.name = town, name

    def present(self) -> Sequence[str]:
        return sorted(self.fleet.instances)

    def write_register(self, topic: str, data: bytes) -> None:
        for i in self.fleet.instances.values():
            i.on_register_changed(self.fleet.now, topic, data)

    def send_direct(self, name: str, topic: str, data: bytes) -> None:
        if name in self.fleet.instances:
            self.fleet.instances[name].on_direct_message(
                self.fleet.now, MemberRecord(self.name, "h:1", 1), topic, data
            )


def test_all_members_get_the_same_number_of_clients_as_instances_come_and_go() -> None:
    town = Town(10, 8)
    town.run(3.0)
    assert set(town.clients().values()) == {5} and len(town.clients()) == 8
    before = {n: i.subset for n, i in town.instances.items()}
    town.join("i99")
    town.run(3.0)
    assert all(town.instances[n].subset == s for n, s in before.items())  # nobody else moves
    del town.instances["i00"]  # the one that follows the tables: the next does
    del town.instances["i02"]
    town.run(4.0)
    assert max(town.clients().values()) - min(town.clients().values()) <= 1


def test_parts_of_a_limit_follow_what_is_asked() -> None:
    town = Town(4, 4, capacity=20.0, classes=1)
    town.run(3.0)
    busy = town.instances["i01"]
    for _ in range(400):
        town.now += 0.02
        busy.admit(town.now)
        for i in town.instances.values():
            i.tick(town.now)
    rates = {n: i.rate_limit.rate(town.now, i.client_count()) for n, i in town.instances.items()}
    assert rates["i01"] > 0.8 * 80 and sum(rates.values()) <= 1.05 * 80
    assert busy.rejected_count < 20


def test_what_is_past_the_limit_is_refused_at_once() -> None:
    town = Town(2, 2, capacity=5.0, classes=1)
    town.run(3.0)
    before = {n: i.rejected_count for n, i in town.instances.items()}
    let_in = 0
    for _ in range(1000):
        town.now += 0.01
        for i in town.instances.values():
            let_in += i.admit(town.now)
            i.tick(town.now)
    assert let_in <= 10 * 10 * 1.05 + 6 and all(
        i.rejected_count > before[n] for n, i in town.instances.items()
    )


def test_further_tries_leave_the_subset_only_when_it_is_used_up() -> None:
    town = Town(2, 4)
    town.run(3.0)
    one = town.instances["i00"]
    mine = set(one.subset)
    assert {one.choose(town.now, set()) for _ in range(50)} <= mine
    assert one.choose(town.now, mine) in set(town.hosts) - mine
    assert one.choose(town.now, set(town.hosts)) is None


def test_the_choice_goes_by_what_the_whole_class_has_under_way() -> None:
    town = Town(3, 4, classes=1)
    for i in town.instances.values():
        i.load = lambda host: 30.0 if host == "h0" else 1.0  # two others keep it busy, too
    town.run(4.0)
    one = town.instances["i00"]
    one.load = lambda host: 1.0  # of its own it has nothing there
    drawn = Counter(one.choose(town.now, set()) for _ in range(400))
    assert drawn["h0"] < 60  # only where both draws are the busy one
    one.subset_loads = {}
    assert Counter(one.choose(town.now, set()) for _ in range(400))["h0"] > 60


def test_a_member_that_refused_is_left_alone_until_the_own_turn_and_longer_each_time() -> None:
    town = Town(4, 4, classes=1)
    town.run(3.0)
    waits = []
    for i in town.instances.values():
        i.record_outcome(town.now, "h0", False, True)
        assert all(i.choose(town.now, set()) != "h0" for _ in range(60))
        waits.append(i.backoff_until["h0"] - town.now)
        assert any(i.choose(town.now + waits[-1], set()) == "h0" for _ in range(60))
    assert len({round(w, 2) for w in waits}) == 4 and max(waits) <= 1.0  # not two at the same moment
    one = town.instances["i00"]
    for _ in range(4):
        one.record_outcome(town.now, "h0", False, True)
    assert one.backoff_until["h0"] - town.now > 2.0
    one.record_outcome(town.now, "h0", True, False)
    assert "h0" not in one.backoff_until


def test_who_knows_no_table_still_has_a_class() -> None:
    town = Town(1, 6)
    one = town.instances["i00"]
    assert one.own_class == rendezvous_class("i00", 2) and one.subset
    for topic in (f"{MEMBERS_TOPIC}0", f"{INSTANCES_TOPIC}3", f"{DEMAND_TOPIC}1"):
        with pytest.raises(MalformedMessageError):
            one.on_register_changed(1.0, topic, b"\xc1")
    one.on_register_changed(1.0, "fleet/members/x", b"\xc1")  # no topic of ours


@pytest.mark.parametrize(
    ("raw", "reason"),
    [
        ({}, "fleet: .*upstream"),
        ({"upstream": "u", "classes": 0}, "fleet.classes"),
        ({"upstream": "u", "klasses": 2}, "klasses"),
    ],
)
def test_a_wrong_table_names_its_field(raw: dict[str, object], reason: str) -> None:
    with pytest.raises(InvalidFieldError, match=reason):
        read_fleet(raw)
