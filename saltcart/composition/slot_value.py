"""What a slot earns: the price at which a run that waits for little keeps others from running."""

from __future__ import annotations

FADE = 0.98  # a run's weight with each one that ends after it


class SlotValue:
    """Worth earned for each second of a slot, over the runs of late."""

    def __init__(self) -> None:
        self.worth = self.seconds = 0.0

    def ended(self, worth: float, took: float) -> None:
        self.worth = FADE * self.worth + worth
        self.seconds = FADE * self.seconds + max(1e-3, took)

    def rate(self) -> float:
        """Worth a second; 0 while nothing has ended."""
        return self.worth / self.seconds if self.seconds else 0.0
