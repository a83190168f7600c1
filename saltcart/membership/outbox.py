"""A member's outgoing datagrams, each with as many piggybacked updates as fit."""

from __future__ import annotations

from saltcart.membership.dissemination import retransmit_limit
from saltcart.membership.member_context import MemberContext
from saltcart.membership.member_record import MemberRecord, MemberState
from saltcart.membership.messages import (
    DATAGRAM_OVERHEAD_BYTES,
    MAX_DATAGRAM_BYTES,
    PROTOCOL_VERSION,
    BucketDigests,
    BucketRecords,
    Datagram,
    Message,
)
from saltcart.membership.shared_registers import RegisterValue

Outgoing = tuple[str, Datagram]  # the receiver's address and the datagram


class Outbox:
    """Collects datagrams until the driver takes them."""

    def __init__(self, context: MemberContext) -> None:
        self.context = context
        self.outgoing: list[Outgoing] = []

    def take(self) -> list[Outgoing]:
        """Return the collected datagrams and remove them from the outbox."""
        outgoing = self.outgoing
        self.outgoing = []
        return outgoing

    def available_bytes(self) -> int:
        """Return how many bytes of records fit into one datagram."""
        return MAX_DATAGRAM_BYTES - DATAGRAM_OVERHEAD_BYTES - self.context.own_record.max_encoded_bytes()

    def send(self, address: str, name: str, message: Message, extra_bytes: int = 0) -> None:
        """Send a message with as many updates and register values as fit.

        A receiver that is not known as alive gets the record of itself first, so that it can refute it.

        Args:
            address: Address of the receiver.
            name: Name of the receiver; empty if unknown.
            message: The message.
            extra_bytes: Size of the message in bytes beyond that of a message without data.
        """
        context = self.context
        available_bytes = self.available_bytes() - extra_bytes
        updates = list[MemberRecord]()
        known = context.view.get(name) if name else None
        if known is not None and known.state != MemberState.ALIVE:
            updates.append(known)
            available_bytes -= known.max_encoded_bytes()
        values = list[RegisterValue]()
        if not isinstance(message, (BucketRecords, BucketDigests)):
            limit = retransmit_limit(context.view.present_count)
            taken = [record for record in context.updates.take(available_bytes, limit) if record is not known]
            updates += taken
            if len(context.registers.queue):
                available_bytes -= sum(record.max_encoded_bytes() for record in taken)
                values = context.registers.queue.take(available_bytes, limit)
        self.send_exactly(address, message, updates, values)

    def send_exactly(
        self,
        address: str,
        message: Message,
        updates: list[MemberRecord],
        values: list[RegisterValue] | None = None,
    ) -> None:
        """Send a message with only the given updates and register values."""
        cluster = self.context.settings.cluster
        own_record = self.context.own_record
        self.outgoing.append(
            (address, Datagram(PROTOCOL_VERSION, cluster, own_record, message, updates, values or []))
        )
