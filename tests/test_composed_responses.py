"""Composed responses on sockets: test dependencies over AJP and the index protocol, both fronts, failures."""

from __future__ import annotations

import asyncio
import json
import os
import subprocess
import sys
from collections.abc import AsyncIterator, Callable
from contextlib import AsyncExitStack, asynccontextmanager
from pathlib import Path
from typing import Any

import orjson
import pytest

from saltcart.app import App
from saltcart.config import ConfigError
from saltcart.deployment import read_deployment
from saltcart.lab.standins import AjpStandIn, IndexStandIn, ReceivedCall, Script, ScriptedReply, StandIn
from tests.standins import AjpClient, HttpClient, raw_config, running, until

ROOT = Path(__file__).resolve().parent.parent
TOKEN = "sixteen-characters-of-it"


def ok(call: ReceivedCall) -> ScriptedReply:
    return ScriptedReply()


class Site:
    """A service with three dependencies: two reads, one of them optional and an index, and a write."""

    def __init__(self, app: App, tariff: StandIn, archive: StandIn, ledger: StandIn, spare: StandIn) -> None:
        self.app, self.tariff, self.archive, self.ledger = app, tariff, archive, ledger
        self.spare = spare

    def state(self, name: str) -> dict[str, Any]:
        assert self.app.composer is not None
        return dict(self.app.composer.engine.state(self.app.service.clock.read_seconds())[name])


def tables(tariff: str, archive: str, ledger: str, spare: str, **more: Any) -> dict[str, Any]:
    return {
        "ajp": {"listen": "127.0.0.1:0"},
        "admin": {"listen": "127.0.0.1:0", "token": TOKEN},
        "upstream": [
            {"name": n, "members": [{"host": at}]}
            for n, at in (("tariff", tariff), ("ledger", ledger), ("spare", spare))
        ],
        "tenant": [{"name": "acme", "share": 0.5}],
        "dependency": [
            {"name": "tariff", "upstream": "tariff", **more},
            {"name": "spare", "upstream": "spare"},
            {"name": "archive", "kind": "index", "address": archive},
            {"name": "ledger", "upstream": "ledger"},
        ],
        "plan": [
            {
                "class": "read",
                "partial": True,
                "stage": [
                    {
                        "call": [
                            {"dependency": "tariff"},
                            {"dependency": "archive", "required": False, "worth": 0.3},
                        ]
                    }
                ],
            },
            {
                "class": "oddaja",
                "answer": "ledger",
                "stage": [
                    {"call": [{"dependency": "tariff"}]},
                    {"call": [{"dependency": "ledger", "write": True, "sends": "answers"}]},
                ],
            },
        ],
    }


@asynccontextmanager
async def site(
    tariff: Script = ok, archive: Script = ok, ledger: Script = ok, **more: Any
) -> AsyncIterator[Site]:
    async with AsyncExitStack() as stack:
        stand_ins: list[StandIn] = [
            await stack.enter_async_context(make)
            for make in (AjpStandIn(tariff), IndexStandIn(archive), AjpStandIn(ledger), AjpStandIn(ok))
        ]
        deployment = read_deployment(tables(*(s.address for s in stand_ins), **more))
        app = await stack.enter_async_context(running(deployment, control="127.0.0.1:0"))
        yield Site(app, *stand_ins)


def run_test(test: Callable[[], Any]) -> None:
    asyncio.run(test())


async def vars_of(app: App) -> str:
    reader, writer = await asyncio.open_connection(*app.addresses["control"].split(":"))
    writer.write(b"vars\n")
    text = (await reader.read()).decode()
    writer.close()
    return text


async def admin(app: App, method: str, path: str) -> tuple[int, Any]:
    reader, writer = await asyncio.open_connection(*app.addresses["admin"].split(":"))
    writer.write(
        f"{method} {path} HTTP/1.1\r\nHost: a\r\nAuthorization: Bearer {TOKEN}\r\n"
        "Connection: close\r\n\r\n".encode()
    )
    head, _, body = (await reader.read()).partition(b"\r\n\r\n")
    writer.close()
    return int(head.split()[1]), orjson.loads(body) if body else None


