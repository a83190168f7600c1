"""Names in classes of equal size, changed by as few moves as can be.

A table that is kept and changed moves one name where one that is made anew from the names alone moves many
(docs/design/fleet.md has the figures of rendezvous hashing and of shuffled rounds).  So it is kept in shared
registers, in buckets, and followed by one instance at a time; what follows depends on the table and the names
alone.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping

import msgspec
import xxhash

from saltcart.schema import unpack
from saltcart.wire.errors import MalformedMessageError

BUCKET_COUNT = 32  # registers that a table is written in: a change is written in the buckets that it concerns
SHORT_DIGEST_MASK = 0xFFFFFFFF


def digest(name: str, salt: int = 0) -> int:
    """Return a name's digest."""
    return xxhash.xxh3_64_intdigest(name.encode(), salt)


def bucket_of(name: str) -> int:
    """Return the bucket of a table that a name stands in."""
    return digest(name) % BUCKET_COUNT


def rendezvous_class(name: str, class_count: int) -> int:
    """Return the class of a name that no table has: the one whose digest with the name is highest."""
    return max(range(class_count), key=lambda number: digest(name, number + 1))


def next_assignment(table: Mapping[str, int], names: Iterable[str], class_count: int) -> dict[str, int]:
    """Return the table that follows for these names.

    Those who are gone leave their places; those who are new take a place in the smallest class; then names
    move, one at a time, from the largest class to the smallest, until the two differ by one at most.
    """
    wanted = sorted(set(names))
    assigned = {name: table[name] for name in wanted if name in table and table[name] < class_count}
    sizes = [0] * class_count
    for number in assigned.values():
        sizes[number] += 1
    for name in wanted:
        if name not in assigned:
            smallest = _smallest_class_for(name, sizes)
            assigned[name] = smallest
            sizes[smallest] += 1
    while _move_one(assigned, sizes):
        pass
    return assigned


def _smallest_class_for(name: str, sizes: list[int]) -> int:
    return min(range(len(sizes)), key=lambda number: (sizes[number], -digest(name, number + 1)))


def _move_one(assigned: dict[str, int], sizes: list[int]) -> bool:
    """Move a name from the largest class to the smallest; False where they differ by one at most."""
    smallest = min(range(len(sizes)), key=lambda number: (sizes[number], number))
    largest = max(range(len(sizes)), key=lambda number: (sizes[number], -number))
    if sizes[largest] - sizes[smallest] <= 1:
        return False
    candidates = (name for name, number in assigned.items() if number == largest)
    mover = min(candidates, key=lambda name: digest(name, smallest + 1))
    assigned[mover] = smallest
    sizes[largest] -= 1
    sizes[smallest] += 1
    return True


_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(dict[int, int])


def encode_bucket(table: Mapping[str, int], bucket: int) -> bytes:
    """Return one bucket of a table: classes by the short digests of the names."""
    names = sorted(name for name in table if bucket_of(name) == bucket)
    return _encoder.encode({short_digest(name): table[name] for name in names})


def short_digest(name: str) -> int:
    """Return the low half of a name's digest: two of a bucket that share it stand in one class, no worse."""
    return digest(name) & SHORT_DIGEST_MASK


def read_bucket(data: bytes, class_count: int) -> dict[int, int]:
    """Read a bucket; ``MalformedMessageError`` for what is no bucket of a table of so many classes."""
    bucket = unpack(_decoder, data, "part of a table")
    if any(not 0 <= number < class_count for number in bucket.values()):
        raise MalformedMessageError("a table with a class that there is not")
    return bucket
