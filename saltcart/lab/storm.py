"""Retry storm experiment: a simulated fleet whose clients retry without limit.

Each node runs the service's own core, decision module and retry storm control.  A third of the nodes fails
for 20 s and restarts cold; on another day a rolling deploy overlaps with the restart.  Reading a request
costs a quarter of its work and runs on the same cores, so rejecting alone does not end an overload, and the
storm lasts.

Policies:
    storm: The service with its storm control.
    off: The service without storm control.
    bucket: A token bucket on new requests in place of storm control.
    bound: No storm control, and clients that double their backoff with jitter.
"""

from __future__ import annotations

import random
import time
from collections import Counter, deque
from collections.abc import Callable
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass, field, replace
from typing import Any, NamedTuple

import numpy as np

from saltcart.core.messages import FinalResponse, InboundRequest, ResponseStatus
from saltcart.core.request import PendingRequest as CoreRequest
from saltcart.core.service import Service
from saltcart.decision.actions import Reject
from saltcart.decision.connection_admission import ConnectionAdmission
from saltcart.decision.outcome import Outcome
from saltcart.decision.settings import ClassSpec, Effect, LoadSignal, Preemption, Settings, TenantSpec
from saltcart.lab.events import EventQueue, start_service_timer
from saltcart.retry_storm.capacity import WarmUpCurve
from saltcart.retry_storm.controller import RetryStormController
from saltcart.retry_storm.settings import StormSettings

# Shares of a mean request's work: to read a request, and to reject it unread.
READ_WORK_SHARE, UNREAD_REJECT_WORK_SHARE = 0.25, 0.005
MEAN_WORK_SECONDS = 0.4  # on one warm core
CORE_COUNT, LOAD_SHARE = 2, 0.65
CLASSES = (
    ClassSpec("pregled-statusa", Effect.SAFE, 2.0, 4.0, 1.0),
    ClassSpec("oddaja", Effect.IDEMPOTENT_BY_KEY, 1.6, 4.0, 5.0, key_window=12.0),
)
KEYED_SHARE = 0.25  # of the requests
TENANTS = ("loud", "quiet-1", "quiet-2", "quiet-3")
OUTAGE_START_SECONDS, OUTAGE_SECONDS, OUTAGE_NODE_STRIDE = 8.0, 20.0, 3
DEPLOY_SECONDS = 20.0  # in which the rolling deploy replaces the nodes that did not fail
QUICK_DAY_SECONDS, FULL_DAY_SECONDS = 60.0, 90.0
RECOVERED_SHARE, RECOVERED_SPAN_SECONDS = 0.9, 3.0  # share of the normal weight, and for how long
IMPATIENT_RETRY_SECONDS = (0.15, 0.5)  # range of delays of a client that ignores Retry-After
ADDRESSES_PER_TENANT = 4
CONNECTION_REFUSED_SECONDS = 0.02  # that a refused connection costs a client

REQUESTS_PER_SECOND_PER_NODE = LOAD_SHARE * CORE_COUNT / (MEAN_WORK_SECONDS * (1 + READ_WORK_SHARE))

SETTINGS = Settings(
    classes=CLASSES,
    cores=CORE_COUNT,
    memory_kb=1e6,
    answer_slack=0.08,
    drain_grace=1.0,
    max_running_per_core=8.0,
    max_running_window=2.0,
    cold_speed_share=0.3,
    warm_up_seconds=8.0,
    key_entry_kb=1.0,
    preemption=Preemption.DROP,
    signal=LoadSignal.NONE,
    max_retry_after=1.0,
    client_idle_timeout=30.0,
    batch_interval=0.01,
)


class StormDay(NamedTuple):
    """One scenario of load and faults.

    Attributes:
        name: Name in the printed table.
        node_count: Nodes of the fleet.
        duration_seconds: Simulated time.
        outage: Whether a third of the nodes fails and restarts cold.
        rolling_deploy: Whether the other nodes are redeployed one by one after the outage.
        obeying_share: Share of the clients that obey Retry-After.
        surge_factor: New requests during the outage's time, relative to the normal rate.
        loud_factor: Requests of the tenant ``loud`` in that time, relative to its own share; the other
            tenants send as usual.  The day has tenants if this is not 0 or ``quiet_alone`` is set.
        quiet_alone: Whether the tenant ``loud`` sends nothing.
    """

    name: str
    node_count: int
    duration_seconds: float
    outage: bool = True
    rolling_deploy: bool = False
    obeying_share: float = 0.5
    surge_factor: float = 1.0
    loud_factor: float = 0.0
    quiet_alone: bool = False


