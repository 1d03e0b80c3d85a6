"""What a daemon is and which gateways it runs, by the fleet file."""

from __future__ import annotations

import pathlib
from dataclasses import dataclass

import xxhash

from saffronstack.fleet.control.gateway_reconciler import START_TIMEOUT_S


@dataclass(frozen=True, slots=True)
class GatewaySpec:
    """A gateway by the fleet file.

    Attributes:
        name: Its name.
        listen: The address on which it serves.
        config: The path of its settings; `{release}` in it stands for the release's directory.
        drain_timeout_s: How long it may take to answer the calls it has accepted.
    """

    name: str
    listen: str
    config: str
    drain_timeout_s: float


@dataclass(frozen=True, slots=True)
class DaemonOptions:
    """What a daemon is and which gateways it runs.

    Attributes:
        fleet: The fleet's name.
        name: The daemon's name.
        address: Where it accepts control requests.
        gateways: Its gateways.
        releases_directory: Where releases are installed.
        state_directory: Where it stores the desired state and the gateways' logs.
        start_timeout_s: How long a gateway may take to prepare itself, and again to begin to serve.
    """

    fleet: str
    name: str
    address: str
    gateways: tuple[GatewaySpec, ...]
    releases_directory: str
    state_directory: str
    start_timeout_s: float = START_TIMEOUT_S

    def process_mark(self, gateway: str) -> str:
        """Return the mark in the environment of a gateway's processes.

        The state directory is part of it: another fleet on this machine may use the same names.
        """
        directory = str(pathlib.Path(self.state_directory).resolve())
        return f"{self.fleet}/{self.name}/{xxhash.xxh3_64_hexdigest(directory.encode())}/{gateway}"
