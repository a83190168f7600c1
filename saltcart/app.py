"""Puts the parts together: one core, its fronts, and what stands behind its ports."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import replace
from pathlib import Path
from typing import TYPE_CHECKING

from saltcart.admin.api import Api
from saltcart.admin.registry import Registry, specs
from saltcart.admin.server import AdminConnection
from saltcart.config import Config, ConfigError
from saltcart.core.draining import STOP_MARGIN_SECONDS
from saltcart.core.ports import Log, WorkerPool
from saltcart.core.service import Service
from saltcart.decision.settings import Settings
from saltcart.deployment import Deployment
from saltcart.field_reader import InvalidFieldError
from saltcart.front.ajp import AjpConnection
from saltcart.front.control import MAX_CONNECTIONS as CONTROL_CONNECTIONS
from saltcart.front.control import ControlConnection
from saltcart.front.http import HttpConnection
from saltcart.net.announcer import Announcer
from saltcart.net.clock import Clock, Ticker
from saltcart.net.index import IndexClient
from saltcart.net.listener import Listener
from saltcart.net.pool import PoolLink
from saltcart.net.upstreams import Upstreams
from saltcart.takeover import Takeover

if TYPE_CHECKING:
    from saltcart.composition.plan import CompositionSpec
    from saltcart.membership.settings import MemberSettings
    from saltcart.net.composer import Composer
    from saltcart.net.locality_driver import LocalityDriver
    from saltcart.net.membership_driver import MembershipDriver
    from saltcart.net.subset_driver import SubsetDriver
    from saltcart.retry_storm.controller import RetryStormController
    from saltcart.retry_storm.settings import StormSettings

KEYS_SHARE = 0.25  # of the memory that keys with their results may take
ADMIN_IDLE, ADMIN_CONNECTIONS = 30.0, 16
# Descriptors for the pool, announce service, listeners, logs, the loop, and closes under way; and for a new
# process that starts beside this one, before it takes over.
RESERVE, BESIDE = 56, 24
CALLS = 64  # connections to the index, at most and as far as a sixth of the descriptors goes
# Where there are few descriptors, less is kept of them: balancers may hold half.
RESERVE_PART, LEAST_RESERVE, SIDE_PART = 5, 16, 16


def check_plans(plans: CompositionSpec, conf: Config) -> None:
    """What has to hold of plans and the platform's object together; ``ConfigError`` says what does not."""
    from saltcart.composition.plan import check_classes

    if conf.pool is not None:
        raise ConfigError("plan: the worker pool does the work here, plans are for where there is none")
    try:
        check_classes(plans, conf.settings.classes)
    except InvalidFieldError as error:
        raise ConfigError(str(error)) from None


