"""Reader of mod_jk's ``workers.properties``: ajp13 and lb workers, load factors, ``reference`` templates."""

from __future__ import annotations

import re
from dataclasses import dataclass

from saltcart.deployment import MemberConf, UpstreamConf
from saltcart.importer import Report, make_member, make_upstream

SETTING_LINE = re.compile(r"([A-Za-z0-9._-]+)\s*=\s*(.*)\Z")
VARIABLE = re.compile(r"\$\(([^)]*)\)")
MEMBER_LIST_KEYS = ("balance_workers", "balanced_workers")
CONVERTED_KEYS = ("type", "host", "port", "lbfactor", "secret", "reference", *MEMBER_LIST_KEYS)
INACTIVE_VALUES = {"d", "disabled", "s", "stopped"}


@dataclass(slots=True)
class Setting:
    """A value, with the line that it is set in."""

    value: str
    line: int


def split_names(text: str) -> list[str]:
    """Split a list of names at commas and white space."""
    return [name for name in re.split(r"[\s,]+", text) if name]


class WorkersFile:
    """The settings of a file by worker; references to templates are resolved on access."""

    def __init__(self, file: str, text: str, report: Report) -> None:
        """Read the settings.

        Args:
            file: Name of the file, for the report.
            text: Content of the file.
            report: Receives what can't be converted.
        """
        self.file, self.report = file, report
        self.variables: dict[str, str] = {}
        self.settings: dict[str, dict[str, Setting]] = {}
        self.listed: list[tuple[str, int]] = []
        for number, raw in enumerate(text.splitlines(), 1):
            line = raw.strip()
            if line and not line.startswith(("#", "!")):
                self._read_line(number, line)

    def _read_line(self, number: int, line: str) -> None:
        match = SETTING_LINE.match(line)
        if not match:
            self.report.add(self.file, number, f"not a setting: {line}")
            return
        name, value = (
            match[1],
            VARIABLE.sub(lambda variable: self.variables.get(variable[1], variable[0]), match[2].strip()),
        )
        if VARIABLE.search(value):
            self.report.add(self.file, number, f"unknown variable: {value}")
        if not name.startswith("worker."):
            self.variables[name] = value
        elif name == "worker.list":
            self.listed += [(worker, number) for worker in split_names(value)]
        elif name.count(".") < 2:
            self.report.add(self.file, number, f"not converted: {name}")
        else:
            worker, _, key = name.removeprefix("worker.").rpartition(".")
            settings = self.settings.setdefault(worker, {})
            if key in MEMBER_LIST_KEYS and key in settings:  # repeated lists are joined
                settings[key].value += f",{value}"
                return
            settings[key] = Setting(value, number)
            if key not in CONVERTED_KEYS and key != "activation":
                self.report.add(self.file, number, f"not converted: {name}")

    def resolve(self, worker: str, referrers: tuple[str, ...] = ()) -> dict[str, Setting]:
        """Return a worker's settings, completed by those of the template that it refers to.

        Args:
            worker: Name of the worker or template.
            referrers: The workers and templates through which this one was reached.
        """
        own_settings = self.settings.get(worker, {})
        reference = own_settings.get("reference")
        if reference is None:
            return own_settings
        template = reference.value.removeprefix("worker.")
        if template in (*referrers, worker) or template not in self.settings:
            self.report.add(self.file, reference.line, f"no such template: {reference.value}")
            return own_settings
        return {**self.resolve(template, (*referrers, worker)), **own_settings}

    def read_member(self, worker: str, line: int) -> MemberConf | None:
        """Return a worker as a member; report it if it isn't an active ajp13 worker.

        Args:
            worker: Name of the worker.
            line: The line that names the worker.
        """
        settings = self.resolve(worker)

        def value(key: str, default: str) -> str:
            """Return a property of the worker, or the default if it is not set."""
            return settings[key].value if key in settings else default

        if not settings:
            self.report.add(self.file, line, f"no such worker: {worker}")
        elif value("type", "ajp13") != "ajp13":
            self.report.add(self.file, settings["type"].line, f"worker {worker}: not an ajp13 worker")
        elif value("activation", "a").lower() in INACTIVE_VALUES:
            self.report.add(
                self.file, settings["activation"].line, f"worker {worker} is not active and was skipped"
            )
        else:
            try:
                return make_member(
                    value("host", "localhost"),
                    value("port", "8009"),
                    value("lbfactor", "1"),
                    value("secret", ""),
                )
            except ValueError as error:
                self.report.add(
                    self.file, min(setting.line for setting in settings.values()), f"worker {worker}: {error}"
                )
        return None


def read_workers(file: str, text: str, report: Report) -> list[UpstreamConf]:
    """Read the listed workers of a mod_jk file as upstreams; report what can't be converted."""
    workers, upstreams = WorkersFile(file, text, report), list[UpstreamConf]()
    if not workers.listed:
        report.add(file, 1, "worker.list is missing: every balancer is converted")
        workers.listed = [
            (name, 1)
            for name, settings in workers.settings.items()
            if "type" in settings and settings["type"].value == "lb"
        ]
    used = set[str]()
    for name, line in workers.listed:
        settings = workers.resolve(name)
        used.add(name)
        member_names, named_at = [name], line
        if "type" in settings and settings["type"].value == "lb":
            lists = [settings[key] for key in MEMBER_LIST_KEYS if key in settings]
            member_names = [worker for setting in lists for worker in split_names(setting.value)]
            named_at = lists[0].line if lists else line
        used.update(member_names)
        upstream_members = [
            member
            for member in (workers.read_member(worker, named_at) for worker in member_names)
            if member is not None
        ]
        try:
            upstreams.append(make_upstream(name, upstream_members))
        except ValueError as error:
            report.add(file, named_at, str(error))
    templates = {
        settings["reference"].value.removeprefix("worker.")
        for settings in workers.settings.values()
        if "reference" in settings
    }
    for name in workers.settings.keys() - used - templates:
        first_line = min(setting.line for setting in workers.settings[name].values())
        report.add(file, first_line, f"worker {name} is not listed and was skipped")
    return upstreams
