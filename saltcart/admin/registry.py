"""The tenants and upstreams in force: changed here, checked as a whole, then applied."""

from __future__ import annotations

import os
from collections.abc import Callable, Iterable
from dataclasses import asdict, replace
from pathlib import Path
from typing import Any, TypeVar

import orjson

from saltcart.config import ConfigError
from saltcart.core.service import Service
from saltcart.decision.settings import TenantSpec
from saltcart.deployment import (
    Deployment,
    TenantConf,
    UpstreamConf,
    check_upstreams_and_tenants,
    read_tenant,
    read_upstream,
)
from saltcart.field_reader import InvalidFieldError
from saltcart.net.upstreams import Upstreams

Named = TypeVar("Named", TenantConf, UpstreamConf)


def tenant_specs(tenants: Iterable[TenantConf]) -> tuple[TenantSpec, ...]:
    """The tenants in the module's words."""
    return tuple(TenantSpec(t.name, t.quota, t.share) for t in tenants)


class Registry:
    """Owns the tenants and upstreams; with ``path`` changes outlive the process."""

    def __init__(
        self, deployment: Deployment, service: Service, runs: Upstreams | None, path: Path | None
    ) -> None:
        self.service, self.live_upstreams, self.path = service, runs, path
        tenants = deployment.tenants or tuple(
            TenantConf(t.name, t.share, t.quota) for t in service.settings.tenants
        )
        self.tenants = {t.name: t for t in tenants}
        self.upstreams = {u.name: u for u in deployment.upstreams}
        self.on_tenant_removed: Callable[[str], None] = lambda tenant: None  # told of a tenant that is gone
        plans = deployment.plans
        # An upstream whose work is spread over zones: those are agreed on by all instances, from the start.
        self.fixed_upstreams = {t.upstream for t in (deployment.locality, deployment.fleet) if t is not None}
        self.plan_upstreams = (
            set() if plans is None else {d.upstream for d in plans.dependency}
        )  # not to be removed
        if path is not None and path.exists():
            self._restore(path)

    def _restore(self, path: Path) -> None:
        try:
            raw = orjson.loads(path.read_bytes())
            tenants = [read_tenant(t, f"tenant[{n}]") for n, t in enumerate(raw["tenants"])]
            upstreams = [read_upstream(u, f"upstream[{n}]") for n, u in enumerate(raw["upstreams"])]
            self._change(tenants, upstreams)
        except (OSError, ValueError, KeyError, TypeError, InvalidFieldError) as error:
            raise ConfigError(f"{path}: {error}") from None

    def put_tenant(self, tenant: TenantConf) -> None:
        self._change([*self._others(self.tenants, tenant.name), tenant], [*self.upstreams.values()])

    def remove_tenant(self, name: str) -> None:
        self._change(self._others(self.tenants, name), [*self.upstreams.values()])

    def put_upstream(self, upstream: UpstreamConf) -> None:
        self._change([*self.tenants.values()], [*self._others(self.upstreams, upstream.name), upstream])

    def remove_upstream(self, name: str) -> None:
        self._change([*self.tenants.values()], self._others(self.upstreams, name))

    def set_shares(self, shares: dict[str, float]) -> None:
        """Several shares at once, as they must add up to no more than 1 at every moment."""
        self._change(
            [replace(t, share=shares.get(t.name, t.share)) for t in self.tenants.values()],
            [*self.upstreams.values()],
        )

    @staticmethod
    def _others(known: dict[str, Named], name: str) -> list[Named]:
        return [x for x in known.values() if x.name != name]

    def _change(self, tenants: list[TenantConf], upstreams: list[UpstreamConf]) -> None:
        if gone := self.plan_upstreams - {None} - {u.name for u in upstreams}:
            raise InvalidFieldError(f"upstream {min(map(str, gone))}: plans need it")
        for name in self.fixed_upstreams & self.upstreams.keys():
            if self.upstreams[name] not in upstreams:
                raise InvalidFieldError(
                    f"upstream {name}: all instances agree on its members, from their start"
                )
        check_upstreams_and_tenants(
            tuple(upstreams), tuple(tenants)
        )  # a change that can't stand leaves all as it was
        before, self.upstreams = self.upstreams, {u.name: u for u in upstreams}
        left, self.tenants = self.tenants.keys() - {t.name for t in tenants}, {t.name: t for t in tenants}
        if self.live_upstreams is not None:
            for upstream in upstreams:
                if before.get(upstream.name) != upstream:
                    self.live_upstreams.put(upstream)
            for name in before.keys() - self.upstreams.keys():
                self.live_upstreams.remove(name)
            for tenant in tenants:
                self.live_upstreams.assign(tenant.name, tenant.upstream)
            for name in left:
                self.live_upstreams.assign(name, None)
                self.on_tenant_removed(name)
        self.service.set_tenants(tenant_specs(tenants))
        if self.path is not None:
            self._save(self.path)

    def _save(self, path: Path) -> None:
        state: dict[str, Any] = {
            "tenants": [asdict(t) for t in self.tenants.values()],
            "upstreams": [asdict(u) for u in self.upstreams.values()],
        }
        draft = path.with_name(path.name + ".new")
        with open(os.open(draft, os.O_WRONLY | os.O_CREAT | os.O_TRUNC, 0o600), "wb") as file:  # has secrets
            file.write(orjson.dumps(state, option=orjson.OPT_INDENT_2))
        os.replace(draft, path)
