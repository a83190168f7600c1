"""The controller: its mechanism, the rules by example, and each failure found."""

from __future__ import annotations

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
from saltcart.decision.request import RequestState
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
    """Feeds one controller and remembers what it said."""

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
        self, ident: int, class_index: int = 0, priority_rank: float = 0.99, **more: object
    ) -> list[Action]:
        return self.send(RequestArrived(ident, class_index, 10.0, priority_rank, **more))  # type: ignore[arg-type]

    def run_until(self, then: float, busy: float = 1.0) -> list[Action]:
        before = len(self.actions)
        while self.timers and min(self.timers) <= then:
            self.now = min(self.timers)
            self.timers.remove(self.now)
            self.send(TimerFired(0, busy))
        self.now = then
        return self.actions[before:]

    def finish(self, ident: int, how: Outcome = Outcome.SUCCEEDED) -> list[Action]:
        return self.send(RunFinished(ident, how, 0.1))


# ---- the mechanism ---------------------------------------------------------------------------


def test_one_class_has_no_pair() -> None:
    host = ControllerHost(replace(BASE, classes=(LOW,)))
    assert StartRun(1) in host.arrive(1)


def test_draw_frequencies_follow_the_shares_and_an_empty_queue_yields() -> None:
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


def test_slots_start_at_the_cores_and_the_rest_waits_in_order() -> None:
    host = ControllerHost()
    for n in range(1, 6):
        host.arrive(n)
    assert [a.id for a in host.actions if isinstance(a, StartRun)] == [1, 2]
    assert StartRun(3) in host.finish(1)


def test_a_call_is_not_taken_for_an_old_try() -> None:
    # Calls carry what their caller's aim has left; from no two alike, an age of nearly the deadline was read.
    for tier, served in ((1, 30), (0, 0)):
        host = ControllerHost(replace(BASE, tier=tier))
        for n in range(1, 61):
            host.arrive(n, time_to_deadline=0.5 + n / 200)
            host.finish(n)
            host.now += 0.1
        late = [a for a in host.actions if isinstance(a, StartRun) and a.id > 30]
        assert len(late) >= served if served else len(late) < 30


def test_a_tenant_past_its_quota_spends_no_other_tenants_under_pressure() -> None:
    tenants = (TenantSpec("greedy", 2.0, 0.5), TenantSpec("modest", 2.0, 0.5))
    host = ControllerHost(replace(BASE, tenants=tenants, over_quota_weight_share=0.0))
    for n in range(1, 40):
        host.arrive(n, tenant_index=0)
        host.finish(n)
    host.controller.admission.pressure = 0.5
    assert any(isinstance(a, Reject) for a in host.arrive(50, tenant_index=0))
    assert StartRun(51) in host.arrive(51, tenant_index=1)
    host.send(
        TenantsChanged((tenants[1], replace(tenants[0], quota=900.0)))
    )  # the indexes are other ones now
    host.now += 0.05
    assert not any(isinstance(a, Reject) for a in host.arrive(52, tenant_index=1))


def test_what_the_process_before_still_runs_shares_cores_and_memory() -> None:
    """Two processes on the same cores and in the same memory: both at their own limit would break a rule."""
    host = ControllerHost()
    host.send(PredecessorLoad(running=1, memory_kb=0.0))
    assert StartRun(1) in host.arrive(1)
    assert StartRun(2) not in host.arrive(2)  # one of the two cores is taken
    assert StartRun(2) in host.send(PredecessorLoad())
    host.send(PredecessorLoad(memory_kb=9_500.0))
    assert Reject(3, False, 0.0) in host.arrive(3)
    assert host.controller.load() == PredecessorLoad(2, 0, 80.0)  # as it tells the one after it


def test_same_events_give_the_same_actions() -> None:
    def play() -> list[Action]:
        host = ControllerHost(seed=7)
        for n in range(1, 40):
            host.arrive(n, n % 2)
            host.run_until(10 + n * 0.01)
        return host.actions

    assert play() == play()


# ---- the rules -------------------------------------------------------------------------------


def test_hung_work_is_answered_before_its_due_time() -> None:
    host = ControllerHost(
        replace(BASE, preemption=Preemption.NONE, classes=(replace(LOW, late_weight_share=0.2), TOP))
    )
    host.arrive(1)
    said = host.run_until(15.0)
    assert FailRequest(1) in said and StopRun(1) not in said


