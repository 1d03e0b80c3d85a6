"""Invocation records."""

from __future__ import annotations

import json

from saffronstack.deferred.invocation_record import CompletedInvocation, encode_invocation_record
from saffronstack.deferred.retry_policy import Condition


def completed_invocation(
    condition: Condition, response: bytes | None = None, function_error: str = "", reason: str = ""
) -> CompletedInvocation:
    return CompletedInvocation(
        request_id="id-1",
        arn="arn:f",
        condition=condition,
        attempts=2,
        finished_at=1.5,
        response=response,
        function_error=function_error,
        reason=reason,
    )


def test_a_served_call_has_its_response() -> None:
    assert json.loads(
        encode_invocation_record(completed_invocation(Condition.SUCCESS, b'{"sold": 1}'), b'{"op": 1}')
    ) == {
        "version": "1.0",
        "timestamp": "1970-01-01T00:00:01.500Z",
        "requestContext": {
            "requestId": "id-1",
            "functionArn": "arn:f:$LATEST",
            "condition": "Success",
            "approximateInvokeCount": 2,
        },
        "requestPayload": {"op": 1},
        "responseContext": {"statusCode": 200, "executedVersion": "$LATEST"},
        "responsePayload": {"sold": 1},
    }


def test_a_function_error_is_named_beside_the_response() -> None:
    record = json.loads(
        encode_invocation_record(completed_invocation(Condition.RETRIES_EXHAUSTED, b"{}", "Unhandled"), b"{}")
    )
    assert record["responseContext"]["functionError"] == "Unhandled"


def test_a_call_without_a_response_has_the_reason() -> None:
    record = json.loads(
        encode_invocation_record(completed_invocation(Condition.UNKNOWN, reason="why"), b"{}")
    )
    assert "responseContext" not in record
    assert record["responsePayload"] == {
        "errorType": "Saffronstack.OutcomeUnknown",
        "errorMessage": "why",
    }


def test_a_payload_that_is_not_json_is_recorded_as_a_string() -> None:
    record = json.loads(
        encode_invocation_record(completed_invocation(Condition.SUCCESS, b"\xff"), b"no json")
    )
    assert record["requestPayload"] == "no json"
    assert record["responsePayload"] == "\ufffd"
