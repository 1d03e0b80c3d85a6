"""`saffronstack lease` and `saffronstack tasks`: commands and tasks that run under leases of a fleet."""

from __future__ import annotations

import contextlib
import os
import queue
import secrets
import signal
import socket
import subprocess
import sys
from collections.abc import Sequence
from types import FrameType

import click
import msgspec

from saffronstack.cli.logs import configure_logging
from saffronstack.config.fleet import FleetFile, TaskEntry, load_fleet_file
from saffronstack.config.load import ConfigError
from saffronstack.deferred.ledger import count_open_calls
from saffronstack.fleet.leases.client import LeaseClient
from saffronstack.fleet.leases.limits import LeaseFleet, LeaseLimits
from saffronstack.fleet.leases.messages import LeaseValue
from saffronstack.fleet.leases.quorum_read import LeaseStatus, QuorumRead, read_leases
from saffronstack.fleet.leases.store import HeldLease
from saffronstack.fleet.tasks.fleet_usage import FleetUsageTask
from saffronstack.fleet.tasks.garbage_collection import GarbageCollectionTask
from saffronstack.fleet.tasks.ledger_directory import USAGE_LOGS_GLOB
from saffronstack.fleet.tasks.orphan_takeover import OrphanTakeoverTask
from saffronstack.fleet.tasks.runner import TaskRunner
from saffronstack.fleet.tasks.task import Task

NO_MAJORITY_STATUS = 69  # EX_UNAVAILABLE of sysexits.h
NOT_GRANTED_STATUS = 75  # EX_TEMPFAIL
LEASE_LOST_STATUS = 76  # the lease was lost while the command ran
INVALID_INPUT_STATUS = 2  # a bad argument or file, or a service that can't start
CANNOT_EXECUTE_STATUS = 126  # the exit status of shells for this
COMMAND_NOT_FOUND_STATUS = 127
SIGNAL_STATUS_BASE = 128  # plus the number of the signal that ended the command
# Fractions of the lease duration. `lease run` sends its command SIGTERM or SIGKILL when less remains.
# Leases are renewed after a third of their duration, so neither limit is reached while renewals succeed.
TERM_LEASE_FRACTION = 0.4
KILL_LEASE_FRACTION = 0.15
POLL_S = 0.02
SIGNAL_POLL_S = 1.0


class LeaseStatusLine(msgspec.Struct, frozen=True, rename={"is_held": "held", "remaining_s": "left_s"}):
    """One line of `saffronstack lease list --json`."""

    lease: str
    holder: str
    token: int
    is_held: bool
    granted_by: int
    remaining_s: float
    value: LeaseValue


def create_lease_fleet(fleet: FleetFile) -> LeaseFleet:
    """Return the lease servers of a fleet file, and their limits."""
    addresses = fleet.lease_server_addresses()
    limits = LeaseLimits(tuple(sorted(addresses)), max_lease_s=fleet.longest_s, max_clock_drift=fleet.drift)
    return LeaseFleet(fleet.fleet, addresses, limits, fleet.wait_s)


def open_client(fleet: FleetFile) -> LeaseClient:
    """Open a client of the fleet's lease servers for this process."""
    return LeaseClient(create_lease_fleet(fleet), process_name(), fleet.lease_s, secrets.randbits(31))


def process_name() -> str:
    """Return a name that no other process has or ever had."""
    return f"{socket.gethostname()}-{os.getpid()}-{secrets.token_hex(4)}"


def queue_signals(*names: str) -> queue.SimpleQueue[int]:
    """Return a queue that receives these signals, named as ``SIGTERM``, instead of their default action."""
    signals: queue.SimpleQueue[int] = queue.SimpleQueue()

    def enqueue(number: int, _frame: FrameType | None) -> None:
        signals.put(number)

    for name in names:
        signal.signal(signal.Signals[name], enqueue)
    return signals


# ---- lease list and lease show


