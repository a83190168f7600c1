"""Experiment: subsets of upstreams in a model of many instances, as the fleet changes.

The policies: ``kept`` is that of the service, an assignment table that changes as little as possible.
``random`` draws a subset for each instance, ``rounds`` is the published deterministic subsetting by shuffled
rounds over the sorted names, ``rendezvous`` takes the lowest digests of each pair, and ``all`` connects each
instance to all upstreams.
"""

from __future__ import annotations

import random
import time
from collections import Counter
from collections.abc import Callable
from concurrent.futures import ProcessPoolExecutor
from typing import Any, NamedTuple

from saltcart.lab.faults import subsets as rig
from saltcart.subsetting.shared_rate_limit import SharedRateLimit
from saltcart.subsetting.staggering import StaggeredBackoff, next_staggered_time
from saltcart.subsetting.subset_assignment import digest, next_assignment

SUBSET = 25  # members of an instance in the large fleets: with fewer, classes differ more in demand
Subsets = dict[str, frozenset[str]]  # by instance: its upstreams


class FleetState(NamedTuple):
    """The instances and the upstreams at one time."""

    instances: tuple[str, ...]
    upstreams: tuple[str, ...]


class SubsetPolicy:
    """A policy that assigns upstreams to instances; ``links`` is called after each change of the fleet."""

    def __init__(self, classes: int, seed: int) -> None:
        self.classes, self.seed = classes, seed

    def links(self, state: FleetState) -> Subsets:
        """Return the subset of each instance."""
        raise NotImplementedError

    def size(self, state: FleetState) -> int:
        """Return the number of upstreams of a subset."""
        return max(1, round(len(state.upstreams) / self.classes))


class AssignmentTablePolicy(SubsetPolicy):
    """The service's policy: tables of instances and upstreams that change as little as possible."""

    def __init__(self, classes: int, seed: int) -> None:
        super().__init__(classes, seed)
        self.upstreams: dict[str, int] = {}
        self.instances: dict[str, int] = {}

    def links(self, state: FleetState) -> Subsets:
        """Update the tables, and return the subset of each instance."""
        self.upstreams = next_assignment(self.upstreams, state.upstreams, self.classes)
        self.instances = next_assignment(self.instances, state.instances, self.classes)
        parts = [frozenset(u for u, c in self.upstreams.items() if c == n) for n in range(self.classes)]
        return {i: parts[c] for i, c in self.instances.items()}


class RandomPolicy(SubsetPolicy):
    """Each instance draws a subset by its own name."""

    def links(self, state: FleetState) -> Subsets:
        """Return the subset of each instance."""
        size, out = self.size(state), {}
        for name in state.instances:
            rng = random.Random(f"{self.seed} {name}")  # the same for a name as long as the list is the same
            out[name] = frozenset(rng.sample(state.upstreams, min(size, len(state.upstreams))))
        return out


