"""The deployment file: the AJP front, administration, tenants, upstreams and optional features.

It is ``deploy/saltcart.toml`` unless ``SALTCART_DEPLOYMENT`` names another file.  On the platform every part
of it is off.
"""

from __future__ import annotations

import os
import re
import tomllib
from collections.abc import Mapping
from dataclasses import dataclass
from pathlib import Path
from typing import TYPE_CHECKING, Any

from saltcart.config import ConfigError, read_host_and_port
from saltcart.field_reader import FieldReader, InvalidFieldError

if TYPE_CHECKING:
    from saltcart.composition.plan import CompositionSpec
    from saltcart.locality.settings import LocalitySettings
    from saltcart.membership.settings import MemberSettings
    from saltcart.retry_storm.settings import StormSettings
    from saltcart.subsetting.settings import FleetSettings

NAME_PATTERN = re.compile(r"[A-Za-z0-9._-]{1,64}\Z")
LOOPBACK_ADDRESS = re.compile(r"(127(\.\d{1,3}){3}|localhost):")
PLAN_TABLES = ("dependency", "plan", "memory")  # read by saltcart.composition.plan
MIN_TOKEN_CHARACTERS = 16
DEFAULT_PATH = Path(__file__).resolve().parent.parent / "deploy" / "saltcart.toml"


@dataclass(frozen=True, slots=True)
class AjpSettings:
    """The front for AJP/1.3 gateways."""

    listen: str  # host:port
    secret: str = ""  # unless empty, every forward request must carry it


@dataclass(frozen=True, slots=True)
class AdminSettings:
    """The administration API."""

    listen: str  # host:port
    token: str  # bearer token that each request must carry
    state_file: str | None = None  # path of the file that keeps changes over a restart


@dataclass(frozen=True, slots=True)
class MemberConf:
    """A member of an upstream: one AJP server."""

    host: str  # host:port
    weight: float = 1.0
    secret: str = ""
    zone: str = ""
    region: str = ""
    capacity: float = 0.0  # requests per second, for zone-aware routing


@dataclass(frozen=True, slots=True)
class UpstreamConf:
    """A named group of AJP servers."""

    name: str
    members: tuple[MemberConf, ...]


@dataclass(frozen=True, slots=True)
class TenantConf:
    """A tenant, with its part of the service's capacity."""

    name: str
    share: float  # of the capacity, from 0 to 1
    quota: float  # requests per second over the whole fleet
    upstream: str | None = None  # which runs its requests; None for the default one


@dataclass(frozen=True, slots=True)
class Deployment:
    """The content of a deployment file; ``None`` for features that are off."""

    ajp: AjpSettings | None = None
    admin: AdminSettings | None = None
    upstreams: tuple[UpstreamConf, ...] = ()
    tenants: tuple[TenantConf, ...] = ()
    plans: CompositionSpec | None = None  # for responses composed of several dependencies' replies
    storm: StormSettings | None = None  # for the control of retry storms
    member: MemberSettings | None = None  # for the gossip between the fleet's instances
    locality: LocalitySettings | None = None  # for zone-aware routing to one upstream
    fleet: FleetSettings | None = None  # for subsetting of one upstream's members


def read_name(reader: FieldReader, key: str = "name") -> str:
    """Return a required field that holds a name of a tenant or upstream."""
    value: str = reader.text(key)
    if not NAME_PATTERN.match(value):
        raise InvalidFieldError(
            f"{reader.where}: field {key} is not a name of 1 to 64 letters, digits, '.', '_' or '-'"
        )
    return value


def reject_unknown_fields(reader: FieldReader, *known: str) -> FieldReader:
    """Return the reader, after checking that it has known fields only.

    A misspelt field must not be taken for an absent one.

    Raises:
        InvalidFieldError: If the object has a field whose name is not in ``known``.
    """
    for key in reader.raw:
        if key not in known:
            raise InvalidFieldError(f"{reader.where}: unknown field: {key}")
    return reader


