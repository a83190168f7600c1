"""Conversion of mod_jk and Apache balancer configurations to a deployment file.

Everything that can't be converted is reported with its file and line; nothing is dropped silently.
"""

from __future__ import annotations

import json
from collections.abc import Iterable
from dataclasses import dataclass, field

from saltcart.config import HOST_AND_PORT
from saltcart.deployment import NAME_PATTERN, MemberConf, UpstreamConf


@dataclass(slots=True)
class Report:
    """Messages about what was not converted; its text has each once, in the order of files and lines."""

    messages: list[tuple[str, int, str]] = field(default_factory=list)  # file, line, text

    def add(self, file: str, line: int, text: str) -> None:
        """Add a message about a line of a file."""
        self.messages.append((file, line, text))

    def __str__(self) -> str:
        return "".join(f"{file}:{line}: {text}\n" for file, line, text in sorted(set(self.messages)))


def make_member(host: str, port: str, weight: str, secret: str) -> MemberConf:
    """Create a member.

    Raises:
        ValueError: If the address or the load factor is invalid.
    """
    match = HOST_AND_PORT.match(f"{host}:{port}")
    if not match or not 0 < int(match[2]) < 65536:
        raise ValueError(f"not a host and port: {host}:{port}")
    try:
        load_factor = float(weight)
    except ValueError:
        load_factor = 0.0
    if not 0.001 <= load_factor <= 1000:
        raise ValueError(f"not a load factor: {weight}")
    return MemberConf(f"{host}:{port}", load_factor, secret)


def make_upstream(name: str, members: Iterable[MemberConf]) -> UpstreamConf:
    """Create an upstream; of several members with one address the last one is used.

    Raises:
        ValueError: If the name is invalid or there are no members.
    """
    unique_members = tuple({member.host: member for member in members}.values())
    if not NAME_PATTERN.match(name):
        raise ValueError(f"not a valid upstream name: {name}")
    if not unique_members:
        raise ValueError(f"{name} has no usable members")
    return UpstreamConf(name, unique_members)


def to_toml(upstreams: Iterable[UpstreamConf]) -> str:
    """Format upstreams as tables of a deployment file."""
    tables = []
    for upstream in upstreams:
        members = []
        for member in upstream.members:
            secret = f", secret = {json.dumps(member.secret)}" if member.secret else ""
            members.append(f"  {{ host = {json.dumps(member.host)}, weight = {member.weight}{secret} }},\n")
        tables.append(f"[[upstream]]\nname = {json.dumps(upstream.name)}\nmembers = [\n{''.join(members)}]\n")
    return "\n".join(tables)
