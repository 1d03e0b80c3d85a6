"""A checked invocation, as the application hands it on."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from saffronstack.config.build import ConfiguredFunction
from saffronstack.operations.idempotency_keys import OperationIdentity

IsClientConnected = Callable[[], bool]  # whether the client still waits; called on its connection's thread
Headers = tuple[tuple[str, str], ...]


@dataclass(frozen=True, slots=True)
class Invocation:
    """An invocation that was checked.

    Attributes:
        request_id: Its own.
        tenant: Whose it is.
        function: The function.
        qualifier: The function's version or alias.
        payload: JSON.
        client_context: The client context, base64; empty for none.
        idempotency_key: The operation's name as its client gave it; empty for none.
        deadline_s: Clock time until which its client waits; nothing is begun later.
        wants_log: Whether the answer is to have the end of the log.
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
        """Return the headers of its answer under a request id, which may be another send's."""
        return (("Content-Type", "application/json"), *self.acceptance_headers(request_id))

    def acceptance_headers(self, request_id: str) -> Headers:
        """Return the headers of an answer without content."""
        return (("x-amzn-RequestId", request_id), ("X-Amz-Executed-Version", self.qualifier))

    def identity(self, invocation_type: str) -> OperationIdentity:
        """Return its operation's identity; ``invocation_type`` is the invocation type."""
        return OperationIdentity(
            self.tenant, self.function.spec.name, self.qualifier, invocation_type, self.idempotency_key
        )