def lease_list(path: str, selected_lease: str, as_json: bool) -> int:
    """Print each lease as a majority of lease servers shows it.

    Args:
        path: Path of the fleet file.
        selected_lease: Name of the only lease to print; empty for all.
        as_json: Print one JSON line for each lease.

    Returns:
        The exit status: 0, 1 for an unknown lease, 69 without a majority, 2 for an invalid file.
    """
    try:
        fleet = load_fleet_file(path)
    except ConfigError as error:
        click.echo(str(error), err=True)
        return INVALID_INPUT_STATUS
    quorum_read = read_leases(fleet.lease_server_addresses(), fleet.wait_s)
    for server, error_text in quorum_read.errors.items():
        click.echo(f"{fleet.lease_server_addresses()[server]}: no response: {error_text}", err=True)
    if not quorum_read.has_majority:
        responded = len(fleet.keepers) - len(quorum_read.errors)
        click.echo(f"no majority: {responded} of {len(fleet.keepers)} responded", err=True)
        return NO_MAJORITY_STATUS
    if selected_lease and selected_lease not in quorum_read.leases:
        click.echo(f"{selected_lease}: no lease server knows it", err=True)
        return 1
    for status in _select_leases(quorum_read, selected_lease):
        click.echo(_json_line(status) if as_json else _text_line(status))
    return 0


def _select_leases(quorum_read: QuorumRead, selected_lease: str) -> list[LeaseStatus]:
    return [status for lease, status in sorted(quorum_read.leases.items()) if selected_lease in ("", lease)]


def _json_line(status: LeaseStatus) -> str:
    line = LeaseStatusLine(
        status.lease,
        status.holder,
        status.token,
        bool(status.holder),
        status.granted_by,
        status.remaining_s,
        status.value,
    )
    return msgspec.json.encode(line).decode()


def _text_line(status: LeaseStatus) -> str:
    if status.holder:
        held = f"held by {status.holder}, token {status.token}, {status.remaining_s} s left"
        return f"{status.lease}: {held}"
    return f"{status.lease}: free, last token {status.token}"


# ---- tasks run


def run_tasks(path: str, log_format: str) -> int:
    """Run the tasks of a fleet file, each while this process holds its lease, until SIGTERM or SIGINT.

    Args:
        path: Path of the fleet file.
        log_format: Format of log lines, ``console`` or ``json``.

    Returns:
        The exit status: 0, 1 if a run did not end in time, 2 for an invalid file.
    """
    configure_logging(log_format, "info")
    signals = queue_signals(signal.SIGTERM.name, signal.SIGINT.name)
    try:
        fleet = load_fleet_file(path)
    except ConfigError as error:
        click.echo(str(error), err=True)
        return INVALID_INPUT_STATUS
    client = open_client(fleet)
    runners = [
        TaskRunner(task.name, create_task(task, fleet, client), task.period_s, task.budget_s, client)
        for task in fleet.tasks
    ]
    for runner in runners:
        runner.start()
    click.echo(f"saffronstack runs {', '.join(runner.name for runner in runners) or 'no task'}")
    sys.stdout.flush()
    while True:
        try:
            signals.get(timeout=SIGNAL_POLL_S)
            break
        except queue.Empty:  # no signal yet
            continue
    ended_in_time = [runner.stop() for runner in runners]  # every runner, even if one does not end in time
    client.close()
    return 0 if all(ended_in_time) else 1


def create_task(task: TaskEntry, fleet: FleetFile, client: LeaseClient) -> Task:
    """Create the task that an entry of the fleet file describes.

    A usage task also reads the logs of gateways that finished the calls of dead ones.
    """
    match task.kind:
        case "usage":
            roots = [other.ledgers for other in fleet.tasks if other.kind == "takeover"]
            return FleetUsageTask(
                [*task.usage, *(f"{root}/{USAGE_LOGS_GLOB}" for root in roots)], task.output
            )
        case "takeover":
            return OrphanTakeoverTask(task.ledgers, task.config, client, count_open_calls)
        case "sweep":
            return GarbageCollectionTask(task.outputs, task.ledgers)


