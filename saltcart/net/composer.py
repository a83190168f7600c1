"""The driver of composed runs: the runs port where a class's answer is made of several dependencies' replies.

It carries out the desk's orders on AJP upstreams and index lines, and rings it with one timer.  What has no
plan goes on to the upstreams as before.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterable

from saltcart.budget.desk import Desk
from saltcart.budget.plan import Dependency, Plans
from saltcart.budget.run import Ended, GiveUp, Order, Orders, Send
from saltcart.core.ports import Log, WorkerPoolEvents
from saltcart.decision.outcome import Outcome
from saltcart.decision.settings import ClassSpec
from saltcart.net.index import IndexClient
from saltcart.net.upstreams import Upstreams


class IndexLines:
    """A dependency that speaks the index's lines; tells the composer how its calls end."""

    def __init__(self, spec: Dependency, told: Callable[[bytes, Outcome, bytes], None], log: Log) -> None:
        assert spec.address is not None
        self.client, self.told = IndexClient(spec.address, self, log, spec.most), told

    def call_finished(self, ident: bytes, outcome: Outcome, reply: bytes) -> None:
        self.told(ident, outcome, reply)


class Composer:
    """Owns the desk, its timer and the index connections of dependencies."""

    def __init__(
        self,
        plans: Plans,
        classes: Iterable[ClassSpec],
        upstreams: Upstreams,
        events: WorkerPoolEvents,
        log: Log,
        seed: int,
        clock: Callable[[], float],
        held: Callable[[], int],
        usable: Callable[[float, float], tuple[float, float]],
    ) -> None:
        self.desk, self.held, self.usable = Desk(plans, seed, classes), held, usable
        self.upstreams, self.events, self.log, self.clock = upstreams, events, log, clock
        self.specs = {d.name: d for d in plans.dependency}
        self.lines = {d.name: IndexLines(d, self._told, log) for d in plans.dependency if d.kind == "index"}
        self.loop = asyncio.get_running_loop()
        self.timer: asyncio.TimerHandle | None = None
        self.now, self.orders = clock(), Orders(self._order)

    def _time(self) -> float:
        self.now = max(self.now, self.clock())  # a clock that is set back must not turn back what was decided
        return self.now

    # ---- the port -----------------------------------------------------------------------------

    def spawn(
        self, ident: bytes, klass: str, account: str, body: bytes, once: bool, within: float, aim: float
    ) -> None:
        if klass not in self.desk.plans:
            self.upstreams.spawn(ident, klass, account, body, once, within, aim)
        elif ident not in self.desk.runs:
            now, (aim, within) = self._time(), self.usable(aim, within)
            self._carry_out(self.desk.start(now, ident, klass, account, body, now + aim, now + within))

    def suspend(self, ident: bytes) -> None:
        if ident in self.desk.runs:
            self._carry_out(self.desk.stop(self._time(), ident))
        else:
            self.upstreams.suspend(ident)

    def resume(self, ident: bytes) -> None:
        """Nothing is ever paused."""

    def supply_reply(self, ident: bytes, reply: bytes) -> None:
        """Nothing waits for a call of the module's."""

    def skip_call(self, ident: bytes, notice: int) -> None:
        """Nothing waits for a call of the module's."""

    def poll_gauges(self) -> None:
        """A run that waits for its dependencies keeps its slot and leaves the cores to others."""
        self.upstreams.poll_gauges()
        if self.desk.runs:
            self._carry_out(self.desk.press(self._time(), self.held()))

    # ---- the host -----------------------------------------------------------------------------

    def hasten(self, within: float) -> None:
        """The process is stopped soon: runs under way must be over by then."""
        now = self._time()
        self._carry_out(self.desk.hasten(now, now + within))

    def figures(self) -> list[tuple[str, int]]:
        """Gauges for the operators: calls under way and allowed, waiting, and further attempts so far."""
        out = list[tuple[str, int]]()
        for name, d in self.desk.dependencies.items():
            out += [
                (f"dependency.{name}.used", d.limit.used),
                (f"dependency.{name}.limit", int(d.limit.value)),
                (f"dependency.{name}.waiting", len(d.waiting)),
                (f"dependency.{name}.further", d.counts["further"]),
                (f"dependency.{name}.circuit_open", int(d.breaker.state.value != "closed")),
            ]
        return out

    def close(self) -> None:
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None
        for lines in self.lines.values():
            lines.client.close()

    # ---- orders -------------------------------------------------------------------------------

    def _carry_out(self, orders: list[Order]) -> None:
        self.orders(orders)
        self._arm()

    def _order(self, order: Order) -> None:
        match order:
            case Send():
                self._send(order)
            case GiveUp():
                if order.dependency in self.lines:
                    self.lines[order.dependency].client.cancel_call(order.ident)
                else:
                    self.upstreams.cancel_call(order.ident)
            case Ended():
                self.events.run_finished(
                    order.ident, order.outcome, order.took, order.body, order.left_out, order.remembered
                )

    def _send(self, order: Send) -> None:
        spec = self.specs[order.dependency]
        if spec.kind == "index":
            self.lines[spec.name].client.call(order.ident, order.within, order.body, order.once)
        elif not self.upstreams.call(
            spec.upstream or "", order.ident, spec.name, order.tenant, order.body, order.within, self._told
        ):
            # In the next turn: the desk is told of ends after its orders, never among them.
            self.loop.call_soon(self._told, order.ident, Outcome.NOT_STARTED, b"")

    def _told(self, ident: bytes, outcome: Outcome, reply: bytes) -> None:
        self._carry_out(self.desk.reply(self._time(), ident, outcome, reply))

    def _arm(self) -> None:
        due = self.desk.next_due()
        if self.timer is not None:
            self.timer.cancel()
        self.timer = None if due is None else self.loop.call_later(max(0.0, due - self.clock()), self._ring)

    def _ring(self) -> None:
        self.timer = None
        self._carry_out(self.desk.tick(self._time()))
