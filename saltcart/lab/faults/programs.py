"""Real processes of the program: started, killed, paused and restarted, with all that they logged.

A program keeps its addresses over a restart: the ports that it was given at its first start stand in its
files from then on.  Everything is bounded: each start has ``START_WAIT``, and whoever leaves ``fleet`` leaves
no process behind.
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

START_WAIT = 30.0  # seconds for a program to say where it listens
CALL_WAIT = 2.0  # seconds for an answer of a program that may be paused
STARTS = 8  # programs that start at the same time: more only make each other slow
TOKEN = "for-the-rig-on-loopback-alone"


class ProcessError(Exception):
    """A program did not do what the rig needs of it; the text has its last log lines."""


class SingleRequestConnection(Connection):
    """Sends one request and keeps its answer; ``sent``: whether its bytes were handed to the socket."""

    def __init__(self, data: bytes) -> None:
        super().__init__()
        self.data, self.parser, self.sent = data, http1.ResponseParser(1 << 20), False
        self.buffer.limit = 1 << 20
        self.answer: asyncio.Future[http1.HttpResponse] = asyncio.get_running_loop().create_future()

    def opened(self) -> None:
        self.send(self.data)
        self.sent = True

    def received(self) -> None:
        response = self.parser.next(self.buffer)
        if response is not None and not self.answer.done():
            self.answer.set_result(response)

    def closed(self) -> None:
        if not self.answer.done():
            self.answer.set_exception(ConnectionResetError("closed without an answer"))


async def call(at: str, data: bytes, wait: float) -> http1.HttpResponse:
    """One request on a connection of its own; ``OSError`` or ``TimeoutError`` where it got no answer."""
    async with asyncio.timeout(wait):
        _, caller = await asyncio.get_running_loop().create_connection(
            lambda: SingleRequestConnection(data), *parse_address(at)
        )
        try:
            return await caller.answer
        finally:
            caller.abort()


def request(
    klass: str,
    number: int,
    body: bytes,
    budget: float,
    rank: float,
    account: str = "",
    key: str = "",
    size_kb: int = 10,
) -> bytes:
    """A request of the protocol on a connection of its own; ``budget`` in seconds from now."""
    named = {
        "Request-Id": f"{number:016x}",
        "Account": account,
        "Received-At": f"{time.time() * 1000:.0f}",
        "Budget-Ms": f"{budget * 1000:.0f}",
        "Footprint-Kb": str(size_kb),
        "Priority-Rank": f"{rank:.6f}",
        "Once-Key": key,
        "Content-Length": str(len(body)),
        "Connection": "close",
    }
    head = "".join(f"{name}: {value}\r\n" for name, value in named.items() if value)
    return f"POST /call/{klass} HTTP/1.1\r\nHost: lab\r\n{head}\r\n".encode() + body


class Program:
    """One process of the program at a time, under one name."""

    def __init__(self, name: str, folder: Path, config: dict[str, Any], deployment: dict[str, Any]) -> None:
        self.name, self.folder = name, folder
        self.config, self.deployment = {**config, "name": name}, deployment
        self.addresses: dict[str, str] = {}  # by front
        self.events: list[dict[str, Any]] = []  # all log lines of all its lives
        self.run_spans: list[tuple[float, float]] = []  # from when to when it ran, Unix seconds
        self.pause_spans: list[tuple[float, float]] = []
        self.process: asyncio.subprocess.Process | None = None
        self.reader: asyncio.Task[None] | None = None
        self.log_updated = asyncio.Condition()
        self.start_event_index = 0  # the first log line of the present life

    @property
    def is_running(self) -> bool:
        return self.process is not None and self.process.returncode is None

    @property
    def is_paused(self) -> bool:
        return bool(self.pause_spans) and self.pause_spans[-1][1] == float("inf")

    async def start(self) -> None:
        """Start it, or start it again at its old addresses; returns once every front listens."""
        config, deployment = self.folder / f"{self.name}.json", self.folder / f"{self.name}.toml"
        scratch = self.folder / f"{self.name}.tmp"
        scratch.mkdir(exist_ok=True)
        for front, at in self.addresses.items():
            if front == "http":
                self.config["listen"] = at
            else:
                self.deployment[front] = {**self.deployment[front], "listen": at}
        config.write_text(json.dumps(self.config))
        deployment.write_text(tomli_w.dumps(self.deployment))
        environment = {
            "PATH": os.environ["PATH"],
            "PYTHONPATH": os.pathsep.join(sys.path),
            "BALANCER_CONFIG": str(config),
            "SALTCART_DEPLOYMENT": str(deployment),
            "TMPDIR": str(scratch),
        }
        self.start_event_index = len(self.events)
        self.process = await asyncio.create_subprocess_exec(
            sys.executable, "-m", "saltcart", env=environment, stdout=asyncio.subprocess.PIPE
        )
        self.run_spans.append((time.time(), float("inf")))
        self.reader = asyncio.get_running_loop().create_task(self._read(self.process))
        fronts = {"http"} | {f for f in ("admin", "member", "ajp") if f in self.deployment}
        await self.wait_for(
            lambda: fronts <= {e["front"] for e in self.events_since_start("listening")}, START_WAIT
        )
        for event in self.events_since_start("listening"):
            self.addresses[event["front"]] = event["address"]

    def events_since_start(self, event: str) -> list[dict[str, Any]]:
        return [e for e in self.events[self.start_event_index :] if e["event"] == event]

    async def _read(self, process: asyncio.subprocess.Process) -> None:
        assert process.stdout is not None
        while line := await process.stdout.readline():
            try:
                told = orjson.loads(line)
            except orjson.JSONDecodeError:
                continue  # cut off by a kill
            async with self.log_updated:
                self.events.append(told)
                self.log_updated.notify_all()
        async with self.log_updated:
            self.log_updated.notify_all()

    async def wait_for(self, condition: Callable[[], bool], wait: float) -> None:
        """Wait for something that the log tells; ``RigError`` if it does not come."""
        try:
            async with asyncio.timeout(wait), self.log_updated:
                while not condition():
                    if self.reader is not None and self.reader.done():
                        raise ProcessError(f"{self.name} ended: {self.events[-5:]}")
                    await self.log_updated.wait()
        except TimeoutError:
            raise ProcessError(f"{self.name}: nothing within {wait} s: {self.events[-5:]}") from None

    # ---- faults -------------------------------------------------------------------------------

    def kill(self) -> None:
        """SIGKILL: nothing is said to anybody."""
        if self.is_running:
            assert self.process is not None
            self.resume()
            self.process.kill()
            self.run_spans[-1] = self.run_spans[-1][0], time.time()

    def pause(self) -> None:
        if self.is_running:
            assert self.process is not None
            self.process.send_signal(signal.SIGSTOP)
            self.pause_spans.append((time.time(), float("inf")))

    def resume(self) -> None:
        if self.is_running and self.is_paused:
            assert self.process is not None
            self.process.send_signal(signal.SIGCONT)
            self.pause_spans[-1] = self.pause_spans[-1][0], time.time()

    def start_draining(self) -> None:
        """SIGTERM: the notice to drain."""
        if self.is_running:
            assert self.process is not None
            self.process.terminate()
            self.run_spans[-1] = self.run_spans[-1][0], time.time()

    async def wait_until_ended(self) -> None:
        """Wait until the process is gone and all that it logged is read."""
        if self.process is not None and self.reader is not None:
            await self.process.wait()
            await self.reader

    async def restart(self) -> None:
        self.kill()
        await self.wait_until_ended()
        await self.start()

    def was_running(self, at: float, since: float = 0.0) -> bool:
        """Whether it ran unpaused over all of the ``since`` seconds before a moment."""
        inside = any(begin <= at - since and at < end for begin, end in self.run_spans)
        return inside and not any(begin < at and end > at - since for begin, end in self.pause_spans)

    # ---- what it shows ------------------------------------------------------------------------

    async def get_admin(self, path: str) -> Any:
        """What the administration API answers; None where it does not answer, or does not listen yet."""
        if "admin" not in self.addresses:
            return None
        data = (
            f"GET {path} HTTP/1.1\r\nHost: rig\r\nAuthorization: Bearer {TOKEN}\r\nConnection: close\r\n\r\n"
        ).encode()
        try:
            answer = await call(self.addresses["admin"], data, CALL_WAIT)
        except (OSError, TimeoutError):
            return None
        return orjson.loads(answer.body) if answer.status == 200 else None


@asynccontextmanager
async def fleet(count: int, make: Callable[[int, Path], Program]) -> AsyncIterator[list[Program]]:
    """So many programs, started a few at a time; all of them are gone at the end, whatever happened."""
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
    """Start them, ``STARTS`` at a time."""
    turn = asyncio.Semaphore(STARTS)

    async def one(program: Program) -> None:
        async with turn:
            await program.start()

    async with asyncio.TaskGroup() as group:
        for program in programs:
            group.create_task(one(program))


def settings(classes: list[dict[str, Any]], cores: int = 4) -> dict[str, Any]:
    """The platform's settings for a program of the rig."""
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
