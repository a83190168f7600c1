"""Tests of the timers."""

from __future__ import annotations

import pytest

from saltcart.core.timers import Timers


def test_callbacks_after_one_that_raises_run_next_time() -> None:
    timers, called = Timers(), list[int]()
    timers.call_at(1.0, lambda: list[None]().pop())
    timers.call_at(1.0, called.append, 2)
    with pytest.raises(IndexError):
        timers.run(1.0)
    timers.run(1.0)
    assert called == [2] and timers.next_due() is None
