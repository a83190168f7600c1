"""What one member is known to be, and which of two such reports holds."""

from __future__ import annotations

import enum
from typing import Any

import msgspec
import xxhash


class State(enum.IntEnum):
    """In the order in which reports of one incarnation override each other (SWIM, 2002, section 4.2)."""

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2
    LEFT = 3  # said by the member itself


class Record(msgspec.Struct, array_like=True, frozen=True):
    """A report on a member.

    ``incarnation`` is raised by the member alone; a process begins with the Unix milliseconds of its start,
    so one that restarts is newer than it was.  ``by`` names who said so, which is no part of the report.
    """

    name: str
    address: str
    incarnation: int
    state: int = State.ALIVE
    zone: str = ""
    region: str = ""
    by: str = ""

    def order(self) -> tuple[Any, ...]:
        """A total order: the greatest report of a member holds, so merging knows no first and last."""
        return self.incarnation, self.state, self.address, self.zone, self.region

    def overrides(self, other: Record) -> bool:
        return self.order() > other.order()

    @property
    def present(self) -> bool:
        """A suspect is still there."""
        return self.state <= State.SUSPECT

    def mark(self) -> int:
        """The digest of a present member; 0 for one that is gone, for those are forgotten at any time."""
        if not self.present:
            return 0
        return xxhash.xxh3_64_intdigest(f"{self.name}\0{self.address}\0{self.incarnation}".encode())

    def said(self, state: State, by: str, incarnation: int | None = None) -> Record:
        return Record(
            self.name,
            self.address,
            self.incarnation if incarnation is None else incarnation,
            state,
            self.zone,
            self.region,
            by,
        )

    def size(self) -> int:
        """Bytes on the wire, at most."""
        return 24 + len(self.name) + len(self.address) + len(self.zone) + len(self.region) + len(self.by)
