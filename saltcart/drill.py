"""Adapter: the simulator's wire on standard input and output, one Controller for each worker.

Translates and nothing else; every decision is in ``saltcart.balance``.
"""

from __future__ import annotations

import json
import math
import sys
from typing import Any, TextIO

from saltcart import interface as i
from saltcart.balance import Controller

EFFECTS = {
    "read_like": i.Effect.SAFE, "idempotency_key": i.Effect.KEYED, "non_idempotent": i.Effect.UNSAFE,
}
PREEMPTION = {"none": i.Preemption.NONE, "drop": i.Preemption.DROP, "pause": i.Preemption.PAUSE}
SIGNALS = {
    "none": i.Signal.NONE, "level": i.Signal.LEVEL, "credit": i.Signal.CREDIT, "weight": i.Signal.WEIGHT,
}
BELOW = {"none": i.Below.NONE, "shared": i.Below.SHARED, "tier": i.Below.TIER}
OUTCOMES = {
    0: i.Outcome.OK, 5: i.Outcome.ERROR, 11: i.Outcome.REJECTED, 104: i.Outcome.BROKEN,
    110: i.Outcome.TIMEOUT, 111: i.Outcome.UNREACHABLE, 114: i.Outcome.MOOT, 125: i.Outcome.CANCELLED,
}
HINT_VALID, RETRY, WRITE = 1, 2, 4
_ABSENT: Any = object()


class WireError(Exception):
    """Input that breaks the wire's contract; the text names message and field."""


class Fields:
    """Checked access to the fields of one JSON object."""

    def __init__(self, raw: Any, where: str) -> None:
        if not isinstance(raw, dict):
            raise WireError(f"{where}: not an object")
        self.raw: dict[str, Any] = raw
        self.where = where

    def _get(self, key: str, default: Any) -> Any:
        value = self.raw.get(key)
        if value is None:
            if default is _ABSENT:
                raise WireError(f"{self.where}: field {key} is missing")
            return default
        return value

    def number(self, key: str, default: Any = _ABSENT, low: float = 0.0, high: float = math.inf) -> Any:
        value = self._get(key, default)
        if value is default:
            return value
        if isinstance(value, bool) or not isinstance(value, (int, float)) or not math.isfinite(value):
            raise WireError(f"{self.where}: field {key} is not a number")
        if not low <= value <= high:
            raise WireError(f"{self.where}: field {key} is out of range: {value}")
        return value

    def integer(self, key: str, default: Any = _ABSENT, low: int = 0) -> Any:
        value = self._get(key, default)
        if value is default:
            return value
        if isinstance(value, bool) or not isinstance(value, int) or value < low:
            raise WireError(f"{self.where}: field {key} is not a whole number from {low} up")
        return value

    def text(self, key: str, default: Any = _ABSENT) -> Any:
        value = self._get(key, default)
        if value is not default and not isinstance(value, str):
            raise WireError(f"{self.where}: field {key} is not text")
        return value

    def flag(self, key: str, default: Any = _ABSENT) -> Any:
        value = self._get(key, default)
        if value is not default and not isinstance(value, bool):
            raise WireError(f"{self.where}: field {key} is not true or false")
        return value

    def array(self, key: str, default: Any = _ABSENT) -> Any:
        value = self._get(key, default)
        if value is not default and not isinstance(value, list):
            raise WireError(f"{self.where}: field {key} is not a list")
        return value

    def part(self, key: str) -> Fields:
        return Fields(self._get(key, _ABSENT), f"{self.where}.{key}")

    def choice(self, key: str, table: dict[str, Any], default: Any = _ABSENT) -> Any:
        value = self.text(key, default)
        if value is default:
            return value
        if value not in table:
            raise WireError(f"{self.where}: field {key} has no such value: {value}")
        return table[value]