class ShuffledRoundsPolicy(SubsetPolicy):
    """An instance's position among the sorted names gives the round and the part of its shuffled list."""

    def links(self, state: FleetState) -> Subsets:
        """Return the subset of each instance."""
        size, ups, out = self.size(state), sorted(state.upstreams), {}
        parts = max(1, len(ups) // size)
        shuffled: dict[int, list[str]] = {}
        for number, name in enumerate(sorted(state.instances)):
            turn = number // parts
            if turn not in shuffled:
                shuffled[turn] = list(ups)
                random.Random(turn).shuffle(shuffled[turn])
            at = number % parts * size
            out[name] = frozenset(shuffled[turn][at : at + size])
        return out


class RendezvousPolicy(SubsetPolicy):
    """Each instance takes the upstreams with the lowest digests of the pair of names."""

    def links(self, state: FleetState) -> Subsets:
        """Return the subset of each instance."""
        size, salts = self.size(state), {u: digest(u) for u in state.upstreams}
        return {
            i: frozenset(sorted(state.upstreams, key=lambda u: digest(i, salts[u]))[:size])
            for i in state.instances
        }


class FullMeshPolicy(SubsetPolicy):
    """Each instance connects to all upstreams."""

    def links(self, state: FleetState) -> Subsets:
        """Return the subset of each instance."""
        return dict.fromkeys(state.instances, frozenset(state.upstreams))


POLICIES: dict[str, Callable[[int, int], SubsetPolicy]] = {
    "kept": AssignmentTablePolicy,
    "random": RandomPolicy,
    "rounds": ShuffledRoundsPolicy,
    "rendezvous": RendezvousPolicy,
    "all": FullMeshPolicy,
}


def count_clients(links: Subsets, state: FleetState) -> Counter[str]:
    """Return the number of instances connected to each upstream."""
    out = Counter[str](dict.fromkeys(state.upstreams, 0))
    for ups in links.values():
        out.update(ups)
    return out


def least_moves(before: FleetState, after: FleetState, links: Subsets, way: SubsetPolicy) -> float:
    """The fewest connections that any way must make anew so that all have subsets of the same size.

    Each instance that came needs a subset; each upstream that came needs as many clients as the others; each
    connection to an upstream that went has to go elsewhere, for the part that others' subsets make up for.
    """
    new, gone = set(after.instances) - set(before.instances), set(before.upstreams) - set(after.upstreams)
    came = len(set(after.upstreams) - set(before.upstreams))
    kept = [i for i in after.instances if i not in new]
    mean = len(kept) * way.size(after) / max(1, len(after.upstreams))
    lost = sum(len(links.get(i, frozenset()) & gone) for i in kept)
    shrunk = len(kept) * max(0, way.size(before) - way.size(after))  # subsets that are smaller now
    return len(new) * way.size(after) + came * mean + max(0, lost - shrunk)


def scenarios(quick: bool, rng: random.Random) -> list[tuple[str, list[FleetState]]]:
    """The days: each a list of states, one after the other."""
    small = tuple(f"u{n}" for n in range(40))
    grow = [tuple(f"i{rng.getrandbits(40):010x}" for _ in range(200))]
    up = [FleetState(grow[0][:n], small) for n in range(10, 201, 5 if quick else 1)]
    count, ups = (400, 120) if quick else (2_000, 500)
    many = tuple(f"i{rng.getrandbits(40):010x}" for _ in range(count))
    wide = tuple(f"u{rng.getrandbits(40):010x}" for _ in range(ups))
    whole = FleetState(many, wide)
    single = [whole]
    single += [FleetState(many, wide[n + 1 :]) for n in range(6)]
    single += [FleetState(many, wide[n:]) for n in range(5, -1, -1)]
    third = [whole, FleetState(many, wide[ups // 3 :]), whole]
    restarted = many[: count // 2] + tuple(f"r{rng.getrandbits(40):010x}" for _ in range(count // 2))
    restart = [whole, FleetState(many[: count // 2], wide), FleetState(restarted, wide)]
    return [
        ("grow and shrink", up + up[-2::-1]),
        ("upstreams one by one", single),
        ("a third of upstreams", third),
        ("half restart", restart),
    ]


def measure_scenario(way: SubsetPolicy, states: list[FleetState]) -> tuple[float, float, float]:
    """Worst spread and churn over the changes, and milliseconds for the slowest of them."""
    spread, slowest = 1.0, 0.0
    moved = least = 0.0
    before, links = states[0], way.links(states[0])
    for n, state in enumerate(states):
        begun = time.process_time()
        now = way.links(state)
        slowest = max(slowest, time.process_time() - begun)
        counts = count_clients(now, state)
        spread = max(spread, max(counts.values()) / max(1e-9, min(counts.values())))
        if n:
            moved += sum(len(ups - links.get(i, frozenset())) for i, ups in now.items())
            least += least_moves(before, state, links, way)
        before, links = state, now
    return spread, moved / max(1.0, least), 1000 * slowest


def loads(links: Subsets, state: FleetState, seed: int, choice: str, slow: bool = False) -> float:
    """The busiest upstream over the mean, by requests of instances whose demand differs.

    ``choice``: ``two`` takes the less loaded of two by the load that all share, as it was a little before;
    ``any`` takes one of the subset.  ``slow``: one upstream takes twice as long, and is as busy with half.
    """
    rng = random.Random(seed)
    ups = {i: sorted(links[i]) for i in state.instances}
    weights = [rng.lognormvariate(0.0, 0.5) for _ in state.instances]
    busy, seen = dict.fromkeys(state.upstreams, 0.0), dict.fromkeys(state.upstreams, 0.0)
    cost = dict.fromkeys(state.upstreams, 1.0)
    if slow:
        cost[state.upstreams[0]] = 2.0
    for n, i in enumerate(rng.choices(state.instances, weights, k=300 * len(state.upstreams))):
        if n % len(state.instances) == 0:
            seen = dict(busy)  # what the last report told
        one = rng.choice(ups[i])
        if choice == "two":
            other = rng.choice(ups[i])
            one = min(one, other, key=seen.__getitem__)
        busy[one] += cost[one]
    return max(busy.values()) / (sum(busy.values()) / len(busy))


def measure_shared_limit(quick: bool, seed: int, shared: bool) -> tuple[float, float]:
    """How far what all send to a shared limit goes over it, in the worst second, and how much of it is used.

    Demand moves between instances all the time; each hears the sum half a second late.
    """
    rng, count, limit, all_sent = random.Random(seed), 50 if quick else 200, 1000.0, 0
    shares = [SharedRateLimit(limit) for _ in range(count)]
    demand = [rng.expovariate(1.0) for _ in range(count)]
    told, late, worst, sent = [0.0] * count, [0.0] * count, 0.0, 0
    for step in range(600 if quick else 3_000):
        now = step * 0.05
        if step % 100 == 0:
            demand = [rng.expovariate(1.0) for _ in range(count)]
            total = sum(demand)
            demand = [1.3 * limit * d / total for d in demand]
        if step % 10 == 0:  # what was told half a second ago is what the sum has now
            late, told = told, list(demand)
            if shared and sum(late) > 0:
                for n, share in enumerate(shares):
                    share.confirm(now, late[n], sum(late), count)
        for n, share in enumerate(shares):
            wants = demand[n] * 0.05
            for _ in range(int(wants) + (rng.random() < wants % 1)):
                sent += share.take(now, count) if shared else 1
        if step % 20 == 19:
            worst, all_sent = max(worst, sent / limit - 1), all_sent + sent
            sent = 0
    return worst, all_sent / limit / (step * 0.05)


def peaks(count: int, seed: int, kind: str) -> float:
    """The largest share of the instances that act in one tick of 10 ms.

    Each probes once a second and retries after a failure that all see at once.
    """
    rng, ticks = random.Random(seed), Counter[int]()
    for n in range(count):
        if kind == "turns":
            at, retry = next_staggered_time(100.0, 1.0, n), StaggeredBackoff(0.5, 8.0)
            moments = [at + k for k in range(3)] + [retry.record_failure(100.0, n) + 1000]
        elif kind == "fixed":
            moments = [100.0 + k for k in range(3)] + [1100.5]
        else:
            moments = [100.0 + rng.random() + k for k in range(3)] + [1100.0 + 0.5 * rng.random()]
        ticks.update(int(m * 100) for m in moments)
    return max(ticks.values()) / count


def run(quick: bool, seed: int) -> tuple[list[list[str]], dict[str, Any]]:
    """Run the model while the processes of the rig run in real time, and return one table and its figures."""
    with ProcessPoolExecutor(1) as real:
        started = real.submit(rig.run_scenario, seed)
        rows, figures = run_model(quick, seed)
        told = started.result()
    for name, spread, anew, churn in told.steps:
        rows.append(["processes: " + name, "kept", f"{spread:.3f}", f"{churn:.2f}", f"{anew} anew"])
    return rows, figures | {
        "spread_processes": max(spread for _, spread, _, _ in told.steps),
        "churn_processes": max(churn for name, _, _, churn in told.steps if name != "halves meet again"),
        "settled_processes": int(told.settled),
        "overshoot_processes": round(max(0.0, told.overshoot), 4),
        "limit_used_processes": round(told.used, 3),
        "seed": seed,
        "quick": quick,
    }


def run_model(quick: bool, seed: int) -> tuple[list[list[str]], dict[str, Any]]:
    """Return the model's table and figures."""
    rng, worst = random.Random(seed), dict[str, list[float]]()
    rows = [["day", "way", "spread", "churn", "ms"]]
    for name, states in scenarios(quick, rng):
        classes = 2 if name == "grow and shrink" else max(2, len(states[0].upstreams) // SUBSET)
        for way, kind in POLICIES.items():
            spread, churn, slow = measure_scenario(kind(classes, seed), states)
            rows.append([name, way, f"{spread:.3f}", f"{churn:.2f}", f"{slow:.1f}"])
            worst.setdefault(way, [1.0, 0.0])
            worst[way] = [max(worst[way][0], spread), max(worst[way][1], churn)]
    figures: dict[str, Any] = {}
    for way, (spread, churn) in worst.items():
        key = "" if way == "kept" else f"_{way}"
        figures |= {f"spread{key}": round(min(spread, 1e6), 3), f"churn{key}": round(churn, 2)}
    state = scenarios(quick, random.Random(seed))[1][1][0]
    for way, kind in POLICIES.items():
        links = kind(max(2, len(state.upstreams) // SUBSET), seed).links(state)
        spans = [
            loads(links, state, seed, choice, slow) for choice in ("two", "any") for slow in (False, True)
        ]
        rows.append(["load, even and with one slow", way, *(f"{s:.3f}" for s in spans[:2]), ""])
        rows.append(["the same without two choices", way, *(f"{s:.3f}" for s in spans[2:]), ""])
        key = "" if way == "kept" else f"_{way}"
        figures |= {
            f"load_spread{key}": round(max(spans[:2]), 3),
            f"load_spread_one_choice{key}": round(spans[2], 3),
        }
    for key, shared in (("", True), ("_alone", False)):
        over, used = measure_shared_limit(quick, seed, shared)
        figures |= {f"overshoot{key}": round(max(0.0, over), 4), f"limit_used{key}": round(used, 3)}
    for when in ("turns", "random", "fixed"):
        key = "" if when == "turns" else f"_{when}"
        figures[f"sync_peaks{key}"] = round(peaks(2_000, seed, when), 4)
    return rows, figures
