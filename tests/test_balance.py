"""The decision module, without any bench: the mechanism, the rules by example, each failure found."""

from __future__ import annotations

from dataclasses import replace
from pathlib import Path

import pytest

import saltcart.balance as balance
from saltcart.balance import Climber, Controller, Pairs
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
)
from saltcart.decision.outcome import Outcome
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
    max_running_span=1.0,
    key_entry_kb=10.0,
    run_memory_factor=4.0,
    preemption=Preemption.DROP,
    signal=LoadSignal.LEVEL,
    signal_lifetime=1.0,
)


class Desk:
    """Feeds one controller and remembers what it said."""

    def __init__(self, settings: Settings = BASE, seed: int = 1) -> None:
        self.c, self.now, self.said = Controller(settings, seed), 10.0, list[Action]()
        self.wakes: list[float] = []
        self.send(Started())

    def send(self, event: Event) -> list[Action]:
        actions = self.c.handle(self.now, event)
        self.said += actions
        self.wakes += [a.at for a in actions if isinstance(a, SetTimer)]
        return actions

    def arrive(self, ident: int, klass: int = 0, standing: float = 0.99, **more: object) -> list[Action]:
        return self.send(RequestArrived(ident, klass, 10.0, standing, **more))  # type: ignore[arg-type]

    def until(self, then: float, busy: float = 1.0) -> list[Action]:
        before = len(self.said)
        while self.wakes and min(self.wakes) <= then:
            self.now = min(self.wakes)
            self.wakes.remove(self.now)
            self.send(TimerFired(0, busy))
        self.now = then
        return self.said[before:]

    def finish(self, ident: int, how: Outcome = Outcome.SUCCEEDED) -> list[Action]:
        return self.send(RunFinished(ident, how, 0.1))


def test_module_stays_readable() -> None:
    lines = Path(balance.__file__).read_text().splitlines()
    assert len([x for x in lines if x.strip()]) <= 500
    assert max(map(len, lines)) <= 110
    assert "saltcart/decision" in lines[0]


# ---- the mechanism ---------------------------------------------------------------------------


def test_pi_increment_follows_the_paper() -> None:
    pairs = Pairs([0.5])
    pairs.update([0.3, 1.0])  # e = 0.2
    assert pairs.x[0] == pytest.approx(1 + 0.42 * 0.2)
    pairs.update([0.6, 1.0])  # e = -0.1
    assert pairs.x[0] == pytest.approx(1.084 - 0.042 - 0.02)
    assert pairs.share[1] / pairs.share[0] == pytest.approx(pairs.x[0])


def test_periods_without_evidence_are_skipped_and_x_stays_positive() -> None:
    pairs = Pairs([0.5, 1.0])
    pairs.update([0.0, 1.0, 1.0])
    assert pairs.x[0] == 1.0 and pairs.x[1] == 1.0  # no wait in the first pair, no error in the second
    for _ in range(100):
        pairs.update([9.0, 1.0, 1.0])
    assert 0 < pairs.x[0] <= 1 / 50


def test_one_class_has_no_pair() -> None:
    desk = Desk(replace(BASE, classes=(LOW,)))
    assert StartRun(1) in desk.arrive(1)


def test_draw_frequencies_follow_the_shares_and_an_empty_queue_yields() -> None:
    desk = Desk()
    desk.c.pairs.share = [1.0, 0.25]  # the worthier class first
    desk.c.held = [5, 5]
    drawn = [desk.c.draw() for _ in range(4000)]
    assert drawn.count(1) / 4000 == pytest.approx(0.8, abs=0.03)
    desk.c.held = [5, 0]
    assert desk.c.draw() == 0


def test_slots_start_at_the_cores_and_the_rest_waits_in_order() -> None:
    desk = Desk()
    for n in range(1, 6):
        desk.arrive(n)
    assert [a.id for a in desk.said if isinstance(a, StartRun)] == [1, 2]
    assert StartRun(3) in desk.finish(1)


def test_slots_grow_fast_while_cores_idle_and_fall_back_without_proof() -> None:
    climber = Climber(BASE)
    for n in range(3):
        climber.sweep(1 + n * 0.3, 99.0, 0.4, 5, 9.0)
        climber.sweep(1 + n * 0.3 + 0.1, 99.0, 0.4, 5, 9.0)  # the gauge has not moved yet
    assert climber.slots == 5
    climber.since = 1.0
    for n in range(2, 8):
        climber.done = 10
        climber.sweep(float(n), 99.0, 1.0, 5, 1.0)
    assert climber.slots == 2
    climber.done = 40  # a rise far beyond counting noise
    climber.sweep(9.0, 99.0, 1.0, 5, 1.0)
    assert climber.slots == 3


