"""Settings of a daemon and its gateways, from the fleet file."""

from __future__ import annotations

import pathlib
from dataclasses import dataclass

import xxhash

from saffronstack.fleet.control.gateway_reconciler import START_TIMEOUT_S


@dataclass(frozen=True, slots=True)
class GatewaySpec:
    """Settings of one gateway, from the fleet file.

    Attributes:
        name: The gateway's name.
        listen: The address on which the gateway serves.
        config: The path of the gateway's settings; `{release}` is replaced by the release's directory.
        drain_timeout_s: Maximum time for requests in flight to end after the gateway is terminated.
    """

    name: str
    listen: str
    config: str
    drain_timeout_s: float


@dataclass(frozen=True, slots=True)
class DaemonOptions:
    """Settings of a daemon.

    Attributes:
        fleet: The fleet's name.
        name: The daemon's name.
        address: The address on which the daemon accepts control requests.
        gateways: The gateways that the daemon runs.
        releases_directory: The directory in which releases are installed.
        state_directory: The directory of the desired state and of the gateways' logs.
        start_timeout_s: Maximum time in which a gateway process prepares, and again in which it starts to
            serve.
    """

    fleet: str
    name: str
    address: str
    gateways: tuple[GatewaySpec, ...]
    releases_directory: str
    state_directory: str
    start_timeout_s: float = START_TIMEOUT_S

    def process_mark(self, gateway: str) -> str:
        """Return the mark that identifies a gateway's processes by an environment variable.

        It contains a hash of the state directory because another fleet on this machine may use the same
        names.
        """
        directory = str(pathlib.Path(self.state_directory).resolve())
        return f"{self.fleet}/{self.name}/{xxhash.xxh3_64_hexdigest(directory.encode())}/{gateway}"
