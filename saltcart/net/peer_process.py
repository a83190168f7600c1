"""Watches the process at the other end of a Unix socket, whose end a closed socket alone does not prove."""

from __future__ import annotations

import asyncio
import os
import socket
import struct
from collections.abc import Callable

CREDENTIALS_FORMAT = "3i"  # process id, user id and group id; see unix(7), SO_PEERCRED


def read_peer_process_id(connected_socket: socket.socket) -> int:
    """Return the id of the process at the other end of a Unix socket, 0 if it is not visible from here."""
    size = struct.calcsize(CREDENTIALS_FORMAT)
    credentials = connected_socket.getsockopt(socket.SOL_SOCKET, socket.SO_PEERCRED, size)
    process_id, _, _ = struct.unpack(CREDENTIALS_FORMAT, credentials)
    return int(process_id)


class PeerProcess:
    """A process known by a descriptor that becomes readable when it ends; see pidfd_open(2).

    Args:
        descriptor: The descriptor, which this object owns.
    """

    def __init__(self, descriptor: int) -> None:
        self.descriptor: int | None = descriptor
        self.loop = asyncio.get_running_loop()

    @classmethod
    def find(cls, connected_socket: socket.socket) -> PeerProcess | None:
        """Return the process that has connected to a Unix socket, or that listens at its other end.

        Returns:
            The process, or None if it can't be watched: it has ended, it is not visible from here, the system
            has no such descriptors, or it is this process itself.
        """
        process_id = read_peer_process_id(connected_socket)
        if process_id <= 0 or process_id == os.getpid():
            return None
        try:
            return cls(os.pidfd_open(process_id))
        except OSError:
            return None

    def call_at_end(self, callback: Callable[[], None]) -> None:
        """Call a function once the process has ended, unless ``close`` is called before."""
        if self.descriptor is None:
            return
        self.loop.add_reader(self.descriptor, self._report_end, callback)

    def _report_end(self, callback: Callable[[], None]) -> None:
        self.close()
        callback()

    def close(self) -> None:
        """Stop watching the process."""
        if self.descriptor is None:
            return
        self.loop.remove_reader(self.descriptor)
        os.close(self.descriptor)
        self.descriptor = None
