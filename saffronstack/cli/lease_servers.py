"""`saffronstack keeper`: establishes and runs a lease server, and prints the state of all of a fleet."""

from __future__ import annotations

import queue
import signal
import sys

import click
import msgspec

from saffronstack.cli.leases import (
    INVALID_INPUT_STATUS,
    NO_MAJORITY_STATUS,
    create_lease_fleet,
    queue_signals,
)
from saffronstack.cli.logs import configure_logging
from saffronstack.client import Client
from saffronstack.config.fleet import load_fleet_file
from saffronstack.config.load import ConfigError
from saffronstack.fleet.leases.disk import AcceptorDisk
from saffronstack.fleet.leases.errors import ForeignStateError, UnknownServerError
from saffronstack.fleet.leases.lease_server import LeaseServer
from saffronstack.fleet.leases.messages import DiskState
from saffronstack.http1.messages import HttpError

SIGNAL_POLL_S = 1.0


def establish(path: str, name: str, directory: str) -> int:
    """Create the state directory of a lease server of a new fleet.

    Args:
        path: Path of the fleet file.
        name: Name of the server in the fleet file.
        directory: State directory of the server.

    Returns:
        The exit status: 0, or 2 with the reason on standard error.
    """
    try:
        fleet = load_fleet_file(path)
        servers = create_lease_fleet(fleet).limits.servers
        if name not in servers:
            raise UnknownServerError(f"{path}: {name!r} is none of the keepers {', '.join(servers)}")
        AcceptorDisk(directory, fleet.fleet, name, servers).establish()
    except (ConfigError, OSError, ValueError) as error:
        click.echo(f"saffronstack keeper establish: {error}", err=True)
        return INVALID_INPUT_STATUS
    click.echo(f"{directory}: keeper {name} of a new fleet {fleet.fleet}")
    return 0


def run_server(path: str, name: str, directory: str, log_format: str) -> int:
    """Run a lease server until SIGTERM or SIGINT.

    Args:
        path: Path of the fleet file.
        name: Name of the server in the fleet file.
        directory: State directory of the server.
        log_format: Format of log lines, ``console`` or ``json``.

    Returns:
        The exit status: 0, or 2 if the server can't start.
    """
    configure_logging(log_format, "info")
    signals = queue_signals(signal.SIGTERM.name, signal.SIGINT.name)
    try:
        fleet = load_fleet_file(path)
        server = LeaseServer(name, create_lease_fleet(fleet), directory)
        host, port = server.start()
    except (ConfigError, ForeignStateError, OSError, ValueError) as error:
        click.echo(f"saffronstack keeper: {error}", err=True)
        return INVALID_INPUT_STATUS
    click.echo(f"saffronstack keeper {name} of fleet {fleet.fleet} on http://{host}:{port}")
    sys.stdout.flush()
    _wait_for_signal(signals)
    server.stop()
    return 0


def _wait_for_signal(signals: queue.SimpleQueue[int]) -> None:
    while True:
        try:
            signals.get(timeout=SIGNAL_POLL_S)
        except queue.Empty:  # no signal yet
            continue
        return


def show_status(path: str, as_json: bool) -> int:
    """Print the state of each lease server of a fleet.

    Args:
        path: Path of the fleet file.
        as_json: Print one JSON line for each server.

    Returns:
        The exit status: 0 if a majority votes, 69 if not, 2 for an invalid file.
    """
    try:
        fleet = load_fleet_file(path)
    except ConfigError as error:
        click.echo(str(error), err=True)
        return INVALID_INPUT_STATUS
    voting = 0
    for name, address in fleet.lease_server_addresses().items():
        status = _request_status(address, fleet.wait_s)
        voting += bool(status.get("votes"))
        if as_json:
            click.echo(msgspec.json.encode({"keeper": name, "address": address, **status}).decode())
        else:
            click.echo(f"{name} {address}: {_describe(status)}")
    majority = len(fleet.keepers) // 2 + 1
    if voting < majority:
        click.echo(f"no majority: {voting} of {len(fleet.keepers)} vote, {majority} are needed", err=True)
        return NO_MAJORITY_STATUS
    return 0


def _request_status(address: str, timeout_s: float) -> dict[str, object]:
    """Return a server's status page, which may be of another version, or only an ``error``."""
    client = Client(address, timeout_s)
    try:
        page = msgspec.json.decode(client.request("GET", "/status").body)
    except (OSError, HttpError, msgspec.MsgspecError) as error:
        return {"error": str(error) or type(error).__name__}
    finally:
        client.close()
    return page if isinstance(page, dict) else {"error": "no status"}


def _describe(status: dict[str, object]) -> str:
    if "error" in status:
        return f"no answer: {status['error']}"
    description = "votes" if status["votes"] else "does not vote"
    if status["disk"] == DiskState.REPLACED.value:
        description += (
            ": another server took its name; stop this one, "
            "and give it an empty directory if it is the right one"
        )
    elif not status["votes"]:
        wait_s = status["votes_in_s"]
        description += f" for {wait_s} s" if wait_s else ": it must first catch up with the others"
    disk_error = f", disk: {status['trouble']}" if status["trouble"] else ""
    return f"{description}, disk {status['disk']}, {status['leases']} leases{disk_error}"
