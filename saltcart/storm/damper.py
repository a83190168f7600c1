"""The one object that the core speaks to: what a try is, and when its caller should come back.

It refuses nothing by itself.  The module decides who is let in: it is told that a caller has kept its
moment, and that one has come before it.
"""

from __future__ import annotations

import random
from typing import NamedTuple

from saltcart.decision.connection_admission import ConnectionAdmission
from saltcart.decision.settings import Settings
from saltcart.storm.appointments import Appointments
from saltcart.storm.calendar import LEAST_SHARE, Calendar
from saltcart.storm.capacity import Strength, Throughput
from saltcart.storm.filters import Counts, Heavy, Seen
from saltcart.storm.fingerprints import Fingerprints
from saltcart.storm.gate import Gate
from saltcart.storm.settings import StormSettings
from saltcart.storm.sources import Sources
from saltcart.storm.weather import Sky, Weather

EARLY = 0.1  # seconds before its moment from which a caller is on time
CROWD = 1.5  # equal parts of what is let in, beyond which a source only has what others leave
FEEDS = 2.0  # tries for each new request from which going round the list only feeds the storm


LIGHT = 0.5  # of a crowd's count, up to which a source is as light as can be


def weight(count: float, crowd: float) -> float:
    """How near a source with ``count`` offers of late is to being a crowd."""
    return min(1.0, max(0.0, count / crowd - LIGHT) / (1 - LIGHT))


class TrackedAttempt(NamedTuple):
    """What is known of one try."""

    fingerprint: int  # its fingerprint
    is_retry: bool  # it was refused here of late
    has_reservation: bool  # it comes at the moment that it was given
    is_early: bool  # it comes before that


class RejectionAdvice(NamedTuple):
    """What a caller that is refused is told; ``after``: seconds until its moment."""

    retry_after: float
    is_final: bool  # no other server should be tried


