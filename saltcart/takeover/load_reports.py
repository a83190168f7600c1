"""Reports of the load that older processes of an instance still have, to the process that serves.

Each process reports its own load together with what the processes before it report, so that the newest one
counts all of them, over any number of takeovers.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from saltcart.core.service import Service
from saltcart.decision.events import PredecessorLoad
from saltcart.net.handover import HandoverLink
from saltcart.net.listener import Listener
from saltcart.net.supervision import PeriodicTask
from saltcart.takeover.timing import POLL_INTERVAL_SECONDS
from saltcart.wire import handover as wire
from saltcart.wire.handover import HandoverPacket, ReportedLoad

# When a process ends, those before it report to the process that serves within this time.
REPORT_GRACE_SECONDS = 0.25


class OlderProcessLoads:
    """Sums up what older processes report, each by its link, and accounts for it in this process.

    Args:
        service: Counts the runs and the memory of the older processes.
        fronts: The listeners by name; the HTTP front counts the older processes' client connections.
    """

    def __init__(self, service: Service, fronts: dict[str, Listener]) -> None:
        self.service = service
        self.fronts = fronts
        self.by_link: dict[HandoverLink, ReportedLoad] = {}

    @property
    def load(self) -> PredecessorLoad:
        """The load that the older processes still have."""
        total = PredecessorLoad()
        for report in self.by_link.values():
            total = total.plus(report.own).plus(report.older)
        return total

    @property
    def connection_count(self) -> int:
        """The number of client connections that the older processes still have."""
        return sum(report.connections for report in self.by_link.values())

    def record(self, link: HandoverLink, report: ReportedLoad) -> None:
        """Replace what the process at the other end of a link has reported before."""
        self.by_link[link] = report
        self._account_for_load()

    def record_passed_connection(self, link: HandoverLink) -> None:
        """Count one connection less, because it has been passed to this process."""
        report = self.by_link.get(link, ReportedLoad())
        self.by_link[link] = report._replace(connections=max(0, report.connections - 1))
        self.account_for_connections()

    def record_end(self, link: HandoverLink) -> None:
        """Count a process that has ended for as long as its load may remain.

        Its runs continue in its worker pool, which reports their ends to no process.  They count for the
        longest latency objective.  The processes before it report to this one on their own links.
        """
        report = self.by_link.get(link)
        if report is None:
            return
        self.by_link[link] = report._replace(connections=0)
        self.account_for_connections()
        loop = asyncio.get_running_loop()
        loop.call_later(REPORT_GRACE_SECONDS, self._forget_older, link)
        if report.own.running or report.own.calling:
            loop.call_later(self.service.longest_objective, self.forget, link)
        else:
            loop.call_later(REPORT_GRACE_SECONDS, self.forget, link)

    def _forget_older(self, link: HandoverLink) -> None:
        report = self.by_link.get(link)
        if report is not None:
            self.record(link, report._replace(older=PredecessorLoad()))

    def forget(self, link: HandoverLink) -> None:
        """Count nothing more that was reported on a link."""
        if self.by_link.pop(link, None) is not None:
            self._account_for_load()

    def account_for_connections(self) -> None:
        """Tell the HTTP front how many connections the older processes have; one limit applies to all."""
        if "http" in self.fronts:
            self.fronts["http"].predecessor_connections = self.connection_count

    def _account_for_load(self) -> None:
        self.account_for_connections()
        self.service.set_predecessor_load(self.load)


class LoadReporter:
    """Reports the load of this process and of the older ones, whenever it has changed.

    Args:
        service: Knows the load of its own runs and of the older processes.
        fronts: The listeners by name, with the client connections.
        older_processes: What the older processes report.
        send: Sends a packet to the process that serves.
    """

    def __init__(
        self,
        service: Service,
        fronts: dict[str, Listener],
        older_processes: OlderProcessLoads,
        send: Callable[[HandoverPacket], None],
    ) -> None:
        self.service = service
        self.fronts = fronts
        self.older_processes = older_processes
        self.send = send
        self.last_report: ReportedLoad | None = None
        self.task = PeriodicTask(POLL_INTERVAL_SECONDS, self._report)

    def start(self) -> None:
        """Report now, and each change from now on."""
        self.last_report = None
        self._report()
        self.task.start()

    def stop(self) -> None:
        """Report nothing more."""
        self.task.stop()

    def _report(self) -> None:
        report = self._current_load()
        if report != self.last_report:
            self.last_report = report
            self.send(wire.load_packet(report))

    def _current_load(self) -> ReportedLoad:
        own_connections = sum(len(listener.connections) for listener in self.fronts.values())
        connections = own_connections + self.older_processes.connection_count
        return ReportedLoad(self.service.load(), self.older_processes.load, connections)
