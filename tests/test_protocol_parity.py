"""Parity of HTTP and AJP: under overload on real sockets, the protocol of a request makes no difference.

Half of the requests are sent over each protocol.  The test sets the clock and the seed is fixed, so that
every run is the same.  There are two runs, with the protocols swapped: each request must get the same status
in both, and the counts of each class must be equal.
"""

from __future__ import annotations

import asyncio
from collections import Counter

from saltcart.app import App
from saltcart.config import read_config
from saltcart.core.messages import InboundRequest, ResponseCallback
from saltcart.decision.outcome import Outcome
from saltcart.deployment import AjpSettings, Deployment
from saltcart.net.clock import Clock
from tests.standins import AjpClient, HttpClient, raw_config, until

REQUEST_COUNT, ARRIVAL_INTERVAL_SECONDS, RUN_SECONDS = 360, 0.03, 0.16  # twice what two cores can do
STATUS_NAMES = {200: "served", 503: "refused", 500: "failed"}


class FixedTimeWorkers:
    """A worker pool on the clock of the test: all runs take the same time, and every eleventh fails.

    Args:
        app: The application that it works for.
    """

    def __init__(self, app: App) -> None:
        self.service = app.service

    def spawn(
        self,
        request_id: bytes,
        class_name: str,
        account: str,
        body: bytes,
        must_run_once: bool,
        time_to_deadline: float,
        time_to_objective: float,
    ) -> None:
        outcome = Outcome.FAILED if int(request_id, 16) % 11 == 0 else Outcome.SUCCEEDED
        self.service.timers.call_at(
            self.service.clock.now + RUN_SECONDS,
            self.service.run_finished,
            request_id,
            outcome,
            RUN_SECONDS,
            body,
        )

    def suspend(self, request_id: bytes) -> None:
        self.service.timers.call_at(
            self.service.clock.now, self.service.run_finished, request_id, Outcome.CANCELLED, 0.0, b""
        )

    def resume(self, request_id: bytes) -> None: ...
    def supply_reply(self, request_id: bytes, reply: bytes) -> None: ...
    def skip_call(self, request_id: bytes, notice_number: int) -> None: ...

    def poll_gauges(self) -> None:
        self.service.gauges_polled((1.0, 2.0))


async def send_mix(ajp_first: bool) -> list[tuple[str, str, str]]:
    """Send the requests, alternately over the two protocols.

    Args:
        ajp_first: Whether even requests are sent over AJP and odd ones over HTTP, rather than the reverse.

    Returns:
        Protocol, class and status of each request, in the order in which they were sent.
    """
    now = 5_000.0
    app = App(
        read_config(raw_config()),
        Deployment(ajp=AjpSettings("127.0.0.1:0")),
        lambda *_, **__: None,
        clock=Clock(lambda: now, lambda: now),
    )
    app.worker_pool_override = FixedTimeWorkers(app)
    await app.start()
    submitted_ids = list[bytes]()
    submit = app.service.submit

    def record_and_submit(inbound: InboundRequest, respond: ResponseCallback) -> int:
        submitted_ids.append(inbound.request_id)
        return submit(inbound, respond)

    app.service.submit = record_and_submit  # type: ignore[method-assign]
    sent = list[tuple[str, str, asyncio.Task[int]]]()

    async def post(client: HttpClient, number: int, class_name: str) -> int:
        await client.open()
        response = await client.post(
            number,
            class_name,
            key=f"{number:x}" if class_name == "oddaja" else None,
            received_at_ms=int(now * 1000),
            rank=f"0.{number * 617 % 1000:03}",
        )
        client.drop()
        return response.status

    for n in range(1, REQUEST_COUNT + 1):
        over_ajp = (n % 2 == 0) == ajp_first
        client = AjpClient(app.addresses["ajp"]) if over_ajp else HttpClient(app.addresses["http"])
        class_name = "oddaja" if n % 4 < 2 else "read"
        sent.append(
            ("ajp" if over_ajp else "http", class_name, asyncio.create_task(post(client, n, class_name)))
        )
        await until(lambda n=n: len(submitted_ids) == n)  # type: ignore[misc]
        now += ARRIVAL_INTERVAL_SECONDS
        app.service.tick()
    for _ in range(400):
        now += 0.02
        app.service.tick()
    statuses = await asyncio.gather(*(task for _, _, task in sent))
    await app.close()
    return [
        (protocol, class_name, STATUS_NAMES[status])
        for (protocol, class_name, _), status in zip(sent, statuses)
    ]


def test_requests_get_the_same_status_over_both_protocols_under_overload() -> None:
    first, second = asyncio.run(send_mix(True)), asyncio.run(send_mix(False))
    assert [entry[1:] for entry in first] == [entry[1:] for entry in second]  # request by request
    assert all(one[0] != other[0] for one, other in zip(first, second))
    counts = Counter(first + second)
    for class_name in ("read", "oddaja"):
        by_protocol = {
            protocol: {status: counts[protocol, class_name, status] for status in STATUS_NAMES.values()}
            for protocol in ("http", "ajp")
        }
        assert (
            by_protocol["http"] == by_protocol["ajp"]
            and sum(by_protocol["http"].values()) == REQUEST_COUNT / 2
        )
    total = Counter(final_status for _, _, final_status in first)
    assert (
        total["refused"] > REQUEST_COUNT / 8 and total["served"] > REQUEST_COUNT / 4 and total["failed"] > 5
    ), total
