"""Service processes of the rig: start, kill, pause and restart them, and read what they log.

A process keeps its addresses over a restart: the ports bound at its first start are written into its
configuration.  A start is bounded by ``START_TIMEOUT_S``, and ``fleet`` leaves no process running.
"""

from __future__ import annotations

import asyncio
import json
import os
import signal
import sys
import tempfile
import time
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from pathlib import Path
from typing import Any

import orjson
import tomli_w

from saltcart.net.base import Connection, parse_address
from saltcart.wire import http1

START_TIMEOUT_S = 30.0  # for a process to listen at all its addresses
ADMIN_TIMEOUT_S = 2.0  # for a response of the administration API; the process may be paused
MAX_CONCURRENT_STARTS = 8  # more would only slow each other down
TOKEN = "for-the-rig-on-loopback-alone"


class ProcessError(Exception):
    """A process ended or did not reach an expected state; the text has its last log lines."""


class SingleRequestConnection(Connection):
    """Connection that sends one request and keeps its response.

    Args:
        data: Encoded request.

    Attributes:
        sent: Whether the request was handed to the socket.
        response: The response, or a ``ConnectionResetError`` if the connection closed without one.
    """

    def __init__(self, data: bytes) -> None:
        super().__init__()
        self.data, self.parser, self.sent = data, http1.HttpResponseParser(1 << 20), False
        self.buffer.limit = 1 << 20
        self.response: asyncio.Future[http1.HttpResponse] = asyncio.get_running_loop().create_future()

    def opened(self) -> None:
        """Send the request."""
        self.send(self.data)
        self.sent = True

    def received(self) -> None:
        """Complete the response once it is parsed."""
        response = self.parser.next(self.buffer)
        if response is not None and not self.response.done():
            self.response.set_result(response)

    def closed(self) -> None:
        """Fail the response if it is not complete."""
        if not self.response.done():
            self.response.set_exception(ConnectionResetError("connection closed without a response"))


async def call(address: str, data: bytes, timeout_s: float) -> http1.HttpResponse:
    """Send one encoded request on a connection of its own.

    Raises:
        OSError: The connection was refused, or closed without a response.
        TimeoutError: There was no response within the timeout.
    """
    async with asyncio.timeout(timeout_s):
        _, connection = await asyncio.get_running_loop().create_connection(
            lambda: SingleRequestConnection(data), *parse_address(address)
        )
        try:
            return await connection.response
        finally:
            connection.abort()


def request(
    class_name: str,
    number: int,
    body: bytes,
    budget_s: float,
    priority_rank: float,
    account: str = "",
    key: str = "",
    size_kb: int = 10,
) -> bytes:
    """Encode a request that is the only one on its connection.

    Args:
        class_name: Class of the request.
        number: Request id.
        body: Body of the request.
        budget_s: Time until the response is due, in seconds from now.
        priority_rank: Value of the ``Priority-Rank`` header.
        account: Account of the request; no header if empty.
        key: Idempotency key; no header if empty.
        size_kb: Memory footprint in KB.
    """
    header_values = {
        "Request-Id": f"{number:016x}",
        "Account": account,
        "Received-At": f"{time.time() * 1000:.0f}",
        "Budget-Ms": f"{budget_s * 1000:.0f}",
        "Footprint-Kb": str(size_kb),
        "Priority-Rank": f"{priority_rank:.6f}",
        "Once-Key": key,
        "Content-Length": str(len(body)),
        "Connection": "close",
    }
    header_lines = "".join(f"{name}: {value}\r\n" for name, value in header_values.items() if value)
    return f"POST /call/{class_name} HTTP/1.1\r\nHost: lab\r\n{header_lines}\r\n".encode() + body


