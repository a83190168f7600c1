"""Table of a server's live requests, with counts by state and the memory in use."""

from __future__ import annotations

from saltcart.decision.request import AWAITING_CALL, CALLING, HELD, RUNNING, Request, RequestState
from saltcart.decision.settings import Settings

STATES_WITH_RUN_MEMORY = (RUNNING, AWAITING_CALL, CALLING)


class RequestTable:
    """Owns the live requests and reserved idempotency keys, and accounts for their memory."""

    def __init__(self, settings: Settings) -> None:
        self.run_memory_factor = settings.run_memory_factor
        self.key_entry_kb = settings.key_entry_kb
        self.requests: dict[int, Request] = {}
        self.counts = [0] * len(RequestState)
        self.held_by_class = [0] * len(settings.classes)
        # By id of a request with a reserved key: whether its run succeeded, None before the end of that run.
        self.key_results: dict[int, bool | None] = {}
        self.memory_kb = 0.0

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
        self.memory_kb += request.size_kb

    def change_state(self, request: Request, state: RequestState) -> None:
        """Move a request to another state."""
        self._leave_state(request)
        self.counts[state] += 1
        request.state = state

    def start_run(self, request: Request, now: float) -> None:
        """Move a held request to ``RUNNING`` and account for the memory of its run."""
        self.change_state(request, RUNNING)
        request.has_run = True
        request.started_at = now
        self.memory_kb += request.size_kb * (self.run_memory_factor - 1)

    def remove(self, request: Request) -> None:
        """Remove a request and release its memory."""
        del self.requests[request.id]
        self._leave_state(request)
        factor = self.run_memory_factor if request.state in STATES_WITH_RUN_MEMORY else 1.0
        self.memory_kb -= request.size_kb * factor

    def _leave_state(self, request: Request) -> None:
        self.counts[request.state] -= 1
        if request.state is HELD:
            self.held_by_class[request.class_index] -= 1

    def reserve_key(self, request_id: int) -> None:
        """Account for the idempotency key of a request."""
        self.key_results[request_id] = None
        self.memory_kb += self.key_entry_kb

    def record_key_result(self, request_id: int, succeeded: bool) -> None:
        """Record the result of a run if the key of its request is reserved."""
        if request_id in self.key_results:
            self.key_results[request_id] = succeeded

    def release_key(self, request_id: int) -> bool:
        """Release the key of a request; return False if none is reserved."""
        if request_id not in self.key_results:
            return False
        del self.key_results[request_id]
        self.memory_kb -= self.key_entry_kb
        return True
