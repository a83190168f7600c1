"""Half the load over HTTP, half over AJP, on real sockets under overload: the protocol makes no difference.

The clock is the test's and the seed is fixed, so that a play is the same every time.  It is played twice with
the protocols swapped: each request must fare alike over both, and so must the counts of each class.
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

REQUESTS, APART, TAKES = 360, 0.03, 0.16  # twice what two cores do
VERDICTS = {200: "served", 503: "refused", 500: "failed"}


class Work:
    """The runs port by the test's clock: each run takes as long, every eleventh fails."""

    def __init__(self, app: App) -> None:
        self.service = app.service

    def spawn(
        self,
        request_id: bytes,
        class_name: str,
        account: str,
        body: bytes,
        once: bool,
        within: float,
        aim: float,
    ) -> None:
        outcome = Outcome.FAILED if int(request_id, 16) % 11 == 0 else Outcome.SUCCEEDED
        self.service.timers.call_at(
            self.service.clock.now + TAKES, self.service.run_finished, request_id, outcome, TAKES, body
        )

    def suspend(self, request_id: bytes) -> None:
        self.service.timers.call_at(
            self.service.clock.now, self.service.run_finished, request_id, Outcome.CANCELLED, 0.0, b""
        )

    def resume(self, request_id: bytes) -> None: ...
    def supply_reply(self, request_id: bytes, reply: bytes) -> None: ...
    def skip_call(self, request_id: bytes, notice: int) -> None: ...

    def poll_gauges(self) -> None:
        self.service.gauges_polled((1.0, 2.0))


async def play(ajp_first: bool) -> list[tuple[str, str, str]]:
    """Protocol, class and verdict of each request, in the order in which they were sent."""
    now = 5_000.0
    app = App(
        read_config(raw_config()),
        Deployment(ajp=AjpSettings("127.0.0.1:0")),
        lambda *_, **__: None,
        clock=Clock(lambda: now, lambda: now),
    )
    app.worker_pool_override = Work(app)
    await app.start()
    taken = list[bytes]()
    arrive = app.service.submit

    def counted(inbound: InboundRequest, respond: ResponseCallback) -> int:
        taken.append(inbound.request_id)
        return arrive(inbound, respond)

    app.service.submit = counted  # type: ignore[method-assign]
    asked = list[tuple[str, str, asyncio.Task[int]]]()

    async def ask(client: HttpClient, number: int, klass: str) -> int:
        await client.open()
        answer = await client.post(
            number,
            klass,
            key=f"{number:x}" if klass == "oddaja" else None,
            received_at_ms=int(now * 1000),
            rank=f"0.{number * 617 % 1000:03}",
        )
        client.drop()
        return answer.status

    for n in range(1, REQUESTS + 1):
        over_ajp = (n % 2 == 0) == ajp_first
        client = AjpClient(app.addresses["ajp"]) if over_ajp else HttpClient(app.addresses["http"])
        klass = "oddaja" if n % 4 < 2 else "read"
        asked.append(("ajp" if over_ajp else "http", klass, asyncio.create_task(ask(client, n, klass))))
        await until(lambda n=n: len(taken) == n)  # type: ignore[misc]
        now += APART
        app.service.tick()
    for _ in range(400):
        now += 0.02
        app.service.tick()
    statuses = await asyncio.gather(*(task for _, _, task in asked))
    await app.close()
    return [(protocol, klass, VERDICTS[status]) for (protocol, klass, _), status in zip(asked, statuses)]


def test_a_mix_under_overload_fares_alike_over_both_protocols() -> None:
    first, second = asyncio.run(play(True)), asyncio.run(play(False))
    assert [x[1:] for x in first] == [x[1:] for x in second]  # request by request
    assert all(a[0] != b[0] for a, b in zip(first, second))
    counts = Counter(first + second)
    for klass in ("read", "oddaja"):
        over = {p: {v: counts[p, klass, v] for v in VERDICTS.values()} for p in ("http", "ajp")}
        assert over["http"] == over["ajp"] and sum(over["http"].values()) == REQUESTS / 2
    total = Counter(verdict for _, _, verdict in first)
    assert total["refused"] > REQUESTS / 8 and total["served"] > REQUESTS / 4 and total["failed"] > 5, total
