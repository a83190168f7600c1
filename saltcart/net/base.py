"""Base classes of connections: a protocol with one receive buffer, and links that reconnect."""

from __future__ import annotations

import asyncio

from saltcart.core.ports import Log
from saltcart.net.supervision import SupervisedTask
from saltcart.wire.buffer import MAX_IDLE_BYTES, Buffer

CONNECT_TIMEOUT_SECONDS = 2.0


class Connection(asyncio.BufferedProtocol):
    """A connection with one receive buffer; subclasses implement ``opened``, ``received`` and ``closed``.

    Args:
        limit: Maximum number of unread bytes in the buffer.
        idle_limit: Maximum capacity in bytes of the buffer while it is empty.
    """

    transport: asyncio.Transport | None = None

    def __init__(self, limit: int = 65536, idle_limit: int = MAX_IDLE_BYTES) -> None:
        self.buffer = Buffer(limit=limit, idle_limit=idle_limit)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport, as asyncio reports that the connection is established."""
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport
        self.opened()

    def get_buffer(self, sizehint: int) -> memoryview:
        """Return free space of the buffer for asyncio to receive into."""
        return self.buffer.writable_view()

    def buffer_updated(self, nbytes: int) -> None:
        """Process the bytes that asyncio has received into the buffer."""
        self.buffer.commit(nbytes)
        self.received()

    def eof_received(self) -> bool:
        """Close the connection when the peer closes its sending direction."""
        return False  # asyncio then closes the transport, so both directions end together

    def connection_lost(self, exc: Exception | None) -> None:
        """Drop the transport, as asyncio reports that the connection has ended."""
        self.transport = None
        self.closed()

    def send(self, data: bytes) -> None:
        """Send data, unless the connection has ended or is closing."""
        if self.transport is not None and not self.transport.is_closing():
            self.transport.write(data)

    def close(self) -> None:
        """Close the connection once the written data is sent."""
        if self.transport is not None:
            self.transport.close()

    def abort(self) -> None:
        """Close the connection at once; use it if the peer need not receive the data that is still unsent."""
        if self.transport is not None:
            self.transport.abort()

    def opened(self) -> None:
        """Handle the establishment of the connection."""

    def received(self) -> None:
        """Handle new bytes in the buffer."""

    def closed(self) -> None:
        """Handle the end of the connection; called once, whichever side ended it."""


def parse_address(text: str) -> tuple[str, int]:
    """Split an address of the form ``host:port``.

    Raises:
        ValueError: The port is not a number.
    """
    host, _, port = text.rpartition(":")
    return host, int(port)


class LinkConnection(Connection):
    """A connection of a link; a new one replaces the previous one."""

    def __init__(self, link: Link) -> None:
        super().__init__()
        self.link = link

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Become the link's connection, and close the previous one."""
        previous, self.link.connection = self.link.connection, self
        if previous is not None:
            previous.close()
        super().connection_made(transport)

    def is_current(self) -> bool:
        """Whether this is the link's connection, and not one that was replaced."""
        return self.link.connection is self

    def connection_lost(self, exc: Exception | None) -> None:
        """Let the link reconnect, if this is its connection."""
        super().connection_lost(exc)
        if self.is_current():
            self.link.connection = None
            self.link.disconnected.set()


class Link:
    """Keeps one connection to a peer open, and reconnects with exponential backoff.

    Args:
        name: The name of the link in the log.
        peer: The address of the peer.
        log: Event log.
    """

    INITIAL_BACKOFF_SECONDS, MAX_BACKOFF_SECONDS = 0.02, 0.5

    def __init__(self, name: str, peer: str, log: Log) -> None:
        self.name, self.peer, self.log = name, parse_address(peer), log
        self.connection: LinkConnection | None = None
        self.disconnected = asyncio.Event()
        self.connect_task = SupervisedTask(f"{name} link", self._run, log)

    def make_connection(self) -> LinkConnection:
        """Return a new connection object, for asyncio to connect."""
        raise NotImplementedError

    def start(self) -> None:
        """Connect, and reconnect whenever the connection is lost."""
        self.connect_task.start()

    def change_address(self, peer: str) -> None:
        """Reconnect to another address.

        Data that the old connection had not delivered yet is requested again on the new one.
        """
        if parse_address(peer) == self.peer:
            return
        self.peer = parse_address(peer)
        self.close()
        self.start()

    def close(self) -> None:
        """Close the connection and stop reconnecting."""
        self.connect_task.stop()
        if self.connection is not None:
            self.connection.close()
            self.connection = None

    async def _run(self) -> None:
        backoff = self.INITIAL_BACKOFF_SECONDS
        loop = asyncio.get_running_loop()
        while True:
            self.disconnected.clear()
            try:
                async with asyncio.timeout(CONNECT_TIMEOUT_SECONDS):
                    await loop.create_connection(self.make_connection, *self.peer)
            except (OSError, TimeoutError) as error:
                if backoff == self.INITIAL_BACKOFF_SECONDS:
                    self.log("link-refused", link=self.name, error=str(error))
                await asyncio.sleep(backoff)
                backoff = min(self.MAX_BACKOFF_SECONDS, 2 * backoff)
                continue
            backoff = self.INITIAL_BACKOFF_SECONDS
            await self.disconnected.wait()
            self.log("link-lost", link=self.name)
            await asyncio.sleep(self.INITIAL_BACKOFF_SECONDS)
