"""Table of a server's live requests, with counts by state and the memory in use."""

from __future__ import annotations

from saltcart.decision.request import AWAITING_CALL, CALLING, HELD, RUNNING, Request, RequestState
from saltcart.decision.settings import Settings

STATES_WITH_RUN_MEMORY = (RUNNING, AWAITING_CALL, CALLING)
BYTES_PER_KB = 1024


class RequestTable:
    """Owns the live requests and reserved idempotency keys, and accounts for their memory.

    The memory is counted in whole bytes: sums of floats drift, and an empty table must use exactly none.
    """

    def __init__(self, settings: Settings) -> None:
        self.run_memory_factor = settings.run_memory_factor
        self.key_entry_bytes = round(settings.key_entry_kb * BYTES_PER_KB)
        self.requests: dict[int, Request] = {}
        self.counts = [0] * len(RequestState)
        self.held_by_class = [0] * len(settings.classes)
        # By id of a request with a reserved key: whether its run succeeded, None before the end of that run.
        self.key_results: dict[int, bool | None] = {}
        self.memory_bytes = 0

    @property
    def memory_kb(self) -> float:
        """The memory of the requests and the keys, in kilobytes."""
        return self.memory_bytes / BYTES_PER_KB

    def __contains__(self, request_id: int) -> bool:
        """Whether a request is live."""
        return request_id in self.requests

    def get(self, request_id: int) -> Request | None:
        """Return a request, or None if it is not live."""
        return self.requests.get(request_id)

    def add(self, request: Request) -> None:
        """Add a new request in state ``HELD``."""
        self.requests[request.id] = request
        self.counts[HELD] += 1
        self.held_by_class[request.class_index] += 1
        self.memory_bytes += self._memory_of(request)

    def change_state(self, request: Request, state: RequestState) -> None:
        """Move a request to another state."""
        self._leave_state(request)
        self.counts[state] += 1
        request.state = state

    def start_run(self, request: Request, now: float) -> None:
        """Move a held request to ``RUNNING`` and account for the memory of its run."""
        self.memory_bytes -= self._memory_of(request)
        self.change_state(request, RUNNING)
        request.has_run = True
        request.started_at = now
        self.memory_bytes += self._memory_of(request)

    def remove(self, request: Request) -> None:
        """Remove a request and release its memory."""
        del self.requests[request.id]
        self._leave_state(request)
        self.memory_bytes -= self._memory_of(request)

    def _memory_of(self, request: Request) -> int:
        """Return the memory of a request in its present state, in bytes."""
        factor = self.run_memory_factor if request.state in STATES_WITH_RUN_MEMORY else 1.0
        return round(request.size_kb * factor * BYTES_PER_KB)

    def _leave_state(self, request: Request) -> None:
        self.counts[request.state] -= 1
        if request.state is HELD:
            self.held_by_class[request.class_index] -= 1

    def reserve_key(self, request_id: int) -> None:
        """Account for the idempotency key of a request."""
        self.key_results[request_id] = None
        self.memory_bytes += self.key_entry_bytes

    def record_key_result(self, request_id: int, succeeded: bool) -> None:
        """Record the result of a run if the key of its request is reserved."""
        if request_id in self.key_results:
            self.key_results[request_id] = succeeded

    def release_key(self, request_id: int) -> bool:
        """Release the key of a request; return False if none is reserved."""
        if request_id not in self.key_results:
            return False
        del self.key_results[request_id]
        self.memory_bytes -= self.key_entry_bytes
        return True
