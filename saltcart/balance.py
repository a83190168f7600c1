"""Every decision of saltcart.  Its settings, events and actions: ``saltcart/decision``.

The mechanism is Pan et al.'s; docs/design.md tells what is kept, what is added and when each addition acts.
"""

from __future__ import annotations

import random
from collections import deque
from collections.abc import Callable
from dataclasses import replace
from itertools import accumulate
from operator import mul
from typing import Any

from saltcart.decision.actions import (
    Action,
    AdvertiseLevel,
    FailRequest,
    JoinAttempt,
    LogMessage,
    Reject,
    ReleaseKey,
    ReserveKey,
    SetHealth,
    SetIdleTimeout,
    SetTimer,
    SkipCall,
    StartCall,
    StartRun,
    StopRun,
)
from saltcart.decision.attempt_age import AttemptAgeEstimator
from saltcart.decision.events import (
    CallFinished,
    CallRequested,
    DrainStarted,
    Event,
    PredecessorLoad,
    RequestAbandoned,
    RequestArrived,
    RunFinished,
    Started,
    TenantsChanged,
    TimerFired,
    WorkersRestarted,
)
from saltcart.decision.outcome import Outcome
from saltcart.decision.settings import DependencyKind, Effect, LoadSignal, Preemption, Settings, TenantSpec

GAIN_NOW, GAIN_BEFORE = 0.42, 0.1  # the paper's increments, after its Eq. 11
X_LOW, X_HIGH = 1 / 50, 2.0  # x stays positive, and no class is starved or favoured out of reach
HELD, ON_CORE, AT_CALL, CALLING, JOINED = range(5)
FADE = 0.97  # what a refusal leaves of an estimate
BUSY, GROW_AFTER = 0.85, 0.25  # cores idle below this; the gauge is a mean of half a second, so not faster
CALL_TOP = 0.8  # of the share that the dependency survives: calls that were given up linger there
CALL_FLOOR, SKIP_AT = 0.25, 0.1  # of that: about its slots; of the aim: a short queue is chance
QUOTA_SPAN = 2.0  # aims' worth of its quota that a tenant may have run ahead
TAKES = 0.9  # of the grace of a drain: what arrives in it still runs
RECALLS = 2  # calls that break off under a request before it goes on without
BACK_OFF = 0.05  # of the aim: how long a caller that was turned away is asked to stay away
NEVER_RAN = (Outcome.REJECTED, Outcome.UNREACHABLE)


class Request:
    """What is known of one request that is held or under way."""

    def __init__(self, ev: RequestArrived, now: float, due: float, aim: float,
                 tenant: TenantSpec | None) -> None:
        self.id, self.k, self.size, self.due, self.aim = ev.id, ev.class_index, ev.size_kb, due, aim
        self.state, self.ran, self.answered = HELD, False, False
        self.tenant, self.read, self.reach, self.started = tenant, now, now - ev.unread_seconds, now
        self.went = self.away = 0.0  # when it left the cores for a call, and its time there in all
        self.broken = 0  # calls that broke off under it


class Pairs:
    """The paper's PI loop for each pair of neighbouring classes, highest worth first."""

    def __init__(self, references: list[float]) -> None:
        self.references, n = references, len(references)
        self.x, self.before, self.share = [1.0] * n, [0.0] * n, [1.0] * (n + 1)

    def update(self, waits: list[float]) -> None:
        """One period; ``waits`` are mean waits of the classes, 0 for a class without evidence."""
        for j, reference in enumerate(self.references):
            if waits[j] <= 0 or waits[j + 1] <= 0:
                continue
            # One odd period must not throw x across its range: the error is bounded.
            error = max(-1.0, min(1.0, reference - waits[j] / waits[j + 1]))
            x = self.x[j] + GAIN_NOW * error - GAIN_BEFORE * self.before[j]
            self.x[j], self.before[j] = max(X_LOW, min(X_HIGH, x)), error
        self.share = list(accumulate(self.x, mul, initial=1.0))


