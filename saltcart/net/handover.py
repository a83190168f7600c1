"""The socket between an old process and the one that takes over: packets that may carry descriptors.

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
from saltcart.wire.handover import MAX_PACKET, HandoverPacket, decode, encode

MAX_PATH = 100  # bytes; a longer one does not fit a Unix address
SEND_BUFFER = 256 * 1024  # bytes
MAX_DESCRIPTORS = 4  # read with one packet; one is expected
BACKLOG = 4


class HandoverLink:
    """Owns its socket; a descriptor goes with a packet at once or not at all, so none is held twice."""

    def __init__(self, link_socket: socket.socket) -> None:
        self.socket = link_socket
        self.loop = asyncio.get_running_loop()
        self.outgoing = deque[bytes]()
        self.on_packet: Callable[[HandoverPacket, int | None], None] = lambda packet, descriptor: None
        self.on_closed: Callable[[], None] = lambda: None
        self.is_open = True
        link_socket.setblocking(False)
        link_socket.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SEND_BUFFER)

    def start(self) -> None:
        """Read packets from now on; ``on_packet`` owns the descriptor that it is given."""
        self.loop.add_reader(self.socket, self._read)

    def send(self, packet: HandoverPacket) -> None:
        """Send a packet, as soon as there is room for it."""
        if not self.is_open:
            return
        self.outgoing.append(encode(packet))
        if len(self.outgoing) == 1:
            self._write()

    def send_descriptor(self, packet: HandoverPacket, descriptor: int) -> bool:
        """Send a descriptor, which stays the caller's to close; False where it can't go now."""
        if not self.is_open or self.outgoing:  # what was sent before comes first
            return False
        try:
            socket.send_fds(self.socket, [encode(packet)], [descriptor])
        except OSError as error:
            if not isinstance(error, BlockingIOError) and error.errno != errno.ETOOMANYREFS:
                self.close()
            return False
        return True

    def close(self) -> None:
        """End the link; what was not sent is lost."""
        if not self.is_open:
            return
        self.is_open = False
        self.loop.remove_reader(self.socket)
        self.loop.remove_writer(self.socket)
        self.socket.close()
        self.outgoing.clear()
        self.on_closed()

    def _write(self) -> None:
        while self.is_open and self.outgoing:
            try:
                self.socket.send(self.outgoing[0])
            except BlockingIOError:
                self.loop.add_writer(self.socket, self._write)
                return
            except OSError:
                self.close()
                return
            self.outgoing.popleft()
        if self.is_open:
            self.loop.remove_writer(self.socket)

    def _read(self) -> None:
        try:
            data, descriptors, _, _ = socket.recv_fds(self.socket, MAX_PACKET, MAX_DESCRIPTORS)
        except BlockingIOError:
            return
        except OSError:
            data = b""
            descriptors = []
        for descriptor in descriptors[1:]:
            os.close(descriptor)
        if not data:
            self.close()
            return
        first = descriptors[0] if descriptors else None
        try:
            self.on_packet(decode(data), first)
        except MalformedMessageError:
            if first is not None:
                os.close(first)
            self.close()


class HandoverListener:
    """The path in a private folder where a serving process is found by the one that is to take over."""

    def __init__(self, folder: Path, name: str, on_connected: Callable[[HandoverLink], None]) -> None:
        self.folder = folder
        self.name = name
        self.on_connected = on_connected
        self.socket: socket.socket | None = None

    def _with_path(self, call: Callable[[str], None]) -> None:
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
        """Return a link to the process that serves now, or None where there is none."""
        link_socket = socket.socket(socket.AF_UNIX, socket.SOCK_SEQPACKET)
        try:
            self._with_path(link_socket.connect)
        except OSError:
            link_socket.close()
            return None
        return HandoverLink(link_socket)

    def open(self) -> None:
        """Be found from now on, in the place of whoever was; ``OSError`` where that can not be."""
        self.close()
        listening = socket.socket(socket.AF_UNIX, socket.SOCK_SEQPACKET)
        try:
            path = self.folder / self.name
            path.unlink(missing_ok=True)
            self._with_path(listening.bind)
            path.chmod(0o600)
            listening.listen(BACKLOG)
            listening.setblocking(False)
        except BaseException:
            listening.close()
            raise
        self.socket = listening
        asyncio.get_running_loop().add_reader(listening, self._accept)

    def _accept(self) -> None:
        assert self.socket is not None
        try:
            accepted, _ = self.socket.accept()
        except OSError:
            return
        self.on_connected(HandoverLink(accepted))

    def close(self) -> None:
        """Be found no longer."""
        if self.socket is not None:
            asyncio.get_running_loop().remove_reader(self.socket)
            self.socket.close()
            self.socket = None