def test_due_time_counts_the_time_unread() -> None:
    host = ControllerHost(replace(BASE, preemption=Preemption.NONE))
    host.arrive(1, unread_seconds=0.8)
    assert FailRequest(1) in host.run_until(10 + 4.0 - 0.8 + 0.05)


def test_keyed_repeat_shares_and_a_failed_run_is_never_run_again() -> None:
    host = ControllerHost()
    assert StartRun(1) in host.arrive(1, 1)
    assert JoinAttempt(2) in host.arrive(2, 1, repeat_of=1)
    host.finish(1, Outcome.FAILED)
    host.finish(2, Outcome.FAILED)
    assert host.arrive(3, 1, repeat_of=1) == [FailRequest(3)]


def test_window_counts_from_reaching_the_server() -> None:
    keep = next(a for a in ControllerHost().arrive(1, 1, unread_seconds=0.5) if isinstance(a, ReserveKey))
    assert 7.5 <= keep.seconds <= 7.6


def test_running_keyed_work_is_failed_not_refused_at_the_end_of_a_drain() -> None:
    host = ControllerHost()
    host.arrive(1, 1)
    host.send(DrainStarted(0.6))
    said = host.run_until(10.6)
    assert FailRequest(1) in said and not any(isinstance(a, Reject) for a in said)


def test_drain_serves_on_and_runs_nothing_that_arrives_after_the_grace() -> None:
    """Callers learn of it late: refusals at the notice would leave its work to others before they can."""
    host = ControllerHost(replace(BASE, max_retry_after=9.0))
    said = host.send(DrainStarted(6.0))
    assert SetHealth(False, True) in said and AdvertiseLevel(1.0) not in said
    assert AdvertiseLevel(1.0) not in host.run_until(11.0)
    assert StartRun(1) in host.arrive(1)
    assert AdvertiseLevel(1.0) in host.run_until(
        11.6
    )  # before it takes nothing more, and callers forget it in 1 s
    host.run_until(11.9)
    assert Reject(2, False, 1.0) in host.arrive(2)


@pytest.mark.parametrize(
    ("cores", "crowd", "cold"), [(1, 1.0, False), (1, 1.2, False), (1, 2.0, True), (2, 1.0, True)]
)
def test_a_customer_whose_servers_survive_no_crowd_runs_one_request_a_core(
    cores: int, crowd: float, cold: bool
) -> None:
    host = ControllerHost(
        replace(
            BASE,
            cores=cores,
            max_running_per_core=crowd,
            starts_cold=cold,
            cold_speed_share=0.24,
            warm_up_seconds=10.0,
        )
    )
    for n in range(4):
        host.arrive(n)
    assert sum(isinstance(a, StartRun) for a in host.actions) == cores


def test_a_request_that_never_fits_the_memory_is_turned_away_and_holds_up_nobody() -> None:
    host = ControllerHost(replace(BASE, memory_kb=1000.0))
    big = host.send(RequestArrived(1, 0, 400.0, 0.99))  # it could be held, and would need 1,600 KB to run
    assert [type(a) for a in big] == [Reject]
    assert StartRun(2) in host.arrive(2)


def test_memory_bounds_the_hold() -> None:
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


def test_calls_keep_to_the_share_and_skip_where_that_still_earns() -> None:
    host = ControllerHost(CALLS)
    host.arrive(1, 1)
    host.arrive(2, 0)
    assert any(isinstance(a, StartCall) for a in host.send(CallRequested(1)))
    assert SkipCall(2) not in host.send(CallRequested(2))  # the call before it may end soon
    assert SkipCall(2) in host.run_until(10.2)


def test_a_call_is_repeated_only_on_proof() -> None:
    host = ControllerHost(CALLS)
    host.arrive(1, 1)
    host.send(CallRequested(1))
    again = host.send(CallFinished(1, Outcome.REJECTED, 0.01)) + host.run_until(10.1)
    assert any(isinstance(a, StartCall) for a in again)
    assert FailRequest(1) in host.send(CallFinished(1, Outcome.BROKEN_OFF, 0.01))


def test_request_at_a_call_leaves_its_slot() -> None:
    host = ControllerHost(CALLS)
    for n in (1, 2, 3):
        host.arrive(n, 1)
    assert StartRun(3) in host.send(CallRequested(1))


