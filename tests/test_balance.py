"""The decision module, without any bench: the mechanism, the rules by example, each failure found."""

from __future__ import annotations

from dataclasses import replace
from pathlib import Path

import pytest

import saltcart.balance as balance
from saltcart import interface as i
from saltcart.balance import Climber, Controller, Pairs

LOW = i.ClassSpec("low", i.Effect.SAFE, 1.0, 4.0, 1.0)
TOP = i.ClassSpec("top", i.Effect.KEYED, 1.0, 4.0, 10.0, window=8.0)
BASE = i.Settings(
    classes=(LOW, TOP),
    cores=2,
    memory_kb=10_000.0,
    answer_slack=0.05,
    drain_grace=2.0,
    crowd_limit=5.0,
    crowd_span=1.0,
    entry_kb=10.0,
    run_factor=4.0,
    preemption=i.Preemption.DROP,
    signal=i.Signal.LEVEL,
    heard_for=1.0,
)


class Desk:
    """Feeds one controller and remembers what it said."""

    def __init__(self, settings: i.Settings = BASE, seed: int = 1) -> None:
        self.c, self.now, self.said = Controller(settings, seed), 10.0, list[i.Action]()
        self.wakes: list[float] = []
        self.send(i.Started())

    def send(self, event: i.Event) -> list[i.Action]:
        actions = self.c.handle(self.now, event)
        self.said += actions
        self.wakes += [a.at for a in actions if isinstance(a, i.Wake)]
        return actions

    def arrive(self, ident: int, klass: int = 0, standing: float = 0.99, **more: object) -> list[i.Action]:
        return self.send(i.Arrived(ident, klass, 10.0, standing, **more))  # type: ignore[arg-type]

    def until(self, then: float, busy: float = 1.0) -> list[i.Action]:
        before = len(self.said)
        while self.wakes and min(self.wakes) <= then:
            self.now = min(self.wakes)
            self.wakes.remove(self.now)
            self.send(i.Woken(0, busy))
        self.now = then
        return self.said[before:]

    def finish(self, ident: int, how: i.Outcome = i.Outcome.OK) -> list[i.Action]:
        return self.send(i.Finished(ident, how, 0.1))


def test_module_stays_readable() -> None:
    lines = Path(balance.__file__).read_text().splitlines()
    assert len([x for x in lines if x.strip()]) <= 500
    assert max(map(len, lines)) <= 110
    assert "saltcart/interface.py" in lines[0]


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
    assert i.Run(1) in desk.arrive(1)


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
    assert [a.id for a in desk.said if isinstance(a, i.Run)] == [1, 2]
    assert i.Run(3) in desk.finish(1)


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
            desk.arrive(n, patience=0.5 + n / 200)
            desk.finish(n)
            desk.now += 0.1
        late = [a for a in desk.said if isinstance(a, i.Run) and a.id > 30]
        assert len(late) >= served if served else len(late) < 30


def test_a_tenant_past_its_quota_spends_no_other_tenants_under_pressure() -> None:
    tenants = (i.TenantSpec("greedy", 2.0, 0.5), i.TenantSpec("modest", 2.0, 0.5))
    desk = Desk(replace(BASE, tenants=tenants, over_quota_worth=0.0))
    for n in range(1, 40):
        desk.arrive(n, tenant=0)
        desk.finish(n)
    desk.c.pressure = 0.5
    assert any(isinstance(a, i.TurnAway) for a in desk.arrive(50, tenant=0))
    assert i.Run(51) in desk.arrive(51, tenant=1)
    desk.send(i.Tenants((tenants[1], replace(tenants[0], quota=900.0))))  # the indexes are other ones now
    desk.now += 0.05
    assert not any(isinstance(a, i.TurnAway) for a in desk.arrive(52, tenant=1))


