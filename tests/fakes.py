"""Fake ports and a fake clock for tests of the core, without sleeping or sockets."""

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
KEYED = ClassSpec("oddaja", Effect.IDEMPOTENT_BY_KEY, 1.5, 4.0, 5.0, key_window=6.0, calls_dependency=True)
SETTINGS = Settings(
    classes=(READ, KEYED),
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
    """A service with fake ports and a fake clock.

    ``port_calls`` holds the calls on the ports in order, ``logged_events`` the names of logged events, and
    ``responses`` the final responses by request id.  With ``pool_up`` the worker pool has started.
    """

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

    # The ports.
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
        self.port_calls.append(("spawn", request_id, class_name, body, must_run_once))

    def suspend(self, request_id: bytes) -> None:
        self.port_calls.append(("suspend", request_id))

    def resume(self, request_id: bytes) -> None:
        self.port_calls.append(("resume", request_id))

    def supply_reply(self, request_id: bytes, reply: bytes) -> None:
        self.port_calls.append(("supply_reply", request_id, reply))

    def skip_call(self, request_id: bytes, notice_number: int) -> None:
        self.port_calls.append(("skip_call", request_id, notice_number))

    def poll_gauges(self) -> None: ...

    def call(self, request_id: bytes, timeout: float, body: bytes, must_run_once: bool) -> None:
        self.port_calls.append(("call", request_id, body))

    def cancel_call(self, request_id: bytes) -> None:
        self.port_calls.append(("cancel_call", request_id))

    def set_accepting(self, is_accepting: bool) -> None:
        self.port_calls.append(("set_accepting", is_accepting))

    # Input to the service.
    def submit(self, number: int, class_name: str = "oddaja", key: bytes | None = b"k", **fields: Any) -> int:
        request_id = b"%016x" % number
        is_keyed = class_name == "oddaja"
        inbound = InboundRequest(
            request_id,
            class_name,
            "a",
            self.now,
            3.0,
            10.0,
            0.9,
            idempotency_key=key if is_keyed else None,
            # All attempts of one request have the same body.
            body=b"body of %b" % key if is_keyed and key else b"body-%d" % number,
        )
        return self.service.submit(
            replace(inbound, **fields), self.responses.setdefault(request_id, []).append
        )

    def finish_run(
        self, number: int, outcome: Outcome = Outcome.SUCCEEDED, result: bytes = b"result"
    ) -> None:
        self.service.run_finished(b"%016x" % number, outcome, 0.1, result)

    def run_until(self, end: float) -> None:
        while (due := self.service.next_due()) is not None and due <= end:
            self.now = max(self.now, due)
            self.service.tick()
        self.now = end

    def spawned_ids(self) -> list[bytes]:
        return [call[1] for call in self.port_calls if call[0] == "spawn"]

    def statuses(self, number: int) -> list[str]:
        return [response.status.value for response in self.responses[b"%016x" % number]]
