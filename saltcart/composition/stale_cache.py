"""Cache of the last successful replies of dependencies, bounded in entries, size and age."""

from __future__ import annotations

from collections import OrderedDict
from hashlib import blake2b
from typing import NamedTuple

ENTRY_OVERHEAD_BYTES = 200  # memory of an entry without its body, according to tracemalloc


class CachedReply(NamedTuple):
    """The last successful reply to one call."""

    stored_at: float
    body: bytes


class StaleCache:
    """Cached replies, separate for each tenant.

    When the cache is full, the least recently used reply of the tenant that holds the most bytes is evicted.
    """

    def __init__(self, max_entries: int, max_kb: float) -> None:
        self.max_entries, self.max_bytes = max_entries, int(max_kb * 1024)
        self.entries_by_tenant: dict[str, OrderedDict[bytes, CachedReply]] = {}
        self.bytes_by_tenant: dict[str, int] = {}
        self.entry_count = self.total_bytes = 0

    @staticmethod
    def key(dependency: str, call_body: bytes) -> bytes:
        """Return the key of a reply: a digest of the dependency and of all that was sent to it."""
        return blake2b(call_body, digest_size=16, key=dependency.encode()[:64]).digest()

    def put(self, now: float, tenant: str, key: bytes, body: bytes) -> None:
        """Store a reply in place of an older one, unless it is larger than the whole cache."""
        if len(body) + ENTRY_OVERHEAD_BYTES > self.max_bytes or not self.max_entries:
            return
        entries = self.entries_by_tenant.setdefault(tenant, OrderedDict())
        if key in entries:
            self._remove(tenant, key)
            entries = self.entries_by_tenant.setdefault(tenant, entries)
        entries[key] = CachedReply(now, body)
        size = len(body) + ENTRY_OVERHEAD_BYTES
        self.bytes_by_tenant[tenant] = self.bytes_by_tenant.get(tenant, 0) + size
        self.total_bytes, self.entry_count = self.total_bytes + size, self.entry_count + 1
        while self.total_bytes > self.max_bytes or self.entry_count > self.max_entries:
            largest_tenant = max(self.bytes_by_tenant, key=self.bytes_by_tenant.__getitem__)
            self._remove(largest_tenant, next(iter(self.entries_by_tenant[largest_tenant])))

    def get(self, now: float, tenant: str, key: bytes, max_age: float) -> bytes | None:
        """Return a cached reply that is no older than ``max_age`` seconds."""
        entries = self.entries_by_tenant.get(tenant)
        cached = None if entries is None else entries.get(key)
        if entries is None or cached is None or now - cached.stored_at > max_age:
            return None
        entries.move_to_end(key)
        return cached.body

    def remove_tenant(self, tenant: str) -> None:
        """Remove all cached replies of a tenant."""
        for key in list(self.entries_by_tenant.get(tenant, ())):
            self._remove(tenant, key)

    def _remove(self, tenant: str, key: bytes) -> None:
        size = len(self.entries_by_tenant[tenant].pop(key).body) + ENTRY_OVERHEAD_BYTES
        self.bytes_by_tenant[tenant] -= size
        self.total_bytes, self.entry_count = self.total_bytes - size, self.entry_count - 1
        if not self.entries_by_tenant[tenant]:
            del self.entries_by_tenant[tenant], self.bytes_by_tenant[tenant]