def test_a_call_is_not_taken_for_an_old_try() -> None:
    # Calls carry what their caller's aim has left; from no two alike, an age of nearly the deadline was read.
    for tier, served in ((1, 30), (0, 0)):
        desk = Desk(replace(BASE, tier=tier))
        for n in range(1, 61):
            desk.arrive(n, time_to_deadline=0.5 + n / 200)
            desk.finish(n)
            desk.now += 0.1
        late = [a for a in desk.said if isinstance(a, StartRun) and a.id > 30]
        assert len(late) >= served if served else len(late) < 30


def test_a_tenant_past_its_quota_spends_no_other_tenants_under_pressure() -> None:
    tenants = (TenantSpec("greedy", 2.0, 0.5), TenantSpec("modest", 2.0, 0.5))
    desk = Desk(replace(BASE, tenants=tenants, over_quota_weight_share=0.0))
    for n in range(1, 40):
        desk.arrive(n, tenant_index=0)
        desk.finish(n)
    desk.c.pressure = 0.5
    assert any(isinstance(a, Reject) for a in desk.arrive(50, tenant_index=0))
    assert StartRun(51) in desk.arrive(51, tenant_index=1)
    desk.send(
        TenantsChanged((tenants[1], replace(tenants[0], quota=900.0)))
    )  # the indexes are other ones now
    desk.now += 0.05
    assert not any(isinstance(a, Reject) for a in desk.arrive(52, tenant_index=1))


def test_what_the_process_before_still_runs_shares_cores_and_memory() -> None:
    """Two processes on the same cores and in the same memory: both at their own limit would break a rule."""
    desk = Desk()
    desk.send(PredecessorLoad(running=1, memory_kb=0.0))
    assert StartRun(1) in desk.arrive(1) and StartRun(2) not in desk.arrive(
        2
    )  # one of the two cores is taken
    assert StartRun(2) in desk.send(PredecessorLoad())
    desk.send(PredecessorLoad(memory_kb=9_500.0))
    assert Reject(3, False, 0.0) in desk.arrive(3)
    assert desk.c.load() == PredecessorLoad(2, 0, 80.0)  # as it tells the one after it


def test_cold_server_bears_a_smaller_crowd() -> None:
    climber = Climber(replace(BASE, starts_cold=True, cold_speed_share=0.25, warm_up_seconds=10.0))
    assert climber.ceiling(0.0) == pytest.approx(2 * 2.0)
    assert climber.ceiling(10.0) == pytest.approx(2 * 5.0)


def test_same_events_give_the_same_actions() -> None:
    def play() -> list[Action]:
        desk = Desk(seed=7)
        for n in range(1, 40):
            desk.arrive(n, n % 2)
            desk.until(10 + n * 0.01)
        return desk.said

    assert play() == play()


# ---- the rules -------------------------------------------------------------------------------


def test_hung_work_is_answered_before_its_due_time() -> None:
    desk = Desk(replace(BASE, preemption=Preemption.NONE, classes=(replace(LOW, late_weight_share=0.2), TOP)))
    desk.arrive(1)
    said = desk.until(15.0)
    assert FailRequest(1) in said and StopRun(1) not in said


def test_due_time_counts_the_time_unread() -> None:
    desk = Desk(replace(BASE, preemption=Preemption.NONE))
    desk.arrive(1, unread_seconds=0.8)
    assert FailRequest(1) in desk.until(10 + 4.0 - 0.8 + 0.05)


def test_keyed_repeat_shares_and_a_failed_run_is_never_run_again() -> None:
    desk = Desk()
    assert StartRun(1) in desk.arrive(1, 1)
    assert JoinAttempt(2) in desk.arrive(2, 1, repeat_of=1)
    desk.finish(1, Outcome.FAILED)
    desk.finish(2, Outcome.FAILED)
    assert desk.arrive(3, 1, repeat_of=1) == [FailRequest(3)]


def test_window_counts_from_reaching_the_server() -> None:
    keep = next(a for a in Desk().arrive(1, 1, unread_seconds=0.5) if isinstance(a, ReserveKey))
    assert 7.5 <= keep.seconds <= 7.6


