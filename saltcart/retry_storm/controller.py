"""The one object that the core speaks to: what an attempt is, and when its caller should come back.

It rejects nothing by itself.  The decision module decides who is admitted: it is told that a caller comes at
its moment, and that one comes before it.
"""

from __future__ import annotations

import random
from typing import NamedTuple

from saltcart.decision.connection_admission import ConnectionAdmission
from saltcart.decision.settings import Settings
from saltcart.retry_storm.admission_rate import AdmissionTokenBucket
from saltcart.retry_storm.capacity import CapacityEstimator, WarmUpCurve
from saltcart.retry_storm.fingerprints import Fingerprints
from saltcart.retry_storm.retry_reservations import RetryReservations
from saltcart.retry_storm.retry_schedule import MIN_RETRY_SHARE, RetrySchedule
from saltcart.retry_storm.settings import StormSettings
from saltcart.retry_storm.sketches import CountMinSketch, HeavyHitters, RotatingBloomFilter
from saltcart.retry_storm.source_fairness import SourceFairness
from saltcart.retry_storm.storm_detector import StormDetector, StormState

EARLY_SECONDS = 0.1  # before its moment, from which a caller is on time
CROWD_FACTOR = 1.5  # equal parts of what is admitted, beyond which a source only has what others leave
FEEDING_AMPLIFICATION = 2.0  # from which trying other servers only feeds the storm
LIGHT_SHARE = 0.5  # of a crowd's count, up to which a source is as light as can be


def crowd_weight(count: float, crowd: float) -> float:
    """Return how near a source with ``count`` offers of late is to being a crowd, 0 to 1."""
    return min(1.0, max(0.0, count / crowd - LIGHT_SHARE) / (1 - LIGHT_SHARE))


class TrackedAttempt(NamedTuple):
    """What is known of one attempt."""

    fingerprint: int
    is_retry: bool  # it was rejected here of late
    has_reservation: bool  # it comes at the moment that it was given
    is_early: bool  # it comes before that


class RejectionAdvice(NamedTuple):
    """What a caller that is rejected is told; ``retry_after``: seconds until its moment."""

    retry_after: float
    is_final: bool  # no other server should be tried


