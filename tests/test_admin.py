"""The administration API over its socket: changes, rejected requests and rejected deployment files."""

from __future__ import annotations

import asyncio
from pathlib import Path
from typing import Any

import orjson
import pytest

from saltcart.config import ConfigError
from saltcart.deployment import AdminSettings, AjpSettings, Deployment, read_deployment
from saltcart.wire import ajp
from tests.standins import AjpServer, HttpClient, encode_container_response, running

TOKEN = "a-token-long-enough"
AUTH = f"Bearer {TOKEN}"


def deployment(state: Path | None = None) -> Deployment:
    return Deployment(admin=AdminSettings("127.0.0.1:0", TOKEN, None if state is None else str(state)))


async def send(
    client: HttpClient, method: str, path: str, value: Any = None, auth: str = AUTH
) -> tuple[int, Any]:
    body = value if isinstance(value, bytes) else b"" if value is None else orjson.dumps(value)
    client.writer.write(
        f"{method} {path} HTTP/1.1\r\nAuthorization: {auth}\r\nContent-Length: {len(body)}\r\n\r\n".encode()
        + body
    )
    response = await client.read_response()
    return response.status, orjson.loads(response.body) if response.body else None


def container(name: bytes) -> AjpServer:
    """Return a stand-in container that answers each request with its name."""

    async def respond(_: ajp.ForwardRequest) -> bytes:
        return encode_container_response(200, name)

    return AjpServer(respond)


def test_tenants_and_upstreams_are_added_changed_and_removed(tmp_path: Path) -> None:
    async def run_scenario() -> None:
        state = tmp_path / "state.json"
        async with container(b"one") as one, container(b"two") as two, running(deployment(state)) as app:
            admin = await HttpClient(app.addresses["admin"]).open()
            client = await HttpClient(app.addresses["http"]).open()
            for name, server in (("u1", one), ("u2", two)):
                members = [{"host": server.address, "secret": "hidden"}]
                status, shown = await send(admin, "POST", "/v1/upstreams", {"name": name, "members": members})
                assert status == 201 and "hidden" not in str(shown)
            # The settings have acme already; each tenant's requests run on its own upstream only.
            for name, upstream in (("acme", "u1"), ("other", "u2")):
                request = ("PATCH", "/v1/tenants/acme") if name == "acme" else ("POST", "/v1/tenants")
                tenant = {"name": name, "share": 0.4, "quota": 50, "upstream": upstream}
                assert (await send(admin, *request, tenant))[0] < 300
            assert (await send(admin, "GET", "/v1/shares"))[1] == {"acme": 0.4, "other": 0.4}
            assert (await send(admin, "PUT", "/v1/shares", {"acme": 0.7, "other": 0.3}))[0] == 200
            assert (await client.post(1, account="acme")).body == b"one"
            assert (await client.post(2, account="other")).body == b"two"
            # One key used by two tenants identifies two requests.
            assert (await client.post(3, "oddaja", key="k", account="acme")).body == b"one"
            assert (await client.post(4, "oddaja", key="k", account="other")).body == b"two"
            assert (await send(admin, "GET", "/v1/counts"))[1] == {
                account: {"read": {"served": 1}, "oddaja": {"served": 1}} for account in ("acme", "other")
            }
            assert (await send(admin, "DELETE", "/v1/upstreams/u2"))[0] == 409
            assert (await send(admin, "GET", "/v1/upstreams/u2"))[1]["members"] == [
                {"host": two.address, "weight": 1.0, "has_secret": True, "open": 0}
            ]
            assert (await send(admin, "DELETE", "/v1/tenants/other"))[0] == 204
            assert (await client.post(5, account="other")).status == 400
            assert (await send(admin, "DELETE", "/v1/upstreams/u2"))[0] == 204
            status, shown = await send(admin, "GET", "/v1/state")
            assert status == 200 and shown["healthy"] and shown["tenants"] == shown["upstreams"] == 1
        assert state.stat().st_mode & 0o077 == 0  # the file has secrets
        async with running(deployment(state)) as app:  # the changes survive a restart
            admin = await HttpClient(app.addresses["admin"]).open()
            assert (await send(admin, "GET", "/v1/tenants"))[1] == [
                {"name": "acme", "share": 0.7, "quota": 50, "upstream": "u1"}
            ]

    asyncio.run(run_scenario())


def test_tenants_that_name_no_upstream_keep_theirs_over_changes_and_a_restart(tmp_path: Path) -> None:
    # Guards against a run at another tenant's servers after a change of the first upstream (review/6).
    async def run_scenario() -> None:
        state = tmp_path / "state.json"
        async with container(b"one") as one, container(b"two") as two:

            def members(server: AjpServer, weight: float) -> dict[str, Any]:
                return {"members": [{"host": server.address, "weight": weight}]}

            async with running(deployment(state)) as app:
                admin = await HttpClient(app.addresses["admin"]).open()
                client = await HttpClient(app.addresses["http"]).open()
                for name, server in (("u1", one), ("u2", two)):
                    value = {"name": name, **members(server, 1.0)}
                    assert (await send(admin, "POST", "/v1/upstreams", value))[0] == 201
                other = {"name": "other", "upstream": "u2"}
                assert (await send(admin, "PUT", "/v1/shares", {"acme": 0.5}))[0] == 200
                assert (await send(admin, "POST", "/v1/tenants", other))[0] == 201
                for method, path, value in (
                    ("PUT", "/v1/upstreams/u1", members(one, 2.0)),
                    ("PUT", "/v1/upstreams/u2", members(two, 2.0)),
                    ("PATCH", "/v1/tenants/acme", {"quota": 70}),
                ):
                    assert (await send(admin, method, path, value))[0] == 200
                    number = len(one.received_requests) + 1
                    assert (await client.post(number, account="acme")).body == b"one"
                _, shown = await send(admin, "GET", "/v1/upstreams")
                assert {item["name"]: item["tenants"] for item in shown} == {"u1": ["acme"], "u2": ["other"]}
                status, error = await send(admin, "DELETE", "/v1/upstreams/u1")
                assert status == 409 and "acme" in error["error"]
            async with running(deployment(state)) as app:
                admin = await HttpClient(app.addresses["admin"]).open()
                client = await HttpClient(app.addresses["http"]).open()
                assert (await client.post(1, account="acme")).body == b"one"
                assert (await send(admin, "PATCH", "/v1/tenants/acme", {"upstream": "u2"}))[0] == 200
                assert (await send(admin, "DELETE", "/v1/upstreams/u1"))[0] == 204
                assert (await client.post(2, account="acme")).body == b"two"

    asyncio.run(run_scenario())


