"""Settings of retry storm control: the ``[storm]`` table of the deployment file."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Annotated, Any

import msgspec
from msgspec import Meta

from saltcart.schema import convert_table


class StormSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """How retry storms are damped; times in seconds.

    Attributes:
        enabled: Whether retry storm control is on.
        horizon: Time ahead for which retries are scheduled.
        grace: Time after a reserved retry time during which the retry still counts as on time.
        least: Minimum delay before a scheduled retry.
        memory: Minimum time for which a rejection is remembered.
        reading: Cost of reading a request, as a share of its work.
        over: Requests read during a storm, as a multiple of the server's capacity; more are read where
            reading is cheap.
    """

    enabled: bool = True
    horizon: Annotated[float, Meta(ge=1.0, le=600.0)] = 60.0
    grace: Annotated[float, Meta(ge=0.2, le=60.0)] = 3.0
    least: Annotated[float, Meta(ge=0.0, le=60.0)] = 0.2
    memory: Annotated[float, Meta(ge=1.0, le=600.0)] = 60.0
    reading: Annotated[float, Meta(gt=0.0, le=1.0)] = 0.05
    over: Annotated[float, Meta(ge=0.5, le=10.0)] = 0.9


def read_storm(raw: Mapping[str, Any]) -> StormSettings:
    """Read and validate the table.

    Raises:
        InvalidFieldError: A field is invalid; the message names the field and the reason.
    """
    return convert_table(raw, StormSettings, "storm")