class RetryStormController:
    """Tells retries from new work, and gives rejected callers moments to come back."""

    def __init__(
        self,
        storm_settings: StormSettings,
        settings: Settings,
        seed: int,
        now: float,
        started_at: float,
    ) -> None:
        """``started_at``: when the server started, for a cold one grows warm."""
        self.settings = storm_settings
        self.rng = random.Random(seed)
        self.fingerprints = Fingerprints(self.rng.getrandbits(64))
        self.recent_rejections = RotatingBloomFilter(storm_settings.memory)
        self.retry_counts = CountMinSketch(storm_settings.memory)
        self.retrying_tenants = HeavyHitters()
        self.reservations = RetryReservations(now - 1.0)
        self.detector = StormDetector()
        warm_up = WarmUpCurve(settings, started_at)
        self.capacity_estimator = CapacityEstimator(warm_up, settings.cores, storm_settings.reading)
        self.schedule = RetrySchedule(self.rng, storm_settings.horizon, self._retry_capacity)
        self.token_bucket = AdmissionTokenBucket(
            storm_settings.over, storm_settings.reading, self.capacity, self.in_storm
        )
        self.source_fairness = SourceFairness()
        self.counts_connections = False  # attempts are counted before they are read
        self.now = now
        self.on_time_retry_count = 0  # retries that came at their moments
        self.early_retry_count = 0
        self.retry_count = 0
        self.reservation_count = 0
        self.schedule_full_count = 0
        self.most_attempts = 0  # of one piece of rejected work, by the count-min sketch

    def _retry_capacity(self, when: float) -> float:
        """Return places a second for retries: the capacity then, less the new work of now."""
        capacity = self.capacity_estimator.rate(self.now, when)
        return max(MIN_RETRY_SHARE * capacity, capacity - self.detector.new_rate(self.now))

    def capacity(self, now: float) -> float:
        """Return requests a second that this server does now."""
        return self.capacity_estimator.rate(now, now)

    # ---- what the fronts and the core report --------------------------------------------------

    def admit_connection(self, now: float, source: int) -> ConnectionAdmission:
        """Decide whether a connection of this source, a digest of its address, may be read."""
        self.now = now
        self.counts_connections = True
        self.detector.record_offer(now)
        count = self.source_fairness.record_offer(now, source)
        crowd = CROWD_FACTOR * self.source_fairness.equal_part(self.settings.over * self.capacity(now))
        takes_from_others = self._takes_from_others(now)
        # How early a source comes tells nothing here: behind one address there may be many callers.
        is_last = takes_from_others and count > crowd
        weight = crowd_weight(count, crowd) if takes_from_others else 0.0
        if not self.token_bucket.admit(now, is_last, weight):
            return ConnectionAdmission.REFUSE
        return ConnectionAdmission.READ_LAST if is_last else ConnectionAdmission.READ

    def _takes_from_others(self, now: float) -> bool:
        """Whether one source's connection could take another's place.

        None could where there is nobody else, or room for all: a balancer that carries much is no crowd by
        that alone.
        """
        has_others = len(self.source_fairness.offers) >= 2
        return has_others and (self.in_storm(now) or self.detector.is_flooded(now, self.capacity(now)))

    def record_arrival(
        self, now: float, account: str, class_name: str, key: bytes | None, subject: str | None, body: bytes
    ) -> TrackedAttempt:
        """Recognise an attempt that was read."""
        self.now = now
        fingerprint = self.fingerprints.of(account, class_name, key, subject, body)
        is_retry = self.recent_rejections.has(now, fingerprint)
        if not self.counts_connections:
            self.detector.record_offer(now)
        self.detector.record_arrival(now, is_retry)
        if not is_retry:
            return TrackedAttempt(fingerprint, is_retry=False, has_reservation=False, is_early=False)
        self.retry_count += 1
        self.most_attempts = max(self.most_attempts, self.retry_counts.add(now, fingerprint))
        self.retrying_tenants.add(now, account)
        moment = self.reservations.get(fingerprint)
        if moment is None or now > moment + self.settings.grace:
            return TrackedAttempt(fingerprint, is_retry=True, has_reservation=False, is_early=False)
        is_early = now < moment - EARLY_SECONDS
        self.early_retry_count += is_early
        self.on_time_retry_count += not is_early
        return TrackedAttempt(fingerprint, is_retry=True, has_reservation=not is_early, is_early=is_early)

    def record_rejection(self, now: float, fingerprint: int) -> RejectionAdvice:
        """Record an attempt that was rejected; one that came early is told the same moment again."""
        self.now = now
        self.detector.record_rejection(now)
        self.recent_rejections.add(now, fingerprint)
        feeds_storm = self.in_storm(now) and self.detector.amplification(now) >= FEEDING_AMPLIFICATION
        return self._advise(now, fingerprint, feeds_storm)

    def _advise(self, now: float, digest: int, is_final: bool) -> RejectionAdvice:
        moment = self.reservations.get(digest)
        if moment is None or moment < now + EARLY_SECONDS:
            moment = self.schedule.reserve(now, self.settings.least)
            if moment is None:  # nothing is free in all the horizon: a moment beyond it, and no place
                self.schedule_full_count += 1
                return RejectionAdvice(self.settings.horizon * (1 + self.rng.random() / 2), True)
            self.reservations.put(now, digest, moment)
            self.reservation_count += 1
        return RejectionAdvice(max(0.0, moment - now), is_final)

    def record_success(self, now: float, fingerprint: int, is_retry: bool) -> None:
        """Record an attempt that was served."""
        self.now = now
        if is_retry:
            self.reservations.remove(fingerprint)

    def record_run(self, now: float, seconds: float, is_full: bool, running: int) -> None:
        """Record a run that is over; ``is_full``: others waited for its slot."""
        self.capacity_estimator.record_run(now, seconds, is_full, running)
        self.token_bucket.record_run(is_full)

    def reject_unread(self, now: float, source: int) -> RejectionAdvice:
        """Record a connection that was not read: its source is given a moment, the same until then."""
        return self._advise(now, source, is_final=False)

    def source_of(self, address: str) -> int:
        """Return the digest by which a source is known."""
        return self.fingerprints.of(address, "", None, None, b"")

    def record_advice(self, now: float, source: int, retry_after: float) -> None:
        """Record that a source was told to come back after so many seconds."""
        self.reservations.put(now, source, now + retry_after)

    # ---- what is shown ------------------------------------------------------------------------

    def in_storm(self, now: float) -> bool:
        """Whether a storm is under way."""
        return self.detector.update(now, self.capacity(now)) is StormState.STORM

    def size_bytes(self) -> int:
        """Return the bytes of the sketches and tables."""
        return (
            self.recent_rejections.size_bytes()
            + self.retry_counts.size_bytes()
            + self.reservations.size_bytes()
        )

    def figures(self, now: float) -> list[tuple[str, int]]:
        """Return the figures that operators are shown."""
        detector = self.detector
        return [
            ("storm.on", int(self.in_storm(now))),
            ("storm.storms", detector.storm_count),
            ("storm.amplification_percent", round(100 * detector.amplification(now))),
            ("storm.new_per_s", round(detector.new_rate(now))),
            ("storm.again", self.retry_count),
            ("storm.kept", self.on_time_retry_count),
            ("storm.early", self.early_retry_count),
            ("storm.told", self.reservation_count),
            ("storm.calendar_full", self.schedule_full_count),
            ("storm.most_tries", self.most_attempts),
            ("storm.unread", self.token_bucket.rejected_count),
        ]

    def state(self, now: float) -> dict[str, object]:
        """Return what the administration API shows."""
        heaviest = self.retrying_tenants.top()
        return {
            **{name.removeprefix("storm."): value for name, value in self.figures(now)},
            "amplifiers": [{"tenant": name, "tries": round(count)} for name, count in heaviest],
        }
