"""Reader of Apache balancers: ``<Proxy balancer://…>`` sections and ``BalancerMember`` lines."""

from __future__ import annotations

import re
import shlex
from collections.abc import Iterator

from saltcart.deployment import MemberConf, UpstreamConf
from saltcart.importer import Report, make_member, make_upstream

SECTION_START = re.compile(r"<\s*Proxy\s+\"?balancer://([^\s\"/>]+)/?\"?\s*>\Z", re.IGNORECASE)
SECTION_END = re.compile(r"</\s*Proxy\s*>\Z", re.IGNORECASE)
BALANCER_URL = re.compile(r"balancer://([^\s/]+)/?\Z", re.IGNORECASE)
MEMBER_URL = re.compile(r"ajp://(\[[^\]]+\]|[^\s:/]+)(?::(\d+))?(/.*)?\Z", re.IGNORECASE)
INACTIVE_STATUS_FLAGS = "DSHEN"  # disabled, stopped, hot standby, error, draining


def logical_lines(text: str) -> Iterator[tuple[int, str]]:
    """Yield each line, continuation lines joined, with the number of its first line; skip comments."""
    start, joined = 0, ""
    for number, raw in enumerate(text.splitlines(), 1):
        start = start or number
        if raw.endswith("\\"):
            joined += raw[:-1] + " "
            continue
        line, first = (joined + raw).strip(), start
        start, joined = 0, ""
        if line and not line.startswith("#"):
            yield first, line
    if joined.strip():
        yield start, joined.strip()


def read_member(file: str, line: int, words: list[str], report: Report) -> MemberConf | None:
    """Read a member from its URL and parameters; report parameters that can't be converted."""
    match = MEMBER_URL.match(words[0]) if words else None
    if not match:
        report.add(file, line, f"not an AJP member: {' '.join(words[:1])}")
        return None
    weight, secret = "1", ""
    for word in words[1:]:
        key, _, value = word.partition("=")
        if key.lower() == "loadfactor":
            weight = value
        elif key.lower() == "secret":
            secret = value
        elif (
            key.lower() == "status"
            and not value.startswith("-")
            and set(value.upper()) & set(INACTIVE_STATUS_FLAGS)
        ):
            report.add(file, line, f"member {words[0]} is not active and was skipped: {word}")
            return None
        else:
            report.add(file, line, f"not converted: {word}")
    if match[3] and match[3] != "/":
        report.add(file, line, f"not converted: path {match[3]}")
    try:
        return make_member(match[1], match[2] or "8009", weight, secret)
    except ValueError as error:
        report.add(file, line, str(error))
        return None


def read_balancers(file: str, text: str, report: Report) -> list[UpstreamConf]:
    """Read the balancers of an Apache configuration as upstreams; report what can't be converted."""
    members: dict[str, list[MemberConf]] = {}
    lines: dict[str, int] = {}
    section_name: str | None = None
    for number, line in logical_lines(text):
        if (section := SECTION_START.match(line)) is not None:
            section_name = section[1]
            lines.setdefault(section_name, number)
            members.setdefault(section_name, [])
            continue
        if section_name is not None and SECTION_END.match(line):
            section_name = None
            continue
        try:
            directive, *words = shlex.split(line)
        except ValueError:
            report.add(file, number, f"not a directive: {line}")
            continue
        name = section_name
        if directive.lower() == "balancermember" and section_name is None and words:
            url = BALANCER_URL.match(words[0])
            name = url[1] if url else None
            words = words[1:]
        if directive.lower() != "balancermember" or name is None:
            report.add(file, number, f"not converted: {line}")
            continue
        lines.setdefault(name, number)
        member = read_member(file, number, words, report)
        members.setdefault(name, []).extend([member] if member else [])
    if section_name is not None:
        report.add(file, lines[section_name], f"section is not closed: balancer://{section_name}")
    upstreams = []
    for name, upstream_members in members.items():
        try:
            upstreams.append(make_upstream(name, upstream_members))
        except ValueError as error:
            report.add(file, lines[name], str(error))
    return upstreams
