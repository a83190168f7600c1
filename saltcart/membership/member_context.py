"""State that the components of one member share: settings, view, time, timers and queues."""

from __future__ import annotations

import random
from collections.abc import Callable
from typing import Any

from saltcart.core.timers import Timers
from saltcart.membership.dissemination import UpdateQueue
from saltcart.membership.member_record import MemberRecord, MemberState
from saltcart.membership.settings import MemberSettings
from saltcart.membership.shared_registers import SharedRegisters
from saltcart.membership.suspicion import LocalHealth
from saltcart.membership.view import MembershipSnapshot, MembershipView

JITTER_FRACTION = 0.2  # of an interval, in both directions, so that members do not act in lockstep


class MemberContext:
    """State of one member that several of its components read.

    Attributes:
        now: Time in seconds by the driver's clock, set before each event.
        updates: Membership updates to pass on.
        is_leaving: Whether this member has reported that it leaves.
    """

    def __init__(
        self,
        settings: MemberSettings,
        own_record: MemberRecord,
        rng: random.Random,
        now: float,
        snapshot: MembershipSnapshot | None,
    ) -> None:
        self.settings = settings
        self.own_record = own_record
        self.rng = rng
        self.now = now
        self.view = MembershipView(snapshot)
        self.updates = UpdateQueue()
        self.registers = SharedRegisters()
        self.health = LocalHealth()
        self.timers = Timers()
        self.is_leaving = False
        self._last_sequence = 0

    def next_sequence(self) -> int:
        """Return a new sequence number for a probe."""
        self._last_sequence += 1
        return self._last_sequence

    def jittered(self, seconds: float) -> float:
        """Return an interval in seconds with random jitter."""
        return seconds * (1 + JITTER_FRACTION * (2 * self.rng.random() - 1))

    def call_after(self, seconds: float, call: Callable[..., None], *args: Any) -> None:
        """Schedule a call after a delay in seconds."""
        self.timers.call_at(self.now + seconds, call, *args)

    def update_own_record(self, state: MemberState, incarnation: int | None = None) -> MemberRecord:
        """Replace this member's own record.

        Args:
            state: The new state.
            incarnation: The new incarnation; unchanged by default.

        Returns:
            The new record.
        """
        self.own_record = self.own_record.reported_as(state, self.own_record.name, incarnation)
        return self.own_record
