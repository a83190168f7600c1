"""What goes to a dependency and what comes out as the answer."""

from __future__ import annotations

import base64
from typing import Any

import orjson

from saltcart.composition.composed_run import ComposedRun, SubRequestStatus
from saltcart.composition.plan import CallSpec


def readable(body: bytes) -> Any:
    """A reply as a JSON value: as it is if it is JSON, else as text, else in base 64."""
    try:
        return orjson.loads(body)
    except orjson.JSONDecodeError:
        pass
    try:
        return body.decode()
    except UnicodeDecodeError:
        return {"base64": base64.b64encode(body).decode()}


def answers(run: ComposedRun) -> dict[str, Any]:
    """The replies so far by dependency; null for what was left out."""
    return {
        name: None if mark is SubRequestStatus.SKIPPED else readable(body)
        for name, (mark, body) in run.replies.items()
    }


def to_send(run: ComposedRun, call: CallSpec) -> bytes:
    """The body of a call."""
    if call.sends == "request":
        return run.body
    return orjson.dumps({"request": readable(run.body), "answers": answers(run)})


def answer(run: ComposedRun) -> bytes:
    """The body of the answer, once all stages are over."""
    if run.plan.answer is not None:
        return run.replies[run.plan.answer][1]
    return orjson.dumps(answers(run))
