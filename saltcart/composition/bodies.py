"""Bodies of the calls to dependencies, and of the composed response."""

from __future__ import annotations

import base64
import json
from typing import Any

import orjson

from saltcart.composition.composed_run import ComposedRun, SubRequestStatus
from saltcart.composition.plan import CallSpec


def is_json(body: bytes) -> bool:
    """Return whether a body is a JSON text by RFC 8259, nested at most about 1,000 levels deep."""
    try:
        orjson.loads(body)
    except orjson.JSONDecodeError:
        return _is_json_beyond_orjson(body)
    return True


def _is_json_beyond_orjson(body: bytes) -> bool:
    """Accept what RFC 8259 allows and orjson rejects: numbers of any size, and lone surrogate escapes."""
    try:
        json.loads(body.decode(), parse_int=str, parse_float=str, parse_constant=_reject_constant)
    except (ValueError, RecursionError):
        return False
    return True


def _reject_constant(name: str) -> None:
    raise ValueError(f"{name} is not a JSON value")


def body_as_json(body: bytes) -> Any:
    """Return a body as a value for ``orjson.dumps``: JSON byte by byte, else as text, else in base 64.

    JSON is embedded and not parsed, because parsing loses digits of long numbers and repeated members.
    """
    if is_json(body):
        return orjson.Fragment(body)
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
