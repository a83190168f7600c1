"""Shares of the time that is left for a request among the stages of its plan."""

from __future__ import annotations

from collections.abc import Sequence
from typing import NamedTuple


class TimeNeeded(NamedTuple):
    """Time that a call or a stage needs, in seconds.

    Attributes:
        lucky: A low quantile: even fast calls need that long.
        typical: The median.
        most: A high quantile: nearly all calls end in it.
    """

    lucky: float
    typical: float
    most: float


NO_TIME = TimeNeeded(0.0, 0.0, 0.0)


def split_time(left: float, current: TimeNeeded, later: Sequence[TimeNeeded]) -> list[float] | None:
    """Split the time that is left among the current stage and the later ones.

    Later stages are reserved the time that nearly all of their runs need.  Where that is too much for all
    stages together, all are reduced in proportion: from ``most`` towards ``typical``, and from there towards
    ``lucky``.  The current stage gets all that is not reserved.

    Args:
        left: Seconds until the last stage must have ended.
        current: What the current stage needs.
        later: What each later stage needs.

    Returns:
        Seconds for the current stage and for each later one, which add up to ``left``; None if ``left`` is
        less than the sum of the ``lucky`` times.
    """
    levels = list(zip(current, *later))  # the lucky, typical and most times, each of all stages
    sums = [sum(level) for level in levels]
    if left < 0 or sums[0] > left:
        return None
    below = levels[0]
    for n in (1, 2):
        if sums[n] > left:  # between two levels: every stage gets the same fraction of its difference
            fraction = (left - sums[n - 1]) / (sums[n] - sums[n - 1]) if sums[n] != float("inf") else 0.0
            shares = [
                low + fraction * (high - low) if fraction else low for low, high in zip(below, levels[n])
            ]
            break
        below = levels[n]
    else:
        shares = list(below)
    later_shares = shares[1:]
    return [max(0.0, left - sum(later_shares)), *later_shares]


def parallel_time_needed(needs: Sequence[TimeNeeded]) -> TimeNeeded:
    """Return the time needed by calls that are made in parallel: the longest at each level."""
    if not needs:
        return NO_TIME
    return TimeNeeded(
        max(need.lucky for need in needs),
        max(need.typical for need in needs),
        max(need.most for need in needs),
    )
