"""`saffronstack fleet`: runs a machine's daemon, and controls the gateways of a fleet through daemons."""

from __future__ import annotations

import queue
import signal
import sys
import time
from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass, field

import click
import msgspec

from saffronstack.cli.leases import (
    INVALID_INPUT_STATUS,
    NO_MAJORITY_STATUS,
    NOT_GRANTED_STATUS,
    open_client,
    queue_signals,
)
from saffronstack.cli.logs import configure_logging
from saffronstack.config.fleet import FleetFile, load_fleet_file
from saffronstack.config.load import ConfigError
from saffronstack.fleet.control.daemon import Daemon
from saffronstack.fleet.control.daemon_answers import FleetStatus, merge_responses
from saffronstack.fleet.control.daemon_client import DaemonClient
from saffronstack.fleet.control.daemon_options import DaemonOptions, GatewaySpec
from saffronstack.fleet.control.errors import UnusableReleaseError
from saffronstack.fleet.control.messages import LEADER_LEASE, GatewayCommand, GatewayStatus
from saffronstack.fleet.control.observed_gateway import GatewayPhase
from saffronstack.fleet.control.releases import read_release
from saffronstack.fleet.control.status_poller import poll_daemons
from saffronstack.fleet.leases.quorum_read import QuorumRead, read_leases
from saffronstack.fleet.leases.store import HeldLease
from saffronstack.fleet.rollout.errors import RecordError
from saffronstack.fleet.rollout.record import RolloutPhase, decode_record

POLL_INTERVAL_S = 0.2
NOT_AS_DESIRED_STATUS = 1  # exit status: a daemon is unavailable, or a gateway is not as desired
SIGNAL_POLL_S = 1.0


class CommandError(Exception):
    """A command can't be carried out. The text gives the reason, and ``status`` is the exit status."""

    def __init__(self, status: int, text: str) -> None:
        super().__init__(text)
        self.status = status


@dataclass(frozen=True, slots=True)
class CommandOptions:
    """How long a command waits until the gateways are as desired, and how it prints them."""

    wait_s: float
    as_json: bool


@dataclass(frozen=True, slots=True)
class _SentCommands:
    """Releases that gateways were told to run, and daemons that rejected the command, with the reason."""

    targets: dict[str, str] = field(default_factory=dict)
    rejected: dict[str, str] = field(default_factory=dict)


def run_daemon(path: str, name: str, log_format: str) -> int:
    """Run the daemon of a machine until a signal.

    SIGTERM leaves the gateways serving, SIGINT stops them too.

    Returns:
        The exit status: 0, 1 if a gateway did not stop in time, or 2 if the daemon can't start.
    """
    configure_logging(log_format, "info")
    signals = queue_signals("SIGTERM", "SIGINT")
    try:
        fleet = load_fleet_file(path)
        daemon = _create_daemon(fleet, path, name)
    except (ConfigError, OSError, ValueError) as error:
        click.echo(f"saffronstack fleet daemon: {error}", err=True)
        return INVALID_INPUT_STATUS
    daemon.start()
    host, port = daemon.address
    click.echo(f"saffronstack daemon {name} of fleet {fleet.fleet} on http://{host}:{port}")
    sys.stdout.flush()
    number = _wait_for_signal(signals)
    return 0 if daemon.stop(terminate_gateways=number == signal.SIGINT) else 1


def _create_daemon(fleet: FleetFile, path: str, name: str) -> Daemon:
    entry = next((daemon for daemon in fleet.daemons if daemon.name == name), None)
    if entry is None:
        raise ConfigError(f"{path}: daemons: none is named {name!r}")
    options = DaemonOptions(
        fleet=fleet.fleet,
        name=name,
        address=entry.address,
        gateways=tuple(
            GatewaySpec(gateway.name, gateway.listen, gateway.config, gateway.drain_s)
            for gateway in entry.gateways
        ),
        releases_directory=entry.releases,
        state_directory=entry.state_directory,
    )
    return Daemon(
        options, lambda: read_leases(fleet.lease_server_addresses(), fleet.wait_s), rolled_back_releases
    )


def _wait_for_signal(signals: queue.SimpleQueue[int]) -> int:
    while True:
        try:
            return signals.get(timeout=SIGNAL_POLL_S)
        except queue.Empty:
            continue  # the wait is short so that signal handlers can run


