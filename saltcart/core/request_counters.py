"""Counts of requests by tenant, class and how they ended."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable

from saltcart.core.request import PendingRequest


class RequestCounters:
    """Counts for the operators."""

    def __init__(self, is_tenant: Callable[[str], bool]) -> None:
        """``is_tenant`` tells accounts that are counted by name from others."""
        self.is_tenant = is_tenant
        self.counts = Counter[tuple[str, str, str]]()  # by tenant, class and how it ended
        self.runs_started = Counter[str]()  # by class

    def record(self, request: PendingRequest, end: str) -> None:
        """Count one request under how it ended."""
        # Where no tenants are told an account may be any name: counting each would grow without end.
        account = request.inbound.account
        tenant = account if self.is_tenant(account) else ""
        self.counts[tenant, request.inbound.class_name, end] += 1

    def by_class(self) -> Counter[tuple[str, str]]:
        """Return the counts by class and how requests ended, over all tenants."""
        counts = Counter[tuple[str, str]]()
        for (_, class_name, end), count in self.counts.items():
            counts[class_name, end] += count
        return counts
