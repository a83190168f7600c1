"""Bytes that release 0.8.0 wrote: handover packets, gossip datagrams and the saved tenants.

The files in ``tests/fixtures`` were written by that release.  A later one must read them as that release did,
and write the same bytes itself, for during a release both talk to each other.
"""

from __future__ import annotations

import asyncio
import os
import random
import shutil
import socket
from pathlib import Path

import msgspec
import pytest

from saltcart.admin.registry import Registry
from saltcart.composition.dependency_state import OUTCOME_COUNTERS
from saltcart.core.idempotency_keys import KeyRecord, digest
from saltcart.core.request import RequestPhase as RequestState
from saltcart.decision.events import PredecessorLoad
from saltcart.decision.outcome import Outcome
from saltcart.deployment import Deployment
from saltcart.locality.failover_plan import FailoverPlan, read_plan
from saltcart.locality.failover_plan import encode as encode_plan
from saltcart.locality.load_reports import InstanceReport, ZoneSummary, read_report, read_summary
from saltcart.locality.load_reports import encode as encode_report
from saltcart.locality.zone_trust import ZoneTrust
from saltcart.membership import messages
from saltcart.membership.member import Member
from saltcart.membership.member_record import MemberRecord, MemberState
from saltcart.membership.settings import MemberSettings
from saltcart.membership.shared_registers import RegisterValue
from saltcart.subsetting.subset_balancer import InstanceLoadReport, SubsetDemand
from saltcart.wire import handover
from tests.fakes import ServiceHarness
from tests.standins import Pool, ident, running

FIXTURES = Path(__file__).parent / "fixtures"
KEY = KeyRecord(("acme", "oddaja", b"k\xff"), 3, 1012.5, b"\x00\x01", {ident(0xA1)}, True, True, b"\n{}\0")
CLOCK_AHEAD = 2.25  # seconds by which the writer's clock was ahead of the Unix clock
LOAD, CONNECTIONS = PredecessorLoad(3, 1, 120.5), 7
PASSED = {"front": "http", "rests": True, "age": 1.5}

MEMBER = MemberRecord("m1", "127.0.0.1:7946", 1000, MemberState.ALIVE, "kranj", "si", "m1")
NEWS = [
    MemberRecord("m2", "127.0.0.1:7947", 2000, MemberState.SUSPECT, "kranj", "si", "m1"),
    MemberRecord("m3", "127.0.0.1:7948", 3000, MemberState.DEAD),
]
MESSAGES: dict[str, messages.Message] = {
    "ping": messages.Ping(7),
    "ack": messages.Ack(7),
    "ask": messages.PingRequest(8, "m2", "127.0.0.1:7947"),
    "nack": messages.Nack(8),
    "tell": messages.Gossip(),
    "digest": messages.ViewDigest(1 << 63),
    "parts": messages.BucketDigests([0, 1, 1 << 63]),
    "records": messages.BucketRecords([0, 63]),
    "give": messages.DirectMessage("load", b"\x01\x02"),
}


def handover_packet(name: str) -> bytes:
    return (FIXTURES / "handover" / f"{name}.packet").read_bytes()


def datagram(name: str) -> bytes:
    return (FIXTURES / "gossip" / f"{name}.datagram").read_bytes()


# ---- handover ---------------------------------------------------------------------------------


@pytest.mark.parametrize(
    ("name", "packet"),
    [
        ("take", handover.HandoverPacket("take", {})),
        ("yours", handover.HandoverPacket("yours", {})),
        ("entry", handover.key_packet(KEY, False, CLOCK_AHEAD)),
        ("gone", handover.key_packet(KEY, True, CLOCK_AHEAD)),
        ("beside", handover.load_packet(LOAD, CONNECTIONS)),
        ("connection", handover.HandoverPacket("connection", PASSED, b"POST /call")),
    ],
)
def test_a_handover_packet_is_written_and_read_as_before(name: str, packet: handover.HandoverPacket) -> None:
    assert handover.encode(packet) == handover_packet(name)
    assert handover.decode(handover_packet(name)) == packet


def test_a_recorded_key_is_read_with_all_of_its_fields() -> None:
    read = handover.read_key(handover.decode(handover_packet("entry")), CLOCK_AHEAD)
    assert read.key == KEY.key and read.expires_at == KEY.expires_at and read.body_digest == KEY.body_digest
    assert (
        read.attempt_ids == KEY.attempt_ids
        and read.has_run
        and read.is_finished
        and read.result == KEY.result
    )


def test_a_recorded_load_is_read_with_all_of_its_fields() -> None:
    assert handover.read_load(handover.decode(handover_packet("beside"))) == (LOAD, CONNECTIONS)


def test_a_key_that_the_earlier_release_ran_is_answered_from_its_record() -> None:
    world = ServiceHarness()
    recorded = handover.read_key(handover.decode(handover_packet("entry")))
    recorded.key = ("a", "oddaja", b"k")
    recorded.expires_at = world.now + 5.0
    recorded.body_digest = digest(b"body of k")
    world.service.adopt_key(recorded, False)
    world.submit(2)
    assert world.statuses(2) == ["served"] and world.spawned_ids() == []
    assert world.responses[ident(2)][0].body == KEY.result


