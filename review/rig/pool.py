"""The worker pool, as the protocol page describes it; a script says what each run does."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable
from dataclasses import dataclass, field

from rig.record import Record

KEPT_NOTICES = 4000


@dataclass(slots=True)
class Plan:
    """What a run does.

    Attributes:
        segments: Seconds of work; between two of them the run waits for a call.
        result: The result of a run that succeeds.
        end: How the run ends.
        release: If set, the run goes on until then.
    """

    segments: tuple[float, ...]
    result: bytes = b""
    end: bytes = b"PASS"
    release: asyncio.Event | None = None


@dataclass(slots=True)
class Run:
    """One run.

    Attributes:
        replies: The replies that were supplied, in the order of the calls; None for a call that was left out.
    """

    request_id: bytes
    class_name: bytes
    body: bytes
    plan: Plan
    started_at: float
    replies: list[bytes | None] = field(default_factory=list)
    waiting_notice: int = 0  # the notice of the call that it waits for, or 0
    reply: asyncio.Future[bytes | None] | None = None
    task: asyncio.Task[None] | None = None
    is_over: bool = False


class Pool:
    """A worker pool at one address, which numbers its own notices.

    Args:
        label: Names the pool in the record.
        script: Returns what the run of a class and body does.
        record: The record of the case.

    Attributes:
        runs: All runs that were begun, in order.
    """

    def __init__(self, label: str, script: Callable[[bytes, bytes], Plan], record: Record) -> None:
        self.label, self.script, self.record = label, script, record
        self.address = ""
        self.runs: list[Run] = []
        self.by_id: dict[bytes, Run] = {}
        self.notices: dict[int, bytes] = {}
        self.last_notice = 0
        self.up_since = time.monotonic()
        self.writer: asyncio.StreamWriter | None = None
        self.server: asyncio.Server | None = None

    async def open(self) -> None:
        """Listen on a free port."""
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.address = "{}:{}".format(*self.server.sockets[0].getsockname())

    def close(self) -> None:
        """Stop listening, and end all runs."""
        if self.server is not None:
            self.server.close()
        for run in self.runs:
            if run.task is not None:
                run.task.cancel()
        if self.writer is not None:
            self.writer.transport.abort()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while line := await reader.readline():
                words = line.rstrip(b"\r\n").split(b" ")
                body = b""
                if words[0] in (b"spawn", b"supply"):
                    body = (await reader.readexactly(int(words[-1]) + 2))[:-2]
                if not self._command(words, body, writer):
                    break
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError, ValueError, IndexError):
            pass
        finally:
            if self.writer is writer:
                self.writer = None
            writer.close()

    def _command(self, words: list[bytes], body: bytes, writer: asyncio.StreamWriter) -> bool:
        """Carry out one command; return whether it was one."""
        match words[0]:
            case b"bind":
                if self.writer is not None and self.writer is not writer:
                    self.writer.transport.abort()
                self.writer = writer
                age = (time.monotonic() - self.up_since) * 1000 + 60_000
                writer.write(b"bound LOADED %d\r\n" % age)
                for number, data in self.notices.items():
                    if number > int(words[1]):
                        writer.write(data)
                self.record(self.label, "bind", after=int(words[1]))
            case b"spawn":
                self._spawn(words[1], words[2], body)
            case b"supply":
                self._continue(words[1], body)
            case b"pass":
                run = self.by_id.get(words[1])
                if run is not None and run.waiting_notice == int(words[2]):
                    self._continue(words[1], None)
            case b"suspend":
                run = self.by_id.get(words[1])
                if run is not None and not run.is_over and run.task is not None:
                    run.task.cancel()
                    self._finish(run, b"KILLED")
            case b"proceed":
                pass
            case b"poll":
                busy = sum(not run.is_over and not run.waiting_notice for run in self.by_id.values())
                writer.write(b"polled %b %.2f %d 0.2 20\r\n" % (words[1], min(1.0, busy / 6), busy))
            case _:
                return False
        return True

    def _spawn(self, request_id: bytes, class_name: bytes, body: bytes) -> None:
        if request_id in self.by_id:
            self.record(self.label, "spawn repeated", id=request_id.decode())
            return
        run = Run(request_id, class_name, body, self.script(class_name, body), time.time())
        self.runs.append(run)
        self.by_id[request_id] = run
        self.record(
            self.label, "spawn", id=request_id.decode(), cls=class_name.decode(), body=body.decode("latin-1")
        )
        run.task = asyncio.get_running_loop().create_task(self._work(run))

    def _continue(self, request_id: bytes, reply: bytes | None) -> None:
        """Let the run go on with the reply to the call that it waits for."""
        run = self.by_id.get(request_id)
        is_taken = run is not None and run.reply is not None and not run.reply.done()
        self.record(
            self.label,
            "supply" if reply is not None else "pass",
            id=request_id.decode(),
            reply=None if reply is None else reply.decode("latin-1"),
            taken=is_taken,
            call=0 if run is None else len(run.replies) + 1,
        )
        if run is not None and run.reply is not None and not run.reply.done():
            run.replies.append(reply)
            run.waiting_notice = 0
            run.reply.set_result(reply)

    async def _work(self, run: Run) -> None:
        for number, seconds in enumerate(run.plan.segments):
            if number:
                run.reply = asyncio.get_running_loop().create_future()
                call = b"call %d of %b" % (number, run.body)
                run.waiting_notice = self.notify(b"blocked", b"%b" % run.request_id, call)
                self.record(self.label, "blocked", id=run.request_id.decode(), call=number)
                await run.reply
            await asyncio.sleep(seconds)
        if run.plan.release is not None:
            await run.plan.release.wait()
        self._finish(run, run.plan.end)

    def _finish(self, run: Run, end: bytes) -> None:
        run.is_over = True
        run.waiting_notice = 0
        result = run.plan.result if end == b"PASS" else b""
        milliseconds = (time.time() - run.started_at) * 1000
        self.record(self.label, "finished", id=run.request_id.decode(), end=end.decode())
        self.notify(b"finished", b"%b %b %.1f" % (run.request_id, end, milliseconds), result)

    def notify(self, verb: bytes, fields: bytes, body: bytes) -> int:
        """Send a notice under the next number, and keep it; return its number."""
        self.last_notice += 1
        data = b"%b %d %b %d\r\n%b\r\n" % (verb, self.last_notice, fields, len(body), body)
        self.notices[self.last_notice] = data
        self.notices.pop(self.last_notice - KEPT_NOTICES, None)
        if self.writer is not None:
            self.writer.write(data)
        return self.last_notice
