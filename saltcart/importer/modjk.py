"""mod_jk's ``workers.properties``: ajp13 and lb workers, load factors, templates by ``reference``."""

from __future__ import annotations

import re
from dataclasses import dataclass

from saltcart.deployment import MemberConf, UpstreamConf
from saltcart.importer import Report, member, upstream

LINE = re.compile(r"([A-Za-z0-9._-]+)\s*=\s*(.*)\Z")
VARIABLE = re.compile(r"\$\(([^)]*)\)")
LISTS = ("balance_workers", "balanced_workers")
CARRIED = ("type", "host", "port", "lbfactor", "secret", "reference", *LISTS)
OUT_OF_USE = {"d", "disabled", "s", "stopped"}


@dataclass(slots=True)
class Setting:
    value: str
    line: int


def names(text: str) -> list[str]:
    return [name for name in re.split(r"[\s,]+", text) if name]


class Workers:
    """The settings of a file by worker, with references resolved."""

    def __init__(self, file: str, text: str, report: Report) -> None:
        self.file, self.report = file, report
        self.variables: dict[str, str] = {}
        self.settings: dict[str, dict[str, Setting]] = {}
        self.listed: list[tuple[str, int]] = []
        for number, raw in enumerate(text.splitlines(), 1):
            line = raw.strip()
            if line and not line.startswith(("#", "!")):
                self._line(number, line)

    def _line(self, number: int, line: str) -> None:
        found = LINE.match(line)
        if not found:
            self.report.add(self.file, number, f"not a setting: {line}")
            return
        name, value = found[1], VARIABLE.sub(lambda v: self.variables.get(v[1], v[0]), found[2].strip())
        if VARIABLE.search(value):
            self.report.add(self.file, number, f"unknown variable: {value}")
        if not name.startswith("worker."):
            self.variables[name] = value
        elif name == "worker.list":
            self.listed += [(worker, number) for worker in names(value)]
        elif name.count(".") < 2:
            self.report.add(self.file, number, f"not carried over: {name}")
        else:
            worker, _, key = name.removeprefix("worker.").rpartition(".")
            own = self.settings.setdefault(worker, {})
            if key in LISTS and key in own:  # such lists add up
                own[key].value += f",{value}"
                return
            own[key] = Setting(value, number)
            if key not in CARRIED and key != "activation":
                self.report.add(self.file, number, f"not carried over: {name}")

    def resolved(self, worker: str, path: tuple[str, ...] = ()) -> dict[str, Setting]:
        """A worker's settings over those of the template that it refers to."""
        own = self.settings.get(worker, {})
        reference = own.get("reference")
        if reference is None:
            return own
        template = reference.value.removeprefix("worker.")
        if template in (*path, worker) or template not in self.settings:
            self.report.add(self.file, reference.line, f"no such template: {reference.value}")
            return own
        return {**self.resolved(template, (*path, worker)), **own}

    def member(self, worker: str, line: int) -> MemberConf | None:
        s = self.resolved(worker)

        def value(key: str, default: str) -> str:
            return s[key].value if key in s else default

        if not s:
            self.report.add(self.file, line, f"no such worker: {worker}")
        elif value("type", "ajp13") != "ajp13":
            self.report.add(self.file, s["type"].line, f"worker {worker}: not an ajp13 worker")
        elif value("activation", "a").lower() in OUT_OF_USE:
            self.report.add(self.file, s["activation"].line, f"worker {worker} is out of use and left out")
        else:
            try:
                return member(
                    value("host", "localhost"),
                    value("port", "8009"),
                    value("lbfactor", "1"),
                    value("secret", ""),
                )
            except ValueError as error:
                self.report.add(self.file, min(x.line for x in s.values()), f"worker {worker}: {error}")
        return None


def read_workers(file: str, text: str, report: Report) -> list[UpstreamConf]:
    """The upstreams that the listed workers stand for."""
    workers, out = Workers(file, text, report), list[UpstreamConf]()
    if not workers.listed:
        report.add(file, 1, "worker.list is missing: every balancer is taken")
        workers.listed = [
            (name, 1) for name, s in workers.settings.items() if "type" in s and s["type"].value == "lb"
        ]
    used = set[str]()
    for name, line in workers.listed:
        s = workers.resolved(name)
        used.add(name)
        members, named_at = [name], line
        if "type" in s and s["type"].value == "lb":
            lists = [s[key] for key in LISTS if key in s]
            members = [x for setting in lists for x in names(setting.value)]
            named_at = lists[0].line if lists else line
        used.update(members)
        found = [m for m in (workers.member(worker, named_at) for worker in members) if m is not None]
        try:
            out.append(upstream(name, found))
        except ValueError as error:
            report.add(file, named_at, str(error))
    templates = {
        s["reference"].value.removeprefix("worker.") for s in workers.settings.values() if "reference" in s
    }
    for name in workers.settings.keys() - used - templates:
        first = min(x.line for x in workers.settings[name].values())
        report.add(file, first, f"worker {name} is not listed and was left out")
    return out
