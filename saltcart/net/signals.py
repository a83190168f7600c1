"""Signals on the event loop, with the moment at which they came."""

from __future__ import annotations

import asyncio
import signal
from collections.abc import Callable


def handle_signals(
    numbers: tuple[int, ...], clock: Callable[[], float], leave: Callable[[float], None]
) -> None:
    """``leave`` is told how long ago the first of these signals came, in seconds.

    The loop hears of a signal once the turn is over in which it came, and the drain counts from the signal.
    """
    loop, noted = asyncio.get_running_loop(), list[float]()
    for number in numbers:
        loop.add_signal_handler(number, lambda: leave(clock() - noted[0]))
        signal.signal(number, lambda *_: noted.append(clock()))  # the loop is woken as before
        signal.siginterrupt(number, False)
