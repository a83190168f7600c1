"""Comparisons of whole views: by digests two members find where they differ, and give what the other lacks.

One that is gone is tried in the same way, so that two halves of a fleet find each other again.
"""

from __future__ import annotations

from collections.abc import Iterable

from saltcart.membership.member_context import MemberContext
from saltcart.membership.member_record import MemberRecord, MemberState
from saltcart.membership.messages import BucketDigests, BucketRecords, Gossip, ViewDigest
from saltcart.membership.outbox import Outbox
from saltcart.membership.view import BUCKET_COUNT

MAX_DELAYS = 3  # comparisons in a row that wait for news under way, which would only be sent twice
MAX_SYNC_DATAGRAMS = 32  # that one comparison may send: the rest is for the next one
MAX_JOIN_DOUBLINGS = 6  # of the wait between two tries to join
BUCKET_NUMBER_BYTES = 2


class AntiEntropy:
    """Compares views now and then, and joins the fleet through its seeds."""

    def __init__(self, context: MemberContext, outbox: Outbox) -> None:
        self.context = context
        self.outbox = outbox
        self.seeds = tuple(s for s in context.settings.seeds if s != context.own_record.address)
        self.delays = 0

    def start(self) -> None:
        """Compare from a moment in the first interval on, and join at once."""
        context = self.context
        context.call_after(context.settings.sync_every * context.rng.random(), self._sync)
        if self.seeds:
            context.call_after(0.0, self._join, 0)

    def _sync(self) -> None:
        """Compare with one member who is there, and try one who is gone or a seed that is not known."""
        context = self.context
        context.call_after(context.jittered(context.settings.sync_every), self._sync)
        context.view.forget(context.now - context.settings.forget_after)
        digest = ViewDigest(context.view.digest)
        if not self._waits_for_news():
            for peer in self._draw_peer():
                self.outbox.send(peer.address, peer.name, digest)
        if context.registers.values:
            for peer in self._draw_peer():
                values = context.registers.next_to_resend(self.outbox.available_bytes())
                self.outbox.send_exactly(peer.address, Gossip(), [], values)
        missing = self._draw_missing()
        if missing is not None:
            self.outbox.send(*missing, digest)

    def _draw_peer(self) -> list[MemberRecord]:
        return self.context.view.sample(self.context.rng, 1, {self.context.own_record.name})

    def _waits_for_news(self) -> bool:
        """Whether news is under way, so that views differ anyhow; where there always is, it is no excuse."""
        if len(self.context.updates) and self.delays < MAX_DELAYS:
            self.delays += 1
            return True
        self.delays = 0
        return False

    def _draw_missing(self) -> tuple[str, str] | None:
        """Return address and name of one that may have come back; an unknown seed has no name."""
        view = self.context.view
        gone = [record for name in view.gone_since if (record := view.get(name)) is not None]
        missing = [(r.address, r.name) for r in gone if r.state == MemberState.DEAD]
        known = {record.address for record in view} if self.seeds else set()
        missing += [(address, "") for address in self.seeds if address not in known]
        return self.context.rng.choice(missing) if missing else None

    def _join(self, tries: int) -> None:
        """Ask the seeds until another member is known; a longer wait each time."""
        context = self.context
        settings = self.context.settings
        if context.view.present_count > 1:
            return
        for seed in self.seeds:
            self.outbox.send_exactly(seed, ViewDigest(context.view.digest), [])
        wait = min(settings.sync_every, settings.probe_wait * 2 ** min(tries, MAX_JOIN_DOUBLINGS))
        context.call_after(context.jittered(wait), self._join, tries + 1)

    # ---- what others ask ----------------------------------------------------------------------

    def on_view_digest(self, sender: MemberRecord, digest: int) -> None:
        """Answer the digest of another view, if it differs."""
        view = self.context.view
        if digest != view.digest and not self._waits_for_news():
            self.outbox.send(sender.address, sender.name, BucketDigests(list(view.digests)))

    def on_bucket_digests(self, sender: MemberRecord, digests: list[int]) -> None:
        """Send the records of buckets that differ, and want the sender's in return."""
        own = self.context.view.digests
        differing = [n for n in range(min(BUCKET_COUNT, len(digests))) if digests[n] != own[n]]
        if differing:
            self._send_records(sender.address, differing, want_back=True)

    def on_bucket_records(self, sender: MemberRecord, wanted: list[int]) -> None:
        """Send the records that the sender wants in return."""
        if wanted:
            buckets = [n for n in wanted if 0 <= n < BUCKET_COUNT]
            self._send_records(sender.address, buckets, want_back=False)

    def _send_records(self, address: str, buckets: Iterable[int], *, want_back: bool) -> None:
        """Send all records of some buckets; the first datagram says whether the same is wanted back."""
        buckets = list(buckets)
        first = BucketRecords(buckets if want_back else [])
        whole_room = self.outbox.available_bytes()
        room = whole_room - BUCKET_NUMBER_BYTES * len(buckets)
        chunk = list[MemberRecord]()
        sent = 0
        records = self.context.view.records_in_buckets(buckets)
        self.context.rng.shuffle(records)  # what does not go this time goes another time
        for record in records:
            if record.max_encoded_bytes() > room:
                self.outbox.send_exactly(address, first if sent == 0 else BucketRecords([]), chunk)
                chunk = []
                room = whole_room
                sent += 1
                if sent == MAX_SYNC_DATAGRAMS:
                    return
            chunk.append(record)
            room -= record.max_encoded_bytes()
        if chunk or (want_back and sent == 0):
            self.outbox.send_exactly(address, first if sent == 0 else BucketRecords([]), chunk)