def test_what_the_process_before_still_runs_shares_cores_and_memory() -> None:
    """Two processes on the same cores and in the same memory: both at their own limit would break a rule."""
    desk = Desk()
    desk.send(i.Beside(on_core=1, memory_kb=0.0))
    assert i.Run(1) in desk.arrive(1) and i.Run(2) not in desk.arrive(2)  # one of the two cores is taken
    assert i.Run(2) in desk.send(i.Beside())
    desk.send(i.Beside(memory_kb=9_500.0))
    assert i.TurnAway(3, False, 0.0) in desk.arrive(3)
    assert desk.c.load() == i.Beside(2, 0, 80.0)  # as it tells the one after it


def test_cold_server_bears_a_smaller_crowd() -> None:
    climber = Climber(replace(BASE, cold=True, cold_from=0.25, cold_span=10.0))
    assert climber.ceiling(0.0) == pytest.approx(2 * 2.0)
    assert climber.ceiling(10.0) == pytest.approx(2 * 5.0)


def test_same_events_give_the_same_actions() -> None:
    def play() -> list[i.Action]:
        desk = Desk(seed=7)
        for n in range(1, 40):
            desk.arrive(n, n % 2)
            desk.until(10 + n * 0.01)
        return desk.said

    assert play() == play()


# ---- the rules -------------------------------------------------------------------------------


def test_hung_work_is_answered_before_its_due_time() -> None:
    desk = Desk(replace(BASE, preemption=i.Preemption.NONE, classes=(replace(LOW, late_worth=0.2), TOP)))
    desk.arrive(1)
    said = desk.until(15.0)
    assert i.Fail(1) in said and i.Stop(1) not in said


def test_due_time_counts_the_time_unread() -> None:
    desk = Desk(replace(BASE, preemption=i.Preemption.NONE))
    desk.arrive(1, unread_for=0.8)
    assert i.Fail(1) in desk.until(10 + 4.0 - 0.8 + 0.05)


def test_keyed_repeat_shares_and_a_failed_run_is_never_run_again() -> None:
    desk = Desk()
    assert i.Run(1) in desk.arrive(1, 1)
    assert i.Share(2) in desk.arrive(2, 1, repeat_of=1)
    desk.finish(1, i.Outcome.ERROR)
    desk.finish(2, i.Outcome.ERROR)
    assert desk.arrive(3, 1, repeat_of=1) == [i.Fail(3)]


def test_window_counts_from_reaching_the_server() -> None:
    keep = next(a for a in Desk().arrive(1, 1, unread_for=0.5) if isinstance(a, i.Keep))
    assert 7.5 <= keep.span <= 7.6


def test_running_keyed_work_is_failed_not_refused_at_the_end_of_a_drain() -> None:
    desk = Desk()
    desk.arrive(1, 1)
    desk.send(i.Leaving(0.6))
    said = desk.until(10.6)
    assert i.Fail(1) in said and not any(isinstance(a, i.TurnAway) for a in said)


def test_drain_serves_on_and_runs_nothing_that_arrives_after_the_grace() -> None:
    """Callers learn of it late: refusals at the notice would leave its work to others before they can."""
    desk = Desk(replace(BASE, max_stay_away=9.0))
    said = desk.send(i.Leaving(6.0))
    assert i.Health(False, True) in said and i.Advise(1.0) not in said
    assert i.Advise(1.0) not in desk.until(11.0)
    assert i.Run(1) in desk.arrive(1)
    assert i.Advise(1.0) in desk.until(11.6)  # before it takes nothing more, and callers forget it in 1 s
    desk.until(11.9)
    assert i.TurnAway(2, False, 1.0) in desk.arrive(2)


@pytest.mark.parametrize(
    ("cores", "crowd", "cold"), [(1, 1.0, False), (1, 1.2, False), (1, 2.0, True), (2, 1.0, True)]
)
def test_a_customer_whose_servers_survive_no_crowd_runs_one_request_a_core(
    cores: int, crowd: float, cold: bool
) -> None:
    desk = Desk(replace(BASE, cores=cores, crowd_limit=crowd, cold=cold, cold_from=0.24, cold_span=10.0))
    for n in range(4):
        desk.arrive(n)
    assert sum(isinstance(a, i.Run) for a in desk.said) == cores


