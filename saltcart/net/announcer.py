"""Reports to the announce service, well inside the time after which an entry lapses."""

from __future__ import annotations

import asyncio

import orjson

from saltcart.core.ports import Log
from saltcart.net.base import Connection, parse_address
from saltcart.net.supervision import SupervisedTask
from saltcart.wire import http1
from saltcart.wire.errors import MalformedMessageError

REPORT_INTERVAL_SECONDS, REPORT_TIMEOUT_SECONDS, RETRY_DELAY_SECONDS = 0.9, 0.7, 0.2


class ReportConnection(Connection):
    def __init__(self) -> None:
        super().__init__()
        self.parser = http1.ResponseParser(4096)
        self.answer: asyncio.Future[http1.HttpResponse] = asyncio.get_running_loop().create_future()

    def received(self) -> None:
        try:
            response = self.parser.next(self.buffer)
        except MalformedMessageError:
            self.close()
            return
        if response is not None and not self.answer.done():
            self.answer.set_result(response)

    def closed(self) -> None:
        if not self.answer.done():
            self.answer.set_exception(ConnectionResetError("announce service closed the connection"))
            self.answer.exception()  # seen: nobody may be waiting


class Announcer:
    """The announce port: keeps the entry alive once the service takes requests."""

    def __init__(self, peer: str, name: str, log: Log) -> None:
        self.peer, self.name, self.log = peer, name, log
        self.state: bool | None = None
        self.changed = asyncio.Event()
        self.is_failing = False
        self.connection: ReportConnection | None = None
        self.kept = SupervisedTask("announcer", self._run, log)

    def set_accepting(self, is_accepting: bool) -> None:
        self.state = is_accepting
        self.changed.set()

    def start(self) -> None:
        self.kept.start()

    def close(self) -> None:
        self.kept.stop()
        if self.connection is not None:
            self.connection.close()
            self.connection = None

    def change_address(self, peer: str) -> None:
        """Another address from now on; it is told at once."""
        if peer != self.peer:
            running = self.kept.running
            self.close()
            self.peer = peer
            if running:  # else another process reports
                self.resume()

    def resume(self) -> None:
        self.start()

    async def _run(self) -> None:
        while self.state is None:
            await self.changed.wait()
        while True:
            self.changed.clear()
            pause = REPORT_INTERVAL_SECONDS
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
                pause = RETRY_DELAY_SECONDS
                if self.connection is not None:
                    self.connection.close()
                    self.connection = None
            try:
                async with asyncio.timeout(pause):
                    await self.changed.wait()
            except TimeoutError:
                pass

    async def _report(self) -> None:
        loop = asyncio.get_running_loop()
        if self.connection is None or self.connection.transport is None:
            _, self.connection = await loop.create_connection(ReportConnection, *parse_address(self.peer))
        connection = self.connection
        connection.answer = loop.create_future()
        body = orjson.dumps({"accepting": "true" if self.state else "false"})
        connection.send(http1.request("PUT", f"/announce/{self.name}", self.peer, body))
        response = await connection.answer
        if response.status != 204:
            raise ConnectionError(f"status {response.status}")
        if not response.keep_alive:
            connection.close()
            self.connection = None
