"""Retry storm control: recognises retries and schedules the retries of rejected requests.

The core and the fronts use this module only, through ``saltcart.core.ports.RetryStormControl``.  Among the
requests that have been read it rejects none: the decision module decides about them, and learns whether a
retry comes at or before its reserved time.
"""

from __future__ import annotations

import random
from dataclasses import dataclass
from typing import NamedTuple

from saltcart.decision.connection_admission import ConnectionAdmission
from saltcart.decision.settings import Settings
from saltcart.retry_storm.admission_rate import AdmissionTokenBucket
from saltcart.retry_storm.capacity import CapacityEstimator, WarmUpCurve
from saltcart.retry_storm.fingerprints import Fingerprinter
from saltcart.retry_storm.retry_reservations import RetryReservations
from saltcart.retry_storm.retry_schedule import MIN_RETRY_SHARE, RetrySchedule
from saltcart.retry_storm.settings import StormSettings
from saltcart.retry_storm.sketches import CountMinSketch, HeavyHitters, RotatingBloomFilter
from saltcart.retry_storm.source_fairness import SourceFairness
from saltcart.retry_storm.storm_detector import StormDetector, StormState

EARLY_TOLERANCE_SECONDS = 0.1  # before its reserved time, within which a retry counts as on time
HEAVY_SOURCE_FACTOR = 1.5  # multiple of its fair share above which a source is heavy
FINAL_REJECTION_AMPLIFICATION = 2.0  # retry amplification from which trying other servers feeds the storm
LIGHT_SOURCE_SHARE = 0.5  # of the heavy threshold, up to which a source counts as fully light


def source_heaviness(count: float, heavy_threshold: float) -> float:
    """Return how close a source is to being heavy, from 0 to 1.

    Args:
        count: Decayed count of the source's attempts.
        heavy_threshold: Decayed count above which a source is heavy.
    """
    return min(1.0, max(0.0, count / heavy_threshold - LIGHT_SOURCE_SHARE) / (1 - LIGHT_SOURCE_SHARE))


class TrackedAttempt(NamedTuple):
    """One attempt of a request.

    Attributes:
        fingerprint: The same for all attempts of one request.
        is_retry: Whether the request was rejected by this server recently.
        has_reservation: Whether the attempt comes at its reserved time.
        is_early: Whether the attempt comes before its reserved time.
    """

    fingerprint: int
    is_retry: bool
    has_reservation: bool
    is_early: bool


class RejectionAdvice(NamedTuple):
    """Advice to a rejected caller.

    Attributes:
        retry_after: Seconds until the time of its retry.
        is_final: Whether no other server should be tried.
    """

    retry_after: float
    is_final: bool


@dataclass(slots=True)
class RetryCounts:
    """Counts of attempts since the start."""

    on_time_retries: int = 0  # at their reserved time
    early_retries: int = 0  # before it
    retries: int = 0
    reservations: int = 0
    schedule_full: int = 0  # rejections without a reservation
    unread: int = 0  # requests that were rejected unread
    max_retries_per_request: int = 0  # by the count-min sketch


