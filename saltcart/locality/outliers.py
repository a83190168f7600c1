"""Which upstream members fail or are slow, by what one instance sees of them itself.

After the outlier ejection of published proxies: failures in a row, the share of good ends of late, a time
out that doubles with each relapse, and a cap on the share that is out at once.  Beyond that a member's
slowness counts as lost capacity: ten times as slow is a tenth of a member.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence

from saltcart.locality.evidence import Tally, pace, usual_time
from saltcart.locality.settings import LocalitySettings

TRIAL_EVERY = 1.0  # seconds between two requests that one instance sends to a member on trial
TRIAL_FAR = 10.0  # the same for a member of another zone
HALF_LIFE = 3.0  # seconds: how long an end counts for a member
ALONE_FEW = 5.0  # ends at the usual pace, taken for seen of each member: one's own few slow ends are chance
MOST_MEMBERS = 30  # that one report tells of
LEAST_PART = 0.01  # of its capacity, as which one counts that is gone and tried all the same
FORGIVEN = 4.0  # times its last time out, in health, after which a relapse counts as the first


Ends = tuple[int, int, float]  # good and bad ones, and the seconds that they took
NO_ENDS: Ends = 0, 0, 0.0


class Watched:
    """One member's ends of late, and whether it is in use."""

    __slots__ = ("ejections", "in_row", "late", "out_for", "out_until", "sound", "tried_at")

    def __init__(self) -> None:
        self.late = Tally(HALF_LIFE)
        self.sound = True  # its last end was good, or it was never out
        self.in_row, self.ejections = 0, 0
        self.out_until, self.out_for = 0.0, 0.0
        self.tried_at = float("-inf")  # when work was last sent to it on trial


class Outliers:
    """The members of all zones, as one instance finds them."""

    def __init__(self, conf: LocalitySettings, zones: Sequence[Sequence[str]]) -> None:
        self.conf, self.zones = conf, [tuple(members) for members in zones]
        self.watched = {host: Watched() for members in self.zones for host in members}
        self.zone_of = {host: n for n, members in enumerate(self.zones) for host in members}
        self.place = {host: n for members in self.zones for n, host in enumerate(members)}
        self.ends = [(0, 0) for _ in self.zones]  # good and bad ones since they were told, of members in use
        self.by_member: dict[str, Ends] = {}  # the same for each member, whether it is in use or not
        self.parts: dict[str, float] = {}  # what members have of their capacity, as their zones tell

    def ended(self, now: float, host: str, good: bool, took: float, refused: bool = False) -> None:
        """A request to this member is over after ``took`` seconds.

        ``refused``: nobody listened, which tells more than an end that may have been the request's own fault.
        """
        w = self.watched.get(host)
        if w is None:
            return
        w.late.add(now, good, not good, took)
        zone = self.zone_of[host]
        ends, of_it = self.ends[zone], self.by_member.get(host, NO_ENDS)
        self.by_member[host] = of_it[0] + good, of_it[1] + (not good), of_it[2] + took
        if good:
            self.ends[zone] = ends[0] + 1, ends[1]
            w.in_row, w.sound = 0, True
            w.out_until = min(w.out_until, now)  # it was on trial, and is back
            if w.ejections and now > w.out_until + FORGIVEN * w.out_for:
                w.ejections = 0
            return
        if not self.failing(now, host):  # of one that is out already it tells nothing of the zone
            self.ends[zone] = ends[0], ends[1] + 1
        w.in_row += 2 if refused else 1
        w.sound &= w.ejections == 0
        seen = w.late.good + w.late.bad
        relapsed = w.ejections > 0 and now < w.out_until + w.out_for  # the first tries after a time out
        if now >= w.out_until and (
            relapsed
            or w.in_row >= self.conf.consecutive
            or (seen >= self.conf.least and w.late.good < self.conf.success * seen)
        ):
            self._eject(now, w)

    def _eject(self, now: float, w: Watched) -> None:
        w.out_for = min(self.conf.ejected_most, self.conf.ejected_for * 2 ** min(w.ejections, 16))
        w.ejections, w.out_until, w.in_row, w.sound = w.ejections + 1, now + w.out_for, 0, False

    def since_told(self, own: int) -> tuple[dict[int, tuple[int, int]], dict[int, Ends]]:
        """The ends of each zone, and by place of each member of the own one, since the last call.

        Of members no more than fit a packet, those with the most ends first; the others are told next time.
        """
        zones = {z: ends for z, ends in enumerate(self.ends) if ends != (0, 0)}
        mine = sorted(
            (h for h in self.by_member if self.zone_of[h] == own),
            key=lambda h: self.by_member[h][:2],
            reverse=True,
        )
        told = {h: self.by_member[h] for h in mine[:MOST_MEMBERS]}
        members = {self.place[h]: (good, bad, round(took, 3)) for h, (good, bad, took) in told.items()}
        self.ends = [(0, 0) for _ in self.zones]
        self.by_member = {h: self.by_member[h] for h in mine[MOST_MEMBERS:]}
        return zones, members

    def told(self, now: float, zone: int, parts: Mapping[int, int]) -> None:
        """What a zone's instances have found together of its members, in hundredths of their capacity.

        Who is not named is not known.  One that is well with all others, and was put out here a while ago, is
        due for a trial.
        """
        for place, host in enumerate(self.zones[zone]):
            part, w = parts.get(place, 100) / 100, self.watched[host]
            if part < 1.0:
                self.parts[host] = part
                continue
            self.parts.pop(host, None)
            if place in parts and now < w.out_until and now > w.out_until - w.out_for + self.conf.ejected_for:
                w.out_until = now

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
        due = [
            h
            for h, w in self.watched.items()
            if (
                now >= w.tried_at + TRIAL_EVERY
                and (doubted or h in self.parts or (now >= w.out_until and not w.sound))
                if self.zone_of[h] == own
                else now >= max(w.out_until, w.tried_at + TRIAL_FAR) and not w.sound
            )
        ]
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
        gone = {h for h, part in self.parts.items() if part <= 0}
        out = sorted(
            (h for h in members if now < self.watched[h].out_until or h in gone),
            key=lambda h: (h in gone, self.watched[h].out_until),
            reverse=True,
        )
        if len(members) - len(out) < self.conf.panic * len(members):
            return list(members)
        most = int(self.conf.ejected_share * len(members))
        excluded = set(out[:most])
        return [h for h in members if h not in excluded]

    def usual(self) -> float:
        """The time that an end usually takes, over the members of all zones."""
        return usual_time(w.late for w in self.watched.values())

    def slowness(self, host: str, usual: float) -> float:
        """How many times the usual time a member takes, 1 at least.

        By what is seen here or told by its zone, whichever is more.
        """
        mean = self.watched[host].late.mean()
        told = 1.0 / max(LEAST_PART, self.parts.get(host, 1.0))
        return max(told, mean / usual) if usual > 0 else told

    def grade(self, now: float, zone: int, usual: float | None = None) -> tuple[float, float]:
        """What this instance holds of a zone: the share of its capacity that is there, and its evidence.

        ``usual``: the usual time, for who asks of many zones at once.
        """
        total, evidence = 0.0, 0.0
        usual = self.usual() if usual is None else usual
        members = self.zones[zone]
        for host in members:
            w = self.watched[host]
            w.late.fade(now)
            evidence += w.late.good + w.late.bad
            if self.failing(now, host):
                evidence += 1.0  # that it is out was seen, however long ago
                continue
            total += pace(w.late, usual, ALONE_FEW, self.conf.slower)
        return total / max(1, len(members)), evidence
