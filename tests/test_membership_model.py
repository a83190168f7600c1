"""Tests of simulated memberships, their heartbeat baseline, and the experiment on data structures."""

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
    """Simulate a day of the service's members (``swim``) or of heartbeats (``beats``)."""
    return model.simulate((kind, day, seed))


CRASH_DAY = MemberDay("crash", 40, 14.0, (2.0, 3.0))


def test_a_simulation_depends_on_its_seed_alone() -> None:
    first, again, other = (
        simulate("swim", CRASH_DAY),
        simulate("swim", CRASH_DAY),
        simulate("swim", CRASH_DAY, 2),
    )
    assert (first.detection_seconds, first.packet_count) == (again.detection_seconds, again.packet_count)
    assert first.detection_seconds != other.detection_seconds


def test_all_members_detect_a_crash_and_their_views_agree() -> None:
    result = simulate("swim", CRASH_DAY)
    assert (result.missed_count, result.false_death_count, result.agreement) == (0, 0, 1.0) and len(
        result.detection_seconds
    ) == 2 * 38
    assert percentile(result.detection_seconds, 0.99) < 6


def test_the_packet_rate_of_a_member_does_not_grow_with_the_fleet() -> None:
    swim_rates = [simulate("swim", MemberDay("quiet", count, 6.0)).quiet_packet_rate for count in (25, 400)]
    assert swim_rates[1] / swim_rates[0] < 1.1
    heartbeat_rates = [
        simulate("beats", MemberDay("quiet", count, 3.0)).quiet_packet_rate for count in (25, 100)
    ]
    assert heartbeat_rates[1] / heartbeat_rates[0] > 3.5


def test_packet_loss_makes_heartbeats_declare_healthy_members_dead_but_not_the_service() -> None:
    day = MemberDay("loss", 15, 40.0, loss_rate=0.3)
    assert simulate("swim", day).false_death_count == 0 and simulate("beats", day).false_death_count > 10


def test_without_confirming_probes_and_suspicion_timeouts_healthy_members_are_declared_dead(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Removes both guards against packet loss, to show that false deaths occur without them.

    Members don't keep probing a suspected member, and a suspicion ends after one fixed timeout.
    """

    def declare_dead(self: SuspicionTracker, name: str, suspicion: Suspicion) -> None:
        if self.suspicions.get(name) is suspicion:
            self._declare_dead(name)

    monkeypatch.setattr(SuspicionTracker, "_keep_probing", lambda *_: None)
    monkeypatch.setattr(SuspicionTracker, "_on_timeout", declare_dead)
    settings = MemberSettings("127.0.0.1:0", "model", suspect_for=1.0, suspect_most=1.0)
    network = model.SwimNetwork(MemberDay("loss", 15, 60.0, loss_rate=0.4), 1, settings)
    assert network.run().false_death_count > 0


@pytest.mark.parametrize("seed", [1, 2, 3, 4])
def test_views_agree_again_after_a_partition(seed: int) -> None:
    # Seed 3 guards against a timer set to a time in the past, with which the simulation did not end.
    result = simulate("swim", MemberDay("split", 10, 50.0, partition=(3.0, 23.0)), seed)
    assert (
        result.convergence_seconds is not None and result.convergence_seconds < 10 and result.agreement == 1.0
    )


def test_members_that_share_a_snapshot_do_not_change_each_others_views() -> None:
    network = model.SwimNetwork(MemberDay("quiet", 6, 1.0), 1)
    view, other_view = network.members[0].view, network.members[1].view
    record = view.get("m5")
    assert record is not None
    view.merge(record.reported_as(MemberState.DEAD, "m0"), network.events.now)
    other_record = other_view.get("m5")
    assert (
        other_record is not None
        and other_record.state == MemberState.ALIVE
        and view.digest != other_view.digest
    )


def test_the_data_structures_are_smaller_or_faster_than_plain_ones() -> None:
    outcome = CliRunner().invoke(cli, ["lab", "run", "views", "--quick"])
    figures = json.loads(outcome.output.splitlines()[-1])
    assert figures["view_bytes_each"] < figures["view_bytes_each_plain"] / 3
    assert figures["turn_bytes"] < figures["turn_bytes_plain"] / 10
    assert figures["digest_ns_each"] < figures["digest_ns_each_plain"] / 10
