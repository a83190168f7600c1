"""Hot restart: a new process, the successor, takes over from the predecessor under load.

The platform holds the clients' listening socket.  Once its worker pool is up, the successor requests the
takeover.  The predecessor sends the idempotency keys that it holds and stops accepting connections.  Then it
passes its open connections to the successor, each as soon as it carries no request.  New requests therefore
reach only the successor, which knows all keys.  The predecessor finishes its own requests and reports how its
runs with keys end.
"""

from saltcart.takeover.hot_restart import Takeover

__all__ = ["Takeover"]
