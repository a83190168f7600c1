"""Fault rig: link rules, the relay, and real processes that are killed, drained, partitioned or stalled."""

from __future__ import annotations

import asyncio
import random
from collections import Counter
from collections.abc import Callable
from typing import Any

import pytest

from saltcart.lab.faults import subsets, zones
from saltcart.lab.faults.links import Delivery, LinkRule, LinkRules, Relay, decide_delivery
from saltcart.lab.faults.members import membership_rig, present_members
from saltcart.lab.faults.programs import ProcessError
from saltcart.membership import messages
from saltcart.membership.member_record import MemberRecord
from saltcart.membership.settings import MemberSettings
from saltcart.net.membership_driver import MembershipDriver

TIMEOUT_S = 30.0  # for steps that take 3 s on an idle machine


@pytest.mark.parametrize(
    ("rule", "expected"),
    [
        (LinkRule(), (0.0,)),
        (LinkRule(drop=1.0), ()),
        (LinkRule(cut=True), ()),
        (LinkRule(delay=0.2), (0.2,)),
        (LinkRule(duplicate=1.0, delay=0.1), (0.1, pytest.approx(0.15))),
        (LinkRule(reorder=1.0), (0.05,)),
    ],
)
def test_a_rule_decides_the_delivery_of_a_datagram(rule: LinkRule, expected: tuple[float, ...]) -> None:
    assert decide_delivery(rule, random.Random(1)) == Delivery(expected)
    assert decide_delivery(LinkRule(stall=True), random.Random(1)) == Delivery((), keep=True)


def test_a_links_losses_depend_on_the_seed_and_not_on_other_links() -> None:
    def deliveries(seed: int, datagrams_on_another_link: int) -> list[bool]:
        links = LinkRules(3, seed)
        links.set_rule(LinkRule(drop=0.5))
        delivered = []
        for _ in range(50):
            for _ in range(datagrams_on_another_link):
                links.next_delivery(1, 2)
            delivered.append(bool(links.next_delivery(0, 1).copy_delays))
        return delivered

    assert deliveries(1, 0) == deliveries(1, 5) != deliveries(2, 0)
    assert 10 < sum(deliveries(1, 0)) < 40


def test_rules_apply_to_one_direction_both_or_all_links_between_groups() -> None:
    links = LinkRules(4, 1)
    links.set_rule(LinkRule(cut=True), 0, 1)
    assert links.rule_for(0, 1).cut and not links.rule_for(1, 0).cut
    links.set_rule(LinkRule(drop=0.1), 2, 3, both=True)
    assert links.rule_for(3, 2).drop == links.rule_for(2, 3).drop == 0.1
    links.clear_rules()
    links.set_rule_between(LinkRule(cut=True), [0, 1])
    cut = {(a, b) for a in range(4) for b in range(4) if links.rule_for(a, b).cut}
    assert cut == {(a, b) for a in range(4) for b in range(4) if (a < 2) != (b < 2)}


def test_datagrams_of_a_stalled_link_are_delivered_when_the_stall_ends() -> None:
    class Peer(asyncio.DatagramProtocol):
        def __init__(self) -> None:
            self.received, self.datagram_arrived = list[bytes](), asyncio.Event()

        def datagram_received(self, data: bytes, addr: object) -> None:
            self.received.append(data)
            self.datagram_arrived.set()

    async def scenario() -> None:
        loop, relay = asyncio.get_running_loop(), Relay(LinkRules(2, 1))
        await relay.open()
        peers = [await loop.create_datagram_endpoint(Peer, local_addr=("127.0.0.1", 0)) for _ in range(2)]
        for n, (transport, _) in enumerate(peers):
            relay.register_process(n, f"127.0.0.1:{transport.get_extra_info('sockname')[1]}")
        address = relay.addresses[1].split(":")
        relay.links.set_rule(LinkRule(stall=True), 0, 1)
        peers[0][0].sendto(b"late", (address[0], int(address[1])))
        async with asyncio.timeout(TIMEOUT_S):
            while not relay.stalled:
                await asyncio.sleep(0.001)
            assert not peers[1][1].received
            relay.links.clear_rules()
            relay.deliver_stalled()
            await peers[1][1].datagram_arrived.wait()
        assert peers[1][1].received == [b"late"] and not relay.stalled
        for transport, _ in peers:
            transport.close()
        relay.close()

    asyncio.run(scenario())


