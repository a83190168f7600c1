"""Stand-ins of the platform: the worker pool, the index as one shared dependency, and a balancer's request.

They follow PROTOCOL.  The worker pool and the index know the requests that the balancers have written, as
the platform does: a run whose request is over ends at its next call, and a call for which no run waits never
runs.
"""

from __future__ import annotations

import asyncio
import contextlib
import time
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field

from harness import Record

SERVERS: list[asyncio.Server] = []  # keeps the listening sockets open


@dataclass
class Request:
    """A request as its balancer knows it."""

    request_id: str
    class_name: str
    body: bytes
    is_over: bool = False  # it has its answer, or its balancer has stopped waiting
    written_at: float = float("inf")
    status: int | None = None


@dataclass
class PoolAddress:
    """An address of the worker pool: it numbers its own notices and tells only of runs begun through it."""

    notices: list[bytes] = field(default_factory=list)
    link: asyncio.StreamWriter | None = None

    def notice(self, kind: bytes, fields: bytes, body: bytes = b"") -> None:
        """Send a notice under the next number, and keep it for a new link."""
        number = len(self.notices) + 1
        self.notices.append(b"%b %d %b %d\r\n%b\r\n" % (kind, number, fields, len(body), body))
        if self.link is not None:
            self.link.write(self.notices[-1])


@dataclass
class Run:
    """A run in the worker pool."""

    pool: PoolAddress
    request: Request
    started_at: float
    calls_left: int
    is_at_call: bool = False
    reply: asyncio.Event = field(default_factory=asyncio.Event)
    task: asyncio.Task | None = None


