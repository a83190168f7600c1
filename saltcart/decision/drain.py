"""Deadlines of a drain: for new requests, for final answers and for the withdrawal from the clients."""

from __future__ import annotations

from saltcart.decision.settings import Settings

ACCEPT_SHARE = 0.9  # share of the drain grace in which arriving requests still run
FINAL_RESPONSE_SWEEPS = 3  # number of sweeps before the stop by which every request has its response


class Drain:
    """The deadlines of a drain, which are infinite before it starts.

    A draining server has warm cores, and clients learn of the drain late.  So it accepts requests for most of
    the drain grace.  It withdraws from its clients half the lifetime of an advertised level before that ends,
    the time in which half of the clients drop the previous level.
    """

    def __init__(self, settings: Settings, objective: float) -> None:
        self.settings = settings
        self.objective = objective
        self.accept_until = float("inf")  # requests that arrive later do not run
        self.respond_by = float("inf")  # every request has its response by then
        self.is_withdrawing = False  # clients should send no more requests to this server

    def start(self, now: float, stop_in: float, sweep_interval: float) -> None:
        """Set the deadlines for a server that will be stopped in ``stop_in`` seconds."""
        self.accept_until = now + ACCEPT_SHARE * self.settings.drain_grace
        self.respond_by = now + max(0.0, stop_in - FINAL_RESPONSE_SWEEPS * sweep_interval)

    def update(self, now: float) -> None:
        """Decide whether the server withdraws from its clients."""
        withdraw_at = min(self.accept_until, self.respond_by - self.objective)
        self.is_withdrawing = now >= withdraw_at - self.settings.signal_lifetime / 2
