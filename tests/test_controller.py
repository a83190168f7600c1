"""Tests of the controller: scheduling, service rules and regressions."""

from __future__ import annotations

import random
from dataclasses import replace

import pytest

from saltcart.decision.actions import (
    Action,
    AdvertiseLevel,
    FailRequest,
    JoinAttempt,
    Reject,
    ReserveKey,
    SetHealth,
    SetIdleTimeout,
    SetTimer,
    SkipCall,
    StartCall,
    StartRun,
    StopRun,
)
from saltcart.decision.controller import Controller
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
)
from saltcart.decision.outcome import Outcome
from saltcart.decision.request import Request, RequestState
from saltcart.decision.request_table import RequestTable
from saltcart.decision.settings import (
    ClassSpec,
    DependencyKind,
    Effect,
    LoadSignal,
    ObjectiveWeights,
    Preemption,
    Settings,
    TenantSpec,
)

LOW = ClassSpec("low", Effect.SAFE, 1.0, 4.0, 1.0)
TOP = ClassSpec("top", Effect.IDEMPOTENT_BY_KEY, 1.0, 4.0, 10.0, key_window=8.0)
BASE = Settings(
    classes=(LOW, TOP),
    cores=2,
    memory_kb=10_000.0,
    answer_slack=0.05,
    drain_grace=2.0,
    max_running_per_core=5.0,
    max_running_window=1.0,
    key_entry_kb=10.0,
    run_memory_factor=4.0,
    preemption=Preemption.DROP,
    signal=LoadSignal.LEVEL,
    signal_lifetime=1.0,
)


class ControllerHost:
    """Sends events to a controller and records its actions and timers."""

    def __init__(self, settings: Settings = BASE, seed: int = 1) -> None:
        self.controller = Controller(settings, seed)
        self.now = 10.0
        self.actions = list[Action]()
        self.timers: list[float] = []
        self.send(Started())

    def send(self, event: Event) -> list[Action]:
        actions = self.controller.handle(self.now, event)
        self.actions += actions
        self.timers += [a.at for a in actions if isinstance(a, SetTimer)]
        return actions

    def arrive(
        self, request_id: int, class_index: int = 0, priority_rank: float = 0.99, **fields: object
    ) -> list[Action]:
        return self.send(RequestArrived(request_id, class_index, 10.0, priority_rank, **fields))  # type: ignore[arg-type]

    def run_until(self, until: float, cpu_busy: float = 1.0) -> list[Action]:
        previous_count = len(self.actions)
        while self.timers and min(self.timers) <= until:
            self.now = min(self.timers)
            self.timers.remove(self.now)
            self.send(TimerFired(0, cpu_busy))
        self.now = until
        return self.actions[previous_count:]

    def finish(self, request_id: int, outcome: Outcome = Outcome.SUCCEEDED) -> list[Action]:
        return self.send(RunFinished(request_id, outcome, 0.1))


# ---- scheduling ------------------------------------------------------------------------------


def test_single_class_needs_no_delay_ratio() -> None:
    host = ControllerHost(replace(BASE, classes=(LOW,)))
    assert StartRun(1) in host.arrive(1)


def test_draw_follows_the_shares_and_skips_an_empty_queue() -> None:
    host = ControllerHost()
    scheduler, table = host.controller.scheduler, host.controller.table
    scheduler.delay_ratios.shares = [1.0, 0.25]  # the class of the higher weight first

    def draw() -> int | None:
        return scheduler.queues.draw(scheduler.delay_ratios.shares, [False, False])

    table.held_by_class = [5, 5]
    drawn = [draw() for _ in range(4000)]
    assert drawn.count(1) / 4000 == pytest.approx(0.8, abs=0.03)
    table.held_by_class = [5, 0]
    assert draw() == 0


def test_initial_slots_equal_the_cores_and_held_requests_run_in_order() -> None:
    host = ControllerHost()
    for n in range(1, 6):
        host.arrive(n)
    assert [a.id for a in host.actions if isinstance(a, StartRun)] == [1, 2]
    assert StartRun(3) in host.finish(1)


def test_timeout_of_a_call_is_not_read_as_the_age_of_a_retry() -> None:
    # The timeout of a call is the rest of its caller's latency objective.  Timeouts that all differ were read
    # as attempts that are nearly as old as the deadline.
    for tier, min_starts in ((1, 30), (0, 0)):
        host = ControllerHost(replace(BASE, tier=tier))
        for n in range(1, 61):
            host.arrive(n, time_to_deadline=0.5 + n / 200)
            host.finish(n)
            host.now += 0.1
        late_starts = [a for a in host.actions if isinstance(a, StartRun) and a.id > 30]
        assert len(late_starts) >= min_starts if min_starts else len(late_starts) < 30


