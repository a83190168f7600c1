"""Packets of a hot restart, sent between the predecessor and the successor.

A packet is one line of JSON, followed by binary data.  Other releases read the names and values in the JSON,
so these must not change when the code is renamed.
"""

from __future__ import annotations

import enum
import re
from typing import Any, NamedTuple

import orjson

from saltcart.core.idempotency_keys import KeyRecord
from saltcart.decision.events import PredecessorLoad
from saltcart.wire.errors import MalformedMessageError

VERSION = 1
MAX_PACKET_BYTES = 65536
REQUEST_ID_BYTES = 16
MAX_IDS_PER_PACKET = 2048
REQUEST_IDS = re.compile(rb"(?:[0-9a-fA-F]{16})*")
MAX_NUMBER = 1e12  # protects the decision module from unusable numbers sent by another release


class PacketKind(enum.StrEnum):
    """The kind of a packet.  A successor ignores other kinds, which only later releases send."""

    TAKE = "take"  # sent by the successor, which is ready to take over
    KEY = "entry"  # an idempotency key with the present state of its run
    FREED_KEY = "gone"  # an idempotency key that is free again because nothing ran
    LOAD = "beside"  # the load that remains on the predecessor
    HANDED_OVER = "yours"  # all keys were sent, and the successor serves from now on
    REQUEST_IDS = "runs"  # ids of requests that have run on the predecessor, or may still run there
    WITHDRAWN = "withdrawn"  # whether operators have withdrawn the instance
    CONNECTION = "connection"  # a client connection, whose file descriptor is sent with the packet


class HandoverPacket(NamedTuple):
    """A packet, before it is encoded or after it is decoded."""

    kind: str  # a value of ``PacketKind`` if this release knows the kind
    fields: dict[str, Any]
    data: bytes = b""


class ReportedLoad(NamedTuple):
    """The load that a process, and those before it, still have while another one serves."""

    own: PredecessorLoad = PredecessorLoad()
    older: PredecessorLoad = PredecessorLoad()  # of the processes before it
    connections: int = 0  # client connections of all of them


class ReportedDrain(NamedTuple):
    """A drain by operators, or its end, as the predecessor reports it."""

    is_withdrawn: bool  # whether operators have withdrawn the instance
    is_shared: bool  # whether the predecessor has written it to the drain file


class PassedConnection(NamedTuple):
    """The state of a client connection when the predecessor passes it to the successor."""

    front: str
    was_idle: bool  # its last request had its response, and no other had begun
    state_age: float  # seconds for which it was idle or awaited a request
    buffered_bytes: bytes  # the part of its next request that the predecessor has read


def encode(packet: HandoverPacket) -> bytes:
    """Return a packet as it is sent."""
    return orjson.dumps({"v": VERSION, "say": packet.kind, **packet.fields}) + b"\n" + packet.data


def decode(raw: bytes) -> HandoverPacket:
    """Decode a packet.

    Raises:
        MalformedMessageError: The bytes are not a packet, or its version is not supported.
    """
    head, _, data = raw.partition(b"\n")
    try:
        fields = orjson.loads(head)
        version = fields.pop("v")
        kind = fields.pop("say")
    except (ValueError, KeyError, AttributeError, TypeError) as error:
        raise MalformedMessageError(f"handover: {error!r}") from error
    if version != VERSION or not isinstance(kind, str):
        raise MalformedMessageError(f"handover: unsupported packet kind or version {version!r}")
    return HandoverPacket(kind, fields, data)


