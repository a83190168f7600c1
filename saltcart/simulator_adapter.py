"""Adapter for the simulator: JSON lines on standard input and output, with a controller for each instance.

It only translates messages; all decisions are made in ``saltcart.decision``.
"""

from __future__ import annotations

import json
import math
import sys
from typing import Any, TextIO

from saltcart.decision import actions, events
from saltcart.decision.controller import Controller
from saltcart.decision.outcome import Outcome
from saltcart.field_reader import FieldReader, InvalidFieldError
from saltcart.platform_settings import read_settings

OUTCOMES = {
    0: Outcome.SUCCEEDED,
    5: Outcome.FAILED,
    11: Outcome.REJECTED,
    104: Outcome.BROKEN_OFF,
    110: Outcome.TIMED_OUT,
    111: Outcome.UNREACHABLE,
    114: Outcome.NOT_STARTED,
    125: Outcome.CANCELLED,
}
KNOWN_GAUGES = ("cpu_busy", "runnable", "mem_used", "sockets")  # gauges that the decision module uses
# Bits of the flags of an arrival.
HINT_IS_VALID = 1
IS_RETRY = 2
IS_WRITE = 4


class SimulatedInstance:
    """A simulated server: its controller and the class, tenant and gauge names of its settings."""

    def __init__(self, fields: FieldReader) -> None:
        """Create the controller of an instance.

        Args:
            fields: Fields of the ``boot`` message.

        Raises:
            InvalidFieldError: If the settings or the seed are malformed.
        """
        settings_fields = fields.section("settings")
        settings = read_settings(settings_fields)
        self.class_indexes = {spec.name: index for index, spec in enumerate(settings.classes)}
        self.tenant_indexes = {tenant.name: index for index, tenant in enumerate(settings.tenants)}
        gauges = settings_fields.section("extra").array("gauges", [])
        self.gauges = [gauge if gauge in KNOWN_GAUGES else None for gauge in gauges]
        self.controller = Controller(settings, fields.integer("initSeed"))

    def read_event(self, verb: str, fields: FieldReader) -> events.Event:
        """Convert a message to an event.

        Args:
            verb: Type of the message.
            fields: Fields of the message.

        Raises:
            InvalidFieldError: If the type is unknown or a field is malformed.
        """
        match verb:
            case "arrival":
                return self._read_arrival(fields)
            case "ring":
                return events.TimerFired(fields.integer("label"), **self._read_gauges(fields))
            case "leaving":
                return events.DrainStarted(fields.number("left"))
        request_id = fields.integer("msgId")
        match verb:
            case "hangup":
                return events.RequestAbandoned(request_id)
            case "blocked":
                return events.CallRequested(request_id)
            case "done":
                return events.RunFinished(request_id, *read_outcome(fields))
            case "depReply":
                return events.CallFinished(request_id, *read_outcome(fields))
        raise InvalidFieldError(f"{verb}: unknown message type")

    def _read_arrival(self, fields: FieldReader) -> events.RequestArrived:
        class_name = fields.text("priority")
        if class_name not in self.class_indexes:
            raise InvalidFieldError(f"{fields.where}: field priority is not a known class: {class_name}")
        tenant_index = self._read_tenant(fields)
        flags = fields.integer("flags", 0)
        cost_hint = fields.number("sizeHint", None)
        return events.RequestArrived(
            id=fields.integer("msgId"),
            class_index=self.class_indexes[class_name],
            size_kb=fields.number("sizeKb"),
            priority_rank=fields.number("place", 0.0),
            unread_seconds=fields.number("unreadFor", 0.0),
            time_to_deadline=fields.number("left", None) or None,
            tenant_index=tenant_index,
            cost_hint=cost_hint if flags & HINT_IS_VALID else None,
            resource_key=fields.text("targetKey", None),
            is_retry=bool(flags & IS_RETRY),
            is_write=bool(flags & IS_WRITE),
            balancer=fields.integer("author", 0),
            repeat_of=fields.integer("sameAs", None) or None,
        )

    def _read_tenant(self, fields: FieldReader) -> int | None:
        tenant_name = fields.raw.get("account")
        if tenant_name in (None, 0):
            return None
        if not isinstance(tenant_name, str) or tenant_name not in self.tenant_indexes:
            raise InvalidFieldError(f"{fields.where}: field account is not a known tenant: {tenant_name}")
        return self.tenant_indexes[tenant_name]

    def _read_gauges(self, fields: FieldReader) -> dict[str, float]:
        values: dict[str, float] = {}
        for index, (gauge, value) in enumerate(zip(self.gauges, fields.array("serverStats", []))):
            if isinstance(value, bool) or not isinstance(value, (int, float)):
                raise InvalidFieldError(f"{fields.where}: field serverStats[{index}] is not a number")
            if gauge:
                values[gauge] = value
        return values


def read_outcome(fields: FieldReader) -> tuple[Outcome, float]:
    """Return the outcome of a run or a call and its duration in seconds.

    Raises:
        InvalidFieldError: If the outcome is unknown or a field is malformed.
    """
    code = fields.integer("how")
    if code not in OUTCOMES:
        raise InvalidFieldError(f"{fields.where}: field how is not a known outcome: {code}")
    return OUTCOMES[code], fields.number("delaySeen", 0.0)


def encode_message(message: dict[str, Any]) -> str:
    """Return a message as a line of JSON without a line break."""
    return json.dumps(message, separators=(",", ":"))


