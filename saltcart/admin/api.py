"""The API's resources as plain functions of a request; no socket here.

GET /v1/state                           what the service is doing
GET /v1/counts                          answers by tenant, class and verdict
GET, POST /v1/tenants                   list, create
GET, PUT, PATCH, DELETE /v1/tenants/N   show, replace, change, remove
GET, PUT /v1/shares                     all shares at once
GET, POST /v1/upstreams                 list, create
GET, PUT, DELETE /v1/upstreams/N        show, replace, remove
GET /v1/dependencies                    what composed runs know of theirs
GET /v1/storm                           retries, who amplifies, what callers are told
GET /v1/members                         the fleet as this process sees it
GET /v1/locality                        zones, their trust, and where work goes
GET /v1/fleet                           this process's subset of members, and its share of their limit
"""

from __future__ import annotations

import hmac
from collections import Counter
from collections.abc import Callable, Mapping
from dataclasses import asdict
from typing import TYPE_CHECKING, Any

import orjson

from saltcart.admin.registry import Registry
from saltcart.core.service import Service
from saltcart.deployment import read_tenant, read_upstream
from saltcart.field_reader import FieldReader, InvalidFieldError

if TYPE_CHECKING:
    from saltcart.net.composer import Composer
    from saltcart.net.locality_driver import LocalityDriver
    from saltcart.net.membership_driver import MembershipDriver
    from saltcart.net.subset_driver import SubsetDriver
    from saltcart.retry_storm.controller import RetryStormController

Reply = tuple[int, Any]


class ApiError(Exception):
    """What is wrong with the request, and the status that says so."""

    def __init__(self, status: int, text: str, **headers: str) -> None:
        super().__init__(text)
        self.status, self.headers = status, headers


