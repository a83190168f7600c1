"""One client that sends requests at full speed: what it may cost other clients and the process."""

from __future__ import annotations

from tests.fakes import ServiceHarness


# Guards against: a flood of refused requests that leaves a timer each until its deadline.
def test_a_request_that_is_rejected_at_once_leaves_no_timer() -> None:
    harness = ServiceHarness()
    harness.service.start_drain(4.0)
    harness.run_until(harness.now + 2.0)  # past the grace: nothing that arrives now may run
    timer_count = len(harness.service.timers.heap)
    for number in range(1, 101):
        harness.submit(number, "read")
    assert all(harness.statuses(number) == ["refused"] for number in range(1, 101))
    assert len(harness.service.timers.heap) == timer_count and not harness.service.requests