def encode_action(instance_number: int, action: actions.Action) -> str:
    """Return an action of an instance as a line of JSON without a line break."""
    return encode_message({**_action_message(action), "worker": instance_number})


def _action_message(action: actions.Action) -> dict[str, Any]:
    match action:
        case actions.StartRun(request_id):
            return {"verb": "process", "msgId": request_id}
        case actions.StopRun(request_id):
            return {"verb": "abortWork", "msgId": request_id}
        case actions.Reject():
            return _reject_message(action)
        case actions.FailRequest(request_id):
            return {"verb": "finishError", "msgId": request_id}
        case actions.StartCall(request_id, timeout):
            return {"verb": "reachOut", "msgId": request_id, "maxWait": timeout}
        case actions.SkipCall(request_id):
            return {"verb": "omit", "msgId": request_id}
        case actions.ReserveKey(request_id, seconds):
            return {"verb": "remember", "msgId": request_id, "keepFor": seconds}
        case actions.ReleaseKey(request_id):
            return {"verb": "releaseKey", "msgId": request_id}
        case actions.JoinAttempt(request_id):
            return {"verb": "answerFrom", "msgId": request_id}
        case actions.SetHealth(is_healthy, respond_from_cache):
            return {"verb": "setHealth", "on": is_healthy, "cheap": respond_from_cache}
        case actions.AdvertiseLevel(level):
            return {"verb": "say", "level": level}
        case actions.SetIdleTimeout(seconds):
            return {"verb": "keepalive", "keepFor": seconds}
        case actions.SetTimer(at, token):
            return {"verb": "arm", "alarmTime": at, "label": token}
        case actions.LogMessage(text):
            return {"verb": "record", "noteText": text}


def _reject_message(action: actions.Reject) -> dict[str, Any]:
    message: dict[str, Any] = {"verb": "busy", "msgId": action.id}
    if action.is_final:
        message["terminal"] = True
    if action.back_off_seconds > 0:
        message["wait"] = action.back_off_seconds
    return message


class BatchServer:
    """Processes the simulator's batches of events line by line and writes a reply to each batch."""

    def __init__(self, sink: TextIO) -> None:
        self.sink = sink
        self.instances: dict[int, SimulatedInstance] = {}
        self.now: float | None = None  # time of the current batch; None between batches
        self.last_time = -math.inf
        self.batch_serial = 0
        self.reply: list[str] = []

    def handle_line(self, line: str) -> None:
        """Process a line of the input.

        Raises:
            InvalidFieldError: If the line is malformed.
        """
        try:
            raw = json.loads(line)
        except ValueError:
            raise InvalidFieldError(f"line is not JSON: {line.strip()[:60]}") from None
        verb = FieldReader(raw, "message").text("verb")
        fields = FieldReader(raw, verb)
        if verb == "sync":
            self._begin_batch(fields)
        elif self.now is None:
            raise InvalidFieldError(f"{verb}: outside a batch")
        elif verb == "commit":
            self._end_batch()
        else:
            self._handle_event(self.now, verb, fields)

    def end_input(self) -> None:
        """Check that the input ended between two batches.

        Raises:
            InvalidFieldError: If the last batch is incomplete.
        """
        if self.now is not None:
            raise InvalidFieldError("commit: missing at the end of input")

    def _begin_batch(self, fields: FieldReader) -> None:
        if self.now is not None:
            raise InvalidFieldError("sync: the previous batch has no commit")
        now = float(fields.number("simTime", low=-math.inf))
        self.batch_serial = fields.integer("serial")
        if now < self.last_time:
            raise InvalidFieldError(f"sync: field simTime is before that of the previous batch: {now}")
        self.now = self.last_time = now
        self.reply = []

    def _end_batch(self) -> None:
        self.reply.append(encode_message({"verb": "finished", "serial": self.batch_serial}))
        self.sink.write("\n".join(self.reply) + "\n")
        self.sink.flush()
        self.now = None

    def _handle_event(self, now: float, verb: str, fields: FieldReader) -> None:
        instance_number = fields.integer("worker")
        event: events.Event
        if verb == "boot":
            self.instances[instance_number] = SimulatedInstance(fields)
            event = events.Started()
        elif instance_number not in self.instances:
            raise InvalidFieldError(f"{verb}: field worker is not a booted instance: {instance_number}")
        elif verb == "teardown":
            del self.instances[instance_number]
            return
        else:
            event = self.instances[instance_number].read_event(verb, fields)
        try:
            resulting_actions = self.instances[instance_number].controller.handle(now, event)
        except Exception as error:  # the protocol reports a failure of the module instead of hiding it
            text = f"{type(error).__name__}: {error}"
            self.reply.append(json.dumps({"verb": "fault", "worker": instance_number, "noteText": text}))
            return
        self.reply += [encode_action(instance_number, action) for action in resulting_actions]


def serve(source: TextIO, sink: TextIO) -> None:
    """Process batches until the input ends.

    Raises:
        InvalidFieldError: If the input is malformed.
    """
    server = BatchServer(sink)
    for line in source:
        if line.strip():
            server.handle_line(line)
    server.end_input()


def main() -> int:
    """Serve standard input.

    Returns:
        The exit status: 0 at the end of the input, 1 if it is malformed, after one line on standard error.
    """
    try:
        sys.stdin.reconfigure(encoding="utf-8")  # type: ignore[union-attr]
        serve(sys.stdin, sys.stdout)
    except (InvalidFieldError, UnicodeDecodeError) as error:
        print(f"saltcart: {error}", file=sys.stderr)
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
