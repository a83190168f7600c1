"""Value of a slot: what runs that wait for optional replies cost the requests that wait for a slot."""

from __future__ import annotations

RUN_DECAY = 0.98  # factor on a run's weight with each run that ends after it


class SlotValue:
    """Value that composed runs earn per second of a slot, averaged over recent runs."""

    def __init__(self) -> None:
        self.value = self.seconds = 0.0

    def record_run(self, value: float, seconds: float) -> None:
        """Record the value and the duration of a finished run."""
        self.value = RUN_DECAY * self.value + value
        self.seconds = RUN_DECAY * self.seconds + max(1e-3, seconds)

    def per_second(self) -> float:
        """Return the value per second; 0 before the first run has ended."""
        return self.value / self.seconds if self.seconds else 0.0
