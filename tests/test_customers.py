"""Settings of other customers: names, classes and limits that the first deployment does not have."""

from __future__ import annotations

import asyncio
from dataclasses import replace
from typing import Any

import pytest

from saltcart.config import ConfigError, read_config
from tests.fakes import READ, ServiceHarness
from tests.fakes import SETTINGS as CORE
from tests.standins import BOTH_FRONTS, CLIENTS, SETTINGS, HttpClient, Pool, raw_config, running


def customer(classes: list[dict[str, Any]], tenants: list[str] | None = None, **extra: Any) -> dict[str, Any]:
    """The platform's settings with this customer's classes and tenants in the place of the first one's."""
    tenants = ["acme"] if tenants is None else tenants
    return {
        **SETTINGS,
        "services": classes,
        "extra": {**SETTINGS["extra"], **extra},
        "orgs": [{"name": name, "quotaPerS": 9.0, "share": 1 / len(tenants)} for name in tenants],
    }


def service(name: str = "read", effect: str = "read_like", **more: Any) -> dict[str, Any]:
    return {"name": name, "effect": effect, "onTime": 1.0, "deadline": 3.0, "worth": 1.0, **more}


@pytest.mark.parametrize("front", ["http", "ajp"])
@pytest.mark.parametrize(
    ("klass", "path", "account"),
    [
        ("Termin.v2", "Termin.v2", "Jadrolinija 1"),
        ("vaga+tara", "vaga+tara", "Kava & \u010caj, d.o.o."),
        ("a~b:c@d", "a~b:c@d", "x" * 200),
        ("pla\u0107anje", "pla%C4%87anje", "#1"),
        ("50%", "50%25", "\u00e4"),
        ("pla\u0107anje", "pla\u0107anje", "A/B"),
    ],
)
def test_names_have_any_characters_that_the_settings_have(
    front: str, klass: str, path: str, account: str
) -> None:
    async def play() -> None:
        settings = customer([service(klass)], ["other", account])
        async with Pool() as pool, running(BOTH_FRONTS, pool=pool.address, settings=settings) as app:
            client = await CLIENTS[front](app.addresses[front]).open()
            answer = await client.post(1, path, account=account)
            assert (answer.status, answer.body) == (200, b"done x")
            assert b"spawn %016x %b 1" % (1, klass.encode()) in pool.received_lines
            assert (await client.post(2, path, account=account + "x")).status == 400
            assert (await client.post(3, path + "x", account=account)).status == 400
            assert app.service.counts[account, klass, "served"] == 1

    asyncio.run(play())


@pytest.mark.parametrize(
    ("changed", "named"),
    [
        ({"services": [service("")]}, "services[0]: field name"),
        ({"services": [service("two words")]}, "services[0]: field name"),
        ({"services": [service("a\r\nspawn")]}, "services[0]: field name"),
        ({"services": [service(), service()]}, "services[1]: field name"),
        ({"orgs": [{"name": "a"}, {"name": "a"}]}, "orgs[1]: field name"),
        ({"orgs": [{"name": " a"}]}, "orgs[0]: field name"),
        ({"orgs": [{"name": "a\n"}]}, "orgs[0]: field name"),
        ({"quantum": 10**400}, "quantum is out of range"),
        ({"quantum": float("inf")}, "quantum is out of range"),
        ({"extra": {**SETTINGS["extra"], "cores": 10**30}}, "field cores"),
        ({"services": [service(memorySpan=1e300)]}, "memorySpan is out of range"),
        ({"services": []}, "services"),
        ({"quantum": 0}, "quantum"),
        ({"contract": {}}, "answerSlack"),
    ],
)
def test_a_setting_that_cannot_hold_is_named(changed: dict[str, Any], named: str) -> None:
    with pytest.raises(ConfigError) as found:
        read_config(raw_config(settings={**SETTINGS, **changed}))
    assert named in str(found.value) and "\n" not in str(found.value)


def test_slots_grow_on_the_gauges_where_aims_are_long_and_turns_with_them() -> None:
    """With an aim of a minute the turns are further apart than gauges used to last."""
    w = ServiceHarness(
        replace(CORE, classes=(replace(READ, latency_objective=60.0, deadline=90.0, calls_dependency=False),))
    )
    assert w.service.controller is not None and w.service.controller.sweep_interval > 2.0
    for n in range(1, 20):
        w.submit(n, "read", budget_seconds=90.0)
    before = len(w.spawned_ids())
    polled = w.service.ports.workers.poll_gauges = lambda: w.service.gauges_polled((0.1, 5, 1))  # type: ignore[method-assign]
    polled()
    w.run_until(w.now + 12.0)  # inside the first period: what grows does so for the cores' sake
    assert len(w.spawned_ids()) > before + 1


CUSTOMERS: dict[str, dict[str, Any]] = {
    "all keyed": {"classes": [service(effect="idempotency_key", memorySpan=4.0)]},
    "all keyed, no window": {"classes": [service(effect="idempotency_key")]},
    "none keyed": {"classes": [service(), service("pay", "non_idempotent")]},
    "one class, no tenants, no calls": {"classes": [service()], "tenants": [], "below": "none"},
    "a single core": {"classes": [service()], "cores": 1, "memLimitKb": 400.0},
    "short deadlines": {"classes": [service(onTime=0.05, deadline=0.2)]},
    "a namesake of another effect": {
        "classes": [service("oddaja"), service("pregled-statusa", "non_idempotent")]
    },
    "no free value, no stop": {"classes": [service()], "signal": "none", "preemption": "none"},
    "a credit": {"classes": [service()], "signal": "credit", "passesDeadline": False},
}


@pytest.mark.parametrize("name", CUSTOMERS)
def test_the_rules_hold_under_other_customers_settings(name: str) -> None:
    """Served, a further try, no word of the pool by the due time, a drain: with the least there may be."""

    async def play() -> None:
        wanted = dict(CUSTOMERS[name])
        classes, tenants = wanted.pop("classes"), wanted.pop("tenants", None)
        settings = customer(classes, tenants, **wanted)
        keyed = {c["name"]: c["effect"] == "idempotency_key" for c in classes}
        async with (
            Pool() as pool,
            running(pool=pool.address, settings=settings, limits={"sockets": 64, "memory_mb": 1}) as app,
        ):
            client = await HttpClient(app.addresses["http"]).open()
            for n, (klass, has_key) in enumerate(keyed.items(), 1):
                key = "k" if has_key else None
                if tenants == []:
                    client.overridden_fields = {"Account": None}
                assert (await client.post(n, klass, key=key)).body == b"done x"
                assert (await client.post(n + 10, klass, key=key)).body == b"done x"
                # Only a keyed class's further try is known for one; the rest is the callers' to hold back.
                assert len(pool.spawned) == (n if has_key else 2 * n)
            pool.finishes_runs = False
            late = await HttpClient(app.addresses["http"]).open()
            late.overridden_fields = {**client.overridden_fields, "Budget-Ms": None}
            late.send(50, klass, key="other" if has_key else None)
            app.begin_drain()
            assert (await asyncio.wait_for(late.read_response(), 5)).status in (500, 503)
            assert (await client.post(51, klass, key="third" if has_key else None)).status in (500, 503)
            assert sum(word.startswith(b"spawn") for word in pool.received_lines) == len(set(pool.spawned))

    asyncio.run(play())
