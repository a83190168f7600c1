"""Timers by a clock that is passed in."""

from __future__ import annotations

import pytest

from saltcart.core.timers import Timers


def test_a_timer_that_fails_does_not_take_the_others_with_it() -> None:
    timers, rung = Timers(), list[int]()
    timers.call_at(1.0, lambda: list[None]().pop())
    timers.call_at(1.0, rung.append, 2)
    with pytest.raises(IndexError):
        timers.run(1.0)
    timers.run(1.0)
    assert rung == [2] and timers.next_due() is None
