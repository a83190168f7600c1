"""How long a suspect has to speak up, and how far a member trusts itself (Lifeguard, 2017)."""

from __future__ import annotations

from math import log


class Suspicion:
    """A suspicion of one incarnation.

    It lasts ``most`` seconds while one member alone has failed to reach the suspect, and less with each
    further one that did, down to ``least`` with ``needed`` of them.
    """

    __slots__ = ("accusers", "began", "incarnation", "least", "most", "needed", "tried")

    def __init__(self, now: float, incarnation: int, least: float, most: float, needed: int) -> None:
        self.began, self.incarnation, self.least, self.most = now, incarnation, least, most
        self.needed = needed
        self.accusers: set[str] = set()
        self.tried = False  # this member itself has failed to reach the suspect

    def confirm(self, by: str) -> bool:
        """Another member has failed to reach it; whether that is news: no more than needed is."""
        if by in self.accusers or len(self.accusers) > self.needed:
            return False
        self.accusers.add(by)
        return True

    def ends(self) -> float:
        """When it ends, as far as is known now."""
        if self.needed <= 0:
            return self.began + self.least
        further = max(0, len(self.accusers) - 1)
        span = self.most - (self.most - self.least) * log(further + 1) / log(self.needed + 1)
        return self.began + max(self.least, span)


class LocalHealth:
    """Whether this member is itself in trouble: it then waits longer before it accuses others.

    Raised by probes that fail, by helpers that are not heard from and by having to refute a suspicion;
    lowered by probes that succeed.
    """

    MOST = 8

    def __init__(self) -> None:
        self.score = 0

    def note(self, step: int) -> None:
        self.score = min(self.MOST, max(0, self.score + step))

    def stretched(self, seconds: float) -> float:
        return seconds * (1 + self.score)