def test_datagrams_are_sent_to_loopback_addresses_only() -> None:
    async def scenario() -> None:
        logged = list[tuple[str, dict[str, object]]]()
        driver = MembershipDriver(
            MemberSettings("127.0.0.1:0", "c"),
            "me",
            1,
            lambda event, **fields: logged.append((event, fields)),
        )
        address = (await driver.open()).split(":")
        transport, _ = await asyncio.get_running_loop().create_datagram_endpoint(
            asyncio.DatagramProtocol, remote_addr=(address[0], int(address[1]))
        )
        remote_member = MemberRecord("x", "somewhere.invalid:9", 1)
        transport.sendto(
            messages.encode(
                messages.Datagram(messages.PROTOCOL_VERSION, "c", remote_member, messages.Ping(1))
            )
        )
        transport.sendto(b"\xc1 no packet")
        async with asyncio.timeout(TIMEOUT_S):
            while len({event for event, _ in logged} & {"member-unsent", "member-malformed"}) < 2:
                await asyncio.sleep(0.005)
        metrics = dict(driver.metrics())
        assert metrics["member.unsent"] >= 1 and metrics["member.malformed"] == 1
        assert ("member-unsent", {"peer": "somewhere.invalid:9", "error": "not a loopback address"}) in logged
        transport.close()
        driver.close()

    asyncio.run(scenario())


def test_a_killed_process_is_dead_in_the_views_of_the_others_until_it_restarts() -> None:
    async def scenario() -> None:
        async with membership_rig(3, 1) as rig:
            await rig.start()
            assert await rig.wait_for_agreement(rig.member_names(), TIMEOUT_S) is not None
            rig.programs[2].kill()
            await rig.programs[2].wait_until_ended()
            assert await rig.wait_for_agreement(rig.member_names(excluding=(2,)), TIMEOUT_S) is not None
            views = await rig.poll_views()
            assert [present_members(v) for v in views if v] == [{"m0", "m1"}] * 2
            states = Counter(m["state"] for v in views if v for m in v["members"])
            assert states == {"alive": 4, "dead": 2}
            # The restarted process has the same name and addresses, and a higher incarnation.
            before = next(m["incarnation"] for m in (views[0] or {})["members"] if m["name"] == "m2")
            await rig.programs[2].start()
            rig.register_processes()
            assert await rig.wait_for_agreement(rig.member_names(), TIMEOUT_S) is not None
            views = await rig.poll_views()
            after = next(m["incarnation"] for m in (views[0] or {})["members"] if m["name"] == "m2")
            assert after > before and rig.count_false_deaths() == 0

    asyncio.run(scenario())


def test_a_process_that_drains_is_shown_as_left_instead_of_dead() -> None:
    async def scenario() -> None:
        async with membership_rig(3, 2) as rig:
            await rig.start()
            assert await rig.wait_for_agreement(rig.member_names(), TIMEOUT_S) is not None
            rig.programs[0].start_draining()
            assert await rig.wait_for_agreement(rig.member_names(excluding=(0,)), TIMEOUT_S) is not None
            for view in (await rig.poll_views())[1:]:
                assert view is not None
                assert {m["name"]: m["state"] for m in view["members"]}["m0"] == "left"

    asyncio.run(scenario())


