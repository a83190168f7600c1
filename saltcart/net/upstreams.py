"""Which AJP upstream does a tenant's work: the runs port where there is no worker pool."""

from __future__ import annotations

from collections.abc import Callable

from saltcart.core.ports import Log, WorkerPoolEvents
from saltcart.decision.outcome import Outcome
from saltcart.deployment import Deployment, UpstreamConf
from saltcart.net.ajp import AjpMember, AjpUpstream

Told = Callable[[bytes, Outcome, bytes], None]


class Upstreams:
    """Sends each run to its tenant's upstream, or to the first one where the tenant names none."""

    def __init__(self, deployment: Deployment, events: WorkerPoolEvents, log: Log, slots: int) -> None:
        self.events, self.log, self.slots = events, log, slots
        self.by_name: dict[str, AjpUpstream] = {}
        self.by_tenant: dict[str, str] = {}
        self.where: dict[bytes, AjpUpstream] = {}  # runs under way
        self.asked: dict[bytes, tuple[AjpUpstream, Told]] = {}  # calls of composed runs
        for conf in deployment.upstreams:
            self.put(conf)
        for tenant in deployment.tenants:
            self.assign(tenant.name, tenant.upstream)

    # ---- changes by the administration --------------------------------------------------------

    def put(self, conf: UpstreamConf) -> None:
        """A new upstream, or other members for one; what runs on the old members is left to end there."""
        if conf.name in self.by_name:
            self.remove(conf.name)
        self.by_name[conf.name] = AjpUpstream(
            [AjpMember(m.host, m.weight, m.secret.encode()) for m in conf.members], self._ended, self.log
        )

    def remove(self, name: str) -> None:
        self.by_name.pop(name).close()

    def open_runs(self, name: str) -> dict[str, int]:
        """Requests under way, by member."""
        return {m.host: m.open for m in self.by_name[name].members}

    def close(self) -> None:
        for upstream in self.by_name.values():
            upstream.close()

    def assign(self, tenant: str, upstream: str | None) -> None:
        if upstream is None:
            self.by_tenant.pop(tenant, None)
        else:
            self.by_tenant[tenant] = upstream

    # ---- the port -----------------------------------------------------------------------------

    def spawn(
        self, ident: bytes, klass: str, account: str, body: bytes, once: bool, within: float, aim: float
    ) -> None:
        name = self.by_tenant.get(account)
        upstream = self.by_name.get(name) if name else next(iter(self.by_name.values()), None)
        if upstream is None:
            self.events.run_finished(ident, Outcome.NOT_STARTED, 0.0, b"")
            return
        self.where[ident] = upstream
        upstream.spawn(ident, klass, account, body, once, within)

    def call(
        self, name: str, ident: bytes, what: str, account: str, body: bytes, within: float, told: Told
    ) -> bool:
        """One call of a composed run: sent once, whatever becomes of it.  False: no such upstream."""
        upstream = self.by_name.get(name)
        if upstream is None:
            return False
        self.asked[ident] = upstream, told
        upstream.spawn(ident, what, account, body, True, within)
        return True

    def cancel_call(self, ident: bytes) -> None:
        """Nobody waits for this call any more, and nobody is told how it ends."""
        if (asked := self.asked.pop(ident, None)) is not None:
            asked[0].suspend(ident)

    def suspend(self, ident: bytes) -> None:
        if (upstream := self.where.get(ident)) is not None:
            upstream.suspend(ident)

    def resume(self, ident: bytes) -> None:
        """Nothing is ever paused."""

    def supply_reply(self, ident: bytes, reply: bytes) -> None:
        """Nothing waits for a call."""

    def skip_call(self, ident: bytes, notice: int) -> None:
        """Nothing waits for a call."""

    def poll_gauges(self) -> None:
        busy = len(self.where)
        self.events.gauges_polled((min(1.0, busy / self.slots), float(busy)))

    def _ended(self, ident: bytes, outcome: Outcome, took: float, result: bytes) -> None:
        if (asked := self.asked.pop(ident, None)) is not None:
            asked[1](ident, outcome, result)
        elif self.where.pop(ident, None) is not None:
            self.events.run_finished(ident, outcome, took, result)
