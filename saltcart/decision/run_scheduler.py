"""Run slots: which held request starts next, and which can no longer end in time."""

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

SURVIVABLE_SHARE = 0.8  # of the requests that the cores survive: no run is started beyond it


class RunScheduler:
    """Draws the class whose first request takes a free slot."""

    def __init__(
        self, settings: Settings, order: Sequence[int], table: RequestTable, admission: Admission, seed: int
    ) -> None:
        """``order``: the classes, the highest weight first."""
        self.settings = settings
        self.order = order
        self.table = table
        self.admission = admission
        self.run_times: RunTimeEstimator = admission.run_times
        self.queues = ClassQueues(order, table, random.Random(seed))
        self.limiter = ConcurrencyLimiter(settings)
        # Waits to hold: what each class can afford.
        classes = [settings.classes[k] for k in order]
        spare = [spec.latency_objective / max(spec.priority_weight, 1e-9) for spec in classes]
        self.delay_ratios = DelayRatioController([higher / lower for higher, lower in pairwise(spare)])
        self.waits = QueueWaits(len(order))
        self.none_barred = [False] * len(order)

    def decide(self, now: float, age: float, other: PredecessorLoad) -> Iterator[tuple[Request, RunDecision]]:
        """Yield held requests for free slots while there are any; each decision is carried out at once."""
        counts = self.table.counts
        slots = self.limiter.slots
        if counts[RUNNING] + other.running >= slots or not counts[HELD]:
            return
        # One a core never falls, whatever is survived: below that nothing would run at all.
        survivable = max(self.settings.cores, SURVIVABLE_SHARE * self.limiter.survivable_requests(age))
        most = survivable - (other.running + other.calling)
        is_stuck = counts[AWAITING_CALL] + counts[CALLING] >= slots
        barred = self.run_times.requires_call if is_stuck else self.none_barred
        while counts[RUNNING] + other.running < slots and counts[HELD]:
            class_index = self.queues.draw(self.delay_ratios.shares, barred)
            under_way = counts[RUNNING] + counts[CALLING]
            if class_index is None or under_way + 1 > most:
                return
            request = self.queues.pop(class_index)
            if not self.admission.has_run_memory(request, other):
                self.queues.put_back(request)
                return
            if now + self.run_times.expected(class_index) > request.objective_at:
                yield request, RunDecision.REJECT
            else:
                self.waits.record(class_index, now - request.read_at)
                yield request, RunDecision.START

    def end_period(self) -> None:
        """Move the shares of the classes by the waits of the period."""
        self.delay_ratios.update([self.waits.mean(class_index) for class_index in self.order])
        self.waits.reset()
        self.queues.compact()
