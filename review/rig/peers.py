"""The announce service and the index, as the protocol page describes them."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from rig.record import Record


class AnnounceService:
    """Answers each report with 204.

    Args:
        record: The record of the case.
    """

    def __init__(self, record: Record) -> None:
        self.record = record
        self.address = ""
        self.server: asyncio.Server | None = None

    async def open(self) -> None:
        """Listen on a free port."""
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.address = "{}:{}".format(*self.server.sockets[0].getsockname())

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while head := await reader.readuntil(b"\r\n\r\n"):
                lengths = [
                    int(line.partition(b":")[2])
                    for line in head.split(b"\r\n")
                    if line.lower().startswith(b"content-length:")
                ]
                body = await reader.readexactly(lengths[0])
                self.record("announce", "report", body=body.decode("latin-1"))
                writer.write(b"HTTP/1.1 204 No Content\r\n\r\n")
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError, IndexError):
            pass
        finally:
            writer.close()

    def close(self) -> None:
        """Stop listening."""
        if self.server is not None:
            self.server.close()


class Index:
    """Answers each call with HIT after a delay.

    Args:
        reply: Returns the reply to the body of a call, and the seconds until it is sent.
        record: The record of the case.
    """

    def __init__(self, reply: Callable[[bytes], tuple[bytes, float]], record: Record) -> None:
        self.reply, self.record = reply, record
        self.address = ""
        self.server: asyncio.Server | None = None
        self.pending: dict[tuple[int, bytes], asyncio.TimerHandle] = {}

    async def open(self) -> None:
        """Listen on a free port."""
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.address = "{}:{}".format(*self.server.sockets[0].getsockname())

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while line := await reader.readline():
                words = line.rstrip(b"\r\n").split(b" ")
                place = id(writer), words[1]
                if place in self.pending:
                    self.pending.pop(place).cancel()
                if words[0] == b"GET":
                    body = (await reader.readexactly(int(words[3]) + 2))[:-2]
                    reply, seconds = self.reply(body)
                    self.record("index", "call", id=words[1].decode(), body=body.decode("latin-1"))
                    self.pending[place] = asyncio.get_running_loop().call_later(
                        seconds, self._answer, place, writer, reply
                    )
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError, ValueError, IndexError):
            pass
        finally:
            for place in [place for place in self.pending if place[0] == id(writer)]:
                self.pending.pop(place).cancel()
            writer.close()

    def _answer(self, place: tuple[int, bytes], writer: asyncio.StreamWriter, reply: bytes) -> None:
        self.pending.pop(place, None)
        self.record("index", "reply", id=place[1].decode(), reply=reply.decode("latin-1"))
        if not writer.transport.is_closing():
            writer.write(b"%b HIT %d\r\n%b\r\n" % (place[1], len(reply), reply))

    def close(self) -> None:
        """Stop listening."""
        if self.server is not None:
            self.server.close()
