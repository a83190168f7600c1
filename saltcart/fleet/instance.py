"""One instance's part in choices that must add up: its class, its share of the limit, and its turns.

The first instance by name follows the two tables, of members and of instances, and posts the parts that
change. Within a class each tells the first of it by name what it is asked for, and that one posts the sum.
"""

from __future__ import annotations

import random
from collections import Counter
from collections.abc import Callable, Mapping, Sequence
from typing import Protocol

import msgspec

from saltcart.fleet.classes import PARTS, encode_part, follow, part_of, preferred, read_part, short
from saltcart.fleet.settings import FleetSettings
from saltcart.fleet.shares import Share
from saltcart.fleet.turns import Retry, next_turn, place_of
from saltcart.locality.demand import QUICK, Demand
from saltcart.membership.member_record import MemberRecord
from saltcart.schema import unpack

MEMBERS, INSTANCES, SUM, REPORT = "fleet/members/", "fleet/instances/", "fleet/sum/", "fleet/report"
RETRY_FIRST, RETRY_MOST = 0.5, 8.0  # seconds until a member that refused is tried again; doubled each time
SETTLED = 1.0  # seconds for which those present must not have changed before the tables follow them


class Sum(msgspec.Struct, array_like=True, frozen=True):
    """What a class is asked for, in requests a second, by so many of its instances.

    ``loads``: requests under way at each member, by its place among the sorted members, over all of them.
    """

    demand: float
    clients: int
    loads: dict[int, int] = {}


class Told(msgspec.Struct, array_like=True, frozen=True):
    """What one instance is asked for, and what it has under way at each member."""

    demand: float
    loads: dict[int, int] = {}


class Fleet(Protocol):
    """Membership, as far as it is needed here."""

    def present(self) -> Sequence[str]:
        """The names of those present, sorted."""

    def write_register(self, topic: str, data: bytes) -> None: ...
    def send_direct(self, name: str, topic: str, data: bytes) -> None: ...


_encoder = msgspec.msgpack.Encoder()
_sums, _tolds = msgspec.msgpack.Decoder(Sum), msgspec.msgpack.Decoder(Told)


