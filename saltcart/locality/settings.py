"""Settings of zone-aware routing: the ``[locality]`` table of the deployment file."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Annotated, Any

import msgspec
from msgspec import Meta

from saltcart.field_reader import InvalidFieldError
from saltcart.schema import convert_table

Seconds = Annotated[float, Meta(ge=0.05, le=3600.0)]
Share = Annotated[float, Meta(gt=0.0, le=1.0)]


class LocalitySettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """How an upstream's requests are spread over zones; times in seconds.

    Attributes:
        upstream: Name of the upstream whose members are in zones.
        enabled: Whether zone-aware routing is on.
        limit: Share of a zone's capacity up to which requests are planned into it.
        limit_pressed: Maximum of that share while requests would otherwise be rejected; a zone gets as close
            to it as its size makes safe.
        consecutive: Consecutive failures after which a member is ejected.
        success: Success share below which a member is ejected.
        least: Recent outcomes that the success share is based on at least.
        slower: Multiple of the typical duration from which a member counts as slow.
        ejected_for: First ejection time; it doubles with each relapse.
        ejected_most: Maximum ejection time.
        ejected_share: Maximum share of a zone's members that is ejected at the same time.
        panic: Panic threshold: with a smaller share of healthy members, all of a zone's members are tried.
        report_every: Interval between two load reports.
        stale: Age of a zone's report from which other zones' requests are not sent there.
        hold: Minimum time between two moves, unless a zone fails.
        settle: Minimum time between two moves when only demand has changed and no zone is overloaded.
        least_move: Minimum share of a zone's requests that justifies a move.
        recover_for: Time in health before the first recovery step; it doubles with each recent fall.
        recover_most: Maximum of that time.
        step: Share of a zone's requests that returns with each recovery step.
        step_every: Interval between two recovery steps.
    """

    upstream: Annotated[str, Meta(min_length=1, max_length=64)]
    enabled: bool = True
    limit: Share = 0.85
    limit_pressed: Share = 0.95
    consecutive: Annotated[int, Meta(ge=1, le=100)] = 5
    success: Share = 0.85
    least: Annotated[int, Meta(ge=1, le=1000)] = 20
    slower: Annotated[float, Meta(ge=1.5, le=100.0)] = 4.0
    ejected_for: Seconds = 3.0
    ejected_most: Seconds = 300.0
    ejected_share: Annotated[float, Meta(ge=0.0, le=1.0)] = 0.5
    panic: Annotated[float, Meta(ge=0.0, le=1.0)] = 0.3
    report_every: Seconds = 0.5
    stale: Seconds = 4.0
    hold: Seconds = 5.0
    settle: Seconds = 30.0
    least_move: Share = 0.05
    recover_for: Seconds = 15.0
    recover_most: Seconds = 900.0
    step: Share = 0.25
    step_every: Seconds = 5.0


def read_locality(raw: Mapping[str, Any]) -> LocalitySettings:
    """Read and validate the table.

    Raises:
        InvalidFieldError: A field is invalid; the message names the field and the reason.
    """
    conf = convert_table(raw, LocalitySettings, "locality")
    if conf.limit_pressed < conf.limit:
        raise InvalidFieldError("locality.limit_pressed: must not be less than limit")
    if conf.recover_most < conf.recover_for:
        raise InvalidFieldError("locality.recover_most: must not be less than recover_for")
    if conf.stale < 2 * conf.report_every:
        raise InvalidFieldError("locality.stale: must be at least twice report_every")
    return conf
