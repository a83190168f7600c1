"""What the program is told: the platform's JSON object and, off the platform, a deployment file of ours."""

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
GAUGES = ("cpu_busy", "runnable", "mem_used", "sockets")


class ConfigError(Exception):
    """The configuration can't be used; the text names the field."""


def read_host_and_port(f: FieldReader, key: str) -> str:
    """A field that is host:port."""
    value: str = f.text(key)
    found = HOST_AND_PORT.match(value)
    if not found or int(found[2]) > 65535:
        raise InvalidFieldError(f"{f.where}: field {key} is not host:port")
    return value


@dataclass(frozen=True, slots=True)
class Config:
    name: str
    listen: str
    pool: str | None
    announce: str | None
    index: str | None
    control: str | None  # where operators call
    listen_fd: int | None  # the clients' listening socket, where the platform holds it
    shared_folder: str | None  # where a process finds the one that it follows
    seed: int
    stop_timeout: float  # seconds from the notice to the kill
    max_sockets: int
    memory_mb: float
    settings: Settings
    gauges: tuple[str | None, ...]  # names of the pool's gauges, in their order; None for a new one


def read_config(raw: Any, environment: Mapping[str, str] = MappingProxyType({})) -> Config:
    """The platform's object; the name and address in the environment come first."""
    try:
        f = FieldReader(raw, "config")
        for key in ("listen", "control"):
            if environment.get(f"BALANCER_{key.upper()}"):
                f = FieldReader({**f.raw, key: environment[f"BALANCER_{key.upper()}"]}, "config")
        pool, announce, index, control = (
            None if f.raw.get(key) is None else read_host_and_port(f, key)
            for key in ("pool", "announce", "index", "control")
        )
        fd = environment.get("BALANCER_LISTEN_FD") or ""
        if fd and not fd.isdecimal():
            raise InvalidFieldError("BALANCER_LISTEN_FD is not a descriptor")
        listen_fd = int(fd) if fd else None
        limits = FieldReader(f.raw.get("limits") or {}, "config.limits")
        wire = f.section("settings")
        names = wire.section("extra").array("gauges", [])
        seed = f.text("seed", "0")
        if not HEXADECIMAL.match(seed):
            raise InvalidFieldError(f"config: field seed is not hexadecimal: {seed}")
        return Config(
            environment.get("BALANCER_NAME") or f.text("name"),
            read_host_and_port(f, "listen"),
            pool,
            announce,
            index,
            control,
            listen_fd,
            environment.get("TMPDIR") or None,
            int(seed, 16),
            f.number("stop_ms", 5000.0) / 1000,
            limits.integer("sockets", 1024, low=64),
            limits.number("memory_mb", 192.0, low=1),
            read_settings(wire),
            tuple(g if g in GAUGES else None for g in names),
        )
    except InvalidFieldError as error:
        raise ConfigError(str(error)) from None


def load(environment: Mapping[str, str] = os.environ) -> Config:
    path = environment.get("BALANCER_CONFIG")
    if not path:
        raise ConfigError("BALANCER_CONFIG names no file")
    try:
        raw = json.loads(Path(path).read_text(encoding="utf-8"))
    except (OSError, ValueError) as error:
        raise ConfigError(f"{path}: {error}") from None
    return read_config(raw, environment)