def test_running_keyed_work_is_failed_not_refused_at_the_end_of_a_drain() -> None:
    desk = Desk()
    desk.arrive(1, 1)
    desk.send(DrainStarted(0.6))
    said = desk.until(10.6)
    assert FailRequest(1) in said and not any(isinstance(a, Reject) for a in said)


def test_drain_serves_on_and_runs_nothing_that_arrives_after_the_grace() -> None:
    """Callers learn of it late: refusals at the notice would leave its work to others before they can."""
    desk = Desk(replace(BASE, max_retry_after=9.0))
    said = desk.send(DrainStarted(6.0))
    assert SetHealth(False, True) in said and AdvertiseLevel(1.0) not in said
    assert AdvertiseLevel(1.0) not in desk.until(11.0)
    assert StartRun(1) in desk.arrive(1)
    assert AdvertiseLevel(1.0) in desk.until(
        11.6
    )  # before it takes nothing more, and callers forget it in 1 s
    desk.until(11.9)
    assert Reject(2, False, 1.0) in desk.arrive(2)


@pytest.mark.parametrize(
    ("cores", "crowd", "cold"), [(1, 1.0, False), (1, 1.2, False), (1, 2.0, True), (2, 1.0, True)]
)
def test_a_customer_whose_servers_survive_no_crowd_runs_one_request_a_core(
    cores: int, crowd: float, cold: bool
) -> None:
    desk = Desk(
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
        desk.arrive(n)
    assert sum(isinstance(a, StartRun) for a in desk.said) == cores


def test_a_request_that_never_fits_the_memory_is_turned_away_and_holds_up_nobody() -> None:
    desk = Desk(replace(BASE, memory_kb=1000.0))
    big = desk.send(RequestArrived(1, 0, 400.0, 0.99))  # it could be held, and would need 1,600 KB to run
    assert [type(a) for a in big] == [Reject]
    assert StartRun(2) in desk.arrive(2)


def test_memory_bounds_the_hold() -> None:
    desk = Desk(replace(BASE, memory_kb=200.0))
    for n in range(1, 60):
        desk.arrive(n, 1)
        assert desk.c.memory <= 200.0
    assert any(isinstance(a, Reject) for a in desk.said)


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
    desk = Desk(CALLS)
    desk.arrive(1, 1)
    desk.arrive(2, 0)
    assert any(isinstance(a, StartCall) for a in desk.send(CallRequested(1)))
    assert SkipCall(2) not in desk.send(CallRequested(2))  # the call before it may end soon
    assert SkipCall(2) in desk.until(10.2)


def test_a_call_is_repeated_only_on_proof() -> None:
    desk = Desk(CALLS)
    desk.arrive(1, 1)
    desk.send(CallRequested(1))
    again = desk.send(CallFinished(1, Outcome.REJECTED, 0.01)) + desk.until(10.1)
    assert any(isinstance(a, StartCall) for a in again)
    assert FailRequest(1) in desk.send(CallFinished(1, Outcome.BROKEN_OFF, 0.01))


def test_request_at_a_call_leaves_its_slot() -> None:
    desk = Desk(CALLS)
    for n in (1, 2, 3):
        desk.arrive(n, 1)
    assert StartRun(3) in desk.send(CallRequested(1))


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
    desk = Desk(replace(BASE, **odd))  # type: ignore[arg-type]
    for n in range(1, 30):
        desk.arrive(n, n % len(desk.c.s.classes))
        if n == 1 and desk.c.s.dependency is DependencyKind.SHARED:
            desk.send(CallRequested(1))
            desk.send(CallFinished(1, Outcome.SUCCEEDED, 0.1))
        desk.until(10 + n * 0.1)
    desk.until(30.0)
    ends = {a.id for a in desk.said if isinstance(a, (Reject, FailRequest))}
    assert ends == set(range(1, 30))  # nothing ever completed here, so each one was answered


# ---- failures found --------------------------------------------------------------------------


def test_key_memory_is_given_back_when_an_unrun_key_is_released() -> None:
    desk = Desk()
    for n in (1, 2, 3):
        desk.arrive(n, 1)
    before = desk.c.memory
    desk.send(RequestAbandoned(3))
    assert desk.c.memory == pytest.approx(before - 10.0 - 10.0)
    desk.until(30.0)
    assert desk.c.memory >= 0


def test_last_tries_with_more_patience_do_not_make_first_tries_look_old() -> None:
    desk = Desk()
    for n in range(1, 9):
        desk.arrive(n, time_to_deadline=2.0)
        desk.finish(n)
    desk.arrive(20, time_to_deadline=3.9)
    desk.finish(20)
    assert StartRun(21) in desk.arrive(21, time_to_deadline=2.0)
    desk.finish(21)
    assert isinstance(desk.arrive(22, time_to_deadline=0.9)[0], Reject)  # 1.1 s gone, past the aim


def test_a_few_first_try_patiences_are_told_apart_and_others_are_ages() -> None:
    desk = Desk()
    for n in range(1, 17):
        desk.arrive(n, time_to_deadline=3.5 if n % 2 else 1.5, balancer=n)
        desk.finish(n)
    assert StartRun(20) in desk.arrive(20, time_to_deadline=1.5, balancer=20)
    desk.finish(20)
    # 1.7 of 3.5 s are gone
    assert isinstance(desk.arrive(21, time_to_deadline=1.8, balancer=21)[0], Reject)


def test_what_is_kept_of_patience_is_bounded_and_forgets() -> None:
    ages = AttemptAgeEstimator(4.0)
    for n in range(3000):
        ages.age(4.0 * (n * 0.618 % 1))
    assert len(ages.counts) <= 260 and len(ages.first_marks) <= 10
    for _ in range(600):
        first = ages.age(2.5)
    assert first < 0.02 and ages.age(2.0) == pytest.approx(0.5, abs=0.02)


def test_run_time_estimate_fades_instead_of_shutting_a_class_out() -> None:
    desk = Desk()
    desk.c.run_time[1] = 5.0
    desk.until(25.0)  # nothing asked for: as on a server that sees little, silence is no evidence
    assert desk.c.run_time[1] == 5.0
    assert isinstance(desk.arrive(1, 1)[0], Reject)
    assert any(StartRun(n) in desk.arrive(n, 1) for n in range(2, 70))


def test_old_tries_do_not_fade_the_estimate() -> None:
    desk = Desk()
    desk.c.run_time[0] = 0.4
    for n in range(1, 30):
        assert isinstance(desk.arrive(n, unread_seconds=1.2)[0], Reject)
    assert desk.c.run_time[0] == 0.4


def test_unread_time_raises_advice_though_the_hold_is_empty() -> None:
    desk = Desk()
    for n in range(1, 40):
        desk.arrive(n, unread_seconds=0.5)
        desk.finish(n)
        desk.until(10 + n * 0.05)
    raised = desk.c.said
    assert raised > 0.2
    desk.until(20.0)
    assert desk.c.said < raised / 4


def test_pressure_sheds_by_standing_and_spares_the_worthy_class() -> None:
    desk = Desk()
    desk.c.low, desk.c.pressure = 1, 0.5
    assert isinstance(desk.arrive(1, 0, standing=0.1)[0], Reject)
    assert StartRun(2) in desk.arrive(2, 0, standing=0.4)
    assert StartRun(3) in desk.arrive(3, 1, standing=0.55)


def test_a_share_below_one_call_is_kept_as_a_mean() -> None:
    long = replace(TOP, calls_dependency=True, latency_objective=20.0, deadline=40.0)
    desk = Desk(replace(CALLS, dependency_call_share=0.5, classes=(LOW, long)))
    for n in range(1, 9):
        desk.arrive(n, 1)
    waiting, out, busy = set[int](), None, 0.0
    for step in range(4000):
        desk.now += 0.001
        busy += out is not None
        said = desk.until(desk.now)
        for run in [a for a in desk.said if isinstance(a, StartRun) and a.id not in waiting]:
            waiting.add(run.id)
            said += desk.send(CallRequested(run.id))
        if out is not None and step - out[1] >= 20:
            said += desk.send(CallFinished(out[0], Outcome.SUCCEEDED, 0.02)) + desk.send(
                CallRequested(out[0])
            )
            out = None
        for a in said:
            if isinstance(a, StartCall):
                assert out is None
                out = (a.id, step)
    assert 0.1 < busy / 4000 < 0.42  # the dependency dies at the sum of the shares


def test_idle_connections_are_closed_early_only_under_many_callers_and_low_pressure() -> None:
    few = Desk(replace(BASE, client_idle_timeout=30.0, client_count=10))
    few.until(12.0)
    assert not any(isinstance(a, SetIdleTimeout) for a in few.said)
    many = Desk(replace(BASE, client_idle_timeout=30.0, client_count=1000))
    many.until(12.0)
    assert [a.seconds for a in many.said if isinstance(a, SetIdleTimeout)] == [pytest.approx(0.6)]
    for n in range(1, 80):
        many.arrive(n)
    later = [a.seconds for a in many.until(13.5) if isinstance(a, SetIdleTimeout)]
    assert later and max(later) > 10.0


# ---- little evidence: hundreds of small servers, a thousand callers ----------------------------


def test_one_start_a_period_leaves_the_pairs_and_the_slots_at_rest() -> None:
    desk = Desk()
    for n in range(1, 40):
        desk.until(10 + n * desk.c.period)
        desk.arrive(n, n % 2)
        desk.finish(n)
    assert desk.c.pairs.x == [1.0] and desk.c.climber.slots == BASE.cores
    assert not any(isinstance(a, Reject) for a in desk.said)


def test_a_new_caller_with_every_request_is_served_and_leaves_nothing_behind() -> None:
    desk = Desk(
        replace(
            BASE, client_count=1000, client_idle_timeout=30.0, classes=(LOW, replace(TOP, key_window=0.5))
        )
    )
    for n in range(1, 2000):
        desk.until(10 + n * 0.05)
        assert StartRun(n) in desk.arrive(n, n % 2, time_to_deadline=3.0, balancer=n)
        desk.finish(n)
    desk.until(120.0)
    c = desk.c
    assert not c.live and not c.kept and c.memory == pytest.approx(0.0, abs=1e-6)
    assert len(c.wheel) <= 5 and all(len(p.counts) <= 500 for p in c.patience)


def test_a_burst_after_long_silence_is_held_and_shed_as_if_nothing_was_learned_wrong() -> None:
    desk = Desk()
    for n in range(1, 6):
        desk.arrive(n)
        desk.finish(n)
    learned = list(desk.c.run_time)
    desk.until(600.0)
    assert desk.c.run_time == learned and desk.c.pressure == 0.0
    for n in range(100, 130):
        desk.arrive(n, standing=0.99)
    assert desk.c.count[1] == BASE.cores and desk.c.count[0] > 0  # held, not refused by stale pressure
    desk.until(600.2)
    assert desk.c.pressure > 0


@pytest.mark.parametrize("share", [0.0, 1e-6, 0.3, 0.999, 1.0, 40.0])
def test_any_share_of_calls_lets_each_request_end(share: float) -> None:
    desk = Desk(replace(CALLS, dependency_call_share=share, client_count=1200))
    for n in range(1, 20):
        desk.arrive(n, n % 2, balancer=10**9 + n, cost_hint=0.0, tenant_index=7)
        for run in [a for a in desk.said if isinstance(a, StartRun) and a.id == n]:
            desk.send(CallRequested(run.id))
        for a in [a for a in desk.said if isinstance(a, StartCall) and a.id in desk.c.live]:
            desk.send(CallFinished(a.id, Outcome.SUCCEEDED, 0.05))
        desk.until(10 + n * 0.2)
    desk.until(30.0)
    answered = {a.id for a in desk.said if isinstance(a, (Reject, FailRequest))}
    assert answered == set(range(1, 20))


def test_ended_requests_of_a_class_that_is_never_drawn_are_let_go() -> None:
    desk = Desk()
    for n in range(1, 400):
        desk.arrive(n)
        if n > 2:  # the first two keep the cores
            desk.send(RequestAbandoned(n))
        if n % 100 == 0:
            desk.until(desk.now + 0.05)
    assert sum(len(queue) for queue in desk.c.queues) > 200
    desk.until(desk.now + 0.5)
    assert sum(len(queue) for queue in desk.c.queues) < 100


def test_what_never_ran_does_not_pass_for_work_done() -> None:
    """Requests that the pool does not know must not hide cores on which nothing ends."""
    desk = Desk()
    for n in range(1, 300):
        desk.arrive(n)
        desk.finish(n, Outcome.NOT_STARTED)
    assert desk.c.climber.done == 0


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
    desk = Desk(replace(CALLS, dependency=DependencyKind.TIER))
    desk.arrive(1)
    desk.send(CallRequested(1))
    desk.send(CallFinished(1, outcome, 0.1))
    assert (desk.c.call_cap < desk.c.call_top) is cut
