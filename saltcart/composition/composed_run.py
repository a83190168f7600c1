"""One composed run and its pieces, and the orders that go out for it.  Data; the desk moves it on."""

from __future__ import annotations

import enum
from collections import deque
from collections.abc import Callable
from math import inf
from typing import NamedTuple

from saltcart.composition.plan import CallSpec, PlanSpec
from saltcart.decision.outcome import Outcome


class SubRequestStatus(enum.Enum):
    """How far one call of a plan has come."""

    WAITING = "waits for a place"
    IN_FLIGHT = "an attempt is under way"
    ANSWERED = "answered"
    CACHED = "a last good answer stands in"
    SKIPPED = "left out"
    UNAVAILABLE = "required, and not to be had"


OPEN = (SubRequestStatus.WAITING, SubRequestStatus.IN_FLIGHT)


class CallAttempt:
    """One call that was sent, until its reply or its being given up."""

    __slots__ = (
        "call_id",
        "dependency_name",
        "has_typical_time",
        "hedge_at",
        "is_additional",
        "is_probe",
        "started_at",
        "sub_request",
    )

    def __init__(
        self,
        call_id: bytes,
        sub_request: SubRequest,
        dependency_name: str,
        started_at: float,
        is_additional: bool,
        has_typical_time: bool,
    ) -> None:
        self.call_id, self.sub_request, self.dependency_name, self.started_at = (
            call_id,
            sub_request,
            dependency_name,
            started_at,
        )
        self.is_additional, self.has_typical_time, self.is_probe = is_additional, has_typical_time, False
        self.hedge_at = inf  # when a second attempt begins beside it, if there is one to make

    def is_slow(self, now: float) -> bool:
        """Has it been out for longer than nearly all calls are?"""
        return now >= self.hedge_at


class SubRequest:
    """One call of the stage under way."""

    __slots__ = (
        "attempts",
        "attempts_sent",
        "body",
        "call_spec",
        "deadline",
        "dependency_name",
        "is_hedged",
        "reply",
        "run",
        "status",
        "tried_dependencies",
    )

    def __init__(self, run: ComposedRun, call_spec: CallSpec, deadline: float, body: bytes) -> None:
        self.run, self.call_spec, self.deadline = run, call_spec, deadline
        self.body = body  # what every attempt sends, and what a last good answer is known by
        self.dependency_name = call_spec.dependency  # or the one that it has fallen back to
        self.tried_dependencies = {call_spec.dependency}
        self.status, self.reply, self.attempts_sent = SubRequestStatus.WAITING, b"", 0
        self.attempts: list[CallAttempt] = []
        self.is_hedged = False  # a second attempt was begun beside a slow first one


class ComposedRun:
    """A request whose answer is being composed.  Times are those of the clock that the desk is given."""

    __slots__ = (
        "body",
        "deadline",
        "is_finished",
        "is_starting_stage",
        "next_stage",
        "objective_at",
        "plan",
        "replies",
        "request_id",
        "started_at",
        "sub_requests",
        "tenant",
    )

    def __init__(
        self,
        request_id: bytes,
        plan: PlanSpec,
        tenant: str,
        body: bytes,
        now: float,
        objective_at: float,
        deadline: float,
    ) -> None:
        self.request_id, self.plan, self.tenant, self.body = request_id, plan, tenant, body
        self.started_at, self.objective_at, self.deadline = now, objective_at, deadline
        self.next_stage, self.sub_requests = 0, list[SubRequest]()
        self.replies: dict[str, tuple[SubRequestStatus, bytes]] = {}  # of the stages that are over
        self.is_starting_stage = self.is_finished = False

    def dependencies_in_state(self, mark: SubRequestStatus) -> tuple[str, ...]:
        """Dependencies that ended so."""
        return tuple(name for name, (found, _) in self.replies.items() if found is mark)


class SendCall(NamedTuple):
    """Make a call.  ``once``: it must never be sent a second time; ``within``: seconds for its reply."""

    id: bytes
    request_id: bytes  # the run that it is made for
    dependency: str
    tenant: str
    body: bytes
    timeout: float
    must_run_once: bool


class CancelCall(NamedTuple):
    """Nobody waits for this call's reply any more."""

    id: bytes
    dependency: str


class CompositionFinished(NamedTuple):
    """A composed run is over; NOT_STARTED: nothing with an effect was started."""

    id: bytes
    outcome: Outcome
    seconds: float
    body: bytes = b""
    skipped_dependencies: tuple[str, ...] = ()
    cached_dependencies: tuple[str, ...] = ()


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
