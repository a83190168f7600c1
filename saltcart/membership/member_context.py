"""What the parts of one member share: its settings, its view, its time, and what it passes on."""

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

JITTER = 0.2  # of an interval, either way, so that members do not act in step


class MemberContext:
    """State of one member that several of its parts read."""

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
        """Return a new number for a probe."""
        self._last_sequence += 1
        return self._last_sequence

    def jittered(self, seconds: float) -> float:
        """Return an interval that differs a little from member to member and time to time."""
        return seconds * (1 + JITTER * (2 * self.rng.random() - 1))

    def call_after(self, seconds: float, call: Callable[..., None], *args: Any) -> None:
        """Make a call so many seconds from now."""
        self.timers.call_at(self.now + seconds, call, *args)

    def update_own_record(self, state: MemberState, incarnation: int | None = None) -> MemberRecord:
        """Change this member's own record and return it."""
        self.own_record = self.own_record.reported_as(state, self.own_record.name, incarnation)
        return self.own_record
