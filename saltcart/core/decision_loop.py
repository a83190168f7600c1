"""The event loop of the decision module: feeds events to its controller and executes its actions."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable

from saltcart.core.clock import CoreClock
from saltcart.core.ports import Log, Ports
from saltcart.core.timers import Timers
from saltcart.decision.actions import Action, StartRun
from saltcart.decision.controller import Controller
from saltcart.decision.events import Event, PredecessorLoad, RunFinished, Started, TimerFired
from saltcart.decision.outcome import Outcome

FAULT_RETRY_SECONDS = 0.1  # until a timer whose event the controller failed to handle fires again
GAUGE_LIFETIME_SECONDS = 1.0  # gauges older than this and than two sweep intervals are outdated


class DecisionLoop:
    """Handles one event at a time, and isolates faults of the controller and of single actions."""

    def __init__(self, clock: CoreClock, timers: Timers, ports: Ports, log: Log) -> None:
        self.clock = clock
        self.timers = timers
        self.ports = ports
        self.log = log
        self.controller: Controller | None = None  # None until the worker pool is up
        self.execute_action: Callable[[Action], None] = lambda action: None  # set by the service
        self.events = deque[Event]()
        self.is_dispatching = False
        self.gauges: dict[str, float] = {}  # as last polled
        self.gauges_polled_at = 0.0

    def start(self, controller: Controller, started_at: float) -> None:
        """Start the controller.

        Args:
            controller: The controller, which has handled no event yet.
            started_at: When the server started.
        """
        self.controller = controller
        for action in controller.handle(started_at, Started()):
            self._execute(action)

    def feed(self, event: Event) -> None:
        """Have the controller handle an event, and execute the resulting actions.

        Events that arise meanwhile are queued.  Before the controller has started, events are ignored.
        """
        if self.controller is None:
            return  # the controller will start with the settings current at that time
        self.events.append(event)
        if self.is_dispatching:
            return
        self.is_dispatching = True
        try:
            while self.events:
                for action in self._handle(self.controller, self.events.popleft()):
                    self._execute(action)
        finally:
            self.is_dispatching = False

    def defer(self, event: Event) -> None:
        """Queue an event from within an action, to be handled after the current one."""
        self.events.append(event)

    def _handle(self, controller: Controller, event: Event) -> list[Action]:
        # A fault loses one event, not the service: the overdue timers still fail its request, and timers are
        # set again.
        try:
            return controller.handle(self.clock.now, event)
        except Exception as error:
            self.log("decision-fault", on=type(event).__name__, error=repr(error))
            if isinstance(event, TimerFired):
                self.timers.call_at(self.clock.now + FAULT_RETRY_SECONDS, self.fire_timer, event.token)
            return []

    def _execute(self, action: Action) -> None:
        # A fault in one action must not lose the next ones: without its timer the controller would stop.
        try:
            self.execute_action(action)
        except Exception as error:
            self.log("action-fault", on=type(action).__name__, error=repr(error))
            if isinstance(action, StartRun):  # reported as ended at once, to free its slot
                self.defer(RunFinished(action.id, Outcome.NOT_STARTED, 0.0))

    def fire_timer(self, token: int) -> None:
        """Fire a timer of the controller with the last polled gauges, and poll the next without waiting."""
        sweep_interval = 0.0 if self.controller is None else self.controller.sweep_interval
        if self.clock.now > self.gauges_polled_at + max(GAUGE_LIFETIME_SECONDS, 2 * sweep_interval):
            # Without a connection to the pool, outdated gauges of idle cores must not admit more work.
            self.gauges = {}
        self.feed(TimerFired(token, **self.gauges))
        self.ports.workers.poll_gauges()

    def load(self) -> PredecessorLoad:
        """Return the load of the runs on the cores and the memory."""
        return PredecessorLoad() if self.controller is None else self.controller.load()

    def held_count(self) -> int:
        """Return the number of requests that wait for a run slot."""
        return 0 if self.controller is None else self.controller.held_count()

    def usable_time(self, objective: float, deadline: float) -> tuple[float, float]:
        """Return how much of the given times a run may use before the decision module ends it.

        That is one sweep interval before the latency objective, or three before the deadline.

        Args:
            objective: Seconds from now until the latency objective.
            deadline: Seconds from now until the deadline.

        Returns:
            The usable seconds until the objective and until the deadline.
        """
        sweep_interval = 0.0 if self.controller is None else self.controller.sweep_interval
        return objective - sweep_interval, deadline - 3 * sweep_interval
