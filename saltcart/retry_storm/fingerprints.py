"""Request fingerprints: recognise attempts of the same request that carry no common identifier."""

from __future__ import annotations

import xxhash

SEPARATOR = b"\0"
SEED_MASK = (1 << 64) - 1


class Fingerprinter:
    """Computes 64-bit digests of account, class, keys and body.

    Other header fields don't count.  The seed is the process's own, so that no client can choose requests
    whose fingerprints collide on a given server.
    """

    def __init__(self, seed: int) -> None:
        self.seed = seed & SEED_MASK

    def fingerprint(
        self,
        account: str,
        class_name: str,
        idempotency_key: bytes | None,
        resource_key: str | None,
        body: bytes,
    ) -> int:
        """Return the fingerprint of a request."""
        parts = (
            account.encode(),
            class_name.encode(),
            idempotency_key or b"",
            (resource_key or "").encode(),
            body,
        )
        return xxhash.xxh3_64_intdigest(SEPARATOR.join(parts), seed=self.seed)