def key_packet(record: KeyRecord, is_free: bool, seconds_ahead: float = 0.0) -> HandoverPacket:
    """Return the packet for an idempotency key.

    Args:
        record: The key and the state of its run.
        is_free: Whether the key is free again because nothing ran.
        seconds_ahead: Seconds by which the clock of ``expires_at`` is ahead of the Unix clock.  The packet
            carries Unix time.
    """
    account, class_name, key = record.key
    fields: dict[str, Any] = {
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
    if record.cached_dependencies:
        fields["from_memory"] = record.cached_dependencies
    return HandoverPacket(PacketKind.FREED_KEY if is_free else PacketKind.KEY, fields, record.result or b"")


def read_key(packet: HandoverPacket, seconds_ahead: float = 0.0) -> KeyRecord:
    """Read an idempotency key from its packet.

    Args:
        packet: A packet of kind ``KEY`` or ``FREED_KEY``.
        seconds_ahead: Seconds by which the clock of the returned ``expires_at`` is ahead of the Unix clock.

    Raises:
        MalformedMessageError: A field is missing or invalid.
    """
    fields = packet.fields
    try:
        key = (str(fields["account"]), str(fields["klass"]), fields["key"].encode("latin-1"))
        return KeyRecord(
            key=key,
            holder_number=0,
            expires_at=read_number("until", fields["until"]) + seconds_ahead,
            body_digest=bytes.fromhex(fields["digest"]),
            attempt_ids={attempt_id.encode("latin-1") for attempt_id in fields["idents"]},
            has_run=bool(fields["ran"]),
            is_finished=bool(fields["over"]),
            result=packet.data if fields["good"] else None,
            cached_dependencies=read_names("from_memory", fields.get("from_memory", [])),
        )
    except (KeyError, AttributeError, TypeError, ValueError) as error:
        raise MalformedMessageError(f"handover: a field of a key is missing or invalid: {error!r}") from error


def load_packet(report: ReportedLoad) -> HandoverPacket:
    """Return the packet for the load of a process and of those before it.

    The fields hold the sum of both, as earlier releases know no more.  The part of the processes before it is
    added if there is any.
    """
    fields: dict[str, Any] = load_fields(report.own.plus(report.older))
    fields["connections"] = report.connections
    if report.older != PredecessorLoad():
        fields["older"] = load_fields(report.older)
    return HandoverPacket(PacketKind.LOAD, fields)


def load_fields(load: PredecessorLoad) -> dict[str, Any]:
    """Return the fields of a load."""
    return {"on_core": load.running, "calling": load.calling, "memory_kb": load.memory_kb}


def read_load(packet: HandoverPacket) -> ReportedLoad:
    """Read the load of a process and of those before it.

    Raises:
        MalformedMessageError: A field is missing or invalid.
    """
    total = read_load_fields(packet.fields, "")
    connections = read_number("connections", packet.fields.get("connections"))
    raw_older = packet.fields.get("older", {"on_core": 0, "calling": 0, "memory_kb": 0.0})
    if not isinstance(raw_older, dict):
        raise MalformedMessageError(f"handover: field older is {raw_older!r}, not an object")
    older = read_load_fields(raw_older, "older.")
    own = PredecessorLoad(
        max(0, total.running - older.running),
        max(0, total.calling - older.calling),
        max(0.0, total.memory_kb - older.memory_kb),
    )
    return ReportedLoad(own, older, int(connections))


def read_load_fields(fields: dict[str, Any], prefix: str) -> PredecessorLoad:
    """Read the fields of a load.

    Args:
        fields: The fields, and possibly others.
        prefix: What precedes the names of the fields in errors.

    Raises:
        MalformedMessageError: A field is missing or invalid.
    """
    running, calling, memory_kb = (
        read_number(prefix + name, fields.get(name)) for name in ("on_core", "calling", "memory_kb")
    )
    return PredecessorLoad(int(running), int(calling), memory_kb)


def handed_over_packet(uncertain_until: float | None, seconds_ahead: float = 0.0) -> HandoverPacket:
    """Return the packet that ends the report of all keys.

    Args:
        uncertain_until: Time until which keys unknown to the predecessor may have run, or None if there are
            none.  Releases that don't know the field ignore it.
        seconds_ahead: Seconds by which the clock of that time is ahead of the Unix clock.
    """
    fields = {} if uncertain_until is None else {"uncertain": uncertain_until - seconds_ahead}
    return HandoverPacket(PacketKind.HANDED_OVER, fields)


def read_uncertain_until(packet: HandoverPacket, seconds_ahead: float = 0.0) -> float:
    """Return until when keys that the predecessor didn't report may have run, or 0 if it knew all.

    Args:
        packet: A packet of kind ``HANDED_OVER``.
        seconds_ahead: Seconds by which the clock of the returned time is ahead of the Unix clock.

    Raises:
        MalformedMessageError: The time is invalid.
    """
    if "uncertain" not in packet.fields:
        return 0.0
    return read_number("uncertain", packet.fields["uncertain"]) + seconds_ahead


def request_id_packets(request_ids: list[bytes]) -> list[HandoverPacket]:
    """Return the packets for the ids of requests, none if there is no id."""
    return [
        HandoverPacket(PacketKind.REQUEST_IDS, {}, b"".join(request_ids[start : start + MAX_IDS_PER_PACKET]))
        for start in range(0, len(request_ids), MAX_IDS_PER_PACKET)
    ]


def read_request_ids(packet: HandoverPacket) -> list[bytes]:
    """Read the ids of requests.

    Raises:
        MalformedMessageError: The data is not a sequence of ids.
    """
    data = packet.data
    if REQUEST_IDS.fullmatch(data) is None:
        raise MalformedMessageError(f"handover: {len(data)} bytes are not ids of 16 hex digits")
    return [data[start : start + REQUEST_ID_BYTES] for start in range(0, len(data), REQUEST_ID_BYTES)]


def drain_packet(report: ReportedDrain) -> HandoverPacket:
    """Return the packet that reports whether operators have withdrawn the instance."""
    fields = {"on": report.is_withdrawn, "shared": report.is_shared}
    return HandoverPacket(PacketKind.WITHDRAWN, fields)


def read_drain(packet: HandoverPacket) -> ReportedDrain:
    """Read whether operators have withdrawn the instance.

    Releases that share no drain file leave the field ``shared`` out.

    Raises:
        MalformedMessageError: A field is missing or invalid.
    """
    return ReportedDrain(
        is_withdrawn=read_flag("on", packet.fields.get("on")),
        is_shared=read_flag("shared", packet.fields.get("shared", False)),
    )


def connection_packet(connection: PassedConnection) -> HandoverPacket:
    """Return the packet for a connection that is passed to the successor."""
    fields = {"front": connection.front, "rests": connection.was_idle, "age": connection.state_age}
    return HandoverPacket(PacketKind.CONNECTION, fields, connection.buffered_bytes)


def read_connection(packet: HandoverPacket) -> PassedConnection:
    """Read the state of a connection that the predecessor passes.

    Raises:
        MalformedMessageError: The age is missing or invalid.
    """
    fields = packet.fields
    return PassedConnection(
        front=str(fields.get("front")),
        was_idle=fields.get("rests") is True,
        state_age=read_number("age", fields.get("age")),
        buffered_bytes=packet.data,
    )


def read_names(name: str, value: object) -> tuple[str, ...]:
    """Return the names in a field.

    Args:
        name: The name of the field.
        value: Its value, which may be anything that JSON can express.

    Raises:
        MalformedMessageError: The value is not a list of strings.
    """
    if not isinstance(value, list) or not all(isinstance(item, str) for item in value):
        raise MalformedMessageError(f"handover: field {name} is {value!r}, not a list of names")
    return tuple(value)


def read_flag(name: str, value: object) -> bool:
    """Return the truth value in a field.

    Args:
        name: The name of the field.
        value: Its value, which may be anything that JSON can express, or None if the field is missing.

    Raises:
        MalformedMessageError: The value is not true or false.
    """
    if not isinstance(value, bool):
        raise MalformedMessageError(f"handover: field {name} is {value!r}, not true or false")
    return value


def read_number(name: str, value: object) -> float:
    """Return the number in a field.

    Args:
        name: The name of the field.
        value: Its value, which may be anything that JSON can express, or None if the field is missing.

    Raises:
        MalformedMessageError: The value is not a number from 0 to below ``MAX_NUMBER``.
    """
    if isinstance(value, bool) or not isinstance(value, (int, float)) or not 0 <= value < MAX_NUMBER:
        raise MalformedMessageError(
            f"handover: field {name} is {value!r}, not a number from 0 to below {MAX_NUMBER:g}"
        )
    return value