class RetryStormController:
    """Distinguishes retries from new requests and reserves retry times for rejected callers."""

    def __init__(
        self,
        storm_settings: StormSettings,
        settings: Settings,
        seed: int,
        now: float,
        started_at: float,
    ) -> None:
        """Create a controller without history.

        Args:
            storm_settings: The ``[storm]`` table.
            settings: Settings of the service.
            seed: Seed of the jitter and of the fingerprints.
            now: Current time in seconds.
            started_at: Time in seconds when the server started, from which a cold server warms up.
        """
        self.settings = storm_settings
        self.rng = random.Random(seed)
        self.fingerprinter = Fingerprinter(self.rng.getrandbits(64))
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
        self.counts_connections = False  # whether attempts are counted on connection, before they are read
        self.now = now
        self.counts = RetryCounts()

    def _retry_capacity(self, when: float) -> float:
        """Return the retries per second to reserve at a time: its capacity less the current new requests."""
        capacity = self.capacity_estimator.rate(self.now, when)
        return max(MIN_RETRY_SHARE * capacity, capacity - self.detector.new_request_rate(self.now))

    def capacity(self, now: float) -> float:
        """Return the requests per second that this server can serve now."""
        return self.capacity_estimator.rate(now, now)

    # ---- events from the fronts and the core --------------------------------------------------

    def admit_connection(self, now: float, source: int) -> ConnectionAdmission:
        """Decide whether the request on a connection may be read.

        Args:
            now: Current time in seconds.
            source: Digest of the client's address, from ``source_of``.
        """
        self.now = now
        self.counts_connections = True
        self.detector.record_attempt(now)
        count = self.source_fairness.record_attempt(now, source)
        heavy_threshold = HEAVY_SOURCE_FACTOR * self.source_fairness.fair_share(
            self.settings.over * self.capacity(now)
        )
        sources_compete = self._sources_compete(now)
        # The reserved retry time of a source is not considered: many callers may share one address.
        is_heavy = sources_compete and count > heavy_threshold
        heaviness = source_heaviness(count, heavy_threshold) if sources_compete else 0.0
        if not self.token_bucket.admit(now, is_heavy, heaviness):
            return ConnectionAdmission.REFUSE
        return ConnectionAdmission.READ_LAST if is_heavy else ConnectionAdmission.READ

    def admit_retry_of_run(self, now: float) -> None:
        """Record that a request is read although it was refused, because an earlier attempt of it has run."""
        self.token_bucket.charge(now)

    def _sources_compete(self, now: float) -> bool:
        """Return whether admitting one source's request can keep out another source's.

        It cannot with a single source or with enough capacity for all: a balancer with a large share of the
        requests is not treated as heavy for that alone.
        """
        has_others = len(self.source_fairness.attempts) >= 2
        return has_others and (self.in_storm(now) or self.detector.is_flooded(now, self.capacity(now)))

    def record_arrival(
        self, now: float, account: str, class_name: str, key: bytes | None, subject: str | None, body: bytes
    ) -> TrackedAttempt:
        """Recognise an attempt that was read.

        Args:
            now: Current time in seconds.
            account: Account of the caller.
            class_name: Name of the request's class.
            key: Idempotency key of the request, if it has one.
            subject: Key of the resource that the request is about, if it names one.
            body: Body of the request.
        """
        self.now = now
        fingerprint = self.fingerprinter.fingerprint(account, class_name, key, subject, body)
        is_retry = self.recent_rejections.has(now, fingerprint)
        if not self.counts_connections:
            self.detector.record_attempt(now)
        self.detector.record_arrival(now, is_retry)
        if not is_retry:
            return TrackedAttempt(fingerprint, is_retry=False, has_reservation=False, is_early=False)
        self.counts.retries += 1
        self.counts.max_retries_per_request = max(
            self.counts.max_retries_per_request, self.retry_counts.add(now, fingerprint)
        )
        self.retrying_tenants.add(now, account)
        retry_at = self.reservations.get(fingerprint)
        if retry_at is None or now > retry_at + self.settings.grace:
            return TrackedAttempt(fingerprint, is_retry=True, has_reservation=False, is_early=False)
        is_early = now < retry_at - EARLY_TOLERANCE_SECONDS
        self.counts.early_retries += is_early
        self.counts.on_time_retries += not is_early
        return TrackedAttempt(fingerprint, is_retry=True, has_reservation=not is_early, is_early=is_early)

    def record_rejection(self, now: float, fingerprint: int) -> RejectionAdvice:
        """Record that an attempt was rejected and return the advice to its caller.

        An early attempt keeps its reserved retry time.
        """
        self.now = now
        self.detector.record_rejection(now)
        self.recent_rejections.add(now, fingerprint)
        is_final = self.in_storm(now) and self.detector.amplification(now) >= FINAL_REJECTION_AMPLIFICATION
        return self._advise(now, fingerprint, is_final)

    def _advise(self, now: float, digest: int, is_final: bool) -> RejectionAdvice:
        retry_at = self.reservations.get(digest)
        if retry_at is None or retry_at < now + EARLY_TOLERANCE_SECONDS:
            retry_at = self.schedule.reserve(now, self.settings.least)
            if retry_at is None:  # the schedule is full: a retry beyond the horizon, without a reservation
                self.counts.schedule_full += 1
                return RejectionAdvice(self.settings.horizon * (1 + self.rng.random() / 2), True)
            self.reservations.put(now, digest, retry_at)
            self.counts.reservations += 1
        return RejectionAdvice(max(0.0, retry_at - now), is_final)

    def record_success(self, now: float, fingerprint: int, is_retry: bool) -> None:
        """Record that an attempt was served; removes the reservation of a retry."""
        self.now = now
        if is_retry:
            self.reservations.remove(fingerprint)

    def record_run(self, now: float, seconds: float, is_full: bool, running: int) -> None:
        """Record a completed run.

        Args:
            now: Current time in seconds.
            seconds: Duration of the run.
            is_full: Whether other requests were held meanwhile.
            running: Number of concurrent runs, this one included.
        """
        self.capacity_estimator.record_run(now, seconds, is_full, running)
        self.token_bucket.record_run(is_full)

    def reject_unread(self, now: float, source: int) -> RejectionAdvice:
        """Record a connection that was not read and return the advice to its source.

        The source keeps its retry time until that time has come.
        """
        self.counts.unread += 1
        return self._advise(now, source, is_final=False)

    def source_of(self, address: str) -> int:
        """Return the digest that identifies the source at an address."""
        return self.fingerprinter.fingerprint(address, "", None, None, b"")

    def record_advice(self, now: float, source: int, retry_after: float) -> None:
        """Record that a source was advised to retry after so many seconds."""
        self.reservations.put(now, source, now + retry_after)

    # ---- state and metrics --------------------------------------------------------------------

    def in_storm(self, now: float) -> bool:
        """Return whether a retry storm is in progress."""
        return self.detector.update(now, self.capacity(now)) is StormState.STORM

    def size_bytes(self) -> int:
        """Return the total size of the sketches and the reservation table in bytes."""
        return (
            self.recent_rejections.size_bytes()
            + self.retry_counts.size_bytes()
            + self.reservations.size_bytes()
        )

    def metrics(self, now: float) -> list[tuple[str, int]]:
        """Return the metrics, by name."""
        detector = self.detector
        return [
            ("storm.on", int(self.in_storm(now))),
            ("storm.storms", detector.storm_count),
            ("storm.amplification_percent", round(100 * detector.amplification(now))),
            ("storm.new_per_s", round(detector.new_request_rate(now))),
            ("storm.again", self.counts.retries),
            ("storm.kept", self.counts.on_time_retries),
            ("storm.early", self.counts.early_retries),
            ("storm.told", self.counts.reservations),
            ("storm.calendar_full", self.counts.schedule_full),
            ("storm.most_tries", self.counts.max_retries_per_request),
            ("storm.unread", self.counts.unread),
        ]

    def state(self, now: float) -> dict[str, object]:
        """Return the state that the administration API shows."""
        top_tenants = self.retrying_tenants.top()
        return {
            **{name.removeprefix("storm."): value for name, value in self.metrics(now)},
            "amplifiers": [{"tenant": name, "tries": round(count)} for name, count in top_tenants],
        }
