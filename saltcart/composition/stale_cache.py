"""The last good answers of dependencies: bounded in number, size and age, and each tenant's its own."""

from __future__ import annotations

from collections import OrderedDict
from hashlib import blake2b
from typing import NamedTuple

ENTRY_OVERHEAD_BYTES = 200  # bytes of an entry beside its body, as measured with tracemalloc


class CachedResponse(NamedTuple):
    at: float
    body: bytes


class StaleCache:
    """Least recently used answers go first, and from the tenant that holds the most bytes."""

    def __init__(self, entries: int, kb: float) -> None:
        self.most, self.most_bytes = entries, int(kb * 1024)
        self.entries_by_tenant: dict[str, OrderedDict[bytes, CachedResponse]] = {}
        self.bytes_by_tenant: dict[str, int] = {}  # bytes by tenant
        self.entry_count = self.total_bytes = 0

    @staticmethod
    def key(dependency: str, sent: bytes) -> bytes:
        """What the answer answers: the dependency and all that was sent to it."""
        return blake2b(sent, digest_size=16, key=dependency.encode()[:64]).digest()

    def put(self, now: float, tenant: str, key: bytes, body: bytes) -> None:
        if len(body) + ENTRY_OVERHEAD_BYTES > self.most_bytes or not self.most:
            return
        mine = self.entries_by_tenant.setdefault(tenant, OrderedDict())
        if key in mine:
            self._remove(tenant, key)
            mine = self.entries_by_tenant.setdefault(tenant, mine)
        mine[key] = CachedResponse(now, body)
        size = len(body) + ENTRY_OVERHEAD_BYTES
        self.bytes_by_tenant[tenant] = self.bytes_by_tenant.get(tenant, 0) + size
        self.total_bytes, self.entry_count = self.total_bytes + size, self.entry_count + 1
        while self.total_bytes > self.most_bytes or self.entry_count > self.most:
            most = max(self.bytes_by_tenant, key=self.bytes_by_tenant.__getitem__)
            self._remove(most, next(iter(self.entries_by_tenant[most])))

    def get(self, now: float, tenant: str, key: bytes, age: float) -> bytes | None:
        """An answer no older than ``age`` seconds."""
        mine = self.entries_by_tenant.get(tenant)
        kept = None if mine is None else mine.get(key)
        if mine is None or kept is None or now - kept.at > age:
            return None
        mine.move_to_end(key)
        return kept.body

    def remove_tenant(self, tenant: str) -> None:
        """A tenant is gone, and with it all that it was told."""
        for key in list(self.entries_by_tenant.get(tenant, ())):
            self._remove(tenant, key)

    def _remove(self, tenant: str, key: bytes) -> None:
        size = len(self.entries_by_tenant[tenant].pop(key).body) + ENTRY_OVERHEAD_BYTES
        self.bytes_by_tenant[tenant] -= size
        self.total_bytes, self.entry_count = self.total_bytes - size, self.entry_count - 1
        if not self.entries_by_tenant[tenant]:
            del self.entries_by_tenant[tenant], self.bytes_by_tenant[tenant]
