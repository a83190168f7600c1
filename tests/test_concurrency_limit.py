"""Tests of the number of run slots."""

from __future__ import annotations

from dataclasses import replace

import pytest

from saltcart.decision.concurrency_limit import ConcurrencyLimiter
from tests.test_controller import BASE


def test_slots_grow_fast_while_cores_idle_and_shrink_without_higher_throughput() -> None:
    limiter = ConcurrencyLimiter(BASE)
    for n in range(3):
        limiter.update(1 + n * 0.3, 99.0, 0.4, 5, 9.0)
        limiter.update(1 + n * 0.3 + 0.1, 99.0, 0.4, 5, 9.0)  # the gauge is not updated that fast
    assert limiter.slots == 5
    limiter.period_started_at = 1.0
    for n in range(2, 8):
        limiter.completions = 10
        limiter.update(float(n), 99.0, 1.0, 5, 1.0)
    assert limiter.slots == 2
    limiter.completions = 40  # a rise well beyond counting noise
    limiter.update(9.0, 99.0, 1.0, 5, 1.0)
    assert limiter.slots == 3


def test_cold_server_survives_fewer_requests() -> None:
    limiter = ConcurrencyLimiter(replace(BASE, starts_cold=True, cold_speed_share=0.25, warm_up_seconds=10.0))
    assert limiter.survivable_requests(0.0) == pytest.approx(2 * 2.0)
    assert limiter.survivable_requests(10.0) == pytest.approx(2 * 5.0)
