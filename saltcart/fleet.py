"""What a process does as a member of a fleet: membership, and the routing that needs it."""

from __future__ import annotations

import asyncio
import errno
from collections.abc import Callable
from typing import TYPE_CHECKING

from saltcart.core.ports import Log
from saltcart.core.service import Service
from saltcart.deployment import Deployment, UpstreamConf
from saltcart.membership.settings import MemberSettings
from saltcart.net.membership_driver import MembershipDriver
from saltcart.net.upstreams import Upstreams

if TYPE_CHECKING:
    from saltcart.net.locality_driver import LocalityDriver
    from saltcart.net.subset_driver import SubsetDriver

JOIN_RETRY_SECONDS = 0.2  # between attempts to bind the address while the predecessor still has it


class Fleet:
    """Owns the membership of a process and the drivers that route by it; ``close`` releases them.

    Attributes:
        membership: The view of the fleet, or None until this process has joined.
        locality: The zone-aware routing, if it is configured.
        subsets: The subsetting of an upstream's members, if it is configured.
        address: The address of the membership's socket, once this process has joined.
    """

    def __init__(
        self,
        settings: MemberSettings,
        deployment: Deployment,
        name: str,
        seed: int,
        service: Service,
        upstreams: Upstreams | None,
        log: Log,
    ) -> None:
        self.settings = settings
        self.deployment = deployment
        self.name = name
        self.seed = seed
        self.service = service
        self.upstreams = upstreams
        self.log = log
        self.membership: MembershipDriver | None = None
        self.locality: LocalityDriver | None = None
        self.subsets: SubsetDriver | None = None
        self.address = ""
        self.join_task: asyncio.Task[None] | None = None

    async def open(self, *, has_predecessor: Callable[[], bool]) -> None:
        """Join the fleet, or begin to wait for that while a predecessor still has the address.

        Args:
            has_predecessor: Returns whether the address may be that of a predecessor.

        Raises:
            OSError: The address can't be bound, and no predecessor has it.
        """
        try:
            await self._join()
        except OSError as error:
            if error.errno != errno.EADDRINUSE or not has_predecessor():
                raise
            self.log("member-waiting", address=self.settings.listen)
            self.join_task = asyncio.get_running_loop().create_task(self._join_later())

    async def _join_later(self) -> None:
        while self.membership is None:
            await asyncio.sleep(JOIN_RETRY_SECONDS)
            try:
                await self._join()
            except OSError as error:
                if error.errno != errno.EADDRINUSE:
                    self.log("member-closed", error=str(error))
                    return

    async def _join(self) -> None:
        """Join the fleet, and start the routing that needs it; raise ``OSError`` if the address is in use."""
        membership = MembershipDriver(self.settings, self.name, self.seed, self.log)
        self.address = await membership.open()
        self.membership = membership
        self.service.metric_sources.append(membership.metrics)
        self.log("listening", name=self.name, front="member", address=self.address)
        if self.upstreams is not None:
            self._start_routing(membership, self.upstreams)

    def _start_routing(self, membership: MembershipDriver, upstreams: Upstreams) -> None:
        configured = {item.name: item for item in self.deployment.upstreams}
        if self.deployment.locality is not None:
            self._start_locality(membership, upstreams, configured)
        if self.deployment.fleet is not None:
            self._start_subsets(membership, upstreams, configured)

    def _start_locality(
        self, membership: MembershipDriver, upstreams: Upstreams, configured: dict[str, UpstreamConf]
    ) -> None:
        from saltcart.net.locality_driver import LocalityDriver

        settings = self.deployment.locality
        assert settings is not None
        self.locality = LocalityDriver(
            settings,
            configured[settings.upstream],
            membership,
            upstreams.by_name[settings.upstream],
            self.seed + 1,
            self.log,
            {spec.name: spec.priority_weight for spec in self.service.settings.classes},
        )
        self.service.metric_sources.append(self.locality.router.metrics)

    def _start_subsets(
        self, membership: MembershipDriver, upstreams: Upstreams, configured: dict[str, UpstreamConf]
    ) -> None:
        from saltcart.net.subset_driver import SubsetDriver

        settings = self.deployment.fleet
        assert settings is not None
        self.subsets = SubsetDriver(
            settings,
            configured[settings.upstream],
            membership,
            upstreams.by_name[settings.upstream],
            self.seed + 2,
            self.log,
        )
        self.service.metric_sources.append(self.subsets.balancer.metrics)

    def leave(self) -> None:
        """Report to the fleet that this process is about to end."""
        if self.membership is not None:
            self.membership.leave()

    def close(self) -> None:
        """Leave the address to others, and stop the routing."""
        if self.join_task is not None:
            self.join_task.cancel()
        for driver in (self.locality, self.subsets, self.membership):
            if driver is not None:
                driver.close()
