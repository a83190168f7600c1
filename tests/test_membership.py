"""Membership without sockets: merging of views, the protocol's decisions, datagrams and settings."""

from __future__ import annotations

import random
from collections.abc import Callable
from itertools import pairwise
from math import ceil

import pytest
from hypothesis import given
from hypothesis import strategies as st

from saltcart.config import ConfigError
from saltcart.deployment import read_deployment
from saltcart.field_reader import InvalidFieldError
from saltcart.membership import messages
from saltcart.membership.dissemination import UpdateQueue, retransmit_limit
from saltcart.membership.member import Member
from saltcart.membership.member_record import MemberRecord, MemberState
from saltcart.membership.settings import MemberSettings, read_member
from saltcart.membership.suspicion import LocalHealth, Suspicion
from saltcart.membership.view import MembershipSnapshot, MembershipView, ProbeRotation
from saltcart.wire.errors import MalformedMessageError

SETTINGS = MemberSettings("127.0.0.1:0", "test")
MEMBER_RECORDS = st.builds(
    MemberRecord,
    name=st.sampled_from("abcde"),
    address=st.sampled_from(["127.0.0.1:1", "127.0.0.1:2"]),
    incarnation=st.integers(1, 4),
    state=st.sampled_from(list(MemberState)),
    zone=st.sampled_from(["", "z"]),
)


def records_by_name(view: MembershipView) -> dict[str, MemberRecord]:
    return {record.name: record for record in view}


def merged_view(records: list[MemberRecord], snapshot: MembershipSnapshot | None = None) -> MembershipView:
    view = MembershipView(snapshot)
    for record in records:
        view.merge(record, 0.0)
    return view


# ---- views ------------------------------------------------------------------------------------


