"""The responses that final answers of calls become."""

from __future__ import annotations

from saffronstack.engine.calls import FinalAnswer, FinalStatus
from saffronstack.invoke import errors
from saffronstack.invoke.errors import InvokeError
from saffronstack.invoke.invocation import Headers
from saffronstack.invoke.response import Response
from saffronstack.operations.request_coalescing import CacheableResponse

REPLAYED_HEADER = ("X-Saffron-Repeated", "true")  # on a response that another send of the operation got
FUNCTION_ERROR_HEADER = ("X-Amz-Function-Error", "Unhandled")


def build_response(final: FinalAnswer, headers: Headers, wants_log: bool) -> Response:
    """Return the response to a call that was served or failed."""
    if final.status is not FinalStatus.SERVED:
        return Response(200, (*headers, FUNCTION_ERROR_HEADER), errors.outcome_unknown(final.reason))
    function_error = (("X-Amz-Function-Error", final.function_error),) if final.function_error else ()
    log_tail = (("X-Amz-Log-Result", final.log_tail),) if wants_log and final.log_tail else ()
    return Response(200, (*headers, *function_error, *log_tail), final.payload)


def rejection_error(final: FinalAnswer) -> InvokeError:
    """Return the error for a call that was rejected."""
    return errors.too_many_requests(f"Rate exceeded: {final.reason or 'refused'}.", final.retry_after_s)


def unknown_outcome(headers: Headers, reason: str) -> Response:
    """Return the response to a send whose operation may have run."""
    return Response(200, (*headers, FUNCTION_ERROR_HEADER, REPLAYED_HEADER), errors.outcome_unknown(reason))


def replayed(response: CacheableResponse) -> Response:
    """Return a response for another send of its operation."""
    return Response(response.status, (*response.headers, REPLAYED_HEADER), response.body)