def rolled_back_releases(quorum_read: QuorumRead) -> dict[str, str]:
    """Return the release that is being rolled back, mapped to the release that replaces it."""
    lease = quorum_read.leases.get(LEADER_LEASE)
    try:
        record = decode_record(lease.value.content) if lease is not None else None
    except RecordError:
        return {}  # a newer version wrote the record; its leader sends the commands
    if record is None or record.phase is not RolloutPhase.ROLLING_BACK:
        return {}
    return {record.new_release.digest: record.old_release.digest}


def run_as_leader(fleet: FleetFile, wait_s: float, run: Callable[[HeldLease], int]) -> int:
    """Run a function while holding the leader lease, and return its exit status.

    Raises:
        CommandError: The lease was not granted in time.
    """
    client = open_client(fleet)
    try:
        held = client.acquire(LEADER_LEASE, wait_s)
        if held is None:
            raise _not_granted(fleet, client.link_errors(), wait_s)
        try:
            return run(held)
        finally:
            held.release()
    finally:
        client.close()


def _not_granted(fleet: FleetFile, link_errors: Mapping[str, str], wait_s: float) -> CommandError:
    """Return an error with the reason: no majority of lease servers, or another leader."""
    if sum(not error for error in link_errors.values()) <= len(fleet.keepers) // 2:
        reasons = "; ".join(f"{keeper}: {error}" for keeper, error in link_errors.items() if error)
        return CommandError(NO_MAJORITY_STATUS, f"no majority of lease servers responds: {reasons}")
    return CommandError(
        NOT_GRANTED_STATUS, f"{LEADER_LEASE} was not granted within {wait_s:g} s: a rollout is being led"
    )


def daemon_client(fleet: FleetFile, held: HeldLease) -> DaemonClient:
    """Create a client that commands the fleet's daemons while the lease is held."""
    addresses = {daemon.name: daemon.address for daemon in fleet.daemons}
    return DaemonClient(fleet.fleet, addresses, held.token, lambda: held.remaining_s() > 0)


def command_gateways(
    path: str, names: Sequence[str], action: str, release: str, options: CommandOptions
) -> int:
    """Start, stop or reload gateways and wait until they are as desired.

    Args:
        path: Path of the fleet file.
        names: Names of the gateways; empty for all.
        action: "start", "stop" or "reload".
        release: Directory of the release to start; empty for other actions.
        options: How long to wait and how to print the gateways.

    Returns:
        The exit status: 0, 1 if some gateways are not as desired, 2 for an invalid argument, 69 without a
        majority of lease servers, 75 if a rollout is being led.
    """
    try:
        fleet = load_fleet_file(path)
        chosen = _select_gateways(fleet, names)
        digest = read_release(release).release.digest if release else ""
        return run_as_leader(
            fleet,
            options.wait_s,
            lambda held: _command_and_wait(fleet, held, chosen, action, digest, options),
        )
    except (ConfigError, UnusableReleaseError, ValueError) as error:
        click.echo(str(error), err=True)
        return INVALID_INPUT_STATUS
    except CommandError as error:
        click.echo(f"saffronstack fleet {action}: {error}", err=True)
        return error.status


def _select_gateways(fleet: FleetFile, names: Sequence[str]) -> list[str]:
    known = fleet.daemons_by_gateway()
    unknown = [name for name in names if name not in known]
    if unknown:
        raise ConfigError(f"not in the fleet file: gateway {', '.join(unknown)}")
    return list(names) or list(known)


def _send_commands(
    client: DaemonClient, fleet: FleetFile, names: Sequence[str], action: str, digest: str
) -> _SentCommands:
    """Send the command to each gateway whose daemon responds."""
    daemon_of = fleet.daemons_by_gateway()
    before = merge_responses(client.poll())
    sent = _SentCommands()
    commands: dict[str, list[GatewayCommand]] = {}
    for name in names:
        if daemon_of[name] in before.unavailable:
            continue
        if action == "start" and not digest:
            raise CommandError(INVALID_INPUT_STATUS, "start requires --release")
        release = {"start": digest, "stop": ""}.get(action, before.gateways[name].desired_release)
        sent.targets[name] = release
        command = GatewayCommand(name, release, action == "reload")
        commands.setdefault(daemon_of[name], []).append(command)
    sent.rejected.update(merge_responses(client.send(commands)).unavailable)
    return sent


