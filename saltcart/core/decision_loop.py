"""Feeds the decision module's controller with events and has its actions carried out."""

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

FAULT_RETRY_SECONDS = 0.1  # after which the controller's timer fires again if it failed
GAUGE_LIFETIME = 1.0  # seconds; gauges older than this, and than two sweeps, tell nothing of now


class DecisionLoop:
    """One event at a time; a fault of the controller or of one action costs nothing else."""

    def __init__(self, clock: CoreClock, timers: Timers, ports: Ports, log: Log) -> None:
        self.clock = clock
        self.timers = timers
        self.ports = ports
        self.log = log
        self.controller: Controller | None = None  # None until the worker pool is up
        self.carry_out: Callable[[Action], None] = lambda action: None
        self.events = deque[Event]()
        self.is_busy = False
        self.gauges: dict[str, float] = {}  # those last polled
        self.gauges_at = 0.0

    def start(self, controller: Controller, started_at: float) -> None:
        """Begin with this controller, whose server started then."""
        self.controller = controller
        for action in controller.handle(started_at, Started()):
            self._act(action)

    def feed(self, event: Event) -> None:
        """Give the controller an event and carry out its actions; events that follow wait their turn."""
        if self.controller is None:
            return  # it starts with the settings of that moment
        self.events.append(event)
        if self.is_busy:
            return
        self.is_busy = True
        try:
            while self.events:
                for action in self._decide(self.controller, self.events.popleft()):
                    self._act(action)
        finally:
            self.is_busy = False

    def defer(self, event: Event) -> None:
        """Add an event from within an action: it is fed after those before it."""
        self.events.append(event)

    def _decide(self, controller: Controller, event: Event) -> list[Action]:
        # A fault costs one event, not the service: the due guard answers, timers go on.
        try:
            return controller.handle(self.clock.now, event)
        except Exception as error:
            self.log("decision-fault", on=type(event).__name__, error=repr(error))
            if isinstance(event, TimerFired):
                self.timers.call_at(self.clock.now + FAULT_RETRY_SECONDS, self.fire_timer, event.token)
            return []

    def _act(self, action: Action) -> None:
        # A fault in carrying out one action costs no other: a timer not set would be the last one.
        try:
            self.carry_out(action)
        except Exception as error:
            self.log("action-fault", on=type(action).__name__, error=repr(error))
            if isinstance(action, StartRun):  # it ends at once; its slot must not be taken for good
                self.defer(RunFinished(action.id, Outcome.NOT_STARTED, 0.0))

    def fire_timer(self, token: int) -> None:
        """Fire the controller's timer, with the gauges last polled: it never waits for the pool."""
        sweep_interval = 0.0 if self.controller is None else self.controller.sweep_interval
        if self.clock.now > self.gauges_at + max(GAUGE_LIFETIME, 2 * sweep_interval):
            self.gauges = {}  # the link is away: idle cores of long ago must not let in more work
        self.feed(TimerFired(token, **self.gauges))
        self.ports.workers.poll_gauges()

    def load(self) -> PredecessorLoad:
        """Return what is on the cores and in the memory."""
        return PredecessorLoad() if self.controller is None else self.controller.load()

    def held_count(self) -> int:
        """Return how many requests wait for a run slot."""
        return 0 if self.controller is None else self.controller.held_count()

    def usable_time(self, objective: float, deadline: float) -> tuple[float, float]:
        """Return how much of these times, in seconds from now, a run has.

        The decision module ends it a sweep before its objective, or three before its deadline.
        """
        sweep_interval = 0.0 if self.controller is None else self.controller.sweep_interval
        return objective - sweep_interval, deadline - 3 * sweep_interval
