"""The protocol of one member: probes, suspicions, refutations, news, and whole comparisons.

After SWIM (Das, Gupta and Motivala, 2002) and Lifeguard (Dadgar, Phillips and Currey, 2017).  Fed packets and
moments, it leaves what is to be sent in ``out``; it knows no socket and no clock of its own.

- Each interval one member is probed.  Unanswered, the probe is sent once more; then ``helpers`` others probe
  in our place; then the member is a suspect.
- A suspect is told so by whatever is sent to it, and refutes by a higher incarnation.  Those who have failed
  to reach it keep trying until the suspicion ends.  Nobody declares a member dead whom it has not failed to
  reach itself.
- Reports go along with probes and answers, least told first, and by themselves while there are any.
- Now and then two members compare their digests and give each other what they lack.  One that is gone is
  tried in the same way, so that two halves find each other again.
"""

from __future__ import annotations

import random
from collections.abc import Callable, Iterable
from math import log10

from saltcart.core.timers import Timers
from saltcart.member import messages as m
from saltcart.member.board import Board, Post
from saltcart.member.record import Record, State
from saltcart.member.settings import MemberSettings
from saltcart.member.spread import Spread, tellings
from saltcart.member.suspicion import LocalHealth, Suspicion
from saltcart.member.view import BUCKETS, Change, Roster, Rotation, View

CURIOUS = 5.0  # members, on the average, that look for themselves when they hear of a suspicion
PUT_OFF = 3  # comparisons in a row that wait for news still under way, which would only be told twice
SYNC_PACKETS = 32  # that one comparison may send: the rest is for the next one
PATIENCE = 1.5  # times a suspicion's span, after which one that never tried the suspect looks for itself
JITTER = 0.2  # of an interval, either way, so that members do not act in step
LEAVE_TELLS = 2  # rounds of news at once when a member leaves: it has no time for more
Sent = tuple[str, m.Packet]  # to which address, and what


class Probe:
    """A probe of one member that is under way."""

    __slots__ = ("asked", "heard", "incarnation", "nacks", "name")

    def __init__(self, name: str, incarnation: int) -> None:
        self.name, self.incarnation = name, incarnation
        self.heard, self.asked, self.nacks = False, 0, 0


class Relay:
    """A probe in another's place."""

    __slots__ = ("address", "seq")

    def __init__(self, address: str, seq: int) -> None:
        self.address, self.seq = address, seq


