"""The plan: which share of each zone's work goes to which zone, and how one plan follows from another.

A plan is made of the plan before, the zones' summaries and the moment, and of nothing else: whoever makes it
from the same comes to the same.  All instances use the plan with the highest number.

Two things keep it from swinging.  Trust in a zone falls at once, when what was seen can't be chance, and
comes back late: only after so long in unbroken and proven health, longer after each fall, and in steps.  And
a move that is small or soon after another waits, unless a zone has fallen.
"""

from __future__ import annotations

import math
from collections.abc import Mapping
from typing import NamedTuple

import msgspec

from saltcart.locality.evidence import BEGUN, POOR, PROVEN, upper
from saltcart.locality.reports import Summary
from saltcart.locality.settings import LocalitySettings
from saltcart.locality.sites import Sites
from saltcart.schema import unpack
from saltcart.wire.errors import MalformedMessageError

WHOLE = 1000  # shares are whole thousandths, so that all come to the same ones
FELL = 100  # thousandths less than was trusted: a fall, not chance
FULL = WHOLE - FELL // 2  # is as good as full
ONE_FALL = 10.0  # seconds within which further falls are the same one
ROUNDS = 4  # of handing out what is over to who still has room
KEPT_BACK = 0.7  # of what the limit keeps back may be used up before work is moved again
HOME_GAIN = 0.15  # of a zone's work that could be at home again: worth a move
PRESSED = 1 / 3  # of the wait for recovery, that is left of it while work is refused
MUCH = 50  # thousandths of a zone's work, refused: that is pressing
GIVES_WAY = 10.0  # seconds after others' work has left, before a zone's own may leave it too
AT_ONCE = 0.5  # seconds between two plans, whatever falls
KEPT_FOR_CHANCE = 1.0  # deviations of one second's work that a zone keeps free while there is room elsewhere
SAFE = 2.0  # deviations of one second's work that a zone keeps free in any case
FORGIVEN = 4.0  # times the wait for recovery, in full trust, after which a fall is forgotten


class Trust(msgspec.Struct, array_like=True, frozen=True):
    """How far one zone trusts another, where that is less than fully or was of late.

    ``share`` in thousandths; ``falls`` of late; ``next_at``: Unix seconds of the next step back if health
    lasts until then, or at which the falls are forgotten; 0 while it is as bad as it is trusted to be.
    ``level``: the health, in thousandths, that has lasted since the wait began.  ``fell_at``: Unix seconds.
    """

    origin: int
    target: int
    share: int = WHOLE
    falls: int = 0
    next_at: float = 0.0
    level: int = WHOLE
    fell_at: float = 0.0


def row_of(rows: Mapping[int, Mapping[int, int]], zone: int) -> Mapping[int, int]:
    """An empty row is one that refuses everything; only one that is not there keeps everything."""
    row = rows.get(zone)
    return {zone: WHOLE} if row is None else row


class Plan(msgspec.Struct, array_like=True, frozen=True):
    """``rows``: for each zone the thousandths of its work by target; what is missing is refused.

    A zone without a row keeps all of its work.
    """

    at: float = 0.0  # Unix seconds
    rows: dict[int, dict[int, int]] = {}
    trust: list[Trust] = []

    def row(self, zone: int) -> Mapping[int, int]:
        return row_of(self.rows, zone)

    def refused(self, zone: int) -> int:
        return WHOLE - sum(self.row(zone).values())


class Heard(NamedTuple):
    """A zone's newest summary and how many seconds ago it came."""

    ago: float
    summary: Summary


_encoder, _decoder = msgspec.msgpack.Encoder(), msgspec.msgpack.Decoder(Plan)


def encode(plan: Plan) -> bytes:
    return _encoder.encode(plan)


def read_plan(data: bytes, zones: int) -> Plan:
    """``MalformedMessageError`` for what is no plan of so many zones."""
    plan = unpack(_decoder, data, "plan")
    for origin, row in plan.rows.items():
        if (
            not 0 <= origin < zones
            or any(not 0 <= t < zones or s < 0 for t, s in row.items())
            or (sum(row.values()) > WHOLE)
        ):
            raise MalformedMessageError(f"a plan with a row amiss: zone {origin}")
    if any(not (0 <= t.origin < zones and 0 <= t.target < zones) for t in plan.trust):
        raise MalformedMessageError("a plan with trust in no zone")
    return plan


