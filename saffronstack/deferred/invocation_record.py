"""Invocation records of deferred calls, in AWS Lambda's documented format, version 1.0. No I/O."""

from __future__ import annotations

from dataclasses import dataclass
from datetime import UTC, datetime

import msgspec

from saffronstack.deferred.retry_policy import Condition
from saffronstack.engine.identifiers import LATEST

RECORD_VERSION = "1.0"


@dataclass(frozen=True, slots=True, kw_only=True)
class CompletedInvocation:
    """An invocation that has ended.

    Attributes:
        request_id: Identifier of the invocation.
        arn: The function's Amazon resource name, without a version.
        condition: Why it ended.
        attempts: Number of attempts.
        finished_at: Unix time at which it ended.
        response: The worker's response, or None.
        function_error: "Handled" or "Unhandled" where the function itself failed.
        reason: Why there is no response.
    """

    request_id: str
    arn: str
    condition: Condition
    attempts: int
    finished_at: float
    response: bytes | None = None
    function_error: str = ""
    reason: str = ""


def encode_invocation_record(invocation: CompletedInvocation, payload: bytes) -> bytes:
    """Return the record as JSON; a payload or response that is not JSON becomes a string."""
    timestamp = datetime.fromtimestamp(invocation.finished_at, UTC)
    content: dict[str, object] = {
        "version": RECORD_VERSION,
        "timestamp": f"{timestamp:%Y-%m-%dT%H:%M:%S}.{timestamp.microsecond // 1000:03d}Z",
        "requestContext": {
            "requestId": invocation.request_id,
            "functionArn": f"{invocation.arn}:{LATEST}",
            "condition": invocation.condition.value,
            "approximateInvokeCount": invocation.attempts,
        },
        "requestPayload": _embed_payload(payload),
    }
    if invocation.response is not None:
        context: dict[str, object] = {"statusCode": 200, "executedVersion": LATEST}
        if invocation.function_error:
            context["functionError"] = invocation.function_error
        content["responseContext"] = context
        content["responsePayload"] = _embed_payload(invocation.response)
    elif invocation.reason:
        error_type = f"Saffronstack.{invocation.condition.value}"
        content["responsePayload"] = {"errorType": error_type, "errorMessage": invocation.reason}
    return msgspec.json.encode(content)


def _embed_payload(payload: bytes) -> object:
    try:
        msgspec.json.decode(payload, type=msgspec.Raw)
        payload.decode()
    except (
        msgspec.DecodeError,
        UnicodeDecodeError,
        RecursionError,
    ):  # the payload is not JSON, or nested too deeply
        return payload.decode("utf-8", "replace")
    return msgspec.Raw(payload)
