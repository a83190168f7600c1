"""The fault rig, and three real processes in it: one is killed, another paused, a third cut off."""

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
from saltcart.membership import messages as m
from saltcart.membership.member_record import MemberRecord
from saltcart.membership.settings import MemberSettings
from saltcart.net.membership_driver import MembershipDriver

WAIT = 30.0  # seconds that a busy machine may take for what takes three


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
def test_a_rule_does_what_it_says(rule: LinkRule, expected: tuple[float, ...]) -> None:
    assert decide_delivery(rule, random.Random(1)) == Delivery(expected)
    assert decide_delivery(LinkRule(stall=True), random.Random(1)) == Delivery((), keep=True)


def test_a_links_luck_is_its_own_and_the_same_for_a_seed() -> None:
    def played(seed: int, others: int) -> list[bool]:
        links = LinkRules(3, seed)
        links.set_rule(LinkRule(drop=0.5))
        out = []
        for _ in range(50):
            for _ in range(others):
                links.next_delivery(1, 2)
            out.append(bool(links.next_delivery(0, 1).copy_delays))
        return out

    assert played(1, 0) == played(1, 5) != played(2, 0)
    assert 10 < sum(played(1, 0)) < 40


def test_rules_are_for_one_way_both_or_between_groups() -> None:
    links = LinkRules(4, 1)
    links.set_rule(LinkRule(cut=True), 0, 1)
    assert links.rule_for(0, 1).cut and not links.rule_for(1, 0).cut
    links.set_rule(LinkRule(drop=0.1), 2, 3, both=True)
    assert links.rule_for(3, 2).drop == links.rule_for(2, 3).drop == 0.1
    links.clear_rules()
    links.set_rule_between(LinkRule(cut=True), [0, 1])
    cut = {(a, b) for a in range(4) for b in range(4) if links.rule_for(a, b).cut}
    assert cut == {(a, b) for a in range(4) for b in range(4) if (a < 2) != (b < 2)}


def test_what_a_stalled_link_keeps_goes_on_when_it_is_released() -> None:
    class Peer(asyncio.DatagramProtocol):
        def __init__(self) -> None:
            self.heard, self.more = list[bytes](), asyncio.Event()

        def datagram_received(self, data: bytes, addr: object) -> None:
            self.heard.append(data)
            self.more.set()

    async def play() -> None:
        loop, relay = asyncio.get_running_loop(), Relay(LinkRules(2, 1))
        await relay.open()
        ends = [await loop.create_datagram_endpoint(Peer, local_addr=("127.0.0.1", 0)) for _ in range(2)]
        for n, (transport, _) in enumerate(ends):
            relay.register_process(n, f"127.0.0.1:{transport.get_extra_info('sockname')[1]}")
        to = relay.addresses[1].split(":")
        relay.links.set_rule(LinkRule(stall=True), 0, 1)
        ends[0][0].sendto(b"late", (to[0], int(to[1])))
        async with asyncio.timeout(WAIT):
            while not relay.stalled:
                await asyncio.sleep(0.001)
            assert not ends[1][1].heard
            relay.links.clear_rules()
            relay.deliver_stalled()
            await ends[1][1].more.wait()
        assert ends[1][1].heard == [b"late"] and not relay.stalled
        for transport, _ in ends:
            transport.close()
        relay.close()

    asyncio.run(play())


def test_no_datagram_goes_where_a_peer_says_but_to_loopback() -> None:
    async def play() -> None:
        logged = list[tuple[str, dict[str, object]]]()
        gossip = MembershipDriver(
            MemberSettings("127.0.0.1:0", "c"),
            "me",
            1,
            lambda event, **fields: logged.append((event, fields)),
        )
        at = (await gossip.open()).split(":")
        transport, _ = await asyncio.get_running_loop().create_datagram_endpoint(
            asyncio.DatagramProtocol, remote_addr=(at[0], int(at[1]))
        )
        stranger = MemberRecord("x", "somewhere.invalid:9", 1)
        transport.sendto(m.encode(m.Datagram(m.PROTOCOL_VERSION, "c", stranger, m.Ping(1))))
        transport.sendto(b"\xc1 no packet")
        async with asyncio.timeout(WAIT):
            while len({event for event, _ in logged} & {"member-unsent", "member-malformed"}) < 2:
                await asyncio.sleep(0.005)
        figures = dict(gossip.figures())
        assert figures["member.unsent"] >= 1 and figures["member.malformed"] == 1
        assert ("member-unsent", {"peer": "somewhere.invalid:9", "error": "not a loopback address"}) in logged
        transport.close()
        gossip.close()

    asyncio.run(play())


