"""Errors in the format of the Lambda API: status, error type, JSON body."""

from __future__ import annotations

import math

import msgspec


class InvokeError(Exception):
    """A request that was not accepted, or was rejected. Its function was not executed."""

    def __init__(
        self,
        status: int,
        error_type: str,
        message: str,
        fault: str = "User",
        headers: tuple[tuple[str, str], ...] = (),
    ) -> None:
        super().__init__(message)
        self.status = status
        self.error_type = error_type
        self.message = message
        self.fault = fault
        self.headers = headers

    def body(self) -> bytes:
        """Return the JSON body. It has "Message" and "message", because clients of the API read either."""
        extra = {"Reason": "ConcurrentInvocationLimitExceeded"} if self.status == 429 else {}
        return msgspec.json.encode(
            {"Type": self.fault, "Message": self.message, "message": self.message, **extra}
        )


def not_found(arn: str) -> InvokeError:
    """Return the error for a function or a version that does not exist."""
    return InvokeError(404, "ResourceNotFoundException", f"Function not found: {arn}")


def bad_content(message: str) -> InvokeError:
    """Return the error for a request body or a header that should hold JSON and does not."""
    return InvokeError(400, "InvalidRequestContentException", message)


def bad_parameter(message: str) -> InvokeError:
    """Return the error for an invalid parameter."""
    return InvokeError(400, "InvalidParameterValueException", message)


def too_large(message: str) -> InvokeError:
    """Return the error for a payload over its size limit."""
    return InvokeError(413, "RequestTooLargeException", message)


def too_many_requests(message: str, retry_after_s: float) -> InvokeError:
    """Return the error for a rejected request, which is safe to retry.

    ``Retry-After`` is in whole seconds, so the delay is rounded up.
    """
    seconds = str(max(1, math.ceil(retry_after_s)))
    return InvokeError(429, "TooManyRequestsException", message, headers=(("Retry-After", seconds),))


def service_error(message: str, status: int = 500) -> InvokeError:
    """Return the error for a failure of the gateway before the function was executed. SDKs retry it."""
    return InvokeError(status, "ServiceException", message, fault="Service")


def outcome_unknown_payload(reason: str) -> bytes:
    """Return the payload for a call that may have been executed.

    It is sent with status 200, which SDKs do not retry.
    """
    return msgspec.json.encode(
        {
            "errorType": "Saffronstack.OutcomeUnknown",
            "errorMessage": f"The function may or may not have run: {reason}. The call was not repeated.",
        }
    )


def idempotency_mismatch(request_id: str) -> InvokeError:
    """Return the error for an idempotency key that was used with another payload. Nothing was executed."""
    return InvokeError(
        400,
        "IdempotentParameterMismatchException",
        f"The operation's name belongs to request {request_id}, which had another payload.",
    )


def response_not_stored_payload(status: int, length: int, digest: str) -> bytes:
    """Return the payload for a repeated request whose operation's response was too large to store.

    The operation has completed and is not executed again.
    """
    return msgspec.json.encode(
        {
            "errorType": "Saffronstack.AnswerNotKept",
            "errorMessage": f"The function ran and was answered with status {status}; "
            f"the answer of {length} bytes was not kept.",
            "answerBytes": length,
            "answerXxh3": digest,
        }
    )
