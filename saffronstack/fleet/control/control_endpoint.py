"""The daemon's HTTP interface: decodes control requests and hands them to the daemon's thread."""

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

RESPONSE_TIMEOUT_S = 2.0  # for the daemon's thread, which may wait for its disk


@dataclass(eq=False, slots=True)
class PendingRequest:
    """A request on its way to the daemon's thread, and the answer on its way back."""

    request: ControlRequest
    status: int = 503
    body: bytes = b""
    _has_response: threading.Event = field(default_factory=threading.Event)

    def respond(self, status: int, body: bytes) -> None:
        """Give the answer; the connection's thread goes on."""
        self.status, self.body = status, body
        self._has_response.set()

    def wait(self, timeout_s: float) -> bool:
        """Wait for the answer; return whether there is one in time."""
        return self._has_response.wait(timeout_s)


class ControlEndpoint:
    """Answers requests on the threads of their connections."""

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
            validate: Raises a ``ControlError`` for commands that can't be carried out.
            submit: Hands a request to the daemon's thread.
            status: Returns the present status.
        """
        self._fleet, self._validate, self._submit, self._status = fleet, validate, submit, status

    def handle(self, head: RequestHead, body: bytes) -> tuple[int, bytes]:
        """Return the status and the body of the answer to a request."""
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
            self._validate(request.commands)  # reads the release, here and not on the daemon's thread
        except ControlError as error:
            return 400, encode_error(str(error))
        pending = PendingRequest(request)
        self._submit(pending)
        if not pending.wait(RESPONSE_TIMEOUT_S):
            return 503, encode_error(
                "the daemon waits for its disk; whether the commands take effect is unknown"
            )
        return pending.status, pending.body
