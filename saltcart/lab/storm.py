"""The experiment on retry storms: a fleet in the model, whose clients repeat without limit.

Each node hosts the service's own core, decision module and damper.  A third of them goes for 20 s and comes
back cold; in another play a rolling deploy lies over the return.  Reading costs a quarter of a request's
work and is done on the same cores, so that refusing by itself does not help: that is what makes a storm
last.

``off`` is the program without the damper, ``bucket`` with a token bucket at the door in its place, and
``bound`` the program without it while clients back off by themselves, doubling with jitter.
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

READING, UNREAD = 0.25, 0.005  # of a mean request's work: to read it, and to refuse it unread
WORK = 0.4  # seconds of one warm core, in the mean
CORES, LOAD = 2, 0.65
CLASSES = (
    ClassSpec("pregled-statusa", Effect.SAFE, 2.0, 4.0, 1.0),
    ClassSpec("oddaja", Effect.IDEMPOTENT_BY_KEY, 1.6, 4.0, 5.0, key_window=12.0),
)
KEYED = 0.25  # of the requests
TENANTS = ("loud", "quiet-1", "quiet-2", "quiet-3")
OUT_AT, OUT_FOR, THIRD = 8.0, 20.0, 3
DEPLOY = 20.0  # seconds in which the rolling deploy goes through the other nodes
QUICK, FULL = 60.0, 90.0  # seconds of a day
RECOVERED, STEADY = 0.9, 3.0  # share of the normal worth, over so many seconds
HURRY = (0.15, 0.5)  # seconds after which a client that takes no advice tries again
ADDRESSES = 4  # of one tenant
CONNECT = 0.02  # seconds that a refused connection costs a client

PER_NODE = LOAD * CORES / (WORK * (1 + READING))  # requests a second

SETTINGS = Settings(
    classes=CLASSES,
    cores=CORES,
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


class Day(NamedTuple):
    """``obeying``: share of the clients that come back when they are told to."""

    name: str
    nodes: int
    seconds: float
    outage: bool = True
    deploy: bool = False
    obeying: float = 0.5
    surge: float = 1.0  # new work in the middle of the day, of the usual
    loud: float = 0.0  # how many times its own share one tenant sends, the others as ever
    quiet_alone: bool = False


@dataclass(eq=False)
class SimulatedRequest:
    """A client's piece of work, through all its tries."""

    number: int
    klass: int
    tenant: str
    born: float
    work: float
    at: int  # the node that it tries next
    obeys: bool
    tries: int = 0
    done: bool = False
    ident: bytes = b""
    last: bool = False


@dataclass
class Seen:
    """What came of one play."""

    worth: list[float] = field(default_factory=list)  # share of the worth kept, by second of birth
    by_tenant: dict[str, float] = field(default_factory=dict)
    tries: int = 0
    requests: int = 0
    peak: float = 1.0  # most tries for each new request over 5 s
    twice: int = 0
    held_back: int = 0
    storm_seconds: int = 0
    node_seconds: int = 0
    kept: int = 0
    early: int = 0
    told: int = 0
    sketch_bytes: int = 0
    took: float = 0.0


