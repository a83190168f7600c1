"""The drain by operators, which holds for all processes of an instance, whichever of them is called."""

from __future__ import annotations

from pathlib import Path

from saltcart.core.draining import DrainNotSharedError
from saltcart.core.ports import Log
from saltcart.core.service import Service
from saltcart.net.drain_file import DrainFile
from saltcart.net.handover import HandoverLink
from saltcart.net.supervision import PeriodicTask
from saltcart.takeover.predecessor import Predecessor
from saltcart.takeover.successor import Successor
from saltcart.wire.errors import MalformedMessageError
from saltcart.wire.handover import ReportedDrain

FOLLOW_INTERVAL_SECONDS = 0.05  # health checks come every 0.1 s


class OperatorDrain:
    """Shares the drain by operators with the other processes of the instance, and follows them.

    The processes share it in a file.  A successor of an earlier release, which doesn't read the file,
    receives packets; a predecessor of such a release can't be reached.

    Args:
        folder: The private folder that all processes of this instance share.
        name: The name of the instance, which is part of the name of the file.
    """

    def __init__(
        self,
        folder: Path,
        name: str,
        service: Service,
        log: Log,
        predecessor: Predecessor,
        successor: Successor,
    ) -> None:
        self.path = folder / f"saltcart-{name}.drain"
        self.service = service
        self.log = log
        self.predecessor = predecessor
        self.successor = successor
        self.file: DrainFile | None = None  # None as well once it can't be read or written
        self.follow_task = PeriodicTask(FOLLOW_INTERVAL_SECONDS, self._follow)
        predecessor.on_drain_reported = self._on_reported

    def start(self) -> None:
        """Adopt the state of the other processes, and follow its changes."""
        try:
            self.file = DrainFile(self.path)
        except OSError as error:
            self.log("drain-unshared", error=str(error))
            return
        self._follow()
        self.follow_task.start()

    def set_withdrawn(self, is_withdrawn: bool) -> None:
        """Withdraw the instance for operators, or end that, at this process and all others.

        Raises:
            DrainNotSharedError: It holds at this process, but others could not be reached.
        """
        self._apply(is_withdrawn)
        unreached = [link.peer_process_id for link in self._unreached_links()]
        if unreached:
            raise DrainNotSharedError(unreached)

    def _apply(self, is_withdrawn: bool) -> None:
        self.service.set_withdrawn(is_withdrawn)
        if self.file is not None:
            try:
                self.file.write(is_draining=is_withdrawn)
            except OSError as error:
                self._stop_sharing(error)
        self.successor.report_drain(is_shared=self.file is not None)

    def _unreached_links(self) -> list[HandoverLink]:
        """Return the links of living processes that learn of changes neither by the file nor by a packet."""
        links = list[HandoverLink]()
        if self.predecessor.link is not None:
            links.append(self.predecessor.link)
        if self.successor.link is not None and not self.successor.reaches_successor():
            links.append(self.successor.link)
        return [link for link in links if not self.is_shared_with(link)]

    def is_shared_with(self, link: HandoverLink) -> bool:
        """Return whether the process at the other end of a link reads the file; earlier releases don't."""
        if self.file is None:
            return False
        try:
            return self.file.is_read_by(link.peer_process_id)
        except OSError as error:
            self.log("drain-unshared", error=str(error))
            return False

    def _on_reported(self, report: ReportedDrain) -> None:
        """Adopt a change that the predecessor reports, unless the file has it, possibly with later ones."""
        if not report.is_shared or self.file is None:
            self._apply(report.is_withdrawn)

    def _follow(self) -> None:
        if self.file is None:
            return
        try:
            is_withdrawn = self.file.read()
        except MalformedMessageError as error:
            self.log("drain-malformed", error=str(error))
            self._apply(self.service.drain.is_withdrawn)  # mends the file
            return
        except OSError as error:
            self._stop_sharing(error)
            return
        if is_withdrawn != self.service.drain.is_withdrawn:
            self.service.set_withdrawn(is_withdrawn)
            self.successor.report_drain(is_shared=True)

    def _stop_sharing(self, error: OSError) -> None:
        """Give the file up, so that its state doesn't overrule this process, and the others can tell."""
        self.log("drain-unshared", error=str(error))
        self.close()

    def close(self) -> None:
        """Stop following, because this process ends or can't."""
        self.follow_task.stop()
        if self.file is not None:
            self.file.close()
            self.file = None
