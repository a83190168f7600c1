"""The ``[member]`` table of the deployment file."""

from __future__ import annotations

import re
from collections.abc import Mapping
from typing import Annotated, Any

import msgspec
from msgspec import Meta

from saltcart.field_reader import InvalidFieldError
from saltcart.schema import convert

ADDRESS_PATTERN = r"^[A-Za-z0-9.-]{1,253}:\d{1,5}$"
LABEL_PATTERN = r"^[A-Za-z0-9._-]{0,32}$"
LOOPBACK_ADDRESS = re.compile(r"(127(\.\d{1,3}){3}|localhost):\d{1,5}\Z")

Address = Annotated[str, Meta(pattern=ADDRESS_PATTERN)]
Label = Annotated[str, Meta(pattern=LABEL_PATTERN)]
Seconds = Annotated[float, Meta(ge=0.01, le=3600.0)]


class MemberSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """How this member speaks with the others; times in seconds."""

    listen: Address  # UDP
    cluster: Annotated[str, Meta(pattern=r"^[A-Za-z0-9._-]{1,32}$")]  # guards against mixing two fleets
    enabled: bool = True
    advertise: Address | None = None  # where others reach this member, if not where it listens
    seeds: tuple[Address, ...] = ()  # members that are asked first; any few of the fleet
    zone: Label = ""
    region: Label = ""
    probe_every: Annotated[float, Meta(ge=0.05, le=60.0)] = 0.4
    probe_wait: Seconds = 0.15  # for the answer to a direct probe, and half of that before it is sent again
    helpers: Annotated[int, Meta(ge=0, le=16)] = 3  # asked to probe in our place
    # A suspect has this many probe intervals, times the logarithm (base 10) of the members, to speak up.
    suspect_for: Annotated[float, Meta(ge=1.0, le=100.0)] = 3.0
    suspect_most: Annotated[float, Meta(ge=1.0, le=20.0)] = 3.0  # times that, while nobody confirms it
    confirmations: Annotated[int, Meta(ge=0, le=16)] = 3
    gossip_every: Seconds = 0.2
    fanout: Annotated[int, Meta(ge=1, le=16)] = 3
    sync_every: Seconds = 2.0  # a whole comparison with one other member
    forget_after: Seconds = 300.0  # those who left or died are remembered so long


def read_member(raw: Mapping[str, Any]) -> MemberSettings:
    """The table; ``InvalidFieldError`` names the field and the reason."""
    conf = convert(raw, MemberSettings, "member")
    for key, value in (("listen", conf.listen), ("advertise", conf.advertise)):
        if value is not None and int(value.rpartition(":")[2]) > 65535:
            raise InvalidFieldError(f"member.{key}: no such port: {value}")
    for key, value in (
        ("listen", conf.listen),
        ("advertise", conf.advertise),
        *((f"seeds[{n}]", seed) for n, seed in enumerate(conf.seeds)),
    ):
        if value is not None and not LOOPBACK_ADDRESS.match(value):
            raise InvalidFieldError(
                f"member.{key}: packets are not signed, so only loopback addresses are allowed"
            )
    if conf.probe_wait >= conf.probe_every:
        raise InvalidFieldError("member.probe_wait: not shorter than probe_every")
    return conf
