"""Polls the status of all daemons, which needs no lease."""

from __future__ import annotations

import functools
import time
from collections.abc import Mapping

from saffronstack.fleet.control.daemon_answers import DaemonResponse, UnavailableDaemon, request_status
from saffronstack.fleet.control.messages import STATUS_PATH
from saffronstack.http1 import writer
from saffronstack.runtime.threads import start_thread

JOIN_MARGIN_S = 0.5  # added to the timeout of the requests, for their threads to end


def poll_daemons(addresses: Mapping[str, str], timeout_s: float) -> dict[str, DaemonResponse]:
    """Poll all daemons concurrently; takes at most `JOIN_MARGIN_S` longer than ``timeout_s``."""
    responses: dict[str, DaemonResponse] = {}

    def poll(name: str, address: str) -> None:
        request = writer.request("GET", STATUS_PATH, [("Host", address), ("Connection", "close")])
        responses[name] = request_status(address, request, time.monotonic() + timeout_s, time.monotonic)

    threads = [
        start_thread("poll-daemon", functools.partial(poll, name, address))
        for name, address in addresses.items()
    ]
    deadline_s = time.monotonic() + timeout_s + JOIN_MARGIN_S
    for thread in threads:
        thread.join(max(0.0, deadline_s - time.monotonic()))
    in_time = dict(responses)  # copied, since late threads may still add responses
    return {name: in_time.get(name, UnavailableDaemon("no answer in time")) for name in addresses}
