"""The ``[fleet]`` table of the deployment file."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Annotated, Any

import msgspec
from msgspec import Meta

from saltcart.schema import convert


class FleetSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """How an upstream's members are shared out among the instances; times in seconds."""

    upstream: Annotated[str, Meta(min_length=1, max_length=64)]
    enabled: bool = True
    # Classes of members: each instance connects to those of its class.  At most a fifth of the smallest
    # fleet, or members of one class would have a fifth more clients than those of another.
    classes: Annotated[int, Meta(ge=1, le=250)] = 2
    report_every: Annotated[float, Meta(ge=0.05, le=60.0)] = 0.5
    stale: Annotated[float, Meta(ge=0.1, le=600.0)] = 4.0  # an older report of a class counts for nothing


def read_fleet(raw: Mapping[str, Any]) -> FleetSettings:
    """The table; ``InvalidFieldError`` names the field and the reason."""
    return convert(raw, FleetSettings, "fleet")
