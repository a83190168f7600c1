"""Adapter: the simulator's wire on standard input and output, one controller for each instance.

It translates and nothing else; every decision is in ``saltcart.decision``.
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
GAUGES = ("cpu_busy", "runnable", "mem_used", "sockets")  # those that the decision module knows
# Bits of an arrival's flags.
HINT_IS_VALID = 1
IS_RETRY = 2
IS_WRITE = 4


class SimulatedInstance:
    """One controller and the names that it was told at its start."""

    def __init__(self, fields: FieldReader) -> None:
        """``fields``: of the instance's first message."""
        settings_fields = fields.section("settings")
        settings = read_settings(settings_fields)
        self.class_indexes = {spec.name: index for index, spec in enumerate(settings.classes)}
        self.tenant_indexes = {tenant.name: index for index, tenant in enumerate(settings.tenants)}
        gauges = settings_fields.section("extra").array("gauges", [])
        self.gauges = [gauge if gauge in GAUGES else None for gauge in gauges]
        self.controller = Controller(settings, fields.integer("initSeed"))

    def read_event(self, verb: str, fields: FieldReader) -> events.Event:
        """Read one message of the wire; ``InvalidFieldError`` names what is wrong with it."""
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
        raise InvalidFieldError(f"{verb}: no such message")

    def _read_arrival(self, fields: FieldReader) -> events.RequestArrived:
        class_name = fields.text("priority")
        if class_name not in self.class_indexes:
            raise InvalidFieldError(f"{fields.where}: field priority names no class: {class_name}")
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
        account = fields.raw.get("account")
        if account in (None, 0):
            return None
        if not isinstance(account, str) or account not in self.tenant_indexes:
            raise InvalidFieldError(f"{fields.where}: field account names no tenant: {account}")
        return self.tenant_indexes[account]

    def _read_gauges(self, fields: FieldReader) -> dict[str, float]:
        values: dict[str, float] = {}
        for index, (gauge, value) in enumerate(zip(self.gauges, fields.array("serverStats", []))):
            if isinstance(value, bool) or not isinstance(value, (int, float)):
                raise InvalidFieldError(f"{fields.where}: field serverStats[{index}] is not a number")
            if gauge:
                values[gauge] = value
        return values


def read_outcome(fields: FieldReader) -> tuple[Outcome, float]:
    """Read how a run or a call ended, and after how many seconds."""
    code = fields.integer("how")
    if code not in OUTCOMES:
        raise InvalidFieldError(f"{fields.where}: field how has no such value: {code}")
    return OUTCOMES[code], fields.number("delaySeen", 0.0)


def encode(message: dict[str, Any]) -> str:
    """Return a message as a line of the wire, without its end."""
    return json.dumps(message, separators=(",", ":"))


def render(instance: int, action: actions.Action) -> str:
    """Return one action as a line of the wire."""
    return encode({**_message(action), "worker": instance})


def _message(action: actions.Action) -> dict[str, Any]:
    match action:
        case actions.StartRun(request_id):
            return {"verb": "process", "msgId": request_id}
        case actions.StopRun(request_id):
            return {"verb": "abortWork", "msgId": request_id}
        case actions.Reject():
            return _rejection(action)
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
        case actions.SetHealth(is_healthy, answer_from_cache):
            return {"verb": "setHealth", "on": is_healthy, "cheap": answer_from_cache}
        case actions.AdvertiseLevel(level):
            return {"verb": "say", "level": level}
        case actions.SetIdleTimeout(seconds):
            return {"verb": "keepalive", "keepFor": seconds}
        case actions.SetTimer(at, token):
            return {"verb": "arm", "alarmTime": at, "label": token}
        case actions.LogMessage(text):
            return {"verb": "record", "noteText": text}


def _rejection(action: actions.Reject) -> dict[str, Any]:
    message: dict[str, Any] = {"verb": "busy", "msgId": action.id}
    if action.is_final:
        message["terminal"] = True
    if action.retry_after > 0:
        message["wait"] = action.retry_after
    return message


class BatchServer:
    """Answers the simulator's batches, one line after the other."""

    def __init__(self, sink: TextIO) -> None:
        self.sink = sink
        self.instances: dict[int, SimulatedInstance] = {}
        self.now: float | None = None  # the batch's time; None between two batches
        self.last_time = -math.inf
        self.serial = 0
        self.reply: list[str] = []

    def feed(self, line: str) -> None:
        """Take one line of the input; ``InvalidFieldError`` where it is malformed."""
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
            self._handle(self.now, verb, fields)

    def end(self) -> None:
        """The input has ended; ``InvalidFieldError`` where that is within a batch."""
        if self.now is not None:
            raise InvalidFieldError("commit: missing at the end of the input")

    def _begin_batch(self, fields: FieldReader) -> None:
        if self.now is not None:
            raise InvalidFieldError("sync: the batch before it has no commit")
        now = float(fields.number("simTime", low=-math.inf))
        self.serial = fields.integer("serial")
        if now < self.last_time:
            raise InvalidFieldError(f"sync: field simTime goes back: {now}")
        self.now = self.last_time = now
        self.reply = []

    def _end_batch(self) -> None:
        self.reply.append(encode({"verb": "finished", "serial": self.serial}))
        self.sink.write("\n".join(self.reply) + "\n")
        self.sink.flush()
        self.now = None

    def _handle(self, now: float, verb: str, fields: FieldReader) -> None:
        number = fields.integer("worker")
        event: events.Event
        if verb == "boot":
            self.instances[number] = SimulatedInstance(fields)
            event = events.Started()
        elif number not in self.instances:
            raise InvalidFieldError(f"{verb}: field worker names one that never booted: {number}")
        elif verb == "teardown":
            del self.instances[number]
            return
        else:
            event = self.instances[number].read_event(verb, fields)
        try:
            decided = self.instances[number].controller.handle(now, event)
        except Exception as error:  # the wire wants a failure of the module said, not hidden
            text = f"{type(error).__name__}: {error}"
            self.reply.append(json.dumps({"verb": "fault", "worker": number, "noteText": text}))
            return
        self.reply += [render(number, action) for action in decided]


def serve(source: TextIO, sink: TextIO) -> None:
    """Answer batches until the input ends."""
    server = BatchServer(sink)
    for line in source:
        if line.strip():
            server.feed(line)
    server.end()


def main() -> int:
    """Serve standard input; return 0 at its end, 1 with one plain line when it is malformed."""
    try:
        sys.stdin.reconfigure(encoding="utf-8")  # type: ignore[union-attr]
        serve(sys.stdin, sys.stdout)
    except (InvalidFieldError, UnicodeDecodeError) as error:
        print(f"saltcart: {error}", file=sys.stderr)
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
