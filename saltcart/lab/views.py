"""Membership's data structures, each beside a plain one: bytes and time.

A view on a shared roster beside a dict of its own, the news by number of tellings beside a list that is
sorted for each packet, the walk by a stride beside a list that is shuffled each round, and the digest that is
kept beside one that is made anew.
"""

from __future__ import annotations

import random
import time
import tracemalloc
from collections.abc import Callable
from typing import Any

from saltcart.membership.dissemination import UpdateQueue, retransmit_limit
from saltcart.membership.member_record import MemberRecord, MemberState
from saltcart.membership.view import MembershipSnapshot, MembershipView, ProbeRotation

ROOM = 1000  # bytes of a packet for news
VIEWS = 20  # members that hold the same list


class SortedNews:
    """Reports with how often each was told; sorted whenever some are taken."""

    def __init__(self) -> None:
        self.told: dict[str, tuple[int, MemberRecord]] = {}

    def put(self, record: MemberRecord) -> None:
        self.told[record.name] = 0, record

    def take(self, room: int, most: int) -> list[MemberRecord]:
        out = list[MemberRecord]()
        for name, (times, record) in sorted(self.told.items(), key=lambda item: item[1][0]):
            if record.max_encoded_bytes() > room:
                break
            room -= record.max_encoded_bytes()
            out.append(record)
            self.told[name] = times + 1, record
            if times + 1 >= most:
                del self.told[name]
        return out


class Shuffled:
    def __init__(self, rng: random.Random) -> None:
        self.rng, self.order = rng, list[int]()

    def next(self, size: int) -> int:
        if not self.order:
            self.order = list(range(size))
            self.rng.shuffle(self.order)
        return self.order.pop()


def held(make: Callable[[], object]) -> tuple[int, object]:
    """Bytes that what is made holds."""
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    made = make()
    size = tracemalloc.get_traced_memory()[0] - before
    tracemalloc.stop()
    return size, made


def timed(count: int, call: Callable[[int], object]) -> float:
    """Nanoseconds a call."""
    begun = time.process_time()
    for n in range(count):
        call(n)
    return 1e9 * (time.process_time() - begun) / count


def run(quick: bool, seed: int) -> tuple[list[list[str]], dict[str, Any]]:
    count = 2_000 if quick else 10_000
    records = [MemberRecord(f"member-{n}", f"127.0.0.1:{n}", 1 << 40, zone="z1") for n in range(count)]
    roster, rng = MembershipSnapshot(records), random.Random(seed)
    out: dict[str, tuple[float, float]] = {}  # ours and the plain one's

    def changed(view: MembershipView) -> MembershipView:
        for record in records[:20]:
            view.merge(record.reported_as(MemberState.DEAD, "x"), 0.0)
        return view

    ours, _ = held(lambda: [changed(MembershipView(roster)) for _ in range(VIEWS)])
    plain, _ = held(lambda: [{r.name: r for r in records} for _ in range(VIEWS)])
    out["view, bytes each"] = ours / VIEWS, plain / VIEWS

    def news(made: UpdateQueue | SortedNews) -> Callable[[int], object]:
        for record in records[:500]:
            made.put(record)
        most = retransmit_limit(count)

        def step(n: int) -> None:
            made.put(records[n % 500])
            made.take(ROOM, most)

        return step

    out["news, ns a packet"] = timed(2_000, news(UpdateQueue())), timed(2_000, news(SortedNews()))
    turns = ProbeRotation(rng), Shuffled(rng)
    out["turn, ns each"] = (
        timed(5 * count, lambda n: turns[0].next(count)),
        timed(5 * count, lambda n: turns[1].next(count)),
    )
    sizes = (
        held(lambda: _walked(ProbeRotation(rng), count))[0],
        held(lambda: _walked(Shuffled(rng), count))[0],
    )
    out["turn, bytes"] = sizes[0], sizes[1]
    view = MembershipView(roster)

    def made_anew(n: int) -> int:
        digest = 0
        for record in view:
            digest ^= record.fingerprint()
        return digest

    out["digest, ns each"] = timed(200, lambda n: view.digest), timed(5, made_anew)
    rows = [["", "ours", "plain"], *([name, f"{a:,.0f}", f"{b:,.0f}"] for name, (a, b) in out.items())]
    figures: dict[str, Any] = {"members": count, "seed": seed}
    for name, (a, b) in out.items():
        key = name.replace(", ", "_").replace(" ", "_")
        figures |= {key: round(a), f"{key}_plain": round(b)}
    return rows, figures


def _walked(turn: ProbeRotation | Shuffled, size: int) -> ProbeRotation | Shuffled:
    turn.next(size)
    return turn
