"""Reports on a member's state, and their order of precedence."""

from __future__ import annotations

import enum
from typing import Any

import msgspec
import xxhash

RECORD_OVERHEAD_BYTES = 24  # a record's integers and MessagePack framing


class MemberState(enum.IntEnum):
    """State of a member; within an incarnation, a greater value overrides (SWIM, 2002, section 4.2)."""

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2
    LEFT = 3  # reported by the member itself


class MemberRecord(msgspec.Struct, array_like=True, frozen=True):
    """A report on one member.  The order of the fields is the wire format.

    Attributes:
        incarnation: Raised by the member alone.  A process starts with the Unix time in milliseconds, so that
            a restarted process has a higher incarnation than before.
        state: A ``MemberState``.
        reported_by: Name of the member that made the report; not part of its precedence.
    """

    name: str
    address: str
    incarnation: int
    state: int = MemberState.ALIVE
    zone: str = ""
    region: str = ""
    reported_by: str = ""

    def precedence(self) -> tuple[Any, ...]:
        """Return a sort key that totally orders the reports on a member; the greatest one takes effect."""
        return self.incarnation, self.state, self.address, self.zone, self.region

    def overrides(self, other: MemberRecord) -> bool:
        """Whether this report takes precedence over another one on the same member."""
        return self.precedence() > other.precedence()

    @property
    def is_present(self) -> bool:
        """Whether the member is alive or a suspect."""
        return self.state <= MemberState.SUSPECT

    def fingerprint(self) -> int:
        """Return the record's 64-bit part of the view's digest; 0 for a member that is not present."""
        if not self.is_present:
            return 0
        return xxhash.xxh3_64_intdigest(f"{self.name}\0{self.address}\0{self.incarnation}".encode())

    def reported_as(
        self, state: MemberState, reported_by: str, incarnation: int | None = None
    ) -> MemberRecord:
        """Return a new report on the same member.

        Args:
            state: The reported state.
            reported_by: Name of the reporting member.
            incarnation: The reported incarnation; that of this record by default.
        """
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
        """Return an upper bound of the record's encoded size in bytes, for ASCII texts."""
        texts = (self.name, self.address, self.zone, self.region, self.reported_by)
        return RECORD_OVERHEAD_BYTES + sum(map(len, texts))
