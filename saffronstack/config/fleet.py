"""Reads the fleet file, which all processes of a fleet share: lease servers, tasks and daemons."""

from __future__ import annotations

import ipaddress
from typing import Annotated, Literal

import json5
import msgspec

from saffronstack.config.load import ConfigError, convert, read_text
from saffronstack.config.schema import Address, Name, Positive, Struct

LEASE_SERVER_COUNTS = (1, 3, 5, 7)
LeaseName = Annotated[
    str, msgspec.Meta(min_length=1, max_length=200, pattern=r"^[A-Za-z0-9_.\-]+(/[A-Za-z0-9_.\-]+)*$")
]


class LeaseServerEntry(Struct, frozen=True, kw_only=True):
    """A lease server. Its name identifies its stored ballots and must stay; its address may change."""

    name: Name
    address: Address


class TaskEntry(Struct, frozen=True, kw_only=True):
    """A periodic task of the fleet; the required keys depend on its kind."""

    name: Name
    kind: Literal["usage", "takeover", "sweep"]
    period_s: Positive
    budget_s: Positive
    usage: tuple[str, ...] = ()  # usage: glob patterns of the gateways' usage directories
    output: str = ""  # usage: directory for its results
    ledgers: str = ""  # takeover, sweep: directory that contains each gateway's ledger directory
    config: str = ""  # takeover: configuration with the functions and workers of all gateways
    outputs: tuple[str, ...] = ()  # sweep: directories of results


class GatewayEntry(Struct, frozen=True, kw_only=True):
    """A gateway that a daemon runs. `{release}` in ``config`` stands for the release's directory."""

    name: Name
    listen: Address
    config: str
    zone: str = ""
    group: str = ""
    drain_s: Positive = 30.0


class DaemonEntry(Struct, frozen=True, kw_only=True):
    """The daemon of one machine. ``releases`` is the machine's directory of release directories."""

    name: Name
    address: Address
    releases: str
    state_directory: str
    gateways: tuple[GatewayEntry, ...] = ()


class FleetFile(Struct, frozen=True, kw_only=True):
    """Content of the fleet file."""

    fleet: Name
    keepers: tuple[LeaseServerEntry, ...]
    lease_s: Positive = 10.0
    longest_s: Positive = 30.0
    wait_s: Positive = 1.0  # timeout of a request to a lease server
    tasks: tuple[TaskEntry, ...] = ()
    drift: Annotated[float, msgspec.Meta(gt=0, le=0.1)] = 0.01
    daemons: tuple[DaemonEntry, ...] = ()

    def daemons_by_gateway(self) -> dict[str, str]:
        """Return the daemon's name for each gateway."""
        return {gateway.name: daemon.name for daemon in self.daemons for gateway in daemon.gateways}

    def lease_server_addresses(self) -> dict[str, str]:
        """Return the address of each lease server by name."""
        return {keeper.name: keeper.address for keeper in self.keepers}


def load_fleet_file(path: str) -> FleetFile:
    """Read and validate a fleet file.

    Raises:
        ConfigError: The file can't be read or is invalid.
    """
    fleet = convert(read_text(path), FleetFile, path)
    problems = _validation_errors(fleet)
    if problems:
        raise ConfigError("\n".join(f"{path}: {problem}" for problem in problems))
    return fleet


def is_fleet_file(path: str) -> bool:
    """Return whether a file is a fleet file rather than a gateway's configuration: it lists lease servers.

    Raises:
        ConfigError: The file can't be read.
    """
    text = read_text(path)
    try:
        raw = json5.loads(text)
    except ValueError:
        return False
    return isinstance(raw, dict) and "keepers" in raw and "tenants" not in raw


