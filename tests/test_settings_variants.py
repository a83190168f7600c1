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


def make_settings(
    classes: list[dict[str, Any]], tenants: list[str] | None = None, **extra: Any
) -> dict[str, Any]:
    """Return the settings of the platform with the classes and tenants of another customer.

    Args:
        classes: Classes, as made by ``make_class``.
        tenants: Names of the tenants, by default one.
        extra: Fields added to or replaced in the section "extra".
    """
    tenants = ["acme"] if tenants is None else tenants
    return {
        **SETTINGS,
        "services": classes,
        "extra": {**SETTINGS["extra"], **extra},
        "orgs": [{"name": name, "quotaPerS": 9.0, "share": 1 / len(tenants)} for name in tenants],
    }


def make_class(name: str = "read", effect: str = "read_like", **fields: Any) -> dict[str, Any]:
    """Return the settings of a class, with the given fields added or replaced."""
    return {"name": name, "effect": effect, "onTime": 1.0, "deadline": 3.0, "worth": 1.0, **fields}


@pytest.mark.parametrize("front", ["http", "ajp"])
@pytest.mark.parametrize(
    ("class_name", "path", "account"),
    [
        ("Termin.v2", "Termin.v2", "Jadrolinija 1"),
        ("vaga+tara", "vaga+tara", "Kava & \u010caj, d.o.o."),
        ("a~b:c@d", "a~b:c@d", "x" * 200),
        ("pla\u0107anje", "pla%C4%87anje", "#1"),
        ("50%", "50%25", "\u00e4"),
        ("pla\u0107anje", "pla\u0107anje", "A/B"),
    ],
)
def test_class_and_account_names_may_have_any_characters_that_the_settings_allow(
    front: str, class_name: str, path: str, account: str
) -> None:
    async def scenario() -> None:
        settings = make_settings([make_class(class_name)], ["other", account])
        async with Pool() as pool, running(BOTH_FRONTS, pool=pool.address, settings=settings) as app:
            client = await CLIENTS[front](app.addresses[front]).open()
            response = await client.post(1, path, account=account)
            assert (response.status, response.body) == (200, b"done x")
            assert b"spawn %016x %b 1" % (1, class_name.encode()) in pool.received_lines
            assert (await client.post(2, path, account=account + "x")).status == 400
            assert (await client.post(3, path + "x", account=account)).status == 400
            assert app.service.counts[account, class_name, "served"] == 1

    asyncio.run(scenario())


@pytest.mark.parametrize(
    ("changes", "expected_text"),
    [
        ({"services": [make_class("")]}, "services[0]: field name"),
        ({"services": [make_class("two words")]}, "services[0]: field name"),
        ({"services": [make_class("a\r\nspawn")]}, "services[0]: field name"),
        ({"services": [make_class(), make_class()]}, "services[1]: field name"),
        ({"orgs": [{"name": "a"}, {"name": "a"}]}, "orgs[1]: field name"),
        ({"orgs": [{"name": " a"}]}, "orgs[0]: field name"),
        ({"orgs": [{"name": "a\n"}]}, "orgs[0]: field name"),
        ({"quantum": 10**400}, "quantum is out of range"),
        ({"quantum": float("inf")}, "quantum is out of range"),
        ({"extra": {**SETTINGS["extra"], "cores": 10**30}}, "field cores"),
        ({"services": [make_class(memorySpan=1e300)]}, "memorySpan is out of range"),
        ({"services": []}, "services"),
        ({"quantum": 0}, "quantum"),
        ({"contract": {}}, "answerSlack"),
    ],
)
def test_error_names_the_invalid_setting(changes: dict[str, Any], expected_text: str) -> None:
    with pytest.raises(ConfigError) as error:
        read_config(raw_config(settings={**SETTINGS, **changes}))
    assert expected_text in str(error.value) and "\n" not in str(error.value)


def test_slots_grow_with_idle_cores_when_the_latency_objective_and_sweeps_are_long() -> None:
    """With an objective of a minute, the gauges must not become stale between two sweeps."""
    harness = ServiceHarness(
        replace(CORE, classes=(replace(READ, latency_objective=60.0, deadline=90.0, calls_dependency=False),))
    )
    assert harness.service.controller is not None and harness.service.controller.sweep_interval > 2.0
    for n in range(1, 20):
        harness.submit(n, "read", budget_seconds=90.0)
    spawned_before = len(harness.spawned_ids())
    report = harness.service.ports.workers.poll_gauges = lambda: harness.service.gauges_polled((0.1, 5, 1))  # type: ignore[method-assign]
    report()
    harness.run_until(harness.now + 12.0)  # in the first control period, where only idle cores add slots
    assert len(harness.spawned_ids()) > spawned_before + 1


SETTINGS_VARIANTS: dict[str, dict[str, Any]] = {
    "all classes keyed": {"classes": [make_class(effect="idempotency_key", memorySpan=4.0)]},
    "all classes keyed, no key window": {"classes": [make_class(effect="idempotency_key")]},
    "no class keyed": {"classes": [make_class(), make_class("pay", "non_idempotent")]},
    "one class, no tenants, no calls": {"classes": [make_class()], "tenants": [], "below": "none"},
    "one core": {"classes": [make_class()], "cores": 1, "memLimitKb": 400.0},
    "short deadlines": {"classes": [make_class(onTime=0.05, deadline=0.2)]},
    "known class names with other effects": {
        "classes": [make_class("oddaja"), make_class("pregled-statusa", "non_idempotent")]
    },
    "no load signal, no preemption": {"classes": [make_class()], "signal": "none", "preemption": "none"},
    "load signal is a credit": {"classes": [make_class()], "signal": "credit", "passesDeadline": False},
}


@pytest.mark.parametrize("name", SETTINGS_VARIANTS)
def test_service_rules_hold_with_the_settings_of_other_customers(name: str) -> None:
    """A served request, a retry, a run that the pool never ends and a drain, with the smallest limits."""

    async def scenario() -> None:
        variant = dict(SETTINGS_VARIANTS[name])
        classes, tenants = variant.pop("classes"), variant.pop("tenants", None)
        settings = make_settings(classes, tenants, **variant)
        has_key_by_class = {spec["name"]: spec["effect"] == "idempotency_key" for spec in classes}
        async with (
            Pool() as pool,
            running(pool=pool.address, settings=settings, limits={"sockets": 64, "memory_mb": 1}) as app,
        ):
            client = await HttpClient(app.addresses["http"]).open()
            for n, (class_name, has_key) in enumerate(has_key_by_class.items(), 1):
                key = "k" if has_key else None
                if tenants == []:
                    client.overridden_fields = {"Account": None}
                assert (await client.post(n, class_name, key=key)).body == b"done x"
                assert (await client.post(n + 10, class_name, key=key)).body == b"done x"
                # Only retries of a keyed class are recognised; callers must hold back any others.
                assert len(pool.spawned) == (n if has_key else 2 * n)
            pool.finishes_runs = False
            late = await HttpClient(app.addresses["http"]).open()
            late.overridden_fields = {**client.overridden_fields, "Budget-Ms": None}
            late.send(50, class_name, key="other" if has_key else None)
            app.begin_drain()
            assert (await asyncio.wait_for(late.read_response(), 5)).status in (500, 503)
            assert (await client.post(51, class_name, key="third" if has_key else None)).status in (500, 503)
            assert sum(line.startswith(b"spawn") for line in pool.received_lines) == len(set(pool.spawned))

    asyncio.run(scenario())
