"""Membership: how views merge, what a member decides, and what its datagrams may hold.  No sockets here."""

from __future__ import annotations

import random
from collections.abc import Callable
from math import ceil

import pytest
from hypothesis import given
from hypothesis import strategies as st

from saltcart.config import ConfigError
from saltcart.deployment import read
from saltcart.field_reader import InvalidFieldError
from saltcart.membership import messages as m
from saltcart.membership.dissemination import UpdateQueue, retransmit_limit
from saltcart.membership.member import Member
from saltcart.membership.member_record import MemberRecord, MemberState
from saltcart.membership.settings import MemberSettings, read_member
from saltcart.membership.suspicion import LocalHealth, Suspicion
from saltcart.membership.view import MembershipSnapshot, MembershipView, ProbeRotation
from saltcart.wire.errors import MalformedMessageError

CONF = MemberSettings("127.0.0.1:0", "test")
RECORDS = st.builds(
    MemberRecord,
    name=st.sampled_from("abcde"),
    address=st.sampled_from(["127.0.0.1:1", "127.0.0.1:2"]),
    incarnation=st.integers(1, 4),
    state=st.sampled_from(list(MemberState)),
    zone=st.sampled_from(["", "z"]),
)


def table(view: MembershipView) -> dict[str, MemberRecord]:
    return {r.name: r for r in view}


def fill(records: list[MemberRecord], base: MembershipSnapshot | None = None) -> MembershipView:
    view = MembershipView(base)
    for record in records:
        view.merge(record, 0.0)
    return view


# ---- views ------------------------------------------------------------------------------------