# ---- lease run


def lease_run(path: str, lease: str, wait_s: float, command: Sequence[str]) -> int:
    """Run a command while the lease is held.

    Args:
        path: Path of the fleet file.
        lease: Name of the lease.
        wait_s: Seconds to wait for the lease.
        command: The command and its arguments.

    Returns:
        The command's exit status, or 69 without a majority, 75 if the lease was not granted in time, 76 if it
        was lost, 2 for an invalid file.
    """
    configure_logging("console", "warning")
    signals = queue_signals(signal.SIGTERM.name, signal.SIGINT.name, signal.SIGHUP.name)
    try:
        fleet = load_fleet_file(path)
    except ConfigError as error:
        click.echo(str(error), err=True)
        return INVALID_INPUT_STATUS
    client = open_client(fleet)
    try:
        held = client.acquire(lease, wait_s)
        if held is None:
            return _report_not_granted(client, lease, wait_s)
        return _run_command(held, fleet.lease_s, command, signals)
    finally:
        client.close()


def _report_not_granted(client: LeaseClient, lease: str, wait_s: float) -> int:
    errors = client.link_errors()
    responded = sum(not error for error in errors.values())
    if responded >= len(errors) // 2 + 1:
        click.echo(f"saffronstack lease run: {lease} was not granted within {wait_s:g} s", err=True)
        return NOT_GRANTED_STATUS
    text = "; ".join(f"{server}: {error}" for server, error in errors.items() if error)
    click.echo(f"saffronstack lease run: no majority of lease servers responds: {text}", err=True)
    return NO_MAJORITY_STATUS


def _run_command(
    held: HeldLease, lease_s: float, command: Sequence[str], signals: queue.SimpleQueue[int]
) -> int:
    environment = {**os.environ, "SAFFRON_LEASE": held.lease, "SAFFRON_LEASE_TOKEN": str(held.token)}
    try:
        process = subprocess.Popen(list(command), env=environment, start_new_session=True)
    except OSError as error:
        click.echo(f"saffronstack lease run: {command[0]}: {error.strerror}", err=True)
        return COMMAND_NOT_FOUND_STATUS if isinstance(error, FileNotFoundError) else CANNOT_EXECUTE_STATUS
    is_ending = False  # whether the command was told to end because its lease is about to expire
    while True:
        status = _wait(process)
        if status is not None:
            return _finish(held, status, is_ending)
        with contextlib.suppress(queue.Empty):
            _signal_group(process, signals.get_nowait())
        # While a majority responds, the lease is renewed earlier: after a third of its duration.
        remaining_s = held.remaining_s()
        if remaining_s < KILL_LEASE_FRACTION * lease_s:
            _signal_group(process, signal.SIGKILL)
            is_ending = True
        elif remaining_s < TERM_LEASE_FRACTION * lease_s and not is_ending:
            _signal_group(process, signal.SIGTERM)
            is_ending = True


def _wait(process: subprocess.Popen[bytes]) -> int | None:
    try:
        return process.wait(POLL_S)
    except subprocess.TimeoutExpired:
        return None


def _finish(held: HeldLease, status: int, is_ending: bool) -> int:
    if is_ending:
        click.echo(f"saffronstack lease run: {held.lease} was lost; the command was ended", err=True)
        return LEASE_LOST_STATUS
    held.release()
    return status if status >= 0 else SIGNAL_STATUS_BASE - status


def _signal_group(process: subprocess.Popen[bytes], number: int) -> None:
    """Signal the command and the processes that it started, since they work under the lease too."""
    with contextlib.suppress(ProcessLookupError):  # the command has just exited
        os.killpg(process.pid, number)
