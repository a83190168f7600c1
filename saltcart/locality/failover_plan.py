"""The plan: which share of each zone's work goes to which zone.  All use the plan with the highest number."""

from __future__ import annotations

from collections.abc import Mapping

import msgspec

from saltcart.locality.zone_trust import WHOLE_SHARE, ZoneTrust
from saltcart.schema import unpack
from saltcart.wire.errors import MalformedMessageError

Rows = Mapping[int, Mapping[int, int]]  # thousandths of work, by origin and target


def row_of(rows: Rows, zone: int) -> Mapping[int, int]:
    """Return a zone's row.

    An empty row is one that rejects everything; only one that is not there keeps everything.
    """
    row = rows.get(zone)
    return {zone: WHOLE_SHARE} if row is None else row


class FailoverPlan(msgspec.Struct, array_like=True, frozen=True):
    """``rows``: for each zone the thousandths of its work by target; what is missing is rejected.

    A zone without a row keeps all of its work.  The fields go by their order on the wire.
    """

    made_at: float = 0.0  # Unix seconds
    rows: dict[int, dict[int, int]] = {}
    trust: list[ZoneTrust] = []

    def row(self, zone: int) -> Mapping[int, int]:
        """Return where a zone's work goes."""
        return row_of(self.rows, zone)

    def rejected_share(self, zone: int) -> int:
        """Return the thousandths of a zone's work that are rejected."""
        return WHOLE_SHARE - sum(self.row(zone).values())


_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(FailoverPlan)


def encode(plan: FailoverPlan) -> bytes:
    """Return a plan's bytes."""
    return _encoder.encode(plan)


def read_plan(data: bytes, zone_count: int) -> FailoverPlan:
    """Read a plan; ``MalformedMessageError`` for what is no plan of so many zones."""
    plan = unpack(_decoder, data, "plan")
    for origin, row in plan.rows.items():
        has_zones = 0 <= origin < zone_count and all(0 <= target < zone_count for target in row)
        has_shares = all(share >= 0 for share in row.values()) and sum(row.values()) <= WHOLE_SHARE
        if not has_zones or not has_shares:
            raise MalformedMessageError(f"a plan with a row amiss: zone {origin}")
    for trust in plan.trust:
        if not (0 <= trust.origin < zone_count and 0 <= trust.target < zone_count):
            raise MalformedMessageError("a plan with trust in no zone")
    return plan
