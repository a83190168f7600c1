"""Ports and a clock for tests of the core: nothing here sleeps or opens a socket."""

from __future__ import annotations

from dataclasses import replace
from typing import Any

from saltcart.core.messages import FinalResponse, InboundRequest
from saltcart.core.service import Service
from saltcart.decision.outcome import Outcome
from saltcart.decision.settings import (
    ClassSpec,
    DependencyKind,
    Effect,
    LoadSignal,
    Preemption,
    Settings,
    TenantSpec,
)

READ = ClassSpec("read", Effect.SAFE, 1.0, 3.0, 1.0, calls_dependency=True, skipped_call_weight_share=0.5)
ONCE = ClassSpec("oddaja", Effect.IDEMPOTENT_BY_KEY, 1.5, 4.0, 5.0, key_window=6.0, calls_dependency=True)
SETTINGS = Settings(
    classes=(READ, ONCE),
    cores=2,
    memory_kb=9000.0,
    answer_slack=0.08,
    drain_grace=1.0,
    max_running_per_core=8.0,
    max_running_window=2.0,
    run_memory_factor=4.0,
    key_entry_kb=5.0,
    preemption=Preemption.PAUSE,
    signal=LoadSignal.LEVEL,
    dependency=DependencyKind.TIER,
    batch_interval=0.005,
    tenants=(TenantSpec("a", 10.0, 0.5), TenantSpec("b", 10.0, 0.5)),
)


class ServiceHarness:
    """A service with everything round it faked: ``said`` holds what it asked of its ports, in order."""

    def __init__(self, settings: Settings = SETTINGS, pool_up: bool = True, **options: Any) -> None:
        self.now, self.port_calls = 1_000.0, list[tuple[Any, ...]]()
        self.logged_events: list[str] = []
        self.responses: dict[bytes, list[FinalResponse]] = {}
        self.service = Service(
            settings,
            ("cpu_busy", None, "runnable"),
            1,
            lambda: self.now,
            lambda event, **_: self.logged_events.append(event),
            **options,
        )
        self.service.ports.workers, self.service.ports.dependency_calls, self.service.ports.registration = (
            self,
            self,
            self,
        )
        if pool_up:
            self.service.pool_started(False, 100.0)

    # the ports
    def spawn(
        self, ident: bytes, klass: str, account: str, body: bytes, once: bool, within: float, aim: float
    ) -> None:
        self.port_calls.append(("spawn", ident, klass, body, once))

    def suspend(self, ident: bytes) -> None:
        self.port_calls.append(("suspend", ident))

    def resume(self, ident: bytes) -> None:
        self.port_calls.append(("resume", ident))

    def supply_reply(self, ident: bytes, reply: bytes) -> None:
        self.port_calls.append(("supply_reply", ident, reply))

    def skip_call(self, ident: bytes, notice: int) -> None:
        self.port_calls.append(("skip_call", ident, notice))

    def poll_gauges(self) -> None: ...

    def call(self, ident: bytes, limit: float, body: bytes, once: bool) -> None:
        self.port_calls.append(("call", ident, body))

    def cancel_call(self, ident: bytes) -> None:
        self.port_calls.append(("cancel_call", ident))

    def set_accepting(self, on: bool) -> None:
        self.port_calls.append(("accepting", on))

    # the driver
    def submit(self, number: int, class_name: str = "oddaja", key: bytes | None = b"k", **more: Any) -> int:
        ident = b"%016x" % number
        once = class_name == "oddaja"  # all tries of one request carry the same body
        ask = InboundRequest(
            ident,
            class_name,
            "a",
            self.now,
            3.0,
            10.0,
            0.9,
            idempotency_key=key if once else None,
            body=b"body of %b" % key if once and key else b"body-%d" % number,
        )
        return self.service.submit(replace(ask, **more), self.responses.setdefault(ident, []).append)

    def finish_run(
        self, number: int, outcome: Outcome = Outcome.SUCCEEDED, result: bytes = b"result"
    ) -> None:
        self.service.run_finished(b"%016x" % number, outcome, 0.1, result)

    def run_until(self, then: float) -> None:
        while (due := self.service.next_due()) is not None and due <= then:
            self.now = max(self.now, due)
            self.service.tick()
        self.now = then

    def spawned_ids(self) -> list[bytes]:
        return [s[1] for s in self.port_calls if s[0] == "spawn"]

    def statuses(self, number: int) -> list[str]:
        return [a.status.value for a in self.responses[b"%016x" % number]]