def read_upstream(raw: Any, where: str) -> UpstreamConf:
    """Read an upstream.

    Args:
        raw: The decoded table.
        where: Name of the table, for errors.

    Raises:
        InvalidFieldError: If a field is unknown, missing or invalid.
    """
    reader = reject_unknown_fields(FieldReader(raw, where), "name", "members")
    members = []
    for index, item in enumerate(reader.array("members")):
        member_reader = reject_unknown_fields(
            FieldReader(item, f"{where}.members[{index}]"),
            "host",
            "weight",
            "secret",
            "zone",
            "region",
            "capacity",
        )
        weight = member_reader.number("weight", 1.0, low=0.001, high=1000)
        members.append(
            MemberConf(
                read_host_and_port(member_reader, "host"),
                weight,
                member_reader.text("secret", ""),
                member_reader.text("zone", ""),
                member_reader.text("region", ""),
                member_reader.number("capacity", 0.0),
            )
        )
    if not members:
        raise InvalidFieldError(f"{where}: field members is empty")
    if len({member.host for member in members}) != len(members):
        raise InvalidFieldError(f"{where}: field members names a host twice")
    return UpstreamConf(read_name(reader), tuple(members))


def read_tenant(raw: Any, where: str) -> TenantConf:
    """Read a tenant.

    Args:
        raw: The decoded table.
        where: Name of the table, for errors.

    Raises:
        InvalidFieldError: If a field is unknown, missing or invalid.
    """
    reader = reject_unknown_fields(FieldReader(raw, where), "name", "share", "quota", "upstream")
    upstream = reader.text("upstream", None)
    return TenantConf(
        read_name(reader), reader.number("share", 0.0, high=1), reader.number("quota", 0.0), upstream
    )


def check_upstreams_and_tenants(upstreams: tuple[UpstreamConf, ...], tenants: tuple[TenantConf, ...]) -> None:
    """Check that names are unique, that tenants' upstreams exist and that shares add up to at most 1.

    Raises:
        InvalidFieldError: If one of these is not so.
    """
    known = [upstream.name for upstream in upstreams]
    for kind, names in (("upstream", known), ("tenant", [tenant.name for tenant in tenants])):
        for name in names:
            if names.count(name) > 1:
                raise InvalidFieldError(f"{kind} {name}: defined twice")
    for tenant in tenants:
        if tenant.upstream is not None and tenant.upstream not in known:
            raise InvalidFieldError(f"tenant {tenant.name}: no such upstream: {tenant.upstream}")
    if sum(tenant.share for tenant in tenants) > 1 + 1e-9:
        raise InvalidFieldError("tenants: the shares add up to more than 1")


def check_locality(
    locality: LocalitySettings, membership: MemberSettings | None, upstreams: tuple[UpstreamConf, ...]
) -> None:
    """Check the settings of zone-aware routing against those of membership and upstreams.

    Args:
        locality: The settings to check.
        membership: Settings of membership; ``None`` if it is off.
        upstreams: All upstreams.

    Raises:
        InvalidFieldError: If they don't fit together.
    """
    if membership is None:
        raise InvalidFieldError(
            "locality: instances agree on zones through [member], which is missing or disabled"
        )
    upstream = next((known for known in upstreams if known.name == locality.upstream), None)
    if upstream is None:
        raise InvalidFieldError(f"locality.upstream: no such upstream: {locality.upstream}")
    for member in upstream.members:
        if not member.zone or member.capacity <= 0:
            raise InvalidFieldError(
                f"upstream {upstream.name}: member {member.host}: needs a zone and a capacity"
            )
    if membership.zone not in {member.zone for member in upstream.members}:
        raise InvalidFieldError(f"member.zone: {membership.zone!r} is not a zone of upstream {upstream.name}")
    regions: dict[str, str] = {}
    for member in upstream.members:
        if regions.setdefault(member.zone, member.region) != member.region:
            raise InvalidFieldError(f"upstream {upstream.name}: zone {member.zone} is in two regions")


def check_fleet(
    fleet: FleetSettings,
    membership: MemberSettings | None,
    upstreams: tuple[UpstreamConf, ...],
    locality: LocalitySettings | None,
) -> None:
    """Check the settings of subsetting against those of membership, upstreams and zone-aware routing.

    Args:
        fleet: The settings to check.
        membership: Settings of membership; ``None`` if it is off.
        upstreams: All upstreams.
        locality: Settings of zone-aware routing; ``None`` if it is off.

    Raises:
        InvalidFieldError: If they don't fit together.
    """
    if membership is None:
        raise InvalidFieldError(
            "fleet: instances agree on subsets through [member], which is missing or disabled"
        )
    if fleet.upstream not in {upstream.name for upstream in upstreams}:
        raise InvalidFieldError(f"fleet.upstream: no such upstream: {fleet.upstream}")
    if locality is not None and locality.upstream == fleet.upstream:
        raise InvalidFieldError(
            f"fleet.upstream: {fleet.upstream} is already routed by zone through [locality]"
        )


