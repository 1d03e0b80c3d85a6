"""What a client of several daemons gets from them."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from dataclasses import dataclass, field

import msgspec

from saffronstack.daemon.errors import NoResponseError, NotSentError
from saffronstack.daemon.http_exchange import exchange
from saffronstack.fleet.control.messages import DaemonStatus, GatewayStatus

MAX_ERROR_TEXT_BYTES = 200  # of an answer that is an error


@dataclass(frozen=True, slots=True)
class UnavailableDaemon:
    """A daemon that gave no status, and why."""

    reason: str


DaemonResponse = DaemonStatus | UnavailableDaemon


@dataclass(frozen=True, slots=True)
class FleetStatus:
    """The gateways whose daemons answered, and the reasons of the other daemons; both by name."""

    gateways: dict[str, GatewayStatus] = field(default_factory=dict)
    unavailable: dict[str, str] = field(default_factory=dict)


def merge_responses(responses: Mapping[str, DaemonResponse]) -> FleetStatus:
    """Sort the answers of all daemons."""
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
    """Send a request whose answer is a daemon's status, bounded by ``deadline_s`` of the clock."""
    try:
        head, body = exchange(address, request, deadline_s, clock)
        if head.status != 200:
            text = body[:MAX_ERROR_TEXT_BYTES].decode("utf-8", "replace")
            return UnavailableDaemon(f"rejected with {head.status}: {text}")
        return msgspec.json.decode(body, type=DaemonStatus)
    except (NotSentError, NoResponseError, msgspec.MsgspecError) as error:
        return UnavailableDaemon(str(error) or type(error).__name__)