@dataclass(eq=False)
class SimulatedRequest:
    """A client's request through all its attempts.

    Attributes:
        number: Index of the request in the fleet.
        class_index: Index into ``CLASSES``.
        tenant: Its tenant, or the empty string on a day without tenants.
        created_at: Simulated time of the first attempt.
        work: Seconds on one warm core.
        node_number: The node of the current or next attempt.
        obeys_retry_after: Whether the client obeys Retry-After.
        attempt_count: Attempts that were read by a node.
        done: Whether it was served.
        request_id: Id of the attempt that was read last.
        admitted_last: Whether its connection is read after those of others.
    """

    number: int
    class_index: int
    tenant: str
    created_at: float
    work: float
    node_number: int
    obeys_retry_after: bool
    attempt_count: int = 0
    done: bool = False
    request_id: bytes = b""
    admitted_last: bool = False


@dataclass
class StormResult:
    """Measurements of one simulated day.

    Attributes:
        weight_share_by_second: Share of the priority weight that was earned, by second of creation.
        weight_share_by_tenant: The same by tenant, from the start of the outage's time.
        attempt_count: Attempts of all clients.
        request_count: New requests of all clients.
        peak_attempts_per_request: Highest ratio of attempts to new requests over 5 s.
        duplicate_run_count: Keyed requests that ran again within their key window.
        unanswered_rejection_count: Rejected requests that had no response 0.1 s later.
        storm_seconds: Node-seconds of the outage's time in which a node detected a storm.
        node_seconds: Node-seconds of the outage's time in which a node was up.
        on_time_retry_count: Retries that came at the time that Retry-After gave.
        early_retry_count: Retries that came before that time.
        advice_count: Retry-After times that were reserved.
        sketch_bytes: Memory of the storm control of one node.
        wall_seconds: Real time that the simulation used.
    """

    weight_share_by_second: list[float] = field(default_factory=list)
    weight_share_by_tenant: dict[str, float] = field(default_factory=dict)
    attempt_count: int = 0
    request_count: int = 0
    peak_attempts_per_request: float = 1.0
    duplicate_run_count: int = 0
    unanswered_rejection_count: int = 0
    storm_seconds: int = 0
    node_seconds: int = 0
    on_time_retry_count: int = 0
    early_retry_count: int = 0
    advice_count: int = 0
    sketch_bytes: int = 0
    wall_seconds: float = 0.0