class Climber:
    """Slots: start and floor at the cores, fast growth while cores idle, then a hill climb."""

    def __init__(self, s: Settings) -> None:
        self.s, self.slots, self.rate, self.done, self.since, self.grown = s, s.cores, 0.0, 0, 0.0, 0.0

    def ceiling(self, age: float) -> float:
        """Requests on the cores that the server surely survives, colder means fewer."""
        s = self.s
        cold = s.starts_cold and age < s.warm_up_seconds
        warm = s.cold_speed_share + (1 - s.cold_speed_share) * age / s.warm_up_seconds if cold else 1.0
        return s.cores * (1 + (s.max_running_per_core - 1) * warm)

    def sweep(self, now: float, age: float, busy: float | None, waiting: int, span: float) -> None:
        s, top = self.s, max(self.s.cores, int(self.ceiling(age) / 2))
        if waiting and busy is not None and busy < BUSY and now - self.grown >= GROW_AFTER:
            self.slots, self.grown = self.slots + 1, now
        elif now - self.since >= span:
            rate = self.done / (now - self.since)
            # A rise must stand out of the counts' noise, or slots drift up until runs slow each other down.
            noise = (self.done ** 0.5 + 1) / (now - self.since)
            self.slots += 1 if waiting and rate > self.rate + noise else -1
            self.rate, self.done, self.since = rate, 0, now
        self.slots = max(s.cores, min(top, self.slots))