def test_a_request_that_never_fits_the_memory_is_turned_away_and_holds_up_nobody() -> None:
    desk = Desk(replace(BASE, memory_kb=1000.0))
    big = desk.send(i.Arrived(1, 0, 400.0, 0.99))  # it could be held, and would need 1,600 KB to run
    assert [type(a) for a in big] == [i.TurnAway]
    assert i.Run(2) in desk.arrive(2)


def test_memory_bounds_the_hold() -> None:
    desk = Desk(replace(BASE, memory_kb=200.0))
    for n in range(1, 60):
        desk.arrive(n, 1)
        assert desk.c.memory <= 200.0
    assert any(isinstance(a, i.TurnAway) for a in desk.said)


CALLS = replace(
    BASE,
    below=i.Below.SHARED,
    call_share=1.3,
    call_linger=0.2,
    classes=(replace(LOW, calls_below=True, skip_worth=0.6), replace(TOP, calls_below=True)),
)


def test_calls_keep_to_the_share_and_skip_where_that_still_earns() -> None:
    desk = Desk(CALLS)
    desk.arrive(1, 1)
    desk.arrive(2, 0)
    assert any(isinstance(a, i.Call) for a in desk.send(i.AtCall(1)))
    assert i.SkipCall(2) not in desk.send(i.AtCall(2))  # the call before it may end soon
    assert i.SkipCall(2) in desk.until(10.2)


def test_a_call_is_repeated_only_on_proof() -> None:
    desk = Desk(CALLS)
    desk.arrive(1, 1)
    desk.send(i.AtCall(1))
    again = desk.send(i.CallEnded(1, i.Outcome.REJECTED, 0.01)) + desk.until(10.1)
    assert any(isinstance(a, i.Call) for a in again)
    assert i.Fail(1) in desk.send(i.CallEnded(1, i.Outcome.BROKEN, 0.01))


def test_request_at_a_call_leaves_its_slot() -> None:
    desk = Desk(CALLS)
    for n in (1, 2, 3):
        desk.arrive(n, 1)
    assert i.Run(3) in desk.send(i.AtCall(1))


@pytest.mark.parametrize(
    "odd",
    [
        {"classes": (replace(LOW, worth=0.0), replace(TOP, worth=0.0))},
        {"classes": (replace(LOW, aim=0.002, deadline=0.004),)},
        {"cores": 1, "signal": i.Signal.CREDIT, "callers": 0},
        {"below": i.Below.SHARED, "call_share": 0.0, "classes": (replace(LOW, calls_below=True), TOP)},
        {"tenants": (i.TenantSpec("t", 0.0, 0.0),), "goal": i.Goal(0.0)},
        {"cold": True, "cold_span": 0.0},
        {"entry_kb": 0.0, "run_factor": 1.0, "max_stay_away": 0.0, "heard_for": 0.0},
    ],
)
def test_odd_but_legal_settings_do_no_harm(odd: dict[str, object]) -> None:
    desk = Desk(replace(BASE, **odd))  # type: ignore[arg-type]
    for n in range(1, 30):
        desk.arrive(n, n % len(desk.c.s.classes))
        if n == 1 and desk.c.s.below is i.Below.SHARED:
            desk.send(i.AtCall(1))
            desk.send(i.CallEnded(1, i.Outcome.OK, 0.1))
        desk.until(10 + n * 0.1)
    desk.until(30.0)
    ends = {a.id for a in desk.said if isinstance(a, (i.TurnAway, i.Fail))}
    assert ends == set(range(1, 30))  # nothing ever completed here, so each one was answered


# ---- failures found --------------------------------------------------------------------------


def test_key_memory_is_given_back_when_an_unrun_key_is_released() -> None:
    desk = Desk()
    for n in (1, 2, 3):
        desk.arrive(n, 1)
    before = desk.c.memory
    desk.send(i.Abandoned(3))
    assert desk.c.memory == pytest.approx(before - 10.0 - 10.0)
    desk.until(30.0)
    assert desk.c.memory >= 0


