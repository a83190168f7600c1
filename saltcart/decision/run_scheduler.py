"""Run scheduler: chooses the held request that runs next and rejects those that cannot end in time."""

from __future__ import annotations

import random
from collections.abc import Iterator, Sequence
from itertools import pairwise

from saltcart.decision.admission import Admission
from saltcart.decision.class_queues import ClassQueues
from saltcart.decision.concurrency_limit import ConcurrencyLimiter
from saltcart.decision.decisions import RunDecision
from saltcart.decision.delay_ratio import DelayRatioController
from saltcart.decision.estimators import QueueWaits, RunTimeEstimator
from saltcart.decision.events import PredecessorLoad
from saltcart.decision.request import AWAITING_CALL, CALLING, HELD, RUNNING, Request
from saltcart.decision.request_table import RequestTable
from saltcart.decision.settings import Settings

SURVIVABLE_RUN_SHARE = 0.8  # share of the requests that the server survives, up to which runs are started


class RunScheduler:
    """Assigns free run slots to held requests."""

    def __init__(
        self, settings: Settings, order: Sequence[int], table: RequestTable, admission: Admission, seed: int
    ) -> None:
        """Create a scheduler with empty queues.

        Args:
            settings: Settings of the server.
            order: Indexes of the classes, highest priority weight first.
            table: The live requests.
            admission: Checks the memory for a run.
            seed: Seed of the random draws between classes.
        """
        self.settings = settings
        self.order = order
        self.table = table
        self.admission = admission
        self.run_times: RunTimeEstimator = admission.run_times
        self.queues = ClassQueues(order, table, random.Random(seed))
        self.limiter = ConcurrencyLimiter(settings)
        # Target ratios of the waits: a class affords a longer wait with a longer latency objective or a lower
        # priority weight.
        classes = [settings.classes[index] for index in order]
        affordable_waits = [spec.latency_objective / max(spec.priority_weight, 1e-9) for spec in classes]
        self.delay_ratios = DelayRatioController(
            [higher / lower for higher, lower in pairwise(affordable_waits)]
        )
        self.waits = QueueWaits(len(order))
        self.none_excluded = [False] * len(order)

    def decide(
        self, now: float, age: float, predecessor: PredecessorLoad
    ) -> Iterator[tuple[Request, RunDecision]]:
        """Yield held requests for the free slots.

        The caller must carry out each decision before it takes the next one.

        Args:
            now: Current time.
            age: Seconds since the worker pool started.
            predecessor: Load that the predecessor process still has on the same cores and memory.
        """
        counts = self.table.counts
        slots = self.limiter.slots
        if counts[RUNNING] + predecessor.running >= slots or not counts[HELD]:
            return
        # One request per core is always allowed: with a lower bound, nothing might run at all.
        survivable = max(self.settings.cores, SURVIVABLE_RUN_SHARE * self.limiter.survivable_requests(age))
        max_in_flight = survivable - (predecessor.running + predecessor.calling)
        slots_await_calls = counts[AWAITING_CALL] + counts[CALLING] >= slots
        excluded = self.run_times.requires_call if slots_await_calls else self.none_excluded
        while counts[RUNNING] + predecessor.running < slots and counts[HELD]:
            class_index = self.queues.draw(self.delay_ratios.shares, excluded)
            in_flight = counts[RUNNING] + counts[CALLING]
            if class_index is None or in_flight + 1 > max_in_flight:
                return
            request = self.queues.pop(class_index)
            if not self.admission.has_memory_for_run(request, predecessor):
                self.queues.put_back(request)
                return
            if now + self.run_times.expected(class_index) > request.objective_at:
                yield request, RunDecision.REJECT
            else:
                self.waits.record(class_index, now - request.read_at)
                yield request, RunDecision.START

    def end_period(self) -> None:
        """Adjust the shares of the classes to the waits of the period."""
        self.delay_ratios.update([self.waits.mean(class_index) for class_index in self.order])
        self.waits.reset()
        self.queues.compact()
