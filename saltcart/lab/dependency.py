"""A simulated dependency: a queue in front of workers, service times drawn in advance, and planned faults."""

from __future__ import annotations

import heapq
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass
from typing import NamedTuple

import numpy as np

from saltcart.decision.outcome import Outcome

MAX_DRAWN_ATTEMPTS = 6  # attempts of one request with a draw of their own; later ones use the last draw


@dataclass(frozen=True)
class FaultPlan:
    """A fault of one dependency for a period of time.

    Attributes:
        start: Start of the fault, in seconds since the start of the run.
        end: End of the fault, in seconds since the start of the run.
        slowdown_factor: Factor on the service times.
        error_share: Share of the calls that fail.
        is_silent: Whether calls are accepted but never answered.
        flap_seconds: Length of the alternating periods without and with replies; 0 for none.
        extra_delay: Seconds added to each reply without occupying a worker.
    """

    start: float
    end: float
    slowdown_factor: float = 1.0
    error_share: float = 0.0
    is_silent: bool = False
    flap_seconds: float = 0.0
    extra_delay: float = 0.0

    def is_silent_at(self, elapsed: float) -> bool:
        """Return whether calls are not answered at this time, in seconds since the start of the run."""
        return self.is_silent or (
            self.flap_seconds > 0 and int((elapsed - self.start) / self.flap_seconds) % 2 == 0
        )


class CallResult(NamedTuple):
    """The simulated result of a call.

    Attributes:
        outcome: How the call ends.
        seconds: Seconds until the reply; None if there is never one.
        worker_seconds: Seconds for which the call occupies a worker.
    """

    outcome: Outcome
    seconds: float | None
    worker_seconds: float = 0.0


class ModelDependency:
    """Workers that serve calls in the order of arrival; a cancelled call still occupies its worker.

    Service times are lognormal, and drawn in advance for each request and attempt, so that all policies are
    compared on the same draws.

    Attributes:
        service_times: Seconds of service by request and attempt.
        error_draws: Uniform draws by request and attempt, which are compared with the error share of a fault.
        worker_free_at: Times at which the workers become free, as a heap.
        fault_plans: Faults; the first one that is in effect applies.
        attempt_counts: Number of attempts by request.
        success_counts: Number of successful attempts by request.
        call_times: Arrival times of the calls, in seconds since the start of the run.
    """

    def __init__(
        self, name: str, workers: int, median: float, spread: float, requests: int, seed: int, origin: float
    ) -> None:
        """Draw the service times.

        Args:
            name: Name of the dependency; its draws depend on it.
            workers: Number of calls that are served concurrently.
            median: Median service time in seconds.
            spread: Standard deviation of the logarithm of the service time.
            requests: Number of requests of the run.
            seed: Seed of the draws.
            origin: Time at which the run starts, in seconds on the clock of the calls.
        """
        rng = np.random.default_rng([seed, int.from_bytes(name.encode()[:8], "little")])
        shape = (requests, MAX_DRAWN_ATTEMPTS)
        self.service_times = rng.lognormal(np.log(median), spread, shape).tolist()
        self.error_draws = rng.random(shape).tolist()
        self.name, self.origin, self.worker_free_at = name, origin, [0.0] * workers
        self.fault_plans: list[FaultPlan] = []
        self.attempt_counts = Counter[int]()
        self.success_counts = Counter[int]()
        self.call_times: list[float] = []

    def _fault_at(self, elapsed: float) -> FaultPlan | None:
        return next((plan for plan in self.fault_plans if plan.start <= elapsed < plan.end), None)

    def predict_result(self, now: float, request: int, attempts_ahead: int = 0) -> CallResult:
        """Return the result that an attempt made now would have, without changing any state.

        Args:
            now: The time, in seconds.
            request: Number of the request.
            attempts_ahead: 0 for the next attempt of the request, 1 for the one after it.
        """
        elapsed, attempt = (
            now - self.origin,
            min(MAX_DRAWN_ATTEMPTS - 1, self.attempt_counts[request] + attempts_ahead),
        )
        fault = self._fault_at(elapsed)
        service_time, wait = self.service_times[request][attempt], max(0.0, self.worker_free_at[0] - now)
        if fault is None:
            return CallResult(Outcome.SUCCEEDED, wait + service_time, service_time)
        if fault.is_silent_at(elapsed):
            return CallResult(Outcome.TIMED_OUT, None)
        if self.error_draws[request][attempt] < fault.error_share:
            return CallResult(Outcome.FAILED, wait + service_time / 4, service_time / 4)
        return CallResult(
            Outcome.SUCCEEDED,
            wait + service_time * fault.slowdown_factor + fault.extra_delay,
            service_time * fault.slowdown_factor,
        )

    def call(self, now: float, request: int, on_reply: Callable[[float, Outcome], None]) -> None:
        """Accept a call.

        Args:
            now: The time, in seconds.
            request: Number of the request that makes the call.
            on_reply: Called at once with the time and outcome of the reply; not called if there is never one.
        """
        result = self.predict_result(now, request)
        self.attempt_counts[request] += 1
        self.call_times.append(now - self.origin)
        if result.seconds is None:
            return
        heapq.heapreplace(self.worker_free_at, max(now, self.worker_free_at[0]) + result.worker_seconds)
        self.success_counts[request] += result.outcome is Outcome.SUCCEEDED
        on_reply(now + result.seconds, result.outcome)


def request_number(request_id: bytes) -> int:
    """Return the number of the request of an id; a duplicate of it has the same low 32 bits."""
    return int(request_id, 16) % (1 << 32)
