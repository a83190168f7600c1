"""Times that the parts of a takeover share."""

from __future__ import annotations

POLL_INTERVAL_SECONDS = 0.02  # between checks for connections to pass, open fronts and finished requests
