"""The deployment file of our own: the second front, tenants, upstreams, administration.

It is ``deploy/saltcart.toml`` unless ``SALTCART_DEPLOYMENT`` names another; on the platform every part of
it is off.
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
LOOPBACK = re.compile(r"(127(\.\d{1,3}){3}|localhost):")
PLANS = ("dependency", "plan", "memory")  # the tables that saltcart.composition.plan reads
DEFAULT = Path(__file__).resolve().parent.parent / "deploy" / "saltcart.toml"


@dataclass(frozen=True, slots=True)
class AjpSettings:
    listen: str
    secret: str = ""


@dataclass(frozen=True, slots=True)
class AdminSettings:
    listen: str
    token: str
    state_file: str | None = None  # the file in which changes outlive the process


@dataclass(frozen=True, slots=True)
class MemberConf:
    host: str
    weight: float = 1.0
    secret: str = ""
    zone: str = ""
    region: str = ""
    capacity: float = 0.0  # requests a second, where work is spread over zones


@dataclass(frozen=True, slots=True)
class UpstreamConf:
    name: str
    members: tuple[MemberConf, ...]


@dataclass(frozen=True, slots=True)
class TenantConf:
    """A tenant: its share of the service, its quota over the fleet, and who does its work."""

    name: str
    share: float
    quota: float
    upstream: str | None = None


@dataclass(frozen=True, slots=True)
class Deployment:
    ajp: AjpSettings | None = None
    admin: AdminSettings | None = None
    upstreams: tuple[UpstreamConf, ...] = ()
    tenants: tuple[TenantConf, ...] = ()
    plans: CompositionSpec | None = None  # how answers are composed of several dependencies' replies
    storm: StormSettings | None = None  # how retry storms are damped
    member: MemberSettings | None = None  # how the fleet's processes keep a view of each other
    locality: LocalitySettings | None = None  # how an upstream's work is spread over zones
    fleet: FleetSettings | None = None  # how an upstream's members are shared out among the instances


def name(f: FieldReader, key: str = "name") -> str:
    value: str = f.text(key)
    if not NAME_PATTERN.match(value):
        raise InvalidFieldError(f"{f.where}: field {key} is not a name")
    return value


def only(f: FieldReader, *known: str) -> FieldReader:
    """A misspelt field must not pass for an absent one."""
    for key in f.raw:
        if key not in known:
            raise InvalidFieldError(f"{f.where}: no such field: {key}")
    return f


def read_upstream(raw: Any, where: str) -> UpstreamConf:
    f = only(FieldReader(raw, where), "name", "members")
    members = []
    for n, item in enumerate(f.array("members")):
        m = only(
            FieldReader(item, f"{where}.members[{n}]"),
            "host",
            "weight",
            "secret",
            "zone",
            "region",
            "capacity",
        )
        weight = m.number("weight", 1.0, low=0.001, high=1000)
        members.append(
            MemberConf(
                read_host_and_port(m, "host"),
                weight,
                m.text("secret", ""),
                m.text("zone", ""),
                m.text("region", ""),
                m.number("capacity", 0.0),
            )
        )
    if not members:
        raise InvalidFieldError(f"{where}: field members is empty")
    if len({m.host for m in members}) != len(members):
        raise InvalidFieldError(f"{where}: field members names a host twice")
    return UpstreamConf(name(f), tuple(members))


def read_tenant(raw: Any, where: str) -> TenantConf:
    f = only(FieldReader(raw, where), "name", "share", "quota", "upstream")
    upstream = f.text("upstream", None)
    return TenantConf(name(f), f.number("share", 0.0, high=1), f.number("quota", 0.0), upstream)


def check_upstreams_and_tenants(upstreams: tuple[UpstreamConf, ...], tenants: tuple[TenantConf, ...]) -> None:
    """What must hold of all together; ``InvalidFieldError`` says what does not."""
    known = [u.name for u in upstreams]
    for what, names in (("upstream", known), ("tenant", [t.name for t in tenants])):
        for value in names:
            if names.count(value) > 1:
                raise InvalidFieldError(f"{what} {value}: named twice")
    for t in tenants:
        if t.upstream is not None and t.upstream not in known:
            raise InvalidFieldError(f"tenant {t.name}: no such upstream: {t.upstream}")
    if sum(t.share for t in tenants) > 1 + 1e-9:
        raise InvalidFieldError("tenants: the shares add up to more than 1")


def check_locality(
    locality: LocalitySettings, member: MemberSettings | None, upstreams: tuple[UpstreamConf, ...]
) -> None:
    """What has to hold of zones, members and upstreams together; ``InvalidFieldError`` says what does not."""
    if member is None:
        raise InvalidFieldError("locality: zones are agreed on through [member], which is not there or off")
    upstream = next((u for u in upstreams if u.name == locality.upstream), None)
    if upstream is None:
        raise InvalidFieldError(f"locality.upstream: no such upstream: {locality.upstream}")
    for m in upstream.members:
        if not m.zone or m.capacity <= 0:
            raise InvalidFieldError(f"upstream {upstream.name}: member {m.host}: needs a zone and a capacity")
    if member.zone not in {m.zone for m in upstream.members}:
        raise InvalidFieldError(f"member.zone: {member.zone!r} is no zone of upstream {upstream.name}")
    regions: dict[str, str] = {}
    for m in upstream.members:
        if regions.setdefault(m.zone, m.region) != m.region:
            raise InvalidFieldError(f"upstream {upstream.name}: zone {m.zone} is in two regions")


def check_fleet(
    fleet: FleetSettings,
    member: MemberSettings | None,
    upstreams: tuple[UpstreamConf, ...],
    locality: LocalitySettings | None,
) -> None:
    """The same of members that are shared out."""
    if member is None:
        raise InvalidFieldError("fleet: members are shared out through [member], which is not there or off")
    if fleet.upstream not in {u.name for u in upstreams}:
        raise InvalidFieldError(f"fleet.upstream: no such upstream: {fleet.upstream}")
    if locality is not None and locality.upstream == fleet.upstream:
        raise InvalidFieldError(f"fleet.upstream: the work of {fleet.upstream} is spread over zones already")


def read_deployment(raw: Any) -> Deployment:
    try:
        f = only(
            FieldReader(raw, "deployment"),
            "ajp",
            "admin",
            "upstream",
            "tenant",
            "storm",
            "member",
            "locality",
            "fleet",
            *PLANS,
        )
        ajp = admin = None
        if "ajp" in f.raw:
            a = only(f.section("ajp"), "enabled", "listen", "secret")
            if a.flag("enabled", True):
                ajp = AjpSettings(read_host_and_port(a, "listen"), a.text("secret", ""))
                if not ajp.secret and not LOOPBACK.match(ajp.listen):
                    raise InvalidFieldError("deployment.ajp: off the loopback addresses a secret is needed")
        if "admin" in f.raw:
            a = only(f.section("admin"), "enabled", "listen", "token", "state")
            if a.flag("enabled", True):
                admin = AdminSettings(read_host_and_port(a, "listen"), a.text("token"), a.text("state", None))
                if len(admin.token) < 16:
                    raise InvalidFieldError("deployment.admin: field token is shorter than 16 characters")
                if not LOOPBACK.match(admin.listen):
                    raise InvalidFieldError("deployment.admin: field listen is not a loopback address")
        upstreams = tuple(read_upstream(u, f"upstream[{n}]") for n, u in enumerate(f.array("upstream", [])))
        tenants = tuple(read_tenant(t, f"tenant[{n}]") for n, t in enumerate(f.array("tenant", [])))
        check_upstreams_and_tenants(upstreams, tenants)
        plans = None
        if any(key in f.raw for key in PLANS):  # only where it is needed: a service without plans stays lean
            from saltcart.composition.plan import read_plans

            tables = {key: f.raw[key] for key in PLANS if key in f.raw}
            plans = read_plans(tables, [u.name for u in upstreams])
        storm = None
        if "storm" in f.raw:
            from saltcart.retry_storm.settings import read_storm

            storm = read_storm(f.section("storm").raw)
        member = None
        if "member" in f.raw:
            from saltcart.membership.settings import read_member

            member = read_member(f.section("member").raw)
            member = member if member.enabled else None
        locality = None
        if "locality" in f.raw:
            from saltcart.locality.settings import read_locality

            locality = read_locality(f.section("locality").raw)
            check_locality(locality, member, upstreams)
            locality = locality if locality.enabled else None
        fleet = None
        if "fleet" in f.raw:
            from saltcart.subsetting.settings import read_fleet

            fleet = read_fleet(f.section("fleet").raw)
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
    named = environment.get("SALTCART_DEPLOYMENT")
    path = Path(named) if named else DEFAULT
    if not named and not path.exists():
        return Deployment()
    try:
        return read_deployment(tomllib.loads(path.read_text(encoding="utf-8")))
    except (OSError, tomllib.TOMLDecodeError, UnicodeDecodeError, ConfigError) as error:
        raise ConfigError(f"{path}: {error}") from None
