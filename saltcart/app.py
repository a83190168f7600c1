"""Assembly of the service: the core, its fronts, and the adapters behind its ports."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable
from dataclasses import replace
from pathlib import Path
from typing import TYPE_CHECKING

from saltcart.admin.administration import Administration
from saltcart.admin.registry import tenant_specs
from saltcart.config import Config, ConfigError
from saltcart.core.draining import STOP_MARGIN_SECONDS
from saltcart.core.ports import Log, WorkerPool
from saltcart.core.service import Service
from saltcart.decision.settings import Settings
from saltcart.deployment import AdminSettings, Deployment
from saltcart.descriptors import ConnectionLimits, allocate_connections
from saltcart.field_reader import InvalidFieldError
from saltcart.front.ajp import AjpConnection
from saltcart.front.control import ControlConnection
from saltcart.front.http import HttpConnection
from saltcart.memory_limits import MemoryLimits, allocate_memory
from saltcart.net.announcer import Announcer
from saltcart.net.clock import Clock, Ticker
from saltcart.net.index import IndexClient
from saltcart.net.listener import Listener
from saltcart.net.pool import PoolLink
from saltcart.net.receive_memory import ReceiveMemory
from saltcart.net.upstreams import Upstreams
from saltcart.takeover import Takeover

if TYPE_CHECKING:
    from saltcart.composition.plan import CompositionSpec
    from saltcart.fleet import Fleet
    from saltcart.membership.settings import MemberSettings
    from saltcart.net.composer import Composer
    from saltcart.retry_storm.controller import RetryStormController
    from saltcart.retry_storm.settings import StormSettings

OPERATOR_IDLE_SECONDS = 30.0
AJP_DIVISOR = 3  # the AJP front may have the limit of client connections divided by this


def check_plans(plans: CompositionSpec, conf: Config) -> None:
    """Check the plans of composed responses against the platform's configuration.

    Raises:
        ConfigError: If there is a worker pool, or plans and classes don't fit together.
    """
    from saltcart.composition.plan import check_classes

    if conf.pool is not None:
        raise ConfigError("plan: plans can't be used with a worker pool, which runs all requests itself")
    try:
        check_classes(plans, conf.settings.classes)
    except InvalidFieldError as error:
        raise ConfigError(str(error)) from None


class App:
    """Owns the listeners, connections and tasks; ``close`` releases all of them.

    Attributes:
        fronts: The listeners for clients, by front; empty until this process may serve.
        addresses: The address of each listener, by front.
        worker_pool_override: If set before the start, used in place of a pool or upstreams.
    """

    def __init__(self, conf: Config, deployment: Deployment, log: Log, clock: Clock | None = None) -> None:
        """Create the core; raise ``ConfigError`` if the configuration and the deployment conflict."""
        self.conf, self.deployment, self.log = conf, deployment, log
        if deployment.plans is not None:
            check_plans(deployment.plans, conf)
        memory_limits = allocate_memory(conf.memory_mb)
        self.service = self._make_service(clock or Clock(), memory_limits)
        self.receive_memory = ReceiveMemory(memory_limits.receive_bytes, log, time.monotonic)
        self.listeners: list[Listener] = []
        self.fronts: dict[str, Listener] = {}
        self.takeover: Takeover | None = None
        self.takeover_task: asyncio.Task[None] | None = None
        self.addresses: dict[str, str] = {}
        self.announcer: Announcer | None = None
        self.index: IndexClient | None = None
        self.pool: PoolLink | None = None
        self.upstreams: Upstreams | None = None
        self.composer: Composer | None = None
        self.storm_controller: RetryStormController | None = None
        self.fleet: Fleet | None = None
        self.administration: Administration | None = None
        self.worker_pool_override: WorkerPool | None = None
        self.ticker: Ticker | None = None

    def _make_service(self, clock: Clock, memory_limits: MemoryLimits) -> Service:
        """Return the core, with the tenants of the deployment."""
        conf = self.conf
        settings = conf.settings
        tenants = self.deployment.tenants
        requires_tenant = bool(tenants or self.deployment.admin)
        if tenants:
            settings = replace(settings, tenants=tenant_specs(tenants))
        if requires_tenant:  # no weight over quota, so that no tenant uses another's share
            settings = replace(settings, over_quota_weight_share=0.0)
        service = Service(
            settings,
            conf.gauges,
            conf.seed,
            clock,
            self.log,
            max_key_bytes=memory_limits.key_bytes,
            max_run_ids=memory_limits.run_ids,
            seconds_ahead=clock.seconds_ahead,
        )
        service.intake.requires_tenant = requires_tenant
        return service

    async def start(self) -> None:
        """Open the listeners and connections.

        If a predecessor may have to hand over first, the fronts open later, in ``takeover_task``.

        Raises:
            ConfigError: If the file of saved tenants is invalid.
            OSError: If an address can't be listened on.
        """
        limits = allocate_connections(self.conf, has_admin=self.deployment.admin is not None)
        if self.deployment.storm is not None:
            self._enable_storm_control(self.deployment.storm)
        self._connect_peers(limits.index)
        self._start_worker_pool()
        self.ticker = Ticker(self.service, asyncio.get_running_loop())
        if self.deployment.member is not None:
            self.fleet = self._make_fleet(self.deployment.member)
        if self.deployment.admin is not None:
            self.administration = self._make_administration(self.deployment.admin)
        await self._start_serving(limits)
        if self.conf.control:
            await self._open_control(self.conf.control, limits.control)
        if self.fleet is not None:
            await self.fleet.open(has_predecessor=lambda: self.takeover is not None)

    def _connect_peers(self, max_index_connections: int) -> None:
        """Connect to the announce service and the index, if they are configured."""
        conf = self.conf
        ports = self.service.ports
        if conf.announce:
            self.announcer = Announcer(conf.announce, conf.name, self.log)
            ports.registration = self.announcer
            self.announcer.start()
        if conf.index:
            self.index = IndexClient(conf.index, self.service, self.log, max_index_connections)
            ports.dependency_calls = self.index

    def _start_worker_pool(self) -> None:
        """Start what runs the requests: the platform's worker pool, or upstreams."""
        service = self.service
        if self.worker_pool_override is not None:
            service.ports.workers = self.worker_pool_override
            service.pool_started(False, 0.0)
        elif self.conf.pool:
            self.pool = PoolLink(self.conf.pool, service, self.log)
            service.ports.workers = self.pool
            self.pool.start()
        else:
            self.upstreams = Upstreams(self.deployment, service, self.log, service.settings.cores)
            service.ports.workers = self.upstreams
            if self.deployment.plans is not None:
                self._compose(self.deployment.plans, self.upstreams)
            service.pool_started(False, 0.0)

    async def _start_serving(self, limits: ConnectionLimits) -> None:
        """Open the fronts, or start to take over where a predecessor may have to hand over first."""
        conf = self.conf
        if conf.listen_fd is None or conf.shared_folder is None:
            await self._open_fronts(limits.client)
            await self._open_admin(limits.admin)
            return
        self.takeover = Takeover(
            Path(conf.shared_folder),
            conf.name,
            self.service,
            self.log,
            self.fronts,
            lambda: self._open_after_takeover(limits),
            self._suspend_admin,
            self._resume_admin,
            self.announcer,
            self.index,
        )
        self.takeover_task = asyncio.get_running_loop().create_task(self.takeover.start_serving())

    async def _open_control(self, address: str, max_connections: int) -> None:
        """Open the operators' front."""
        listener = Listener(
            address,
            lambda owner: ControlConnection(owner, self.service, self.is_ready, self.set_withdrawn),
            lambda: OPERATOR_IDLE_SECONDS,
            max_connections,
        )
        await self._listen("control", listener)

    async def _open_after_takeover(self, limits: ConnectionLimits) -> None:
        """Open the fronts and the administration API, with the changes that the predecessor has saved."""
        if self.administration is not None:
            self.administration.restore()
        await self._open_fronts(limits.client)
        try:
            await self._open_admin(limits.admin)
        except OSError as error:  # clients are served all the same
            self.log("admin-closed", error=str(error))

    async def _open_admin(self, max_connections: int) -> None:
        """Open the administration API, if it is on."""
        if self.administration is None:
            return
        reuse_port = self.takeover is not None
        address = await self.administration.open(max_connections, reuse_port=reuse_port)
        self.addresses["admin"] = address
        self.log("listening", name=self.conf.name, front="admin", address=address)

    def _suspend_admin(self) -> None:
        if self.administration is not None:
            self.administration.suspend()

    async def _resume_admin(self) -> None:
        if self.administration is not None:
            await self.administration.resume()

    def _enable_storm_control(self, conf: StormSettings) -> None:
        """Have the core create the control of retry storms once its pool is up."""
        from saltcart.retry_storm.controller import RetryStormController

        service = self.service

        def make_storm_control(settings: Settings, started_at: float) -> RetryStormController:
            """Create the controller, and publish its metrics and state."""
            controller = RetryStormController(conf, settings, self.conf.seed, service.clock.now, started_at)
            service.metric_sources.append(lambda: controller.metrics(service.clock.read_seconds()))
            self.storm_controller = controller
            return controller

        service.make_storm_control = make_storm_control

    def _make_administration(self, conf: AdminSettings) -> Administration:
        """Return the owner of the administration API; raise ``ConfigError`` if its saved state is invalid."""
        return Administration(
            conf,
            self.deployment,
            self.service,
            self.upstreams,
            self.composer,
            lambda: self.storm_controller,
            self.fleet,
            self.log,
        )

    def _make_fleet(self, conf: MemberSettings) -> Fleet:
        """Return the owner of membership and of the routing features that need it."""
        from saltcart.fleet import Fleet

        return Fleet(
            conf,
            self.deployment,
            self.conf.name,
            self.conf.seed,
            self.service,
            self.upstreams,
            self.log,
        )

    def _compose(self, plans: CompositionSpec, upstreams: Upstreams) -> None:
        """Compose the responses of the plans' classes from several dependencies' replies."""
        from saltcart.net.composer import Composer

        service = self.service
        service.ports.workers = self.composer = Composer(
            plans,
            service.settings.classes,
            upstreams,
            service,
            self.log,
            self.conf.seed,
            service.clock.read_seconds,
            service.loop.held_count,
            service.loop.usable_time,
        )
        service.composed_classes = frozenset(self.composer.engine.plans)
        service.metric_sources.append(self.composer.metrics)

    async def _open_fronts(self, max_connections: int) -> None:
        """Open the listeners for clients.

        Args:
            max_connections: Limit of the connections of all fronts together.
        """
        service, reuse_port = self.service, self.takeover is not None
        max_ajp_connections = max_connections // AJP_DIVISOR if self.deployment.ajp is not None else 0
        http = Listener(
            self.conf.listen,
            lambda owner: HttpConnection(owner, service),
            lambda: service.idle_timeout,
            max_connections - max_ajp_connections,
            self.conf.listen_fd,
            receive_memory=self.receive_memory,
        )
        await self._listen("http", http)
        if (ajp := self.deployment.ajp) is not None:
            secret = ajp.secret.encode()
            front = Listener(
                ajp.listen,
                lambda owner: AjpConnection(owner, service, secret),
                lambda: service.idle_timeout,
                max_ajp_connections,
                reuse_port=reuse_port,
                receive_memory=self.receive_memory,
            )
            await self._listen("ajp", front)
            self.fronts["ajp"] = front
        self.fronts["http"] = http

    async def _listen(self, front: str, listener: Listener) -> None:
        self.addresses[front] = await listener.open()
        self.listeners.append(listener)
        self.log("listening", name=self.conf.name, front=front, address=self.addresses[front])

    def is_ready(self) -> bool:
        """Whether this process can serve requests."""
        return self.service.controller is not None and bool(self.fronts)

    def set_withdrawn(self, is_withdrawn: bool) -> None:
        """Withdraw the instance for operators, or end that, at all of its processes.

        Raises:
            DrainNotSharedError: It holds at this process, but others could not be reached.
        """
        owner = self.service if self.takeover is None else self.takeover.operator_drain
        owner.set_withdrawn(is_withdrawn)

    def begin_drain(self, on_finished: Callable[[], None] = lambda: None, notice_age: float = 0.0) -> None:
        """Drain, before the process is stopped.

        The listeners stay open, as requests that arrive still get responses.  A process that has handed over
        to its successor doesn't drain: it ends the work that it still has.

        Args:
            on_finished: Called when a process that has handed over has no work left.
            notice_age: Seconds since the drain notice was received.
        """
        if self.fleet is not None:
            self.fleet.leave()
        seconds_left = max(0.0, self.conf.stop_timeout - notice_age)
        if self.composer is not None:
            self.composer.shorten_deadlines(seconds_left - STOP_MARGIN_SECONDS)
        if self.takeover is None or not self.takeover.retire(seconds_left, on_finished):
            self.service.start_drain(seconds_left, notice_age)

    def reload(self, conf: Config) -> None:
        """Move to the addresses of a new configuration; requests, runs and notice numbers are kept.

        Other changes need a restart.

        Args:
            conf: The new configuration.

        Raises:
            ConfigError: If a peer would be added or removed; then nothing is changed.
        """
        links = (
            ("pool", self.pool, conf.pool),
            ("index", self.index, conf.index),
            ("announce", self.announcer, conf.announce),
        )
        for name, link, peer in links:
            if (link is None) != (peer is None):
                raise ConfigError(f"config: field {name} can't be added or removed without a restart")
        for _, link, peer in links:
            if link is not None and peer is not None:
                link.change_address(peer)
        self.log("reloaded", pool=conf.pool, index=conf.index, announce=conf.announce)

    async def close(self) -> None:
        """Stop all tasks and close all listeners and connections."""
        if self.takeover_task is not None:
            self.takeover_task.cancel()
        if self.takeover is not None:
            self.takeover.close()
        for listener in self.listeners:
            listener.close()
        for link in (self.administration, self.pool, self.index, self.announcer, self.fleet):
            if link is not None:
                link.close()
        if self.composer is not None:
            self.composer.close()
        if self.upstreams is not None:
            self.upstreams.close()
        if self.ticker is not None:
            self.ticker.close()