def test_of_three_processes_one_is_killed_and_gone_from_the_others_views() -> None:
    async def play() -> None:
        async with membership_rig(3, 1) as r:
            await r.start()
            assert await r.wait_for_agreement(r.member_names(), WAIT) is not None
            r.programs[2].kill()
            await r.programs[2].wait_until_ended()
            assert await r.wait_for_agreement(r.member_names(excluding=(2,)), WAIT) is not None
            views = await r.poll_views()
            assert [present_members(v) for v in views if v] == [{"m0", "m1"}] * 2
            states = Counter(m["state"] for v in views if v for m in v["members"])
            assert states == {"alive": 4, "dead": 2}
            # It comes back at its old addresses: the same name, newer than it was.
            before = next(m["incarnation"] for m in (views[0] or {})["members"] if m["name"] == "m2")
            await r.programs[2].start()
            r.register_processes()
            assert await r.wait_for_agreement(r.member_names(), WAIT) is not None
            views = await r.poll_views()
            after = next(m["incarnation"] for m in (views[0] or {})["members"] if m["name"] == "m2")
            assert after > before and r.count_false_deaths() == 0

    asyncio.run(play())


def test_a_process_that_is_told_to_end_has_left_and_is_not_dead() -> None:
    async def play() -> None:
        async with membership_rig(3, 2) as r:
            await r.start()
            assert await r.wait_for_agreement(r.member_names(), WAIT) is not None
            r.programs[0].start_draining()
            assert await r.wait_for_agreement(r.member_names(excluding=(0,)), WAIT) is not None
            for view in (await r.poll_views())[1:]:
                assert view is not None
                assert {m["name"]: m["state"] for m in view["members"]}["m0"] == "left"

    asyncio.run(play())


def test_a_cut_off_process_comes_back_into_all_views() -> None:
    async def play() -> None:
        async with membership_rig(3, 3) as r:
            await r.start()
            assert await r.wait_for_agreement(r.member_names(), WAIT) is not None
            r.links.set_rule_between(LinkRule(cut=True), [1])
            assert await r.wait_for_agreement({"m1"}, WAIT) is not None  # it alone takes the others for dead
            assert await r.wait_for_agreement(r.member_names(excluding=(1,)), WAIT) is not None
            r.links.clear_rules()
            assert await r.wait_for_agreement(r.member_names(), WAIT) is not None

    asyncio.run(play())


def test_a_lost_zone_is_left_by_all_processes_and_the_others_keep_their_work() -> None:
    async def play() -> None:
        r = zones.ZoneRig(zones.SCENARIOS[0]._replace(instances=6), 1)
        async with r.running():
            calls = asyncio.create_task(ask(r))
            try:
                await holds(r, lambda rows: rows == {})
                await r.stop_members()
                await holds(r, lambda rows: rows.keys() == {"z0"} and "z0" not in rows["z0"])
            finally:
                calls.cancel()

    asyncio.run(play())


def test_a_process_that_nothing_reaches_keeps_the_plan_of_before_and_takes_up_the_new_one() -> None:
    async def play() -> None:
        r = zones.ZoneRig(zones.SCENARIOS[0]._replace(instances=6), 1)
        async with r.running():
            calls = asyncio.create_task(ask(r))
            try:
                r.links.set_rule(LinkRule(stall=True), receiver=4)
                await r.stop_members()
                await holds(r, lambda rows: rows.keys() == {"z0"}, but=4)
                behind = (await r.poll_states())[4]
                assert behind is not None and behind["rows"] == {}
                r.links.clear_rules()
                r.relay.deliver_stalled()
                await holds(r, lambda rows: rows.keys() == {"z0"})
            finally:
                calls.cancel()

    asyncio.run(play())


async def ask(r: zones.ZoneRig) -> None:
    """A steady stream of requests, to each process in turn."""
    tasks = set[asyncio.Task[None]]()
    for n in range(100_000):
        tasks.add(asyncio.create_task(r.send_request(0.0, n % r.instances)))
        tasks = {t for t in tasks if not t.done()}
        await asyncio.sleep(0.025)


async def holds(r: zones.ZoneRig, wanted: Callable[[dict[str, Any]], bool], but: int | None = None) -> None:
    """All processes hold such a plan, but for that one."""
    async with asyncio.timeout(2 * WAIT):
        while True:
            states = await r.poll_states()
            if all(s is not None and wanted(s["rows"]) for n, s in enumerate(states) if n != but):
                return
            await asyncio.sleep(0.1)


def test_members_have_as_many_clients_as_each_other_after_a_process_is_killed() -> None:
    async def play() -> None:
        r = subsets.SubsetRig(1, instances=4)
        async with r.running():
            await r.start(range(4))
            states = await r.wait_for_stable_subsets("start", {}, 1)
            assert r.result.settled and set(r.client_counts(states)) == {2}
            r.programs[0].kill()  # the one that follows the tables
            states = await r.wait_for_stable_subsets("one dies", states, 1)
            assert len(states) == 3 and sorted(set(r.client_counts(states))) == [1, 2]
            await r.start(range(1))
            states = await r.wait_for_stable_subsets("it comes back", states, 1)
            assert r.result.settled and set(r.client_counts(states)) == {2}

    asyncio.run(play())


def test_a_program_that_cannot_start_is_told_with_its_reason() -> None:
    async def play() -> None:
        async with membership_rig(1, 1, probe_wait=9.0) as r:
            with pytest.raises(ProcessError, match="m0 ended"):
                await r.programs[0].start()

    asyncio.run(play())
