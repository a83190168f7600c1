"""Anti-entropy: pairs of members compare digests of their views and exchange the records that differ.

Members that are dead are contacted in the same way, so that two halves of a partitioned fleet merge again.
"""

from __future__ import annotations

from collections.abc import Iterable

from saltcart.membership.member_context import MemberContext
from saltcart.membership.member_record import MemberRecord, MemberState
from saltcart.membership.messages import BucketDigests, BucketRecords, Gossip, ViewDigest
from saltcart.membership.outbox import Outbox
from saltcart.membership.view import BUCKET_COUNT

MAX_DEFERRALS = 3  # consecutive comparisons put off while updates, which would be sent twice, are in flight
MAX_SYNC_DATAGRAMS = 32  # per comparison; the remaining records are left to the next one
MAX_JOIN_DOUBLINGS = 6  # of the delay between attempts to join
BUCKET_NUMBER_BYTES = 2


class AntiEntropy:
    """Compares views periodically, and joins the fleet through its seeds."""

    def __init__(self, context: MemberContext, outbox: Outbox) -> None:
        self.context = context
        self.outbox = outbox
        self.seeds = tuple(seed for seed in context.settings.seeds if seed != context.own_record.address)
        self.deferrals = 0

    def start(self) -> None:
        """Schedule the first comparison at a random time within the first interval, and join at once."""
        context = self.context
        context.call_after(context.settings.sync_every * context.rng.random(), self._sync)
        if self.seeds:
            context.call_after(0.0, self._join, 0)

    def _sync(self) -> None:
        """Compare views with a present member, and contact a dead member or an unknown seed."""
        context = self.context
        context.call_after(context.jittered(context.settings.sync_every), self._sync)
        context.view.forget(context.now - context.settings.forget_after)
        digest = ViewDigest(context.view.digest)
        if not self._defers_comparison():
            for peer in self._sample_peer():
                self.outbox.send(peer.address, peer.name, digest)
        if context.registers.values:
            for peer in self._sample_peer():
                values = context.registers.next_to_resend(self.outbox.available_bytes())
                self.outbox.send_exactly(peer.address, Gossip(), [], values)
        missing = self._choose_missing()
        if missing is not None:
            self.outbox.send(*missing, digest)

    def _sample_peer(self) -> list[MemberRecord]:
        return self.context.view.sample(self.context.rng, 1, {self.context.own_record.name})

    def _defers_comparison(self) -> bool:
        """Whether to put off a comparison, since updates in flight explain a difference between views.

        After ``MAX_DEFERRALS`` in a row it takes place anyway, as a busy fleet always has updates in flight.
        """
        if len(self.context.updates) and self.deferrals < MAX_DEFERRALS:
            self.deferrals += 1
            return True
        self.deferrals = 0
        return False

    def _choose_missing(self) -> tuple[str, str] | None:
        """Return the address and name of a dead member or an unknown seed, which has an empty name."""
        view = self.context.view
        tombstones = [record for name in view.tombstone_times if (record := view.get(name)) is not None]
        missing = [(member.address, member.name) for member in tombstones if member.state == MemberState.DEAD]
        known = {record.address for record in view} if self.seeds else set()
        missing += [(address, "") for address in self.seeds if address not in known]
        return self.context.rng.choice(missing) if missing else None

    def _join(self, attempts: int) -> None:
        """Contact the seeds with exponential backoff until another member is known."""
        context = self.context
        settings = self.context.settings
        if context.view.present_count > 1:
            return
        for seed in self.seeds:
            self.outbox.send_exactly(seed, ViewDigest(context.view.digest), [])
        delay = min(settings.sync_every, settings.probe_wait * 2 ** min(attempts, MAX_JOIN_DOUBLINGS))
        context.call_after(context.jittered(delay), self._join, attempts + 1)

    # ---- received messages --------------------------------------------------------------------

    def on_view_digest(self, sender: MemberRecord, digest: int) -> None:
        """Reply with the digests of the buckets if the sender's view differs."""
        view = self.context.view
        if digest != view.digest and not self._defers_comparison():
            self.outbox.send(sender.address, sender.name, BucketDigests(list(view.digests)))

    def on_bucket_digests(self, sender: MemberRecord, digests: list[int]) -> None:
        """Send the records of the buckets that differ, and request the sender's in return."""
        own_digests = self.context.view.digests
        differing = [
            index for index in range(min(BUCKET_COUNT, len(digests))) if digests[index] != own_digests[index]
        ]
        if differing:
            self._send_records(sender.address, differing, request_back=True)

    def on_bucket_records(self, sender: MemberRecord, requested_buckets: list[int]) -> None:
        """Send the records of the buckets that the sender requests."""
        if requested_buckets:
            buckets = [index for index in requested_buckets if 0 <= index < BUCKET_COUNT]
            self._send_records(sender.address, buckets, request_back=False)

    def _send_records(self, address: str, buckets: Iterable[int], *, request_back: bool) -> None:
        """Send all records of some buckets; the first datagram may request the receiver's in return."""
        buckets = list(buckets)
        first = BucketRecords(buckets if request_back else [])
        datagram_bytes = self.outbox.available_bytes()
        available_bytes = datagram_bytes - BUCKET_NUMBER_BYTES * len(buckets)
        chunk = list[MemberRecord]()
        sent = 0
        records = self.context.view.records_in_buckets(buckets)
        self.context.rng.shuffle(records)  # so that records beyond the limit are sent another time
        for record in records:
            if record.max_encoded_bytes() > available_bytes:
                self.outbox.send_exactly(address, first if sent == 0 else BucketRecords([]), chunk)
                chunk = []
                available_bytes = datagram_bytes
                sent += 1
                if sent == MAX_SYNC_DATAGRAMS:
                    return
            chunk.append(record)
            available_bytes -= record.max_encoded_bytes()
        if chunk or (request_back and sent == 0):
            self.outbox.send_exactly(address, first if sent == 0 else BucketRecords([]), chunk)
