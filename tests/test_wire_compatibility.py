"""Compatibility with bytes that release 0.8.0 wrote: packets, datagrams, msgpack messages and saved tenants.

The files in ``tests/fixtures`` were written by that release.  Later releases must read them as it did and
must write the same bytes, because both releases exchange them while a later one is rolled out.
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
from saltcart.core.request import RequestPhase
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
from tests.standins import Pool, encode_id, running

FIXTURES = Path(__file__).parent / "fixtures"
KEY_RECORD = KeyRecord(
    ("acme", "oddaja", b"k\xff"), 3, 1012.5, b"\x00\x01", {encode_id(0xA1)}, True, True, b"\n{}\0"
)
CLOCK_AHEAD_SECONDS = 2.25  # how far the writer's clock was ahead of the Unix clock
REPORTED_LOAD = handover.ReportedLoad(PredecessorLoad(3, 1, 120.5), connections=7)
CONNECTION_FIELDS = {"front": "http", "rests": True, "age": 1.5}

MEMBER = MemberRecord("m1", "127.0.0.1:7946", 1000, MemberState.ALIVE, "kranj", "si", "m1")
MEMBER_RECORDS = [
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
        ("entry", handover.key_packet(KEY_RECORD, False, CLOCK_AHEAD_SECONDS)),
        ("gone", handover.key_packet(KEY_RECORD, True, CLOCK_AHEAD_SECONDS)),
        ("beside", handover.load_packet(REPORTED_LOAD)),
        ("connection", handover.HandoverPacket("connection", CONNECTION_FIELDS, b"POST /call")),
    ],
)
def test_handover_packets_are_written_and_read_as_recorded(
    name: str, packet: handover.HandoverPacket
) -> None:
    assert handover.encode(packet) == handover_packet(name)
    assert handover.decode(handover_packet(name)) == packet


def test_a_recorded_key_packet_is_read_with_all_fields() -> None:
    record = handover.read_key(handover.decode(handover_packet("entry")), CLOCK_AHEAD_SECONDS)
    assert (
        record.key == KEY_RECORD.key
        and record.expires_at == KEY_RECORD.expires_at
        and record.body_digest == KEY_RECORD.body_digest
    )
    assert (
        record.attempt_ids == KEY_RECORD.attempt_ids
        and record.has_run
        and record.is_finished
        and record.result == KEY_RECORD.result
    )


def test_a_recorded_load_packet_is_read_with_all_fields() -> None:
    assert handover.read_load(handover.decode(handover_packet("beside"))) == REPORTED_LOAD


def test_a_key_that_the_earlier_release_ran_is_answered_with_the_recorded_result() -> None:
    harness = ServiceHarness()
    recorded = handover.read_key(handover.decode(handover_packet("entry")))
    recorded.key = ("a", "oddaja", b"k")
    recorded.expires_at = harness.now + 5.0
    recorded.body_digest = digest(b"body of k")
    harness.service.adopt_key(recorded, False)
    harness.submit(2)
    assert harness.statuses(2) == ["served"] and harness.spawned_ids() == []
    assert harness.responses[encode_id(2)][0].body == KEY_RECORD.result


def test_this_release_answers_a_recorded_take_packet(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    """The answer is a packet for each key, one for the load, and one that ends the handover."""

    async def receive_answer() -> list[bytes]:
        with socket.create_server(("127.0.0.1", 0)) as listening_socket:
            environment = {"BALANCER_LISTEN_FD": str(listening_socket.fileno()), "TMPDIR": str(tmp_path)}
            async with Pool() as pool, running(None, environment, pool=pool.address) as app:
                app.service.adopt_key(handover.read_key(handover.decode(handover_packet("entry"))), False)
                socket_path = next(path for path in tmp_path.iterdir() if path.is_socket())
                successor = socket.socket(socket.AF_UNIX, socket.SOCK_SEQPACKET)
                successor.setblocking(False)
                loop, packets = asyncio.get_running_loop(), list[bytes]()
                with successor:
                    await loop.sock_connect(successor, str(socket_path))
                    await loop.sock_sendall(successor, handover_packet("take"))
                    while not packets or packets[-1] != handover_packet("yours"):
                        packets.append(await asyncio.wait_for(loop.sock_recv(successor, 65536), 20.0))
                return packets

    packets = asyncio.run(receive_answer())
    key_bytes, load_bytes, _ = packets
    sent, recorded = handover.decode(key_bytes), handover.decode(handover_packet("entry"))
    assert sent.kind == recorded.kind and sent.data == recorded.data and [*sent.fields] == [*recorded.fields]
    assert {**sent.fields, "until": 0.0} == {**recorded.fields, "until": 0.0}
    assert load_bytes == b'{"v":1,"say":"beside","on_core":0,"calling":0,"memory_kb":0.0,"connections":0}\n'


# ---- gossip -----------------------------------------------------------------------------------


@pytest.mark.parametrize("name", [*MESSAGES])
def test_datagrams_are_written_and_read_as_recorded(name: str) -> None:
    records = MEMBER_RECORDS if name in ("tell", "records", "ping") else []
    registers = [RegisterValue("plan", 4, "m2", b"\x00data")] if name == "tell" else []
    packet = messages.Datagram(messages.PROTOCOL_VERSION, "lj", MEMBER, MESSAGES[name], records, registers)
    assert messages.encode(packet) == datagram(name)
    assert messages.decode(datagram(name)) == packet


def test_a_recorded_ping_gets_the_recorded_answer() -> None:
    settings = MemberSettings("127.0.0.1:0", "lj")
    member = Member(settings, "m9", "127.0.0.1:7999", random.Random(1), 100.0, 9000)
    member.take_outgoing()
    member.receive(100.0, messages.decode(datagram("ping")))
    ((address, answer),) = member.take_outgoing()
    assert address == MEMBER.address and messages.encode(answer) == datagram("answer-to-ping")


# ---- the saved tenants ------------------------------------------------------------------------


def test_saved_tenants_are_read_and_written_as_recorded(tmp_path: Path) -> None:
    recorded_path, path = FIXTURES / "tenants.json", tmp_path / "tenants.json"
    shutil.copy(recorded_path, path)
    registry = Registry(Deployment(), ServiceHarness().service, None, path)
    tenant, upstream = registry.tenants["a"], registry.upstreams["u1"]
    assert (tenant.share, tenant.quota, tenant.upstream) == (0.25, 50, "u1")
    assert [(member.host, member.weight, member.secret) for member in upstream.members] == [
        ("127.0.0.1:8010", 2, "s3"),
        ("127.0.0.1:8011", 1.0, ""),
    ]
    os.unlink(path)
    registry.set_shares({})
    assert path.read_bytes() == recorded_path.read_bytes()


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
def test_call_outcomes_keep_their_names_in_the_administration_api(outcome: Outcome, shown: str) -> None:
    assert OUTCOME_COUNTERS[outcome] == shown


def test_request_phases_keep_their_names_in_the_administration_api() -> None:
    assert {phase.value for phase in RequestPhase} == {
        "held",
        "waits for another try's result",
        "running",
        "paused",
        "waits for leave to call",
        "at a call",
    }


# ---- messages on locality and subsetting ------------------------------------------------------


def recorded_message(name: str) -> bytes:
    return (FIXTURES / "decisions" / f"{name}.msgpack").read_bytes()


def test_failover_plans_are_read_and_written_as_recorded() -> None:
    trust = [ZoneTrust(0, 1, 250, 2, 1764576015.0, 900, 1764575990.1)]
    plan = FailoverPlan(1764576000.5, {0: {0: 700, 1: 300}, 2: {}}, trust)
    assert read_plan(recorded_message("locality-plan"), 3) == plan
    assert encode_plan(plan) == recorded_message("locality-plan")


def test_zone_load_reports_are_read_and_written_as_recorded() -> None:
    report = InstanceReport(12.5, {0: (0.975, 33.1)}, {0: (30, 2)}, {1: (7, 1, 0.25)}, 11.75)
    summary = ZoneSummary(1, 5, 62.25, {0: 0.5, 1: 1.0}, {1: (140.2, 3.5)}, 9.0, {3: 25})
    assert read_report(recorded_message("locality-report")) == report
    assert read_summary(recorded_message("locality-summary")) == summary
    assert encode_report(report) == recorded_message("locality-report")
    assert encode_report(summary) == recorded_message("locality-summary")


def test_subset_load_reports_are_read_and_written_as_recorded() -> None:
    demand, report = SubsetDemand(40.125, 4, {0: 3, 7: 1}), InstanceLoadReport(10.5, {7: 1})
    assert msgspec.msgpack.decode(recorded_message("fleet-sum"), type=SubsetDemand) == demand
    assert msgspec.msgpack.decode(recorded_message("fleet-report"), type=InstanceLoadReport) == report
    assert msgspec.msgpack.encode(demand) == recorded_message("fleet-sum")
    assert msgspec.msgpack.encode(report) == recorded_message("fleet-report")
