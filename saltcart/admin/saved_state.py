"""The file of state, which keeps changes of tenants and upstreams, and the deployment file.

One rule decides between the two files: what is saved holds, by name, except upstreams that other instances
know from the deployment file alone.  The differences are returned for the log.
"""

from __future__ import annotations

import enum
import os
from collections.abc import Iterable, Iterator, Set
from dataclasses import asdict, dataclass, fields
from pathlib import Path
from typing import Any, NamedTuple

import orjson

from saltcart.config import ConfigError
from saltcart.deployment import TenantConf, UpstreamConf, read_tenant, read_upstream
from saltcart.field_reader import InvalidFieldError


class State(NamedTuple):
    """Tenants and upstreams, each in their order; the first upstream is the default one."""

    tenants: tuple[TenantConf, ...]
    upstreams: tuple[UpstreamConf, ...]


class ValueInForce(enum.StrEnum):
    """Which of two different values is in force; the values are parts of the names of log events."""

    SAVED = "kept"
    DEPLOYED = "overruled"


@dataclass(frozen=True, slots=True)
class Difference:
    """A field in which the file of state differs from the deployment file."""

    in_force: ValueInForce
    field: str  # such as "tenant acme.share", or "upstream kranj" where one file has none of this name
    saved: Any  # as JSON, without secrets; None if the file has no such tenant or upstream
    deployed: Any


def load_state(path: Path) -> State:
    """Read the file of state.

    Raises:
        ConfigError: The file can't be read, or its content is invalid.
    """
    try:
        raw = orjson.loads(path.read_bytes())
        return State(
            tuple(read_tenant(item, f"tenant[{n}]") for n, item in enumerate(raw["tenants"])),
            tuple(read_upstream(item, f"upstream[{n}]") for n, item in enumerate(raw["upstreams"])),
        )
    except (OSError, ValueError, KeyError, TypeError, InvalidFieldError) as error:
        raise ConfigError(f"{path}: {error}") from None


def save_state(path: Path, state: State) -> None:
    """Replace the file of state in one step; only its owner may read it, as it has secrets.

    Raises:
        OSError: The file can't be written.
    """
    content = {
        "tenants": [asdict(tenant) for tenant in state.tenants],
        "upstreams": [asdict(upstream) for upstream in state.upstreams],
    }
    draft = path.with_name(path.name + ".new")
    with open(os.open(draft, os.O_WRONLY | os.O_CREAT | os.O_TRUNC, 0o600), "wb") as file:
        file.write(orjson.dumps(content, option=orjson.OPT_INDENT_2))
    os.replace(draft, path)


def combine(saved: State, deployed: State, fixed: Set[str], required: Set[str]) -> State:
    """Return what holds where there are both files.

    Args:
        saved: The content of the file of state.
        deployed: The content of the deployment file.
        fixed: Names of upstreams that are always as deployed, as all instances agree on their members.
        required: Names of upstreams that are taken from the deployment file if they are not saved.
    """
    upstreams = {upstream.name: upstream for upstream in saved.upstreams}
    for upstream in deployed.upstreams:
        is_missing = upstream.name in required and upstream.name not in upstreams
        if upstream.name in fixed or is_missing:
            upstreams[upstream.name] = upstream
    return State(saved.tenants, tuple(upstreams.values()))


def find_differences(saved: State, deployed: State, used: State) -> Iterator[Difference]:
    """Yield the fields of the deployment file that the file of state has otherwise.

    Tenants and upstreams that are saved alone were created by the API, and are no differences.

    Args:
        saved: The content of the file of state.
        deployed: The content of the deployment file.
        used: What holds of the two.
    """
    yield from _compare("tenant", saved.tenants, deployed.tenants, used.tenants)
    yield from _compare("upstream", saved.upstreams, deployed.upstreams, used.upstreams)


def _compare(
    kind: str,
    saved: Iterable[TenantConf | UpstreamConf],
    deployed: Iterable[TenantConf | UpstreamConf],
    used: Iterable[TenantConf | UpstreamConf],
) -> Iterator[Difference]:
    saved_by_name = {item.name: item for item in saved}
    used_items = [*used]
    for item in deployed:
        in_force = ValueInForce.DEPLOYED if item in used_items else ValueInForce.SAVED
        saved_item = saved_by_name.get(item.name)
        if saved_item is None:
            yield Difference(in_force, f"{kind} {item.name}", None, _without_secrets(item))
            continue
        for field in fields(item):
            saved_value = getattr(saved_item, field.name)
            deployed_value = getattr(item, field.name)
            if saved_value != deployed_value:
                name = f"{kind} {item.name}.{field.name}"
                shown = _without_secrets(saved_value), _without_secrets(deployed_value)
                yield Difference(in_force, name, *shown)


def _without_secrets(value: Any) -> Any:
    """Return a value of a configuration as JSON can express it, with only whether there is a secret."""
    if isinstance(value, tuple):
        return [_without_secrets(item) for item in value]
    if not hasattr(value, "__dataclass_fields__"):
        return value
    shown = {field.name: _without_secrets(getattr(value, field.name)) for field in fields(value)}
    if "secret" in shown:
        shown["has_secret"] = bool(shown.pop("secret"))
    return shown