class Program:
    """A named instance of the service, run as one process at a time.

    Args:
        name: Name of the instance and of its files.
        folder: Folder of its configuration, deployment file and temporary files.
        config: Content of the configuration file, without the name.
        deployment: Content of the deployment file.

    Attributes:
        addresses: Listening addresses by front, from the first start on.
        events: Log events of all its processes.
        run_spans: Start and end of each of its processes in Unix time; the end is infinite while it runs.
        pause_spans: Start and end of each pause in Unix time; the end is infinite while it is paused.
    """

    def __init__(self, name: str, folder: Path, config: dict[str, Any], deployment: dict[str, Any]) -> None:
        self.name, self.folder = name, folder
        self.config, self.deployment = {**config, "name": name}, deployment
        self.addresses: dict[str, str] = {}
        self.events: list[dict[str, Any]] = []
        self.run_spans: list[tuple[float, float]] = []
        self.pause_spans: list[tuple[float, float]] = []
        self.process: asyncio.subprocess.Process | None = None
        self.log_reader: asyncio.Task[None] | None = None
        self.log_updated = asyncio.Condition()
        self.start_event_index = 0  # index of the current process's first log event

    @property
    def is_running(self) -> bool:
        """Whether it has a process, which may be paused."""
        return self.process is not None and self.process.returncode is None

    @property
    def is_paused(self) -> bool:
        """Whether the process is paused."""
        return bool(self.pause_spans) and self.pause_spans[-1][1] == float("inf")

    async def start(self) -> None:
        """Start a process, at the addresses of the previous one if there was one.

        Returns once every front listens.

        Raises:
            ProcessError: The process ended, or did not listen within ``START_TIMEOUT_S``.
        """
        config_file, deployment_file = self.folder / f"{self.name}.json", self.folder / f"{self.name}.toml"
        temporary_folder = self.folder / f"{self.name}.tmp"
        temporary_folder.mkdir(exist_ok=True)
        for front, address in self.addresses.items():
            if front == "http":
                self.config["listen"] = address
            else:
                self.deployment[front] = {**self.deployment[front], "listen": address}
        config_file.write_text(json.dumps(self.config))
        deployment_file.write_text(tomli_w.dumps(self.deployment))
        environment = {
            "PATH": os.environ["PATH"],
            "PYTHONPATH": os.pathsep.join(sys.path),
            "BALANCER_CONFIG": str(config_file),
            "SALTCART_DEPLOYMENT": str(deployment_file),
            "TMPDIR": str(temporary_folder),
        }
        self.start_event_index = len(self.events)
        self.process = await asyncio.create_subprocess_exec(
            sys.executable, "-m", "saltcart", env=environment, stdout=asyncio.subprocess.PIPE
        )
        self.run_spans.append((time.time(), float("inf")))
        self.log_reader = asyncio.get_running_loop().create_task(self._read_log(self.process))
        fronts = {"http"} | {f for f in ("admin", "member", "ajp") if f in self.deployment}
        await self.wait_for(
            lambda: fronts <= {e["front"] for e in self.events_since_start("listening")}, START_TIMEOUT_S
        )
        for event in self.events_since_start("listening"):
            self.addresses[event["front"]] = event["address"]

    def events_since_start(self, event: str) -> list[dict[str, Any]]:
        """Log events with the given name of the current process."""
        return [e for e in self.events[self.start_event_index :] if e["event"] == event]

    async def _read_log(self, process: asyncio.subprocess.Process) -> None:
        assert process.stdout is not None
        while line := await process.stdout.readline():
            try:
                event = orjson.loads(line)
            except orjson.JSONDecodeError:
                continue  # line truncated by a kill
            async with self.log_updated:
                self.events.append(event)
                self.log_updated.notify_all()
        async with self.log_updated:
            self.log_updated.notify_all()

    async def wait_for(self, condition: Callable[[], bool], timeout_s: float) -> None:
        """Wait until a condition on the logged events holds.

        Raises:
            ProcessError: The process ended, or the condition did not hold within the timeout.
        """
        try:
            async with asyncio.timeout(timeout_s), self.log_updated:
                while not condition():
                    if self.log_reader is not None and self.log_reader.done():
                        raise ProcessError(f"{self.name} ended: {self.events[-5:]}")
                    await self.log_updated.wait()
        except TimeoutError:
            raise ProcessError(
                f"{self.name} did not reach the expected state within {timeout_s} s: {self.events[-5:]}"
            ) from None

    # ---- Faults ----

    def kill(self) -> None:
        """Send SIGKILL: the process ends without notice to its peers."""
        if self.is_running:
            assert self.process is not None
            self.resume()
            self.process.kill()
            self.run_spans[-1] = self.run_spans[-1][0], time.time()

    def pause(self) -> None:
        """Send SIGSTOP."""
        if self.is_running:
            assert self.process is not None
            self.process.send_signal(signal.SIGSTOP)
            self.pause_spans.append((time.time(), float("inf")))

    def resume(self) -> None:
        """Send SIGCONT if the process is paused."""
        if self.is_running and self.is_paused:
            assert self.process is not None
            self.process.send_signal(signal.SIGCONT)
            self.pause_spans[-1] = self.pause_spans[-1][0], time.time()

    def start_draining(self) -> None:
        """Send SIGTERM, upon which the process drains and ends."""
        if self.is_running:
            assert self.process is not None
            self.process.terminate()
            self.run_spans[-1] = self.run_spans[-1][0], time.time()

    async def wait_until_ended(self) -> None:
        """Wait until the process has ended and all that it logged is read."""
        if self.process is not None and self.log_reader is not None:
            await self.process.wait()
            await self.log_reader

    async def restart(self) -> None:
        """Kill the process and start another at the same addresses."""
        self.kill()
        await self.wait_until_ended()
        await self.start()

    def was_running(self, at: float, duration_s: float = 0.0) -> bool:
        """Whether one process ran without a pause for the given time before a moment.

        Args:
            at: The moment in Unix time.
            duration_s: The time before it in seconds.
        """
        ran = any(start <= at - duration_s and at < end for start, end in self.run_spans)
        return ran and not any(start < at and end > at - duration_s for start, end in self.pause_spans)

    # ---- State ----

    async def get_admin(self, path: str) -> Any:
        """Get a resource of the administration API.

        Returns:
            The decoded JSON body; None if the API does not listen yet, does not respond within
            ``ADMIN_TIMEOUT_S``, or responds with another status than 200.
        """
        if "admin" not in self.addresses:
            return None
        data = (
            f"GET {path} HTTP/1.1\r\nHost: rig\r\nAuthorization: Bearer {TOKEN}\r\nConnection: close\r\n\r\n"
        ).encode()
        try:
            response = await call(self.addresses["admin"], data, ADMIN_TIMEOUT_S)
        except (OSError, TimeoutError):
            return None
        return orjson.loads(response.body) if response.status == 200 else None


