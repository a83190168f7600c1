"""The file of state and a deployment file that has changed: which of the two holds, and what is logged."""

from __future__ import annotations

import asyncio
from pathlib import Path
from typing import Any

import orjson
import pytest

from saltcart.admin.registry import Registry
from saltcart.config import ConfigError
from saltcart.deployment import Deployment, read_deployment
from tests.fakes import ServiceHarness
from tests.standins import EventLog, HttpClient, raw_config
from tests.test_admin import TOKEN, send
from tests.test_sockets import start_program
from tests.test_takeover import reserve_address, reserve_udp_address, until_ready

MEMBER = {"listen": "127.0.0.1:7946", "cluster": "test", "zone": "a"}
TENANT = {"name": "acme", "share": 0.5, "quota": 50}


def upstream(name: str, *ports: int, **fields: Any) -> dict[str, Any]:
    members = [
        {"host": f"127.0.0.1:{port}", "zone": "a", "region": "x", "capacity": 5, **fields} for port in ports
    ]
    return {"name": name, "members": members}


def deploy(*upstreams: dict[str, Any], **tables: Any) -> Deployment:
    return read_deployment({"upstream": [*upstreams], "tenant": [TENANT], **tables})


def restart(before: Deployment, after: Deployment, path: Path) -> tuple[Registry, EventLog]:
    """Save the tenants and upstreams of one deployment, and start with them and another deployment."""
    Registry(before, ServiceHarness().service, None, path).set_shares({})
    log = EventLog()
    return Registry(after, ServiceHarness().service, None, path, log), log


@pytest.mark.parametrize("tables", [{"locality": {"upstream": "work"}}, {"fleet": {"upstream": "work"}}])
def test_another_member_of_an_upstream_on_which_instances_agree_is_used(
    tables: dict[str, Any], tmp_path: Path
) -> None:
    # Guards against a program that does not start after a member was added to the deployment file.
    before = deploy(upstream("first", 1), upstream("work", 2), member=MEMBER, **tables)
    after = deploy(upstream("first", 1), upstream("work", 2, 3), member=MEMBER, **tables)
    registry, log = restart(before, after, tmp_path / "state.json")
    assert [member.host for member in registry.upstreams["work"].members] == ["127.0.0.1:2", "127.0.0.1:3"]
    assert registry.default_upstream == "first"
    (line,) = log.find("state-overruled")
    assert line["field"] == "upstream work.members" and not log.find("state-kept")
    assert [len(line["saved"]), len(line["deployed"])] == [1, 2]


def test_what_is_saved_holds_and_each_field_that_differs_is_logged(tmp_path: Path) -> None:
    before = deploy(upstream("first", 1, secret="before"))
    after = read_deployment(
        {
            "upstream": [upstream("first", 1, secret="after", weight=2.0), upstream("new", 4)],
            "tenant": [{**TENANT, "share": 0.7}],
        }
    )
    registry, log = restart(before, after, tmp_path / "state.json")
    assert registry.tenants["acme"].share == 0.5 and [*registry.upstreams] == ["first"]
    assert not log.find("state-overruled")
    lines = {line["field"]: line for line in log.find("state-kept")}
    assert lines.keys() == {"tenant acme.share", "upstream first.members", "upstream new"}
    assert (lines["tenant acme.share"]["saved"], lines["tenant acme.share"]["deployed"]) == (0.5, 0.7)
    assert lines["upstream new"]["saved"] is None
    assert lines["upstream first.members"]["deployed"][0]["has_secret"] is True
    assert b"before" not in orjson.dumps(log.lines) and b"after" not in orjson.dumps(log.lines)


def test_what_the_api_has_created_is_no_difference(tmp_path: Path) -> None:
    registry, log = restart(
        deploy(upstream("first", 1), upstream("u2", 2)), deploy(upstream("first", 1)), tmp_path / "s"
    )
    assert [*registry.upstreams] == ["first", "u2"] and not log.lines


def test_an_upstream_that_plans_need_is_taken_from_the_deployment_file(tmp_path: Path) -> None:
    # Guards against a program that does not start after a plan with an upstream of its own was added.
    plans = {
        "dependency": [{"name": "rates", "kind": "ajp", "upstream": "rates"}],
        "plan": [{"class": "read", "stage": [{"call": [{"dependency": "rates"}]}]}],
    }
    after = deploy(upstream("first", 1), upstream("rates", 2), **plans)
    registry, log = restart(deploy(upstream("first", 1)), after, tmp_path / "state.json")
    assert [*registry.upstreams] == ["first", "rates"]
    assert [line["field"] for line in log.find("state-overruled")] == ["upstream rates"]


@pytest.mark.parametrize(
    "content", [b"", b"{", b"[]", b'{"tenants": []}', b'{"tenants": [{}], "upstreams": []}']
)
def test_a_file_that_cannot_be_read_ends_the_start_with_its_path(content: bytes, tmp_path: Path) -> None:
    path = tmp_path / "state.json"
    path.write_bytes(content)
    with pytest.raises(ConfigError, match=r"state\.json"):
        Registry(deploy(upstream("first", 1)), ServiceHarness().service, None, path)


def test_the_program_starts_with_another_member_after_a_change_by_the_api(tmp_path: Path) -> None:
    # Guards against a program that does not start after a member was added to the deployment file.
    admin_address = reserve_address()
    control_address = reserve_address()
    file = tmp_path / "saltcart.toml"
    state = tmp_path / "state.json"

    def write_deployment(*hosts: str) -> None:
        members = ", ".join(
            f'{{ host = "{host}", zone = "a", region = "x", capacity = 5 }}' for host in hosts
        )
        file.write_text(
            f'[admin]\nlisten = "{admin_address}"\ntoken = "{TOKEN}"\nstate = "{state}"\n'
            f'[member]\nlisten = "{reserve_udp_address()}"\ncluster = "test"\nzone = "a"\n'
            '[locality]\nupstream = "work"\n'
            f'[[upstream]]\nname = "work"\nmembers = [{members}]\n'
            '[[tenant]]\nname = "acme"\nshare = 0.5\nquota = 50\n'
        )

    async def scenario() -> None:
        config = raw_config(control=control_address)
        for hosts in (("127.0.0.1:1",), ("127.0.0.1:1", "127.0.0.1:2")):
            write_deployment(*hosts)
            program = await start_program(tmp_path / "c.json", config, SALTCART_DEPLOYMENT=str(file))
            await until_ready(control_address)
            client = await HttpClient(admin_address).open()
            _, shown = await send(client, "GET", "/v1/upstreams/work")
            assert [member["host"] for member in shown["members"]] == [*hosts]
            if len(hosts) == 1:
                new_tenant = {"name": "other", "share": 0.1, "quota": 5}
                assert (await send(client, "POST", "/v1/tenants", new_tenant))[0] == 201
            assert len((await send(client, "GET", "/v1/tenants"))[1]) == 2
            program.terminate()
            await program.communicate()
            assert program.returncode == 0

    asyncio.run(scenario())
