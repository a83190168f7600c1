"""The platform's configuration: one JSON object, with a few values from the environment."""

from __future__ import annotations

import json
import os
import re
from collections.abc import Mapping
from dataclasses import dataclass
from pathlib import Path
from types import MappingProxyType
from typing import Any

from saltcart.decision.settings import Settings
from saltcart.field_reader import FieldReader, InvalidFieldError
from saltcart.platform_settings import read_settings

HOST_AND_PORT = re.compile(r"([A-Za-z0-9.-]{1,253}):(\d{1,5})\Z")
HEXADECIMAL = re.compile(r"[0-9a-fA-F]{1,64}\Z")
KNOWN_GAUGES = ("cpu_busy", "runnable", "mem_used", "sockets")


class ConfigError(Exception):
    """A configuration that can't be used; the text names the field."""


def read_host_and_port(reader: FieldReader, key: str) -> str:
    """Return a required field of the form ``host:port``.

    Raises:
        InvalidFieldError: If the field is missing or of another form.
    """
    value: str = reader.text(key)
    match = HOST_AND_PORT.match(value)
    if not match or int(match[2]) > 65535:
        raise InvalidFieldError(f"{reader.where}: field {key} is not host:port")
    return value


@dataclass(frozen=True, slots=True)
class Config:
    """The configuration by the platform; addresses are ``host:port``."""

    name: str
    listen: str  # for clients
    pool: str | None  # the worker pool
    announce: str | None  # the announce service
    index: str | None  # the index, which dependency calls go to
    control: str | None  # for operators
    listen_fd: int | None  # the inherited listening socket for clients, if the platform holds it
    shared_folder: str | None  # through it a new process finds its predecessor
    seed: int
    stop_timeout: float  # seconds from the drain notice until the process is killed
    max_sockets: int
    memory_mb: float  # the process's memory limit
    settings: Settings
    gauges: tuple[str | None, ...]  # the pool's gauges in its order; None for an unknown one


def read_config(raw: Any, environment: Mapping[str, str] = MappingProxyType({})) -> Config:
    """Read the decoded platform object; the name and the addresses in ``environment`` take precedence."""
    try:
        reader = FieldReader(raw, "config")
        for key in ("listen", "control"):
            if environment.get(f"BALANCER_{key.upper()}"):
                reader = FieldReader({**reader.raw, key: environment[f"BALANCER_{key.upper()}"]}, "config")
        pool, announce, index, control = (
            None if reader.raw.get(key) is None else read_host_and_port(reader, key)
            for key in ("pool", "announce", "index", "control")
        )
        descriptor = environment.get("BALANCER_LISTEN_FD") or ""
        if descriptor and not descriptor.isdecimal():
            raise InvalidFieldError("BALANCER_LISTEN_FD is not a file descriptor")
        listen_fd = int(descriptor) if descriptor else None
        limits = FieldReader(reader.raw.get("limits") or {}, "config.limits")
        settings = reader.section("settings")
        gauges = settings.section("extra").array("gauges", [])
        seed = reader.text("seed", "0")
        if not HEXADECIMAL.match(seed):
            raise InvalidFieldError(f"config: field seed is not hexadecimal: {seed}")
        return Config(
            environment.get("BALANCER_NAME") or reader.text("name"),
            read_host_and_port(reader, "listen"),
            pool,
            announce,
            index,
            control,
            listen_fd,
            environment.get("TMPDIR") or None,
            int(seed, 16),
            reader.number("stop_ms", 5000.0) / 1000,
            limits.integer("sockets", 1024, low=64),
            limits.number("memory_mb", 192.0, low=1),
            read_settings(settings),
            tuple(gauge if gauge in KNOWN_GAUGES else None for gauge in gauges),
        )
    except InvalidFieldError as error:
        raise ConfigError(str(error)) from None


def load(environment: Mapping[str, str] = os.environ) -> Config:
    """Read the file that ``BALANCER_CONFIG`` names.

    Args:
        environment: Environment variables.

    Raises:
        ConfigError: If the file can't be read, or a value is missing or invalid.
    """
    path = environment.get("BALANCER_CONFIG")
    if not path:
        raise ConfigError("BALANCER_CONFIG names no file")
    try:
        raw = json.loads(Path(path).read_text(encoding="utf-8"))
    except (OSError, ValueError) as error:
        raise ConfigError(f"{path}: {error}") from None
    return read_config(raw, environment)