def test_last_tries_with_more_patience_do_not_make_first_tries_look_old() -> None:
    desk = Desk()
    for n in range(1, 9):
        desk.arrive(n, patience=2.0)
        desk.finish(n)
    desk.arrive(20, patience=3.9)
    desk.finish(20)
    assert i.Run(21) in desk.arrive(21, patience=2.0)
    desk.finish(21)
    assert isinstance(desk.arrive(22, patience=0.9)[0], i.TurnAway)  # 1.1 s gone, past the aim


def test_a_few_first_try_patiences_are_told_apart_and_others_are_ages() -> None:
    desk = Desk()
    for n in range(1, 17):
        desk.arrive(n, patience=3.5 if n % 2 else 1.5, caller=n)
        desk.finish(n)
    assert i.Run(20) in desk.arrive(20, patience=1.5, caller=20)
    desk.finish(20)
    assert isinstance(desk.arrive(21, patience=1.8, caller=21)[0], i.TurnAway)  # 1.7 of 3.5 s are gone


def test_what_is_kept_of_patience_is_bounded_and_forgets() -> None:
    ages = balance.Patience(4.0)
    for n in range(3000):
        ages.age(4.0 * (n * 0.618 % 1))
    assert len(ages.tries) <= 260 and len(ages.firsts) <= 10
    for _ in range(600):
        first = ages.age(2.5)
    assert first < 0.02 and ages.age(2.0) == pytest.approx(0.5, abs=0.02)


def test_run_time_estimate_fades_instead_of_shutting_a_class_out() -> None:
    desk = Desk()
    desk.c.run_time[1] = 5.0
    desk.until(25.0)  # nothing asked for: as on a server that sees little, silence is no evidence
    assert desk.c.run_time[1] == 5.0
    assert isinstance(desk.arrive(1, 1)[0], i.TurnAway)
    assert any(i.Run(n) in desk.arrive(n, 1) for n in range(2, 70))


def test_old_tries_do_not_fade_the_estimate() -> None:
    desk = Desk()
    desk.c.run_time[0] = 0.4
    for n in range(1, 30):
        assert isinstance(desk.arrive(n, unread_for=1.2)[0], i.TurnAway)
    assert desk.c.run_time[0] == 0.4


def test_unread_time_raises_advice_though_the_hold_is_empty() -> None:
    desk = Desk()
    for n in range(1, 40):
        desk.arrive(n, unread_for=0.5)
        desk.finish(n)
        desk.until(10 + n * 0.05)
    raised = desk.c.said
    assert raised > 0.2
    desk.until(20.0)
    assert desk.c.said < raised / 4


def test_pressure_sheds_by_standing_and_spares_the_worthy_class() -> None:
    desk = Desk()
    desk.c.low, desk.c.pressure = 1, 0.5
    assert isinstance(desk.arrive(1, 0, standing=0.1)[0], i.TurnAway)
    assert i.Run(2) in desk.arrive(2, 0, standing=0.4)
    assert i.Run(3) in desk.arrive(3, 1, standing=0.55)


def test_a_share_below_one_call_is_kept_as_a_mean() -> None:
    long = replace(TOP, calls_below=True, aim=20.0, deadline=40.0)
    desk = Desk(replace(CALLS, call_share=0.5, classes=(LOW, long)))
    for n in range(1, 9):
        desk.arrive(n, 1)
    waiting, out, busy = set[int](), None, 0.0
    for step in range(4000):
        desk.now += 0.001
        busy += out is not None
        said = desk.until(desk.now)
        for run in [a for a in desk.said if isinstance(a, i.Run) and a.id not in waiting]:
            waiting.add(run.id)
            said += desk.send(i.AtCall(run.id))
        if out is not None and step - out[1] >= 20:
            said += desk.send(i.CallEnded(out[0], i.Outcome.OK, 0.02)) + desk.send(i.AtCall(out[0]))
            out = None
        for a in said:
            if isinstance(a, i.Call):
                assert out is None
                out = (a.id, step)
    assert 0.1 < busy / 4000 < 0.42  # the dependency dies at the sum of the shares


