"""The socket between an old process and the new one that takes over: packets that may carry descriptors.

asyncio's transports carry no descriptors, so this one socket is read and written on the loop by hand.
"""

from __future__ import annotations

import asyncio
import errno
import os
import socket
from collections import deque
from collections.abc import Callable
from pathlib import Path

from saltcart.wire.errors import MalformedMessageError
from saltcart.wire.handover import MAX_PACKET, Packet, decode, encode

MAX_PATH = 100  # a longer one does not fit a Unix address
ROOM = 256 * 1024


class HandoverLink:
    """Owns its socket; a descriptor goes with a packet at once or not at all, so none is held twice."""

    def __init__(self, sock: socket.socket) -> None:
        self.sock, self.loop = sock, asyncio.get_running_loop()
        self.waiting = deque[bytes]()
        self.received: Callable[[Packet, int | None], None] = lambda packet, fd: None
        self.closed: Callable[[], None] = lambda: None
        self.open = True
        sock.setblocking(False)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, ROOM)

    def start(self) -> None:
        self.loop.add_reader(self.sock, self._read)

    def send(self, packet: Packet) -> None:
        if self.open:
            self.waiting.append(encode(packet))
            if len(self.waiting) == 1:
                self._write()

    def give(self, packet: Packet, fd: int) -> bool:
        """Send a descriptor, which stays the caller's to close; False where it can't go now."""
        if not self.open or self.waiting:  # what was said before comes first
            return False
        try:
            socket.send_fds(self.sock, [encode(packet)], [fd])
        except OSError as error:
            if not isinstance(error, BlockingIOError) and error.errno != errno.ETOOMANYREFS:
                self.close()
            return False
        return True

    def close(self) -> None:
        if not self.open:
            return
        self.open = False
        self.loop.remove_reader(self.sock)
        self.loop.remove_writer(self.sock)
        self.sock.close()
        self.waiting.clear()
        self.closed()

    def _write(self) -> None:
        while self.open and self.waiting:
            try:
                self.sock.send(self.waiting[0])
            except BlockingIOError:
                self.loop.add_writer(self.sock, self._write)
                return
            except OSError:
                self.close()
                return
            self.waiting.popleft()
        if self.open:
            self.loop.remove_writer(self.sock)

    def _read(self) -> None:
        try:
            data, fds, _, _ = socket.recv_fds(self.sock, MAX_PACKET, 4)
        except BlockingIOError:
            return
        except OSError:
            data, fds = b"", []
        for fd in fds[1:]:
            os.close(fd)
        if not data:
            self.close()
            return
        try:
            self.received(decode(data), fds[0] if fds else None)
        except MalformedMessageError:
            if fds:
                os.close(fds[0])
            self.close()


class Doorway:
    """The path in a private folder where the process that serves is found by the one that is to follow it."""

    def __init__(self, folder: Path, name: str, found: Callable[[HandoverLink], None]) -> None:
        self.folder, self.name, self.found = folder, name, found
        self.sock: socket.socket | None = None

    def _at(self, call: Callable[[str], None]) -> None:
        path = str(self.folder / self.name)
        if len(os.fsencode(path)) <= MAX_PATH:
            call(path)
            return
        folder = os.open(self.folder, os.O_RDONLY | os.O_DIRECTORY)
        try:
            call(f"/proc/self/fd/{folder}/{self.name}")
        finally:
            os.close(folder)

    def connect(self) -> HandoverLink | None:
        """To the process that serves now, if there is one."""
        sock = socket.socket(socket.AF_UNIX, socket.SOCK_SEQPACKET)
        try:
            self._at(sock.connect)
        except OSError:
            sock.close()
            return None
        return HandoverLink(sock)

    def open(self) -> None:
        """Be found from now on, in the place of whoever was."""
        self.close()
        sock = socket.socket(socket.AF_UNIX, socket.SOCK_SEQPACKET)
        try:
            (self.folder / self.name).unlink(missing_ok=True)
            self._at(sock.bind)
            (self.folder / self.name).chmod(0o600)
            sock.listen(4)
            sock.setblocking(False)
        except BaseException:
            sock.close()
            raise
        self.sock = sock
        asyncio.get_running_loop().add_reader(sock, self._accept)

    def _accept(self) -> None:
        assert self.sock is not None
        try:
            sock, _ = self.sock.accept()
        except OSError:
            return
        self.found(HandoverLink(sock))

    def close(self) -> None:
        if self.sock is not None:
            asyncio.get_running_loop().remove_reader(self.sock)
            self.sock.close()
            self.sock = None