def read_settings(f: Fields) -> i.Settings:
    """The wire's settings in the module's words."""
    extra, contract = f.part("extra"), f.part("contract")
    limits = Fields(f.raw.get("limits") or {}, f"{f.where}.limits")
    mix = Fields(f.raw.get("objectiveMix") or {}, f"{f.where}.objectiveMix")
    calls = extra.array("callsByClass", [])
    skips = extra.array("classSkipWorth", [])
    services = f.array("services")
    if not services:
        raise WireError(f"{f.where}: field services is empty")
    classes = []
    for n, raw in enumerate(services):
        s = Fields(raw, f"{f.where}.services[{n}]")
        skip = skips[n] if n < len(skips) else 0.0
        if isinstance(skip, bool) or not isinstance(skip, (int, float)) or not 0 <= skip <= 1:
            raise WireError(f"{extra.where}: field classSkipWorth[{n}] is not a share")
        if n < len(calls) and not isinstance(calls[n], bool):
            raise WireError(f"{extra.where}: field callsByClass[{n}] is not true or false")
        classes.append(i.ClassSpec(
            name=s.text("name"), effect=s.choice("effect", EFFECTS), aim=s.number("onTime", low=1e-6),
            deadline=s.number("deadline", low=1e-6), worth=s.number("worth"),
            late_worth=s.number("lateValue", 0.0), window=s.number("memorySpan", 0.0),
            calls_below=n < len(calls) and calls[n], skip_worth=float(skip),
        ))
    tenants = []
    for n, raw in enumerate(f.array("orgs", [])):
        t = Fields(raw, f"{f.where}.orgs[{n}]")
        tenants.append(i.TenantSpec(t.text("name"), t.number("quotaPerS", 0.0), t.number("share", 0.0)))
    stays = limits.flag("retryAfter", False)
    return i.Settings(
        classes=tuple(classes), tenants=tuple(tenants), cores=extra.integer("cores", low=1),
        memory_kb=extra.number("memLimitKb", low=1e-6), answer_slack=contract.number("answerSlack"),
        drain_grace=contract.number("drainGrace"), crowd_limit=contract.number("fallMultiple", low=1),
        crowd_span=contract.number("fall"), cold_from=contract.number("coldFrom", 1.0, high=1),
        cold_span=contract.number("cold", 0.0), cold=extra.flag("cold", False),
        over_quota_worth=f.number("overShareWorth", 1.0),
        goal=i.Goal(mix.number("whole", 1.0), mix.number("worstWindow", 0.0),
                    mix.number("worstClass", 0.0), mix.number("worstTenant", 0.0)),
        preemption=extra.choice("preemption", PREEMPTION, i.Preemption.NONE),
        signal=extra.choice("signal", SIGNALS, i.Signal.NONE),
        below=extra.choice("below", BELOW, i.Below.NONE),
        call_share=extra.number("depShare", None), call_span=extra.number("shareSpan", 0.0),
        call_linger=extra.number("linger", 0.0), run_factor=extra.number("runFactor", 1.0, low=1),
        entry_kb=extra.number("keyKb", 0.0), fresh=extra.number("fresh", 0.0),
        heard_for=extra.number("heardFor", 0.0), idle=extra.number("idle", 0.0),
        max_stay_away=limits.number("maxRetryAfter", 0.0) if stays else 0.0,
        servers=f.integer("replicasOfMe", 1), callers=extra.integer("clientsTotal", 1),
        step=f.number("quantum", 0.001, low=1e-6), tier=f.integer("tier", 0),
    )


class Worker:
    """One controller and the names it was told at its start."""

    def __init__(self, f: Fields) -> None:
        raw = f.part("settings")
        self.settings = read_settings(raw)
        self.klass = {c.name: n for n, c in enumerate(self.settings.classes)}
        self.tenant = {t.name: n for n, t in enumerate(self.settings.tenants)}
        gauges = Fields(raw.raw["extra"], f"{raw.where}.extra").array("gauges", [])
        self.gauges = [g if g in ("cpu_busy", "runnable", "mem_used", "sockets") else None for g in gauges]
        self.controller = Controller(self.settings, f.integer("initSeed"))

    def event(self, verb: str, f: Fields) -> i.Event:
        """One wire event in the module's words."""
        if verb == "arrival":
            name, account = f.text("priority"), f.raw.get("account")
            if name not in self.klass:
                raise WireError(f"{f.where}: field priority names no class: {name}")
            if account in (None, 0):
                tenant = None
            elif isinstance(account, str) and account in self.tenant:
                tenant = self.tenant[account]
            else:
                raise WireError(f"{f.where}: field account names no tenant: {account}")
            flags = f.integer("flags", 0)
            hint = f.number("sizeHint", None)
            return i.Arrived(
                f.integer("msgId"), self.klass[name], f.number("sizeKb"), f.number("place", 0.0),
                f.number("unreadFor", 0.0), f.number("left", None) or None, tenant,
                hint if flags & HINT_VALID else None, f.text("targetKey", None),
                bool(flags & RETRY), bool(flags & WRITE), f.integer("author", 0),
                f.integer("sameAs", None) or None)
        if verb == "ring":
            values = f.array("serverStats", [])
            named: dict[str, float] = {}
            for n, (key, value) in enumerate(zip(self.gauges, values)):
                if isinstance(value, bool) or not isinstance(value, (int, float)):
                    raise WireError(f"{f.where}: field serverStats[{n}] is not a number")
                if key:
                    named[key] = value
            return i.Woken(f.integer("label"), **named)
        if verb == "leaving":
            return i.Leaving(f.number("left"))
        ident = f.integer("msgId")
        if verb == "hangup":
            return i.Abandoned(ident)
        if verb == "blocked":
            return i.AtCall(ident)
        if verb not in ("done", "depReply"):
            raise WireError(f"{verb}: no such message")
        how = f.integer("how")
        if how not in OUTCOMES:
            raise WireError(f"{f.where}: field how has no such value: {how}")
        took = f.number("delaySeen", 0.0)
        ended = i.Finished if verb == "done" else i.CallEnded
        return ended(ident, OUTCOMES[how], took)


