"""Is this a storm?  From tries that come again after a refusal, beside the work that is new.

A surge of new work is none, however large: what tells a storm is the same work coming again.
"""

from __future__ import annotations

import enum

from saltcart.core.rate import LN2, FadingRate


class Sky(enum.Enum):
    CALM = "calm"
    STORM = "storm"


class Weather:
    """The state, with hysteresis: a storm begins within half a second and ends after some quiet ones.

    Two signs begin it: a good part of what is read has been refused here before, or what is offered is far
    beyond the capacity and much of it is refused, which a server that has only just started can tell by
    itself.
    """

    HALF_LIFE = 0.5  # seconds: a cold server has no more time than this to find out
    BEGIN, END = 0.3, 0.1  # share of what is read that came again
    LEAST = 4.0  # tries that came again, faded, before their share tells anything
    SURE = 3.0  # standard deviations by which offers must stand out of the chance of small numbers
    FLOOD, REFUSED = 1.5, 0.4  # offered, of the capacity; refused, of what is read
    OVER = 1.15  # of the capacity: as long as more is offered the storm goes on
    QUIET = 2.0  # seconds without a sign

    def __init__(self) -> None:
        self.offers, self.came, self.again, self.refusals = (FadingRate(self.HALF_LIFE) for _ in range(4))
        self.slow = FadingRate(4 * self.HALF_LIFE)  # offers over a longer time: an end must not be chance
        self.sky, self.sign_at, self.storms = Sky.CALM, 0.0, 0

    def offered(self, now: float) -> None:
        """A try stands at the door, whether or not it will be read."""
        self.offers.add(now)
        self.slow.add(now)

    def arrived(self, now: float, again: bool) -> None:
        """A try was read."""
        self.came.add(now)
        if again:
            self.again.add(now)

    def refused(self, now: float) -> None:
        self.refusals.add(now)

    def look(self, now: float, capacity: float) -> Sky:
        """The state now; ``capacity``: requests a second that this server can do now."""
        offered, came = self.offers.per_second(now), self.came.per_second(now)
        share = self.share(now)
        repeated = share >= self.BEGIN and self.again.level >= self.LEAST
        usual = capacity * self.HALF_LIFE / LN2  # offers that the capacity stands for, faded
        flooded = (
            offered >= self.FLOOD * capacity
            and came > 0
            and self.offers.level - usual >= self.SURE * max(1.0, usual) ** 0.5
            and self.refusals.per_second(now) >= self.REFUSED * came
        )
        if repeated or flooded:
            self.storms += self.sky is Sky.CALM
            self.sky, self.sign_at = Sky.STORM, now
        elif self.sky is Sky.STORM:
            if self.slow.per_second(now) > self.OVER * capacity or share > self.END:
                self.sign_at = now
            elif now - self.sign_at >= self.QUIET:
                self.sky = Sky.CALM
        return self.sky

    def flooded(self, now: float, capacity: float) -> bool:
        """Whether far more is offered than can be done, storm or not."""
        return self.offers.per_second(now) >= self.FLOOD * capacity

    def share(self, now: float) -> float:
        """Of what was read of late: what had been refused here before."""
        came = self.came.per_second(now)
        return min(1.0, self.again.per_second(now) / came) if came > 0 else 0.0

    def amplification(self, now: float) -> float:
        """Tries for each piece of new work: of those read, and those unread taken for alike."""
        return 1 / max(0.01, 1 - self.share(now))

    def new_rate(self, now: float) -> float:
        """New work a second, among what is offered."""
        return max(self.offers.per_second(now), self.came.per_second(now)) * (1 - self.share(now))
