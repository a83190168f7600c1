"""FIFO queues of the held requests of each class, and the weighted random choice between them."""

from __future__ import annotations

import random
from collections import deque
from collections.abc import Sequence

from saltcart.decision.request import Request
from saltcart.decision.request_table import RequestTable

COMPACTION_SLACK = 32  # a queue is compacted once its ended requests exceed its live ones by more than this


class ClassQueues:
    """One queue for each class.

    A request that ends while it is held stays in its queue, where it is skipped later.
    """

    def __init__(self, order: Sequence[int], table: RequestTable, rng: random.Random) -> None:
        """Create empty queues.

        Args:
            order: Indexes of the classes, highest priority weight first.
            table: The live requests.
            rng: Source of the random choices.
        """
        self.order = order
        self.table = table
        self.rng = rng
        self.queues: list[deque[Request]] = [deque() for _ in order]

    def append(self, request: Request) -> None:
        """Add a request to the end of the queue of its class."""
        self.queues[request.class_index].append(request)

    def put_back(self, request: Request) -> None:
        """Return a popped request to the front of its queue."""
        self.queues[request.class_index].appendleft(request)

    def pop(self, class_index: int) -> Request:
        """Remove and return the first live request of a class, which must have one."""
        queue = self.queues[class_index]
        while (request := queue.popleft()).id not in self.table:
            pass
        return request

    def draw(self, shares: Sequence[float], excluded: Sequence[bool]) -> int | None:
        """Draw the class whose first request runs next.

        Args:
            shares: Weight of each class in the draw, in the order of the classes by priority weight.
            excluded: For each class index, whether the class must not be drawn.

        Returns:
            The index of a class with a held request, or None if every such class is excluded.
        """
        held = self.table.held_by_class
        eligible = [
            (index, share) for index, share in zip(self.order, shares) if held[index] and not excluded[index]
        ]
        point = self.rng.random() * sum(share for _, share in eligible)
        for class_index, share in eligible:
            if point <= share:
                return class_index
            point -= share
        return eligible[-1][0] if eligible else None

    def compact(self) -> None:
        """Remove ended requests from long queues: those of rarely drawn classes would keep growing."""
        for class_index, queue in enumerate(self.queues):
            if len(queue) > 2 * self.table.held_by_class[class_index] + COMPACTION_SLACK:
                self.queues[class_index] = deque(request for request in queue if request.id in self.table)
