"""The ``[locality]`` table of the deployment file."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Annotated, Any

import msgspec
from msgspec import Meta

from saltcart.field_reader import InvalidFieldError
from saltcart.schema import convert

Seconds = Annotated[float, Meta(ge=0.05, le=3600.0)]
Share = Annotated[float, Meta(gt=0.0, le=1.0)]


class LocalitySettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """How work is spread over zones; times in seconds."""

    upstream: Annotated[str, Meta(min_length=1, max_length=64)]  # the one whose members are in zones
    enabled: bool = True
    limit: Share = 0.85  # of a zone's capacity, up to which work is planned into it
    limit_pressed: Share = 0.95  # at most, while work would be refused: as far as a zone's size makes it safe
    # A member is failing after so many failures in a row, or below so large a share of good ends.
    consecutive: Annotated[int, Meta(ge=1, le=100)] = 5
    success: Share = 0.85
    least: Annotated[int, Meta(ge=1, le=1000)] = 20  # ends of late before the share tells anything
    slower: Annotated[float, Meta(ge=1.5, le=100.0)] = 4.0  # times the usual time: such a member is slow
    ejected_for: Seconds = 3.0  # at first; doubled each time it fails again, up to
    ejected_most: Seconds = 300.0
    ejected_share: Annotated[float, Meta(ge=0.0, le=1.0)] = 0.5  # of a zone's members, at most
    panic: Annotated[float, Meta(ge=0.0, le=1.0)] = 0.3  # of a zone in health, below which all of it is tried
    report_every: Seconds = 0.5
    stale: Seconds = 4.0  # a zone whose report is older is not sent other zones' work
    hold: Seconds = 5.0  # between two moves, unless a zone falls
    settle: Seconds = 30.0  # between two moves where nothing but demand has changed, and no zone is too full
    least_move: Share = 0.05  # of a zone's work: less is not worth a move
    recover_for: Seconds = 15.0  # in health before the first step back; doubled with each fall of late, up to
    recover_most: Seconds = 900.0
    step: Share = 0.25  # of a zone's work, that comes back at once
    step_every: Seconds = 5.0


def read_locality(raw: Mapping[str, Any]) -> LocalitySettings:
    """The table; ``InvalidFieldError`` names the field and the reason."""
    conf = convert(raw, LocalitySettings, "locality")
    if conf.limit_pressed < conf.limit:
        raise InvalidFieldError("locality.limit_pressed: less than limit")
    if conf.recover_most < conf.recover_for:
        raise InvalidFieldError("locality.recover_most: less than recover_for")
    if conf.stale < 2 * conf.report_every:
        raise InvalidFieldError("locality.stale: less than two reports")
    return conf