class Node:
    """One server: its cores, which read and run, and the core of the service, which may be replaced."""

    def __init__(self, fleet: Fleet, number: int) -> None:
        self.fleet, self.number, self.life, self.power = fleet, number, 0, 0
        self.rng = random.Random(fleet.seed * 1000 + number)
        self.up = True
        self.unread, self.ready = deque[SimulatedRequest](), deque[tuple[Service, bytes]]()
        self.busy, self.turn = 0, False
        self.born(False)

    def born(self, cold: bool) -> None:
        fleet, events = self.fleet, self.fleet.events
        self.life += 1
        settings = replace(SETTINGS, replica_count=fleet.day.nodes)
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
        decide = service.executor.handlers[Reject]
        service.executor.handlers[Reject] = lambda action: self._turned_away(service, action, decide)
        service.pool_started(cold, 0.0 if cold else 100.0)
        self.strength = WarmUpCurve(service.settings, events.now)
        self.damper: RetryStormController | None = None
        self.tokens, self.tokens_at = 0.0, events.now
        if fleet.policy == "storm":
            self.damper = RetryStormController(
                StormSettings(reading=READING),
                service.settings,
                self.rng.getrandbits(60),
                events.now,
                events.now - (0.0 if cold else 100.0),
            )
            service.ports.storm_control = self.damper
        start_service_timer(events, service)

    def _turned_away(self, service: Service, action: Reject, decide: Callable[..., None]) -> None:
        """Whatever the module gives up is looked at again a tenth of a second later: it must be answered."""
        request = service.requests.get(action.id)
        decide(action)
        if request is not None and request.respond is not None:
            self.fleet.events.at(self.fleet.events.now + 0.1, self._look_back, request)

    def _look_back(self, request: CoreRequest) -> None:
        self.fleet.seen.held_back += request.respond is not None

    def speed(self) -> float:
        return self.strength.speed_share_at(self.fleet.events.now)

    def die(self) -> None:
        """All that it had is lost; its clients see their connections break."""
        self.up = False
        gone = list(self.fleet.open.pop(self.number, {}).values())
        self.service.timers.on_earlier_due = None
        self.service.timers.heap.clear()
        self.unread.clear()
        self.ready.clear()
        self.power += 1  # what its cores still did is nobody's
        self.busy = 0
        for request in gone:
            self.fleet.later(request, CONNECT, self.fleet.next(request))

    def back(self) -> None:
        self.up = True
        self.born(True)

    def replace(self) -> None:
        """A rolling deploy: a cold process with empty sketches takes what comes; the old one ends its own."""
        self.service.start_drain(2.0)
        self.born(True)

    def offer(self, request: SimulatedRequest) -> None:
        """A connection with a request on it."""
        now, fleet = self.fleet.events.now, self.fleet
        source = source_of(request)
        entry = ConnectionAdmission.READ if self.damper is None else self.damper.admit_connection(now, source)
        request.last = entry is ConnectionAdmission.READ_LAST
        if self.damper is not None and entry is ConnectionAdmission.REFUSE:
            back = self.damper.reject_unread(now, source)
            self.unread.append(UNREAD_ONE)
            fleet.answered(
                request,
                self,
                FinalResponse(ResponseStatus.REJECTED, retry_after_seconds=back.retry_after),
                marks=False,
            )
        elif fleet.policy == "bucket" and not self._token(now):
            fleet.answered(request, self, FinalResponse(ResponseStatus.REJECTED))
        else:
            fleet.open.setdefault(self.number, {})[request.number] = request
            self.unread.append(request)
        self.work()

    def _token(self, now: float) -> bool:
        rate = CORES / (WORK * (1 + READING)) * self.speed()
        self.tokens = min(rate, self.tokens + (now - self.tokens_at) * rate)
        self.tokens_at = now
        if self.tokens < 1:
            return False
        self.tokens -= 1
        return True

    def work(self) -> None:
        """Cores take reading and running in turn."""
        events = self.fleet.events
        while self.busy < CORES and (self.unread or self.ready):
            self.turn = not self.turn
            self.busy += 1
            if self.unread and (self.turn or not self.ready):
                request = self.unread.popleft()
                cost = UNREAD * WORK if request is UNREAD_ONE else READING * request.work
                events.at(events.now + cost / self.speed(), self._read, self.power, request)
            else:
                service, ident = self.ready.popleft()
                if ident not in service.requests_by_id:  # stopped while it waited for a core
                    self.busy -= 1
                    continue
                took = self.fleet.requests[int(ident, 16) >> 12].work / self.speed()
                events.at(events.now + took, self._ran, self.power, service, ident, took)

    def _free(self, power: int) -> bool:
        """A core is free again, unless the node was lost since."""
        if power != self.power:
            return False
        self.busy -= 1
        return True

    def _read(self, power: int, request: SimulatedRequest) -> None:
        if not self._free(power):
            return
        if request is not UNREAD_ONE and not request.done and request.at == self.number:
            self._arrive(request)
        self.work()

    def _arrive(self, request: SimulatedRequest) -> None:
        spec = CLASSES[request.klass]
        request.tries += 1
        request.ident = b"%016x" % ((request.number << 12) + (request.tries & 0xFFF))
        keyed = spec.effect is Effect.IDEMPOTENT_BY_KEY
        ask = InboundRequest(
            request.ident,
            spec.name,
            request.tenant,
            self.fleet.sent[request.number],
            None,
            10.0,
            self.fleet.ranks[request.number],
            idempotency_key=b"k%d" % request.number if keyed else None,
            admitted_last=request.last,
            body=b"%d" % request.number,
        )
        ident = request.ident
        self.service.submit(ask, lambda answer: self.fleet.answered(request, self, answer, ident))

    def _ran(self, power: int, service: Service, ident: bytes, took: float) -> None:
        if not self._free(power):
            return
        if ident in service.requests_by_id:
            service.run_finished(ident, Outcome.SUCCEEDED, took, b"done")
        self.work()


