"""The operators' front, on an address of its own: one command and its response on each connection."""

from __future__ import annotations

from collections.abc import Callable

from saltcart.core.draining import DrainNotSharedError
from saltcart.core.service import Service
from saltcart.net.listener import Listener, ServerConnection
from saltcart.wire.control import format_metric, take_command
from saltcart.wire.errors import MalformedMessageError

MAX_CONNECTIONS = 24  # beyond it, a new connection closes the longest idle one
# Metric names, and the counters that they show.
OUTCOME_METRICS = (("fulfilled", "served"), ("throttled", "refused"), ("faulted", "failed"))


class ControlConnection(ServerConnection):
    """An operator's connection."""

    def __init__(
        self,
        listener: Listener,
        service: Service,
        is_ready: Callable[[], bool],
        set_withdrawn: Callable[[bool], None],
    ) -> None:
        """Create a connection.

        Args:
            listener: The listener that accepted the connection.
            service: The service to control.
            is_ready: Returns whether the server can serve requests.
            set_withdrawn: Withdraws the instance for operators, or ends that; raises ``DrainNotSharedError``
                if other processes of the instance could not be reached.
        """
        super().__init__(listener, limit=4096)
        self.service, self.is_ready, self.set_withdrawn = service, is_ready, set_withdrawn

    def received(self) -> None:
        """Execute the command once its line is complete, and end the connection with the response."""
        try:
            command = take_command(self.buffer)
            response = None if command is None else self.execute(command)
        except MalformedMessageError as error:
            response = f"ERR {error}\n"
        if response is not None:
            self.listener.clear_state(self)
            self.send(response.encode())
            self.half_close()  # only one command is read on each connection; further data is ignored

    def execute(self, command: str) -> str:
        """Execute a command and return the text of the response."""
        match command:
            case "check":
                return "OK yes\n" if self.is_ready() else "ERR not yet\n"
            case "vars":
                return self.format_metrics()
            case "drain-on" | "drain-off":
                return self._change_drain(command)
        return "ERR no such call\n"

    def _change_drain(self, command: str) -> str:
        try:
            self.set_withdrawn(command == "drain-on")
        except DrainNotSharedError as error:
            return f"ERR {command} holds at this process, but {error}\n"
        return f"OK {command}\n"

    def format_metrics(self) -> str:
        """Return all metrics of all classes, including those that are 0, followed by an END line."""
        counts, lines = self.service.counters.by_class(), list[str]()
        for class_name in self.service.intake.class_indexes:
            lines += [
                format_metric(f"{name}.{class_name}", counts[class_name, counter], "c")
                for name, counter in OUTCOME_METRICS
            ]
            lines.append(
                format_metric(f"relayed.{class_name}", self.service.counters.runs_started[class_name], "c")
            )
            if class_name in self.service.composed_classes:
                lines.append(format_metric(f"partial.{class_name}", counts[class_name, "partial"], "c"))
        lines.append(format_metric("open_requests", self.service.lifecycle.open_request_count(), "g"))
        lines += [
            format_metric(name, value, "g")
            for source in self.service.metric_sources
            for name, value in source()
        ]
        return "".join(lines) + "END\n"