class AdminApi:
    def __init__(
        self,
        service: Service,
        registry: Registry,
        token: str,
        composer: Composer | None = None,
        storm_control: Callable[[], RetryStormController | None] = lambda: None,
        membership: MembershipDriver | None = None,
        locality: LocalityDriver | None = None,
        subsets: SubsetDriver | None = None,
    ) -> None:
        self.service, self.registry, self.token = service, registry, token.encode()
        self.composer, self.storm_control, self.membership = composer, storm_control, membership
        self.locality, self.subsets = locality, subsets
        self.routes: dict[str, dict[str, Callable[..., Reply]]] = {
            "state": {"GET": self.get_state},
            "counts": {"GET": self.get_counts},
            "dependencies": {"GET": self.get_dependencies},
            "storm": {"GET": self.get_storm},
            "members": {"GET": self.get_members},
            "locality": {"GET": self.get_locality},
            "fleet": {"GET": self.get_fleet},
            "shares": {"GET": self.get_shares, "PUT": self.replace_shares},
            "tenants": {"GET": self.list_tenants, "POST": self.create_tenant},
            "upstreams": {"GET": self.list_upstreams, "POST": self.create_upstream},
            "tenants/": {
                "GET": self.get_tenant,
                "PUT": self.replace_tenant,
                "PATCH": self.update_tenant,
                "DELETE": self.delete_tenant,
            },
            "upstreams/": {
                "GET": self.get_upstream,
                "PUT": self.replace_upstream,
                "DELETE": self.delete_upstream,
            },
        }

    def handle(
        self, method: str, target: str, headers: Mapping[bytes, bytes], body: bytes
    ) -> tuple[int, bytes, dict[str, str]]:
        """Status, JSON and further fields of the answer."""
        try:
            self._authorise(headers)
            status, value = self._dispatch(method, target.partition("?")[0], headers, body)
            return status, b"" if status == 204 else orjson.dumps(value), {}
        except ApiError as problem:
            return problem.status, orjson.dumps({"error": str(problem)}), problem.headers
        except InvalidFieldError as error:  # a field of the wrong kind, or a whole that can't stand
            return 422, orjson.dumps({"error": str(error)}), {}

    def _authorise(self, headers: Mapping[bytes, bytes]) -> None:
        scheme, _, token = headers.get(b"authorization", b"").partition(b" ")
        if scheme.lower() != b"bearer" or not hmac.compare_digest(token.strip(), self.token):
            raise ApiError(401, "a bearer token is needed", **{"WWW-Authenticate": "Bearer"})

    def _dispatch(self, method: str, path: str, headers: Mapping[bytes, bytes], body: bytes) -> Reply:
        if not path.startswith("/v1/"):
            raise ApiError(404, "no such resource")
        kind, slash, name = path.removeprefix("/v1/").partition("/")
        route = self.routes.get(kind + slash)
        if route is None or "/" in name or (slash and not name):
            raise ApiError(404, "no such resource")
        if method not in route:
            raise ApiError(405, f"{method} is not for this resource", Allow=", ".join(route))
        arguments: list[Any] = [name] if slash else []
        if method in ("POST", "PUT", "PATCH"):
            form = headers.get(b"content-type", b"application/json").partition(b";")[0].strip().lower()
            if form != b"application/json":
                raise ApiError(415, "the body is not application/json")
            try:
                value = orjson.loads(body)
            except orjson.JSONDecodeError as error:
                raise ApiError(400, f"the body is not JSON: {error}") from None
            if not isinstance(value, dict):
                raise ApiError(400, "the body is not an object")
            arguments.append(value)
        return route[method](*arguments)

    # ---- a look at it -------------------------------------------------------------------------

    def get_state(self) -> Reply:
        s = self.service
        return 200, {
            "healthy": s.is_healthy,
            "draining": s.drain.notified_at is not None,
            "hint": s.load_level,
            "keys": len(s.keys),
            "requests": Counter(r.phase.value for r in s.requests.values()),
            "gauges": s.loop.gauges,
            "tenants": len(self.registry.tenants),
            "upstreams": len(self.registry.upstreams),
        }

    def get_counts(self) -> Reply:
        out: dict[str, dict[str, dict[str, int]]] = {}
        for (tenant, klass, verdict), count in self.service.counts.items():
            out.setdefault(tenant, {}).setdefault(klass, {})[verdict] = count
        return 200, out

    def get_dependencies(self) -> Reply:
        return 200, {} if self.composer is None else self.composer.engine.state(
            self.service.clock.read_seconds()
        )

    def get_storm(self) -> Reply:
        storm_control = self.storm_control()
        return 200, {} if storm_control is None else storm_control.state(self.service.clock.read_seconds())

    def get_members(self) -> Reply:
        return 200, {} if self.membership is None else self.membership.state()

    def get_locality(self) -> Reply:
        return 200, {} if self.locality is None else self.locality.state()

    def get_fleet(self) -> Reply:
        return 200, {} if self.subsets is None else self.subsets.state()

    # ---- tenants and shares -------------------------------------------------------------------

    def _tenant(self, name: str) -> dict[str, Any]:
        if name not in self.registry.tenants:
            raise ApiError(404, f"no such tenant: {name}")
        return asdict(self.registry.tenants[name])

    def list_tenants(self) -> Reply:
        return 200, [asdict(t) for t in self.registry.tenants.values()]

    def get_tenant(self, name: str) -> Reply:
        return 200, self._tenant(name)

    def create_tenant(self, raw: dict[str, Any]) -> Reply:
        tenant = read_tenant(raw, "tenant")
        if tenant.name in self.registry.tenants:
            raise ApiError(409, f"this tenant is there already: {tenant.name}")
        self.registry.put_tenant(tenant)
        return 201, asdict(tenant)

    def replace_tenant(self, name: str, raw: dict[str, Any]) -> Reply:
        self._tenant(name)
        tenant = read_tenant({"name": name, **raw}, "tenant")
        if tenant.name != name:
            raise ApiError(422, "a tenant's name can't be changed")
        self.registry.put_tenant(tenant)
        return 200, asdict(tenant)

    def update_tenant(self, name: str, raw: dict[str, Any]) -> Reply:
        return self.replace_tenant(name, {**self._tenant(name), **raw})

    def delete_tenant(self, name: str) -> Reply:
        self._tenant(name)
        self.registry.remove_tenant(name)
        return 204, None

    def get_shares(self) -> Reply:
        return 200, {t.name: t.share for t in self.registry.tenants.values()}

    def replace_shares(self, raw: dict[str, Any]) -> Reply:
        for name in raw:
            self._tenant(name)
        f = FieldReader(raw, "shares")
        self.registry.set_shares({name: f.number(name, high=1) for name in raw})
        return self.get_shares()

    # ---- upstreams ----------------------------------------------------------------------------

    def _upstream(self, name: str) -> dict[str, Any]:
        if name not in self.registry.upstreams:
            raise ApiError(404, f"no such upstream: {name}")
        u, runs = self.registry.upstreams[name], self.registry.live_upstreams
        under_way = {} if runs is None else runs.open_runs(name)
        return {
            "name": u.name,
            "members": [  # secrets only go in
                {
                    "host": m.host,
                    "weight": m.weight,
                    "has_secret": bool(m.secret),
                    "open": under_way.get(m.host, 0),
                }
                for m in u.members
            ],
        }

    def list_upstreams(self) -> Reply:
        return 200, [self._upstream(name) for name in self.registry.upstreams]

    def get_upstream(self, name: str) -> Reply:
        return 200, self._upstream(name)

    def create_upstream(self, raw: dict[str, Any]) -> Reply:
        upstream = read_upstream(raw, "upstream")
        if upstream.name in self.registry.upstreams:
            raise ApiError(409, f"this upstream is there already: {upstream.name}")
        self.registry.put_upstream(upstream)
        return 201, self._upstream(upstream.name)

    def replace_upstream(self, name: str, raw: dict[str, Any]) -> Reply:
        self._upstream(name)
        upstream = read_upstream({"name": name, **raw}, "upstream")
        if upstream.name != name:
            raise ApiError(422, "an upstream's name can't be changed")
        self.registry.put_upstream(upstream)
        return 200, self._upstream(name)

    def delete_upstream(self, name: str) -> Reply:
        self._upstream(name)
        users = [t.name for t in self.registry.tenants.values() if t.upstream == name]
        if users:
            raise ApiError(409, f"this upstream is in use by {', '.join(users)}")
        self.registry.remove_upstream(name)
        return 204, None
