"""Errors of idempotent operations."""

from __future__ import annotations

from saffronstack.operations.operation import StoredResponse


class OperationError(Exception):
    """Base of errors: an operation was not executed, or its response can't be returned."""


class IdempotencyKeyTooLongError(OperationError, ValueError):
    """A request's ``Idempotency-Key`` header is longer than `MAX_KEY_LENGTH` allows."""


class FingerprintMismatchError(OperationError):
    """The idempotency key was used before with another payload; nothing was executed.

    Attributes:
        request_id: The id of the operation's first request.
    """

    def __init__(self, request_id: str) -> None:
        super().__init__(f"the idempotency key belongs to request {request_id}, which had another payload")
        self.request_id = request_id


class OperationTableFullError(OperationError):
    """The operation table has no memory left for the operation, which was not executed.

    Attributes:
        retry_after_s: Seconds from now after which memory may be free for a retry.
    """

    def __init__(self, retry_after_s: float) -> None:
        super().__init__("too many operations are remembered")
        self.retry_after_s = retry_after_s


class SlotNotHeldError(OperationError):
    """Another process holds the operation's slot; this process executed nothing."""


class ClientDisconnectedError(OperationError):
    """The client of a request disconnected while the operation was in flight."""


class OperationInProgressError(OperationError, TimeoutError):
    """The operation was still in flight at the deadline of a request that waited for it."""


class OutcomeUnknownError(OperationError):
    """The operation may have been executed, and its response is unknown.

    Attributes:
        request_id: The id of the operation's first request.
    """

    def __init__(self, request_id: str) -> None:
        super().__init__(f"the outcome of request {request_id} is unknown")
        self.request_id = request_id


class ResponseNotStoredError(OperationError):
    """The operation completed, but the body of its response was too large to store, deleted or damaged.

    Attributes:
        request_id: The id of the operation's first request.
        response: The response without its body.
    """

    def __init__(self, request_id: str, response: StoredResponse) -> None:
        super().__init__(f"the response of request {request_id} is not stored")
        self.request_id = request_id
        self.response = response
