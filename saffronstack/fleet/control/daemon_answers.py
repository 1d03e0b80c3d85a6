"""Requests a daemon's status, and merges the responses of all daemons of a fleet."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from dataclasses import dataclass, field

import msgspec

from saffronstack.daemon.errors import NoResponseError, NotSentError
from saffronstack.daemon.http_exchange import exchange
from saffronstack.fleet.control.messages import DaemonStatus, GatewayStatus

MAX_ERROR_TEXT_BYTES = 200  # maximum bytes of an error response that are shown to the operator


@dataclass(frozen=True, slots=True)
class UnavailableDaemon:
    """Reason why a daemon did not return its status."""

    reason: str


DaemonResponse = DaemonStatus | UnavailableDaemon


@dataclass(frozen=True, slots=True)
class FleetStatus:
    """Status of the gateways by name, and for each daemon without a response the reason by its name."""

    gateways: dict[str, GatewayStatus] = field(default_factory=dict)
    unavailable: dict[str, str] = field(default_factory=dict)


def merge_responses(responses: Mapping[str, DaemonResponse]) -> FleetStatus:
    """Merge the responses of daemons into the status of the fleet."""
    merged = FleetStatus()
    for daemon, response in responses.items():
        match response:
            case UnavailableDaemon(reason):
                merged.unavailable[daemon] = reason
            case DaemonStatus():
                merged.gateways.update(response.gateways)
    return merged


def request_status(
    address: str, request: bytes, deadline_s: float, clock: Callable[[], float]
) -> DaemonResponse:
    """Send a request whose response is a daemon's status, and wait until ``deadline_s`` at most."""
    try:
        head, body = exchange(address, request, deadline_s, clock)
        if head.status != 200:
            text = body[:MAX_ERROR_TEXT_BYTES].decode("utf-8", "replace")
            return UnavailableDaemon(f"rejected with {head.status}: {text}")
        return msgspec.json.decode(body, type=DaemonStatus)
    except (NotSentError, NoResponseError, msgspec.MsgspecError) as error:
        return UnavailableDaemon(str(error) or type(error).__name__)
