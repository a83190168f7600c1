"""Starts the service by the commands of the deploy file, as the platform does, and ends it."""

from __future__ import annotations

import asyncio
import json
import os
import signal
import socket
import tomllib
from pathlib import Path
from typing import Any

from rig.record import Record

ROOT = Path(__file__).resolve().parents[2]
LISTEN_DESCRIPTOR = 3  # the number under which every process inherits the clients' listening socket
# Listeners of the service have an address of their own: a port that is free here now can't be taken by the
# outgoing connections of the case, which come from 127.0.0.1.
SERVICE_HOST = "127.0.0.2"
READY_TIMEOUT_SECONDS = 25.0


class CaseError(Exception):
    """The case could not run, so that nothing can be said about the rule."""


def hold_listening_socket() -> str:
    """Open the clients' listening socket as the platform does, as descriptor 3, and return its address.

    It must be called before an event loop is created, as descriptor 3 must still be free.
    """
    listening = socket.create_server(("127.0.0.1", 0), backlog=1024)
    address = "{}:{}".format(*listening.getsockname())
    if listening.fileno() != LISTEN_DESCRIPTOR:
        os.dup2(listening.fileno(), LISTEN_DESCRIPTOR, inheritable=True)
        listening.close()
    else:
        os.set_inheritable(LISTEN_DESCRIPTOR, True)
        listening.detach()
    return address


GIVEN_PORTS = set[int]()


def free_address() -> str:
    """Return a loopback address whose port is free, and which was not returned before."""
    while True:
        with socket.create_server((SERVICE_HOST, 0)) as probe:
            port = probe.getsockname()[1]
        if port not in GIVEN_PORTS:
            GIVEN_PORTS.add(port)
            return f"{SERVICE_HOST}:{port}"


class Service:
    """One process of the service, started by ``run`` of the deploy file.

    Args:
        label: Names the process in the record.
        config: The content of ``BALANCER_CONFIG``.
        folder: A temporary folder of the case.
        temporary_folder: ``$TMPDIR`` of the process.
        record: The record of the case.
    """

    def __init__(
        self, label: str, config: dict[str, Any], folder: Path, temporary_folder: Path, record: Record
    ) -> None:
        self.label, self.config, self.record = label, config, record
        self.config_path = folder / f"{label}.json"
        self.temporary_folder = temporary_folder
        self.process: asyncio.subprocess.Process | None = None
        self.log_task: asyncio.Task[None] | None = None
        self.events: list[dict[str, Any]] = []

    async def start(self, *, inherits_listener: bool = False, deployment: Path | None = None) -> None:
        """Start the process.

        Args:
            inherits_listener: Whether the platform holds the clients' listening socket.
            deployment: The file that ``SALTCART_DEPLOYMENT`` names, if any.
        """
        self.config_path.write_text(json.dumps(self.config), encoding="utf-8")
        command = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text(encoding="utf-8"))["run"]
        environment = {
            "PATH": os.environ.get("PATH", "/usr/bin:/bin"),
            "BALANCER_NAME": self.config["name"],
            "BALANCER_LISTEN": self.config["listen"],
            "BALANCER_CONFIG": str(self.config_path),
            "TMPDIR": str(self.temporary_folder),
        }
        if self.config.get("control"):
            environment["BALANCER_CONTROL"] = self.config["control"]
        if inherits_listener:
            environment["BALANCER_LISTEN_FD"] = str(LISTEN_DESCRIPTOR)
        if deployment is not None:
            environment["SALTCART_DEPLOYMENT"] = str(deployment)
        self.process = await asyncio.create_subprocess_exec(
            "/bin/sh",
            "-c",
            command,
            cwd=ROOT,
            env=environment,
            stdin=asyncio.subprocess.DEVNULL,
            stdout=asyncio.subprocess.PIPE,
            stderr=asyncio.subprocess.STDOUT,
            pass_fds=(LISTEN_DESCRIPTOR,) if inherits_listener else (),
        )
        self.log_task = asyncio.create_task(self._read_log())
        self.record("platform", "started", process=self.label, pid=self.process.pid)

    async def _read_log(self) -> None:
        assert self.process is not None and self.process.stdout is not None
        while line := await self.process.stdout.readline():
            text = line.decode("utf-8", "replace").rstrip()
            try:
                event = json.loads(text)
            except ValueError:
                event = {"event": "output", "text": text}
            self.events.append(event)
            self.record(self.label, "log", line=event)

    def has_logged(self, event: str) -> bool:
        """Whether the process has logged an event of this name."""
        return any(line.get("event") == event for line in self.events)

    @property
    def is_running(self) -> bool:
        """Whether the process has not ended."""
        return self.process is not None and self.process.returncode is None

    async def wait_until_ready(self) -> None:
        """Ask the operators' address for ``check`` until it says yes.

        Raises:
            CaseError: It did not say so in time.
        """
        loop = asyncio.get_running_loop()
        give_up_at = loop.time() + READY_TIMEOUT_SECONDS
        while loop.time() < give_up_at and self.is_running:
            if (await self.ask("check")).startswith("OK yes"):
                self.record("platform", "ready", process=self.label)
                return
            await asyncio.sleep(0.05)
        raise CaseError(f"{self.label} did not say yes in time")

    async def wait_until_ended(self) -> None:
        """Wait for the end of the process, which ends by itself or is killed."""
        assert self.process is not None
        await self.process.wait()
        self.record("platform", "ended", process=self.label, status=self.process.returncode)

    async def ask(self, command: str) -> str:
        """Send one line to the operators' address and return the answer; empty if there was none."""
        host, port = self.config["control"].split(":")
        try:
            async with asyncio.timeout(2.0):
                reader, writer = await asyncio.open_connection(host, int(port))
                writer.write(command.encode() + b"\n")
                answer = (await reader.read()).decode("utf-8", "replace")
                writer.close()
        except (OSError, TimeoutError):
            return ""
        if command != "check":
            self.record("operator", command, process=self.label, answer=answer.strip())
        return answer

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the process, unless it has ended."""
        if self.process is not None and self.process.returncode is None:
            self.record("platform", number.name, process=self.label)
            self.process.send_signal(number)

    async def end(self) -> None:
        """Kill the process if it still runs, and wait for it."""
        if self.process is None:
            return
        self.signal(signal.SIGKILL)
        await self.process.wait()
        if self.log_task is not None:
            await self.log_task
