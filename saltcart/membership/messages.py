"""Messages between members and their wire format: MessagePack, one message per datagram.

The order of the fields and the tags of the messages are the wire format, which other releases read as well.
"""

from __future__ import annotations

from typing import Annotated

import msgspec
from msgspec import Meta

from saltcart.membership.member_record import MemberRecord, MemberState
from saltcart.membership.shared_registers import MAX_VALUE_BYTES, RegisterValue
from saltcart.schema import decode_message
from saltcart.wire.errors import MalformedMessageError

PROTOCOL_VERSION = 1
MAX_DATAGRAM_BYTES = 1200  # below the MTU of any common network, so that datagrams are not fragmented
DATAGRAM_OVERHEAD_BYTES = 64  # upper bound for a datagram without its records and its list of buckets
MAX_NAME_LENGTH = 64  # characters
MAX_BUCKETS = 64  # in one message
NUMBER_LIMIT = 1 << 62  # exclusive, of an incarnation or a register value's number


class Ping(msgspec.Struct, array_like=True, frozen=True, tag="ping"):
    """A probe; the receiver answers with an ``Ack`` of the same sequence number."""

    sequence: int


class Ack(msgspec.Struct, array_like=True, frozen=True, tag="ack"):
    """The acknowledgement of a probe, direct or indirect."""

    sequence: int


class PingRequest(msgspec.Struct, array_like=True, frozen=True, tag="ask"):
    """Requests an indirect probe: the receiver probes the named member on the sender's behalf."""

    sequence: int
    name: str
    address: str


class Nack(msgspec.Struct, array_like=True, frozen=True, tag="nack"):
    """A helper's report that its indirect probe was not acknowledged either."""

    sequence: int


class Gossip(msgspec.Struct, array_like=True, frozen=True, tag="tell"):
    """Carries nothing but the updates and register values of its datagram."""


class ViewDigest(msgspec.Struct, array_like=True, frozen=True, tag="digest"):
    """The digest of the sender's view; a receiver with another digest answers with ``BucketDigests``."""

    digest: int


class BucketDigests(msgspec.Struct, array_like=True, frozen=True, tag="parts"):
    """The digests of the buckets of the sender's view."""

    digests: Annotated[list[int], Meta(max_length=MAX_BUCKETS)]


class BucketRecords(msgspec.Struct, array_like=True, frozen=True, tag="records"):
    """Carries the sender's records of some buckets as updates.

    Attributes:
        requested_buckets: Buckets whose records the sender requests in return.
    """

    requested_buckets: Annotated[list[int], Meta(max_length=MAX_BUCKETS)]


class DirectMessage(msgspec.Struct, array_like=True, frozen=True, tag="give"):
    """Application data for one member.

    Attributes:
        topic: Identifies the component that the data is for.
        data: The component's own encoding.
    """

    topic: str
    data: bytes


Message = (
    DirectMessage | Ping | Ack | PingRequest | Nack | Gossip | ViewDigest | BucketDigests | BucketRecords
)


class Datagram(msgspec.Struct, array_like=True, frozen=True):
    """One message, with piggybacked membership updates and register values."""

    version: int
    cluster: str
    sender: MemberRecord
    message: Message
    updates: list[MemberRecord] = []
    registers: list[RegisterValue] = []


_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(Datagram)


def encode(datagram: Datagram) -> bytes:
    """Encode a datagram."""
    return _encoder.encode(datagram)


def decode(data: bytes) -> Datagram:
    """Decode and validate a datagram.

    Raises:
        MalformedMessageError: The bytes are not a valid datagram of this protocol version.
    """
    datagram = decode_message(_decoder, data, "membership datagram")
    if datagram.version != PROTOCOL_VERSION:
        raise MalformedMessageError(f"unsupported protocol version {datagram.version}")
    for record in (datagram.sender, *datagram.updates):
        _check_record(record)
    for value in datagram.registers:
        _check_value(value)
    return datagram


def _check_record(record: MemberRecord) -> None:
    has_name = 0 < len(record.name) <= MAX_NAME_LENGTH
    has_state = 0 <= record.state <= MemberState.LEFT
    if not has_name or not has_state or not 0 < record.incarnation < NUMBER_LIMIT:
        raise MalformedMessageError(f"invalid record of member {record.name[:MAX_NAME_LENGTH]!r}")


def _check_value(value: RegisterValue) -> None:
    has_topic = 0 < len(value.topic) <= MAX_NAME_LENGTH
    if not has_topic or len(value.data) > MAX_VALUE_BYTES or not 0 < value.number < NUMBER_LIMIT:
        raise MalformedMessageError(f"invalid value of register {value.topic[:MAX_NAME_LENGTH]!r}")
