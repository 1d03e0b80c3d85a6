"""Forwards a request to the process that holds the slot of its operation, with a timeout on every wait."""

from __future__ import annotations

import threading
from collections.abc import Callable
from dataclasses import dataclass

from saffronstack.daemon.errors import NoResponseError, NotSentError
from saffronstack.daemon.http_exchange import exchange
from saffronstack.daemon.process_group import FORWARDED_HEADER
from saffronstack.http1 import writer
from saffronstack.http1.messages import RequestHead
from saffronstack.invoke import errors
from saffronstack.invoke.errors import InvokeError
from saffronstack.invoke.response import Response
from saffronstack.operations.errors import SlotNotHeldError
from saffronstack.operations.slot_assignment import slot_for
from saffronstack.operations.slot_manager import SlotManager

DEADLINE_HEADER = "x-saffron-until"  # seconds of the machine's monotonic clock, which its processes share
RETRY_INTERVAL_S = 0.05
FORWARDING_TIMEOUT_S = 2.0  # how long forwarding is retried while no slot holder responds
NOT_FORWARDED_HEADERS = (
    "connection",
    "transfer-encoding",
    "content-length",
    "expect",
    FORWARDED_HEADER,
    DEADLINE_HEADER,
)
RETURNED_HEADERS = ("content-type", "retry-after", "x-saffron-repeated")
MISDIRECTED_STATUS = 421


@dataclass(frozen=True, slots=True)
class ForwardableRequest:
    """A received request, with the response to give if the slot holder does not respond.

    Attributes:
        head: Request line and headers.
        body: Request body.
        digest: Digest of the operation's identity.
        deadline_s: Monotonic time until which the request may be started.
        is_logged: Whether the operation is recorded durably, so that the next slot holder knows its outcome.
        unknown_outcome: Creates the response for a request that may have been executed.
    """

    head: RequestHead
    body: bytes
    digest: bytes
    deadline_s: float
    is_logged: bool
    unknown_outcome: Callable[[], Response]


def misdirected() -> InvokeError:
    """Return the error for a request that was forwarded to a process without its slot."""
    return InvokeError(MISDIRECTED_STATUS, "MisdirectedRequest", "Another process runs this operation.")


class OperationForwarder:
    """Executes a request in this process if it holds the slot, else at the process that does."""

    def __init__(self, slots: SlotManager, clock: Callable[[], float]) -> None:
        """``clock`` returns monotonic seconds."""
        self.slots = slots
        self._clock = clock
        self._pause = threading.Event()
        self.forwarded = 0
        self.unanswered = 0  # forwarded requests that the holder did not answer

    def execute(self, request: ForwardableRequest, execute_here: Callable[[], Response]) -> Response:
        """Execute a request in this process if it holds the slot, else at the slot holder.

        Args:
            request: The request.
            execute_here: Executes the request in this process.

        Raises:
            InvokeError: 429, because no slot holder could be reached; nothing was executed.
        """
        retry_until_s = min(self._clock() + FORWARDING_TIMEOUT_S, request.deadline_s)
        while True:
            try:
                return execute_here()
            except SlotNotHeldError:
                pass
            may_have_run = False
            try:
                response = self._forward_to_holder(request)
            except NoResponseError:
                self.unanswered += 1
                may_have_run = not request.is_logged
            else:
                if response is not None:
                    return response
            now = self._clock()
            if may_have_run or now >= request.deadline_s:
                return request.unknown_outcome()
            if now >= retry_until_s:
                raise errors.too_many_requests(
                    "The process that runs this operation does not answer now.", 1.0
                )
            self._pause.wait(RETRY_INTERVAL_S)

    def _forward_to_holder(self, request: ForwardableRequest) -> Response | None:
        """Return the slot holder's response; None if no other process is known to hold the slot.

        Raises:
            NoResponseError: The request was sent and may have been executed.
        """
        holder = self.slots.assigned_peer(slot_for(request.digest))
        if holder is None or holder.member == self.slots.member:
            return None
        try:
            return self._forward(holder.address, request)
        except NotSentError:
            return None

    def _forward(self, address: str, request: ForwardableRequest) -> Response | None:
        """Return the response of the process at an address; None if it does not hold the slot."""
        fields = [
            (name, value) for name, value in request.head.headers.items if name not in NOT_FORWARDED_HEADERS
        ]
        fields += [(FORWARDED_HEADER, self.slots.member), (DEADLINE_HEADER, f"{request.deadline_s:.6f}")]
        message = writer.request(request.head.method, request.head.target, fields, request.body)
        self.forwarded += 1
        head, body = exchange(address, message, request.deadline_s, self._clock)
        if head.status == MISDIRECTED_STATUS:
            return None
        returned = [
            (name, value)
            for name, value in head.headers.items
            if name in RETURNED_HEADERS or name.startswith("x-amz")
        ]
        return Response(head.status, tuple(returned), body)
