"""HTTP interface of a daemon: decodes control requests and passes them to the daemon's thread."""

from __future__ import annotations

import threading
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field

import msgspec

from saffronstack.fleet.control.errors import ControlError
from saffronstack.fleet.control.messages import (
    CONTROL_PATH,
    STATUS_PATH,
    ControlRequest,
    DaemonStatus,
    GatewayCommand,
)
from saffronstack.fleet.http_server import encode_error
from saffronstack.http1.messages import RequestHead

RESPONSE_TIMEOUT_S = 2.0  # maximum wait for the daemon's thread, which may be blocked by a disk write


@dataclass(eq=False, slots=True)
class PendingRequest:
    """A control request that a connection's thread passes to the daemon's thread, and its response."""

    request: ControlRequest
    status: int = 503
    body: bytes = b""
    _has_response: threading.Event = field(default_factory=threading.Event)

    def respond(self, status: int, body: bytes) -> None:
        """Set the response and wake the connection's thread."""
        self.status, self.body = status, body
        self._has_response.set()

    def wait(self, timeout_s: float) -> bool:
        """Wait for the response; return whether it was set before the timeout."""
        return self._has_response.wait(timeout_s)


class ControlEndpoint:
    """Handles HTTP requests on the threads of their connections."""

    def __init__(
        self,
        fleet: str,
        validate: Callable[[Sequence[GatewayCommand]], None],
        submit: Callable[[PendingRequest], None],
        status: Callable[[], DaemonStatus],
    ) -> None:
        """Create the endpoint.

        Args:
            fleet: The daemon's fleet; requests for another one are rejected.
            validate: Raises a ``ControlError`` for commands that can't be executed.
            submit: Passes a request to the daemon's thread.
            status: Returns the current status of the daemon.
        """
        self._fleet, self._validate, self._submit, self._status = fleet, validate, submit, status

    def handle(self, head: RequestHead, body: bytes) -> tuple[int, bytes]:
        """Return the status and the body of the response to a request."""
        if head.method == "GET" and head.target == STATUS_PATH:
            return 200, msgspec.json.encode(self._status())
        if head.method == "POST" and head.target == CONTROL_PATH:
            return self._handle_control(body)
        return 404, encode_error(f"POST {CONTROL_PATH} or GET {STATUS_PATH}")

    def _handle_control(self, body: bytes) -> tuple[int, bytes]:
        try:
            request = msgspec.json.decode(body, type=ControlRequest)
        except msgspec.MsgspecError as error:
            return 400, encode_error(str(error))
        if request.fleet != self._fleet:
            return 403, encode_error(f"this daemon is of fleet {self._fleet!r}, not of {request.fleet!r}")
        try:
            self._validate(request.commands)  # reads release files, which would block the daemon's thread
        except ControlError as error:
            return 400, encode_error(str(error))
        pending = PendingRequest(request)
        self._submit(pending)
        if not pending.wait(RESPONSE_TIMEOUT_S):
            return 503, encode_error(
                "the daemon waits for its disk; whether the commands take effect is unknown"
            )
        return pending.status, pending.body