class Damper:
    def __init__(
        self, conf: StormSettings, settings: Settings, seed: int, now: float, started: float
    ) -> None:
        self.conf, self.rng = conf, random.Random(seed)
        self.fingerprints = Fingerprints(self.rng.getrandbits(64))
        self.refusals = Seen(conf.memory)
        self.counts, self.heavy = Counts(conf.memory), Heavy()
        self.appointments, self.weather = Appointments(now - 1.0), Weather()
        strength = Strength(settings, started)
        self.throughput = Throughput(strength, settings.cores, conf.reading)
        self.calendar = Calendar(self.rng, conf.horizon, self._room)
        self.gate = Gate(conf.over, conf.reading, self.capacity, self.in_storm)
        self.sources = Sources()
        self.gated = False  # tries are counted at the door
        self.now, self.kept, self.early, self.again = now, 0, 0, 0
        self.told, self.full = 0, 0
        self.most_tries = 0  # that one piece of refused work came with again, by the count-min sketch

    def _room(self, when: float) -> float:
        """Places a second for callers that return: the capacity then, less the new work of now."""
        capacity = self.throughput.rate(self.now, when)
        return max(LEAST_SHARE * capacity, capacity - self.weather.new_rate(self.now))

    def capacity(self, now: float) -> float:
        return self.throughput.rate(now, now)

    # ---- what the fronts and the core tell ----------------------------------------------------

    def admit_connection(self, now: float, source: int) -> ConnectionAdmission:
        """A connection of this source (a digest of its address) brings a request: may it be read?"""
        self.now, self.gated = now, True
        self.weather.offered(now)
        count = self.sources.offered(now, source)
        part = self.sources.part(self.conf.over * self.capacity(now))
        # Nobody's place could be taken where there is nobody else, or room for all: a balancer that carries
        # much is no crowd by that alone.
        alone = len(self.sources.offers) < 2 or not (
            self.in_storm(now) or self.weather.flooded(now, self.capacity(now))
        )
        # How early a source comes tells nothing here: behind one address there may be many callers.
        last = not alone and count > CROWD * part
        if not self.gate.admits(now, last, 0.0 if alone else weight(count, CROWD * part)):
            return ConnectionAdmission.REFUSE
        return ConnectionAdmission.READ_LAST if last else ConnectionAdmission.READ

    def record_arrival(
        self, now: float, account: str, klass: str, key: bytes | None, subject: str | None, body: bytes
    ) -> TrackedAttempt:
        self.now = now
        mark = self.fingerprints.of(account, klass, key, subject, body)
        again = self.refusals.has(now, mark)
        if not self.gated:
            self.weather.offered(now)
        self.weather.arrived(now, again)
        if not again:
            return TrackedAttempt(mark, False, False, False)
        self.again += 1
        self.most_tries = max(self.most_tries, self.counts.add(now, mark))
        self.heavy.add(now, account)
        moment = self.appointments.get(mark)
        if moment is None or now > moment + self.conf.grace:
            return TrackedAttempt(mark, True, False, False)
        early = now < moment - EARLY
        self.early += early
        self.kept += not early
        return TrackedAttempt(mark, True, not early, early)

    def record_rejection(self, now: float, mark: int) -> RejectionAdvice:
        """A try was turned away.  One that came early is told the same moment again."""
        self.now = now
        self.weather.refused(now)
        self.refusals.add(now, mark)
        return self._moment(now, mark, self.in_storm(now) and self.weather.amplification(now) >= FEEDS)

    def _moment(self, now: float, mark: int, feeds: bool) -> RejectionAdvice:
        moment = self.appointments.get(mark)
        if moment is None or moment < now + EARLY:
            moment = self.calendar.give(now, self.conf.least)
            if moment is None:  # nothing is free in all the horizon: a moment beyond it, and no place
                self.full += 1
                return RejectionAdvice(self.conf.horizon * (1 + self.rng.random() / 2), True)
            self.appointments.put(now, mark, moment)
            self.told += 1
        return RejectionAdvice(max(0.0, moment - now), feeds)

    def record_success(self, now: float, mark: int, again: bool) -> None:
        self.now = now
        if again:
            self.appointments.remove(mark)

    def record_run(self, now: float, took: float, full: bool, running: int) -> None:
        self.throughput.run_ended(now, took, full, running)
        self.gate.run_ended(full)

    def reject_unread(self, now: float, source: int) -> RejectionAdvice:
        """A connection that was not read: its source is given a moment, the same until then."""
        return self._moment(now, source, False)

    def source_of(self, address: str) -> int:
        """The digest by which a source is known."""
        return self.fingerprints.of(address, "", None, None, b"")

    def record_advice(self, now: float, source: int, after: float) -> None:
        """A source was told to come back ``after`` seconds: until then it has only what others leave."""
        self.appointments.put(now, source, now + after)

    # ---- a look at it -------------------------------------------------------------------------

    def in_storm(self, now: float) -> bool:
        return self.weather.look(now, self.capacity(now)) is Sky.STORM

    def bytes(self) -> int:
        """What the sketches and tables hold."""
        return self.refusals.bytes() + self.counts.bytes() + self.appointments.bytes()

    def figures(self, now: float) -> list[tuple[str, int]]:
        w = self.weather
        return [
            ("storm.on", int(self.in_storm(now))),
            ("storm.storms", w.storms),
            ("storm.amplification_percent", round(100 * w.amplification(now))),
            ("storm.new_per_s", round(w.new_rate(now))),
            ("storm.again", self.again),
            ("storm.kept", self.kept),
            ("storm.early", self.early),
            ("storm.told", self.told),
            ("storm.calendar_full", self.full),
            ("storm.most_tries", self.most_tries),
            ("storm.unread", self.gate.stopped),
        ]

    def state(self, now: float) -> dict[str, object]:
        return {
            **{name.removeprefix("storm."): value for name, value in self.figures(now)},
            "amplifiers": [{"tenant": name, "tries": round(count)} for name, count in self.heavy.top()],
        }