@pytest.mark.parametrize(
    "odd",
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
def test_odd_but_legal_settings_do_no_harm(odd: dict[str, object]) -> None:
    host = ControllerHost(replace(BASE, **odd))  # type: ignore[arg-type]
    for n in range(1, 30):
        host.arrive(n, n % len(host.controller.settings.classes))
        if n == 1 and host.controller.settings.dependency is DependencyKind.SHARED:
            host.send(CallRequested(1))
            host.send(CallFinished(1, Outcome.SUCCEEDED, 0.1))
        host.run_until(10 + n * 0.1)
    host.run_until(30.0)
    ends = {a.id for a in host.actions if isinstance(a, (Reject, FailRequest))}
    assert ends == set(range(1, 30))  # nothing ever completed here, so each one was answered


# ---- failures found --------------------------------------------------------------------------


def test_key_memory_is_given_back_when_an_unrun_key_is_released() -> None:
    host = ControllerHost()
    for n in (1, 2, 3):
        host.arrive(n, 1)
    before = host.controller.table.memory_kb
    host.send(RequestAbandoned(3))
    assert host.controller.table.memory_kb == pytest.approx(before - 10.0 - 10.0)
    host.run_until(30.0)
    assert host.controller.table.memory_kb >= 0


def test_last_tries_with_more_patience_do_not_make_first_tries_look_old() -> None:
    host = ControllerHost()
    for n in range(1, 9):
        host.arrive(n, time_to_deadline=2.0)
        host.finish(n)
    host.arrive(20, time_to_deadline=3.9)
    host.finish(20)
    assert StartRun(21) in host.arrive(21, time_to_deadline=2.0)
    host.finish(21)
    assert isinstance(host.arrive(22, time_to_deadline=0.9)[0], Reject)  # 1.1 s gone, past the aim


def test_a_few_first_try_patiences_are_told_apart_and_others_are_ages() -> None:
    host = ControllerHost()
    for n in range(1, 17):
        host.arrive(n, time_to_deadline=3.5 if n % 2 else 1.5, balancer=n)
        host.finish(n)
    assert StartRun(20) in host.arrive(20, time_to_deadline=1.5, balancer=20)
    host.finish(20)
    # 1.7 of 3.5 s are gone
    assert isinstance(host.arrive(21, time_to_deadline=1.8, balancer=21)[0], Reject)


def test_run_time_estimate_fades_instead_of_shutting_a_class_out() -> None:
    host = ControllerHost()
    host.controller.run_times.run_seconds[1] = 5.0
    host.run_until(25.0)  # nothing asked for: as on a server that sees little, silence is no evidence
    assert host.controller.run_times.run_seconds[1] == 5.0
    assert isinstance(host.arrive(1, 1)[0], Reject)
    assert any(StartRun(n) in host.arrive(n, 1) for n in range(2, 70))


def test_old_tries_do_not_fade_the_estimate() -> None:
    host = ControllerHost()
    host.controller.run_times.run_seconds[0] = 0.4
    for n in range(1, 30):
        assert isinstance(host.arrive(n, unread_seconds=1.2)[0], Reject)
    assert host.controller.run_times.run_seconds[0] == 0.4


def test_unread_time_raises_advice_though_the_hold_is_empty() -> None:
    host = ControllerHost()
    for n in range(1, 40):
        host.arrive(n, unread_seconds=0.5)
        host.finish(n)
        host.run_until(10 + n * 0.05)
    raised = host.controller.advertisement.last_level
    assert raised > 0.2
    host.run_until(20.0)
    assert host.controller.advertisement.last_level < raised / 4


def test_pressure_sheds_by_standing_and_spares_the_worthy_class() -> None:
    host = ControllerHost()
    host.controller.admission.shed_first, host.controller.admission.pressure = 1, 0.5
    assert isinstance(host.arrive(1, 0, priority_rank=0.1)[0], Reject)
    assert StartRun(2) in host.arrive(2, 0, priority_rank=0.4)
    assert StartRun(3) in host.arrive(3, 1, priority_rank=0.55)


def test_a_share_below_one_call_is_kept_as_a_mean() -> None:
    long = replace(TOP, calls_dependency=True, latency_objective=20.0, deadline=40.0)
    host = ControllerHost(replace(CALLS, dependency_call_share=0.5, classes=(LOW, long)))
    for n in range(1, 9):
        host.arrive(n, 1)
    waiting, out, busy = set[int](), None, 0.0
    for step in range(4000):
        host.now += 0.001
        busy += out is not None
        said = host.run_until(host.now)
        for run in [a for a in host.actions if isinstance(a, StartRun) and a.id not in waiting]:
            waiting.add(run.id)
            said += host.send(CallRequested(run.id))
        if out is not None and step - out[1] >= 20:
            said += host.send(CallFinished(out[0], Outcome.SUCCEEDED, 0.02)) + host.send(
                CallRequested(out[0])
            )
            out = None
        for a in said:
            if isinstance(a, StartCall):
                assert out is None
                out = (a.id, step)
    assert 0.1 < busy / 4000 < 0.42  # the dependency dies at the sum of the shares


def test_idle_connections_are_closed_early_only_under_many_callers_and_low_pressure() -> None:
    few = ControllerHost(replace(BASE, client_idle_timeout=30.0, client_count=10))
    few.run_until(12.0)
    assert not any(isinstance(a, SetIdleTimeout) for a in few.actions)
    many = ControllerHost(replace(BASE, client_idle_timeout=30.0, client_count=1000))
    many.run_until(12.0)
    assert [a.seconds for a in many.actions if isinstance(a, SetIdleTimeout)] == [pytest.approx(0.6)]
    for n in range(1, 80):
        many.arrive(n)
    later = [a.seconds for a in many.run_until(13.5) if isinstance(a, SetIdleTimeout)]
    assert later and max(later) > 10.0


# ---- little evidence: hundreds of small servers, a thousand callers ----------------------------


def test_one_start_a_period_leaves_the_pairs_and_the_slots_at_rest() -> None:
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


def test_a_new_caller_with_every_request_is_served_and_leaves_nothing_behind() -> None:
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
    c = host.controller
    assert (
        not c.table.requests and not c.table.key_results and c.table.memory_kb == pytest.approx(0.0, abs=1e-6)
    )
    assert len(c.wheel.slots) <= 5 and all(len(p.counts) <= 500 for p in c.attempt_ages)


def test_a_burst_after_long_silence_is_held_and_shed_as_if_nothing_was_learned_wrong() -> None:
    host = ControllerHost()
    for n in range(1, 6):
        host.arrive(n)
        host.finish(n)
    learned = list(host.controller.run_times.run_seconds)
    host.run_until(600.0)
    assert host.controller.run_times.run_seconds == learned and host.controller.admission.pressure == 0.0
    for n in range(100, 130):
        host.arrive(n, priority_rank=0.99)
    assert (
        host.controller.table.counts[RequestState.RUNNING] == BASE.cores and host.controller.held_count() > 0
    )  # held, not refused by stale pressure
    host.run_until(600.2)
    assert host.controller.admission.pressure > 0


@pytest.mark.parametrize("share", [0.0, 1e-6, 0.3, 0.999, 1.0, 40.0])
def test_any_share_of_calls_lets_each_request_end(share: float) -> None:
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


def test_ended_requests_of_a_class_that_is_never_drawn_are_let_go() -> None:
    host = ControllerHost()
    for n in range(1, 400):
        host.arrive(n)
        if n > 2:  # the first two keep the cores
            host.send(RequestAbandoned(n))
        if n % 100 == 0:
            host.run_until(host.now + 0.05)
    assert sum(len(queue) for queue in host.controller.scheduler.queues.queues) > 200
    host.run_until(host.now + 0.5)
    assert sum(len(queue) for queue in host.controller.scheduler.queues.queues) < 100


def test_what_never_ran_does_not_pass_for_work_done() -> None:
    """Requests that the pool does not know must not hide cores on which nothing ends."""
    host = ControllerHost()
    for n in range(1, 300):
        host.arrive(n)
        host.finish(n, Outcome.NOT_STARTED)
    assert host.controller.scheduler.limiter.completions == 0


@pytest.mark.parametrize(
    ("outcome", "cut"),
    [
        (Outcome.REJECTED, True),
        (Outcome.TIMED_OUT, True),
        (Outcome.FAILED, True),
        (Outcome.BROKEN_OFF, False),
    ],
)
def test_only_signs_of_a_crowd_cut_the_calls(outcome: Outcome, cut: bool) -> None:
    """A link that broke must not keep the calls from a tier that serves."""
    host = ControllerHost(replace(CALLS, dependency=DependencyKind.TIER))
    host.arrive(1)
    host.send(CallRequested(1))
    host.send(CallFinished(1, outcome, 0.1))
    assert (host.controller.calls.limit < host.controller.calls.max_limit) is cut
