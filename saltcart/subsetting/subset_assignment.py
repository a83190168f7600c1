"""Assignment of names to classes of equal size, with as few moves as possible when the names change.

An assignment that is stored and updated moves one name where one that is computed from the names alone moves
many (docs/design/fleet.md has figures of rendezvous hashing and of shuffled rounds).  It is therefore stored
in shared registers, divided into buckets, and updated by one instance at a time.  The next assignment depends
on the previous one and the current names alone.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping

import msgspec
import xxhash

from saltcart.schema import decode_message
from saltcart.wire.errors import MalformedMessageError

BUCKET_COUNT = 32  # registers that hold an assignment; a change rewrites only the affected ones
SHORT_DIGEST_MASK = 0xFFFFFFFF


def digest(name: str, salt: int = 0) -> int:
    """Return a name's 64-bit digest."""
    return xxhash.xxh3_64_intdigest(name.encode(), salt)


def bucket_index(name: str) -> int:
    """Return the bucket of an assignment that a name belongs to."""
    return digest(name) % BUCKET_COUNT


def rendezvous_class(name: str, class_count: int) -> int:
    """Return the class of an unassigned name by rendezvous hashing: the one with the highest digest."""
    return max(range(class_count), key=lambda class_number: digest(name, class_number + 1))


def next_assignment(assignment: Mapping[str, int], names: Iterable[str], class_count: int) -> dict[str, int]:
    """Return the assignment that follows another one for the current names.

    Names that are no longer present are removed and each new name joins the smallest class.  Then names move
    one at a time from the largest class to the smallest, until the sizes differ by at most one.

    Args:
        assignment: Previous class number by name.
        names: Current names, in any order.
        class_count: Number of classes.
    """
    sorted_names = sorted(set(names))
    assigned = {
        name: assignment[name]
        for name in sorted_names
        if name in assignment and assignment[name] < class_count
    }
    sizes = [0] * class_count
    for class_number in assigned.values():
        sizes[class_number] += 1
    for name in sorted_names:
        if name not in assigned:
            smallest = _smallest_class_for(name, sizes)
            assigned[name] = smallest
            sizes[smallest] += 1
    while _move_one_name(assigned, sizes):
        pass
    return assigned


def _smallest_class_for(name: str, sizes: list[int]) -> int:
    return min(
        range(len(sizes)),
        key=lambda class_number: (sizes[class_number], -digest(name, class_number + 1)),
    )


def _move_one_name(assigned: dict[str, int], sizes: list[int]) -> bool:
    """Move a name from the largest class to the smallest; return False if they differ by at most one."""
    smallest = min(range(len(sizes)), key=lambda class_number: (sizes[class_number], class_number))
    largest = max(range(len(sizes)), key=lambda class_number: (sizes[class_number], -class_number))
    if sizes[largest] - sizes[smallest] <= 1:
        return False
    candidates = (name for name, class_number in assigned.items() if class_number == largest)
    moved_name = min(candidates, key=lambda name: digest(name, smallest + 1))
    assigned[moved_name] = smallest
    sizes[largest] -= 1
    sizes[smallest] += 1
    return True


_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(dict[int, int])


def encode_bucket(assignment: Mapping[str, int], bucket: int) -> bytes:
    """Encode one bucket of an assignment as MessagePack: class numbers by short digest of the name."""
    names = sorted(name for name in assignment if bucket_index(name) == bucket)
    return _encoder.encode({short_digest(name): assignment[name] for name in names})


def short_digest(name: str) -> int:
    """Return the low 32 bits of a name's digest.

    Two names of a bucket with the same short digest share an entry, and thus a class, which does no harm.
    """
    return digest(name) & SHORT_DIGEST_MASK


def read_bucket(data: bytes, class_count: int) -> dict[int, int]:
    """Decode and validate a bucket; return class numbers by short digest.

    Raises:
        MalformedMessageError: The data is not a bucket, or refers to a class that does not exist.
    """
    bucket = decode_message(_decoder, data, "bucket of an assignment")
    if any(not 0 <= class_number < class_count for class_number in bucket.values()):
        raise MalformedMessageError("bucket of an assignment has an unknown class")
    return bucket