@asynccontextmanager
async def fleet(count: int, make: Callable[[int, Path], Program]) -> AsyncIterator[list[Program]]:
    """Create programs that are not yet started; all their processes are killed at the end.

    Args:
        count: Number of programs.
        make: Creates a program from its number and the folder of its files.
    """
    with tempfile.TemporaryDirectory(prefix="saltcart-rig-") as folder:
        programs = [make(n, Path(folder)) for n in range(count)]
        try:
            yield programs
        finally:
            for program in programs:
                program.kill()
            for program in programs:
                await program.wait_until_ended()


async def start_all(programs: list[Program]) -> None:
    """Start the programs, at most ``MAX_CONCURRENT_STARTS`` at the same time."""
    start_slots = asyncio.Semaphore(MAX_CONCURRENT_STARTS)

    async def start(program: Program) -> None:
        async with start_slots:
            await program.start()

    async with asyncio.TaskGroup() as group:
        for program in programs:
            group.create_task(start(program))


def settings(classes: list[dict[str, Any]], cores: int = 4) -> dict[str, Any]:
    """Platform settings for a program of the rig.

    Args:
        classes: Settings of the service classes.
        cores: Number of cores that the program may use.
    """
    return {
        "services": classes,
        "extra": {
            "cores": cores,
            "memLimitKb": 500_000.0,
            "signal": "level",
            "preemption": "drop",
            "runFactor": 4.0,
            "keyKb": 5.0,
            "gauges": ["cpu_busy", "runnable"],
            "idle": 30.0,
        },
        "contract": {"answerSlack": 0.08, "drainGrace": 0.5, "fall": 2.0, "fallMultiple": 8.0},
        "limits": {},
        "quantum": 0.005,
    }