@given(st.lists(MEMBER_RECORDS, max_size=12), st.randoms(use_true_random=False))
def test_merge_order_and_duplicates_do_not_change_the_view(
    records: list[MemberRecord], rng: random.Random
) -> None:
    shuffled = records + records[: len(records) // 2]  # some of them twice
    rng.shuffle(shuffled)
    view, shuffled_view = merged_view(records), merged_view(shuffled)
    assert records_by_name(view) == records_by_name(shuffled_view) and view.digest == shuffled_view.digest
    assert view.present_count == shuffled_view.present_count == sum(r.is_present for r in view)


@given(st.lists(MEMBER_RECORDS, max_size=12))
def test_merging_is_idempotent_and_a_higher_incarnation_wins(records: list[MemberRecord]) -> None:
    view = merged_view(records)
    version = view.version
    assert all(view.merge(r, 1.0) is None for r in records) and view.version == version
    for record in records:
        known = view.get(record.name)
        assert known is not None and known.incarnation == max(
            r.incarnation for r in records if r.name == record.name
        )


@given(st.lists(MEMBER_RECORDS, max_size=8), st.lists(MEMBER_RECORDS, max_size=8))
def test_a_view_based_on_a_snapshot_equals_one_built_by_merging(
    initial: list[MemberRecord], later: list[MemberRecord]
) -> None:
    present = [r.reported_as(MemberState.ALIVE, "") for r in merged_view(initial)]
    snapshot = MembershipSnapshot(present)
    based_view, plain_view = merged_view(later, snapshot), merged_view(present + later)
    assert (
        records_by_name(based_view) == records_by_name(plain_view)
        and based_view.digest == plain_view.digest
        and based_view.present_count == plain_view.present_count
    )
    assert merged_view([], snapshot).digest == merged_view(present).digest  # the snapshot is not changed


@given(st.lists(MEMBER_RECORDS, max_size=12))
def test_the_digest_covers_present_members_only(records: list[MemberRecord]) -> None:
    view = merged_view(records)
    present_view = merged_view([r for r in view if r.is_present])
    assert view.digest == present_view.digest
    forgotten = view.forget(1.0)
    assert set(forgotten) == {r.name for r in records} - set(records_by_name(view))
    assert view.digest == present_view.digest and all(r.is_present for r in view) and not view.tombstone_times


def test_forget_removes_only_old_tombstones_and_reuses_their_positions() -> None:
    view = merged_view([MemberRecord(n, "h:1", 1) for n in "abcd"])
    view.merge(MemberRecord("b", "h:1", 1, MemberState.DEAD), 5.0)
    view.merge(MemberRecord("c", "h:1", 1, MemberState.LEFT), 9.0)
    assert view.forget(6.0) == ["b"] and view.get("b") is None and view.get("c") is not None
    assert sorted(r.name for r in view) == ["a", "c", "d"]
    view.merge(MemberRecord("e", "h:1", 1), 10.0)
    assert sorted(r.name for r in view) == ["a", "c", "d", "e"] and view.present_count == 3


def test_a_sample_has_distinct_present_members_only() -> None:
    view, rng = merged_view([MemberRecord(f"m{n}", "h:1", 1) for n in range(60)]), random.Random(1)
    for n in range(0, 60, 2):
        view.merge(MemberRecord(f"m{n}", "h:1", 1, MemberState.DEAD), 0.0)
    for _ in range(50):
        drawn = [r.name for r in view.sample(rng, 5, {"m1"})]
        assert len(set(drawn)) == 5 and "m1" not in drawn and all(int(n[1:]) % 2 for n in drawn)
    assert len(view.sample(rng, 100, set())) == 30


@pytest.mark.parametrize("size", [1, 2, 7, 60])
def test_a_rotation_yields_each_index_once_per_round(size: int) -> None:
    rotation = ProbeRotation(random.Random(3))
    rounds = [[rotation.next(size) for _ in range(size)] for _ in range(4)]
    assert all(sorted(indexes) == list(range(size)) for indexes in rounds)
    assert size < 7 or len({tuple(indexes) for indexes in rounds}) > 1


# ---- dissemination ----------------------------------------------------------------------------


def test_updates_are_sent_least_sent_first_and_a_bounded_number_of_times() -> None:
    queue, sent_counts = UpdateQueue(), dict[str, int]()
    for n in range(6):
        queue.put(MemberRecord(f"m{n}", "h:1", 1))
    available_bytes = 3 * MemberRecord("m0", "h:1", 1).max_encoded_bytes()
    while taken := queue.take(available_bytes, 4):
        assert len(taken) <= 3
        for record in taken:
            sent_counts[record.name] = sent_counts.get(record.name, 0) + 1
        assert max(sent_counts.values()) - min(sent_counts.get(f"m{n}", 0) for n in range(6)) <= 1
    assert set(sent_counts.values()) == {4} and len(queue) == 0


def test_a_newer_report_replaces_an_older_one_in_the_queue() -> None:
    queue = UpdateQueue()
    queue.put(MemberRecord("a", "h:1", 1))
    queue.take(1000, 3)
    queue.put(MemberRecord("a", "h:1", 2))
    assert [r.incarnation for _ in range(4) for r in queue.take(1000, 3)] == [2, 2, 2]


def test_the_retransmit_limit_grows_logarithmically() -> None:
    assert retransmit_limit(25) < retransmit_limit(10_000) <= 3 * retransmit_limit(25)


# ---- suspicion --------------------------------------------------------------------------------


def test_a_suspicion_shortens_with_each_confirmation_down_to_its_minimum() -> None:
    suspicion, end_times = Suspicion(10.0, 1, 2.0, 6.0, 3), list[float]()
    for accuser in ("a", "a", "b", "c", "d", "e", "f"):
        suspicion.confirm(accuser)
        end_times.append(suspicion.ends_at())
    assert end_times[0] == end_times[1] == 16.0 and end_times == sorted(end_times, reverse=True)
    assert end_times[-1] == pytest.approx(12.0) and end_times[4] == pytest.approx(12.0)
    assert Suspicion(10.0, 1, 2.0, 6.0, 0).ends_at() == 12.0  # no other member could confirm it


@pytest.mark.parametrize("seed", range(1, 11))
def test_a_member_probes_a_suspect_that_answers_it_once_an_interval(
    seed: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    # Guards against a timer that was set to a time in the past: probes without end at one moment.
    member = Member(SETTINGS, "a", "127.0.0.1:1", random.Random(seed), 0.0, 1)
    probe_times = list[float]()
    member.context.timers.heap.clear()  # no probes but those of the suspicion
    monkeypatch.setattr(member.prober, "probe", lambda target: probe_times.append(member.context.now))
    reports = [MemberRecord(name, f"127.0.0.1:{port}", 1) for port, name in enumerate("bcd", 2)]
    for record in reports:
        member.view.merge(record, 0.0)
    member.suspicion_tracker.merge_report(reports[0].reported_as(MemberState.SUSPECT, "c"))
    tick_count = 0
    while (due := member.next_due()) is not None and due < 60.0 and tick_count < 10_000:
        member.tick(due)
        tick_count += 1
    assert tick_count < 10_000  # otherwise time stands still
    intervals = [later - earlier for earlier, later in pairwise(probe_times)]
    # A verifying probe may come before the first one of the timer.
    assert len(intervals) > 50 and min(intervals[1:]) >= 0.8 * SETTINGS.probe_every


def test_a_suspect_is_pinged_in_one_sequence_however_often_it_is_accused() -> None:
    # Guards against one more sequence of pings, until the suspicion ends, with each probe that fails.
    member = Member(SETTINGS, "a", "127.0.0.1:1", random.Random(1), 0.0, 1)
    member.context.timers.heap.clear()  # no pings but those of the suspicion
    suspect = MemberRecord("b", "127.0.0.1:2", 1)
    member.view.merge(suspect, 0.0)
    for _ in range(5):
        member.suspicion_tracker.accuse(suspect)
    member.take_outgoing()
    member.tick(SETTINGS.probe_wait)
    pings = [d for _, d in member.take_outgoing() if isinstance(d.message, messages.Ping)]
    assert len(pings) == 1


def test_the_local_health_score_is_bounded() -> None:
    health = LocalHealth()
    health.adjust(-3)
    assert health.scaled(2.0) == 2.0
    health.adjust(99)
    assert health.scaled(2.0) == 2.0 * (1 + LocalHealth.MAX_SCORE)


# ---- protocol of several members in memory ----------------------------------------------------


class SimulatedNetwork:
    """Members whose datagrams arrive at once, unless ``is_lost`` drops them; time advances by 10 ms."""

    def __init__(self, count: int, seed: int = 1, **overrides: object) -> None:
        self.now, self.rng = 100.0, random.Random(seed)
        self.is_lost: Callable[[str, str, messages.Datagram], bool] = lambda sender, receiver, datagram: False
        network_settings = MemberSettings("127.0.0.1:0", "test", seeds=("127.0.0.1:1",), **overrides)  # type: ignore[arg-type]
        self.settings, self.members = network_settings, dict[str, Member]()
        for n in range(1, count + 1):
            self.join(n)

    def join(self, number: int, initial_incarnation: int = 1000, name: str | None = None) -> Member:
        address = f"127.0.0.1:{number}"
        member = Member(
            self.settings,
            name or f"m{number}",
            address,
            random.Random(self.rng.random()),
            self.now,
            initial_incarnation,
        )
        self.members[address] = member
        return member

    def run(self, seconds: float, is_done: Callable[[], bool] = lambda: False) -> float:
        """Advance the time until ``is_done`` holds, at most by ``seconds``; return the elapsed seconds."""
        started_at = self.now
        while self.now - started_at < seconds and not is_done():
            self.now += 0.01
            for address, member in list(self.members.items()):
                member.tick(self.now)
                for receiver_address, datagram in member.take_outgoing():
                    receiver = self.members.get(receiver_address)
                    if receiver is not None and not self.is_lost(address, receiver_address, datagram):
                        receiver.receive(self.now, messages.decode(messages.encode(datagram)))
                        assert len(messages.encode(datagram)) <= messages.MAX_DATAGRAM_BYTES
        return self.now - started_at

    def agrees_on(self, *names: str) -> bool:
        return all(
            {record.name for record in member.view if record.is_present} == set(names)
            for member in self.members.values()
        ) and (len({member.view.digest for member in self.members.values()}) == 1)

    def observed_state(self, observer: int, name: str) -> MemberState | None:
        record = self.members[f"127.0.0.1:{observer}"].view.get(name)
        return None if record is None else MemberState(record.state)


def member_names(*numbers: int) -> tuple[str, ...]:
    return tuple(f"m{n}" for n in numbers)


def test_members_join_through_one_seed() -> None:
    network = SimulatedNetwork(7)
    assert network.run(10, lambda: network.agrees_on(*member_names(*range(1, 8)))) < 5


def test_a_crashed_member_is_suspected_and_then_declared_dead() -> None:
    network = SimulatedNetwork(5)
    network.run(3)
    del network.members["127.0.0.1:4"]
    elapsed_seconds = network.run(20, lambda: network.agrees_on(*member_names(1, 2, 3, 5)))
    assert SETTINGS.suspect_for * SETTINGS.probe_every <= elapsed_seconds < 6
    states = [
        change.record.state
        for change in network.members["127.0.0.1:1"].view.history
        if change.record.name == "m4"
    ]
    assert states.index(MemberState.SUSPECT) < states.index(MemberState.DEAD)


def test_a_paused_member_refutes_its_suspicion_and_is_not_declared_dead() -> None:
    network = SimulatedNetwork(5)
    network.run(3)
    paused = network.members.pop("127.0.0.1:4")
    network.run(3 * SETTINGS.probe_every)
    assert any(network.observed_state(n, "m4") == MemberState.SUSPECT for n in (1, 2, 3, 5))
    paused.tick(network.now)
    paused.take_outgoing()
    network.members["127.0.0.1:4"] = paused
    network.run(6)
    assert network.agrees_on(*member_names(1, 2, 3, 4, 5)) and paused.refuted_count >= 1
    assert not any(
        change.record.state == MemberState.DEAD
        for member in network.members.values()
        for change in member.view.history
    )


def test_indirect_probes_prevent_a_false_death_over_a_broken_link() -> None:
    network = SimulatedNetwork(5)
    network.run(3)
    network.is_lost = lambda sender, receiver, datagram: (sender, receiver) == ("127.0.0.1:1", "127.0.0.1:2")
    network.run(20)
    assert network.agrees_on(*member_names(1, 2, 3, 4, 5))
    assert not any(
        change.record.state == MemberState.DEAD
        for member in network.members.values()
        for change in member.view.history
    )


def test_without_indirect_probes_a_broken_link_causes_a_suspicion() -> None:
    network = SimulatedNetwork(5, helpers=0)
    network.run(3)
    network.is_lost = lambda sender, receiver, datagram: (sender, receiver) == ("127.0.0.1:1", "127.0.0.1:2")
    network.run(20)
    assert any(
        change.record.state == MemberState.SUSPECT
        for member in network.members.values()
        for change in member.view.history
    )


def test_a_partitioned_fleet_merges_again() -> None:
    network = SimulatedNetwork(5)
    network.run(3)
    is_first_half = {f"127.0.0.1:{n}": n <= 2 for n in range(1, 6)}
    network.is_lost = lambda sender, receiver, datagram: is_first_half[sender] != is_first_half[receiver]
    network.run(20)
    assert (
        network.observed_state(1, "m3") == MemberState.DEAD == network.observed_state(3, "m1")
        and network.observed_state(3, "m4") == MemberState.ALIVE
    )
    network.is_lost = lambda sender, receiver, datagram: False
    assert network.run(20, lambda: network.agrees_on(*member_names(1, 2, 3, 4, 5))) < 10


def test_a_leaving_member_is_reported_left_and_never_suspected() -> None:
    network = SimulatedNetwork(4)
    network.run(3)
    network.members["127.0.0.1:3"].leave(network.now)
    network.run(0.5)
    del network.members["127.0.0.1:3"]
    network.run(8)
    assert [network.observed_state(n, "m3") for n in (1, 2, 4)] == [MemberState.LEFT] * 3
    assert not any(
        change.record.name == "m3" and change.record.state == MemberState.SUSPECT
        for member in network.members.values()
        for change in member.view.history
    )


def test_a_member_restarted_during_its_suspicion_is_alive_with_the_new_incarnation() -> None:
    network = SimulatedNetwork(5)
    network.run(3)
    del network.members["127.0.0.1:4"]
    network.run(1.0)
    network.join(4, initial_incarnation=5000)
    network.run(6)
    assert (
        network.agrees_on(*member_names(1, 2, 3, 4, 5))
        and network.observed_state(1, "m4") == MemberState.ALIVE
    )
    assert network.members["127.0.0.1:1"].view.get("m4").incarnation >= 5000  # type: ignore[union-attr]


def test_a_member_restarted_with_an_earlier_clock_refutes_its_death() -> None:
    network = SimulatedNetwork(5)
    network.run(3)
    del network.members["127.0.0.1:4"]
    network.run(8)
    assert network.observed_state(1, "m4") == MemberState.DEAD
    network.join(4, initial_incarnation=10)  # far below its previous incarnation
    network.run(6)
    assert network.agrees_on(*member_names(1, 2, 3, 4, 5))


def test_the_older_of_two_processes_with_one_name_is_superseded() -> None:
    network, newer_records = SimulatedNetwork(4), list[MemberRecord]()
    network.run(3)
    older_member = network.members["127.0.0.1:4"]
    older_member.on_name_taken = newer_records.append
    network.join(9, initial_incarnation=9000, name="m4")
    network.run(5)
    assert older_member.is_superseded and newer_records[0].address == "127.0.0.1:9"
    network.members.pop("127.0.0.1:4")
    network.run(5)
    assert network.observed_state(1, "m4") == MemberState.ALIVE
    assert network.members["127.0.0.1:1"].view.get("m4").address == "127.0.0.1:9"  # type: ignore[union-attr]


def test_datagrams_of_another_cluster_are_ignored() -> None:
    network = SimulatedNetwork(3)
    network.run(3)
    foreign_member = Member(
        MemberSettings("127.0.0.1:0", "other", seeds=("127.0.0.1:1",)),
        "x",
        "127.0.0.1:8",
        random.Random(2),
        network.now,
        1000,
    )
    network.members["127.0.0.1:8"] = foreign_member
    network.run(5)
    assert network.observed_state(1, "x") is None and foreign_member.view.present_count == 1
    assert network.members["127.0.0.1:1"].foreign_datagram_count > 0


def test_thirty_percent_packet_loss_causes_no_false_deaths() -> None:
    network = SimulatedNetwork(9)
    network.run(4)
    network.is_lost = lambda sender, receiver, datagram: network.rng.random() < 0.3
    network.run(60)
    assert not any(
        change.record.state == MemberState.DEAD
        for member in network.members.values()
        for change in member.view.history
    )
    # The loss did make probes fail.
    assert sum(member.suspicion_tracker.accused_count for member in network.members.values()) > 10


def test_anti_entropy_transfers_a_large_view_in_bounded_datagrams() -> None:
    network = SimulatedNetwork(1)
    first_member = network.members["127.0.0.1:1"]
    for n in range(400):
        first_member.view.merge(MemberRecord(f"far{n:03}", f"127.0.0.1:{n + 1000}", 1), network.now)
    joining_member = network.join(2)
    # Only anti-entropy messages arrive.
    network.is_lost = lambda sender, receiver, datagram: (
        not isinstance(
            datagram.message, (messages.ViewDigest, messages.BucketDigests, messages.BucketRecords)
        )
    )
    network.run(6, lambda: joining_member.view.present_count >= 402)
    assert joining_member.view.present_count == 402


# ---- datagrams and settings -------------------------------------------------------------------


ALL_MESSAGES = st.one_of(
    st.builds(messages.Ping, st.integers(0, 1 << 40)),
    st.builds(messages.Ack, st.integers(0, 1 << 40)),
    st.builds(messages.PingRequest, st.integers(0, 99), st.just("n"), st.just("h:1")),
    st.builds(messages.Nack, st.integers(0, 99)),
    st.just(messages.Gossip()),
    st.builds(messages.ViewDigest, st.integers(0, (1 << 64) - 1)),
    st.builds(messages.BucketDigests, st.lists(st.integers(0, (1 << 64) - 1), max_size=64)),
    st.builds(messages.BucketRecords, st.lists(st.integers(0, 63), max_size=64)),
)


@given(MEMBER_RECORDS, ALL_MESSAGES, st.lists(MEMBER_RECORDS, max_size=5))
def test_a_datagram_is_decoded_as_it_was_encoded(
    sender: MemberRecord, message: messages.Message, updates: list[MemberRecord]
) -> None:
    datagram = messages.Datagram(messages.PROTOCOL_VERSION, "test", sender, message, updates)
    assert messages.decode(messages.encode(datagram)) == datagram


@given(st.binary(max_size=200))
def test_arbitrary_bytes_are_malformed(data: bytes) -> None:
    with pytest.raises(MalformedMessageError):
        messages.decode(data)


@given(MEMBER_RECORDS, st.data())
def test_a_corrupted_datagram_is_processed_or_malformed(record: MemberRecord, data: st.DataObject) -> None:
    encoded = bytearray(
        messages.encode(
            messages.Datagram(messages.PROTOCOL_VERSION, "test", record, messages.Ping(7), [record])
        )
    )
    encoded[data.draw(st.integers(0, len(encoded) - 1))] = data.draw(st.integers(0, 255))
    member = SimulatedNetwork(1).members["127.0.0.1:1"]
    try:
        datagram = messages.decode(bytes(encoded))
    except MalformedMessageError:
        return
    member.receive(101.0, datagram)
    member.tick(102.0)


@pytest.mark.parametrize(
    "datagram",
    [
        messages.Datagram(2, "test", MemberRecord("a", "h:1", 1), messages.Gossip()),
        messages.Datagram(1, "t", MemberRecord("", "h:1", 1), messages.Gossip()),
        messages.Datagram(1, "t", MemberRecord("a" * 65, "h:1", 1), messages.Gossip()),
        messages.Datagram(1, "t", MemberRecord("a", "h:1", 0), messages.Gossip()),
        messages.Datagram(1, "t", MemberRecord("a", "h:1", 1, 9), messages.Gossip()),
    ],
)
def test_datagrams_with_invalid_fields_are_malformed(datagram: messages.Datagram) -> None:
    with pytest.raises(MalformedMessageError):
        messages.decode(messages.encode(datagram))


@given(MEMBER_RECORDS)
def test_an_encoded_record_does_not_exceed_its_upper_bound(record: MemberRecord) -> None:
    empty_size = len(
        messages.encode(messages.Datagram(messages.PROTOCOL_VERSION, "t", record, messages.Gossip()))
    )
    assert (
        len(
            messages.encode(
                messages.Datagram(messages.PROTOCOL_VERSION, "t", record, messages.Gossip(), [record])
            )
        )
        - empty_size
        <= record.max_encoded_bytes()
    )


@pytest.mark.parametrize(
    ("raw_table", "reason"),
    [
        ({}, "member: Object missing required field `listen`"),
        ({"listen": "127.0.0.1:0", "cluster": "c", "probe_evry": 1}, "probe_evry"),
        ({"listen": "here", "cluster": "c"}, "member.listen"),
        ({"listen": "127.0.0.1:99999", "cluster": "c"}, "member.listen: port out of range"),
        ({"listen": "10.0.0.1:7000", "cluster": "c"}, "member.listen: datagrams are not authenticated"),
        ({"listen": "127.0.0.1:0", "cluster": "c", "probe_wait": 0.5}, "member.probe_wait"),
        ({"listen": "127.0.0.1:0", "cluster": "c", "seeds": ["10.0.0.1:7"]}, r"member.seeds\[0\]: datagrams"),
        ({"listen": "127.0.0.1:0", "cluster": "c", "seeds": ["x"]}, r"member.seeds\[0\]"),
    ],
)
def test_an_invalid_setting_is_reported_with_its_field(raw_table: dict[str, object], reason: str) -> None:
    with pytest.raises(InvalidFieldError, match=reason):
        read_member(raw_table)
    with pytest.raises(ConfigError):
        read_deployment({"member": raw_table})


def test_membership_is_off_without_its_table_or_when_disabled() -> None:
    enabled_table = {"listen": "127.0.0.1:0", "cluster": "c"}
    assert (
        read_deployment({}).member is None
        and read_deployment({"member": {**enabled_table, "enabled": False}}).member is None
    )
    assert read_deployment({"member": enabled_table}).member is not None


def test_a_suspicion_lasts_longer_in_a_larger_fleet() -> None:
    durations = []
    for count in (5, 1000):
        snapshot = MembershipSnapshot(MemberRecord(f"m{n}", f"127.0.0.1:{n + 1}", 1) for n in range(count))
        member = Member(SETTINGS, "m0", "127.0.0.1:1", random.Random(1), 0.0, 1, snapshot)
        member.receive(
            0.0,
            messages.Datagram(
                messages.PROTOCOL_VERSION,
                "test",
                MemberRecord("m1", "127.0.0.1:2", 1),
                messages.Gossip(),
                [MemberRecord("m2", "127.0.0.1:3", 1, MemberState.SUSPECT, reported_by="m1")],
            ),
        )
        durations.append(member.suspicion_tracker.suspicions["m2"].min_seconds)
    assert durations[0] == pytest.approx(SETTINGS.suspect_for * SETTINGS.probe_every)
    assert ceil(durations[1] / durations[0]) == 3
