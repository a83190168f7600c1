"""Experiment: the data structures of membership, each compared with a plain one in bytes and time.

- a view based on a shared snapshot, and a dict of all records;
- a queue of updates ordered by the number of transmissions, and a list sorted for each datagram;
- a probe rotation that steps through the indexes, and a list shuffled for each round;
- a digest that is updated with each change, and one computed from all records.
"""

from __future__ import annotations

import random
import time
import tracemalloc
from collections.abc import Callable
from typing import Any, NamedTuple

from saltcart.membership.dissemination import UpdateQueue, retransmit_limit
from saltcart.membership.member_record import MemberRecord, MemberState
from saltcart.membership.view import MembershipSnapshot, MembershipView, ProbeRotation

UPDATE_BYTES = 1000  # of a datagram, for updates
VIEW_COUNT = 20  # members that share a snapshot
CHANGED_RECORDS = 20  # in which a view differs from the snapshot
QUEUED_UPDATES = 500


class Comparison(NamedTuple):
    """A figure of the service's structure and of the plain one, in the same unit."""

    service: float
    plain: float


class SortedUpdates:
    """Updates with their numbers of transmissions, sorted whenever some are taken."""

    def __init__(self) -> None:
        self.sent: dict[str, tuple[int, MemberRecord]] = {}

    def put(self, record: MemberRecord) -> None:
        """Add an update, which has not been sent yet."""
        self.sent[record.name] = 0, record

    def take(self, max_bytes: int, max_transmissions: int) -> list[MemberRecord]:
        """Return the updates sent least often that fit in a number of bytes, and count them as sent."""
        taken = list[MemberRecord]()
        for name, (count, record) in sorted(self.sent.items(), key=lambda item: item[1][0]):
            if record.max_encoded_bytes() > max_bytes:
                break
            max_bytes -= record.max_encoded_bytes()
            taken.append(record)
            self.sent[name] = count + 1, record
            if count + 1 >= max_transmissions:
                del self.sent[name]
        return taken


class ShuffledRotation:
    """Indexes in an order that is shuffled for each round."""

    def __init__(self, rng: random.Random) -> None:
        self.rng = rng
        self.order = list[int]()

    def next(self, size: int) -> int:
        """Return the next index below a size."""
        if not self.order:
            self.order = list(range(size))
            self.rng.shuffle(self.order)
        return self.order.pop()


def measure_bytes(make: Callable[[], object]) -> int:
    """Return the bytes that the result of a function holds."""
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    result = make()
    size = tracemalloc.get_traced_memory()[0] - before
    tracemalloc.stop()
    del result
    return size


def measure_nanoseconds(count: int, call: Callable[[int], object]) -> float:
    """Return the processor time of one of ``count`` calls, in nanoseconds."""
    started_at = time.process_time()
    for n in range(count):
        call(n)
    return 1e9 * (time.process_time() - started_at) / count


def compare_views(records: list[MemberRecord], snapshot: MembershipSnapshot) -> Comparison:
    """Compare the bytes of a view."""

    def make_view() -> MembershipView:
        """Return a view that differs from the snapshot in some records."""
        view = MembershipView(snapshot)
        for record in records[:CHANGED_RECORDS]:
            view.merge(record.reported_as(MemberState.DEAD, "x"), 0.0)
        return view

    service_bytes = measure_bytes(lambda: [make_view() for _ in range(VIEW_COUNT)])
    plain_bytes = measure_bytes(lambda: [{r.name: r for r in records} for _ in range(VIEW_COUNT)])
    return Comparison(service_bytes / VIEW_COUNT, plain_bytes / VIEW_COUNT)


def measure_updates(updates: UpdateQueue | SortedUpdates, records: list[MemberRecord]) -> float:
    """Return the nanoseconds in which an update is added and those of a datagram are taken."""
    for record in records[:QUEUED_UPDATES]:
        updates.put(record)
    max_transmissions = retransmit_limit(len(records))

    def send_datagram(n: int) -> None:
        """Add one update and take those of one datagram."""
        updates.put(records[n % QUEUED_UPDATES])
        updates.take(UPDATE_BYTES, max_transmissions)

    return measure_nanoseconds(2_000, send_datagram)


def compute_digest(view: MembershipView) -> int:
    """Return the digest of a view, from all its records."""
    digest = 0
    for record in view:
        digest ^= record.fingerprint()
    return digest


def begin_rotation(rotation: ProbeRotation | ShuffledRotation, size: int) -> object:
    """Return a rotation that has yielded its first index."""
    rotation.next(size)
    return rotation


def compare_all(count: int, seed: int) -> dict[str, Comparison]:
    """Compare all structures for a number of members; the result is by name and unit of the figure."""
    records = [MemberRecord(f"member-{n}", f"127.0.0.1:{n}", 1 << 40, zone="z1") for n in range(count)]
    snapshot = MembershipSnapshot(records)
    rng = random.Random(seed)
    rotation = ProbeRotation(rng)
    shuffled = ShuffledRotation(rng)
    view = MembershipView(snapshot)
    return {
        "view, bytes each": compare_views(records, snapshot),
        "news, ns a packet": Comparison(
            measure_updates(UpdateQueue(), records), measure_updates(SortedUpdates(), records)
        ),
        "turn, ns each": Comparison(
            measure_nanoseconds(5 * count, lambda n: rotation.next(count)),
            measure_nanoseconds(5 * count, lambda n: shuffled.next(count)),
        ),
        "turn, bytes": Comparison(
            measure_bytes(lambda: begin_rotation(ProbeRotation(rng), count)),
            measure_bytes(lambda: begin_rotation(ShuffledRotation(rng), count)),
        ),
        "digest, ns each": Comparison(
            measure_nanoseconds(200, lambda n: view.digest),
            measure_nanoseconds(5, lambda n: compute_digest(view)),
        ),
    }


def run(quick: bool, seed: int) -> tuple[list[list[str]], dict[str, Any]]:
    """Return the experiment's table and its figures.

    Args:
        quick: Whether to compare for fewer members.
        seed: Seed of the rotations.
    """
    count = 2_000 if quick else 10_000
    rows = [["", "ours", "plain"]]
    figures: dict[str, Any] = {"members": count, "seed": seed}
    for name, comparison in compare_all(count, seed).items():
        rows.append([name, f"{comparison.service:,.0f}", f"{comparison.plain:,.0f}"])
        key = name.replace(", ", "_").replace(" ", "_")
        figures[key] = round(comparison.service)
        figures[f"{key}_plain"] = round(comparison.plain)
    return rows, figures
