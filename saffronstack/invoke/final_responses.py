"""Converts final answers of calls to HTTP responses."""

from __future__ import annotations

from saffronstack.engine.calls import FinalAnswer, FinalStatus
from saffronstack.invoke import errors
from saffronstack.invoke.errors import InvokeError
from saffronstack.invoke.invocation import Headers
from saffronstack.invoke.response import Response
from saffronstack.operations.request_coalescing import CacheableResponse

REPLAYED_HEADER = ("X-Saffron-Repeated", "true")  # marks the response of an earlier request of the operation
FUNCTION_ERROR_HEADER = ("X-Amz-Function-Error", "Unhandled")


def build_response(final: FinalAnswer, headers: Headers, wants_log: bool) -> Response:
    """Return the response for the final answer of a call that was served or failed."""
    if final.status is not FinalStatus.SERVED:
        return Response(200, (*headers, FUNCTION_ERROR_HEADER), errors.outcome_unknown_payload(final.reason))
    function_error = (("X-Amz-Function-Error", final.function_error),) if final.function_error else ()
    log_tail = (("X-Amz-Log-Result", final.log_tail),) if wants_log and final.log_tail else ()
    return Response(200, (*headers, *function_error, *log_tail), final.payload)


def rejection_error(final: FinalAnswer) -> InvokeError:
    """Return the error for the final answer of a call that was rejected."""
    return errors.too_many_requests(f"Rate exceeded: {final.reason or 'refused'}.", final.retry_after_s)


def outcome_unknown_response(headers: Headers, reason: str) -> Response:
    """Return the response to a request whose operation may have been executed."""
    return Response(
        200, (*headers, FUNCTION_ERROR_HEADER, REPLAYED_HEADER), errors.outcome_unknown_payload(reason)
    )


def replayed_response(response: CacheableResponse) -> Response:
    """Return an operation's response for another request of that operation, marked as a replay."""
    return Response(response.status, (*response.headers, REPLAYED_HEADER), response.body)
