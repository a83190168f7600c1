"""Admission of connections whose request has not been read yet."""

from __future__ import annotations

import enum


class ConnectionAdmission(enum.Enum):
    """Decision about a connection on which a request has arrived."""

    REFUSE = "not read"
    READ = "read"
    READ_LAST = "read, but its requests come after those of others"
