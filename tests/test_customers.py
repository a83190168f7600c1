"""Settings of other customers: names, classes and limits that the first deployment does not have."""

from __future__ import annotations

import asyncio
from typing import Any

import pytest

from saltcart.config import ConfigError, read_config
from saltcart.deployment import AjpFront, Deployment
from tests.standins import SETTINGS, AjpClient, HttpClient, Pool, raw_config, running

AJP = Deployment(ajp=AjpFront("127.0.0.1:0"))


def customer(classes: list[dict[str, Any]], tenants: list[str] | None = None, **extra: Any) -> dict[str, Any]:
    """The platform's settings with this customer's classes and tenants in the place of the first one's."""
    tenants = ["acme"] if tenants is None else tenants
    return {**SETTINGS, "services": classes, "extra": {**SETTINGS["extra"], **extra},
            "orgs": [{"name": name, "quotaPerS": 9.0, "share": 1 / len(tenants)} for name in tenants]}


def service(name: str = "read", effect: str = "read_like", **more: Any) -> dict[str, Any]:
    return {"name": name, "effect": effect, "onTime": 1.0, "deadline": 3.0, "worth": 1.0, **more}


@pytest.mark.parametrize("front", ["http", "ajp"])
@pytest.mark.parametrize(("klass", "path", "account"), [
    ("Termin.v2", "Termin.v2", "Jadrolinija 1"), ("vaga+tara", "vaga+tara", "Kava & \u010caj, d.o.o."),
    ("a~b:c@d", "a~b:c@d", "x" * 200), ("pla\u0107anje", "pla%C4%87anje", "#1"), ("50%", "50%25", "\u00e4"),
    ("pla\u0107anje", "pla\u0107anje", "A/B")])
def test_names_have_any_characters_that_the_settings_have(
        front: str, klass: str, path: str, account: str) -> None:
    async def play() -> None:
        settings = customer([service(klass)], ["other", account])
        async with Pool() as pool, running(AJP, pool=pool.address, settings=settings) as app:
            client = await (AjpClient if front == "ajp" else HttpClient)(app.addresses[front]).open()
            answer = await client.ask(1, path, account=account)
            assert (answer.status, answer.body) == (200, b"done x")
            assert b"spawn %016x %b 1" % (1, klass.encode()) in pool.told
            assert (await client.ask(2, path, account=account + "x")).status == 400
            assert (await client.ask(3, path + "x", account=account)).status == 400
            assert app.service.counts[account, klass, "served"] == 1

    asyncio.run(play())


@pytest.mark.parametrize(("changed", "named"), [
    ({"services": [service("")]}, "services[0]: field name"),
    ({"services": [service("two words")]}, "services[0]: field name"),
    ({"services": [service("a\r\nspawn")]}, "services[0]: field name"),
    ({"services": [service(), service()]}, "services[1]: field name"),
    ({"orgs": [{"name": "a"}, {"name": "a"}]}, "orgs[1]: field name"),
    ({"orgs": [{"name": " a"}]}, "orgs[0]: field name"), ({"orgs": [{"name": "a\n"}]}, "orgs[0]: field name"),
    ({"services": []}, "services"), ({"quantum": 0}, "quantum"), ({"contract": {}}, "answerSlack")])
def test_a_setting_that_cannot_hold_is_named(changed: dict[str, Any], named: str) -> None:
    with pytest.raises(ConfigError) as found:
        read_config(raw_config(settings={**SETTINGS, **changed}))
    assert named in str(found.value) and "\n" not in str(found.value)
