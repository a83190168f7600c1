"""Registers that all members share: for each topic the newest value, disseminated like news.

A value is newer by its number, and of two with one number by its author's name, so that all members come to
hold the same.  An author takes the number after the newest that it knows.  Values are no part of the view's
digest: they change all the time, and what one member misses comes with the next value or is sent again.
"""

from __future__ import annotations

from collections.abc import Callable

import msgspec

from saltcart.membership.dissemination import DisseminationQueue

MAX_TOPICS = 256  # a member that makes topics up must not fill the others' memory
MAX_VALUE_BYTES = 900  # one fits into a datagram with the rest
VALUE_OVERHEAD_BYTES = 20


class RegisterValue(msgspec.Struct, array_like=True, frozen=True):
    """One value; its fields go by their order on the wire."""

    topic: str
    number: int
    author: str
    data: bytes

    @property
    def name(self) -> str:
        """The topic, under which a later value replaces it."""
        return self.topic

    def max_encoded_bytes(self) -> int:
        """Return how many bytes it takes on the wire, at most."""
        return VALUE_OVERHEAD_BYTES + len(self.topic) + len(self.author) + len(self.data)


class SharedRegisters:
    """``on_changed`` is called with each value that is newer than what was known."""

    def __init__(self) -> None:
        self.values: dict[str, RegisterValue] = {}
        self.received_at: dict[str, float] = {}  # when the newest value of each topic came
        self.queue = DisseminationQueue[RegisterValue]()
        self.resent = 0
        self.on_changed: Callable[[RegisterValue], None] = lambda value: None

    def merge(self, value: RegisterValue, now: float) -> bool:
        """Take a value in; False where it is not newer."""
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

    def next_to_resend(self, room: int) -> list[RegisterValue]:
        """Return some values that fit into ``room`` bytes, others each time: for one who may lack them."""
        values = list(self.values.values())
        chosen = list[RegisterValue]()
        for offset in range(len(values)):
            value = values[(self.resent + offset) % len(values)]
            if value.max_encoded_bytes() > room:
                break
            room -= value.max_encoded_bytes()
            chosen.append(value)
        self.resent += len(chosen)
        return chosen

    def write(
        self, topic: str, author: str, data: bytes, now: float, number: int | None = None
    ) -> RegisterValue:
        """Write a new value; ``ValueError`` where it is too long."""
        if len(data) > MAX_VALUE_BYTES:
            raise ValueError(f"a post of {len(data)} bytes, {MAX_VALUE_BYTES} at most")
        known = self.values.get(topic)
        following = 1 if known is None else known.number + 1
        value = RegisterValue(topic, following if number is None else max(number, following), author, data)
        self.merge(value, now)
        return value
