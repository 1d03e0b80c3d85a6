"""The HTTP endpoint of a lease server: lease messages of processes and servers, JSON pages for operators."""

from __future__ import annotations

from collections.abc import Callable

import msgspec

from saffronstack.fleet.http_server import HttpServer, encode_error
from saffronstack.fleet.leases import codec
from saffronstack.fleet.leases.acceptor_service import AcceptorService
from saffronstack.fleet.leases.codec import MESSAGES_TARGET, Envelope
from saffronstack.fleet.leases.errors import DecodeError
from saffronstack.fleet.leases.reports import ServerStatus
from saffronstack.http1.messages import RequestHead

PERSIST_TIMEOUT_S = 2.0  # longest wait for the disk; the candidate's round has timed out by then
MAX_POLL_S = 5.0  # longest duration of a poll; the process then polls again


class LeaseHttpEndpoint(HttpServer):
    """Serves candidates, other lease servers and operators."""

    def __init__(
        self, host: str, port: int, fleet: str, service: AcceptorService, clock: Callable[[], float]
    ) -> None:
        """Listen on an address.

        Raises:
            OSError: The address can't be bound.
        """
        super().__init__("keeper", host, port, self._handle_http_request, clock)
        self._fleet = fleet
        self._service = service

    def _handle_http_request(self, head: RequestHead, body: bytes) -> tuple[int, bytes]:
        """Return the status and body of the response; runs on the connection's thread."""
        match head.method, head.target:
            case "POST", target if target == MESSAGES_TARGET:
                return self._handle_messages(body)
            case "GET", "/status":
                return 200, msgspec.json.encode(self._status())
            case "GET", "/leases":
                return 200, msgspec.json.encode(self._service.lease_reports())
            case "GET", target:
                return 404, encode_error(f"nothing is at {target}")
            case _:
                return 405, encode_error("POST /lease/messages, GET /leases, GET /status")

    def _handle_messages(self, body: bytes) -> tuple[int, bytes]:
        try:
            envelope = codec.decode(body)
        except DecodeError as error:
            return 400, encode_error(str(error))
        if envelope.fleet != self._fleet:
            return 403, encode_error(f"this keeper is of fleet {self._fleet!r}, not of {envelope.fleet!r}")
        if envelope.messages:
            responses = self._service.handle_request(envelope.sender, envelope.messages, PERSIST_TIMEOUT_S)
        else:
            responses = self._service.poll(envelope.sender, min(MAX_POLL_S, max(0.0, envelope.poll_s)))
        return 200, codec.encode(Envelope(self._fleet, "", tuple(responses)))

    def _status(self) -> ServerStatus:
        acceptor = self._service.status()
        return ServerStatus(**msgspec.structs.asdict(acceptor), connections=self.connections)