def test_only_the_tenant_over_its_quota_is_rejected_under_pressure() -> None:
    tenants = (TenantSpec("greedy", 2.0, 0.5), TenantSpec("modest", 2.0, 0.5))
    host = ControllerHost(replace(BASE, tenants=tenants, over_quota_weight_share=0.0))
    for n in range(1, 40):
        host.arrive(n, tenant_index=0)
        host.finish(n)
    host.controller.admission.pressure = 0.5
    assert any(isinstance(a, Reject) for a in host.arrive(50, tenant_index=0))
    assert StartRun(51) in host.arrive(51, tenant_index=1)
    # The new list has the tenants at other indexes.
    host.send(TenantsChanged((tenants[1], replace(tenants[0], quota=900.0))))
    host.now += 0.05
    assert not any(isinstance(a, Reject) for a in host.arrive(52, tenant_index=1))


def test_load_of_the_predecessor_counts_against_cores_and_memory() -> None:
    """A predecessor and its successor share cores and memory, so they must not both use the full limits."""
    host = ControllerHost()
    host.send(PredecessorLoad(running=1, memory_kb=0.0))
    assert StartRun(1) in host.arrive(1)
    assert StartRun(2) not in host.arrive(2)  # one of the two cores is taken
    assert StartRun(2) in host.send(PredecessorLoad())
    host.send(PredecessorLoad(memory_kb=9_500.0))
    assert Reject(3, False, 0.0) in host.arrive(3)
    assert host.controller.load() == PredecessorLoad(2, 0, 80.0)  # the load that its own successor gets


@pytest.mark.parametrize("dependency", [DependencyKind.SHARED, DependencyKind.TIER])
def test_calls_of_the_predecessor_count_towards_the_share_of_the_dependency(
    dependency: DependencyKind,
) -> None:
    """Both processes of an upgrade have one share; the machines of a tier have limits of their own."""
    host = ControllerHost(replace(BASE, dependency=dependency, dependency_call_share=2.5))
    host.send(PredecessorLoad(calling=2))
    host.arrive(1)
    is_shared = dependency is DependencyKind.SHARED
    assert any(isinstance(a, StartCall) for a in host.send(CallRequested(1))) is not is_shared
    actions = host.send(PredecessorLoad(calling=1))
    assert any(isinstance(a, StartCall) for a in actions) is is_shared


@pytest.mark.parametrize("dependency", [DependencyKind.SHARED, DependencyKind.TIER])
def test_a_call_given_up_with_its_request_counts_while_it_occupies_a_shared_dependency(
    dependency: DependencyKind,
) -> None:
    """A slow dependency whose callers give up early would otherwise get more calls than its share."""
    settings = replace(BASE, dependency=dependency, dependency_call_share=2.5, abandoned_call_seconds=0.2)
    host = ControllerHost(settings)
    for request_id in (1, 2, 3):
        host.arrive(request_id)
        host.send(CallRequested(request_id))
    assert sum(isinstance(a, StartCall) for a in host.actions) == 2
    host.send(RequestAbandoned(1))
    actions = host.finish(1, Outcome.FAILED) + host.run_until(host.now + 0.15)
    is_shared = dependency is DependencyKind.SHARED
    assert any(isinstance(a, StartCall) for a in actions) is not is_shared
    assert host.controller.load().calling == 2
    actions = host.run_until(host.now + 0.1)
    assert any(isinstance(a, StartCall) and a.id == 3 for a in actions) is is_shared
    assert host.controller.load().calling == 2


def test_same_events_and_seed_give_the_same_actions() -> None:
    def record_actions() -> list[Action]:
        host = ControllerHost(seed=7)
        for n in range(1, 40):
            host.arrive(n, n % 2)
            host.run_until(10 + n * 0.01)
        return host.actions

    assert record_actions() == record_actions()


# ---- service rules ---------------------------------------------------------------------------


def test_hung_run_is_failed_before_its_answer_is_due() -> None:
    host = ControllerHost(
        replace(BASE, preemption=Preemption.NONE, classes=(replace(LOW, late_weight_share=0.2), TOP))
    )
    host.arrive(1)
    actions = host.run_until(15.0)
    assert FailRequest(1) in actions and StopRun(1) not in actions


