"""Worker pool port for classes whose responses are composed of the replies of several dependencies.

It drives the composition engine with one timer, and carries out its actions on AJP upstreams and index
connections.  Requests of classes without a plan are passed on to the upstreams.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterable

from saltcart.composition.composed_run import (
    ActionQueue,
    CancelCall,
    CompositionAction,
    CompositionFinished,
    SendCall,
)
from saltcart.composition.composition_engine import CompositionEngine
from saltcart.composition.plan import CompositionSpec, DependencySpec
from saltcart.core.ports import Log, WorkerPoolEvents
from saltcart.decision.outcome import Outcome
from saltcart.decision.settings import ClassSpec
from saltcart.net.index import IndexClient
from saltcart.net.upstreams import Upstreams


class IndexDependency:
    """Client of a dependency with the index's line protocol."""

    def __init__(
        self, spec: DependencySpec, on_call_finished: Callable[[bytes, Outcome, bytes], None], log: Log
    ) -> None:
        assert spec.address is not None
        self.client, self.on_call_finished = IndexClient(spec.address, self, log, spec.most), on_call_finished

    def call_finished(self, request_id: bytes, outcome: Outcome, reply: bytes) -> None:
        """Report the end of a call; to the client, the call id is the request id."""
        self.on_call_finished(request_id, outcome, reply)


class Composer:
    """Owns the composition engine, its timer and the index connections of dependencies."""

    def __init__(
        self,
        plans: CompositionSpec,
        classes: Iterable[ClassSpec],
        upstreams: Upstreams,
        events: WorkerPoolEvents,
        log: Log,
        seed: int,
        clock: Callable[[], float],
        held_count: Callable[[], int],
        usable_time: Callable[[float, float], tuple[float, float]],
    ) -> None:
        self.engine, self.held_count, self.usable_time = (
            CompositionEngine(plans, seed, classes),
            held_count,
            usable_time,
        )
        self.upstreams, self.events, self.log, self.clock = upstreams, events, log, clock
        self.specs = {spec.name: spec for spec in plans.dependency}
        self.index_dependencies = {
            spec.name: IndexDependency(spec, self._call_finished, log)
            for spec in plans.dependency
            if spec.kind == "index"
        }
        self.loop = asyncio.get_running_loop()
        self.timer: asyncio.TimerHandle | None = None
        self.now, self.action_queue = clock(), ActionQueue(self._dispatch)

    def _monotonic_time(self) -> float:
        self.now = max(self.now, self.clock())  # a clock that is set back must not revoke decisions
        return self.now

    # ---- worker pool port ---------------------------------------------------------------------

    def spawn(
        self,
        request_id: bytes,
        class_name: str,
        account: str,
        body: bytes,
        must_run_once: bool,
        time_to_deadline: float,
        time_to_objective: float,
    ) -> None:
        """Start a composed run, or pass the request on where its class has no plan."""
        if class_name not in self.engine.plans:
            self.upstreams.spawn(
                request_id, class_name, account, body, must_run_once, time_to_deadline, time_to_objective
            )
        elif request_id not in self.engine.runs:
            now, (time_to_objective, time_to_deadline) = (
                self._monotonic_time(),
                self.usable_time(time_to_objective, time_to_deadline),
            )
            self._carry_out_all(
                self.engine.start(
                    now,
                    request_id,
                    class_name,
                    account,
                    body,
                    now + time_to_objective,
                    now + time_to_deadline,
                )
            )

    def suspend(self, request_id: bytes) -> None:
        """Cancel a composed run, or suspend the run of an upstream."""
        if request_id in self.engine.runs:
            self._carry_out_all(self.engine.cancel(self._monotonic_time(), request_id))
        else:
            self.upstreams.suspend(request_id)

    def resume(self, request_id: bytes) -> None:
        """Do nothing: no run is ever paused."""

    def supply_reply(self, request_id: bytes, reply: bytes) -> None:
        """Do nothing: no run waits for a call that the decision module admits."""

    def skip_call(self, request_id: bytes, notice_number: int) -> None:
        """Do nothing: no run waits for a call that the decision module admits."""

    def poll_gauges(self) -> None:
        """Report the upstreams' gauges, and release slots for which held requests wait.

        A run that waits for its dependencies keeps its slot but uses no core.
        """
        self.upstreams.poll_gauges()
        if self.engine.runs:
            self._carry_out_all(self.engine.release_slots(self._monotonic_time(), self.held_count()))

    # ---- calls from the service ---------------------------------------------------------------

    def shorten_deadlines(self, seconds: float) -> None:
        """Let the runs in progress end in so many seconds, before the process is stopped."""
        now = self._monotonic_time()
        self._carry_out_all(self.engine.shorten_deadlines(now, now + seconds))

    def metrics(self) -> list[tuple[str, int]]:
        """Return gauges of each dependency: calls in flight, allowed and waiting, retries, circuit state."""
        gauges = list[tuple[str, int]]()
        for name, dependency in self.engine.dependencies.items():
            gauges += [
                (f"dependency.{name}.used", dependency.limit.in_flight),
                (f"dependency.{name}.limit", int(dependency.limit.value)),
                (f"dependency.{name}.waiting", len(dependency.waiting)),
                (f"dependency.{name}.further", dependency.counts["further"]),
                (f"dependency.{name}.circuit_open", int(dependency.circuit_breaker.state.value != "closed")),
            ]
        return gauges

    def close(self) -> None:
        """Stop the timer and close the index connections."""
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None
        for dependency in self.index_dependencies.values():
            dependency.client.close()

    # ---- actions of the engine ----------------------------------------------------------------

    def _carry_out_all(self, actions: list[CompositionAction]) -> None:
        self.action_queue(actions)
        self._set_timer()

    def _dispatch(self, action: CompositionAction) -> None:
        match action:
            case SendCall():
                self._send_call(action)
            case CancelCall():
                if action.dependency in self.index_dependencies:
                    self.index_dependencies[action.dependency].client.cancel_call(action.id)
                else:
                    self.upstreams.cancel_call(action.id)
            case CompositionFinished():
                self.events.run_finished(
                    action.id,
                    action.outcome,
                    action.seconds,
                    action.body,
                    action.skipped_dependencies,
                    action.cached_dependencies,
                )

    def _send_call(self, action: SendCall) -> None:
        spec = self.specs[action.dependency]
        if spec.kind == "index":
            self.index_dependencies[spec.name].client.call(
                action.id, action.timeout, action.body, action.must_run_once
            )
        elif not self.upstreams.call(
            spec.upstream or "",
            action.id,
            spec.name,
            action.tenant,
            action.body,
            action.timeout,
            self._call_finished,
        ):
            # In the next iteration of the loop, because the engine expects ends only after its actions.
            self.loop.call_soon(self._call_finished, action.id, Outcome.NOT_STARTED, b"")

    def _call_finished(self, call_id: bytes, outcome: Outcome, reply: bytes) -> None:
        self._carry_out_all(self.engine.call_finished(self._monotonic_time(), call_id, outcome, reply))

    def _set_timer(self) -> None:
        due_at = self.engine.next_timer_at()
        if self.timer is not None:
            self.timer.cancel()
        self.timer = (
            None
            if due_at is None
            else self.loop.call_later(max(0.0, due_at - self.clock()), self._timer_fired)
        )

    def _timer_fired(self) -> None:
        self.timer = None
        self._carry_out_all(self.engine.tick(self._monotonic_time()))
