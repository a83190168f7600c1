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


class Api:
    def __init__(
        self,
        service: Service,
        registry: Registry,
        token: str,
        composer: Composer | None = None,
        damper: Callable[[], RetryStormController | None] = lambda: None,
        gossip: MembershipDriver | None = None,
        nearby: LocalityDriver | None = None,
        evenly: SubsetDriver | None = None,
    ) -> None:
        self.service, self.registry, self.token = service, registry, token.encode()
        self.composer, self.damper, self.gossip = composer, damper, gossip
        self.nearby, self.evenly = nearby, evenly
        self.routes: dict[str, dict[str, Callable[..., Reply]]] = {
            "state": {"GET": self.state},
            "counts": {"GET": self.counts},
            "dependencies": {"GET": self.dependencies},
            "storm": {"GET": self.storm},
            "members": {"GET": self.members},
            "locality": {"GET": self.locality},
            "fleet": {"GET": self.fleet},
            "shares": {"GET": self.shares, "PUT": self.put_shares},
            "tenants": {"GET": self.tenants, "POST": self.post_tenant},
            "upstreams": {"GET": self.upstreams, "POST": self.post_upstream},
            "tenants/": {
                "GET": self.tenant,
                "PUT": self.put_tenant,
                "PATCH": self.patch_tenant,
                "DELETE": self.delete_tenant,
            },
            "upstreams/": {"GET": self.upstream, "PUT": self.put_upstream, "DELETE": self.delete_upstream},
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

    def state(self) -> Reply:
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

    def counts(self) -> Reply:
        out: dict[str, dict[str, dict[str, int]]] = {}
        for (tenant, klass, verdict), count in self.service.counts.items():
            out.setdefault(tenant, {}).setdefault(klass, {})[verdict] = count
        return 200, out

    def dependencies(self) -> Reply:
        return 200, {} if self.composer is None else self.composer.engine.state(
            self.service.clock.read_seconds()
        )

    def storm(self) -> Reply:
        damper = self.damper()
        return 200, {} if damper is None else damper.state(self.service.clock.read_seconds())

    def members(self) -> Reply:
        return 200, {} if self.gossip is None else self.gossip.state()

    def locality(self) -> Reply:
        return 200, {} if self.nearby is None else self.nearby.state()

    def fleet(self) -> Reply:
        return 200, {} if self.evenly is None else self.evenly.state()

    # ---- tenants and shares -------------------------------------------------------------------

    def _tenant(self, name: str) -> dict[str, Any]:
        if name not in self.registry.tenants:
            raise ApiError(404, f"no such tenant: {name}")
        return asdict(self.registry.tenants[name])

    def tenants(self) -> Reply:
        return 200, [asdict(t) for t in self.registry.tenants.values()]

    def tenant(self, name: str) -> Reply:
        return 200, self._tenant(name)

    def post_tenant(self, raw: dict[str, Any]) -> Reply:
        tenant = read_tenant(raw, "tenant")
        if tenant.name in self.registry.tenants:
            raise ApiError(409, f"this tenant is there already: {tenant.name}")
        self.registry.put_tenant(tenant)
        return 201, asdict(tenant)

    def put_tenant(self, name: str, raw: dict[str, Any]) -> Reply:
        self._tenant(name)
        tenant = read_tenant({"name": name, **raw}, "tenant")
        if tenant.name != name:
            raise ApiError(422, "a tenant's name can't be changed")
        self.registry.put_tenant(tenant)
        return 200, asdict(tenant)

    def patch_tenant(self, name: str, raw: dict[str, Any]) -> Reply:
        return self.put_tenant(name, {**self._tenant(name), **raw})

    def delete_tenant(self, name: str) -> Reply:
        self._tenant(name)
        self.registry.remove_tenant(name)
        return 204, None

    def shares(self) -> Reply:
        return 200, {t.name: t.share for t in self.registry.tenants.values()}

    def put_shares(self, raw: dict[str, Any]) -> Reply:
        for name in raw:
            self._tenant(name)
        f = FieldReader(raw, "shares")
        self.registry.set_shares({name: f.number(name, high=1) for name in raw})
        return self.shares()

    # ---- upstreams ----------------------------------------------------------------------------

    def _upstream(self, name: str) -> dict[str, Any]:
        if name not in self.registry.upstreams:
            raise ApiError(404, f"no such upstream: {name}")
        u, runs = self.registry.upstreams[name], self.registry.runs
        under_way = {} if runs is None else runs.in_flight_by_member(name)
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

    def upstreams(self) -> Reply:
        return 200, [self._upstream(name) for name in self.registry.upstreams]

    def upstream(self, name: str) -> Reply:
        return 200, self._upstream(name)

    def post_upstream(self, raw: dict[str, Any]) -> Reply:
        upstream = read_upstream(raw, "upstream")
        if upstream.name in self.registry.upstreams:
            raise ApiError(409, f"this upstream is there already: {upstream.name}")
        self.registry.put_upstream(upstream)
        return 201, self._upstream(upstream.name)

    def put_upstream(self, name: str, raw: dict[str, Any]) -> Reply:
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
