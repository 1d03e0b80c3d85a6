"""Sends commands to all daemons concurrently, with the fencing token of the leader."""

from __future__ import annotations

import functools
import threading
import time
from collections.abc import Callable, Mapping, Sequence

import msgspec

from saffronstack.fleet.control.daemon_answers import DaemonResponse, UnavailableDaemon, request_status
from saffronstack.fleet.control.messages import CONTROL_PATH, ControlRequest, DaemonStatus, GatewayCommand
from saffronstack.http1 import writer
from saffronstack.runtime.threads import IdleThreadPool

REQUEST_TIMEOUT_S = 2.5  # longer than the 2 s within which a daemon responds
WAIT_MARGIN_S = 0.5  # added to the request timeout, for the threads to store their responses


class DaemonClient:
    """Client of one leader for all daemons.

    One thread uses the client, which sends each request on a separate thread.
    """

    def __init__(
        self,
        fleet: str,
        addresses: Mapping[str, str],
        token: int,
        is_lease_held: Callable[[], bool],
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        """Create a client that sends requests only while ``is_lease_held`` returns true."""
        self._fleet, self._token, self._is_lease_held = fleet, token, is_lease_held
        self._addresses, self._clock = dict(addresses), clock
        self._sequence = 0
        self._incarnations: dict[str, int] = {}  # last known incarnation of each daemon
        self._request_threads = IdleThreadPool("daemon-request")
        self._responses_changed = threading.Condition()  # guards the responses to one `send`

    def send(self, commands: Mapping[str, Sequence[GatewayCommand]]) -> dict[str, DaemonResponse]:
        """Send each daemon its commands, and return the status of each daemon after them.

        If a daemon does not respond, it is unknown whether the commands took effect.
        """
        responses: dict[str, DaemonResponse] = {}
        deadline_s = self._clock() + REQUEST_TIMEOUT_S

        def run(name: str, request: ControlRequest) -> None:
            response = self._request(name, request, deadline_s)
            with self._responses_changed:
                responses[name] = response
                self._responses_changed.notify_all()

        for name, gateway_commands in commands.items():
            self._request_threads.run(
                functools.partial(run, name, self._next_request(name, gateway_commands))
            )
        with self._responses_changed:
            self._responses_changed.wait_for(
                lambda: len(responses) == len(commands), REQUEST_TIMEOUT_S + WAIT_MARGIN_S
            )  # fmt: skip
            in_time = dict(responses)
        for name, response in in_time.items():
            if isinstance(response, DaemonStatus):
                self._incarnations[name] = response.incarnation
        late = {name: UnavailableDaemon("no answer in time") for name in commands if name not in in_time}
        return in_time | late

    def poll(self) -> dict[str, DaemonResponse]:
        """Return the status of all daemons."""
        return self.send(dict.fromkeys(self._addresses, ()))

    def _next_request(self, name: str, commands: Sequence[GatewayCommand]) -> ControlRequest:
        self._sequence += 1
        incarnation = self._incarnations.get(name, 0)
        return ControlRequest(self._fleet, self._token, self._sequence, incarnation, tuple(commands))

    def _request(self, name: str, request: ControlRequest, deadline_s: float) -> DaemonResponse:
        address = self._addresses[name]
        fields = [("Host", address), ("Connection", "close"), ("Content-Type", "application/json")]
        content = writer.request("POST", CONTROL_PATH, fields, msgspec.json.encode(request))
        if not self._is_lease_held():
            return UnavailableDaemon("the lease is lost")
        return request_status(address, content, deadline_s, self._clock)
