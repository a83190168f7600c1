"""Names in classes of equal size, changed by as few moves as can be.

A table that is kept and changed moves one name where one that is made anew from the names alone moves many
(docs/design/fleet.md has the figures of rendezvous hashing and of shuffled rounds).  So it is kept on the
board, in parts, and followed by one instance at a time; what follows depends on the table and the names
alone.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping

import msgspec
import xxhash

from saltcart.schema import unpack
from saltcart.wire.errors import MalformedMessageError

PARTS = 32  # posts that a table is told in: a change is told in the parts that it concerns


def digest(name: str, salt: int = 0) -> int:
    return xxhash.xxh3_64_intdigest(name.encode(), salt)


def part_of(name: str) -> int:
    return digest(name) % PARTS


def preferred(name: str, classes: int) -> int:
    """The class of a name that no table has: rendezvous, the class whose digest with the name is highest."""
    return max(range(classes), key=lambda c: digest(name, c + 1))


def follow(table: Mapping[str, int], names: Iterable[str], classes: int) -> dict[str, int]:
    """The table that follows for these names.

    Those who are gone leave their places; those who are new take a place in the smallest class; then names
    move, one at a time, from the largest class to the smallest, until the two differ by one at most.
    """
    wanted = sorted(set(names))
    out = {n: table[n] for n in wanted if n in table and table[n] < classes}
    held = [0] * classes
    for c in out.values():
        held[c] += 1
    for name in wanted:
        if name not in out:
            least = min(range(classes), key=lambda c: (held[c], -digest(name, c + 1)))
            out[name] = least
            held[least] += 1
    while True:
        under = min(range(classes), key=lambda c: (held[c], c))
        over = max(range(classes), key=lambda c: (held[c], -c))
        if held[over] - held[under] <= 1:
            return out
        mover = min((n for n, c in out.items() if c == over), key=lambda n: digest(n, under + 1))
        out[mover] = under
        held[over], held[under] = held[over] - 1, held[under] + 1


_encoder, _decoder = msgspec.msgpack.Encoder(), msgspec.msgpack.Decoder(dict[int, int])


def encode_part(table: Mapping[str, int], part: int) -> bytes:
    """One part of a table: classes by the low half of the names' digests."""
    return _encoder.encode({short(n): c for n, c in sorted(table.items()) if part_of(n) == part})


def short(name: str) -> int:
    """The low half of a name's digest: two names of a part that share it stand in one class, no worse."""
    return digest(name) & 0xFFFFFFFF


def read_part(data: bytes, classes: int) -> dict[int, int]:
    """``MalformedMessageError`` for what is no part of a table of so many classes."""
    out = unpack(_decoder, data, "part of a table")
    if any(not 0 <= c < classes for c in out.values()):
        raise MalformedMessageError("a table with a class that there is not")
    return out
