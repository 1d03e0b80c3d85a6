"""The file that all processes of a fleet share: its name, its keepers, the times of its leases."""

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
    """One keeper: the name stays with its promises, the address may move."""

    name: Name
    address: Address


class TaskEntry(Struct, frozen=True, kw_only=True):
    """One task; which keys it needs depends on its kind. Times in seconds."""

    name: Name
    kind: Literal["usage", "takeover", "sweep"]
    period_s: Positive
    budget_s: Positive
    usage: tuple[str, ...] = ()  # usage: glob patterns of the gateways' usage directories
    output: str = ""  # usage: where its results are published
    ledgers: str = ""  # takeover, sweep: the directory with a ledger home for each gateway
    config: str = ""  # takeover: a configuration whose functions and workers are those of all gateways
    outputs: tuple[str, ...] = ()  # sweep: directories of results


class GatewayEntry(Struct, frozen=True, kw_only=True):
    """One gateway that a daemon keeps. ``config`` may hold `{release}`: settings that come with a release."""

    name: Name
    listen: Address
    config: str
    zone: str = ""
    group: str = ""
    drain_s: Positive = 30.0


class DaemonEntry(Struct, frozen=True, kw_only=True):
    """The daemon of one machine. ``releases``: the directory in which release directories lie there."""

    name: Name
    address: Address
    releases: str
    state_directory: str
    gateways: tuple[GatewayEntry, ...] = ()


class FleetFile(Struct, frozen=True, kw_only=True):
    """The whole file. Times in seconds."""

    fleet: Name
    keepers: tuple[LeaseServerEntry, ...]
    lease_s: Positive = 10.0
    longest_s: Positive = 30.0
    wait_s: Positive = 1.0  # the longest wait of one exchange with a keeper
    tasks: tuple[TaskEntry, ...] = ()
    drift: Annotated[float, msgspec.Meta(gt=0, le=0.1)] = 0.01
    daemons: tuple[DaemonEntry, ...] = ()

    def daemons_by_gateway(self) -> dict[str, str]:
        """The daemon of each gateway."""
        return {gateway.name: daemon.name for daemon in self.daemons for gateway in daemon.gateways}

    def lease_server_addresses(self) -> dict[str, str]:
        """Each keeper's address."""
        return {keeper.name: keeper.address for keeper in self.keepers}


def load_fleet_file(path: str) -> FleetFile:
    """Read and check it; ConfigError with file, place and reason."""
    fleet = convert(read_text(path), FleetFile, path)
    problems = _validation_errors(fleet)
    if problems:
        raise ConfigError("\n".join(f"{path}: {problem}" for problem in problems))
    return fleet


def is_fleet_file(path: str) -> bool:
    """Whether a file is meant as a fleet's: it names keepers. ConfigError where it can't be read."""
    text = read_text(path)
    try:
        raw = json5.loads(text)
    except ValueError:
        return False
    return isinstance(raw, dict) and "keepers" in raw and "tenants" not in raw


def _validation_errors(fleet: FleetFile) -> list[str]:
    """What a schema can't say."""
    lines: list[str] = []
    if len(fleet.keepers) not in LEASE_SERVER_COUNTS:
        lines.append(
            f"keepers: {len(fleet.keepers)} of them; a majority is had from 3, 5 or 7 (1 fails alone)"
        )
    numbers_by_name: dict[str, int] = {}
    numbers_by_address: dict[str, int] = {}
    for number, keeper in enumerate(fleet.keepers):
        if keeper.name in numbers_by_name:
            lines.append(
                f"keepers[{number}].name: {keeper.name!r} stands at "
                f"keepers[{numbers_by_name[keeper.name]}] too"
            )
        if keeper.address in numbers_by_address:
            other = numbers_by_address[keeper.address]
            lines.append(f"keepers[{number}].address: {keeper.address} is that of keepers[{other}] too")
        if not 0 < int(keeper.address.rpartition(":")[2]) < 65536:
            lines.append(f"keepers[{number}].address: no port of {keeper.address} can be asked")
        numbers_by_name.setdefault(keeper.name, number)
        numbers_by_address.setdefault(keeper.address, number)
    if fleet.lease_s < 2 * fleet.wait_s:
        lines.append(
            f"lease_s: {fleet.lease_s:g} s are under twice the longest wait, wait_s {fleet.wait_s:g}: one "
            "answer that is lost would lose the lease"
        )
    if fleet.lease_s > fleet.longest_s:
        lines.append(f"lease_s: {fleet.lease_s:g} s are over longest_s {fleet.longest_s:g}")
    return [*lines, *_task_errors(fleet.tasks), *_daemon_errors(fleet)]


def _daemon_errors(fleet: FleetFile) -> list[str]:
    """Orders are taken without a signature: on loopback and private addresses alone."""
    lines: list[str] = []
    names: set[str] = set()
    taken = {keeper.address: "a keeper" for keeper in fleet.keepers}
    for number, daemon in enumerate(fleet.daemons):
        place = f"daemons[{number}] ({daemon.name})"
        if daemon.name in names:
            lines.append(f"{place}: the name stands twice")
        names.add(daemon.name)
        host = daemon.address.rpartition(":")[0]
        try:
            private = host == "localhost" or ipaddress.ip_address(host).is_private
        except ValueError:
            private = False
        if not private:
            lines.append(f"{place}.address: {host} is no private address, and whoever reaches it can order")
        for key, address in (("address", daemon.address), *((g.name, g.listen) for g in daemon.gateways)):
            if address in taken:
                lines.append(f"{place}.{key}: {address} is that of {taken[address]} too")
            taken.setdefault(address, f"{daemon.name}.{key}")
    gateways = [gateway.name for daemon in fleet.daemons for gateway in daemon.gateways]
    duplicates = sorted({name for name in gateways if gateways.count(name) > 1})
    return [*lines, *(f"daemons: gateway {name!r} stands twice" for name in duplicates)]


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
        place = f"tasks[{number}] ({task.name})"
        if task.name in names:
            lines.append(f"{place}: the name stands twice")
        names.add(task.name)
        for key in ("usage", "output", "ledgers", "config", "outputs"):
            given = bool(getattr(task, key))
            if key in REQUIRED_TASK_KEYS[task.kind] and not given:
                lines.append(f"{place}.{key}: missing; a task of kind {task.kind} needs it")
            if given and key not in ALLOWED_TASK_KEYS[task.kind]:
                lines.append(f"{place}.{key}: a task of kind {task.kind} knows none")
    return lines
