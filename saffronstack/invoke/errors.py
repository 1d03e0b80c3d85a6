"""Errors as the Lambda API words them: status, error type, JSON body."""

from __future__ import annotations

import math

import msgspec


class InvokeError(Exception):
    """A call that is not taken, or was refused: nothing ran."""

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
        """The JSON body; both spellings of "message" occur among the API's clients."""
        extra = {"Reason": "ConcurrentInvocationLimitExceeded"} if self.status == 429 else {}
        return msgspec.json.encode(
            {"Type": self.fault, "Message": self.message, "message": self.message, **extra}
        )


def not_found(arn: str) -> InvokeError:
    """No such function or version."""
    return InvokeError(404, "ResourceNotFoundException", f"Function not found: {arn}")


def bad_content(message: str) -> InvokeError:
    """The request body, or a header that holds JSON, is none."""
    return InvokeError(400, "InvalidRequestContentException", message)


def bad_parameter(message: str) -> InvokeError:
    """A parameter is not valid."""
    return InvokeError(400, "InvalidParameterValueException", message)


def too_large(message: str) -> InvokeError:
    """The payload is over its limit."""
    return InvokeError(413, "RequestTooLargeException", message)


def too_many_requests(message: str, retry_after_s: float) -> InvokeError:
    """Come again later; it is harmless. ``Retry-After`` counts whole seconds, so it is rounded up."""
    seconds = str(max(1, math.ceil(retry_after_s)))
    return InvokeError(429, "TooManyRequestsException", message, headers=(("Retry-After", seconds),))


def service_error(message: str, status: int = 500) -> InvokeError:
    """Our own fault, and nothing ran: SDKs send again after it."""
    return InvokeError(status, "ServiceException", message, fault="Service")


def outcome_unknown(reason: str) -> bytes:
    """The payload of a call that may have run: an answer that no SDK sends again after."""
    return msgspec.json.encode(
        {
            "errorType": "Saffronstack.OutcomeUnknown",
            "errorMessage": f"The function may or may not have run: {reason}. The call was not repeated.",
        }
    )


def idempotency_mismatch(request_id: str) -> InvokeError:
    """An operation's name was given to another payload; nothing was touched."""
    return InvokeError(
        400,
        "IdempotentParameterMismatchException",
        f"The operation's name belongs to request {request_id}, which had another payload.",
    )


def response_not_stored(status: int, length: int, digest: str) -> bytes:
    """The payload of a repeat whose answer was too large to keep: it ended, and is not run again."""
    return msgspec.json.encode(
        {
            "errorType": "Saffronstack.AnswerNotKept",
            "errorMessage": f"The function ran and was answered with status {status}; "
            f"the answer of {length} bytes was not kept.",
            "answerBytes": length,
            "answerXxh3": digest,
        }
    )