def _validation_errors(fleet: FleetFile) -> list[str]:
    """Return violations of rules that the schema can't express."""
    lines: list[str] = []
    if len(fleet.keepers) not in LEASE_SERVER_COUNTS:
        lines.append(
            f"keepers: {len(fleet.keepers)} of them; use 3, 5 or 7 for a quorum (1 tolerates no failure)"
        )
    numbers_by_name: dict[str, int] = {}
    numbers_by_address: dict[str, int] = {}
    for number, keeper in enumerate(fleet.keepers):
        if keeper.name in numbers_by_name:
            lines.append(
                f"keepers[{number}].name: {keeper.name!r} is that of "
                f"keepers[{numbers_by_name[keeper.name]}] too"
            )
        if keeper.address in numbers_by_address:
            other = numbers_by_address[keeper.address]
            lines.append(f"keepers[{number}].address: {keeper.address} is that of keepers[{other}] too")
        if not 0 < int(keeper.address.rpartition(":")[2]) < 65536:
            lines.append(f"keepers[{number}].address: no port from 1 to 65535 in {keeper.address}")
        numbers_by_name.setdefault(keeper.name, number)
        numbers_by_address.setdefault(keeper.address, number)
    if fleet.lease_s < 2 * fleet.wait_s:
        lines.append(
            f"lease_s: {fleet.lease_s:g} s are under twice the longest wait, wait_s {fleet.wait_s:g}: a "
            "single lost response would lose the lease"
        )
    if fleet.lease_s > fleet.longest_s:
        lines.append(f"lease_s: {fleet.lease_s:g} s are over longest_s {fleet.longest_s:g}")
    return [*lines, *_task_errors(fleet.tasks), *_daemon_errors(fleet)]


def _daemon_errors(fleet: FleetFile) -> list[str]:
    """Validate daemons; their commands are not authenticated, so their addresses must not be public."""
    lines: list[str] = []
    names: set[str] = set()
    used_addresses = {keeper.address: "a keeper" for keeper in fleet.keepers}
    for number, daemon in enumerate(fleet.daemons):
        path = f"daemons[{number}] ({daemon.name})"
        if daemon.name in names:
            lines.append(f"{path}: the name is used twice")
        names.add(daemon.name)
        host = daemon.address.rpartition(":")[0]
        try:
            private = host == "localhost" or ipaddress.ip_address(host).is_private
        except ValueError:
            private = False
        if not private:
            lines.append(f"{path}.address: {host} is no private address; commands are not authenticated")
        for key, address in (("address", daemon.address), *((g.name, g.listen) for g in daemon.gateways)):
            if address in used_addresses:
                lines.append(f"{path}.{key}: {address} is that of {used_addresses[address]} too")
            used_addresses.setdefault(address, f"{daemon.name}.{key}")
    gateways = [gateway.name for daemon in fleet.daemons for gateway in daemon.gateways]
    duplicates = sorted({name for name in gateways if gateways.count(name) > 1})
    return [*lines, *(f"daemons: gateway {name!r} is defined twice" for name in duplicates)]


REQUIRED_TASK_KEYS = {"usage": ("usage", "output"), "takeover": ("ledgers", "config"), "sweep": ()}
ALLOWED_TASK_KEYS = {
    "usage": ("usage", "output"),
    "takeover": ("ledgers", "config"),
    "sweep": ("ledgers", "outputs"),
}


def _task_errors(tasks: tuple[TaskEntry, ...]) -> list[str]:
    lines: list[str] = []
    names: set[str] = set()
    for number, task in enumerate(tasks):
        path = f"tasks[{number}] ({task.name})"
        if task.name in names:
            lines.append(f"{path}: the name is used twice")
        names.add(task.name)
        for key in ("usage", "output", "ledgers", "config", "outputs"):
            given = bool(getattr(task, key))
            if key in REQUIRED_TASK_KEYS[task.kind] and not given:
                lines.append(f"{path}.{key}: missing; a task of kind {task.kind} needs it")
            if given and key not in ALLOWED_TASK_KEYS[task.kind]:
                lines.append(f"{path}.{key}: not allowed in a task of kind {task.kind}")
    return lines
