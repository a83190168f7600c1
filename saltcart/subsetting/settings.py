"""Settings of subsetting: the ``[fleet]`` table of the deployment file."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Annotated, Any

import msgspec
from msgspec import Meta

from saltcart.schema import convert_table


class FleetSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """How an upstream's members are divided among the instances of the fleet; times in seconds.

    Attributes:
        upstream: Name of the upstream whose members are divided.
        enabled: Whether subsetting is on.
        classes: Number of classes that members and instances are divided into; each instance connects to the
            members of its own class.  It should be at most a fifth of the number of instances when the fleet
            is smallest.  With more classes, members of one class would have over a fifth more clients than
            those of another.
        report_every: Interval between two load reports of an instance.
        stale: Maximum age of load reports and of a class's published demand; older ones are ignored.
    """

    upstream: Annotated[str, Meta(min_length=1, max_length=64)]
    enabled: bool = True
    classes: Annotated[int, Meta(ge=1, le=250)] = 2
    report_every: Annotated[float, Meta(ge=0.05, le=60.0)] = 0.5
    stale: Annotated[float, Meta(ge=0.1, le=600.0)] = 4.0


def read_fleet(raw: Mapping[str, Any]) -> FleetSettings:
    """Read and validate the table.

    Raises:
        InvalidFieldError: A field is invalid; the message names the field and the reason.
    """
    return convert_table(raw, FleetSettings, "fleet")
