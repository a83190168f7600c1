"""Which upstream members fail or are slow, by what one instance sees of them itself.

After the outlier ejection of published proxies: failures in a row, the share of good outcomes of late, an
ejection that lasts twice as long with each relapse, and a cap on the share that is ejected at once.  Beyond
that a member's slowness counts as lost capacity: ten times as slow is a tenth of a member.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence

from saltcart.locality.evidence import OutcomeCounts, speed_share, typical_seconds
from saltcart.locality.settings import LocalitySettings

TRIAL_INTERVAL = 1.0  # seconds between two requests that one instance sends to a member on trial
FAR_TRIAL_INTERVAL = 10.0  # the same for a member of another zone
HALF_LIFE = 3.0  # seconds: how long an outcome counts for a member
PRIOR_OUTCOMES = (
    5.0  # at the typical speed, taken for seen of each member: one's own few slow ones are chance
)
MAX_MEMBERS_REPORTED = 30  # in one report
MIN_CAPACITY_SHARE = 0.01  # as which one counts that is gone and tried all the same
FORGET_FACTOR = 4.0  # times its last ejection, in health, after which a relapse counts as the first
MAX_DOUBLINGS = 16  # of the time of an ejection
REFUSAL_FAILURES = 2  # in a row, for which a refused connection counts

EndpointOutcomes = tuple[int, int, float]  # good and bad ones, and the seconds that they took
NO_OUTCOMES: EndpointOutcomes = 0, 0, 0.0


class EndpointHealth:
    """One member's outcomes of late, and whether it is in use."""

    __slots__ = (
        "consecutive_failures",
        "ejected_until",
        "ejection_seconds",
        "ejections",
        "is_sound",
        "recent",
        "tried_at",
    )

    def __init__(self) -> None:
        self.recent = OutcomeCounts(HALF_LIFE)
        self.is_sound = True  # its last outcome was good, or it was never ejected
        self.consecutive_failures = 0
        self.ejections = 0
        self.ejected_until = 0.0
        self.ejection_seconds = 0.0
        self.tried_at = float("-inf")  # when work was last sent to it on trial

    def is_ejected(self, now: float) -> bool:
        """Whether its ejection lasts."""
        return now < self.ejected_until

    def record_success(self, now: float) -> None:
        """Count a good outcome: if it was on trial, it is back."""
        self.consecutive_failures = 0
        self.is_sound = True
        self.ejected_until = min(self.ejected_until, now)
        if self.ejections and now > self.ejected_until + FORGET_FACTOR * self.ejection_seconds:
            self.ejections = 0

    def record_failure(self, refused: bool) -> None:
        """Count a bad outcome."""
        self.consecutive_failures += REFUSAL_FAILURES if refused else 1
        self.is_sound &= self.ejections == 0

    def should_eject(self, now: float, settings: LocalitySettings) -> bool:
        """Whether it is to be ejected after a bad outcome."""
        if self.is_ejected(now):
            return False
        has_relapsed = self.ejections > 0 and now < self.ejected_until + self.ejection_seconds
        if has_relapsed or self.consecutive_failures >= settings.consecutive:
            return True
        seen = self.recent.good + self.recent.bad
        return seen >= settings.least and self.recent.good < settings.success * seen

    def eject(self, now: float, settings: LocalitySettings) -> None:
        """Eject it, twice as long as the time before."""
        doublings = min(self.ejections, MAX_DOUBLINGS)
        self.ejection_seconds = min(settings.ejected_most, settings.ejected_for * 2**doublings)
        self.ejections += 1
        self.ejected_until = now + self.ejection_seconds
        self.consecutive_failures = 0
        self.is_sound = False


