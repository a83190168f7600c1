"""How long a suspect has to refute, and how far a member trusts itself (Lifeguard, 2017)."""

from __future__ import annotations

from math import log


class Suspicion:
    """A suspicion of one incarnation of a member.  Times are seconds.

    It lasts ``max_seconds`` while one member alone has failed to reach the suspect, and less with each
    further one that did, down to ``min_seconds`` with ``confirmations_needed`` of them.
    """

    __slots__ = (
        "accusers",
        "began_at",
        "confirmations_needed",
        "incarnation",
        "max_seconds",
        "min_seconds",
        "own_probe_failed",
    )

    def __init__(
        self,
        now: float,
        incarnation: int,
        min_seconds: float,
        max_seconds: float,
        confirmations_needed: int,
    ) -> None:
        self.began_at = now
        self.incarnation = incarnation
        self.min_seconds = min_seconds
        self.max_seconds = max_seconds
        self.confirmations_needed = confirmations_needed
        self.accusers: set[str] = set()
        self.own_probe_failed = False  # this member itself has failed to reach the suspect

    def confirm(self, accuser: str) -> bool:
        """Count a member that failed to reach the suspect; False where that is known, or not needed."""
        if accuser in self.accusers or len(self.accusers) > self.confirmations_needed:
            return False
        self.accusers.add(accuser)
        return True

    def ends_at(self) -> float:
        """Return when it ends, as far as is known now."""
        if self.confirmations_needed <= 0:
            return self.began_at + self.min_seconds
        confirmations = max(0, len(self.accusers) - 1)
        longest = self.max_seconds - self.min_seconds
        shortened = longest * log(confirmations + 1) / log(self.confirmations_needed + 1)
        return self.began_at + max(self.min_seconds, self.max_seconds - shortened)


class LocalHealth:
    """Whether this member is itself in trouble: it then waits longer before it accuses others.

    Raised by probes that fail, by helpers that do not answer and by having to refute a suspicion; lowered by
    probes that succeed.
    """

    MAX_SCORE = 8

    def __init__(self) -> None:
        self.score = 0

    def adjust(self, step: int) -> None:
        """Raise or lower the score."""
        self.score = min(self.MAX_SCORE, max(0, self.score + step))

    def scaled(self, seconds: float) -> float:
        """Return a time as it is for a member of this health."""
        return seconds * (1 + self.score)