def test_due_time_includes_the_unread_time() -> None:
    host = ControllerHost(replace(BASE, preemption=Preemption.NONE))
    host.arrive(1, unread_seconds=0.8)
    assert FailRequest(1) in host.run_until(10 + 4.0 - 0.8 + 0.05)


def test_keyed_retry_joins_the_first_attempt_and_a_failed_run_is_not_repeated() -> None:
    host = ControllerHost()
    assert StartRun(1) in host.arrive(1, 1)
    assert JoinAttempt(2) in host.arrive(2, 1, repeat_of=1)
    host.finish(1, Outcome.FAILED)
    host.finish(2, Outcome.FAILED)
    assert host.arrive(3, 1, repeat_of=1) == [FailRequest(3)]


def test_key_window_starts_at_the_arrival() -> None:
    reservation = next(
        a for a in ControllerHost().arrive(1, 1, unread_seconds=0.5) if isinstance(a, ReserveKey)
    )
    assert 7.5 <= reservation.seconds <= 7.6


def test_running_keyed_request_is_failed_not_rejected_at_the_end_of_a_drain() -> None:
    host = ControllerHost()
    host.arrive(1, 1)
    host.send(DrainStarted(0.6))
    actions = host.run_until(10.6)
    assert FailRequest(1) in actions and not any(isinstance(a, Reject) for a in actions)


def test_drain_runs_requests_that_arrive_within_the_grace_and_no_others() -> None:
    """Clients learn of a drain late: early rejections would move load before others can take it."""
    host = ControllerHost(replace(BASE, max_retry_after=9.0))
    actions = host.send(DrainStarted(6.0))
    assert SetHealth(False, True) in actions and AdvertiseLevel(1.0) not in actions
    assert AdvertiseLevel(1.0) not in host.run_until(11.0)
    assert StartRun(1) in host.arrive(1)
    # Clients apply an advertised level for 1 s, so it is sent before the server stops accepting requests.
    assert AdvertiseLevel(1.0) in host.run_until(11.6)
    host.run_until(11.9)
    assert Reject(2, False, 1.0) in host.arrive(2)


@pytest.mark.parametrize(
    ("cores", "max_running_per_core", "starts_cold"),
    [(1, 1.0, False), (1, 1.2, False), (1, 2.0, True), (2, 1.0, True)],
)
def test_servers_that_survive_little_concurrency_run_one_request_per_core(
    cores: int, max_running_per_core: float, starts_cold: bool
) -> None:
    host = ControllerHost(
        replace(
            BASE,
            cores=cores,
            max_running_per_core=max_running_per_core,
            starts_cold=starts_cold,
            cold_speed_share=0.24,
            warm_up_seconds=10.0,
        )
    )
    for n in range(4):
        host.arrive(n)
    assert sum(isinstance(a, StartRun) for a in host.actions) == cores


def test_request_that_can_never_fit_the_memory_is_rejected_and_blocks_no_other() -> None:
    host = ControllerHost(replace(BASE, memory_kb=1000.0))
    actions = host.send(RequestArrived(1, 0, 400.0, 0.99))  # could be held, but needs 1,600 KB to run
    assert [type(a) for a in actions] == [Reject]
    assert StartRun(2) in host.arrive(2)


def test_memory_limits_the_held_requests() -> None:
    host = ControllerHost(replace(BASE, memory_kb=200.0))
    for n in range(1, 60):
        host.arrive(n, 1)
        assert host.controller.table.memory_kb <= 200.0
    assert any(isinstance(a, Reject) for a in host.actions)


CALLS = replace(
    BASE,
    dependency=DependencyKind.SHARED,
    dependency_call_share=1.3,
    abandoned_call_seconds=0.2,
    classes=(
        replace(LOW, calls_dependency=True, skipped_call_weight_share=0.6),
        replace(TOP, calls_dependency=True),
    ),
)


def test_calls_respect_the_limit_and_are_skipped_where_the_answer_still_earns() -> None:
    host = ControllerHost(CALLS)
    host.arrive(1, 1)
    host.arrive(2, 0)
    assert any(isinstance(a, StartCall) for a in host.send(CallRequested(1)))
    assert SkipCall(2) not in host.send(CallRequested(2))  # the call in flight may end soon
    assert SkipCall(2) in host.run_until(10.2)