class OutlierDetector:
    """The members of all zones, as one instance finds them."""

    def __init__(self, settings: LocalitySettings, zones: Sequence[Sequence[str]]) -> None:
        """``zones``: the members of each."""
        self.settings = settings
        self.zones = [tuple(members) for members in zones]
        self.endpoints = {host: EndpointHealth() for members in self.zones for host in members}
        self.zone_of = {host: zone for zone, members in enumerate(self.zones) for host in members}
        self.position = {host: n for members in self.zones for n, host in enumerate(members)}
        self.unreported_outcomes = [(0, 0) for _ in self.zones]  # good and bad ones, of members in use
        self.unreported_by_endpoint: dict[str, EndpointOutcomes] = {}  # whether it is in use or not
        self.capacity_shares: dict[str, float] = {}  # what members have of theirs, as their zones report

    def record_outcome(
        self, now: float, host: str, good: bool, seconds: float, refused: bool = False
    ) -> None:
        """Count a request to this member that is over after ``seconds``.

        ``refused``: nobody listened, which tells more than an end that may have been the request's own fault.
        """
        endpoint = self.endpoints.get(host)
        if endpoint is None:
            return
        endpoint.recent.add(now, good, not good, seconds)
        own_good, own_bad, own_seconds = self.unreported_by_endpoint.get(host, NO_OUTCOMES)
        outcomes = own_good + good, own_bad + (not good), own_seconds + seconds
        self.unreported_by_endpoint[host] = outcomes
        zone = self.zone_of[host]
        zone_good, zone_bad = self.unreported_outcomes[zone]
        if good:
            self.unreported_outcomes[zone] = zone_good + 1, zone_bad
            endpoint.record_success(now)
            return
        if not self.is_failing(now, host):  # of one that is ejected already it tells nothing of the zone
            self.unreported_outcomes[zone] = zone_good, zone_bad + 1
        endpoint.record_failure(refused)
        if endpoint.should_eject(now, self.settings):
            endpoint.eject(now, self.settings)

    # ---- what is reported, and what others report ---------------------------------------------

    def take_unreported(
        self, own_zone: int
    ) -> tuple[dict[int, tuple[int, int]], dict[int, EndpointOutcomes]]:
        """Return the outcomes of each zone, and by position of the own one's members, since the last call.

        Of members no more than fit a datagram, those with the most outcomes first; the others come next time.
        """
        zones = {zone: counts for zone, counts in enumerate(self.unreported_outcomes) if counts != (0, 0)}
        own = [host for host in self.unreported_by_endpoint if self.zone_of[host] == own_zone]
        own.sort(key=lambda host: self.unreported_by_endpoint[host][:2], reverse=True)
        members = {}
        for host in own[:MAX_MEMBERS_REPORTED]:
            good, bad, seconds = self.unreported_by_endpoint[host]
            members[self.position[host]] = good, bad, round(seconds, 3)
        self.unreported_outcomes = [(0, 0) for _ in self.zones]
        left = own[MAX_MEMBERS_REPORTED:]
        self.unreported_by_endpoint = {host: self.unreported_by_endpoint[host] for host in left}
        return zones, members

    def apply_zone_findings(self, now: float, zone: int, percents: Mapping[int, int]) -> None:
        """Take what a zone's instances have found together of its members' capacity.

        Who is not named is not known.  One that is well with all others, and was ejected here a while ago, is
        due for a trial.
        """
        for position, host in enumerate(self.zones[zone]):
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

    # ---- where work may go --------------------------------------------------------------------

    def is_failing(self, now: float, host: str) -> bool:
        """Whether it is ejected, or on trial after that: until an outcome is good it counts as gone."""
        endpoint = self.endpoints[host]
        return endpoint.is_ejected(now) or not endpoint.is_sound

    def next_trial(self, now: float, own_zone: int, own_zone_doubted: bool) -> str | None:
        """Return a member that work may find out about, now and then.

        That is one whose ejection is over and of which nothing good is known yet, or one of the own zone
        where that is not fully trusted: what gets no work would else seem healthy for want of evidence.
        Other zones are tried by their own instances: trials from everywhere would be a load of their own.
        The one that was tried longest ago comes first.
        """
        due = [host for host in self.endpoints if self._is_due(now, host, own_zone, own_zone_doubted)]
        if not due:
            return None
        host = min(due, key=lambda host: self.endpoints[host].tried_at)
        self.endpoints[host].tried_at = now
        return host

    def _is_due(self, now: float, host: str, own_zone: int, own_zone_doubted: bool) -> bool:
        endpoint = self.endpoints[host]
        if self.zone_of[host] != own_zone:
            next_at = max(endpoint.ejected_until, endpoint.tried_at + FAR_TRIAL_INTERVAL)
            return now >= next_at and not endpoint.is_sound
        if now < endpoint.tried_at + TRIAL_INTERVAL:
            return False
        is_unknown = not endpoint.is_ejected(now) and not endpoint.is_sound
        return own_zone_doubted or host in self.capacity_shares or is_unknown

    def usable_endpoints(self, now: float, zone: int) -> list[str]:
        """Return members that work may go to: those not ejected, and no fewer than the cap allows.

        In panic, with too few in health, what is seen of them counts for nothing: all are tried.
        """
        members = self.zones[zone]
        gone = {host for host, share in self.capacity_shares.items() if share <= 0}
        ejected = [host for host in members if self.endpoints[host].is_ejected(now) or host in gone]
        ejected.sort(key=lambda host: (host in gone, self.endpoints[host].ejected_until), reverse=True)
        if len(members) - len(ejected) < self.settings.panic * len(members):
            return list(members)
        most = int(self.settings.ejected_share * len(members))
        excluded = set(ejected[:most])
        return [host for host in members if host not in excluded]

    def typical_seconds(self) -> float:
        """Return the time that a request usually takes, over the members of all zones."""
        return typical_seconds(endpoint.recent for endpoint in self.endpoints.values())

    def slowness(self, host: str, typical: float) -> float:
        """Return how many times the typical time a member takes, 1 at least.

        By what is seen here or reported by its zone, whichever is more.
        """
        mean = self.endpoints[host].recent.mean_seconds()
        reported = 1.0 / max(MIN_CAPACITY_SHARE, self.capacity_shares.get(host, 1.0))
        return max(reported, mean / typical) if typical > 0 else reported

    def grade(self, now: float, zone: int, typical: float | None = None) -> tuple[float, float]:
        """Return the share of a zone's capacity that is there, as this instance finds it, and its evidence.

        ``typical``: the typical time, for who asks of many zones at once.
        """
        total = evidence = 0.0
        typical = self.typical_seconds() if typical is None else typical
        members = self.zones[zone]
        for host in members:
            recent = self.endpoints[host].recent
            recent.fade(now)
            evidence += recent.good + recent.bad
            if self.is_failing(now, host):
                evidence += 1.0  # that it is ejected was seen, however long ago
            else:
                total += speed_share(recent, typical, PRIOR_OUTCOMES, self.settings.slower)
        return total / max(1, len(members)), evidence
