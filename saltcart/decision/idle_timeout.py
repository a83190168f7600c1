"""Idle timeout of client connections."""

from __future__ import annotations

from saltcart.decision.actions import Action, SetIdleTimeout
from saltcart.decision.settings import Settings

MIN_TIMEOUT_CHANGE = 0.25  # share of the last timeout; smaller changes are not sent
MIN_TIMEOUT_SECONDS = 0.01


class IdleTimeout:
    """Closes idle connections early if there are more clients than the cores can serve at once.

    If there are many clients, each returns rarely while its idle connection still uses processor time.  Under
    pressure the timeout is longer and the connection table may fill: a client that gets no connection costs
    nothing, whereas reading and rejecting its request is expensive.
    """

    def __init__(self, settings: Settings) -> None:
        self.client_timeout = settings.client_idle_timeout
        # Share of the possible connections that is worth keeping: twice the requests that the cores survive.
        useful_connections = 2 * settings.max_running_per_core * settings.cores
        self.reuse_share = min(1.0, useful_connections / max(1, settings.client_count))
        self.last_timeout = settings.client_idle_timeout

    def update(self, pressure: float) -> list[Action]:
        """Return the action that sets a new timeout, if it changed enough.

        Args:
            pressure: Smoothed pressure; at 1 and above the timeout is that of the clients.
        """
        exponent = 1 - min(1.0, pressure)
        timeout = self.client_timeout * self.reuse_share**exponent
        if abs(timeout - self.last_timeout) <= MIN_TIMEOUT_CHANGE * self.last_timeout:
            return []
        self.last_timeout = timeout
        return [SetIdleTimeout(max(MIN_TIMEOUT_SECONDS, timeout))]
