"""Apache's balancers: ``<Proxy balancer://…>`` sections and ``BalancerMember`` lines with AJP members."""

from __future__ import annotations

import re
import shlex
from collections.abc import Iterator

from saltcart.deployment import MemberConf, UpstreamConf
from saltcart.importer import Report, member, upstream

SECTION = re.compile(r"<\s*Proxy\s+\"?balancer://([^\s\"/>]+)/?\"?\s*>\Z", re.IGNORECASE)
END = re.compile(r"</\s*Proxy\s*>\Z", re.IGNORECASE)
BALANCER = re.compile(r"balancer://([^\s/]+)/?\Z", re.IGNORECASE)
URL = re.compile(r"ajp://(\[[^\]]+\]|[^\s:/]+)(?::(\d+))?(/.*)?\Z", re.IGNORECASE)
OUT_OF_USE = "DSHEN"  # disabled, stopped, hot standby, in error, draining


def logical_lines(text: str) -> Iterator[tuple[int, str]]:
    """Lines with what a backslash at their end joins, by the number of the first."""
    start, whole = 0, ""
    for number, raw in enumerate(text.splitlines(), 1):
        start = start or number
        if raw.endswith("\\"):
            whole += raw[:-1] + " "
            continue
        line, first = (whole + raw).strip(), start
        start, whole = 0, ""
        if line and not line.startswith("#"):
            yield first, line
    if whole.strip():
        yield start, whole.strip()


def read_member(file: str, line: int, words: list[str], report: Report) -> MemberConf | None:
    """One member from its address and parameters; what else they say is reported."""
    found = URL.match(words[0]) if words else None
    if not found:
        report.add(file, line, f"not an AJP member: {' '.join(words[:1])}")
        return None
    weight, secret = "1", ""
    for word in words[1:]:
        key, _, value = word.partition("=")
        if key.lower() == "loadfactor":
            weight = value
        elif key.lower() == "secret":
            secret = value
        elif key.lower() == "status" and not value.startswith("-") and set(value.upper()) & set(OUT_OF_USE):
            report.add(file, line, f"member {words[0]} is out of use and left out: {word}")
            return None
        else:
            report.add(file, line, f"not carried over: {word}")
    if found[3] and found[3] != "/":
        report.add(file, line, f"not carried over: path {found[3]}")
    try:
        return member(found[1], found[2] or "8009", weight, secret)
    except ValueError as error:
        report.add(file, line, str(error))
        return None


def read_balancers(file: str, text: str, report: Report) -> list[UpstreamConf]:
    """The upstreams that the balancers stand for."""
    members: dict[str, list[MemberConf]] = {}
    lines: dict[str, int] = {}
    inside: str | None = None
    for number, line in logical_lines(text):
        if (section := SECTION.match(line)) is not None:
            inside = section[1]
            lines.setdefault(inside, number)
            members.setdefault(inside, [])
            continue
        if inside is not None and END.match(line):
            inside = None
            continue
        try:
            directive, *words = shlex.split(line)
        except ValueError:
            report.add(file, number, f"not a directive: {line}")
            continue
        name = inside
        if directive.lower() == "balancermember" and inside is None and words:
            named = BALANCER.match(words[0])
            name = named[1] if named else None
            words = words[1:]
        if directive.lower() != "balancermember" or name is None:
            report.add(file, number, f"not carried over: {line}")
            continue
        lines.setdefault(name, number)
        found = read_member(file, number, words, report)
        members.setdefault(name, []).extend([found] if found else [])
    if inside is not None:
        report.add(file, lines[inside], f"section without its end: balancer://{inside}")
    out = []
    for name, kept in members.items():
        try:
            out.append(upstream(name, kept))
        except ValueError as error:
            report.add(file, lines[name], str(error))
    return out
