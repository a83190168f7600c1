"""The ``[member]`` table of the deployment file."""

from __future__ import annotations

import re
from collections.abc import Mapping
from typing import Annotated, Any

import msgspec
from msgspec import Meta

from saltcart.field_reader import InvalidFieldError
from saltcart.schema import convert_table

ADDRESS_PATTERN = r"^[A-Za-z0-9.-]{1,253}:\d{1,5}$"
LABEL_PATTERN = r"^[A-Za-z0-9._-]{0,32}$"
LOOPBACK_ADDRESS = re.compile(r"(127(\.\d{1,3}){3}|localhost):\d{1,5}\Z")

Address = Annotated[str, Meta(pattern=ADDRESS_PATTERN)]
Label = Annotated[str, Meta(pattern=LABEL_PATTERN)]
Seconds = Annotated[float, Meta(ge=0.01, le=3600.0)]


class MemberSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Settings of the failure detector and of gossip.

    Attributes:
        listen: UDP address to listen on.
        cluster: Name of the fleet; datagrams of another fleet are ignored.
        enabled: Whether this process takes part.
        advertise: Address at which others reach this member; the listening address by default.
        seeds: Addresses of a few members, through which this member joins the fleet.
        zone: Zone of this member.
        region: Region of this member.
        probe_every: Interval between probes, in seconds.
        probe_wait: Timeout of a direct probe, in seconds; after half of it the ping is sent again.
        helpers: Number of members that are requested to probe indirectly.
        suspect_for: Least duration of a suspicion, in probe intervals; multiplied by the decimal logarithm of
            the number of members.
        suspect_most: Duration of an unconfirmed suspicion, as a multiple of the least duration.
        confirmations: Number of further accusers with which a suspicion has its least duration.
        gossip_every: Interval between rounds of gossip, in seconds.
        fanout: Number of members that a round of gossip is sent to.
        sync_every: Interval between anti-entropy exchanges with a random member, in seconds.
        forget_after: Time in seconds for which members that are dead or have left are remembered.
    """

    listen: Address
    cluster: Annotated[str, Meta(pattern=r"^[A-Za-z0-9._-]{1,32}$")]
    enabled: bool = True
    advertise: Address | None = None
    seeds: tuple[Address, ...] = ()
    zone: Label = ""
    region: Label = ""
    probe_every: Annotated[float, Meta(ge=0.05, le=60.0)] = 0.4
    probe_wait: Seconds = 0.15
    helpers: Annotated[int, Meta(ge=0, le=16)] = 3
    suspect_for: Annotated[float, Meta(ge=1.0, le=100.0)] = 3.0
    suspect_most: Annotated[float, Meta(ge=1.0, le=20.0)] = 3.0
    confirmations: Annotated[int, Meta(ge=0, le=16)] = 3
    gossip_every: Seconds = 0.2
    fanout: Annotated[int, Meta(ge=1, le=16)] = 3
    sync_every: Seconds = 2.0
    forget_after: Seconds = 300.0


def read_member(raw: Mapping[str, Any]) -> MemberSettings:
    """Read and check the ``[member]`` table.

    Args:
        raw: The table as parsed from TOML.

    Raises:
        InvalidFieldError: A field is invalid; the message names the field and the reason.
    """
    settings = convert_table(raw, MemberSettings, "member")
    for key, address in (("listen", settings.listen), ("advertise", settings.advertise)):
        if address is not None and int(address.rpartition(":")[2]) > 65535:
            raise InvalidFieldError(f"member.{key}: port out of range: {address}")
    for key, address in (
        ("listen", settings.listen),
        ("advertise", settings.advertise),
        *((f"seeds[{index}]", seed) for index, seed in enumerate(settings.seeds)),
    ):
        if address is not None and not LOOPBACK_ADDRESS.match(address):
            raise InvalidFieldError(
                f"member.{key}: datagrams are not authenticated, so only loopback addresses are allowed"
            )
    if settings.probe_wait >= settings.probe_every:
        raise InvalidFieldError("member.probe_wait: must be less than probe_every")
    return settings
