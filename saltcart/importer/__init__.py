"""Turns mod_jk worker files and Apache balancer lines into our deployment file.

What can't be carried over is reported with file and line, and nothing is dropped in silence.
"""

from __future__ import annotations

import json
from collections.abc import Iterable
from dataclasses import dataclass, field

from saltcart.config import HOST_AND_PORT
from saltcart.deployment import NAME_PATTERN, MemberConf, UpstreamConf


@dataclass(slots=True)
class Report:
    """What was not carried over, in the order of the lines."""

    lines: list[tuple[str, int, str]] = field(default_factory=list)

    def add(self, file: str, line: int, text: str) -> None:
        self.lines.append((file, line, text))

    def __str__(self) -> str:
        return "".join(f"{file}:{line}: {text}\n" for file, line, text in sorted(set(self.lines)))


def member(host: str, port: str, weight: str, secret: str) -> MemberConf:
    """A member, or ``ValueError`` with what is wrong with it."""
    found = HOST_AND_PORT.match(f"{host}:{port}")
    if not found or not 0 < int(found[2]) < 65536:
        raise ValueError(f"not a host and port: {host}:{port}")
    try:
        factor = float(weight)
    except ValueError:
        factor = 0.0
    if not 0.001 <= factor <= 1000:
        raise ValueError(f"not a load factor: {weight}")
    return MemberConf(f"{host}:{port}", factor, secret)


def upstream(name: str, members: Iterable[MemberConf]) -> UpstreamConf:
    """An upstream, or ``ValueError`` with what is wrong with it."""
    kept = tuple({m.host: m for m in members}.values())
    if not NAME_PATTERN.match(name):
        raise ValueError(f"not a name of ours: {name}")
    if not kept:
        raise ValueError(f"{name} has no member left")
    return UpstreamConf(name, kept)


def to_toml(upstreams: Iterable[UpstreamConf]) -> str:
    """The upstreams as a part of ``deploy/saltcart.toml``."""
    out = []
    for u in upstreams:
        members = []
        for m in u.members:
            secret = f", secret = {json.dumps(m.secret)}" if m.secret else ""
            members.append(f"  {{ host = {json.dumps(m.host)}, weight = {m.weight}{secret} }},\n")
        out.append(f"[[upstream]]\nname = {json.dumps(u.name)}\nmembers = [\n{''.join(members)}]\n")
    return "\n".join(out)
