"""What may become of a new connection before anything is read from it."""

from __future__ import annotations

import enum


class ConnectionAdmission(enum.Enum):
    """What becomes of a connection that brings a request."""

    REFUSE = "not read"
    READ = "read"
    READ_LAST = "read, but its requests come after those of others"
