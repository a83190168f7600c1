"""Tells before a request is read whether it may have run already, so that it must not be rejected unread."""

from __future__ import annotations

from saltcart.core.clock import CoreClock
from saltcart.core.idempotency import IdempotentAttempts
from saltcart.core.idempotency_keys import KeyTable
from saltcart.core.messages import InboundRequest
from saltcart.decision.settings import ClassSpec, Effect


class RunLookup:
    """Looks up the runs of idempotency keys for requests of which only the head has arrived."""

    def __init__(
        self,
        classes: tuple[ClassSpec, ...],
        clock: CoreClock,
        keys: KeyTable,
        attempts: IdempotentAttempts,
    ) -> None:
        """Look up requests of these classes."""
        self.keyed_classes = frozenset(
            spec.name for spec in classes if spec.effect is Effect.IDEMPOTENT_BY_KEY
        )
        self.clock = clock
        self.keys = keys
        self.attempts = attempts

    def has_keys(self) -> bool:
        """Whether any request may have run under an idempotency key."""
        earliest_arrival = self.clock.read() - self.keys.read_grace
        return len(self.keys) > 0 or self.attempts.is_uncertain(earliest_arrival)

    def is_keyed(self, class_name: str) -> bool:
        """Whether the requests of a class have idempotency keys."""
        return class_name in self.keyed_classes

    def may_have_run(self, inbound: InboundRequest) -> bool:
        """Whether an earlier attempt of a request has run, or may have.

        Args:
            inbound: The request as read from its head; its body is not looked at.
        """
        if not self.is_keyed(inbound.class_name) or inbound.idempotency_key is None:
            return False
        arrived_at = inbound.arrival_time(self.clock.read())
        key = (inbound.account, inbound.class_name, inbound.idempotency_key)
        record = self.keys.find(key, arrived_at)
        if record is None:
            return self.attempts.is_uncertain(arrived_at)
        return record.may_have_run
