"""The drain: from when and until when requests are taken, and what the registration is told."""

from __future__ import annotations

from saltcart.core.ports import Ports

STOP_MARGIN_SECONDS = 0.12  # seconds before the process is stopped, by which everything is answered


class DrainState:
    """The drain before a stop, and the operators' withdrawal from the list of servers."""

    def __init__(self, ports: Ports, drain_grace: float) -> None:
        """``drain_grace``: what arrives later than this after the notice must not run."""
        self.ports = ports
        self.drain_grace = drain_grace
        self.notified_at: float | None = None  # when the notice came
        self.stop_at = float("inf")  # when the process is stopped
        self.is_withdrawn = False  # clients are sent away; what still comes is served as always

    @property
    def answer_by(self) -> float:
        """When everything must be answered."""
        return self.stop_at - STOP_MARGIN_SECONDS

    def start(self, noticed_at: float, stop_at: float) -> None:
        """Drain from now on."""
        self.notified_at = noticed_at
        self.stop_at = stop_at
        self.report()

    def report(self) -> None:
        """Tell the registration whether requests are taken."""
        if self.ports.registration is not None:
            self.ports.registration.set_accepting(self.notified_at is None and not self.is_withdrawn)

    def is_too_late_to_run(self, received_at: float) -> bool:
        """Whether a request that was received then must not run any more."""
        return self.notified_at is not None and received_at > self.notified_at + self.drain_grace