def test_a_partitioned_process_is_in_all_views_after_the_partition() -> None:
    async def scenario() -> None:
        async with membership_rig(3, 3) as rig:
            await rig.start()
            assert await rig.wait_for_agreement(rig.member_names(), TIMEOUT_S) is not None
            rig.links.set_rule_between(LinkRule(cut=True), [1])
            # The partitioned process declares the others dead.
            assert await rig.wait_for_agreement({"m1"}, TIMEOUT_S) is not None
            assert await rig.wait_for_agreement(rig.member_names(excluding=(1,)), TIMEOUT_S) is not None
            rig.links.clear_rules()
            assert await rig.wait_for_agreement(rig.member_names(), TIMEOUT_S) is not None

    asyncio.run(scenario())


def test_all_processes_move_requests_from_a_lost_zone_and_from_no_other() -> None:
    async def scenario() -> None:
        rig = zones.ZoneRig(zones.SCENARIOS[0]._replace(instances=6), 1)
        async with rig.running():
            requests = asyncio.create_task(send_requests(rig))
            try:
                await wait_for_plan(rig, lambda rows: rows == {})
                await rig.stop_members()
                await wait_for_plan(rig, lambda rows: rows.keys() == {"z0"} and "z0" not in rows["z0"])
            finally:
                requests.cancel()

    asyncio.run(scenario())


def test_a_stalled_process_keeps_its_plan_and_adopts_the_new_one_after_the_stall() -> None:
    async def scenario() -> None:
        rig = zones.ZoneRig(zones.SCENARIOS[0]._replace(instances=6), 1)
        async with rig.running():
            requests = asyncio.create_task(send_requests(rig))
            try:
                rig.links.set_rule(LinkRule(stall=True), receiver=4)
                await rig.stop_members()
                await wait_for_plan(rig, lambda rows: rows.keys() == {"z0"}, excluding=4)
                stalled_state = (await rig.poll_states())[4]
                assert stalled_state is not None and stalled_state["rows"] == {}
                rig.links.clear_rules()
                rig.relay.deliver_stalled()
                await wait_for_plan(rig, lambda rows: rows.keys() == {"z0"})
            finally:
                requests.cancel()

    asyncio.run(scenario())


async def send_requests(rig: zones.ZoneRig) -> None:
    """Send requests at a steady rate, to each process in turn."""
    tasks = set[asyncio.Task[None]]()
    for n in range(100_000):
        tasks.add(asyncio.create_task(rig.send_request(0.0, n % rig.instances)))
        tasks = {t for t in tasks if not t.done()}
        await asyncio.sleep(0.025)


async def wait_for_plan(
    rig: zones.ZoneRig, has_expected_rows: Callable[[dict[str, Any]], bool], excluding: int | None = None
) -> None:
    """Wait until all processes, but for an excluded one, hold a plan with the expected rows."""
    async with asyncio.timeout(2 * TIMEOUT_S):
        while True:
            states = await rig.poll_states()
            if all(
                s is not None and has_expected_rows(s["rows"]) for n, s in enumerate(states) if n != excluding
            ):
                return
            await asyncio.sleep(0.1)


def test_members_have_similar_numbers_of_clients_after_the_leader_is_killed() -> None:
    async def scenario() -> None:
        rig = subsets.SubsetRig(1, instances=4)
        async with rig.running():
            await rig.start(range(4))
            states = await rig.wait_for_stable_subsets("start", {}, 1)
            assert rig.result.settled and set(rig.client_counts(states)) == {2}
            rig.programs[0].kill()  # the fleet's leader
            states = await rig.wait_for_stable_subsets("leader killed", states, 1)
            assert len(states) == 3 and sorted(set(rig.client_counts(states))) == [1, 2]
            await rig.start(range(1))
            states = await rig.wait_for_stable_subsets("leader restarted", states, 1)
            assert rig.result.settled and set(rig.client_counts(states)) == {2}

    asyncio.run(scenario())


def test_a_failed_start_raises_an_error() -> None:
    async def scenario() -> None:
        async with membership_rig(1, 1, probe_wait=9.0) as rig:
            with pytest.raises(ProcessError, match="m0 ended"):
                await rig.programs[0].start()

    asyncio.run(scenario())
