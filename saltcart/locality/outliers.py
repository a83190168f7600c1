"""Which upstream members fail or are slow, by what one instance sees of them itself.

After the outlier ejection of published proxies: failures in a row, the share of good ends of late, a time
out that doubles with each relapse, and a cap on the share that is out at once.  Beyond that a member's
slowness counts as lost capacity: ten times as slow is a tenth of a member.
"""

from __future__ import annotations

from collections.abc import Sequence

from saltcart.locality.settings import LocalitySettings

TRIAL_EVERY = 1.0  # seconds between two requests that one instance sends to a member on trial
TRIAL_FAR = 10.0  # the same for a member of another zone
HALF_LIFE = 3.0  # seconds: how long an end counts for a member
SHORT = 0.7  # seconds: how long it counts for its zone, where many instances see more
TRACE = 0.05  # of one end, below which nothing is known of a member
FORGIVEN = 4.0  # times its last time out, in health, after which a relapse counts as the first


class Watched:
    """One member's ends of late."""

    __slots__ = ("at", "bad", "bad_now", "ejections", "good", "good_now", "in_row", "out_for", "out_until",
                 "sound", "took", "took_n", "tried_at")

    def __init__(self) -> None:
        self.good = self.bad = self.good_now = self.bad_now = 0.0  # faded, the latter ones sooner
        self.sound = True  # its last end was good, or it was never out
        self.took, self.took_n = 0.0, 0.0  # faded sum of the times of good ends, and their faded number
        self.at = 0.0
        self.in_row, self.ejections = 0, 0
        self.out_until, self.out_for = 0.0, 0.0
        self.tried_at = float("-inf")  # when work was last sent to it on trial

    def fade(self, now: float) -> None:
        if now > self.at:
            left = 0.5 ** ((now - self.at) / HALF_LIFE)
            soon = 0.5 ** ((now - self.at) / SHORT)
            self.good, self.bad = self.good * left, self.bad * left
            self.good_now, self.bad_now = self.good_now * soon, self.bad_now * soon
            self.took, self.took_n, self.at = self.took * left, self.took_n * left, now

    def mean(self) -> float:
        return self.took / self.took_n if self.took_n > 0 else 0.0


class Outliers:
    """The members of all zones, as one instance finds them."""

    def __init__(self, conf: LocalitySettings, zones: Sequence[Sequence[str]]) -> None:
        self.conf, self.zones = conf, [tuple(members) for members in zones]
        self.watched = {host: Watched() for members in self.zones for host in members}
        self.zone_of = {host: n for n, members in enumerate(self.zones) for host in members}

    def ended(self, now: float, host: str, good: bool, took: float, refused: bool = False) -> None:
        """A request to this member is over; ``took`` counts for good ends alone.

        ``refused``: nobody listened, which tells more than an end that may have been the request's own fault.
        """
        w = self.watched.get(host)
        if w is None:
            return
        w.fade(now)
        if good:
            w.good, w.took, w.took_n, w.in_row = w.good + 1, w.took + took, w.took_n + 1, 0
            w.good_now, w.sound = w.good_now + 1, True
            w.out_until = min(w.out_until, now)  # it was on trial, and is back
            if w.ejections and now > w.out_until + FORGIVEN * w.out_for:
                w.ejections = 0
            return
        w.bad, w.bad_now, w.in_row = w.bad + 1, w.bad_now + 1, w.in_row + (2 if refused else 1)
        w.sound &= w.ejections == 0
        seen = w.good + w.bad
        relapsed = w.ejections > 0 and now < w.out_until + w.out_for  # the first tries after a time out
        if now >= w.out_until and (relapsed or w.in_row >= self.conf.consecutive or (
                seen >= self.conf.least and w.good < self.conf.success * seen)):
            self._eject(now, w)

    def _eject(self, now: float, w: Watched) -> None:
        w.out_for = min(self.conf.ejected_most, self.conf.ejected_for * 2 ** min(w.ejections, 16))
        w.ejections, w.out_until, w.in_row, w.sound = w.ejections + 1, now + w.out_for, 0, False

    def failing(self, now: float, host: str) -> bool:
        """Out, or on trial after it: until it has ended something well it counts as gone."""
        w = self.watched[host]
        return now < w.out_until or not w.sound

    def on_trial(self, now: float, own: int, doubted: bool) -> str | None:
        """A member that work may find out about, now and then.

        That is one whose time out is over and of which nothing good is known yet, or one of the own zone
        where that is not fully trusted: what gets no work would else seem well for want of evidence.  Other
        zones are tried by their own instances: trials from everywhere would be a load of their own.  The one
        that was tried longest ago comes first.
        """
        due = [h for h, w in self.watched.items() if (
            now >= w.tried_at + TRIAL_EVERY and (doubted or (now >= w.out_until and not w.sound))
            if self.zone_of[h] == own else
            now >= max(w.out_until, w.tried_at + TRIAL_FAR) and not w.sound)]
        if not due:
            return None
        host = min(due, key=lambda h: self.watched[h].tried_at)
        self.watched[host].tried_at = now
        return host

    def able(self, now: float, zone: int) -> list[str]:
        """Members that work may go to: those that are not out, and of those no fewer than the cap allows.

        In panic, with too few in health, what is seen of them counts for nothing: all are tried.
        """
        members = self.zones[zone]
        out = sorted((h for h in members if now < self.watched[h].out_until),
                     key=lambda h: self.watched[h].out_until, reverse=True)
        if len(members) - len(out) < self.conf.panic * len(members):
            return list(members)
        most = int(self.conf.ejected_share * len(members))
        excluded = set(out[:most])
        return [h for h in members if h not in excluded]

    def usual(self) -> float:
        """The time that a good end usually takes: the median over the members; 0 while nothing is known."""
        known = sorted(w.mean() for w in self.watched.values() if w.took_n >= 1)
        return known[(len(known) - 1) // 2] if known else 0.0  # where half are slow the others are usual

    def slowness(self, host: str, usual: float) -> float:
        """How many times the usual time a member takes; 1 for one that is quicker or not known."""
        mean = self.watched[host].mean()
        return max(1.0, mean / usual) if usual > 0 else 1.0

    def grade(self, now: float, zone: int) -> tuple[float, float]:
        """What this instance holds of a zone: the share of its capacity that is there, and its evidence."""
        usual, total, evidence = self.usual(), 0.0, 0.0
        good = bad = 0.0
        members = self.zones[zone]
        for host in members:
            w = self.watched[host]
            w.fade(now)
            evidence += w.good + w.bad
            good, bad = good + w.good_now, bad + w.bad_now
            if self.failing(now, host):
                evidence += 1.0  # that it is out was seen, however long ago
                continue
            seen, mean = w.good + w.bad, w.mean()
            part = w.good / seen if seen > TRACE else 1.0
            total += part * (usual / mean if mean > self.conf.slower * usual > 0 else 1.0)
        share = total / max(1, len(members))
        if good + bad >= 0.5:  # what goes wrong just now is seen before any one member is out
            share = min(share, good / (good + bad))
        return share, evidence