def test_call_is_repeated_only_if_it_provably_never_ran() -> None:
    host = ControllerHost(CALLS)
    host.arrive(1, 1)
    host.send(CallRequested(1))
    actions = host.send(CallFinished(1, Outcome.REJECTED, 0.01)) + host.run_until(10.1)
    assert any(isinstance(a, StartCall) for a in actions)
    assert FailRequest(1) in host.send(CallFinished(1, Outcome.BROKEN_OFF, 0.01))


def test_request_at_a_call_frees_its_run_slot() -> None:
    host = ControllerHost(CALLS)
    for n in (1, 2, 3):
        host.arrive(n, 1)
    assert StartRun(3) in host.send(CallRequested(1))


@pytest.mark.parametrize(
    "overrides",
    [
        {"classes": (replace(LOW, priority_weight=0.0), replace(TOP, priority_weight=0.0))},
        {"classes": (replace(LOW, latency_objective=0.002, deadline=0.004),)},
        {"cores": 1, "signal": LoadSignal.CREDIT, "client_count": 0},
        {
            "dependency": DependencyKind.SHARED,
            "dependency_call_share": 0.0,
            "classes": (replace(LOW, calls_dependency=True), TOP),
        },
        {"tenants": (TenantSpec("t", 0.0, 0.0),), "objective": ObjectiveWeights(0.0)},
        {"starts_cold": True, "warm_up_seconds": 0.0},
        {"key_entry_kb": 0.0, "run_memory_factor": 1.0, "max_retry_after": 0.0, "signal_lifetime": 0.0},
    ],
)
def test_unusual_valid_settings_leave_no_request_unanswered(overrides: dict[str, object]) -> None:
    host = ControllerHost(replace(BASE, **overrides))  # type: ignore[arg-type]
    for n in range(1, 30):
        host.arrive(n, n % len(host.controller.settings.classes))
        if n == 1 and host.controller.settings.dependency is DependencyKind.SHARED:
            host.send(CallRequested(1))
            host.send(CallFinished(1, Outcome.SUCCEEDED, 0.1))
        host.run_until(10 + n * 0.1)
    host.run_until(30.0)
    answered = {a.id for a in host.actions if isinstance(a, (Reject, FailRequest))}
    assert answered == set(range(1, 30))  # no run ended, so each request got a rejection or an error


# ---- regressions -----------------------------------------------------------------------------


def test_releasing_the_key_of_a_request_that_never_ran_frees_its_memory() -> None:
    host = ControllerHost()
    for n in (1, 2, 3):
        host.arrive(n, 1)
    memory_before = host.controller.table.memory_kb
    host.send(RequestAbandoned(3))
    assert host.controller.table.memory_kb == pytest.approx(memory_before - 10.0 - 10.0)
    host.run_until(30.0)
    assert host.controller.table.memory_kb >= 0


@pytest.mark.parametrize("seed", range(1, 11))
def test_a_table_that_has_become_empty_uses_exactly_no_memory(seed: int) -> None:
    # Guards against a sum that drifts below 0: a successor refused that figure and ended the takeover.
    sizes = random.Random(seed)
    table = RequestTable(replace(BASE, key_entry_kb=187.82, run_memory_factor=16.0))
    for first_id in range(0, 24, 2):
        pair = []
        for request_id in (first_id, first_id + 1):
            event = RequestArrived(request_id, 0, round(sizes.uniform(17, 59), 1), 0.5)
            pair.append(Request(event, 0.0, 3.0, 1.0, None))
            table.add(pair[-1])
            table.reserve_key(request_id)
            table.start_run(pair[-1], 0.0)
        for request in reversed(pair):
            table.release_key(request.id)
            table.remove(request)
    assert table.memory_kb == 0


def test_rare_longer_timeouts_do_not_make_first_attempts_look_old() -> None:
    host = ControllerHost()
    for n in range(1, 9):
        host.arrive(n, time_to_deadline=2.0)
        host.finish(n)
    host.arrive(20, time_to_deadline=3.9)
    host.finish(20)
    assert StartRun(21) in host.arrive(21, time_to_deadline=2.0)
    host.finish(21)
    assert isinstance(host.arrive(22, time_to_deadline=0.9)[0], Reject)  # 1.1 s old, past its objective