class Platform:
    """The requests, the worker pool and the index.

    Args:
        record: Where to write what is run and called.
        work_seconds: The time on a core of each part of a run; a run has one part more than it has calls.
        calls_of: Returns the number of calls of a run of a class.
        call_seconds: Returns the time that a call takes at present.
        linger_seconds: How long a call that was given up stays with the dependency at most.
    """

    def __init__(
        self,
        record: Record,
        work_seconds: float,
        calls_of: Callable[[str], int],
        call_seconds: Callable[[], float],
        linger_seconds: float,
    ) -> None:
        self.record, self.work_seconds, self.calls_of = record, work_seconds, calls_of
        self.call_seconds, self.linger_seconds = call_seconds, linger_seconds
        self.requests: dict[str, Request] = {}
        self.runs: dict[str, Run] = {}
        self.started_at = time.monotonic()
        self.call_spans: list[list[float]] = []  # when each call came into the dependency's hands, and left
        self.open_calls: dict[str, tuple[list[float], asyncio.Event]] = {}
        self.pool = self.index = ""
        self.core_use = 1 / 6  # share of all cores that a run uses; less where it mostly waits for the disk

    async def open(self) -> None:
        """Listen as worker pool and as index."""
        self.pool = await self.open_pool()
        self.index = await self._listen(self._serve_index)

    async def open_pool(self) -> str:
        """Listen at one more address of the worker pool, and return it."""
        pool = PoolAddress()
        return await self._listen(lambda reader, writer: self._serve_pool(pool, reader, writer))

    @staticmethod
    async def _listen(serve: Callable[[asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]]) -> str:
        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        SERVERS.append(server)
        return "{}:{}".format(*server.sockets[0].getsockname())

    # ---- worker pool --------------------------------------------------------------------------

    async def _serve_pool(
        self, pool: PoolAddress, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            while line := await reader.readline():
                words = line.rstrip().split(b" ")
                if words[0] in (b"spawn", b"supply"):
                    await reader.readexactly(int(words[-1]) + 2)
                self._command(pool, words, writer)
        writer.close()

    def _command(self, pool: PoolAddress, words: list[bytes], writer: asyncio.StreamWriter) -> None:
        if words[0] == b"bind":
            pool.link = writer
            writer.write(b"bound LOADED %d\r\n" % ((time.monotonic() - self.started_at) * 1000 + 60_000))
            writer.write(b"".join(pool.notices[int(words[1]) :]))
            return
        if words[0] == b"poll":
            running = sum(not run.is_at_call for run in self.runs.values())
            busy = min(1.0, running * self.core_use)
            writer.write(b"polled %b %.2f %d 0.30 20\r\n" % (words[1], busy, running))
            return
        request_id = words[1].decode()
        request, run = self.requests.get(request_id), self.runs.get(request_id)
        if request is None:
            writer.write(b"unknown %b %b\r\n" % (words[0], words[1]))
        elif words[0] == b"spawn" and run is None:
            if request.is_over:
                pool.notice(b"finished", b"%b NOOP 0" % words[1])
                return
            self.record(f"pool runs id={request_id} class={request.class_name}")
            run = self.runs[request_id] = Run(
                pool, request, time.monotonic(), self.calls_of(request.class_name)
            )
            run.task = asyncio.create_task(self._run(run))
        elif words[0] == b"suspend" and run is not None and not run.is_at_call and request.is_over:
            assert run.task is not None
            run.task.cancel()
            self._finish(run, b"KILLED")
        elif words[0] in (b"supply", b"pass") and run is not None and run.is_at_call:
            run.is_at_call = False
            run.reply.set()

    async def _run(self, run: Run) -> None:
        request = run.request
        while True:
            await asyncio.sleep(self.work_seconds)
            if not run.calls_left:
                break
            run.calls_left -= 1
            if not request.is_over:
                run.is_at_call = True
                run.reply.clear()
                run.pool.notice(
                    b"blocked", request.request_id.encode(), b"call of " + request.request_id.encode()
                )
            while run.is_at_call and not request.is_over:
                with contextlib.suppress(TimeoutError):
                    async with asyncio.timeout(0.005):
                        await run.reply.wait()
            if request.is_over:
                self._finish(run, b"KILLED")
                return
        self._finish(run, b"PASS", b"result of " + request.body)

    def _finish(self, run: Run, end: bytes, result: bytes = b"") -> None:
        self.runs.pop(run.request.request_id, None)
        milliseconds = (time.monotonic() - run.started_at) * 1000
        self.record(f"pool ends id={run.request.request_id} {end.decode()}")
        fields = b"%b %b %d" % (run.request.request_id.encode(), end, milliseconds)
        run.pool.notice(b"finished", fields, result)

    # ---- index --------------------------------------------------------------------------------

    async def _serve_index(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        own = set[str]()
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            while line := await reader.readline():
                words = line.rstrip().split(b" ")
                request_id = words[1].decode()
                if words[0] == b"STOP":
                    self._give_up(request_id)
                    continue
                await reader.readexactly(int(words[3]) + 2)
                run = self.runs.get(request_id)
                if run is None or not run.is_at_call:
                    writer.write(b"%b NOBODY\r\n" % words[1])
                    continue
                own.add(request_id)
                self.record(f"index takes the call of id={request_id}, {words[2].decode()} ms")
                span = [time.monotonic(), float("inf")]
                given_up = asyncio.Event()
                self.call_spans.append(span)
                self.open_calls[request_id] = span, given_up
                asyncio.get_running_loop().create_task(self._call(request_id, span, given_up, writer))
        for request_id in own:
            self._give_up(request_id)
        writer.close()

    def _give_up(self, request_id: str) -> None:
        if request_id in self.open_calls:
            self.open_calls.pop(request_id)[1].set()

    async def _call(
        self, request_id: str, span: list[float], given_up: asyncio.Event, writer: asyncio.StreamWriter
    ) -> None:
        seconds = self.call_seconds()
        try:
            async with asyncio.timeout(seconds):
                await given_up.wait()
        except TimeoutError:
            self.open_calls.pop(request_id, None)
            span[1] = time.monotonic()
            reply = b"reply"
            writer.write(b"%b HIT %d\r\n%b\r\n" % (request_id.encode(), len(reply), reply))
            return
        left = span[0] + seconds - time.monotonic()
        await asyncio.sleep(max(0.0, min(left, self.linger_seconds)))
        span[1] = time.monotonic()
        self.record(f"index is rid of the call of id={request_id}, which was given up")

    def mean_calls(self, end: float, seconds: float) -> float:
        """Return the mean number of calls in the dependency's hands in the seconds before a time."""
        start = end - seconds
        return sum(max(0.0, min(end, left) - max(start, came)) for came, left in self.call_spans) / seconds


async def send(
    platform: Platform, address: str, request: Request, fields: dict[str, str], patience: float
) -> None:
    """Send a request on a connection of its own, and wait for its answer as long as its balancer does."""
    host, _, port = address.rpartition(":")
    lines = [f"POST /call/{request.class_name} HTTP/1.1", "Host: backend.local"]
    lines += [f"{name}: {value}" for name, value in fields.items()]
    lines += [f"Content-Length: {len(request.body)}", "", ""]
    platform.requests[request.request_id] = request
    writer = None
    try:
        async with asyncio.timeout(patience):
            reader, writer = await asyncio.open_connection(host, int(port))
            platform.record(f"balancer sends id={request.request_id} {request.class_name} {fields}")
            writer.write("\r\n".join(lines).encode() + request.body)
            request.written_at = time.monotonic()
            head = await reader.readuntil(b"\r\n\r\n")
            request.status = int(head.split()[1])
    except (TimeoutError, OSError, asyncio.IncompleteReadError) as error:
        platform.record(f"balancer stops waiting for id={request.request_id}: {error!r}")
    request.is_over = True
    platform.record(f"balancer has id={request.request_id} status={request.status}")
    if writer is not None:
        writer.close()
