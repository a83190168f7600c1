"""Outlier detection: finds upstream members that fail or are slow, by one instance's own requests.

Follows the outlier ejection of published proxies: consecutive failures, the recent success share, an ejection
time that doubles with each relapse, and a cap on the ejected share of a zone.  In addition, slowness counts
as lost capacity: a member that is ten times as slow counts as a tenth of a member.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence

from saltcart.locality.evidence import OutcomeCounts, relative_speed, typical_seconds
from saltcart.locality.settings import LocalitySettings

TRIAL_INTERVAL = 1.0  # seconds between two requests of one instance to a member on trial
REMOTE_TRIAL_INTERVAL = 10.0  # seconds, for a member of another zone
OUTCOME_HALF_LIFE = 3.0  # seconds, of a member's outcome
# Assumed for each member, at the typical duration: a few slow outcomes at one instance may be random.
PRIOR_OUTCOMES = 5.0
MAX_MEMBERS_REPORTED = 30  # in one report
MIN_CAPACITY_SHARE = 0.01  # assumed for a member without capacity when all members are tried
FORGET_FACTOR = 4.0  # times the last ejection; a relapse after so long in health counts as the first ejection
MAX_DOUBLINGS = 16  # of the ejection time
REFUSED_CONNECTION_FAILURES = 2  # consecutive failures that a refused connection counts as

EndpointOutcomes = tuple[int, int, float]  # good and bad outcomes, and the sum of their durations in seconds
NO_OUTCOMES: EndpointOutcomes = 0, 0, 0.0


class EndpointHealth:
    """Recent outcomes of one member, and its ejection."""

    __slots__ = (
        "consecutive_failures",
        "ejected_until",
        "ejection_seconds",
        "ejections",
        "is_healthy",
        "last_trial_at",
        "recent_outcomes",
    )

    def __init__(self) -> None:
        self.recent_outcomes = OutcomeCounts(OUTCOME_HALF_LIFE)
        self.is_healthy = True  # False from an ejection, or a failure soon after, to the next success
        self.consecutive_failures = 0
        self.ejections = 0
        self.ejected_until = 0.0
        self.ejection_seconds = 0.0
        self.last_trial_at = float("-inf")

    def is_ejected(self, now: float) -> bool:
        """Whether the member is ejected at present."""
        return now < self.ejected_until

    def record_success(self, now: float) -> None:
        """Count a success; it ends an ejection."""
        self.consecutive_failures = 0
        self.is_healthy = True
        self.ejected_until = min(self.ejected_until, now)
        if self.ejections and now > self.ejected_until + FORGET_FACTOR * self.ejection_seconds:
            self.ejections = 0

    def record_failure(self, connection_refused: bool) -> None:
        """Count a failure."""
        self.consecutive_failures += REFUSED_CONNECTION_FAILURES if connection_refused else 1
        self.is_healthy &= self.ejections == 0

    def should_eject(self, now: float, settings: LocalitySettings) -> bool:
        """Whether to eject the member, after a failure."""
        if self.is_ejected(now):
            return False
        has_relapsed = self.ejections > 0 and now < self.ejected_until + self.ejection_seconds
        if has_relapsed or self.consecutive_failures >= settings.consecutive:
            return True
        count = self.recent_outcomes.good + self.recent_outcomes.bad
        return count >= settings.least and self.recent_outcomes.good < settings.success * count

    def eject(self, now: float, settings: LocalitySettings) -> None:
        """Eject the member, for twice as long as at its previous ejection."""
        doublings = min(self.ejections, MAX_DOUBLINGS)
        self.ejection_seconds = min(settings.ejected_most, settings.ejected_for * 2**doublings)
        self.ejections += 1
        self.ejected_until = now + self.ejection_seconds
        self.consecutive_failures = 0
        self.is_healthy = False


class OutlierDetector:
    """Health of the members of all zones, as observed by one instance and reported by their zones."""

    def __init__(self, settings: LocalitySettings, members_by_zone: Sequence[Sequence[str]]) -> None:
        """Start with all members healthy.

        Args:
            settings: Settings of zone-aware routing.
            members_by_zone: Hosts of each zone's members, by zone number.
        """
        self.settings = settings
        self.members_by_zone = [tuple(members) for members in members_by_zone]
        self.endpoints = {host: EndpointHealth() for members in self.members_by_zone for host in members}
        self.zone_of = {host: zone for zone, members in enumerate(self.members_by_zone) for host in members}
        self.position_of = {host: n for members in self.members_by_zone for n, host in enumerate(members)}
        # Good and bad outcomes by zone; bad ones of members that are already failing are left out.
        self.unreported_outcomes = [(0, 0) for _ in self.members_by_zone]
        self.unreported_by_endpoint: dict[str, EndpointOutcomes] = {}  # all outcomes, also of failing members
        self.capacity_shares: dict[str, float] = {}  # by host, where their zones report less than 1

    def record_outcome(
        self, now: float, host: str, is_success: bool, seconds: float, connection_refused: bool = False
    ) -> None:
        """Count the outcome of an attempt at a member.

        Args:
            now: Monotonic time in seconds.
            host: The member.
            is_success: Whether the attempt succeeded.
            seconds: Duration of the attempt.
            connection_refused: Whether the member refused the connection.  This is stronger evidence than
                other failures, which the request itself may have caused.
        """
        endpoint = self.endpoints.get(host)
        if endpoint is None:
            return
        endpoint.recent_outcomes.add(now, is_success, not is_success, seconds)
        endpoint_good, endpoint_bad, endpoint_seconds = self.unreported_by_endpoint.get(host, NO_OUTCOMES)
        outcomes = endpoint_good + is_success, endpoint_bad + (not is_success), endpoint_seconds + seconds
        self.unreported_by_endpoint[host] = outcomes
        zone = self.zone_of[host]
        zone_good, zone_bad = self.unreported_outcomes[zone]
        if is_success:
            self.unreported_outcomes[zone] = zone_good + 1, zone_bad
            endpoint.record_success(now)
            return
        if not self.is_failing(now, host):  # a failure of an ejected member is no evidence against its zone
            self.unreported_outcomes[zone] = zone_good, zone_bad + 1
        endpoint.record_failure(connection_refused)
        if endpoint.should_eject(now, self.settings):
            endpoint.eject(now, self.settings)

    # ---- reports to and from the zones --------------------------------------------------------

    def pop_unreported(self, own_zone: int) -> tuple[dict[int, tuple[int, int]], dict[int, EndpointOutcomes]]:
        """Return and reset the unreported outcomes, by zone and by position of the own zone's members.

        No more members are returned than fit into a datagram, those with the most outcomes first; the others
        are kept for the next call.
        """
        zones = {zone: counts for zone, counts in enumerate(self.unreported_outcomes) if counts != (0, 0)}
        own_hosts = [host for host in self.unreported_by_endpoint if self.zone_of[host] == own_zone]
        own_hosts.sort(key=lambda host: self.unreported_by_endpoint[host][:2], reverse=True)
        members = {}
        for host in own_hosts[:MAX_MEMBERS_REPORTED]:
            good, bad, seconds = self.unreported_by_endpoint[host]
            members[self.position_of[host]] = good, bad, round(seconds, 3)
        self.unreported_outcomes = [(0, 0) for _ in self.members_by_zone]
        remaining = own_hosts[MAX_MEMBERS_REPORTED:]
        self.unreported_by_endpoint = {host: self.unreported_by_endpoint[host] for host in remaining}
        return zones, members

    def apply_capacity_percents(self, now: float, zone: int, percents: Mapping[int, int]) -> None:
        """Apply the capacity of a zone's members as its instances have observed it together.

        A member that is not listed is unknown.  A member that is healthy for the zone's instances, and was
        ejected here long enough ago, becomes due for a trial.

        Args:
            now: Monotonic time in seconds.
            zone: Number of the zone.
            percents: Percentage of its capacity that a member provides, by position.
        """
        for position, host in enumerate(self.members_by_zone[zone]):
            share = percents.get(position, 100) / 100
            endpoint = self.endpoints[host]
            if share < 1.0:
                self.capacity_shares[host] = share
                continue
            self.capacity_shares.pop(host, None)
            ejected_at = endpoint.ejected_until - endpoint.ejection_seconds
            was_long_ago = now > ejected_at + self.settings.ejected_for
            if position in percents and endpoint.is_ejected(now) and was_long_ago:
                endpoint.ejected_until = now

    # ---- choice of members --------------------------------------------------------------------

    def is_failing(self, now: float, host: str) -> bool:
        """Whether a member is ejected, or on trial after an ejection without a success so far."""
        endpoint = self.endpoints[host]
        return endpoint.is_ejected(now) or not endpoint.is_healthy

    def next_trial(self, now: float, own_zone: int, own_zone_degraded: bool) -> str | None:
        """Return a member that is due for a trial request; None without one.

        Due are members whose ejection has ended without a success since then, members of the own zone
        that are reported to have lost capacity, and all of the own zone's while it is not fully trusted:
        without requests, a zone would seem healthy for lack of evidence.  Members of other zones get
        few trials, as the instances in their own zones send them trials; trials from all zones would
        overload them.
        The member with the oldest trial comes first.

        Args:
            now: Monotonic time in seconds.
            own_zone: Number of the instance's zone.
            own_zone_degraded: Whether the own zone is not fully trusted.
        """
        due = [host for host in self.endpoints if self._is_due(now, host, own_zone, own_zone_degraded)]
        if not due:
            return None
        host = min(due, key=lambda host: self.endpoints[host].last_trial_at)
        self.endpoints[host].last_trial_at = now
        return host

    def _is_due(self, now: float, host: str, own_zone: int, own_zone_degraded: bool) -> bool:
        endpoint = self.endpoints[host]
        if self.zone_of[host] != own_zone:
            next_at = max(endpoint.ejected_until, endpoint.last_trial_at + REMOTE_TRIAL_INTERVAL)
            return now >= next_at and not endpoint.is_healthy
        if now < endpoint.last_trial_at + TRIAL_INTERVAL:
            return False
        is_unproven = not endpoint.is_ejected(now) and not endpoint.is_healthy
        return own_zone_degraded or host in self.capacity_shares or is_unproven

    def usable_endpoints(self, now: float, zone: int) -> list[str]:
        """Return a zone's members that requests may go to: those not ejected, within the cap on ejections.

        Below the panic threshold of healthy members, ejections are ignored and all members are returned.
        """
        members = self.members_by_zone[zone]
        without_capacity = {host for host, share in self.capacity_shares.items() if share <= 0}
        ejected = [
            host for host in members if self.endpoints[host].is_ejected(now) or host in without_capacity
        ]
        ejected.sort(
            key=lambda host: (host in without_capacity, self.endpoints[host].ejected_until), reverse=True
        )
        if len(members) - len(ejected) < self.settings.panic * len(members):
            return list(members)
        max_excluded = int(self.settings.ejected_share * len(members))
        excluded = set(ejected[:max_excluded])
        return [host for host in members if host not in excluded]

    def typical_seconds(self) -> float:
        """Return the typical duration of a request in seconds, over the members of all zones."""
        return typical_seconds(endpoint.recent_outcomes for endpoint in self.endpoints.values())

    def slowness(self, host: str, typical_duration: float) -> float:
        """Return by what factor a member is slower than usual, at least 1.

        The larger one of this instance's observation and the zone's report counts.
        """
        mean = self.endpoints[host].recent_outcomes.mean_seconds()
        reported = 1.0 / max(MIN_CAPACITY_SHARE, self.capacity_shares.get(host, 1.0))
        return max(reported, mean / typical_duration) if typical_duration > 0 else reported

    def grade(self, now: float, zone: int, typical_duration: float | None = None) -> tuple[float, float]:
        """Return a zone's grade, the available share of its capacity as observed here, and its evidence.

        Args:
            now: Monotonic time in seconds.
            zone: Number of the zone.
            typical_duration: Result of ``typical_seconds``, for a caller that grades several zones at once.

        Returns:
            The share from 0 to 1, and the number of decayed outcomes that it is based on.
        """
        total = evidence = 0.0
        typical_duration = self.typical_seconds() if typical_duration is None else typical_duration
        members = self.members_by_zone[zone]
        for host in members:
            recent = self.endpoints[host].recent_outcomes
            recent.decay(now)
            evidence += recent.good + recent.bad
            if self.is_failing(now, host):
                evidence += 1.0  # an ejection is evidence however long ago it was
            else:
                total += relative_speed(recent, typical_duration, PRIOR_OUTCOMES, self.settings.slower)
        return total / max(1, len(members)), evidence
