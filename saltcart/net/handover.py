"""Unix sockets between predecessor and successor: packets that may carry a file descriptor.

asyncio transports can't send file descriptors, so this module reads and writes the sockets itself, from the
event loop.
"""

from __future__ import annotations

import asyncio
import errno
import os
import socket
from collections import deque
from collections.abc import Callable
from pathlib import Path

from saltcart.net.peer_process import PeerProcess, read_peer_process_id
from saltcart.wire.errors import MalformedMessageError
from saltcart.wire.handover import MAX_PACKET_BYTES, HandoverPacket, decode, encode

MAX_PATH_BYTES = 100  # a longer path does not fit in the address of a Unix socket
SEND_BUFFER_BYTES = 256 * 1024
MAX_DESCRIPTORS = 4  # file descriptors read with a packet, which should carry at most one
BACKLOG_CONNECTIONS = 4
PEER_EXIT_GRACE_SECONDS = 0.25  # a process that ends closes its links before it has exited


class HandoverLink:
    """A connection between predecessor and successor, which owns its socket.

    The end of the connection and the end of the peer are reported apart, because a link may be lost while
    both processes live.

    A file descriptor is sent at once or not at all, so that a queue never keeps a second copy of it open.
    """

    def __init__(self, link_socket: socket.socket) -> None:
        self.socket = link_socket
        self.loop = asyncio.get_running_loop()
        self.unsent_packets = deque[bytes]()
        self.on_packet: Callable[[HandoverPacket, int | None], None] = lambda packet, descriptor: None
        # Called with the error that tells why a packet could not be decoded.
        self.on_undecodable: Callable[[MalformedMessageError], None] = lambda error: None
        # Called some time after the link was lost if the peer still runs.
        self.on_link_lost: Callable[[], None] = lambda: None
        # Called once the link was lost and the peer has ended, or can't be watched.
        self.on_peer_ended: Callable[[], None] = lambda: None
        self.is_open = True
        self.peer = PeerProcess.find(link_socket)
        self.peer_process_id = read_peer_process_id(link_socket)  # 0 if it is not visible from here
        self.grace_timer: asyncio.TimerHandle | None = None
        link_socket.setblocking(False)
        link_socket.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SEND_BUFFER_BYTES)

    def start(self) -> None:
        """Start to read packets.  ``on_packet`` owns the file descriptor that it receives.

        A packet that can't be decoded does not close the link: the peer would take that for the end of this
        process.
        """
        self.loop.add_reader(self.socket, self._read)

    def send(self, packet: HandoverPacket) -> None:
        """Send a packet, or queue it while the socket's send buffer is full."""
        if not self.is_open:
            return
        self.unsent_packets.append(encode(packet))
        if len(self.unsent_packets) == 1:
            self._write()

    def send_descriptor(self, packet: HandoverPacket, descriptor: int) -> bool:
        """Send a packet with a file descriptor, without queueing.

        Args:
            packet: The packet.
            descriptor: The file descriptor, which the caller still has to close.

        Returns:
            Whether it was sent.  If not, the caller may try again later.
        """
        if not self.is_open or self.unsent_packets:  # packets must arrive in the order of the calls
            return False
        try:
            socket.send_fds(self.socket, [encode(packet)], [descriptor])
        except OSError as error:
            if not isinstance(error, BlockingIOError) and error.errno != errno.ETOOMANYREFS:
                self._lose()
            return False
        return True

    def close(self) -> None:
        """Close the link and report nothing more.  Unsent packets are lost."""
        self.on_link_lost = self.on_peer_ended = lambda: None
        self._close_socket()
        self._cancel_grace_timer()
        if self.peer is not None:
            self.peer.close()

    def _close_socket(self) -> None:
        if not self.is_open:
            return
        self.is_open = False
        self.loop.remove_reader(self.socket)
        self.loop.remove_writer(self.socket)
        self.socket.close()
        self.unsent_packets.clear()

    def _lose(self) -> None:
        """Close a link that the peer has closed or that fails; the caller may be about to send more."""
        self._close_socket()
        self.loop.call_soon(self._report_loss)

    def _report_loss(self) -> None:
        if self.peer is None:
            self.on_peer_ended()
            return
        self.grace_timer = self.loop.call_later(PEER_EXIT_GRACE_SECONDS, self.on_link_lost)
        self.peer.call_at_end(self._report_peer_end)

    def _report_peer_end(self) -> None:
        self._cancel_grace_timer()
        self.on_peer_ended()

    def _cancel_grace_timer(self) -> None:
        if self.grace_timer is not None:
            self.grace_timer.cancel()
            self.grace_timer = None

    def _write(self) -> None:
        while self.is_open and self.unsent_packets:
            try:
                self.socket.send(self.unsent_packets[0])
            except BlockingIOError:
                self.loop.add_writer(self.socket, self._write)
                return
            except OSError:
                self._lose()
                return
            self.unsent_packets.popleft()
        if self.is_open:
            self.loop.remove_writer(self.socket)

    def _read(self) -> None:
        try:
            data, descriptors, flags, _ = socket.recv_fds(self.socket, MAX_PACKET_BYTES, MAX_DESCRIPTORS)
        except BlockingIOError:
            return
        except OSError:
            data = b""
            descriptors = []
            flags = 0
        for extra_descriptor in descriptors[1:]:
            os.close(extra_descriptor)
        if not data:
            self._lose()
            return
        descriptor = descriptors[0] if descriptors else None
        try:
            if flags & socket.MSG_TRUNC:
                raise MalformedMessageError(f"handover: packet is longer than {MAX_PACKET_BYTES} bytes")
            packet = decode(data)
        except MalformedMessageError as error:
            if descriptor is not None:
                os.close(descriptor)
            self.on_undecodable(error)
        else:
            self.on_packet(packet, descriptor)


