"""Data of a composed run, and the actions that the engine asks its host to carry out."""

from __future__ import annotations

import enum
from collections import deque
from collections.abc import Callable
from math import inf
from typing import NamedTuple

from saltcart.composition.plan import CallSpec, PlanSpec
from saltcart.decision.outcome import Outcome


class SubRequestStatus(enum.Enum):
    """Status of one sub-request."""

    WAITING = "waits for a place"
    IN_FLIGHT = "an attempt is under way"
    ANSWERED = "answered"
    CACHED = "a last good answer stands in"
    SKIPPED = "left out"
    UNAVAILABLE = "required, and not to be had"


UNSETTLED = (SubRequestStatus.WAITING, SubRequestStatus.IN_FLIGHT)


class CallAttempt:
    """One call that was sent, until its reply arrives or it is cancelled.

    Attributes:
        is_additional: Whether it is a retry or a hedged request, which the retry budget limits.
        has_typical_time: Whether its timeout is no shorter than the time of a typical call.
        is_probe: Whether the circuit breaker was half open when it was sent.
        hedge_at: When a second attempt starts if this one has no reply yet; infinite if none does.
    """

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
        self.hedge_at = inf

    def is_slow(self, now: float) -> bool:
        """Return whether it has been in flight for longer than nearly all calls."""
        return now >= self.hedge_at


class SubRequest:
    """One call of the stage in progress, with its attempts.

    Attributes:
        body: What every attempt sends; the key of its cached reply depends on it as well.
        dependency_name: The planned dependency, or the fallback that is called now.
        sent_count: Number of attempts that were sent, without writes that had no effect.
        tried_dependencies: Names of the dependencies that are not fallen back to any more.
        is_hedged: Whether a second attempt was started because the first one was slow.
    """

    __slots__ = (
        "attempts",
        "body",
        "call_spec",
        "deadline",
        "dependency_name",
        "is_hedged",
        "reply",
        "run",
        "sent_count",
        "status",
        "tried_dependencies",
    )

    def __init__(self, run: ComposedRun, call_spec: CallSpec, deadline: float, body: bytes) -> None:
        self.run, self.call_spec, self.deadline = run, call_spec, deadline
        self.body = body
        self.dependency_name = call_spec.dependency
        self.tried_dependencies = {call_spec.dependency}
        self.status, self.reply, self.sent_count = SubRequestStatus.WAITING, b"", 0
        self.attempts: list[CallAttempt] = []
        self.is_hedged = False


class ComposedRun:
    """A request whose response is being composed.

    Times are seconds on the clock that the host passes to the engine.

    Attributes:
        objective_at: A response by then earns its full weight.
        deadline: No response is useful after this time.
        next_stage: Index of the stage that starts next.
        replies: Statuses and replies of the finished stages, by dependency.
        is_starting_stage: Whether the sub-requests of a stage are still being started.
    """

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
        self.replies: dict[str, tuple[SubRequestStatus, bytes]] = {}
        self.is_starting_stage = self.is_finished = False

    def dependencies_with_status(self, status: SubRequestStatus) -> tuple[str, ...]:
        """Return the dependencies whose sub-requests ended with this status."""
        return tuple(name for name, (final_status, _) in self.replies.items() if final_status is status)


class SendCall(NamedTuple):
    """Make a call.

    Attributes:
        id: Identifies the call.
        request_id: The composed run that the call belongs to.
        timeout: Seconds to wait for the reply.
        must_run_once: Whether the call must never be sent a second time.
    """

    id: bytes
    request_id: bytes
    dependency: str
    tenant: str
    body: bytes
    timeout: float
    must_run_once: bool


class CancelCall(NamedTuple):
    """Cancel the call with this id: its reply is not needed any more."""

    id: bytes
    dependency: str


class CompositionFinished(NamedTuple):
    """Finish a composed run.

    Attributes:
        id: Identifies the request.
        outcome: ``NOT_STARTED`` where the run failed before its write was sent.
        seconds: Duration of the run.
        body: Body of the response; empty unless the run succeeded.
        skipped_dependencies: Dependencies without whose replies the response was composed.
        cached_dependencies: Dependencies of which cached replies were used.
    """

    id: bytes
    outcome: Outcome
    seconds: float
    body: bytes = b""
    skipped_dependencies: tuple[str, ...] = ()
    cached_dependencies: tuple[str, ...] = ()


CompositionAction = SendCall | CancelCall | CompositionFinished


class ActionQueue:
    """Carries out actions one at a time, in the order in which they were queued.

    Carrying out an action may queue further ones before it returns.  These wait for the ones queued earlier;
    otherwise a call could be cancelled before it is sent.
    """

    def __init__(self, carry_out: Callable[[CompositionAction], None]) -> None:
        self.carry_out, self.queue, self.is_running = carry_out, deque[CompositionAction](), False

    def __call__(self, actions: list[CompositionAction]) -> None:
        """Queue actions, and carry out the queue unless that is in progress already."""
        self.queue.extend(actions)
        if self.is_running:
            return
        self.is_running = True
        try:
            while self.queue:
                self.carry_out(self.queue.popleft())
        finally:
            self.is_running = False
