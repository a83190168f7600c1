"""PI controller for the ratios between the mean waits of the classes (Pan et al., Eq. 11)."""

from __future__ import annotations

from collections.abc import Sequence
from itertools import accumulate
from operator import mul

CURRENT_ERROR_GAIN = 0.42  # gain of the error of this period
PREVIOUS_ERROR_GAIN = 0.1  # gain of the error of the previous period
MIN_RATIO = 1 / 50  # positive, so that no class is starved
MAX_RATIO = 2.0  # bounds how far a class can be favoured
MAX_ERROR = 1.0  # a single outlier period must not move a ratio across its range


class DelayRatioController:
    """One control loop for each pair of adjacent classes, highest priority weight first."""

    def __init__(self, references: Sequence[float]) -> None:
        """Create the loops with all ratios at 1.

        Args:
            references: Target ratio of each pair: mean wait of the class of higher weight, divided by that of
                the other.
        """
        pair_count = len(references)
        self.references = references
        self.ratios = [1.0] * pair_count
        self.previous_errors = [0.0] * pair_count
        self.shares = [1.0] * (pair_count + 1)  # weights of the classes in the draw of the next run

    def update(self, mean_waits: Sequence[float]) -> None:
        """Adjust the ratios at the end of a period.

        Args:
            mean_waits: Mean wait of each class, or 0 if no run of it started: its pairs keep their ratios.
        """
        for pair, reference in enumerate(self.references):
            higher, lower = mean_waits[pair : pair + 2]
            if higher <= 0 or lower <= 0:
                continue
            error = max(-MAX_ERROR, min(MAX_ERROR, reference - higher / lower))
            ratio = (
                self.ratios[pair]
                + CURRENT_ERROR_GAIN * error
                - PREVIOUS_ERROR_GAIN * self.previous_errors[pair]
            )
            self.ratios[pair] = max(MIN_RATIO, min(MAX_RATIO, ratio))
            self.previous_errors[pair] = error
        self.shares = list(accumulate(self.ratios, mul, initial=1.0))
