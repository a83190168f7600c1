"""The file in which the processes of an instance share the drain by operators.

It lies in the folder that the processes share, so it reaches every one of them, however many there are and
whatever has become of the links between them.
"""

from __future__ import annotations

import fcntl
import os
from pathlib import Path

from saltcart.wire.errors import MalformedMessageError

# The contents of the file, which other releases read.
DRAINING = b"1"
NOT_DRAINING = b"0"


class DrainFile:
    """One byte that says whether operators drain the instance; the last write holds for all processes.

    Each process that has the file open holds two locks, which the kernel removes when the process ends:

    - a shared flock(2) on the file: where no other process holds one, the byte is left over from an instance
      that has ended, and is void;
    - a fcntl(2) lock on the byte at the offset of its process id: it shows the others that this process reads
      the file, which earlier releases don't.
    """

    def __init__(self, path: Path) -> None:
        """Open the file, and create it if there is none.

        Raises:
            OSError: The file can't be opened, locked or written.
        """
        self.descriptor = os.open(path, os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o600)
        try:
            if self._is_left_over():
                self.write(is_draining=False)
            fcntl.flock(self.descriptor, fcntl.LOCK_SH)
            fcntl.lockf(self.descriptor, fcntl.LOCK_EX, 1, os.getpid())
        except BaseException:
            self.close()
            raise

    def _is_left_over(self) -> bool:
        """Lock the file exclusively; return False if another process has it open."""
        try:
            fcntl.flock(self.descriptor, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except BlockingIOError:
            return False
        return True

    def read(self) -> bool:
        """Return whether operators drain the instance.

        Raises:
            MalformedMessageError: The file doesn't hold what a process of an instance writes.
            OSError: The file can't be read.
        """
        content = os.pread(self.descriptor, 1, 0)
        if content not in (DRAINING, NOT_DRAINING):
            raise MalformedMessageError(
                f"drain file: content is {content!r}, not {DRAINING!r} or {NOT_DRAINING!r}"
            )
        return content == DRAINING

    def write(self, *, is_draining: bool) -> None:
        """Tell all processes whether operators drain the instance.

        Raises:
            OSError: The file can't be written.
        """
        os.pwrite(self.descriptor, DRAINING if is_draining else NOT_DRAINING, 0)

    def is_read_by(self, process_id: int) -> bool:
        """Return whether a process has the file open.

        Raises:
            OSError: The locks of the file can't be read.
        """
        if process_id == os.getpid():  # a process doesn't see its own locks
            return True
        try:
            fcntl.lockf(self.descriptor, fcntl.LOCK_SH | fcntl.LOCK_NB, 1, process_id)
        except (BlockingIOError, PermissionError):  # EAGAIN or EACCES, by fcntl(2)
            return True
        fcntl.lockf(self.descriptor, fcntl.LOCK_UN, 1, process_id)
        return False

    def close(self) -> None:
        """Close the file, which ends the locks."""
        os.close(self.descriptor)
