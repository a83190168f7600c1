"""What members say to each other, and its bytes: one datagram a packet, MessagePack by msgspec."""

from __future__ import annotations

from typing import Annotated

import msgspec
from msgspec import Meta

from saltcart.member.board import MOST_DATA, Post
from saltcart.member.record import Record, State
from saltcart.schema import unpack
from saltcart.wire.errors import MalformedMessageError

WIRE = 1
MOST_BYTES = 1200  # of a datagram: under what any network carries in one piece
OVERHEAD = 64  # of a packet without its records, at most, beside a list of buckets
NAME = 64  # longest name


class Ping(msgspec.Struct, array_like=True, frozen=True, tag="ping"):
    seq: int


class Ack(msgspec.Struct, array_like=True, frozen=True, tag="ack"):
    seq: int


class Ask(msgspec.Struct, array_like=True, frozen=True, tag="ask"):
    """Probe this member in my place."""

    seq: int
    name: str
    address: str


class Nack(msgspec.Struct, array_like=True, frozen=True, tag="nack"):
    """I was asked, and it does not answer me either."""

    seq: int


class Tell(msgspec.Struct, array_like=True, frozen=True, tag="tell"):
    """Nothing but the news that goes with it."""


class Digest(msgspec.Struct, array_like=True, frozen=True, tag="digest"):
    """What my view comes to; one who differs sends its parts."""

    whole: int


class Parts(msgspec.Struct, array_like=True, frozen=True, tag="parts"):
    """The digests of the parts of my view."""

    digests: Annotated[list[int], Meta(max_length=64)]


class Records(msgspec.Struct, array_like=True, frozen=True, tag="records"):
    """What I know of some parts goes along as news; the same of these parts is wanted in return."""

    wanted: Annotated[list[int], Meta(max_length=64)]


class Give(msgspec.Struct, array_like=True, frozen=True, tag="give"):
    """Something for one member alone; ``topic`` says which part of the program it is for."""

    topic: str
    data: bytes


Message = Give | Ping | Ack | Ask | Nack | Tell | Digest | Parts | Records


class Packet(msgspec.Struct, array_like=True, frozen=True):
    wire: int
    cluster: str
    sender: Record
    message: Message
    news: list[Record] = []
    posts: list[Post] = []


_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(Packet)


def encode(packet: Packet) -> bytes:
    return _encoder.encode(packet)


def decode(data: bytes) -> Packet:
    """``MalformedMessageError`` says what is wrong with a datagram."""
    packet = unpack(_decoder, data, "packet")
    if packet.wire != WIRE:
        raise MalformedMessageError(f"wire version {packet.wire}")
    for record in (packet.sender, *packet.news):
        if (
            not 0 < len(record.name) <= NAME
            or not 0 <= record.state <= State.LEFT
            or not (0 < record.incarnation < 1 << 62)
        ):
            raise MalformedMessageError(f"record of {record.name[:NAME]!r}")
    for post in packet.posts:
        if not 0 < len(post.topic) <= NAME or len(post.data) > MOST_DATA or not 0 < post.number < 1 << 62:
            raise MalformedMessageError(f"post on {post.topic[:NAME]!r}")
    return packet