def test_a_process_of_this_release_answers_the_recorded_take(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """What it sends: each key, its load, and the word that the place is the successor's."""

    async def play() -> list[bytes]:
        with socket.create_server(("127.0.0.1", 0)) as held:
            environment = {"BALANCER_LISTEN_FD": str(held.fileno()), "TMPDIR": str(tmp_path)}
            async with Pool() as pool, running(None, environment, pool=pool.address) as app:
                app.service.adopt_key(handover.read_key(handover.decode(handover_packet("entry"))), False)
                path = next(p for p in tmp_path.iterdir() if p.is_socket())
                successor = socket.socket(socket.AF_UNIX, socket.SOCK_SEQPACKET)
                successor.setblocking(False)
                loop, said = asyncio.get_running_loop(), list[bytes]()
                with successor:
                    await loop.sock_connect(successor, str(path))
                    await loop.sock_sendall(successor, handover_packet("take"))
                    while not said or said[-1] != handover_packet("yours"):
                        said.append(await asyncio.wait_for(loop.sock_recv(successor, 65536), 20.0))
                return said

    said = asyncio.run(play())
    key, load, _ = said
    sent, recorded = handover.decode(key), handover.decode(handover_packet("entry"))
    assert sent.kind == recorded.kind and sent.data == recorded.data and [*sent.fields] == [*recorded.fields]
    assert {**sent.fields, "until": 0.0} == {**recorded.fields, "until": 0.0}
    assert load == b'{"v":1,"say":"beside","on_core":0,"calling":0,"memory_kb":0.0,"connections":0}\n'


# ---- gossip -----------------------------------------------------------------------------------


@pytest.mark.parametrize("name", [*MESSAGES])
def test_a_datagram_is_written_and_read_as_before(name: str) -> None:
    news = NEWS if name in ("tell", "records", "ping") else []
    posts = [RegisterValue("plan", 4, "m2", b"\x00data")] if name == "tell" else []
    packet = messages.Datagram(messages.PROTOCOL_VERSION, "lj", MEMBER, MESSAGES[name], news, posts)
    assert messages.encode(packet) == datagram(name)
    assert messages.decode(datagram(name)) == packet


def test_a_recorded_probe_gets_the_recorded_answer() -> None:
    settings = MemberSettings("127.0.0.1:0", "lj")
    member = Member(settings, "m9", "127.0.0.1:7999", random.Random(1), 100.0, 9000)
    member.take_outgoing()
    member.receive(100.0, messages.decode(datagram("ping")))
    ((address, answer),) = member.take_outgoing()
    assert address == MEMBER.address and messages.encode(answer) == datagram("answer-to-ping")


# ---- the saved tenants ------------------------------------------------------------------------


def test_the_saved_tenants_are_read_and_written_as_before(tmp_path: Path) -> None:
    recorded, path = FIXTURES / "tenants.json", tmp_path / "tenants.json"
    shutil.copy(recorded, path)
    registry = Registry(Deployment(), ServiceHarness().service, None, path)
    tenant, upstream = registry.tenants["a"], registry.upstreams["u1"]
    assert (tenant.share, tenant.quota, tenant.upstream) == (0.25, 50, "u1")
    assert [(m.host, m.weight, m.secret) for m in upstream.members] == [
        ("127.0.0.1:8010", 2, "s3"),
        ("127.0.0.1:8011", 1.0, ""),
    ]
    os.unlink(path)
    registry.set_shares({})
    assert path.read_bytes() == recorded.read_bytes()


# ---- names that the administration API shows --------------------------------------------------


@pytest.mark.parametrize(
    ("outcome", "shown"),
    [
        (Outcome.SUCCEEDED, "ok"),
        (Outcome.FAILED, "error"),
        (Outcome.CANCELLED, "cancelled"),
        (Outcome.NOT_STARTED, "moot"),
        (Outcome.REJECTED, "rejected"),
        (Outcome.UNREACHABLE, "unreachable"),
        (Outcome.TIMED_OUT, "timeout"),
        (Outcome.BROKEN_OFF, "broken"),
    ],
)
def test_the_outcomes_of_calls_are_counted_under_the_names_of_before(outcome: Outcome, shown: str) -> None:
    assert OUTCOME_COUNTERS[outcome] == shown


def test_the_states_of_requests_are_shown_under_the_names_of_before() -> None:
    assert {state.value for state in RequestState} == {
        "held",
        "waits for another try's result",
        "running",
        "paused",
        "waits for leave to call",
        "at a call",
    }


# ---- decisions made in common -----------------------------------------------------------------


def decision(name: str) -> bytes:
    return (FIXTURES / "decisions" / f"{name}.msgpack").read_bytes()


def test_a_recorded_plan_is_read_and_written_as_before() -> None:
    trust = [ZoneTrust(0, 1, 250, 2, 1764576015.0, 900, 1764575990.1)]
    plan = FailoverPlan(1764576000.5, {0: {0: 700, 1: 300}, 2: {}}, trust)
    assert read_plan(decision("locality-plan"), 3) == plan
    assert encode_plan(plan) == decision("locality-plan")


def test_recorded_reports_on_zones_are_read_and_written_as_before() -> None:
    report = InstanceReport(12.5, {0: (0.975, 33.1)}, {0: (30, 2)}, {1: (7, 1, 0.25)}, 11.75)
    summary = ZoneSummary(1, 5, 62.25, {0: 0.5, 1: 1.0}, {1: (140.2, 3.5)}, 9.0, {3: 25})
    assert read_report(decision("locality-report")) == report
    assert read_summary(decision("locality-summary")) == summary
    assert encode_report(report) == decision("locality-report")
    assert encode_report(summary) == decision("locality-summary")


def test_recorded_reports_on_subsets_are_read_and_written_as_before() -> None:
    total, own = SubsetDemand(40.125, 4, {0: 3, 7: 1}), InstanceLoadReport(10.5, {7: 1})
    assert msgspec.msgpack.decode(decision("fleet-sum"), type=SubsetDemand) == total
    assert msgspec.msgpack.decode(decision("fleet-report"), type=InstanceLoadReport) == own
    assert msgspec.msgpack.encode(total) == decision("fleet-sum")
    assert msgspec.msgpack.encode(own) == decision("fleet-report")
