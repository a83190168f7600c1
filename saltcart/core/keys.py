"""The key table: which try holds a key, and what became of its run."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from hashlib import blake2b

Key = tuple[str, str, bytes]  # tenant, class, key: no tenant reaches another's


def digest(body: bytes) -> bytes:
    """Tells bodies apart without keeping them."""
    return blake2b(body, digest_size=16).digest()


@dataclass(slots=True)
class Entry:
    """One key.  ``until`` is when tries stop being its repeats, by the time at which they arrived."""

    key: Key
    holder: int
    until: float
    digest: bytes  # of the body that all tries of the request carry
    idents: set[bytes] = field(default_factory=set)  # of its tries: an id comes once
    ran: bool = False
    over: bool = False
    result: bytes | None = None  # of a run that went well
    joined: list[int] = field(default_factory=list)  # tries that wait for the result


class KeyTable:
    """Bounded: a try that finds no place for its key must not run."""

    def __init__(self, limit: int, grace: float) -> None:
        self.limit, self.grace = limit, grace  # a try may be read this long after it arrived
        self.entries: dict[Key, Entry] = {}
        self.by_holder: dict[int, Entry] = {}

    def __len__(self) -> int:
        return len(self.entries)

    def full(self) -> bool:
        return len(self.entries) >= self.limit

    def find(self, key: Key, received: float) -> Entry | None:
        entry = self.entries.get(key)
        return entry if entry is not None and received <= entry.until else None

    def keep(self, key: Key, holder: int, until: float, body: bytes) -> Entry:
        entry = self.entries.get(key)
        if entry is not None and entry.holder == holder:
            entry.until = max(entry.until, until)
            return entry
        if entry is not None:
            self.by_holder.pop(entry.holder, None)
        entry = self.entries[key] = self.by_holder[holder] = Entry(key, holder, until, digest(body))
        return entry

    def release(self, holder: int) -> Entry | None:
        """Give an entry back, unless its run has begun: then it stands for its whole window."""
        entry = self.by_holder.get(holder)
        if entry is None or entry.ran:
            return None
        return self._remove(entry)

    def never_ran(self, holder: int) -> Entry | None:
        """It is proved that nothing was started: the key is as free as before."""
        entry = self.by_holder.get(holder)
        return None if entry is None else self._remove(entry)

    def inherit(self, entry: Entry) -> None:
        """An entry of the process before; it stands whatever the bound, for its run may have begun."""
        self.entries[entry.key] = self.by_holder[entry.holder] = entry

    def free(self, entry: Entry) -> None:
        self._remove(entry)

    def _remove(self, entry: Entry) -> Entry:
        self.by_holder.pop(entry.holder, None)
        if self.entries.get(entry.key) is entry:
            del self.entries[entry.key]
        return entry

    def sweep(self, now: float, alive: Callable[[int], bool]) -> None:
        """Drop what no late-read try can refer to any more."""
        for entry in [e for e in self.entries.values() if now > e.until + self.grace and not alive(e.holder)]:
            self._remove(entry)