class Node:
    """One server: cores that read and run requests, and the service's core, which a restart replaces."""

    def __init__(self, fleet: SimulatedStormFleet, number: int) -> None:
        """Start the node warm."""
        self.fleet, self.number, self.incarnation, self.core_generation = fleet, number, 0, 0
        self.rng = random.Random(fleet.seed * 1000 + number)
        self.up = True
        self.unread, self.ready = deque[SimulatedRequest](), deque[tuple[Service, bytes]]()
        self.busy_cores, self.read_next = 0, False
        self.start_process(False)

    def start_process(self, cold: bool) -> None:
        """Create a new service core with empty sketches.

        Args:
            cold: Whether its worker pool has just started; otherwise it is fully warm.
        """
        fleet, events = self.fleet, self.fleet.events
        self.incarnation += 1
        settings = replace(SETTINGS, replica_count=fleet.day.node_count)
        if fleet.tenants:
            settings = replace(settings, tenants=fleet.tenants, over_quota_weight_share=0.0)
        service = self.service = Service(
            settings,
            ("cpu_busy", "runnable"),
            self.rng.getrandbits(60),
            events.clock,
            lambda event, **_: None,
            max_key_bytes=1 << 30,
        )
        service.ports.workers = SimulatedWorkers(self, service)
        execute = service.executor.handlers[Reject]
        service.executor.handlers[Reject] = lambda action: self._reject_and_check(service, action, execute)
        service.pool_started(cold, 0.0 if cold else 100.0)
        self.warm_up_curve = WarmUpCurve(service.settings, events.now)
        self.storm_control: RetryStormController | None = None
        self.tokens, self.tokens_updated_at = 0.0, events.now
        if fleet.policy == "storm":
            self.storm_control = RetryStormController(
                StormSettings(reading=READ_WORK_SHARE),
                service.settings,
                self.rng.getrandbits(60),
                events.now,
                events.now - (0.0 if cold else 100.0),
            )
            service.ports.storm_control = self.storm_control
        start_service_timer(events, service)

    def _reject_and_check(self, service: Service, action: Reject, execute: Callable[..., None]) -> None:
        """Execute a rejection, and check 0.1 s later that the client had its response."""
        request = service.requests.get(action.id)
        execute(action)
        if request is not None and request.respond is not None:
            self.fleet.events.at(self.fleet.events.now + 0.1, self._check_answered, request)

    def _check_answered(self, request: CoreRequest) -> None:
        self.fleet.result.unanswered_rejection_count += request.respond is not None

    def speed_share(self) -> float:
        """Current speed of a core, as a share of a warm core's."""
        return self.warm_up_curve.speed_share_at(self.fleet.events.now)

    def fail(self) -> None:
        """Lose all state and break the connections of all clients."""
        self.up = False
        lost_requests = list(self.fleet.open.pop(self.number, {}).values())
        self.service.timers.on_earlier_due = None
        self.service.timers.heap.clear()
        self.unread.clear()
        self.ready.clear()
        self.core_generation += 1  # Discards the scheduled ends of what the cores were doing.
        self.busy_cores = 0
        for request in lost_requests:
            self.fleet.schedule_attempt(request, CONNECTION_REFUSED_SECONDS, self.fleet.next_node(request))

    def restart(self) -> None:
        """Come back cold after a failure."""
        self.up = True
        self.start_process(True)

    def redeploy(self) -> None:
        """Drain the old process while a cold one with empty sketches accepts new requests."""
        self.service.start_drain(2.0)
        self.start_process(True)

    def receive(self, request: SimulatedRequest) -> None:
        """Accept a connection that carries one request, or reject it unread."""
        now, fleet = self.fleet.events.now, self.fleet
        source = source_digest(request)
        admission = (
            ConnectionAdmission.READ
            if self.storm_control is None
            else self.storm_control.admit_connection(now, source)
        )
        request.admitted_last = admission is ConnectionAdmission.READ_LAST
        if (
            self.storm_control is not None
            and admission is ConnectionAdmission.REFUSE
            and not self._admit_retry_of_run(self.storm_control, request)
        ):
            rejection = self.storm_control.reject_unread(now, source)
            self.unread.append(UNREAD_REJECTION)
            fleet.receive_response(
                request,
                self,
                FinalResponse(ResponseStatus.REJECTED, retry_after_seconds=rejection.retry_after),
                record_advice=False,
            )
        elif fleet.policy == "bucket" and not self._take_token(now):
            fleet.receive_response(request, self, FinalResponse(ResponseStatus.REJECTED))
        else:
            fleet.open.setdefault(self.number, {})[request.number] = request
            self.unread.append(request)
        self.start_work()

    def _admit_retry_of_run(self, control: RetryStormController, request: SimulatedRequest) -> bool:
        """Return whether a refused request is read all the same, because it has run here."""
        if not self.service.run_lookup.may_have_run(self._build_inbound(request, b"")):
            return False
        control.admit_retry_of_run(self.fleet.events.now)
        return True

    def _take_token(self, now: float) -> bool:
        rate = CORE_COUNT / (MEAN_WORK_SECONDS * (1 + READ_WORK_SHARE)) * self.speed_share()
        self.tokens = min(rate, self.tokens + (now - self.tokens_updated_at) * rate)
        self.tokens_updated_at = now
        if self.tokens < 1:
            return False
        self.tokens -= 1
        return True

    def start_work(self) -> None:
        """Give idle cores reads and runs in turn."""
        events = self.fleet.events
        while self.busy_cores < CORE_COUNT and (self.unread or self.ready):
            self.read_next = not self.read_next
            self.busy_cores += 1
            if self.unread and (self.read_next or not self.ready):
                request = self.unread.popleft()
                cost = (
                    UNREAD_REJECT_WORK_SHARE * MEAN_WORK_SECONDS
                    if request is UNREAD_REJECTION
                    else READ_WORK_SHARE * request.work
                )
                events.at(
                    events.now + cost / self.speed_share(), self._finish_read, self.core_generation, request
                )
            else:
                service, request_id = self.ready.popleft()
                if request_id not in service.requests_by_id:  # stopped while it waited for a core
                    self.busy_cores -= 1
                    continue
                duration = self.fleet.requests[int(request_id, 16) >> 12].work / self.speed_share()
                events.at(
                    events.now + duration,
                    self._finish_run,
                    self.core_generation,
                    service,
                    request_id,
                    duration,
                )

    def _release_core(self, core_generation: int) -> bool:
        """Free a core; return False if the node failed since the work was started."""
        if core_generation != self.core_generation:
            return False
        self.busy_cores -= 1
        return True

    def _finish_read(self, core_generation: int, request: SimulatedRequest) -> None:
        if not self._release_core(core_generation):
            return
        if request is not UNREAD_REJECTION and not request.done and request.node_number == self.number:
            self._submit(request)
        self.start_work()

    def _submit(self, request: SimulatedRequest) -> None:
        """Pass an attempt that was read to the service's core, under a request id of its own."""
        request.attempt_count += 1
        request.request_id = b"%016x" % ((request.number << 12) + (request.attempt_count & 0xFFF))
        request_id = request.request_id
        self.service.submit(
            self._build_inbound(request, request_id),
            lambda response: self.fleet.receive_response(request, self, response, request_id),
        )

    def _build_inbound(self, request: SimulatedRequest, request_id: bytes) -> InboundRequest:
        """Return a request as the service reads it."""
        spec = CLASSES[request.class_index]
        keyed = spec.effect is Effect.IDEMPOTENT_BY_KEY
        return InboundRequest(
            request_id,
            spec.name,
            request.tenant,
            self.fleet.attempt_started_at[request.number],
            None,
            10.0,
            self.fleet.priority_ranks[request.number],
            idempotency_key=b"k%d" % request.number if keyed else None,
            admitted_last=request.admitted_last,
            body=b"%d" % request.number,
        )

    def _finish_run(self, core_generation: int, service: Service, request_id: bytes, duration: float) -> None:
        if not self._release_core(core_generation):
            return
        if request_id in service.requests_by_id:
            service.run_finished(request_id, Outcome.SUCCEEDED, duration, b"done")
        self.start_work()


