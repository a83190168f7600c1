"""The [storm] table of the deployment file."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Annotated, Any

import msgspec
from msgspec import Meta

from saltcart.schema import convert_table


class StormSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """What damps a storm; times in seconds."""

    enabled: bool = True
    horizon: Annotated[float, Meta(ge=1.0, le=600.0)] = 60.0  # no caller is asked to stay away for longer
    grace: Annotated[float, Meta(ge=0.2, le=60.0)] = 3.0  # a caller is on time for this long after its moment
    least: Annotated[float, Meta(ge=0.0, le=60.0)] = 0.2  # nobody is asked back sooner
    memory: Annotated[float, Meta(ge=1.0, le=600.0)] = 60.0  # a refusal is remembered for this long at least
    # What reading a request costs, as a share of its work.
    reading: Annotated[float, Meta(gt=0.0, le=1.0)] = 0.05
    over: Annotated[float, Meta(ge=0.5, le=10.0)] = 0.9  # what is read in a storm, of what can be run


def read_storm(raw: Mapping[str, Any]) -> StormSettings:
    """The table; ``InvalidFieldError`` names the field and the reason."""
    return convert_table(raw, StormSettings, "storm")
