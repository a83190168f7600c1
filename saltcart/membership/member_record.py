"""What one member is known to be, and which of two such reports holds."""

from __future__ import annotations

import enum
from typing import Any

import msgspec
import xxhash

RECORD_OVERHEAD_BYTES = 24  # of a record's numbers and its frame


class MemberState(enum.IntEnum):
    """In the order in which reports of one incarnation override each other (SWIM, 2002, section 4.2)."""

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2
    LEFT = 3  # reported by the member itself


class MemberRecord(msgspec.Struct, array_like=True, frozen=True):
    """A report on a member; its fields go by their order on the wire.

    ``incarnation`` is raised by the member alone; a process begins with the Unix milliseconds of its start,
    so one that restarts is newer than it was.  ``reported_by`` is no part of the report.
    """

    name: str
    address: str
    incarnation: int
    state: int = MemberState.ALIVE
    zone: str = ""
    region: str = ""
    reported_by: str = ""

    def precedence(self) -> tuple[Any, ...]:
        """Return a key of a total order: the greatest report of a member holds."""
        return self.incarnation, self.state, self.address, self.zone, self.region

    def overrides(self, other: MemberRecord) -> bool:
        """Whether this report holds against another one of the same member."""
        return self.precedence() > other.precedence()

    @property
    def is_present(self) -> bool:
        """Whether the member is there; a suspect is."""
        return self.state <= MemberState.SUSPECT

    def fingerprint(self) -> int:
        """Return a present member's part of the view's digest; 0 for one that is gone."""
        if not self.is_present:
            return 0
        return xxhash.xxh3_64_intdigest(f"{self.name}\0{self.address}\0{self.incarnation}".encode())

    def reported_as(
        self, state: MemberState, reported_by: str, incarnation: int | None = None
    ) -> MemberRecord:
        """Return a new report on the same member."""
        return MemberRecord(
            self.name,
            self.address,
            self.incarnation if incarnation is None else incarnation,
            state,
            self.zone,
            self.region,
            reported_by,
        )

    def max_encoded_bytes(self) -> int:
        """Return how many bytes it takes on the wire, at most."""
        texts = (self.name, self.address, self.zone, self.region, self.reported_by)
        return RECORD_OVERHEAD_BYTES + sum(map(len, texts))
