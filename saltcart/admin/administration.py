"""The administration of one process: its registry, the API and the listener, also through takeovers."""

from __future__ import annotations

from collections.abc import Callable
from pathlib import Path
from typing import TYPE_CHECKING

from saltcart.admin.api import AdminApi
from saltcart.admin.registry import Registry
from saltcart.admin.server import AdminConnection
from saltcart.config import ConfigError
from saltcart.core.ports import Log
from saltcart.core.service import Service
from saltcart.deployment import AdminSettings, Deployment
from saltcart.net.listener import Listener
from saltcart.net.upstreams import Upstreams

if TYPE_CHECKING:
    from saltcart.fleet import Fleet
    from saltcart.net.composer import Composer
    from saltcart.retry_storm.controller import RetryStormController

IDLE_TIMEOUT_SECONDS = 30.0  # of a connection


class Administration:
    """Owns the registry and the listener of the API.

    Only the process that serves takes changes: one that has handed over would confirm changes that its
    successor never learns of.
    """

    def __init__(
        self,
        settings: AdminSettings,
        deployment: Deployment,
        service: Service,
        upstreams: Upstreams | None,
        composer: Composer | None,
        storm_control: Callable[[], RetryStormController | None],
        fleet: Fleet | None,
        log: Log,
    ) -> None:
        """Read the saved changes; raise ``ConfigError`` if their file is invalid."""
        self.settings = settings
        self.log = log
        state_file = Path(settings.state_file) if settings.state_file else None
        self.registry = Registry(deployment, service, upstreams, state_file, log)
        if composer is not None:
            self.registry.on_tenant_removed = composer.engine.stale_cache.remove_tenant
        self.api = AdminApi(service, self.registry, settings.token, composer, storm_control, fleet)
        self.listener: Listener | None = None

    async def open(self, max_connections: int, *, reuse_port: bool) -> str:
        """Listen for calls.

        Args:
            max_connections: Limit of the open connections.
            reuse_port: Whether another process of this instance may listen at the same time.

        Returns:
            The address that the socket listens on.

        Raises:
            OSError: The address can't be listened on.
        """
        self.listener = Listener(
            self.settings.listen,
            lambda owner: AdminConnection(owner, self.api),
            lambda: IDLE_TIMEOUT_SECONDS,
            max_connections,
            reuse_port=reuse_port,
        )
        return await self.listener.open()

    def restore(self) -> None:
        """Read the changes that another process has saved; a file that can't be read changes nothing."""
        try:
            self.registry.restore()
        except ConfigError as error:
            self.log("admin-state-unread", error=str(error))

    def suspend(self) -> None:
        """Take no more calls, because the successor takes them."""
        if self.listener is not None:
            self.listener.close()

    async def resume(self) -> None:
        """Take calls again, after the changes that the successor has saved."""
        if self.listener is None:
            return
        self.restore()
        try:
            await self.listener.open()
        except OSError as error:
            self.log("admin-closed", error=str(error))

    def close(self) -> None:
        """Close the listener and its connections."""
        self.suspend()
