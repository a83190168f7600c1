"""A balancer's connection, as the protocol page describes it: one request at a time."""

from __future__ import annotations

import asyncio
import itertools
import time
from dataclasses import dataclass
from typing import Any, Self

from rig.record import Record

REQUEST_NUMBERS = itertools.count(0xA000)


@dataclass(slots=True)
class Answer:
    """The final answer to one request; the status is 0 if the connection ended without a whole answer."""

    status: int
    fields: dict[str, str]
    body: bytes
    seconds: float


class Balancer:
    """One connection of a balancer.

    Args:
        address: The clients' address of the service.
        record: The record of the case.
    """

    def __init__(self, address: str, record: Record) -> None:
        self.host, port = address.split(":")
        self.port = int(port)
        self.record = record

    async def open(self) -> Self:
        """Open the connection."""
        self.reader, self.writer = await asyncio.open_connection(self.host, self.port)
        return self

    def close(self) -> None:
        """Close the connection."""
        self.writer.close()

    async def call(
        self, class_name: str, account: str, body: bytes, budget_ms: int, size_kb: float, key: str = ""
    ) -> Answer:
        """Send one request, and wait for its answer until it is long overdue."""
        request_id = f"{next(REQUEST_NUMBERS):016x}"
        fields: dict[str, Any] = {
            "Host": "backend.local",
            "Request-Id": request_id,
            "Received-At": int(time.time() * 1000),
            "Sent-By": 1,
            "Account": account,
            "Budget-Ms": budget_ms,
            "Footprint-Kb": size_kb,
            "Priority-Rank": "0.9000",
            **({"Once-Key": key} if key else {}),
            "Content-Length": len(body),
        }
        head = "".join(f"{name}: {value}\r\n" for name, value in fields.items())
        started_at = time.monotonic()
        self.record("balancer", "sent", id=request_id, cls=class_name, key=key, body=body.decode("latin-1"))
        try:
            async with asyncio.timeout(budget_ms / 1000 + 1.0):
                self.writer.write(f"POST /call/{class_name} HTTP/1.1\r\n{head}\r\n".encode() + body)
                answer = await self._read_answer(started_at)
        except (OSError, TimeoutError, asyncio.IncompleteReadError, ValueError) as error:
            answer = Answer(0, {}, repr(error).encode(), time.monotonic() - started_at)
        self.record(
            "balancer",
            "answered" if answer.status else "no answer",
            id=request_id,
            status=answer.status,
            key=key,
            body=answer.body.decode("latin-1"),
            seconds=round(answer.seconds, 4),
        )
        return answer

    async def ping(self) -> int:
        """Send a health check; return the status of its answer, or 0 if there was none."""
        try:
            async with asyncio.timeout(2.0):
                self.writer.write(b"GET /ping HTTP/1.1\r\nHost: backend.local\r\n\r\n")
                status = (await self._read_answer(time.monotonic())).status
        except (OSError, TimeoutError, asyncio.IncompleteReadError, ValueError):
            status = 0
        self.record("balancer", "health check", status=status)
        return status

    async def _read_answer(self, started_at: float) -> Answer:
        head = (await self.reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
        fields = {
            name.lower(): value.strip() for name, _, value in (line.partition(":") for line in head[1:-2])
        }
        body = await self.reader.readexactly(int(fields.get("content-length", "0")))
        return Answer(int(head[0].split(" ")[1]), fields, body, time.monotonic() - started_at)
