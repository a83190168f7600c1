"""One composed run and its pieces, and the orders that go out for it.  Data; the desk moves it on."""

from __future__ import annotations

import enum
from collections import deque
from collections.abc import Callable
from math import inf
from typing import NamedTuple

from saltcart.composition.plan import CallSpec, PlanSpec
from saltcart.decision.outcome import Outcome


class SubRequestState(enum.Enum):
    """How far one call of a plan has come."""

    WAITING = "waits for a place"
    OUT = "an attempt is under way"
    DONE = "answered"
    REMEMBERED = "a last good answer stands in"
    LEFT_OUT = "left out"
    LOST = "required, and not to be had"


OPEN = (SubRequestState.WAITING, SubRequestState.OUT)


class CallAttempt:
    """One call that was sent, until its reply or its being given up."""

    __slots__ = ("begun", "dependency", "fair", "further", "ident", "part", "probe", "slow_at")

    def __init__(
        self, ident: bytes, part: SubRequest, dependency: str, begun: float, further: bool, fair: bool
    ) -> None:
        self.ident, self.part, self.dependency, self.begun = ident, part, dependency, begun
        self.further, self.fair, self.probe = further, fair, False
        self.slow_at = inf  # when a second attempt begins beside it, if there is one to make

    def slow(self, now: float) -> bool:
        """Has it been out for longer than nearly all calls are?"""
        return now >= self.slow_at


class SubRequest:
    """One call of the stage under way."""

    __slots__ = (
        "attempts",
        "beside",
        "body",
        "call",
        "dependency",
        "mark",
        "passed",
        "reply",
        "run",
        "sent",
        "until",
    )

    def __init__(self, run: ComposedRun, call: CallSpec, until: float, body: bytes) -> None:
        self.run, self.call, self.until = run, call, until
        self.body = body  # what every attempt sends, and what a last good answer is known by
        self.dependency = call.dependency  # or the one that it has fallen back to
        self.passed = {call.dependency}
        self.mark, self.reply, self.sent = SubRequestState.WAITING, b"", 0
        self.attempts: list[CallAttempt] = []
        self.beside = False  # a second attempt was begun beside a slow first one


class ComposedRun:
    """A request whose answer is being composed.  Times are those of the clock that the desk is given."""

    __slots__ = (
        "aim_at",
        "body",
        "due_at",
        "ident",
        "over",
        "parts",
        "plan",
        "replies",
        "stage",
        "started",
        "starting",
        "tenant",
    )

    def __init__(
        self, ident: bytes, plan: PlanSpec, tenant: str, body: bytes, now: float, aim_at: float, due_at: float
    ) -> None:
        self.ident, self.plan, self.tenant, self.body = ident, plan, tenant, body
        self.started, self.aim_at, self.due_at = now, aim_at, due_at
        self.stage, self.parts = 0, list[SubRequest]()
        self.replies: dict[str, tuple[SubRequestState, bytes]] = {}  # of the stages that are over
        self.starting = self.over = False

    def named(self, mark: SubRequestState) -> tuple[str, ...]:
        """Dependencies that ended so."""
        return tuple(name for name, (found, _) in self.replies.items() if found is mark)


class SendCall(NamedTuple):
    """Make a call.  ``once``: it must never be sent a second time; ``within``: seconds for its reply."""

    ident: bytes
    run: bytes  # the run that it is made for
    dependency: str
    tenant: str
    body: bytes
    within: float
    once: bool


class CancelCall(NamedTuple):
    """Nobody waits for this call's reply any more."""

    ident: bytes
    dependency: str


class CompositionFinished(NamedTuple):
    """A composed run is over; NOT_STARTED: nothing with an effect was started."""

    ident: bytes
    outcome: Outcome
    took: float
    body: bytes = b""
    left_out: tuple[str, ...] = ()
    remembered: tuple[str, ...] = ()


CompositionAction = SendCall | CancelCall | CompositionFinished


class ActionQueue:
    """Carries orders out one after the other, in the order in which they were given.

    What an order leads to may give further ones before it returns; they wait for those that came before
    them, or a call could be given up before it is sent.
    """

    def __init__(self, carry_out: Callable[[CompositionAction], None]) -> None:
        self.carry_out, self.queue, self.busy = carry_out, deque[CompositionAction](), False

    def __call__(self, orders: list[CompositionAction]) -> None:
        self.queue.extend(orders)
        if self.busy:
            return
        self.busy = True
        try:
            while self.queue:
                self.carry_out(self.queue.popleft())
        finally:
            self.busy = False