def source_of(request: SimulatedRequest) -> int:
    """A digest of the client's address: every client has its own, but a tenant's are its office's few."""
    number = request.number + 1
    if request.tenant:
        number = (TENANTS.index(request.tenant) + 1) * 1000 + request.number % ADDRESSES
    return number * 0x9E3779B97F4A7C15 & (1 << 64) - 1


UNREAD_ONE = SimulatedRequest(-1, 0, "", 0.0, WORK, -1, False)


class SimulatedWorkers:
    """The runs port: a place in the node's queue for its cores."""

    def __init__(self, node: Node, service: Service) -> None:
        self.node, self.service, self.life = node, service, node.life

    def spawn(
        self, ident: bytes, klass: str, account: str, body: bytes, once: bool, within: float, aim: float
    ) -> None:
        request = self.node.fleet.requests[int(ident, 16) >> 12]
        if CLASSES[request.klass].effect is Effect.IDEMPOTENT_BY_KEY:
            self.node.fleet.ran(self.node.number, self.life, request)
        self.node.ready.append((self.service, ident))
        self.node.work()

    def suspend(self, ident: bytes) -> None:
        self.node.fleet.events.at(self.node.fleet.events.now, self._stopped, ident)

    def _stopped(self, ident: bytes) -> None:
        self.service.run_finished(ident, Outcome.CANCELLED, 0.0, b"")

    def resume(self, ident: bytes) -> None: ...
    def supply_reply(self, ident: bytes, reply: bytes) -> None: ...
    def skip_call(self, ident: bytes, notice: int) -> None: ...

    def poll_gauges(self) -> None:
        self.service.gauges_polled((min(1.0, self.node.busy / CORES), float(self.node.busy)))