def test_both_fronts_send_the_composed_response_and_name_skipped_dependencies() -> None:
    async def test() -> None:
        silent = ScriptedReply("silent")
        async with site(
            archive=lambda call: silent if call.body.startswith(b"partial") else ScriptedReply()
        ) as s:
            clients = [
                await HttpClient(s.app.addresses["http"]).open(),
                await AjpClient(s.app.addresses["ajp"]).open(),
            ]
            for n, client in enumerate(clients):
                whole = await client.post(10 + n, body=b"whole")
                assert whole.status == 200 and b"left-out" not in whole.headers
                assert orjson.loads(whole.body) == {"tariff": {"ok": 1}, "archive": {"ok": 1}}
            answers = await asyncio.gather(
                *(client.post(20 + n, body=b"partial") for n, client in enumerate(clients))
            )
            for answer in answers:
                assert answer.status == 200 and answer.headers[b"left-out"] == b"archive"
                assert orjson.loads(answer.body) == {"tariff": {"ok": 1}, "archive": None}
            await until(
                lambda: len(s.archive.cancelled_calls) == 2
            )  # the calls without a reply are cancelled
            figures = await vars_of(s.app)
            assert "balancer.fulfilled.read:4|c" in figures and "balancer.partial.read:2|c" in figures
            assert "balancer.dependency.archive.used:0|g" in figures
            status, counts = await admin(s.app, "GET", "/v1/counts")
            assert status == 200 and counts["acme"]["read"] == {"served": 4, "partial": 2}
            status, seen = await admin(s.app, "GET", "/v1/dependencies")
            assert status == 200 and seen["archive"]["timeout"] == 2 and seen["tariff"]["ok"] == 4

    run_test(test)


def test_cached_replies_of_a_removed_tenant_are_deleted() -> None:
    async def test() -> None:
        async with site() as s:
            assert s.app.composer is not None
            cache = s.app.composer.engine.stale_cache
            cache.put(s.app.service.clock.read_seconds(), "acme", b"k", b"told")
            status, _ = await admin(s.app, "DELETE", "/v1/tenants/acme")
            assert status == 204 and cache.entry_count == 0

    run_test(test)


def test_a_partial_response_keeps_a_timeout_shorter_than_the_objective() -> None:
    async def test() -> None:
        async with site(archive=lambda call: ScriptedReply("silent")) as s:
            client = await HttpClient(s.app.addresses["http"]).open()
            answer = await client.post(1, budget_ms="700")  # the decision module ends it three sweeps earlier
            assert (answer.status, answer.headers[b"left-out"]) == (200, b"archive")

    run_test(test)


def test_the_remaining_time_is_passed_on_to_dependencies() -> None:
    async def test() -> None:
        async with site() as s:
            client = await HttpClient(s.app.addresses["http"]).open()
            await client.post(1, "oddaja", key="k", budget_ms="900")
            assert (
                500 < s.tariff.received_calls[0].timeout_ms <= 900
                and s.ledger.received_calls[0].timeout_ms <= 900
            )
            assert orjson.loads(s.ledger.received_calls[0].body) == {
                "request": "x",
                "answers": {"tariff": {"ok": 1}},
            }
            assert s.tariff.received_calls[0].tenant == b"acme"

    run_test(test)


def test_a_write_whose_connection_breaks_fails_and_is_not_sent_again_by_a_retry() -> None:
    async def test() -> None:
        async with site(ledger=lambda call: ScriptedReply("drop")) as s:
            client = await HttpClient(s.app.addresses["http"]).open()
            first = await client.post(1, "oddaja", key="k")
            again = await client.post(2, "oddaja", key="k")
            assert (first.status, again.status) == (500, 500)
            assert len(s.ledger.received_calls) == 1  # it may have had its effect

    run_test(test)


def test_a_retry_joins_the_write_in_progress() -> None:
    async def test() -> None:
        async with site(ledger=lambda call: ScriptedReply(delay=0.2, body=b"entered")) as s:
            clients = [await HttpClient(s.app.addresses["http"]).open() for _ in range(3)]
            clients[0].send(1, "oddaja", key="k")
            await until(lambda: len(s.ledger.received_calls) == 1)
            answers = await asyncio.gather(clients[0].read_response(), clients[1].post(2, "oddaja", key="k"))
            late = await clients[2].post(3, "oddaja", key="k")
            assert [(a.status, a.body) for a in (*answers, late)] == [(200, b"entered")] * 3
            assert len(s.ledger.received_calls) == 1 and len(s.tariff.received_calls) == 1

    run_test(test)


def test_a_request_without_its_write_releases_its_idempotency_key() -> None:
    async def test() -> None:
        bad = [True]
        async with site(tariff=lambda call: ScriptedReply("error" if bad[0] else "ok"), attempts=0.0) as s:
            client = await HttpClient(s.app.addresses["http"]).open()
            assert (await client.post(1, "oddaja", key="k")).status == 500
            bad[0] = False
            assert (await client.post(2, "oddaja", key="k")).status == 200
            assert len(s.ledger.received_calls) == 1

    run_test(test)


def test_the_fallback_replaces_an_unreachable_dependency() -> None:
    async def test() -> None:
        async with site(fallback="spare") as s:
            s.tariff.server.close()
            for connection in list(s.tariff.connections):
                connection.abort()
            client = await HttpClient(s.app.addresses["http"]).open()
            for n in range(4):
                answer = await client.post(1 + n)
                assert (answer.status, answer.headers.get(b"left-out")) == (200, None)
            assert len(s.spare.received_calls) == 4 and s.state("tariff")["moot"] >= 1

    run_test(test)


