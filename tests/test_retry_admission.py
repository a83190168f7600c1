"""Requests that have run, and come again while retry-storm control rejects requests unread."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from unittest import mock

import pytest

from saltcart.app import App
from saltcart.core.idempotency_keys import KeyRecord, digest
from saltcart.core.messages import InboundRequest
from saltcart.decision.outcome import Outcome
from saltcart.deployment import AjpSettings, Deployment
from saltcart.retry_storm.controller import RetryStormController
from saltcart.retry_storm.settings import StormSettings
from saltcart.wire import ajp
from tests.fakes import SETTINGS, ServiceHarness
from tests.standins import CLIENTS, AjpClient, HttpClient, Pool, running, until

STORM_DEPLOYMENT = Deployment(ajp=AjpSettings("127.0.0.1:0"), storm=StormSettings())
both_fronts = pytest.mark.parametrize("front", CLIENTS)


class Site:
    """A service with retry-storm control, and its worker pool."""

    def __init__(self, app: App, pool: Pool, front: str) -> None:
        self.app, self.pool, self.front = app, pool, front
        assert app.storm_controller is not None
        self.controller: RetryStormController = app.storm_controller

    async def client(self) -> HttpClient:
        return await CLIENTS[self.front](self.app.addresses[self.front]).open()

    async def status(self, number: int, class_name: str = "oddaja", key: str | None = None) -> int:
        client = await self.client()
        response = await client.post(number, class_name, key=key)
        client.drop()
        return response.status

    def has_unread(self, size: int) -> bool:
        """Whether a connection has so many bytes of a request that is not read yet."""
        connections = [each for listener in self.app.listeners for each in listener.connections]
        return any(len(connection.buffer) == size for connection in connections)

    def reject_unread(self) -> None:
        """Empty the token bucket and stop its refill."""
        token_bucket = self.controller.token_bucket
        token_bucket.tokens = 0.0
        token_bucket.filled_at = self.app.service.clock.read_seconds()
        token_bucket.capacity = lambda now: 0.001


def encode_request(client: HttpClient, number: int, key: str) -> bytes:
    """Return a request as the client sends it."""
    parts = list[bytes]()
    with mock.patch.object(client.writer, "write", parts.append):
        client.send(number, "oddaja", key=key)
    return b"".join(parts)


@asynccontextmanager
async def site(front: str, finishes_runs: bool = True) -> AsyncIterator[Site]:
    async with (
        Pool(finishes_runs=finishes_runs) as pool,
        running(STORM_DEPLOYMENT, pool=pool.address) as app,
    ):
        yield Site(app, pool, front)


# Guards against: 503 for a declaration that has run, whose balancer then lodges it at another server.
@both_fronts
def test_a_retry_of_a_request_that_ran_is_served_while_others_are_rejected_unread(front: str) -> None:
    async def run_scenario() -> None:
        async with site(front) as s:
            assert await s.status(1, key="k1") == 200
            s.reject_unread()
            retry = await (await s.client()).post(2, "oddaja", key="k1")
            assert (retry.status, retry.body) == (200, b"done x")
            assert await s.status(3, key="k2") == 503
            assert await s.status(4, "read") == 503
            assert await s.status(5, key="k1") == 200
            assert s.pool.spawned == [b"%016x" % 1] and s.controller.counts.unread == 2

    asyncio.run(run_scenario())


# Guards against: the same on a connection that stays open, and 503 for the request after the retry.
@both_fronts
def test_retries_and_new_requests_on_one_connection_are_told_apart(front: str) -> None:
    async def run_scenario() -> None:
        async with site(front) as s:
            client = await s.client()
            assert (await client.post(1, "oddaja", key="k1")).status == 200
            s.reject_unread()
            assert (await client.post(2, "oddaja", key="k1")).status == 200
            assert (await client.post(3, "oddaja", key="k1")).status == 200
            assert (await client.post(4, "oddaja", key="k2")).status == 503

    asyncio.run(run_scenario())


@both_fronts
def test_a_retry_whose_head_arrives_in_two_parts_is_served_and_asks_for_admission_once(front: str) -> None:
    async def run_scenario() -> None:
        async with site(front) as s:
            assert await s.status(1, key="k1") == 200
            s.reject_unread()
            for number, cut in enumerate((5, 20, 60, 150), start=2):
                client = await s.client()
                message = encode_request(client, number, "k1")
                client.writer.write(message[:cut])
                await until(lambda size=cut: s.has_unread(size))  # type: ignore[misc]
                client.writer.write(message[cut:])
                assert (await client.read_response()).status == 200
            assert s.controller.token_bucket.rejected_count == 4

    asyncio.run(run_scenario())


@both_fronts
def test_a_retry_during_the_run_waits_for_its_result(front: str) -> None:
    async def run_scenario() -> None:
        async with site(front, finishes_runs=False) as s:
            first = await s.client()
            first.send(1, "oddaja", key="k1")
            await until(lambda: len(s.pool.spawned) == 1)
            first.drop()
            s.reject_unread()
            retry = await s.client()
            retry.send(2, "oddaja", key="k1")
            await until(lambda: len(s.app.service.requests) == 2)
            s.pool.finish(b"%016x" % 1)
            assert (await retry.read_response()).status == 200
            assert s.pool.spawned == [b"%016x" % 1]

    asyncio.run(run_scenario())


# Guards against: 503 for a request whose run failed, or that an unreported run of a predecessor may have had.
@both_fronts
def test_a_retry_of_a_failed_or_uncertain_run_fails_and_is_not_rejected(front: str) -> None:
    async def run_scenario() -> None:
        async with site(front, finishes_runs=False) as s:
            first = await s.client()
            first.send(1, "oddaja", key="k1")
            await until(lambda: len(s.pool.spawned) == 1)
            s.pool.finish(b"%016x" % 1, b"FAIL")
            assert (await first.read_response()).status == 500
            s.reject_unread()
            assert await s.status(2, key="k1") == 500
            assert await s.status(3, key="k2") == 503
            s.app.service.mark_keys_uncertain()
            assert await s.status(4, key="k2") == 500
            assert await s.status(5, "read") == 503
            assert s.pool.spawned == [b"%016x" % 1]

    asyncio.run(run_scenario())


@both_fronts
def test_an_incomplete_head_that_names_a_keyed_class_times_out(front: str) -> None:
    async def run_scenario() -> None:
        async with site(front) as s:
            assert await s.status(1, key="k1") == 200
            s.reject_unread()
            client = await s.client()
            client.writer.write(encode_request(client, 2, "k1")[:90])
            assert (await client.read_response()).status == 408
            assert s.pool.spawned == [b"%016x" % 1]

    asyncio.run(run_scenario())


# Guards against: gateways that ping before each request, and so pass the limit of requests that are read.
def test_a_ping_does_not_admit_the_request_that_follows_it() -> None:
    async def run_scenario() -> None:
        async with site("ajp") as s:
            s.reject_unread()
            client = await s.client()
            client.writer.write(ajp.CPING_PACKET)
            assert isinstance(client, AjpClient) and isinstance(await client.read_message(), ajp.CPong)
            assert (await client.post(1)).status == 503
            assert not s.pool.spawned

    asyncio.run(run_scenario())


# ---- which requests may have run -------------------------------------------------------------


def attempt(harness: ServiceHarness, key: bytes | None = b"k", **fields: object) -> InboundRequest:
    inbound = InboundRequest(b"%016x" % 99, "oddaja", "a", harness.now, 3.0, 10.0, 0.9, idempotency_key=key)
    for name, value in fields.items():
        setattr(inbound, name, value)
    return inbound


def test_only_a_key_that_has_run_in_its_window_may_have_run() -> None:
    harness = ServiceHarness()
    lookup = harness.service.run_lookup
    assert not lookup.has_keys() and not lookup.may_have_run(attempt(harness))
    harness.submit(1)
    harness.finish_run(1)
    assert lookup.has_keys() and lookup.may_have_run(attempt(harness))
    others: list[dict[str, object]] = [
        {"key": b"other"},
        {"key": None},
        {"account": "b"},
        {"class_name": "read"},
        {"class_name": "unknown"},
    ]
    for fields in others:
        assert not lookup.may_have_run(attempt(harness, **fields))  # type: ignore[arg-type]
    window_end = harness.now + SETTINGS.classes[1].key_window + SETTINGS.answer_slack
    assert lookup.may_have_run(attempt(harness, received_at=window_end + 5.0))  # its sender's clock is ahead
    harness.run_until(window_end + 0.01)
    assert not lookup.may_have_run(attempt(harness))
    assert lookup.may_have_run(attempt(harness, received_at=window_end - 1.0))  # it is read late


def test_a_held_request_has_not_run() -> None:
    harness = ServiceHarness()
    for number in range(1, 40):
        harness.submit(number, key=b"k%d" % number)
    held = set(range(1, 40)) - {int(request_id, 16) for request_id in harness.spawned_ids()}
    assert held
    for number in range(1, 40):
        may_have_run = harness.service.run_lookup.may_have_run(attempt(harness, key=b"k%d" % number))
        assert may_have_run == (number not in held)


# Guards against: 503 for a request that the predecessor has begun to run since it handed over its keys.
def test_a_key_of_the_predecessor_may_have_run_until_it_reports_the_end() -> None:
    harness = ServiceHarness()
    lookup = harness.service.run_lookup
    key = ("a", "oddaja", b"k")
    record = KeyRecord(key, 0, harness.now + 5.0, digest(b"body of k"))
    harness.service.adopt_key(record, is_free=False)
    assert lookup.may_have_run(attempt(harness))
    harness.service.adopt_key(KeyRecord(key, 0, harness.now + 5.0, digest(b"body of k")), is_free=True)
    assert not lookup.may_have_run(attempt(harness))


def test_keys_of_a_failed_run_that_never_started_are_free() -> None:
    harness = ServiceHarness()
    harness.submit(1)
    harness.finish_run(1, Outcome.NOT_STARTED)
    assert not harness.service.run_lookup.may_have_run(attempt(harness))
