"""The drain state: which requests may still run, and whether the service is listed for clients."""

from __future__ import annotations

from saltcart.core.ports import Ports

STOP_MARGIN_SECONDS = 0.12  # before the process is stopped; every response is sent by then


class DrainNotSharedError(Exception):
    """A drain by operators, or its end, holds at this process, but other processes could not be reached.

    Attributes:
        process_ids: The ids of those processes, 0 for one that can't be seen from here.
    """

    def __init__(self, process_ids: list[int]) -> None:
        self.process_ids = process_ids
        names = " and ".join(f"process {number or 'of unknown id'}" for number in process_ids)
        super().__init__(f"{names} could not be told")


class DrainState:
    """The drain before a stop, and the withdrawal from the endpoint list by operators."""

    def __init__(self, ports: Ports, drain_grace: float) -> None:
        """Start out neither draining nor withdrawn.

        Args:
            ports: Holds the registration to update.
            drain_grace: Seconds after the drain notice; a request that is received later must not run.
        """
        self.ports = ports
        self.drain_grace = drain_grace
        self.notified_at: float | None = None  # when the drain notice was received
        self.stop_at = float("inf")  # when the process will be stopped
        self.is_withdrawn = False  # not listed for clients; requests that arrive are still served

    @property
    def respond_by(self) -> float:
        """The time by which every request must have its response."""
        return self.stop_at - STOP_MARGIN_SECONDS

    def start(self, notified_at: float, stop_at: float) -> None:
        """Start draining.

        Args:
            notified_at: When the drain notice was received.
            stop_at: When the process will be stopped.
        """
        self.notified_at = notified_at
        self.stop_at = stop_at
        self.update_registration()

    def update_registration(self) -> None:
        """Report to the registration whether the service accepts requests."""
        if self.ports.registration is not None:
            self.ports.registration.set_accepting(self.notified_at is None and not self.is_withdrawn)

    def is_too_late_to_run(self, received_at: float) -> bool:
        """Whether a request that was received at this time must no longer start its run."""
        return self.notified_at is not None and received_at > self.notified_at + self.drain_grace