class Together:
    """``members``: the upstream's hosts and what each can do, requests a second; 0 for no limit."""

    def __init__(
        self,
        conf: FleetSettings,
        members: Mapping[str, float],
        name: str,
        rng: random.Random,
        fleet: Fleet,
        load: Callable[[str], float],
        now: float,
    ) -> None:
        self.conf, self.members, self.name, self.rng = conf, members, name, rng
        self.fleet, self.load = fleet, load
        self.classes = min(conf.classes, max(1, len(members)))
        self.tables: dict[str, dict[int, dict[int, int]]] = {MEMBERS: {}, INSTANCES: {}}  # by part and digest
        self.sums: dict[int, tuple[float, Sum]] = {}
        self.reports: dict[str, tuple[float, Told]] = {}
        self.places = {h: n for n, h in enumerate(sorted(members))}
        self.shared: dict[int, int] = {}  # what the class has under way, as it was told last
        self.retries: dict[str, Retry] = {}  # members that refused, and until when each is left alone
        self.resting: dict[str, float] = {}
        self.demand, self.told = Demand(QUICK), 0.0
        self.seen: tuple[str, ...] = ()
        self.seen_at = now
        self.next_at = now + conf.report_every * rng.random()
        self.share = Share(self._limit())
        self.refused = self.reconnected = 0
        self.subset = self._subset()

    # ---- the tables ---------------------------------------------------------------------------

    def class_of(self, kind: str, name: str) -> int:
        """By the table, or by the name alone where it is not there yet."""
        found = self.tables[kind].get(part_of(name), {}).get(short(name))
        return preferred(name, self.classes) if found is None or found >= self.classes else found

    @property
    def own(self) -> int:
        return self.class_of(INSTANCES, self.name)

    def _subset(self) -> tuple[str, ...]:
        own = self.own
        mine = tuple(h for h in self.members if self.class_of(MEMBERS, h) == own)
        return mine or tuple(self.members)

    def _limit(self) -> float:
        return sum(self.members[h] for h in self._subset())

    def posted(self, now: float, topic: str, data: bytes) -> None:
        """``MalformedMessageError`` for a post that is none."""
        for kind in (MEMBERS, INSTANCES):
            if topic.startswith(kind) and topic.removeprefix(kind).isdecimal():
                part = int(topic.removeprefix(kind))
                if part < PARTS:
                    self.tables[kind][part] = read_part(data, self.classes)
                    self._moved()
        if topic.startswith(SUM) and topic.removeprefix(SUM).isdecimal():
            self.sums[int(topic.removeprefix(SUM))] = now, unpack(_sums, data, "sum")
            self._confirm(now)

    def _moved(self) -> None:
        subset = self._subset()
        if subset != self.subset:
            self.reconnected += len(set(subset) - set(self.subset))
            self.subset = subset
            self.share.limit = self._limit()

    def _follow(self, kind: str, names: Sequence[str]) -> None:
        """Post the parts of a table that change."""
        held = {n: self.class_of(kind, n) for n in names if short(n) in self.tables[kind].get(part_of(n), {})}
        after = follow(held, names, self.classes)
        for part in range(PARTS):
            data = encode_part(after, part)
            if read_part(data, self.classes) != self.tables[kind].get(part, {}):
                self.fleet.write_register(f"{kind}{part}", data)

    # ---- telling ------------------------------------------------------------------------------

    def given(self, now: float, sender: MemberRecord, topic: str, data: bytes) -> None:
        """``MalformedMessageError`` for a report that is none."""
        if topic == REPORT:
            self.reports[sender.name] = now, unpack(_tolds, data, "report")

    def tick(self, now: float) -> None:
        """Tell what is due, at this instance's own turn."""
        if now < self.next_at:
            return
        present = self.fleet.present()
        self.next_at = next_turn(now, self.conf.report_every, place_of(self.name, present))
        if tuple(present) != self.seen:
            self.seen, self.seen_at = tuple(present), now
        if present and present[0] == self.name and now - self.seen_at >= SETTLED:
            self._follow(MEMBERS, sorted(self.members))
            self._follow(INSTANCES, present)
        own = self.own
        self.told = round(self.demand.rate(now), 3)
        told = Told(self.told, {self.places[h]: n for h in self.subset if (n := self.under_way(h))})
        peers = [n for n in present if self.class_of(INSTANCES, n) == own]
        if not peers or peers[0] == self.name:
            self.reports[self.name] = now, told
            self.reports = {
                n: (at, t)
                for n, (at, t) in self.reports.items()
                if now - at <= self.conf.stale and self.class_of(INSTANCES, n) == own
            }
            loads = Counter[int]()
            for _, one in self.reports.values():
                loads.update(one.loads)
            total = Sum(
                round(sum(t.demand for _, t in self.reports.values()), 3), len(self.reports), dict(loads)
            )
            self.fleet.write_register(f"{SUM}{own}", _encoder.encode(total))
        else:
            self.fleet.send_direct(peers[0], REPORT, _encoder.encode(told))

    # ---- requests -----------------------------------------------------------------------------

    def _confirm(self, now: float) -> None:
        at, total = self.sums.get(self.own, (float("-inf"), Sum(0.0, 0)))
        self.shared = total.loads if now - at <= self.conf.stale else {}
        if now - at <= self.conf.stale and total.clients:
            self.share.confirm(now, self.told, max(total.demand, self.told), total.clients)

    def clients(self) -> int:
        """Instances of the own class."""
        own = self.own
        return max(1, sum(self.class_of(INSTANCES, n) == own for n in self.seen))

    def arrived(self, now: float) -> bool:
        """Whether a request fits into this instance's share; if not it is refused at once."""
        self.demand.add(now)
        if self.share.limit <= 0 or self.share.take(now, self.clients()):
            return True
        self.refused += 1
        return False

    def under_way(self, host: str) -> int:
        return max(0, round(self.load(host)) - 1)

    def _busy(self, host: str) -> float:
        """What this instance has at a member now, and what the whole class had when it was told last."""
        return self.load(host) + self.shared.get(self.places[host], 0)

    def choose(self, now: float, tried: set[str]) -> str | None:
        """The less loaded of two of the subset; of the others only when all of it was tried."""
        left = [h for h in self.subset if h not in tried] or [h for h in self.members if h not in tried]
        if not left:
            return None
        left = [h for h in left if self.resting.get(h, 0.0) <= now] or left
        return min(self.rng.choice(left), self.rng.choice(left), key=self._busy)

    def ended(self, now: float, host: str, good: bool, refused: bool) -> None:
        """A member that refused is tried again at this instance's own turn, later each time."""
        if refused:
            retry = self.retries.setdefault(host, Retry(RETRY_FIRST, RETRY_MOST))
            self.resting[host] = retry.failed(now, place_of(self.name, self.seen))
        elif good and host in self.retries:
            del self.retries[host]
            self.resting.pop(host, None)

    # ---- what is shown ------------------------------------------------------------------------

    def figures(self) -> list[tuple[str, int]]:
        return [
            ("fleet.class", self.own),
            ("fleet.subset", len(self.subset)),
            ("fleet.clients", self.clients()),
            ("fleet.refused", self.refused),
            ("fleet.reconnected", self.reconnected),
        ]

    def state(self, now: float) -> dict[str, object]:
        return {
            "class": self.own,
            "classes": self.classes,
            "subset": sorted(self.subset),
            "clients": self.clients(),
            "limit": self.share.limit,
            "share": round(self.share.rate(now, self.clients()), 3),
            "sums": {
                str(c): {"demand": s.demand, "clients": s.clients, "ago": round(now - at, 1)}
                for c, (at, s) in self.sums.items()
            },
            "refused": self.refused,
            "reconnected": self.reconnected,
        }