def _command_and_wait(
    fleet: FleetFile, held: HeldLease, names: Sequence[str], action: str, digest: str, options: CommandOptions
) -> int:
    record = decode_record(held.value)
    if record is not None and not record.is_finished:
        raise CommandError(
            NOT_GRANTED_STATUS,
            f"rollout {record.plan.name!r} is not finished: abort it, or wait until it ends",
        )
    client = daemon_client(fleet, held)
    sent = _send_commands(client, fleet, names, action, digest)
    deadline_s = time.monotonic() + options.wait_s
    while True:
        status = merge_responses(client.poll())
        not_reached = [
            name for name in names
            if not _has_reached(status.gateways.get(name), sent.targets.get(name))
        ]  # fmt: skip
        if not not_reached or time.monotonic() >= deadline_s or held.remaining_s() <= 0:
            break
        time.sleep(POLL_INTERVAL_S)
    unavailable = status.unavailable | sent.rejected
    print_gateways(fleet, FleetStatus(status.gateways, unavailable), options.as_json)
    return NOT_AS_DESIRED_STATUS if not_reached or unavailable else 0


def _has_reached(status: GatewayStatus | None, target: str | None) -> bool:
    """Return whether a gateway runs its target release; an empty target means that it is stopped."""
    if status is None or target is None:
        return False
    settled_phases = (GatewayPhase.SERVING,) if target else (GatewayPhase.STOPPED, GatewayPhase.DOWN)
    is_target = status.desired_release == target and status.running_release == target
    return is_target and status.phase in settled_phases


def show_status(path: str, as_json: bool) -> int:
    """Print the state of each gateway as its daemon reports it.

    Returns:
        The exit status: 0, or 1 if a daemon is unavailable or a gateway is not as desired.
    """
    try:
        fleet = load_fleet_file(path)
    except ConfigError as error:
        click.echo(str(error), err=True)
        return INVALID_INPUT_STATUS
    addresses = {daemon.name: daemon.address for daemon in fleet.daemons}
    polled = merge_responses(poll_daemons(addresses, fleet.wait_s))
    print_gateways(fleet, polled, as_json)
    is_settled = all(
        gateway.desired_release == gateway.running_release for gateway in polled.gateways.values()
    )
    return 0 if is_settled and not polled.unavailable else NOT_AS_DESIRED_STATUS


def print_gateways(fleet: FleetFile, status: FleetStatus, as_json: bool) -> None:
    """Print a line for each gateway of the fleet file."""
    for name, daemon in fleet.daemons_by_gateway().items():
        gateway = status.gateways.get(name)
        reason = status.unavailable.get(daemon)
        click.echo(
            _json_line(name, daemon, gateway, reason)
            if as_json
            else _text_line(name, daemon, gateway, reason)
        )


def _json_line(name: str, daemon: str, gateway: GatewayStatus | None, reason: str | None) -> str:
    content = msgspec.to_builtins(gateway) if gateway is not None else {"silent": reason or ""}
    return msgspec.json.encode({"gateway": name, "daemon": daemon, **content}).decode()


def _text_line(name: str, daemon: str, gateway: GatewayStatus | None, reason: str | None) -> str:
    if gateway is None:
        return f"{name:<20} {daemon}: no answer: {'unknown there' if reason is None else reason}"
    running = gateway.running_release[:12] or "-"
    is_settled = gateway.desired_release == gateway.running_release
    desired = "" if is_settled else f", wanted {gateway.desired_release[:12] or 'none'}"
    has_problem = gateway.failed_release or gateway.phase is not GatewayPhase.SERVING
    error = f", {gateway.last_error}" if gateway.last_error and has_problem else ""
    return (
        f"{name:<20} {daemon}: {gateway.phase}, runs {running}{desired}, pid {gateway.pid}, "
        f"{gateway.restarts} restarts{error}"
    )


def release_digest(directory: str) -> int:
    """Print a release's digest and version; return the exit status, 0 or 2 for an unusable directory."""
    try:
        found = read_release(directory)
    except UnusableReleaseError as error:
        click.echo(str(error), err=True)
        return INVALID_INPUT_STATUS
    click.echo(f"{found.release.digest}  {found.release.version}")
    return 0
