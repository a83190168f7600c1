"""What an old process tells the new one that takes over: packets of one JSON line and bytes behind it."""

from __future__ import annotations

from typing import Any, NamedTuple

import orjson

from saltcart.core.idempotency_keys import KeyRecord
from saltcart.decision.events import PredecessorLoad
from saltcart.wire.errors import MalformedMessageError

VERSION = 1
MAX_PACKET = 65536


class Packet(NamedTuple):
    """``say`` is take, entry, gone, beside, yours or connection; the other fields go with it."""

    say: str
    fields: dict[str, Any]
    data: bytes = b""


def encode(packet: Packet) -> bytes:
    return orjson.dumps({"v": VERSION, "say": packet.say, **packet.fields}) + b"\n" + packet.data


def decode(raw: bytes) -> Packet:
    head, _, data = raw.partition(b"\n")
    try:
        fields = orjson.loads(head)
        version, say = fields.pop("v"), fields.pop("say")
    except (ValueError, KeyError, AttributeError, TypeError) as error:
        raise MalformedMessageError(f"handover: {error!r}") from None
    if version != VERSION or not isinstance(say, str):
        # The other process is of a release too far away.
        raise MalformedMessageError(f"handover: version {version!r}")
    return Packet(say, fields, data)


def of_entry(entry: KeyRecord, gone: bool, ahead: float = 0.0) -> Packet:
    """One key: what became of it so far, or that it is free again.  ``ahead``: of the Unix clock, as told."""
    account, klass, key = entry.key
    return Packet(
        "gone" if gone else "entry",
        {
            "account": account,
            "klass": klass,
            "key": key.decode("latin-1"),
            "until": entry.expires_at - ahead,
            "digest": entry.body_digest.hex(),
            "idents": [i.decode("latin-1") for i in entry.attempt_ids],
            "ran": entry.has_run,
            "over": entry.is_finished,
            "good": entry.result is not None,
        },
        entry.result or b"",
    )


def to_entry(packet: Packet, ahead: float = 0.0) -> KeyRecord:
    f = packet.fields
    try:
        return KeyRecord(
            (str(f["account"]), str(f["klass"]), f["key"].encode("latin-1")),
            0,
            float(f["until"]) + ahead,
            bytes.fromhex(f["digest"]),
            {i.encode("latin-1") for i in f["idents"]},
            bool(f["ran"]),
            bool(f["over"]),
            packet.data if f["good"] else None,
        )
    except (KeyError, AttributeError, TypeError, ValueError) as error:
        raise MalformedMessageError(f"handover: {error!r}") from None


def of_load(load: PredecessorLoad, connections: int) -> Packet:
    """What the old process still has: on the cores, in the memory, and of the clients' connections."""
    fields = {
        "on_core": load.running,
        "calling": load.calling,
        "memory_kb": load.memory_kb,
        "connections": connections,
    }
    return Packet("beside", fields)


def to_load(packet: Packet) -> tuple[PredecessorLoad, int]:
    running, calling, memory_kb, connections = (
        real(packet.fields.get(name)) for name in ("on_core", "calling", "memory_kb", "connections")
    )
    return PredecessorLoad(int(running), int(calling), memory_kb), int(connections)


def real(value: object) -> float:
    """A figure of nought or more; what another release may send must not upset the module."""
    if isinstance(value, bool) or not isinstance(value, (int, float)) or not 0 <= value < 1e12:
        raise MalformedMessageError("handover: not a figure")
    return value