@given(st.lists(RECORDS, max_size=12), st.randoms(use_true_random=False))
def test_views_that_heard_the_same_are_the_same_in_whatever_order(
    records: list[MemberRecord], luck: random.Random
) -> None:
    shuffled = records + records[: len(records) // 2]  # and some of it twice
    luck.shuffle(shuffled)
    one, other = fill(records), fill(shuffled)
    assert table(one) == table(other) and one.digest == other.digest
    assert one.present_count == other.present_count == sum(r.is_present for r in one)


@given(st.lists(RECORDS, max_size=12))
def test_merging_is_idempotent_and_a_higher_incarnation_wins(records: list[MemberRecord]) -> None:
    view = fill(records)
    version = view.version
    assert all(view.merge(r, 1.0) is None for r in records) and view.version == version
    for record in records:
        held = view.get(record.name)
        assert held is not None and held.incarnation == max(
            r.incarnation for r in records if r.name == record.name
        )


@given(st.lists(RECORDS, max_size=8), st.lists(RECORDS, max_size=8))
def test_a_view_on_a_shared_roster_is_as_one_that_heard_it(
    first: list[MemberRecord], then: list[MemberRecord]
) -> None:
    there = [r.reported_as(MemberState.ALIVE, "") for r in fill(first)]
    roster = MembershipSnapshot(there)
    shared, own = fill(then, roster), fill(there + then)
    assert (
        table(shared) == table(own)
        and shared.digest == own.digest
        and shared.present_count == own.present_count
    )
    assert fill([], roster).digest == fill(there).digest  # the roster itself is untouched


@given(st.lists(RECORDS, max_size=12))
def test_the_digest_tells_who_is_present_and_nothing_of_the_gone(records: list[MemberRecord]) -> None:
    view = fill(records)
    present = fill([r for r in view if r.is_present])
    assert view.digest == present.digest
    forgotten = view.forget(1.0)
    assert set(forgotten) == {r.name for r in records} - set(table(view))
    assert view.digest == present.digest and all(r.is_present for r in view) and not view.tombstone_times


def test_only_those_long_gone_are_forgotten_and_their_places_are_used_again() -> None:
    view = fill([MemberRecord(n, "h:1", 1) for n in "abcd"])
    view.merge(MemberRecord("b", "h:1", 1, MemberState.DEAD), 5.0)
    view.merge(MemberRecord("c", "h:1", 1, MemberState.LEFT), 9.0)
    assert view.forget(6.0) == ["b"] and view.get("b") is None and view.get("c") is not None
    assert sorted(r.name for r in view) == ["a", "c", "d"]
    view.merge(MemberRecord("e", "h:1", 1), 10.0)
    assert sorted(r.name for r in view) == ["a", "c", "d", "e"] and view.present_count == 3


def test_a_sample_is_of_present_members_and_none_twice() -> None:
    view, rng = fill([MemberRecord(f"m{n}", "h:1", 1) for n in range(60)]), random.Random(1)
    for n in range(0, 60, 2):
        view.merge(MemberRecord(f"m{n}", "h:1", 1, MemberState.DEAD), 0.0)
    for _ in range(50):
        drawn = [r.name for r in view.sample(rng, 5, {"m1"})]
        assert len(set(drawn)) == 5 and "m1" not in drawn and all(int(n[1:]) % 2 for n in drawn)
    assert len(view.sample(rng, 100, set())) == 30


@pytest.mark.parametrize("size", [1, 2, 7, 60])
def test_a_rotation_meets_each_number_once_a_round(size: int) -> None:
    rotation = ProbeRotation(random.Random(3))
    rounds = [[rotation.next(size) for _ in range(size)] for _ in range(4)]
    assert all(sorted(r) == list(range(size)) for r in rounds)
    assert size < 7 or len({tuple(r) for r in rounds}) > 1


# ---- news -------------------------------------------------------------------------------------


def test_news_is_told_least_told_first_and_so_many_times() -> None:
    spread, seen = UpdateQueue(), dict[str, int]()
    for n in range(6):
        spread.put(MemberRecord(f"m{n}", "h:1", 1))
    room = 3 * MemberRecord("m0", "h:1", 1).max_encoded_bytes()
    while taken := spread.take(room, 4):
        assert len(taken) <= 3
        for record in taken:
            seen[record.name] = seen.get(record.name, 0) + 1
        assert max(seen.values()) - min(seen.get(f"m{n}", 0) for n in range(6)) <= 1
    assert set(seen.values()) == {4} and len(spread) == 0


def test_a_newer_report_takes_the_place_of_an_older_one() -> None:
    spread = UpdateQueue()
    spread.put(MemberRecord("a", "h:1", 1))
    spread.take(1000, 3)
    spread.put(MemberRecord("a", "h:1", 2))
    assert [r.incarnation for _ in range(4) for r in spread.take(1000, 3)] == [2, 2, 2]


def test_how_often_news_is_told_grows_with_the_logarithm() -> None:
    assert retransmit_limit(25) < retransmit_limit(10_000) <= 3 * retransmit_limit(25)


# ---- suspicion --------------------------------------------------------------------------------


def test_a_suspicion_gets_shorter_with_each_further_accuser_and_no_shorter_than_its_least() -> None:
    suspicion, ends = Suspicion(10.0, 1, 2.0, 6.0, 3), list[float]()
    for by in ("a", "a", "b", "c", "d", "e", "f"):
        suspicion.confirm(by)
        ends.append(suspicion.ends_at())
    assert ends[0] == ends[1] == 16.0 and ends == sorted(ends, reverse=True)
    assert ends[-1] == pytest.approx(12.0) and ends[4] == pytest.approx(12.0)
    assert Suspicion(10.0, 1, 2.0, 6.0, 0).ends_at() == 12.0  # nobody else could confirm it


def test_local_health_has_bounds() -> None:
    health = LocalHealth()
    health.adjust(-3)
    assert health.scaled(2.0) == 2.0
    health.adjust(99)
    assert health.scaled(2.0) == 2.0 * (1 + LocalHealth.MAX_SCORE)


# ---- members that speak, in memory ------------------------------------------------------------


class SimulatedNetwork:
    """Members whose packets arrive at once unless ``lost`` says otherwise; steps of 10 ms."""

    def __init__(self, count: int, seed: int = 1, **more: object) -> None:
        self.now, self.rng = 100.0, random.Random(seed)
        self.lost: Callable[[str, str, m.Datagram], bool] = lambda sender, receiver, packet: False
        conf = MemberSettings("127.0.0.1:0", "test", seeds=("127.0.0.1:1",), **more)  # type: ignore[arg-type]
        self.conf, self.members = conf, dict[str, Member]()
        for n in range(1, count + 1):
            self.join(n)

    def join(self, number: int, born: int = 1000, name: str | None = None) -> Member:
        address = f"127.0.0.1:{number}"
        made = Member(
            self.conf, name or f"m{number}", address, random.Random(self.rng.random()), self.now, born
        )
        self.members[address] = made
        return made

    def run(self, seconds: float, until: Callable[[], bool] = lambda: False) -> float:
        """Seconds that passed."""
        begun = self.now
        while self.now - begun < seconds and not until():
            self.now += 0.01
            for address, member in list(self.members.items()):
                member.tick(self.now)
                for to, packet in member.take_outgoing():
                    receiver = self.members.get(to)
                    if receiver is not None and not self.lost(address, to, packet):
                        receiver.receive(self.now, m.decode(m.encode(packet)))
                        assert len(m.encode(packet)) <= m.MAX_DATAGRAM_BYTES
        return self.now - begun

    def agree(self, *names: str) -> bool:
        return all(
            {r.name for r in d.view if r.is_present} == set(names) for d in self.members.values()
        ) and (len({d.view.digest for d in self.members.values()}) == 1)

    def state(self, observer: int, name: str) -> MemberState | None:
        record = self.members[f"127.0.0.1:{observer}"].view.get(name)
        return None if record is None else MemberState(record.state)


def names(*numbers: int) -> tuple[str, ...]:
    return tuple(f"m{n}" for n in numbers)


def test_members_find_each_other_through_one_seed() -> None:
    net = SimulatedNetwork(7)
    assert net.run(10, lambda: net.agree(*names(*range(1, 8)))) < 5


def test_one_that_falls_silent_is_suspected_and_then_dead_everywhere() -> None:
    net = SimulatedNetwork(5)
    net.run(3)
    del net.members["127.0.0.1:4"]
    took = net.run(20, lambda: net.agree(*names(1, 2, 3, 5)))
    assert CONF.suspect_for * CONF.probe_every <= took < 6
    seen = [c.record.state for c in net.members["127.0.0.1:1"].view.history if c.record.name == "m4"]
    assert seen.index(MemberState.SUSPECT) < seen.index(MemberState.DEAD)


def test_one_that_was_paused_refutes_and_is_never_dead() -> None:
    net = SimulatedNetwork(5)
    net.run(3)
    paused = net.members.pop("127.0.0.1:4")
    net.run(3 * CONF.probe_every)
    assert any(net.state(n, "m4") == MemberState.SUSPECT for n in (1, 2, 3, 5))
    paused.tick(net.now)
    paused.take_outgoing()
    net.members["127.0.0.1:4"] = paused
    net.run(6)
    assert net.agree(*names(1, 2, 3, 4, 5)) and paused.refuted_count >= 1
    assert not any(c.record.state == MemberState.DEAD for d in net.members.values() for c in d.view.history)


def test_who_cannot_send_to_one_member_asks_others_and_accuses_nobody() -> None:
    net = SimulatedNetwork(5)
    net.run(3)
    net.lost = lambda sender, receiver, packet: (sender, receiver) == ("127.0.0.1:1", "127.0.0.1:2")
    net.run(20)
    assert net.agree(*names(1, 2, 3, 4, 5))
    assert not any(c.record.state == MemberState.DEAD for d in net.members.values() for c in d.view.history)


def test_without_helpers_such_a_link_makes_a_suspect() -> None:
    net = SimulatedNetwork(5, helpers=0)
    net.run(3)
    net.lost = lambda sender, receiver, packet: (sender, receiver) == ("127.0.0.1:1", "127.0.0.1:2")
    net.run(20)
    assert any(c.record.state == MemberState.SUSPECT for d in net.members.values() for c in d.view.history)


def test_two_halves_find_each_other_again() -> None:
    net = SimulatedNetwork(5)
    net.run(3)
    side = {f"127.0.0.1:{n}": n <= 2 for n in range(1, 6)}
    net.lost = lambda sender, receiver, packet: side[sender] != side[receiver]
    net.run(20)
    assert (
        net.state(1, "m3") == MemberState.DEAD == net.state(3, "m1")
        and net.state(3, "m4") == MemberState.ALIVE
    )
    net.lost = lambda sender, receiver, packet: False
    assert net.run(20, lambda: net.agree(*names(1, 2, 3, 4, 5))) < 10


def test_one_that_leaves_is_left_and_nobody_suspects_it() -> None:
    net = SimulatedNetwork(4)
    net.run(3)
    net.members["127.0.0.1:3"].leave(net.now)
    net.run(0.5)
    del net.members["127.0.0.1:3"]
    net.run(8)
    assert [net.state(n, "m3") for n in (1, 2, 4)] == [MemberState.LEFT] * 3
    assert not any(
        c.record.name == "m3" and c.record.state == MemberState.SUSPECT
        for d in net.members.values()
        for c in d.view.history
    )


def test_one_that_restarts_within_the_suspicion_time_is_the_newer_one() -> None:
    net = SimulatedNetwork(5)
    net.run(3)
    del net.members["127.0.0.1:4"]
    net.run(1.0)
    net.join(4, born=5000)
    net.run(6)
    assert net.agree(*names(1, 2, 3, 4, 5)) and net.state(1, "m4") == MemberState.ALIVE
    assert net.members["127.0.0.1:1"].view.get("m4").incarnation >= 5000  # type: ignore[union-attr]


def test_one_whose_clock_was_set_back_refutes_its_own_death() -> None:
    net = SimulatedNetwork(5)
    net.run(3)
    del net.members["127.0.0.1:4"]
    net.run(8)
    assert net.state(1, "m4") == MemberState.DEAD
    net.join(4, born=10)  # an incarnation far below that of its last life
    net.run(6)
    assert net.agree(*names(1, 2, 3, 4, 5))


def test_of_two_processes_of_one_name_the_older_falls_silent() -> None:
    net, taken = SimulatedNetwork(4), list[MemberRecord]()
    net.run(3)
    older = net.members["127.0.0.1:4"]
    older.on_name_taken = taken.append
    net.join(9, born=9000, name="m4")
    net.run(5)
    assert older.is_superseded and taken[0].address == "127.0.0.1:9"
    net.members.pop("127.0.0.1:4")
    net.run(5)
    assert net.state(1, "m4") == MemberState.ALIVE
    assert net.members["127.0.0.1:1"].view.get("m4").address == "127.0.0.1:9"  # type: ignore[union-attr]


def test_another_fleet_is_not_mixed_in() -> None:
    net = SimulatedNetwork(3)
    net.run(3)
    stranger = Member(
        MemberSettings("127.0.0.1:0", "other", seeds=("127.0.0.1:1",)),
        "x",
        "127.0.0.1:8",
        random.Random(2),
        net.now,
        1000,
    )
    net.members["127.0.0.1:8"] = stranger
    net.run(5)
    assert net.state(1, "x") is None and stranger.view.present_count == 1
    assert net.members["127.0.0.1:1"].foreign_datagram_count > 0


def test_a_third_of_all_packets_lost_kills_nobody() -> None:
    net = SimulatedNetwork(9)
    net.run(4)
    net.lost = lambda sender, receiver, packet: net.rng.random() < 0.3
    net.run(60)
    assert not any(c.record.state == MemberState.DEAD for d in net.members.values() for c in d.view.history)
    assert sum(d.suspicion_tracker.accused_count for d in net.members.values()) > 10  # they had reason to


def test_a_large_view_comes_over_in_bounded_packets() -> None:
    net = SimulatedNetwork(1)
    first = net.members["127.0.0.1:1"]
    for n in range(400):
        first.view.merge(MemberRecord(f"far{n:03}", f"127.0.0.1:{n + 1000}", 1), net.now)
    newcomer = net.join(2)
    net.lost = lambda sender, receiver, packet: (
        not isinstance(packet.message, (m.ViewDigest, m.BucketDigests, m.BucketRecords))
    )  # comparisons alone
    net.run(6, lambda: newcomer.view.present_count >= 402)
    assert newcomer.view.present_count == 402


# ---- datagrams and settings -------------------------------------------------------------------


MESSAGES = st.one_of(
    st.builds(m.Ping, st.integers(0, 1 << 40)),
    st.builds(m.Ack, st.integers(0, 1 << 40)),
    st.builds(m.PingRequest, st.integers(0, 99), st.just("n"), st.just("h:1")),
    st.builds(m.Nack, st.integers(0, 99)),
    st.just(m.Gossip()),
    st.builds(m.ViewDigest, st.integers(0, (1 << 64) - 1)),
    st.builds(m.BucketDigests, st.lists(st.integers(0, (1 << 64) - 1), max_size=64)),
    st.builds(m.BucketRecords, st.lists(st.integers(0, 63), max_size=64)),
)


@given(RECORDS, MESSAGES, st.lists(RECORDS, max_size=5))
def test_a_packet_is_read_as_it_was_written(
    sender: MemberRecord, message: m.Message, news: list[MemberRecord]
) -> None:
    packet = m.Datagram(m.PROTOCOL_VERSION, "test", sender, message, news)
    assert m.decode(m.encode(packet)) == packet


@given(st.binary(max_size=200))
def test_no_bytes_make_it_stumble(data: bytes) -> None:
    with pytest.raises(MalformedMessageError):
        m.decode(data)


@given(RECORDS, st.data())
def test_a_packet_with_a_byte_amiss_is_read_or_malformed(record: MemberRecord, data: st.DataObject) -> None:
    raw = bytearray(m.encode(m.Datagram(m.PROTOCOL_VERSION, "test", record, m.Ping(7), [record])))
    raw[data.draw(st.integers(0, len(raw) - 1))] = data.draw(st.integers(0, 255))
    member = SimulatedNetwork(1).members["127.0.0.1:1"]
    try:
        packet = m.decode(bytes(raw))
    except MalformedMessageError:
        return
    member.receive(101.0, packet)
    member.tick(102.0)


@pytest.mark.parametrize(
    "packet",
    [
        m.Datagram(2, "test", MemberRecord("a", "h:1", 1), m.Gossip()),
        m.Datagram(1, "t", MemberRecord("", "h:1", 1), m.Gossip()),
        m.Datagram(1, "t", MemberRecord("a" * 65, "h:1", 1), m.Gossip()),
        m.Datagram(1, "t", MemberRecord("a", "h:1", 0), m.Gossip()),
        m.Datagram(1, "t", MemberRecord("a", "h:1", 1, 9), m.Gossip()),
    ],
)
def test_what_no_member_says_is_malformed(packet: m.Datagram) -> None:
    with pytest.raises(MalformedMessageError):
        m.decode(m.encode(packet))


@given(RECORDS)
def test_a_record_is_no_longer_on_the_wire_than_it_says(record: MemberRecord) -> None:
    empty = len(m.encode(m.Datagram(m.PROTOCOL_VERSION, "t", record, m.Gossip())))
    assert (
        len(m.encode(m.Datagram(m.PROTOCOL_VERSION, "t", record, m.Gossip(), [record]))) - empty
        <= record.max_encoded_bytes()
    )


@pytest.mark.parametrize(
    ("raw", "reason"),
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
def test_a_wrong_table_names_its_field(raw: dict[str, object], reason: str) -> None:
    with pytest.raises(InvalidFieldError, match=reason):
        read_member(raw)
    with pytest.raises(ConfigError):
        read({"member": raw})


def test_it_is_off_without_the_table_and_where_the_table_says_so() -> None:
    on = {"listen": "127.0.0.1:0", "cluster": "c"}
    assert read({}).member is None and read({"member": {**on, "enabled": False}}).member is None
    assert read({"member": on}).member is not None


def test_the_span_of_a_suspicion_grows_with_the_fleet() -> None:
    spans = []
    for count in (5, 1000):
        roster = MembershipSnapshot(MemberRecord(f"m{n}", f"127.0.0.1:{n + 1}", 1) for n in range(count))
        member = Member(CONF, "m0", "127.0.0.1:1", random.Random(1), 0.0, 1, roster)
        member.receive(
            0.0,
            m.Datagram(
                m.PROTOCOL_VERSION,
                "test",
                MemberRecord("m1", "127.0.0.1:2", 1),
                m.Gossip(),
                [MemberRecord("m2", "127.0.0.1:3", 1, MemberState.SUSPECT, reported_by="m1")],
            ),
        )
        spans.append(member.suspicion_tracker.suspicions["m2"].min_seconds)
    assert spans[0] == pytest.approx(CONF.suspect_for * CONF.probe_every)
    assert ceil(spans[1] / spans[0]) == 3