class Fleet:
    """The nodes and the clients of one day under one policy."""

    def __init__(self, day: Day, policy: str, seed: int) -> None:
        self.day, self.policy, self.seed, self.events = day, policy, seed, EventQueue(0.0)
        rng = np.random.default_rng([seed, day.nodes])
        rate = PER_NODE * day.nodes
        self.tenants: tuple[TenantSpec, ...] = ()
        names = [""]
        if day.loud or day.quiet_alone:
            part = 1 / len(TENANTS)
            self.tenants = tuple(TenantSpec(n, 1.3 * rate * part, part) for n in TENANTS)
            names = list(TENANTS)
        births = self._births(rng, rate, names)
        count = len(births)
        kinds, works = rng.random(count) < KEYED, rng.gamma(4.0, WORK / 4, count)
        obeys, starts = rng.random(count) < day.obeying, rng.integers(0, day.nodes, count)
        self.ranks = rng.random(count).tolist()
        self.requests = [
            SimulatedRequest(n, int(kinds[n]), tenant, born, float(works[n]), int(starts[n]), bool(obeys[n]))
            for n, (born, tenant) in enumerate(births)
        ]
        self.sent = [0.0] * count
        self.rng = random.Random(seed)
        self.open: dict[int, dict[int, SimulatedRequest]] = {}  # tries under way by node
        self.runs: dict[tuple[int, int, int], float] = {}  # when the try came that ran last, by node and life
        self.tries, self.news = Counter[int](), Counter[int]()
        self.seen, self.earned = Seen(), Counter[tuple[str, int]]()
        self.nodes: list[Node] = []
        self.nodes = [Node(self, n) for n in range(day.nodes)]
        self.left = [0.0] * count  # when a client's present wait has begun: one try at a time

    def _births(self, rng: np.random.Generator, rate: float, names: list[str]) -> list[tuple[float, str]]:
        """When each piece of new work comes, and whose it is."""
        day, out = self.day, list[tuple[float, str]]()
        for name in names:
            mine = rate / len(names)
            parts = [(0.0, day.seconds, mine)]
            if day.surge > 1:
                parts.append((OUT_AT, OUT_AT + OUT_FOR, (day.surge - 1) * mine))
            if name == "loud":
                parts = (
                    []
                    if day.quiet_alone
                    else [(0.0, day.seconds, mine), (OUT_AT, OUT_AT + OUT_FOR, (day.loud - 1) * mine)]
                )
            for begin, end, per_s in parts:
                at = rng.random(rng.poisson(per_s * (end - begin))) * (end - begin) + begin
                out += [(float(t), name) for t in at]
        return sorted(out)

    # ---- clients ------------------------------------------------------------------------------

    def attempt(self, request: SimulatedRequest) -> None:
        if request.done or self.events.now > self.day.seconds:
            return
        node = self.nodes[request.at]
        self.tries[int(self.events.now)] += 1
        if not node.up:
            self.later(request, CONNECT, self.next(request))
            return
        self.sent[request.number] = self.events.now
        self.events.at(
            self.events.now + CLASSES[request.klass].deadline + 0.5, self._bored, request, self.events.now
        )
        node.offer(request)

    def next(self, request: SimulatedRequest) -> int:
        """The next server of the client's own list: each has it in another order."""
        strides = (7, 11, 13, 17, 19, 23, 29, 31)  # none divides the sizes that are played
        return (request.at + strides[request.number % len(strides)]) % len(self.nodes)

    def later(self, request: SimulatedRequest, wait: float, at: int) -> None:
        request.at = at
        self.sent[request.number] = -1.0
        self.events.at(self.events.now + wait, self.attempt, request)

    def _bored(self, request: SimulatedRequest, sent: float) -> None:
        """No answer in all that time: the client closes and tries again, a write where it may have run."""
        if request.done or self.sent[request.number] != sent:
            return
        node = self.nodes[request.at]
        self.open.get(node.number, {}).pop(request.number, None)
        if request in node.unread:
            node.unread.remove(request)
        found = node.service.requests_by_id.get(request.ident)
        if found is not None:
            node.service.abandon(found.number)
        keyed = CLASSES[request.klass].effect is Effect.IDEMPOTENT_BY_KEY
        self.later(request, self.rng.uniform(*HURRY), request.at if keyed else self.next(request))

    def answered(
        self,
        request: SimulatedRequest,
        node: Node,
        answer: FinalResponse,
        ident: bytes = b"",
        marks: bool = True,
    ) -> None:
        if request.done or request.at != node.number or (ident and ident != request.ident):
            return  # the client has gone on
        now = self.events.now
        self.open.get(node.number, {}).pop(request.number, None)
        spec = CLASSES[request.klass]
        if answer.status is ResponseStatus.SERVED:
            request.done = True
            if now - request.born <= spec.latency_objective:
                self.earned[request.tenant, int(request.born)] += spec.priority_weight  # type: ignore[assignment]
            return
        if marks and node.damper is not None and answer.retry_after_seconds > 0:
            node.damper.record_advice(now, source_of(request), answer.retry_after_seconds)
        wait, at = self.rng.uniform(*HURRY), self.next(request)
        if answer.status is ResponseStatus.FAILED and spec.effect is Effect.IDEMPOTENT_BY_KEY:
            at = node.number  # it may have run there
        if self.policy == "bound":
            wait = min(20.0, 0.3 * 2 ** min(8, request.tries)) * self.rng.uniform(0.5, 1.5)
        elif answer.retry_after_seconds > 0 and request.obeys:
            # Every other one knows whole seconds only.
            wait = (
                answer.retry_after_seconds
                if request.number % 2
                else float(max(1, -int(-answer.retry_after_seconds // 1)))
            )
            wait, at = wait + self.rng.uniform(0.0, 0.05), node.number
        self.later(request, wait, at)

    def ran(self, node: int, life: int, request: SimulatedRequest) -> None:
        """A keyed request is run: twice within the window of the try that ran is a broken rule."""
        came, key = self.sent[request.number], (node, life, request.number)
        self.seen.twice += key in self.runs and came <= self.runs[key] + CLASSES[request.klass].key_window
        self.runs[key] = came

    # ---- the day ------------------------------------------------------------------------------

    def run(self) -> Seen:
        begun, day, seen = time.perf_counter(), self.day, self.seen
        self._schedule_events()
        self.events.run(day.seconds)
        seen.took = time.perf_counter() - begun
        offered = Counter[tuple[str, int]]()
        for request in self.requests:
            offered[request.tenant, int(request.born)] += CLASSES[request.klass].priority_weight  # type: ignore[assignment]
        seconds = int(day.seconds) - 4  # those born later may still be under way
        for second in range(seconds):
            mine = [sum(c[t, second] for t in {k[0] for k in offered}) for c in (self.earned, offered)]
            seen.worth.append(mine[0] / max(1e-9, mine[1]))
        for tenant in {k[0] for k in offered}:
            whole = [
                sum(v for (t, s), v in c.items() if t == tenant and OUT_AT <= s < seconds)
                for c in (self.earned, offered)
            ]
            seen.by_tenant[tenant] = whole[0] / max(1e-9, whole[1])
        seen.tries, seen.requests = sum(self.tries.values()), len(self.requests)
        spans = [range(s, s + 5) for s in range(seconds - 5)]
        seen.peak = max(
            sum(self.tries[s] for s in span) / max(1, sum(self.news[s] for s in span)) for span in spans
        )
        for node in self.nodes:
            if node.damper is not None:
                seen.kept += node.damper.on_time_retry_count
                seen.early += node.damper.early_retry_count
                seen.told += node.damper.reservation_count
                seen.sketch_bytes = node.damper.size_bytes()
        return seen

    def _schedule_events(self) -> None:
        events, day = self.events, self.day
        for request in self.requests:
            events.at(request.born, self.attempt, request)
            self.news[int(request.born)] += 1
        if day.outage:
            for node in self.nodes[::THIRD]:
                events.at(OUT_AT, node.die)
                events.at(OUT_AT + OUT_FOR, node.back)
        if day.deploy:
            others = [n for n in self.nodes if n.number % THIRD]
            for n, node in enumerate(others):
                events.at(OUT_AT + OUT_FOR + DEPLOY * n / len(others), node.replace)
        for second in range(1, int(day.seconds)):
            events.at(float(second), self._look)

    def _look(self) -> None:
        if OUT_AT <= self.events.now <= OUT_AT + OUT_FOR:
            for node in self.nodes:
                if node.up:
                    self.seen.node_seconds += 1
                    self.seen.storm_seconds += node.damper is not None and node.damper.in_storm(
                        self.events.now
                    )


def recovered(worth: list[float], out_at: float = OUT_AT, out_for: float = OUT_FOR) -> float | None:
    """Seconds from the return until nine tenths of the normal worth are kept again; None if never."""
    normal = sum(worth[1 : int(out_at) - 2]) / (int(out_at) - 3)
    begin, span = int(out_at + out_for), int(STEADY)
    for at in range(begin, len(worth) - span + 1):
        if sum(worth[at : at + span]) / span >= RECOVERED * normal:
            return float(at - begin)
    return None


def play(job: tuple[Day, str, int]) -> Seen:
    return Fleet(*job).run()


def days(quick: bool, nodes: int | None) -> list[Day]:
    seconds, sizes = (QUICK, [12, 200]) if quick else (FULL, [12, 200, 2000])
    out = []
    for size in [nodes] if nodes else sizes:
        out += [Day("room", size, seconds), Day("room+deploy", size, seconds, deploy=True)]
    return out


POLICIES = ("storm", "off", "bucket", "bound")
MODES = (1.3, 1.45, 1.6)  # surges that are no storm


def play_surge(job: tuple[int, float, int]) -> Seen:
    """New work alone, more of it than ever, from clients that try three times and back off."""
    nodes, surge, seed = job
    fleet = Fleet(Day("surge", nodes, 36.0, outage=False, surge=surge, obeying=1.0), "storm", seed)
    return fleet.run()


def run(quick: bool, seed: int, nodes: int | None) -> tuple[list[list[str]], dict[str, Any], dict[str, Any]]:
    """The table, the figures, and the worth by second of each day and policy."""
    jobs = [(day, policy, seed) for day in days(quick, nodes) for policy in POLICIES]
    size = nodes or 40
    loud = [
        Day("loud", size, 40.0, outage=False, loud=6.0, obeying=0.5),
        Day("alone", size, 40.0, outage=False, quiet_alone=True),
    ]
    jobs += [(loud[0], "storm", seed), (loud[0], "off", seed), (loud[1], "storm", seed)]
    surges = [(size, surge, seed) for surge in MODES]
    with ProcessPoolExecutor() as pool:
        calm = pool.map(play_surge, surges)
        seen = dict(zip([(j[0].name, j[0].nodes, j[1]) for j in jobs], pool.map(play, jobs)))
        surged = list(calm)
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
    for (name, count, policy), s in seen.items():
        out, after = int(OUT_AT + 2), int(OUT_AT + OUT_FOR)
        rec = recovered(s.worth) if name.startswith("room") else None
        rows.append(
            [
                name,
                str(count),
                policy,
                "-" if rec is None else f"{rec:.0f}",
                f"{mean(s.worth[out:after]):.3f}",
                *told(s, s.worth[after:]),
            ]
        )
    for job, s in zip(surges, surged):
        rows.append([f"surge x{job[1]}", str(job[0]), "storm", "-", "-", *told(s, s.worth)])
    rooms = {k: s for k, s in seen.items() if k[0].startswith("room")}
    worst = {p: [recovered(s.worth) for k, s in rooms.items() if k[2] == p] for p in POLICIES}
    quiet = [
        seen["loud", size, p].by_tenant[t] / seen["alone", size, "storm"].by_tenant[t]
        for p in ("storm", "off")
        for t in TENANTS[1:]
    ]
    ours = [s for k, s in seen.items() if k[2] == "storm"] + surged
    false = sum(s.storm_seconds for s in surged)
    figures = {
        "recover_s": most(worst["storm"]),
        "recover_s_off": most(worst["off"]),
        "recover_s_bucket": most(worst["bucket"]),
        "recover_s_bound": most(worst["bound"]),
        "amplification": round(max(s.tries / s.requests for k, s in rooms.items() if k[2] == "storm"), 2),
        "amplification_off": round(max(s.tries / s.requests for k, s in rooms.items() if k[2] == "off"), 2),
        "oddaja_twice": sum(s.twice for s in ours),
        "held_back": sum(s.held_back for s in ours),
        "quiet_tenant_kept": round(min(quiet[:3]), 3),
        "quiet_tenant_kept_off": round(min(quiet[3:]), 3),
        "false_positives": round(false / sum(s.node_seconds for s in surged), 4),
        "sketch_bytes": max(s.sketch_bytes for s in ours),
        "seed": seed,
        "seconds": QUICK if quick else FULL,
    }
    return rows, figures, {f"{k[0]} {k[1]}": {p: rooms[k[0], k[1], p].worth for p in POLICIES} for k in rooms}


def told(s: Seen, after: list[float]) -> list[str]:
    return [
        f"{mean(after):.3f}",
        f"{s.tries / max(1, s.requests):.2f}",
        f"{s.peak:.1f}",
        str(s.kept),
        str(s.early),
        f"{s.took:.1f}",
    ]


def mean(values: list[float]) -> float:
    return sum(values) / max(1, len(values))


def most(values: list[float | None]) -> float | None:
    """The worst; None where one never came."""
    return None if None in values else max(v for v in values if v is not None)
