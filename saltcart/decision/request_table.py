"""The live requests of a server, counted by state, and the memory that they and remembered keys take."""

from __future__ import annotations

from saltcart.decision.request import AWAITING_CALL, CALLING, HELD, RUNNING, Request, RequestState
from saltcart.decision.settings import Settings

IN_RUN_MEMORY = (RUNNING, AWAITING_CALL, CALLING)


class RequestTable:
    """Owns the requests and the books on them; a request is booked in ``add`` and off in ``remove``."""

    def __init__(self, settings: Settings) -> None:
        self.run_memory_factor = settings.run_memory_factor
        self.key_entry_kb = settings.key_entry_kb
        self.requests: dict[int, Request] = {}
        self.counts = [0] * len(RequestState)
        self.held_by_class = [0] * len(settings.classes)
        self.key_results: dict[int, bool | None] = {}  # of reserved keys: did the run succeed, if it ended
        self.memory_kb = 0.0

    def __contains__(self, request_id: int) -> bool:
        """Whether this request is live."""
        return request_id in self.requests

    def get(self, request_id: int) -> Request | None:
        """Return a live request, or None."""
        return self.requests.get(request_id)

    def add(self, request: Request) -> None:
        """Book a request that was read and is held."""
        self.requests[request.id] = request
        self.counts[HELD] += 1
        self.held_by_class[request.class_index] += 1
        self.memory_kb += request.size_kb

    def move(self, request: Request, state: RequestState) -> None:
        """Change a request's state."""
        self._leave_state(request)
        self.counts[state] += 1
        request.state = state

    def start_run(self, request: Request, now: float) -> None:
        """Book a held request as running, with the memory of a run."""
        self.move(request, RUNNING)
        request.has_run = True
        request.started_at = now
        self.memory_kb += request.size_kb * (self.run_memory_factor - 1)

    def remove(self, request: Request) -> None:
        """Take a request off the books."""
        del self.requests[request.id]
        self._leave_state(request)
        factor = self.run_memory_factor if request.state in IN_RUN_MEMORY else 1.0
        self.memory_kb -= request.size_kb * factor

    def _leave_state(self, request: Request) -> None:
        self.counts[request.state] -= 1
        if request.state is HELD:
            self.held_by_class[request.class_index] -= 1

    def reserve_key(self, request_id: int) -> None:
        """Book the idempotency key of a request."""
        self.key_results[request_id] = None
        self.memory_kb += self.key_entry_kb

    def record_key_result(self, request_id: int, succeeded: bool) -> None:
        """Note how the run of a request with a reserved key ended."""
        if request_id in self.key_results:
            self.key_results[request_id] = succeeded

    def release_key(self, request_id: int) -> bool:
        """Take a key off the books, once; False where none was booked."""
        if request_id not in self.key_results:
            return False
        del self.key_results[request_id]
        self.memory_kb -= self.key_entry_kb
        return True
