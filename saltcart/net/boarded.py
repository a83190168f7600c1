"""What the drivers of decisions that are made in common share: membership's board, a tick, and their logs."""

from __future__ import annotations

import asyncio

from saltcart.core.ports import Log
from saltcart.member.board import Post
from saltcart.member.record import Record
from saltcart.net.alive import Turns
from saltcart.net.gossip import Gossip
from saltcart.wire.errors import MalformedMessageError

TICK = 0.05  # seconds; what is due is decided by the decisions' own intervals


class Boarded:
    """Speaks over one process's membership; ``close`` gives back its timer."""

    def __init__(self, gossip: Gossip, log: Log) -> None:
        assert gossip.detector is not None
        self.gossip, self.detector, self.log = gossip, gossip.detector, log
        self.loop = asyncio.get_running_loop()
        gossip.listeners.append(self)
        self.turns = Turns(TICK, self._tick)
        self.turns.start()

    def close(self) -> None:
        self.turns.stop()

    def _tick(self) -> None:
        self.tick(self.loop.time())
        self.gossip.flush()

    def tick(self, now: float) -> None:
        raise NotImplementedError

    def heard(self, now: float, topic: str, number: int, by: str, data: bytes) -> None:
        """A newer post; ``MalformedMessageError`` for one that is none of its topic."""
        raise NotImplementedError

    def given(self, now: float, sender: Record, topic: str, data: bytes) -> None:
        """Something for this instance alone; ``MalformedMessageError`` as well."""
        raise NotImplementedError

    # ---- the decisions' port ------------------------------------------------------------------

    def post(self, topic: str, data: bytes) -> None:
        try:
            self.detector.post(self.loop.time(), topic, data)
        except ValueError as error:
            self.log("board-too-long", topic=topic, error=str(error))

    def give(self, name: str, topic: str, data: bytes) -> None:
        self.detector.give(self.loop.time(), name, topic, data)

    # ---- what membership tells ----------------------------------------------------------------

    def on_post(self, post: Post) -> None:
        try:
            self.heard(self.loop.time(), post.topic, post.number, post.by, post.data)
        except MalformedMessageError as error:
            self.log("board-malformed", sender=post.by, topic=post.topic, error=str(error))

    def on_given(self, sender: Record, topic: str, data: bytes) -> None:
        try:
            self.given(self.loop.time(), sender, topic, data)
        except MalformedMessageError as error:
            self.log("board-malformed", sender=sender.name, topic=topic, error=str(error))