def source_digest(request: SimulatedRequest) -> int:
    """Digest of the client's address: one per client, or a tenant's few office addresses."""
    number = request.number + 1
    if request.tenant:
        number = (TENANTS.index(request.tenant) + 1) * 1000 + request.number % ADDRESSES_PER_TENANT
    return number * 0x9E3779B97F4A7C15 & (1 << 64) - 1


# Stands in the queue of a node for a connection that was rejected unread.
UNREAD_REJECTION = SimulatedRequest(-1, 0, "", 0.0, MEAN_WORK_SECONDS, -1, False)


class SimulatedWorkers:
    """Worker pool port of one process: queues runs for the node's cores."""

    def __init__(self, node: Node, service: Service) -> None:
        """Belong to the process that the node has just started."""
        self.node, self.service, self.incarnation = node, service, node.incarnation

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
        """Queue a run for the node's cores."""
        request = self.node.fleet.requests[int(request_id, 16) >> 12]
        if CLASSES[request.class_index].effect is Effect.IDEMPOTENT_BY_KEY:
            self.node.fleet.record_keyed_run(self.node.number, self.incarnation, request)
        self.node.ready.append((self.service, request_id))
        self.node.start_work()

    def suspend(self, request_id: bytes) -> None:
        """Stop a run at once, losing what was done."""
        self.node.fleet.events.at(self.node.fleet.events.now, self._stopped, request_id)

    def _stopped(self, request_id: bytes) -> None:
        self.service.run_finished(request_id, Outcome.CANCELLED, 0.0, b"")

    def resume(self, request_id: bytes) -> None:
        """Do nothing: runs are never paused."""

    def supply_reply(self, request_id: bytes, reply: bytes) -> None:
        """Do nothing: runs make no calls."""

    def skip_call(self, request_id: bytes, notice_number: int) -> None:
        """Do nothing: runs make no calls."""

    def poll_gauges(self) -> None:
        """Report the busy cores."""
        self.service.gauges_polled((min(1.0, self.node.busy_cores / CORE_COUNT), float(self.node.busy_cores)))