def test_several_first_attempt_timeouts_are_distinguished_from_those_of_retries() -> None:
    host = ControllerHost()
    for n in range(1, 17):
        host.arrive(n, time_to_deadline=3.5 if n % 2 else 1.5, balancer=n)
        host.finish(n)
    assert StartRun(20) in host.arrive(20, time_to_deadline=1.5, balancer=20)
    host.finish(20)
    # 1.7 s of its 3.5 s have passed.
    assert isinstance(host.arrive(21, time_to_deadline=1.8, balancer=21)[0], Reject)


def test_run_time_estimate_decays_so_that_it_cannot_reject_a_class_for_ever() -> None:
    host = ControllerHost()
    host.controller.run_times.run_seconds[1] = 5.0
    host.run_until(25.0)  # time without requests is no evidence
    assert host.controller.run_times.run_seconds[1] == 5.0
    assert isinstance(host.arrive(1, 1)[0], Reject)
    assert any(StartRun(n) in host.arrive(n, 1) for n in range(2, 70))


def test_requests_past_their_objective_do_not_decay_the_estimate() -> None:
    host = ControllerHost()
    host.controller.run_times.run_seconds[0] = 0.4
    for n in range(1, 30):
        assert isinstance(host.arrive(n, unread_seconds=1.2)[0], Reject)
    assert host.controller.run_times.run_seconds[0] == 0.4


def test_unread_time_raises_the_advertised_level_without_held_requests() -> None:
    host = ControllerHost()
    for n in range(1, 40):
        host.arrive(n, unread_seconds=0.5)
        host.finish(n)
        host.run_until(10 + n * 0.05)
    raised_level = host.controller.advertisement.last_level
    assert raised_level > 0.2
    host.run_until(20.0)
    assert host.controller.advertisement.last_level < raised_level / 4


def test_pressure_sheds_by_priority_rank_and_spares_the_class_of_higher_weight() -> None:
    host = ControllerHost()
    host.controller.admission.first_shed_count, host.controller.admission.pressure = 1, 0.5
    assert isinstance(host.arrive(1, 0, priority_rank=0.1)[0], Reject)
    assert StartRun(2) in host.arrive(2, 0, priority_rank=0.4)
    assert StartRun(3) in host.arrive(3, 1, priority_rank=0.55)


def test_call_share_below_one_is_kept_as_a_mean() -> None:
    slow_class = replace(TOP, calls_dependency=True, latency_objective=20.0, deadline=40.0)
    host = ControllerHost(replace(CALLS, dependency_call_share=0.5, classes=(LOW, slow_class)))
    for n in range(1, 9):
        host.arrive(n, 1)
    started_ids, call_in_flight, busy_steps = set[int](), None, 0.0
    for step in range(4000):
        host.now += 0.001
        busy_steps += call_in_flight is not None
        actions = host.run_until(host.now)
        for run in [a for a in host.actions if isinstance(a, StartRun) and a.id not in started_ids]:
            started_ids.add(run.id)
            actions += host.send(CallRequested(run.id))
        if call_in_flight is not None and step - call_in_flight[1] >= 20:
            actions += host.send(CallFinished(call_in_flight[0], Outcome.SUCCEEDED, 0.02)) + host.send(
                CallRequested(call_in_flight[0])
            )
            call_in_flight = None
        for a in actions:
            if isinstance(a, StartCall):
                assert call_in_flight is None
                call_in_flight = (a.id, step)
    assert 0.1 < busy_steps / 4000 < 0.42  # the dependency fails if the servers exceed their shares together


def test_idle_connections_are_closed_early_only_with_many_clients_and_low_pressure() -> None:
    few_clients = ControllerHost(replace(BASE, client_idle_timeout=30.0, client_count=10))
    few_clients.run_until(12.0)
    assert not any(isinstance(a, SetIdleTimeout) for a in few_clients.actions)
    many_clients = ControllerHost(replace(BASE, client_idle_timeout=30.0, client_count=1000))
    many_clients.run_until(12.0)
    assert [a.seconds for a in many_clients.actions if isinstance(a, SetIdleTimeout)] == [pytest.approx(0.6)]
    for n in range(1, 80):
        many_clients.arrive(n)
    later_timeouts = [a.seconds for a in many_clients.run_until(13.5) if isinstance(a, SetIdleTimeout)]
    assert later_timeouts and max(later_timeouts) > 10.0


# ---- sparse traffic: hundreds of small servers, a thousand clients ------------------------------


