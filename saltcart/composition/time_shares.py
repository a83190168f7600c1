"""The arithmetic of a request's time: what each stage may have of what is left."""

from __future__ import annotations

from collections.abc import Sequence
from typing import NamedTuple


class TimeNeeded(NamedTuple):
    """What a stage needs, in seconds: a lucky run of it, a typical one, and nearly all of them."""

    lucky: float
    typical: float
    most: float


NOTHING = TimeNeeded(0.0, 0.0, 0.0)


def split_time(left: float, now: TimeNeeded, later: Sequence[TimeNeeded]) -> list[float] | None:
    """Shares of ``left`` for this stage and each later one, adding up to it; None where they can't fit.

    Later stages are kept what nearly all of their runs need; where that is too much for all, all come down
    together, from the most to the typical and from there to the lucky; this stage has all that is not kept.
    """
    levels = list(zip(now, *later))  # lucky, typical, most; each of all stages
    sums = [sum(level) for level in levels]
    if left < 0 or sums[0] > left:
        return None
    below = levels[0]
    for n in (1, 2):
        if sums[n] > left:  # between two levels: the same share of the way for all
            part = (left - sums[n - 1]) / (sums[n] - sums[n - 1]) if sums[n] != float("inf") else 0.0
            shares = [a + part * (b - a) if part else a for a, b in zip(below, levels[n])]
            break
        below = levels[n]
    else:
        shares = list(below)
    rest = shares[1:]
    return [max(0.0, left - sum(rest)), *rest]


def parallel_time_needed(needs: Sequence[TimeNeeded]) -> TimeNeeded:
    """The need of calls that are made together: at each level the longest."""
    if not needs:
        return NOTHING
    return TimeNeeded(max(n.lucky for n in needs), max(n.typical for n in needs), max(n.most for n in needs))