class Detector:
    """``changed`` is told of each change of the view, ``name_taken`` that another process has our name."""

    def __init__(
        self,
        conf: MemberSettings,
        name: str,
        address: str,
        rng: random.Random,
        now: float,
        born: int,
        base: Roster | None = None,
    ) -> None:
        self.conf, self.rng, self.now = conf, rng, now
        self.me = Record(name, address, born, State.ALIVE, conf.zone, conf.region)
        self.view, self.spread, self.health = View(base), Spread(), LocalHealth()
        self.rotation, self.timers = Rotation(rng), Timers()
        self.board = Board()
        # Told of what another member gives to this one: from whom, on which topic, and what.
        self.given: Callable[[Record, str, bytes], None] = lambda sender, topic, data: None
        self.out: list[Sent] = []
        self.seq = 0
        self.probes: dict[int, Probe] = {}
        self.relays: dict[int, Relay] = {}
        self.suspicions: dict[str, Suspicion] = {}
        self.changed: Callable[[Change], None] = lambda change: None
        self.name_taken: Callable[[Record], None] = lambda record: None
        self.leaving = self.silent = False  # silent: another process has this member's name
        self.put_off = 0
        self.refuted = self.accused = self.foreign = self.packets = 0
        self.view.merge(self.me, now)
        self.peers = tuple(s for s in conf.seeds if s != address)
        self.timers.call_at(now + conf.probe_every * rng.random(), self._probe_next)
        self.timers.call_at(now + conf.gossip_every * rng.random(), self._gossip)
        self.timers.call_at(now + conf.sync_every * rng.random(), self._sync)
        if self.peers:
            self.timers.call_at(now, self._join, 0)

    # ---- what the driver calls ----------------------------------------------------------------

    def tick(self, now: float) -> None:
        """Run what is due."""
        self.now = now
        self.timers.run(now)

    def next_due(self) -> float | None:
        return self.timers.next_due()

    def drain(self) -> list[Sent]:
        """What is to be sent, once."""
        out, self.out = self.out, []
        return out

    def received(self, now: float, packet: m.Packet) -> None:
        self.now = now
        self.packets += 1
        if self.silent:
            return
        if packet.cluster != self.conf.cluster:
            self.foreign += 1
            return
        sender = packet.sender
        if sender.name == self.me.name:
            self._hear(sender)
            return
        self._hear(sender)
        known = self.view.get(sender.name)
        if known is not None and known.incarnation > sender.incarnation:  # an older process of that name
            self._packet(sender.address, m.Tell(), [known])
        message = packet.message
        news = packet.news
        if isinstance(message, m.Records):
            for record in news:
                self._hear(self._softened(record, sender.name))
        else:
            for record in news:
                self._hear(record)
        for post in packet.posts:
            self.board.take(post, now)
        if not self.silent:
            self._act(sender, message)

    def leave(self, now: float) -> None:
        """Say that this member leaves; it answers probes until its process ends."""
        self.now = now
        if self.leaving or self.silent:
            return
        self.leaving = True
        self.me = self.me.said(State.LEFT, self.me.name)
        self._take(self.me)
        for _ in range(LEAVE_TELLS):
            self._tell_some()

    def post(self, now: float, topic: str, data: bytes, number: int | None = None) -> None:
        """Put something on the board that all members share."""
        self.now = now
        self.board.write(topic, self.me.name, data, now, number)

    def give(self, now: float, name: str, topic: str, data: bytes) -> None:
        """Something for one member alone, sent once; lost where a packet is."""
        self.now = now
        if name == self.me.name:
            self.given(self.me, topic, data)
        elif (target := self.view.get(name)) is not None:
            self._send(target.address, name, m.Give(topic, data), len(data) + len(topic))

    # ---- sending ------------------------------------------------------------------------------

    def _send(self, address: str, name: str, message: m.Message, room: int = 0) -> None:
        """One packet, with as much news as fits; ``name`` is told if it is taken for anything but alive."""
        room = m.MOST_BYTES - m.OVERHEAD - self.me.size() - room
        news = list[Record]()
        known = self.view.get(name) if name else None
        if known is not None and known.state != State.ALIVE:
            news.append(known)
            room -= known.size()
        posts = list[Post]()
        if not isinstance(message, (m.Records, m.Parts)):
            most = tellings(self.view.present)
            told = [r for r in self.spread.take(room, most) if r is not known]
            news += told
            if len(self.board.tiers):
                posts = self.board.tiers.take(room - sum(r.size() for r in told), most)
        self._packet(address, message, news, posts)

    def _packet(
        self, address: str, message: m.Message, news: list[Record], posts: list[Post] | None = None
    ) -> None:
        self.out.append((address, m.Packet(m.WIRE, self.conf.cluster, self.me, message, news, posts or [])))

    def _number(self) -> int:
        self.seq += 1
        return self.seq

    def _jittered(self, seconds: float) -> float:
        return seconds * (1 + JITTER * (2 * self.rng.random() - 1))

    # ---- what is heard ------------------------------------------------------------------------

    def _softened(self, record: Record, by: str) -> Record:
        """In a comparison: another's word that one is dead whom we take for alive makes a suspect of it."""
        known = self.view.get(record.name)
        if record.state == State.DEAD and known is not None and known.present:
            return record.said(State.SUSPECT, by)
        return record

    def _hear(self, record: Record) -> None:
        if record.name == self.me.name:
            self._hear_of_me(record)
            return
        known = self.view.get(record.name)
        if known is None and not record.present:
            return  # it is gone and was never known: nothing to remember
        if (
            known is not None
            and record.state == State.SUSPECT
            and record.by
            and (known.incarnation == record.incarnation and known.state == State.SUSPECT)
        ):
            self._confirm(record)
        self._take(record)

    def _hear_of_me(self, record: Record) -> None:
        if record.address != self.me.address:
            if record.state == State.ALIVE and record.incarnation > self.me.incarnation:
                self.silent = True  # a later process has this name: two would refute each other for ever
                self.timers.heap.clear()
                self.name_taken(record)
            return
        refuted = record.state != self.me.state and record.incarnation >= self.me.incarnation
        if refuted or record.incarnation > self.me.incarnation:
            state = State.LEFT if self.leaving else State.ALIVE
            self.me = self.me.said(state, self.me.name, record.incarnation + 1)
            self.refuted += 1
            self.health.note(+1)
            self._take(self.me)

    def _take(self, record: Record) -> None:
        """Merge a report; pass it on if it tells anything new."""
        change = self.view.merge(record, self.now)
        if change is None:
            return
        self.spread.put(record)
        if record.state == State.SUSPECT:
            self._suspicion(record)
        else:
            self.suspicions.pop(record.name, None)
        self.changed(change)

    def _act(self, sender: Record, message: m.Message) -> None:
        match message:
            case m.Ping(seq):
                self._send(sender.address, sender.name, m.Ack(seq))
            case m.Ack(seq):
                self._acked(seq)
            case m.Give(topic, data):
                self.given(sender, topic, data)
            case m.Ask(seq, name, address):
                number = self._number()
                self.relays[number] = Relay(sender.address, seq)
                self._send(address, name, m.Ping(number))
                wait = self.conf.probe_wait
                self.timers.call_at(self.now + wait / 2, self._relay_again, number, name, address)
                self.timers.call_at(self.now + wait, self._relay_over, number)
            case m.Nack(seq):
                if (probe := self.probes.get(seq)) is not None:
                    probe.nacks += 1
            case m.Digest(whole):
                if whole != self.view.digest and not self._in_flux():
                    self._send(sender.address, sender.name, m.Parts(list(self.view.digests)))
            case m.Parts(digests):
                differ = [n for n in range(min(BUCKETS, len(digests))) if digests[n] != self.view.digests[n]]
                if differ:
                    self._send_records(sender.address, differ, wanted=True)
            case m.Records(wanted):
                if wanted:
                    self._send_records(sender.address, [n for n in wanted if 0 <= n < BUCKETS], wanted=False)

    # ---- probes -------------------------------------------------------------------------------

    def _probe_next(self) -> None:
        """One member an interval; a member that is in trouble itself takes longer ones."""
        every = self._jittered(self.health.stretched(self.conf.probe_every))
        self.timers.call_at(self.now + every, self._probe_next)
        if self.leaving:
            return
        size = len(self.view)
        for _ in range(min(size, 64)):
            target = self.view.at(self.rotation.next(size))
            if target is not None and target.present and target.name != self.me.name:
                self._begin(target)
                return

    def _begin(self, target: Record) -> None:
        seq, wait = self._number(), self.health.stretched(self.conf.probe_wait)
        self.probes[seq] = Probe(target.name, target.incarnation)
        self._send(target.address, target.name, m.Ping(seq))
        self.timers.call_at(self.now + wait / 2, self._again, seq)
        self.timers.call_at(self.now + wait, self._ask, seq)

    def _again(self, seq: int) -> None:
        probe = self.probes[seq]
        target = self.view.get(probe.name)
        if not probe.heard and target is not None:
            self._send(target.address, target.name, m.Ping(seq))

    def _ask(self, seq: int) -> None:
        probe = self.probes[seq]
        target = self.view.get(probe.name)
        if probe.heard or target is None or not target.present:
            del self.probes[seq]
            return
        helpers = self.view.sample(self.rng, self.conf.helpers, {probe.name, self.me.name})
        for helper in helpers:
            self._send(helper.address, helper.name, m.Ask(seq, target.name, target.address))
        self._send(target.address, target.name, m.Ping(seq))
        probe.asked = len(helpers)
        # A helper needs the wait for its own probe and the way there and back.
        self.timers.call_at(self.now + self.health.stretched(2 * self.conf.probe_wait), self._over, seq)

    def _over(self, seq: int) -> None:
        probe = self.probes.pop(seq)
        target = self.view.get(probe.name)
        if probe.heard or target is None or not target.present or target.incarnation != probe.incarnation:
            return
        # Helpers that are not heard from tell of this member's own trouble, not of the target's.
        self.health.note(1 if probe.asked == 0 else probe.asked - probe.nacks)
        self._accuse(target)

    def _acked(self, seq: int) -> None:
        if (relay := self.relays.pop(seq, None)) is not None:
            self._send(relay.address, "", m.Ack(relay.seq))
        elif (probe := self.probes.get(seq)) is not None and not probe.heard:
            probe.heard = True
            self.health.note(-1)

    def _relay_again(self, number: int, name: str, address: str) -> None:
        if number in self.relays:
            self._send(address, name, m.Ping(number))

    def _relay_over(self, number: int) -> None:
        if (relay := self.relays.pop(number, None)) is not None:
            self._send(relay.address, "", m.Nack(relay.seq))

    # ---- suspicions ---------------------------------------------------------------------------

    def _accuse(self, target: Record) -> None:
        self.accused += 1
        record = target.said(State.SUSPECT, self.me.name)
        if target.state == State.ALIVE:
            self._take(record)
        suspicion = self.suspicions.get(target.name)
        if suspicion is None:
            return
        if not suspicion.tried:
            suspicion.tried = True  # it ends sooner for one who knows for itself
            self._watch(target.name, suspicion)
        self._confirm(record)
        if suspicion.ends() <= self.now:
            self._declare(target.name)
        else:
            self._knock(target.name, suspicion)

    def _suspicion(self, record: Record) -> None:
        """The view has a new suspect."""
        conf, others = self.conf, self.view.present - 2  # neither this member nor the suspect
        scale = max(1.0, log10(max(1, self.view.present)))
        least = conf.suspect_for * conf.probe_every * scale
        suspicion = Suspicion(
            self.now,
            record.incarnation,
            least,
            least * conf.suspect_most,
            min(conf.confirmations, others - 1),
        )
        suspicion.confirm(record.by)
        self.suspicions[record.name] = suspicion
        self._watch(record.name, suspicion)
        if record.by != self.me.name and self.rng.random() < CURIOUS / max(1.0, others):
            self.timers.call_at(
                self.now + self.rng.random() * conf.probe_every / 2, self._look, record.name, suspicion
            )

    def _watch(self, name: str, suspicion: Suspicion) -> None:
        ends = suspicion.ends()
        if not suspicion.tried:
            ends += (PATIENCE - 1 + JITTER * self.rng.random()) * (ends - suspicion.began)
        self.timers.call_at(max(ends, self.now), self._ended, name, suspicion)

    def _confirm(self, record: Record) -> None:
        suspicion = self.suspicions.get(record.name)
        if (
            suspicion is not None
            and suspicion.incarnation == record.incarnation
            and (suspicion.confirm(record.by))
        ):
            self.spread.put(record)
            self._watch(record.name, suspicion)

    def _look(self, name: str, suspicion: Suspicion) -> None:
        """Look for oneself, whatever others say."""
        target = self.view.get(name)
        if self.suspicions.get(name) is suspicion and target is not None:
            self._begin(target)

    def _knock(self, name: str, suspicion: Suspicion) -> None:
        """Who has failed to reach a suspect keeps trying: its answer alone clears it."""
        target = self.view.get(name)
        if self.suspicions.get(name) is suspicion and target is not None:
            self._send(target.address, name, m.Ping(self._number()))
            self.timers.call_at(self.now + self.conf.probe_wait, self._knock, name, suspicion)

    def _ended(self, name: str, suspicion: Suspicion) -> None:
        if self.suspicions.get(name) is not suspicion:
            return
        target = self.view.get(name)
        if suspicion.ends() > self.now or target is None:
            return  # confirmed or refuted meanwhile: another timer has been armed
        if suspicion.tried:
            self._declare(name)
        else:
            self._begin(target)
            self._watch(name, suspicion)

    def _declare(self, name: str) -> None:
        if (target := self.view.get(name)) is not None:
            self._take(target.said(State.DEAD, self.me.name))

    # ---- news, comparisons, joining -----------------------------------------------------------

    def _tell_some(self) -> None:
        for peer in self.view.sample(self.rng, self.conf.fanout, {self.me.name}):
            self._send(peer.address, peer.name, m.Tell())

    def _gossip(self) -> None:
        if len(self.spread) or len(self.board.tiers):
            self._tell_some()
        self.timers.call_at(self.now + self._jittered(self.conf.gossip_every), self._gossip)

    def _sync(self) -> None:
        """Compare with one who is there, and try one who is gone or a seed that is not known."""
        self.timers.call_at(self.now + self._jittered(self.conf.sync_every), self._sync)
        self.view.forget(self.now - self.conf.forget_after)
        digest = m.Digest(self.view.digest)
        if not self._in_flux():
            for peer in self.view.sample(self.rng, 1, {self.me.name}):
                self._send(peer.address, peer.name, digest)
        if self.board.posts:
            room = m.MOST_BYTES - m.OVERHEAD - self.me.size()
            for peer in self.view.sample(self.rng, 1, {self.me.name}):
                self._packet(peer.address, m.Tell(), [], self.board.turn(room))
        if (lost := self._lost()) is not None:
            self._send(*lost, digest)

    def _in_flux(self) -> bool:
        """News is under way, so views differ anyhow; where there is always news it is no excuse."""
        if len(self.spread) and self.put_off < PUT_OFF:
            self.put_off += 1
            return True
        self.put_off = 0
        return False

    def _lost(self) -> tuple[str, str] | None:
        """Address and name of one that may have come back."""
        dead = [r for name in self.view.gone if (r := self.view.get(name)) and r.state == State.DEAD]
        known = {r.address for r in self.view} if self.peers else set()
        lost = [(r.address, r.name) for r in dead] + [(a, "") for a in self.peers if a not in known]
        return self.rng.choice(lost) if lost else None

    def _send_records(self, address: str, parts: Iterable[int], wanted: bool) -> None:
        """All that is known of some parts, in packets; the first says whether the same is wanted back."""
        parts = list(parts)
        ask = m.Records(parts if wanted else [])
        room_at_first = m.MOST_BYTES - m.OVERHEAD - self.me.size()
        chunk, room, sent = list[Record](), room_at_first - 2 * len(parts), 0
        records = self.view.in_buckets(parts)
        self.rng.shuffle(records)  # what does not go this time goes another time
        for record in records:
            if record.size() > room:
                self._packet(address, ask if sent == 0 else m.Records([]), chunk)
                chunk, room, sent = [], room_at_first, sent + 1
                if sent == SYNC_PACKETS:
                    return
            chunk.append(record)
            room -= record.size()
        if chunk or (wanted and sent == 0):
            self._packet(address, ask if sent == 0 else m.Records([]), chunk)

    def _join(self, tries: int) -> None:
        """Ask the seeds until another member is known; a longer wait each time."""
        if self.view.present > 1:
            return
        digest = m.Digest(self.view.digest)
        for seed in self.peers:
            self._packet(seed, digest, [])
        wait = min(self.conf.sync_every, self.conf.probe_wait * 2 ** min(tries, 6))
        self.timers.call_at(self.now + self._jittered(wait), self._join, tries + 1)

    # ---- what is shown ------------------------------------------------------------------------

    def figures(self) -> list[tuple[str, int]]:
        states = [State(r.state) for r in self.view]
        return [
            ("member.alive", states.count(State.ALIVE)),
            ("member.suspect", states.count(State.SUSPECT)),
            ("member.dead", states.count(State.DEAD)),
            ("member.left", states.count(State.LEFT)),
            ("member.version", self.view.version),
            ("member.health", self.health.score),
            ("member.refuted", self.refuted),
            ("member.accused", self.accused),
            ("member.packets", self.packets),
            ("member.foreign", self.foreign),
        ]

    def state(self) -> dict[str, object]:
        """The view as operators and other programs read it; times are the detector's own clock."""
        return {
            "name": self.me.name,
            "cluster": self.conf.cluster,
            "incarnation": self.me.incarnation,
            "version": self.view.version,
            "digest": f"{self.view.digest:016x}",
            "present": self.view.present,
            "health": self.health.score,
            "members": [
                {
                    "name": r.name,
                    "address": r.address,
                    "incarnation": r.incarnation,
                    "state": State(r.state).name.lower(),
                    "zone": r.zone,
                    "region": r.region,
                    "by": r.by,
                }
                for r in sorted(self.view, key=lambda r: r.name)
            ],
            "history": [
                {
                    "version": c.version,
                    "ago": round(self.now - c.at, 3),
                    "name": c.record.name,
                    "state": State(c.record.state).name.lower(),
                    "incarnation": c.record.incarnation,
                    "by": c.record.by,
                    "before": None if c.before is None else c.before.name.lower(),
                }
                for c in self.view.history
            ],
        }
