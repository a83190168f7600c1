"""What drivers of decisions made in common share: the fleet's registers, a tick, and their log."""

from __future__ import annotations

import asyncio

from saltcart.core.ports import Log
from saltcart.membership.member_record import MemberRecord
from saltcart.membership.shared_registers import RegisterValue
from saltcart.net.membership_driver import MembershipDriver
from saltcart.net.supervision import PeriodicTask
from saltcart.wire.errors import MalformedMessageError

TICK_SECONDS = 0.05  # seconds; what is due is decided by the decisions' own intervals


class RegisterListener:
    """Speaks over one process's membership; ``close`` gives back its timer."""

    def __init__(self, driver: MembershipDriver, log: Log) -> None:
        assert driver.member is not None
        self.driver = driver
        self.member = driver.member
        self.log = log
        self.loop = asyncio.get_running_loop()
        driver.listeners.append(self)
        self.ticks = PeriodicTask(TICK_SECONDS, self._tick)
        self.ticks.start()

    def close(self) -> None:
        """Tick no more."""
        self.ticks.stop()

    def _tick(self) -> None:
        self.tick(self.loop.time())
        self.driver.flush()

    def tick(self, now: float) -> None:
        """Do what is due."""
        raise NotImplementedError

    def handle_register_value(self, now: float, topic: str, number: int, by: str, data: bytes) -> None:
        """Take a newer value of a register; ``MalformedMessageError`` for one that is none of its topic."""
        raise NotImplementedError

    def handle_direct_message(self, now: float, sender: MemberRecord, topic: str, data: bytes) -> None:
        """Take something for this instance alone; ``MalformedMessageError`` as well."""
        raise NotImplementedError

    # ---- the decisions' port ------------------------------------------------------------------

    def write_register(self, topic: str, data: bytes) -> None:
        """Write a register; one that is too long is logged and not written."""
        try:
            self.member.write_register(self.loop.time(), topic, data)
        except ValueError as error:
            self.log("register-too-long", topic=topic, error=str(error))

    def send_direct(self, name: str, topic: str, data: bytes) -> None:
        """Send something to one instance alone."""
        self.member.send_direct(self.loop.time(), name, topic, data)

    # ---- what membership reports --------------------------------------------------------------

    def on_register_changed(self, value: RegisterValue) -> None:
        """Take a newer value; a malformed one is logged."""
        try:
            self.handle_register_value(self.loop.time(), value.topic, value.number, value.author, value.data)
        except MalformedMessageError as error:
            self.log("register-malformed", sender=value.author, topic=value.topic, error=str(error))

    def on_direct_message(self, sender: MemberRecord, topic: str, data: bytes) -> None:
        """Take something for this instance alone; what is malformed is logged."""
        try:
            self.handle_direct_message(self.loop.time(), sender, topic, data)
        except MalformedMessageError as error:
            self.log("register-malformed", sender=sender.name, topic=topic, error=str(error))