class Controller:
    """Decides for one server what it runs, holds, turns away or fails."""

    def __init__(self, settings: Settings, seed: int) -> None:
        s = self.s = settings
        n = len(s.classes)
        self.rng, self.out = random.Random(seed), list[Action]()
        self.order = sorted(
            range(n), key=lambda k: (-s.classes[k].priority_weight, s.classes[k].latency_objective, k))
        # Waits to hold: what each class can afford.
        spare = [c.latency_objective / max(c.priority_weight, 1e-9) for c in s.classes]
        self.pairs = Pairs([spare[a] / spare[b] for a, b in zip(self.order, self.order[1:])])
        self.climber = Climber(s)
        self.queues: list[deque[Request]] = [deque() for _ in range(n)]
        self.callers_wait: list[deque[Request]] = [deque() for _ in range(n)]
        self.held = [0] * n  # live requests in each queue, which may also hold ended ones
        self.live: dict[int, Request] = {}
        self.kept: dict[int, bool | None] = {}  # entries of the key table: did the run succeed
        self.count = [0, 0, 0, 0, 0]  # live requests by state
        self.memory, self.aim = 0.0, min(c.latency_objective for c in s.classes)
        self.had: dict[str, tuple[float, float]] = {}  # by tenant: runs not made good by its quota
        # The sweep is the only timer: fine enough that acting a sweep early costs little of an aim.
        self.sweep = max(2 * s.batch_interval, self.aim / 24)
        self.period = self.aim / 3  # PI period: some completions, and well inside a surge
        self.wheel: dict[int, list[tuple[int, Request | None]]] = {}  # what to look at, by sweep
        self.hand, self.begun, self.last_done, self.next_period = 0, 0.0, 0.0, 0.0
        self.arrivals, self.call_wait = [1.0] * n, 0.0
        self.waits, self.starts, self.run_time = [0.0] * n, [0] * n, [0.0] * n  # run times are smoothed
        self.patience = [AttemptAgeEstimator(c.deadline) for c in s.classes]
        self.pressure, self.advised, self.unread, self.said = 0.0, 0.0, 0.0, -1.0
        self.low = n  # how many classes, from the least worth up, are thinned out first
        # Connections worth keeping (twice the crowd that the cores survive) over those there may be.
        self.reuse = min(1.0, 2 * s.max_running_per_core * s.cores / max(1, s.client_count))
        self.close_said = s.client_idle_timeout
        self.no_more = self.stop_at = float("inf")  # nothing that arrives later runs; all is answered
        self.going = False  # callers are asked to stay away for good
        share = s.dependency_call_share if s.dependency is DependencyKind.SHARED else None
        self.call_cap = self.call_top = float(s.cores) if share is None else max(1e-3, CALL_TOP * share)
        self.call_base = self.call_time = self.call_gate = self.call_cut = 0.0
        self.on: dict[type, Callable[[float, Any], None]] = {
            Started: self.started, RequestArrived: self.arrived, RunFinished: self.finished,
            CallRequested: self.at_call, RequestAbandoned: self.abandoned, CallFinished: self.call_ended,
            DrainStarted: self.leaving, TimerFired: self.woken, TenantsChanged: self.tenants,
            PredecessorLoad: self.beside, WorkersRestarted: self.restarted}
        self.other = PredecessorLoad()  # what the process before still runs here

    def handle(self, now: float, event: Event) -> list[Action]:
        self.out = []
        self.on[type(event)](now, event)
        self.fill(now)
        return self.out

    def started(self, now: float, _: Started) -> None:
        self.begun = self.last_done = self.climber.since = now
        self.hand = int(now / self.sweep)
        # Checks answered from store are cheap.
        self.out += SetHealth(True, True), SetTimer(now + self.sweep, 0)

    def arrived(self, now: float, ev: RequestArrived) -> None:
        s, c = self.s, self.s.classes[ev.class_index]
        self.arrivals[ev.class_index] += 1
        self.unread += 0.1 * (ev.unread_seconds - self.unread)
        reach, age = now - ev.unread_seconds, 0.0
        due = max(now, reach + c.deadline)
        if ev.time_to_deadline is not None:
            due = now + ev.time_to_deadline
            # A call's patience is what its caller's aim has left, never alike: it tells no age.  Read as one,
            # it put the aim in the past, and the lower tier turned nearly all calls away.
            if s.tier == 0:
                age = self.patience[ev.class_index].age(ev.time_to_deadline + ev.unread_seconds)
        due = min(due, max(now, self.stop_at))
        t = ev.tenant_index
        r = Request(ev, now, due, min(due, reach - age + c.latency_objective),
                    s.tenants[t] if t is not None and t < len(s.tenants) else None)
        self.live[r.id] = r
        self.count[HELD], self.held[r.k] = self.count[HELD] + 1, self.held[r.k] + 1
        self.memory += r.size
        if ev.repeat_of is not None and c.effect is Effect.IDEMPOTENT_BY_KEY:
            self.repeat(now, r, ev.repeat_of)
            return
        if self.unwelcome(now, r, ev):
            self.end(r, refuse=True)
            return
        if c.effect is Effect.IDEMPOTENT_BY_KEY:
            span = c.key_window - ev.unread_seconds + s.answer_slack
            self.out.append(ReserveKey(r.id, span))
            self.kept[r.id] = None
            self.memory += s.key_entry_kb
            self.wheel.setdefault(int((now + span) / self.sweep) + 1, []).append((r.id, None))
        self.queues[r.k].append(r)
        self.watch(now, r)

    def unwelcome(self, now: float, r: Request, ev: RequestArrived) -> bool:
        """Admission: is this new request better turned away at once?"""
        s, c = self.s, self.s.classes[r.k]
        if now < r.aim < now + self.expected(r.k):
            # An estimate that turns everything away gets no runs to correct it: with each it fades.
            self.run_time[r.k], self.call_wait = FADE * self.run_time[r.k], FADE * self.call_wait
            return True
        keyed = c.effect is Effect.IDEMPOTENT_BY_KEY
        if now >= min(self.stop_at, r.aim) or r.reach > self.no_more or (
                self.memory + self.other.memory_kb + s.key_entry_kb * keyed + r.size
                > 0.9 * s.memory_kb) or r.size * s.run_memory_factor > 0.95 * s.memory_kb:
            return True  # the last would never fit: at the head of its queue it would hold up all others
        n = len(s.classes)
        # Only where it is worth nothing: at a tenth of its worth, refusing it first lost 0.02 of the score.
        if self.pressure > 0 and s.over_quota_weight_share == 0 and self.past_quota(now, r.tenant):
            return True
        # Rank among its own class; one that was told to come back now is thinned as late as the worthiest.
        inside = ev.priority_rank * n % 1
        low = self.order.index(r.k) >= n - self.low and not ev.has_reservation
        return inside < (self.pressure if low else self.pressure - 1)

    def past_quota(self, now: float, tenant: TenantSpec | None) -> bool:
        """Has this tenant had more runs here than its quota's part for this server, over some aims?"""
        if tenant is None:
            return False
        rate = tenant.quota / max(1, self.s.replica_count)
        had, since = self.had.get(tenant.name, (0.0, now))
        had = max(0.0, had - rate * (now - since))
        self.had[tenant.name] = had, now
        return had > QUOTA_SPAN * self.aim * rate

    def repeat(self, now: float, r: Request, of: int) -> None:
        """A further try: share the first one's answer, or fail; never a second run."""
        r.ran = True
        if self.kept.get(of) is False or now >= self.stop_at or self.memory > 0.97 * self.s.memory_kb:
            self.end(r)
            return
        self.held[r.k] -= 1
        self.move(r, JOINED)
        self.out.append(JoinAttempt(r.id))
        self.watch(now, r)

    def finished(self, now: float, ev: RunFinished) -> None:
        if (r := self.live.get(ev.id)) is None or r.state == HELD:
            return
        ok, took = ev.outcome is Outcome.SUCCEEDED, now - r.started - r.away
        # A run that was stopped took this long at least: leaving it out would count survivors only.
        if r.state != JOINED and (ok or took > self.run_time[r.k]):
            self.run_time[r.k] += (0.1 if self.run_time[r.k] else 1.0) * (took - self.run_time[r.k])
        if r.id in self.kept:
            self.kept[r.id] = ok
        # What never ran tells nothing of the cores.
        if r.state == ON_CORE and ev.outcome is not Outcome.NOT_STARTED:
            self.climber.done, self.last_done = self.climber.done + 1, now
        r.answered |= ev.outcome in (Outcome.SUCCEEDED, Outcome.FAILED)
        if r.state != JOINED:
            self.forget(r)
        self.end(r)

    def abandoned(self, now: float, ev: RequestAbandoned) -> None:
        if (r := self.live.get(ev.id)) is None:
            return
        # A keyed run goes on while a further try may still share its answer in time.
        r.answered = True
        self.close(r, self.s.classes[r.k].effect is not Effect.IDEMPOTENT_BY_KEY or now > r.aim)

    def leaving(self, now: float, ev: DrainStarted) -> None:
        # Its cores are warm and callers learn of it late: it serves on for nearly all of the grace, and asks
        # them away only as long before that as half of them take to forget it.
        self.no_more = now + TAKES * self.s.drain_grace
        self.stop_at = now + max(0.0, ev.stop_in - 3 * self.sweep)
        self.out += SetHealth(False, True), LogMessage(f"draining, stop in {ev.stop_in:.2f} s")

    def tenants(self, now: float, ev: TenantsChanged) -> None:
        self.s = replace(self.s, tenants=ev.tenants)
        known = {t.name for t in ev.tenants}
        self.had = {name: had for name, had in self.had.items() if name in known}

    def beside(self, now: float, ev: PredecessorLoad) -> None:
        self.other = ev

    def restarted(self, now: float, ev: WorkersRestarted) -> None:
        # What was learned of warm cores must not crowd cold ones.
        self.s = replace(self.s, starts_cold=ev.starts_cold)
        self.begun, self.climber = now - ev.age, Climber(self.s)
        self.climber.since = self.last_done = now

    def load(self) -> PredecessorLoad:
        """The same, told to the process that takes over from this one."""
        return PredecessorLoad(self.count[ON_CORE], self.count[CALLING], self.memory)

    def end(self, r: Request, refuse: bool = False) -> None:
        """The one place where a final answer is sent; what has run is never refused."""
        if not r.answered:
            r.answered, refuse = True, refuse and not r.ran
            # Callers are told when to come back: soon, for pressure moves fast, but not to one that leaves.
            stay = min(self.s.max_retry_after, self.aim * (1.0 if self.going else BACK_OFF))
            self.out.append(Reject(r.id, self.advised > 0.2, stay) if refuse else FailRequest(r.id))
        self.close(r, True)

    def close(self, r: Request, stop: bool) -> None:
        """Bookkeeping of a request that is owed nothing more; what still runs is kept in the count."""
        if r.state in (HELD, JOINED):
            self.held[r.k] -= r.state == HELD
            if not r.ran and self.expire(r.id):
                self.out.append(ReleaseKey(r.id))
            self.forget(r)
        elif r.state == ON_CORE and stop and self.s.preemption is not Preemption.NONE and r.id in self.live:
            self.out.append(StopRun(r.id))

    def expire(self, ident: int) -> bool:
        """Take a key's entry off the account, once."""
        there = self.kept.pop(ident, self) is not self
        self.memory -= self.s.key_entry_kb if there else 0.0
        return there

    def forget(self, r: Request) -> None:
        del self.live[r.id]
        self.count[r.state] -= 1
        self.memory -= r.size * (1.0 if r.state in (HELD, JOINED) else self.s.run_memory_factor)

    def move(self, r: Request, state: int) -> None:
        self.count[r.state] -= 1
        self.count[state] += 1
        r.state = state

    def fill(self, now: float) -> None:
        s = self.s
        # One a core never falls, whatever crowd is survived: below that nothing would run at all.
        ceiling = max(s.cores, 0.8 * self.climber.ceiling(now - self.begun))
        ceiling -= self.other.running + self.other.calling
        while self.count[ON_CORE] + self.other.running < self.climber.slots and self.count[HELD]:
            k = self.draw()
            if k is None or self.count[ON_CORE] + self.count[CALLING] + 1 > ceiling:
                return
            while (r := self.queues[k].popleft()).id not in self.live:  # ended while it was held
                pass
            if self.memory + self.other.memory_kb + r.size * (s.run_memory_factor - 1) > 0.95 * s.memory_kb:
                self.queues[k].appendleft(r)
                return
            if now + self.expected(k) > r.aim:
                self.end(r, refuse=True)
                continue
            self.held[k] -= 1
            self.move(r, ON_CORE)
            r.ran, r.started = True, now
            if r.tenant is not None:
                had, since = self.had.get(r.tenant.name, (0.0, now))
                self.had[r.tenant.name] = had + 1, since
            self.memory += r.size * (s.run_memory_factor - 1)
            self.waits[k], self.starts[k] = self.waits[k] + now - r.read, self.starts[k] + 1
            self.out.append(StartRun(r.id))

    def draw(self) -> int | None:
        """The class whose head runs next; an empty queue yields."""
        stuck = self.count[AT_CALL] + self.count[CALLING] >= self.climber.slots
        able = [(k, share) for k, share in zip(self.order, self.pairs.share) if self.held[k] and not (
            stuck and self.must_call(k))]
        point = self.rng.random() * sum(share for _, share in able)
        for k, share in able:
            if point <= share:
                return k
            point -= share
        return able[-1][0] if able else None

    def at_call(self, now: float, ev: CallRequested) -> None:
        if (r := self.live.get(ev.id)) is None or r.state not in (ON_CORE, CALLING):
            return
        self.move(r, AT_CALL)
        r.went = now
        if not r.answered:
            self.callers_wait[r.k].append(r)
        self.grant(now)

    def call_ended(self, now: float, ev: CallFinished) -> None:
        if (r := self.live.get(ev.id)) is None or r.state != CALLING:
            return
        if ev.outcome is Outcome.SUCCEEDED:
            self.resume(now, r)
            self.call_time += (0.2 if self.call_time else 1.0) * (ev.seconds - self.call_time)
            self.call_base = min(self.call_base * 1.01, self.call_time) or self.call_time
        elif ev.outcome is Outcome.TIMED_OUT:
            self.call_gate = now + self.s.abandoned_call_seconds  # it may stay in the dependency's hands
        # Calls that swell tell of a crowded or slow dependency, whatever the cause: back off.
        # One that broke off tells of a link, not of a crowd.
        if ev.outcome not in (Outcome.SUCCEEDED, Outcome.BROKEN_OFF) or self.call_time > 3 * self.call_base:
            if now > self.call_cut:
                self.call_cap = max(CALL_FLOOR * self.call_top, self.call_cap * 0.8)
                self.call_cut = now + ev.seconds
        else:
            self.call_cap = min(self.call_top, self.call_cap + min(1 / self.call_cap, self.call_cap / 4))
        if self.call_cap < 1:  # less than one call at a time: a pause between calls keeps the mean
            self.call_gate = max(self.call_gate, now + ev.seconds * (1 / self.call_cap - 1))
        if ev.outcome is not Outcome.SUCCEEDED:
            self.move(r, AT_CALL)
            safe = self.s.classes[r.k].effect is Effect.SAFE
            r.broken += ev.outcome is Outcome.BROKEN_OFF
            if safe and ev.outcome is Outcome.BROKEN_OFF and not r.answered and r.broken <= RECALLS and (
                    now + self.call_time + self.run_time[r.k] / 2 < r.aim):
                self.callers_wait[r.k].append(r)  # it may be made again, and there is time to
            elif self.s.classes[r.k].skipped_call_weight_share > 0 and not r.answered:
                self.resume(now, r, skip=True)
            elif safe or ev.outcome in NEVER_RAN:
                self.callers_wait[r.k].append(r)
            else:
                self.end(r)
        self.grant(now)

    def resume(self, now: float, r: Request, skip: bool = False) -> None:
        self.move(r, ON_CORE)
        self.out += [SkipCall(r.id)] if skip else []
        r.away += now - r.went
        if self.s.classes[r.k].skipped_call_weight_share == 0:
            self.call_wait += 0.1 * (now - r.went - self.call_wait)

    def expected(self, k: int) -> float:
        """Time that a run of this class takes from its start, calls included."""
        return self.run_time[k] + (self.call_wait if self.must_call(k) else 0.0)

    def must_call(self, k: int) -> bool:
        return self.s.classes[k].calls_dependency and self.s.classes[k].skipped_call_weight_share == 0

    def grant(self, now: float) -> None:
        """Let calls out, the most worth first, as far as the dependency seems to bear them."""
        for k in self.order:
            queue, c = self.callers_wait[k], self.s.classes[k]
            while queue:
                r = queue[0]
                if r.id not in self.live or r.state != AT_CALL or r.answered:
                    queue.popleft()
                    continue
                if self.count[CALLING] + 1 <= max(1.0, self.call_cap) and now >= self.call_gate:
                    self.move(r, CALLING)
                    self.out.append(StartCall(r.id, max(self.sweep, r.aim - now)))
                elif c.skipped_call_weight_share > 0 and (
                        self.call_cap < self.call_top or now - r.went > SKIP_AT * c.latency_objective):
                    self.resume(now, r, skip=True)
                else:
                    break
                queue.popleft()

    def watch(self, now: float, r: Request) -> None:
        """Look at a request again when it can no longer be started, or must be answered."""
        at = r.due - 2 * self.sweep
        if r.state == HELD or now < r.aim:
            at = min(at, r.aim - (self.expected(r.k) if r.state == HELD else 0.0))
        self.wheel.setdefault(max(self.hand + 1, int(at / self.sweep)), []).append((r.id, r))

    def turn(self, now: float) -> None:
        # Cores may have been up for days before this start: no turn for each sweep in which nothing stood.
        upto = int(now / self.sweep)
        self.hand = max(self.hand, min(upto, min(self.wheel, default=upto)) - 1)
        while self.hand < upto:
            self.hand += 1
            for ident, r in self.wheel.pop(self.hand, ()):
                if r is None:
                    self.expire(ident)
                elif ident in self.live and not r.answered:
                    worthless = now + self.sweep >= r.aim and self.s.classes[r.k].late_weight_share == 0 and (
                        self.s.preemption is not Preemption.NONE)
                    if r.state == HELD and now + self.sweep + self.expected(r.k) >= r.aim:
                        self.end(r, refuse=True)
                    elif now + 3 * self.sweep >= r.due or worthless:
                        self.end(r)
                    else:
                        self.watch(now, r)

    def woken(self, now: float, ev: TimerFired) -> None:
        self.out.append(SetTimer(now + self.sweep, 0))
        self.turn(now)
        if now >= self.stop_at:
            for r in list(self.live.values()):
                self.end(r, refuse=True)
        self.climber.sweep(now, now - self.begun, ev.cpu_busy, self.count[HELD], self.period)
        self.gauge_pressure(now)
        if now >= self.next_period:
            self.next_period = now + self.period
            self.pairs.update([self.waits[k] / max(1, self.starts[k]) for k in self.order])
            self.waits, self.starts = [0.0] * len(self.waits), [0] * len(self.starts)
            self.low = self.thin_first()
            self.arrivals = [0.9 * a for a in self.arrivals]
            for k, queue in enumerate(self.queues):
                if len(queue) > 2 * self.held[k] + 32:  # ended ones of a class that is never drawn
                    self.queues[k] = deque(r for r in queue if r.id in self.live)
        self.grant(now)

    def gauge_pressure(self, now: float) -> None:
        """How far the hold's expected wait is past what the aims can spare, 0 to 2."""
        mean = sum(a * t for a, t in zip(self.arrivals, self.run_time)) / max(1e-9, sum(self.arrivals))
        if self.count[ON_CORE] + self.other.running >= self.climber.slots:
            mean = max(mean, now - self.last_done)  # nothing ends: slow or hung, whatever the cause
        else:
            self.last_done = now
        # Requests wait unread as well: reading starves beside the runs on a slow server, and what is
        # shed after reading relieves nothing.  Decays, so that advice which stops all arrivals lapses.
        self.unread -= self.unread * self.sweep / self.aim
        wait = self.count[HELD] * mean / self.climber.slots + self.unread
        low, high = (wait / self.aim - 0.06) / 0.22, wait / self.aim - 0.28  # the worthier are thinned late
        self.pressure = max(0.0, min(1.0, low)) + max(0.0, min(1.0, high))
        pace = 2 * self.sweep / self.aim if self.pressure < self.advised else 4 * self.sweep / self.aim
        self.advised += min(1.0, pace) * (self.pressure - self.advised)
        self.going = now >= min(self.no_more, self.stop_at - self.aim) - self.s.signal_lifetime / 2
        self.advise(1.0 if self.going else self.advised, self.going)
        # Many callers seldom return, but their idle connections take cores: close them.  Under pressure let
        # the table fill: a caller that gets no connection costs nothing, one that is read and refused much.
        after = self.s.client_idle_timeout * self.reuse ** (1 - min(1.0, self.advised))
        if abs(after - self.close_said) > 0.25 * self.close_said:
            self.close_said = after
            self.out.append(SetIdleTimeout(max(0.01, after)))

    def thin_first(self) -> int:
        """How many of the least worthy classes to thin out together: least loss for work shed."""
        goal, up = self.s.objective, self.order[::-1]
        worth = list(accumulate(self.arrivals[k] * self.s.classes[k].priority_weight for k in up))
        work = accumulate(self.arrivals[k] * self.run_time[k] for k in up)
        wide = (goal.whole + goal.worst_window) / (worth[-1] or 1.0)
        loss = [(wide * a + goal.worst_class) / (b + 1e-9) for a, b in zip(worth, work)]
        return loss.index(min(loss)) + 1

    def advise(self, pressure: float, leaving: bool = False) -> None:
        s, n = self.s, len(self.s.classes)
        if s.signal is LoadSignal.LEVEL:
            # Below 1, no more than is turned away here anyway, in the lowest class.
            value = pressure if pressure < 0.95 else self.low + max(0.0, pressure - 1) * (n - self.low)
            value = 1.0 if leaving else value / n
        elif s.signal is LoadSignal.WEIGHT:
            value = 0.0 if leaving else 1 - 0.8 * min(1.0, pressure)
        else:
            slots = self.climber.slots
            value = 0.0 if leaving else 3 * slots * (1 - 0.45 * pressure) / max(1, s.client_count)
        if s.signal is not LoadSignal.NONE and abs(value - self.said) > 0.02 * max(1.0, self.said):
            self.said = value
            self.out.append(AdvertiseLevel(value))
