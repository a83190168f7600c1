"""Request handlers of the administration API, independent of the transport.

GET /v1/state                           state of the service
GET /v1/counts                          responses by tenant, class and status
GET, POST /v1/tenants                   list, create
GET, PUT, PATCH, DELETE /v1/tenants/N   show, replace, update, delete
GET, PUT /v1/shares                     all tenants' shares at once
GET, POST /v1/upstreams                 list, create
GET, PUT, DELETE /v1/upstreams/N        show, replace, delete
GET /v1/dependencies                    state of the dependencies of composed responses
GET /v1/storm                           retries, clients that amplify them, and Retry-After values sent
GET /v1/members                         this instance's view of the fleet
GET /v1/locality                        zones, their health and the routing between them
GET /v1/fleet                           this instance's subset of members, and its share of their limits
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
    from saltcart.fleet import Fleet
    from saltcart.net.composer import Composer
    from saltcart.retry_storm.controller import RetryStormController

Reply = tuple[int, Any]  # status, body


class ApiError(Exception):
    """A request that can't be served, with the status of its error response."""

    def __init__(self, status: int, text: str, **headers: str) -> None:
        """Create an error with the headers that its response has."""
        super().__init__(text)
        self.status, self.headers = status, headers


class AdminApi:
    """Authenticates requests and routes them to their handlers.

    A handler returns the status and the body, which is then encoded as JSON.

    Attributes:
        service: The service to show.
        registry: The tenants and upstreams to show and change.
        token: The bearer token that each request must carry.
        composer: Composes responses, if there are plans.
        storm_control: Returns the control of retry storms; ``None`` also until the worker pool is up.
        fleet: Membership, and the routing that needs it.
    """

    def __init__(
        self,
        service: Service,
        registry: Registry,
        token: str,
        composer: Composer | None = None,
        storm_control: Callable[[], RetryStormController | None] = lambda: None,
        fleet: Fleet | None = None,
    ) -> None:
        """Create the API; an optional feature that is off is ``None``."""
        self.service, self.registry, self.token = service, registry, token.encode()
        self.composer = composer
        self.storm_control = storm_control
        self.fleet = fleet
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
        """Serve one request.

        Returns:
            Status, JSON body and extra headers of the response.
        """
        try:
            self._authorise(headers)
            status, value = self._dispatch(method, target.partition("?")[0], headers, body)
            return status, b"" if status == 204 else orjson.dumps(value), {}
        except ApiError as error:
            return error.status, orjson.dumps({"error": str(error)}), error.headers
        except InvalidFieldError as error:  # an invalid field, or a change that is invalid as a whole
            return 422, orjson.dumps({"error": str(error)}), {}

    def _authorise(self, headers: Mapping[bytes, bytes]) -> None:
        scheme, _, token = headers.get(b"authorization", b"").partition(b" ")
        if scheme.lower() != b"bearer" or not hmac.compare_digest(token.strip(), self.token):
            raise ApiError(401, "a valid bearer token is required", **{"WWW-Authenticate": "Bearer"})

    def _dispatch(self, method: str, path: str, headers: Mapping[bytes, bytes], body: bytes) -> Reply:
        if not path.startswith("/v1/"):
            raise ApiError(404, "no such resource")
        kind, slash, name = path.removeprefix("/v1/").partition("/")
        route = self.routes.get(kind + slash)
        if route is None or "/" in name or (slash and not name):
            raise ApiError(404, "no such resource")
        if method not in route:
            raise ApiError(405, f"method not allowed for this resource: {method}", Allow=", ".join(route))
        arguments: list[Any] = [name] if slash else []
        if method in ("POST", "PUT", "PATCH"):
            content_type = (
                headers.get(b"content-type", b"application/json").partition(b";")[0].strip().lower()
            )
            if content_type != b"application/json":
                raise ApiError(415, "the body is not application/json")
            try:
                value = orjson.loads(body)
            except orjson.JSONDecodeError as error:
                raise ApiError(400, f"the body is not JSON: {error}") from None
            if not isinstance(value, dict):
                raise ApiError(400, "the body is not a JSON object")
            arguments.append(value)
        return route[method](*arguments)

    # ---- State and counters ---------------------------------------------------------------------

    def get_state(self) -> Reply:
        """Return the state of the service."""
        service = self.service
        return 200, {
            "healthy": service.is_healthy,
            "draining": service.drain.notified_at is not None,
            "hint": service.load_level,
            "keys": len(service.keys),
            "requests": Counter(request.phase.value for request in service.requests.values()),
            "gauges": service.loop.gauges,
            "tenants": len(self.registry.tenants),
            "upstreams": len(self.registry.upstreams),
        }

    def get_counts(self) -> Reply:
        """Return the number of responses by tenant, class and status."""
        counts: dict[str, dict[str, dict[str, int]]] = {}
        for (tenant, class_name, status), count in self.service.counts.items():
            counts.setdefault(tenant, {}).setdefault(class_name, {})[status] = count
        return 200, counts

    def get_dependencies(self) -> Reply:
        """Return the state of the dependencies of composed responses."""
        return 200, {} if self.composer is None else self.composer.engine.state(
            self.service.clock.read_seconds()
        )

    def get_storm(self) -> Reply:
        """Return the state of the control of retry storms."""
        storm_control = self.storm_control()
        return 200, {} if storm_control is None else storm_control.state(self.service.clock.read_seconds())

    def get_members(self) -> Reply:
        """Return this instance's view of the fleet."""
        driver = None if self.fleet is None else self.fleet.membership
        return 200, {} if driver is None else driver.state()

    def get_locality(self) -> Reply:
        """Return the state of zone-aware routing."""
        driver = None if self.fleet is None else self.fleet.locality
        return 200, {} if driver is None else driver.state()

    def get_fleet(self) -> Reply:
        """Return the state of subsetting."""
        driver = None if self.fleet is None else self.fleet.subsets
        return 200, {} if driver is None else driver.state()

    # ---- Tenants and shares ---------------------------------------------------------------------

    def _describe_tenant(self, name: str) -> dict[str, Any]:
        """Return a tenant's representation; respond with 404 if there is none of this name."""
        if name not in self.registry.tenants:
            raise ApiError(404, f"no such tenant: {name}")
        return asdict(self.registry.tenants[name])

    def list_tenants(self) -> Reply:
        """Return all tenants."""
        return 200, [asdict(tenant) for tenant in self.registry.tenants.values()]

    def get_tenant(self, name: str) -> Reply:
        """Return one tenant."""
        return 200, self._describe_tenant(name)

    def create_tenant(self, raw: dict[str, Any]) -> Reply:
        """Add a tenant."""
        tenant = read_tenant(raw, "tenant")
        if tenant.name in self.registry.tenants:
            raise ApiError(409, f"tenant already exists: {tenant.name}")
        self.registry.put_tenant(tenant)
        return 201, asdict(tenant)

    def replace_tenant(self, name: str, raw: dict[str, Any]) -> Reply:
        """Replace a tenant."""
        self._describe_tenant(name)
        tenant = read_tenant({"name": name, **raw}, "tenant")
        if tenant.name != name:
            raise ApiError(422, "a tenant's name can't be changed")
        self.registry.put_tenant(tenant)
        return 200, asdict(tenant)

    def update_tenant(self, name: str, raw: dict[str, Any]) -> Reply:
        """Change the given fields of a tenant."""
        return self.replace_tenant(name, {**self._describe_tenant(name), **raw})

    def delete_tenant(self, name: str) -> Reply:
        """Remove a tenant."""
        self._describe_tenant(name)
        self.registry.remove_tenant(name)
        return 204, None

    def get_shares(self) -> Reply:
        """Return every tenant's share."""
        return 200, {tenant.name: tenant.share for tenant in self.registry.tenants.values()}

    def replace_shares(self, raw: dict[str, Any]) -> Reply:
        """Change the given tenants' shares at once."""
        for name in raw:
            self._describe_tenant(name)
        reader = FieldReader(raw, "shares")
        self.registry.set_shares({name: reader.number(name, high=1) for name in raw})
        return self.get_shares()

    # ---- Upstreams ------------------------------------------------------------------------------

    def _describe_upstream(self, name: str) -> dict[str, Any]:
        """Return an upstream's representation; respond with 404 if there is none of this name."""
        if name not in self.registry.upstreams:
            raise ApiError(404, f"no such upstream: {name}")
        upstream, live_upstreams = self.registry.upstreams[name], self.registry.live_upstreams
        in_flight = {} if live_upstreams is None else live_upstreams.in_flight_by_member(name)
        return {
            "name": upstream.name,
            "members": [  # secrets are never shown
                {
                    "host": member.host,
                    "weight": member.weight,
                    "has_secret": bool(member.secret),
                    "open": in_flight.get(member.host, 0),
                }
                for member in upstream.members
            ],
            "tenants": self.registry.tenants_of(name),
        }

    def list_upstreams(self) -> Reply:
        """Return all upstreams."""
        return 200, [self._describe_upstream(name) for name in self.registry.upstreams]

    def get_upstream(self, name: str) -> Reply:
        """Return one upstream."""
        return 200, self._describe_upstream(name)

    def create_upstream(self, raw: dict[str, Any]) -> Reply:
        """Add an upstream."""
        upstream = read_upstream(raw, "upstream")
        if upstream.name in self.registry.upstreams:
            raise ApiError(409, f"upstream already exists: {upstream.name}")
        self.registry.put_upstream(upstream)
        return 201, self._describe_upstream(upstream.name)

    def replace_upstream(self, name: str, raw: dict[str, Any]) -> Reply:
        """Replace an upstream."""
        self._describe_upstream(name)
        upstream = read_upstream({"name": name, **raw}, "upstream")
        if upstream.name != name:
            raise ApiError(422, "an upstream's name can't be changed")
        self.registry.put_upstream(upstream)
        return 200, self._describe_upstream(name)

    def delete_upstream(self, name: str) -> Reply:
        """Remove an upstream that no tenant uses."""
        self._describe_upstream(name)
        users = self.registry.tenants_of(name)
        if users:
            raise ApiError(409, f"upstream is in use by tenants: {', '.join(users)}")
        self.registry.remove_upstream(name)
        return 204, None
