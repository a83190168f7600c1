"""What all connections share: one buffer, one transport, one place where each is given back."""

from __future__ import annotations

import asyncio

from saltcart.core.ports import Log
from saltcart.net.supervision import SupervisedTask
from saltcart.wire.buffer import Buffer


class Connection(asyncio.BufferedProtocol):
    """A link that feeds its buffer to ``received`` and tells ``closed`` once when it ends."""

    transport: asyncio.Transport | None = None

    def __init__(self, limit: int = 65536) -> None:
        self.buffer = Buffer(limit=limit)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport
        self.opened()

    def get_buffer(self, sizehint: int) -> memoryview:
        return self.buffer.space()

    def buffer_updated(self, nbytes: int) -> None:
        self.buffer.commit(nbytes)
        self.received()

    def eof_received(self) -> bool:
        return False  # both directions end together

    def connection_lost(self, exc: Exception | None) -> None:
        self.transport = None
        self.closed()

    def send(self, data: bytes) -> None:
        if self.transport is not None and not self.transport.is_closing():
            self.transport.write(data)

    def close(self) -> None:
        if self.transport is not None:
            self.transport.close()

    def abort(self) -> None:
        """End it at once: for a peer that need not read what is still to be written."""
        if self.transport is not None:
            self.transport.abort()

    def opened(self) -> None:
        """The connection stands."""

    def received(self) -> None:
        """New bytes are in the buffer."""

    def closed(self) -> None:
        """The connection has ended, whoever ended it."""


def parse_address(text: str) -> tuple[str, int]:
    host, _, port = text.rpartition(":")
    return host, int(port)


class LinkConnection(Connection):
    """A link's connection; only the newest one speaks for the link."""

    def __init__(self, link: Link) -> None:
        super().__init__()
        self.link = link

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        before, self.link.connection = self.link.connection, self
        if before is not None:
            before.close()
        super().connection_made(transport)

    def is_current(self) -> bool:
        return self.link.connection is self

    def connection_lost(self, exc: Exception | None) -> None:
        super().connection_lost(exc)
        if self.is_current():
            self.link.connection = None
            self.link.ended.set()


class Link:
    """Keeps one connection to a peer open: waits a little longer after each failure."""

    INITIAL_BACKOFF_SECONDS, MAX_BACKOFF_SECONDS = 0.02, 0.5

    def __init__(self, name: str, peer: str, log: Log) -> None:
        self.name, self.peer, self.log = name, parse_address(peer), log
        self.connection: LinkConnection | None = None
        self.ended = asyncio.Event()
        self.kept = SupervisedTask(f"{name} link", self._run, log)

    def make_connection(self) -> LinkConnection:
        raise NotImplementedError

    def start(self) -> None:
        self.kept.start()

    def change_address(self, peer: str) -> None:
        """Another address from now on; what the old connection still had to say is asked for again."""
        if parse_address(peer) == self.peer:
            return
        self.peer = parse_address(peer)
        self.close()
        self.start()

    def close(self) -> None:
        self.kept.stop()
        if self.connection is not None:
            self.connection.close()
            self.connection = None

    async def _run(self) -> None:
        wait = self.INITIAL_BACKOFF_SECONDS
        loop = asyncio.get_running_loop()
        while True:
            self.ended.clear()
            try:
                async with asyncio.timeout(2.0):
                    await loop.create_connection(self.make_connection, *self.peer)
            except (OSError, TimeoutError) as error:
                if wait == self.INITIAL_BACKOFF_SECONDS:
                    self.log("link-refused", link=self.name, error=str(error))
                await asyncio.sleep(wait)
                wait = min(self.MAX_BACKOFF_SECONDS, 2 * wait)
                continue
            wait = self.INITIAL_BACKOFF_SECONDS
            await self.ended.wait()
            self.log("link-lost", link=self.name)
            await asyncio.sleep(self.INITIAL_BACKOFF_SECONDS)