def test_one_run_per_period_leaves_delay_ratios_and_slots_unchanged() -> None:
    host = ControllerHost()
    for n in range(1, 40):
        host.run_until(10 + n * host.controller.period)
        host.arrive(n, n % 2)
        host.finish(n)
    assert (
        host.controller.scheduler.delay_ratios.ratios == [1.0]
        and host.controller.scheduler.limiter.slots == BASE.cores
    )
    assert not any(isinstance(a, Reject) for a in host.actions)


def test_requests_that_each_have_a_new_client_are_served_and_leave_no_state() -> None:
    host = ControllerHost(
        replace(
            BASE, client_count=1000, client_idle_timeout=30.0, classes=(LOW, replace(TOP, key_window=0.5))
        )
    )
    for n in range(1, 2000):
        host.run_until(10 + n * 0.05)
        assert StartRun(n) in host.arrive(n, n % 2, time_to_deadline=3.0, balancer=n)
        host.finish(n)
    host.run_until(120.0)
    controller = host.controller
    assert (
        not controller.table.requests
        and not controller.table.key_results
        and controller.table.memory_kb == pytest.approx(0.0, abs=1e-6)
    )
    assert len(controller.wheel.slots) <= 5 and all(
        len(estimator.counts) <= 500 for estimator in controller.attempt_ages
    )


def test_burst_after_a_long_idle_time_is_held_and_raises_the_pressure_only_later() -> None:
    host = ControllerHost()
    for n in range(1, 6):
        host.arrive(n)
        host.finish(n)
    learned_seconds = list(host.controller.run_times.run_seconds)
    host.run_until(600.0)
    assert (
        host.controller.run_times.run_seconds == learned_seconds and host.controller.admission.pressure == 0.0
    )
    for n in range(100, 130):
        host.arrive(n, priority_rank=0.99)
    assert (
        host.controller.table.counts[RequestState.RUNNING] == BASE.cores and host.controller.held_count() > 0
    )  # held, not rejected by stale pressure
    host.run_until(600.2)
    assert host.controller.admission.pressure > 0


@pytest.mark.parametrize("share", [0.0, 1e-6, 0.3, 0.999, 1.0, 40.0])
def test_every_request_ends_with_any_call_share(share: float) -> None:
    host = ControllerHost(replace(CALLS, dependency_call_share=share, client_count=1200))
    for n in range(1, 20):
        host.arrive(n, n % 2, balancer=10**9 + n, cost_hint=0.0, tenant_index=7)
        for run in [a for a in host.actions if isinstance(a, StartRun) and a.id == n]:
            host.send(CallRequested(run.id))
        for a in [a for a in host.actions if isinstance(a, StartCall) and a.id in host.controller.table]:
            host.send(CallFinished(a.id, Outcome.SUCCEEDED, 0.05))
        host.run_until(10 + n * 0.2)
    host.run_until(30.0)
    answered = {a.id for a in host.actions if isinstance(a, (Reject, FailRequest))}
    assert answered == set(range(1, 20))


def test_ended_requests_of_a_class_that_is_never_drawn_are_removed() -> None:
    host = ControllerHost()
    for n in range(1, 400):
        host.arrive(n)
        if n > 2:  # the first two occupy the cores
            host.send(RequestAbandoned(n))
        if n % 100 == 0:
            host.run_until(host.now + 0.05)
    assert sum(len(queue) for queue in host.controller.scheduler.queues.queues) > 200
    host.run_until(host.now + 0.5)
    assert sum(len(queue) for queue in host.controller.scheduler.queues.queues) < 100


def test_request_that_never_ran_does_not_count_as_a_completion() -> None:
    """Requests that are unknown to the worker pool must not hide a stall of the cores."""
    host = ControllerHost()
    for n in range(1, 300):
        host.arrive(n)
        host.finish(n, Outcome.NOT_STARTED)
    assert host.controller.scheduler.limiter.completions == 0


@pytest.mark.parametrize(
    ("outcome", "lowers_limit"),
    [
        (Outcome.REJECTED, True),
        (Outcome.TIMED_OUT, True),
        (Outcome.FAILED, True),
        (Outcome.BROKEN_OFF, False),
    ],
)
def test_only_signs_of_overload_lower_the_call_limit(outcome: Outcome, lowers_limit: bool) -> None:
    """A broken connection must not reduce the calls to a healthy tier."""
    host = ControllerHost(replace(CALLS, dependency=DependencyKind.TIER))
    host.arrive(1)
    host.send(CallRequested(1))
    host.send(CallFinished(1, outcome, 0.1))
    assert (host.controller.calls.limit < host.controller.calls.max_limit) is lowers_limit
