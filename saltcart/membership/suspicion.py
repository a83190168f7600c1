"""The duration of a suspicion, and a member's estimate of its own health (Lifeguard, 2017)."""

from __future__ import annotations

from math import log


class Suspicion:
    """A suspicion of one incarnation of a member.  Times are in seconds.

    It lasts ``max_seconds`` with a single accuser, and less with each further accuser that confirms it, down
    to ``min_seconds`` with ``confirmations_needed`` of them.  An accuser is a member that has failed to reach
    the suspect.

    Attributes:
        own_probe_failed: Whether this member itself has failed to reach the suspect.
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
        self.own_probe_failed = False

    def confirm(self, accuser: str) -> bool:
        """Add an accuser; return False if it is already counted or no further one is needed."""
        if accuser in self.accusers or len(self.accusers) > self.confirmations_needed:
            return False
        self.accusers.add(accuser)
        return True

    def ends_at(self) -> float:
        """Return the time in seconds at which the suspicion ends, given the accusers so far."""
        if self.confirmations_needed <= 0:
            return self.began_at + self.min_seconds
        confirmations = max(0, len(self.accusers) - 1)
        max_reduction = self.max_seconds - self.min_seconds
        reduction = max_reduction * log(confirmations + 1) / log(self.confirmations_needed + 1)
        return self.began_at + max(self.min_seconds, self.max_seconds - reduction)


class LocalHealth:
    """Score of a member's own health; while it is above 0, the member waits longer before it accuses others.

    Failed probes, helpers that do not respond and the need to refute a suspicion raise the score; successful
    probes lower it.
    """

    MAX_SCORE = 8

    def __init__(self) -> None:
        self.score = 0

    def adjust(self, step: int) -> None:
        """Add a step to the score, within 0 and ``MAX_SCORE``."""
        self.score = min(self.MAX_SCORE, max(0, self.score + step))

    def scaled(self, seconds: float) -> float:
        """Return a timeout or interval in seconds, multiplied according to the score."""
        return seconds * (1 + self.score)
