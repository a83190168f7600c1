"""How the file descriptors of a process are shared out among its kinds of connections."""

from __future__ import annotations

from dataclasses import dataclass

from saltcart.config import Config
from saltcart.front.control import MAX_CONNECTIONS as MAX_CONTROL_CONNECTIONS

MAX_ADMIN_CONNECTIONS = 16
# For the pool, the announce service, listeners, logs, the event loop and connections being closed.
RESERVED_DESCRIPTORS = 56
SUCCESSOR_DESCRIPTORS = 24  # for a successor that starts while this process still serves, before its takeover
# Connections to the index: the limit of descriptors divided by the divisor, within the two bounds.
MIN_INDEX_CONNECTIONS = 4
MAX_INDEX_CONNECTIONS = 64
INDEX_DIVISOR = 6
# Under a low limit less is reserved, and operators get fewer connections: at most the limit divided by these
# divisors.  Balancers may hold half of the descriptors.
RESERVED_DIVISOR = 5
MIN_RESERVED_DESCRIPTORS = 16
OPERATOR_DIVISOR = 16


@dataclass(frozen=True, slots=True)
class ConnectionLimits:
    """Limits of the numbers of open connections."""

    client: int  # of all fronts together
    index: int
    control: int
    admin: int


def allocate_connections(conf: Config, *, has_admin: bool) -> ConnectionLimits:
    """Return the limits of connections under the limit of descriptors.

    Args:
        conf: The configuration, which gives the limit and says what the platform asks for.
        has_admin: Whether the administration API is on.
    """
    limit = conf.max_sockets
    operator_limit = limit // OPERATOR_DIVISOR
    index = max(MIN_INDEX_CONNECTIONS, min(MAX_INDEX_CONNECTIONS, limit // INDEX_DIVISOR))
    control = min(MAX_CONTROL_CONNECTIONS, operator_limit)
    admin = min(MAX_ADMIN_CONNECTIONS, operator_limit)
    reserved = min(RESERVED_DESCRIPTORS, max(MIN_RESERVED_DESCRIPTORS, limit // RESERVED_DIVISOR))
    client = limit - index - reserved
    if has_admin:
        client -= admin
    if conf.listen_fd is not None:
        client -= min(SUCCESSOR_DESCRIPTORS, operator_limit)
    if conf.control:
        client -= control
    return ConnectionLimits(client, index, control, admin)
