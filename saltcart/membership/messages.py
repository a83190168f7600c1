"""What members send each other, and its bytes: one message a datagram, MessagePack by msgspec.

Fields go by their order on the wire and messages by their tags: other releases read both.
"""

from __future__ import annotations

from typing import Annotated

import msgspec
from msgspec import Meta

from saltcart.membership.member_record import MemberRecord, MemberState
from saltcart.membership.shared_registers import MAX_VALUE_BYTES, RegisterValue
from saltcart.schema import unpack
from saltcart.wire.errors import MalformedMessageError

PROTOCOL_VERSION = 1
MAX_DATAGRAM_BYTES = 1200  # under what any network carries in one piece
OVERHEAD_BYTES = 64  # of a datagram without its records, at most, beside a list of buckets
MAX_NAME_LENGTH = 64
MAX_BUCKETS = 64  # in one list
MAX_NUMBER = 1 << 62  # of an incarnation or a register's value


class Ping(msgspec.Struct, array_like=True, frozen=True, tag="ping"):
    """A probe; an ``Ack`` of the same number is wanted."""

    sequence: int


class Ack(msgspec.Struct, array_like=True, frozen=True, tag="ack"):
    """The answer to a probe, direct or through a helper."""

    sequence: int


class PingRequest(msgspec.Struct, array_like=True, frozen=True, tag="ask"):
    """Asks a helper to probe a member in the sender's place."""

    sequence: int
    name: str
    address: str


class Nack(msgspec.Struct, array_like=True, frozen=True, tag="nack"):
    """A helper's word that the member does not answer it either."""

    sequence: int


class Gossip(msgspec.Struct, array_like=True, frozen=True, tag="tell"):
    """Nothing but the news that goes with it."""


class ViewDigest(msgspec.Struct, array_like=True, frozen=True, tag="digest"):
    """The digest of the sender's view; one who differs sends the digests of its buckets."""

    digest: int


class BucketDigests(msgspec.Struct, array_like=True, frozen=True, tag="parts"):
    """The digests of the buckets of the sender's view."""

    digests: Annotated[list[int], Meta(max_length=MAX_BUCKETS)]


class BucketRecords(msgspec.Struct, array_like=True, frozen=True, tag="records"):
    """Carry the sender's records of some buckets as updates, and ask for the receiver's in return."""

    requested_buckets: Annotated[list[int], Meta(max_length=MAX_BUCKETS)]


class DirectMessage(msgspec.Struct, array_like=True, frozen=True, tag="give"):
    """Something for one member alone; ``topic`` says which part of the program it is for."""

    topic: str
    data: bytes


Message = (
    DirectMessage | Ping | Ack | PingRequest | Nack | Gossip | ViewDigest | BucketDigests | BucketRecords
)


class Datagram(msgspec.Struct, array_like=True, frozen=True):
    """One message, with what else its sender passes on."""

    version: int
    cluster: str
    sender: MemberRecord
    message: Message
    updates: list[MemberRecord] = []
    registers: list[RegisterValue] = []


_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(Datagram)


def encode(datagram: Datagram) -> bytes:
    """Return a datagram's bytes."""
    return _encoder.encode(datagram)


def decode(data: bytes) -> Datagram:
    """Read a datagram; ``MalformedMessageError`` says what is wrong with it."""
    datagram = unpack(_decoder, data, "packet")
    if datagram.version != PROTOCOL_VERSION:
        raise MalformedMessageError(f"wire version {datagram.version}")
    for record in (datagram.sender, *datagram.updates):
        _check_record(record)
    for value in datagram.registers:
        _check_value(value)
    return datagram


def _check_record(record: MemberRecord) -> None:
    has_name = 0 < len(record.name) <= MAX_NAME_LENGTH
    has_state = 0 <= record.state <= MemberState.LEFT
    if not has_name or not has_state or not 0 < record.incarnation < MAX_NUMBER:
        raise MalformedMessageError(f"record of {record.name[:MAX_NAME_LENGTH]!r}")


def _check_value(value: RegisterValue) -> None:
    has_topic = 0 < len(value.topic) <= MAX_NAME_LENGTH
    if not has_topic or len(value.data) > MAX_VALUE_BYTES or not 0 < value.number < MAX_NUMBER:
        raise MalformedMessageError(f"post on {value.topic[:MAX_NAME_LENGTH]!r}")