def usual(heard: Mapping[int, Heard]) -> float:
    """The share of good ends that zones have of late, by their own instances: that of the best third's last.

    What most zones suffer from is no zone's trouble, and no work is moved for it.
    """
    ends = [h.summary.ends.get(z, (0.0, 0.0)) for z, h in heard.items()]
    shares = sorted((good / (good + bad) if good + bad > 0 else 1.0 for good, bad in ends), reverse=True)
    return shares[len(shares) // 3] if shares else 1.0


def held(summary: Summary, target: int, common: float) -> float:
    """The share of a zone's capacity that is there, as the instances of another or the same zone find it."""
    if upper(*summary.ends.get(target, (0.0, 0.0))) < POOR * common:
        return 0.0
    return summary.grades.get(target, 1.0)


def seen(
    conf: LocalitySettings, heard: Mapping[int, Heard], origin: int, target: int, common: float = 1.0
) -> float:
    """The share of the target's capacity that is there for the origin, as both find it.

    A zone that has fallen silent may be alive inside its borders and full of its own work: it gets none of
    another's.  One that has never spoken has no instances; what the origin finds itself is all there is.
    ``common``: the share of good ends that is usual.
    """
    own = held(heard[origin].summary, target, common)
    other = heard.get(target)
    if origin == target or other is None:
        return own
    return min(own, held(other.summary, target, common)) if other.ago <= conf.stale else 0.0


def proof(heard: Mapping[int, Heard], target: int) -> float:
    """The odds for the target's health, by its own instances.

    Where none of them has work for it, no evidence is asked for.
    """
    other = heard.get(target)
    return other.summary.odds if other is not None and other.summary.demand > 0 else PROVEN


def follow(
    conf: LocalitySettings,
    before: Trust,
    now_seen: float,
    now: float,
    odds: float = PROVEN,
    pressed: bool = False,
) -> Trust:
    """Trust in the light of what is seen now: it falls at once and comes back late, in steps.

    ``odds``: those for the target's health, of the sequential test.  A wait begins when something speaks for
    it and ends when it is proven, however long the few ends of a small zone take for that.  ``pressed``: work
    is refused for want of room.  The wait keeps work from swinging that is served well elsewhere; what is
    served nowhere has nothing to lose by a try, so it is shorter then.
    """
    found, origin, target = round(now_seen * WHOLE), before.origin, before.target
    if found <= FELL:
        found = 0  # what is all but gone is gone: no work is to find that out
    if found < before.share - FELL or found == 0 < before.share:
        again = now - before.fell_at > ONE_FALL
        return Trust(origin, target, found, before.falls + again, fell_at=round(now, 1))
    fell = before.fell_at
    wait = min(conf.recover_most, conf.recover_for * 2 ** min(16, max(0, before.falls - 1)))
    if before.share >= FULL:  # nothing to win back
        if before.falls == 0:
            return Trust(origin, target)
        if before.next_at == 0:
            return Trust(origin, target, WHOLE, before.falls, round(now + FORGIVEN * wait, 1), WHOLE, fell)
        return Trust(origin, target) if now >= before.next_at else before
    if found <= before.share + FELL // 2:
        return Trust(origin, target, before.share, before.falls, fell_at=fell)  # health must last
    if before.next_at == 0 or found < before.level - FELL or odds < BEGUN:  # never well for long: a flap
        return Trust(origin, target, before.share, before.falls, round(now + wait, 1), found, fell)
    soon = wait * (1 - PRESSED) if pressed and before.share == 0 else 0.0
    if now < before.next_at - soon or odds < PROVEN:
        return before
    share = min(found, before.share + round(conf.step * WHOLE))
    if share >= FULL:
        return Trust(origin, target, WHOLE, before.falls, fell_at=fell)
    return Trust(origin, target, share, before.falls, round(now + conf.step_every, 1), before.level, fell)


def allocate(
    sites: Sites,
    demand: list[float],
    room: list[float],
    trust: Mapping[tuple[int, int], float],
    keep: list[float] | None = None,
) -> dict[int, dict[int, int]]:
    """Rows of shares: near first, in measure, never more into a zone than there is room for.

    ``room``: requests a second that each zone can take in all; ``trust``: by origin and target, 1 where there
    is none; ``keep``: of the room, what others' work takes only when it finds no place else, and then where
    there is most of it: the last bit of room next door is the dearest.  Rows that keep everything at home are
    left out.
    """
    count = len(sites.zones)
    placed = [dict[int, float]() for _ in range(count)]
    left, spare, kept = list(demand), list(room), keep or [0.0] * count
    for levels, all_of_it in (((0,), True), ((1,), False), ((2,), False), ((1, 2), True)):
        for _ in range(ROUNDS):
            open_to = spare if all_of_it else [max(0.0, s - k) for s, k in zip(spare, kept)]
            wants = [dict[int, float]() for _ in range(count)]
            for o in range(count):
                if left[o] <= 1e-9:
                    continue
                reach = {
                    t: open_to[t] * trust.get((o, t), 1.0) if t != o else open_to[t]
                    for level in levels
                    for t in sites.levels[o][level]
                }
                reach = {t: r for t, r in reach.items() if r > 1e-9}
                whole = sum(reach.values())
                wants[o] = {t: min(left[o], whole) * r / whole for t, r in reach.items()}
            inflow = [sum(w.get(t, 0.0) for w in wants) for t in range(count)]
            for o in range(count):
                for t, wanted in wants[o].items():
                    amount = wanted * min(1.0, open_to[t] / inflow[t])
                    placed[o][t] = placed[o].get(t, 0.0) + amount
                    left[o] -= amount
            spare = [max(0.0, spare[t] - min(open_to[t], inflow[t])) for t in range(count)]
    rows = {}
    for o in range(count):
        if demand[o] <= 1e-9:
            continue
        row = {t: int(WHOLE * amount / demand[o] + 1e-6) for t, amount in sorted(placed[o].items())}
        row = {t: share for t, share in row.items() if share}
        lost = WHOLE - sum(row.values())
        if left[o] <= 1e-6 * demand[o] and row:  # what rounding took goes where most goes
            row[max(row, key=lambda t: (row[t], -t))] += lost
        if row != {o: WHOLE}:
            rows[o] = row
    return rows


def moved(before: Plan, rows: Mapping[int, Mapping[int, int]], zone: int) -> int:
    """Thousandths of a zone's work that go elsewhere than before."""
    old, new = before.row(zone), row_of(rows, zone)
    targets = old.keys() | new.keys()
    apart = sum(abs(old.get(t, 0) - new.get(t, 0)) for t in targets)
    return (apart + abs(sum(old.values()) - sum(new.values()))) // 2


def stands(
    conf: LocalitySettings,
    sites: Sites,
    before: Plan,
    rows: Mapping[int, Mapping[int, int]],
    demand: list[float],
    room: list[float],
) -> bool:
    """Whether the plan before is still good enough.

    It is while nobody is too full, nobody refused who need not be, and not much more is to be had at home.
    """
    count, gain = len(sites.zones), round(HOME_GAIN * WHOLE)
    for o in range(count):
        kept, could = before.row(o), row_of(rows, o)
        refused = sum(could.values()) - sum(kept.values())
        if could.get(o, 0) - kept.get(o, 0) >= gain or refused >= gain:
            return False
    for t in range(count):
        if _inflow(before, demand, t) > room[t] * (1 + KEPT_BACK * (1 / conf.limit - 1)):
            return False
    return True


def _inflow(plan: Plan, demand: list[float], target: int) -> float:
    return sum(d * plan.row(o).get(target, 0) / WHOLE for o, d in enumerate(demand))


def _too_full(conf: LocalitySettings, plan: Plan, demand: list[float], room: list[float]) -> bool:
    """Whether some zone is sent more than it can do at all."""
    return any(_inflow(plan, demand, t) > r / conf.limit for t, r in enumerate(room))


def pressed_room(conf: LocalitySettings, able: float) -> float:
    """What a zone takes where work would else be refused.

    A large one strays less from its mean and is filled up to where chance would overrun it; a small one up to
    its limit as ever.
    """
    return max(conf.limit * able, min(conf.limit_pressed * able, able - SAFE * math.sqrt(able)))


def guests(before: Plan, known: Mapping[tuple[int, int], Trust], summary: Summary, now: float) -> bool:
    """Whether a zone in trouble has others' work, or had until just now: it is that which leaves first.

    A small zone with guests is now and then overrun by mere chance, and well again when they are gone.  To
    move its own work too would be the herd that falls on one zone after the other.
    """
    zone = summary.zone
    own = known.get((zone, zone))
    if (own is not None and now - own.fell_at < GIVES_WAY) or summary.grades.get(zone, 1.0) * WHOLE <= FELL:
        return False  # it is falling already, or none of its members is left
    return any(row.get(zone, 0) > 0 for o, row in before.rows.items() if o != zone) or any(
        t == zone != o and now - trust.fell_at < GIVES_WAY for (o, t), trust in known.items()
    )


def propose(
    conf: LocalitySettings, sites: Sites, before: Plan, heard: Mapping[int, Heard], now: float
) -> Plan | None:
    """The plan that follows; None where the one before stands."""
    fresh = [o for o in range(len(sites.zones)) if o in heard and heard[o].ago <= conf.stale]
    known, common = {(t.origin, t.target): t for t in before.trust}, usual(heard)
    pressed = any(before.refused(o) >= MUCH for o in before.rows)
    trust, fell, stepped = dict[tuple[int, int], Trust](), False, False
    for o in fresh:
        for t in range(len(sites.zones)):
            old = known.get((o, t), Trust(o, t))
            new = follow(conf, old, seen(conf, heard, o, t, common), now, proof(heard, t), pressed)
            if o == t and new.share < old.share and guests(before, known, heard[t].summary, now):
                new = old
            fell |= new.share < old.share and before.row(o).get(t, 0) > 0
            stepped |= o == t and new.share > old.share  # others' work has no need to come back
            if new != Trust(o, t):
                trust[o, t] = new
    for pair, old in known.items():
        if pair[0] not in fresh:
            trust[pair] = old  # those cut off decide for themselves
    demand = [heard[o].summary.demand if o in fresh else 0.0 for o in range(len(sites.zones))]
    home = [trust[t, t].share / WHOLE if (t, t) in trust else 1.0 for t in range(len(sites.zones))]
    able = [sites.capacity[t] * home[t] for t in range(len(sites.zones))]
    room = [conf.limit * a for a in able]
    # The smaller a zone is, the further its work strays from the mean.
    keep = [max(0.0, r - (a - KEPT_FOR_CHANCE * math.sqrt(a))) for r, a in zip(room, able)]
    trusted = {pair: v.share / WHOLE for pair, v in trust.items()}
    rows = allocate(sites, demand, room, trusted, keep)
    if any(WHOLE - sum(row.values()) >= MUCH for row in rows.values()):
        room = [pressed_room(conf, a) for a in able]
        rows = allocate(sites, demand, room, trusted)
    for o, row in before.rows.items():
        if o not in fresh:
            rows[o] = dict(row)
    listed = [trust[pair] for pair in sorted(trust)]
    most = max((moved(before, rows, o) for o in range(len(sites.zones))), default=0)
    since = now - before.at
    wait = AT_ONCE if fell else conf.step_every if stepped else conf.hold
    if not (fell or stepped):
        if stands(conf, sites, before, rows, demand, room):
            most = 0
        elif not _too_full(conf, before, demand, room):
            wait = conf.settle
    if most >= round(conf.least_move * WHOLE) and since >= wait:
        return Plan(round(now, 1), rows, listed)
    if listed != before.trust and since >= AT_ONCE:
        # The trust goes on, for the next plan is made of it; the work stays where it is.
        return Plan(before.at, before.rows, listed)
    return None
