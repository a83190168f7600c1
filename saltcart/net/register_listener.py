"""Base class of the drivers that use shared registers: periodic ticks, messages and error logs."""

from __future__ import annotations

import asyncio

from saltcart.core.ports import Log
from saltcart.membership.member_record import MemberRecord
from saltcart.membership.shared_registers import RegisterValue
from saltcart.net.membership_driver import MembershipDriver
from saltcart.net.supervision import PeriodicTask
from saltcart.wire.errors import MalformedMessageError

TICK_SECONDS = 0.05  # resolution of the subclasses' own intervals


class RegisterListener:
    """Connects a component to the membership of its process; ``close`` stops its timer."""

    def __init__(self, driver: MembershipDriver, log: Log) -> None:
        assert driver.member is not None
        self.driver = driver
        self.member = driver.member
        self.log = log
        self.loop = asyncio.get_running_loop()
        driver.listeners.append(self)
        self.periodic_task = PeriodicTask(TICK_SECONDS, self._tick)
        self.periodic_task.start()

    def close(self) -> None:
        """Stop the periodic ticks."""
        self.periodic_task.stop()

    def _tick(self) -> None:
        self.tick(self.loop.time())
        self.driver.flush()

    def tick(self, now: float) -> None:
        """Do the work that is due at a time in seconds."""
        raise NotImplementedError

    def handle_register_value(self, now: float, topic: str, number: int, author: str, data: bytes) -> None:
        """Handle a newer value of a register.

        Args:
            now: Time in seconds.
            topic: Name of the register.
            number: Version number of the value.
            author: Name of the member that wrote it.
            data: The value.

        Raises:
            MalformedMessageError: The data is not valid for the topic.
        """
        raise NotImplementedError

    def handle_direct_message(self, now: float, sender: MemberRecord, topic: str, data: bytes) -> None:
        """Handle a direct message to this instance.

        Args:
            now: Time in seconds.
            sender: Record of the sending member.
            topic: Identifies the component that the data is for.
            data: The message.

        Raises:
            MalformedMessageError: The data is not valid for the topic.
        """
        raise NotImplementedError

    # ---- port of the decision code ------------------------------------------------------------

    def write_register(self, topic: str, data: bytes) -> None:
        """Write a register; a value that is too long is logged and not written."""
        try:
            self.member.write_register(self.loop.time(), topic, data)
        except ValueError as error:
            self.log("register-too-long", topic=topic, error=str(error))

    def send_direct(self, name: str, topic: str, data: bytes) -> None:
        """Send a direct message to the named instance."""
        self.member.send_direct(self.loop.time(), name, topic, data)

    # ---- events from membership ---------------------------------------------------------------

    def on_register_changed(self, value: RegisterValue) -> None:
        """Handle a newer value of a register; a malformed one is logged."""
        try:
            self.handle_register_value(self.loop.time(), value.topic, value.number, value.author, value.data)
        except MalformedMessageError as error:
            self.log("register-malformed", sender=value.author, topic=value.topic, error=str(error))

    def on_direct_message(self, sender: MemberRecord, topic: str, data: bytes) -> None:
        """Handle a direct message to this instance; a malformed one is logged."""
        try:
            self.handle_direct_message(self.loop.time(), sender, topic, data)
        except MalformedMessageError as error:
            self.log("register-malformed", sender=sender.name, topic=topic, error=str(error))
