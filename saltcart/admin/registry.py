"""The current tenants and upstreams: every change is checked as a whole before it is applied."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import replace
from pathlib import Path
from typing import TypeVar

from saltcart.admin.saved_state import State, combine, find_differences, load_state, save_state
from saltcart.config import ConfigError
from saltcart.core.ports import Log
from saltcart.core.service import Service
from saltcart.decision.settings import TenantSpec
from saltcart.deployment import (
    Deployment,
    TenantConf,
    UpstreamConf,
    check_upstreams_and_tenants,
)
from saltcart.field_reader import InvalidFieldError
from saltcart.net.upstreams import Upstreams

Named = TypeVar("Named", TenantConf, UpstreamConf)


def tenant_specs(tenants: Iterable[TenantConf]) -> tuple[TenantSpec, ...]:
    """Convert tenants to the decision module's type."""
    return tuple(TenantSpec(tenant.name, tenant.quota, tenant.share) for tenant in tenants)


class Registry:
    """Owns the tenants and upstreams.

    Attributes:
        tenants: The current tenants by name.
        upstreams: The current upstreams by name.  The first one is the default: it runs the requests of the
            tenants that name none, and stays the first one when it is replaced.
        on_tenant_removed: Called with the name of each tenant that has been removed.
    """

    def __init__(
        self,
        deployment: Deployment,
        service: Service,
        live_upstreams: Upstreams | None,
        state_file: Path | None,
        log: Log = lambda event, **fields: None,
    ) -> None:
        """Start with the deployment's tenants and upstreams, or with the saved ones.

        Args:
            deployment: The deployment file's settings.
            service: Receives the tenants after each change.
            live_upstreams: The connections to upstreams, updated on each change; ``None`` with a worker pool.
            state_file: File that keeps changes over a restart; ``None`` to keep them in memory only.
            log: Receives an event for each field in which that file differs from the deployment file.

        Raises:
            ConfigError: If the file exists and can't be read or its content is invalid.
        """
        self.service, self.live_upstreams, self.state_file = service, live_upstreams, state_file
        tenants = deployment.tenants or tuple(
            TenantConf(spec.name, spec.share, spec.quota) for spec in service.settings.tenants
        )
        self.log = log
        self.deployed = State(tenants, deployment.upstreams)
        self.tenants = {tenant.name: tenant for tenant in tenants}
        self.upstreams = {upstream.name: upstream for upstream in deployment.upstreams}
        self.on_tenant_removed: Callable[[str], None] = lambda tenant: None
        plans = deployment.plans
        # Upstreams with zone-aware routing or subsetting: all instances agree on their members at the start.
        self.fixed_upstreams = {
            settings.upstream for settings in (deployment.locality, deployment.fleet) if settings is not None
        }
        # Upstreams that plans use: they must not be removed.
        dependencies = () if plans is None else plans.dependency
        self.plan_upstreams = {
            dependency.upstream for dependency in dependencies if dependency.upstream is not None
        }
        self.restore()

    def restore(self) -> None:
        """Read the saved tenants and upstreams, if there are any; another process may have changed them.

        Raises:
            ConfigError: If the file exists and can't be read or its content is invalid.
        """
        path = self.state_file
        if path is None or not path.exists():
            return
        saved = load_state(path)
        used = combine(saved, self.deployed, self.fixed_upstreams, self.plan_upstreams)
        try:
            self._apply([*used.tenants], [*used.upstreams])
        except InvalidFieldError as error:
            raise ConfigError(f"{path}: {error}") from None
        for difference in find_differences(saved, self.deployed, used):
            self.log(
                f"state-{difference.in_force}",
                field=difference.field,
                saved=difference.saved,
                deployed=difference.deployed,
            )

    def put_tenant(self, tenant: TenantConf) -> None:
        """Add a tenant, or replace the one with its name.

        Raises:
            InvalidFieldError: If the change is invalid; then nothing is changed.
        """
        tenants = {**self.tenants, tenant.name: tenant}
        self._change([*tenants.values()], [*self.upstreams.values()])

    def remove_tenant(self, name: str) -> None:
        """Remove a tenant."""
        self._change(self._others(self.tenants, name), [*self.upstreams.values()])

    def put_upstream(self, upstream: UpstreamConf) -> None:
        """Add an upstream, or replace the one with its name.

        Raises:
            InvalidFieldError: If the change is invalid; then nothing is changed.
        """
        upstreams = {**self.upstreams, upstream.name: upstream}
        self._change([*self.tenants.values()], [*upstreams.values()])

    def remove_upstream(self, name: str) -> None:
        """Remove an upstream.

        Raises:
            InvalidFieldError: If it is still needed; then nothing is changed.
        """
        self._change([*self.tenants.values()], self._others(self.upstreams, name))

    @property
    def default_upstream(self) -> str | None:
        """The name of the upstream of the tenants that name none."""
        return next(iter(self.upstreams), None)

    def tenants_of(self, upstream: str) -> list[str]:
        """Return the names of the tenants whose requests an upstream runs."""
        return [
            tenant.name
            for tenant in self.tenants.values()
            if (tenant.upstream or self.default_upstream) == upstream
        ]

    def set_shares(self, shares: dict[str, float]) -> None:
        """Change several tenants' shares at once, as their sum must never exceed 1.

        Args:
            shares: The new shares by tenant; tenants not named here keep theirs.

        Raises:
            InvalidFieldError: If the sum of all shares exceeds 1; then nothing is changed.
        """
        self._change(
            [
                replace(tenant, share=shares.get(tenant.name, tenant.share))
                for tenant in self.tenants.values()
            ],
            [*self.upstreams.values()],
        )

    @staticmethod
    def _others(known: dict[str, Named], name: str) -> list[Named]:
        return [item for item in known.values() if item.name != name]

    def _change(self, tenants: list[TenantConf], upstreams: list[UpstreamConf]) -> None:
        self._apply(tenants, upstreams)
        if self.state_file is not None:
            state = State((*self.tenants.values(),), (*self.upstreams.values(),))
            save_state(self.state_file, state)

    def _apply(self, tenants: list[TenantConf], upstreams: list[UpstreamConf]) -> None:
        # All checks come first, so that an invalid change leaves everything as it was.
        if missing := self.plan_upstreams - {upstream.name for upstream in upstreams}:
            raise InvalidFieldError(f"upstream {min(missing)}: plans need it")
        for name in self.fixed_upstreams & self.upstreams.keys():
            if self.upstreams[name] not in upstreams:
                raise InvalidFieldError(
                    f"upstream {name}: can't be changed: instances agree on its members at their start"
                )
        check_upstreams_and_tenants(tuple(upstreams), tuple(tenants))
        previous, self.upstreams = self.upstreams, {upstream.name: upstream for upstream in upstreams}
        removed, self.tenants = (
            self.tenants.keys() - {tenant.name for tenant in tenants},
            {tenant.name: tenant for tenant in tenants},
        )
        if self.live_upstreams is not None:
            for upstream in upstreams:
                if previous.get(upstream.name) != upstream:
                    self.live_upstreams.set_upstream(upstream)
            for name in previous.keys() - self.upstreams.keys():
                self.live_upstreams.remove_upstream(name)
            self.live_upstreams.default_name = self.default_upstream
            for tenant in tenants:
                self.live_upstreams.assign_tenant(tenant.name, tenant.upstream)
            for name in removed:
                self.live_upstreams.assign_tenant(name, None)
                self.on_tenant_removed(name)
        self.service.set_tenants(tenant_specs(tenants))