class App:
    """Owns the listeners, links and tasks; ``close`` gives all of them back."""

    def __init__(self, conf: Config, deployment: Deployment, log: Log, clock: Clock | None = None) -> None:
        self.conf, self.deployment, self.log = conf, deployment, log
        if deployment.plans is not None:
            check_plans(deployment.plans, conf)
        settings = conf.settings
        hosted = bool(deployment.tenants or deployment.admin)
        if deployment.tenants:
            settings = replace(settings, tenants=specs(deployment.tenants))
        if hosted:  # no tenant spends another's share: what is past its quota is worth nothing
            settings = replace(settings, over_quota_weight_share=0.0)
        key_room = int(conf.memory_mb * KEYS_SHARE * 1024 * 1024)
        clock = clock or Clock()
        self.service = Service(
            settings,
            conf.gauges,
            conf.seed,
            clock,
            log,
            max_key_bytes=key_room,
            seconds_ahead=clock.seconds_ahead,
        )
        self.service.intake.requires_tenant = hosted
        self.listeners: list[Listener] = []
        self.fronts: dict[str, Listener] = {}  # those of the clients
        self.takeover: Takeover | None = None
        self.takeover_task: asyncio.Task[None] | None = None
        self.addresses: dict[str, str] = {}
        self.announcer: Announcer | None = None
        self.index: IndexClient | None = None
        self.pool: PoolLink | None = None
        self.upstreams: Upstreams | None = None
        self.composer: Composer | None = None
        self.storm_controller: RetryStormController | None = None
        self.gossip: MembershipDriver | None = None
        self.locality: LocalityDriver | None = None
        self.subsets: SubsetDriver | None = None
        self.runs: WorkerPool | None = None  # set before the start: in the place of a pool or upstreams
        self.ticker: Ticker | None = None

    async def start(self) -> None:
        conf, service, loop = self.conf, self.service, asyncio.get_running_loop()
        calls, side = max(4, min(CALLS, conf.sockets // 6)), conf.sockets // SIDE_PART
        operators, administration = min(CONTROL_CONNECTIONS, side), min(ADMIN_CONNECTIONS, side)
        most = conf.sockets - calls - min(RESERVE, max(LEAST_RESERVE, conf.sockets // RESERVE_PART))
        if self.deployment.admin is not None:
            most -= administration
        if conf.listen_fd is not None:
            most -= min(BESIDE, side)
        if conf.control:
            most -= operators
        if self.deployment.storm is not None:
            self._watch_storms(self.deployment.storm)
        if conf.announce:
            service.ports.registration = self.announcer = Announcer(conf.announce, conf.name, self.log)
            self.announcer.start()
        if conf.index:
            service.ports.dependency_calls = self.index = IndexClient(conf.index, service, self.log, calls)
        if self.runs is not None:
            service.ports.workers = self.runs
            service.pool_started(False, 0.0)
        elif conf.pool:
            service.ports.workers = self.pool = PoolLink(conf.pool, service, self.log)
            self.pool.start()
        else:
            self.upstreams = Upstreams(self.deployment, service, self.log, service.settings.cores)
            service.ports.workers = self.upstreams
            if self.deployment.plans is not None:
                self._compose(self.deployment.plans, self.upstreams)
            service.pool_started(False, 0.0)
        self.ticker = Ticker(service, loop)
        if conf.listen_fd is not None and conf.shared_folder is not None:
            self.takeover = Takeover(
                Path(conf.shared_folder),
                conf.name,
                service,
                self.log,
                self.fronts,
                lambda: self._open_fronts(most),
                self.announcer,
                self.index,
            )
            self.takeover_task = loop.create_task(self.takeover.start_serving())
        else:
            await self._open_fronts(most)
        if conf.control:
            await self._listen(
                "control",
                Listener(
                    conf.control,
                    lambda owner: ControlConnection(owner, service, self.ready),
                    lambda: ADMIN_IDLE,
                    operators,
                ),
            )
        if self.deployment.member is not None:
            await self._join(self.deployment.member)
        if (admin := self.deployment.admin) is not None:
            registry = Registry(
                self.deployment, service, self.upstreams, Path(admin.state) if admin.state else None
            )
            if self.composer is not None:
                registry.forget = self.composer.engine.stale_cache.remove_tenant
            api = Api(
                service,
                registry,
                admin.token,
                self.composer,
                lambda: self.storm_controller,
                self.gossip,
                self.locality,
                self.subsets,
            )
            await self._listen(
                "admin",
                Listener(
                    admin.listen,
                    lambda owner: AdminConnection(owner, api),
                    lambda: ADMIN_IDLE,
                    administration,
                    reuse_port=self.takeover is not None,
                ),
            )

    def _watch_storms(self, conf: StormSettings) -> None:
        """Tries that come again are told from new work, and who is refused is told when to come back."""
        from saltcart.retry_storm.controller import RetryStormController

        service = self.service

        def make(settings: Settings, started: float) -> RetryStormController:
            damper = RetryStormController(conf, settings, self.conf.seed, service.clock.now, started)
            service.metric_sources.append(lambda: damper.figures(service.clock.read_seconds()))
            self.storm_controller = damper
            return damper

        service.make_storm_control = make

    async def _join(self, conf: MemberSettings) -> None:
        """Keep a view of the fleet together with its other processes."""
        from saltcart.net.membership_driver import MembershipDriver

        self.gossip = MembershipDriver(conf, self.conf.name, self.conf.seed, self.log)
        self.addresses["member"] = await self.gossip.open()
        self.service.metric_sources.append(self.gossip.figures)
        self.log("listening", name=self.conf.name, front="member", address=self.addresses["member"])
        locality, fleet, upstreams = self.deployment.locality, self.deployment.fleet, self.upstreams
        if upstreams is None:
            return
        known, seed = {u.name: u for u in self.deployment.upstreams}, self.conf.seed
        if locality is not None:
            from saltcart.net.locality_driver import LocalityDriver

            self.locality = LocalityDriver(
                locality,
                known[locality.upstream],
                self.gossip,
                upstreams.by_name[locality.upstream],
                seed + 1,
                self.log,
                {c.name: c.priority_weight for c in self.service.settings.classes},
            )
            self.service.metric_sources.append(self.locality.router.figures)
        if fleet is not None:
            from saltcart.net.subset_driver import SubsetDriver

            self.subsets = SubsetDriver(
                fleet,
                known[fleet.upstream],
                self.gossip,
                upstreams.by_name[fleet.upstream],
                seed + 2,
                self.log,
            )
            self.service.metric_sources.append(self.subsets.balancer.figures)

    def _compose(self, plans: CompositionSpec, upstreams: Upstreams) -> None:
        """Answers of the plans' classes are made of several dependencies' replies."""
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
        service.metric_sources.append(self.composer.figures)

    async def _open_fronts(self, most: int) -> None:
        """Where clients connect; ``most`` connections in all."""
        service, shared = self.service, self.takeover is not None
        ajp_most = most // 3 if self.deployment.ajp is not None else 0
        http = Listener(
            self.conf.listen,
            lambda owner: HttpConnection(owner, service),
            lambda: service.idle_timeout,
            most - ajp_most,
            self.conf.listen_fd,
        )
        await self._listen("http", http)
        if (ajp := self.deployment.ajp) is not None:
            secret = ajp.secret.encode()
            front = Listener(
                ajp.listen,
                lambda owner: AjpConnection(owner, service, secret),
                lambda: service.idle_timeout,
                ajp_most,
                reuse_port=shared,
            )
            await self._listen("ajp", front)
            self.fronts["ajp"] = front
        self.fronts["http"] = http

    async def _listen(self, name: str, listener: Listener) -> None:
        self.addresses[name] = await listener.open()
        self.listeners.append(listener)
        self.log("listening", name=self.conf.name, front=name, address=self.addresses[name])

    def ready(self) -> bool:
        """Whether this process can serve."""
        return self.service.controller is not None and bool(self.fronts)

    def leave(self, done: Callable[[], None] = lambda: None, ago: float = 0.0) -> None:
        """The notice to drain, which came ``ago`` seconds ago.

        The listeners stay open, for what reaches them is still answered.

        To a process that has handed over it only tells that it is stopped soon; ``done`` is told when it has
        nothing left to do.
        """
        if self.gossip is not None:
            self.gossip.leave()
        within = max(0.0, self.conf.stop_after - ago)
        if self.composer is not None:
            self.composer.shorten_deadlines(within - STOP_MARGIN_SECONDS)
        if self.takeover is None or not self.takeover.retire(within, done):
            self.service.start_drain(within, ago)

    def reload(self, conf: Config) -> None:
        """Move to the addresses of a new configuration; requests, runs and notice numbers go on.

        What else differs needs a restart.  Checked as a whole first: what can't be followed changes nothing.
        """
        parts = (
            ("pool", self.pool, conf.pool),
            ("index", self.index, conf.index),
            ("announce", self.announcer, conf.announce),
        )
        for name, part, peer in parts:
            if (part is None) != (peer is None):
                raise ConfigError(f"config: field {name} can't come or go while the program runs")
        for _, part, peer in parts:
            if part is not None and peer is not None:
                part.change_address(peer)
        self.log("reloaded", pool=conf.pool, index=conf.index, announce=conf.announce)

    async def close(self) -> None:
        if self.takeover_task is not None:
            self.takeover_task.cancel()
        if self.takeover is not None:
            self.takeover.close()
        for listener in self.listeners:
            listener.close()
        for part in (self.locality, self.subsets, self.pool, self.index, self.announcer, self.gossip):
            if part is not None:
                part.close()
        if self.composer is not None:
            self.composer.close()
        if self.upstreams is not None:
            self.upstreams.close()
        if self.ticker is not None:
            self.ticker.close()
