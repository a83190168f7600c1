"""The worker pool port on AJP upstreams, for deployments without a worker pool."""

from __future__ import annotations

from collections.abc import Callable

from saltcart.core.ports import Log, WorkerPoolEvents
from saltcart.decision.outcome import Outcome
from saltcart.deployment import Deployment, UpstreamConf
from saltcart.net.ajp import AjpMember, AjpUpstream

CallFinishedCallback = Callable[[bytes, Outcome, bytes], None]  # receives call id, outcome and reply


class Upstreams:
    """Sends each run to its tenant's upstream, or to the default one if the tenant names none.

    Args:
        deployment: The upstreams, and the tenants with the upstreams that they name.
        events: Receives the ends of runs and the gauges.
        log: Event log.
        cores: The number of concurrent runs that counts as full use.
    """

    def __init__(self, deployment: Deployment, events: WorkerPoolEvents, log: Log, cores: int) -> None:
        self.events, self.log, self.cores = events, log, cores
        self.by_name: dict[str, AjpUpstream] = {}
        self.by_tenant: dict[str, str] = {}
        self.default_name = deployment.upstreams[0].name if deployment.upstreams else None
        self.runs: dict[bytes, AjpUpstream] = {}  # runs in progress, by request id
        self.calls: dict[bytes, tuple[AjpUpstream, CallFinishedCallback]] = {}  # of composed runs, by call id
        for conf in deployment.upstreams:
            self.set_upstream(conf)
        for tenant in deployment.tenants:
            self.assign_tenant(tenant.name, tenant.upstream)

    # ---- changes by the administration API ----------------------------------------------------

    def set_upstream(self, conf: UpstreamConf) -> None:
        """Add an upstream, or replace one; runs in progress on the members of a replaced one end there."""
        previous = self.by_name.get(conf.name)
        if previous is not None:
            previous.close()
        self.by_name[conf.name] = AjpUpstream(
            [AjpMember(m.host, m.weight, m.secret.encode()) for m in conf.members],
            self._run_finished,
            self.log,
        )

    def remove_upstream(self, name: str) -> None:
        """Remove an upstream; its runs in progress end there."""
        self.by_name.pop(name).close()

    def in_flight_by_member(self, name: str) -> dict[str, int]:
        """Return the number of requests in flight to each member of an upstream, by host."""
        return {m.host: m.in_flight for m in self.by_name[name].members}

    def close(self) -> None:
        """Close the idle connections of all upstreams."""
        for upstream in self.by_name.values():
            upstream.close()

    def assign_tenant(self, tenant: str, upstream: str | None) -> None:
        """Send further runs of a tenant to an upstream; None for the default one."""
        if upstream is None:
            self.by_tenant.pop(tenant, None)
        else:
            self.by_tenant[tenant] = upstream

    # ---- worker pool port ---------------------------------------------------------------------

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
        """Start a run on the account's upstream."""
        name = self.by_tenant.get(account, self.default_name)
        upstream = None if name is None else self.by_name.get(name)
        if upstream is None:
            self.events.run_finished(request_id, Outcome.NOT_STARTED, 0.0, b"")
            return
        self.runs[request_id] = upstream
        upstream.spawn(request_id, class_name, account, body, must_run_once, time_to_deadline)

    def call(
        self,
        name: str,
        call_id: bytes,
        dependency: str,
        account: str,
        body: bytes,
        timeout: float,
        on_finished: CallFinishedCallback,
    ) -> bool:
        """Send a call of a composed run, which is not retried here.

        Args:
            name: The name of the upstream.
            call_id: Identifies the call.
            dependency: The dependency that is called; sent as the class of the request.
            account: The account that sent the request.
            body: The body of the call.
            timeout: Seconds until the call times out.
            on_finished: Called when the call ends, unless it is cancelled.

        Returns:
            Whether there is such an upstream.
        """
        upstream = self.by_name.get(name)
        if upstream is None:
            return False
        self.calls[call_id] = upstream, on_finished
        upstream.spawn(call_id, dependency, account, body, True, timeout)
        return True

    def cancel_call(self, call_id: bytes) -> None:
        """Cancel a call without reporting its end."""
        if (call := self.calls.pop(call_id, None)) is not None:
            call[0].suspend(call_id)

    def suspend(self, request_id: bytes) -> None:
        """Cancel a run."""
        if (upstream := self.runs.get(request_id)) is not None:
            upstream.suspend(request_id)

    def resume(self, request_id: bytes) -> None:
        """Do nothing: no run is ever paused."""

    def supply_reply(self, request_id: bytes, reply: bytes) -> None:
        """Do nothing: no run waits for a call."""

    def skip_call(self, request_id: bytes, notice_number: int) -> None:
        """Do nothing: no run waits for a call."""

    def poll_gauges(self) -> None:
        """Report how busy the upstreams are: the share of the cores, and the number of runs in progress."""
        running = len(self.runs)
        self.events.gauges_polled((min(1.0, running / self.cores), float(running)))

    def _run_finished(self, run_id: bytes, outcome: Outcome, seconds: float, result: bytes) -> None:
        if (call := self.calls.pop(run_id, None)) is not None:
            call[1](run_id, outcome, result)
        elif self.runs.pop(run_id, None) is not None:
            self.events.run_finished(run_id, outcome, seconds, result)
