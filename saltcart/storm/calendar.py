"""The return calendar: each caller that is refused is given a moment at which there will be room.

Room is what the server can do, which rises while it grows warm, less what comes anew.  It is given out in
small buckets of time, each place once; within the first second that has places one is drawn, so that
callers don't come back together, and the fleet's servers, each with its own draws and its own load, don't
act in step.
"""

from __future__ import annotations

import random
from collections import deque
from collections.abc import Callable

BUCKET = 0.1  # seconds
SPREAD = 10  # buckets among which a place is drawn
LEAST_SHARE = 0.1  # of the capacity is given to those who return, however much comes anew


class Calendar:
    """``room``: places a second at a moment, asked when its bucket comes into reach."""

    def __init__(self, rng: random.Random, horizon: float, room: Callable[[float], float]) -> None:
        self.rng, self.horizon, self.room = rng, horizon, room
        self.first = 0  # number of the first bucket
        self.places = deque[int]()  # free in each bucket from the first on
        self.given = 0

    def _move(self, now: float) -> None:
        first = int(now / BUCKET)
        if first - self.first > len(self.places):
            self.places.clear()
            self.first = first
        while self.first < first and self.places:
            self.places.popleft()  # not taken up: gone
            self.first += 1
        self.first = first

    def _grow(self) -> None:
        """One more bucket; parts of a place are given out by chance."""
        wanted = self.room((self.first + len(self.places) + 0.5) * BUCKET) * BUCKET
        whole = int(wanted)
        self.places.append(whole + (self.rng.random() < wanted - whole))

    def give(self, now: float, least: float) -> float | None:
        """A moment at ``least`` seconds from now or later; None where all the horizon is given out."""
        self._move(now)
        start = int((now + least) / BUCKET) + 1 - self.first
        end = int(self.horizon / BUCKET)
        at = start
        while at < end:
            while len(self.places) <= at + SPREAD:
                self._grow()
            free = [n for n in range(at, at + SPREAD) if self.places[n] > 0]
            if free:
                chosen = self.rng.choice(free)
                self.places[chosen] -= 1
                self.given += 1
                return (self.first + chosen + self.rng.random()) * BUCKET
            at += SPREAD
        return None
