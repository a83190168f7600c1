"""Bodies of the calls to dependencies, and of the composed response."""

from __future__ import annotations

import base64
from typing import Any

import orjson

from saltcart.composition.composed_run import ComposedRun, SubRequestStatus
from saltcart.composition.plan import CallSpec


def body_as_json(body: bytes) -> Any:
    """Return a body as a JSON value: parsed if it is JSON, else as text, else in base 64."""
    try:
        return orjson.loads(body)
    except orjson.JSONDecodeError:
        pass
    try:
        return body.decode()
    except UnicodeDecodeError:
        return {"base64": base64.b64encode(body).decode()}


def replies_by_dependency(run: ComposedRun) -> dict[str, Any]:
    """Return the replies of the finished stages by dependency, with null for skipped calls."""
    return {
        name: None if status is SubRequestStatus.SKIPPED else body_as_json(body)
        for name, (status, body) in run.replies.items()
    }


def call_body(run: ComposedRun, call: CallSpec) -> bytes:
    """Return the body that a call sends."""
    if call.sends == "request":
        return run.body
    return orjson.dumps({"request": body_as_json(run.body), "answers": replies_by_dependency(run)})


def response_body(run: ComposedRun) -> bytes:
    """Return the body of the response, once all stages are finished."""
    if run.plan.answer is not None:
        return run.replies[run.plan.answer][1]
    return orjson.dumps(replies_by_dependency(run))
