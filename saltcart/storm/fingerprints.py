"""What makes two tries the same request, where nothing marks them as such."""

from __future__ import annotations

import xxhash

SEPARATOR = b"\0"


class Fingerprints:
    """64-bit digests of account, class, key, subject and body; fields in the head alone make no difference.

    The seed is the process's own, so that nobody can choose requests that collide on a given server.
    """

    def __init__(self, seed: int) -> None:
        self.seed = seed & ((1 << 64) - 1)

    def of(self, account: str, klass: str, key: bytes | None, subject: str | None, body: bytes) -> int:
        parts = (account.encode(), klass.encode(), key or b"", (subject or "").encode(), body)
        return xxhash.xxh3_64_intdigest(SEPARATOR.join(parts), seed=self.seed)
