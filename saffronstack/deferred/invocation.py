"""The invocation record that a deferred call ends with: Lambda's documented one, version 1.0. No I/O."""

from __future__ import annotations

from datetime import UTC, datetime

import msgspec

from saffronstack.deferred.recovery import Condition
from saffronstack.engine.identifiers import LATEST


def record(
    *,
    request_id: str,
    arn: str,
    condition: Condition,
    attempts: int,
    request: bytes,
    at: float,
    response: bytes | None = None,
    function_error: str = "",
    reason: str = "",
) -> bytes:
    """The record as JSON; ``at`` in Unix seconds. A payload that is no JSON stands in it as a text."""
    stamp = datetime.fromtimestamp(at, UTC)
    content: dict[str, object] = {
        "version": "1.0",
        "timestamp": f"{stamp:%Y-%m-%dT%H:%M:%S}.{stamp.microsecond // 1000:03d}Z",
        "requestContext": {
            "requestId": request_id,
            "functionArn": f"{arn}:{LATEST}",
            "condition": condition.value,
            "approximateInvokeCount": attempts,
        },
        "requestPayload": _json(request),
    }
    if response is not None:
        context: dict[str, object] = {"statusCode": 200, "executedVersion": LATEST}
        if function_error:
            context["functionError"] = function_error
        content["responseContext"] = context
        content["responsePayload"] = _json(response)
    elif reason:
        content["responsePayload"] = {"errorType": f"Saffronstack.{condition.value}", "errorMessage": reason}
    return msgspec.json.encode(content)


def _json(payload: bytes) -> object:
    try:
        msgspec.json.decode(payload, type=msgspec.Raw)
        payload.decode()
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError):
        return payload.decode("utf-8", "replace")
    return msgspec.Raw(payload)
