"""A keeper's address: messages of candidates and other keepers, pages for the operator."""

from __future__ import annotations

from collections.abc import Callable

import msgspec

from saffronstack.fleet.http_server import HttpServer, problem
from saffronstack.fleet.leases import codec
from saffronstack.fleet.leases.acceptor_service import AcceptorService
from saffronstack.fleet.leases.codec import Envelope
from saffronstack.fleet.leases.messages import LeaseValue
from saffronstack.http1.messages import RequestHead

TARGET = "/lease/messages"
SAVE_S = 2.0  # how long an answer waits for the disk; its candidate has given the round up by then
LISTEN_S = 5.0  # the longest that a process listens before it says again that it does


class LeaseReport(msgspec.Struct, frozen=True):
    """One lease as a keeper shows it."""

    lease: str
    holder: str
    token: int
    left_s: float
    value: LeaseValue


class LeaseHttpEndpoint(HttpServer):
    """Listens for candidates, other keepers and operators."""

    def __init__(
        self, host: str, port: int, fleet: str, service: AcceptorService, clock: Callable[[], float]
    ) -> None:
        """OSError where the address can't be had."""
        super().__init__("keeper", host, port, self._reply, clock)
        self._fleet = fleet
        self._service = service

    def _reply(self, head: RequestHead, body: bytes) -> tuple[int, bytes]:
        if head.method == "POST" and head.target == TARGET:
            try:
                envelope = codec.decode(body)
            except ValueError as error:
                return 400, problem(str(error))
            if envelope.fleet != self._fleet:
                return 403, problem(f"this keeper is of fleet {self._fleet!r}, not of {envelope.fleet!r}")
            if envelope.messages:
                answers = self._service.ask(envelope.sender, envelope.messages, SAVE_S)
            else:
                answers = self._service.listen(envelope.sender, min(LISTEN_S, max(0.0, envelope.wait_s)))
            return 200, codec.encode(Envelope(self._fleet, "", tuple(answers)))
        if head.method != "GET":
            return 405, problem("POST /lease/messages, GET /leases, GET /status")
        if head.target == "/status":
            return 200, msgspec.json.encode(self._service.status() | {"connections": self.connections})
        if head.target == "/leases":
            lines = [
                LeaseReport(
                    record.lease, record.holder, record.accepted_ballot, round(left_s, 3), record.value
                )
                for record, left_s in self._service.records()
            ]
            return 200, msgspec.json.encode(lines)
        return 404, problem(f"nothing is at {head.target}")
