"""A validated invocation, as `app` passes it to the executor."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from saffronstack.config.build import ConfiguredFunction
from saffronstack.operations.idempotency_keys import OperationIdentity

IsClientConnected = Callable[[], bool]  # called on the thread of the client's connection
Headers = tuple[tuple[str, str], ...]


@dataclass(frozen=True, slots=True)
class Invocation:
    """A validated invocation.

    Attributes:
        request_id: Id of the client's request.
        tenant: Name of the tenant that the request belongs to.
        function: The function.
        qualifier: Version or alias of the function.
        payload: JSON text for the function.
        client_context: Base64-encoded client context; empty if there is none.
        idempotency_key: The client's idempotency key, with its prefix; empty if there is none.
        deadline_s: Monotonic time until which the client waits; the function is not started later.
        wants_log: Whether the response includes the tail of the execution log.
    """

    request_id: str
    tenant: str
    function: ConfiguredFunction
    qualifier: str
    payload: bytes
    client_context: str
    idempotency_key: str
    deadline_s: float
    wants_log: bool = False

    def response_headers(self, request_id: str) -> Headers:
        """Return the headers of a response with a JSON body.

        ``request_id`` may belong to an earlier request of the same operation.
        """
        return (("Content-Type", "application/json"), *self.acceptance_headers(request_id))

    def acceptance_headers(self, request_id: str) -> Headers:
        """Return the headers of a response without a body."""
        return (("x-amzn-RequestId", request_id), ("X-Amz-Executed-Version", self.qualifier))

    def identity(self, invocation_type: str) -> OperationIdentity:
        """Return the identity of the operation, which includes the invocation type."""
        return OperationIdentity(
            self.tenant, self.function.spec.name, self.qualifier, invocation_type, self.idempotency_key
        )