def test_replies_after_the_deadline_are_ignored() -> None:
    async def test() -> None:
        slow = [True]
        async with site(
            archive=lambda call: ScriptedReply(delay=1.3 if slow[0] else 0.0, body=b'"late"')
        ) as s:
            client = await HttpClient(s.app.addresses["http"]).open()
            first = await client.post(1, body=b"a")
            slow[0] = False
            assert (first.status, first.headers.get(b"left-out")) == (200, b"archive")
            await until(lambda: s.archive.reply_count == 1)
            second = await client.post(2, body=b"b")
            assert orjson.loads(second.body)["archive"] == "late" and len(s.archive.received_calls) == 2

    run_test(test)


def test_a_client_disconnect_cancels_the_calls() -> None:
    async def test() -> None:
        async with site(
            tariff=lambda call: ScriptedReply("silent"), archive=lambda call: ScriptedReply("silent")
        ) as s:
            client = await HttpClient(s.app.addresses["http"]).open()
            client.send(1)
            await until(lambda: len(s.archive.received_calls) == len(s.tariff.received_calls) == 1)
            client.drop()
            await until(lambda: s.archive.cancelled_calls == [s.archive.received_calls[0].call_id])
            await until(
                lambda: not s.tariff.connections
            )  # AJP has no cancellation, so the connection is closed
            assert s.app.composer is not None and not s.app.composer.engine.runs

    run_test(test)


def test_a_drain_during_a_run_still_ends_with_a_partial_response() -> None:
    async def test() -> None:
        async with site(archive=lambda call: ScriptedReply("silent")) as s:
            client = await HttpClient(s.app.addresses["http"]).open()
            client.send(1)
            await until(lambda: len(s.archive.received_calls) == 1)
            s.app.conf = type(s.app.conf)(
                **{**{f: getattr(s.app.conf, f) for f in s.app.conf.__slots__}, "stop_timeout": 0.5}
            )
            s.app.begin_drain()
            answer = await client.read_response()
            assert (answer.status, answer.headers[b"left-out"]) == (200, b"archive")

    run_test(test)


def test_an_upstream_that_a_plan_needs_cannot_be_deleted() -> None:
    async def test() -> None:
        async with site() as s:
            status, why = await admin(s.app, "DELETE", "/v1/upstreams/ledger")
            assert status == 422 and "plans need it" in why["error"]
            client = await HttpClient(s.app.addresses["http"]).open()
            assert (await client.post(1, "oddaja", key="k")).status == 200

    run_test(test)


@pytest.mark.parametrize(
    ("change", "reason"),
    [
        (
            {
                "plan": [
                    {
                        "class": "oddaja",
                        "partial": True,
                        "stage": [{"call": [{"dependency": "ledger", "write": True}]}],
                    }
                ]
            },
            "plan[0].partial: oddaja has effects",
        ),
        ({"plan": [{"class": "none", "stage": [{"call": [{"dependency": "ledger"}]}]}]}, "plan[0].class"),
        ({"dependency": [{"name": "ledger", "upstream": "nowhere"}]}, "dependency[0].upstream"),
        ({"dependency": [{"name": "ledger", "upstream": "ledger", "most": 0}]}, "dependency[0].most"),
    ],
)
def test_the_service_does_not_start_with_an_invalid_plan_and_names_the_field(
    change: dict[str, Any], reason: str, tmp_path: Path
) -> None:
    import tomli_w

    raw = tables("127.0.0.1:1", "127.0.0.1:2", "127.0.0.1:3", "127.0.0.1:4") | change
    file, config = tmp_path / "saltcart.toml", tmp_path / "config.json"
    file.write_text(tomli_w.dumps(raw))
    config.write_text(json.dumps(raw_config()))
    environment = {**os.environ, "BALANCER_CONFIG": str(config), "SALTCART_DEPLOYMENT": str(file)}
    for command in ([], ["check", str(file), "--config", str(config)]):
        out = subprocess.run(
            [sys.executable, "-m", "saltcart", *command],
            cwd=ROOT,
            env=environment,
            capture_output=True,
            text=True,
            timeout=60,
            check=False,
        )
        assert out.returncode == 2 and reason in out.stderr, out.stderr
        assert len(out.stderr.strip().splitlines()) == 1  # a single line, no traceback


def test_plans_cannot_be_combined_with_a_worker_pool() -> None:
    async def test() -> None:
        deployment = read_deployment(tables("127.0.0.1:1", "127.0.0.1:2", "127.0.0.1:3", "127.0.0.1:4"))
        with pytest.raises(ConfigError, match="worker pool"):
            async with running(deployment, pool="127.0.0.1:9"):
                pass

    run_test(test)
