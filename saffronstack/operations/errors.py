"""Errors of idempotent operations."""

from __future__ import annotations

from saffronstack.operations.operation import StoredResponse


class OperationError(Exception):
    """An operation was not executed, or its response can't be given."""


class IdempotencyKeyTooLongError(OperationError, ValueError):
    """A client's ``Idempotency-Key`` header is longer than allowed."""


class FingerprintMismatchError(OperationError):
    """The idempotency key was used before with another payload; nothing was executed.

    Attributes:
        request_id: The request that the key belongs to.
    """

    def __init__(self, request_id: str) -> None:
        super().__init__(f"the idempotency key belongs to request {request_id}, which had another payload")
        self.request_id = request_id


class OperationTableFullError(OperationError):
    """There is no memory to remember one more operation; it was not executed.

    Attributes:
        retry_after_s: When a retry may find memory, in seconds from now.
    """

    def __init__(self, retry_after_s: float) -> None:
        super().__init__("too many operations are remembered")
        self.retry_after_s = retry_after_s


class SlotNotHeldError(OperationError):
    """Another process executes the operations of this slot; nothing was executed here."""


class ClientDisconnectedError(OperationError):
    """The client disconnected while its operation was in flight."""


class OperationInProgressError(OperationError, TimeoutError):
    """The operation was still in flight when the time of a waiting request was up."""


class OutcomeUnknownError(OperationError):
    """The operation may have been executed, and no response is known.

    Attributes:
        request_id: The operation's first request.
    """

    def __init__(self, request_id: str) -> None:
        super().__init__(f"the outcome of request {request_id} is unknown")
        self.request_id = request_id


class ResponseNotStoredError(OperationError):
    """The operation completed, but the body of its response was too large to store or is damaged.

    Attributes:
        request_id: The operation's first request.
        response: What is known of the response: all but its body.
    """

    def __init__(self, request_id: str, response: StoredResponse) -> None:
        super().__init__(f"the response of request {request_id} is not stored")
        self.request_id = request_id
        self.response = response
