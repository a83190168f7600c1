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
            self.set_upstream(conf)
        for tenant in deployment.tenants:
            self.assign_tenant(tenant.name, tenant.upstream)

    # ---- changes by the administration --------------------------------------------------------

    def set_upstream(self, conf: UpstreamConf) -> None:
        """A new upstream, or other members for one; what runs on the old members is left to end there."""
        if conf.name in self.by_name:
            self.remove_upstream(conf.name)
        self.by_name[conf.name] = AjpUpstream(
            [AjpMember(m.host, m.weight, m.secret.encode()) for m in conf.members], self._ended, self.log
        )

    def remove_upstream(self, name: str) -> None:
        self.by_name.pop(name).close()

    def in_flight_by_member(self, name: str) -> dict[str, int]:
        """Requests under way, by member."""
        return {m.host: m.in_flight for m in self.by_name[name].members}

    def close(self) -> None:
        for upstream in self.by_name.values():
            upstream.close()

    def assign_tenant(self, tenant: str, upstream: str | None) -> None:
        if upstream is None:
            self.by_tenant.pop(tenant, None)
        else:
            self.by_tenant[tenant] = upstream

    # ---- the port -----------------------------------------------------------------------------

    def spawn(
        self,
        request_id: bytes,
        class_name: str,
        account: str,
        body: bytes,
        must_run_once: bool,
        time_to_deadline: float,
        time_to_objective: float,
    ) -> None:
        name = self.by_tenant.get(account)
        upstream = self.by_name.get(name) if name else next(iter(self.by_name.values()), None)
        if upstream is None:
            self.events.run_finished(request_id, Outcome.NOT_STARTED, 0.0, b"")
            return
        self.where[request_id] = upstream
        upstream.spawn(request_id, class_name, account, body, must_run_once, time_to_deadline)

    def call(
        self,
        name: str,
        request_id: bytes,
        what: str,
        account: str,
        body: bytes,
        time_to_deadline: float,
        told: Told,
    ) -> bool:
        """One call of a composed run: sent once, whatever becomes of it.  False: no such upstream."""
        upstream = self.by_name.get(name)
        if upstream is None:
            return False
        self.asked[request_id] = upstream, told
        upstream.spawn(request_id, what, account, body, True, time_to_deadline)
        return True

    def cancel_call(self, request_id: bytes) -> None:
        """Nobody waits for this call any more, and nobody is told how it ends."""
        if (asked := self.asked.pop(request_id, None)) is not None:
            asked[0].suspend(request_id)

    def suspend(self, request_id: bytes) -> None:
        if (upstream := self.where.get(request_id)) is not None:
            upstream.suspend(request_id)

    def resume(self, request_id: bytes) -> None:
        """Nothing is ever paused."""

    def supply_reply(self, request_id: bytes, reply: bytes) -> None:
        """Nothing waits for a call."""

    def skip_call(self, request_id: bytes, notice_number: int) -> None:
        """Nothing waits for a call."""

    def poll_gauges(self) -> None:
        busy = len(self.where)
        self.events.gauges_polled((min(1.0, busy / self.slots), float(busy)))

    def _ended(self, request_id: bytes, outcome: Outcome, took: float, result: bytes) -> None:
        if (asked := self.asked.pop(request_id, None)) is not None:
            asked[1](request_id, outcome, result)
        elif self.where.pop(request_id, None) is not None:
            self.events.run_finished(request_id, outcome, took, result)
