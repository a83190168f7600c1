"""Counts of requests by tenant, class and ending."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable

from saltcart.core.request import PendingRequest


class RequestCounters:
    """Counts that the control port and the administration API show to operators."""

    def __init__(self, is_tenant: Callable[[str], bool]) -> None:
        """Start with all counts at zero.

        Args:
            is_tenant: Returns whether an account is a configured tenant, which is counted under its own name.
        """
        self.is_tenant = is_tenant
        self.counts = Counter[tuple[str, str, str]]()  # by tenant, class and ending
        self.runs_started = Counter[str]()  # by class

    def record(self, request: PendingRequest, ending: str) -> None:
        """Count one request under its ending, such as ``"served"`` or ``"abandoned"``."""
        # Without configured tenants an account may be any name, so counters for each would grow without end.
        account = request.inbound.account
        tenant = account if self.is_tenant(account) else ""
        self.counts[tenant, request.inbound.class_name, ending] += 1

    def by_class(self) -> Counter[tuple[str, str]]:
        """Return the counts by class and ending, summed over all tenants."""
        counts = Counter[tuple[str, str]]()
        for (_, class_name, ending), count in self.counts.items():
            counts[class_name, ending] += count
        return counts
