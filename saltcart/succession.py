"""A new version under load: the new process takes over from the old one while both serve.

The platform holds the clients' listening socket.  The new process, once its worker pool is up, asks the old
one for its place; the old one stops accepting, tells of every key that it holds, and then passes its
connections, each as soon as it carries no request.  So what comes from then on reaches the new process alone,
which knows all keys; the old one finishes what it has and tells how its keyed runs end.
"""

from __future__ import annotations

import asyncio
import os
import socket
from collections.abc import Awaitable, Callable
from pathlib import Path

from saltcart.core.idempotency_keys import KeyRecord
from saltcart.core.ports import Log
from saltcart.core.service import Service
from saltcart.decision.events import PredecessorLoad
from saltcart.front.connection import FrontConnection
from saltcart.net.announcer import Announcer
from saltcart.net.handover import Doorway, HandoverLink
from saltcart.net.index import IndexClient
from saltcart.net.listener import Listener, ServerConnection
from saltcart.wire import handover as wire
from saltcart.wire.errors import MalformedMessageError

ANSWER_WAIT = 4.0  # an old process that says nothing for this long is not waited for: its keys are lost
LOOK = 0.02  # connections that came or became free meanwhile are passed this often
PASSES, NEXT = 16, 0.002  # at one turn, and the time to the next: descriptors are closed some turns later
LEAST_STAY = 0.5  # a release that stops both processes at once leaves the old one time to learn of it
LONGEST_STAY, STAY_ON = 3.0, 0.7  # the old process is killed its longest deadline, at most, and then later


