"""The failover plan: the share of each zone's requests that goes to each zone.

Every instance uses the plan with the highest register number.
"""

from __future__ import annotations

from collections.abc import Mapping

import msgspec

from saltcart.locality.zone_trust import WHOLE_SHARE, ZoneTrust
from saltcart.schema import decode_message
from saltcart.wire.errors import MalformedMessageError

Rows = Mapping[int, Mapping[int, int]]  # thousandths of a zone's requests, by origin and target zone


def row_of(rows: Rows, zone: int) -> Mapping[int, int]:
    """Return the shares of a zone's requests by target zone, in thousandths.

    An empty row rejects everything; without a row the zone keeps all of its requests.
    """
    row = rows.get(zone)
    return {zone: WHOLE_SHARE} if row is None else row


class FailoverPlan(msgspec.Struct, array_like=True, frozen=True):
    """Shares of requests by origin and target zone, and the trust between zones.

    The order of the fields is the wire format.

    Attributes:
        made_at: Time of the last move, in Unix seconds.
        rows: For each zone, thousandths of its requests by target zone.  If a row sums to less than
            the whole, the rest is rejected; a zone without a row keeps all of its requests.
        trust: Trust that is less than full or was reduced recently.
    """

    made_at: float = 0.0
    rows: dict[int, dict[int, int]] = {}
    trust: list[ZoneTrust] = []

    def row(self, zone: int) -> Mapping[int, int]:
        """Return the shares of a zone's requests by target zone, in thousandths."""
        return row_of(self.rows, zone)

    def rejected_share(self, zone: int) -> int:
        """Return the thousandths of a zone's requests that are rejected."""
        return WHOLE_SHARE - sum(self.row(zone).values())


_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(FailoverPlan)


def encode(plan: FailoverPlan) -> bytes:
    """Encode a plan as MessagePack."""
    return _encoder.encode(plan)


def read_plan(data: bytes, zone_count: int) -> FailoverPlan:
    """Decode and validate a plan.

    Raises:
        MalformedMessageError: The data is not a plan, or refers to a zone that does not exist, or a row has
            negative shares or more than the whole.
    """
    plan = decode_message(_decoder, data, "plan")
    for origin, row in plan.rows.items():
        has_valid_zones = 0 <= origin < zone_count and all(0 <= target < zone_count for target in row)
        has_valid_shares = all(share >= 0 for share in row.values()) and sum(row.values()) <= WHOLE_SHARE
        if not has_valid_zones or not has_valid_shares:
            raise MalformedMessageError(f"plan has an invalid row for zone {origin}")
    for trust in plan.trust:
        if not (0 <= trust.origin < zone_count and 0 <= trust.target < zone_count):
            raise MalformedMessageError("plan has trust for an unknown zone")
    return plan
