"""The operators' front: a second address, one call and its answer on each connection."""

from __future__ import annotations

from collections.abc import Callable

from saltcart.core.service import Service
from saltcart.net.listener import Listener, ServerConnection
from saltcart.wire.control import next_call, statsd
from saltcart.wire.errors import MalformedMessageError

CONNECTIONS = 24  # beyond these the one that has been silent longest makes way
FIGURES = (("fulfilled", "served"), ("throttled", "refused"), ("faulted", "failed"))


class ControlConnection(ServerConnection):
    def __init__(self, listener: Listener, service: Service, ready: Callable[[], bool]) -> None:
        super().__init__(listener, limit=4096)
        self.service, self.ready = service, ready

    def received(self) -> None:
        try:
            call = next_call(self.buffer)
            answer = None if call is None else self.answer(call)
        except MalformedMessageError as error:
            answer = f"ERR {error}\n"
        if answer is not None:
            self.listener.clear_state(self)
            self.send(answer.encode())
            self.half_close()  # one call a connection: what follows it is not one

    def answer(self, call: str) -> str:
        match call:
            case "check":
                return "OK yes\n" if self.ready() else "ERR not yet\n"
            case "vars":
                return self.figures()
            case "drain-on" | "drain-off":
                self.service.set_withdrawn(call == "drain-on")
                return f"OK {call}\n"
        return "ERR no such call\n"

    def figures(self) -> str:
        """Every figure of every class, those at nought too, and the end of them."""
        counts, lines = self.service.counters.by_class(), list[str]()
        for klass in self.service.intake.class_indexes:
            lines += [statsd(f"{name}.{klass}", counts[klass, what], "c") for name, what in FIGURES]
            lines.append(statsd(f"relayed.{klass}", self.service.counters.runs_started[klass], "c"))
            if klass in self.service.composed_classes:
                lines.append(statsd(f"partial.{klass}", counts[klass, "partial"], "c"))
        lines.append(statsd("open_requests", self.service.lifecycle.open_request_count(), "g"))
        lines += [statsd(name, value, "g") for more in self.service.metric_sources for name, value in more()]
        return "".join(lines) + "END\n"