def test_idle_connections_are_closed_early_only_under_many_callers_and_low_pressure() -> None:
    few = Desk(replace(BASE, idle=30.0, callers=10))
    few.until(12.0)
    assert not any(isinstance(a, i.IdleClose) for a in few.said)
    many = Desk(replace(BASE, idle=30.0, callers=1000))
    many.until(12.0)
    assert [a.after for a in many.said if isinstance(a, i.IdleClose)] == [pytest.approx(0.6)]
    for n in range(1, 80):
        many.arrive(n)
    later = [a.after for a in many.until(13.5) if isinstance(a, i.IdleClose)]
    assert later and max(later) > 10.0


# ---- little evidence: hundreds of small servers, a thousand callers ----------------------------


def test_one_start_a_period_leaves_the_pairs_and_the_slots_at_rest() -> None:
    desk = Desk()
    for n in range(1, 40):
        desk.until(10 + n * desk.c.period)
        desk.arrive(n, n % 2)
        desk.finish(n)
    assert desk.c.pairs.x == [1.0] and desk.c.climber.slots == BASE.cores
    assert not any(isinstance(a, i.TurnAway) for a in desk.said)


def test_a_new_caller_with_every_request_is_served_and_leaves_nothing_behind() -> None:
    desk = Desk(replace(BASE, callers=1000, idle=30.0, classes=(LOW, replace(TOP, window=0.5))))
    for n in range(1, 2000):
        desk.until(10 + n * 0.05)
        assert i.Run(n) in desk.arrive(n, n % 2, patience=3.0, caller=n)
        desk.finish(n)
    desk.until(120.0)
    c = desk.c
    assert not c.live and not c.kept and c.memory == pytest.approx(0.0, abs=1e-6)
    assert len(c.wheel) <= 5 and all(len(p.tries) <= 500 for p in c.patience)


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
    desk = Desk(replace(CALLS, call_share=share, callers=1200))
    for n in range(1, 20):
        desk.arrive(n, n % 2, caller=10**9 + n, cost=0.0, tenant=7)
        for run in [a for a in desk.said if isinstance(a, i.Run) and a.id == n]:
            desk.send(i.AtCall(run.id))
        for a in [a for a in desk.said if isinstance(a, i.Call) and a.id in desk.c.live]:
            desk.send(i.CallEnded(a.id, i.Outcome.OK, 0.05))
        desk.until(10 + n * 0.2)
    desk.until(30.0)
    answered = {a.id for a in desk.said if isinstance(a, (i.TurnAway, i.Fail))}
    assert answered == set(range(1, 20))


def test_ended_requests_of_a_class_that_is_never_drawn_are_let_go() -> None:
    desk = Desk()
    for n in range(1, 400):
        desk.arrive(n)
        if n > 2:  # the first two keep the cores
            desk.send(i.Abandoned(n))
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
        desk.finish(n, i.Outcome.MOOT)
    assert desk.c.climber.done == 0


@pytest.mark.parametrize(
    ("outcome", "cut"),
    [
        (i.Outcome.REJECTED, True),
        (i.Outcome.TIMEOUT, True),
        (i.Outcome.ERROR, True),
        (i.Outcome.BROKEN, False),
    ],
)
def test_only_signs_of_a_crowd_cut_the_calls(outcome: i.Outcome, cut: bool) -> None:
    """A link that broke must not keep the calls from a tier that serves."""
    desk = Desk(replace(CALLS, below=i.Below.TIER))
    desk.arrive(1)
    desk.send(i.AtCall(1))
    desk.send(i.CallEnded(1, outcome, 0.1))
    assert (desk.c.call_cap < desk.c.call_top) is cut
