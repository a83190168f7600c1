"""Signal handlers on the event loop that report when a signal arrived."""

from __future__ import annotations

import asyncio
import signal
from collections.abc import Callable


def handle_signals(
    signal_numbers: tuple[int, ...], clock: Callable[[], float], on_signal: Callable[[float], None]
) -> None:
    """Handle signals on the running event loop.

    The loop runs a handler only after the iteration in which the signal arrived, but the time to drain counts
    from the signal itself.  So a plain signal handler records the time.

    Args:
        signal_numbers: The signals to handle.
        clock: Returns the time in seconds.
        on_signal: Called for each signal with the seconds since the first of them arrived.
    """
    loop, arrival_times = asyncio.get_running_loop(), list[float]()
    for signal_number in signal_numbers:
        loop.add_signal_handler(signal_number, lambda: on_signal(clock() - arrival_times[0]))
        # Replaces asyncio's own empty handler; the loop is still woken through its wake-up descriptor.
        signal.signal(signal_number, lambda *_: arrival_times.append(clock()))
        signal.siginterrupt(signal_number, False)