class Succession:
    """One process's part in it: heir of the one before, and then found by the one after."""

    def __init__(
        self,
        folder: Path,
        name: str,
        service: Service,
        log: Log,
        fronts: dict[str, Listener],
        open_fronts: Callable[[], Awaitable[None]],
        announcer: Announcer | None,
        index: IndexClient | None,
    ) -> None:
        self.service, self.log, self.fronts, self.open_fronts = service, log, fronts, open_fronts
        self.announcer, self.index = announcer, index
        self.doorway = Doorway(folder, f"saltcart-{name}", self._found)
        self.before: HandoverLink | None = None
        self.after: HandoverLink | None = None
        self.given = asyncio.Event()  # the old process has told all, or is gone
        self.told = False  # all of its keys are known
        self.told_at: float | None = None  # when it was told to stop, after it had handed over
        self.within, self.over = 0.0, False
        self.load: tuple[PredecessorLoad, int] | None = None  # what the new process was told last
        self.beside = 0  # connections of the process before
        self.looking: asyncio.TimerHandle | None = None
        self.attaching = set[asyncio.Task[None]]()

    # ---- the new process ----------------------------------------------------------------------

    async def begin(self) -> None:
        """Take over, if there is anyone to take over from, and open the fronts."""
        up = asyncio.Event()
        self.service.on_started = up.set
        link = self.doorway.connect()
        if link is not None:
            self.before, link.received, link.closed = link, self._hear, self._alone
            link.start()
            if self.index is not None:
                self.index.most //= 2  # the descriptors of both count together
            if self.service.controller is None:
                await up.wait()  # until it can serve, the old process does
            if link.open:
                link.send(wire.Packet("take", {}))
            try:
                async with asyncio.timeout(ANSWER_WAIT):
                    await self.given.wait()
            except TimeoutError:
                self.log("takeover-unanswered")
            if not self.told:
                self.service.distrust_keys()
            self.log("took-over", keys=len(self.service.keys))
        self._be_found()
        await self.open_fronts()
        self._count_beside(self.beside)

    def _hear(self, packet: wire.Packet, fd: int | None) -> None:
        match packet.say:
            case "entry" | "gone":
                self.service.adopt_key(
                    wire.to_entry(packet, self.service.clock.seconds_ahead()), packet.say == "gone"
                )
            case "beside":
                load, connections = wire.to_load(packet)
                self.service.set_predecessor_load(load)
                self._count_beside(connections)
            case "yours":
                self.told = True
                self.service.lifecycle.attempts.uncertain_until = 0.0  # told late is told
                self.given.set()
            case "connection" if fd is not None:
                self._count_beside(max(0, self.beside - 1))
                task = asyncio.get_running_loop().create_task(self._attach(packet, fd))
                self.attaching.add(task)
                task.add_done_callback(self.attaching.discard)
            case _:  # of a later release
                if fd is not None:
                    os.close(fd)

    def _count_beside(self, connections: int) -> None:
        """Clients' connections that the old process still holds: both have to do with one limit."""
        self.beside = connections
        if "http" in self.fronts:
            self.fronts["http"].beside = connections

    async def _attach(self, packet: wire.Packet, fd: int) -> None:
        sock, f = socket.socket(fileno=fd), packet.fields
        try:
            age = wire.real(f.get("age"))
            if not self.fronts:
                async with asyncio.timeout(ANSWER_WAIT):
                    while not self.fronts:
                        await asyncio.sleep(LOOK)
            await self.fronts[str(f.get("front"))].attach(sock, packet.data, f.get("rests") is True, age)
        except (OSError, KeyError, TimeoutError, MalformedMessageError) as error:
            sock.close()
            self.log("connection-lost", error=repr(error))

    def _alone(self) -> None:
        """The old process is gone: what it has not told of is not known and never will be."""
        self.before = None
        self.given.set()
        self._count_beside(0)
        if self.index is not None:
            self.index.most *= 2
        self.service.predecessor_gone()

    # ---- the old process ----------------------------------------------------------------------

    def _found(self, link: HandoverLink) -> None:
        if self.after is not None:
            link.close()
            return
        link.received = lambda packet, fd: self._give(link, packet, fd)
        link.closed = lambda: self._resume(link)
        link.start()

    def _be_found(self) -> None:
        try:
            self.doorway.open()
        except OSError as error:  # no next version will find this one, but it serves
            self.log("takeover-closed", error=str(error))

    def _give(self, link: HandoverLink, packet: wire.Packet, fd: int | None) -> None:
        if fd is not None:
            os.close(fd)  # none is wanted from this side
        if packet.say != "take" or self.after is not None:
            raise MalformedMessageError("handover: not now")
        self.after, self.load = link, None
        self.doorway.close()
        if self.announcer is not None:
            self.announcer.close()  # the entry is the new process's
        for entry in self.service.lifecycle.attempts.hand_over(self._tell):
            self._tell(entry, False)
        self._tell_load()
        link.send(wire.Packet("yours", {}))
        for listener in self.fronts.values():
            listener.stop_accepting()
            listener.heir = self._pass
        self.log("handed-over", open=len(self.service.requests), keys=len(self.service.keys))
        self._look()

    def _tell(self, entry: KeyRecord, gone: bool) -> None:
        if self.after is not None:
            self.after.send(wire.of_entry(entry, gone, self.service.clock.seconds_ahead()))

    def _tell_load(self) -> None:
        """Both share the cores and the memory until this one has finished."""
        load = self.service.load(), sum(len(listener.connections) for listener in self.fronts.values())
        if self.after is not None and load != self.load:
            self.load = load
            self.after.send(wire.of_load(*load))

    def _pass(self, connection: ServerConnection, rest: bytes) -> bool:
        """One connection with what was read of it; its descriptor here is closed.  False: not now."""
        if self.after is None or connection.transport is None:
            return False
        front = next(name for name, listener in self.fronts.items() if listener is connection.listener)
        fd = connection.transport.get_extra_info("socket").fileno()
        fields = {
            "front": front,
            "rests": connection in connection.listener.resting,
            "age": asyncio.get_running_loop().time() - connection.since,
        }
        if not self.after.give(wire.Packet("connection", fields, rest), fd):
            return False
        connection.abort()
        return True

    def _look(self) -> None:
        passed = PASSES  # a fault in passing one must not end the passing of the others
        try:
            self._tell_load()
            passed = self._pass_some()
        finally:
            self.looking = asyncio.get_running_loop().call_later(
                NEXT if passed == PASSES else LOOK, self._look
            )

    def _pass_some(self) -> int:
        passed = 0
        for listener in self.fronts.values():
            for connection in listener.in_order():
                if isinstance(connection, FrontConnection) and passed < PASSES:
                    passed += connection.hand_over()
        return passed

    def _resume(self, link: HandoverLink) -> None:
        """The new process is gone, and this one not: it serves on, or drains if it was told to stop."""
        if self.after is not link or self.over:
            return
        self.after = None
        if self.looking is not None:
            self.looking.cancel()
        self.service.lifecycle.attempts.take_back()
        for listener in self.fronts.values():
            listener.heir = None
            for connection in list(listener.connections):
                if isinstance(connection, FrontConnection):
                    connection.again()
        self.log("took-back", told=self.told_at is not None)
        if self.told_at is not None:
            ago = self.service.clock.read_seconds() - self.told_at
            self.told_at = None
            self.service.start_drain(max(0.0, self.within - ago), ago)
        task = asyncio.get_running_loop().create_task(self._reopen())
        self.attaching.add(task)
        task.add_done_callback(self.attaching.discard)

    async def _reopen(self) -> None:
        for listener in self.fronts.values():
            while not self.over:
                try:
                    await listener.open()
                    break
                except OSError as error:  # without a listener it would look well and serve nobody
                    self.log("reopen-failed", error=str(error))
                    await asyncio.sleep(LOOK)
        self._be_found()
        if self.announcer is not None:
            self.announcer.resume()

    # ---- the end ------------------------------------------------------------------------------

    def retire(self, within: float, done: Callable[[], None]) -> bool:
        """SIGTERM to a process that has handed over: it ends what it has.  False where it has not."""
        if self.after is None:
            return False
        if self.told_at is None:
            self.told_at, self.within = self.service.clock.read_seconds(), within
            stay = min(within, min(LONGEST_STAY, self.service.longest_deadline) + STAY_ON)
            self.service.retire_after(stay)
            self._end_when_done(done, asyncio.get_running_loop().time() + stay - LOOK)
        return True

    def _end_when_done(self, done: Callable[[], None], until: float) -> None:
        if self.told_at is None or self.over:  # it took its place back
            return
        loop = asyncio.get_running_loop()
        carrying = any(listener.connections for listener in self.fronts.values())
        busy = carrying or self.service.requests or (self.after is not None and self.after.waiting)
        early = self.service.clock.read_seconds() < self.told_at + LEAST_STAY
        if (busy or early) and loop.time() < until:
            loop.call_later(LOOK, self._end_when_done, done, until)
        else:
            done()

    def close(self) -> None:
        self.over = True
        self.doorway.close()
        for link in (self.before, self.after):
            if link is not None:
                link.close()
        if self.looking is not None:
            self.looking.cancel()
        for task in self.attaching:
            task.cancel()