class SimulatedStormFleet:
    """The nodes and the clients of one day under one policy."""

    def __init__(self, day: StormDay, policy: str, seed: int) -> None:
        """Draw all requests of the day and start the nodes."""
        self.day, self.policy, self.seed, self.events = day, policy, seed, EventQueue(0.0)
        rng = np.random.default_rng([seed, day.node_count])
        rate = REQUESTS_PER_SECOND_PER_NODE * day.node_count
        self.tenants: tuple[TenantSpec, ...] = ()
        tenant_names = [""]
        if day.loud_factor or day.quiet_alone:
            tenant_share = 1 / len(TENANTS)
            self.tenants = tuple(TenantSpec(n, 1.3 * rate * tenant_share, tenant_share) for n in TENANTS)
            tenant_names = list(TENANTS)
        arrivals = self._draw_arrivals(rng, rate, tenant_names)
        count = len(arrivals)
        keyed, works = rng.random(count) < KEYED_SHARE, rng.gamma(4.0, MEAN_WORK_SECONDS / 4, count)
        obeys, first_nodes = rng.random(count) < day.obeying_share, rng.integers(0, day.node_count, count)
        self.priority_ranks = rng.random(count).tolist()
        self.requests = [
            SimulatedRequest(
                n, int(keyed[n]), tenant, created_at, float(works[n]), int(first_nodes[n]), bool(obeys[n])
            )
            for n, (created_at, tenant) in enumerate(arrivals)
        ]
        self.attempt_started_at = [0.0] * count  # by request; -1 while it has no attempt under way
        self.rng = random.Random(seed)
        self.open: dict[int, dict[int, SimulatedRequest]] = {}  # requests with an attempt under way, by node
        # Start of the attempt that ran last, by node, its incarnation and request.
        self.keyed_runs: dict[tuple[int, int, int], float] = {}
        self.attempts_by_second, self.new_requests_by_second = Counter[int](), Counter[int]()
        self.result, self.earned_weight = StormResult(), Counter[tuple[str, int]]()
        self.nodes: list[Node] = []
        self.nodes = [Node(self, n) for n in range(day.node_count)]
        self.wait_started_at = [0.0] * count  # of each client's current wait: one attempt at a time

    def _draw_arrivals(
        self, rng: np.random.Generator, rate: float, tenant_names: list[str]
    ) -> list[tuple[float, str]]:
        """Draw the time and tenant of each new request, in order of time."""
        day, arrivals = self.day, list[tuple[float, str]]()
        for name in tenant_names:
            tenant_rate = rate / len(tenant_names)
            phases = [(0.0, day.duration_seconds, tenant_rate)]
            if day.surge_factor > 1:
                phases.append(
                    (
                        OUTAGE_START_SECONDS,
                        OUTAGE_START_SECONDS + OUTAGE_SECONDS,
                        (day.surge_factor - 1) * tenant_rate,
                    )
                )
            if name == "loud":
                phases = (
                    []
                    if day.quiet_alone
                    else [
                        (0.0, day.duration_seconds, tenant_rate),
                        (
                            OUTAGE_START_SECONDS,
                            OUTAGE_START_SECONDS + OUTAGE_SECONDS,
                            (day.loud_factor - 1) * tenant_rate,
                        ),
                    ]
                )
            for begin, end, phase_rate in phases:
                times = rng.random(rng.poisson(phase_rate * (end - begin))) * (end - begin) + begin
                arrivals += [(float(at), name) for at in times]
        return sorted(arrivals)

    # ---- clients ------------------------------------------------------------------------------

    def attempt(self, request: SimulatedRequest) -> None:
        """Start the next attempt of a request."""
        if request.done or self.events.now > self.day.duration_seconds:
            return
        node = self.nodes[request.node_number]
        self.attempts_by_second[int(self.events.now)] += 1
        if not node.up:
            self.schedule_attempt(request, CONNECTION_REFUSED_SECONDS, self.next_node(request))
            return
        self.attempt_started_at[request.number] = self.events.now
        self.events.at(
            self.events.now + CLASSES[request.class_index].deadline + 0.5,
            self._on_timeout,
            request,
            self.events.now,
        )
        node.receive(request)

    def next_node(self, request: SimulatedRequest) -> int:
        """The next node in the client's own order; clients differ in their order."""
        strides = (7, 11, 13, 17, 19, 23, 29, 31)  # none divides the fleet sizes of the experiment
        return (request.node_number + strides[request.number % len(strides)]) % len(self.nodes)

    def schedule_attempt(self, request: SimulatedRequest, delay: float, node_number: int) -> None:
        """Start another attempt at a node after a delay in seconds."""
        request.node_number = node_number
        self.attempt_started_at[request.number] = -1.0
        self.events.at(self.events.now + delay, self.attempt, request)

    def _on_timeout(self, request: SimulatedRequest, started_at: float) -> None:
        """Close the connection of an attempt without a response and retry.

        A keyed request goes to the same node, since it may have run there.
        """
        if request.done or self.attempt_started_at[request.number] != started_at:
            return
        node = self.nodes[request.node_number]
        self.open.get(node.number, {}).pop(request.number, None)
        if request in node.unread:
            node.unread.remove(request)
        pending = node.service.requests_by_id.get(request.request_id)
        if pending is not None:
            node.service.abandon(pending.number)
        keyed = CLASSES[request.class_index].effect is Effect.IDEMPOTENT_BY_KEY
        self.schedule_attempt(
            request,
            self.rng.uniform(*IMPATIENT_RETRY_SECONDS),
            request.node_number if keyed else self.next_node(request),
        )

    def receive_response(
        self,
        request: SimulatedRequest,
        node: Node,
        response: FinalResponse,
        request_id: bytes = b"",  # of the attempt that it answers; empty for one that was not read
        record_advice: bool = True,  # whether the node's storm control still has to record Retry-After
    ) -> None:
        """Handle a response at the client: count its priority weight or schedule a retry."""
        if (
            request.done
            or request.node_number != node.number
            or (request_id and request_id != request.request_id)
        ):
            return  # The client has started another attempt.
        now = self.events.now
        self.open.get(node.number, {}).pop(request.number, None)
        spec = CLASSES[request.class_index]
        if response.status is ResponseStatus.SERVED:
            request.done = True
            if now - request.created_at <= spec.latency_objective:
                self.earned_weight[request.tenant, int(request.created_at)] += spec.priority_weight  # type: ignore[assignment]
            return
        if record_advice and node.storm_control is not None and response.retry_after_seconds > 0:
            node.storm_control.record_advice(now, source_digest(request), response.retry_after_seconds)
        delay, node_number = self.rng.uniform(*IMPATIENT_RETRY_SECONDS), self.next_node(request)
        if response.status is ResponseStatus.FAILED and spec.effect is Effect.IDEMPOTENT_BY_KEY:
            node_number = node.number  # it may have run there
        if self.policy == "bound":
            delay = min(20.0, 0.3 * 2 ** min(8, request.attempt_count)) * self.rng.uniform(0.5, 1.5)
        elif response.retry_after_seconds > 0 and request.obeys_retry_after:
            # Half of the clients know Retry-After in whole seconds only, rounded up.
            delay = (
                response.retry_after_seconds
                if request.number % 2
                else float(max(1, -int(-response.retry_after_seconds // 1)))
            )
            delay, node_number = delay + self.rng.uniform(0.0, 0.05), node.number
        self.schedule_attempt(request, delay, node_number)

    def record_keyed_run(self, node: int, incarnation: int, request: SimulatedRequest) -> None:
        """Count a run of a keyed request that repeats one within the key window of the attempt that ran."""
        started_at, key = self.attempt_started_at[request.number], (node, incarnation, request.number)
        self.result.duplicate_run_count += (
            key in self.keyed_runs
            and started_at <= self.keyed_runs[key] + CLASSES[request.class_index].key_window
        )
        self.keyed_runs[key] = started_at

    # ---- simulation ---------------------------------------------------------------------------

    def run(self) -> StormResult:
        """Simulate the day and return its measurements."""
        started_at, day, result = time.perf_counter(), self.day, self.result
        self._schedule_events()
        self.events.run(day.duration_seconds)
        result.wall_seconds = time.perf_counter() - started_at
        offered_weight = Counter[tuple[str, int]]()
        for request in self.requests:
            offered_weight[request.tenant, int(request.created_at)] += CLASSES[  # type: ignore[assignment]
                request.class_index
            ].priority_weight
        seconds = int(day.duration_seconds) - 4  # requests created later may not have ended
        for second in range(seconds):
            weights = [
                sum(c[t, second] for t in {k[0] for k in offered_weight})
                for c in (self.earned_weight, offered_weight)
            ]
            result.weight_share_by_second.append(weights[0] / max(1e-9, weights[1]))
        for tenant in {k[0] for k in offered_weight}:
            totals = [
                sum(v for (t, s), v in c.items() if t == tenant and OUTAGE_START_SECONDS <= s < seconds)
                for c in (self.earned_weight, offered_weight)
            ]
            result.weight_share_by_tenant[tenant] = totals[0] / max(1e-9, totals[1])
        result.attempt_count = sum(self.attempts_by_second.values())
        result.request_count = len(self.requests)
        spans = [range(s, s + 5) for s in range(seconds - 5)]
        result.peak_attempts_per_request = max(
            sum(self.attempts_by_second[s] for s in span)
            / max(1, sum(self.new_requests_by_second[s] for s in span))
            for span in spans
        )
        for node in self.nodes:
            if node.storm_control is not None:
                result.on_time_retry_count += node.storm_control.counts.on_time_retries
                result.early_retry_count += node.storm_control.counts.early_retries
                result.advice_count += node.storm_control.counts.reservations
                result.sketch_bytes = node.storm_control.size_bytes()
        return result

    def _schedule_events(self) -> None:
        """Schedule the first attempts, the faults of the day and the samples of the storm state."""
        events, day = self.events, self.day
        for request in self.requests:
            events.at(request.created_at, self.attempt, request)
            self.new_requests_by_second[int(request.created_at)] += 1
        if day.outage:
            for node in self.nodes[::OUTAGE_NODE_STRIDE]:
                events.at(OUTAGE_START_SECONDS, node.fail)
                events.at(OUTAGE_START_SECONDS + OUTAGE_SECONDS, node.restart)
        if day.rolling_deploy:
            others = [n for n in self.nodes if n.number % OUTAGE_NODE_STRIDE]
            for n, node in enumerate(others):
                events.at(
                    OUTAGE_START_SECONDS + OUTAGE_SECONDS + DEPLOY_SECONDS * n / len(others), node.redeploy
                )
        for second in range(1, int(day.duration_seconds)):
            events.at(float(second), self._sample_storm_state)

    def _sample_storm_state(self) -> None:
        if OUTAGE_START_SECONDS <= self.events.now <= OUTAGE_START_SECONDS + OUTAGE_SECONDS:
            for node in self.nodes:
                if node.up:
                    self.result.node_seconds += 1
                    self.result.storm_seconds += (
                        node.storm_control is not None and node.storm_control.in_storm(self.events.now)
                    )


def recovery_seconds(
    weight_shares: list[float],
    outage_start: float = OUTAGE_START_SECONDS,
    outage_seconds: float = OUTAGE_SECONDS,
) -> float | None:
    """Seconds from the end of the outage until the weight share is back to nine tenths of normal.

    Args:
        weight_shares: Share of the priority weight that was earned, by second.
        outage_start: Start of the outage, in seconds.
        outage_seconds: Duration of the outage.

    Returns:
        The seconds, or None if the share never came back.
    """
    normal = sum(weight_shares[1 : int(outage_start) - 2]) / (int(outage_start) - 3)
    begin, span = int(outage_start + outage_seconds), int(RECOVERED_SPAN_SECONDS)
    for second in range(begin, len(weight_shares) - span + 1):
        if sum(weight_shares[second : second + span]) / span >= RECOVERED_SHARE * normal:
            return float(second - begin)
    return None


def simulate(job: tuple[StormDay, str, int]) -> StormResult:
    """Simulate a day under a policy with a seed."""
    return SimulatedStormFleet(*job).run()


def outage_days(quick: bool, node_count: int | None) -> list[StormDay]:
    """The days with an outage, for one fleet size or for those of the experiment."""
    seconds, sizes = (QUICK_DAY_SECONDS, [12, 200]) if quick else (FULL_DAY_SECONDS, [12, 200, 2000])
    days = []
    for size in [node_count] if node_count else sizes:
        days += [
            StormDay("room", size, seconds),
            StormDay("room+deploy", size, seconds, rolling_deploy=True),
        ]
    return days


POLICIES = ("storm", "off", "bucket", "bound")
SURGE_FACTORS = (1.3, 1.45, 1.6)  # surges of new requests that must not be taken for a storm


def simulate_surge(job: tuple[int, float, int]) -> StormResult:
    """Simulate a surge of new requests from clients that all obey Retry-After.

    Args:
        job: Fleet size, surge factor and seed.
    """
    node_count, surge_factor, seed = job
    fleet = SimulatedStormFleet(
        StormDay("surge", node_count, 36.0, outage=False, surge_factor=surge_factor, obeying_share=1.0),
        "storm",
        seed,
    )
    return fleet.run()


def run(
    quick: bool, seed: int, node_count: int | None
) -> tuple[list[list[str]], dict[str, Any], dict[str, Any]]:
    """Run the experiment.

    Args:
        quick: Whether to use fewer fleet sizes and shorter days.
        seed: Seed of all random draws.
        node_count: Fleet size, or None for those of the experiment.

    Returns:
        The table, the figures, and the weight share by second for each outage day and policy.
    """
    jobs = [(day, policy, seed) for day in outage_days(quick, node_count) for policy in POLICIES]
    size = node_count or 40
    tenant_days = [
        StormDay("loud", size, 40.0, outage=False, loud_factor=6.0, obeying_share=0.5),
        StormDay("alone", size, 40.0, outage=False, quiet_alone=True),
    ]
    jobs += [(tenant_days[0], "storm", seed), (tenant_days[0], "off", seed), (tenant_days[1], "storm", seed)]
    surge_jobs = [(size, factor, seed) for factor in SURGE_FACTORS]
    with ProcessPoolExecutor() as pool:
        pending_surges = pool.map(simulate_surge, surge_jobs)
        results = dict(zip([(j[0].name, j[0].node_count, j[1]) for j in jobs], pool.map(simulate, jobs)))
        surge_results = list(pending_surges)
    rows = [
        [
            "day",
            "nodes",
            "policy",
            "recovered s",
            "kept out",
            "kept after",
            "tries",
            "peak",
            "kept appts",
            "early",
            "took s",
        ]
    ]
    for (name, count, policy), result in results.items():
        out, after = int(OUTAGE_START_SECONDS + 2), int(OUTAGE_START_SECONDS + OUTAGE_SECONDS)
        recovery = recovery_seconds(result.weight_share_by_second) if name.startswith("room") else None
        rows.append(
            [
                name,
                str(count),
                policy,
                "-" if recovery is None else f"{recovery:.0f}",
                f"{mean(result.weight_share_by_second[out:after]):.3f}",
                *result_cells(result, result.weight_share_by_second[after:]),
            ]
        )
    for job, result in zip(surge_jobs, surge_results):
        rows.append(
            [
                f"surge x{job[1]}",
                str(job[0]),
                "storm",
                "-",
                "-",
                *result_cells(result, result.weight_share_by_second),
            ]
        )
    outages = {k: r for k, r in results.items() if k[0].startswith("room")}
    recoveries = {
        p: [recovery_seconds(r.weight_share_by_second) for k, r in outages.items() if k[2] == p]
        for p in POLICIES
    }
    quiet_tenant_shares = [
        results["loud", size, p].weight_share_by_tenant[t]
        / results["alone", size, "storm"].weight_share_by_tenant[t]
        for p in ("storm", "off")
        for t in TENANTS[1:]
    ]
    storm_results = [r for k, r in results.items() if k[2] == "storm"] + surge_results
    false_storm_seconds = sum(r.storm_seconds for r in surge_results)
    figures = {
        "recover_s": worst_recovery(recoveries["storm"]),
        "recover_s_off": worst_recovery(recoveries["off"]),
        "recover_s_bucket": worst_recovery(recoveries["bucket"]),
        "recover_s_bound": worst_recovery(recoveries["bound"]),
        "amplification": round(
            max(r.attempt_count / r.request_count for k, r in outages.items() if k[2] == "storm"), 2
        ),
        "amplification_off": round(
            max(r.attempt_count / r.request_count for k, r in outages.items() if k[2] == "off"), 2
        ),
        "oddaja_twice": sum(r.duplicate_run_count for r in storm_results),
        "held_back": sum(r.unanswered_rejection_count for r in storm_results),
        "quiet_tenant_kept": round(min(quiet_tenant_shares[:3]), 3),
        "quiet_tenant_kept_off": round(min(quiet_tenant_shares[3:]), 3),
        "false_positives": round(false_storm_seconds / sum(r.node_seconds for r in surge_results), 4),
        "sketch_bytes": max(r.sketch_bytes for r in storm_results),
        "seed": seed,
        "seconds": QUICK_DAY_SECONDS if quick else FULL_DAY_SECONDS,
    }
    return (
        rows,
        figures,
        {
            f"{k[0]} {k[1]}": {p: outages[k[0], k[1], p].weight_share_by_second for p in POLICIES}
            for k in outages
        },
    )


def result_cells(result: StormResult, weight_shares: list[float]) -> list[str]:
    """The last cells of a table row; ``weight_shares`` gives its column ``kept after``."""
    return [
        f"{mean(weight_shares):.3f}",
        f"{result.attempt_count / max(1, result.request_count):.2f}",
        f"{result.peak_attempts_per_request:.1f}",
        str(result.on_time_retry_count),
        str(result.early_retry_count),
        f"{result.wall_seconds:.1f}",
    ]


def mean(values: list[float]) -> float:
    """Arithmetic mean; 0 for no values."""
    return sum(values) / max(1, len(values))


def worst_recovery(recoveries: list[float | None]) -> float | None:
    """The longest recovery in seconds; None if any day never recovered."""
    return None if None in recoveries else max(v for v in recoveries if v is not None)
