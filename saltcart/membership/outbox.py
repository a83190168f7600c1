"""What a member sends: datagrams, each with as much news as fits."""

from __future__ import annotations

from saltcart.membership.dissemination import retransmit_limit
from saltcart.membership.member_context import MemberContext
from saltcart.membership.member_record import MemberRecord, MemberState
from saltcart.membership.messages import (
    MAX_DATAGRAM_BYTES,
    OVERHEAD_BYTES,
    PROTOCOL_VERSION,
    BucketDigests,
    BucketRecords,
    Datagram,
    Message,
)
from saltcart.membership.shared_registers import RegisterValue

Outgoing = tuple[str, Datagram]  # to which address, and what


class Outbox:
    """Collects datagrams until the driver takes them."""

    def __init__(self, context: MemberContext) -> None:
        self.context = context
        self.outgoing: list[Outgoing] = []

    def take(self) -> list[Outgoing]:
        """Return what is to be sent, once."""
        outgoing = self.outgoing
        self.outgoing = []
        return outgoing

    def room(self) -> int:
        """Return how many bytes of records a datagram holds."""
        return MAX_DATAGRAM_BYTES - OVERHEAD_BYTES - self.context.own_record.max_encoded_bytes()

    def send(self, address: str, name: str, message: Message, message_bytes: int = 0) -> None:
        """Send a message with as much news as fits; who is taken for a suspect or gone is told so by it.

        ``message_bytes``: that the message takes beyond those of a usual one.
        """
        context = self.context
        room = self.room() - message_bytes
        news = list[MemberRecord]()
        known = context.view.get(name) if name else None
        if known is not None and known.state != MemberState.ALIVE:
            news.append(known)
            room -= known.max_encoded_bytes()
        values = list[RegisterValue]()
        if not isinstance(message, (BucketRecords, BucketDigests)):
            limit = retransmit_limit(context.view.present_count)
            taken = [record for record in context.updates.take(room, limit) if record is not known]
            news += taken
            if len(context.registers.queue):
                room -= sum(record.max_encoded_bytes() for record in taken)
                values = context.registers.queue.take(room, limit)
        self.send_exactly(address, message, news, values)

    def send_exactly(
        self,
        address: str,
        message: Message,
        news: list[MemberRecord],
        values: list[RegisterValue] | None = None,
    ) -> None:
        """Send a message with just this news."""
        cluster = self.context.settings.cluster
        own_record = self.context.own_record
        self.outgoing.append(
            (address, Datagram(PROTOCOL_VERSION, cluster, own_record, message, news, values or []))
        )
