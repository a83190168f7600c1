"""The model of large fleets, its baseline, and what the experiment on membership makes of plays."""

from __future__ import annotations

import json

import pytest
from click.testing import CliRunner

from saltcart.cli import cli
from saltcart.lab import members as model
from saltcart.lab.members import MemberDay, MemberResult, percentile
from saltcart.membership.member_record import MemberState
from saltcart.membership.settings import MemberSettings
from saltcart.membership.suspicion import Suspicion
from saltcart.membership.suspicion_tracker import SuspicionTracker


def simulate(kind: str, day: MemberDay, seed: int = 1) -> MemberResult:
    return model.simulate((kind, day, seed))


CRASH = MemberDay("crash", 40, 14.0, (2.0, 3.0))


def test_the_same_play_twice_is_the_same_and_another_seed_another() -> None:
    first, again, other = simulate("swim", CRASH), simulate("swim", CRASH), simulate("swim", CRASH, 2)
    assert (first.detection_seconds, first.packets) == (again.detection_seconds, again.packets)
    assert first.detection_seconds != other.detection_seconds


def test_crashes_are_known_to_all_and_the_views_agree() -> None:
    seen = simulate("swim", CRASH)
    assert (seen.missed_count, seen.false_death_count, seen.agreement) == (0, 0, 1.0) and len(
        seen.detection_seconds
    ) == 2 * 38
    assert percentile(seen.detection_seconds, 0.99) < 6


def test_what_is_sent_in_quiet_times_does_not_grow_with_the_fleet() -> None:
    rates = [simulate("swim", MemberDay("quiet", count, 6.0)).quiet_packet_rate for count in (25, 400)]
    assert rates[1] / rates[0] < 1.1
    beats = [simulate("beats", MemberDay("quiet", count, 3.0)).quiet_packet_rate for count in (25, 100)]
    assert beats[1] / beats[0] > 3.5


def test_lost_packets_make_heartbeats_kill_the_healthy_and_not_us() -> None:
    day = MemberDay("loss", 15, 40.0, loss=0.3)
    assert simulate("swim", day).false_death_count == 0 and simulate("beats", day).false_death_count > 10


def test_without_the_rule_of_trying_oneself_and_without_waiting_the_healthy_die(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """A suspicion that nobody may shorten or clear by trying on is what the guards are held against."""

    def declare_dead(self: SuspicionTracker, name: str, suspicion: Suspicion) -> None:
        if self.suspicions.get(name) is suspicion:
            self._declare_dead(name)

    monkeypatch.setattr(SuspicionTracker, "_keep_probing", lambda *_: None)
    monkeypatch.setattr(SuspicionTracker, "_on_timeout", declare_dead)
    conf = MemberSettings("127.0.0.1:0", "model", suspect_for=1.0, suspect_most=1.0)
    net = model.SwimNetwork(MemberDay("loss", 15, 60.0, loss=0.4), 1, conf)
    assert net.run().false_death_count > 0


def test_a_split_fleet_agrees_again() -> None:
    seen = simulate("swim", MemberDay("split", 10, 50.0, split=(3.0, 23.0)))
    assert seen.convergence_seconds is not None and seen.convergence_seconds < 10 and seen.agreement == 1.0


def test_members_on_a_shared_roster_change_nothing_of_each_other() -> None:
    net = model.SwimNetwork(MemberDay("quiet", 6, 1.0), 1)
    one, other = net.members[0].view, net.members[1].view
    record = one.get("m5")
    assert record is not None
    one.merge(record.reported_as(MemberState.DEAD, "m0"), net.events.now)
    held = other.get("m5")
    assert held is not None and held.state == MemberState.ALIVE and one.digest != other.digest


def test_the_structures_are_smaller_or_quicker_than_plain_ones() -> None:
    ran = CliRunner().invoke(cli, ["lab", "run", "views", "--quick"])
    figures = json.loads(ran.output.splitlines()[-1])
    assert figures["view_bytes_each"] < figures["view_bytes_each_plain"] / 3
    assert figures["turn_bytes"] < figures["turn_bytes_plain"] / 10
    assert figures["digest_ns_each"] < figures["digest_ns_each_plain"] / 10