@pytest.mark.parametrize(
    ("method", "path", "value", "status"),
    [
        ("GET", "/v1/nothing", None, 404),
        ("GET", "/v2/tenants", None, 404),
        ("GET", "/v1/tenants/", None, 404),
        ("GET", "/v1/tenants/none", None, 404),
        ("DELETE", "/v1/upstreams/none", None, 404),
        ("PUT", "/v1/tenants/none", {}, 404),
        ("PUT", "/v1/shares", {"none": 0.1}, 404),
        ("DELETE", "/v1/tenants", None, 405),
        ("PATCH", "/v1/upstreams/x", {}, 405),
        ("POST", "/v1/tenants", b"{", 400),
        ("POST", "/v1/tenants", [1], 400),
        ("POST", "/v1/tenants", b"", 400),
        ("POST", "/v1/tenants", {"name": "acme", "share": 0, "quota": 1}, 409),
        ("POST", "/v1/tenants", {}, 422),
        ("POST", "/v1/tenants", {"name": "a b"}, 422),
        ("POST", "/v1/tenants", {"name": "x", "share": 2}, 422),
        ("POST", "/v1/tenants", {"name": "x", "quota": -1}, 422),
        ("POST", "/v1/tenants", {"name": "x", "share": 0.2}, 422),  # acme has the whole share already
        ("POST", "/v1/tenants", {"name": "x", "upstream": "none"}, 422),
        ("POST", "/v1/tenants", {"name": "x", "huh": 1}, 422),
        ("PATCH", "/v1/tenants/acme", {"name": "other"}, 422),
        ("PUT", "/v1/shares", {"acme": "half"}, 422),
        ("POST", "/v1/upstreams", {"name": "u", "members": []}, 422),
        ("POST", "/v1/upstreams", {"name": "u", "members": [{"host": "nowhere"}]}, 422),
        ("POST", "/v1/upstreams", {"name": "u", "members": [{"host": "h:1"}, {"host": "h:1"}]}, 422),
    ],
)
def test_an_invalid_request_gets_a_4xx_with_an_error_and_changes_nothing(
    method: str, path: str, value: Any, status: int
) -> None:
    async def run_scenario() -> None:
        async with running(deployment()) as app:
            admin = await HttpClient(app.addresses["admin"]).open()
            before = [await send(admin, "GET", f"/v1/{kind}") for kind in ("tenants", "upstreams")]
            received, body = await send(admin, method, path, value)
            assert received == status and body["error"]
            assert before == [await send(admin, "GET", f"/v1/{kind}") for kind in ("tenants", "upstreams")]

    asyncio.run(run_scenario())


@pytest.mark.parametrize("auth", ["", "Bearer", "Bearer wrong", f"Basic {TOKEN}", f"Bearer {TOKEN}x"])
def test_a_request_without_the_token_gets_401(auth: str) -> None:
    async def run_scenario() -> None:
        async with running(deployment()) as app:
            admin = await HttpClient(app.addresses["admin"]).open()
            assert (await send(admin, "GET", "/v1/tenants", auth=auth))[0] == 401
            assert (await send(admin, "DELETE", "/v1/nothing", auth=auth))[0] == 401

    asyncio.run(run_scenario())


@pytest.mark.parametrize(
    ("raw", "reason"),
    [
        ({"admin": {"listen": "127.0.0.1:1", "token": "short"}}, "token"),
        ({"admin": {"listen": "10.0.0.1:1", "token": TOKEN}}, "loopback"),
        ({"admin": {"listen": "127.example.org:1", "token": TOKEN}}, "loopback"),
        ({"ajp": {"listen": "10.0.0.1:1"}}, "secret"),
        ({"ajp": {"listen": "here"}}, "listen"),
        ({"ajp": {"listen": "127.0.0.1:1", "port": 2}}, "port"),
        ({"tenant": [{"name": "a", "upstream": "u"}]}, "upstream"),
        ({"tennant": []}, "tennant"),
    ],
)
def test_an_invalid_deployment_file_is_rejected(raw: dict[str, Any], reason: str) -> None:
    with pytest.raises(ConfigError, match=reason):
        read_deployment(raw)


def test_a_front_is_off_if_it_is_disabled() -> None:
    disabled_admin = {"enabled": False, "listen": "127.0.0.1:1", "token": ""}
    assert (
        read_deployment({"ajp": {"enabled": False, "listen": "127.0.0.1:1"}, "admin": disabled_admin})
        == Deployment()
    )
    assert read_deployment({"ajp": {"listen": "127.0.0.1:1"}}).ajp == AjpSettings("127.0.0.1:1")