def read_deployment(raw: Any) -> Deployment:
    """Read the content of a deployment file.

    Args:
        raw: The decoded TOML.

    Raises:
        ConfigError: If a field is unknown, missing or invalid, or settings don't fit together.
    """
    try:
        reader = reject_unknown_fields(
            FieldReader(raw, "deployment"),
            "ajp",
            "admin",
            "upstream",
            "tenant",
            "storm",
            "member",
            "locality",
            "fleet",
            *PLAN_TABLES,
        )
        ajp = admin = None
        if "ajp" in reader.raw:
            table = reject_unknown_fields(reader.section("ajp"), "enabled", "listen", "secret")
            if table.flag("enabled", True):
                ajp = AjpSettings(read_host_and_port(table, "listen"), table.text("secret", ""))
                if not ajp.secret and not LOOPBACK_ADDRESS.match(ajp.listen):
                    raise InvalidFieldError(
                        "deployment.ajp: field secret is required unless listen is a loopback address"
                    )
        if "admin" in reader.raw:
            table = reject_unknown_fields(reader.section("admin"), "enabled", "listen", "token", "state")
            if table.flag("enabled", True):
                admin = AdminSettings(
                    read_host_and_port(table, "listen"), table.text("token"), table.text("state", None)
                )
                if len(admin.token) < MIN_TOKEN_CHARACTERS:
                    raise InvalidFieldError(
                        f"deployment.admin: field token is shorter than {MIN_TOKEN_CHARACTERS} characters"
                    )
                if not LOOPBACK_ADDRESS.match(admin.listen):
                    raise InvalidFieldError("deployment.admin: field listen is not a loopback address")
        upstreams = tuple(
            read_upstream(item, f"upstream[{index}]")
            for index, item in enumerate(reader.array("upstream", []))
        )
        tenants = tuple(
            read_tenant(item, f"tenant[{index}]") for index, item in enumerate(reader.array("tenant", []))
        )
        check_upstreams_and_tenants(upstreams, tenants)
        plans = None
        if any(key in reader.raw for key in PLAN_TABLES):  # imported if used, to keep the start-up lean
            from saltcart.composition.plan import read_plans

            tables = {key: reader.raw[key] for key in PLAN_TABLES if key in reader.raw}
            plans = read_plans(tables, [upstream.name for upstream in upstreams])
        storm = None
        if "storm" in reader.raw:
            from saltcart.retry_storm.settings import read_storm

            storm = read_storm(reader.section("storm").raw)
        member = None
        if "member" in reader.raw:
            from saltcart.membership.settings import read_member

            member = read_member(reader.section("member").raw)
            member = member if member.enabled else None
        locality = None
        if "locality" in reader.raw:
            from saltcart.locality.settings import read_locality

            locality = read_locality(reader.section("locality").raw)
            check_locality(locality, member, upstreams)
            locality = locality if locality.enabled else None
        fleet = None
        if "fleet" in reader.raw:
            from saltcart.subsetting.settings import read_fleet

            fleet = read_fleet(reader.section("fleet").raw)
            check_fleet(fleet, member, upstreams, locality)
            fleet = fleet if fleet.enabled else None
        return Deployment(
            ajp,
            admin,
            upstreams,
            tenants,
            plans,
            storm if storm is not None and storm.enabled else None,
            member,
            locality,
            fleet,
        )
    except InvalidFieldError as error:
        raise ConfigError(str(error)) from None


def load(environment: Mapping[str, str] = os.environ) -> Deployment:
    """Read the deployment file; without the default file every feature is off.

    Args:
        environment: Environment variables; ``SALTCART_DEPLOYMENT`` names a file other than the default one.

    Raises:
        ConfigError: If the file can't be read or its content is invalid.
    """
    named = environment.get("SALTCART_DEPLOYMENT")
    path = Path(named) if named else DEFAULT_PATH
    if not named and not path.exists():
        return Deployment()
    try:
        return read_deployment(tomllib.loads(path.read_text(encoding="utf-8")))
    except (OSError, tomllib.TOMLDecodeError, UnicodeDecodeError, ConfigError) as error:
        raise ConfigError(f"{path}: {error}") from None
