"""Reports to the announce service, often enough that this server's entry does not lapse."""

from __future__ import annotations

import asyncio

import orjson

from saltcart.core.ports import Log
from saltcart.net.base import Connection, parse_address
from saltcart.net.supervision import SupervisedTask
from saltcart.wire import http1
from saltcart.wire.errors import MalformedMessageError

# All of them are well below the time after which the announce service removes an entry.
REPORT_INTERVAL_SECONDS, REPORT_TIMEOUT_SECONDS, RETRY_DELAY_SECONDS = 0.9, 0.7, 0.2
MAX_RESPONSE_BODY_BYTES = 4096


class ReportConnection(Connection):
    """A connection to the announce service, with one report at a time."""

    def __init__(self) -> None:
        super().__init__()
        self.parser = http1.HttpResponseParser(MAX_RESPONSE_BODY_BYTES)
        self.response: asyncio.Future[http1.HttpResponse] = asyncio.get_running_loop().create_future()

    def received(self) -> None:
        """Complete the report under way, or close the connection after a malformed response."""
        try:
            response = self.parser.next(self.buffer)
        except MalformedMessageError:
            self.close()
            return
        if response is not None and not self.response.done():
            self.response.set_result(response)

    def closed(self) -> None:
        """Fail the report under way."""
        if not self.response.done():
            self.response.set_exception(ConnectionResetError("announce service closed the connection"))
            # Marks the exception as retrieved: without a report under way, asyncio would log it.
            self.response.exception()


class Announcer:
    """Registration port: keeps this server's entry in the endpoint list, from the first state that is set.

    Args:
        peer: The address of the announce service.
        name: The name of this server in the endpoint list.
        log: Event log.
    """

    def __init__(self, peer: str, name: str, log: Log) -> None:
        self.peer, self.name, self.log = peer, name, log
        self.is_accepting: bool | None = None
        self.state_changed = asyncio.Event()
        self.is_failing = False
        self.connection: ReportConnection | None = None
        self.report_task = SupervisedTask("announcer", self._run, log)

    def set_accepting(self, is_accepting: bool) -> None:
        """Report whether the service accepts requests, at once and from then on periodically."""
        self.is_accepting = is_accepting
        self.state_changed.set()

    def start(self) -> None:
        """Start to report."""
        self.report_task.start()

    def close(self) -> None:
        """Stop reporting and close the connection."""
        self.report_task.stop()
        if self.connection is not None:
            self.connection.close()
            self.connection = None

    def change_address(self, peer: str) -> None:
        """Report to an announce service at another address, at once."""
        if peer != self.peer:
            was_running = self.report_task.is_running
            self.close()
            self.peer = peer
            if was_running:  # otherwise another process reports
                self.resume()

    def resume(self) -> None:
        """Report again after ``close``."""
        self.start()

    async def _run(self) -> None:
        while self.is_accepting is None:
            await self.state_changed.wait()
        while True:
            self.state_changed.clear()
            delay = REPORT_INTERVAL_SECONDS
            try:
                async with asyncio.timeout(REPORT_TIMEOUT_SECONDS):
                    await self._report()
                if self.is_failing:
                    self.is_failing = False
                    self.log("announce-back")
            except (OSError, TimeoutError) as error:
                if not self.is_failing:
                    self.is_failing = True
                    self.log("announce-lost", error=str(error))
                delay = RETRY_DELAY_SECONDS
                if self.connection is not None:
                    self.connection.close()
                    self.connection = None
            try:
                async with asyncio.timeout(delay):
                    await self.state_changed.wait()
            except TimeoutError:
                pass

    async def _report(self) -> None:
        loop = asyncio.get_running_loop()
        if self.connection is None or self.connection.transport is None:
            _, self.connection = await loop.create_connection(ReportConnection, *parse_address(self.peer))
        connection = self.connection
        connection.response = loop.create_future()
        body = orjson.dumps({"accepting": "true" if self.is_accepting else "false"})
        connection.send(http1.encode_request("PUT", f"/announce/{self.name}", self.peer, body))
        response = await connection.response
        if response.status != 204:
            raise ConnectionError(f"status {response.status}")
        if not response.keep_alive:
            connection.close()
            self.connection = None
