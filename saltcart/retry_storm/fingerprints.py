"""What makes two attempts the same request, where nothing marks them as such."""

from __future__ import annotations

import xxhash

SEPARATOR = b"\0"
SEED_MASK = (1 << 64) - 1


class Fingerprints:
    """64-bit digests of account, class, key, subject and body; fields in the head alone make no difference.

    The seed is the process's own, so that nobody can choose requests that collide on a given server.
    """

    def __init__(self, seed: int) -> None:
        self.seed = seed & SEED_MASK

    def of(self, account: str, class_name: str, key: bytes | None, subject: str | None, body: bytes) -> int:
        """Return the fingerprint of a request."""
        parts = (account.encode(), class_name.encode(), key or b"", (subject or "").encode(), body)
        return xxhash.xxh3_64_intdigest(SEPARATOR.join(parts), seed=self.seed)
