"""Registers shared by all members: for each topic the newest value, disseminated like membership updates.

Of two values the one with the higher number is newer; equal numbers are ordered by the author's name, so
that all members converge on the same value.  An author uses the number after the highest that it knows.
Values are not part of the view's digest, since they change all the time: a member that missed one gets the
next value, or the same value when it is resent.
"""

from __future__ import annotations

from collections.abc import Callable

import msgspec

from saltcart.membership.dissemination import DisseminationQueue

MAX_TOPICS = 256  # keeps a member that invents topics from exhausting the memory of the others
MAX_VALUE_BYTES = 900  # fits into one datagram together with the datagram's other fields
VALUE_OVERHEAD_BYTES = 20  # a value's number and MessagePack framing


class RegisterValue(msgspec.Struct, array_like=True, frozen=True):
    """A value of one register.  The order of the fields is the wire format.

    Attributes:
        topic: Name of the register.
        number: Version number; a higher one replaces a lower one.
        author: Name of the member that wrote the value.
        data: The writing component's own encoding.
    """

    topic: str
    number: int
    author: str
    data: bytes

    @property
    def name(self) -> str:
        """The topic, which is the value's key in a ``DisseminationQueue``."""
        return self.topic

    def max_encoded_bytes(self) -> int:
        """Return an upper bound of the value's encoded size in bytes, for ASCII texts."""
        return VALUE_OVERHEAD_BYTES + len(self.topic) + len(self.author) + len(self.data)


class SharedRegisters:
    """The registers as one member knows them.

    Attributes:
        values: The newest known value of each topic.
        received_at: Time in seconds at which the newest value of each topic was received.
        queue: Values to pass on.
        on_changed: Called with each value that replaces an older one or is the first of its topic.
    """

    def __init__(self) -> None:
        self.values: dict[str, RegisterValue] = {}
        self.received_at: dict[str, float] = {}
        self.queue = DisseminationQueue[RegisterValue]()
        self.resent_count = 0
        self.on_changed: Callable[[RegisterValue], None] = lambda value: None

    def merge(self, value: RegisterValue, now: float) -> bool:
        """Store a value and pass it on if it is newer than the known one.

        Args:
            value: The received or written value.
            now: Time in seconds.

        Returns:
            False if the value is not newer, or if its topic is new and ``MAX_TOPICS`` are known.
        """
        known = self.values.get(value.topic)
        if known is not None and (value.number, value.author) <= (known.number, known.author):
            return False
        if known is None and len(self.values) >= MAX_TOPICS:
            return False
        self.values[value.topic] = value
        self.received_at[value.topic] = now
        self.queue.put(value)
        self.on_changed(value)
        return True

    def next_to_resend(self, available_bytes: int) -> list[RegisterValue]:
        """Return the next values, in rotation, that fit into ``available_bytes``."""
        values = list(self.values.values())
        chosen = list[RegisterValue]()
        for offset in range(len(values)):
            value = values[(self.resent_count + offset) % len(values)]
            if value.max_encoded_bytes() > available_bytes:
                break
            available_bytes -= value.max_encoded_bytes()
            chosen.append(value)
        self.resent_count += len(chosen)
        return chosen

    def write(
        self, topic: str, author: str, data: bytes, now: float, number: int | None = None
    ) -> RegisterValue:
        """Write a new value of a register.

        Args:
            topic: Name of the register.
            author: Name of the writing member.
            data: The value, at most ``MAX_VALUE_BYTES`` long.
            now: Time in seconds.
            number: The least version number to use; the one after the known value's by default.

        Raises:
            ValueError: The data is too long.
        """
        if len(data) > MAX_VALUE_BYTES:
            raise ValueError(
                f"register value has {len(data)} bytes, more than the limit of {MAX_VALUE_BYTES}"
            )
        known = self.values.get(topic)
        next_number = 1 if known is None else known.number + 1
        value = RegisterValue(
            topic, next_number if number is None else max(number, next_number), author, data
        )
        self.merge(value, now)
        return value