def render(worker: int, action: i.Action) -> str:
    """One action as a line of the wire."""
    match action:
        case i.Run(ident):
            body: dict[str, Any] = {"verb": "process", "msgId": ident}
        case i.Stop(ident):
            body = {"verb": "abortWork", "msgId": ident}
        case i.TurnAway(ident, final, wait):
            body = {"verb": "busy", "msgId": ident}
            if final:
                body["terminal"] = True
            if wait > 0:
                body["wait"] = wait
        case i.Fail(ident):
            body = {"verb": "finishError", "msgId": ident}
        case i.Call(ident, limit):
            body = {"verb": "reachOut", "msgId": ident, "maxWait": limit}
        case i.SkipCall(ident):
            body = {"verb": "omit", "msgId": ident}
        case i.Keep(ident, span):
            body = {"verb": "remember", "msgId": ident, "keepFor": span}
        case i.Release(ident):
            body = {"verb": "releaseKey", "msgId": ident}
        case i.Share(ident):
            body = {"verb": "answerFrom", "msgId": ident}
        case i.Health(good, stored):
            body = {"verb": "setHealth", "on": good, "cheap": stored}
        case i.Advise(value):
            body = {"verb": "say", "level": value}
        case i.IdleClose(after):
            body = {"verb": "keepalive", "keepFor": after}
        case i.Wake(at, token):
            body = {"verb": "arm", "alarmTime": at, "label": token}
        case i.Note(text):
            body = {"verb": "record", "noteText": text}
    body["worker"] = worker
    return json.dumps(body, separators=(",", ":"))


def serve(source: TextIO, sink: TextIO) -> None:
    """Answer batches until the input ends."""
    workers: dict[int, Worker] = {}
    now: float | None = None
    serial, last, out = 0, -math.inf, list[str]()
    for line in source:
        if not line.strip():
            continue
        try:
            raw = json.loads(line)
        except ValueError:
            raise WireError(f"line is not JSON: {line.strip()[:60]}") from None
        verb = Fields(raw, "message").text("verb")
        f = Fields(raw, verb)
        if verb == "sync":
            if now is not None:
                raise WireError("sync: the batch before it has no commit")
            now, serial = float(f.number("simTime", low=-math.inf)), f.integer("serial")
            if now < last:
                raise WireError(f"sync: field simTime goes back: {now}")
            last, out = now, []
            continue
        if now is None:
            raise WireError(f"{verb}: outside a batch")
        if verb == "commit":
            out.append(json.dumps({"verb": "finished", "serial": serial}, separators=(",", ":")))
            sink.write("\n".join(out) + "\n")
            sink.flush()
            now = None
            continue
        number = f.integer("worker")
        event: i.Event
        if verb == "boot":
            workers[number] = Worker(f)
            event = i.Started()
        elif number not in workers:
            raise WireError(f"{verb}: field worker names one that never booted: {number}")
        elif verb == "teardown":
            del workers[number]
            continue
        else:
            event = workers[number].event(verb, f)
        try:
            actions = workers[number].controller.handle(now, event)
        except Exception as error:  # the wire wants a failure of the module said, not hidden
            text = f"{type(error).__name__}: {error}"
            out.append(json.dumps({"verb": "fault", "worker": number, "noteText": text}))
            continue
        out.extend(render(number, a) for a in actions)
    if now is not None:
        raise WireError("commit: missing at the end of the input")


def main() -> int:
    """Serve standard input; 0 at its end, 1 with one plain line when it is malformed."""
    try:
        sys.stdin.reconfigure(encoding="utf-8")  # type: ignore[union-attr]
        serve(sys.stdin, sys.stdout)
    except (WireError, UnicodeDecodeError) as error:
        print(f"saltcart: {error}", file=sys.stderr)
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
