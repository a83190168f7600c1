"""Packets between an old process and the one that takes over from it: a JSON line and bytes behind it.

Their words are read by other releases and stay as they are, whatever the code calls what they tell.
"""

from __future__ import annotations

import enum
from typing import Any, NamedTuple

import orjson

from saltcart.core.idempotency_keys import KeyRecord
from saltcart.decision.events import PredecessorLoad
from saltcart.wire.errors import MalformedMessageError

VERSION = 1
MAX_PACKET = 65536  # bytes
MAX_FIGURE = 1e12  # what another release may send must not upset the decision module


class PacketKind(enum.StrEnum):
    """What a packet tells; one of another kind is of a later release and is ignored."""

    TAKE = "take"  # from the successor: it is ready to take over
    KEY = "entry"  # one idempotency key, and what became of its run so far
    FREED_KEY = "gone"  # one that is free again
    LOAD = "beside"  # what the old process still has
    HANDED_OVER = "yours"  # all keys are told, and the place is the successor's
    CONNECTION = "connection"  # a client's connection, whose descriptor goes with the packet


class HandoverPacket(NamedTuple):
    """One packet; ``kind`` is a ``PacketKind`` where this release knows it."""

    kind: str
    fields: dict[str, Any]
    data: bytes = b""


class PassedConnection(NamedTuple):
    """A client's connection as the old process leaves it."""

    front: str
    is_resting: bool  # it carried a request and has begun no other
    age: float  # seconds since it began to await a request or to rest
    unread: bytes  # that were read of its next request


def encode(packet: HandoverPacket) -> bytes:
    """Return a packet's bytes."""
    return orjson.dumps({"v": VERSION, "say": packet.kind, **packet.fields}) + b"\n" + packet.data


def decode(raw: bytes) -> HandoverPacket:
    """Read a packet; ``MalformedMessageError`` where it is none or of a release too far away."""
    head, _, data = raw.partition(b"\n")
    try:
        fields = orjson.loads(head)
        version = fields.pop("v")
        kind = fields.pop("say")
    except (ValueError, KeyError, AttributeError, TypeError) as error:
        raise MalformedMessageError(f"handover: {error!r}") from error
    if version != VERSION or not isinstance(kind, str):
        raise MalformedMessageError(f"handover: version {version!r}")
    return HandoverPacket(kind, fields, data)


def key_packet(record: KeyRecord, is_free: bool, seconds_ahead: float = 0.0) -> HandoverPacket:
    """Return what is told of one key.

    ``seconds_ahead``: by which the clock of ``expires_at`` is ahead of the Unix clock that the packet tells.
    """
    account, class_name, key = record.key
    fields = {
        "account": account,
        "klass": class_name,
        "key": key.decode("latin-1"),
        "until": record.expires_at - seconds_ahead,
        "digest": record.body_digest.hex(),
        "idents": [attempt_id.decode("latin-1") for attempt_id in record.attempt_ids],
        "ran": record.has_run,
        "over": record.is_finished,
        "good": record.result is not None,
    }
    return HandoverPacket(PacketKind.FREED_KEY if is_free else PacketKind.KEY, fields, record.result or b"")


def read_key(packet: HandoverPacket, seconds_ahead: float = 0.0) -> KeyRecord:
    """Read one key, by a clock that is so far ahead of the Unix clock."""
    fields = packet.fields
    try:
        key = (str(fields["account"]), str(fields["klass"]), fields["key"].encode("latin-1"))
        return KeyRecord(
            key=key,
            holder_number=0,
            expires_at=float(fields["until"]) + seconds_ahead,
            body_digest=bytes.fromhex(fields["digest"]),
            attempt_ids={attempt_id.encode("latin-1") for attempt_id in fields["idents"]},
            has_run=bool(fields["ran"]),
            is_finished=bool(fields["over"]),
            result=packet.data if fields["good"] else None,
        )
    except (KeyError, AttributeError, TypeError, ValueError) as error:
        raise MalformedMessageError(f"handover: {error!r}") from error


def load_packet(load: PredecessorLoad, connections: int) -> HandoverPacket:
    """Return what is told of the old process's load and of how many connections of clients it holds."""
    fields = {
        "on_core": load.running,
        "calling": load.calling,
        "memory_kb": load.memory_kb,
        "connections": connections,
    }
    return HandoverPacket(PacketKind.LOAD, fields)


def read_load(packet: HandoverPacket) -> tuple[PredecessorLoad, int]:
    """Read the old process's load and how many connections of clients it holds."""
    running, calling, memory_kb, connections = (
        read_figure(packet.fields.get(name)) for name in ("on_core", "calling", "memory_kb", "connections")
    )
    return PredecessorLoad(int(running), int(calling), memory_kb), int(connections)


def connection_packet(connection: PassedConnection) -> HandoverPacket:
    """Return what is told of a connection that is passed on."""
    fields = {"front": connection.front, "rests": connection.is_resting, "age": connection.age}
    return HandoverPacket(PacketKind.CONNECTION, fields, connection.unread)


def read_connection(packet: HandoverPacket) -> PassedConnection:
    """Read what is told of a connection that is passed on."""
    fields = packet.fields
    return PassedConnection(
        front=str(fields.get("front")),
        is_resting=fields.get("rests") is True,
        age=read_figure(fields.get("age")),
        unread=packet.data,
    )


def read_figure(value: object) -> float:
    """Read a figure of 0 or more."""
    if isinstance(value, bool) or not isinstance(value, (int, float)) or not 0 <= value < MAX_FIGURE:
        raise MalformedMessageError("handover: not a figure")
    return value