class HandoverListener:
    """The Unix socket in a private folder at which a serving process waits for its successor."""

    def __init__(self, folder: Path, name: str, on_connected: Callable[[HandoverLink], None]) -> None:
        self.folder = folder
        self.name = name
        self.on_connected = on_connected
        self.socket: socket.socket | None = None

    def _call_with_path(self, function: Callable[[str], None]) -> None:
        path = str(self.folder / self.name)
        if len(os.fsencode(path)) <= MAX_PATH_BYTES:
            function(path)
            return
        folder_descriptor = os.open(self.folder, os.O_RDONLY | os.O_DIRECTORY)
        try:
            function(f"/proc/self/fd/{folder_descriptor}/{self.name}")
        finally:
            os.close(folder_descriptor)

    def has_been_used(self) -> bool:
        """Return whether a process of this instance has listened in this folder, if that can be read."""
        return os.path.exists(self.folder / self.name)  # unlike ``Path.exists``, it raises no ``OSError``

    def connect(self) -> HandoverLink | None:
        """Return a link to the process that serves now, or None if there is none."""
        link_socket = socket.socket(socket.AF_UNIX, socket.SOCK_SEQPACKET)
        try:
            self._call_with_path(link_socket.connect)
        except OSError:
            link_socket.close()
            return None
        return HandoverLink(link_socket)

    def open(self) -> None:
        """Listen for the successor, and replace the socket of an earlier process.

        Raises:
            OSError: The socket can't be created in the folder.
        """
        self.close()
        listening_socket = socket.socket(socket.AF_UNIX, socket.SOCK_SEQPACKET)
        try:
            path = self.folder / self.name
            path.unlink(missing_ok=True)
            self._call_with_path(listening_socket.bind)
            path.chmod(0o600)
            listening_socket.listen(BACKLOG_CONNECTIONS)
            listening_socket.setblocking(False)
        except BaseException:
            listening_socket.close()
            raise
        self.socket = listening_socket
        asyncio.get_running_loop().add_reader(listening_socket, self._accept)

    def _accept(self) -> None:
        assert self.socket is not None
        try:
            link_socket, _ = self.socket.accept()
        except OSError:
            return
        self.on_connected(HandoverLink(link_socket))

    def close(self) -> None:
        """Stop listening for a successor."""
        if self.socket is not None:
            asyncio.get_running_loop().remove_reader(self.socket)
            self.socket.close()
            self.socket = None
